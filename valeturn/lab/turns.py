"""`lab turns --virtual`: a whole release over many servers in virtual time, by the owner's own order and by
three plainer ways on the same load.

A server is its cores and how warm it is; the load is spread over all that serve, and what is over their cores
is lost. Reports and facts take a moment; machines fail by chance where `troubles` says so. No owner changes
here: the real servers of `lab turns` have those."""

from __future__ import annotations

import math

from ..cluster.replicated_state import ClusterState, decode_command
from ..maintenance.drain_schedule import DrainSchedule, MaintenanceLimits
from ..maintenance.records import MaintenanceRecord, RecordState, RecordUpdated, decode_record
from ..maintenance.server_view import ServerView
from ..transport.seeded_random import SeededRandom
from .virtual import percentile

STEP = 0.5  # s
LEASE, LASTS = 2.0, 3.0
DRAIN, WORK, COLD, SPEED = (
    4.0,
    45.0,
    20.0,
    0.3,
)  # s to empty, of work, of warming up; share of its speed at first
LIMITS = MaintenanceLimits(
    max_unavailable=40,
    max_unavailable_share=0.2,
    single_zone=True,
    spare_capacity_share=0.05,
    min_answer_count=20,
    idle_proof_time=30.0,
    keep_missing=True,
)


class Machine:
    """One server: in, or on its way through its turn."""

    def __init__(self, number):
        self.name, self.zone, self.life = f"n{number}", f"z{number % 3}", 1
        self.doing, self.fence, self.at, self.there, self.done = RecordState.WAITING, 0, -1e9, True, False
        self.born, self.answers, self.lost = -1e9, 1000, False

    def warm(self, now):
        return min(1.0, SPEED + (1 - SPEED) * (now - self.born) / COLD) if now - self.born < COLD else 1.0

    def capacity(self, now):
        """Cores that serve: one that drains serves what it has read alone."""
        return self.warm(now) if self.there and self.doing == RecordState.WAITING else 0.0

    def step(self, now):
        if self.doing == RecordState.DRAINING and now - self.at >= DRAIN:
            self.doing, self.at = RecordState.DRAINED, now
        if not self.there and now - self.at >= WORK:
            self.done = self.done or not self.lost
            self.there, self.lost, self.doing, self.life = True, False, RecordState.WAITING, self.life + 1
            self.born, self.answers = now, 0
        if self.there and self.doing == RecordState.WAITING:
            self.answers += 5

    def out(self, now, fence=0):
        self.doing, self.fence, self.at = RecordState.DRAINING, fence, now

    def work(self, now):
        self.there, self.at = False, now

    def lose(self, now):
        """It dies unasked, and is back cold after as long as work takes."""
        if self.there and self.doing == RecordState.WAITING:
            self.there, self.lost, self.at = False, True, now


class Release:
    """All of them, once, under a load of so many cores."""

    def __init__(self, count, load, seed, troubles=0.0):
        """troubles: share of them that die, unasked, a minute after the beginning."""
        self.random_source, self.machines, self.now = (
            SeededRandom(seed),
            [Machine(n) for n in range(count)],
            0.0,
        )
        for _ in range(8):
            self.random_source.random()
        self.count, self.share_load, self.troubles = count, load, troubles
        self.served, self.asked, self.by_second = 0.0, 0.0, []
        self.most_out = 0

    def load(self):
        wave = 1 + 0.05 * math.sin(self.now / 40.0) + 0.02 * (self.random_source.random() - 0.5)
        return self.count * self.share_load * wave

    def step(self):
        for machine in self.machines:
            machine.step(self.now)
        if self.now == 60.0:
            for machine in self.machines:
                if self.random_source.random() < self.troubles:
                    machine.lose(self.now)
        room, load = sum(machine.capacity(self.now) for machine in self.machines), self.load()
        self.busy = min(1.0, load / max(1e-9, room))
        self.asked += load * STEP
        self.served += min(load, room) * STEP
        self.by_second.append(min(load, room) / load)
        self.most_out = max(self.most_out, sum(m.capacity(self.now) == 0 for m in self.machines))
        self.now += STEP

    def all_done(self):
        return all(m.done and m.warm(self.now) >= 1 for m in self.machines)

    def figures(self):
        window = int(10 / STEP)
        tens = [
            sum(self.by_second[n : n + window]) / window for n in range(0, len(self.by_second) - window + 1)
        ]
        return {
            "took": self.now,
            "served": self.served / self.asked,
            "worst_10s": min(tens),
            "most_out": self.most_out,
        }


def by_order(release, limits=LIMITS, most=36000.0):
    """The owner's own decision, with committed facts a moment later."""
    order, facts, reports = DrainSchedule(limits, LEASE, LASTS, 0.0), ClusterState(), {}
    for number, machine in enumerate(release.machines):
        facts = facts.apply(
            decode_command(
                RecordUpdated(
                    MaintenanceRecord(machine.name, number + 1, "release", False, 3 * WORK)
                ).encode()
            )
        )
    while not release.all_done() and release.now < most:
        release.step()
        now = release.now
        rows = {row[0]: decode_record(row) for row in facts.maintenance_records}
        for machine in release.machines:
            if not machine.there:
                reports[machine.name] = reports[machine.name]._replace(alive=False)
                continue
            reports[machine.name] = view = ServerView(
                machine.name,
                machine.zone,
                machine.life,
                True,
                False,
                1.0,
                release.busy if machine.doing == RecordState.WAITING else 0.0,
                machine.warm(now),
                release.busy > 0.99,
                machine.answers,
                machine.doing,
                machine.fence,
                now,
            )
            verb, fence = order.response_to(now, rows.get(machine.name), view)
            if verb == "out" and machine.doing == RecordState.WAITING:
                machine.out(now, fence)
            elif verb == "work" and machine.doing == RecordState.DRAINED:
                machine.work(now)
            elif verb == "back":
                machine.doing, machine.life, machine.born = RecordState.WAITING, machine.life + 1, now
        for entry in order.plan(now, list(rows.values()), reports, facts.maintenance_held):
            facts = facts.apply(decode_command(entry.encode()))
    return release.figures()


def plain(release, batch, pause, most=36000.0):
    """So many at once, the next ones once these are warm and a pause is over."""
    todo, out, free_at = list(release.machines), [], 0.0
    while not release.all_done() and release.now < most:
        release.step()
        for machine in out:
            if machine.there and machine.doing == RecordState.WAITING and not machine.done:
                machine.out(release.now)
            if machine.doing == RecordState.DRAINED and machine.there:
                machine.work(release.now)
        if out and all(m.done and m.warm(release.now) >= 1 for m in out):
            out, free_at = [], release.now + pause
        if not out and todo and release.now >= free_at:
            todo.sort(key=lambda machine: machine.lost)  # those that are not there come later
            out, todo = todo[:batch], todo[batch:]
            for machine in out:
                machine.out(release.now)
    return release.figures()


WAYS = {
    "order": by_order,
    "all at once": lambda release: plain(release, release.count, 0.0),
    "a tenth, pause 20 s": lambda release: plain(release, max(1, release.count // 10), 20.0),
    "one at a time": lambda release: plain(release, 1, 0.0),
}


def main(count, seeds, out, load=0.85, troubles=0.0):
    """A line for each way; 1 where the order served less than the batches or did not end."""
    found = {}
    for way, play in WAYS.items():
        rows = [play(Release(count, load, seed, troubles)) for seed in seeds]
        found[way] = rows
        print(
            f"virtual servers={count} load={load:g} lost={troubles:g} seeds={len(rows)} way={way!r} "
            f"took_p50={percentile([row['took'] for row in rows], 0.5):.0f}s "
            f"served={sum(row['served'] for row in rows) / len(rows):.4f} "
            f"worst_10s={min(row['worst_10s'] for row in rows):.3f} "
            f"most_out={max(row['most_out'] for row in rows)}",
            file=out,
            flush=True,
        )
    return 0 if all(row["took"] < 36000 for row in found["order"]) else 1
