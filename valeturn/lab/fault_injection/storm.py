"""`lab owner`: a fault schedule between real servers of a cluster, then quiet, and the checkers' verdict."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import tempfile
import time
from typing import NamedTuple

from ...cluster.raft import ROLE_NAMES
from .fleet import CALL_CAP, LEASE, ROUND, Fleet
from .schedule import LEADER, FaultKind, ScheduledFault, draw_schedule

TRICKLE_INTERVAL = 0.002  # s between bytes
FLAPS, FLAP_INTERVAL = 3, 0.3  # stops in a row, and s that each and the pause after it take
# A verdict on less work says little. The load brings so much in some seconds where all servers serve.
ENOUGH_REQUESTS = 60
ENOUGH_EFFECTS = 150
PATIENCE_FOR_WORK = 30.0  # s

DUTIES = f"""
[duty effect]
do = run
command = {{effect}}
most = 1 h
patience = 100 ms
fenced = number

[duty calls]
do = share-calls
cap = {CALL_CAP}
round = {1000 * ROUND:g} ms
"""
MUST_NOT = (
    "owners_at_once",
    "stale_effects_done",
    "two_under_one_fence",
    "shares_over_cap",
    "twice",
    "lost",
    "wrong",
)


class PlayedFault(NamedTuple):
    """A fault of the schedule, and what became of it."""

    fault: ScheduledFault
    target: str  # the server that a role meant
    began: float  # s after the first fault
    skipped: bool  # the state of the cluster did not allow it

    def describe(self):
        """The fault in a line, with the time and the server that a role meant."""
        skipped = " skipped" if self.skipped else ""
        return f"at={self.began:.2f}s target={self.target}{skipped} {self.fault.describe()}"


class Storm:
    """Plays a fault schedule, each fault in a task of its own."""

    def __init__(self, fleet, schedule):
        self.fleet, self.schedule = fleet, schedule
        self.faults, self.played = 0, []
        self.running = set()
        self.wiped = None
        self.plays = {
            FaultKind.STOP: self.stop,
            FaultKind.KILL: self.kill,
            FaultKind.WIPE: self.wipe,
            FaultKind.PARTITION: self.partition,
            FaultKind.ONE_WAY: self.partition_one_way,
            FaultKind.RESET: self.reset,
            FaultKind.DELAY: self.delay,
            FaultKind.TRICKLE: self.trickle,
            FaultKind.DUPLICATE: self.duplicate,
            FaultKind.TRANSFER: self.transfer,
            FaultKind.STOP_ALL: self.stop_all,
            FaultKind.CLOCK: self.drift,
            FaultKind.FLAP: self.flap,
        }

    async def play(self):
        """Begin each fault in its time, and return when all are over."""
        began = time.monotonic()
        for fault in self.schedule:
            self.faults += 1
            task = asyncio.get_running_loop().create_task(self.play_one(fault, time.monotonic() - began))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(fault.pause)
        while self.running:
            await asyncio.sleep(0.1)

    async def play_one(self, fault, began):
        target = fault.target
        if target == LEADER:
            target = await self.fleet.owner() or fault.fallback
        skipped = fault.kind is FaultKind.WIPE and not await self.may_wipe()
        self.played.append(PlayedFault(fault, target, began, skipped))
        if not skipped:
            await self.plays[fault.kind](fault, target)

    async def stop(self, fault, name):
        await self.stop_for(name, fault.whole, fault.lasts)

    async def stop_for(self, name, whole, seconds):
        if not self.fleet.servers[name].stopped:
            self.fleet.stop(name, whole)
            await asyncio.sleep(seconds)
            self.fleet.go_on(name)

    async def kill(self, fault, name, wipe=False):
        server = self.fleet.servers[name]
        if server.process.returncode is None:
            await self.fleet.kill(name, wipe)
            await asyncio.sleep(fault.lasts / 2)
            if server.process.returncode is not None:
                await self.fleet.up(name)

    async def may_wipe(self):
        """One at a time: a majority that forgets at once is lost for good, which is no matter of a storm."""
        if self.wiped is None:
            return True
        status = await self.fleet.status(self.wiped)
        return status is not None and status["role"] in ROLE_NAMES

    async def wipe(self, fault, name):
        if self.fleet.servers[name].process.returncode is None:
            self.wiped = name
            await self.kill(fault, name, True)

    async def partition(self, fault, _):
        self.fleet.cut(fault.side)
        await asyncio.sleep(fault.lasts)
        self.fleet.heal(fault.whole)

    async def partition_one_way(self, fault, name):
        """One is not heard, or does not hear."""
        ways = self.ways(lambda sender, receiver: (receiver if fault.inbound else sender) == name)
        for way in ways:
            way.hold()
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.go_on()

    def ways(self, chosen):
        return [way for (a, b), way in self.fleet.relays.ways.items() if chosen(a, b)]

    async def reset(self, fault, name):
        self.fleet.relays.break_links(name, fault.peer)

    async def delay(self, fault, _):
        ways = [(self.fleet.relays.ways[link], delay) for link, delay in fault.delays]
        for way, delay in ways:
            way.delay = delay
        await asyncio.sleep(fault.lasts)
        for way, _ in ways:
            way.delay = 0.0

    async def trickle(self, fault, name):
        ways = self.ways(lambda sender, _: sender == name)
        for way in ways:
            way.trickle = TRICKLE_INTERVAL
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.trickle = 0.0

    async def duplicate(self, fault, name):
        for way in self.ways(lambda sender, _: sender == name):
            way.double = True

    async def transfer(self, fault, name):
        await self.fleet.ask(name, {"do": "fleet", "what": "hand-over"})

    async def stop_all(self, fault, _):
        for name in self.fleet.names:
            self.fleet.stop(name)
        await asyncio.sleep(fault.lasts)
        for name in self.fleet.names:
            self.fleet.go_on(name)

    async def drift(self, fault, name):
        self.fleet.clock(name, fault.clock_rate)
        await asyncio.sleep(fault.lasts)
        self.fleet.clock(name, 1.0)

    async def flap(self, fault, name):
        for _ in range(FLAPS):
            await self.stop_for(name, fault.whole, FLAP_INTERVAL)
            await asyncio.sleep(FLAP_INTERVAL)


async def until_enough_work(fleet):
    """Let requests and commands go on until a verdict rests on enough of both.

    Faults may have kept most of them away: a schedule may leave the cluster without a leader for long.
    """

    async def enough():
        submissions, *_ = fleet.judged_load()
        return submissions >= ENOUGH_REQUESTS and len(fleet.world.effects) >= ENOUGH_EFFECTS

    if fleet.load:
        with contextlib.suppress(TimeoutError):  # the verdict shows how many there were
            await fleet.until(enough, PATIENCE_FOR_WORK)


async def play(folder, count, faults, seed, fenced=True, load=4.0, pace=1.2):
    """(faults, verdict, who led at the end)"""
    fleet = Fleet(folder, count, seed, duties=DUTIES, fenced=fenced, load=load)
    try:
        await fleet.start()
        await fleet.until_owned()
        storm = Storm(fleet, draw_schedule(seed, fleet.names, faults, LEASE, pace))
        await storm.play()
        during_faults, *_ = fleet.judged_load()
        fleet.heal()
        for name, server in fleet.servers.items():
            fleet.go_on(name)
        owner = await fleet.until_owned(30.0)
        await asyncio.sleep(3 * LEASE)
        await until_enough_work(fleet)
        return storm, {**fleet.judge(), "submissions_during_faults": during_faults}, owner
    finally:
        await fleet.close()


def main(count, faults, seeds, out, fenced=True, keep=None):
    """The schedule as it was played and one line of figures a seed; 1 where a checker saw a rule broken."""
    bad = 0
    for seed in seeds:
        folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-")) / f"seed{seed}"
        try:
            storm, found, _ = asyncio.run(play(folder, count, faults, seed, fenced))
        finally:
            if keep is None:
                shutil.rmtree(folder.parent, ignore_errors=True)
        for played in storm.played:
            print(f"seed={seed} {played.describe()}", file=out)
        bad += any(found[key] for key in MUST_NOT)
        print(
            f"real servers={count} seed={seed} faults={storm.faults} "
            + " ".join(f"{key}={value}" for key, value in found.items()),
            file=out,
            flush=True,
        )
    return 1 if bad else 0
