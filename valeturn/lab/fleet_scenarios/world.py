"""Plays one day of a fleet in virtual time with one policy, and counts what came of it."""

from __future__ import annotations

import math

from ...admission import interface
from ...transport.seeded_random import SeededRandom
from ..emulator import Scene, World
from . import days as d
from . import history_checker as seen
from .gateways import Asked, Gateway
from .servers import FleetServer

SUBJECTS, POPULAR = 4000, 3.0  # keys, and how far the few outdo the many
SPREAD = 0.5  # of a hint about the true work, in logs


def settings(day):
    calls = day.servers * d.RATE * d.CALLS * d.CALL_TIME  # out at once on the mean, at the full rate
    tenants = (0.27, 0.21, 0.15, 0.14, 0.12, 0.11)
    return interface.Settings(
        workloads=d.WORKLOADS,
        tenants=tuple(
            interface.Tenant(f"t{n}", 0.9 * share * day.servers * d.RATE) for n, share in enumerate(tenants)
        ),
        servers=day.servers,
        cores=d.CORES,
        memory=100_000.0,
        run_memory_factor=4.0,
        interruption=interface.Interruption.CANCEL,
        load_advertisement=interface.LoadAdvertisement.LEVEL,
        tick=0.005,
        answer_slack=0.1,
        drain_grace=2.5,
        max_concurrency_per_core=8.0,
        cold_start_speed=0.3,
        warm_up_time=12.0,
        call_quota=2 * day.room * calls / day.servers,
        call_quota_window=5.0,
        call_linger=0.2,
        max_retry_after=1.0,
        value_per_unit_of_work=True,
    )


class Fleet(World):
    NET = 0.001  # s each way

    def __init__(self, day, make_rules):
        self.day, self.make, self.witness = day, make_rules, seen.Witness()
        self.unserved_why = {}
        calls = day.servers * d.RATE * d.CALLS * d.CALL_TIME
        scene = Scene(
            day.servers,
            day.seconds,
            settings(day),
            d.MIX,
            load=day.rate,
            call_time=d.CALL_TIME,
            call_room=max(4.0, 2 * day.room * calls),
        )
        super().__init__(scene, day.seed)
        self.demand = SeededRandom(day.seed + 1)
        self.gateways = [
            Gateway(
                self, n, self.random_source.random() < day.heeds, self.random_source.random() < day.hashes
            )
            for n in range(day.gateways)
        ]
        for out in day.outs:
            self.at(out.at, self.go_out, out)
        for restart in day.restarts:
            for n in restart.gateways:
                self.at(restart.at + restart.over * self.random_source.random(), self.gateways[n].forget)
        self.popular = [0.0]
        for rank in range(1, SUBJECTS + 1):
            self.popular.append(self.popular[-1] + 1.0 / (rank + POPULAR) ** 0.9)

    def make_server(self, n, seed):
        return FleetServer(self, n, seed)

    def make_rules(self, settings, seed, now):
        return self.make(settings, seed, now)

    # ---- demand

    def submit(self):
        random_source = self.demand
        workload, draw = 0, random_source.random()
        for workload, mix in enumerate(d.MIX):
            draw -= mix.share
            if draw < 0:
                break
        w, mix = d.WORKLOADS[workload], d.MIX[workload]
        work = mix.work * (0.4 - 0.6 * math.log(1 - random_source.random()))
        hint = work * math.exp(SPREAD * (random_source.random() + random_source.random() - 1))
        asked = Asked(
            self.now,
            workload,
            work,
            hint,
            random_source.random(),
            self.tenant(),
            self.subject(),
            self.now + w.timeout,
            w.effect is interface.Effect.UNREPEATABLE,
        )
        self.totals.sent[workload] += 1
        self.totals.all_worth += w.value * work
        self.totals.by_second[int(self.now)][0] += w.value * work
        self.entry().send(asked)

    def tenant(self):
        draw = self.demand.random()
        for number, share in enumerate((0.27, 0.21, 0.15, 0.14, 0.12)):
            draw -= share
            if draw < 0:
                return number
        return 5

    def subject(self):
        """By a table of sums, most popular first."""
        want, low, high = self.demand.random() * self.popular[-1], 0, SUBJECTS
        while low < high:
            middle = (low + high) // 2
            low, high = (middle + 1, high) if self.popular[middle + 1] < want else (low, middle)
        return low

    def entry(self):
        """The gateway that a client comes to; while traffic shifts, more of them come to one zone's."""
        random_source = self.demand
        gateway = self.gateways[int(random_source.random() * len(self.gateways))]
        for at, until, zone, times in self.day.shift:
            if at <= self.now < until and gateway.zone != zone and random_source.random() < 1 - 1 / times:
                there = [one for one in self.gateways if one.zone == zone]
                gateway = there[int(random_source.random() * len(there))]
        return gateway

    # ---- what became of it

    def answered(self, server, attempt, how):
        self.witness.answered(attempt, how)
        attempt.gateway.told(attempt, how)

    def turned_back(self, server, attempt, action=None):
        self.witness.answered(attempt, seen.TURNED_BACK)
        attempt.gateway.told(attempt, seen.TURNED_BACK, action)

    def earned(self, attempt):
        asked, totals = attempt.asked, self.totals
        if asked.earned is not None:
            return
        w = d.WORKLOADS[asked.workload]
        late = self.now > asked.born + w.latency_objective
        totals.delivered[asked.workload] += 1
        totals.late[asked.workload] += late
        totals.slim[asked.workload] += attempt.slim
        asked.earned = (
            w.value
            * asked.work
            * (w.late_value_share if late else 1.0)
            * (w.degraded_value_share if attempt.slim else 1.0)
        )
        totals.worth += asked.earned
        totals.by_second[int(asked.born)][1] += asked.earned

    def unserved(self, asked, why):
        """Nobody asks for it any more."""
        if asked.earned is None:
            asked.earned = 0.0
            self.unserved_why[why] = self.unserved_why.get(why, 0) + 1

    # ---- troubles

    def cut(self, gateway, server):
        return any(
            cut.at <= self.now < cut.until and server.name in cut.servers and gateway.number in cut.gateways
            for cut in self.day.cuts
        )

    def slowness(self, name):
        share = 1.0
        for slow in self.day.slows:
            if slow.at <= self.now < slow.until and name in slow.servers:
                share /= slow.times
        return share

    def fails(self, name):
        return any(
            slow.failing
            and slow.at <= self.now < slow.until
            and name in slow.servers
            and self.random_source.random() < slow.failing
            for slow in self.day.slows
        )

    def go_out(self, out):
        for name in out.servers:
            server = self.servers[name]
            if out.notice is None:
                self.lost(server, out.silent)
            else:
                server.leave(out.notice)
                self.change(name, False, self.day.list_lag)
            self.at(self.now + (out.notice or 0.0) + out.back_after, self.back, server, True)

    def lost(self, server, silent):
        server.crash()
        self.change(server.name, False, self.day.silent_lag if silent else self.day.list_lag)

    def back(self, server, cold):
        if not server.up:
            server.start(cold)
            server.wake()
            self.change(server.name, True, (0.5, 2.0))

    def change(self, name, there, lag):
        """Each gateway hears of it in its own time, and later where the registry is down."""
        for gateway in self.gateways:
            when = self.now + d.between(self.random_source, *lag)
            for at, until in self.day.registry_down:
                if at <= when < until:
                    when = until + d.between(self.random_source, *lag)
            self.at(when, gateway.hear, name, there)

    def listed(self):
        """The base's one list for all: gateways here have lists of their own."""

    def line(self):
        t = self.totals
        in_goal = sum(t.delivered) - sum(t.late)
        sent = max(1, sum(t.sent))
        a = self.witness.answers
        return (
            f"sent={sent} delivered={sum(t.delivered)} in_goal={in_goal / sent:.4f} slim={sum(t.slim)} "
            f"turned_back={a[seen.TURNED_BACK]} written_off={a[seen.WRITTEN_OFF]} "
            f"earned={t.worth / max(1e-9, t.all_worth):.4f} worst_10s={t.worst(10):.4f} "
            f"{self.witness.line()}"
        )
