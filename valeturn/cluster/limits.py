"""Limits of the data that a cluster's modules store, with the reason for each."""

# Members known at once, including dead ones: the largest supported cluster has a thousand servers.
MEMBERS = 1024
# Bytes of a message: the replicated state with a thousand maintenance requests. A list of MEMBERS is sent in
# several messages.
MESSAGE = 131072
# Membership updates in one message: 60 bytes each, so that a message stays under half a kilobyte.
GOSSIP = 8
# Members in one message of a full list: with the longest names it stays under MESSAGE.
SYNCED = 32
# Maximum characters of a name, a zone or an address.
ADDRESS = 64
# Bytes queued for one connection: two of the longest messages.
QUEUED_BYTES = 262144
# Messages queued for one connection: more than a leader sends in several leases.
QUEUED = 128
# Unsent bytes of one connection above which messages stay in the queue: what a peer reads at once.
UNSENT = 65536
# Connections open at once. Above this the one that was idle longest is closed, so that a server can still
# reach more servers one after another.
LINKS = 256
# Maximum voters: more make each commit slower and the cluster no safer.
VOTERS = 9
# Maximum singleton tasks in the operator's file.
SINGLETON_TASKS = 32
# Bytes kept of the end of a task command's output: about twenty lines.
OUTPUT_TAIL = 2000
# Bits of a fencing token below its epoch: enough for a grant per second for eight years.
EPOCH_BITS = 28
