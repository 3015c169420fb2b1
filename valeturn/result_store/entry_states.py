"""The states of an entry and the transitions between them: a table without I/O.

An entry is the store's information about one idempotency key within its deduplication window. A restart is an
input like the others: the state after it follows from what is on the disk, so that a key is ABSENT if its
intent was not durable, and IN_DOUBT if it was.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# States. Plain integers, not an Enum: they are written into index rows and compared once per request.
ABSENT: Final = 0  # Nothing is known: a request with this key may be executed.
INTENT_PENDING: Final = 1  # The intent is being written; nothing was sent to the executor.
EXECUTING: Final = 2  # The intent is durable, and the executor may have the request.
STORED: Final = 3  # The execution ended with a result.
FAILED: Final = 4  # The execution ended or was cancelled without a result.
IN_DOUBT: Final = 5  # An execution from before a restart of which only the intent is known.
ALL_STATES: Final = (ABSENT, INTENT_PENDING, EXECUTING, STORED, FAILED, IN_DOUBT)

# Inputs. Plain integers for the same reason; dispatch/deduplication.py repeats three of them.
START: Final = 0  # The admission controller starts the request.
INTENT_DURABLE: Final = 1
INTENT_LOST: Final = 2  # The intent could not be made durable.
SUCCEEDED: Final = 3  # The execution ended with a result.
ENDED_WITHOUT_RESULT: Final = 4
NEVER_STARTED: Final = 5  # The execution is known never to have begun.
RESTART: Final = 6  # The server was restarted.
WINDOW_ENDED: Final = 7  # The deduplication window is over.


class EntryEffect(StrEnum):
    """What the store does on a transition."""

    WRITE_INTENT = "write_intent"
    SEND = "send"
    REJECT = "reject"
    WRITE_RESULT = "write_result"
    WRITE_FAILED = "write_failed"
    WRITE_UNSENT = "write_unsent"
    DROP = "drop"


class LookupOutcome(StrEnum):
    """What the dispatcher does with a request after its key was looked up."""

    EXECUTE = "execute"  # Unknown key: the request may be executed.
    COALESCE = "coalesce"  # Wait for the execution in progress.
    ANSWER = "answer"  # The stored result is the answer.
    FAIL = "fail"  # Possibly executed, without a result: report a failure, never execute it again.


# (state, input) -> (next state, effect). Other pairs change nothing; the store counts them as errors.
TRANSITIONS: Final[dict[tuple[int, int], tuple[int, EntryEffect | None]]] = {
    (ABSENT, START): (INTENT_PENDING, EntryEffect.WRITE_INTENT),
    (INTENT_PENDING, INTENT_DURABLE): (EXECUTING, EntryEffect.SEND),
    (INTENT_PENDING, INTENT_LOST): (ABSENT, EntryEffect.REJECT),
    (INTENT_PENDING, NEVER_STARTED): (ABSENT, EntryEffect.WRITE_UNSENT),
    (INTENT_PENDING, RESTART): (IN_DOUBT, None),  # The whole write may have reached the disk.
    (EXECUTING, SUCCEEDED): (STORED, EntryEffect.WRITE_RESULT),
    (EXECUTING, ENDED_WITHOUT_RESULT): (FAILED, EntryEffect.WRITE_FAILED),
    (EXECUTING, NEVER_STARTED): (ABSENT, EntryEffect.WRITE_UNSENT),
    (EXECUTING, RESTART): (IN_DOUBT, None),
    (IN_DOUBT, SUCCEEDED): (STORED, EntryEffect.WRITE_RESULT),  # The executor reported the end later.
    (IN_DOUBT, ENDED_WITHOUT_RESULT): (FAILED, EntryEffect.WRITE_FAILED),
    (IN_DOUBT, NEVER_STARTED): (ABSENT, EntryEffect.WRITE_UNSENT),
    (IN_DOUBT, RESTART): (IN_DOUBT, None),
    (STORED, RESTART): (STORED, None),
    (FAILED, RESTART): (FAILED, None),
    (ABSENT, RESTART): (ABSENT, None),
    (STORED, WINDOW_ENDED): (ABSENT, EntryEffect.DROP),
    (FAILED, WINDOW_ENDED): (ABSENT, EntryEffect.DROP),
    (IN_DOUBT, WINDOW_ENDED): (ABSENT, EntryEffect.DROP),
}

# What a duplicate of an entry in this state receives.
LOOKUP_OUTCOMES: Final[dict[int, LookupOutcome]] = {
    ABSENT: LookupOutcome.EXECUTE,
    INTENT_PENDING: LookupOutcome.COALESCE,
    EXECUTING: LookupOutcome.COALESCE,
    STORED: LookupOutcome.ANSWER,
    FAILED: LookupOutcome.FAIL,
    IN_DOUBT: LookupOutcome.FAIL,
}


def transition(state: int, entry_input: int) -> tuple[int, EntryEffect | None] | None:
    """Return the next state and the effect, or None where the input is not valid in this state."""
    return TRANSITIONS.get((state, entry_input))
