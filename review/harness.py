"""Stand-ins and helpers that the cases of this review share; standard library only.

The stand-ins follow kit/real/PROTOCOL.md: an executor that owns the cores, a ledger, a name service and a
gateway. Every address is 127.0.0.1 with a free port; files go to a temporary folder.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TICK_S = 0.005  # of the executor's clock
KEPT_NOTICES = 4000
SUBMISSION, ANSWER, CANCEL, HEALTH_CHECK, HEALTH = 7, 8, 9, 1, 2
PORTS_GIVEN: set[int] = set()
OUTCOMES = {1: "served", 0: "refused", 9: "failed"}


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now, below those that the kernel gives to connections.

    A port of the kernel's own range could be taken by a connection before the server listens on it.
    """
    while True:
        port = random.randrange(12000, 32000)
        if port in PORTS_GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        PORTS_GIVEN.add(port)
        return port


class Executor:
    """Runs submissions on its cores and reports their ends; `work_of(body)` is the work of a run in seconds.

    Runs share the cores. KILL ends a run, and what was done is lost (halt = drop).
    """

    def __init__(self, record, cores, work_of, result_of=lambda route, body: body) -> None:
        self.record, self.cores, self.work_of, self.result_of = record, cores, work_of, result_of
        self.link, self.number, self.notices, self.joins = None, 0, [], 0
        self.running = {}  # id -> [route, body, remaining work, time of the start]
        self.ended, self.started = (
            set(),
            [],
        )  # ids; (id, route, body) of each run in the order of their starts
        self.lose_start = lambda route, body: False  # whether the link breaks and this EXEC is lost with it

    def write(self, message) -> None:
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(message).encode() + b"\n")

    def notice(self, **message) -> None:
        self.number += 1
        message["no"] = self.number
        self.notices = [*self.notices[-KEPT_NOTICES + 1 :], message]
        self.write(message)

    async def serve(self, reader, writer) -> None:
        """Handle one link; a new one replaces the one before."""
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if message["t"] == "JOIN":
                    if self.link is not None:
                        self.link.close()
                    self.link = writer
                    self.joins += 1
                    self.record(f"executor: link {self.joins} joined after notice {message['no']}")
                    if message["no"] == 0:  # each start of the server numbers notices anew from 1
                        for number, kept in enumerate(self.notices, 1):
                            kept["no"] = number
                        self.number = len(self.notices)
                    self.write({"t": "WELCOME", "status": "steady", "time_ms": 600000})
                    for kept in self.notices:
                        if kept["no"] > message["no"]:
                            self.write(kept)
                elif message["t"] == "EXEC":
                    body = base64.b64decode(message["b64"])
                    if self.lose_start(message["route"], body):
                        self.record(
                            f"executor: the link breaks; EXEC {message['rid']} {body!r} is lost with it"
                        )
                        self.link = None
                        break
                    self.start(message["rid"], message["route"], body)
                elif message["t"] == "KILL":
                    self.record(f"executor: KILL {message['rid']}, runs: {message['rid'] in self.running}")
                    run = self.running.pop(message["rid"], None)
                    if run is not None:
                        took = 1000 * (time.monotonic() - run[3])
                        self.notice(t="EXIT", rid=message["rid"], status="interrupted", time_ms=took)
                elif message["t"] == "METER":
                    busy = min(1.0, len(self.running) / self.cores)
                    self.write(
                        {"t": "METERS", "mark": message["mark"], "v": [busy, len(self.running), 0.1, 2]}
                    )
                elif message["t"] == "DIAG":
                    self.write({"t": "DIAGNOSED", "mark": message["mark"], "status": "success"})
        except ConnectionError:
            pass
        finally:
            writer.close()

    def start(self, rid, route, body) -> None:
        if rid not in self.running and rid not in self.ended:
            self.started.append((rid, route, body))
            self.record(f"executor: run {rid} {route} {body!r} begins")
            self.running[rid] = [route, body, self.work_of(body), time.monotonic()]

    async def work(self) -> None:
        """Let the cores work, shared by all runs; a task for the whole case."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            share = min(1.0, self.cores / max(1, len(self.running))) * (now - before)
            before = now
            for rid, run in list(self.running.items()):
                run[2] -= share
                if run[2] <= 0:
                    del self.running[rid]
                    self.ended.add(rid)
                    result = self.result_of(run[0], run[1])
                    self.record(f"executor: run {rid} {run[0]} {run[1]!r} ends")
                    took = 1000 * (now - run[3])
                    encoded = base64.b64encode(result).decode()
                    self.notice(t="EXIT", rid=rid, status="success", time_ms=took, b64=encoded)


async def serve_http(reader, writer, status, result) -> None:
    """Serve HTTP/1.1 requests with one status; `result(body)` is the body of the reply."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lengths = [line for line in head.split("\r\n") if line.lower().startswith("content-length:")]
            body = await reader.readexactly(int(lengths[0].partition(":")[2]) if lengths else 0)
            reply = result(body)
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(reply)}\r\n\r\n".encode() + reply)
    writer.close()


class Gateway:
    """One connection of a gateway; `answers` has the answers by the name that the case gave to a request."""

    def __init__(self, record, name, number) -> None:
        self.record, self.name, self.number = record, name, number
        self.stream, self.names, self.answers, self.errors = 0, {}, {}, 0

    async def connect(self, port) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self.read())

    def send(self, name, op, body, work_ms, quiet=False, **more) -> str:
        """Send a request and return its call id."""
        self.stream += 1
        call = os.urandom(8).hex()
        self.names[self.stream] = name
        fields = {
            "op": op,
            "call": call,
            "recv": str(int(1000 * time.time())),
            "src": str(self.number),
            "work": f"{work_ms:.2f}",
            "heap": "8.0",
            "crit": "0.5000",
            **more,
        }
        pieces = [bytes((len(fields),))]
        for field, value in fields.items():
            pieces += [bytes((len(field),)), field.encode(), struct.pack("<H", len(value)), value.encode()]
        payload = b"".join(pieces) + body
        self.writer.write(struct.pack("<IBI", len(payload) + 5, SUBMISSION, self.stream) + payload)
        if not quiet:
            shown = " ".join(f"{field}={more[field]}" for field in more)
            self.record(f"{self.name}: sends {name}: op={op} call={call} {shown} body={body!r}")
        return call

    async def read(self) -> None:
        """Take answers; a task for the life of the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                if kind != ANSWER:
                    continue
                offset = 2
                for _ in range(payload[1]):
                    offset += 1 + payload[offset]
                    offset += 2 + struct.unpack_from("<H", payload, offset)[0]
                name = self.names.get(stream, f"stream {stream}")
                self.answers.setdefault(name, []).append((OUTCOMES[payload[0]], payload[offset:]))
                if not name.startswith("filler"):
                    self.record(f"{self.name}: answer to {name}: {self.answers[name][-1]}")
        self.record(f"{self.name}: the connection has ended")


class Server:
    """One process of the program, started as in the deploy file, with an operator's file if one is given."""

    def __init__(self, record, folder, name, settings, operator_file="", stop_ms=3000, **ports) -> None:
        self.record, self.folder, self.name = record, folder / name, name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.port, self.process = free_port(), None
        self.log_path = self.folder / "log.txt"
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "5eed",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            **{key: f"127.0.0.1:{port}" for key, port in ports.items()},
        }
        (self.folder / "config.json").write_text(json.dumps(configuration))
        (self.folder / "valeturn.ini").write_text(operator_file)
        self.command = "exec .venv/bin/python -m valeturn"
        if operator_file:
            self.command += f" serve --settings {self.folder / 'valeturn.ini'}"

    async def start(self) -> None:
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"{self.name}: process {self.process.pid} started")

    async def until_healthy(self, seconds=15.0) -> None:
        """Wait until the server answers a health check well.

        Raises:
            TimeoutError: It does not in time.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                payload = b"\x00"
                writer.write(struct.pack("<IBI", len(payload) + 5, HEALTH_CHECK, 1) + payload)
                length, _, _ = struct.unpack("<IBI", await reader.readexactly(9))
                code = (await reader.readexactly(length - 5))[0]
                writer.close()
                if code == 1:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not healthy")

    def events(self, name) -> list[str]:
        """Return the lines of the log with this event."""
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        return [line for line in text.splitlines() if f"event={name} " in line + " "]

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"{self.name}: process {self.process.pid} gets SIGKILL")
            os.kill(self.process.pid, signal.SIGKILL)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


async def platform(record, executor):
    """Start executor, ledger and name service; return their ports by the keys of the configuration."""
    ports = {}

    async def listen(key, serve):
        ports[key] = free_port()
        await asyncio.start_server(serve, "127.0.0.1", ports[key])

    await listen("executor", executor.serve)
    await listen("ledger", lambda r, w: serve_http(r, w, "200 OK", lambda body: b"[" + body + b"]"))
    await listen("naming", lambda r, w: serve_http(r, w, "204 No Content", lambda body: b""))
    executor.task = asyncio.create_task(executor.work())
    return ports
