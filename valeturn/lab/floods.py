"""Several servers under floods and restarts: real processes of the program with stand-ins round them, faults
in between, and a witness who asks of every submission what became of it.

    python -m valeturn.lab.floods [SEEDS [FIRST]]

A server is told to leave, killed, paused, told of new addresses; its link is cut or gets lines that can't be
read; the ledger refuses, breaks or is silent, the name service is silent; callers flood it, stop within a
frame, reset, shut their own side alone, or rest until they are closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from typing import NamedTuple

from ..transport.seeded_random import SeededRandom
from .addresses import reserve_address
from .checker import CUT, DELIVERED, NOTICED, SILENT, TURNED_BACK
from .executor import Executor, Plan
from .gateways import CODES, Connection, frame, read_answer, submission
from .restarts import configuration
from .services import http, listen

GRACE = 0.3  # s after the notice in which new requests are still served
STOP = 1.5  # s from the notice to the stop: five times the grace, so that what rests is closed in it
WAIT = 2.0  # s that a caller waits, as long as the cut-off
# s within which what crosses a close is nobody's fault: the page's 50 ms, and a loaded machine's allowance
CROSSING = 0.15
START = 20.0  # s for a process to serve: the page gives 30
LATE = 0.5  # s past the stop at which one is a process that hangs
CALLERS, AT_ONCE = 2, 6  # gateways, and what each has open at a server
SERVE = ("-m", "valeturn", "serve", "--config")


class Sent(NamedTuple):
    """One submission as its caller saw it."""

    server: int
    life: int
    key: str
    workload: str
    call: str
    sent: float  # monotonic s
    ended: float
    outcome: str
    result: bytes


class Broken(NamedTuple):
    """What the witness found."""

    lost: list
    twice: list
    wrong: list
    crashed: list  # ended by itself, with another code than 0, not in time, or never served
    faults: list  # lines of the log that tell of a fault

    def good(self):
        return not any(self)


class Ledger:
    """Shared by all; counts the calls that may have had their effect."""

    def __init__(self, random_source):
        self.random_source, self.trouble, self.calls = random_source, 0.0, Counter()

    async def serve(self, reader, writer):
        if self.random_source.random() < self.trouble:
            what = self.random_source.random()
            if what < 0.3:
                return  # closed before anything is read
            await reader.readuntil(b"\r\n\r\n")
            if what < 0.5:
                writer.write(b"HTTP/1.1 503 No\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n")
                return
            if what < 0.7:
                await asyncio.sleep(3.0)
        await http(reader, writer, self.answer)

    def answer(self, first, body):
        self.calls[body] += 1
        if self.random_source.random() < self.trouble / 3:
            return "500 Failed", b""
        return "200 OK", b"[" + body + b"]"


class Naming:
    def __init__(self):
        self.silent, self.reports = False, 0

    async def serve(self, reader, writer):
        if self.silent:
            await reader.read(4096)
            await asyncio.sleep(2.0)
            return
        self.reports += 1
        await http(reader, writer, lambda first, body: ("204 No Content", b""))


class Server:
    """One place of a server: its process, restarted at one address, and an executor for each life."""

    def __init__(self, world, number):
        self.world, self.number, self.life, self.process = world, number, 0, None
        # What happens to it is the seed's alone; how long runs take also hangs on which comes first.
        self.random_source, self.work = (
            SeededRandom(world.seed * 7919 + number),
            SeededRandom(world.seed * 104729 + number),
        )
        self.executors, self.killed, self.paused, self.crashed = {}, {}, [], []
        self.folder = world.folder / f"server-{number}"
        self.folder.mkdir(parents=True)
        self.config = self.folder / "config.json"

    def plan(self, workload, body):
        share = self.work.random()
        return Plan(
            0.002 + 0.04 * share * share, workload == "file", self.work.random() < 0.02, workload != "quote"
        )

    async def set_up(self):
        _, self.link_address = await listen(self.join)
        self.address = reserve_address()
        self.write_configuration()

    async def join(self, reader, writer):
        await self.executors[self.life].serve(reader, writer)

    def write_configuration(self):
        addresses = {
            "executor": self.link_address,
            "ledger": self.chance_of(self.world.ledgers),
            "naming": self.chance_of(self.world.namings),
        }
        raw = configuration(addresses, self.address, 1 + self.number)
        raw["name"], raw["stop_ms"] = f"n{self.number}", 1000 * STOP
        raw["limits"] = {"cores": 1.0, "memory_mb": 48, "sockets": 72}  # small, so that connections run out
        raw["settings"]["rules"]["drain_grace_ms"] = 1000 * self.world.grace
        self.config.write_text(json.dumps(raw))

    def chance_of(self, choices):
        return choices[int(self.random_source.random() * len(choices))]

    def begin(self):
        """Starts the next life; its process may still wait for the address of the one before."""
        self.life += 1
        self.executors[self.life] = Executor(self.plan)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.world.serve, str(self.config)],
                cwd=self.world.root,
                stdout=log,
                stderr=log,
                env=self.world.env,
            )

    async def serving(self):
        until = time.monotonic() + START
        while time.monotonic() < until and self.process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(frame(1, 1, b"\0"))
                    answer = await asyncio.wait_for(reader.readexactly(10), 1.0)
                    if answer[4] == 2 and answer[9] == 1:
                        return
                except (asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
                finally:
                    writer.close()
            await asyncio.sleep(0.02)
        self.crashed.append(("never served", self.number, self.life))

    async def ended(self, process, patience):
        until = time.monotonic() + patience
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        return process.poll()

    async def leave(self, overlap=False, twice=False):
        """A notice, with the next life begun while this one drains, or once it has gone."""
        process, life = self.process, self.life
        process.send_signal(signal.SIGTERM)
        if overlap:
            await asyncio.sleep(0.2 * self.random_source.random())
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGHUP)
        if twice:
            process.send_signal(signal.SIGTERM)
        code = await self.ended(process, STOP + LATE)
        if code != 0:
            self.crashed.append(("hangs" if code is None else f"code {code}", self.number, life))
            process.kill()
            process.wait()

    async def restart(self):
        await self.leave(self.random_source.random() < 0.5, self.random_source.random() < 0.3)
        self.begin()
        await self.serving()

    async def kill(self):
        """Outright, together with its executor."""
        if self.process.poll() is not None:
            self.crashed.append((f"code {self.process.returncode}", self.number, self.life))
        self.process.kill()
        self.killed[self.life] = time.monotonic()
        self.process.wait()
        self.executors[self.life].close()
        self.begin()
        await self.serving()

    async def pause(self):
        began = time.monotonic()
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.05 + 0.25 * self.random_source.random())
        self.process.send_signal(signal.SIGCONT)
        self.paused.append((began, time.monotonic()))

    async def move(self):
        for _ in range(2):
            self.write_configuration()
            self.process.send_signal(signal.SIGHUP)

    async def cut(self):
        link = self.executors[self.life].link
        if link is not None and not link.is_closing():
            if self.random_source.random() < 0.5:
                link.write(b'{"t":"EXIT","no":')
            link.transport.abort()

    async def spoil(self):
        link = self.executors[self.life].link
        if link is not None and not link.is_closing():
            link.write(b"no line of anybody\n")

    async def flood(self):
        kinds = [self.silent, self.half, self.garbage, self.reset, self.rest, self.checks, self.half_close]
        await asyncio.gather(*(self.visit(self.chance_of(kinds)) for _ in range(30)))

    async def visit(self, kind):
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                await asyncio.wait_for(kind(reader, writer), 4.0)
            finally:
                writer.close()

    async def silent(self, reader, writer):
        await reader.read()

    async def half(self, reader, writer):
        writer.write(submission(1, "quote", self.world.new_call(), b"half", WAIT)[:-3])
        await reader.read()

    async def garbage(self, reader, writer):
        writer.write(bytes(int(256 * self.random_source.random()) for _ in range(200)))
        await reader.read()

    async def reset(self, reader, writer):
        writer.write(submission(1, "quote", self.world.new_call(), b"reset", WAIT))
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await asyncio.sleep(0.03 * self.random_source.random())

    async def rest(self, reader, writer):
        writer.write(frame(1, 1, b"\0"))
        await reader.read()

    async def checks(self, reader, writer):
        writer.write(b"".join(frame(1, n, b"\0") + frame(9, n, b"") for n in range(1, 200)))
        await reader.read()

    async def half_close(self, reader, writer):
        """It reads to the end: there is one answer, whatever it says."""
        life, call, began = self.life, self.world.new_call(), time.monotonic()
        writer.write(submission(1, "quote", call, b"half closed", WAIT))
        await asyncio.sleep(0.02 * self.random_source.random())
        writer.write_eof()
        outcome, data = CUT, await reader.read()
        while len(data) >= 9:
            length, kind, stream = struct.unpack_from("<IBI", data)
            if kind == 8 and stream == 1:
                outcome = CODES[read_answer(data[9 : 4 + length])[0]]
            data = data[4 + length :]
        now = time.monotonic()
        self.world.sent.append(
            Sent(self.number, life, "half closed", "quote", call, began, now, outcome, b"")
        )

    FAULTS = (restart, restart, kill, pause, move, cut, cut, spoil, flood, flood)

    async def storm(self, faults):
        for _ in range(faults):
            await asyncio.sleep(0.1 + 0.3 * self.random_source.random())
            if self.process.poll() is not None:
                self.crashed.append((f"code {self.process.returncode}", self.number, self.life))
                return
            await self.chance_of(self.world.kinds)(self)


class World:
    """Servers, their parties and their callers; what all of them saw."""

    root = pathlib.Path(__file__).resolve().parents[2]

    def __init__(self, folder, seed, servers, serve=SERVE, kinds=Server.FAULTS):
        self.folder, self.seed, self.serve, self.kinds = folder, seed, serve, kinds
        self.env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        self.random_source, self.calls, self.over = SeededRandom(seed), 0, False
        self.sent, self.doubled, self.connections = [], [], []
        self.ledger, self.naming = Ledger(self.random_source), Naming()
        self.grace = GRACE
        self.servers = [Server(self, number) for number in range(servers)]

    def new_call(self):
        self.calls += 1
        return f"{self.calls:016x}"

    async def play(self, faults):
        self.ledgers = [(await listen(self.ledger.serve))[1] for _ in range(2)]
        self.namings = [(await listen(self.naming.serve))[1] for _ in range(2)]
        for one in self.servers:
            await one.set_up()
            one.begin()
        await asyncio.gather(*(one.serving() for one in self.servers))
        scripts = [asyncio.ensure_future(self.caller(one, n)) for one in self.servers for n in range(CALLERS)]
        troubles = asyncio.ensure_future(self.troubles())
        await asyncio.gather(*(one.storm(faults) for one in self.servers))
        self.over = True
        await asyncio.gather(*scripts)
        troubles.cancel()
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()
        await asyncio.gather(*(one.leave() for one in self.servers if one.process.poll() is None))
        return self.witness()

    async def troubles(self):
        while True:
            self.ledger.trouble = 0.5 if self.random_source.random() < 0.3 else 0.0
            self.naming.silent = self.random_source.random() < 0.3
            await asyncio.sleep(0.3)

    # ---- callers

    async def caller(self, server, number):
        """Holds one connection, on which some are open at a time; a new one wherever that one ends."""
        held, names = [None, 0], itertools.count(1)

        async def one_after_another(lane):
            while not self.over:
                await self.once(server, held, f"{server.number}-{number}-{lane}-{next(names)}")
                await asyncio.sleep(0.02 * self.random_source.random())

        await asyncio.gather(*(one_after_another(lane) for lane in range(AT_ONCE)))

    async def connection(self, server, held):
        connection, _ = held
        if connection is None or connection.ended or connection.draining:
            life = server.life
            try:
                reader, writer = await asyncio.open_connection(*server.address)
            except OSError:
                return None, life
            if life != server.life:  # whose it is can't be told
                writer.close()
                return None, life
            held[:] = Connection(reader, writer, self.doubled.append), life
            self.connections.append(held[0])
        return held

    async def once(self, server, held, key):
        connection, life = await self.connection(server, held)
        if connection is None:
            await asyncio.sleep(0.02)
            return
        share = self.random_source.random()
        workload = "book" if share < 0.4 else "file" if share < 0.7 else "quote"
        times = 2 if workload == "book" and self.random_source.random() < 0.3 else 1
        await asyncio.gather(*(self.ask(server, connection, life, key, workload, n) for n in range(times)))

    async def ask(self, server, connection, life, key, workload, again):
        """A repeat comes with its first, while that runs, or as it ends."""
        await asyncio.sleep(0.06 * self.random_source.random() * again)
        call, sent = self.new_call(), time.monotonic()
        mark = key if workload == "book" else None
        got = await connection.ask(workload, call, key.encode(), WAIT, mark, 1)
        outcome, result = (got, b"") if isinstance(got, str) else (CODES[got[0]], got[2])
        if connection.ended and outcome == CUT and sent + 0.001 > time.monotonic():
            return  # it had ended before: nothing was written
        self.sent.append(
            Sent(server.number, life, key, workload, call, sent, time.monotonic(), outcome, result)
        )

    # ---- the witness

    def witness(self):
        lost, wrong, crashed, faults = [], [("two answers", call) for call in self.doubled], [], []
        runs, effects, results = {}, Counter(), {}
        for server in self.servers:
            crashed += server.crashed
            for executor in server.executors.values():
                runs.update(executor.calls)
                effects.update(executor.effects)
                results.update(executor.results)
            log = (server.folder / "log").read_text(errors="replace")
            faults += [line for line in log.splitlines() if "level=error" in line or "Traceback" in line]
        twice = [(what, n) for what, n in effects.items() if what[0] in ("book", "file") and n > 1]
        twice += [("call", body, n) for body, n in self.ledger.calls.items() if n > 1]
        for one in self.sent:
            if one.outcome in (CUT, SILENT):
                if not self.excused(one, runs):
                    lost.append(one)
            elif one.outcome == TURNED_BACK and one.call in runs:
                wrong.append(("turned back though it ran", one))
            elif (
                one.outcome == DELIVERED
                and one.workload != "quote"
                and (one.result != results.get((one.workload, one.key.encode())))
            ):
                wrong.append(("another result", one))
        return Broken(lost, twice, wrong, crashed, faults)

    def excused(self, one, runs):
        """Its server was killed or paused, or it crossed an orderly close and never ran."""
        server = self.servers[one.server]
        if one.ended > server.killed.get(one.life, 1e300) - NOTICED:
            return True
        if one.outcome == SILENT:
            return any(began < one.ended and one.sent < until for began, until in server.paused)
        return one.call not in runs and one.ended - one.sent < CROSSING


def storm(folder, seed, servers=3, faults=8, serve=SERVE, kinds=Server.FAULTS):
    """(Broken, the World)"""
    world = World(folder, seed, servers, serve, kinds)
    try:
        return asyncio.run(world.play(faults)), world
    finally:
        for server in world.servers:
            if server.process is not None and server.process.poll() is None:
                server.process.kill()
                server.process.wait()


def main(seeds=1, first=1):
    bad = 0
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-floods-"))
        broken, world = storm(folder, seed)
        counts = " ".join(f"{name}={len(value)}" for name, value in broken._asdict().items())
        outcomes = Counter(one.outcome for one in world.sent)
        lives = sum(server.life for server in world.servers)
        print(
            f"seed={seed} lives={lives} submissions={len(world.sent)} delivered={outcomes[DELIVERED]} "
            f"turned_back={outcomes[TURNED_BACK]} cut={outcomes[CUT]} {counts}",
            flush=True,
        )
        for name, value in broken._asdict().items():
            for one in value[:5]:
                print(f"{name}: {one}", file=sys.stderr)
        bad += not broken.good()
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
