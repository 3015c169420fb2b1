"""Make a voter's state durable before the effects that depend on it are carried out.

A voter must not send a message that rests on a vote, a term or an entry that it could forget (Raft,
"Persistent state on all servers"). The writes themselves happen on a worker thread.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from .raft import Persist
from .raft_log import DurableState

# Seconds from a write that failed to the next.
RETRY_INTERVAL_S = 1.0
# The name of the write among the jobs of the worker thread.
JOB = "vote"

# Any effect of the Raft machine: see raft.py.
Effect = object


class Directory(Protocol):
    """Where the state is stored."""

    def write(self, data: bytes) -> None:
        """Replace what is stored, durably."""


class Worker(Protocol):
    """The thread that writes."""

    def submit(self, what: str, function: Callable[[bytes], None], /, *args: bytes) -> None:
        """Call the function on the thread."""


class VotePersistence:
    """Holds effects back until the state that they depend on is durable."""

    def __init__(
        self,
        directory: Directory | None,
        worker: Worker | None,
        encode: Callable[[DurableState], bytes],
    ) -> None:
        """Start with nothing held back.

        Args:
            directory: where the state is stored; None where nothing outlasts the server.
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
        """Take effects and return those that can be carried out now, in order."""
        if self.directory is None:
            return [effect for effect in effects if not isinstance(effect, Persist)]
        self.waiting.extend(effects)
        return self.release()

    def release(self) -> list[Effect]:
        """Return the effects that wait for no write any more, and start the next write."""
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

        Without a directory there is nothing to write to: nobody asks for it then.
        """
        self.writing = True
        if self.directory is not None and self.worker is not None:
            self.worker.submit(JOB, self.directory.write, self.encode(state))

    def write_finished(self, now: float, result: object) -> list[Effect]:
        """Take the result of a write and return the effects that can be carried out now.

        After an error the effects that waited for the write are dropped: this server votes no more until its
        disk takes the state.

        Args:
            now: the time.
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
        """Write the last of all waiting states in place of each.

        The effects between them go out later than they might, which is harmless.
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
