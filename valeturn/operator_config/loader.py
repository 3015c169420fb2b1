"""Reads the operator's file with what the subsystems declare, which is handed in: section -> its module of
options, with SHAPE and fit(built, configuration) -> faults."""

from __future__ import annotations

import os
import pickle
import socket

from . import schema


class Unusable(Exception):
    """The operator's file can't be used; `faults` has a line for each thing that is wrong."""

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def load(path, c, declared):
    """Options that fit the configuration. Raises Unusable."""
    options, faults = schema.load(path, [module.SHAPE for module in declared.values()])
    if options is not None:
        faults = [fault for name, built in options.sections.items() for fault in declared[name].fit(built, c)]
        for name, built in options.sections.items():  # what shows only beside other sections
            faults += getattr(declared[name], "beside", lambda built, sections: [])(built, options.sections)
    if faults:
        raise Unusable(faults)
    return options


def receive(sock):
    """All bytes up to the end, waiting for them."""
    parts = []
    while data := sock.recv(65536):
        parts.append(data)
    return b"".join(parts)


def load_apart(path, c, declare, receive=receive):
    """As `load`, in a process of its own that ends with it: the grammar's memory goes with that process, and
    a running server's loop goes on meanwhile where `receive` lets it. declare() is called there."""
    ours, other = socket.socketpair()
    child = os.fork()
    if child == 0:
        try:
            try:
                said = load(path, c, declare())
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
