"""Signals that come before the loop does: kept, not lost, and not the end of a process that nobody has asked
anything yet. Imports next to nothing, as it comes before all else that is loaded."""

from __future__ import annotations

import signal

HELD = []  # numbers, in their order
LEAVE = (signal.SIGTERM, signal.SIGINT)
ALL = (*LEAVE, signal.SIGHUP, signal.SIGUSR1)  # what a server may be sent, and would end by


def hold():
    """Keeps them for the `Signals` to come."""
    for number in ALL:
        signal.signal(number, lambda number, _: HELD.append(number))


def ignore():
    """At the end: while the interpreter takes itself apart handlers of Python are none any more, and a notice
    that comes twice would make an orderly end one by a signal."""
    for number in ALL:
        signal.signal(number, signal.SIG_IGN)


def leaving():
    """True once one came that asks the process to end."""
    return any(number in LEAVE for number in HELD)
