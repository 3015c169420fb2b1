"""`lab restarts`: a server killed and started again in place, thousands of times, under gateways that never
stop.

Half of the lanes have an executor that tells ends from before a restart, half one that forgets them. Four
kills in ten come at a chosen point of the store's work on the disk, the others at any moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time

from ..transport.seeded_random import SeededRandom
from .addresses import reserve_address
from .checker import Verdict, check
from .executor import Executor, Plan
from .gateways import Gateway
from .services import ledger, listen, naming

WINDOW = 30.0  # s in which repeats come: far longer than a key is sent again here
LONGEST_LIFE = 0.35  # s from the first answer to the kill, at the most: some dozen submissions
RELOAD_SHARE = 0.2  # of the kills, with a SIGHUP right before: a reload, whatever the store is doing
GATEWAYS, AT_ONCE = 3, 5  # gateways a lane, and scripts on each
SETTINGS = """[store]
folder = {folder}
disk = 8 MB
memory = 4 MB
segment = 128 kB
retry = 100 ms
"""
POINTS = ("write", "sync", "synced", "create", "rename", "remove", "sync_folder")


def configuration(addresses, listen_at, seed):
    """A small installation with one workload of each kind."""
    return {
        "name": "lab",
        "listen": "%s:%d" % listen_at,
        "seed": f"{seed:x}",
        "stop_ms": 3000,
        **{name: "%s:%d" % address for name, address in addresses.items()},
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
        "settings": {
            "servers": 1,
            "tick_ms": 5.0,
            "request_classes": [
                {"name": "quote", "semantics": "safe", "goal_time_ms": 1000, "give_up_ms": 2000, "worth": 1},
                {
                    "name": "book",
                    "semantics": "keyed",
                    "goal_time_ms": 1500,
                    "give_up_ms": 2000,
                    "worth": 3,
                    "window_ms": 1000 * WINDOW,
                },
                {"name": "file", "semantics": "unsafe", "goal_time_ms": 1500, "give_up_ms": 2000, "worth": 3},
            ],
            "tenants": [{"name": "acme", "allowance_per_s": 1000}],
            "rules": {"cold_ms": 0, "drain_grace_ms": 300, "grace_to_answer_ms": 100, "overload_factor": 12},
            "allowed": {"retry_after": True, "max_retry_after_ms": 500},
            "domain": {
                "cpus": 8,
                "heap_kb": 800000,
                "run_mem_factor": 2,
                "key_kb": 0.1,
                "halt": "drop",
                "passes_deadline": True,
                "calls_by_class": [False, False, True],
                "degraded_worth": [0, 0, 0],
                "calls_out": 50,
                "calls_over_ms": 5000,
                "linger_ms": 100,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        },
    }


class Lane:
    """One server with parties, gateways and a folder of its own."""

    def __init__(self, folder, number, seed, kills, store=True, reload_share=RELOAD_SHARE):
        """store: False serves without one, which must show effects twice: the checker's own check."""
        self.folder, self.number, self.kills, self.store = folder, number, kills, store
        self.reload_share = reload_share
        self.random_source = SeededRandom(seed * 1000003 + number)
        self.life, self.tries, self.doubled, self.process = 0, [], [], None
        self.deaths = {}  # life -> when its process was seen to have been killed
        self.calls = self.made = self.chosen = self.died_early = 0
        self.executor = Executor(self.plan, kept=64 if number % 2 == 0 else 0)

    def plan(self, workload, body):
        share = self.random_source.random()
        return Plan(
            0.002 + 0.03 * share * share,
            workload == "file",
            self.random_source.random() < 0.02,
            workload != "quote",
        )

    def new_call(self):
        self.calls += 1
        return f"{self.number:04x}{self.calls:012x}"

    async def set_up(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        self.servers, addresses = [], {}
        for name, serve in (("executor", self.executor.serve), ("ledger", ledger), ("naming", naming())):
            server, addresses[name] = await listen(serve)
            self.servers.append(server)
        self.address = reserve_address()
        self.config, self.settings = self.folder / "config.json", self.folder / "valeturn.ini"
        self.config.write_text(json.dumps(configuration(addresses, self.address, self.number)))
        self.settings.write_text(SETTINGS.format(folder=self.folder / "kept"))

    async def start(self, point=None):
        self.life += 1
        words = ["-m", "valeturn", "serve", "--config", str(self.config)]
        words += ["--settings", str(self.settings)] if self.store else []
        if point is not None:
            words = ["-m", "valeturn.lab.victim", str(self.config), str(self.settings), point]
        log = open(self.folder / "log", "ab")
        root = pathlib.Path(__file__).resolve().parents[2]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=root,
            stdout=log,
            stderr=log,
            env={k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
        )
        log.close()

    async def kill(self):
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        code = await self.process.wait()
        if code == -signal.SIGKILL:
            self.deaths.setdefault(self.life, time.monotonic())
        else:
            self.died_early += 1

    async def look_whether_dead(self, life):
        """After a cut: a process that ended itself shows so at once, though its parent may be told much
        later, when a thread of it that waits for the disk has ended too."""
        for _ in range(50):
            if life != self.life or life in self.deaths:
                return
            if self.ended():
                self.deaths[life] = time.monotonic()
                return
            await asyncio.sleep(0.005)

    def ended(self):
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                return file.read().rpartition(")")[2].split()[0] in "ZX"
        except OSError:
            return True

    def next_point(self):
        if self.random_source.random() >= 0.4:
            return None
        self.chosen += 1
        what = POINTS[int(self.random_source.random() * len(POINTS))]
        most = {"write": 40, "sync": 40, "synced": 40}.get(what, 4)
        return f"{what}:{1 + int(most * self.random_source.random())}:{self.random_source.random():.3f}"

    async def script(self, gateway, number):
        """Sends one key after another; one in ten goes out on all gateways at once."""
        count = 0
        while not self.over:
            count += 1
            key = f"parcel-{self.number}-{gateway.number}-{number}-{count}"
            share = self.random_source.random()
            workload = "book" if share < 0.7 else "file" if share < 0.85 else "quote"
            if workload == "book" and self.random_source.random() < 0.1:
                await asyncio.gather(*(one.submit(key, workload) for one in self.gateways))
            else:
                await gateway.submit(key, workload)

    async def run(self, progress=lambda lane: None):
        await self.set_up()
        self.over = False
        self.gateways = [Gateway(self.address, n, self) for n in range(GATEWAYS)]
        await self.start()
        scripts = [
            asyncio.get_running_loop().create_task(self.script(g, n))
            for g in self.gateways
            for n in range(AT_ONCE)
        ]
        for _ in range(self.kills):
            await self.wait_until_served()
            wait = LONGEST_LIFE * self.random_source.random()
            if self.random_source.random() < self.reload_share and self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):  # it has just ended itself
                    self.process.send_signal(signal.SIGHUP)
            try:
                await asyncio.wait_for(self.process.wait(), wait)
            except asyncio.TimeoutError:
                pass
            await self.kill()
            self.made += 1
            progress(self)
            await self.start(self.next_point())
        await self.kill()
        await self.start()
        await self.wait_until_served()
        self.over = True
        await asyncio.wait_for(asyncio.gather(*scripts), 120)
        for gateway in self.gateways:
            gateway.close()
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 10)
        self.executor.close()
        for server in self.servers:
            server.close()
        return check(self.tries, self.doubled, self.executor, self.deaths)

    async def wait_until_served(self):
        """Until this life answered something, died by itself, or was given a second more than starts take."""
        count = len(self.tries)
        for _ in range(600):
            if self.process.returncode is not None:
                return
            if any(one.life == self.life and one.outcome != "cut" for one in self.tries[count:]):
                return
            await asyncio.sleep(0.005)


async def play(kills, seed, lanes, folder, progress=lambda lane: None, store=True, reload_share=RELOAD_SHARE):
    lanes = max(1, min(lanes, kills))
    share = [kills // lanes + (n < kills % lanes) for n in range(lanes)]
    all_lanes = [Lane(folder / f"lane-{n}", n, seed, share[n], store, reload_share) for n in range(lanes)]
    verdicts = await asyncio.gather(*(lane.run(progress) for lane in all_lanes))
    sums = [sum(getattr(v, field) for v in verdicts) for field in ("submissions", "effects")]
    lists = [[one for v in verdicts for one in getattr(v, field)] for field in ("twice", "lost", "wrong")]
    return Verdict(*sums, *lists, sum(v.answered_from_store for v in verdicts)), all_lanes


def main(kills, seed, lanes, keep=None):
    folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-"))
    said = [0]

    def progress(lane):
        said[0] += 1
        if said[0] % 100 == 0:
            print(f"killed {said[0]} times", file=sys.stderr, flush=True)

    try:
        verdict, all_lanes = asyncio.run(play(kills, seed, lanes, folder, progress))
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
    for name in ("twice", "lost", "wrong"):
        for one in getattr(verdict, name)[:10]:
            print(f"{name}: {one}", file=sys.stderr)
    made = sum(lane.made for lane in all_lanes)
    chosen = sum(lane.chosen for lane in all_lanes)
    print(
        f"lanes={len(all_lanes)} at_chosen_points={chosen} "
        f"ended_otherwise={sum(lane.died_early for lane in all_lanes)}"
    )
    print(verdict.line(kills=made))
    return 0 if verdict.good() else 1
