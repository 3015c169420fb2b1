"""The control socket: what an operator asks of a running server, by a Unix socket that the operator's file
names.

`requests` reads requests and renders answers (no I/O), `server` serves them on the loop, `client` asks.
Nothing about submissions is decided through it.
"""
