"""Scripted gateways: they send submissions and repeat them without limit, and repeats are not marked as such.

Frames are encoded and decoded here after the protocol specification, without the program's own codec, because
that is under test.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
import time

from .checker import CUT, DELIVERED, SILENT, TURNED_BACK, WRITTEN_OFF, Try

OUTCOMES_BY_CODE = {1: DELIVERED, 0: TURNED_BACK, 9: WRITTEN_OFF}
# A submission counts as unanswered this long after its due time; the slack is for a loaded machine.
ANSWER_SLACK_S = 0.5
MAX_OPEN_SUBMISSIONS = 24  # on one connection


def encode_frame(kind, stream, payload):
    """Return the bytes of one frame."""
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def encode_submission(
    stream, workload, call, body, timeout_s, deduplication_key=None, work=0.01, tenant="acme", caller=1
):
    """Return the frame of one submission.

    Args:
        timeout_s: How long the caller waits.
        deduplication_key: Sent where it is not None.
        work: The estimated run time in seconds.
    """
    fields = {
        "op": workload,
        "call": call,
        "recv": str(int(1000 * time.time())),
        "src": str(caller),
        "org": tenant,
        "ttl": str(int(1000 * timeout_s)),
        "work": f"{1000 * work:.2f}",
        "heap": "8.0",
        "crit": "0.5",
    }
    if deduplication_key is not None:
        fields["dedupe"] = deduplication_key
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name, value = name.encode(), value.encode()
        parts += bytes((len(name),)), name, struct.pack("<H", len(value)), value
    return encode_frame(7, stream, b"".join(parts) + body)


def decode_answer(payload):
    """Return (code, fields, body) of an answer's payload."""
    fields, position = {}, 2
    for _ in range(payload[1]):
        end = position + 1 + payload[position]
        (size,) = struct.unpack_from("<H", payload, end)
        fields[payload[position + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
        position = end + 2 + size
    return payload[0], fields, payload[position:]


class Connection:
    """One connection to the server: streams are numbered in order, and each waits for its one answer.

    Args:
        on_second_answer: Called with the submission id when a second answer arrives for it.
    """

    def __init__(self, reader, writer, on_second_answer):
        self.reader, self.writer, self.on_second_answer = reader, writer, on_second_answer
        self.pending_answers, self.calls, self.stream_numbers, self.ended = {}, {}, itertools.count(1), False
        self.draining = False
        self.task = asyncio.get_running_loop().create_task(self.read())

    async def read(self):
        """Pass answers to those that wait for them until the connection ends."""
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                if kind == 3:
                    self.draining = True
                elif kind == 8:
                    pending_answer = self.pending_answers.pop(stream, None)
                    if pending_answer is None:
                        self.on_second_answer(self.calls.get(stream))
                    elif not pending_answer.done():
                        pending_answer.set_result(decode_answer(payload))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.ended = True
            self.writer.close()
            for pending_answer in self.pending_answers.values():
                if not pending_answer.done():
                    pending_answer.set_result(None)

    async def send_submission(self, workload, call, body, timeout_s, deduplication_key, caller, work=0.01):
        """Send one submission and return (code, fields, body) of its answer, CUT or SILENT."""
        if self.ended or self.writer.is_closing():
            return CUT
        stream = next(self.stream_numbers)
        pending_answer = self.pending_answers[stream] = asyncio.get_running_loop().create_future()
        self.calls[stream] = call
        self.calls.pop(stream - 4096, None)
        try:
            self.writer.write(
                encode_submission(
                    stream, workload, call, body, timeout_s, deduplication_key, work, caller=caller
                )
            )
        except (ConnectionError, OSError):
            return CUT
        try:
            return await asyncio.wait_for(pending_answer, timeout_s + ANSWER_SLACK_S) or CUT
        except asyncio.TimeoutError:
            return SILENT


class Gateway:
    """A caller that keeps one connection to a server and connects again when that ends."""

    def __init__(self, address, number, environment):
        """Set up a gateway, which connects with its first submission.

        Args:
            environment: What the gateway reads and reports to: life (the current incarnation of the server),
                look_whether_dead(life), new_call(), random_source, and the lists tries (all outcomes) and
                doubled (submission ids that got two answers).
        """
        self.address, self.number, self.environment, self.connection = address, number, environment, None
        self.connect_lock = asyncio.Lock()

    async def get_connection(self):
        """Return a usable connection, or None while the server does not listen."""
        async with self.connect_lock:
            connection = self.connection
            if (
                connection is None
                or connection.ended
                or connection.draining
                or len(connection.pending_answers) >= MAX_OPEN_SUBMISSIONS
            ):
                life = self.environment.life
                try:
                    streams = await asyncio.open_connection(*self.address)
                except OSError:
                    return None
                self.connection = connection = Connection(*streams, self.environment.doubled.append)
                connection.life = life  # stays, even if the end is seen during the next incarnation
                # The server was restarted meanwhile: which incarnation accepted the connection is unknown.
                if life != self.environment.life:
                    connection.task.cancel()
                    streams[1].close()
                    return None
            return connection

    async def once(self, key, workload, timeout_s, work=0.01):
        """Send one submission once and return its outcome, or None when no connection could be made."""
        connection = await self.get_connection()
        if connection is None:
            return None
        life, call = connection.life, self.environment.new_call()
        deduplication_key = key if workload == "book" else None
        answer = await connection.send_submission(
            workload, call, key.encode(), timeout_s, deduplication_key, self.number, work
        )
        outcome, result = (
            (answer, b"") if isinstance(answer, str) else (OUTCOMES_BY_CODE[answer[0]], answer[2])
        )
        if outcome == CUT:
            await self.environment.look_whether_dead(life)
        attempt = Try(key, workload, call, life, outcome, result, self.environment.life, time.monotonic())
        self.environment.tries.append(attempt)
        return attempt

    async def submit(self, key, workload, timeout_s=2.0, most=40):
        """Send a submission until it is answered, and sometimes again, up to a limit.

        It is sent again after an answer because that may be lost behind the gateway. Work that may not be
        repeated is sent again only after a rejection, when it surely has not run.
        """
        final_answers = 0
        for _ in range(most):
            attempt = await self.once(key, workload, timeout_s)
            if attempt is None or attempt.outcome == TURNED_BACK:
                await asyncio.sleep(0.02 + 0.05 * self.environment.random_source.random())
                continue
            if workload == "file":
                return
            if attempt.outcome == DELIVERED:
                final_answers += 1
                if final_answers > 2 or self.environment.random_source.random() < 0.6:
                    return
            elif attempt.outcome == WRITTEN_OFF:
                final_answers += 1
                if final_answers > 3:
                    return
            await asyncio.sleep(0.1 * self.environment.random_source.random())

    def close(self):
        """Stop reading from the connection."""
        if self.connection is not None:
            self.connection.task.cancel()
