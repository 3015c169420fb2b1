"""A submission as all fronts hand it on."""

from __future__ import annotations

from typing import NamedTuple


class Submitted(NamedTuple):
    """What any front decodes a submission to; `stream` is where the front wants its answer."""

    stream: int
    call: str
    workload: str
    tenant: str | None
    reached: float  # Unix seconds
    wait: float | None  # how long from then its caller waits
    hint: float | None
    memory: float
    rank: float
    caller: int
    subject: str | None
    mark: str | None
    retry: bool
    body: bytes
