"""The executor's lines: one JSON object each. Their words stay in this file."""

from __future__ import annotations

import base64
import binascii
import functools
import json
from enum import Enum
from typing import NamedTuple

LONGEST = 65536  # bytes of a line: ten times a result of 4 KiB in base64


class End(Enum):
    DONE = "success"
    FAILED = "failure"
    STOPPED = "interrupted"
    NOTHING = "nothing"


class Welcomed(NamedTuple):
    cold: bool
    age: float  # of the executor, seconds


class RunOver(NamedTuple):
    number: int
    call: str
    end: End
    took: float
    result: bytes


class CallWanted(NamedTuple):
    number: int
    call: str
    body: bytes


class Gauged(NamedTuple):
    mark: str
    values: tuple


class Diagnosed(NamedTuple):
    mark: str
    good: bool


class NotCarriedOut(NamedTuple):
    command: str
    call: str | None


class Remark(NamedTuple):
    number: int | None


class Malformed(NamedTuple):
    reason: str


class LineDecoder:
    """Takes bytes in any split; holds at most one unfinished line."""

    def __init__(self):
        self.held, self.broken = bytearray(), False

    def feed(self, data):
        out = []
        if self.broken:
            return out
        start = max(0, len(self.held) - 1)
        self.held += data
        while (end := self.held.find(b"\n", start)) >= 0:
            line = bytes(self.held[:end])
            del self.held[:end + 1]
            start = 0
            out.append(notice(line) if len(line) <= LONGEST else Malformed("line too long"))
            if isinstance(out[-1], Malformed):
                break
        else:
            if len(self.held) > LONGEST:
                out.append(Malformed("line too long"))
        self.broken = bool(out) and isinstance(out[-1], Malformed)
        return out


def notice(line):
    try:
        message = json.loads(line)
        read = NOTICES.get(message["t"], lambda m: Remark(m.get("no")))
        return read(message)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError, binascii.Error) as error:
        return Malformed(f"{type(error).__name__} in {line[:80]!r}")


def _body(m):
    return base64.b64decode(m.get("b64") or "", validate=True)


NOTICES = {
    "WELCOME": lambda m: Welcomed(m["status"] == "booting", m["time_ms"] / 1000.0),
    "EXIT": lambda m: RunOver(int(m["no"]), m["rid"], End(m["status"]), m["time_ms"] / 1000.0, _body(m)),
    "CALLOUT": lambda m: CallWanted(int(m["no"]), m["rid"], _body(m)),
    "METERS": lambda m: Gauged(m["mark"], tuple(m["v"])),
    "DIAGNOSED": lambda m: Diagnosed(m["mark"], m["status"] == "success"),
    "BAD": lambda m: NotCarriedOut(str(m.get("status")), m.get("rid")),
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


def halt(call):
    return _line("KILL", call)


def reply(call, body):
    return _line("RETURN", call, b64=_text(body))


def go_without(call, number):
    return _line("BYPASS", call, no=number)


def gauge(mark):
    return _line("METER", mark=WRITE(mark))


def diagnose(mark):
    return _line("DIAG", mark=WRITE(mark))
