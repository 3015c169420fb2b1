"""Does what may wait for the disk beside the loop: one thread, jobs in their order, ends told through a
socket.

A thread, as the calls that wait (write, sync, read) let others run meanwhile; a process would cost 10 MB and
a copy of each record, and syncing on the loop stops it for as long as the disk likes
(docs/design/keyed-results.md).
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import deque


class WorkerThread:
    busy = True  # its jobs end by and by

    def __init__(self):
        self.jobs, self.done = queue.SimpleQueue(), deque()
        self.end, self.other = socket.socketpair()
        self.other.setblocking(False)
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.thread.start()

    def submit(self, what, function, *args):
        """Calls the function over there; (what, result or OSError) comes back through `collect`."""
        self.jobs.put((what, function, args))

    def _run(self):
        while True:
            job = self.jobs.get()
            if job is None:
                return
            what, function, args = job
            try:
                result = function(*args)
            except OSError as error:
                result = error
            except Exception as error:  # a fault of the program: told like a disk that fails, never swallowed
                result = OSError(0, f"{type(error).__name__}: {error}")
            self.done.append((what, result))
            try:
                self.other.send(b".")
            except OSError:  # full: there are wake-ups enough on their way; or closed: nobody listens
                pass

    def collect(self):
        """All ends that were not taken yet."""
        out = []
        while self.done:
            out.append(self.done.popleft())
        return out

    def finish(self, patience):
        """Waits for the jobs that were asked for. False where they took longer."""
        self.jobs.put(None)
        self.thread.join(patience)
        return not self.thread.is_alive()


class InlineWorker:
    """Does each job when it is asked for, or, held, when `step` says so: for tools and tests."""

    busy = False

    def __init__(self, held=False):
        self.held, self.waiting, self.done = held, deque(), deque()

    def submit(self, what, function, *args):
        self.waiting.append((what, function, args))
        if not self.held:
            self.step()

    def step(self, count=None):
        while self.waiting and (count is None or count > 0):
            what, function, args = self.waiting.popleft()
            try:
                result = function(*args)
            except OSError as error:
                result = error
            self.done.append((what, result))
            count = None if count is None else count - 1

    def collect(self):
        out = list(self.done)
        self.done.clear()
        return out

    def finish(self, patience):
        self.step()
        return True
