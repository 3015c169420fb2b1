"""`lab turns`: real servers go out for work in their own order, under load and faults; the witness counts.

What is out is read from what the processes did: out from the moment at which one begins to drain under a
grant until its next life listens. Somebody who stands for the machine's supervisor starts it again after its
work.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import shutil
import tempfile
import time

from ..virtual import percentile
from .fleet import LEASE, Fleet

WORK = 0.5  # s that a machine's work takes
TURNS = """
[turns]
most = {most}
share = 90 %
one_zone = off
spare = 0 %
answers = 1
idle = 1 s
work = 20 s
"""
EVENT = re.compile(r"at=([0-9.]+) .*event=(\S+)(.*)")


def settings(most=1, more=""):
    return TURNS.replace("{most}", str(most)) + more


def events(server):
    """(time, event, the rest) of a server's log."""
    text = server.path("log").read_text() if server.path("log").exists() else ""
    return [(float(m[1]), m[2], m[3]) for m in map(EVENT.match, text.splitlines()) if m]


def outs(fleet):
    """(name, from, to, fence): each time that one was out under a grant; to is infinite where it is still."""
    out = []
    for name, server in fleet.servers.items():
        began = None
        for at, event, rest in events(server):
            if event == "drain_started":
                began = at, int(rest.split("fencing_token=")[1].split()[0])
            elif event == "server_listening" and began is not None:
                out.append((name, began[0], at, began[1]))
                began = None
        if began is not None:
            out.append((name, began[0], float("inf"), began[1]))
    return sorted(out, key=lambda one: one[1])


def most_at_once(found):
    marks = sorted([(a, 1) for _, a, _, _ in found] + [(b, -1) for _, _, b, _ in found], key=lambda m: m)
    now = most = 0
    for _, step in marks:
        now += step
        most = max(most, now)
    return most


class Supervisor:
    """Starts a machine again once its process has ended by itself, after its work."""

    def __init__(self, fleet):
        self.fleet, self.ended = fleet, []
        self.task = asyncio.get_running_loop().create_task(self.run())
        self.absent = set()  # those that never come back

    async def run(self):
        while True:
            for name, server in self.fleet.servers.items():
                if server.process.returncode == 0 and name not in self.absent:
                    self.ended.append(name)
                    server.died[server.life] = time.monotonic()
                    await asyncio.sleep(WORK)
                    await self.fleet.up(name)
            await asyncio.sleep(0.05)


async def rows(fleet, name=None):
    """name -> row, as the owner, or that server, tells; None where there is no owner."""
    name = name or await fleet.owner()
    got = name and await fleet.ask(name, {"do": "status"})
    if got and got["good"] and got["status"].get("turns"):
        return {row["server"]: row for row in got["status"]["turns"]["rows"]}
    return None


async def out(fleet, servers, at, why="release", **more):
    return await fleet.ask(
        at, {"do": "turns", "what": "out", "servers": list(servers), "why": why, **more}, 8.0
    )


async def play(folder, count, faults, seed, most=1, load=6.0):
    """A whole release, with so many faults on the way."""
    fleet = Fleet(folder, count, seed, duties=settings(most), load=load)
    share, done = fleet.random_source.random, 0
    try:
        await fleet.start()
        await fleet.until_owned(40.0)
        supervisor = Supervisor(fleet)
        await asyncio.sleep(1.0)
        began, asked = time.monotonic(), time.time()
        while not (await out(fleet, [], fleet.names[int(share() * count)]) or {}).get("good"):
            await asyncio.sleep(0.2)
        limit = time.monotonic() + 60.0 + 20.0 * count + 4.0 * faults
        while time.monotonic() < limit:
            if done < faults:
                done += 1
                name = await fleet.owner() if share() < 0.5 else fleet.names[int(share() * count)]
                await fault(fleet, name or fleet.names[0], share)
            await asyncio.sleep(0.3)
            left = await rows(fleet)
            if left == {} and done >= faults:
                break
        took = time.monotonic() - began
        supervisor.task.cancel()
        await asyncio.sleep(1.0)
        found = [one for one in outs(fleet) if one[1] > asked]
        judged = fleet.judge()
        went = {name for name, *_ in found}
        return {
            "out": f"{len(went)} of {count}",
            "never_granted": count - len(went),
            "most_out": most_at_once(found),
            "allowed": most,
            "out_without_grant": sum(not fence for *_, fence in found),
            "faults": done,
            "took": f"{took:.1f}s",
            "owners_at_once": judged["owners_at_once"],
            "submissions": judged["submissions"],
            "twice": judged["twice"],
            "lost": judged["lost"],
            "wrong": judged["wrong"],
            "out_p50": f"{percentile([b - a for _, a, b, _ in found], 0.5):.1f}s",
            "left": len(left or ()),
        }
    finally:
        await fleet.close()


async def fault(fleet, name, share):
    """One of a few, over when it returns."""
    kind, server = int(share() * 4), fleet.servers[name]
    if server.process.returncode is not None:
        return
    if kind == 0:
        await fleet.kill(name)
        await asyncio.sleep(0.5)
        await fleet.up(name)
        await asyncio.sleep(2 * LEASE)
    elif kind == 1:
        fleet.stop(name)
        await asyncio.sleep(LEASE * (0.5 + 2 * share()))
        fleet.go_on(name)
    elif kind == 2:
        fleet.cut({name})
        await asyncio.sleep(LEASE * (0.5 + 2 * share()))
        fleet.heal(share() < 0.5)
    else:
        await fleet.ask(name, {"do": "fleet", "what": "hand-over"})


def broken(found):
    return (
        found["most_out"] > found["allowed"]
        or found["out_without_grant"]
        or found["never_granted"]
        or found["owners_at_once"]
        or found["twice"]
        or found["lost"]
        or found["wrong"]
        or found["left"]
    )


def main(count, faults, seeds, out_file, keep=None):
    """One line a seed; 1 where the witness saw a rule broken."""
    bad = 0
    for seed in seeds:
        folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-")) / f"seed{seed}"
        try:
            found = asyncio.run(play(folder, count, faults, seed))
        finally:
            if keep is None:
                shutil.rmtree(folder.parent, ignore_errors=True)
        bad += bool(broken(found))
        print(
            f"real servers={count} seed={seed} " + " ".join(f"{k}={v}" for k, v in found.items()),
            file=out_file,
            flush=True,
        )
    return 1 if bad else 0
