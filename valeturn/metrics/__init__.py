"""Metrics in Prometheus's text exposition format.

The client library is loaded only where the operator's file has a section [metrics].
"""
