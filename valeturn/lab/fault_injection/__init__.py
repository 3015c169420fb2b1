"""Fault injection for clusters of real servers on loopback, and for simulated ones in virtual time.

`schedule` draws faults from a seed, `fault_runner` executes them, and `fleet` starts, stops and kills the
servers. Every pair of servers talks through a relay of `relays`, which can delay, block and duplicate bytes.
`member` runs one server with injected dependencies, and `effect` is the command of its singleton tasks.
`history_checker` looks for invariant violations in what crossed sockets and files. `maintenance` tests
maintenance requests, `measure` the cost of a cluster, and `virtual` runs up to 200 servers in virtual time.
"""
