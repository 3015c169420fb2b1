"""Gateway frames: length:4 type:1 stream:4 payload, little-endian. Their words stay in this file."""

from __future__ import annotations

import re
import struct
from typing import NamedTuple

from .submission import Submission

LEAST, MOST = 5, 262144  # what a frame's length may be
KEPT = 4096  # bytes of a frame that are held, a body and all fields: hundreds of connections share the memory
BODY = 2048  # bytes of a submission's body
CALL, ANSWER, CANCEL, CHECK, CHECKED, NO_MORE = 7, 8, 9, 1, 2, 3
DELIVERED, TURNED_BACK, WRITTEN_OFF = 1, 0, 9
GOOD, NOT_GOOD = 1, 0
LONGEST = 86_400_000.0  # ms: nobody waits for more than a day of work or a day long
UNDER_1, UNDER_2000 = 1 - 2**-53, 2000 - 2**-42  # the largest numbers below
HEX = frozenset("0123456789abcdef")
HEADER = struct.Struct("<IBI")
SIZE = struct.Struct("<H")
PLAIN = re.compile(r"[0-9]{1,16}(\.[0-9]{1,18})?")  # what else `float` reads is no number


class InvalidSubmission(NamedTuple):
    """Framed well, but not a submission that can be read: it can be answered on its stream."""

    stream: int
    reason: str


class CancelRequest(NamedTuple):
    stream: int


class HealthCheckRequest(NamedTuple):
    stream: int
    deep: bool


class ProtocolViolation(NamedTuple):
    """Nothing after this can be read on the connection."""

    reason: str


class FrameDecoder:
    """Takes bytes in any split; holds at most one unfinished frame."""

    def __init__(self):
        self.held, self.broken = bytearray(), False
        self.passing, self.passed_over = 0, None  # bytes of a large frame still to come; its message then

    def feed(self, data):
        out, at = [], 0
        if self.broken:
            return out
        if self.passing:
            data = self.pass_over(data, out)
        self.held += data
        while len(self.held) - at >= 4:
            length = int.from_bytes(self.held[at : at + 4], "little")
            if not LEAST <= length <= MOST:
                out.append(ProtocolViolation(f"frame length {length}"))
                break
            if length > KEPT and len(self.held) - at >= HEADER.size:
                _, kind, stream = HEADER.unpack_from(self.held, at)
                if kind != CALL or stream == 0:
                    out.append(ProtocolViolation(f"frame type {kind} of length {length}"))
                    break
                self.passing, self.passed_over = 4 + length, InvalidSubmission(stream, "frame too long")
                rest = self.pass_over(bytes(self.held[at:]), out)
                at, self.held = 0, bytearray(rest)
                continue
            if len(self.held) - at < 4 + length:
                break
            _, kind, stream = HEADER.unpack_from(self.held, at)
            out.append(_frame(kind, stream, bytes(self.held[at + HEADER.size : at + 4 + length])))
            at += 4 + length
            if isinstance(out[-1], ProtocolViolation):
                break
        self.broken = bool(out) and isinstance(out[-1], ProtocolViolation)
        del self.held[:at]
        return out

    @property
    def unfinished(self):
        return bool(self.held or self.passing)

    def pass_over(self, data, out):
        """Drops what belongs to the large frame; returns what comes after it."""
        taken = min(self.passing, len(data))
        self.passing -= taken
        if not self.passing:
            out.append(self.passed_over)
        return data[taken:]


def _frame(kind, stream, payload):
    if kind == CANCEL:
        return CancelRequest(stream) if not payload else ProtocolViolation("payload on a withdrawal")
    if kind not in (CALL, CHECK):
        return ProtocolViolation(f"frame type {kind}")
    parsed = _fields(payload)
    if parsed is None:
        return ProtocolViolation("fields do not add up")
    fields, body = parsed
    if kind == CHECK:
        return HealthCheckRequest(stream, fields.get("e2e") == "1")
    if stream == 0:
        return ProtocolViolation("submission on stream 0")
    return _submission(stream, fields, body)


def _fields(payload):
    """The fields and what follows them, or None where they do not add up."""
    if not payload:
        return None
    fields, at = {}, 1
    try:
        for _ in range(payload[0]):
            name = payload[at + 1 : at + 1 + payload[at]]
            at += 1 + payload[at]
            (size,) = SIZE.unpack_from(payload, at)
            value = payload[at + 2 : at + 2 + size]
            at += 2 + size
            if at > len(payload):
                return None
            name = name.decode()
            if name in fields:
                return None
            fields[name] = value.decode()
    except (IndexError, struct.error, UnicodeDecodeError):
        return None
    return fields, payload[at:]


def _number(fields, name, most, absent=None, least=0.0):
    """A number within its bounds; an absent one is told from one that can't be read."""
    text = fields.get(name)
    if text is None and absent is not ...:
        return absent
    if text is None:
        raise ValueError(f"{name} is missing")
    value = float(text) if PLAIN.fullmatch(text) else -1.0
    if not least <= value <= most:
        raise ValueError(f"{name} is unreadable")
    return value


def _submission(stream, fields, body):
    try:
        call, workload = fields.get("call", ""), fields.get("op", "")
        if len(call) != 16 or not HEX.issuperset(call):
            raise ValueError("call is not 16 hex digits")
        if not workload:
            raise ValueError("op is missing")
        if len(body) > BODY:
            raise ValueError("body too long")
        wait, hint = _number(fields, "ttl", LONGEST), _number(fields, "work", LONGEST)
        return Submission(
            stream,
            call,
            workload,
            fields.get("org"),
            _number(fields, "recv", 1e15, ...) / 1000.0,
            None if wait is None else wait / 1000.0,
            None if hint is None else hint / 1000.0,
            _number(fields, "heap", UNDER_2000, ..., 1e-9),
            _number(fields, "crit", UNDER_1, 0.0),
            int(_number(fields, "src", 2**53, 0.0)),
            fields.get("row"),
            fields.get("dedupe"),
            fields.get("rep") == "1",
            body,
        )
    except ValueError as error:
        return InvalidSubmission(stream, str(error))


def _pack(kind, stream, payload):
    return HEADER.pack(len(payload) + 5, kind, stream) + payload


def _coded(kind, stream, code, fields, body=b""):
    parts = [bytes((code, len(fields)))]
    for name, value in fields:
        name, value = name.encode(), value.encode()
        parts += bytes((len(name),)), name, SIZE.pack(len(value)), value
    return _pack(kind, stream, b"".join(parts) + body)


def _load(load):
    return [] if load is None else [("load", f"{load:.4f}")]


def delivered(stream, result, load=None):
    return _coded(ANSWER, stream, DELIVERED, _load(load), result)


def rejected(stream, retry_in=0.0, final=False, load=None):
    fields = _load(load)
    if retry_in > 0:
        fields.append(("pushback", str(max(1, round(1000.0 * retry_in)))))
    if final:
        fields.append(("stop", "1"))
    return _coded(ANSWER, stream, TURNED_BACK, fields)


def failed(stream, load=None):
    return _coded(ANSWER, stream, WRITTEN_OFF, _load(load))


def connection_error():
    return _coded(ANSWER, 0, WRITTEN_OFF, [])


def health(stream, good, load=None):
    return _coded(CHECKED, stream, GOOD if good else NOT_GOOD, _load(load))


def no_more():
    return _pack(NO_MORE, 0, b"")
