"""What the scripts of the second review share: the server as a process, stand-ins and a gateway.

The stand-ins follow the protocol and deployment pages and take nothing from the program under test. All
addresses are loopback addresses with ports that were free, all files lie in one temporary folder, and all
processes end with the script. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could
not be run.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
SERVED, REFUSED, FAILED = 1, 0, 9
NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed", None: "no answer"}


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Lines with the time since the start of the script; written to record.txt at the end."""

    def __init__(self, folder):
        self.path, self.began, self.lines = folder / "record.txt", time.monotonic(), []

    def now(self):
        return round(time.monotonic() - self.began, 3)

    def __call__(self, text):
        line = f"{self.now():8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def save(self):
        self.path.write_text("\n".join(self.lines) + "\n")


GIVEN = set()


def free_port():
    """Return a free port below those that the system gives to stand-ins and to outgoing connections."""
    while True:
        port = random.randrange(10000, 30000)
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            if port not in GIVEN:
                GIVEN.add(port)
                return port


def text_address(port):
    return f"127.0.0.1:{port}"


# ---- stand-ins: executor, ledger, name service


class Executor:
    """Runs submissions on sockets. `running(body)` takes the time of a run; a run has no call.

    A run counts as begun when its command is carried out: that is its effect. `lose(rid, body)` may return
    True for a command that is lost as the link breaks; it does so by `break_link` and within the 50 ms that
    the pages allow.
    """

    def __init__(self, record, running, lose=lambda rid, body: False, result=lambda body: b"result of " + body):
        self.record, self.running, self.lose, self.result = record, running, lose, result
        self.number, self.notices, self.link, self.runs, self.begun = 0, [], None, {}, []
        self.started_at, self.joins, self.ended, self.history = time.time() - 3600, 0, [], []

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            async for line in reader:
                message = json.loads(line)
                if self.link is not writer and message["t"] != "JOIN":
                    continue
                if getattr(self, "on_" + message["t"].lower())(message, writer) == "broken":
                    return

    def write(self, message):
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(message).encode() + b"\n")

    def notice(self, **message):
        self.number += 1
        message["no"] = self.number
        self.notices = [*self.notices, message][-4000:]
        self.write(message)

    def on_join(self, message, writer):
        if self.link is not None and self.link is not writer:
            self.link.close()
        self.link, self.joins = writer, self.joins + 1
        if message["no"] == 0:  # each start of the server numbers notices anew
            self.number, self.notices = 0, []
        self.record(f"executor: joined after notice {message['no']}")
        self.write({"t": "WELCOME", "status": "steady", "time_ms": int(1000 * (time.time() - self.started_at))})
        for notice in self.notices:
            if notice["no"] > message["no"]:
                self.write(notice)

    def break_link(self):
        link, self.link = self.link, None
        link.transport.abort()

    def on_exec(self, message, writer):
        rid, body = message["rid"], base64.b64decode(message["b64"])
        if self.lose(rid, body):
            self.record(f"executor: the link breaks, the start of {rid} ({body.decode()}) is lost with it")
            self.break_link()
            return "broken"
        if rid in self.runs:
            return None
        self.begun.append((rid, message["route"], body))
        self.history.append((self.record.now(), rid, message["route"], body))
        self.runs[rid] = asyncio.get_running_loop().create_task(self.run(rid, message["route"], body))
        return None

    async def run(self, rid, route, body):
        began = time.monotonic()
        await self.running(body)
        self.end(rid, route, body, int(1000 * (time.monotonic() - began)))

    def end(self, rid, route, body, time_ms=10):
        """End a run well, at once."""
        del self.runs[rid]
        self.ended.append((rid, route, body))
        result = base64.b64encode(self.result(body)).decode()
        self.notice(t="EXIT", rid=rid, status="success", time_ms=time_ms, b64=result)

    def on_kill(self, message, writer):
        """Stop a run; what does not run can't be stopped, and nothing is to be told of it."""
        run = self.runs.pop(message["rid"], None)
        self.record(f"executor: told to stop {message['rid']}, which {'runs' if run else 'does not run'}")
        if run is not None:
            run.cancel()
            self.notice(t="EXIT", rid=message["rid"], status="interrupted", time_ms=1)

    def on_meter(self, message, writer):
        self.write({"t": "METERS", "mark": message["mark"], "v": [0.2, len(self.runs), 0.1, 4]})

    def on_diag(self, message, writer):
        self.write({"t": "DIAGNOSED", "mark": message["mark"], "status": "success"})

    def on_return(self, message, writer):
        pass

    on_bypass = on_return


async def http(reader, writer, answer):
    while head := (await reader.readuntil(b"\r\n\r\n")).decode():
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        length = next((int(value) for name, _, value in lines if name.lower() == "content-length"), 0)
        status, body = answer(await reader.readexactly(length))
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


async def naming(reader, writer):
    await http(reader, writer, lambda body: ("204 No Content", b""))


async def ledger(reader, writer):
    await http(reader, writer, lambda body: ("200 OK", b"reply to " + body))


# ---- a gateway


def frame(kind, stream, payload):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def encode_fields(fields):
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts += bytes((len(name),)), name.encode(), struct.pack("<H", len(value)), value.encode()
    return b"".join(parts)


CALLS = iter(range(1, 1 << 30))


def new_call():
    return f"{os.getpid() & 0xFFFF:04x}{next(CALLS):012x}"


class Gateway:
    """One connection of a gateway."""

    def __init__(self, record):
        self.record, self.stream, self.waiting, self.ended, self.corked = record, 0, {}, False, None

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                future = self.waiting.pop(stream, None)
                if future is not None and not future.done():
                    future.set_result((kind, payload))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)
            self.writer.close()

    def begin(self, kind, payload):
        if self.ended:
            raise CannotRunError("a gateway's connection has ended")
        self.stream += 1
        if self.corked is None:
            self.writer.write(frame(kind, self.stream, payload))
        else:
            self.corked.append(frame(kind, self.stream, payload))
        future = self.waiting[self.stream] = asyncio.get_running_loop().create_future()
        return future

    def cork(self):
        """Keep frames back until `uncork`, which sends them in one write."""
        self.corked = []

    def uncork(self):
        frames, self.corked = self.corked, None
        self.writer.write(b"".join(frames))

    async def healthy(self):
        answer = await asyncio.wait_for(self.begin(1, encode_fields({})), 2)
        return answer is not None and answer[0] == 2 and answer[1][0] == 1

    async def submit(self, op, body, ttl_ms, work_ms, org, *, dedupe=None, quiet=False, src=1, **more):
        """Send one submission and return (code, result); (None, b"") where none comes in its time and 1 s."""
        call = new_call()
        fields = {
            "op": op,
            "call": call,
            "recv": str(int(1000 * time.time())),
            "src": str(src),
            "org": org,
            "ttl": str(ttl_ms),
            "work": f"{work_ms:.2f}",
            "heap": "16.0",
            "crit": "0.5000",
            **more,
        }
        mark = ""
        if dedupe is not None:
            fields["dedupe"], mark = dedupe, f", mark {dedupe}"
        if not quiet:
            self.record(f"gateway: sends {call} {op} for {org}{mark}: {body.decode()}")
        answer = None
        with contextlib.suppress(asyncio.TimeoutError):
            answer = await asyncio.wait_for(self.begin(7, encode_fields(fields) + body), ttl_ms / 1000 + 1)
        code, result = (None, b"") if answer is None or answer[0] != 8 else self.decode(answer[1])
        if not quiet:
            self.record(f"gateway: {call} got {NAMES[code]} {result.decode()}")
        return code, result

    @staticmethod
    def decode(payload):
        position = 2
        for _ in range(payload[1]):
            end = position + 1 + payload[position]
            (size,) = struct.unpack_from("<H", payload, end)
            position = end + 2 + size
        return payload[0], payload[position:]


# ---- the world of a case


class World:
    """Servers as processes of the deploy file's command, stand-ins, and a temporary folder."""

    def __init__(self, record):
        self.record, self.folder = record, pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes, self.listeners = [], []

    async def listen(self, serve, port=0):
        async def connection(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                await serve(reader, writer)
            writer.close()

        server = await asyncio.start_server(connection, "127.0.0.1", port)
        self.listeners.append(server)
        return server.sockets[0].getsockname()[1]

    async def start(self, name, config, settings=None, words="serve"):
        """Start a server; `config` and `settings` are its configuration and the operator's file."""
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        (folder / "config.json").write_text(json.dumps(config))
        command = RUN
        if settings is not None:
            (folder / "valeturn.ini").write_text(settings)
            command = f"{RUN} serve --settings {folder / 'valeturn.ini'}"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment |= {"EDGE_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        with open(folder / "log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.processes.append(process)
        return process

    async def ready(self, port, timeout=30):
        """Wait until the server at this port answers a health check well."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                gateway = await Gateway(self.record).connect(port)
                good = await gateway.healthy()
                gateway.writer.close()
                if good:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the server was not ready in 30 s")

    async def run_command(self, *words, timeout=60):
        """Run `python -m valeturn WORDS`; return (exit code, output)."""
        process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"),
            "-m",
            "valeturn",
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
        )
        self.processes.append(process)
        output, _ = await asyncio.wait_for(process.communicate(), timeout)
        return process.returncode, output.decode()

    def log(self, name):
        path = self.folder / name / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def close(self):
        for process in self.processes:
            for number in (signal.SIGCONT, signal.SIGKILL):
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.killpg(process.pid, number)
        for process in self.processes:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(process.wait(), 5)
        for server in self.listeners:
            server.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def descendants(pid):
    """Return the ids of all processes that a process started, itself first."""
    children = {}
    for entry in pathlib.Path("/proc").iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
                children.setdefault(parent, []).append(int(entry.name))
    found = [pid]
    for one in found:
        found += children.get(one, [])
    return found


async def control(path, request, timeout=8):
    """Send one request to a control socket and return the answer."""
    reader, writer = await asyncio.open_unix_connection(str(path), limit=1 << 22)
    try:
        writer.write(json.dumps(request).encode() + b"\n")
        return json.loads(await asyncio.wait_for(reader.readline(), timeout))
    finally:
        writer.close()


def device_lab(name, ports, listen, *, stop_ms=3500, cpus=2):
    """Return a configuration with the settings of the site mu-device-lab, two cores a server."""
    classes = [
        ("device-check", "safe", 1800, 6100, 1, 0),
        ("result-fetch", "safe", 2300, 6100, 2, 0),
        ("run-booking", "keyed", 4600, 12000, 5, 36726),
    ]
    tenants = [("lagon-mobile", 0.43), ("filao-bank", 0.22), ("kestrel-apps", 0.22), ("tamarin-soft", 0.13)]
    return {
        "name": name,
        "listen": text_address(listen),
        "executor": text_address(ports["executor"]),
        "ledger": text_address(ports["ledger"]),
        "naming": text_address(ports["naming"]),
        "seed": "8c1f30d27a5be964",
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "servers": 3,
            "tick_ms": 4.0,
            "counted_by": "work",
            "over_share_worth": 0.05,
            "request_classes": [
                {
                    "name": one,
                    "semantics": effect,
                    "goal_time_ms": goal,
                    "give_up_ms": give_up,
                    "worth": worth,
                    "late_share": 0.0,
                    "window_ms": window,
                }
                for one, effect, goal, give_up, worth, window in classes
            ],
            "tenants": [{"name": one, "allowance_per_s": 200 * share} for one, share in tenants],
            "rules": {
                "cold_ms": 12000,
                "drain_grace_ms": 2000,
                "grace_to_answer_ms": 60,
                "overload_factor": 8,
                "start_capacity": 0.28,
            },
            "allowed": {"retry_after": True, "max_retry_after_ms": 1000},
            "domain": {
                "cpus": cpus,
                "heap_kb": 24000,
                "run_mem_factor": 8,
                "key_kb": 1,
                "halt": "pause",
                "cold": False,
                "passes_deadline": False,
                "tells_gone": True,
                "calls_by_class": [False, False, False],
                "degraded_worth": [0, 0, 0],
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        },
    }


class Fleet:
    """Servers that talk to each other, each with an executor of its own; `more` are further sections."""

    def __init__(
        self, world, record, more="", names=("n1", "n2", "n3"), lease="2 s", stop_ms=3500, voters=("n1", "n2", "n3")
    ):
        self.world, self.record, self.more, self.names, self.voters = world, record, more, names, voters
        self.lease, self.stop_ms = lease, stop_ms
        self.ports = {name: free_port() for name in names}
        self.peers = {name: free_port() for name in names}
        self.processes, self.executors, self.services = {}, {}, {}

    def socket(self, name):
        return self.world.folder / name / "socket"

    def settings(self, name):
        seeds = ", ".join(text_address(port) for port in self.peers.values())
        return "\n".join(
            [
                "[fleet]",
                "name = prod",
                f"listen = {text_address(self.peers[name])}",
                f"seeds = {seeds}",
                f"voters = {', '.join(self.voters)}",
                f"folder = {self.world.folder / name / 'vote'}",
                f"lease = {self.lease}",
                "zone = a",
                "largest = 20",
                "[control]",
                f"socket = {self.socket(name)}",
                self.more,
                "",
            ]
        )

    async def start(self):
        for name in self.names:
            executor = self.executors[name] = Executor(self.record, lambda body: asyncio.sleep(0.05))
            self.services[name] = {
                "executor": await self.world.listen(executor.serve),
                "ledger": await self.world.listen(ledger),
                "naming": await self.world.listen(naming),
            }
            await self.start_server(name)
        for name in self.names:
            await self.world.ready(self.ports[name])

    async def start_server(self, name):
        config = device_lab(name, self.services[name], self.ports[name], stop_ms=self.stop_ms)
        self.processes[name] = await self.world.start(name, config, self.settings(name))

    async def status(self, name):
        with contextlib.suppress(OSError, ValueError, asyncio.TimeoutError):
            answer = await control(self.socket(name), {"do": "status"}, 2)
            return answer.get("status")
        return None

    async def owner(self, among=None, timeout=30, other_than=None):
        """Return the server that says that it leads, as soon as there is one."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for name in among or self.names:
                status = await self.status(name)
                if status and status["fleet"]["lease_left_s"] and name != other_than:
                    return name
            await asyncio.sleep(0.05)
        raise CannotRunError("no owner was elected")


def main(folder, case):
    """Run `case(world, record)`, which returns True where the rule was broken, and exit with its code."""
    record = Record(pathlib.Path(folder).resolve().parent)

    async def play():
        world = World(record)
        try:
            return await asyncio.wait_for(case(world, record), LIMIT_S)
        finally:
            await world.close()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.1)

    try:
        code = 1 if asyncio.run(play()) else 0
    except Exception as error:
        if not isinstance(error, CannotRunError):
            traceback.print_exc()
        record(f"could not be run: {type(error).__name__}: {error}")
        code = 2
    record(f"TROUBLE={int(TROUBLE)}: " + ("the rule held", "the rule was broken", "not run")[code])
    record.save()
    sys.exit(code)
