"""Admission control and scheduling for servers behind load balancers that cannot be changed."""

__version__ = "0.3.0"
