"""Encoders and incremental decoders of the network protocols; no I/O.

`frames` is the protocol with gateways, `executor` the one with the executor, and `http` the client's side of
HTTP/1.1, for the ledger and the name service. A malformed input is returned as a value, never raised.
"""
