"""Makes a voter's state durable before the effects that depend on it are carried out.

A voter must not send a message that depends on a vote, a term or an entry that is not durable (Raft,
"Persistent state on all servers"). The writes themselves happen on a worker thread.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from .raft import Persist
from .raft_log import DurableState

# Seconds from a failed write to the next.
RETRY_INTERVAL_S = 1.0
# The worker thread's tag for writes.
JOB = "vote"

# Any effect of the Raft state machine: see raft.py.
Effect = object


class Directory(Protocol):
    """The directory in which the state is stored."""

    def write(self, data: bytes) -> None:
        """Replace the stored state durably."""


class Worker(Protocol):
    """The thread that writes."""

    def submit(self, tag: str, function: Callable[[bytes], None], /, *args: bytes) -> None:
        """Call the function on the worker thread."""


class VotePersistence:
    """Holds effects back until the state that they depend on is durable."""

    def __init__(
        self,
        directory: Directory | None,
        worker: Worker | None,
        encode: Callable[[DurableState], bytes],
    ) -> None:
        """Start without waiting effects.

        Args:
            directory: where the state is stored; None without a durable disk.
            worker: the thread that writes; None without a directory.
            encode: returns the bytes of a state.
        """
        self.directory = directory
        self.worker = worker
        self.encode = encode
        self.waiting: deque[Effect] = deque()
        self.writing = False
        self.failed_at: float | None = None

    def submit(self, effects: Iterable[Effect]) -> list[Effect]:
        """Queue effects and return those that can be carried out now, in order."""
        if self.directory is None:
            return [effect for effect in effects if not isinstance(effect, Persist)]
        self.waiting.extend(effects)
        return self.release()

    def release(self) -> list[Effect]:
        """Return the effects that no longer wait for a write, and start the next write."""
        released: list[Effect] = []
        while self.waiting and not self.writing:
            effect = self.waiting.popleft()
            if isinstance(effect, Persist):
                self._write_latest(effect)
            else:
                released.append(effect)
        return released

    def write(self, state: DurableState) -> None:
        """Start a write on the worker thread.

        Not called without a directory.
        """
        self.writing = True
        if self.directory is not None and self.worker is not None:
            self.worker.submit(JOB, self.directory.write, self.encode(state))

    def write_finished(self, now: float, result: object) -> list[Effect]:
        """Handle the result of a write and return the effects that can be carried out now.

        After an error the effects that waited for the write are dropped: this server does not vote until a
        write succeeds.

        Args:
            now: the current time in seconds.
            result: an OSError where the write failed.
        """
        self.writing = False
        if isinstance(result, OSError):
            self.waiting.clear()
            self.failed_at = now
            return []
        self.failed_at = None
        return self.release()

    def is_retry_due(self, now: float) -> bool:
        """Return whether a failed write is to be repeated now."""
        return self.failed_at is not None and not self.writing and now - self.failed_at >= RETRY_INTERVAL_S

    def _write_latest(self, first: Persist) -> None:
        """Write only the latest of all waiting states.

        The effects between them are delayed until that write ends, which is harmless.
        """
        latest = first.durable
        effects: deque[Effect] = deque()
        for effect in self.waiting:
            if isinstance(effect, Persist):
                latest = effect.durable
            else:
                effects.append(effect)
        self.waiting = effects
        self.write(latest)
