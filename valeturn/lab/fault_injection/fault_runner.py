"""`lab owner`: runs a fault schedule against a cluster of real servers, then checks its history."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import tempfile
import time
from typing import NamedTuple

from ...cluster.raft import ROLE_NAMES
from .fleet import CALL_CAP, LEASE_S, QUOTA_ROUND_S, Fleet
from .schedule import LEADER, FaultKind, ScheduledFault, draw_schedule

TRICKLE_INTERVAL_S = 0.002  # between two pieces of 16 bytes
FLAPS, FLAP_INTERVAL_S = 3, 0.3  # stops in a row; length of each stop and of the pause after it
# A check of less work says little. The load reaches both in some seconds while all servers serve.
MIN_REQUESTS = 60
MIN_EFFECTS = 150
WORK_TIMEOUT_S = 30.0

SINGLETON_TASKS = f"""
[duty effect]
do = run
command = {{effect}}
most = 1 h
patience = 100 ms
fenced = number

[duty calls]
do = share-calls
cap = {CALL_CAP}
round = {1000 * QUOTA_ROUND_S:g} ms
"""
VIOLATION_KEYS = (
    "owners_at_once",
    "stale_effects_done",
    "two_under_one_fence",
    "shares_over_cap",
    "twice",
    "lost",
    "wrong",
)


class ExecutedFault(NamedTuple):
    """A fault of the schedule with the outcome of executing it."""

    fault: ScheduledFault
    target: str  # the server that the role was resolved to
    started_at: float  # s after the first fault
    skipped: bool  # the state of the cluster did not allow it

    def describe(self):
        """Return the fault as one line of text, with its start and the server that a role was resolved to."""
        skipped = " skipped" if self.skipped else ""
        return f"at={self.started_at:.2f}s target={self.target}{skipped} {self.fault.describe()}"


class FaultRunner:
    """Executes a fault schedule, each fault in a task of its own."""

    def __init__(self, fleet, schedule):
        self.fleet, self.schedule = fleet, schedule
        self.fault_count, self.executed = 0, []
        self.running = set()
        self.last_wiped = None
        self.handlers = {
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

    async def run_schedule(self):
        """Start each fault at its time and return when all have ended."""
        started_at = time.monotonic()
        for fault in self.schedule:
            self.fault_count += 1
            task = asyncio.get_running_loop().create_task(
                self.run_fault(fault, time.monotonic() - started_at)
            )
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(fault.pause)
        while self.running:
            await asyncio.sleep(0.1)

    async def run_fault(self, fault, started_at):
        """Resolve the target, record the fault and execute it, unless the state of the cluster forbids it."""
        target = fault.target
        if target == LEADER:
            target = await self.fleet.leader() or fault.fallback
        skipped = fault.kind is FaultKind.WIPE and not await self.may_wipe()
        self.executed.append(ExecutedFault(fault, target, started_at, skipped))
        if not skipped:
            await self.handlers[fault.kind](fault, target)

    async def stop(self, fault, name):
        """Stop a server for the length of the fault."""
        await self.stop_for(name, fault.whole, fault.lasts)

    async def stop_for(self, name, whole, seconds):
        """Stop a server, with its commands if `whole`, then resume it; nothing if already stopped."""
        if not self.fleet.servers[name].stopped:
            self.fleet.stop(name, whole)
            await asyncio.sleep(seconds)
            self.fleet.resume(name)

    async def kill(self, fault, name, wipe=False):
        """Kill a server and start it again after half the length of the fault."""
        server = self.fleet.servers[name]
        if server.process.returncode is None:
            await self.fleet.kill(name, wipe)
            await asyncio.sleep(fault.lasts / 2)
            if server.process.returncode is not None:
                await self.fleet.start_server(name)

    async def may_wipe(self):
        """Return whether the server that was wiped last is a voter again.

        Only one may be wiped at a time: a majority that loses its votes at once needs an operator.
        """
        if self.last_wiped is None:
            return True
        status = await self.fleet.status(self.last_wiped)
        return status is not None and status["role"] in ROLE_NAMES

    async def wipe(self, fault, name):
        """Kill a server, remove its vote directory and start it again."""
        if self.fleet.servers[name].process.returncode is None:
            self.last_wiped = name
            await self.kill(fault, name, True)

    async def partition(self, fault, _):
        """Partition the cluster, then heal it."""
        self.fleet.partition(fault.side)
        await asyncio.sleep(fault.lasts)
        self.fleet.heal(fault.whole)

    async def partition_one_way(self, fault, name):
        """Block either what the server receives or what it sends."""
        directions = self.directions(lambda sender, receiver: (receiver if fault.inbound else sender) == name)
        for direction in directions:
            direction.pause()
        await asyncio.sleep(fault.lasts)
        for direction in directions:
            direction.resume()

    def directions(self, chosen):
        """Return the directions whose (sender, receiver) the predicate chooses."""
        return [
            direction
            for (sender, receiver), direction in self.fleet.relays.directions.items()
            if chosen(sender, receiver)
        ]

    async def reset(self, fault, name):
        """Reset the connections between the target and its peer."""
        self.fleet.relays.break_links(name, fault.peer)

    async def delay(self, fault, _):
        """Delay the links that were drawn, each by its own time."""
        directions = [(self.fleet.relays.directions[link], delay) for link, delay in fault.delays]
        for direction, delay in directions:
            direction.delay = delay
        await asyncio.sleep(fault.lasts)
        for direction, _ in directions:
            direction.delay = 0.0

    async def trickle(self, fault, name):
        """Forward what the server sends in small pieces."""
        directions = self.directions(lambda sender, _: sender == name)
        for direction in directions:
            direction.trickle = TRICKLE_INTERVAL_S
        await asyncio.sleep(fault.lasts)
        for direction in directions:
            direction.trickle = 0.0

    async def duplicate(self, fault, name):
        """Send the last bytes of the server's next chunk to each peer twice."""
        for direction in self.directions(lambda sender, _: sender == name):
            direction.duplicate_next = True

    async def transfer(self, fault, name):
        """Ask the server to transfer its leadership."""
        await self.fleet.request_control(name, {"do": "fleet", "what": "hand-over"})

    async def stop_all(self, fault, _):
        """Stop all servers at once."""
        for name in self.fleet.names:
            self.fleet.stop(name)
        await asyncio.sleep(fault.lasts)
        for name in self.fleet.names:
            self.fleet.resume(name)

    async def drift(self, fault, name):
        """Change the rate of the server's clock."""
        self.fleet.set_clock_rate(name, fault.clock_rate)
        await asyncio.sleep(fault.lasts)
        self.fleet.set_clock_rate(name, 1.0)

    async def flap(self, fault, name):
        """Stop and resume the server several times in a row."""
        for _ in range(FLAPS):
            await self.stop_for(name, fault.whole, FLAP_INTERVAL_S)
            await asyncio.sleep(FLAP_INTERVAL_S)


async def wait_for_enough_work(fleet):
    """Let the load continue until there are enough submissions and effects to check.

    Faults may have prevented most of them: a schedule may leave the cluster without a leader for long.
    """

    async def enough():
        submissions, *_ = fleet.check_load()
        return submissions >= MIN_REQUESTS and len(fleet.effect_service.effects) >= MIN_EFFECTS

    if fleet.load:
        with contextlib.suppress(TimeoutError):  # the figures show how many there were
            await fleet.wait_until(enough, WORK_TIMEOUT_S)


async def run_schedule(folder, count, faults, seed, check_tokens=True, load=4.0, pace=1.2):
    """Run a drawn schedule and return (runner, figures of the history, name of the leader at the end).

    `load` is in submissions per second to each server, and `pace` the mean seconds between two faults.
    """
    fleet = Fleet(folder, count, seed, singleton_tasks=SINGLETON_TASKS, check_tokens=check_tokens, load=load)
    try:
        await fleet.start()
        await fleet.wait_for_leader()
        runner = FaultRunner(fleet, draw_schedule(seed, fleet.names, faults, LEASE_S, pace))
        await runner.run_schedule()
        during_faults, *_ = fleet.check_load()
        fleet.heal()
        for name, server in fleet.servers.items():
            fleet.resume(name)
        leader = await fleet.wait_for_leader(30.0)
        await asyncio.sleep(3 * LEASE_S)
        await wait_for_enough_work(fleet)
        return runner, {**fleet.check_history(), "submissions_during_faults": during_faults}, leader
    finally:
        await fleet.close()


def main(count, faults, seeds, out, check_tokens=True, keep=None):
    """Print the executed schedule and one line of figures per seed; return 1 after an invariant violation."""
    violating_seeds = 0
    for seed in seeds:
        folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-")) / f"seed{seed}"
        try:
            runner, figures, _ = asyncio.run(run_schedule(folder, count, faults, seed, check_tokens))
        finally:
            if keep is None:
                shutil.rmtree(folder.parent, ignore_errors=True)
        for executed in runner.executed:
            print(f"seed={seed} {executed.describe()}", file=out)
        violating_seeds += any(figures[key] for key in VIOLATION_KEYS)
        print(
            f"real servers={count} seed={seed} faults={runner.fault_count} "
            + " ".join(f"{key}={value}" for key, value in figures.items()),
            file=out,
            flush=True,
        )
    return 1 if violating_seeds else 0
