"""Slows down connections that send more messages than a client of their kind needs.

A connection may send a burst and a steady rate of messages. One that sends more is not read for a while, so
that the kernel holds its sender back and the CPU is left to the others. The more connections are held back at
a time, the longer each of them waits.
"""

from __future__ import annotations

from .scheduler import Scheduler
from .streams import Stream

# Messages that are decoded and handled before other tasks get their turn.
MAX_MESSAGES_PER_TURN = 32
# Messages of one connection in one period that are handled without a pause: a gateway has 32 submissions
# open, and may cancel each.
MESSAGES_PER_PERIOD = 64
PERIOD_S = 0.02  # also the pause of a connection that is held back alone
MAX_PAUSE_S = 0.5  # well below the time in which a client has to be answered


class MessageBudget:
    """The messages that one connection has sent in its current period."""

    def __init__(self) -> None:
        self._period_began = 0.0
        self._handled = 0
        self._handled_in_turn = 0

    def spend(self, now: float, count: int) -> bool:
        """Count messages that were handled; return whether the budget of the period is used up.

        Args:
            now: The current time in seconds.
            count: How many messages were handled.
        """
        if now - self._period_began >= PERIOD_S:
            self._period_began = now
            self._handled = 0
        self._handled += count
        self._handled_in_turn += count
        return self._handled >= MESSAGES_PER_PERIOD

    def ends_turn(self) -> bool:
        """Return whether other tasks are to get their turn now; a new turn begins then."""
        if self._handled_in_turn < MAX_MESSAGES_PER_TURN:
            return False
        self._handled_in_turn = 0
        return True


class MessagePacing:
    """Gives other tasks their turns between the messages of the connections of one kind.

    Attributes:
        pauses: How often a connection was held back.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.pauses = 0
        self._scheduler = scheduler
        self._paused_connections = 0

    def after(self, stream: Stream, budget: MessageBudget, count: int) -> None:
        """Count messages of a connection that were handled, and suspend its task where that is due.

        A pause ends at once when the other side closes the connection.

        Args:
            stream: The connection.
            budget: The connection's budget.
            count: How many messages were handled since the last call.
        """
        if budget.spend(self._scheduler.clock(), count):
            self._hold_back(stream)
        elif budget.ends_turn():
            self._scheduler.pause()

    def _hold_back(self, stream: Stream) -> None:
        self.pauses += 1
        self._paused_connections += 1
        try:
            if stream.fault is not None:
                self._scheduler.pause()
                return
            stream.wait_for_hangup(min(MAX_PAUSE_S, PERIOD_S * self._paused_connections))
        finally:
            self._paused_connections -= 1
