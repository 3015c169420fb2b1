"""Greenlets over poll, sockets and signals: moves bytes, knows no message."""
