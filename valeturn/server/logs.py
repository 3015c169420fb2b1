"""The log: the logging module with one logfmt line an event, on standard error."""

from __future__ import annotations

import logging
import os
import select
import sys

from logfmter import Logfmter

LOGGER = logging.getLogger("valeturn")


def pairs(fields):
    return Logfmter.format_params(
        {key: f"{value:.6g}" if isinstance(value, float) else str(value) for key, value in fields.items()}
    )


class KeyValue(logging.Formatter):
    def format(self, record):
        fields = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return pairs(fields)


class NeverWaiting(logging.Handler):
    """Writes to a descriptor, and drops lines while nobody takes them: a log that is not read must not hold
    the server up. A pipe that can be written takes PIPE_BUF bytes without waiting."""

    def __init__(self, descriptor):
        super().__init__()
        self.descriptor, self.dropped, self.poller = descriptor, 0, select.poll()
        self.poller.register(descriptor, select.POLLOUT)

    def emit(self, record):
        try:
            data = (self.format(record) + "\n").encode(errors="replace")
        except Exception:  # a line of what went wrong must not be what ends the loop
            self.dropped += 1
            return
        for start in range(0, len(data), select.PIPE_BUF):
            ready = self.poller.poll(0)
            if not ready or ready[0][1] & ~select.POLLOUT:
                self.dropped += 1
                return
            try:
                os.write(self.descriptor, data[start : start + select.PIPE_BUF])
            except OSError:
                self.dropped += 1
                return


def set_up(name):
    # One whose standard error was closed before it started has none to write to, and serves all the same.
    handler = logging.NullHandler() if sys.stderr is None else NeverWaiting(sys.stderr.fileno())
    handler.setFormatter(KeyValue())
    LOGGER.handlers, LOGGER.propagate = [handler], False
    LOGGER.setLevel(logging.INFO)

    def log(event, fields=None, fault=None):
        LOGGER.log(
            logging.INFO if fault is None else logging.ERROR,
            event,
            extra={"fields": {"server": name, **(fields or {})}},
            exc_info=fault,
        )

    return log
