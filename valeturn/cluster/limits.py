"""Limits of all that a cluster's modules store, with how each figure was chosen."""

# Members known at once, dead ones included: a thousand servers are the largest cluster aimed at.
MEMBERS = 1024
# Bytes of a message: the replicated state of a release over a thousand servers. A list of MEMBERS comes in
# several messages.
MESSAGE = 131072
# Membership updates in one message: 60 bytes each, so that a message stays under half a kilobyte.
GOSSIP = 8
# Members in one message of a full list: with the longest names it stays under MESSAGE.
SYNCED = 32
# Characters of a name, a zone or an address.
ADDRESS = 64
# Bytes queued for one connection: two of the longest messages.
QUEUED_BYTES = 262144
# Messages queued for one connection: more than a leader sends in several leases.
QUEUED = 128
# Bytes that one connection has not sent before messages wait in the queue: what a peer reads at once.
UNSENT = 65536
# Connections open at once. Past it the one that was idle longest is closed, so that more servers are reached
# one after the other.
LINKS = 256
# Voters: more make each commit slower and no cluster safer.
VOTERS = 9
# Singleton tasks in the operator's file.
SINGLETON_TASKS = 32
# Bytes kept of what a task's command printed last: some twenty lines.
OUTPUT_TAIL = 2000
# Bits of a fencing token below its epoch: a grant a second for eight years.
EPOCH_BITS = 28
