"""Measures what a calm gateway and the server's memory suffer from a client that floods the server.

    python -m valeturn.lab.client_floods [KIND...]

The server and the client each run in a process of their own; the stand-in services and the calm gateway share
this one. The calm gateway sends submissions at a steady rate, and the time to each answer is measured.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import statistics
import sys
import tempfile
import time
from collections import Counter
from typing import Final, NamedTuple

from .addresses import reserve_address
from .executor import Executor, Plan
from .flood_client import KINDS
from .gateways import CUT, SILENT, Connection
from .services import ledger, listen, naming

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent.parent
RUN_TIME_S: Final = 0.01
CALM_RATE_PER_S: Final = 50.0
CALM_TIMEOUT_S: Final = 1.5  # the time-out of the workload in the example configuration
START_TIMEOUT_S: Final = 20.0
# The calm gateway begins this long before the flood and ends this long after it.
MARGIN_S: Final = 0.5
OUTCOME_BY_CODE: Final = {1: "served", 0: "rejected", 9: "failed"}


class FloodPlan(NamedTuple):
    """What floods the server, and what the server may use."""

    kind: str  # a key of flood_client.KINDS
    seconds: float = 3.0
    connections: int = 1
    memory_mb: int = 192
    sockets: int = 1024
    root: pathlib.Path = ROOT  # of the source that the server runs


class FloodReport(NamedTuple):
    """What was measured during a flood."""

    answer_times_s: list[float]  # of each submission of the calm gateway that was answered
    outcomes: Counter[str]  # of the calm gateway's submissions
    peak_memory_mb: float  # resident memory of the server, in MB of 2 ** 20 bytes
    memory_before_mb: float
    exit_code: int | None  # of the server, if it ended by itself
    counters: dict[str, float]  # of the server, at its end
    flood: str  # what the flooding client printed

    def median_s(self) -> float:
        """Return the median time to an answer in seconds."""
        return statistics.median(self.answer_times_s) if self.answer_times_s else float("inf")

    def quantile_s(self, share: float) -> float:
        """Return the time within which that share of the answers came, in seconds."""
        ordered = sorted(self.answer_times_s)
        return ordered[int(share * (len(ordered) - 1))] if ordered else float("inf")

    def line(self) -> str:
        """Return the figures in one line."""
        return (
            f"median_ms={1000 * self.median_s():.1f} p99_ms={1000 * self.quantile_s(0.99):.1f} "
            f"outcomes={dict(self.outcomes)} "
            f"memory_mb={self.memory_before_mb:.1f}->{self.peak_memory_mb:.1f} "
            f"exit={self.exit_code} flood={self.flood!r}"
        )


class FloodTrial:
    """One server with its stand-in services, a calm gateway and a flooding client."""

    def __init__(self, plan: FloodPlan, folder: pathlib.Path) -> None:
        """Prepare a trial.

        Args:
            plan: What is played.
            folder: An empty folder for the configuration and the log.
        """
        self.plan = plan
        self.folder = folder
        self.address = reserve_address()
        self.executor = Executor(lambda workload, body: Plan(RUN_TIME_S))
        self.answer_times_s: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self.peak_memory_mb = 0.0

    async def play(self) -> FloodReport:
        """Play the flood and return what was measured."""
        await self.write_configuration()
        process = await self.start_server()
        sampling = asyncio.ensure_future(self.sample_memory(process.pid))
        try:
            await self.wait_until_serving()
            memory_before_mb = resident_memory_mb(process.pid)
            calm = asyncio.ensure_future(self.run_calm_gateway(self.plan.seconds + 2 * MARGIN_S))
            await asyncio.sleep(MARGIN_S)
            flood = await self.run_flood()
            await calm
            exit_code = process.returncode
        finally:
            sampling.cancel()
            if process.returncode is None:
                process.terminate()
                await process.wait()
        return FloodReport(
            self.answer_times_s,
            self.outcomes,
            self.peak_memory_mb,
            memory_before_mb,
            exit_code,
            last_counters(self.folder / "log"),
            flood,
        )

    async def write_configuration(self) -> None:
        """Start the stand-in services, and write the example configuration with their addresses."""
        configuration = json.loads((ROOT / "examples/config.json").read_text())
        services = {"executor": self.executor.serve, "ledger": ledger, "naming": naming()}
        for name, serve in services.items():
            _, (host, port) = await listen(serve)
            configuration[name] = f"{host}:{port}"
        configuration["listen"] = "%s:%d" % self.address
        configuration["limits"] = {
            "cores": 1.0,
            "memory_mb": self.plan.memory_mb,
            "sockets": self.plan.sockets,
        }
        (self.folder / "config.json").write_text(json.dumps(configuration))

    async def start_server(self) -> asyncio.subprocess.Process:
        """Start the server's process."""
        with (self.folder / "log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "valeturn",
                "serve",
                "--config",
                str(self.folder / "config.json"),
                cwd=self.plan.root,
                stdout=log,
                stderr=log,
            )

    async def wait_until_serving(self) -> None:
        """Wait until the server has connected to the executor.

        Raises:
            TimeoutError: It has not in START_TIMEOUT_S.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while "event=welcome" not in (self.folder / "log").read_text():
            if time.monotonic() > deadline:
                raise TimeoutError("the server does not serve")
            await asyncio.sleep(0.02)

    async def sample_memory(self, process_id: int) -> None:
        """Keep the highest resident memory of the server."""
        with contextlib.suppress(OSError):
            while True:
                self.peak_memory_mb = max(self.peak_memory_mb, resident_memory_mb(process_id))
                await asyncio.sleep(0.01)

    async def run_flood(self) -> str:
        """Run the flooding client to its end and return its output."""
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "valeturn.lab.flood_client",
            self.plan.kind,
            *map(str, (*self.address, self.plan.seconds, self.plan.connections)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await client.communicate()
        return output.decode().strip()

    async def run_calm_gateway(self, seconds: float) -> None:
        """Send submissions at a steady rate for some seconds, and wait for all answers."""
        pending = []
        began = time.monotonic()
        connection = None
        for number in range(int(seconds * CALM_RATE_PER_S)):
            if connection is None or connection.ended or connection.draining:
                reader, writer = await asyncio.open_connection(*self.address)
                connection = Connection(reader, writer, lambda call: None)
            pending.append(asyncio.ensure_future(self.submit(connection, number)))
            await asyncio.sleep(max(0.0, began + (number + 1) / CALM_RATE_PER_S - time.monotonic()))
        await asyncio.gather(*pending)

    async def submit(self, connection: Connection, number: int) -> None:
        """Send one submission of the calm gateway and record its outcome."""
        sent_at = time.monotonic()
        answer = await connection.send_submission(
            "look-up", f"ca{number:014x}", b"calm %d" % number, CALM_TIMEOUT_S, None, 1, RUN_TIME_S
        )
        if answer in (CUT, SILENT):
            self.outcomes[answer] += 1
            return
        self.answer_times_s.append(time.monotonic() - sent_at)
        self.outcomes[OUTCOME_BY_CODE[answer[0]]] += 1


def resident_memory_mb(process_id: int) -> float:
    """Return a process's resident memory in MB of 2 ** 20 bytes.

    Raises:
        OSError: The process has ended.
    """
    resident_pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def last_counters(log: pathlib.Path) -> dict[str, float]:
    """Return the counters that a server wrote at its end, by name."""
    lines = [line for line in log.read_text(errors="replace").splitlines() if "event=counters" in line]
    return {
        name: float(value) for line in lines for name, value in re.findall(r"(\S+)=(-?[\d.]+)(?=\s|$)", line)
    }


def measure(plan: FloodPlan) -> FloodReport:
    """Play one flood in a temporary folder and return what was measured."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(FloodTrial(plan, pathlib.Path(folder)).play())


def main(kinds: list[str]) -> int:
    """Measure each of the kinds, or all, and print a line for each."""
    for kind in kinds or list(KINDS):
        print(f"{kind}: {measure(FloodPlan(kind)).line()}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
