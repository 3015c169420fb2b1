"""Signals that come before the loop does: kept, not lost, and not the end of a process that nobody has asked
anything yet. Imports next to nothing, as it comes before all else that is loaded."""

from __future__ import annotations

import signal

HELD = []  # numbers, in their order
LEAVE = (signal.SIGTERM, signal.SIGINT)


def hold(*numbers):
    """Keeps these signals for the `Signals` to come."""
    for number in numbers:
        signal.signal(number, lambda number, _: HELD.append(number))


def leaving():
    """True once one came that asks the process to end."""
    return any(number in LEAVE for number in HELD)
