"""How much may be in use at once: the one place where limits are derived from the configured resources."""

from __future__ import annotations

from typing import NamedTuple

IDLE_PROCESS_MB = 20  # an idle server takes 18 MB; the rest is for what one round of the loop allocates
# Descriptors beside connections and calls: standard streams, signals, the listener, two links to the executor
# while one is replaced, a report to the registry, and spares.
RESERVED_SOCKETS = 20
REQUEST_BYTES = 5120  # a body, and what the server keeps about its request
CONNECTION_BYTES = 12288  # a task and its buffers
CALL_SHARE = 0.25  # of the descriptors, at most, for calls: each takes one, and gateways take up to a half
CONNECTION_MEMORY_SHARE = 0.4  # of the free memory, at most, for connections
LEAST_FREE_MB = 4.0  # counted as free even where the configured memory is smaller than the process
LEAST_CALLS = 8
LEAST_CONNECTIONS = 8
LEAST_REQUESTS = 64
BYTES_PER_MB = 1024 * 1024


class ResourceLimits(NamedTuple):
    """Upper limits of everything that a server holds."""

    connections: int  # of gateways
    calls: int  # in flight at the ledger
    submissions: int  # open requests
    messages: int  # in the dispatcher's mailbox
    unsent: int  # bytes of answers that wait for their readers, all together
    results: int  # bytes of results kept for duplicates


def derive(sockets: int, memory_mb: float, subsystems_mb: float = 0.0) -> ResourceLimits:
    """Derive the limits from what the process may use.

    Of the memory beside the process itself connections get what they take. Of what is left, requests and
    unsent answers get a third each and results a sixth; the rest is for gaps that the allocator leaves.

    Args:
        sockets: Descriptors that the process may have open.
        memory_mb: Memory that the process may take, in MB.
        subsystems_mb: Memory that the operator's file gives to subsystems and their libraries, in MB.
    """
    calls = max(LEAST_CALLS, int(CALL_SHARE * (sockets - RESERVED_SOCKETS)))
    free = max(LEAST_FREE_MB, memory_mb - IDLE_PROCESS_MB - subsystems_mb) * BYTES_PER_MB
    affordable = int(CONNECTION_MEMORY_SHARE * free / CONNECTION_BYTES)
    connections = max(LEAST_CONNECTIONS, min(sockets - RESERVED_SOCKETS - calls, affordable))
    left = free - connections * CONNECTION_BYTES
    requests = max(LEAST_REQUESTS, int(left / 3 / REQUEST_BYTES))
    return ResourceLimits(
        connections=connections,
        calls=calls,
        submissions=requests,
        messages=2 * requests + connections,
        unsent=int(left / 3),
        results=int(left / 6),
    )
