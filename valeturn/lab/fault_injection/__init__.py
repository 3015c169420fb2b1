"""Several real servers of one fleet on loopback, each pair of them linked through a relay that can be hurt.

`relays` moves and hurts bytes, `member` is the process of a server with the laboratory's seams, `effect` the
command of a duty, `witness` judges from what crossed the sockets and files, `fleet` starts, stops and kills,
`storm` plays faults by chance.
"""
