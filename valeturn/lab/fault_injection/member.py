"""Runs a real server with injected dependencies.

It reaches its peers through relays, its clock can run fast or stand still, its disk can be full, and it
records for the history checker when it would act as the leader and which call quota it may use.

    python -m valeturn.lab.fault_injection.member CONFIG SETTINGS OVERRIDES
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

CLOCK = struct.Struct("<ddd")  # rate, own time, and the true time at which both hold (seconds)


class Clock:
    """Clock controlled through a mapped file: own = own0 + rate x (true - true0)."""

    def __init__(self, path):
        with open(path, "rb") as file:
            self.mapping = mmap.mmap(file.fileno(), CLOCK.size, access=mmap.ACCESS_READ)

    def now(self):
        """Return the time of this clock in seconds."""
        rate, own_time, true_time = CLOCK.unpack(self.mapping[: CLOCK.size])
        return own_time + rate * (node.boot_clock() - true_time)

    def to_boot(self, moment):
        """Convert a time of this clock to the boot clock; an hour ahead while this clock stands still."""
        rate, own_time, true_time = CLOCK.unpack(self.mapping[: CLOCK.size])
        return true_time + (moment - own_time) / rate if rate > 0 else true_time + 3600.0


def write_clock(path, rate, own_time, true_time):
    """Set the clock of the process that maps the file."""
    with open(path, "r+b" if os.path.exists(path) else "wb") as file:
        file.write(CLOCK.pack(rate, own_time, true_time))


class RecordingNode(node.ClusterNode):
    """Cluster node that appends records to a file.

    "acts TRUE_TIME TERM" is written at each tick as the leader, with a time read before the lease was
    checked, and "share TRUE_TIME AMOUNT UNTIL" at each change of the call quota, both in seconds of true
    time.
    """

    def record(self, line):
        """Append a line to the file of records."""
        os.write(self.records_fd, line.encode() + b"\n")

    def tick(self):
        before = node.boot_clock()
        if self.leads(self.clock()):
            self.record(f"acts {before:.6f} {self.raft.durable.term}")
        super().tick()

    def share_calls(self, *args):
        super().share_calls(*args)
        self.record_quota()

    def on_share(self, now, sender, message):
        super().on_share(now, sender, message)
        self.record_quota()

    def record_quota(self):
        """Record the call quota where it differs from the last record."""
        amount, valid_until = self.call_quota.available(), self.call_quota.client.valid_until
        valid_until = self.seams.to_boot(valid_until) if valid_until < 1e300 else 1e300
        line = f"share {node.boot_clock():.6f} {amount!r} {valid_until:.6f}"
        if line.split()[2:] != getattr(self, "noted", None):
            self.last_quota_record = line.split()[2:]
            self.record(line)

    KINDS = {**node.ClusterNode.KINDS, "share": on_share}


class FillableVoteDirectory(vote_file.VoteDirectory):
    """Vote directory whose writes fail with ENOSPC while the file `full_marker` exists."""

    full_marker = None

    def write(self, data):
        if os.path.exists(self.full_marker):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().write(data)


def main(config, settings, overrides_path):
    """Serve with the dependencies that the file at `overrides_path` describes; return the exit code."""
    with open(overrides_path, encoding="utf-8") as file:
        parameters = json.load(file)
    relays = {tuple(relay["of"]): tuple(relay["through"]) for relay in parameters["relays"]}
    clock = Clock(parameters["clock"])
    RecordingNode.records_fd = os.open(parameters["notes"], os.O_CREAT | os.O_APPEND | os.O_WRONLY)
    node.ClusterNode, FillableVoteDirectory.full_marker = RecordingNode, parameters["full"]

    def dial_through_relay(scheduler, address, timeout):
        return connect(scheduler, relays.get(address, address), timeout)

    wall_offset = parameters["wall"]  # seconds by which this server's wall clock is off
    fleet = node.Seams(
        clock.now, clock.to_boot, dial_through_relay, FillableVoteDirectory, lambda: time.time() + wall_offset
    )
    try:
        return serve(config, settings=settings, overrides=Overrides(fleet=fleet))
    except ConfigurationError as error:
        print(f"valeturn: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
