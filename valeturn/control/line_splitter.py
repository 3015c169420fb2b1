"""Splits a stream of bytes into the lines of the control protocol, without I/O."""

from __future__ import annotations

from .errors import RequestTooLongError
from .requests import MAX_REQUEST_BYTES


class LineSplitter:
    """Collects received bytes until lines are complete.

    Attributes:
        buffer: The beginning of a line whose end has not been received yet.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that are complete now, without their line ends.

        Raises:
            RequestTooLongError: A line has more than `MAX_REQUEST_BYTES`; lines that `data` completed are
            lost.
        """
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        if len(rest) > MAX_REQUEST_BYTES or any(len(line) > MAX_REQUEST_BYTES for line in lines):
            raise RequestTooLongError(MAX_REQUEST_BYTES)
        self.buffer = bytearray(rest)
        return lines
