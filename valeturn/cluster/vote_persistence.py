"""Keeps what a voter must not forget: effects behind a Persist wait until it is durable."""

from __future__ import annotations

from collections import deque

from .raft import Persist

RETRY = 1.0  # s from a write that failed to the next


class Keeping:
    def __init__(self, folder, helper, encode):
        """folder: None where nothing outlasts the server. encode(kept) -> bytes."""
        self.folder, self.helper, self.encode = folder, helper, encode
        self.waiting, self.writing, self.failed_at = deque(), False, None

    def carry(self, effects):
        """All that may be done now, in order."""
        if self.folder is None:
            return [one for one in effects if not isinstance(one, Persist)]
        self.waiting.extend(effects)
        return self.go_on()

    def go_on(self):
        out = []
        while self.waiting and not self.writing:
            one = self.waiting.popleft()
            if not isinstance(one, Persist):
                out.append(one)
                continue
            # The last of several may stand for all: a message that goes out later than it might is only late.
            all_kept = [one.durable, *(other.durable for other in self.waiting if isinstance(other, Persist))]
            self.waiting = deque(other for other in self.waiting if not isinstance(other, Persist))
            self.write(all_kept[-1])
        return out

    def write(self, kept):
        self.writing = True
        self.helper.ask("vote", self.folder.write, self.encode(kept))

    def written(self, now, result):
        """What may go out now. After an error nothing does that waited for it, and this server votes no more
        until its disk takes what it has to keep."""
        self.writing = False
        if isinstance(result, OSError):
            self.waiting.clear()
            self.failed_at = now
            return []
        self.failed_at = None
        return self.go_on()

    def wants_retry(self, now):
        return self.failed_at is not None and not self.writing and now - self.failed_at >= RETRY
