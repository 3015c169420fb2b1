"""`lab levels --real`: a load on real servers on loopback, with levels and without, next to the emulator.

Two fleets run side by side, each with executors whose cores are shared among their runs, one shared ledger
that slows down as it fills, and gateways of its own. The earned value is counted from the answers alone.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import pathlib
import shutil
import signal
import sys
import tempfile

from ..transport.seeded_random import SeededRandom
from .addresses import reserve_address
from .checker import DELIVERED, TURNED_BACK
from .emulator import BACKOFF_S, MAX_ATTEMPTS
from .executor import Executor, Plan
from .gateways import Gateway
from .levels import CAPACITY, CORES, LEVELS, MIX, WORKLOADS, make_scenario, play
from .services import listen, naming

SLICE_S = 0.01  # seconds in which a run progresses by its share of the cores: a third of the shortest work
GATEWAYS = 3  # per fleet


def settings_text():
    """Return the levels of the emulator as an operator's file has them."""
    names = [workload.name for workload in WORKLOADS]
    lines = []
    for name, rank, enter, leave, stay, reduction in LEVELS:
        lines += [
            f"[level {name}]",
            f"rank = {rank}",
            f"enter = {enter}",
            f"leave = {leave}",
            f"stay = {stay:g} s",
            f"without_call = {', '.join(names[index] for index in sorted(reduction.bypass_call))}",
        ]
        lines += [f"least_rank = {100 * reduction.min_rank:g} %"] if reduction.min_rank else []
    return "\n".join(lines) + "\n"


def configuration(settings, listen_address, addresses, number):
    """Return a real server's configuration for the emulator's settings (an interface.Settings)."""
    effects = {"may run again": "safe", "must never run twice": "unsafe"}
    return {
        "name": f"n{number}",
        "listen": "%s:%d" % listen_address,
        "seed": f"{1000 + number:x}",
        "stop_ms": 2000,
        **{name: "%s:%d" % address for name, address in addresses.items()},
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
        "settings": {
            "servers": settings.servers,
            "tick_ms": 1000 * settings.tick,
            "counted_by": "request",
            "request_classes": [
                {
                    "name": workload.name,
                    "semantics": effects[workload.effect.value],
                    "goal_time_ms": 1000 * workload.latency_objective,
                    "give_up_ms": 1000 * workload.timeout,
                    "worth": workload.value,
                    "late_share": workload.late_value_share,
                }
                for workload in settings.workloads
            ],
            "tenants": [{"name": "acme", "allowance_per_s": 1e6}],
            "rules": {
                "cold_ms": 0,
                "drain_grace_ms": 500,
                "grace_to_answer_ms": 1000 * settings.answer_slack,
                "overload_factor": settings.max_concurrency_per_core,
            },
            "allowed": {"retry_after": True, "max_retry_after_ms": 1000 * settings.max_retry_after},
            "domain": {
                "cpus": settings.cores,
                "heap_kb": settings.memory,
                "run_mem_factor": settings.run_memory_factor,
                "halt": "drop",
                "passes_deadline": True,
                "calls_by_class": [workload.makes_call for workload in settings.workloads],
                "degraded_worth": [workload.degraded_value_share for workload in settings.workloads],
                "calls_out": settings.call_quota,
                "calls_over_ms": 1000 * settings.call_quota_window,
                "linger_ms": 1000 * settings.call_linger,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        },
    }


class SharedCores(Executor):
    """An executor whose runs share CORES cores evenly."""

    def __init__(self, plan):
        super().__init__(plan, gauges=self.measure)
        self.running_count, self.busy, self.measured_at = 0, 0.0, 0.0

    def measure(self, running):
        """Return the gauges cpu_busy, runnable, mem_used and sockets."""
        now = asyncio.get_running_loop().time()
        keep = math.exp(min(0.0, (self.measured_at - now) / 0.5))
        self.busy, self.measured_at = (
            self.busy * keep + min(1.0, self.running_count / CORES) * (1 - keep),
            now,
        )
        return [self.busy, self.running_count, 8.0 * len(self.running), 3]

    async def work(self, call, seconds):
        """Use the cores for that many core seconds: half of a run, if it makes a call between its halves."""
        clock, self.running_count = asyncio.get_running_loop().time, self.running_count + 1
        try:
            last = clock()
            while seconds > 0:
                await asyncio.sleep(min(SLICE_S, seconds))
                now = clock()
                seconds, last = seconds - (now - last) * min(1.0, CORES / self.running_count), now
        finally:
            self.running_count -= 1


class RealFleet:
    """Real servers with their stand-in services; also the `world` that gateways.Gateway reads."""

    life = 1  # the servers' incarnation: none is restarted here

    def __init__(self, folder, shape, seconds, servers, with_levels, seed):
        self.folder, self.shape, self.seconds, self.seed = folder, shape, seconds, seed
        self.servers, self.with_levels = servers, with_levels
        self.scenario = make_scenario(shape, servers, seconds, with_levels)
        self.demand, self.random_source = SeededRandom(seed), SeededRandom(seed + 1)
        self.tries, self.doubled, self.calls, self.calls_in_progress = [], [], 0, 0
        self.processes, self.services, self.work_by_key = [], [], {}
        self.earned_value = self.offered_value = 0.0
        self.lost = self.degraded = 0

    def new_call(self):
        """Return a new call number, as gateways.Gateway sends it."""
        self.calls += 1
        return f"{self.calls:016x}"

    async def look_whether_dead(self, life):
        """Do nothing: no server is killed here."""

    # ---- stand-in services

    def plan(self, workload, body):
        """Return what the executor does for a submission."""
        calls = any(known.name == workload and known.makes_call for known in WORKLOADS)
        return Plan(self.work_by_key[body], calls)

    async def ledger(self, reader, writer):
        """Serve the ledger of all servers; it slows down as it fills, like the emulator's dependency."""
        loop, began = asyncio.get_running_loop(), self.began
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            body = await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
            now, scenario = loop.time() - began, self.scenario
            self.calls_in_progress += 1
            try:
                if self.random_source.random() < scenario.failing(now):
                    writer.write(b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")
                    continue
                mean = (
                    scenario.call_time
                    * scenario.slowdown(now)
                    / (1 - min(0.97, self.calls_in_progress / scenario.call_capacity))
                )
                await asyncio.sleep(mean * (0.5 - 0.5 * math.log(1 - self.random_source.random())))
            finally:
                self.calls_in_progress -= 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def set_up(self):
        """Start the services and servers, and wait until each has joined its executor."""
        self.began = asyncio.get_running_loop().time()
        self.folder.mkdir(parents=True, exist_ok=True)
        ledger, ledger_address = await listen(self.ledger)
        registry, registry_address = await listen(naming())
        self.services, self.executors, addresses = [ledger, registry], [], []
        (self.folder / "valeturn.ini").write_text(settings_text())
        for number in range(self.servers):
            executor = SharedCores(self.plan)
            service, executor_address = await listen(executor.serve)
            address = reserve_address()
            self.services.append(service)
            self.executors.append(executor)
            addresses.append(address)
            addresses_by_service = {
                "executor": executor_address,
                "ledger": ledger_address,
                "naming": registry_address,
            }
            config_path = self.folder / f"n{number}.json"
            config_path.write_text(
                json.dumps(configuration(self.scenario.settings, address, addresses_by_service, number))
            )
            arguments = ["serve", "--config", str(config_path)]
            arguments += ["--settings", str(self.folder / "valeturn.ini")] if self.with_levels else []
            with open(self.folder / f"n{number}.log", "wb") as log:
                self.processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "valeturn",
                        *arguments,
                        stdout=log,
                        stderr=log,
                        cwd=pathlib.Path(__file__).resolve().parents[2],
                        env={
                            name: value for name, value in os.environ.items() if not name.startswith("EDGE_")
                        },
                    )
                )
        for number in range(self.servers):
            for _ in range(200):
                if b"event=welcome" in (self.folder / f"n{number}.log").read_bytes():
                    break
                await asyncio.sleep(0.05)
        self.gateways = [
            [Gateway(address, number, self) for address in addresses] for number in range(GATEWAYS)
        ]

    # ---- load

    async def run(self):
        """Play the load against the servers, stop them and count violations."""
        await self.set_up()
        loop = asyncio.get_running_loop()
        self.began, tasks, next_at = loop.time(), set(), 0.0
        while next_at < self.seconds:
            await asyncio.sleep(max(0.0, self.began + next_at - loop.time()))
            task = loop.create_task(self.request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            next_at -= math.log(1 - self.demand.random()) / max(1e-3, self.scenario.load(next_at))
        await asyncio.wait_for(asyncio.gather(*tasks), 30)
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        codes = [await asyncio.wait_for(process.wait(), 15) for process in self.processes]
        for service in (*self.executors, *self.services):
            service.close()
        logs = [(self.folder / f"n{number}.log").read_text() for number in range(self.servers)]
        self.level_changes = sum(log.count("event=level ") for log in logs)
        self.repeated_runs = sum(
            count > 1 for executor in self.executors for count in executor.effects.values()
        )
        self.unclean_exits = sum(code != 0 for code in codes)

    async def request(self):
        """Send one client's request, in at most MAX_ATTEMPTS attempts, and count its value."""
        loop, random_source = asyncio.get_running_loop(), self.demand
        draw, workload = random_source.random(), 0
        for workload, mix in enumerate(MIX):
            draw -= mix.share
            if draw < 0:
                break
        workload_settings, mix = WORKLOADS[workload], MIX[workload]
        work = mix.work * (0.5 - 0.5 * math.log(1 - random_source.random()))
        hint = work * math.exp(0.3 * (random_source.random() - 0.5))
        servers = [int(random_source.random() * self.servers) for _ in range(MAX_ATTEMPTS)]
        key = f"{self.seed}-{len(self.work_by_key)}"
        self.work_by_key[key.encode()] = work
        began, self.offered_value = loop.time(), self.offered_value + workload_settings.value
        for number in servers:
            time_left = began + workload_settings.timeout - loop.time()
            if time_left <= 0.01:
                return
            gateway = self.gateways[int(self.random_source.random() * GATEWAYS)][number]
            attempt = await gateway.once(key, workload_settings.name, time_left, hint)
            if attempt is not None and attempt.outcome == DELIVERED:
                late = loop.time() > began + workload_settings.latency_objective
                degraded = workload_settings.makes_call and attempt.result.endswith(b" ")
                self.degraded += degraded
                self.earned_value += (
                    workload_settings.value
                    * (workload_settings.late_value_share if late else 1.0)
                    * (workload_settings.degraded_value_share if degraded else 1.0)
                )
                return
            if attempt is not None and attempt.outcome != TURNED_BACK:
                self.lost += attempt.outcome not in ("written off",)
                return
            await asyncio.sleep(BACKOFF_S * (0.75 + 0.5 * self.random_source.random()))

    def summary(self):
        """Return the figures as one line of key=value fields."""
        return (
            f"submissions={len(self.work_by_key)} "
            f"earned={self.earned_value / max(1e-9, self.offered_value):.4f} "
            f"slim={self.degraded} changes_a_server={self.level_changes / self.servers:.1f} lost={self.lost} "
            f"twice={self.repeated_runs} answered_twice={len(self.doubled)} not_clean={self.unclean_exits}"
        )

    def violation_count(self):
        """Return the number of violated guarantees."""
        return self.lost + self.repeated_runs + len(self.doubled) + self.unclean_exits


async def run_both(folder, shape, seconds, servers, seed):
    """Run a fleet without levels and one with them side by side."""
    fleets = [
        RealFleet(folder / name, shape, seconds, servers, with_levels, seed)
        for name, with_levels in (("without", False), ("with", True))
    ]
    await asyncio.gather(*(fleet.run() for fleet in fleets))
    return fleets


def main(shape, seconds, servers, seed, out):
    """Print the figures of both fleets and the emulator; return 1 if a real server violated a guarantee."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-lab-"))
    try:
        fleets = asyncio.run(run_both(folder, shape, seconds, servers, seed))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    emulated = [play(shape, servers, float(seconds), with_levels, seed) for with_levels in (False, True)]
    for name, fleet, totals in zip(("without", "with   "), fleets, emulated):
        print(f"real     {name}: {fleet.summary()}", file=out)
        print(
            f"emulated {name}: earned={totals.earned_value / max(1e-9, totals.offered_value):.4f} "
            f"slim={sum(totals.degraded)} changes_a_server={totals.level_changes / servers:.1f}",
            file=out,
        )
    gains = [
        (after - before)
        for before, after in (
            [fleet.earned_value / max(1e-9, fleet.offered_value) for fleet in fleets],
            [totals.earned_value / max(1e-9, totals.offered_value) for totals in emulated],
        )
    ]
    print(
        f"shape={shape} seconds={seconds} servers={servers} capacity={CAPACITY:.1f}/s a server "
        f"gain_real={gains[0]:+.4f} gain_emulated={gains[1]:+.4f} "
        f"rules_broken={sum(fleet.violation_count() for fleet in fleets)}",
        file=out,
    )
    return 1 if any(fleet.violation_count() for fleet in fleets) else 0
