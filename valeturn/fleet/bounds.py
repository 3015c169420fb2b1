"""Bounds of all that a fleet's parts keep."""

MEMBERS = 1024  # known at once, those that are gone too: a thousand servers are the largest fleet aimed at
MESSAGE = 16384  # bytes: a list of MEMBERS comes in several
GOSSIP = 8  # news in one message: 60 bytes each, so that a message stays under half a kilobyte
SYNCED = 32  # members in one message of a list: with the longest names it stays under MESSAGE
ADDRESS = 64  # characters of a name, a zone or an address
