"""Take the servers of a cluster into maintenance one after another, on top of `cluster`.

`drain_schedule` decides at the cluster's leader which server is drained next, and `local_drain` decides on
each server what it does about that; both do no I/O. `coordinator` connects them with the cluster. The
alternatives that were weighed stand in docs/design/turns.md.
"""
