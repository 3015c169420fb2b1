"""The protocol with the executor: lines of one JSON object each.

The executor sends notices, which LineDecoder decodes; the functions at the end encode the commands to it. The
protocol's own field names and words occur in this file only.
"""

from __future__ import annotations

import base64
import binascii
import functools
import json
import math
from enum import Enum
from typing import NamedTuple

MAX_LINE_BYTES = 65536  # ten times a result of 4 KiB in base64
MAX_NOTICE_NUMBER = 2**53  # integers up to here are exact in all JSON implementations
MAX_TIME_MS = 1e13  # three hundred years
COMMANDS = frozenset(("JOIN", "EXEC", "KILL", "RETURN", "BYPASS", "METER", "DIAG"))


class RunResult(Enum):
    """How a run ended; the values are the protocol's."""

    DONE = "success"
    FAILED = "failure"
    STOPPED = "interrupted"
    NOTHING = "nothing"  # there was no run


class JoinAccepted(NamedTuple):
    """The executor accepts the connection; follows `join`."""

    cold: bool  # it is still booting
    age: float  # seconds since the executor started


class RunEnded(NamedTuple):
    """A run has ended."""

    number: int  # of the notice: numbers rise by one, also over reconnects
    call: str  # id of the submission
    end: RunResult
    duration: float  # seconds that the run took
    result: bytes  # for the caller, where the run succeeded


class CallRequest(NamedTuple):
    """A run waits for its call on the dependency: `reply` or `bypass` lets it go on."""

    number: int  # of the notice
    call: str  # id of the submission
    body: bytes  # of the call


class GaugesReported(NamedTuple):
    """The answer to `gauge`."""

    token: str  # as given to `gauge`
    values: tuple  # numbers, or None for a gauge without a reading, in the order that the settings name them


class DiagnosisReported(NamedTuple):
    """The answer to `diagnose`."""

    token: str  # as given to `diagnose`
    healthy: bool


class CommandRejected(NamedTuple):
    """The executor could not carry out a command."""

    command: str  # one of COMMANDS, or "other"
    call: str | None  # id of the submission, where the command had one


class OtherNotice(NamedTuple):
    """A notice of a kind that has no meaning here, such as a log line."""

    number: int | None  # of the notice, where it has one


class Malformed(NamedTuple):
    """A line that cannot be decoded."""

    reason: str


class LineDecoder:
    """Decodes a stream of lines that may be split anywhere; buffers at most one unfinished line.

    After a Malformed it returns nothing more until `pass_over` is called.
    """

    def __init__(self):
        self.buffer, self.failed = bytearray(), False
        self.searched = 0  # bytes at the start of the buffer that are known to hold no end of a line

    def feed(self, data):
        """Take received bytes; return the notices that are whole, the last of which may be a Malformed."""
        notices = []
        if self.failed:
            return notices
        start = self.searched
        self.buffer += data
        while (end := self.buffer.find(b"\n", start)) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            start = 0
            notices.append(decode_notice(line) if len(line) <= MAX_LINE_BYTES else Malformed("line too long"))
            if isinstance(notices[-1], Malformed):
                break
        else:
            if len(self.buffer) > MAX_LINE_BYTES:
                notices.append(Malformed("line too long"))
        self.failed = bool(notices) and isinstance(notices[-1], Malformed)
        self.searched = 0 if self.failed else len(self.buffer)
        return notices

    def pass_over(self):
        """After a Malformed, resume with the line after it; `feed(b"")` decodes what is buffered.

        Returns False, and stays stopped, while the end of the malformed line has not been received.
        """
        self.failed = len(self.buffer) > MAX_LINE_BYTES and b"\n" not in self.buffer
        return not self.failed


def decode_notice(line):
    """Decode one line without its end to a notice; returns a Malformed where that fails."""
    try:
        message = json.loads(line)
        decode = NOTICES.get(
            message["t"],
            lambda other: OtherNotice(_notice_number(other, "no") if "no" in other else None),
        )
        return decode(message)
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


def _body(message):
    """Return the decoded body, which is empty where the notice has none."""
    return base64.b64decode(message.get("b64") or "", validate=True)


def _notice_number(message, name):
    """Return the number of a notice; ValueError unless it is an integer from 1 to MAX_NOTICE_NUMBER."""
    value = message[name]
    if type(value) is not int or not 0 < value <= MAX_NOTICE_NUMBER:
        raise ValueError(f"{name} is not the number of a notice")
    return value


def _seconds(message):
    """Return the duration in seconds. NaN or infinity would corrupt for good the averages learnt from it."""
    value = message["time_ms"]
    if type(value) not in (int, float) or not 0 <= value <= MAX_TIME_MS:
        raise ValueError("time_ms is not a duration")
    return value / 1000.0


def _string(message, name):
    """Return a field that has to be a string; raises ValueError or KeyError otherwise."""
    if not isinstance(message[name], str):
        raise ValueError(f"{name} is not a string")
    return message[name]


def _command(message):
    """Return the name of the rejected command, or "other" for a name that is not in COMMANDS.

    Rejections are counted by this name: with arbitrary names the number of counters would grow without bound.
    """
    command = str(message.get("status"))
    return command if command in COMMANDS else "other"


def _gauges(message):
    """Return the readings of the gauges as a tuple; each is a finite number or None."""
    values = message["v"]
    if not isinstance(values, list) or not all(
        value is None or type(value) in (int, float) and math.isfinite(value) for value in values
    ):
        raise ValueError("v is not a list of numbers")
    return tuple(values)


# Decodes the JSON object of a notice, by its kind.
NOTICES = {
    "WELCOME": lambda message: JoinAccepted(message["status"] == "booting", _seconds(message)),
    "EXIT": lambda message: RunEnded(
        _notice_number(message, "no"),
        _string(message, "rid"),
        RunResult(message["status"]),
        _seconds(message),
        _body(message),
    ),
    "CALLOUT": lambda message: CallRequest(
        _notice_number(message, "no"), _string(message, "rid"), _body(message)
    ),
    "METERS": lambda message: GaugesReported(_string(message, "mark"), _gauges(message)),
    "DIAGNOSED": lambda message: DiagnosisReported(_string(message, "mark"), message["status"] == "success"),
    "BAD": lambda message: CommandRejected(
        _command(message), None if message.get("rid") is None else _string(message, "rid")
    ),
}


ENCODE_JSON = json.JSONEncoder(separators=(",", ":")).encode


def _line(kind, call=None, **fields):
    """Encode a command; `fields` are its further fields, whose values are already JSON.

    Assembled without a JSON encoder: constructing one for each line took a thirtieth of all CPU in a flood of
    submissions. Ids are hex digits and bodies base64, so that they need no escaping.
    """
    parts = [f'{{"t":"{kind}"']
    if call is not None:
        parts.append(f'"rid":"{call}"')
    parts += [f'"{name}":{value}' for name, value in fields.items()]
    return (",".join(parts) + "}\n").encode()


def _base64_json(body):
    """Encode bytes as a JSON string of base64."""
    return f'"{base64.b64encode(body).decode()}"'


def join(number):
    """Encode the first command on a connection; `number` is that of the last notice received, 0 for none."""
    return _line("JOIN", no=number)


@functools.lru_cache(maxsize=256)
def _workload_json(workload):
    """Encode the name of a workload as a JSON string; cached, as there are few names."""
    return ENCODE_JSON(workload)


def start(call, workload, body):
    """Encode the command to run a submission, or to resume its suspended run."""
    return _line("EXEC", call, route=_workload_json(workload), b64=_base64_json(body))


def interrupt(call):
    """Encode the command to stop a run. Its end is reported, unless there is no such run."""
    return _line("KILL", call)


def reply(call, body):
    """Encode the answer of the dependency to the call that a run waits for."""
    return _line("RETURN", call, b64=_base64_json(body))


def bypass(call, number):
    """Encode the command to go on without the call that the notice of this number asked for."""
    return _line("BYPASS", call, no=number)


def gauge(token):
    """Encode the query for the gauges; the answer carries the token. Commands are processed in order, so that
    the answer proves the arrival of all commands before."""
    return _line("METER", mark=ENCODE_JSON(token))


def diagnose(token):
    """Encode the query for a deep health check of the executor; the answer carries the token."""
    return _line("DIAG", mark=ENCODE_JSON(token))
