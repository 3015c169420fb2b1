"""The program's server with the laboratory's seams: its peers are reached through relays, its clock is one
that can run fast or stand still, and it notes down, for the witness, when it would act and what it may use.

    python -m valeturn.lab.fault_injection.member CONFIG SETTINGS SEAMS
"""

from __future__ import annotations

import errno
import json
import mmap
import os
import struct
import sys
import time

from ...cluster import node, vote_file
from ...server.commands import serve
from ...server.configuration import ConfigurationError
from ...server.test_overrides import Overrides
from ...transport.streams import connect

CLOCK = struct.Struct("<ddd")  # rate, own time and true time at which it holds


class Clock:
    """Reads what the laboratory wrote to a file: own = own0 + rate x (true - true0)."""

    def __init__(self, path):
        with open(path, "rb") as file:
            self.map = mmap.mmap(file.fileno(), CLOCK.size, access=mmap.ACCESS_READ)

    def now(self):
        rate, own, true = CLOCK.unpack(self.map[: CLOCK.size])
        return own + rate * (node.boot_clock() - true)

    def to_boot(self, moment):
        rate, own, true = CLOCK.unpack(self.map[: CLOCK.size])
        return true + (moment - own) / rate if rate > 0 else true + 3600.0


def write_clock(path, rate, own, true):
    with open(path, "r+b" if os.path.exists(path) else "wb") as file:
        file.write(CLOCK.pack(rate, own, true))


class Noting(node.ClusterNode):
    """Notes: "acts TRUE_TIME TERM", the time read before the lease was looked at, and "share TRUE_TIME AMOUNT
    UNTIL" in true time."""

    def note(self, line):
        os.write(self.notes, line.encode() + b"\n")

    def tick(self):
        before = node.boot_clock()
        if self.leads(self.clock()):
            self.note(f"acts {before:.6f} {self.raft.durable.term}")
        super().tick()

    def share_calls(self, *args):
        super().share_calls(*args)
        self.note_share()

    def on_share(self, now, sender, said):
        super().on_share(now, sender, said)
        self.note_share()

    def note_share(self):
        amount, until = self.call_quota.available(), self.call_quota.client.valid_until
        until = self.seams.to_boot(until) if until < 1e300 else 1e300
        line = f"share {node.boot_clock():.6f} {amount!r} {until:.6f}"
        if line.split()[2:] != getattr(self, "noted", None):
            self.noted = line.split()[2:]
            self.note(line)

    KINDS = {**node.ClusterNode.KINDS, "share": on_share}


class Filling(vote_file.VoteDirectory):
    """On a disk that is full while a file says so."""

    full = None

    def write(self, data):
        if os.path.exists(self.full):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(data)


def main(config, settings, seams):
    with open(seams, encoding="utf-8") as file:
        told = json.load(file)
    relays = {tuple(one["of"]): tuple(one["through"]) for one in told["relays"]}
    clock = Clock(told["clock"])
    Noting.notes = os.open(told["notes"], os.O_CREAT | os.O_APPEND | os.O_WRONLY)
    node.ClusterNode, Filling.full = Noting, told["full"]

    def dial(scheduler, address, patience):
        return connect(scheduler, relays.get(address, address), patience)

    wall = told["wall"]  # s that this server's wall clock is off
    fleet = node.Seams(clock.now, clock.to_boot, dial, Filling, lambda: time.time() + wall)
    try:
        return serve(config, settings=settings, overrides=Overrides(fleet=fleet))
    except ConfigurationError as wrong:
        print(f"valeturn: {wrong}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
