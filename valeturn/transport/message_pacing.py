"""Slows down connections that send more messages than a client of their kind needs.

A connection may send a burst and a steady rate of messages. One that sends more is not read for a while, so
that the kernel holds its sender back and the CPU is left to the others. The more connections are held back at
a time, the longer each of them waits.
"""

from __future__ import annotations

from collections.abc import Callable

from .scheduler import Scheduler
from .streams import Stream

# Messages that are decoded and handled before other tasks get their turn.
MAX_MESSAGES_PER_TURN = 32
# Messages of one connection in one period that are handled without a pause: a gateway has 32 submissions
# open, and may cancel each.
MESSAGES_PER_PERIOD = 64
PERIOD_S = 0.02  # also the pause of a connection that is held back alone
MAX_PAUSE_S = 0.5  # well below the time in which a client has to be answered
# Messages of all connections together, and how far they may get ahead of that rate.
MESSAGES_PER_S = 6400.0
MAX_BACKLOG_S = 4.0


class MessageBudget:
    """The messages that one connection may still send without a pause.

    A connection on which nothing is left unread saves what it does not use, up to MESSAGES_PER_PERIOD. So a
    client that sends little is not held back for what has gathered while the process was slow.
    """

    def __init__(self) -> None:
        self._period_began: float | None = None  # until the first message
        self._remaining = 0
        self._handled_in_turn = 0

    def spend(
        self, now: float, count: int, allowance: int = MESSAGES_PER_PERIOD, caught_up: bool = False
    ) -> bool:
        """Count messages that were handled; return whether the budget is used up.

        Args:
            now: The current time in seconds.
            count: How many messages were handled.
            allowance: How many messages the connection may send in a period.
            caught_up: Whether all that the client had sent was read since the last call.
        """
        if caught_up:  # the others had their turns meanwhile
            self._handled_in_turn = 0
        if self._period_began is None:
            self._period_began = now
            self._remaining = allowance
        elapsed_periods = int((now - self._period_began) / PERIOD_S)
        if elapsed_periods:
            saved = self._remaining + elapsed_periods * allowance
            self._period_began = now
            self._remaining = min(MESSAGES_PER_PERIOD, saved) if caught_up else allowance
        self._remaining -= count
        self._handled_in_turn += count
        return self._remaining <= 0

    def ends_turn(self) -> bool:
        """Return whether other tasks are to get their turn now; a new turn begins then."""
        if self._handled_in_turn < MAX_MESSAGES_PER_TURN:
            return False
        self._handled_in_turn = 0
        return True


class MessagePacing:
    """Gives other tasks their turns between the messages of the connections of one kind.

    All connections share one rate. Past it those over their budgets wait longer, and where MAX_PAUSE_S is not
    enough, each connection may send fewer messages at a time without a pause.
    """

    def __init__(self, scheduler: Scheduler, on_pause: Callable[[], None]) -> None:
        """Begin without a backlog.

        Args:
            scheduler: Runs the tasks of the connections.
            on_pause: Called each time a connection is held back.
        """
        self._scheduler = scheduler
        self._on_pause = on_pause
        self._backlog_ends = 0.0  # when what was handled is within the shared rate again
        # Messages that may be decoded before other tasks get their turn, as of the last call of `after`.
        self.turn_limit = MAX_MESSAGES_PER_TURN

    def allowance(self, now: float) -> int:
        """Return how many messages a connection may send in a period, which falls as the backlog grows.

        Args:
            now: The current time in seconds.
        """
        backlog_s = self._backlog_ends - now
        if backlog_s <= MAX_PAUSE_S:
            return MESSAGES_PER_PERIOD
        return int(MESSAGES_PER_PERIOD * MAX_PAUSE_S / backlog_s)

    def after(self, stream: Stream, budget: MessageBudget, count: int) -> None:
        """Count messages of a connection that were handled, and suspend its task where that is due.

        A pause ends at once when the other side closes the connection. One that does not read what it is sent
        is held back whatever its budget.

        Args:
            stream: The connection.
            budget: The connection's budget.
            count: How many messages were handled since the last call.
        """
        now = self._scheduler.clock()
        allowance = self.allowance(now)
        self.turn_limit = min(MAX_MESSAGES_PER_TURN, allowance)
        backlog_ends = max(now, self._backlog_ends) + count / MESSAGES_PER_S
        self._backlog_ends = min(now + MAX_BACKLOG_S, backlog_ends)
        if budget.spend(now, count, allowance, stream.take_caught_up()) or stream.unsent:
            self._hold_back(stream)
        elif budget.ends_turn():
            self._scheduler.yield_to_all()

    def _hold_back(self, stream: Stream) -> None:
        self._on_pause()
        backlog_s = self._backlog_ends - self._scheduler.clock()
        stream.wait_for_hangup(min(MAX_PAUSE_S, max(PERIOD_S, backlog_s)))
        self._scheduler.yield_to_all()
