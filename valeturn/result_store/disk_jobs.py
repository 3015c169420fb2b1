"""The file operations that the worker thread runs in the store's directory.

They make no decisions. All methods may raise OSError.
"""

from __future__ import annotations

import contextlib
from typing import Final

from . import directory, records, snapshot
from .directory import StoreFiles

NEW_SNAPSHOT_FILE: Final = directory.SNAPSHOT_FILE + ".new"


class LogWriter:
    """Writes segments and snapshots, and reads records."""

    def __init__(self, files: StoreFiles) -> None:
        self.files = files
        self.current: str | None = None  # the file of the active segment while it can be written

    def begin_segment(self, number: int, head: bytes) -> int:
        """Create a segment with its first frame, durable with its directory entry; return its size in bytes.

        Closes the previous segment. A file of this number was left by a failed attempt, was never part of
        the log, and is removed.
        """
        self.abandon()
        file = directory.segment_file(number)
        self.files.remove(file)
        self.files.create(file)
        self.current = file
        self._write(records.LOG_MAGIC + head)
        try:
            self.files.sync_folder()
        except OSError:  # Appends queued after this job must not succeed as if the segment existed.
            self.abandon()
            raise
        return len(records.LOG_MAGIC) + len(head)

    def append(self, data: bytes) -> int:
        """Append to the active segment with one write and one sync; return the number of bytes."""
        if self.current is None:
            raise OSError(0, "no segment is open")
        self._write(data)
        return len(data)

    def _write(self, data: bytes) -> None:
        assert self.current is not None
        try:
            self.files.write(self.current, data)
            self.files.sync(self.current)
        except OSError:
            self.abandon()
            raise

    def abandon(self) -> None:
        """Close the active segment's descriptor; it is never written again."""
        file = self.current
        self.current = None
        if file is not None:
            # The failed write or sync was reported already; an error of close adds nothing.
            with contextlib.suppress(OSError):
                self.files.close(file)

    def read_record(self, number: int, offset: int, size: int) -> records.Record | None:
        """Read one record of a segment, or return None where it is incomplete or damaged."""
        return records.decode_single(self.files.read_at(directory.segment_file(number), offset, size))

    def read_segment(self, number: int) -> bytes:
        """Read a whole segment."""
        return self.files.read(directory.segment_file(number))

    def delete_segment(self, number: int) -> None:
        """Delete a segment durably."""
        self.files.remove(directory.segment_file(number))
        self.files.sync_folder()

    def set_aside(self, number: int) -> None:
        """Rename a damaged segment durably, so that it is no longer part of the log and can be inspected."""
        self.files.rename(directory.segment_file(number), directory.damaged_file(number))
        self.files.sync_folder()

    # A snapshot is written under another name, made durable, and then renamed atomically.

    def begin_snapshot(self, head: bytes) -> int:
        """Create a snapshot file with its head; return the head's size in bytes."""
        self.files.close(NEW_SNAPSHOT_FILE)
        self.files.remove(NEW_SNAPSHOT_FILE)
        self.files.create(NEW_SNAPSHOT_FILE)
        return self.write_snapshot(head)

    def write_snapshot(self, data: bytes) -> int:
        """Append to the snapshot and return the number of bytes.

        After a failure the file is closed, so that no later write or `end_snapshot` makes it look complete.
        """
        try:
            self.files.write(NEW_SNAPSHOT_FILE, data)
        except OSError:
            self.files.close(NEW_SNAPSHOT_FILE)
            raise
        return len(data)

    def end_snapshot(self, shard_count: int) -> int:
        """Complete the snapshot and make it the current one; return the count of its shards."""
        self.write_snapshot(snapshot.encode_end(shard_count))
        try:
            self.files.sync(NEW_SNAPSHOT_FILE)
        finally:
            self.files.close(NEW_SNAPSHOT_FILE)
        self.files.rename(NEW_SNAPSHOT_FILE, directory.SNAPSHOT_FILE)
        self.files.sync_folder()
        return shard_count
