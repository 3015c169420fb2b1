"""Admission and scheduling decisions for servers behind balancers that cannot be changed."""

__version__ = "0.3.0"
