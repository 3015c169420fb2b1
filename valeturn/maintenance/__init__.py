"""Take the servers of a cluster into maintenance one after another, on top of `cluster`.

`drain_schedule` decides at the cluster's leader which server is drained next, and `local_drain` decides on
each server how it carries that out; neither does I/O. `coordinator` connects them with the cluster.
docs/design/turns.md describes the alternatives that were considered.
"""
