"""Levels of reduced service: which one a server is in, and why. No I/O.

`conditions` reads what an operator writes, `signals` measures, `decision` holds the table, `options` checks
the operator's sections. The module carries a level out; nothing is turned back here.
"""
