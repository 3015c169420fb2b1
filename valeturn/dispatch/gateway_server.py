"""All connections of gateways: which are accepted, which are closed, and what of a submission is invalid."""

from __future__ import annotations

import time

from ..transport.message_pacing import MessagePacing
from .gateway_connection import CLOSE_TIMEOUT_S, SHORT_CLOSE_TIMEOUT_S, Connection
from .messages import ConnectionClosed

# One read takes what a gateway has open in submissions of the usual size; undecoded bytes of all connections
# share the memory.
READ_SIZE_BYTES = 8192
# Answers that wait for one reader: 32 of the longest. A reader with more than that is too slow.
MAX_UNSENT_BYTES = 163840
# For a connection's first frame, or the rest of a frame: half of the time within which a client that sends
# invalid data has to be answered.
FRAME_TIMEOUT_S = 1.5
# For this time a new connection is not closed for want of room, as its first frame is on its way.
NEW_CONNECTION_GRACE_S = 0.3
MIN_IDLE_S = 0.5  # without an open submission before a used connection may be closed for want of room
SPARE_CONNECTION_SHARE = 0.1  # of the connections are kept free, so that new ones are accepted at once
MAX_CLOCK_SKEW_S = 60.0  # by which a submission may seem to come from the future


class GatewayServer:
    """All connections of gateways, within the limits on their number and on unsent answers."""

    def __init__(self, scheduler, put, push, names, limits, count):
        """Begin without connections.

        Args:
            scheduler: Runs a task for each connection.
            put: Puts a message into the dispatcher's queue; waits while that is full.
            push: The same without a wait, for the ends of connections.
            names: The workloads and tenants that a submission may name.
            limits: The `ResourceLimits` of the server.
            count: Increments a counter.
        """
        self.scheduler, self.put, self.push, self.names, self.limits, self.count = (
            scheduler,
            put,
            push,
            names,
            limits,
            count,
        )
        # `connections` is a dict for its order. An idle timeout of 0 seconds means none.
        self.connections, self.listener, self.idle_timeout = {}, None, 0.0
        self.draining = False
        self.pacing = MessagePacing(scheduler, lambda: count("gateway.held_back"))

    def accept(self, stream):
        """Take over a stream that the listener has accepted."""
        stream.max_unsent, stream.read_size = MAX_UNSENT_BYTES, READ_SIZE_BYTES
        connection = Connection(self, stream)
        self.connections[connection] = None
        self.count("gateway.connections")
        if self.draining:
            connection.request_close()

    def rejection_reason(self, submission):
        """Return why a well-formed submission is invalid, or None."""
        if submission.workload not in self.names.workloads:
            return "workload"
        if self.names.tenants and submission.tenant not in self.names.tenants:
            return "tenant"
        return "reached" if submission.arrived_at > time.time() + MAX_CLOCK_SKEW_S else None

    def remove(self, connection):
        """Forget a connection that has ended, and report what was open on it."""
        if self.connections.pop(connection, self) is None:
            if self.listener is not None:
                self.listener.connection_ended()
            self.report_closed(connection)

    def report_closed(self, connection):
        """Notify the dispatcher that no caller waits for a connection's open streams, and forget them."""
        if connection.open_streams:
            message = ConnectionClosed(connection, frozenset(connection.open_streams))
            connection.open_streams.clear()
            self.push(message)

    def limit_unsent(self):
        """End the connections with the most unsent bytes while all together exceed the limit."""
        waiting = sorted(
            (len(connection.stream.unsent), id(connection), connection)
            for connection in self.connections
            if connection.stream.unsent
        )
        total = sum(size for size, _, _ in waiting)
        while total > self.limits.unsent:
            size, _, connection = waiting.pop()
            total -= size
            self.count("gateway.too_slow")
            connection.end()

    def sweep(self):
        """Close connections whose time is over, and ask idle ones to close.

        Closed are those whose frame does not come, and those that were asked to close long enough ago. Asked
        are those beyond the idle timeout, and the least used ones while fewer places than wanted are free.
        """
        now = self.scheduler.clock()
        for connection in list(self.connections):
            if connection.closing:
                continue
            if (
                connection.incomplete_since is not None
                and now - connection.incomplete_since > FRAME_TIMEOUT_S
            ):
                self.count("gateway.half_a_frame" if connection.has_spoken else "gateway.no_frame")
                connection.reject_connection("waiting")
            elif connection.close_due(now):
                connection.close(connection.linger)
            elif (
                not connection.open_streams
                and self.idle_timeout
                and (now - connection.idle_since > self.idle_timeout)
            ):
                connection.request_close()
        excess = len(self.connections) - int((1 - SPARE_CONNECTION_SHARE) * self.limits.connections)
        if excess > 0:
            for connection in self.eviction_candidates(now)[:excess]:
                self.count("gateway.unused")
                connection.request_close(SHORT_CLOSE_TIMEOUT_S)
        self.limit_unsent()

    def eviction_candidates(self, now):
        """Return the connections that may be closed for want of room: first those that never sent a frame,
        then those that were idle for the longest."""
        candidates = [
            connection
            for connection in self.connections
            if not connection.open_streams
            and not connection.closing
            and (
                now - connection.idle_since
                > (MIN_IDLE_S if connection.has_spoken else NEW_CONNECTION_GRACE_S)
            )
        ]
        return sorted(candidates, key=lambda connection: (connection.has_spoken, connection.idle_since))

    def evict(self):
        """Close the connection that is least needed; True if its place is free at once.

        With nothing unread no answer is owed on it, and it ends at once: otherwise new connections would wait
        for those that never close. What arrives at the moment of the close is rejected, or its gateway sends
        it again.
        """
        for connection in self.eviction_candidates(self.scheduler.clock())[:1]:
            self.count("gateway.evicted")
            connection.request_close()
            if connection.stream.nothing_pending():
                connection.end()
                return True
            connection.close(SHORT_CLOSE_TIMEOUT_S)
        return False

    def request_close_all(self, linger=CLOSE_TIMEOUT_S):
        """Ask all connections to close, and those accepted from here on too."""
        self.draining = True
        for connection in list(self.connections):
            connection.request_close(linger)

    def close_all(self, linger):
        """Close all connections, giving each `linger` seconds to read to the end."""
        for connection in list(self.connections):
            connection.close(linger)
