"""Messages between servers as bytes: length, CRC-32C (RFC 3720), version, MessagePack. Bounded, no I/O.

    message = length:4 checksum:4 version:1 payload    little-endian; the length is the payload's, the
                                                       checksum is over version and payload
    payload = MessagePack array [cluster, sender, generation, kind, fields...]

Bytes that are damaged, too long or of another cluster end decoding of their stream: `Decoder.feed` returns a
`DecodeError` as the last result, and nothing after it.
"""

from __future__ import annotations

import struct
from enum import Enum
from typing import Any, NamedTuple

import google_crc32c
import msgpack

from ..errors import ValeturnError
from .limits import MESSAGE

VERSION = 1
HEADER = struct.Struct("<IIB")  # length, checksum, version
LEADING_FIELDS = 4  # cluster, sender, generation, kind


class DecodeFailure(Enum):
    """Why bytes can't be decoded; the values are the last part of the counters' names."""

    TOO_LONG = "too_long"
    CHECKSUM = "checksum"
    VERSION = "version"
    MALFORMED = "malformed"
    OTHER_CLUSTER = "other_cluster"


class DecodeError(ValeturnError):
    """Received bytes are not a message of this cluster.

    Attributes:
        reason: why they can't be decoded.
    """

    def __init__(self, reason: DecodeFailure) -> None:
        super().__init__(reason.value)
        self.reason = reason


class MessageTooLongError(ValeturnError):
    """A message exceeds the limit, which is a fault of this program.

    Attributes:
        kind: the message's kind.
        size: the size of its payload in bytes.
    """

    def __init__(self, kind: str, size: int) -> None:
        super().__init__(f"{kind} of {size} bytes")
        self.kind = kind
        self.size = size


class Message(NamedTuple):
    """One message; the order of the fields is their order on the wire."""

    sender: str
    generation: int  # of the sender's process: larger at each start
    kind: str
    fields: list[Any]


def encode(cluster: str, sender: str, generation: int, kind: str, fields: list[Any]) -> bytes:
    """Return a message as bytes.

    Raises:
        MessageTooLongError: if the payload is longer than MESSAGE bytes.
    """
    payload: bytes = msgpack.packb([cluster, sender, generation, kind, *fields], use_bin_type=True)
    if len(payload) > MESSAGE:
        raise MessageTooLongError(kind, len(payload))
    return HEADER.pack(len(payload), _checksum(VERSION, payload), VERSION) + payload


def _checksum(version: int, payload: bytes) -> int:
    return int(google_crc32c.value(bytes((version,)) + payload))


def _decode(expected_cluster: str, payload: bytes, checksum: int, version: int) -> Message:
    """Return the message of one frame.

    Raises:
        DecodeError: if it is damaged, of another version or cluster, or malformed.
    """
    if _checksum(version, payload) != checksum:
        raise DecodeError(DecodeFailure.CHECKSUM)
    if version != VERSION:
        raise DecodeError(DecodeFailure.VERSION)
    try:
        content = msgpack.unpackb(payload)
    except (
        ValueError,
        msgpack.exceptions.ExtraData,
        msgpack.exceptions.FormatError,
        msgpack.exceptions.StackError,
    ):
        raise DecodeError(DecodeFailure.MALFORMED) from None
    if not isinstance(content, list) or len(content) < LEADING_FIELDS:
        raise DecodeError(DecodeFailure.MALFORMED)
    cluster, sender, generation, kind, *fields = content
    # An exact type: true and false are integers in Python.
    if not (isinstance(sender, str) and type(generation) is int and isinstance(kind, str)):
        raise DecodeError(DecodeFailure.MALFORMED)
    if cluster != expected_cluster:
        raise DecodeError(DecodeFailure.OTHER_CLUSTER)
    return Message(sender, generation, kind, fields)


class Decoder:
    """Splits the bytes of one stream into messages."""

    def __init__(self, cluster: str) -> None:
        self._cluster = cluster
        self._buffer = bytearray()
        self._failed = False

    def feed(self, data: bytes) -> list[Message | DecodeError]:
        """Add the next bytes and return the messages that they complete.

        Returns:
            The messages in order. The last one may be a `DecodeError`, after which nothing more is decoded.
        """
        results: list[Message | DecodeError] = []
        self._buffer += data
        while not self._failed and len(self._buffer) >= HEADER.size:
            length, checksum, version = HEADER.unpack_from(self._buffer)
            end = HEADER.size + length
            if length > MESSAGE:
                results.append(self._fail(DecodeError(DecodeFailure.TOO_LONG)))
            elif len(self._buffer) < end:
                break
            else:
                payload = bytes(self._buffer[HEADER.size : end])
                del self._buffer[:end]
                try:
                    results.append(_decode(self._cluster, payload, checksum, version))
                except DecodeError as error:
                    results.append(self._fail(error))
        return results

    def _fail(self, error: DecodeError) -> DecodeError:
        self._failed = True
        self._buffer.clear()
        return error
