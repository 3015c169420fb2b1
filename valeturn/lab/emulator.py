"""Many servers in virtual time, each with the real module and the real levels: load, cores, a shared
dependency.

What it leaves out, and where it should therefore not be believed: the network and its delays, CPU of the
program itself, connections, callers' own choice of servers (a caller draws one at random among those on its
list, which lags), memory, and pauses of machines. Cores are shared evenly among what runs; a crowd beyond
them costs nothing more.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from ..admission import interface
from ..admission.controller import AdmissionController
from ..dispatch.degradation_monitor import DegradationMonitor
from ..transport.seeded_random import SeededRandom

LAG = 1.5  # s that callers' lists are behind
BACK_OFF = 0.1  # s after which a caller comes again where it was not told when
TRIES = 3
SWEEP = 0.1
FASTEST = 0.3  # s that a dependency that fails does so in at the most


class Mix(NamedTuple):
    """What callers send of one workload."""

    share: float  # of submissions
    work: float  # s of one core at the mean
    calls: bool


class Scene(NamedTuple):
    """One run of the emulator."""

    servers: int
    seconds: float
    settings: interface.Settings
    mix: tuple  # of Mix, by workload
    load: object  # t -> submissions a second, over all servers
    call_time: float = 0.02  # s, of an idle dependency
    call_room: float = 40.0  # calls at once at which it is full
    slow: object = lambda t: 1.0  # t -> times that it is slower
    failing: object = lambda t: 0.0  # t -> share of calls that it fails
    crashes: tuple = ()  # (t, share of servers that are lost, s until they are back, cold)
    levels: tuple = ()  # of decision.Level


class Run:
    """A submission on a server's cores."""

    __slots__ = ("after", "left", "state", "sub")

    def __init__(self, sub, left, after):
        self.sub, self.left, self.after = sub, left, after
        self.state = 0  # counts what was asked for, so that old ends mean nothing


class Submission:
    __slots__ = ("born", "done", "due", "slim", "started", "tenant", "tries", "work", "workload")

    def __init__(self, born, workload, work, due, tenant):
        self.born, self.workload, self.work, self.due, self.tenant = born, workload, work, due, tenant
        self.tries, self.done, self.slim, self.started = 0, None, False, False


class Totals:
    def __init__(self, scene):
        self.changes = self.refused_after_start = 0
        self.sent = [0] * len(scene.mix)
        self.delivered, self.late, self.slim = list(self.sent), list(self.sent), list(self.sent)
        self.turned_back, self.written_off, self.worth, self.all_worth = 0, 0, 0.0, 0.0
        self.by_second = [
            [0.0, 0.0, 0.0, 0] for _ in range(int(scene.seconds) + 61)
        ]  # sent, worth, level, turned

    def worst(self, span):
        """The least share of the revenue sent that was earned, over any so many seconds."""
        rows, least = self.by_second, 1.0
        for start in range(0, max(1, len(rows) - 60 - span)):
            sent = sum(row[0] for row in rows[start : start + span])
            if sent:
                least = min(least, sum(row[1] for row in rows[start : start + span]) / sent)
        return least

    def line(self):
        return (
            f"changes={self.changes} refused_after_start={self.refused_after_start} "
            f"delivered={sum(self.delivered)} slim={sum(self.slim)} late={sum(self.late)} "
            f"turned_back={self.turned_back} failed={self.written_off} "
            f"earned={self.worth / max(1e-9, self.all_worth):.4f} worst_10s={self.worst(10):.4f}"
        )


class Server:
    def __init__(self, world, name, cold, seed):
        self.world, self.name, self.seed, self.up = world, name, seed, True
        self.start(cold)

    def start(self, cold):
        scene, now = self.world.scene, self.world.now
        self.up, self.runs, self.subs, self.calls = True, {}, {}, {}
        self.moved_at, self.version, self.cold, self.born = now, 0, cold, now
        self.numbers = getattr(self, "numbers", 0)
        self.busy = 0.0
        s = scene.settings._replace(starts_cold=cold)
        self.rules = self.world.make_rules(s, self.seed, now)
        self.reducing = (
            DegradationMonitor(now, scene.levels, s, self.count, lambda *_: None) if scene.levels else None
        )
        self.decide(self.reducing.report_changes(now, [], {}) if self.reducing else [])

    def count(self, name):
        self.world.totals.changes += name == "levels.changes"

    # ---- cores: shared evenly

    def speed(self):
        s = self.world.scene.settings
        warm = 1.0
        if self.cold and s.warm_up_time:
            warm = min(
                1.0,
                s.cold_start_speed + (1 - s.cold_start_speed) * (self.world.now - self.born) / s.warm_up_time,
            )
        on = len(self.runs)
        return warm * min(1.0, s.cores / on) if on else warm

    def move(self):
        """Brings all runs to now."""
        passed = self.world.now - self.moved_at
        if passed > 0:
            rate = self.rate if self.runs else 0.0
            for run in self.runs.values():
                run.left -= passed * rate
            keep = math.exp(-passed / 0.5)
            used = min(1.0, len(self.runs) / self.world.scene.settings.cores)
            self.busy = self.busy * keep + used * (1 - keep)
            self.moved_at = self.world.now

    def plan(self):
        """When the next run reaches its call or its end."""
        self.version += 1
        self.rate = self.speed()
        if self.runs:
            least = min(run.left for run in self.runs.values())
            self.world.at(self.world.now + max(0.0, least) / self.rate, self.reached, self.version)

    def reached(self, version):
        if version != self.version or not self.up:
            return
        self.move()
        events = []
        for number, run in list(self.runs.items()):
            if run.left <= 1e-9:
                del self.runs[number]
                events += self.run_reached(number, run)
        self.decide(events)

    def run_reached(self, number, run):
        """What the module is told of a run that has come to its call or its end."""
        if run.after is not None:
            run.left, run.after = run.after, None
            self.calls[number] = run
            return [interface.CallRequested(number)]
        return [self.over(number, run)]

    def over(self, number, run):
        sub = self.subs.pop(number)
        self.world.answered(self, sub, "delivered")
        return interface.Ended(number, interface.Outcome.DONE, 0.0)

    # ---- the module

    def decide(self, events):
        now = self.world.now
        self.move()
        if self.reducing:
            for e in events:
                if isinstance(e, interface.CallEnded):
                    self.reducing.record_call(now, e.outcome, e.duration)
        later = []
        for action in self.rules.decide(now, events):
            act = self.DOES.get(type(action))
            if act is not None:
                more = act(self, action)
                later += [more] if more is not None else []
        self.plan()
        if later:
            self.world.at(now, self.told, later)

    def told(self, events):
        if self.up:
            self.decide(events)

    def arrive(self, sub):
        self.numbers += 1
        world = self.world
        self.subs[self.numbers] = sub
        if self.reducing:
            self.reducing.signals.record_request(world.now, 0.0)
        hint = sub.work * math.exp(0.3 * (world.random_source.random() - 0.5))
        self.decide(
            [
                interface.Arrived(
                    id=self.numbers,
                    workload=sub.workload,
                    tenant=sub.tenant,
                    time_left=max(0.0, sub.due - world.now),
                    rank=world.random_source.random(),
                    memory=8.0,
                    cost_hint=hint,
                    caller=1,
                )
            ]
        )

    def wake(self):
        if not self.up:
            return
        now, events = self.world.now, []
        self.move()
        gauges = interface.Gauges(self.busy, len(self.runs), 8.0 * len(self.subs), 10)
        if self.reducing:
            self.reducing.record_gauges(now, gauges)
            events = self.reducing.update(
                now, self.cold and now - self.born < self.world.scene.settings.warm_up_time
            )
            rank = self.reducing.decision.active_level()
            self.world.totals.by_second[int(now)][2] += (
                (rank.rank if rank else 0) * SWEEP / self.world.scene.servers
            )
        self.decide([*events, interface.TimerFired(0, gauges)])
        self.world.at(now + SWEEP, self.wake)

    def do_start(self, a):
        sub = self.subs[a.id]
        sub.started = True
        calls = self.world.scene.mix[sub.workload].calls
        self.runs[a.id] = Run(sub, sub.work / 2 if calls else sub.work, sub.work / 2 if calls else None)

    def do_halt(self, a):
        if self.runs.pop(a.id, None) is not None or self.calls.pop(a.id, None) is not None:
            self.subs.pop(a.id, None)
            return interface.Ended(a.id, interface.Outcome.CANCELLED, 0.0)

    def do_turn_back(self, a):
        sub = self.subs.pop(a.id)
        if sub.started:
            self.world.totals.refused_after_start += 1
            self.runs.pop(a.id, None)
            self.calls.pop(a.id, None)
        if self.reducing:
            self.reducing.signals.record_rejection(self.world.now)
        self.world.turned_back(self, sub, a)

    def do_write_off(self, a):
        sub = self.subs.get(a.id)
        if sub is not None:
            self.world.answered(self, sub, "written off")
            if a.id in self.calls:  # the run ends at its call
                del self.calls[a.id], self.subs[a.id]
                return interface.Ended(a.id, interface.Outcome.CANCELLED, 0.0)
            if a.id not in self.runs:
                del self.subs[a.id]

    def do_call(self, a):
        world, run = self.world, self.calls[a.id]
        run.state += 1
        took, failed = world.call()
        lasts = min(took, a.timeout)
        outcome = (
            interface.Outcome.TIMED_OUT
            if took > a.timeout
            else interface.Outcome.ERROR
            if failed
            else interface.Outcome.DONE
        )
        world.calls_out += 1
        world.at(world.now + lasts, self.call_over, a.id, run, run.state, outcome, lasts)

    def call_over(self, number, run, state, outcome, took):
        self.world.calls_out -= 1
        if not self.up or self.calls.get(number) is not run or run.state != state:
            return
        if outcome is interface.Outcome.DONE:
            self.runs[number] = self.calls.pop(number)
        self.decide([interface.CallEnded(number, outcome, took)])

    def do_go_without(self, a):
        run = self.calls.pop(a.id)
        run.sub.slim = True
        self.runs[a.id] = run

    DOES = {
        interface.Start: do_start,
        interface.Interrupt: do_halt,
        interface.Reject: do_turn_back,
        interface.Fail: do_write_off,
        interface.Call: do_call,
        interface.BypassCall: do_go_without,
    }

    def crash(self):
        self.up = False
        for sub in {id(sub): sub for sub in self.subs.values()}.values():
            self.world.answered(self, sub, "written off")
        self.runs, self.calls, self.subs = {}, {}, {}


class World:
    def __init__(self, scene, seed):
        self.scene, self.random_source, self.now, self.heap, self.sequence = (
            scene,
            SeededRandom(seed),
            0.0,
            [],
            0,
        )
        self.totals, self.calls_out = Totals(scene), 0
        for _ in range(8):
            self.random_source.random()  # seeds side by side begin alike
        self.demand = (
            self.random_source
        )  # for what callers want; a stream of its own is the same for any policy
        self.servers = [self.make_server(n, seed * 1000 + n) for n in range(scene.servers)]
        self.lists = [(0.0, list(self.servers))]  # (from when, those on callers' lists)
        for server in self.servers:
            self.at(SWEEP * self.random_source.random(), server.wake)
        for t, share, down, cold in scene.crashes:
            self.at(t, self.crash, share, down, cold)
        self.at(0.0, self.next_arrival)

    def make_server(self, n, seed):
        return Server(self, n, False, seed)

    def make_rules(self, settings, seed, now):
        return AdmissionController(settings, seed, now)

    def at(self, when, action, *args):
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, action, args))

    def run(self):
        """Plays the scene, and a while more so that all is answered. Returns the totals."""
        end = self.scene.seconds + 30.0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
        return self.totals

    # ---- callers

    def next_arrival(self):
        rate = self.scene.load(self.now)
        if rate > 0:
            self.submit()
        if self.now < self.scene.seconds:
            self.at(self.now - math.log(1 - self.demand.random()) / max(1e-3, rate), self.next_arrival)

    def submit(self):
        draw, workload = self.random_source.random(), 0
        for workload, mix in enumerate(self.scene.mix):
            draw -= mix.share
            if draw < 0:
                break
        w, mix = self.scene.settings.workloads[workload], self.scene.mix[workload]
        work = mix.work * -math.log(1 - self.random_source.random()) * 0.5 + mix.work * 0.5
        tenants = len(self.scene.settings.tenants)
        tenant = int(self.random_source.random() * tenants) if tenants else None
        sub = Submission(self.now, workload, work, self.now + w.timeout, tenant)
        self.totals.sent[workload] += 1
        self.totals.all_worth += w.value
        self.totals.by_second[int(self.now)][0] += w.value
        self.send(sub)

    def send(self, sub):
        while len(self.lists) > 1 and self.lists[1][0] <= self.now:
            self.lists.pop(0)
        listed = self.lists[0][1]
        server = listed[int(self.random_source.random() * len(listed))] if listed else None
        sub.tries += 1
        if server is None or not server.up:
            self.turned_back(server, sub)
        else:
            server.arrive(sub)

    def turned_back(self, server, sub, action=None):
        wait = max(BACK_OFF, action.retry_after if action else 0.0) * (
            0.75 + 0.5 * self.random_source.random()
        )
        if sub.tries < TRIES and self.now + wait < sub.due:
            self.at(self.now + wait, self.send, sub)
            return
        self.totals.turned_back += 1
        self.totals.by_second[int(min(self.now, self.scene.seconds + 59))][3] += 1

    def answered(self, server, sub, how):
        if sub.done is not None:
            return
        sub.done = how
        if how != "delivered":
            self.totals.written_off += 1
            return
        w = self.scene.settings.workloads[sub.workload]
        late = self.now > sub.born + w.latency_objective
        self.totals.delivered[sub.workload] += 1
        self.totals.late[sub.workload] += late
        self.totals.slim[sub.workload] += sub.slim
        worth = (
            w.value * (w.late_value_share if late else 1.0) * (w.degraded_value_share if sub.slim else 1.0)
        )
        if self.now <= sub.due:
            self.totals.worth += worth
            self.totals.by_second[int(sub.born)][1] += worth

    # ---- the shared dependency, and losses

    def call(self):
        """(seconds that a call made now takes, whether it fails)"""
        scene = self.scene
        if self.random_source.random() < scene.failing(self.now):
            return FASTEST * self.random_source.random(), True
        crowd = min(0.97, self.calls_out / scene.call_room)
        mean = scene.call_time * scene.slow(self.now) / (1 - crowd)
        return mean * (0.5 - 0.5 * math.log(1 - self.random_source.random())), False

    def crash(self, share, down, cold):
        up = [server for server in self.servers if server.up]
        for server in up[: int(share * len(self.servers) + 0.5)]:
            server.crash()
            self.at(self.now + down, self.back, server, cold)
        self.listed()

    def back(self, server, cold):
        server.start(cold)
        server.wake()
        self.listed()

    def listed(self):
        self.lists.append((self.now + LAG, [server for server in self.servers if server.up]))
