"""The interface of the store's worker thread, and the tags of its jobs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from .log_jobs import LogJob


class Worker(Protocol):
    """Runs jobs in order, outside the event loop; see transport/worker_thread.py."""

    busy: bool  # whether jobs run asynchronously, so that the caller has to wait for their results

    def submit(self, tag: object, function: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
        """Queue a call; `collect` returns its result together with `tag`."""

    def collect(self) -> list[tuple[Any, Any]]:
        """Return the tag and the result, or the OSError, of all jobs that ended."""

    def finish(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` seconds for all jobs; return whether they ended."""


class SegmentBegun(NamedTuple):
    """A segment was begun."""

    number: int


class FrameAppended(NamedTuple):
    """The batch in flight was written and synced."""


class SegmentAbandoned(NamedTuple):
    """The descriptor of a segment whose write failed was closed."""


class JobStepDone(NamedTuple):
    """A step of a background job ended, or where `job` is None, the removal or renaming of a file."""

    step: str
    job: LogJob | None


class RecordRead(NamedTuple):
    """A stored result was read for a duplicate."""

    request_id: int
    digest: bytes
