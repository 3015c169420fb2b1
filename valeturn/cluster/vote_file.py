r"""The directory that holds a voter's durable state: one small file, replaced atomically.

    file = b"valeturn vote 1\n" crc:4 msgpack [cluster, name, address, incarnation, state]      little-endian

The state is durable before any message that depends on it is sent (Raft, "Persistent state on all servers").
The file belongs to one server: a directory that was copied to another server or address is rejected, as two
servers must not vote under one incarnation.
"""

from __future__ import annotations

import fcntl
import os
import struct
from typing import NamedTuple

import google_crc32c
import msgpack

from ..errors import ValeturnError
from .raft_log import DurableState, LogEntry
from .replicated_state import ClusterState, decode_command

MAGIC = b"valeturn vote 1\n"
FILE_NAME = "vote"
LOCK_NAME = "lock"
CHECKSUM = struct.Struct("<I")


class VoteFileError(ValeturnError):
    """This server cannot use the directory.

    Attributes:
        reason: the text for the operator.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class DamagedVoteFileError(VoteFileError):
    """The file is incomplete or its checksum does not match."""


class ForeignVoteFileError(VoteFileError):
    """The file belongs to another server, cluster or address."""


class VoteDirectoryInUseError(VoteFileError):
    """Another process on this machine has locked the directory."""


class StoredVote(NamedTuple):
    """The content of a file."""

    incarnation: int
    state: DurableState


def encode(cluster: str, name: str, address: str, incarnation: int, state: DurableState) -> bytes:
    """Return the bytes of the file."""
    entries = [[entry.term, list(entry.command)] for entry in state.entries]
    packed: bytes = msgpack.packb(
        [
            cluster,
            name,
            address,
            incarnation,
            [
                state.term,
                state.vote,
                state.snapshot_index,
                state.snapshot_term,
                state.snapshot.encode(),
                entries,
                state.state_lost,
            ],
        ]
    )
    return MAGIC + CHECKSUM.pack(google_crc32c.value(packed)) + packed


def decode(data: bytes, cluster: str, name: str, address: str) -> StoredVote:
    """Return the content of this server's file.

    Raises:
        DamagedVoteFileError: it cannot be read. The server does not continue without its vote by itself: an
            operator has to remove the file.
        ForeignVoteFileError: it belongs to another server, cluster or address.
    """
    packed = _checked_content(data)
    file_cluster, file_name, file_address, incarnation, state = msgpack.unpackb(packed)
    if (file_cluster, file_name) != (cluster, name):
        raise ForeignVoteFileError(f"belongs to {file_name} of fleet {file_cluster}")
    if file_address != address:
        raise ForeignVoteFileError(
            f"belongs to {file_name} at {file_address}, not {address}: a copy, or a server that moved; "
            "remove it here if that one is gone"
        )
    term, vote, snapshot_index, snapshot_term, snapshot, entries, state_lost = state
    durable = DurableState(
        term,
        vote,
        snapshot_index,
        snapshot_term,
        ClusterState.decode(snapshot),
        tuple(LogEntry(entry_term, decode_command(command)) for entry_term, command in entries),
        state_lost,
    )
    return StoredVote(incarnation, durable)


def _checked_content(data: bytes) -> bytes:
    """Check the checksum and return the bytes after it.

    Raises:
        DamagedVoteFileError: the file is incomplete or its checksum does not match.
    """
    header_size = len(MAGIC) + CHECKSUM.size
    content = data[header_size:]
    is_complete = data.startswith(MAGIC) and len(data) >= header_size
    if not is_complete or CHECKSUM.unpack_from(data, len(MAGIC))[0] != google_crc32c.value(content):
        raise DamagedVoteFileError("damaged; remove it, and this server votes again once it was readmitted")
    return content


class VoteDirectory:
    """The directory of the file, locked against other processes on this machine."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.path = path
        self.lock_descriptor: int | None = None

    def lock(self) -> None:
        """Create the directory where it is missing and lock it.

        Raises:
            VoteDirectoryInUseError: another process has locked it.
            OSError: it cannot be created or opened.
        """
        os.makedirs(self.path, mode=0o700, exist_ok=True)
        lock_path = os.path.join(self.path, LOCK_NAME)
        self.lock_descriptor = os.open(lock_path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            raise VoteDirectoryInUseError("another process has it") from None

    def unlock(self) -> None:
        """Release the lock, if it is held."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None

    def read(self) -> bytes | None:
        """Return the bytes of the file, or None where nothing was ever stored.

        Raises:
            OSError: the file cannot be read.
        """
        try:
            with open(os.path.join(self.path, FILE_NAME), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, data: bytes) -> None:
        """Replace the file atomically; it is durable on return.

        Raises:
            OSError: the file cannot be written; the previous one is unchanged.
        """
        target = os.path.join(self.path, FILE_NAME)
        temporary = target + ".new"
        descriptor = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]
            os.fdatasync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, target)
        # The rename is durable only once the directory is.
        directory_descriptor = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(directory_descriptor)
        finally:
            os.close(directory_descriptor)
