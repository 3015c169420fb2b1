"""Opens a store's directory for the server and the commands; one that can't be used is not changed."""

from __future__ import annotations

import os
import re
from typing import Final, NamedTuple

import blake3

from . import directory, recovery, snapshot
from .directory import StoreFiles
from .errors import KeyFileError, NoStoreError, SnapshotDamagedError
from .snapshot import LogPosition
from .window_clock import ClockReading

KNOWN_TEXT: Final = b"valeturn kept results"  # hashed with the key: part of the format on disk
KEY_SIZE: Final = 32  # bytes
KEY_CHECK_SIZE: Final = 8  # bytes
# Bytes read from the front of a segment: enough for its head, whatever it lists.
HEAD_READ_SIZE: Final = 65536


def read_or_create_key(files: StoreFiles, may_create: bool) -> bytes:
    """Return the key of the digests; create it where there is no store yet.

    Raises:
        KeyFileError: The key is damaged, or missing although there is a log, which is useless without it.
        NoStoreError: There is no store, and none may be created.
        OSError: The directory can't be read or written.
    """
    names = files.names()
    if directory.KEY_FILE in names:
        key = files.read(directory.KEY_FILE)
        if len(key) != KEY_SIZE:
            raise KeyFileError(directory.KEY_FILE, f"has {len(key)} bytes, wants {KEY_SIZE}")
        return key
    if any(directory.SEGMENT_PATTERN.fullmatch(file) for file in names):
        raise KeyFileError(directory.KEY_FILE, "is missing beside a log that was written with it")
    if not may_create:
        raise NoStoreError
    key = os.urandom(KEY_SIZE)
    new_file = directory.KEY_FILE + ".new"
    files.remove(new_file)
    files.create(new_file)
    files.write(new_file, key)
    files.sync(new_file)
    files.close(new_file)
    files.rename(new_file, directory.KEY_FILE)
    files.sync_folder()
    return key


def key_check(key: bytes) -> bytes:
    """Return the keyed hash of the known text, which identifies the key that a file was written with."""
    return blake3.blake3(KNOWN_TEXT, key=key).digest(KEY_CHECK_SIZE)


class OpenedStore(NamedTuple):
    """What was found in a directory."""

    key: bytes
    recovered: recovery.RecoveredLog
    covered: int  # all segments below this number are covered by the snapshot
    snapshot_size: int  # bytes
    snapshot_fault: str | None  # why the snapshot can't be used
    position: LogPosition | None  # of the snapshot in the log
    set_aside: list[int]  # damaged segments


def open_store(files: StoreFiles, reading: ClockReading, may_create: bool = True) -> OpenedStore:
    """Read a directory and recover its log.

    Args:
        files: The directory.
        reading: The machine's clocks now.
        may_create: Whether a key is created where there is no store yet.

    Raises:
        StoreRefusedError: The directory can't be used.
        OSError: It can't be read.
    """
    key = read_or_create_key(files, may_create)
    names = files.names()
    numbers = _segment_numbers(names, directory.SEGMENT_PATTERN)
    set_aside = _segment_numbers(names, directory.DAMAGED_PATTERN)
    first_bytes = {number: files.read(directory.segment_file(number), HEAD_READ_SIZE) for number in numbers}
    found_snapshot = None
    snapshot_fault = None
    snapshot_size = 0
    if directory.SNAPSHOT_FILE in names:
        data = files.read(directory.SNAPSHOT_FILE)
        snapshot_size = len(data)
        try:
            found_snapshot = snapshot.decode_snapshot(data)
        except SnapshotDamagedError as error:
            snapshot_fault = error.reason
    source = recovery.LogSource(
        found_snapshot,
        numbers,
        first_bytes,
        lambda number: files.read(directory.segment_file(number)),
        set_aside,
    )
    recovered = recovery.recover(source, key_check(key), reading)
    _match_segments(recovered, files, numbers)
    recovered.last_segment = max([recovered.last_segment, *set_aside])
    if snapshot_fault is not None:
        recovered.note("snapshot_unusable", why=snapshot_fault)
    position = found_snapshot.position if found_snapshot is not None else None
    covered = position.segment if position is not None else 0
    return OpenedStore(key, recovered, covered, snapshot_size, snapshot_fault, position, set_aside)


def _segment_numbers(names: list[str], pattern: re.Pattern[str]) -> list[int]:
    matches = (pattern.fullmatch(name) for name in names)
    return sorted(int(match.group(1)) for match in matches if match is not None)


def _match_segments(recovered: recovery.RecoveredLog, files: StoreFiles, numbers: list[int]) -> None:
    """Make the list of recovered segments match the files that exist."""
    for number in numbers:
        if (
            number not in recovered.segments
        ):  # It lies before the snapshot's position and is not in the snapshot's list.
            size = files.size(directory.segment_file(number))
            recovered.segments[number] = recovery.Segment(number, size)
    for number in list(recovered.segments):
        if number not in numbers:
            del recovered.segments[number]
