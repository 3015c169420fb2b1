"""A submission as all fronts hand it on."""

from __future__ import annotations

from typing import NamedTuple


class Submission(NamedTuple):
    """What any front decodes a submission to; `stream` is where the front wants its answer."""

    stream: int
    call_id: str
    workload: str
    tenant: str | None
    arrived_at: float  # Unix seconds
    timeout: float | None  # how long from then its caller waits
    cost_hint: float | None
    memory: float
    rank: float
    caller: int
    subject: str | None
    idempotency_key: str | None
    is_retry: bool
    body: bytes
