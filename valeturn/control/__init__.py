"""The control socket: a Unix socket over which operators query and control a running server.

The operator's file names the socket's path. `line_splitter` splits the received bytes into lines, `requests`
parses them and `answers` encodes the answers, all without I/O; `server` serves them on the event loop;
`client` sends requests from a shell; `server_status` decodes the answer to a status request, which
`status_text` and `top` show. Submissions of gateways do not pass through here.
"""
