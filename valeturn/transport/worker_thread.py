"""Runs blocking file operations outside the event loop: in one thread, in order, with a socket for wake-ups.

It is a thread, as blocking calls (write, sync, read) let other threads run meanwhile. A process would cost
10 MB and a copy of each record, and a sync on the loop would stop it for as long as the disk takes
(docs/design/keyed-results.md).
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import deque


class WorkerThread:
    """Runs jobs in a thread. `wakeup_socket` becomes readable when some have ended."""

    busy = True  # jobs end some time after they were submitted

    def __init__(self):
        self.jobs, self.done = queue.SimpleQueue(), deque()
        self.wakeup_socket, self.notify_socket = socket.socketpair()
        self.notify_socket.setblocking(False)
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self.thread.start()

    def submit(self, tag, function, *args):
        """Call the function in the thread; `collect` returns (tag, result or OSError)."""
        self.jobs.put((tag, function, args))

    def _run(self):
        """Run jobs until None is taken from the queue."""
        while True:
            job = self.jobs.get()
            if job is None:
                return
            tag, function, args = job
            try:
                result = function(*args)
            except OSError as error:
                result = error
            except (
                Exception
            ) as error:  # a fault of the program: reported like a failing disk, never swallowed
                result = OSError(0, f"{type(error).__name__}: {error}")
            self.done.append((tag, result))
            try:
                self.notify_socket.send(b".")
            except OSError:  # full, so that wake-ups are under way already, or closed: nothing reads
                pass

    def collect(self):
        """Return (tag, result) of all jobs that have ended since the last call."""
        ended = []
        while self.done:
            ended.append(self.done.popleft())
        return ended

    def finish(self, timeout):
        """Wait for the submitted jobs and end the thread; False if they took more than `timeout` seconds."""
        self.jobs.put(None)
        self.thread.join(timeout)
        return not self.thread.is_alive()


class InlineWorker:
    """Runs each job when it is submitted or, while paused, when `step` is called: for tools and tests."""

    busy = False

    def __init__(self, paused=False):
        self.paused, self.waiting, self.done = paused, deque(), deque()

    def submit(self, tag, function, *args):
        """Queue a job, and run all that are queued unless paused."""
        self.waiting.append((tag, function, args))
        if not self.paused:
            self.step()

    def step(self, count=None):
        """Run the given number of queued jobs, or all of them."""
        while self.waiting and (count is None or count > 0):
            tag, function, args = self.waiting.popleft()
            try:
                result = function(*args)
            except OSError as error:
                result = error
            self.done.append((tag, result))
            count = None if count is None else count - 1

    def collect(self):
        """Return (tag, result) of all jobs that have ended since the last call."""
        ended = list(self.done)
        self.done.clear()
        return ended

    def finish(self, timeout):
        """Run all queued jobs, without a limit on the time."""
        self.step()
        return True
