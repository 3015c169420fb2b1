"""The control socket: what an operator asks of a running server over a Unix socket.

The operator's file names the socket's path. `line_splitter` cuts what is received into lines, `requests`
parses them and `answers` encodes the answers, all without I/O; `server` serves them on the event loop;
`client` sends requests from a shell; `server_status` decodes the answer to a status request, which
`status_text` and `top` show. Requests of the gateways' callers are neither admitted nor scheduled here.
"""
