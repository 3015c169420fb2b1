"""The folder that remembers a vote: one small file, replaced whole, durable before anybody is told.

    file = b"valeturn vote 1\\n" crc:4 msgpack [fleet, name, address, life, kept]      little-endian

It belongs to one server: a folder that was copied to another one, or moved to another address, is refused, as
the vote of one life must not be given by two.
"""

from __future__ import annotations

import fcntl
import os
import struct
from typing import NamedTuple

import google_crc32c
import msgpack

from .raft_log import DurableState, LogEntry
from .replicated_state import ClusterState, decode_command

MAGIC = b"valeturn vote 1\n"
FILE = "vote"
CRC = struct.Struct("<I")


class Refused(Exception):
    """The folder can't be used by this server: args[0] says why."""


class Found(NamedTuple):
    life: int
    kept: DurableState


def encode(fleet, name, address, life, kept):
    packed = msgpack.packb(
        [
            fleet,
            name,
            address,
            life,
            [
                kept.term,
                kept.vote,
                kept.snapshot_index,
                kept.snapshot_term,
                kept.snapshot.encode(),
                [[entry.term, list(entry.command)] for entry in kept.entries],
                kept.state_lost,
            ],
        ]
    )
    return MAGIC + CRC.pack(google_crc32c.value(packed)) + packed


def decode(data, fleet, name, address):
    """A Found. Raises Refused where it is another's, or damaged: a vote that can't be read was forgotten only
    once an operator has removed it."""
    packed = data[len(MAGIC) + CRC.size :]
    if (
        not data.startswith(MAGIC)
        or len(data) < len(MAGIC) + CRC.size
        or CRC.unpack_from(data, len(MAGIC))[0] != google_crc32c.value(packed)
    ):
        raise Refused("damaged; remove it, and this server votes again once it was readmitted")
    its_fleet, its_name, its_address, life, kept = msgpack.unpackb(packed)
    if (its_fleet, its_name) != (fleet, name):
        raise Refused(f"belongs to {its_name} of fleet {its_fleet}")
    if its_address != address:
        raise Refused(
            f"belongs to {its_name} at {its_address}, not {address}: a copy, or a server that moved; "
            "remove it here if that one is gone"
        )
    term, vote, base, base_term, facts, entries, blank = kept
    return Found(
        life,
        DurableState(
            term,
            vote,
            base,
            base_term,
            ClusterState.decode(facts),
            tuple(LogEntry(t, decode_command(fact)) for t, fact in entries),
            blank,
        ),
    )


class Folder:
    """The real one; a test's may fail where it wants to."""

    def __init__(self, path):
        self.path, self.locked = path, None

    def take(self):
        """Makes it where it is missing and keeps others on this machine out. Raises Refused or OSError."""
        os.makedirs(self.path, mode=0o700, exist_ok=True)
        self.locked = os.open(os.path.join(self.path, "lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.locked, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.release()
            raise Refused("another process has it") from None

    def release(self):
        if self.locked is not None:
            os.close(self.locked)
            self.locked = None

    def read(self):
        """None where nothing was ever kept."""
        try:
            with open(os.path.join(self.path, FILE), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, data):
        """Durable, whole or not at all, when it returns. Raises OSError."""
        target = os.path.join(self.path, FILE)
        descriptor = os.open(target + ".new", os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fdatasync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(target + ".new", target)
        folder = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
