"""Real servers of one fleet: started, stopped, continued, killed, restarted with or without their folders."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import sys
import time

from ...cluster.node import boot_clock
from ...cluster.process_guard import descendants_of
from ...transport.seeded_random import SeededRandom
from ..addresses import reserve_address
from ..checker import check
from ..executor import Executor, Plan
from ..gateways import Gateway
from ..random_streams import warmed_up
from ..restarts import configuration
from ..services import http, listen, naming
from . import history_checker
from .member import write_clock
from .relays import Relays

ROOT = pathlib.Path(__file__).resolve().parents[3]
EFFECT = ROOT / "valeturn/lab/fault_injection/effect.py"
LEASE = 1.0  # s: short, so that many owners come and go in a minute
ROUND = 0.25  # s between asks for a share
CALL_CAP = 24


class Server:
    """One of them, through all its lives."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.folder = fleet, name, fleet.folder / name
        self.folder.mkdir(parents=True)
        self.process, self.life, self.stopped, self.deaths = None, 0, False, []
        # [from, to] in monotonic s, while it was stopped: what it owed then it can't have answered
        self.away = []
        self.listen, self.peers = reserve_address(), reserve_address()
        self.clock, self.notes = self.folder / "clock", self.folder / "notes"
        write_clock(self.clock, 1.0, boot_clock(), boot_clock())
        self.executor = Executor(fleet.plan)
        self.tries, self.doubled, self.died = [], [], {}
        # Of its own, so that what one server's gateways draw does not depend on the others' timing.
        self.random_source = SeededRandom((fleet.seed << 16) + int(name[1:]))
        self.wall = 0.0

    # what its gateways ask of their world

    def new_call(self):
        return self.fleet.new_call()

    async def look_whether_dead(self, life):
        for _ in range(40):
            if life in self.died or self.process is None or self.process.returncode is not None:
                return
            await asyncio.sleep(0.01)

    def path(self, name):
        return self.folder / name


class Fleet:
    def __init__(
        self,
        folder,
        count,
        seed,
        *,
        duties="",
        voters=None,
        folders=True,
        fenced=True,
        largest=None,
        load=0.0,
        lease=LEASE,
        fleet=True,
    ):
        self.folder, self.random_source, self.calls, self.fenced = (
            pathlib.Path(folder),
            warmed_up(seed),
            0,
            fenced,
        )
        self.seed = seed
        self.fleet = fleet  # False: the same servers without the section, for comparison
        self.lease, self.duties, self.folders, self.load = lease, duties, folders, load
        self.largest, self.zones = largest or count, ("a", "b", "c")
        self.names = [f"n{number}" for number in range(count)]
        self.voters = voters or self.names
        self.world = history_checker.World(boot_clock, fenced)
        self.servers = {name: Server(self, name) for name in self.names}
        self.relays = Relays({name: server.peers for name, server in self.servers.items()})
        self.parties, self.loads, self.works = [], [], 0

    def new_call(self):
        self.calls += 1
        return f"{self.calls:016x}"

    def plan(self, workload, body):
        share = self.random_source.random()
        return Plan(0.002 + 0.03 * share * share, workload == "file", False, workload != "quote")

    # ---- up and down

    async def start(self):
        await self.relays.start()
        world, self.at_world = await listen(self.world.serve)
        names, at_names = await listen(naming())
        ledger, at_ledger = await listen(self.ledger)
        self.parties += [world, names, ledger]
        for name, server in self.servers.items():
            party, at_executor = await listen(server.executor.serve)
            self.parties.append(party)
            addresses = {"executor": at_executor, "naming": at_names, "ledger": at_ledger}
            raw = configuration(addresses, server.listen, 1000 + int(name[1:]))
            raw["name"], raw["settings"]["servers"] = name, len(self.names)
            server.path("config.json").write_text(json.dumps(raw))
            server.path("settings.ini").write_text(self.settings(server))
            self.write_seams(server)
        await asyncio.gather(*(self.up(name) for name in self.names))
        if self.load:
            self.loads = [
                asyncio.get_running_loop().create_task(self.gateways_load(server))
                for server in self.servers.values()
            ]

    @staticmethod
    async def ledger(reader, writer):
        await http(reader, writer, lambda first, body: ("200 OK", b"[" + body + b"]"))

    def write_seams(self, server):
        server.path("seams.json").write_text(
            json.dumps(
                {
                    "clock": str(server.clock),
                    "notes": str(server.notes),
                    "wall": server.wall,
                    "full": str(server.path("full")),
                    "relays": [
                        {"of": self.servers[other].peers, "through": at}
                        for (who, other), at in self.relays.at.items()
                        if who == server.name
                    ],
                }
            )
        )

    def settings(self, server, duties=None):
        seeds = ", ".join("%s:%d" % self.servers[name].peers for name in self.names[:3])
        effect = f"{sys.executable} -I -S {EFFECT} 127.0.0.1 {self.at_world[1]}"
        if not self.fleet:
            return f"[control]\nsocket = {server.path('socket')}\n"
        return "\n".join(
            [
                "[fleet]",
                "name = lab",
                "listen = %s:%d" % server.peers,
                f"seeds = {seeds}",
                f"voters = {', '.join(self.voters)}",
                "even = on",
                f"zone = {self.zones[int(server.name[1:]) % 3]}",
                f"lease = {1000 * self.lease:g} ms",
                f"probe = {1000 * self.lease / 2:g} ms",
                f"largest = {self.largest}",
                *([f"folder = {server.path('vote')}"] if self.folders else []),
                "[control]",
                f"socket = {server.path('socket')}",
                "",
                (self.duties if duties is None else duties).format(effect=effect),
            ]
        )

    async def up(self, name):
        server = self.servers[name]
        server.life += 1
        with open(server.path("log"), "ab") as log:
            server.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "valeturn.lab.fault_injection.member",
                *(str(server.path(one)) for one in ("config.json", "settings.ini", "seams.json")),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
            )
        server.stopped = False

    async def kill(self, name, wipe=False):
        server = self.servers[name]
        if server.process is None or server.process.returncode is not None:
            return
        tree = self.tree(server)
        server.process.kill()
        await server.process.wait()
        # What it was deciding may have been noted with a time before this; nothing after it.
        server.deaths.append(boot_clock())
        server.died[server.life] = time.monotonic()
        for process in tree:  # those that were stopped with it and that nobody continues
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGCONT)
        server.stopped = False
        if wipe:
            shutil.rmtree(server.path("vote"), ignore_errors=True)

    async def down(self, name, patience=8.0):
        """By SIGTERM, as an operator would. The exit code."""
        server = self.servers[name]
        self.go_on(name)
        server.process.terminate()
        try:
            code = await asyncio.wait_for(server.process.wait(), patience)
        except asyncio.TimeoutError:
            server.process.kill()
            code = await server.process.wait()
        server.deaths.append(boot_clock())
        server.died[server.life] = time.monotonic()
        return code

    def tree(self, server):
        """The server's process and all that it started."""
        return [server.process.pid, *descendants_of([server.process.pid])]

    def stop(self, name, whole=True):
        """SIGSTOP: of the server alone, or of its commands too, as a machine that stands still."""
        server = self.servers[name]
        if server.process is None or server.process.returncode is not None or server.stopped:
            return
        server.stopped = True
        server.held = self.tree(server) if whole else [server.process.pid]
        for process in server.held:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGSTOP)
        server.away.append([time.monotonic(), float("inf")])

    def go_on(self, name, pause=0.0):
        """SIGCONT, commands before their guards, so that what they were about to do is done; `pause` s
        between two."""
        server = self.servers[name]
        if not server.stopped:
            return
        server.stopped = False
        server.away[-1][1] = time.monotonic()
        for process in reversed(server.held):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGCONT)
            if pause:
                time.sleep(pause)

    def clock(self, name, rate):
        """From now on its clock runs so fast; 0 stands still."""
        server = self.servers[name]
        from .member import CLOCK

        old_rate, own, true = CLOCK.unpack(server.clock.read_bytes())
        now = boot_clock()
        write_clock(server.clock, rate, own + old_rate * (now - true), now)

    def cut(self, side):
        """Those on one side hear nothing of the others, nor these of them."""
        for a, b in self.relays.ways:
            if (a in side) != (b in side):
                self.relays.ways[a, b].hold()

    def heal(self, broken=False):
        for (a, b), way in self.relays.ways.items():
            if not way.open.is_set():
                if broken:
                    self.relays.break_links(a, b)
                way.go_on()

    async def close(self):
        self.heal()
        for task in self.loads:
            task.cancel()
        await asyncio.gather(*self.loads, return_exceptions=True)
        for name, server in self.servers.items():
            self.go_on(name)
            await self.kill(name)
            server.executor.close()
        self.relays.close()
        for party in self.parties:
            party.close()

    # ---- what is asked of them

    async def ask(self, name, request, patience=2.0):
        """The answer of a server's control socket, or None."""

        async def asked():
            path = str(self.servers[name].path("socket"))
            reader, writer = await asyncio.open_unix_connection(path, limit=1 << 20)
            writer.write(json.dumps(request).encode() + b"\n")
            try:
                return json.loads(await reader.readline())
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(asked(), patience)
        except (OSError, ValueError, asyncio.TimeoutError):
            return None

    async def status(self, name):
        got = await self.ask(name, {"do": "status"})
        return got["status"]["fleet"] if got and got["good"] else None

    async def owner(self):
        """The name of who says that it has a lease now, or None."""
        for name, server in self.servers.items():
            if server.process is not None and server.process.returncode is None and not server.stopped:
                fleet = await self.status(name)
                if fleet is not None and fleet["lease_left_s"]:
                    return name
        return None

    async def until(self, condition, patience=20.0):
        """What the coroutine function gives once it is true. Raises TimeoutError."""
        end = time.monotonic() + patience
        while time.monotonic() < end:
            found = await condition()
            if found:
                return found
            await asyncio.sleep(0.05)
        raise TimeoutError(condition)

    async def until_owned(self, patience=20.0, but=None):
        async def other():
            owner = await self.owner()
            return owner if owner != but else None

        return await self.until(other, patience)

    # ---- submissions meanwhile

    async def gateways_load(self, server):
        """Gateways with scripts that never stop; each key is sent to one server, again and again."""
        gateways = [Gateway(server.listen, number, server) for number in range(2)]
        loop, tasks = asyncio.get_running_loop(), set()
        try:
            while True:
                self.works += 1
                workload = ("quote", "book", "file")[self.works % 3]
                task = loop.create_task(
                    gateways[self.works % 2].submit(f"{server.name}-{self.works}", workload, most=4)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / self.load)
        finally:
            for task in tasks:
                task.cancel()
            for gateway in gateways:
                gateway.close()

    def judged_load(self):
        """(submissions, twice, lost, wrong), but for what a stopped server owed while it stood still."""
        sums = [0, 0, 0, 0]
        for server in self.servers.values():

            def excused(one, away=server.away):
                return any(a - 3.0 <= one.at and one.at <= b + 3.0 for a, b in away)

            verdict = check(
                [one for one in server.tries if not excused(one)],
                server.doubled,
                server.executor,
                server.died,
            )
            for index, count in enumerate(
                (verdict.submissions, len(verdict.twice), len(verdict.lost), len(verdict.wrong))
            ):
                sums[index] += count
        return sums

    # ---- the verdict

    def judge(self):
        notes = history_checker.read_notes({name: server.notes for name, server in self.servers.items()})
        seen = history_checker.looks(notes)
        sure = CALL_CAP / self.largest
        submissions, twice, lost, wrong = self.judged_load()
        gaps = history_checker.unowned(seen)
        return {
            "terms": len({term for _, term, _ in seen}),
            "owners_at_once": len(history_checker.at_once(seen)),
            "effects": len(self.world.effects),
            "stale_effects_refused": self.world.refused(),
            "stale_effects_done": self.world.harm(),
            "two_under_one_fence": len(self.world.two_under_one_fence()),
            "shares_over_cap": len(
                history_checker.shares_over(
                    notes,
                    {name: server.deaths for name, server in self.servers.items()},
                    CALL_CAP,
                    sure,
                    self.largest,
                )
            ),
            "unowned_p50": history_checker.p(gaps, 0.5),
            "unowned_p99": history_checker.p(gaps, 0.99),
            "submissions": submissions,
            "twice": twice,
            "lost": lost,
            "wrong": wrong,
        }
