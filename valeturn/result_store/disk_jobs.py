"""What the helper does to the folder: each function one job. Nothing here decides."""

from __future__ import annotations

from . import directory as names
from . import records, snapshot


class Journal:
    def __init__(self, files):
        self.files, self.current = files, None

    def begin(self, number, head):
        """A new segment with its first frame, durable with its name in the folder. What was written before it
        is closed; a file of that number that an earlier attempt left is no log yet and goes."""
        self.abandon()
        file = names.name(number)
        self.files.remove(file)
        self.files.create(file)
        self.current = file
        self._write(records.MAGIC + head)
        try:
            self.files.sync_folder()
        except OSError:  # what is asked for behind this must not go on as if the segment were there
            self.abandon()
            raise
        return len(records.MAGIC) + len(head)

    def append(self, data):
        """One write and one sync."""
        if self.current is None:
            raise OSError(0, "no segment is open")
        self._write(data)
        return len(data)

    def _write(self, data):
        try:
            self.files.write(self.current, data)
            self.files.sync(self.current)
        except OSError:
            self.abandon()
            raise

    def abandon(self):
        """The descriptor is closed and never written to again."""
        file, self.current = self.current, None
        if file is not None:
            try:
                self.files.close(file)
            except OSError:
                pass  # the sync said what there was to say

    def fetch(self, number, offset, size):
        """A record read alone, or None where it is not whole."""
        return records.one(self.files.read_at(names.name(number), offset, size))

    def segment(self, number):
        return self.files.read(names.name(number))

    def drop(self, number):
        self.files.remove(names.name(number))
        self.files.sync_folder()

    def set_aside(self, number):
        self.files.rename(names.name(number), names.damaged(number))
        self.files.sync_folder()

    # A snapshot is written under another name, made durable, then takes its own at once.

    def snapshot_begin(self, head):
        file = names.SNAPSHOT + ".new"
        self.files.close(file)
        self.files.remove(file)
        self.files.create(file)
        return self.snapshot_part(head)

    def snapshot_part(self, data):
        """After a failure the file is closed, so that no later part and no end can make it look whole."""
        file = names.SNAPSHOT + ".new"
        try:
            self.files.write(file, data)
        except OSError:
            self.files.close(file)
            raise
        return len(data)

    def snapshot_end(self, count):
        file = names.SNAPSHOT + ".new"
        self.snapshot_part(snapshot.end(count))
        try:
            self.files.sync(file)
        finally:
            self.files.close(file)
        self.files.rename(file, names.SNAPSHOT)
        self.files.sync_folder()
        return count
