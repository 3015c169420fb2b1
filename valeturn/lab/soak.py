"""`lab soak`: restart one server in place by a schedule, under callers that never stop.

The callers use their connections until these end, even when the server has asked to close them. The checker
of floods.py applies: one final answer for each submission, no effect twice, exits in time and with code 0. In
addition nothing may run that was sent after the drain grace, each incarnation serves in time, and no process
or descriptor is left behind.
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
from .soak_schedule import Ending, OperatorFile, ScheduledIncarnation, Signal, SoakSchedule, draw_schedule

INCARNATIONS: Final = 8  # of a seed, before the last one, which ends once the callers have gone
MARKER_VARIABLE: Final = "VALETURN_SOAK"  # an environment variable that all processes of one seed inherit
DRAIN_GRACE_S: Final = floods.DRAIN_GRACE_S
SIGNAL_HANDLING_DELAY_S: Final = 0.25  # until a loaded machine has handled SIGTERM, when the grace begins
CLEANUP_TIMEOUT_S: Final = 2.0  # after the end of a server nothing that it started may run longer
DESCRIPTOR_TIMEOUT_S: Final = 3.0  # for a server without callers to close what it opened for them
SPARE_DESCRIPTORS: Final = 2  # connections to the ledger and the name service come and go
KEY_PADDING_CHARACTERS: Final = 600  # make a small store compact its log several times an incarnation
SIGNALS: Final = {one: getattr(signal, one.value) for one in Signal}
SECTIONS_BY_FILE: Final = {
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


class SoakViolations(NamedTuple):
    """The violations in one seed; the field names are keys of the printed report."""

    lost: list
    twice: list
    wrong: list
    crashed: list
    faults: list
    late: list  # submissions that ran though they were sent after the drain grace
    left_behind: list  # processes, descriptors or listening sockets that outlived their server

    def good(self) -> bool:
        """Return whether there is no violation."""
        return not any(self)


class SoakServer(floods.Server):
    """The server, through the incarnations of its schedule."""

    def set_up_file(self) -> None:
        """Write the operator's file, if the schedule has one."""
        kind = self.environment.schedule.operator_file
        self.settings = self.folder / "valeturn.ini"
        self.sigterm_sent_at: dict[int, float] = {}  # incarnation -> monotonic time in seconds
        self.settings_text = None
        if kind is not OperatorFile.NONE:
            peer_address = "%s:%d" % reserve_address()
            self.settings_text = SECTIONS_BY_FILE[kind].format(folder=self.folder, peers=peer_address)
            self.settings.write_text(self.settings_text)

    def start_process(self) -> None:
        """Start the next incarnation."""
        self.incarnation += 1
        self.executors[self.incarnation] = Executor(self.plan)
        settings = ["--settings", str(self.settings)] if self.settings_text is not None else []
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.environment.serve, str(self.config), *settings],
                cwd=self.environment.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**self.environment.env, MARKER_VARIABLE: self.environment.marker},
            )

    async def play_incarnation(self, incarnation: ScheduledIncarnation) -> None:
        """Play one incarnation whose process was started, and start the next one."""
        if incarnation.ending is Ending.SIGTERM_DURING_START:
            await asyncio.sleep(incarnation.service_s)
            await self.end_by_sigterm(incarnation)
        else:
            await self.wait_until_serving()
            idle_connections = [
                asyncio.ensure_future(self.run_connection(self.idle_until_closed))
                for _ in range(incarnation.idle_connections)
            ]
            await asyncio.sleep(incarnation.service_s)
            await self.end_incarnation(incarnation)
            for visitor in idle_connections:
                visitor.cancel()
        await self.check_processes_ended()
        self.start_process()

    async def end_incarnation(self, incarnation: ScheduledIncarnation) -> None:
        """End an incarnation that serves, as the schedule says."""
        if self.process.poll() is not None:
            self.crashed.append((f"code {self.process.returncode}", self.number, self.incarnation))
        elif incarnation.ending is Ending.SIGTERM:
            await self.end_by_sigterm(incarnation)
        elif incarnation.ending is Ending.SIGTERM_AND_KILL:
            await self.end_by_sigterm_and_kill(incarnation)
        else:
            await self.end_by_kill(incarnation)

    async def send_signals(self, incarnation: ScheduledIncarnation) -> None:
        """Send the scheduled signals, and note when the first SIGTERM was sent."""
        for one in incarnation.signals:
            if one.signal is Signal.TERMINATE:
                self.sigterm_sent_at.setdefault(self.incarnation, time.monotonic())
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(SIGNALS[one.signal])
            await asyncio.sleep(one.pause_s)

    async def end_by_sigterm(self, incarnation: ScheduledIncarnation) -> None:
        """Send SIGTERM and note a violation unless the process exits in time with code 0."""
        handled = self.handles_signals()
        await self.send_signals(incarnation)
        code = await self.wait_for_exit(self.process, floods.STOP_TIMEOUT_S + floods.EXIT_SLACK_S)
        if code is not None and code < 0 and not handled:
            return  # until Python runs its first line a signal ends the process: docs/design/endings.md
        if code != 0:
            self.crashed.append(("hangs" if code is None else f"code {code}", self.number, self.incarnation))
            self.kill_process()

    def handles_signals(self) -> bool:
        """Return whether the process has installed its signal handlers."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return all(caught >> (number - 1) & 1 for number in SIGNALS.values())

    async def end_by_sigterm_and_kill(self, incarnation: ScheduledIncarnation) -> None:
        """Kill at the stop timeout, as the platform does; what was read is answered by then."""
        await self.send_signals(incarnation)
        stop = self.sigterm_sent_at[self.incarnation] + floods.STOP_TIMEOUT_S
        await self.wait_for_exit(self.process, max(0.0, stop - time.monotonic()))
        self.kill_process()

    async def end_by_kill(self, incarnation: ScheduledIncarnation) -> None:
        """Kill at the scheduled moment, with or without a reload under way."""
        await self.send_signals(incarnation)
        if incarnation.ending is Ending.KILL_DURING_HELD_RELOAD:
            self.settings.unlink()
            os.mkfifo(self.settings)
        if incarnation.ending is not Ending.KILL:
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(incarnation.kill_delay_s)
        self.kill_process()
        self.killed_at[self.incarnation] = time.monotonic()
        if incarnation.ending is Ending.KILL_DURING_HELD_RELOAD:
            await self.check_address_closed()
            self.settings.unlink()
            self.settings.write_text(self.settings_text)

    def kill_process(self) -> None:
        """Kill the server's process and cancel its executor's runs."""
        self.process.kill()
        self.process.wait()
        self.executors[self.incarnation].close()

    async def check_address_closed(self) -> None:
        """Note a violation if the address of a killed server still accepts connections."""
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self.address)
            writer.close()
            self.left_behind.append(("a socket that listens", self.incarnation))

    async def check_processes_ended(self) -> None:
        """Note a violation if processes that an incarnation started outlive it."""
        deadline = time.monotonic() + CLEANUP_TIMEOUT_S
        while found := marked_processes(self.environment.marker):
            if time.monotonic() > deadline:
                self.left_behind.append(("processes", self.incarnation, found))
                return
            await asyncio.sleep(0.02)

    def descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def marked_processes(marker: str) -> list[str]:
    """Return the command lines of running processes with this marker in their environment."""
    found = []
    for entry in pathlib.Path("/proc").iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):
                if f"{MARKER_VARIABLE}={marker}".encode() in (entry / "environ").read_bytes():
                    found.append((entry / "cmdline").read_bytes().replace(b"\0", b" ").decode())
    return found


class SoakEnvironment(floods.Environment):
    """One server with its stand-in services and its callers."""

    def __init__(
        self, folder: pathlib.Path, schedule: SoakSchedule, serve: tuple[str, ...], drain_grace_s: float
    ) -> None:
        """Set up the environment of one schedule.

        Args:
            folder: For the server's files.
            schedule: The incarnations to play.
            serve: Arguments of the Python interpreter that start a server.
            drain_grace_s: The grace in seconds that the server is configured with; a longer one than
                DRAIN_GRACE_S is a fault that the checker has to find.
        """
        super().__init__(folder, schedule.seed, 0, serve)
        self.schedule = schedule
        self.marker = f"{os.getpid()}-{folder.name}-{schedule.seed}"
        self.drain_grace_s = drain_grace_s
        self.server = SoakServer(self, 0)
        self.server.left_behind = []
        self.server.set_up_file()
        self.servers = [self.server]
        self.padding = "x" * KEY_PADDING_CHARACTERS if schedule.operator_file is OperatorFile.STORE else ""

    async def connection(self, server, slot):
        """Return the connection in the slot until it ends; the server's request to close it is ignored."""
        if slot[0] is not None and not slot[0].ended:
            return slot
        return await super().connection(server, slot)

    async def submit_once(self, server, slot, key):
        """Send one submission; its key is long when the store's log is to be compacted."""
        await super().submit_once(server, slot, key + self.padding)

    async def play_schedule(self) -> SoakViolations:
        """Play all incarnations and one more, which ends by SIGTERM once the callers have gone."""
        server = self.server
        self.ledger_addresses = [(await floods.listen(self.ledger.serve))[1]]
        self.name_service_addresses = [(await floods.listen(self.name_service.serve))[1]]
        await server.set_up()
        server.start_process()
        caller_tasks = [
            asyncio.ensure_future(self.run_caller(server, number))
            for number in range(floods.GATEWAYS_PER_SERVER)
        ]
        for incarnation in self.schedule.incarnations:
            await server.play_incarnation(incarnation)
        await server.wait_until_serving()
        if server.process.poll() is not None:  # already noted as a violation
            self.stopping = True
            return self.find_violations()
        before = server.descriptors()
        await asyncio.sleep(1.0)
        self.stopping = True
        await asyncio.gather(*caller_tasks)
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()
        await self.check_descriptors_closed(before)
        await server.stop_gracefully()
        await server.check_processes_ended()
        return self.find_violations()

    async def check_descriptors_closed(self, before: int) -> None:
        """Note a violation unless the server closes what it opened for its callers."""
        deadline = time.monotonic() + DESCRIPTOR_TIMEOUT_S
        while (now := self.server.descriptors()) > before + SPARE_DESCRIPTORS:
            if time.monotonic() > deadline:
                self.server.left_behind.append(("descriptors", before, now))
                return
            await asyncio.sleep(0.05)

    def find_violations(self) -> SoakViolations:
        """Return the violations of the whole schedule."""
        ran = {call for executor in self.server.executors.values() for call in executor.calls}
        late = [
            one
            for one in self.sent
            if one.call in ran
            and one.sent
            > self.server.sigterm_sent_at.get(one.incarnation, 1e300)
            + DRAIN_GRACE_S
            + SIGNAL_HANDLING_DELAY_S
        ]
        return SoakViolations(*self.check_outcomes(), late, self.server.left_behind)


def play(
    folder: pathlib.Path,
    seed: int,
    incarnations: int = INCARNATIONS,
    serve: tuple[str, ...] = floods.SERVE_ARGUMENTS,
    drain_grace_s: float = DRAIN_GRACE_S,
) -> tuple[SoakViolations, SoakEnvironment]:
    """Play one seed, and return its violations and its environment."""
    environment = SoakEnvironment(folder, draw_schedule(seed, incarnations), serve, drain_grace_s)
    try:
        return asyncio.run(environment.play_schedule()), environment
    finally:
        process = environment.server.process
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()


def main(seeds: range, out: TextIO) -> int:
    """Print each seed's schedule and figures; return 1 when there was a violation."""
    bad = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-soak-"))
        found, environment = play(folder, seed)
        print(f"seed={seed} file={environment.schedule.operator_file.value}", file=out)
        for number, incarnation in enumerate(environment.schedule.incarnations, 1):
            print(f"seed={seed} life={number} {incarnation.describe()}", file=out)
        for name, rows in found._asdict().items():
            for row in rows[:5]:
                print(f"seed={seed} {name}: {row}", file=out)
        counts = " ".join(f"{name}={len(rows)}" for name, rows in found._asdict().items())
        print(
            f"seed={seed} lives={environment.server.incarnation} "
            f"submissions={len(environment.sent)} {counts}",
            file=out,
            flush=True,
        )
        bad += not found.good()
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if bad else 0
