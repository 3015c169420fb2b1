"""Simulates many servers in virtual time, each with the real admission controller and degradation levels.

The simulation covers load, cores and a shared dependency. It leaves out, and its results say nothing about:
the network and its delays, the CPU time of the program itself, connections, callers' own choice of servers
(a caller draws one at random from its list, which lags), memory, and pauses of machines. Cores are shared
evenly among the runs; more runs than cores cost nothing beyond the sharing.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from ..admission import interface
from ..admission.controller import AdmissionController
from ..dispatch.degradation_monitor import DegradationMonitor
from ..transport.seeded_random import SeededRandom

LIST_LAG_S = 1.5  # seconds by which callers' server lists lag
BACKOFF_S = 0.1  # seconds before a caller retries when the server named no time
MAX_ATTEMPTS = 3  # per submission
SWEEP_INTERVAL_S = 0.1  # seconds between a server's periodic timers
MAX_FAILURE_TIME_S = 0.3  # seconds within which a failing dependency call fails


class Mix(NamedTuple):
    """The share and the cost of one workload in what callers send."""

    share: float  # of all submissions
    work: float  # mean core seconds of one run
    calls: bool  # whether a run makes a call on the dependency


class Scenario(NamedTuple):
    """The servers, load and faults of one simulation."""

    servers: int
    seconds: float  # during which submissions arrive
    settings: interface.Settings
    mix: tuple  # of Mix, by workload
    load: object  # time -> submissions per second over all servers
    call_time: float = 0.02  # mean seconds of a call while the dependency is idle
    call_capacity: float = 40.0  # concurrent calls that saturate the dependency
    slowdown: object = lambda t: 1.0  # time -> factor by which calls take longer
    failing: object = lambda t: 0.0  # time -> share of calls that fail
    crashes: tuple = ()  # (time, share of servers lost, seconds until they return, whether they return cold)
    levels: tuple = ()  # of degradation.controller.DegradationLevel


class Run:
    """The execution of a submission on a server's cores; work is in core seconds."""

    __slots__ = ("call_generation", "submission", "work_after_call", "work_left")

    def __init__(self, submission, work_left, work_after_call):
        self.submission, self.work_left, self.work_after_call = submission, work_left, work_after_call
        self.call_generation = 0  # counts the calls of the run, so that the end of an earlier call is ignored


class Submission:
    """One submission of a caller, over all its attempts; times are in seconds of virtual time."""

    __slots__ = (
        "created_at",
        "outcome",
        "deadline",
        "degraded",
        "started",
        "tenant",
        "attempts",
        "work",
        "workload",
    )

    def __init__(self, created_at, workload, work, deadline, tenant):
        self.created_at, self.workload, self.work, self.deadline, self.tenant = (
            created_at,
            workload,
            work,
            deadline,
            tenant,
        )
        self.attempts, self.outcome, self.degraded, self.started = 0, None, False, False


class Totals:
    """What the simulation counts: per workload, in all, and per second."""

    def __init__(self, scenario):
        self.level_changes = self.rejected_after_start = 0
        self.sent = [0] * len(scenario.mix)
        self.delivered, self.late, self.degraded = list(self.sent), list(self.sent), list(self.sent)
        self.rejected, self.failed, self.earned_value, self.offered_value = 0, 0, 0.0, 0.0
        # Per second: value offered, value earned, mean level, rejections.
        self.by_second = [[0.0, 0.0, 0.0, 0] for _ in range(int(scenario.seconds) + 61)]

    def worst_window(self, span):
        """Return the least share of the offered value that was earned in any window of `span` seconds."""
        rows, least = self.by_second, 1.0
        for start in range(0, max(1, len(rows) - 60 - span)):
            sent = sum(row[0] for row in rows[start : start + span])
            if sent:
                least = min(least, sum(row[1] for row in rows[start : start + span]) / sent)
        return least

    def summary(self):
        """Return the totals as one line of key=value fields."""
        return (
            f"changes={self.level_changes} refused_after_start={self.rejected_after_start} "
            f"delivered={sum(self.delivered)} slim={sum(self.degraded)} late={sum(self.late)} "
            f"turned_back={self.rejected} failed={self.failed} "
            f"earned={self.earned_value / max(1e-9, self.offered_value):.4f} "
            f"worst_10s={self.worst_window(10):.4f}"
        )


class Server:
    """A simulated server: its cores, its runs and the admission controller that decides for it."""

    def __init__(self, simulation, name, cold, seed):
        self.simulation, self.name, self.seed, self.up = simulation, name, seed, True
        self.start(cold)

    def start(self, cold):
        """Begin a new process with nothing open."""
        scenario, now = self.simulation.scenario, self.simulation.now
        self.up, self.runs, self.submissions, self.calls = True, {}, {}, {}
        self.advanced_at, self.version, self.cold, self.started_at = now, 0, cold, now
        self.last_number = getattr(self, "last_number", 0)
        self.busy = 0.0
        settings = scenario.settings._replace(starts_cold=cold)
        self.controller = self.simulation.make_controller(settings, self.seed, now)
        self.reducing = (
            DegradationMonitor(now, scenario.levels, settings, self.count, lambda *_: None)
            if scenario.levels
            else None
        )
        self.decide(self.reducing.report_changes(now, [], {}) if self.reducing else [])

    def count(self, name):
        """Count a counter of the degradation monitor; only level changes are kept."""
        self.simulation.totals.level_changes += name == "levels.changes"

    # ---- cores, shared evenly among the runs

    def speed(self):
        """Return the core seconds per second that each run gets now."""
        settings = self.simulation.scenario.settings
        warm = 1.0
        if self.cold and settings.warm_up_time:
            warm = min(
                1.0,
                settings.cold_start_speed
                + (1 - settings.cold_start_speed)
                * (self.simulation.now - self.started_at)
                / settings.warm_up_time,
            )
        running = len(self.runs)
        return warm * min(1.0, settings.cores / running) if running else warm

    def advance_runs(self):
        """Advance all runs to the current time and update the smoothed utilization of the cores."""
        elapsed = self.simulation.now - self.advanced_at
        if elapsed > 0:
            rate = self.rate if self.runs else 0.0
            for run in self.runs.values():
                run.work_left -= elapsed * rate
            keep = math.exp(-elapsed / 0.5)  # smoothing with a time constant of 0.5 seconds
            utilization = min(1.0, len(self.runs) / self.simulation.scenario.settings.cores)
            self.busy = self.busy * keep + utilization * (1 - keep)
            self.advanced_at = self.simulation.now

    def schedule_next_progress(self):
        """Schedule the moment at which the next run reaches its call or its end."""
        self.version += 1
        self.rate = self.speed()
        if self.runs:
            least = min(run.work_left for run in self.runs.values())
            self.simulation.at(
                self.simulation.now + max(0.0, least) / self.rate, self.progress_due, self.version
            )

    def progress_due(self, version):
        """Process the runs that have come to their call or end; a superseded schedule does nothing."""
        if version != self.version or not self.up:
            return
        self.advance_runs()
        events = []
        for number, run in list(self.runs.items()):
            if run.work_left <= 1e-9:
                del self.runs[number]
                events += self.run_progressed(number, run)
        self.decide(events)

    def run_progressed(self, number, run):
        """Return the events for the controller when a run has come to its call or its end."""
        if run.work_after_call is not None:
            run.work_left, run.work_after_call = run.work_after_call, None
            self.calls[number] = run
            return [interface.CallRequested(number)]
        return [self.complete_run(number, run)]

    def complete_run(self, number, run):
        """End a run with its result and return the event for the controller."""
        submission = self.submissions.pop(number)
        self.simulation.record_answer(self, submission, "delivered")
        return interface.Ended(number, interface.Outcome.DONE, 0.0)

    # ---- the admission controller

    def decide(self, events):
        """Pass events to the controller and carry out the actions that it returns."""
        now = self.simulation.now
        self.advance_runs()
        if self.reducing:
            for e in events:
                if isinstance(e, interface.CallEnded):
                    self.reducing.record_call(now, e.outcome, e.duration)
        later = []
        for action in self.controller.decide(now, events):
            handler = self.ACTION_HANDLERS.get(type(action))
            if handler is not None:
                event = handler(self, action)
                later += [event] if event is not None else []
        self.schedule_next_progress()
        if later:
            self.simulation.at(now, self.deliver_events, later)

    def deliver_events(self, events):
        """Pass on the events that actions caused, unless the server has crashed since."""
        if self.up:
            self.decide(events)

    def arrive(self, submission):
        """Receive a submission."""
        self.last_number += 1
        simulation = self.simulation
        self.submissions[self.last_number] = submission
        if self.reducing:
            self.reducing.signals.record_request(simulation.now, 0.0)
        hint = submission.work * math.exp(0.3 * (simulation.random_source.random() - 0.5))
        self.decide(
            [
                interface.Arrived(
                    id=self.last_number,
                    workload=submission.workload,
                    tenant=submission.tenant,
                    time_left=max(0.0, submission.deadline - simulation.now),
                    rank=simulation.random_source.random(),
                    memory=8.0,
                    cost_hint=hint,
                    caller=1,
                )
            ]
        )

    def wake(self):
        """Fire the periodic timer with current gauges, and schedule the next one."""
        if not self.up:
            return
        now, events = self.simulation.now, []
        self.advance_runs()
        gauges = interface.Gauges(self.busy, len(self.runs), 8.0 * len(self.submissions), 10)
        if self.reducing:
            self.reducing.record_gauges(now, gauges)
            events = self.reducing.update(
                now, self.cold and now - self.started_at < self.simulation.scenario.settings.warm_up_time
            )
            level = self.reducing.controller.active_level()
            self.simulation.totals.by_second[int(now)][2] += (
                (level.rank if level else 0) * SWEEP_INTERVAL_S / self.simulation.scenario.servers
            )
        self.decide([*events, interface.TimerFired(0, gauges)])
        self.simulation.at(now + SWEEP_INTERVAL_S, self.wake)

    def do_start(self, action):
        """Start a run: one half before its call and one half after it, if it makes one."""
        submission = self.submissions[action.id]
        submission.started = True
        calls = self.simulation.scenario.mix[submission.workload].calls
        self.runs[action.id] = Run(
            submission,
            submission.work / 2 if calls else submission.work,
            submission.work / 2 if calls else None,
        )

    def do_interrupt(self, action):
        """Cancel a run, on the cores or at its call."""
        if self.runs.pop(action.id, None) is not None or self.calls.pop(action.id, None) is not None:
            self.submissions.pop(action.id, None)
            return interface.Ended(action.id, interface.Outcome.CANCELLED, 0.0)

    def do_reject(self, action):
        """Reject a submission; a rejection after the start is counted as a violation."""
        submission = self.submissions.pop(action.id)
        if submission.started:
            self.simulation.totals.rejected_after_start += 1
            self.runs.pop(action.id, None)
            self.calls.pop(action.id, None)
        if self.reducing:
            self.reducing.signals.record_rejection(self.simulation.now)
        self.simulation.handle_rejection(self, submission, action)

    def do_fail(self, action):
        """Answer a submission as failed; its run on the cores continues."""
        submission = self.submissions.get(action.id)
        if submission is not None:
            self.simulation.record_answer(self, submission, "written off")
            if action.id in self.calls:  # a failed run is cancelled at its call
                del self.calls[action.id], self.submissions[action.id]
                return interface.Ended(action.id, interface.Outcome.CANCELLED, 0.0)
            if action.id not in self.runs:
                del self.submissions[action.id]

    def do_call(self, action):
        """Make a run's call on the dependency."""
        simulation, run = self.simulation, self.calls[action.id]
        run.call_generation += 1
        duration, failed = simulation.call()
        elapsed = min(duration, action.timeout)
        outcome = (
            interface.Outcome.TIMED_OUT
            if duration > action.timeout
            else interface.Outcome.ERROR
            if failed
            else interface.Outcome.DONE
        )
        simulation.calls_out += 1
        simulation.at(
            simulation.now + elapsed, self.finish_call, action.id, run, run.call_generation, outcome, elapsed
        )

    def finish_call(self, number, run, generation, outcome, duration):
        """End a call; the run goes on only if the call was done and is still its latest."""
        self.simulation.calls_out -= 1
        if not self.up or self.calls.get(number) is not run or run.call_generation != generation:
            return
        if outcome is interface.Outcome.DONE:
            self.runs[number] = self.calls.pop(number)
        self.decide([interface.CallEnded(number, outcome, duration)])

    def do_bypass_call(self, action):
        """Continue a run without its call, with a degraded result."""
        run = self.calls.pop(action.id)
        run.submission.degraded = True
        self.runs[action.id] = run

    ACTION_HANDLERS = {
        interface.Start: do_start,
        interface.Interrupt: do_interrupt,
        interface.Reject: do_reject,
        interface.Fail: do_fail,
        interface.Call: do_call,
        interface.BypassCall: do_bypass_call,
    }

    def crash(self):
        """End the process; every open submission fails."""
        self.up = False
        for submission in {id(submission): submission for submission in self.submissions.values()}.values():
            self.simulation.record_answer(self, submission, "written off")
        self.runs, self.calls, self.submissions = {}, {}, {}


class Simulation:
    """The servers, callers and dependency of a scenario, driven by a heap of timed events."""

    def __init__(self, scenario, seed):
        self.scenario, self.random_source, self.now, self.event_heap, self.last_sequence = (
            scenario,
            SeededRandom(seed),
            0.0,
            [],
            0,
        )
        self.totals, self.calls_out = Totals(scenario), 0
        for _ in range(8):
            self.random_source.random()  # the first draws of neighbouring seeds are alike
        # FleetSimulation gives demand a stream of its own, so that it is equal under any policy.
        self.demand = self.random_source
        self.servers = [self.make_server(number, seed * 1000 + number) for number in range(scenario.servers)]
        self.lists = [(0.0, list(self.servers))]  # (valid from, servers on the callers' lists)
        for server in self.servers:
            self.at(SWEEP_INTERVAL_S * self.random_source.random(), server.wake)
        for at, share, down_time, cold in scenario.crashes:
            self.at(at, self.crash, share, down_time, cold)
        self.at(0.0, self.next_arrival)

    def make_server(self, number, seed):
        """Return a new server; overridden for other kinds of servers."""
        return Server(self, number, False, seed)

    def make_controller(self, settings, seed, now):
        """Return the admission controller of a server process."""
        return AdmissionController(settings, seed, now)

    def at(self, when, action, *args):
        """Schedule action(*args) at the virtual time `when`."""
        self.last_sequence += 1
        heapq.heappush(self.event_heap, (when, self.last_sequence, action, args))

    def run(self):
        """Run the scenario, and 30 seconds more so that everything is answered. Return the totals."""
        end = self.scenario.seconds + 30.0
        while self.event_heap and self.event_heap[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.event_heap)
            action(*args)
        return self.totals

    # ---- callers

    def next_arrival(self):
        """Submit once and schedule the next arrival, exponentially distributed."""
        rate = self.scenario.load(self.now)
        if rate > 0:
            self.submit()
        if self.now < self.scenario.seconds:
            self.at(self.now - math.log(1 - self.demand.random()) / max(1e-3, rate), self.next_arrival)

    def submit(self):
        """Draw a submission and send it."""
        draw, workload = self.random_source.random(), 0
        for workload, mix in enumerate(self.scenario.mix):
            draw -= mix.share
            if draw < 0:
                break
        workload_settings, mix = self.scenario.settings.workloads[workload], self.scenario.mix[workload]
        work = mix.work * -math.log(1 - self.random_source.random()) * 0.5 + mix.work * 0.5
        tenants = len(self.scenario.settings.tenants)
        tenant = int(self.random_source.random() * tenants) if tenants else None
        submission = Submission(self.now, workload, work, self.now + workload_settings.timeout, tenant)
        self.totals.sent[workload] += 1
        self.totals.offered_value += workload_settings.value
        self.totals.by_second[int(self.now)][0] += workload_settings.value
        self.send(submission)

    def send(self, submission):
        """Send a submission to a random server of the current list."""
        while len(self.lists) > 1 and self.lists[1][0] <= self.now:
            self.lists.pop(0)
        listed = self.lists[0][1]
        server = listed[int(self.random_source.random() * len(listed))] if listed else None
        submission.attempts += 1
        if server is None or not server.up:
            self.handle_rejection(server, submission)
        else:
            server.arrive(submission)

    def handle_rejection(self, server, submission, action=None):
        """Retry a rejected submission after a jittered wait, or count it as rejected."""
        wait = max(BACKOFF_S, action.retry_after if action else 0.0) * (
            0.75 + 0.5 * self.random_source.random()
        )
        if submission.attempts < MAX_ATTEMPTS and self.now + wait < submission.deadline:
            self.at(self.now + wait, self.send, submission)
            return
        self.totals.rejected += 1
        self.totals.by_second[int(min(self.now, self.scenario.seconds + 59))][3] += 1

    def record_answer(self, server, submission, answer):
        """Count the first answer to a submission and the value it earned."""
        if submission.outcome is not None:
            return
        submission.outcome = answer
        if answer != "delivered":
            self.totals.failed += 1
            return
        workload_settings = self.scenario.settings.workloads[submission.workload]
        late = self.now > submission.created_at + workload_settings.latency_objective
        self.totals.delivered[submission.workload] += 1
        self.totals.late[submission.workload] += late
        self.totals.degraded[submission.workload] += submission.degraded
        earned_value = (
            workload_settings.value
            * (workload_settings.late_value_share if late else 1.0)
            * (workload_settings.degraded_value_share if submission.degraded else 1.0)
        )
        if self.now <= submission.deadline:
            self.totals.earned_value += earned_value
            self.totals.by_second[int(submission.created_at)][1] += earned_value

    # ---- the shared dependency, and crashes

    def call(self):
        """Return the seconds that a call made now takes, and whether it fails."""
        scenario = self.scenario
        if self.random_source.random() < scenario.failing(self.now):
            return MAX_FAILURE_TIME_S * self.random_source.random(), True
        utilization = min(0.97, self.calls_out / scenario.call_capacity)
        mean = scenario.call_time * scenario.slowdown(self.now) / (1 - utilization)
        return mean * (0.5 - 0.5 * math.log(1 - self.random_source.random())), False

    def crash(self, share, down_time, cold):
        """Crash a share of the servers; they return after `down_time` seconds."""
        up = [server for server in self.servers if server.up]
        for server in up[: int(share * len(self.servers) + 0.5)]:
            server.crash()
            self.at(self.now + down_time, self.restore_server, server, cold)
        self.update_lists()

    def restore_server(self, server, cold):
        """Start a crashed server again."""
        server.start(cold)
        server.wake()
        self.update_lists()

    def update_lists(self):
        """Let the callers' lists show the servers that are up, after the lag."""
        self.lists.append((self.now + LIST_LAG_S, [server for server in self.servers if server.up]))
