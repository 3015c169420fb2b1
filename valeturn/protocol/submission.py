"""The decoded form of a submission."""

from __future__ import annotations

from typing import NamedTuple


class Submission(NamedTuple):
    """A submission as a gateway's connection carries it, decoded to seconds."""

    stream: int  # of the connection: the answer carries the same number
    call_id: str  # 16 hex digits that identify the submission on all connections
    workload: str  # name
    tenant: str | None  # name
    arrived_at: float  # Unix time in seconds when it reached the machine
    timeout: float | None  # seconds from arrived_at until its caller gives up
    cost_hint: float | None  # seconds of one core that the caller estimates for the work
    memory: float  # kilobytes that it takes while it is queued
    rank: float  # importance, from 0 up to but not including 1
    caller: int  # number of the caller
    subject: str | None  # what an idempotent (read) submission is about; writes have none
    idempotency_key: str | None  # the same for all repeats of a submission
    is_retry: bool  # the caller has submitted the same work before
    body: bytes  # passed to the executor as it is
