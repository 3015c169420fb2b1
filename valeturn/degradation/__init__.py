"""Degradation levels: decides which one a server is in, and why. No I/O.

`conditions` parses the conditions that an operator writes, `reachability` checks whether they can ever hold,
`signals` measures the signals that they compare, `condition_tracker` times them, `controller` is the state
machine, and `options` checks the operator's sections. The admission controller applies the restrictions of a
level; no request is rejected here.
"""
