"""Messages between servers as bytes: length, CRC32C, version, msgpack. Bounded, no I/O.

    message = length:4 crc:4 version:1 payload      little-endian; length counts payload, crc is over
    version and payload
    payload = msgpack [fleet, sender, life, kind, fields...]

What can't be read, belongs to another fleet or is too long is told as a Fault, which costs its link at the
most.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import google_crc32c
import msgpack

from .limits import MESSAGE

VERSION = 1
HEAD = struct.Struct("<IIB")


class Fault(NamedTuple):
    """What came is no message of this fleet: why, in one word."""

    why: str


class Message(NamedTuple):
    """One that can be read."""

    sender: str
    life: int  # of the sender: its start number, which only rises
    kind: str
    fields: list


def encode(fleet, sender, life, kind, fields):
    """Bytes. Raises ValueError where they would be too long: a fault of this program."""
    payload = msgpack.packb([fleet, sender, life, kind, *fields], use_bin_type=True)
    if len(payload) > MESSAGE:
        raise ValueError(f"{kind} of {len(payload)} bytes")
    checked = bytes((VERSION,)) + payload
    return HEAD.pack(len(payload), google_crc32c.value(checked), VERSION) + payload


class Decoder:
    """Cuts what is read into messages; the first Fault is the last that it gives."""

    def __init__(self, fleet):
        self.fleet, self.held, self.broken = fleet, bytearray(), False

    def feed(self, data):
        """A list of Message, which may end with a Fault."""
        out = []
        self.held += data
        while not self.broken and len(self.held) >= HEAD.size:
            length, crc, version = HEAD.unpack_from(self.held)
            if length > MESSAGE:
                out.append(self._fault("too_long"))
            elif len(self.held) < HEAD.size + length:
                break
            else:
                payload = bytes(self.held[HEAD.size : HEAD.size + length])
                del self.held[: HEAD.size + length]
                out.append(self._read(payload, crc, version))
        return out

    def _fault(self, why):
        self.broken = True
        self.held.clear()
        return Fault(why)

    def _read(self, payload, crc, version):
        if google_crc32c.value(bytes((version,)) + payload) != crc:
            return self._fault("damaged")
        if version != VERSION:
            return self._fault("version")
        try:
            said = msgpack.unpackb(payload)
        except (
            ValueError,
            msgpack.exceptions.ExtraData,
            msgpack.exceptions.FormatError,
            msgpack.exceptions.StackError,
        ):
            return self._fault("unreadable")
        if not isinstance(said, list) or len(said) < 4:
            return self._fault("unreadable")
        fleet, sender, life, kind, *fields = said
        if not (isinstance(sender, str) and isinstance(life, int) and isinstance(kind, str)):
            return self._fault("unreadable")
        if fleet != self.fleet:
            return self._fault("other_fleet")
        return Message(sender, life, kind, fields)
