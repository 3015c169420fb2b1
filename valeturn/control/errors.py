"""The errors of the control socket."""

from __future__ import annotations

from ..errors import ValeturnError


class ControlError(ValeturnError):
    """Base class of the control socket's errors."""


class InvalidRequestError(ControlError):
    """A line is not a valid request.

    Attributes:
        reason: What was expected instead; it is sent to the client unchanged.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RequestTooLongError(ControlError):
    """A client has sent a line that is longer than the longest request.

    Attributes:
        max_bytes: The longest line that is accepted, in bytes.
        reason: The text that is sent to the client.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reason = f"a request has at most {max_bytes} bytes"
        super().__init__(self.reason)


class SocketInUseError(ControlError):
    """Another process listens on the path of the control socket.

    Attributes:
        path: The path of the Unix socket.
    """

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.path = path
