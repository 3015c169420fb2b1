"""Decide the steps of one server's own maintenance: a table of state, input, next state and effect.

This module does no I/O. The leader's instructions are answers to reports; an instruction is carried out only
with a valid fencing token and only while the leader still considers it valid.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, IntEnum
from typing import NamedTuple

from .messages import Instruction


class LocalDrainState(IntEnum):
    """The stages of this server's maintenance."""

    SERVING = 0
    DRAINING = 1  # under a grant of the leader
    DRAINED = 2  # waits for the leader's permission to start maintenance
    IN_MAINTENANCE = 3  # its hook is running; the process ends after it
    RESTARTING = 4  # the process starts again without maintenance
    SHUTTING_DOWN = 5  # after a termination signal, or without its maintenance


class LocalDrainInput(Enum):
    """The inputs of a server's drain."""

    DRAIN_GRANTED = "drain_granted"
    MAINTENANCE_ALLOWED = "maintenance_allowed"
    RESTART_INSTRUCTED = "restart_instructed"
    TERMINATION_SIGNALLED = "termination_signalled"  # by the platform
    DRAIN_COMPLETED = "drain_completed"  # no request is read, queued, running, unanswered or in doubt
    LEADER_LOST = "leader_lost"  # no answer of a leader within the timeout


class LocalDrainEffect(Enum):
    """What the caller has to do after a transition."""

    START_DRAIN = "start_drain"
    SHUT_DOWN = "shut_down"
    REPORT_DRAINED = "report_drained"
    START_MAINTENANCE = "start_maintenance"
    RESTART = "restart"
    EXIT = "exit"


class Transition(NamedTuple):
    """One entry of the table."""

    next_state: LocalDrainState
    effect: LocalDrainEffect


STATE_TEXTS = {
    LocalDrainState.SERVING: "serves",
    LocalDrainState.DRAINING: "drains for its turn",
    LocalDrainState.DRAINED: "empty",
    LocalDrainState.IN_MAINTENANCE: "at work",
    LocalDrainState.RESTARTING: "comes back",
    LocalDrainState.SHUTTING_DOWN: "leaves",
}
"""The states as `valeturn status` prints them; operators' scripts may compare them."""

TRANSITIONS = {
    (LocalDrainState.SERVING, LocalDrainInput.DRAIN_GRANTED): Transition(
        LocalDrainState.DRAINING, LocalDrainEffect.START_DRAIN
    ),
    (LocalDrainState.SERVING, LocalDrainInput.TERMINATION_SIGNALLED): Transition(
        LocalDrainState.SHUTTING_DOWN, LocalDrainEffect.SHUT_DOWN
    ),
    (LocalDrainState.DRAINING, LocalDrainInput.DRAIN_COMPLETED): Transition(
        LocalDrainState.DRAINED, LocalDrainEffect.REPORT_DRAINED
    ),
    (LocalDrainState.DRAINING, LocalDrainInput.TERMINATION_SIGNALLED): Transition(
        LocalDrainState.SHUTTING_DOWN, LocalDrainEffect.SHUT_DOWN
    ),
    (LocalDrainState.DRAINED, LocalDrainInput.MAINTENANCE_ALLOWED): Transition(
        LocalDrainState.IN_MAINTENANCE, LocalDrainEffect.START_MAINTENANCE
    ),
    (LocalDrainState.DRAINED, LocalDrainInput.RESTART_INSTRUCTED): Transition(
        LocalDrainState.RESTARTING, LocalDrainEffect.RESTART
    ),
    (LocalDrainState.DRAINED, LocalDrainInput.TERMINATION_SIGNALLED): Transition(
        LocalDrainState.SHUTTING_DOWN, LocalDrainEffect.EXIT
    ),
    (LocalDrainState.DRAINED, LocalDrainInput.LEADER_LOST): Transition(
        LocalDrainState.SHUTTING_DOWN, LocalDrainEffect.EXIT
    ),
}
"""Pairs that are not listed change nothing and have no effect."""

INPUT_OF_INSTRUCTION: dict[str, LocalDrainInput] = {
    Instruction.DRAIN: LocalDrainInput.DRAIN_GRANTED,
    Instruction.START_MAINTENANCE: LocalDrainInput.MAINTENANCE_ALLOWED,
    Instruction.RESTART: LocalDrainInput.RESTART_INSTRUCTED,
}

ANSWERABLE_REPORTS = 8
"""Number of the latest reports whose answers are accepted: more than are sent within an answer's validity."""


class LocalDrain:
    """The state machine of one server's drain.

    Times are seconds of one monotonic clock of this server.
    """

    def __init__(self, now: float, response_validity: float, leader_timeout: float) -> None:
        """Start in the state SERVING.

        Args:
            now: The current time.
            response_validity: Seconds for which an answer is valid, from the report that it answers.
            leader_timeout: Seconds after which a drained server without a leader's answer exits without
                maintenance.
        """
        self.state = LocalDrainState.SERVING
        self.fencing_token = 0
        self.response_validity = response_validity
        self.leader_timeout = leader_timeout
        self.state_since = now
        self.leader_contact_at = now
        self.report_times: deque[float] = deque(maxlen=ANSWERABLE_REPORTS)
        self.rejected_count = 0
        self.highest_token = 0

    def record_report(self, now: float) -> float:
        """Record that a report is sent at `now` and return the timestamp that identifies it."""
        self.report_times.append(now)
        return now

    def receive_instruction(
        self, now: float, report_time: float, instruction: str, fencing_token: int
    ) -> LocalDrainEffect | None:
        """Handle the leader's instruction and return the effect to carry out, if any.

        A late instruction is rejected here, immediately before its effect: the leader may have granted
        maintenance to another server since. Unknown instructions, of newer versions, are ignored.
        """
        received = INPUT_OF_INSTRUCTION.get(instruction)
        if received is None:
            return None
        if not self._is_valid(now, report_time, fencing_token):
            self.rejected_count += 1
            return None
        self.highest_token = fencing_token
        effect = self.step(now, received)
        if effect is LocalDrainEffect.START_DRAIN:
            self.fencing_token = fencing_token
        return effect

    def _is_valid(self, now: float, report_time: float, fencing_token: int) -> bool:
        if report_time not in self.report_times or now >= report_time + self.response_validity:
            return False
        if fencing_token < max(self.highest_token, self.fencing_token):
            return False
        return self.state is LocalDrainState.SERVING or fencing_token == self.fencing_token

    def receive_termination_signal(self, now: float) -> LocalDrainEffect | None:
        """Handle the platform's termination signal, which takes precedence over maintenance."""
        return self.step(now, LocalDrainInput.TERMINATION_SIGNALLED)

    def complete_drain(self, now: float) -> LocalDrainEffect | None:
        """Handle the end of the drain: this server has no unanswered requests left."""
        return self.step(now, LocalDrainInput.DRAIN_COMPLETED)

    def tick(self, now: float) -> LocalDrainEffect | None:
        """Stop waiting once a drained server has heard from no leader within the timeout."""
        if self.state is not LocalDrainState.DRAINED:
            return None
        if now - max(self.state_since, self.leader_contact_at) <= self.leader_timeout:
            return None
        return self.step(now, LocalDrainInput.LEADER_LOST)

    def record_leader_contact(self, now: float) -> None:
        """Record that a leader answered, so that a drained server continues to wait."""
        self.leader_contact_at = now

    def step(self, now: float, received: LocalDrainInput) -> LocalDrainEffect | None:
        """Make the table's transition for one input and return its effect, if there is one."""
        transition = TRANSITIONS.get((self.state, received))
        if transition is None:
            return None
        self.state = transition.next_state
        self.state_since = now
        return transition.effect
