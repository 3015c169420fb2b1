"""The log: the logging module with one key=value line an event, on standard error."""

from __future__ import annotations

import logging
import sys

LOGGER = logging.getLogger("valeturn")


def _value(value):
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text and not any(c.isspace() or c in '"=' for c in text)
    return text if plain else '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def pairs(fields):
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


class KeyValue(logging.Formatter):
    def format(self, record):
        fields = {"at": f"{record.created:.3f}", "level": record.levelname.lower(),
                  "event": record.getMessage()}
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return pairs(fields)


def set_up(name, level=logging.INFO):
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    LOGGER.handlers, LOGGER.propagate = [handler], False
    LOGGER.setLevel(level)

    def log(event, fields=None, fault=None):
        LOGGER.log(logging.INFO if fault is None else logging.ERROR, event,
                   extra={"fields": {"server": name, **(fields or {})}}, exc_info=fault)

    return log
