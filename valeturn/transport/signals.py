"""Delivers signals as bytes in a pipe: the handlers do nothing, and a task reads the numbers and acts."""

from __future__ import annotations

import os
import signal
from collections import deque

from .early_signals import RECEIVED
from .scheduler import READ


class Signals:
    """Calls a function in a task for each signal, also for those that came before this object was made."""

    def __init__(self, scheduler, actions):
        """`actions` maps signal numbers to functions, which are called in a task."""
        self.actions = actions
        self.scheduler, self.pending = scheduler, deque()
        # Not a socket pair: that would be Unix sockets, which a platform may forbid.
        self.read_end, write_end = os.pipe()
        for fd in (self.read_end, write_end):
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in actions:
            signal.signal(number, lambda *_: None)
        scheduler.spawn_supervised(self.run, name="signals")
        for number in RECEIVED:
            signal.raise_signal(number)
        RECEIVED.clear()

    def run(self):
        """Call the actions of the signals that arrive; runs as a supervised task."""
        while True:
            while self.pending:  # removed one by one: a failing action must not lose the signal behind it
                self.actions[self.pending.popleft()]()
            self.scheduler.wait_fd(self.read_end, READ)
            try:
                received = os.read(self.read_end, 64)
            except BlockingIOError:
                continue
            self.pending += [number for number in received if number in self.actions]
