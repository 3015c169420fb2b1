"""Bytes to small typed values and back, once each way; no input or output."""
