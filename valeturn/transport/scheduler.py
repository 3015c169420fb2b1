"""Runs greenlets over select.poll: a queue of ready tasks, two of tasks that come later, a heap of timers.

Each round polls, runs the timers that are due, and then resumes each ready task once. Low-priority tasks are
resumed when nothing else is ready, so that everything readable is read first, or after MAX_DEFERRED_ROUNDS
rounds, so that they are never starved. Tasks that yield to all others are resumed last, for
YIELDED_TIME_PER_ROUND_S, so that however many they are, a round does not take much longer.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import OrderedDict, deque
from typing import NamedTuple

import greenlet

# Rounds that low-priority tasks wait at most. The tail of a burst is read within a few rounds; a longer wait
# would only delay what has been read.
MAX_DEFERRED_ROUNDS = 4
# For tasks that yielded to all others, in each round; at least one of them is resumed.
YIELDED_TIME_PER_ROUND_S = 0.001
READ, WRITE = select.POLLIN, select.POLLOUT
# The other side has shut down its sending side, though bytes may still be unread.
HANGUP = select.POLLRDHUP
# Before a supervised task that failed starts again: its fault may recur at once, with a log line each time.
RESTART_DELAY_S = 0.1


def readable(fd):
    """Whether there is something to read or accept, or an end to be seen; never waits."""
    poller = select.poll()
    poller.register(fd, READ)
    return bool(poller.poll(0))


class Cancelled(greenlet.GreenletExit):
    """Raised in a task that another task has cancelled."""


class Task(greenlet.greenlet):
    """A greenlet with a name, and the state that the scheduler keeps of it."""

    def __init__(self, run, name):
        super().__init__(run)
        # Whether it waits for a wake; whether it was cancelled; in which queue it waits to be resumed.
        self.name, self.parked, self.cancelled, self.low_priority = name, False, False, False


class FailureSource(NamedTuple):
    """Names what has failed, in place of a task, to `on_failure`."""

    name: str


class Timer:
    """An action that runs at a time of the scheduler's clock; None once it is cancelled."""

    __slots__ = ("action", "when")

    def __init__(self, when, action):
        self.when, self.action = when, action

    def cancel(self):
        """Keep the action from running."""
        self.action = None


class Scheduler:
    """Runs tasks, timers and waits for descriptors in one thread."""

    def __init__(self, clock=time.monotonic, on_failure=None):
        """`on_failure(task, error)` is called for each exception in a task; without it the loop raises it."""
        self.clock, self.on_failure = clock, on_failure
        # Entries of the queues are (task, value of its wake); of the heap (time, sequence, timer).
        self.ready, self.low_priority_ready, self.timers, self.sequence = deque(), deque(), [], 0
        self.poller, self.waiting = select.poll(), {}  # fd -> {READ, WRITE or HANGUP: task}
        self.polled = {}  # fd -> events the poller looks for, which may be more than tasks wait for
        self.yielded = OrderedDict()  # tasks that yielded to all others, as keys
        self.hub, self.stopping, self.deferred_rounds = None, False, 0
        # For the counters: how often a task was resumed, and seconds that timers were late.
        self.turns = self.lag_sum = self.max_lag = 0
        self.timers_fired = 0

    # ---- tasks

    current = staticmethod(greenlet.getcurrent)

    def spawn(self, function, *args, name=None, low_priority=False):
        """Start a task that calls the function; it first runs in a later turn."""
        task = Task(lambda _: function(*args), name or function.__name__)
        task.low_priority, task.parked = low_priority, True
        self.wake(task)
        return task

    def spawn_supervised(self, function, name):
        """Start a task that the server can't do without: after a fault, which is reported, it starts again.

        Without this a single unusual event would leave a server that lives but no longer accepts, reports or
        drains.
        """

        def supervise():
            while True:
                try:
                    return function()
                except Exception as error:
                    if self.on_failure is None:
                        raise
                    self.on_failure(FailureSource(name), error)
                self.sleep(RESTART_DELAY_S)

        return self.spawn(supervise, name=name)

    def wake(self, task, value=None):
        """Make a parked task ready; of several wakes the first one counts."""
        if task.parked:
            task.parked = False
            (self.low_priority_ready if task.low_priority else self.ready).append((task, value))

    def park(self):
        """Suspend the current task until `wake`; returns the value given there."""
        task = greenlet.getcurrent()
        if task.cancelled:
            raise Cancelled
        task.parked = True
        value = self.hub.switch()
        if task.cancelled:
            raise Cancelled
        return value

    def cancel(self, task):
        """Raise Cancelled in another task, where it waits now or the next time."""
        if task.dead or task is greenlet.getcurrent():
            return
        task.cancelled = True
        self.wake(task)

    def pause(self):
        """Let the other ready tasks run first."""
        self.call_later(0.0, self.wake, greenlet.getcurrent())
        self.park()

    def yield_to_all(self):
        """Let all others run first, also those that become ready meanwhile."""
        task = greenlet.getcurrent()
        self.yielded[task] = None
        try:
            self.park()
        finally:  # cancelled: an entry left behind would end another wait of the task
            self.yielded.pop(task, None)

    # ---- time

    def call_later(self, delay, action, *args):
        """Call the action after `delay` seconds. It runs in the hub: it may wake tasks, but never wait."""
        timer = Timer(self.clock() + max(0.0, delay), lambda: action(*args))
        self.sequence += 1
        heapq.heappush(self.timers, (timer.when, self.sequence, timer))
        return timer

    def sleep(self, delay):
        """Suspend the current task for `delay` seconds."""
        self.wait(delay)

    def wait(self, timeout=None, timeout_value=None):
        """Suspend the current task until `wake` or the timeout; returns the value of `wake`, or
        `timeout_value`."""
        if timeout is None:
            return self.park()
        timer = self.call_later(timeout, self.wake, greenlet.getcurrent(), timeout_value)
        try:
            return self.park()
        finally:
            timer.cancel()

    # ---- sockets

    def wait_fd(self, fd, event, timeout=None):
        """Wait for READ, WRITE or HANGUP; True once the descriptor is ready, False after the timeout."""
        tasks = self.waiting.setdefault(fd, {})
        if event in tasks:
            raise RuntimeError("two tasks wait for the same event of one descriptor")
        task = tasks[event] = greenlet.getcurrent()
        if not self.polled.get(fd, 0) & event:
            self.set_polled(fd, self.polled.get(fd, 0) | event)
        try:
            return self.wait(timeout, False)
        finally:
            self.remove_waiter(fd, event, task)

    def remove_waiter(self, fd, event, task=None):
        """Forget that a task waits for a descriptor.

        With `task` only if it is that one, as the number of a closed descriptor may be in use again. The
        poller is only changed when the descriptor is closed, or ready with no task waiting: most tasks soon
        wait for it again.
        """
        tasks = self.waiting.get(fd)
        if tasks is not None and event in tasks and task in (None, tasks[event]):
            del tasks[event]
            if not tasks:
                del self.waiting[fd]

    def interrupt(self, fd, event):
        """End the wait for a descriptor as if it had timed out.

        Only a task that waits for it now is woken: another one would take the wake for that of its own wait.
        """
        task = self.waiting.get(fd, {}).get(event)
        if task is not None:
            self.wake(task, False)

    def detach_fd(self, fd):
        """Forget a descriptor and wake its tasks. To be called before it is closed, as its number may then be
        used again."""
        for event, task in list(self.waiting.get(fd, {}).items()):
            self.wake(task, False)
            self.remove_waiter(fd, event)
        if self.polled.pop(fd, 0):
            self.poller.unregister(fd)

    # ---- the loop

    def stop(self):
        """End `run` after the current round."""
        self.stopping = True

    def run(self):
        """Run rounds until `stop` is called; the calling greenlet becomes the hub."""
        self.hub = greenlet.getcurrent()
        while not self.stopping:
            self.poll()
            self.fire_timers()
            for _ in range(len(self.ready)):
                self.resume(*self.ready.popleft())
            self.deferred_rounds = self.deferred_rounds + 1 if self.low_priority_ready else 0
            if (
                self.low_priority_ready
                and not self.ready
                and not self.has_due_work()
                or self.deferred_rounds > MAX_DEFERRED_ROUNDS
            ):
                self.deferred_rounds = 0
                for _ in range(len(self.low_priority_ready)):
                    self.resume(*self.low_priority_ready.popleft())
            self.resume_yielded()

    def resume_yielded(self):
        """Resume tasks that yielded to all others, as many as fit into YIELDED_TIME_PER_ROUND_S."""
        if not self.yielded:
            return
        ends = self.clock() + YIELDED_TIME_PER_ROUND_S
        for _ in range(len(self.yielded)):
            task, _ = self.yielded.popitem(last=False)
            if task.parked:  # otherwise it was woken already
                task.parked = False
                self.resume(task, None)
            if self.clock() >= ends:
                return

    def has_due_work(self):
        """Whether a descriptor is ready or a timer is due; wakes the tasks whose descriptors are ready."""
        return self.poll(0.0) or bool(self.timers and self.timers[0][0] <= self.clock())

    def poll(self, timeout=None):
        """Wait for descriptors and wake their tasks; returns whether a task was woken.

        Without a timeout it waits until the first timer, or not at all while tasks are ready.
        """
        if timeout is None:
            timeout = None if not self.timers else max(0.0, self.timers[0][0] - self.clock())
            timeout = 0.0 if self.ready or self.low_priority_ready or self.yielded else timeout
        woken = False
        for fd, ready_events in self.poller.poll(None if timeout is None else 1000.0 * timeout):
            tasks = self.waiting.get(fd, {})
            for event, task in list(tasks.items()):
                if ready_events & event or ready_events & ~(READ | WRITE):
                    woken = woken or task.parked
                    self.wake(task, True)
            events = sum(tasks)
            if events != self.polled[fd]:
                self.set_polled(fd, events)
        return woken

    def set_polled(self, fd, events):
        """Have the poller look for these events of a descriptor; 0 removes it."""
        if events:
            self.polled[fd] = events
            self.poller.register(fd, events)
        else:
            del self.polled[fd]
            self.poller.unregister(fd)

    def fire_timers(self):
        """Run the actions of all timers that are due; drop cancelled timers once they are the majority."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            when, _, timer = heapq.heappop(self.timers)
            if timer.action is not None:
                self.timers_fired += 1
                self.lag_sum += now - when
                self.max_lag = max(self.max_lag, now - when)
                try:
                    timer.action()
                except Exception as error:  # it runs in the hub, where a fault would end the loop
                    if self.on_failure is None:
                        raise
                    self.on_failure(FailureSource("timer"), error)
        if len(self.timers) > 64 and sum(timer.action is None for _, _, timer in self.timers) * 2 > len(
            self.timers
        ):
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)

    def resume(self, task, value):
        """Switch to a task until it waits or ends."""
        if task.dead:
            return
        self.turns += 1
        if task.parent is not self.hub:  # a task that ends switches to its parent, by default its spawner
            task.parent = self.hub
        try:
            if task.cancelled and not task:  # it never started: nothing to clean up
                task.throw(Cancelled)
            else:
                task.switch(value)
        except Exception as error:  # a fault ends only the task that it occurs in
            if self.on_failure is None:
                raise
            self.on_failure(task, error)


class Mailbox:
    """A bounded queue with one consumer. `put` waits while it is full; `push` never waits."""

    def __init__(self, scheduler, capacity):
        self.scheduler, self.capacity, self.items = scheduler, capacity, deque()
        self.owner, self.putters = None, deque()  # the task that waits to take, and those that wait to put

    def put(self, item):
        """Append an item, after a wait for room."""
        while len(self.items) >= self.capacity:
            task = greenlet.getcurrent()
            self.putters.append(task)
            try:
                self.scheduler.park()
            finally:  # woken by another or cancelled: a wake left behind would end another wait of the task
                if task in self.putters:
                    self.putters.remove(task)
        self.push(item)

    def push(self, item):
        """Append an item beyond the capacity if need be.

        For callers that can't wait, such as timers, of which there are no more than open submissions.
        """
        self.items.append(item)
        if self.owner is not None:
            self.scheduler.wake(self.owner)

    def take_all(self, timeout=None):
        """Return all items; while there are none, wait for at most `timeout` seconds."""
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
