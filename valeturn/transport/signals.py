"""Signals as bytes on a socket: the handlers do nothing, a task reads the numbers and acts on them."""

from __future__ import annotations

import signal
import socket

from .streams import Stream


HELD = []  # numbers that came before a Signals took over


def hold(number):
    """Keeps a signal for the Signals to come."""
    signal.signal(number, lambda number, _: HELD.append(number))


class Signals:
    def __init__(self, scheduler, actions):
        """actions: signal number -> function, called in a task."""
        self.actions = actions
        end, self.other = socket.socketpair()
        self.other.setblocking(False)
        self.stream = Stream(scheduler, end)
        signal.set_wakeup_fd(self.other.fileno(), warn_on_full_buffer=False)
        for number in actions:
            signal.signal(number, lambda *_: None)
        scheduler.spawn(self.run, name="signals")
        for number in HELD:
            signal.raise_signal(number)
        HELD.clear()

    def run(self):
        while True:
            got = self.stream.read()
            if not isinstance(got, bytes):
                return
            for number in got:
                if number in self.actions:
                    self.actions[number]()
