"""What the store asks of its worker thread: the kinds of jobs, and the thread's interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from .log_jobs import LogJob


class Worker(Protocol):
    """Runs jobs in their order, beside the event loop; see transport/worker_thread.py."""

    busy: bool  # whether jobs end later than they are asked for

    def submit(self, what: object, function: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
        """Queue a call; `what` comes back with its result."""

    def collect(self) -> list[tuple[Any, Any]]:
        """Return what was asked for and its result, or the OSError, for all jobs that ended."""

    def finish(self, patience: float) -> bool:
        """Wait up to `patience` seconds for all jobs; return whether they ended."""


class SegmentBegun(NamedTuple):
    """A segment was begun."""

    number: int


class FrameAppended(NamedTuple):
    """The batch in flight was written and synced."""


class SegmentAbandoned(NamedTuple):
    """The descriptor of a segment whose write failed was closed."""


class JobStepDone(NamedTuple):
    """A step of a background job, or of the upkeep of files where `job` is None."""

    step: str
    job: LogJob | None


class RecordRead(NamedTuple):
    """A stored result was read for a duplicate."""

    request_id: int
    digest: bytes
