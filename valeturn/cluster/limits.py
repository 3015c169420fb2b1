"""Bounds of all that a fleet's parts keep."""

MEMBERS = 1024  # known at once, those that are gone too: a thousand servers are the largest fleet aimed at
MESSAGE = 131072  # bytes: the facts of a release over a thousand servers; a list of MEMBERS comes in several
GOSSIP = 8  # news in one message: 60 bytes each, so that a message stays under half a kilobyte
SYNCED = 32  # members in one message of a list: with the longest names it stays under MESSAGE
ADDRESS = 64  # characters of a name, a zone or an address
QUEUED_BYTES = 262144  # of them; two of the longest
QUEUED = 128  # messages that wait for one link: more than a leader sends in several leases
UNSENT = 65536  # bytes that wait in one link before messages wait in the queue: what a peer reads at once
LINKS = 256  # open at once; past it the one idle the longest goes. More servers are reached, by turns
VOTERS = 9  # more make each fact slower and no fleet safer
DUTIES = 32
TAIL = 2000  # bytes kept of what a duty's command printed last: some twenty lines
EPOCH = 28  # bits of a fence under its epoch: a grant a second for eight years
