"""Degradation levels: which one a server is in, and why. No I/O.

`conditions` parses the conditions that an operator writes, `reachability` checks whether they can ever hold,
`signals` measures what they read, `condition_tracker` times them, `controller` holds the state machine, and
`options` checks the operator's sections. The admission controller carries out what a level restricts; no
request is rejected here.
"""
