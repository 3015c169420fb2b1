"""Runs greenlets over select.poll: a ready queue, a heap of timers, and a late queue.

A round polls, wakes what is due, then runs each ready task once. Late tasks run when nothing else is ready,
so that all that can be read is read first, or after LATE_ROUNDS rounds, so that they are never starved.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from typing import NamedTuple

import greenlet

LATE_ROUNDS = 4  # reads of a burst's tail come within a few rounds; more would only delay what has been read
READ, WRITE = select.POLLIN, select.POLLOUT
AGAIN = 0.1  # s before a lasting task that failed goes on: its fault may come back at once, with a log line


def readable(fd):
    """Whether something is to be read there, accepted or seen to end at this moment: never waits."""
    poller = select.poll()
    poller.register(fd, READ)
    return bool(poller.poll(0))


class Cancelled(greenlet.GreenletExit):
    """Raised in a task that another one has cancelled."""


class Task(greenlet.greenlet):
    def __init__(self, run, name):
        super().__init__(run)
        self.name, self.parked, self.doomed, self.late = name, False, False, False


class Failed(NamedTuple):
    """What failed, where that is no task of its own."""

    name: str


class Timer:
    __slots__ = ("action", "when")

    def __init__(self, when, action):
        self.when, self.action = when, action

    def cancel(self):
        self.action = None


class Scheduler:
    def __init__(self, clock=time.monotonic, on_failure=None):
        self.clock, self.on_failure = clock, on_failure
        self.ready, self.late, self.timers, self.sequence = deque(), deque(), [], 0
        self.poller, self.waiting = select.poll(), {}  # fd -> {READ or WRITE: task}
        self.polled = {}  # fd -> what the poller looks for, which may be more than is waited for
        self.hub, self.stopping, self.rounds_late = None, False, 0
        self.turns = self.lag_sum = self.lag_most = 0  # how late timers were met, for the counters
        self.timers_met = 0

    # ---- tasks

    current = staticmethod(greenlet.getcurrent)

    def spawn(self, function, *args, name=None, late=False):
        task = Task(lambda _: function(*args), name or function.__name__)
        task.late, task.parked = late, True
        self.wake(task)
        return task

    def spawn_supervised(self, function, name):
        """One that the server can't do without: after a fault, which is told, it goes on from its beginning.
        Without this a single odd event would leave a server that lives and no longer accepts, reports or
        drains."""

        def lasting():
            while True:
                try:
                    return function()
                except Exception as error:
                    if self.on_failure is None:
                        raise
                    self.on_failure(Failed(name), error)
                self.sleep(AGAIN)

        return self.spawn(lasting, name=name)

    def wake(self, task, value=None):
        """Makes a parked task ready; the first of several wakes counts."""
        if task.parked:
            task.parked = False
            (self.late if task.late else self.ready).append((task, value))

    def park(self):
        """Gives up the turn until `wake`; returns its value."""
        task = greenlet.getcurrent()
        if task.doomed:
            raise Cancelled
        task.parked = True
        value = self.hub.switch()
        if task.doomed:
            raise Cancelled
        return value

    def cancel(self, task):
        if task.dead or task is greenlet.getcurrent():
            return
        task.doomed = True
        self.wake(task)

    def pause(self):
        """Lets the others that are ready go first."""
        self.call_later(0.0, self.wake, greenlet.getcurrent())
        self.park()

    # ---- time

    def call_later(self, delay, action, *args):
        """The action runs in the hub: it may wake tasks, never wait."""
        timer = Timer(self.clock() + max(0.0, delay), lambda: action(*args))
        self.sequence += 1
        heapq.heappush(self.timers, (timer.when, self.sequence, timer))
        return timer

    def sleep(self, delay):
        self.wait(delay)

    def wait(self, timeout=None, on_time=None):
        """Parks with an end by time: returns the value of `wake`, or `on_time`."""
        if timeout is None:
            return self.park()
        timer = self.call_later(timeout, self.wake, greenlet.getcurrent(), on_time)
        try:
            return self.park()
        finally:
            timer.cancel()

    # ---- sockets

    def wait_fd(self, fd, way, timeout=None):
        """True once the descriptor can be read or written, False when the time is up."""
        ways = self.waiting.setdefault(fd, {})
        if way in ways:
            raise RuntimeError("two tasks wait for one descriptor")
        task = ways[way] = greenlet.getcurrent()
        if not self.polled.get(fd, 0) & way:
            self.want(fd, self.polled.get(fd, 0) | way)
        try:
            return self.wait(timeout, False)
        finally:
            self.unwatch(fd, way, task)

    def unwatch(self, fd, way, task=None):
        """Of one task alone, where it is named: a closed descriptor's number may be in use again. The poller
        hears of it only when the descriptor is closed, or ready with nobody waiting: most come back."""
        ways = self.waiting.get(fd)
        if ways is not None and way in ways and task in (None, ways[way]):
            del ways[way]
            if not ways:
                del self.waiting[fd]

    def interrupt(self, fd, way):
        """Whoever waits for the descriptor goes on as if the time were up. Nobody else is woken: a wake of a
        task that waits for something else by now would be taken for that."""
        task = self.waiting.get(fd, {}).get(way)
        if task is not None:
            self.wake(task, False)

    def closing(self, fd):
        """Called before a descriptor is closed: its number will be another's."""
        for way, task in list(self.waiting.get(fd, {}).items()):
            self.wake(task, False)
            self.unwatch(fd, way)
        if self.polled.pop(fd, 0):
            self.poller.unregister(fd)

    # ---- the loop

    def stop(self):
        self.stopping = True

    def run(self):
        self.hub = greenlet.getcurrent()
        while not self.stopping:
            self.poll()
            self.meet_timers()
            for _ in range(len(self.ready)):
                self.resume(*self.ready.popleft())
            self.rounds_late = self.rounds_late + 1 if self.late else 0
            if self.late and not self.ready and not self.anything_due() or self.rounds_late > LATE_ROUNDS:
                self.rounds_late = 0
                for _ in range(len(self.late)):
                    self.resume(*self.late.popleft())

    def anything_due(self):
        """True when the poll or the timers have more for this moment; what is polled is woken."""
        return self.poll(0.0) or bool(self.timers and self.timers[0][0] <= self.clock())

    def poll(self, timeout=None):
        if timeout is None:
            timeout = None if not self.timers else max(0.0, self.timers[0][0] - self.clock())
            timeout = 0.0 if self.ready or self.late else timeout
        found = False
        for fd, seen in self.poller.poll(None if timeout is None else 1000.0 * timeout):
            ways = self.waiting.get(fd, {})
            for way, task in list(ways.items()):
                if seen & way or seen & ~(READ | WRITE):
                    found = found or task.parked
                    self.wake(task, True)
            wanted = sum(ways)
            if wanted != self.polled[fd]:
                self.want(fd, wanted)
        return found

    def want(self, fd, wanted):
        if wanted:
            self.polled[fd] = wanted
            self.poller.register(fd, wanted)
        else:
            del self.polled[fd]
            self.poller.unregister(fd)

    def meet_timers(self):
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            when, _, timer = heapq.heappop(self.timers)
            if timer.action is not None:
                self.timers_met += 1
                self.lag_sum += now - when
                self.lag_most = max(self.lag_most, now - when)
                try:
                    timer.action()
                except Exception as error:  # it runs in the hub, where a fault would end the loop
                    if self.on_failure is None:
                        raise
                    self.on_failure(Failed("timer"), error)
        if len(self.timers) > 64 and sum(t.action is None for _, _, t in self.timers) * 2 > len(self.timers):
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)

    def resume(self, task, value):
        if task.dead:
            return
        self.turns += 1
        if task.parent is not self.hub:  # an ending task goes to its parent, which else is who spawned it
            task.parent = self.hub
        try:
            if task.doomed and not task:  # never started: nothing in it to clean up
                task.throw(Cancelled)
            else:
                task.switch(value)
        except Exception as error:  # a task's fault ends that task alone
            if self.on_failure is None:
                raise
            self.on_failure(task, error)


class Mailbox:
    """A bounded queue with one owner. Putters wait while it is full, unless they cannot wait."""

    def __init__(self, scheduler, most):
        self.scheduler, self.most, self.items = scheduler, most, deque()
        self.owner, self.putters = None, deque()

    def put(self, item):
        while len(self.items) >= self.most:
            task = greenlet.getcurrent()
            self.putters.append(task)
            try:
                self.scheduler.park()
            finally:  # woken by another or cancelled: a wake left behind would meet it in some other wait
                if task in self.putters:
                    self.putters.remove(task)
        self.push(item)

    def push(self, item):
        """For those that cannot wait, such as timers, of which there are no more than what is open."""
        self.items.append(item)
        if self.owner is not None:
            self.scheduler.wake(self.owner)

    def take_all(self, timeout=None):
        """All that is there, after a wait of at most `timeout` while there is nothing."""
        if not self.items and (timeout is None or timeout > 0):
            self.owner = greenlet.getcurrent()
            try:
                self.scheduler.wait(timeout)
            finally:
                self.owner = None
        taken, self.items = self.items, deque()
        while self.putters:
            self.scheduler.wake(self.putters.popleft())
        return taken
