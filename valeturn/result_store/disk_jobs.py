"""The jobs that the worker thread does in the store's directory. Nothing here decides.

All methods may raise OSError.
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
        """Begin a segment with its first frame and return its bytes, durable with its directory entry.

        The segment before is closed. A file of this number that an earlier attempt left was never part of
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
        except OSError:  # Appends queued behind this job must not succeed as if the segment existed.
            self.abandon()
            raise
        return len(records.LOG_MAGIC) + len(head)

    def append(self, data: bytes) -> int:
        """Append with one write and one sync, and return the number of bytes."""
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
        """Close the active segment's descriptor, which is never written again."""
        file = self.current
        self.current = None
        if file is not None:
            # An error of close tells nothing that the sync did not tell.
            with contextlib.suppress(OSError):
                self.files.close(file)

    def read_record(self, number: int, offset: int, size: int) -> records.Record | None:
        """Read one record of a segment, or return None where it is not whole."""
        return records.decode_single(self.files.read_at(directory.segment_file(number), offset, size))

    def read_segment(self, number: int) -> bytes:
        """Read a whole segment."""
        return self.files.read(directory.segment_file(number))

    def delete_segment(self, number: int) -> None:
        """Delete a segment durably."""
        self.files.remove(directory.segment_file(number))
        self.files.sync_folder()

    def set_aside(self, number: int) -> None:
        """Rename a damaged segment durably, so that it leaves the log and stays for inspection."""
        self.files.rename(directory.segment_file(number), directory.damaged_file(number))
        self.files.sync_folder()

    # A snapshot is written under another name, made durable, and then renamed atomically.

    def begin_snapshot(self, head: bytes) -> int:
        """Begin a snapshot with its head and return the head's bytes."""
        self.files.close(NEW_SNAPSHOT_FILE)
        self.files.remove(NEW_SNAPSHOT_FILE)
        self.files.create(NEW_SNAPSHOT_FILE)
        return self.write_snapshot(head)

    def write_snapshot(self, data: bytes) -> int:
        """Append to the snapshot and return the number of bytes.

        After a failure the file is closed, so that no later write and no end can make it look whole.
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
