"""`lab restarts`: kill and restart servers in place, thousands of times, under gateways that never stop.

Half of the lanes have an executor that reports runs which ended before a restart, half one that forgets them.
Four kills in ten come at a chosen disk operation of the store, the others at any moment.
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

DEDUPLICATION_WINDOW_S = 30.0  # far longer than a key is repeated here
LONGEST_INCARNATION_S = 0.35  # from the first answer to the kill, at most: some dozen submissions
RELOAD_SHARE = 0.2  # of the kills: a SIGHUP right before starts a reload, whatever the store is doing
GATEWAYS_PER_LANE, SCRIPTS_PER_GATEWAY = 3, 5  # scripts submit concurrently
SETTINGS = """[store]
folder = {folder}
disk = 8 MB
memory = 4 MB
segment = 128 kB
retry = 100 ms
"""
# Operations of the store's directory that victim.py can end the process at.
KILL_OPERATIONS = ("write", "sync", "synced", "create", "rename", "remove", "sync_folder")


def configuration(addresses, listen_address, seed):
    """Return the configuration of a small installation with one workload of each kind."""
    return {
        "name": "lab",
        "listen": "%s:%d" % listen_address,
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
                    "window_ms": 1000 * DEDUPLICATION_WINDOW_S,
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
    """One server with its own stand-in services, gateways and folder."""

    def __init__(self, folder, number, seed, kills, store=True, reload_share=RELOAD_SHARE):
        """Set up a lane, without starting anything.

        Args:
            folder: For the server's files.
            number: Of the lane; an even one has an executor that keeps its notices.
            seed: Of the lane's random draws, together with its number.
            kills: How often the server is killed.
            store: False runs without the result store. Effects must then happen twice, which shows that the
                checker works.
            reload_share: The share of kills with a SIGHUP right before.
        """
        self.folder, self.number, self.kills, self.store = folder, number, kills, store
        self.reload_share = reload_share
        self.random_source = SeededRandom(seed * 1000003 + number)
        self.life, self.tries, self.doubled, self.process = 0, [], [], None
        self.deaths = {}  # incarnation -> monotonic time when its process was seen to be dead
        self.calls = self.made = self.kills_at_chosen_point = self.unplanned_exits = 0
        self.executor = Executor(self.plan, kept=64 if number % 2 == 0 else 0)

    def plan(self, workload, body):
        """Draw the duration and the outcome of one run."""
        share = self.random_source.random()
        return Plan(
            0.002 + 0.03 * share * share,
            workload == "file",
            self.random_source.random() < 0.02,
            workload != "quote",
        )

    def new_call(self):
        """Return a new submission id, unique among all lanes."""
        self.calls += 1
        return f"{self.number:04x}{self.calls:012x}"

    async def set_up(self):
        """Start the stand-in services and write the server's files."""
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
        """Start the next incarnation; with a point, it kills itself there (see victim.py)."""
        self.life += 1
        arguments = ["-m", "valeturn", "serve", "--config", str(self.config)]
        arguments += ["--settings", str(self.settings)] if self.store else []
        if point is not None:
            arguments = ["-m", "valeturn.lab.victim", str(self.config), str(self.settings), point]
        log = open(self.folder / "log", "ab")
        root = pathlib.Path(__file__).resolve().parents[2]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=root,
            stdout=log,
            stderr=log,
            env={name: value for name, value in os.environ.items() if not name.startswith("EDGE_")},
        )
        log.close()

    async def kill(self):
        """Kill the process if it still runs, and note its death or its unplanned exit."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        code = await self.process.wait()
        if code == -signal.SIGKILL:
            self.deaths.setdefault(self.life, time.monotonic())
        else:
            self.unplanned_exits += 1

    async def look_whether_dead(self, life):
        """After a cut connection, note the death of the process if it has ended itself.

        /proc shows the end at once, but the parent may be notified much later, when a thread of the process
        that waits for the disk has ended, too.
        """
        for _ in range(50):
            if life != self.life or life in self.deaths:
                return
            if self.has_ended():
                self.deaths[life] = time.monotonic()
                return
            await asyncio.sleep(0.005)

    def has_ended(self):
        """Return whether the process is dead or a zombie."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                return file.read().rpartition(")")[2].split()[0] in "ZX"
        except OSError:
            return True

    def draw_kill_point(self):
        """Draw the point at which the next incarnation kills itself, or None for six in ten."""
        if self.random_source.random() >= 0.4:
            return None
        self.kills_at_chosen_point += 1
        operation = KILL_OPERATIONS[int(self.random_source.random() * len(KILL_OPERATIONS))]
        highest_count = {"write": 40, "sync": 40, "synced": 40}.get(operation, 4)
        return (
            f"{operation}:{1 + int(highest_count * self.random_source.random())}:"
            f"{self.random_source.random():.3f}"
        )

    async def run_script(self, gateway, number):
        """Submit one key after another; one in ten of the workload book goes out on all gateways at once."""
        count = 0
        while not self.stopping:
            count += 1
            key = f"parcel-{self.number}-{gateway.number}-{number}-{count}"
            share = self.random_source.random()
            workload = "book" if share < 0.7 else "file" if share < 0.85 else "quote"
            if workload == "book" and self.random_source.random() < 0.1:
                await asyncio.gather(*(one.submit(key, workload) for one in self.gateways))
            else:
                await gateway.submit(key, workload)

    async def run(self, progress=lambda lane: None):
        """Make all kills, stop the server gracefully and return the verdict.

        Args:
            progress: Called with the lane after each kill.
        """
        await self.set_up()
        self.stopping = False
        self.gateways = [Gateway(self.address, number, self) for number in range(GATEWAYS_PER_LANE)]
        await self.start()
        script_tasks = [
            asyncio.get_running_loop().create_task(self.run_script(gateway, number))
            for gateway in self.gateways
            for number in range(SCRIPTS_PER_GATEWAY)
        ]
        for _ in range(self.kills):
            await self.wait_until_served()
            service_s = LONGEST_INCARNATION_S * self.random_source.random()
            if self.random_source.random() < self.reload_share and self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):  # the process has just ended itself
                    self.process.send_signal(signal.SIGHUP)
            try:
                await asyncio.wait_for(self.process.wait(), service_s)
            except asyncio.TimeoutError:
                pass
            await self.kill()
            self.made += 1
            progress(self)
            await self.start(self.draw_kill_point())
        await self.kill()
        await self.start()
        await self.wait_until_served()
        self.stopping = True
        await asyncio.wait_for(asyncio.gather(*script_tasks), 120)
        for gateway in self.gateways:
            gateway.close()
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 10)
        self.executor.close()
        for server in self.servers:
            server.close()
        return check(self.tries, self.doubled, self.executor, self.deaths)

    async def wait_until_served(self):
        """Wait until this incarnation has answered or ended, for at most 3 s: 1 s more than a start takes."""
        count = len(self.tries)
        for _ in range(600):
            if self.process.returncode is not None:
                return
            if any(one.life == self.life and one.outcome != "cut" for one in self.tries[count:]):
                return
            await asyncio.sleep(0.005)


async def play(kills, seed, lanes, folder, progress=lambda lane: None, store=True, reload_share=RELOAD_SHARE):
    """Spread the kills over concurrent lanes; return the verdict of all of them and the lanes."""
    lanes = max(1, min(lanes, kills))
    kills_by_lane = [kills // lanes + (n < kills % lanes) for n in range(lanes)]
    all_lanes = [
        Lane(folder / f"lane-{n}", n, seed, kills_by_lane[n], store, reload_share) for n in range(lanes)
    ]
    verdicts = await asyncio.gather(*(lane.run(progress) for lane in all_lanes))
    sums = [sum(getattr(verdict, field) for verdict in verdicts) for field in ("submissions", "effects")]
    lists = [
        [one for verdict in verdicts for one in getattr(verdict, field)]
        for field in ("twice", "lost", "wrong")
    ]
    return Verdict(*sums, *lists, sum(verdict.answered_from_store for verdict in verdicts)), all_lanes


def main(kills, seed, lanes, keep=None):
    """Play, print the figures, and return 1 when a rule was broken; the folder `keep` is not removed."""
    folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-"))
    kill_count = [0]

    def progress(lane):
        kill_count[0] += 1
        if kill_count[0] % 100 == 0:
            print(f"killed {kill_count[0]} times", file=sys.stderr, flush=True)

    try:
        verdict, all_lanes = asyncio.run(play(kills, seed, lanes, folder, progress))
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
    for name in ("twice", "lost", "wrong"):
        for one in getattr(verdict, name)[:10]:
            print(f"{name}: {one}", file=sys.stderr)
    made = sum(lane.made for lane in all_lanes)
    kills_at_chosen_point = sum(lane.kills_at_chosen_point for lane in all_lanes)
    print(
        f"lanes={len(all_lanes)} at_chosen_points={kills_at_chosen_point} "
        f"ended_otherwise={sum(lane.unplanned_exits for lane in all_lanes)}"
    )
    print(verdict.line(kills=made))
    return 0 if verdict.good() else 1
