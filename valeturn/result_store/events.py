"""What the store reports to the dispatcher."""

from __future__ import annotations

from typing import Final, NamedTuple

# Kinds. Plain strings, not an Enum, whose attributes are slow to read: they are compared once per request.
INTENT_DURABLE: Final = "intent_durable"  # the request may be sent to the executor
INTENT_LOST: Final = "intent_lost"  # the request must not be executed
RESULT_READ: Final = "result_read"  # the answer of a duplicate, or None where it can't be read


class StoreEvent(NamedTuple):
    """A report about one request."""

    kind: str
    request_id: int
    body: bytes | None  # the result, with RESULT_READ
