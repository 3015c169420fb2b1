"""The sections that this version knows, each declared by its own package."""

from __future__ import annotations

import os
import pickle
import socket

from ..control.options import SHAPE as CONTROL
from ..levels import options as levels
from ..metrics.options import SHAPE as METRICS
from ..store.options import SHAPE as STORE
from . import schema

SHAPES = (STORE, levels.SHAPE, CONTROL, METRICS)


class Unusable(Exception):
    """The operator's file can't be used; `faults` has a line for each thing that is wrong."""

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


# name of a section -> what is wrong with what was built of it beside a configuration
# (program/configuration.py)
FITS = {
    "store": lambda built, c: built.fit(c.memory_mb),
    "level": lambda built, c: levels.fit(built, c.names),
    "control": lambda built, c: [],
    "metrics": lambda built, c: built.fit(c.memory_mb),
}


def load(path, c):
    """Options that fit the configuration. Raises Unusable."""
    options, faults = schema.load(path, SHAPES)
    if options is not None:
        faults = [fault for name, built in options.sections.items() for fault in FITS[name](built, c)]
    if faults:
        raise Unusable(faults)
    return options


def receive(sock):
    """All bytes up to the end, waiting for them."""
    parts = []
    while data := sock.recv(65536):
        parts.append(data)
    return b"".join(parts)


def load_apart(path, c, receive=receive):
    """As `load`, in a process of its own that ends with it: the grammar's memory goes with that process, and
    a running server's loop goes on meanwhile where `receive` lets it."""
    ours, other = socket.socketpair()
    child = os.fork()
    if child == 0:
        try:
            try:
                said = load(path, c)
            except Unusable as unusable:
                said = unusable.faults
            other.sendall(pickle.dumps(said))
        finally:
            os._exit(0)
    other.close()
    with ours:
        data = receive(ours)
    os.waitpid(child, 0)
    try:
        said = pickle.loads(data)
    except (EOFError, pickle.UnpicklingError):
        said = [schema.Fault(str(path), 0, 0, "unreadable", "its reader ended without a word")]
    if isinstance(said, list):
        raise Unusable(said)
    return said
