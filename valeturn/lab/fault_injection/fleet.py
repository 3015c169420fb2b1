"""A cluster of real server processes that can be started, stopped, resumed, killed and wiped."""

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
EFFECT_SCRIPT = ROOT / "valeturn/lab/fault_injection/effect.py"
LEASE_S = 1.0  # short, so that leadership changes many times in a minute
QUOTA_ROUND_S = 0.25  # between two requests for a share of the call quota
CALL_CAP = 24  # concurrent calls of all servers together


class Server:
    """One server of the cluster, through all its processes.

    It is also the environment of the gateways that send requests to it: `life`, `tries`, `doubled`,
    `random_source`, `new_call` and `look_whether_dead` are read by `lab.gateways`.
    """

    def __init__(self, fleet, name):
        self.fleet, self.name, self.folder = fleet, name, fleet.folder / name
        self.folder.mkdir(parents=True)
        self.process, self.life, self.stopped, self.boot_death_times = None, 0, False, []
        # [start, end] in monotonic seconds: it could not answer submissions while it was stopped.
        self.stopped_periods = []
        self.listen, self.peer_address = reserve_address(), reserve_address()
        self.clock_path, self.records_path = self.folder / "clock", self.folder / "notes"
        write_clock(self.clock_path, 1.0, boot_clock(), boot_clock())
        self.executor = Executor(fleet.plan)
        self.tries, self.doubled, self.death_times = [], [], {}
        # One per server, so that the draws of its gateways do not depend on the timing of the others.
        self.random_source = SeededRandom((fleet.seed << 16) + int(name[1:]))
        self.wall_clock_offset = 0.0

    # ---- the environment of its gateways

    def new_call(self):
        """Return a call id that is unique in the cluster."""
        return self.fleet.new_call()

    async def look_whether_dead(self, life):
        """Wait up to 0.4 s until process number `life` is known to have ended, as the cause of a cut."""
        for _ in range(40):
            if life in self.death_times or self.process is None or self.process.returncode is not None:
                return
            await asyncio.sleep(0.01)

    def path(self, name):
        """Return the path of a file in the server's directory."""
        return self.folder / name


class Fleet:
    """A cluster of servers with their relays, stand-in services and load.

    The caller starts it with `start` and must `close` it. `voters` are the names of the initial voters, all
    by default. Without `vote_directories` servers keep no vote on disk, and without `check_tokens` the effect
    service executes stale effects too, so that a test can show that the checker finds them. `max_size` is the
    option `largest`, `load` the submissions per second to each server, and `lease` is in seconds.
    """

    def __init__(
        self,
        folder,
        count,
        seed,
        *,
        singleton_tasks="",
        voters=None,
        vote_directories=True,
        check_tokens=True,
        max_size=None,
        load=0.0,
        lease=LEASE_S,
        fleet=True,
    ):
        self.folder, self.random_source, self.call_count, self.check_tokens = (
            pathlib.Path(folder),
            warmed_up(seed),
            0,
            check_tokens,
        )
        self.seed = seed
        self.fleet = fleet  # False: the same servers without [fleet], for comparison
        self.lease, self.singleton_tasks, self.vote_directories, self.load = (
            lease,
            singleton_tasks,
            vote_directories,
            load,
        )
        self.max_size, self.zones = max_size or count, ("a", "b", "c")
        self.names = [f"n{number}" for number in range(count)]
        self.voters = voters or self.names
        self.effect_service = history_checker.EffectService(boot_clock, check_tokens)
        self.servers = {name: Server(self, name) for name in self.names}
        self.relays = Relays({name: server.peer_address for name, server in self.servers.items()})
        self.stand_ins, self.load_tasks, self.submission_count = [], [], 0

    def new_call(self):
        """Return the next call id, 16 hexadecimal digits."""
        self.call_count += 1
        return f"{self.call_count:016x}"

    def plan(self, workload, body):
        """Draw how the stand-in executor runs a submission: short mostly, 32 ms at most."""
        share = self.random_source.random()
        return Plan(0.002 + 0.03 * share * share, workload == "file", False, workload != "quote")

    # ---- processes and faults

    async def start(self):
        """Start relays, stand-in services, all servers and the load."""
        await self.relays.start()
        effect_service, self.effect_address = await listen(self.effect_service.serve)
        naming_service, naming_address = await listen(naming())
        ledger, ledger_address = await listen(self.ledger)
        self.stand_ins += [effect_service, naming_service, ledger]
        for name, server in self.servers.items():
            stand_in, executor_address = await listen(server.executor.serve)
            self.stand_ins.append(stand_in)
            addresses = {"executor": executor_address, "naming": naming_address, "ledger": ledger_address}
            raw = configuration(addresses, server.listen, 1000 + int(name[1:]))
            raw["name"], raw["settings"]["servers"] = name, len(self.names)
            server.path("config.json").write_text(json.dumps(raw))
            server.path("settings.ini").write_text(self.settings(server))
            self.write_overrides(server)
        await asyncio.gather(*(self.start_server(name) for name in self.names))
        if self.load:
            self.load_tasks = [
                asyncio.get_running_loop().create_task(self.run_gateways(server))
                for server in self.servers.values()
            ]

    @staticmethod
    async def ledger(reader, writer):
        """Serve as the ledger: confirm every body that is posted."""
        await http(reader, writer, lambda first, body: ("200 OK", b"[" + body + b"]"))

    def write_overrides(self, server):
        """Write the file from which `member` builds the server's injected dependencies."""
        server.path("seams.json").write_text(
            json.dumps(
                {
                    "clock": str(server.clock_path),
                    "notes": str(server.records_path),
                    "wall": server.wall_clock_offset,
                    "full": str(server.path("full")),
                    "relays": [
                        {"of": self.servers[other].peer_address, "through": address}
                        for (dialer, other), address in self.relays.relay_addresses.items()
                        if dialer == server.name
                    ],
                }
            )
        )

    def settings(self, server, singleton_tasks=None):
        """Return the text of a server's operator file."""
        seeds = ", ".join("%s:%d" % self.servers[name].peer_address for name in self.names[:3])
        effect = f"{sys.executable} -I -S {EFFECT_SCRIPT} 127.0.0.1 {self.effect_address[1]}"
        if not self.fleet:
            return f"[control]\nsocket = {server.path('socket')}\n"
        return "\n".join(
            [
                "[fleet]",
                "name = lab",
                "listen = %s:%d" % server.peer_address,
                f"seeds = {seeds}",
                f"voters = {', '.join(self.voters)}",
                "even = on",
                f"zone = {self.zones[int(server.name[1:]) % 3]}",
                f"lease = {1000 * self.lease:g} ms",
                f"probe = {1000 * self.lease / 2:g} ms",
                f"largest = {self.max_size}",
                *([f"folder = {server.path('vote')}"] if self.vote_directories else []),
                "[control]",
                f"socket = {server.path('socket')}",
                "",
                (self.singleton_tasks if singleton_tasks is None else singleton_tasks).format(effect=effect),
            ]
        )

    async def start_server(self, name):
        """Start a new process of a server."""
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
                env={key: value for key, value in os.environ.items() if not key.startswith("EDGE_")},
            )
        server.stopped = False

    async def kill(self, name, wipe=False):
        """End a server by SIGKILL; `wipe` also removes its vote directory."""
        server = self.servers[name]
        if server.process is None or server.process.returncode is not None:
            return
        process_tree = self.process_tree(server)
        server.process.kill()
        await server.process.wait()
        # Its records may have earlier times than this, but none has a later one.
        server.boot_death_times.append(boot_clock())
        server.death_times[server.life] = time.monotonic()
        for process in process_tree:  # stopped with the server; nothing else resumes them
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGCONT)
        server.stopped = False
        if wipe:
            shutil.rmtree(server.path("vote"), ignore_errors=True)

    async def terminate(self, name, timeout=8.0):
        """End a server by SIGTERM, by SIGKILL after `timeout` seconds, and return the exit code."""
        server = self.servers[name]
        self.resume(name)
        server.process.terminate()
        try:
            code = await asyncio.wait_for(server.process.wait(), timeout)
        except asyncio.TimeoutError:
            server.process.kill()
            code = await server.process.wait()
        server.boot_death_times.append(boot_clock())
        server.death_times[server.life] = time.monotonic()
        return code

    def process_tree(self, server):
        """Return the ids of the server's process and all its descendants."""
        return [server.process.pid, *descendants_of([server.process.pid])]

    def stop(self, name, with_commands=True):
        """Send SIGSTOP to the server and, as if its machine stood still, to its commands too."""
        server = self.servers[name]
        if server.process is None or server.process.returncode is not None or server.stopped:
            return
        server.stopped = True
        server.stopped_processes = self.process_tree(server) if with_commands else [server.process.pid]
        for process in server.stopped_processes:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGSTOP)
        server.stopped_periods.append([time.monotonic(), float("inf")])

    def resume(self, name, pause=0.0):
        """Send SIGCONT to commands before their guards, `pause` seconds apart.

        A command can so execute the effect that it was about to send before its guard ends it.
        """
        server = self.servers[name]
        if not server.stopped:
            return
        server.stopped = False
        server.stopped_periods[-1][1] = time.monotonic()
        for process in reversed(server.stopped_processes):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process, signal.SIGCONT)
            if pause:
                time.sleep(pause)

    def set_clock_rate(self, name, rate):
        """Let the server's clock advance at `rate` times real time from now on; 0 stops it."""
        server = self.servers[name]
        from .member import CLOCK

        old_rate, own_time, true_time = CLOCK.unpack(server.clock_path.read_bytes())
        now = boot_clock()
        write_clock(server.clock_path, rate, own_time + old_rate * (now - true_time), now)

    def partition(self, side):
        """Block both directions between the servers in `side` and the others."""
        for sender, receiver in self.relays.directions:
            if (sender in side) != (receiver in side):
                self.relays.directions[sender, receiver].pause()

    def heal(self, reset_links=False):
        """Unblock all directions; `reset_links` also resets the connections that were blocked."""
        for (sender, receiver), direction in self.relays.directions.items():
            if not direction.open.is_set():
                if reset_links:
                    self.relays.break_links(sender, receiver)
                direction.resume()

    async def close(self):
        """Cancel the load, kill all servers and close relays and stand-in services."""
        self.heal()
        for task in self.load_tasks:
            task.cancel()
        await asyncio.gather(*self.load_tasks, return_exceptions=True)
        for name, server in self.servers.items():
            self.resume(name)
            await self.kill(name)
            server.executor.close()
        self.relays.close()
        for stand_in in self.stand_ins:
            stand_in.close()

    # ---- control requests

    async def request_control(self, name, request, timeout=2.0):
        """Return the response of a server's control socket, or None after an error or `timeout` seconds."""

        async def exchange():
            path = str(self.servers[name].path("socket"))
            reader, writer = await asyncio.open_unix_connection(path, limit=1 << 20)
            writer.write(json.dumps(request).encode() + b"\n")
            try:
                return json.loads(await reader.readline())
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, ValueError, asyncio.TimeoutError):
            return None

    async def status(self, name):
        """Return the cluster's part of a server's status, or None."""
        response = await self.request_control(name, {"do": "status"})
        return response["status"]["fleet"] if response and response["good"] else None

    async def leader(self):
        """Return the name of the first server whose status reports a lease, or None."""
        for name, server in self.servers.items():
            if server.process is not None and server.process.returncode is None and not server.stopped:
                fleet = await self.status(name)
                if fleet is not None and fleet["lease_left_s"]:
                    return name
        return None

    async def wait_until(self, condition, timeout=20.0):
        """Return the coroutine function's first true result; raise TimeoutError after `timeout` seconds."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            found = await condition()
            if found:
                return found
            await asyncio.sleep(0.05)
        raise TimeoutError(condition)

    async def wait_for_leader(self, timeout=20.0, other_than=None):
        """Return the leader's name as soon as there is one other than `other_than`."""

        async def other():
            leader = await self.leader()
            return leader if leader != other_than else None

        return await self.wait_until(other, timeout)

    # ---- load

    async def run_gateways(self, server):
        """Send submissions to one server from two gateways until cancelled; a key is retried there alone."""
        gateways = [Gateway(server.listen, number, server) for number in range(2)]
        loop, tasks = asyncio.get_running_loop(), set()
        try:
            while True:
                self.submission_count += 1
                workload = ("quote", "book", "file")[self.submission_count % 3]
                task = loop.create_task(
                    gateways[self.submission_count % 2].submit(
                        f"{server.name}-{self.submission_count}", workload, most=4
                    )
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / self.load)
        finally:
            for task in tasks:
                task.cancel()
            for gateway in gateways:
                gateway.close()

    def check_load(self):
        """Return the counts (submissions, twice, lost, wrong).

        Submissions that ended within 3 s of a time in which their server was stopped are left out.
        """
        totals = [0, 0, 0, 0]
        for server in self.servers.values():

            def excused(one, stopped_periods=server.stopped_periods):
                return any(start - 3.0 <= one.at and one.at <= end + 3.0 for start, end in stopped_periods)

            verdict = check(
                [one for one in server.tries if not excused(one)],
                server.doubled,
                server.executor,
                server.death_times,
            )
            for index, count in enumerate(
                (verdict.submissions, len(verdict.twice), len(verdict.lost), len(verdict.wrong))
            ):
                totals[index] += count
        return totals

    # ---- checks

    def check_history(self):
        """Return the counts of invariant violations and other figures by their printed keys."""
        records = history_checker.read_records(
            {name: server.records_path for name, server in self.servers.items()}
        )
        leaderships = history_checker.leadership_records(records)
        guaranteed_quota = CALL_CAP / self.max_size
        submissions, twice, lost, wrong = self.check_load()
        leaderless_times = history_checker.leaderless_gaps(leaderships)
        return {
            "terms": len({term for _, term, _ in leaderships}),
            "owners_at_once": len(history_checker.overlapping_leaders(leaderships)),
            "effects": len(self.effect_service.effects),
            "stale_effects_refused": self.effect_service.stale_refused(),
            "stale_effects_done": self.effect_service.stale_executed(),
            "two_under_one_fence": len(self.effect_service.tokens_shared_by_servers()),
            "shares_over_cap": len(
                history_checker.quota_violations(
                    records,
                    {name: server.boot_death_times for name, server in self.servers.items()},
                    CALL_CAP,
                    guaranteed_quota,
                    self.max_size,
                )
            ),
            "unowned_p50": history_checker.format_percentile(leaderless_times, 0.5),
            "unowned_p99": history_checker.format_percentile(leaderless_times, 0.99),
            "submissions": submissions,
            "twice": twice,
            "lost": lost,
            "wrong": wrong,
        }
