"""One emulated server of a fleet: reading costs its cores, a crowd slows them, it drains, dies, is back."""

from __future__ import annotations

from collections import deque

from ...admission import interface
from ..emulator import Run, Server
from . import history_checker as seen
from .days import INTAKE, MEAN_WORK, NEVER, zone_of

HANDSHAKE = 0.002  # s of a core for a new connection
THRASH, THRASH_AT = 0.7, 1.35  # past so many on each core, so much of the whole is lost for each more
FALL = 3.0  # s over the crowd that it survives, after which it falls over
RESTART = 5.0  # s until one that fell is back


class FleetServer(Server):
    def __init__(self, world, name, seed):
        self.life = 0
        self.zone = zone_of(name, world.day.zones)
        super().__init__(world, name, False, seed)

    def start(self, cold):
        self.life += 1
        self.unread, self.reading = deque(), {}
        self.level = self.grace_over = None
        self.refusing = False
        self.crowded_since = NEVER
        super().start(cold)

    # ---- cores

    def speed(self):
        cores = self.world.scene.settings.cores
        over = len(self.runs) / cores - THRASH_AT
        return super().speed() * self.world.slowness(self.name) / (1 + THRASH * max(0.0, over))

    def wake(self):
        if self.up:
            now, most = self.world.now, self.most_crowd()
            if len(self.runs) <= most:
                self.crowded_since = NEVER
            elif self.crowded_since == NEVER:
                self.crowded_since = now
            elif now - self.crowded_since > FALL:
                self.world.witness.fell += 1
                self.world.lost(self, silent=False)
                self.world.at(now + RESTART, self.world.back, self, True)
                return
        super().wake()

    def most_crowd(self):
        s = self.world.scene.settings
        return s.cores * s.max_concurrency_per_core

    # ---- the way in

    def offered(self, attempt, fresh):
        """A submission reaches the machine: it stands unread until a core has read it."""
        if not self.up or self.refusing:
            attempt.gateway.unreached(attempt)
            return
        attempt.life, attempt.reached_at = self.life, self.world.now
        self.world.at(attempt.due, attempt.gateway.timed_out, attempt)
        self.unread.append((attempt, INTAKE * MEAN_WORK + HANDSHAKE * fresh))
        if len(self.reading) < self.world.scene.settings.cores:
            self.move()
            self.read_next()
            self.plan()

    def read_next(self):
        while self.unread and len(self.reading) < self.world.scene.settings.cores:
            attempt, work = self.unread.popleft()
            if not attempt.over:
                self.numbers += 1
                self.reading[self.numbers] = attempt
                self.runs[self.numbers] = Run(attempt, work, None)

    def run_reached(self, number, run):
        """The server has a submission from the end of its reading on: that is when it counts as read."""
        attempt = self.reading.pop(number, None)
        if attempt is None:
            return super().run_reached(number, run)
        self.read_next()
        if attempt.over:
            return []
        now, asked = self.world.now, attempt.asked
        attempt.read_at, self.subs[number] = now, attempt
        self.world.at(attempt.due + seen.SLACK, self.world.witness.due, attempt)
        return [
            interface.Arrived(
                id=number,
                workload=asked.workload,
                tenant=asked.tenant,
                rank=asked.rank,
                memory=8.0,
                waited=now - attempt.born,
                time_left=max(0.0, attempt.due - now),
                cost_hint=asked.hint,
                caller=attempt.gateway.number,
            )
        ]

    def over(self, number, run):
        if self.world.fails(self.name):
            self.world.answered(self, self.subs.pop(number), seen.WRITTEN_OFF)
            return interface.Ended(number, interface.Outcome.ERROR, 0.0)
        return super().over(number, run)

    def taken_back(self, attempt):
        if not self.up or attempt.life != self.life or attempt.answers:
            return
        attempt.taken_back = True
        number = next((n for n, one in self.subs.items() if one is attempt), None)
        if number is None:
            return
        events = [interface.CallerGone(number)]
        if number in self.calls:  # the executor ends a run at its call once the caller has gone
            del self.calls[number], self.subs[number]
            events.append(interface.Ended(number, interface.Outcome.CANCELLED, 0.0))
        elif number not in self.runs:
            del self.subs[number]
        self.decide(events)

    # ---- what the module asks for

    def do_start(self, a):
        if a.id in self.subs:
            self.world.witness.began(self.subs[a.id], self, self.world.now)
            super().do_start(a)

    def do_say(self, a):
        self.level = a.value

    DOES = {**Server.DOES, interface.Start: do_start, interface.AdvertiseLoad: do_say}

    # ---- the way out

    def open_ones(self):
        return [
            *{id(one): one for one in self.subs.values()}.values(),
            *self.reading.values(),
            *(attempt for attempt, _ in self.unread),
        ]

    def leave(self, notice):
        """The notice to drain: the stop follows by so many seconds."""
        if self.up:
            s = self.world.scene.settings
            self.grace_over = self.world.now + s.drain_grace
            self.world.at(min(self.grace_over, self.world.now + notice), self.refuse, self.life)
            self.world.at(self.world.now + notice, self.stopped, self.life)
            self.decide([interface.DrainStarted(notice - 0.15)])

    def refuse(self, life):
        if self.life == life:
            self.refusing = True

    def stopped(self, life):
        if self.up and self.life == life:
            self.world.witness.stopped(self.open_ones())
            self.crash()

    def crash(self):
        """Whatever was open ends with it; its callers see their connections break."""
        self.up = False
        for attempt in self.open_ones():
            if not attempt.answers:
                self.world.at(self.world.now, self.broke, attempt)
        self.runs, self.calls, self.subs, self.unread, self.reading = {}, {}, {}, deque(), {}

    def broke(self, attempt):
        if not self.world.cut(attempt.gateway, self):
            attempt.gateway.broken(attempt)
