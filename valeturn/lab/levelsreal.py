"""`lab levels --real`: a load on real servers on loopback, with levels and without, beside the emulator.

Two fleets run side by side, each with executors whose cores are shared among their runs, one shared ledger
that slows down as it fills, and gateways of its own. What is earned is counted from the answers alone.
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
from .emulator import BACK_OFF, TRIES
from .executor import Executor, Plan
from .gateways import Gateway
from .levels import CAPACITY, CORES, LEVELS, MIX, WORKLOADS, play, scene
from .services import listen, naming

SLICE = 0.01  # s in which a run goes on by its share of the cores: a third of the shortest work
GATEWAYS = 3  # a fleet


def settings_text():
    """The levels of the emulator as an operator writes them."""
    names = [w.name for w in WORKLOADS]
    out = []
    for name, rank, enter, leave, stay, gives in LEVELS:
        out += [
            f"[level {name}]",
            f"rank = {rank}",
            f"enter = {enter}",
            f"leave = {leave}",
            f"stay = {stay:g} s",
            f"without_call = {', '.join(names[index] for index in sorted(gives.bypass_call))}",
        ]
        out += [f"least_rank = {100 * gives.min_rank:g} %"] if gives.min_rank else []
    return "\n".join(out) + "\n"


def configuration(s, listen_at, addresses, number):
    """A real server's configuration for the emulator's settings. s: interface.Settings."""
    effects = {"may run again": "safe", "must never run twice": "unsafe"}
    return {
        "name": f"n{number}",
        "listen": "%s:%d" % listen_at,
        "seed": f"{1000 + number:x}",
        "stop_ms": 2000,
        **{name: "%s:%d" % address for name, address in addresses.items()},
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
        "settings": {
            "servers": s.servers,
            "tick_ms": 1000 * s.tick,
            "counted_by": "request",
            "request_classes": [
                {
                    "name": w.name,
                    "semantics": effects[w.effect.value],
                    "goal_time_ms": 1000 * w.latency_objective,
                    "give_up_ms": 1000 * w.timeout,
                    "worth": w.value,
                    "late_share": w.late_value_share,
                }
                for w in s.workloads
            ],
            "tenants": [{"name": "acme", "allowance_per_s": 1e6}],
            "rules": {
                "cold_ms": 0,
                "drain_grace_ms": 500,
                "grace_to_answer_ms": 1000 * s.answer_slack,
                "overload_factor": s.max_concurrency_per_core,
            },
            "allowed": {"retry_after": True, "max_retry_after_ms": 1000 * s.max_retry_after},
            "domain": {
                "cpus": s.cores,
                "heap_kb": s.memory,
                "run_mem_factor": s.run_memory_factor,
                "halt": "drop",
                "passes_deadline": True,
                "calls_by_class": [w.makes_call for w in s.workloads],
                "degraded_worth": [w.degraded_value_share for w in s.workloads],
                "calls_out": s.call_quota,
                "calls_over_ms": 1000 * s.call_quota_window,
                "linger_ms": 1000 * s.call_linger,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        },
    }


class SharedCores(Executor):
    """Its runs share so many cores evenly."""

    def __init__(self, plan):
        super().__init__(plan, gauges=self.measure)
        self.on_cores, self.busy, self.at = 0, 0.0, 0.0

    def measure(self, running):
        now = asyncio.get_running_loop().time()
        keep = math.exp(min(0.0, (self.at - now) / 0.5))
        self.busy, self.at = self.busy * keep + min(1.0, self.on_cores / CORES) * (1 - keep), now
        return [self.busy, self.on_cores, 8.0 * len(self.running), 3]

    async def work(self, call, seconds):
        """Half of it: where there is a call it stands between the halves."""
        clock, self.on_cores = asyncio.get_running_loop().time, self.on_cores + 1
        try:
            before = clock()
            while seconds > 0:
                await asyncio.sleep(min(SLICE, seconds))
                now = clock()
                seconds, before = seconds - (now - before) * min(1.0, CORES / self.on_cores), now
        finally:
            self.on_cores -= 1


class Fleet:
    """So many real servers with their parties; also what its gateways ask of their world."""

    life = 1

    def __init__(self, folder, shape, seconds, servers, with_levels, seed):
        self.folder, self.shape, self.seconds, self.seed = folder, shape, seconds, seed
        self.servers, self.with_levels = servers, with_levels
        self.scene = scene(shape, servers, seconds, with_levels)
        self.demand, self.random_source = SeededRandom(seed), SeededRandom(seed + 1)
        self.tries, self.doubled, self.calls, self.out = [], [], 0, 0
        self.processes, self.parties, self.works = [], [], {}
        self.worth = self.all_worth = 0.0
        self.lost = self.slim = 0

    def new_call(self):
        self.calls += 1
        return f"{self.calls:016x}"

    async def look_whether_dead(self, life):
        """None is killed here."""

    # ---- its parties

    def plan(self, workload, body):
        calls = any(w.name == workload and w.makes_call for w in WORKLOADS)
        return Plan(self.works[body], calls)

    async def ledger(self, reader, writer):
        """One for all servers: it slows down as it fills, as the emulator's does."""
        loop, began = asyncio.get_running_loop(), self.began
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            body = await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
            now, s = loop.time() - began, self.scene
            self.out += 1
            try:
                if self.random_source.random() < s.failing(now):
                    writer.write(b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")
                    continue
                mean = s.call_time * s.slow(now) / (1 - min(0.97, self.out / s.call_room))
                await asyncio.sleep(mean * (0.5 - 0.5 * math.log(1 - self.random_source.random())))
            finally:
                self.out -= 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def set_up(self):
        self.began = asyncio.get_running_loop().time()
        self.folder.mkdir(parents=True, exist_ok=True)
        ledger, at_ledger = await listen(self.ledger)
        names, at_names = await listen(naming())
        self.parties, self.executors, addresses = [ledger, names], [], []
        (self.folder / "valeturn.ini").write_text(settings_text())
        for number in range(self.servers):
            executor = SharedCores(self.plan)
            party, at_executor = await listen(executor.serve)
            address = reserve_address()
            self.parties.append(party)
            self.executors.append(executor)
            addresses.append(address)
            parties = {"executor": at_executor, "ledger": at_ledger, "naming": at_names}
            config = self.folder / f"n{number}.json"
            config.write_text(json.dumps(configuration(self.scene.settings, address, parties, number)))
            words = ["serve", "--config", str(config)]
            words += ["--settings", str(self.folder / "valeturn.ini")] if self.with_levels else []
            with open(self.folder / f"n{number}.log", "wb") as log:
                self.processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "valeturn",
                        *words,
                        stdout=log,
                        stderr=log,
                        cwd=pathlib.Path(__file__).resolve().parents[2],
                        env={k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
                    )
                )
        for number in range(self.servers):
            for _ in range(200):
                if b"event=welcome" in (self.folder / f"n{number}.log").read_bytes():
                    break
                await asyncio.sleep(0.05)
        self.gateways = [[Gateway(address, n, self) for address in addresses] for n in range(GATEWAYS)]

    # ---- its load

    async def run(self):
        await self.set_up()
        loop = asyncio.get_running_loop()
        self.began, tasks, at = loop.time(), set(), 0.0
        while at < self.seconds:
            await asyncio.sleep(max(0.0, self.began + at - loop.time()))
            task = loop.create_task(self.ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            at -= math.log(1 - self.demand.random()) / max(1e-3, self.scene.load(at))
        await asyncio.wait_for(asyncio.gather(*tasks), 30)
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        codes = [await asyncio.wait_for(process.wait(), 15) for process in self.processes]
        for party in (*self.executors, *self.parties):
            party.close()
        logs = [(self.folder / f"n{n}.log").read_text() for n in range(self.servers)]
        self.changes = sum(log.count("event=level ") for log in logs)
        self.twice = sum(count > 1 for one in self.executors for count in one.effects.values())
        self.unclean = sum(code != 0 for code in codes)

    async def ask(self):
        """What one client wants, through at most three tries."""
        loop, random_source = asyncio.get_running_loop(), self.demand
        draw, workload = random_source.random(), 0
        for workload, mix in enumerate(MIX):
            draw -= mix.share
            if draw < 0:
                break
        w, mix = WORKLOADS[workload], MIX[workload]
        work = mix.work * (0.5 - 0.5 * math.log(1 - random_source.random()))
        hint = work * math.exp(0.3 * (random_source.random() - 0.5))
        servers = [int(random_source.random() * self.servers) for _ in range(TRIES)]
        key = f"{self.seed}-{len(self.works)}"
        self.works[key.encode()] = work
        began, self.all_worth = loop.time(), self.all_worth + w.value
        for number in servers:
            left = began + w.timeout - loop.time()
            if left <= 0.01:
                return
            gateway = self.gateways[int(self.random_source.random() * GATEWAYS)][number]
            one = await gateway.once(key, w.name, left, hint)
            if one is not None and one.outcome == DELIVERED:
                late = loop.time() > began + w.latency_objective
                slim = w.makes_call and one.result.endswith(b" ")
                self.slim += slim
                self.worth += (
                    w.value
                    * (w.late_value_share if late else 1.0)
                    * (w.degraded_value_share if slim else 1.0)
                )
                return
            if one is not None and one.outcome != TURNED_BACK:
                self.lost += one.outcome not in ("written off",)
                return
            await asyncio.sleep(BACK_OFF * (0.75 + 0.5 * self.random_source.random()))

    def line(self):
        return (
            f"submissions={len(self.works)} earned={self.worth / max(1e-9, self.all_worth):.4f} "
            f"slim={self.slim} changes_a_server={self.changes / self.servers:.1f} lost={self.lost} "
            f"twice={self.twice} answered_twice={len(self.doubled)} not_clean={self.unclean}"
        )

    def broken(self):
        return self.lost + self.twice + len(self.doubled) + self.unclean


async def both(folder, shape, seconds, servers, seed):
    fleets = [
        Fleet(folder / name, shape, seconds, servers, on, seed)
        for name, on in (("without", False), ("with", True))
    ]
    await asyncio.gather(*(fleet.run() for fleet in fleets))
    return fleets


def main(shape, seconds, servers, seed, out):
    """1 where a rule was broken on the real servers."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-lab-"))
    try:
        fleets = asyncio.run(both(folder, shape, seconds, servers, seed))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    emulated = [play(shape, servers, float(seconds), on, seed) for on in (False, True)]
    for name, fleet, totals in zip(("without", "with   "), fleets, emulated):
        print(f"real     {name}: {fleet.line()}", file=out)
        print(
            f"emulated {name}: earned={totals.worth / max(1e-9, totals.all_worth):.4f} "
            f"slim={sum(totals.slim)} changes_a_server={totals.changes / servers:.1f}",
            file=out,
        )
    gains = [
        (b - a)
        for a, b in (
            [fleet.worth / max(1e-9, fleet.all_worth) for fleet in fleets],
            [totals.worth / max(1e-9, totals.all_worth) for totals in emulated],
        )
    ]
    print(
        f"shape={shape} seconds={seconds} servers={servers} capacity={CAPACITY:.1f}/s a server "
        f"gain_real={gains[0]:+.4f} gain_emulated={gains[1]:+.4f} "
        f"rules_broken={sum(fleet.broken() for fleet in fleets)}",
        file=out,
    )
    return 1 if any(fleet.broken() for fleet in fleets) else 0
