"""Derives the limits on connections, calls, requests and buffers from the configured resources.

All limits are derived here, so that together they fit the descriptors and the memory of the process.
"""

from __future__ import annotations

from typing import NamedTuple

IDLE_PROCESS_MB = 20  # an idle server takes 18 MB; the rest is for what one iteration of the loop allocates
# File descriptors besides connections and calls: standard streams, signals, the listener, two connections to
# the executor while one is replaced, a report to the registry, and spares.
RESERVED_SOCKETS = 20
REQUEST_BYTES = 5120  # memory of one request: its body and the server's record of it
CONNECTION_BYTES = 12288  # memory of one connection: its task and its buffers
# The share of the descriptors that calls may take at most; each takes one, and gateways take up to a half.
CALL_SHARE = 0.25
CONNECTION_MEMORY_SHARE = 0.4  # the share of the free memory that connections may take at most
MIN_FREE_MB = 4.0  # taken as free even if the configured memory is smaller than the process
MIN_CALLS = 8
MIN_CONNECTIONS = 8
MIN_REQUESTS = 64
BYTES_PER_MB = 1024 * 1024


class ResourceLimits(NamedTuple):
    """Upper limits on what a server holds at the same time.

    The log event server_listening contains the limits under these names.
    """

    connections: int  # connections of gateways
    calls: int  # calls in flight to the ledger
    submissions: int  # pending requests
    messages: int  # messages in the dispatcher's mailbox
    unsent: int  # bytes of answers that are not yet sent, over all connections
    results: int  # bytes of results that are kept for duplicate requests


def derive(sockets: int, memory_mb: float, subsystems_mb: float = 0.0) -> ResourceLimits:
    """Return the limits for the resources that the process may use.

    Memory that the idle process does not take goes to the connections first. Of the remainder, requests and
    unsent answers get a third each and results a sixth; the rest is left for the allocator's fragmentation.

    Args:
        sockets: File descriptors that the process may have open.
        memory_mb: Memory that the process may take, in MB.
        subsystems_mb: Memory of the subsystems in the operator's file and of their libraries, in MB.
    """
    calls = max(MIN_CALLS, int(CALL_SHARE * (sockets - RESERVED_SOCKETS)))
    free_bytes = max(MIN_FREE_MB, memory_mb - IDLE_PROCESS_MB - subsystems_mb) * BYTES_PER_MB
    affordable_connections = int(CONNECTION_MEMORY_SHARE * free_bytes / CONNECTION_BYTES)
    connections = max(MIN_CONNECTIONS, min(sockets - RESERVED_SOCKETS - calls, affordable_connections))
    remaining_bytes = free_bytes - connections * CONNECTION_BYTES
    requests = max(MIN_REQUESTS, int(remaining_bytes / 3 / REQUEST_BYTES))
    return ResourceLimits(
        connections=connections,
        calls=calls,
        submissions=requests,
        messages=2 * requests + connections,
        unsent=int(remaining_bytes / 3),
        results=int(remaining_bytes / 6),
    )
