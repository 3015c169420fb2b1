"""Logs each event as one logfmt line on standard error, with the logging module."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections.abc import Mapping
from typing import Protocol

from logfmter import Logfmter

LOGGER = logging.getLogger("valeturn")


class Log(Protocol):
    """Logs one event."""

    def __call__(
        self, event: str, fields: Mapping[str, object] | None = None, fault: BaseException | None = None
    ) -> None:
        """Log an event with its fields at level info; with a fault, at level error and with its traceback."""


class EventFormatter(logging.Formatter):
    """Formats a record as `at=... level=... event=... key=value ...`.

    Only the quoting of the logfmter library is used. Its formatter can't limit the digits of the time or of a
    field, and writes the level in capitals.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a line end."""
        fields: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        texts = {
            key: f"{value:.6g}" if isinstance(value, float) else str(value) for key, value in fields.items()
        }
        return str(Logfmter.format_params(texts))


class NonBlockingHandler(logging.Handler):
    """Writes to a file descriptor, and drops lines that would block.

    A log that nobody reads must not block the server. A pipe that polls as writable takes PIPE_BUF bytes
    without blocking, so that a longer line is written in chunks of that size.

    Attributes:
        dropped: How many lines were dropped, whole or in part.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; count it as dropped if it can't be formatted or written."""
        try:
            data = (self.format(record) + "\n").encode(errors="replace")
        except Exception:  # a line that can't be formatted must not stop the event loop
            self.dropped += 1
            return
        for start in range(0, len(data), select.PIPE_BUF):
            if not self._write(data[start : start + select.PIPE_BUF]):
                self.dropped += 1
                return

    def _write(self, chunk: bytes) -> bool:
        """Write at most PIPE_BUF bytes without blocking; return whether they were written."""
        poll_events = self._poller.poll(0)
        if not poll_events or poll_events[0][1] & ~select.POLLOUT:
            return False
        try:
            os.write(self.descriptor, chunk)
        except OSError:
            return False
        return True


def _standard_error() -> logging.Handler:
    if sys.stderr is None:  # closed before the process started: the server works without a log
        return logging.NullHandler()
    return NonBlockingHandler(sys.stderr.fileno())


def set_up(name: str) -> Log:
    """Send the log to standard error; return a function that logs events of the server of that name."""
    handler = _standard_error()
    handler.setFormatter(EventFormatter())
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(logging.INFO)

    def log(
        event: str, fields: Mapping[str, object] | None = None, fault: BaseException | None = None
    ) -> None:
        level = logging.INFO if fault is None else logging.ERROR
        extra = {"fields": {"server": name, **(fields or {})}}
        LOGGER.log(level, event, extra=extra, exc_info=fault)

    return log
