"""What may be held at once: the one place where bounds are derived from the configured limits."""

from __future__ import annotations

from typing import NamedTuple

PROCESS = 20  # MB that an idle server takes, and a few for what a moment's work needs
OTHERS = 20  # descriptors: standard streams, signals, the listener, the link twice over, a report, spares
SUBMISSION, CONNECTION = 5120, 12288  # bytes: a body and what is kept of it; a task and its buffers
CALLS = 0.25  # of the descriptors, at most, for calls: each takes one, and gateways take up to a half


class Bounds(NamedTuple):
    connections: int  # of gateways
    calls: int  # out at the ledger
    submissions: int  # open
    messages: int  # in the owner's queue
    unsent: int  # bytes of answers that wait for their readers, all together
    results: int  # bytes of results kept for repeats


def derive(sockets, memory_mb, taken_mb=0.0):
    """taken_mb: what the operator's file gives to subsystems, and their libraries. Of the memory beside the
    process itself connections get what they take; of what is left submissions and unsent answers a third
    each, results a sixth; the rest is for the allocator's gaps."""
    calls = max(8, int(CALLS * (sockets - OTHERS)))
    free = max(4.0, memory_mb - PROCESS - taken_mb) * 1024 * 1024
    connections = max(8, min(sockets - OTHERS - calls, int(0.4 * free / CONNECTION)))
    left = free - connections * CONNECTION
    submissions = max(64, int(left / 3 / SUBMISSION))
    messages = 2 * submissions + connections
    return Bounds(connections, calls, submissions, messages, int(left / 3), int(left / 6))
