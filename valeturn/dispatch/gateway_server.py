"""Gateway connections: frames in, answers out, each with at most OPEN submissions."""

from __future__ import annotations

import math
import time

from ..protocol import frames
from ..transport.streams import StreamFault
from .messages import ConnectionClosed, HealthCheckRequested, SubmissionCancelled, SubmissionReceived

OPEN = 32  # submissions on one connection, as the protocol has it
CLOSING = 1.0  # s that a gateway has to close once asked to, or to read to the end: some round trips
CROSSING = 0.1  # s for the same when room is short: what crosses a close within 50 ms is sent once more
UNSENT = 163840  # bytes of answers waiting for a reader: all 32 at their longest; past it, it is too slow
GAPS = 512  # stream numbers remembered out of order; past it the lowest gap counts as used. 32 are open
FAULTS = 8  # that one connection may send before it is closed: gateways send none, and each costs a turn
# s for a first frame, or for the rest of one: half of what a client that sends rubbish is owed
FRAME_TIMEOUT = 1.5
YOUNG = 0.3  # s in which a new connection is not closed for want of room: its first frame is on its way
UNUSED = 0.5  # s without an open submission before a used one may be closed for want of room
SPARE = 0.1  # of the connections are kept free, so that newcomers get in at once
SKEW = 60.0  # s that a submission may seem to come from the future, as clocks are set


class Connection:
    """Open until `close`, which every end but a broken socket's goes through: what is open gets its answer,
    then the stream's lingering close, then `end`."""

    def __init__(self, gateways, stream):
        self.gateways, self.stream = gateways, stream
        self.open, self.ended, self.closing, self.faults, self.turned_away = set(), False, False, 0, 0
        self.close_at = math.inf  # once it was asked to close: when this side does it
        self.linger = CLOSING  # s for the other side to read to the end
        self.used_up_to, self.used = 0, set()  # streams seen: all up to the first, and those above
        # Since when it has no use; since when it waits for the rest of a frame, or None.
        self.idle_since = self.waits_since = gateways.scheduler.clock()
        self.spoke, self.task = False, gateways.scheduler.spawn(self.run, name="gateway")

    def run(self):
        self.decoder = frames.FrameDecoder()
        try:
            try:
                self.read_all()
            except Exception:  # a fault of ours with what came here: this connection ends, with its answers
                self.refuse_connection("fault")
                raise
            finally:
                if self.closing and not self.ended:
                    self.stream.lingering_close(self.linger, self.take_last)
        finally:
            self.end()

    def read_all(self):
        gateways = self.gateways
        while not self.closing:
            got = self.stream.read()
            if isinstance(got, StreamFault):
                if not self.closing:
                    gateways.count("gateway.ended." + got.name.lower())
                if (
                    got is StreamFault.CLOSED
                ):  # it may have shut its own side alone, and read what it is told yet
                    self.close()
                break
            self.take_all(self.decoder.feed(got))
            if self.waits_since is None and self.decoder.unfinished:
                self.waits_since = gateways.scheduler.clock()

    def take_all(self, messages):
        if messages:
            self.spoke, self.waits_since = True, None
        withdrawn = {m.stream for m in messages if isinstance(m, frames.CancelRequest)}
        for message in messages:
            if self.ended:
                return
            if self.closing:  # by one before it
                self.turn_away(message)
            else:
                self.take(message, withdrawn)

    def take_last(self, data):
        """What came while the connection was being closed, and before the shutdown."""
        for message in self.decoder.feed(data):
            self.turn_away(message)

    def turn_away(self, message):
        """It is read after the close began: it never ran, and its answer says so. Dropped, it would be lost;
        sent on, its answer would find no connection. A gateway has no more open than OPEN at a time, and
        sends none of nobody's: a flood gets no flood of answers."""
        if self.turned_away >= OPEN:
            return
        if isinstance(message, frames.HealthCheckRequest):
            self.turned_away += 1
            self.stream.write(frames.health(message.stream, False))
        elif (
            isinstance(message, frames.Submission)
            and self.is_new(message.stream)
            and (not self.gateways.unknown(message))
        ):
            self.turned_away += 1
            self.gateways.count("in.while_closing")
            self.stream.write(frames.rejected(message.stream))

    def take(self, message, withdrawn=()):
        count, put = self.gateways.count, self.gateways.put
        if isinstance(message, frames.Submission):
            count("in.submissions")
            if not self.is_new(message.stream):
                self.refuse_connection("stream reused")
            elif message.stream in withdrawn:  # taken back already: nobody waits for an answer
                count("in.withdrawn_unread")
            elif len(self.open) >= OPEN:
                self.reject_invalid(message.stream, "over_open")
            elif why := self.gateways.unknown(message):
                self.reject_invalid(message.stream, why)
            else:
                self.open.add(message.stream)
                put(SubmissionReceived(self, message))
        elif isinstance(message, frames.InvalidSubmission):
            count("in.submissions")
            if self.is_new(message.stream):
                self.reject_invalid(message.stream, "unreadable")
            else:
                self.refuse_connection("stream reused")
        elif isinstance(message, frames.CancelRequest):
            count("in.withdrawals")
            if message.stream in self.open:
                self.open.discard(message.stream)
                put(SubmissionCancelled(self, message.stream))
        elif isinstance(message, frames.HealthCheckRequest):
            count("in.checks")
            self.idle_since = self.gateways.scheduler.clock()
            put(HealthCheckRequested(self, message.stream, message.deep))
        else:
            self.refuse_connection(message.reason)

    def is_new(self, stream):
        if stream <= self.used_up_to or stream in self.used:
            return False
        self.used.add(stream)
        if len(self.used) > GAPS:
            self.used_up_to = min(self.used)
        while self.used_up_to + 1 in self.used:
            self.used_up_to += 1
            self.used.discard(self.used_up_to)
        self.used.discard(self.used_up_to)
        return True

    def reject_invalid(self, stream, why):
        """It never ran, and its answer says so."""
        self.gateways.count("in.unreadable." + why)
        self.reject(stream, None)
        self.faults += 1
        if self.faults >= FAULTS:
            self.refuse_connection("faults")

    def refuse_connection(self, reason):
        """Whoever sends this is no gateway that can be served."""
        if self.closing or self.ended:
            return
        self.gateways.count("gateway.broken." + reason.split()[0])
        self.write_off_open()
        self.stream.write(frames.connection_error())
        self.close()

    def write_off_open(self):
        """Whoever ends a connection first answers what is owed on it; it may have run."""
        for stream in sorted(self.open):
            self.stream.write(frames.failed(stream))
        self.gateways.nobody_waits(self)

    def close(self, linger=CLOSING):
        """Orderly: nothing new is taken, the rest of it is for the connection's own task."""
        if not self.closing and not self.ended:
            self.write_off_open()
            self.closing, self.linger = True, linger
            self.stream.interrupt()

    # What the owner of the module asks of a front's connection.

    def deliver(self, stream, load, result):
        self.answer(stream, frames.delivered(stream, result, load))

    def reject(self, stream, load, retry_after=0.0, final=False):
        self.answer(stream, frames.rejected(stream, retry_after, final, load))

    def fail(self, stream, load):
        self.answer(stream, frames.failed(stream, load))

    def send_health(self, stream, load, good):
        self.answer(stream, frames.health(stream, good, load))

    def answer(self, stream, data):
        self.open.discard(stream)
        if not self.open:
            self.idle_since = self.gateways.scheduler.clock()
        if not self.ended and not self.closing:
            self.stream.write(data)

    def ask_to_close(self, timeout=CLOSING):
        """No new submission comes after this; the gateway closes when all are answered, or else this side."""
        if self.ended or self.closing:
            return
        if self.close_at == math.inf:
            self.stream.write(frames.no_more())
        self.close_at = min(self.close_at, self.gateways.scheduler.clock() + timeout)
        self.linger = min(self.linger, timeout)

    def can_end(self, now):
        """It was asked to close long enough ago, and what crossed that has its answer."""
        return not self.open and now > max(self.close_at, self.idle_since + CROSSING)

    def end(self):
        """At once: the other side is gone, has read to the end, or reads too slowly to be told anything."""
        if not self.ended:
            self.ended = True
            self.stream.close()
            self.gateways.forget(self)


class GatewayServer:
    def __init__(self, scheduler, put, names, bounds, count):
        self.scheduler, self.put, self.names, self.bounds, self.count = scheduler, put, names, bounds, count
        self.connections, self.listener, self.idle_timeout = {}, None, 0.0
        self.draining = False

    def accept(self, stream):
        stream.most_unsent = UNSENT
        connection = Connection(self, stream)
        self.connections[connection] = None
        self.count("gateway.connections")
        if self.draining:
            connection.ask_to_close()

    def unknown(self, s):
        """What makes a submission that can be read one of nobody's, or None."""
        if s.workload not in self.names.workloads:
            return "workload"
        if self.names.tenants and s.tenant not in self.names.tenants:
            return "tenant"
        return "reached" if s.arrived_at > time.time() + SKEW else None

    def forget(self, connection):
        if self.connections.pop(connection, self) is None:
            if self.listener is not None:
                self.listener.released()
            self.nobody_waits(connection)

    def nobody_waits(self, connection):
        if connection.open:
            ended = ConnectionClosed(connection, frozenset(connection.open))
            connection.open.clear()
            self.scheduler.spawn(self.put, ended, name="ended")

    def bound_unsent(self):
        waiting = sorted((len(c.stream.unsent), id(c), c) for c in self.connections if c.stream.unsent)
        total = sum(size for size, _, _ in waiting)
        while total > self.bounds.unsent:
            size, _, connection = waiting.pop()
            total -= size
            self.count("gateway.too_slow")
            connection.end()

    def sweep(self):
        """Ends those that keep a frame waiting, and asks unused ones to close where the module or a shortage
        wants it."""
        now = self.scheduler.clock()
        for connection in list(self.connections):
            if connection.closing:
                continue
            if connection.waits_since is not None and now - connection.waits_since > FRAME_TIMEOUT:
                self.count("gateway.half_a_frame" if connection.spoke else "gateway.no_frame")
                connection.refuse_connection("waiting")
            elif connection.can_end(now):
                connection.close(connection.linger)
            elif (
                not connection.open
                and self.idle_timeout
                and (now - connection.idle_since > self.idle_timeout)
            ):
                connection.ask_to_close()
        short = len(self.connections) - int((1 - SPARE) * self.bounds.connections)
        if short > 0:
            for connection in self.least_used(now)[:short]:
                self.count("gateway.unused")
                connection.ask_to_close(CROSSING)
        self.bound_unsent()

    def least_used(self, now):
        """Those that can be done without, first those that never said a thing, then by how long unused."""
        free = [
            c
            for c in self.connections
            if not c.open and not c.closing and (now - c.idle_since > (UNUSED if c.spoke else YOUNG))
        ]
        return sorted(free, key=lambda c: (c.spoke, c.idle_since))

    def evict(self):
        """Closes the one that can best be done without. With nothing unread it is owed nothing, and its place
        is free at once (True): else newcomers wait behind those that do not even close. What comes in the
        moment of the close is turned back, or its gateway sends it once more."""
        for connection in self.least_used(self.scheduler.clock())[:1]:
            self.count("gateway.evicted")
            connection.ask_to_close()
            if connection.stream.quiet():
                connection.end()
                return True
            connection.close(CROSSING)
        return False

    def ask_all_to_close(self, linger=CLOSING):
        """Those that are accepted from here on are asked too."""
        self.draining = True
        for connection in list(self.connections):
            connection.ask_to_close(linger)

    def close_all(self, linger):
        for connection in list(self.connections):
            connection.close(linger)
