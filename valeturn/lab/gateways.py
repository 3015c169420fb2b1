"""Scripted gateways: they send submissions, and send them again without limit and without a mark of it.

Frames as the protocol's page has them, written and read here by hand: what the program's own parsers make of
bytes is under test.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
import time

from .checker import CUT, DELIVERED, SILENT, TURNED_BACK, WRITTEN_OFF, Try

CODES = {1: DELIVERED, 0: TURNED_BACK, 9: WRITTEN_OFF}
SLACK = (
    0.5  # s past its due time after which a silent server has lost a submission; a loaded machine's allowance
)
OPEN = 24  # submissions on one connection


def frame(kind, stream, payload):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def submission(stream, workload, call, body, wait, mark=None, work=0.01, tenant="acme", caller=1):
    fields = {
        "op": workload,
        "call": call,
        "recv": str(int(1000 * time.time())),
        "src": str(caller),
        "org": tenant,
        "ttl": str(int(1000 * wait)),
        "work": f"{1000 * work:.2f}",
        "heap": "8.0",
        "crit": "0.5",
    }
    if mark is not None:
        fields["dedupe"] = mark
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name, value = name.encode(), value.encode()
        parts += bytes((len(name),)), name, struct.pack("<H", len(value)), value
    return frame(7, stream, b"".join(parts) + body)


def read_answer(payload):
    """(code, fields, body)"""
    fields, at = {}, 2
    for _ in range(payload[1]):
        end = at + 1 + payload[at]
        (size,) = struct.unpack_from("<H", payload, end)
        fields[payload[at + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
        at = end + 2 + size
    return payload[0], fields, payload[at:]


class Connection:
    """One connection to the server: streams in order, each waiting for its one answer."""

    def __init__(self, reader, writer, on_double):
        self.reader, self.writer, self.on_double = reader, writer, on_double
        self.waiting, self.calls, self.next, self.ended = {}, {}, itertools.count(1), False
        self.draining = False
        self.task = asyncio.get_running_loop().create_task(self.read())

    async def read(self):
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                if kind == 3:
                    self.draining = True
                elif kind == 8:
                    waits = self.waiting.pop(stream, None)
                    if waits is None:
                        self.on_double(self.calls.get(stream))
                    elif not waits.done():
                        waits.set_result(read_answer(payload))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.ended = True
            self.writer.close()
            for waits in self.waiting.values():
                if not waits.done():
                    waits.set_result(None)

    async def ask(self, workload, call, body, wait, mark, caller, work=0.01):
        """(code, fields, body), CUT or SILENT."""
        if self.ended or self.writer.is_closing():
            return CUT
        stream = next(self.next)
        waits = self.waiting[stream] = asyncio.get_running_loop().create_future()
        self.calls[stream] = call
        self.calls.pop(stream - 4096, None)
        try:
            self.writer.write(submission(stream, workload, call, body, wait, mark, work, caller=caller))
        except (ConnectionError, OSError):
            return CUT
        try:
            return await asyncio.wait_for(waits, wait + SLACK) or CUT
        except asyncio.TimeoutError:
            return SILENT


class Gateway:
    def __init__(self, address, number, world):
        """world: .life (the server's, counted), .look_whether_dead(life), .random_source (random()), .tries,
        .doubled."""
        self.address, self.number, self.world, self.connection = address, number, world, None
        self.lock = asyncio.Lock()

    async def connected(self):
        """A connection, or None while the server does not listen: nothing was sent then."""
        async with self.lock:
            c = self.connection
            if c is None or c.ended or c.draining or len(c.waiting) >= OPEN:
                life = self.world.life
                try:
                    made = await asyncio.open_connection(*self.address)
                except OSError:
                    return None
                self.connection = c = Connection(*made, self.world.doubled.append)
                c.life = life  # whose it is, also where its end is seen when the next one lives
                if life != self.world.life:  # one died and the next came while it was being made: nobody's
                    c.task.cancel()
                    made[1].close()
                    return None
            return c

    async def once(self, key, workload, wait, work=0.01):
        """One try on one connection; None where none could be made."""
        connection = await self.connected()
        if connection is None:
            return None
        life, call = connection.life, self.world.new_call()
        mark = key if workload == "book" else None
        got = await connection.ask(workload, call, key.encode(), wait, mark, self.number, work)
        outcome, result = (got, b"") if isinstance(got, str) else (CODES[got[0]], got[2])
        if outcome == CUT:
            await self.world.look_whether_dead(life)
        one = Try(key, workload, call, life, outcome, result, self.world.life, time.monotonic())
        self.world.tries.append(one)
        return one

    async def submit(self, key, workload, wait=2.0, most=40):
        """Until it is answered, and now and then once more: an answer may have been lost behind the gateway.
        Unrepeatable work is sent again only where it was surely not run."""
        seen = 0
        for _ in range(most):
            one = await self.once(key, workload, wait)
            if one is None or one.outcome == TURNED_BACK:
                await asyncio.sleep(0.02 + 0.05 * self.world.random_source.random())
                continue
            if workload == "file":
                return
            if one.outcome == DELIVERED:
                seen += 1
                if seen > 2 or self.world.random_source.random() < 0.6:
                    return
            elif one.outcome == WRITTEN_OFF:
                seen += 1
                if seen > 3:
                    return
            await asyncio.sleep(0.1 * self.world.random_source.random())

    def close(self):
        if self.connection is not None:
            self.connection.task.cancel()
