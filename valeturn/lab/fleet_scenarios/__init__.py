"""Simulations of whole fleets in virtual time: zones, lagging server lists, releases, outages and
partitions.

`days` draws a scenario day from its seed, and `simulation` plays it with the servers of `servers` and the
gateways of `gateways`. `history_checker` counts violations of the guarantees from the recorded actions alone,
and `baselines` has the policies that the admission controller is compared with.
"""
