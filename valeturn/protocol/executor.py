"""The executor's lines: one JSON object each. Their words stay in this file."""

from __future__ import annotations

import base64
import binascii
import functools
import json
import math
from enum import Enum
from typing import NamedTuple

LONGEST = 65536  # bytes of a line: ten times a result of 4 KiB in base64
MOST_NUMBER = 2**53  # of a notice: what all readers of JSON agree on
MOST_MS = 1e13  # of a time: three hundred years
COMMANDS = frozenset(("JOIN", "EXEC", "KILL", "RETURN", "BYPASS", "METER", "DIAG"))


class RunResult(Enum):
    DONE = "success"
    FAILED = "failure"
    STOPPED = "interrupted"
    NOTHING = "nothing"


class JoinAccepted(NamedTuple):
    cold: bool
    age: float  # of the executor, seconds


class RunEnded(NamedTuple):
    number: int
    call: str
    end: RunResult
    duration: float
    result: bytes


class CallRequest(NamedTuple):
    number: int
    call: str
    body: bytes


class GaugesReported(NamedTuple):
    token: str
    values: tuple


class DiagnosisReported(NamedTuple):
    token: str
    healthy: bool


class CommandRejected(NamedTuple):
    command: str
    call: str | None


class OtherNotice(NamedTuple):
    number: int | None


class Malformed(NamedTuple):
    reason: str


class LineDecoder:
    """Takes bytes in any split; holds at most one unfinished line."""

    def __init__(self):
        self.held, self.broken = bytearray(), False
        self.searched = 0  # bytes of what is held that have no end of a line

    def feed(self, data):
        out = []
        if self.broken:
            return out
        start = self.searched
        self.held += data
        while (end := self.held.find(b"\n", start)) >= 0:
            line = bytes(self.held[:end])
            del self.held[: end + 1]
            start = 0
            out.append(notice(line) if len(line) <= LONGEST else Malformed("line too long"))
            if isinstance(out[-1], Malformed):
                break
        else:
            if len(self.held) > LONGEST:
                out.append(Malformed("line too long"))
        self.broken = bool(out) and isinstance(out[-1], Malformed)
        self.searched = 0 if self.broken else len(self.held)
        return out

    def pass_over(self):
        """After a Malformed: goes on behind that line. False where its end has not come."""
        self.broken = len(self.held) > LONGEST and b"\n" not in self.held
        return not self.broken


def notice(line):
    try:
        message = json.loads(line)
        read = NOTICES.get(message["t"], lambda m: OtherNotice(_whole(m, "no") if "no" in m else None))
        return read(message)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        RecursionError,
        ArithmeticError,
        binascii.Error,
    ) as error:
        return Malformed(f"{type(error).__name__} in {line[:80]!r}")


def _body(m):
    return base64.b64decode(m.get("b64") or "", validate=True)


def _whole(m, name):
    value = m[name]
    if type(value) is not int or not 0 < value <= MOST_NUMBER:
        raise ValueError(f"{name} is no number of a notice")
    return value


def _seconds(m):
    """A time that is none would spoil for good what is learnt from it."""
    value = m["time_ms"]
    if type(value) not in (int, float) or not 0 <= value <= MOST_MS:
        raise ValueError("time_ms is no time")
    return value / 1000.0


def _words(m, name):
    if not isinstance(m[name], str):
        raise ValueError(f"{name} is no text")
    return m[name]


def _command(m):
    """It is counted by its name: one that nobody ever sent gets none of its own, or the counts would grow."""
    told = str(m.get("status"))
    return told if told in COMMANDS else "other"


def _gauges(m):
    values = m["v"]
    if not isinstance(values, list) or not all(
        value is None or type(value) in (int, float) and math.isfinite(value) for value in values
    ):
        raise ValueError("v is no list of numbers")
    return tuple(values)


NOTICES = {
    "WELCOME": lambda m: JoinAccepted(m["status"] == "booting", _seconds(m)),
    "EXIT": lambda m: RunEnded(
        _whole(m, "no"), _words(m, "rid"), RunResult(m["status"]), _seconds(m), _body(m)
    ),
    "CALLOUT": lambda m: CallRequest(_whole(m, "no"), _words(m, "rid"), _body(m)),
    "METERS": lambda m: GaugesReported(_words(m, "mark"), _gauges(m)),
    "DIAGNOSED": lambda m: DiagnosisReported(_words(m, "mark"), m["status"] == "success"),
    "BAD": lambda m: CommandRejected(_command(m), None if m.get("rid") is None else _words(m, "rid")),
}


WRITE = json.JSONEncoder(separators=(",", ":")).encode


def _line(kind, call=None, **more):
    """By hand, as ids are hex digits and bodies base64: an encoder made anew for each line was a thirtieth of
    all CPU in a flood."""
    parts = [f'{{"t":"{kind}"']
    if call is not None:
        parts.append(f'"rid":"{call}"')
    parts += [f'"{name}":{value}' for name, value in more.items()]
    return (",".join(parts) + "}\n").encode()


def _text(body):
    return f'"{base64.b64encode(body).decode()}"'


def join(number):
    return _line("JOIN", no=number)


@functools.lru_cache(maxsize=256)
def _name(workload):
    return WRITE(workload)


def start(call, workload, body):
    return _line("EXEC", call, route=_name(workload), b64=_text(body))


def interrupt(call):
    return _line("KILL", call)


def reply(call, body):
    return _line("RETURN", call, b64=_text(body))


def bypass(call, number):
    return _line("BYPASS", call, no=number)


def gauge(mark):
    return _line("METER", mark=WRITE(mark))


def diagnose(mark):
    return _line("DIAG", mark=WRITE(mark))
