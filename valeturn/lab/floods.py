"""Run several server processes under connection floods, restarts and faults, and check every submission.

    python -m valeturn.lab.floods [SEEDS [FIRST]]

The servers are real processes of the program; the executor, the ledger, the name service and the gateways
are stand-ins in this process. Faults of a server: it is asked to stop, killed, paused, or given new
addresses; its link to the executor is cut or carries malformed lines. The ledger rejects calls, closes
connections or does not answer; the name service does not answer. Callers open many connections at once, stop
within a frame, reset, close only their sending side, or stay idle until the server closes the connection.
After a run the checker looks up the outcome of every submission.
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
from .checker import CUT, DEATH_NOTICE_DELAY_S, DELIVERED, SILENT, TURNED_BACK
from .executor import Executor, Plan
from .gateways import OUTCOMES_BY_CODE, Connection, decode_answer, encode_frame, encode_submission
from .restarts import configuration
from .services import http, listen

DRAIN_GRACE_S = 0.3  # after SIGTERM, how long new requests are still served
# From SIGTERM to the forced stop: five times the grace, so that idle connections are closed within it.
STOP_TIMEOUT_S = 1.5
CALLER_DEADLINE_S = 2.0  # how long a caller waits: the workloads' give_up_ms
# A submission sent this shortly before an orderly close may be lost without a violation: the protocol
# specification allows 50 ms, the rest is for a loaded machine.
CLOSE_RACE_S = 0.15
START_TIMEOUT_S = 20.0  # until a process answers health checks: the specification gives 30
EXIT_SLACK_S = 0.5  # a process that still runs this long after the forced stop counts as hanging
GATEWAYS_PER_SERVER, CONCURRENT_PER_GATEWAY = 2, 6  # the latter: submissions that each has open
# Arguments of the Python interpreter that start a server; the path of the configuration follows.
SERVE_ARGUMENTS = ("-m", "valeturn", "serve", "--config")


class SentSubmission(NamedTuple):
    """One submission and its outcome as the caller saw them."""

    server: int  # its number
    incarnation: int  # of the server's process, counted from 1
    key: str
    workload: str
    call: str
    sent: float  # monotonic time in seconds
    ended: float  # monotonic time in seconds of the answer, the cut or the timeout
    outcome: str  # one of the outcomes in checker.py
    result: bytes


class Violations(NamedTuple):
    """The violations that the checker found; the field names are keys of the printed report."""

    lost: list  # submissions without an answer and without an excuse
    twice: list  # effects of the workloads book and file, and ledger calls, that happened more than once
    wrong: list  # second answers, rejections of what ran, and results that differ from the executor's
    crashed: list  # processes that ended unasked, exited late or with another code than 0, or never served
    faults: list  # error lines and tracebacks in the servers' logs

    def good(self):
        """Return whether there is no violation."""
        return not any(self)


class Ledger:
    """The stand-in ledger, shared by all servers. Counts the calls that may have had their effect."""

    def __init__(self, random_source):
        self.random_source, self.failure_probability, self.calls = random_source, 0.0, Counter()

    async def serve(self, reader, writer):
        """Serve one connection, or fail it: close it unread, answer 503 without effect, or delay it."""
        if self.random_source.random() < self.failure_probability:
            failure_kind = self.random_source.random()
            if failure_kind < 0.3:
                return  # closed before anything is read
            await reader.readuntil(b"\r\n\r\n")
            if failure_kind < 0.5:
                writer.write(b"HTTP/1.1 503 No\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n")
                return
            if failure_kind < 0.7:
                await asyncio.sleep(3.0)
        await http(reader, writer, self.answer)

    def answer(self, request_line, body):
        """Count one call and return its status and body; some calls fail after their effect."""
        self.calls[body] += 1
        if self.random_source.random() < self.failure_probability / 3:
            return "500 Failed", b""
        return "200 OK", b"[" + body + b"]"


class NameService:
    """The stand-in name service: counts reports, or leaves them unanswered while it is silent."""

    def __init__(self):
        self.silent, self.reports = False, 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        if self.silent:
            await reader.read(4096)
            await asyncio.sleep(2.0)
            return
        self.reports += 1
        await http(reader, writer, lambda request_line, body: ("204 No Content", b""))


class Server:
    """One server: its process, restarted at one address, with a new executor for each incarnation."""

    def __init__(self, environment, number):
        self.environment, self.number, self.incarnation, self.process = environment, number, 0, None
        # Faults depend on the seed alone. Run times have a source of their own, because they also depend on
        # the order in which submissions arrive.
        self.random_source, self.run_random_source = (
            SeededRandom(environment.seed * 7919 + number),
            SeededRandom(environment.seed * 104729 + number),
        )
        self.executors, self.killed_at, self.pauses, self.crashed = {}, {}, [], []
        self.folder = environment.folder / f"server-{number}"
        self.folder.mkdir(parents=True)
        self.config = self.folder / "config.json"

    def plan(self, workload, body):
        """Draw the duration and the outcome of one run."""
        share = self.run_random_source.random()
        return Plan(
            0.002 + 0.04 * share * share,
            workload == "file",
            self.run_random_source.random() < 0.02,
            workload != "quote",
        )

    async def set_up(self):
        """Listen for the executor link, reserve the server's address and write its configuration."""
        _, self.link_address = await listen(self.join)
        self.address = reserve_address()
        self.write_configuration()

    async def join(self, reader, writer):
        """Serve an executor link with the executor of the current incarnation."""
        await self.executors[self.incarnation].serve(reader, writer)

    def write_configuration(self):
        """Write the server's configuration with drawn addresses of the ledger and the name service."""
        addresses = {
            "executor": self.link_address,
            "ledger": self.choose(self.environment.ledger_addresses),
            "naming": self.choose(self.environment.name_service_addresses),
        }
        raw_configuration = configuration(addresses, self.address, 1 + self.number)
        raw_configuration["name"], raw_configuration["stop_ms"] = f"n{self.number}", 1000 * STOP_TIMEOUT_S
        # Few sockets, so that connections run out.
        raw_configuration["limits"] = {"cores": 1.0, "memory_mb": 48, "sockets": 72}
        raw_configuration["settings"]["rules"]["drain_grace_ms"] = 1000 * self.environment.drain_grace_s
        self.config.write_text(json.dumps(raw_configuration))

    def choose(self, choices):
        """Draw one of the choices."""
        return choices[int(self.random_source.random() * len(choices))]

    def start_process(self):
        """Start the next incarnation; its process may still wait until its predecessor frees the address."""
        self.incarnation += 1
        self.executors[self.incarnation] = Executor(self.plan)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.environment.serve, str(self.config)],
                cwd=self.environment.root,
                stdout=log,
                stderr=log,
                env=self.environment.env,
            )

    async def wait_until_serving(self):
        """Wait until the server answers a health check that it serves; note a violation after a timeout."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(encode_frame(1, 1, b"\0"))
                    answer = await asyncio.wait_for(reader.readexactly(10), 1.0)
                    if answer[4] == 2 and answer[9] == 1:
                        return
                except (asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
                finally:
                    writer.close()
            await asyncio.sleep(0.02)
        self.crashed.append(("never served", self.number, self.incarnation))

    async def wait_for_exit(self, process, timeout_s):
        """Return the exit code of the process, or None when it still runs after the timeout."""
        deadline = time.monotonic() + timeout_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        return process.poll()

    async def stop_gracefully(self, overlap=False, twice=False):
        """Stop the process with SIGTERM and note a violation unless it exits in time with code 0.

        Args:
            overlap: Send a SIGHUP shortly after, while the process drains.
            twice: Send a second SIGTERM.
        """
        process, incarnation = self.process, self.incarnation
        process.send_signal(signal.SIGTERM)
        if overlap:
            await asyncio.sleep(0.2 * self.random_source.random())
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGHUP)
        if twice:
            process.send_signal(signal.SIGTERM)
        code = await self.wait_for_exit(process, STOP_TIMEOUT_S + EXIT_SLACK_S)
        if code != 0:
            self.crashed.append(("hangs" if code is None else f"code {code}", self.number, incarnation))
            process.kill()
            process.wait()

    async def restart(self):
        """Stop the process gracefully and start the next incarnation."""
        await self.stop_gracefully(self.random_source.random() < 0.5, self.random_source.random() < 0.3)
        self.start_process()
        await self.wait_until_serving()

    async def kill(self):
        """Kill the process and its executor, and start the next incarnation."""
        if self.process.poll() is not None:
            self.crashed.append((f"code {self.process.returncode}", self.number, self.incarnation))
        self.process.kill()
        self.killed_at[self.incarnation] = time.monotonic()
        self.process.wait()
        self.executors[self.incarnation].close()
        self.start_process()
        await self.wait_until_serving()

    async def pause(self):
        """Suspend the process for 50 to 300 ms, and note the period."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.05 + 0.25 * self.random_source.random())
        self.process.send_signal(signal.SIGCONT)
        self.pauses.append((began, time.monotonic()))

    async def reload_addresses(self):
        """Write new addresses and have them reloaded, twice in a row."""
        for _ in range(2):
            self.write_configuration()
            self.process.send_signal(signal.SIGHUP)

    async def cut_link(self):
        """Abort the executor link, in half of the cases in the middle of a line."""
        link = self.executors[self.incarnation].link
        if link is not None and not link.is_closing():
            if self.random_source.random() < 0.5:
                link.write(b'{"t":"EXIT","no":')
            link.transport.abort()

    async def send_malformed_line(self):
        """Send a line that is no message over the executor link."""
        link = self.executors[self.incarnation].link
        if link is not None and not link.is_closing():
            link.write(b"no line of anybody\n")

    async def flood(self):
        """Open 30 connections at once that misbehave in drawn ways, and wait until they have ended."""
        kinds = [
            self.silent,
            self.send_partial_frame,
            self.send_garbage,
            self.send_and_reset,
            self.idle_until_closed,
            self.send_health_checks,
            self.send_and_half_close,
        ]
        await asyncio.gather(*(self.run_connection(self.choose(kinds)) for _ in range(30)))

    async def run_connection(self, kind):
        """Open a connection and run one of the misbehaviours below on it, for at most 4 s."""
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                await asyncio.wait_for(kind(reader, writer), 4.0)
            finally:
                writer.close()

    async def silent(self, reader, writer):
        """Send nothing."""
        await reader.read()

    async def send_partial_frame(self, reader, writer):
        """Send a submission without its last 3 bytes."""
        writer.write(
            encode_submission(1, "quote", self.environment.new_call(), b"half", CALLER_DEADLINE_S)[:-3]
        )
        await reader.read()

    async def send_garbage(self, reader, writer):
        """Send 200 random bytes."""
        writer.write(bytes(int(256 * self.random_source.random()) for _ in range(200)))
        await reader.read()

    async def send_and_reset(self, reader, writer):
        """Send a submission and reset the connection within 30 ms."""
        writer.write(encode_submission(1, "quote", self.environment.new_call(), b"reset", CALLER_DEADLINE_S))
        linger_option = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_option)
        await asyncio.sleep(0.03 * self.random_source.random())

    async def idle_until_closed(self, reader, writer):
        """Send one health check and stay idle until the server closes the connection."""
        writer.write(encode_frame(1, 1, b"\0"))
        await reader.read()

    async def send_health_checks(self, reader, writer):
        """Send 199 health checks, each with its withdrawal."""
        writer.write(
            b"".join(
                encode_frame(1, stream, b"\0") + encode_frame(9, stream, b"") for stream in range(1, 200)
            )
        )
        await reader.read()

    async def send_and_half_close(self, reader, writer):
        """Send a submission, close the sending side and read to the end: exactly one answer is due."""
        incarnation, call, began = self.incarnation, self.environment.new_call(), time.monotonic()
        writer.write(encode_submission(1, "quote", call, b"half closed", CALLER_DEADLINE_S))
        await asyncio.sleep(0.02 * self.random_source.random())
        writer.write_eof()
        outcome, data = CUT, await reader.read()
        while len(data) >= 9:
            length, kind, stream = struct.unpack_from("<IBI", data)
            if kind == 8 and stream == 1:
                outcome = OUTCOMES_BY_CODE[decode_answer(data[9 : 4 + length])[0]]
            data = data[4 + length :]
        now = time.monotonic()
        self.environment.sent.append(
            SentSubmission(self.number, incarnation, "half closed", "quote", call, began, now, outcome, b"")
        )

    FAULTS = (
        restart,
        restart,
        kill,
        pause,
        reload_addresses,
        cut_link,
        cut_link,
        send_malformed_line,
        flood,
        flood,
    )

    async def inject_faults(self, fault_count):
        """Draw and apply faults one after another; end early when the process has ended by itself."""
        for _ in range(fault_count):
            await asyncio.sleep(0.1 + 0.3 * self.random_source.random())
            if self.process.poll() is not None:
                self.crashed.append((f"code {self.process.returncode}", self.number, self.incarnation))
                return
            await self.choose(self.environment.kinds)(self)


class Environment:
    """The servers, their stand-in services and their callers, and what all of them observed.

    Args:
        folder: For the servers' files.
        seed: Of all random draws.
        servers: How many servers run.
        serve: Arguments of the Python interpreter that start a server.
        kinds: The methods of Server that faults are drawn from.
    """

    root = pathlib.Path(__file__).resolve().parents[2]

    def __init__(self, folder, seed, servers, serve=SERVE_ARGUMENTS, kinds=Server.FAULTS):
        self.folder, self.seed, self.serve, self.kinds = folder, seed, serve, kinds
        self.env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        self.random_source, self.calls, self.stopping = SeededRandom(seed), 0, False
        self.sent, self.answered_twice, self.connections = [], [], []
        self.ledger, self.name_service = Ledger(self.random_source), NameService()
        self.drain_grace_s = DRAIN_GRACE_S
        self.servers = [Server(self, number) for number in range(servers)]

    def new_call(self):
        """Return a new submission id."""
        self.calls += 1
        return f"{self.calls:016x}"

    async def run_faults(self, faults):
        """Run this many faults on each server, stop all servers and return the violations."""
        self.ledger_addresses = [(await listen(self.ledger.serve))[1] for _ in range(2)]
        self.name_service_addresses = [(await listen(self.name_service.serve))[1] for _ in range(2)]
        for one in self.servers:
            await one.set_up()
            one.start_process()
        await asyncio.gather(*(one.wait_until_serving() for one in self.servers))
        caller_tasks = [
            asyncio.ensure_future(self.run_caller(one, number))
            for one in self.servers
            for number in range(GATEWAYS_PER_SERVER)
        ]
        stand_in_failures = asyncio.ensure_future(self.vary_stand_in_failures())
        await asyncio.gather(*(one.inject_faults(faults) for one in self.servers))
        self.stopping = True
        await asyncio.gather(*caller_tasks)
        stand_in_failures.cancel()
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()
        await asyncio.gather(*(one.stop_gracefully() for one in self.servers if one.process.poll() is None))
        return self.check_outcomes()

    async def vary_stand_in_failures(self):
        """Decide every 0.3 s anew whether the ledger fails and whether the name service is silent."""
        while True:
            self.ledger.failure_probability = 0.5 if self.random_source.random() < 0.3 else 0.0
            self.name_service.silent = self.random_source.random() < 0.3
            await asyncio.sleep(0.3)

    # ---- callers

    async def run_caller(self, server, number):
        """Submit on one connection, several at a time, and reconnect when it ends."""
        slot, key_numbers = [None, 0], itertools.count(1)

        async def submit_in_turn(lane):
            while not self.stopping:
                await self.submit_once(server, slot, f"{server.number}-{number}-{lane}-{next(key_numbers)}")
                await asyncio.sleep(0.02 * self.random_source.random())

        await asyncio.gather(*(submit_in_turn(lane) for lane in range(CONCURRENT_PER_GATEWAY)))

    async def connection(self, server, slot):
        """Return the connection in the slot and its server's incarnation; connect again if necessary.

        The connection is None while the server does not accept one.
        """
        connection, _ = slot
        if connection is None or connection.ended or connection.draining:
            incarnation = server.incarnation
            try:
                reader, writer = await asyncio.open_connection(*server.address)
            except OSError:
                return None, incarnation
            if incarnation != server.incarnation:  # which incarnation accepted it is unknown
                writer.close()
                return None, incarnation
            slot[:] = Connection(reader, writer, self.answered_twice.append), incarnation
            self.connections.append(slot[0])
        return slot

    async def submit_once(self, server, slot, key):
        """Send one submission of a drawn workload; some of the workload book are sent twice."""
        connection, incarnation = await self.connection(server, slot)
        if connection is None:
            await asyncio.sleep(0.02)
            return
        share = self.random_source.random()
        workload = "book" if share < 0.4 else "file" if share < 0.7 else "quote"
        copies = 2 if workload == "book" and self.random_source.random() < 0.3 else 1
        await asyncio.gather(
            *(
                self.send_submission(server, connection, incarnation, key, workload, index)
                for index in range(copies)
            )
        )

    async def send_submission(self, server, connection, incarnation, key, workload, repeat_index):
        """Send one submission and note its outcome.

        A repeat is delayed by up to 60 ms, so that it arrives with the first one, while that runs, or as it
        ends.
        """
        await asyncio.sleep(0.06 * self.random_source.random() * repeat_index)
        call, sent = self.new_call(), time.monotonic()
        deduplication_key = key if workload == "book" else None
        answer = await connection.send_submission(
            workload, call, key.encode(), CALLER_DEADLINE_S, deduplication_key, 1
        )
        outcome, result = (
            (answer, b"") if isinstance(answer, str) else (OUTCOMES_BY_CODE[answer[0]], answer[2])
        )
        if connection.ended and outcome == CUT and sent + 0.001 > time.monotonic():
            return  # the connection had ended before: nothing was written
        self.sent.append(
            SentSubmission(
                server.number, incarnation, key, workload, call, sent, time.monotonic(), outcome, result
            )
        )

    # ---- the checker

    def check_outcomes(self):
        """Compare what callers were answered with what the executors ran, and read the logs."""
        lost, wrong, crashed, faults = [], [("two answers", call) for call in self.answered_twice], [], []
        runs, effects, results = {}, Counter(), {}
        for server in self.servers:
            crashed += server.crashed
            for executor in server.executors.values():
                runs.update(executor.calls)
                effects.update(executor.effects)
                results.update(executor.results)
            log = (server.folder / "log").read_text(errors="replace")
            faults += [line for line in log.splitlines() if "level=error" in line or "Traceback" in line]
        twice = [
            (effect, count)
            for effect, count in effects.items()
            if effect[0] in ("book", "file") and count > 1
        ]
        twice += [("call", body, count) for body, count in self.ledger.calls.items() if count > 1]
        for one in self.sent:
            if one.outcome in (CUT, SILENT):
                if not self.is_excused(one, runs):
                    lost.append(one)
            elif one.outcome == TURNED_BACK and one.call in runs:
                wrong.append(("turned back though it ran", one))
            elif (
                one.outcome == DELIVERED
                and one.workload != "quote"
                and (one.result != results.get((one.workload, one.key.encode())))
            ):
                wrong.append(("another result", one))
        return Violations(lost, twice, wrong, crashed, faults)

    def is_excused(self, one, runs):
        """Return whether a submission may stay unanswered.

        Its server was killed or paused, or it was sent during an orderly close and never ran.
        """
        server = self.servers[one.server]
        if one.ended > server.killed_at.get(one.incarnation, 1e300) - DEATH_NOTICE_DELAY_S:
            return True
        if one.outcome == SILENT:
            return any(began < one.ended and one.sent < until for began, until in server.pauses)
        return one.call not in runs and one.ended - one.sent < CLOSE_RACE_S


def run_flood(folder, seed, servers=3, faults=8, serve=SERVE_ARGUMENTS, kinds=Server.FAULTS):
    """Run one seed, and return its violations and its environment."""
    environment = Environment(folder, seed, servers, serve, kinds)
    try:
        return asyncio.run(environment.run_faults(faults)), environment
    finally:
        for server in environment.servers:
            if server.process is not None and server.process.poll() is None:
                server.process.kill()
                server.process.wait()


def main(seeds=1, first=1):
    """Run the seeds, print a line of figures for each, and return 1 when there was a violation."""
    bad = 0
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="valeturn-floods-"))
        violations, environment = run_flood(folder, seed)
        counts = " ".join(f"{name}={len(value)}" for name, value in violations._asdict().items())
        outcomes = Counter(one.outcome for one in environment.sent)
        incarnations = sum(server.incarnation for server in environment.servers)
        print(
            f"seed={seed} lives={incarnations} submissions={len(environment.sent)} "
            f"delivered={outcomes[DELIVERED]} turned_back={outcomes[TURNED_BACK]} "
            f"cut={outcomes[CUT]} {counts}",
            flush=True,
        )
        for name, value in violations._asdict().items():
            for one in value[:5]:
                print(f"{name}: {one}", file=sys.stderr)
        bad += not violations.good()
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
