"""Metrics in Prometheus's text exposition format.

Prometheus's client library is imported only if the operator's file has a section [metrics].
"""
