"""Signals as bytes in a pipe: the handlers do nothing, a task reads the numbers and acts on them."""

from __future__ import annotations

import os
import signal
from collections import deque

from .early_signals import HELD
from .scheduler import READ


class Signals:
    def __init__(self, scheduler, actions):
        """actions: signal number -> function, called in a task."""
        self.actions = actions
        self.scheduler, self.came = scheduler, deque()
        self.end, other = os.pipe()  # not a pair of sockets: those are Unix sockets, which a platform may bar
        for fd in (self.end, other):
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(other, warn_on_full_buffer=False)
        for number in actions:
            signal.signal(number, lambda *_: None)
        scheduler.spawn_supervised(self.run, name="signals")
        for number in HELD:
            signal.raise_signal(number)
        HELD.clear()

    def run(self):
        while True:
            while self.came:  # taken out one by one: a fault with one must not lose the notice behind it
                self.actions[self.came.popleft()]()
            self.scheduler.wait_fd(self.end, READ)
            try:
                got = os.read(self.end, 64)
            except BlockingIOError:
                continue
            self.came += [number for number in got if number in self.actions]
