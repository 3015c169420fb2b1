"""The folder on the disk: the only place of the store that calls the system. All errors are OSErrors."""

from __future__ import annotations

import fcntl
import os
import re

SEGMENT, DAMAGED = re.compile(r"kept-(\d{8})\.log"), re.compile(r"kept-(\d{8})\.damaged")
SNAPSHOT, KEY, LOCK = "snapshot", "key", "lock"


def name(number):
    return f"kept-{number:08d}.log"


def damaged(number):
    """The name of a segment that was set aside."""
    return f"kept-{number:08d}.damaged"


class Files:
    """The real one. Tests put one in its place that fails where they want it to."""

    def __init__(self, folder):
        self.folder, self.locked, self.open = folder, None, {}

    def path(self, file):
        return os.path.join(self.folder, file)

    def prepare(self):
        """Makes the folder where it is missing, and takes its lock. False where another process has it."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        try:
            self.locked = os.open(self.path(LOCK), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError:  # a disk that can't be written: what it holds is read all the same
            self.locked = os.open(self.path(LOCK), os.O_RDONLY | os.O_CLOEXEC)
        try:
            fcntl.flock(self.locked, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.locked)
            self.locked = None
            return False
        return True

    def release(self):
        for descriptor in [*self.open.values(), self.locked]:
            if descriptor is not None:
                os.close(descriptor)
        self.open, self.locked = {}, None

    def names(self):
        return sorted(os.listdir(self.folder))

    def size(self, file):
        return os.stat(self.path(file)).st_size

    def read(self, file, most=None):
        with open(self.path(file), "rb") as source:
            return source.read() if most is None else source.read(most)

    def read_at(self, file, offset, size):
        descriptor = os.open(self.path(file), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(descriptor, size, offset)
        finally:
            os.close(descriptor)

    def create(self, file, mode=0o600):
        self.open[file] = os.open(self.path(file), os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_CLOEXEC, mode)

    def write(self, file, data):
        if file not in self.open:
            raise OSError(0, f"{file} is not open")
        view = memoryview(data)
        while view:
            view = view[os.write(self.open[file], view) :]

    def sync(self, file):
        if file not in self.open:
            raise OSError(0, f"{file} is not open")
        os.fdatasync(self.open[file])

    def close(self, file):
        descriptor = self.open.pop(file, None)
        if descriptor is not None:
            os.close(descriptor)

    def rename(self, file, new):
        os.rename(self.path(file), self.path(new))

    def remove(self, file):
        try:
            os.unlink(self.path(file))
        except FileNotFoundError:
            pass

    def sync_folder(self):
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
