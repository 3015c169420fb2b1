"""All decisions of one server. How to call it: `AdmissionController(settings, seed, now)` once at start, then
`decide(now, events)` with all events of a moment, in order; it returns the actions, in order.
Types are in interface.py, the reasons in docs/design.md, what to do at night in docs/on-call.md.

Reading order: the table of states, then the steps of `decide`: take in, sweep, prune, start, say.
"""

from __future__ import annotations

import math
from types import SimpleNamespace

from . import interface
from .interface import (
    AnswerFromOriginal,
    Effect,
    Fail,
    Forget,
    Interrupt,
    Interruption,
    Outcome,
    Reject,
    Start,
    StoreKey,
)

# States of a submission. SPENT: answered or its caller gone, but still on the cores or at a call.
HELD, RUNNING, AT_CALL, CALLING, PAUSED, JOINED, SPENT, OVER = range(8)
# Inputs.
(
    START,
    ENDED,
    STOPPED,
    CALLS,
    CALL_OUT,
    SKIP,
    CALL_DONE,
    CALL_UNRUN,
    CALL_MAYBE,
    GONE,
    GIVE_UP,
    HALT,
    JOIN,
    UNBEGUN,
) = range(14)

# (state, input) -> (next state, effect). A pair that is missing is harmless: an event of a submission that is
# over, or an input that its state cannot meet; it changes nothing.
TABLE = {
    (HELD, START): (RUNNING, "start"),
    (HELD, JOIN): (JOINED, AnswerFromOriginal),
    (HELD, GIVE_UP): (OVER, "turn_back"),
    (HELD, GONE): (OVER, "forget"),
    (PAUSED, START): (RUNNING, "start"),
    (PAUSED, GIVE_UP): (OVER, "write_off"),
    (PAUSED, GONE): (OVER, "forget"),
    (JOINED, ENDED): (OVER, None),
    (JOINED, GIVE_UP): (OVER, "refuse_repeat"),
    (JOINED, GONE): (OVER, "forget"),
    (RUNNING, ENDED): (OVER, None),
    (RUNNING, STOPPED): (PAUSED, "stopped"),
    (RUNNING, CALLS): (AT_CALL, "seek_call"),
    (RUNNING, HALT): (RUNNING, Interrupt),
    (RUNNING, GIVE_UP): (SPENT, "write_off_running"),
    (RUNNING, GONE): (SPENT, "caller_gone"),
    (AT_CALL, CALL_OUT): (CALLING, "call"),
    (AT_CALL, SKIP): (RUNNING, "go_without"),
    (AT_CALL, GIVE_UP): (SPENT, "write_off"),
    (AT_CALL, GONE): (SPENT, None),
    (AT_CALL, ENDED): (OVER, None),
    (CALLING, CALL_DONE): (RUNNING, "call_done"),
    (CALLING, CALL_UNRUN): (AT_CALL, "call_unrun"),
    (CALLING, CALL_MAYBE): (AT_CALL, "call_maybe"),
    (CALLING, GIVE_UP): (SPENT, "write_off"),
    (CALLING, GONE): (SPENT, None),
    (CALLING, ENDED): (OVER, None),
    (SPENT, ENDED): (OVER, None),
    (RUNNING, UNBEGUN): (OVER, "turn_back"),  # it could not be noted down, so it was not started after all
    (SPENT, UNBEGUN): (OVER, "forget"),
}
ON_CORES = (RUNNING, SPENT)
CALL_INPUT = {
    Outcome.DONE: CALL_DONE,
    Outcome.REFUSED: CALL_UNRUN,
    Outcome.UNREACHED: CALL_UNRUN,
    Outcome.MOOT: CALL_UNRUN,
    Outcome.ERROR: CALL_MAYBE,
    Outcome.TIMED_OUT: CALL_MAYBE,
    Outcome.RESET: CALL_MAYBE,
    Outcome.CANCELLED: CALL_MAYBE,
}

SWEEP = 0.1  # s between sweeps: under half of the shortest run seen; each costs CPU on every server
HIGH, LOW = 1.5, 1.0  # J a core: shortest first from half a core's worth waiting, until nothing need wait
CUT, SLOW = 0.8, 2.0  # the design's factor and trigger
MEMORY_HOLD, MEMORY_RUN = 0.7, 0.85  # of memory: the first cuts the hold, the second bounds starts and keys
SPREAD = 1.4  # foreseen times are taken longer, as sizes vary: between 1.25 and 1.6, which scored best
STALL = 0.5  # s unread on the mean, a few times what reading takes when all cores are busy
FEW, USED, SHORT = 10, 2.0, 0.1  # connections a core that are no burden; s between uses; s kept when too many
BACK = 0.3  # share turned back from which reading it costs more than a level that errs (0.05 was too eager)
CALLERS = 1024  # (caller, workload) pairs remembered: some hundred callers at once; ids may be ever new
OWN_ROOM = 0.75  # the same in local trouble: a server at a quarter of its speed turns back so much by itself
ROOM = 0.25  # share turned back up to which others likely take more: a third more doors (0.15, 0.3 tried)
SPARES = 4  # a core: more than can start within a goal, few enough to look through at each event
CROWD = 0.6  # of the surely survived crowd, so that resumed work after calls finds room
# Least waits: ten mean calls, 24 where a call can't be made again; what is silent for longer hardly answers.
PATIENCE, LAST_PATIENCE = 2.5, 6.0
MIDDLE = 1.5  # by which a call moves the middle one: ten times slower is learnt in six, noise stays in two
CALLS_RATE, CALLS_SAVED = 0.7, 0.25  # of the share of calls: together under 1, so no window passes it


class Fading:
    """A row of decaying sums, brought up to date when read."""

    def __init__(self, life, count, now):
        self.life, self.at, self.sums = life, now, [0.0] * count

    def read(self, now):
        if now > self.at:
            keep = math.exp((self.at - now) / self.life)
            self.sums, self.at = [x * keep for x in self.sums], now
        return self.sums

    def add(self, now, first, *amounts):
        sums = self.read(now)
        for index, amount in enumerate(amounts, first):
            sums[index] += amount


class AdmissionController:
    def __init__(self, settings, seed, now):
        self.s, self.now, self.born = settings, now, now
        self.halts = settings.interruption is not Interruption.UNSUPPORTED
        count = len(settings.workloads)
        self.live, self.out, self.seq = {}, [], 0
        self.margin = SWEEP + 2 * settings.tick  # what is due sooner may not be seen again in time
        self.keys = {}  # until when each remembered one's memory stays taken
        # call-seconds that may still be spent at the dependency, and when that was brought up to date
        self.credit, self.credit_at = CALLS_SAVED * settings.call_quota * settings.call_quota_window, now
        self.calls = Fading(10.0, 2, now)  # time and count of calls that ended well, or late
        self.middle = 0.0  # about the median time of the last few calls, those that ran out of time above it
        self.gauges, self.limit_used = interface.Gauges(), False
        self.pressed, self.limit, self.cut_at = False, float(settings.cores), now
        self.leave_at = self.stop_at = None
        # By workload in turn: cost, time on the cores, time at calls and count of runs. 4 s: a dozen runs.
        self.runs = Fading(4.0, 4 * count, now)
        # count and logs of hint and time, for what hints are worth. 60 s: spreads want a hundred runs.
        self.hints = Fading(60.0, 5 * count, now)
        # cost and time of runs that ended with no more on the cores than there are cores: the normal.
        # 60 s: a trouble of half a minute does not become normal, a lasting change does.
        self.calm = Fading(60.0, 2 * count, now)
        self.best = self.pace = 1.0  # hinted work a second that one run gets: normally, and now
        self.sent = Fading(3.0, len(settings.tenants), now)  # submissions by tenant; 3 s show a flood
        self.door = Fading(3.0, 3, now)  # submissions read, turned back, waits unread. 3 s: some dozen
        self.level, self.well, self.idle = 0.0, True, 0.0  # said last; an idle time of 0 is the longest
        self.usual = {}  # (caller, workload) -> the wait most seen and its votes, which tell later tries
        self.awake, self.reduced = False, interface.ServiceReduction()

    # ---- the way in

    def decide(self, now, events):
        self.now, self.out = now, []
        if not self.awake:
            self.awake, self.out = True, [interface.Health(True, True), interface.SetTimer(SWEEP, 0)]
        for e in events:
            if type(e) in self.FOR_SERVER:
                self.FOR_SERVER[type(e)](self, e)
            elif e.id in self.live:  # an event of one that is over changes nothing
                self.FOR_ONE[type(e)](self, self.live[e.id], e)
        if self.live or not self.well:  # an idle server has nothing to decide
            self.measure()
            self.serve_calls()
            self.fill(self.prune(), self.keep_memory())
        return self.out

    def step(self, sub, given):
        """The short loop's body: looks the pair up, moves the submission and applies the effect."""
        found = TABLE.get((sub.state, given))
        if found is None:
            return False
        before, (sub.state, effect) = sub.state, found
        if before == CALLING:
            self.call_left(sub, given)
        if isinstance(effect, str):
            getattr(self, "do_" + effect)(sub)
        elif effect:
            self.out.append(effect(sub.id))
        if sub.state == OVER:
            self.live.pop(sub.id, None)
        return True

    # ---- events

    def on_arrived(self, e):
        w = self.s.workloads[e.workload]
        hint = math.log(max(1e-3, e.cost_hint)) if e.cost_hint else None
        cost, left = (
            self.expected_cost(e.workload, hint),
            w.timeout - e.waited if e.time_left is None else e.time_left,
        )
        # A try is as old as its wait is short of its caller's usual one; by majority, as one is odd at times.
        age = 0.0
        if e.time_left is not None:
            wait = left + e.waited
            usual, votes = self.usual.pop((e.caller, e.workload), (wait, 0))
            votes = min(20, votes + 1) if abs(wait - usual) < 0.02 else votes - 1
            self.usual[e.caller, e.workload] = usual, votes = (usual, votes) if votes >= 0 else (wait, 1)
            age = max(0.0, usual - wait)
            if len(self.usual) > CALLERS:  # the one that was heard of the longest ago
                del self.usual[next(iter(self.usual))]
        self.seq, due = self.seq + 1, max(self.now, self.now + left)
        goal = min(w.latency_objective + w.objective_stretch * cost, w.timeout)
        sub = SimpleNamespace(
            id=e.id,
            workload=e.workload,
            tenant=e.tenant,
            memory=e.memory,
            repeats=e.duplicate_of,
            seq=self.seq,
            told=e.time_left is not None,
            retry=e.is_retry,
            hint=hint,
            cost=cost,
            progress=0.0,  # work, and done
            reached=self.now - e.waited,
            due=due,
            goal_by=min(self.now - e.waited - age + goal, due),
            state=HELD,
            ran=False,
            owed=True,
            spare=False,
            since=self.now,
            room_in=e.deduplication_ready_in,
            standing=e.rank,
            tries=0,
            called=0.0,
            called_at=0.0,
            reserved=0.0,
        )  # its calls: tries, time in all, the one out
        self.door.add(self.now, 0, 1, 0, e.waited)
        self.live[sub.id] = sub
        if e.tenant is not None and not e.is_retry:
            self.sent.add(self.now, e.tenant, 1)
        if e.duplicate_of is not None and (w.effect is not Effect.UNREPEATABLE):
            self.step(sub, JOIN)
        elif (
            self.late_for_drain(sub)
            or self.given_up(sub, e.rank)
            or (min(due, self.stop_at or due) < self.now + self.margin)
        ):  # it may not be seen again in time
            self.step(sub, GIVE_UP)
        elif w.effect is Effect.DEDUPLICATED or (
            w.effect is Effect.IDEMPOTENT and self.s.result_lifetime > 0
        ):
            self.remember(sub, w)

    def on_ended(self, sub, e):
        if e.outcome is Outcome.CANCELLED and self.step(sub, STOPPED):
            return
        if e.outcome is Outcome.UNSTORED:
            sub.ran = False
            self.step(sub, UNBEGUN)
            return
        if sub.state in ON_CORES and e.outcome is Outcome.DONE:  # given up or not, or a stall is never seen
            self.learn(sub)
        self.step(sub, ENDED)

    def on_gone(self, sub, e):
        sub.owed = False
        self.step(sub, GONE)

    def on_call_ended(self, sub, e):
        if e.outcome is Outcome.DONE or e.duration > self.least_wait():  # late ones tell of a slow dependency
            self.calls.add(self.now, 0, e.duration, 1)
            above = e.outcome is not Outcome.DONE or e.duration > self.middle
            moved = self.middle * (MIDDLE if above else 1 / MIDDLE)
            self.middle = min(self.s.call_quota_window, moved) if self.middle else e.duration / MIDDLE
        self.step(sub, CALL_INPUT[e.outcome])

    def given_up(self, sub, rank):
        """Newcomers that the present level of reduced service has no room for; repeats are none."""
        r = self.reduced
        if rank >= 1 - r.exempt_share:
            return False
        beyond = r.within_allowance_only and sub.tenant is not None and self.within(sub.tenant) < 1.0
        return sub.workload in r.rejected_workloads or rank < r.min_rank or beyond

    def on_level(self, e):
        self.reduced = e.reduction

    def on_calls_share(self, e):
        self.s = self.s._replace(call_quota=e.quota)

    def on_leave(self, e):
        self.leave_at, self.stop_at = self.now, self.now + e.time_left
        self.out.append(interface.Health(False, True))

    def on_woken(self, e):
        self.keys = {number: until for number, until in self.keys.items() if until >= self.now}
        self.gauges, self.limit_used = e.gauges, self.on_cores() >= math.floor(self.limit)
        self.out.append(interface.SetTimer(SWEEP, 0))
        for sub in list(self.live.values()):
            last = sub.due if self.stop_at is None else min(sub.due, self.stop_at - self.margin)
            slack = 0.0 if self.stop_at else 0.5 * self.s.answer_slack
            if sub.owed and self.now + self.margin >= last + slack:
                self.step(sub, GIVE_UP)
            elif (
                sub.state == RUNNING
                and self.now > sub.goal_by
                and self.pressed
                and self.halts
                and (not self.s.workloads[sub.workload].late_value_share)
            ):
                self.step(sub, GIVE_UP)
        self.limit = max(self.s.cores, min(self.limit, self.crowd()))
        self.say_level()
        self.say_health()
        self.say_idle()

    FOR_SERVER = {
        interface.Arrived: on_arrived,
        interface.DrainStarted: on_leave,
        interface.TimerFired: on_woken,
        interface.LevelChanged: on_level,
        interface.CallQuotaChanged: on_calls_share,
    }
    FOR_ONE = {
        interface.Ended: on_ended,
        interface.CallerGone: on_gone,
        interface.CallEnded: on_call_ended,
        interface.CallRequested: lambda self, sub, e: self.step(sub, CALLS),
    }

    # ---- effects

    def do_start(self, sub):
        sub.ran, sub.since = True, self.now
        self.out.append(Start(sub.id))

    def do_turn_back(self, sub):
        waiting = [one for one in self.live.values() if one.repeats == sub.id and one.state == JOINED]
        for one in waiting:  # repeats of it never ran either
            self.step(one, GIVE_UP)
        self.do_forget(sub)
        self.refuse(sub)

    def refuse(self, sub):
        sub.owed = False
        self.door.add(self.now, 1, 1)
        read, back, _ = self.door.sums
        # The more is turned back, the longer callers should choose others: quick answers draw those that look
        # for the quickest server, or the least busy one, to the one that turns most back.
        away = 1.0 if self.stop_at is not None or self.local_trouble() else back / max(read, back)
        away = max(away * self.s.max_retry_after, min(sub.room_in, self.s.max_retry_after))
        # Others likely have room for what few turn back, or one for its own trouble; past that all would go
        # through all doors, each of which reads at a price.
        others = self.stop_at is not None or back < (OWN_ROOM if self.local_trouble() else ROOM) * read
        self.out.append(Reject(sub.id, away, not others))

    def do_refuse_repeat(self, sub):
        first = self.live.get(sub.repeats)
        if first is not None and first.state in (HELD, OVER) and not first.ran:
            self.refuse(sub)
        else:
            self.do_write_off(sub)

    def do_forget(self, sub):
        if sub.id in self.keys and not sub.ran:
            del self.keys[sub.id]
            self.out.append(Forget(sub.id))

    def do_write_off(self, sub):
        if sub.owed:
            sub.owed = False
            self.out.append(Fail(sub.id))

    def do_write_off_running(self, sub):
        self.do_write_off(sub)
        if self.halts:
            self.out.append(Interrupt(sub.id))

    def do_caller_gone(self, sub):
        """Stops work that nobody waits for, except what a repeat may still come for."""
        kept = self.s.workloads[sub.workload].effect is Effect.DEDUPLICATED and self.now <= sub.goal_by
        if self.halts and not kept:
            self.out.append(Interrupt(sub.id))

    def do_stopped(self, sub):
        sub.progress = min(0.9 * sub.cost, sub.progress + (self.now - sub.since) * self.pace)

    def do_seek_call(self, sub):
        sub.tries = 0
        sub.called -= self.now

    def do_call(self, sub):
        """Sets aside the longest that the call can stand at the dependency; what it spares comes back."""
        until = self.skip_at(sub) if self.can_skip(sub) else self.last_use(sub)
        least = self.least_wait()
        again = self.s.workloads[sub.workload].effect is Effect.IDEMPOTENT
        most = least * (PATIENCE if again else LAST_PATIENCE)
        wait = max(least, min(most, self.credit / 2)) * self.reduced.call_timeout_share
        wait = max(0.01, min(until - self.now, wait))
        sub.tries += 1
        sub.reserved = wait + self.s.call_linger
        sub.called_at, self.credit = self.now, self.credit - sub.reserved
        self.out.append(interface.Call(sub.id, wait))

    def last_use(self, sub):
        """The moment after which its answer earns nothing."""
        return sub.due if self.s.workloads[sub.workload].late_value_share else sub.goal_by

    def call_time(self):
        """What a call takes: a mean of ten seconds, or more where the last few tell so: their middle one, no
        slower for one that is never answered; a mean of so few would be."""
        time, count = self.calls.read(self.now)
        return max(time / count if count > 0.1 else 0.025, self.middle)

    def least_wait(self):
        """Four calls, 50 ms at least: too short a wait gives up calls that would have ended well. Longer than
        half of what may be saved would hardly ever be found."""
        most = 0.5 * (CALLS_SAVED * self.s.call_quota * self.s.call_quota_window - self.s.call_linger)
        return max(0.05, min(4 * max(self.call_time(), MIDDLE * self.middle), most))

    def call_left(self, sub, given):
        """A call that ended is paid for by its time; one given up may linger as long as the settings say."""
        ended = given in (CALL_DONE, CALL_UNRUN)
        used = self.now - sub.called_at + (0.0 if ended else self.s.call_linger)
        self.credit += max(0.0, sub.reserved - used)

    def do_call_done(self, sub):
        sub.called += self.now

    def do_go_without(self, sub):
        self.do_call_done(sub)
        self.out.append(interface.BypassCall(sub.id))

    def do_call_unrun(self, sub):
        if sub.tries >= 3:
            self.settle_call(sub)

    def do_call_maybe(self, sub):
        if self.s.workloads[sub.workload].effect is not Effect.IDEMPOTENT or sub.tries >= 2:
            self.settle_call(sub)

    def settle_call(self, sub):
        """The call will not be made again: go on without it where that earns something, else write off."""
        self.step(sub, SKIP if self.can_skip(sub) else GIVE_UP)

    def can_skip(self, sub):
        return self.s.workloads[sub.workload].degraded_value_share > 0

    def skip_at(self, sub):
        """The last moment to go on without the call: from there the whole run again would end at the goal."""
        return sub.goal_by - sub.cost / self.pace

    # ---- what is known

    def expected_cost(self, workload, hint):
        """A hint counts for as much as it has told of run times: by the slope of the logs, about the mean of
        the workload. Without a hint that mean stands alone; before any run all are equal."""
        n, x, y, xx, xy = self.hints.read(self.now)[5 * workload : 5 * workload + 5]
        # The prior of a half is worth four runs: a hint may err as widely as sizes spread, till told better.
        slope = (xy - x * y / n + 2.0) / (xx - x * x / n + 4.0) if n > 1 else 0.5
        slope = min(1.0, max(0.0, slope))
        middle = x / n if n > 0 else hint if hint is not None else math.log(0.1)
        return math.exp(middle + slope * ((middle if hint is None else hint) - middle))

    def measure(self):
        """Brings up to date what a run gets. Overdue runs show a slow or hung server before they end; a small
        prior at the normal speed brings the figure back when nothing is learned."""
        calm, runs = self.calm.read(self.now), self.runs.read(self.now)
        self.best = (sum(calm[0::2]) + 0.5 * self.cold_share()) / (sum(calm[1::2]) + 0.5)
        took = sum(runs[1::4])
        for sub in self.live.values():
            if sub.state in ON_CORES:
                took += max(0.0, self.now - sub.since - 2 * sub.cost / self.best)
        self.pace = max(0.02, (sum(runs[0::4]) + 0.5 * self.best) / (took + 0.5))

    def left_of(self, sub):
        return sub.cost - sub.progress - self.pace * (self.now - sub.since)

    def cold_share(self):
        """The share of its speed that a cold server has for sure: it rises in even steps at the least."""
        if not self.s.starts_cold or not self.s.warm_up_time:
            return 1.0
        warmed = (self.now - self.born) / self.s.warm_up_time
        return min(1.0, self.s.cold_start_speed + (1 - self.s.cold_start_speed) * warmed)

    def local_trouble(self):
        """True when this server is worse than it should be, so that others can do what it cannot."""
        return self.cold_share() < 1.0 or self.runs_slow()

    def runs_slow(self):
        return self.pace < 0.5 * self.best

    def learn(self, sub):
        took = max(1e-3, self.now - sub.since - max(0.0, sub.called))
        cost = max(1e-3, sub.cost - sub.progress)
        self.runs.add(self.now, 4 * sub.workload, cost, took, max(0.0, sub.called), 1)
        if not sub.progress:
            x, y = sub.hint if sub.hint is not None else math.log(took), math.log(max(5e-3, took))
            self.hints.add(self.now, 5 * sub.workload, 1, x, y, x * x, x * y)
        if self.on_cores() <= self.s.cores:
            self.calm.add(self.now, 2 * sub.workload, cost, took)
        cost, took = self.runs.read(self.now)[4 * sub.workload : 4 * sub.workload + 2]
        calm_cost, calm_took = self.calm.read(self.now)[2 * sub.workload : 2 * sub.workload + 2]
        slow = took * calm_cost > SLOW * calm_took * cost
        if slow and self.limit > self.s.cores and self.now - self.cut_at > 1.0:
            self.limit, self.cut_at = max(self.s.cores, self.limit * CUT), self.now
        elif self.cores_idle() and any(other.state == HELD for other in self.live.values()):
            self.limit, self.limit_used = self.limit + 1, False  # once a sweep: a hundred runs may end in one

    def cores_idle(self):
        """Cores idle though the limit was used up, at the last sweep: only then would one more run help. The
        moment's gauge is asked first; the mean one is half a second late and lets the limit overshoot."""
        g = self.gauges
        by_mean = g.busy is not None and g.busy < 0.9
        return self.limit_used and (by_mean if g.runnable is None else g.runnable < self.s.cores)

    def value(self, sub):
        """Value for a unit of work, less for what its tenant likely sends beyond its allowance. The fleet
        is not seen, so this server's part of the allowance is an even one."""
        value = self.s.workloads[sub.workload].value
        if sub.tenant is not None:
            within = self.within(sub.tenant)
            value *= within + (1 - within) * self.s.over_allowance_value
        if sub.retry and not sub.told:
            value *= 0.5  # of unknown age: half of them, say, can no longer make their goal
        return value if self.s.value_per_unit_of_work else value / max(1e-3, sub.cost)

    def within(self, tenant):
        """The share of what a tenant likely sends that is within its allowance."""
        sent = self.sent.read(self.now)[tenant] / self.sent.life
        return min(1.0, self.s.tenants[tenant].allowance / max(1, self.s.servers) / max(1e-3, sent))

    # ---- steps of a decision

    def late_for_drain(self, sub):
        return self.leave_at is not None and sub.reached > self.leave_at + self.s.drain_grace - self.s.tick

    def memory(self):
        held, factor = (HELD, JOINED), self.s.run_memory_factor
        live = sum(sub.memory * (1.0 if sub.state in held else factor) for sub in self.live.values())
        return len(self.keys) * self.s.key_memory + live

    def remember(self, sub, w):
        lasting = (
            w.deduplication_window - (self.now - sub.reached)
            if w.effect is Effect.DEDUPLICATED
            else (self.s.result_lifetime + max(0.0, sub.due - self.now))
        )
        room = not sub.room_in and self.memory() + self.s.key_memory <= MEMORY_RUN * self.s.memory
        if room and lasting > 0:
            lasting += 2 * self.s.tick
            self.keys[sub.id] = self.now + lasting
            self.out.append(StoreKey(sub.id, lasting))
        elif w.effect is Effect.DEDUPLICATED:  # never run unmarked
            self.step(sub, GIVE_UP)

    def on_cores(self):
        return len([sub for sub in self.live.values() if sub.state in ON_CORES])

    def crowd(self):
        """One run at a time is survived by any server, as there is a core for it: small ones would stand."""
        return max(
            1.0, CROWD * self.s.cores * (1 + (self.s.max_concurrency_per_core - 1) * self.cold_share())
        )

    def order(self):
        """The design's two modes: arrival order, or least expected remaining cost first."""
        waiting = [sub for sub in self.live.values() if sub.state in (HELD, PAUSED)]
        j = len(waiting) + [sub.state for sub in self.live.values()].count(RUNNING)
        self.pressed = j > (LOW if self.pressed else HIGH) * self.s.cores
        return sorted(waiting, key=lambda sub: ((sub.cost - sub.progress) * self.pressed, sub.seq))

    def prune(self):
        """Turns back what would be late: walks the hold in its order, and where a submission would miss its
        goal the one of least value up to there goes, the largest first among equals. Whose caller tells how
        long it waits stays as a spare, to start after all others, while it could make its goal alone."""
        speed, kept, order, runs = self.pace, [], self.order(), self.runs.read(self.now)
        rate = speed * max(self.limit, self.s.cores)
        ahead = sum(
            max(0.1 * sub.cost, self.left_of(sub)) for sub in self.live.values() if sub.state in ON_CORES
        )
        start_ahead, idle, spares = ahead, self.on_cores() == 0, SPARES * self.s.cores
        foresee = self.pressed or self.local_trouble()
        for sub in order:
            if sub.state == PAUSED:
                ahead += sub.cost - sub.progress
                continue
            kept.append(sub)
            ahead, sub.spare, sub.rank = ahead + sub.cost, False, (self.value(sub), -sub.cost)
            time, count = runs[4 * sub.workload + 2 : 4 * sub.workload + 4]
            calls = time / count if count > 0.5 and not self.can_skip(sub) else 0.0
            while True:
                finish = max(ahead / rate, (ahead - start_ahead - sub.cost) / rate + sub.cost / speed) + calls
                probe = idle and len(kept) == 1 and self.now < sub.goal_by
                if self.now + SPREAD * finish * foresee <= sub.goal_by or probe:
                    break
                victim = min(kept, key=lambda k: k.rank)
                kept.remove(victim)
                ahead -= victim.cost
                victim.spare, spares = True, spares - 1
                if not victim.told or spares < 0 or self.now + SPREAD * victim.cost / speed > victim.goal_by:
                    self.step(victim, GIVE_UP)
                if victim is sub:
                    break
        return sorted(order, key=lambda sub: sub.spare)

    def fill(self, order, used):
        running = self.on_cores()
        most = min(math.floor(self.limit), self.crowd())
        for sub in order:
            if running + 1 > most:
                break
            grows = sub.memory * (self.s.run_memory_factor - 1) if sub.state == HELD else 0.0
            if used + grows > MEMORY_RUN * self.s.memory or self.late_for_drain(sub):
                continue
            if self.step(sub, START):
                running, used = running + 1, used + grows
        if self.s.interruption is Interruption.SUSPEND and self.pressed and running + 1 > most:
            self.pause_for([sub for sub in order if sub.state == HELD])

    def pause_for(self, held):
        """A newcomer under a quarter of the largest run takes its place; few at a time may be paused."""
        paused = sum(sub.state == PAUSED for sub in self.live.values())
        runs = [sub for sub in self.live.values() if sub.state == RUNNING and sub.owed]
        if held and runs and paused * 4 < self.s.cores:
            largest = max(runs, key=self.left_of)
            left = self.left_of(largest)
            if held[0].cost < 0.25 * left and self.now + 2 * left / self.pace + 0.5 < largest.goal_by:
                self.step(largest, HALT)

    def keep_memory(self):
        """What is held goes, largest first, while there is still memory left to start what stays."""
        used, most = self.memory(), MEMORY_HOLD * self.s.memory
        if used > most:
            for sub in sorted(self.live.values(), key=lambda sub: -sub.memory):
                if used > most and sub.state == HELD:
                    used -= sub.memory
                    self.step(sub, GIVE_UP)
        return used

    def serve_calls(self):
        share, window = self.s.call_quota, self.s.call_quota_window
        more = CALLS_RATE * share * (self.now - self.credit_at)
        self.credit, self.credit_at = min(CALLS_SAVED * share * window, self.credit + more), self.now
        need, takes = self.least_wait() + self.s.call_linger, self.call_time()
        # What calls that are out have set aside beyond what they take comes back soon.
        soon = self.credit + sum(
            max(0.0, sub.reserved - takes) for sub in self.live.values() if sub.state == CALLING
        )
        # Those that cannot go without come first, as a slow dependency leaves credit for few. Of the others
        # who would stand there longer than a call may take goes without at once: its cores idle meanwhile.
        standing = [sub for sub in self.live.values() if sub.state == AT_CALL]
        for sub in sorted(standing, key=lambda sub: (self.can_skip(sub), sub.goal_by)):
            reduced = (
                sub.workload in self.reduced.bypass_call and sub.standing < 1 - self.reduced.exempt_share
            )
            stands = (need - soon) / (CALLS_RATE * share) if soon < need else 0.0
            if self.can_skip(sub) and (reduced or stands > need or self.now + stands >= self.skip_at(sub)):
                self.step(sub, SKIP)
                continue
            if not self.can_skip(sub) and self.now + stands + takes > self.last_use(sub):
                self.step(sub, GIVE_UP)
                continue
            if self.credit >= need:
                self.step(sub, CALL_OUT)
            soon -= takes

    def say_level(self):
        """The free value moves lower ranks on from a hot server unread, and stops them where all are pressed.
        Slow and capped: an eager one lives on its own effect and keeps work from servers that idle again."""
        read, back, _ = self.door.read(self.now)
        rise = back / read - BACK if read > 1 else -BACK
        level = min(0.5, max(0.0, self.level + 0.1 * SWEEP * max(-1.0, min(1.0, 5 * rise))))
        if self.s.load_advertisement is interface.LoadAdvertisement.LEVEL and round(level, 2) != round(
            self.level, 2
        ):
            self.out.append(interface.AdvertiseLoad(round(level, 2)))
        self.level = level

    def say_health(self):
        """Bad while this server stalls: reads late, and runs take twice as long as they did. Guards against
        slow, hung and frozen machines; overload slows no run so much. Harms where all stall at once."""
        read, _, waited = self.door.read(self.now)  # the 0.2 lets a server that is sent nothing more get well
        well = waited <= STALL * (read + 0.2) or not self.runs_slow()
        if well != self.well and self.stop_at is None:
            self.out.append(interface.Health(well, True))
        self.well = well

    def say_idle(self):
        """Connections are closed soon while more are open than are used every USED seconds: guards the table,
        which rare callers fill, and its cost. Harms where opening one is dear and the table is large."""
        most = max(FEW * self.s.cores, USED * self.door.read(self.now)[0] / self.door.life)
        idle = SHORT if (self.gauges.connections or 0) > most else 0.0
        if idle != self.idle:
            self.out.append(interface.CloseIdleConnections(idle))
        self.idle = idle
