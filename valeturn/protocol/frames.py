"""The protocol with gateways: binary frames, decoded by FrameDecoder and encoded by the functions at the end.

A frame is, little-endian: 4 bytes of length, which count what follows them; 1 byte of type; 4 bytes of
stream; the payload. The payload of submissions and health checks is: 1 byte of field count; the fields, each
as 1 byte of name length, the name, 2 bytes of value length, the value; the body. In answers and health frames
1 byte of code comes first. Other types have no payload. The protocol's field names occur in this file only.
"""

from __future__ import annotations

import math
import re
import struct
from typing import NamedTuple

from .submission import Submission

MIN_FRAME_LENGTH, MAX_FRAME_LENGTH = 5, 262144  # bytes, as the length field counts: type and stream are 5
# Bytes of a frame that are buffered: enough for a body and all fields, and no more, as hundreds of
# connections share the memory.
MAX_BUFFERED_BYTES = 4096
FIELDS_PER_MESSAGE = 32  # which cost as much to decode as the rest of a message; a submission has fewer
MAX_FIELDS = 255  # of a frame: their number is one byte
MAX_FRAME_COST = 1 + MAX_FIELDS // FIELDS_PER_MESSAGE  # in messages, see `_cost`
MAX_BODY_BYTES = 2048  # of a submission
# Frame types.
SUBMISSION, ANSWER, CANCEL, HEALTH_CHECK, HEALTH, NO_MORE = 7, 8, 9, 1, 2, 3
# Codes of an answer and of a health frame.
DELIVERED, REJECTED, FAILED = 1, 0, 9
HEALTHY, UNHEALTHY = 1, 0
MAX_TIME_MS = 86_400_000.0  # a day: no work takes longer and no caller waits longer
LARGEST_BELOW_1, LARGEST_BELOW_2000 = (
    1 - 2**-53,
    2000 - 2**-42,
)  # largest floats below the bounds of rank and of memory
HEX_DIGITS = frozenset("0123456789abcdef")
HEADER = struct.Struct("<IBI")
VALUE_LENGTH = struct.Struct("<H")
PLAIN_NUMBER = re.compile(r"[0-9]{1,16}(\.[0-9]{1,18})?")  # float() also accepts nan, inf, signs and blanks


class InvalidSubmission(NamedTuple):
    """A well-formed frame whose submission is not valid: it can be answered on its stream."""

    stream: int  # of the connection
    reason: str


class CancelRequest(NamedTuple):
    """The caller no longer waits for the answer on a stream."""

    stream: int  # of the submission


class HealthCheckRequest(NamedTuple):
    """A health check."""

    stream: int  # the answer carries the same number
    deep: bool  # the executor is to be checked too


class ProtocolViolation(NamedTuple):
    """Bytes that are not of the protocol: nothing after them can be decoded on the connection."""

    reason: str  # its first word is the end of a counter's name


class FrameDecoder:
    """Decodes a stream of frames that may be split anywhere.

    It buffers at most one unfinished frame, and the frames that a limit left for the next call.

    A submission of more than MAX_BUFFERED_BYTES is skipped while it arrives, and decoded to an
    InvalidSubmission at its end. After a ProtocolViolation nothing more is returned.
    """

    def __init__(self):
        self.buffer, self.failed = bytearray(), False
        # Bytes of a large frame that are still to be skipped, and the message to return then.
        self.bytes_to_skip, self.skipped_message = 0, None
        self.cost = 0  # of the messages that the last call of `feed` returned

    def feed(self, data, limit=math.inf):
        """Take received bytes; return the messages of the frames that are whole.

        Args:
            data: Bytes that follow those of earlier calls; they may be empty.
            limit: The cost at which no further frame is decoded; the frames behind stay buffered for the next
                call.
        """
        messages, position, field_count = [], 0, 0
        self.cost = 0
        if self.failed:
            return messages
        if self.bytes_to_skip:
            data = self._skip(data, messages)
        self.buffer += data
        while len(self.buffer) - position >= 4 and _cost(messages, field_count) < limit:
            length = int.from_bytes(self.buffer[position : position + 4], "little")
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH:
                messages.append(ProtocolViolation(f"frame length {length}"))
                break
            if length > MAX_BUFFERED_BYTES and len(self.buffer) - position >= HEADER.size:
                _, kind, stream = HEADER.unpack_from(self.buffer, position)
                if kind != SUBMISSION or stream == 0:
                    messages.append(ProtocolViolation(f"frame type {kind} of length {length}"))
                    break
                self.bytes_to_skip, self.skipped_message = (
                    4 + length,
                    InvalidSubmission(stream, "frame too long"),
                )
                rest = self._skip(bytes(self.buffer[position:]), messages)
                position, self.buffer = 0, bytearray(rest)
                continue
            if len(self.buffer) - position < 4 + length:
                break
            _, kind, stream = HEADER.unpack_from(self.buffer, position)
            payload = bytes(self.buffer[position + HEADER.size : position + 4 + length])
            field_count += payload[0] if payload else 0
            messages.append(_decode_frame(kind, stream, payload))
            position += 4 + length
            if isinstance(messages[-1], ProtocolViolation):
                break
        self.failed = bool(messages) and isinstance(messages[-1], ProtocolViolation)
        del self.buffer[:position]
        self.cost = _cost(messages, field_count)
        return messages

    @property
    def unfinished(self):
        """Whether a part of a frame, or a frame that was not returned yet, has been received."""
        return bool(self.buffer or self.bytes_to_skip)

    def _skip(self, data, messages):
        """Drop what belongs to the large frame, append its message at its end; return what follows it."""
        skipped = min(self.bytes_to_skip, len(data))
        self.bytes_to_skip -= skipped
        if not self.bytes_to_skip:
            messages.append(self.skipped_message)
        return data[skipped:]


def _cost(messages, field_count):
    """Return what messages with that many fields in all cost to decode: 1 each, and 1 for every
    FIELDS_PER_MESSAGE fields."""
    return len(messages) + field_count // FIELDS_PER_MESSAGE


def _decode_frame(kind, stream, payload):
    """Decode a whole frame to a message, or to a ProtocolViolation."""
    if kind == CANCEL:
        return CancelRequest(stream) if not payload else ProtocolViolation("payload on a cancel frame")
    if kind not in (SUBMISSION, HEALTH_CHECK):
        return ProtocolViolation(f"frame type {kind}")
    parsed = _decode_fields(payload)
    if parsed is None:
        return ProtocolViolation("fields do not match the payload")
    fields, body = parsed
    if kind == HEALTH_CHECK:
        return HealthCheckRequest(stream, fields.get("e2e") == "1")
    if stream == 0:
        return ProtocolViolation("submission on stream 0")
    return _decode_submission(stream, fields, body)


def _decode_fields(payload):
    """Return the fields as a dict and the bytes after them, or None for a malformed payload."""
    if not payload:
        return None
    fields, position = {}, 1
    try:
        for _ in range(payload[0]):
            name = payload[position + 1 : position + 1 + payload[position]]
            position += 1 + payload[position]
            (size,) = VALUE_LENGTH.unpack_from(payload, position)
            value = payload[position + 2 : position + 2 + size]
            position += 2 + size
            if position > len(payload):
                return None
            name = name.decode()
            if name in fields:
                return None
            fields[name] = value.decode()
    except (IndexError, struct.error, UnicodeDecodeError):
        return None
    return fields, payload[position:]


def _number(fields, name, maximum, default=None, minimum=0.0):
    """Return a field's number, or the default where it is absent; with a default of `...` it is required.

    Raises:
        ValueError: The field is missing, is not a number or is out of bounds.
    """
    text = fields.get(name)
    if text is None and default is not ...:
        return default
    if text is None:
        raise ValueError(f"{name} is missing")
    value = float(text) if PLAIN_NUMBER.fullmatch(text) else -1.0
    if not minimum <= value <= maximum:
        raise ValueError(f"{name} is unreadable")
    return value


def _decode_submission(stream, fields, body):
    """Build the Submission from its fields, or an InvalidSubmission where one is missing or out of bounds."""
    try:
        call, workload = fields.get("call", ""), fields.get("op", "")
        if len(call) != 16 or not HEX_DIGITS.issuperset(call):
            raise ValueError("call is not 16 hex digits")
        if not workload:
            raise ValueError("op is missing")
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("body too long")
        timeout_ms, cost_hint_ms = _number(fields, "ttl", MAX_TIME_MS), _number(fields, "work", MAX_TIME_MS)
        return Submission(
            stream,
            call,
            workload,
            fields.get("org"),
            # Unix time in milliseconds; the bound keeps later arithmetic exact, and is 30000 years away.
            _number(fields, "recv", 1e15, ...) / 1000.0,
            None if timeout_ms is None else timeout_ms / 1000.0,
            None if cost_hint_ms is None else cost_hint_ms / 1000.0,
            _number(fields, "heap", LARGEST_BELOW_2000, ..., 1e-9),  # kilobytes; has to be above 0
            _number(fields, "crit", LARGEST_BELOW_1, 0.0),
            int(_number(fields, "src", 2**53, 0.0)),  # floats hold integers exactly up to 2**53
            fields.get("row"),
            fields.get("dedupe"),
            fields.get("rep") == "1",
            body,
        )
    except ValueError as error:
        return InvalidSubmission(stream, str(error))


def _encode_frame(kind, stream, payload):
    """Put the header before a payload; the length counts type and stream, which are 5 bytes."""
    return HEADER.pack(len(payload) + 5, kind, stream) + payload


def _encode_coded_frame(kind, stream, code, fields, body=b""):
    """Encode a frame whose payload begins with a code; `fields` are (name, value) pairs of text."""
    parts = [bytes((code, len(fields)))]
    for name, value in fields:
        name, value = name.encode(), value.encode()
        parts += bytes((len(name),)), name, VALUE_LENGTH.pack(len(value)), value
    return _encode_frame(kind, stream, b"".join(parts) + body)


def _load_fields(load):
    """Return the field with the advertised load, in a list that is empty where none is advertised."""
    return [] if load is None else [("load", f"{load:.4f}")]


def delivered(stream, result, load=None):
    """Encode the answer that carries a result.

    In all answers `load` is the advertised load value, None where none is advertised.
    """
    return _encode_coded_frame(ANSWER, stream, DELIVERED, _load_fields(load), result)


def rejected(stream, retry_after=0.0, final=False, load=None):
    """Encode the answer that the submission was not run.

    Args:
        retry_after: Seconds for which the caller is asked to avoid this server; 0: it is not asked to.
        final: Whether the caller should not try another server either.
    """
    fields = _load_fields(load)
    if retry_after > 0:
        fields.append(("pushback", str(max(1, round(1000.0 * retry_after)))))
    if final:
        fields.append(("stop", "1"))
    return _encode_coded_frame(ANSWER, stream, REJECTED, fields)


def failed(stream, load=None):
    """Encode the answer that the submission failed and may have had its effect."""
    return _encode_coded_frame(ANSWER, stream, FAILED, _load_fields(load))


def connection_error():
    """Encode the failure on stream 0, by which the server rejects the gateway's whole connection."""
    return _encode_coded_frame(ANSWER, 0, FAILED, [])


def health(stream, healthy, load=None):
    """Encode the answer to a health check."""
    return _encode_coded_frame(HEALTH, stream, HEALTHY if healthy else UNHEALTHY, _load_fields(load))


def no_more():
    """Encode the request that the gateway sends no more submissions on the connection and closes it."""
    return _encode_frame(NO_MORE, 0, b"")
