"""`lab turns`: maintenance of real servers, one after another, under load and faults.

The periods of maintenance are read from the servers' logs: a server is out from the start of its drain under
a grant until its next process listens. `Supervisor` stands in for the machine's process supervisor, which
starts the server again after the maintenance.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import shutil
import tempfile
import time

from ..virtual import percentile
from .fleet import LEASE_S, Fleet

WORK_S = 0.5  # length of the maintenance of a machine
MAINTENANCE_SECTION = """
[turns]
most = {most}
share = 90 %
one_zone = off
spare = 0 %
answers = 1
idle = 1 s
work = 20 s
"""
EVENT_LINE = re.compile(r"at=([0-9.]+) .*event=(\S+)(.*)")


def maintenance_settings(most=1, more=""):
    """Return the section [turns] of the operator file, with at most `most` servers out at once."""
    return MAINTENANCE_SECTION.replace("{most}", str(most)) + more


def events(server):
    """Return (time, event, the rest of the line) of a server's log."""
    text = server.path("log").read_text() if server.path("log").exists() else ""
    return [
        (float(match[1]), match[2], match[3]) for match in map(EVENT_LINE.match, text.splitlines()) if match
    ]


def maintenance_periods(fleet):
    """Return (name, start, end, fencing token) of each maintenance; the end is infinite until it ends."""
    periods = []
    for name, server in fleet.servers.items():
        started_at = None
        for at, event, rest in events(server):
            if event == "drain_started":
                started_at = at, int(rest.split("fencing_token=")[1].split()[0])
            elif event == "server_listening" and started_at is not None:
                periods.append((name, started_at[0], at, started_at[1]))
                started_at = None
        if started_at is not None:
            periods.append((name, started_at[0], float("inf"), started_at[1]))
    return sorted(periods, key=lambda one: one[1])


def most_at_once(periods):
    """Return how many servers were out at once at the most."""
    changes = sorted(
        [(start, 1) for _, start, _, _ in periods] + [(end, -1) for _, _, end, _ in periods],
        key=lambda change: change,
    )
    now = most = 0
    for _, step in changes:
        now += step
        most = max(most, now)
    return most


class Supervisor:
    """Starts a server again WORK_S after its process has ended by itself."""

    def __init__(self, fleet):
        self.fleet, self.ended = fleet, []
        self.task = asyncio.get_running_loop().create_task(self.run())
        self.absent = set()  # names of servers that are not started again

    async def run(self):
        """Look for ended processes until cancelled."""
        while True:
            for name, server in self.fleet.servers.items():
                if server.process.returncode == 0 and name not in self.absent:
                    self.ended.append(name)
                    server.death_times[server.life] = time.monotonic()
                    await asyncio.sleep(WORK_S)
                    await self.fleet.start_server(name)
            await asyncio.sleep(0.05)


async def maintenance_rows(fleet, name=None):
    """Return the rows of maintenance requests by server, from the status of the leader or of server `name`.

    None where there is no leader or no answer.
    """
    name = name or await fleet.leader()
    response = name and await fleet.request_control(name, {"do": "status"})
    if response and response["good"] and response["status"].get("turns"):
        return {row["server"]: row for row in response["status"]["turns"]["rows"]}
    return None


async def request_maintenance(fleet, servers, asked_server, reason="release", **more):
    """Request maintenance of servers, of all where none are named, and return the response."""
    return await fleet.request_control(
        asked_server, {"do": "turns", "what": "out", "servers": list(servers), "why": reason, **more}, 8.0
    )


async def play(folder, count, faults, seed, most=1, load=6.0):
    """Maintain every server once while `faults` faults occur, and return the figures of the run."""
    fleet = Fleet(folder, count, seed, singleton_tasks=maintenance_settings(most), load=load)
    draw, fault_count = fleet.random_source.random, 0
    try:
        await fleet.start()
        await fleet.wait_for_leader(40.0)
        supervisor = Supervisor(fleet)
        await asyncio.sleep(1.0)
        started_at, requested_at = time.monotonic(), time.time()
        while not (await request_maintenance(fleet, [], fleet.names[int(draw() * count)]) or {}).get("good"):
            await asyncio.sleep(0.2)
        deadline = time.monotonic() + 60.0 + 20.0 * count + 4.0 * faults
        while time.monotonic() < deadline:
            if fault_count < faults:
                fault_count += 1
                name = await fleet.leader() if draw() < 0.5 else fleet.names[int(draw() * count)]
                await inject_fault(fleet, name or fleet.names[0], draw)
            await asyncio.sleep(0.3)
            remaining = await maintenance_rows(fleet)
            if remaining == {} and fault_count >= faults:
                break
        duration_s = time.monotonic() - started_at
        supervisor.task.cancel()
        await asyncio.sleep(1.0)
        periods = [one for one in maintenance_periods(fleet) if one[1] > requested_at]
        history = fleet.check_history()
        maintained = {name for name, *_ in periods}
        return {
            "out": f"{len(maintained)} of {count}",
            "never_granted": count - len(maintained),
            "most_out": most_at_once(periods),
            "allowed": most,
            "out_without_grant": sum(not fencing_token for *_, fencing_token in periods),
            "faults": fault_count,
            "took": f"{duration_s:.1f}s",
            "owners_at_once": history["owners_at_once"],
            "submissions": history["submissions"],
            "twice": history["twice"],
            "lost": history["lost"],
            "wrong": history["wrong"],
            "out_p50": f"{percentile([end - start for _, start, end, _ in periods], 0.5):.1f}s",
            "left": len(remaining or ()),
        }
    finally:
        await fleet.close()


async def inject_fault(fleet, name, draw):
    """Draw and execute a kill, a stop, a partition or a transfer of leadership; return when it has ended."""
    kind, server = int(draw() * 4), fleet.servers[name]
    if server.process.returncode is not None:
        return
    if kind == 0:
        await fleet.kill(name)
        await asyncio.sleep(0.5)
        await fleet.start_server(name)
        await asyncio.sleep(2 * LEASE_S)
    elif kind == 1:
        fleet.stop(name)
        await asyncio.sleep(LEASE_S * (0.5 + 2 * draw()))
        fleet.resume(name)
    elif kind == 2:
        fleet.partition({name})
        await asyncio.sleep(LEASE_S * (0.5 + 2 * draw()))
        fleet.heal(draw() < 0.5)
    else:
        await fleet.request_control(name, {"do": "fleet", "what": "hand-over"})


def has_violations(figures):
    """Return something true where an invariant was violated or a server was not maintained."""
    return (
        figures["most_out"] > figures["allowed"]
        or figures["out_without_grant"]
        or figures["never_granted"]
        or figures["owners_at_once"]
        or figures["twice"]
        or figures["lost"]
        or figures["wrong"]
        or figures["left"]
    )


def main(count, faults, seeds, out_file, keep=None):
    """Print one line of figures per seed; return 1 after an invariant violation."""
    violating_seeds = 0
    for seed in seeds:
        folder = pathlib.Path(keep or tempfile.mkdtemp(prefix="valeturn-lab-")) / f"seed{seed}"
        try:
            figures = asyncio.run(play(folder, count, faults, seed))
        finally:
            if keep is None:
                shutil.rmtree(folder.parent, ignore_errors=True)
        violating_seeds += bool(has_violations(figures))
        print(
            f"real servers={count} seed={seed} "
            + " ".join(f"{key}={value}" for key, value in figures.items()),
            file=out_file,
            flush=True,
        )
    return 1 if violating_seeds else 0
