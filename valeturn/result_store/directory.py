"""The store's directory on disk: the only place of the store that makes system calls."""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
from typing import Final, Protocol

# File names are part of the format on disk.
SEGMENT_PATTERN: Final = re.compile(r"kept-(\d{8})\.log")
DAMAGED_PATTERN: Final = re.compile(r"kept-(\d{8})\.damaged")
SNAPSHOT_FILE: Final = "snapshot"
KEY_FILE: Final = "key"
LOCK_FILE: Final = "lock"


def segment_file(number: int) -> str:
    """Return the file name of a segment."""
    return f"kept-{number:08d}.log"


def damaged_file(number: int) -> str:
    """Return the file name of a damaged segment that was set aside."""
    return f"kept-{number:08d}.damaged"


class StoreFiles(Protocol):
    """The file operations that the store uses; tests inject failures. All methods may raise OSError.

    File arguments are names within the directory. A file that is written stays open from `create` to `close`.
    """

    def prepare(self) -> bool:
        """Create and lock the directory; return False where another process has it."""

    def release(self) -> None:
        """Close all files and unlock the directory."""

    def names(self) -> list[str]:
        """Return the sorted names of all files."""

    def size(self, file: str) -> int:
        """Return a file's size in bytes."""

    def read(self, file: str, limit: int | None = None) -> bytes:
        """Read a file, or its first `limit` bytes."""

    def read_at(self, file: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes at an offset."""

    def create(self, file: str) -> None:
        """Create a file for writing; one of this name must not exist."""

    def write(self, file: str, data: bytes) -> None:
        """Append bytes to a file that is open."""

    def sync(self, file: str) -> None:
        """Make the bytes written to an open file durable."""

    def close(self, file: str) -> None:
        """Close a file; nothing happens where it is not open."""

    def rename(self, file: str, new: str) -> None:
        """Rename a file, replacing one of the new name."""

    def remove(self, file: str) -> None:
        """Remove a file; nothing happens where there is none."""

    def sync_folder(self) -> None:
        """Make the directory's entries durable."""


class StoreDirectory:
    """The files of one store in a directory of the file system; see `StoreFiles`."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.lock_descriptor: int | None = None
        self.open: dict[str, int] = {}  # name -> descriptor of a file that is being written

    def path(self, file: str) -> str:
        """Return the path of a file."""
        return os.path.join(self.folder, file)

    def prepare(self) -> bool:
        """Create the directory where it is missing and lock it; return False where another process has it."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        try:
            descriptor = os.open(self.path(LOCK_FILE), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError:  # The disk is read-only: the store is still readable.
            descriptor = os.open(self.path(LOCK_FILE), os.O_RDONLY | os.O_CLOEXEC)
        self.lock_descriptor = descriptor
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            self.lock_descriptor = None
            return False
        return True

    def release(self) -> None:
        """Close all files and unlock the directory."""
        for descriptor in [*self.open.values(), self.lock_descriptor]:
            if descriptor is not None:
                os.close(descriptor)
        self.open = {}
        self.lock_descriptor = None

    def names(self) -> list[str]:
        """Return the sorted names of all files."""
        return sorted(os.listdir(self.folder))

    def size(self, file: str) -> int:
        """Return a file's size in bytes."""
        return os.stat(self.path(file)).st_size

    def read(self, file: str, limit: int | None = None) -> bytes:
        """Read a file, or its first `limit` bytes."""
        with open(self.path(file), "rb") as source:
            return source.read() if limit is None else source.read(limit)

    def read_at(self, file: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes at an offset."""
        descriptor = os.open(self.path(file), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(descriptor, size, offset)
        finally:
            os.close(descriptor)

    def create(self, file: str, mode: int = 0o600) -> None:
        """Create a file for writing; one of this name must not exist."""
        flags = os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_CLOEXEC
        self.open[file] = os.open(self.path(file), flags, mode)

    def write(self, file: str, data: bytes) -> None:
        """Append bytes to a file that is open."""
        descriptor = self._descriptor(file)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def sync(self, file: str) -> None:
        """Make the bytes written to an open file durable."""
        os.fdatasync(self._descriptor(file))

    def _descriptor(self, file: str) -> int:
        if file not in self.open:
            raise OSError(0, f"{file} is not open")
        return self.open[file]

    def close(self, file: str) -> None:
        """Close a file; nothing happens where it is not open."""
        descriptor = self.open.pop(file, None)
        if descriptor is not None:
            os.close(descriptor)

    def rename(self, file: str, new: str) -> None:
        """Rename a file, replacing one of the new name."""
        os.rename(self.path(file), self.path(new))

    def remove(self, file: str) -> None:
        """Remove a file; nothing happens where there is none."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path(file))

    def sync_folder(self) -> None:
        """Make the directory's entries durable: files created, renamed and removed."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
