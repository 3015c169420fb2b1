"""Greenlets over poll, sockets, signals and a worker thread: moves bytes, and knows no protocol."""
