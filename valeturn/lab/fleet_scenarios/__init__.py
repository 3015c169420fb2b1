"""Whole fleets in virtual time: servers in zones, gateways whose lists lag, releases, zones lost and cut.

`days` draws a day from its seed, `world` plays it, `servers` and `gateways` are its parties, `witness` counts
what the rules forbid from what was done alone, `plainer` has the policies that the module is held against.
"""
