"""`lab soak`: one server, stopped and started again in place by a schedule, under callers that never stop.

The callers go on using their connections until they end, also those that were asked to close. The checkers of
the floods judge: one final answer each, no effect twice, ends in time and with code 0. Besides: nothing runs
that came after the grace, each life serves in time, and no process or descriptor is left behind.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Final, NamedTuple, TextIO

from . import floods
from .addresses import reserve_address
from .executor import Executor
from .soak_schedule import Ending, OperatorFile, ScheduledLife, Signal, SoakSchedule, draw_schedule

LIVES: Final = 8  # of a seed, before the last one
MARKER: Final = "VALETURN_SOAK"  # an environment variable that all processes of one seed inherit
GRACE: Final = floods.GRACE
NOTICE_DELAY: Final = 0.25  # s until a server on a loaded machine has met its notice, from which it counts
LEFT_BEHIND_AFTER: Final = 2.0  # s after the end of a server at which nothing that it started may live
QUIET: Final = 3.0  # s in which a server without callers closes what it opened for them
SPARE_DESCRIPTORS: Final = 2  # the connections to the ledger and to the registry come and go
KEY_PADDING: Final = 600  # characters: so that a small store compacts its log several times a life
SIGNALS: Final = {one: getattr(signal, one.value) for one in Signal}
SECTIONS: Final = {
    OperatorFile.CONTROL: "[control]\nsocket = {folder}/control.sock\n",
    OperatorFile.STORE: (
        "[store]\nfolder = {folder}/kept\ndisk = 1 MB\nmemory = 2 MB\nsegment = 66 kB\nretry = 100 ms\n"
    ),
    OperatorFile.CLUSTER: (
        "[control]\nsocket = {folder}/control.sock\n"
        "[fleet]\nname = lab\nlisten = {peers}\nseeds = {peers}\nvoters = n0\nfolder = {folder}/vote\n"
        "lease = 1 s\nprobe = 500 ms\n"
        "[duty beat]\ndo = run\ncommand = sleep 30\nevery = 1 s\nfenced = clock\npatience = 100 ms\n"
    ),
}


class Found(NamedTuple):
    """What the checkers found in one seed."""

    lost: list
    twice: list
    wrong: list
    crashed: list
    faults: list
    late: list  # requests that ran though they came after the grace
    left_behind: list  # processes or descriptors

    def good(self) -> bool:
        """Return whether nothing was found."""
        return not any(self)


class SoakServer(floods.Server):
    """The server, through the lives of its schedule."""

    def set_up_file(self) -> None:
        """Write the operator's file, where the schedule has one."""
        kind = self.world.schedule.operator_file
        self.settings = self.folder / "valeturn.ini"
        self.notices: dict[int, float] = {}  # life -> when its notice was sent, monotonic s
        self.text = None
        if kind is not OperatorFile.NONE:
            peers = "%s:%d" % reserve_address()
            self.text = SECTIONS[kind].format(folder=self.folder, peers=peers)
            self.settings.write_text(self.text)

    def begin(self) -> None:
        """Start the next life."""
        self.life += 1
        self.executors[self.life] = Executor(self.plan)
        settings = ["--settings", str(self.settings)] if self.text is not None else []
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.world.serve, str(self.config), *settings],
                cwd=self.world.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**self.world.env, MARKER: self.world.marker},
            )

    async def live(self, life: ScheduledLife) -> None:
        """Play one life that has begun, and begin the next one."""
        if life.ending is Ending.NOTICE_DURING_START:
            await asyncio.sleep(life.service)
            await self.end_by_notice(life)
        else:
            await self.serving()
            crowd = [asyncio.ensure_future(self.visit(self.rest)) for _ in range(life.crowd)]
            await asyncio.sleep(life.service)
            await self.end(life)
            for visitor in crowd:
                visitor.cancel()
        await self.look_for_processes()
        self.begin()

    async def end(self, life: ScheduledLife) -> None:
        """End a life that serves."""
        if self.process.poll() is not None:
            self.crashed.append((f"code {self.process.returncode}", self.number, self.life))
        elif life.ending is Ending.NOTICE:
            await self.end_by_notice(life)
        elif life.ending is Ending.NOTICE_AND_KILL:
            await self.end_by_notice_and_kill(life)
        else:
            await self.end_by_kill(life)

    async def send_series(self, life: ScheduledLife) -> None:
        """Send the series of signals, and note when the first notice was sent."""
        for one in life.signals:
            if one.signal is Signal.NOTICE:
                self.notices.setdefault(self.life, time.monotonic())
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(SIGNALS[one.signal])
            await asyncio.sleep(one.pause)

    async def end_by_notice(self, life: ScheduledLife) -> None:
        """Let the process end by itself after its notice."""
        held = self.holds_signals()
        await self.send_series(life)
        code = await self.ended(self.process, floods.STOP + floods.LATE)
        if code is not None and code < 0 and not held:
            return  # before Python runs the first line a signal ends the process: docs/design/endings.md
        if code != 0:
            self.crashed.append(("hangs" if code is None else f"code {code}", self.number, self.life))
            self.kill_process()

    def holds_signals(self) -> bool:
        """Return whether the process has begun to handle its signals."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return all(caught >> (number - 1) & 1 for number in SIGNALS.values())

    async def end_by_notice_and_kill(self, life: ScheduledLife) -> None:
        """Kill at the stop, as the platform does; what was read has its answers by then."""
        await self.send_series(life)
        stop = self.notices[self.life] + floods.STOP
        await self.ended(self.process, max(0.0, stop - time.monotonic()))
        self.kill_process()

    async def end_by_kill(self, life: ScheduledLife) -> None:
        """Kill at a moment of the schedule, with or without a reload under way."""
        await self.send_series(life)
        if life.ending is Ending.KILL_DURING_HELD_RELOAD:
            self.settings.unlink()
            os.mkfifo(self.settings)
        if life.ending is not Ending.KILL:
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(life.kill_delay)
        self.kill_process()
        self.killed[self.life] = time.monotonic()
        if life.ending is Ending.KILL_DURING_HELD_RELOAD:
            await self.connect_to_nobody()
            self.settings.unlink()
            self.settings.write_text(self.text)

    def kill_process(self) -> None:
        """Kill the server's process and take its executor's connections down with it."""
        self.process.kill()
        self.process.wait()
        self.executors[self.life].close()

    async def connect_to_nobody(self) -> None:
        """Look whether the address of a killed server still takes connections."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self.address)
            writer.close()
            self.left_behind.append(("a socket that listens", self.life))

    async def look_for_processes(self) -> None:
        """Look whether what a life has started has ended with it."""
        deadline = time.monotonic() + LEFT_BEHIND_AFTER
        while found := marked_processes(self.world.marker):
            if time.monotonic() > deadline:
                self.left_behind.append(("processes", self.life, found))
                return
            await asyncio.sleep(0.02)

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def marked_processes(marker: str) -> list[str]:
    """Return the command lines of live processes that have this marker in their environment."""
    found = []
    for entry in pathlib.Path("/proc").iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):
                if f"{MARKER}={marker}".encode() in (entry / "environ").read_bytes():
                    found.append((entry / "cmdline").read_bytes().replace(b"\0", b" ").decode())
    return found


class SoakWorld(floods.World):
    """One server with its parties and its callers."""

    def __init__(
        self, folder: pathlib.Path, schedule: SoakSchedule, serve: tuple[str, ...], grace: float
    ) -> None:
        """Make the world of one schedule.

        Args:
            folder: For the server's files.
            schedule: What is played.
            serve: The interpreter's words that serve.
            grace: The grace in seconds that the server is configured with; another one than GRACE is a fault
                that the checker has to find.
        """
        super().__init__(folder, schedule.seed, 0, serve)
        self.schedule = schedule
        self.marker = f"{os.getpid()}-{folder.name}-{schedule.seed}"
        self.grace = grace
        self.server = SoakServer(self, 0)
        self.server.left_behind = []
        self.server.set_up_file()
        self.servers = [self.server]
        self.padding = "x" * KEY_PADDING if schedule.operator_file is OperatorFile.STORE else ""

    async def connection(self, server, held):
        """Return the connection that is held, until it has ended: a request to close it is not heeded."""
        if held[0] is not None and not held[0].ended:
            return held
        return await super().connection(server, held)

    async def once(self, server, held, key):
        """Send one request, under a key that is long where the store's log is to be compacted."""
        await super().once(server, held, key + self.padding)

    async def play_schedule(self) -> Found:
        """Play all lives and one more, which ends by a notice once the callers have gone."""
        server = self.server
        self.ledgers = [(await floods.listen(self.ledger.serve))[1]]
        self.namings = [(await floods.listen(self.naming.serve))[1]]
        await server.set_up()
        server.begin()
        scripts = [asyncio.ensure_future(self.caller(server, n)) for n in range(floods.CALLERS)]
        for life in self.schedule.lives:
            await server.live(life)
        await server.serving()
        if server.process.poll() is not None:  # it was noted that it does not serve
            self.over = True
            return self.judge()
        before = server.descriptors()
        await asyncio.sleep(1.0)
        self.over = True
        await asyncio.gather(*scripts)
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()
        await self.look_for_descriptors(before)
        await server.leave()
        await server.look_for_processes()
        return self.judge()

    async def look_for_descriptors(self, before: int) -> None:
        """Look whether the server has closed what it opened for its callers."""
        deadline = time.monotonic() + QUIET
        while (now := self.server.descriptors()) > before + SPARE_DESCRIPTORS:
            if time.monotonic() > deadline:
                self.server.left_behind.append(("descriptors", before, now))
                return
            await asyncio.sleep(0.05)

    def judge(self) -> Found:
        """Return what the checkers found."""
        ran = {call for executor in self.server.executors.values() for call in executor.calls}
        late = [
            one
            for one in self.sent
            if one.call in ran and one.sent > self.server.notices.get(one.life, 1e300) + GRACE + NOTICE_DELAY
        ]
        return Found(*self.witness(), late, self.server.left_behind)


def play(
    folder: pathlib.Path,
    seed: int,
    lives: int = LIVES,
    serve: tuple[str, ...] = floods.SERVE,
    grace: float = GRACE,
) -> tuple[Found, SoakWorld]:
    """Play one seed."""
    world = SoakWorld(folder, draw_schedule(seed, lives), serve, grace)
    try:
        return asyncio.run(world.play_schedule()), world
    finally:
        process = world.server.process
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()


def main(seeds: range, out: TextIO) -> int:
    """Print each seed's schedule and figures; return 1 where a checker found something."""
    bad = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-soak-"))
        found, world = play(folder, seed)
        print(f"seed={seed} file={world.schedule.operator_file.value}", file=out)
        for number, life in enumerate(world.schedule.lives, 1):
            print(f"seed={seed} life={number} {life.describe()}", file=out)
        for name, rows in found._asdict().items():
            for row in rows[:5]:
                print(f"seed={seed} {name}: {row}", file=out)
        counts = " ".join(f"{name}={len(rows)}" for name, rows in found._asdict().items())
        print(
            f"seed={seed} lives={world.server.life} submissions={len(world.sent)} {counts}",
            file=out,
            flush=True,
        )
        bad += not found.good()
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if bad else 0
