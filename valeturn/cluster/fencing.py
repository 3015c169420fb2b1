"""Fencing tokens: a resource rejects a token lower than the highest one that it has received.

A lease alone does not exclude a delayed effect of an earlier lease holder; a token that rises with every
grant does (Kleppmann, "How to do distributed locking"). `FencingTokens` keeps the highest tokens of one
process in memory. A file's token is stored next to it in `FILE.fence`, which is locked and made durable
before the file is changed: a superseded lease holder finds the higher token there.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from types import TracebackType

from ..errors import ValeturnError

# The largest token: a signed 64-bit integer, so that resources can store it in a database column.
HIGHEST_TOKEN = 2**63 - 1
# Maximum resources whose tokens one process stores: twice the singleton tasks that a cluster may have.
REMEMBERED_RESOURCES = 64
# Bytes read from a token file: more than the 25 of its only line.
TOKEN_FILE_BYTES = 32


class StaleTokenError(ValeturnError):
    """A fencing token is lower than one that the resource has already received.

    Attributes:
        token: the rejected token.
        highest_seen: the highest token that the resource has received.
    """

    def __init__(self, token: int, highest_seen: int) -> None:
        super().__init__(token, highest_seen)
        self.token = token
        self.highest_seen = highest_seen


class FencingTokens:
    """The highest fencing token received for each named resource, in memory."""

    def __init__(self, capacity: int = REMEMBERED_RESOURCES) -> None:
        self.capacity = capacity
        self.highest_seen: dict[str, int] = {}
        self.rejected_count = 0

    def accept(self, name: str, token: int) -> bool:
        """Return whether an effect under this token is allowed, and store the token if so.

        A token for a resource beyond the capacity is rejected: discarding another resource's token instead
        would let a superseded lease holder through.
        """
        is_full = name not in self.highest_seen and len(self.highest_seen) >= self.capacity
        if is_full or token < self.highest_seen.get(name, 0):
            self.rejected_count += 1
            return False
        self.highest_seen[name] = token
        return True


class FencedFile:
    """A context manager that holds the lock of a file's token while the file is changed."""

    def __init__(self, path: str, token: int) -> None:
        self.path = path
        self.token = token
        self.descriptor = -1

    def __enter__(self) -> FencedFile:
        """Lock the token file and record the token in it durably.

        Raises:
            StaleTokenError: a higher token is recorded there.
            OSError: the token file cannot be opened, read or written.
        """
        self.descriptor = os.open(self.path + ".fence", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.descriptor, fcntl.LOCK_EX)
        try:
            self._record_token()
        except BaseException:
            os.close(self.descriptor)
            raise
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the lock."""
        os.close(self.descriptor)

    def _record_token(self) -> None:
        words = os.pread(self.descriptor, TOKEN_FILE_BYTES, 0).split()
        highest_seen = int(words[0]) if words and words[0].isdigit() else 0
        if self.token < highest_seen:
            raise StaleTokenError(self.token, highest_seen)
        if self.token > highest_seen:
            # Tokens are padded to one length: a torn write never leaves the digits of a lower token.
            os.pwrite(self.descriptor, b"%-24d\n" % self.token, 0)
            os.fsync(self.descriptor)


def replace_file(path: str, data: bytes, token: int) -> None:
    """Replace a file atomically and durably under a fencing token.

    Raises:
        StaleTokenError: a higher token was received before; the file is unchanged.
        OSError: the file or its token cannot be written.
    """
    with FencedFile(path, token):
        mode = os.stat(path).st_mode & 0o777 if os.path.exists(path) else 0o644
        _write_durably(path, data, mode)


def _write_durably(path: str, data: bytes, mode: int) -> None:
    directory = os.path.dirname(os.path.abspath(path))
    descriptor, temporary = tempfile.mkstemp(prefix=os.path.basename(path) + ".", dir=directory)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fchmod(file.fileno(), mode)
            os.fsync(file.fileno())
        os.rename(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise
    # The rename is durable only once the directory is.
    directory_descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(directory_descriptor)
    finally:
        os.close(directory_descriptor)
