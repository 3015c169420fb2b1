"""`lab owner`: faults by chance between real servers of a fleet, then quiet, and the witness's verdict."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import tempfile

from ...cluster.raft import ROLE_NAMES
from .fleet import CALL_CAP, LEASE, ROUND, Fleet

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


class Storm:
    def __init__(self, fleet, pace):
        self.fleet, self.share, self.pace, self.faults = fleet, fleet.chance.share, pace, 0
        self.kinds = {}
        self.later = set()
        self.wiped = None

    async def play(self, faults):
        kinds = (
            self.stop_one,
            self.stop_owner,
            self.kill_one,
            self.kill_owner,
            self.wipe_one,
            self.cut,
            self.cut_one_way,
            self.cut_owner_s_ears,
            self.stop_owner,
            self.stop_owner,
            self.reset,
            self.delay,
            self.trickle,
            self.double,
            self.hand_over,
            self.stop_all,
            self.clock,
            self.flap,
        )
        for _ in range(faults):
            kind = kinds[int(self.share() * len(kinds))]
            self.faults += 1
            self.kinds[kind.__name__] = self.kinds.get(kind.__name__, 0) + 1
            lasts = LEASE * (0.3 + 3 * self.share())
            task = asyncio.get_running_loop().create_task(kind(lasts))
            self.later.add(task)
            task.add_done_callback(self.later.discard)
            await asyncio.sleep(self.pace * (0.2 + 1.6 * self.share()))
        while self.later:
            await asyncio.sleep(0.1)

    def one(self):
        names = self.fleet.names
        return names[int(self.share() * len(names))]

    async def owner_or_one(self):
        return await self.fleet.owner() or self.one()

    async def stop_one(self, lasts, name=None):
        name = name or self.one()
        if not self.fleet.servers[name].stopped:
            self.fleet.stop(name, self.share() < 0.7)
            await asyncio.sleep(lasts)
            self.fleet.go_on(name)

    async def stop_owner(self, lasts):
        await self.stop_one(lasts + 2.5 * LEASE, await self.owner_or_one())

    async def kill_one(self, lasts, name=None, wipe=False):
        name = name or self.one()
        server = self.fleet.servers[name]
        if server.process.returncode is None:
            await self.fleet.kill(name, wipe)
            await asyncio.sleep(lasts / 2)
            if server.process.returncode is not None:
                await self.fleet.up(name)

    async def kill_owner(self, lasts):
        await self.kill_one(lasts, await self.owner_or_one())

    async def wipe_one(self, lasts):
        """One at a time: a majority that forgets at once is lost for good, which is no matter of a storm."""
        if self.wiped is not None:
            fleet = await self.fleet.status(self.wiped)
            if fleet is None or fleet["role"] not in ROLE_NAMES:
                return
        name = self.one()
        if self.fleet.servers[name].process.returncode is None:
            self.wiped = name
            await self.kill_one(lasts, name, True)

    async def cut(self, lasts):
        self.fleet.cut({name for name in self.fleet.names if self.share() < 0.5})
        await asyncio.sleep(lasts)
        self.fleet.heal(self.share() < 0.5)

    async def cut_one_way(self, lasts, name=None, heard=None):
        """One is not heard, or does not hear."""
        name, heard = name or self.one(), self.share() < 0.5 if heard is None else heard
        ways = [way for (a, b), way in self.fleet.relays.ways.items() if (b if heard else a) == name]
        for way in ways:
            way.hold()
        await asyncio.sleep(lasts)
        for way in ways:
            way.go_on()

    async def cut_owner_s_ears(self, lasts):
        await self.cut_one_way(lasts, await self.owner_or_one(), True)

    async def reset(self, lasts):
        self.fleet.relays.break_links(self.one(), self.one())

    async def delay(self, lasts):
        ways = [way for way in self.fleet.relays.ways.values() if self.share() < 0.3]
        for way in ways:
            way.delay = 0.2 * self.share()
        await asyncio.sleep(lasts)
        for way in ways:
            way.delay = 0.0

    async def trickle(self, lasts):
        name = self.one()
        ways = [way for (a, _), way in self.fleet.relays.ways.items() if a == name]
        for way in ways:
            way.trickle = 0.002
        await asyncio.sleep(lasts)
        for way in ways:
            way.trickle = 0.0

    async def double(self, lasts):
        name = self.one()
        for (a, _), way in self.fleet.relays.ways.items():
            way.double = way.double or a == name

    async def hand_over(self, lasts):
        owner = await self.fleet.owner()
        if owner is not None:
            await self.fleet.ask(owner, {"do": "fleet", "what": "hand-over"})

    async def stop_all(self, lasts):
        for name in self.fleet.names:
            self.fleet.stop(name)
        await asyncio.sleep(lasts)
        for name in self.fleet.names:
            self.fleet.go_on(name)

    async def clock(self, lasts):
        """Within what the lease allows for."""
        name = self.one()
        self.fleet.clock(name, 1 + 0.018 * (self.share() - 0.5))
        await asyncio.sleep(lasts)
        self.fleet.clock(name, 1.0)

    async def flap(self, lasts):
        name = self.one()
        for _ in range(3):
            await self.stop_one(0.3, name)
            await asyncio.sleep(0.3)


async def play(folder, count, faults, seed, fenced=True, load=4.0, pace=1.2):
    """(faults, verdict, who led at the end)"""
    fleet = Fleet(folder, count, seed, duties=DUTIES, fenced=fenced, load=load)
    try:
        await fleet.start()
        await fleet.until_owned()
        storm = Storm(fleet, pace)
        await storm.play(faults)
        fleet.heal()
        for name, server in fleet.servers.items():
            fleet.go_on(name)
        owner = await fleet.until_owned(30.0)
        await asyncio.sleep(3 * LEASE)
        return storm, fleet.judge(), owner
    finally:
        await fleet.close()


def main(count, faults, seeds, out, fenced=True, keep=None):
    """One line a seed; 1 where the witness saw a rule broken."""
    bad = 0
    for seed in seeds:
        folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-")) / f"seed{seed}"
        try:
            storm, found, _ = asyncio.run(play(folder, count, faults, seed, fenced))
        finally:
            if keep is None:
                shutil.rmtree(folder.parent, ignore_errors=True)
        bad += any(found[key] for key in MUST_NOT)
        print(
            f"real servers={count} seed={seed} faults={storm.faults} "
            + " ".join(f"{key}={value}" for key, value in found.items()),
            file=out,
            flush=True,
        )
    return 1 if bad else 0
