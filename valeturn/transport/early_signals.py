"""Handles signals that arrive before the event loop runs.

They are recorded, so that they are neither lost nor end a process that has not read anything yet. This module
imports next to nothing, as it is loaded before everything else.
"""

from __future__ import annotations

import signal

RECEIVED = []  # numbers of the signals received so far, in their order; `Signals` takes them over
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# What a server may be sent, and what would end it without a handler.
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP, signal.SIGUSR1)


def install():
    """Install handlers that record signals until `Signals` takes over."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda number, _: RECEIVED.append(number))


def ignore():
    """Ignore all signals from now on; called at the end of the process.

    Handlers written in Python no longer work while the interpreter shuts down: a repeated signal would turn
    an orderly end into a death by that signal.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def termination_requested():
    """Whether a signal that asks the process to end has been recorded."""
    return any(number in TERMINATION_SIGNALS for number in RECEIVED)
