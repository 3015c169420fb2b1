"""The states of a kept key and what moves it: a table, without I/O.

An entry is what the store knows of one key within its window. A restart is an input like the others: it finds
what the disk has, so an intent that was not durable is ABSENT after it and one that was is MAYBE.
"""

from __future__ import annotations

# ABSENT: a newcomer may run. NOTED: its intent is on its way to the disk, nothing was sent. SENT: its intent
# is durable and the executor may have it. KEPT: it ended with a result. FAILED: it ended, or was stopped,
# without. MAYBE: a run from before a restart, of which only the intent is known.
ABSENT, NOTED, SENT, KEPT, FAILED, MAYBE = range(6)
STATES = ("absent", "noted", "sent", "kept", "failed", "maybe")
# NOTE: the module starts it. SYNCED, UNSYNCED: the intent is durable, or can't be made so. DONE, ENDED: the
# run is over, with a result or without. UNBEGUN: proved that it never ran. RESTART, EXPIRED: of the server;
# of its window.
NOTE, SYNCED, UNSYNCED, DONE, ENDED, UNBEGUN, RESTART, EXPIRED = range(8)

# (state, input) -> (next state, effect). A missing pair changes nothing: it is told as a fault by `move`.
TABLE = {
    (ABSENT, NOTE): (NOTED, "write_intent"),
    (NOTED, SYNCED): (SENT, "send"),
    (NOTED, UNSYNCED): (ABSENT, "refuse"),
    (NOTED, UNBEGUN): (ABSENT, "write_unsent"),
    (NOTED, RESTART): (MAYBE, None),  # its write may have come through whole
    (SENT, DONE): (KEPT, "write_result"),
    (SENT, ENDED): (FAILED, "write_failed"),
    (SENT, UNBEGUN): (ABSENT, "write_unsent"),
    (SENT, RESTART): (MAYBE, None),
    (MAYBE, DONE): (KEPT, "write_result"),  # the executor told after all
    (MAYBE, ENDED): (FAILED, "write_failed"),
    (MAYBE, UNBEGUN): (ABSENT, "write_unsent"),
    (MAYBE, RESTART): (MAYBE, None),
    (KEPT, RESTART): (KEPT, None),
    (FAILED, RESTART): (FAILED, None),
    (ABSENT, RESTART): (ABSENT, None),
    (KEPT, EXPIRED): (ABSENT, "drop"),
    (FAILED, EXPIRED): (ABSENT, "drop"),
    (MAYBE, EXPIRED): (ABSENT, "drop"),
}

# What a repeat of an entry in this state meets.
MEETS = {ABSENT: "run", NOTED: "join", SENT: "join", KEPT: "answer", FAILED: "write_off", MAYBE: "write_off"}


def move(state, given):
    """(next state, effect), or None where the pair has no meaning."""
    return TABLE.get((state, given))
