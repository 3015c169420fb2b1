"""`lab turns --virtual`: a whole release over many servers in virtual time, by the leader's drain
schedule and by three baseline strategies under the same load.

A server is one core and its warm-up; the load is spread over all servers that serve, and load above their
capacity is lost. Committed records take effect a step later; a share of the servers crashes where asked for.
The leader does not change here; `lab turns` covers that with real servers.
"""

from __future__ import annotations

import math

from ..cluster.replicated_state import ClusterState, decode_command
from ..maintenance.drain_schedule import DrainSchedule, MaintenanceLimits
from ..maintenance.records import MaintenanceRecord, RecordState, RecordUpdated, decode_record
from ..maintenance.server_view import ServerView
from ..transport.seeded_random import SeededRandom
from .virtual import percentile

STEP_S = 0.5  # seconds of virtual time per step
# Seconds: the leader's lease, and the validity of an answer to a report.
LEASE_S, RESPONSE_VALIDITY_S = 2.0, 3.0
# Seconds to drain, of maintenance work and of warming up; and the share of its full speed after a cold start.
DRAIN_S, WORK_S, WARM_UP_S, COLD_START_SPEED = 4.0, 45.0, 20.0, 0.3
LIMITS = MaintenanceLimits(
    max_unavailable=40,
    max_unavailable_share=0.2,
    single_zone=True,
    spare_capacity_share=0.05,
    min_answer_count=20,
    idle_proof_time=30.0,
    keep_missing=True,
)


class SimulatedServer:
    """One server: serving, or in some stage of its maintenance."""

    def __init__(self, number):
        self.name, self.zone, self.incarnation = f"n{number}", f"z{number % 3}", 1
        self.state, self.fencing_token, self.changed_at, self.running, self.maintained = (
            RecordState.WAITING,
            0,
            -1e9,
            True,
            False,
        )
        self.started_at, self.answer_count, self.crashed = -1e9, 1000, False

    def warmup(self, now):
        """Return the share of its full speed that the server has reached."""
        return (
            min(1.0, COLD_START_SPEED + (1 - COLD_START_SPEED) * (now - self.started_at) / WARM_UP_S)
            if now - self.started_at < WARM_UP_S
            else 1.0
        )

    def capacity(self, now):
        """Return the cores that serve new load; a draining server only finishes what it has read."""
        return self.warmup(now) if self.running and self.state == RecordState.WAITING else 0.0

    def step(self, now):
        """Finish a drain or a stay out of service that is over, and count answers."""
        if self.state == RecordState.DRAINING and now - self.changed_at >= DRAIN_S:
            self.state, self.changed_at = RecordState.DRAINED, now
        if not self.running and now - self.changed_at >= WORK_S:
            self.maintained = self.maintained or not self.crashed
            self.running, self.crashed, self.state, self.incarnation = (
                True,
                False,
                RecordState.WAITING,
                self.incarnation + 1,
            )
            self.started_at, self.answer_count = now, 0
        if self.running and self.state == RecordState.WAITING:
            self.answer_count += 5

    def start_drain(self, now, fencing_token=0):
        """Start to drain, under the fencing token of the grant."""
        self.state, self.fencing_token, self.changed_at = RecordState.DRAINING, fencing_token, now

    def start_work(self, now):
        """Stop for the maintenance work."""
        self.running, self.changed_at = False, now

    def crash(self, now):
        """Crash if serving; the server returns cold after as long as maintenance work takes."""
        if self.running and self.state == RecordState.WAITING:
            self.running, self.crashed, self.changed_at = False, True, now


class Release:
    """A release over all servers, once, under a load given as a share of their cores."""

    def __init__(self, count, load, seed, crash_share=0.0):
        """crash_share: share of the servers that crash a minute after the beginning."""
        self.random_source, self.servers, self.now = (
            SeededRandom(seed),
            [SimulatedServer(number) for number in range(count)],
            0.0,
        )
        for _ in range(8):  # the first draws of neighbouring seeds are alike
            self.random_source.random()
        self.count, self.load_share, self.crash_share = count, load, crash_share
        self.served, self.offered, self.served_shares = 0.0, 0.0, []
        self.most_out = 0

    def load(self):
        """Return the load in cores: a slow wave and some noise around the mean."""
        wave = 1 + 0.05 * math.sin(self.now / 40.0) + 0.02 * (self.random_source.random() - 0.5)
        return self.count * self.load_share * wave

    def step(self):
        """Advance all servers by one step and count what was served."""
        for server in self.servers:
            server.step(self.now)
        if self.now == 60.0:
            for server in self.servers:
                if self.random_source.random() < self.crash_share:
                    server.crash(self.now)
        capacity, load = sum(server.capacity(self.now) for server in self.servers), self.load()
        self.utilization = min(1.0, load / max(1e-9, capacity))
        self.offered += load * STEP_S
        self.served += min(load, capacity) * STEP_S
        self.served_shares.append(min(load, capacity) / load)
        self.most_out = max(self.most_out, sum(server.capacity(self.now) == 0 for server in self.servers))
        self.now += STEP_S

    def is_complete(self):
        """Whether all servers have been maintained and are warm."""
        return all(server.maintained and server.warmup(self.now) >= 1 for server in self.servers)

    def figures(self):
        """Return seconds taken, served share of the load in all and at worst, and most servers out."""
        window = int(10 / STEP_S)
        windows = [
            sum(self.served_shares[start : start + window]) / window
            for start in range(0, len(self.served_shares) - window + 1)
        ]
        return {
            "took": self.now,
            "served": self.served / self.offered,
            "worst_10s": min(windows),
            "most_out": self.most_out,
        }


def by_schedule(release, limits=LIMITS, max_seconds=36000.0):
    """Play the release by the leader's drain schedule; records are committed one step later."""
    schedule, cluster_state, reports = (
        DrainSchedule(limits, LEASE_S, RESPONSE_VALIDITY_S, 0.0),
        ClusterState(),
        {},
    )
    for number, server in enumerate(release.servers):
        cluster_state = cluster_state.apply(
            decode_command(
                RecordUpdated(
                    MaintenanceRecord(server.name, number + 1, "release", False, 3 * WORK_S)
                ).encode()
            )
        )
    while not release.is_complete() and release.now < max_seconds:
        release.step()
        now = release.now
        rows = {row[0]: decode_record(row) for row in cluster_state.maintenance_records}
        for server in release.servers:
            if not server.running:
                reports[server.name] = reports[server.name]._replace(alive=False)
                continue
            reports[server.name] = view = ServerView(
                server.name,
                server.zone,
                server.incarnation,
                True,
                False,
                1.0,
                release.utilization if server.state == RecordState.WAITING else 0.0,
                server.warmup(now),
                release.utilization > 0.99,
                server.answer_count,
                server.state,
                server.fencing_token,
                now,
            )
            instruction, fencing_token = schedule.response_to(now, rows.get(server.name), view)
            if instruction == "out" and server.state == RecordState.WAITING:
                server.start_drain(now, fencing_token)
            elif instruction == "work" and server.state == RecordState.DRAINED:
                server.start_work(now)
            elif instruction == "back":
                server.state, server.incarnation, server.started_at = (
                    RecordState.WAITING,
                    server.incarnation + 1,
                    now,
                )
        for entry in schedule.plan(now, list(rows.values()), reports, cluster_state.maintenance_held):
            cluster_state = cluster_state.apply(decode_command(entry.encode()))
    return release.figures()


def in_batches(release, batch_size, pause_s, max_seconds=36000.0):
    """Play the release in fixed batches; the next one starts `pause_s` seconds after the last one is warm."""
    remaining, current_batch, next_at = list(release.servers), [], 0.0
    while not release.is_complete() and release.now < max_seconds:
        release.step()
        for server in current_batch:
            if server.running and server.state == RecordState.WAITING and not server.maintained:
                server.start_drain(release.now)
            if server.state == RecordState.DRAINED and server.running:
                server.start_work(release.now)
        if current_batch and all(
            server.maintained and server.warmup(release.now) >= 1 for server in current_batch
        ):
            current_batch, next_at = [], release.now + pause_s
        if not current_batch and remaining and release.now >= next_at:
            remaining.sort(key=lambda server: server.crashed)  # servers that have crashed come last
            current_batch, remaining = remaining[:batch_size], remaining[batch_size:]
            for server in current_batch:
                server.start_drain(release.now)
    return release.figures()


STRATEGIES = {
    "order": by_schedule,
    "all at once": lambda release: in_batches(release, release.count, 0.0),
    "a tenth, pause 20 s": lambda release: in_batches(release, max(1, release.count // 10), 20.0),
    "one at a time": lambda release: in_batches(release, 1, 0.0),
}


def main(count, seeds, out, load=0.85, crash_share=0.0):
    """Print a line for each strategy; return 1 if the drain schedule did not finish the release, else 0."""
    found = {}
    for strategy, play in STRATEGIES.items():
        rows = [play(Release(count, load, seed, crash_share)) for seed in seeds]
        found[strategy] = rows
        print(
            f"virtual servers={count} load={load:g} lost={crash_share:g} seeds={len(rows)} way={strategy!r} "
            f"took_p50={percentile([row['took'] for row in rows], 0.5):.0f}s "
            f"served={sum(row['served'] for row in rows) / len(rows):.4f} "
            f"worst_10s={min(row['worst_10s'] for row in rows):.3f} "
            f"most_out={max(row['most_out'] for row in rows)}",
            file=out,
            flush=True,
        )
    return 0 if all(row["took"] < 36000 for row in found["order"]) else 1
