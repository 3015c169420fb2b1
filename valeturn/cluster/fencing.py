"""Numbers that only rise: whatever a duty touches refuses a lower one than it has seen.

`Fences` are a process's own, in memory. A file has its number beside it, in FILE.fence, taken under a lock
and durable before the file is touched: an owner that was overtaken finds it there."""

from __future__ import annotations

import fcntl
import os
import tempfile

MOST = 2**63 - 1


class Stale(Exception):
    """A number lower than one seen: args are the number and the one seen."""


class Fences:
    """name -> the highest number seen."""

    def __init__(self, most=64):
        self.most, self.seen, self.refused = most, {}, 0

    def passes(self, name, number):
        """Whether an effect under that number may be had; a higher one is remembered."""
        if name not in self.seen and len(self.seen) >= self.most:
            self.refused += 1
            return False
        if number < self.seen.get(name, 0):
            self.refused += 1
            return False
        self.seen[name] = number
        return True


def _durable_write(path, data, mode):
    folder = os.path.dirname(os.path.abspath(path))
    descriptor, new = tempfile.mkstemp(prefix=os.path.basename(path) + ".", dir=folder)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fchmod(file.fileno(), mode)
            os.fsync(file.fileno())
        os.rename(new, path)
    except BaseException:
        os.unlink(new)
        raise
    folder = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Guarded:
    """Holds the lock of a path's number while an effect on it is had. Raises Stale or OSError."""

    def __init__(self, path, number):
        self.path, self.number = path, number

    def __enter__(self):
        self.descriptor = os.open(self.path + ".fence", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.descriptor, fcntl.LOCK_EX)
        try:
            text = os.pread(self.descriptor, 32, 0).split()
            seen = int(text[0]) if text and text[0].isdigit() else 0
            if self.number < seen:
                raise Stale(self.number, seen)
            if self.number > seen:
                os.pwrite(
                    self.descriptor, b"%-24d\n" % self.number, 0
                )  # of one length: never torn to a lower one
                os.fsync(self.descriptor)
        except BaseException:
            os.close(self.descriptor)
            raise
        return self

    def __exit__(self, *_):
        os.close(self.descriptor)


def replace(path, data, number):
    """Replaces a file whole under a fence. Raises Stale, with the file as it was, or OSError."""
    with Guarded(path, number):
        mode = os.stat(path).st_mode & 0o777 if os.path.exists(path) else 0o644
        _durable_write(path, data, mode)
