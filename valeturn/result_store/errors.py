"""The errors of the result store."""

from __future__ import annotations

from ..errors import ValeturnError


class StoreRefusedError(ValeturnError):
    """The directory can't be used as a store; nothing in it was changed."""


class NewerFormatError(StoreRefusedError):
    """A file was written by a newer version of the program."""

    def __init__(self, what: str, found: int, supported: int) -> None:
        super().__init__(f"{what} has format {found}, this version reads up to {supported}")
        self.what = what
        self.found = found
        self.supported = supported


class KeyMismatchError(StoreRefusedError):
    """A file was written with another key than the directory's."""

    def __init__(self, what: str) -> None:
        super().__init__(f"{what} was written with another key")
        self.what = what


class KeyFileError(StoreRefusedError):
    """The directory's key is missing beside a log, or has a wrong size."""

    def __init__(self, file: str, fault: str) -> None:
        super().__init__(f"the file {file} {fault}")
        self.file = file
        self.fault = fault


class NoStoreError(StoreRefusedError):
    """The directory holds no store, and none may be created."""

    def __init__(self) -> None:
        super().__init__("there is no store in this folder")


class SnapshotDamagedError(ValeturnError):
    """The snapshot's bytes can't be used; the log is read instead."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
