"""`lab owner --measure`: cost of cluster membership and time without a leader, on real servers."""

from __future__ import annotations

import asyncio
import os
import pathlib
import shutil
import tempfile

from . import history_checker
from .fault_runner import SINGLETON_TASKS
from .fleet import Fleet

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MEASURED_S = 8.0  # length of each measurement


def cpu_seconds_of(server):
    """Return the seconds of CPU that the server's process has used, without its children."""
    fields = pathlib.Path(f"/proc/{server.process.pid}/stat").read_bytes().rpartition(b")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_mb_of(server):
    """Return the resident memory of the server's process in MB."""
    for line in pathlib.Path(f"/proc/{server.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure_cost(fleet, seconds=MEASURED_S):
    """Return (CPU share, MB, descriptors, submissions per second) of the mean server over some seconds."""
    servers = list(fleet.servers.values())
    before, tries = (
        [cpu_seconds_of(server) for server in servers],
        sum(len(server.tries) for server in servers),
    )
    await asyncio.sleep(seconds)
    used = [(cpu_seconds_of(server) - old) / seconds for server, old in zip(servers, before)]
    files = [len(os.listdir(f"/proc/{server.process.pid}/fd")) for server in servers]
    rate = (sum(len(server.tries) for server in servers) - tries) / seconds / len(servers)
    return (
        sum(used) / len(used),
        sum(map(memory_mb_of, servers)) / len(servers),
        sum(files) / len(files),
        rate,
    )


async def compare_with_and_without_cluster(folder, count, seed, load):
    """Return the costs of the same servers with [fleet] and without.

    Both are measured at the same time, so that the machine is equally busy for both.
    """
    with_cluster = Fleet(folder / "on", count, seed, singleton_tasks=SINGLETON_TASKS, load=load)
    without_cluster = Fleet(folder / "off", count, seed, load=load, fleet=False)
    try:
        await with_cluster.start()
        await without_cluster.start()
        await with_cluster.wait_for_leader(40.0)
        await asyncio.sleep(3.0)
        return await asyncio.gather(measure_cost(with_cluster), measure_cost(without_cluster))
    finally:
        await with_cluster.close()
        await without_cluster.close()


async def measure_leader_losses(folder, count, seed, losses):
    """Return the seconds without a leader after each kill of one, from the records of the servers."""
    fleet, out = Fleet(folder / "lost", count, seed, singleton_tasks=SINGLETON_TASKS), []
    try:
        await fleet.start()
        for _ in range(losses):
            leader = await fleet.wait_for_leader(40.0)
            await asyncio.sleep(1.0)
            await fleet.kill(leader)
            death_time = fleet.servers[leader].boot_death_times[-1]
            await fleet.wait_for_leader(40.0, other_than=leader)
            await asyncio.sleep(0.3)  # the new leader records its next tick
            leaderships = history_checker.leadership_records(
                history_checker.read_records(
                    {name: server.records_path for name, server in fleet.servers.items()}
                )
            )
            out.append(
                next(at for at, _, name in leaderships if at > death_time and name != leader) - death_time
            )
            await fleet.start_server(leader)
            await asyncio.sleep(1.5)
        return out
    finally:
        await fleet.close()


def main(count, seed, out, losses=12):
    """Print the costs of idle and loaded servers and the times without a leader; return the exit code."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-lab-"))
    try:
        for name, load in (("idle", 0.0), ("loaded", 20.0)):
            on, off = asyncio.run(compare_with_and_without_cluster(folder / name, count, seed, load))
            per_submission = (
                ""
                if not load
                else (
                    f" cpu_a_submission_on={1e6 * on[0] / on[3]:.0f}us "
                    f"off={1e6 * off[0] / off[3]:.0f}us submissions_a_second={on[3]:.1f}"
                )
            )
            print(
                f"real servers={count} {name}: cpu_on={100 * on[0]:.2f}% off={100 * off[0]:.2f}% "
                f"memory_on={on[1]:.1f}MB off={off[1]:.1f}MB descriptors_on={on[2]:.0f} "
                f"off={off[2]:.0f}{per_submission}",
                file=out,
                flush=True,
            )
        gaps = asyncio.run(measure_leader_losses(folder, count, seed, losses))
        print(
            f"real servers={count} owners_killed={len(gaps)} "
            f"without_owner_p50={history_checker.format_percentile(gaps, 0.5)} "
            f"p99={history_checker.format_percentile(gaps, 0.99)}",
            file=out,
            flush=True,
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return 0
