"""Metrics in Prometheus's text format, through its client library, which is loaded only where they are
switched on."""
