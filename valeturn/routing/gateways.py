"""Gateway connections: frames in, answers out, each with at most OPEN submissions."""

from __future__ import annotations

from ..protocol import frames
from ..transport.streams import Trouble
from .messages import Arrival, Check, ConnectionEnded, Withdrawal

OPEN = 32  # submissions on one connection, as the protocol has it
CLOSING = 1.0  # s that a gateway has to close after it was asked to: some round trips
UNSENT = 163840  # bytes of answers waiting for a reader: all 32 at their longest; past it, it is too slow
UNSENT_ALL = 32 << 20  # bytes over all connections, a sixth of the process's memory; the slowest go first
GAPS = 4096  # stream numbers remembered out of order; past it the lowest gap counts as used


class Connection:
    def __init__(self, gateways, stream):
        self.gateways, self.stream = gateways, stream
        self.open, self.ended, self.no_more = set(), False, False
        self.closing = self.finishing = False
        self.used_up_to, self.used = 0, set()  # streams seen: all up to the first, and those above
        self.idle_since = gateways.scheduler.clock()

    def run(self):
        decoder, put = frames.FrameDecoder(), self.gateways.put
        try:
            while not self.closing:
                got = self.stream.read()
                if isinstance(got, Trouble):
                    self.gateways.count("gateway.ended." + got.name.lower())
                    break
                for message in decoder.feed(got):
                    if not self.closing and not self.ended:
                        self.take(message, put)
        finally:
            if not self.closing:
                self.end()

    def take(self, message, put):
        count = self.gateways.count
        if isinstance(message, frames.Submitted):
            count("in.submissions")
            if not self.is_new(message.stream):
                self.refuse_connection("stream reused")
            elif len(self.open) >= OPEN:
                self.refuse(message.stream, "over_open")
            elif not self.gateways.known(message.workload):
                self.refuse(message.stream, "workload")
            else:
                self.open.add(message.stream)
                put(Arrival(self, message))
        elif isinstance(message, frames.Unreadable):
            count("in.submissions")
            if self.is_new(message.stream):
                self.refuse(message.stream, "unreadable")
            else:
                self.refuse_connection("stream reused")
        elif isinstance(message, frames.Withdrawn):
            count("in.withdrawals")
            if message.stream in self.open:
                self.open.discard(message.stream)
                put(Withdrawal(self, message.stream))
        elif isinstance(message, frames.HealthAsked):
            count("in.checks")
            put(Check(self, message.stream, message.deep))
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

    def refuse(self, stream, why):
        """It never ran, and its answer says so."""
        self.gateways.count("in.unreadable." + why)
        self.turn_back(stream, None)

    def refuse_connection(self, reason):
        self.gateways.count("gateway.broken")
        self.gateways.log("gateway_broken", {"reason": reason})
        self.stream.write(frames.connection_error())
        self.close_when_answered()

    # What the owner of the module asks of a front's connection.

    def deliver(self, stream, load, result):
        self.answer(stream, frames.delivered(stream, result, load))

    def turn_back(self, stream, load, retry_in=0.0, final=False):
        self.answer(stream, frames.turned_back(stream, retry_in, final, load))

    def write_off(self, stream, load):
        self.answer(stream, frames.written_off(stream, load))

    def tell_health(self, stream, load, good):
        self.answer(stream, frames.health(stream, good, load))

    def answer(self, stream, data):
        self.open.discard(stream)
        if not self.open:
            self.idle_since = self.gateways.scheduler.clock()
        if not self.ended:
            self.stream.write(data)
        if self.closing:
            self.close_when_answered()

    def close_when_answered(self):
        """After an error on it: all that is open is answered, then the connection ends."""
        self.closing = True
        if not self.open and not self.ended and not self.finishing:
            self.finishing = True
            self.gateways.scheduler.spawn(self.finish, name="finish")

    def finish(self):
        try:
            self.stream.finish(CLOSING)
        finally:
            self.end()

    def ask_to_close(self):
        """No new submission comes after this; the gateway closes when all are answered."""
        if not self.no_more and not self.ended:
            self.no_more = True
            self.stream.write(frames.no_more())

    def end(self):
        if not self.ended:
            self.ended = True
            self.stream.close()
            self.gateways.forget(self)


class Gateways:
    def __init__(self, scheduler, put, known, count, log):
        self.scheduler, self.put, self.known, self.count, self.log = scheduler, put, known, count, log
        self.connections, self.listener, self.idle_after = {}, None, 0.0

    def accept(self, stream):
        stream.most_unsent = UNSENT
        connection = Connection(self, stream)
        self.connections[connection] = None
        self.count("gateway.connections")
        self.scheduler.spawn(connection.run, name="gateway")

    def forget(self, connection):
        if self.connections.pop(connection, self) is None:
            if self.listener is not None:
                self.listener.released()
            self.scheduler.spawn(self.put, ConnectionEnded(connection), name="ended")

    def bound_unsent(self):
        waiting = sorted((len(c.stream.unsent), id(c), c) for c in self.connections if c.stream.unsent)
        total = sum(size for size, _, _ in waiting)
        while total > UNSENT_ALL:
            size, _, connection = waiting.pop()
            total -= size
            self.count("gateway.too_slow")
            connection.end()

    def close_idle(self):
        """Asks unused connections to close, and closes those that were asked long enough ago."""
        now = self.scheduler.clock()
        for connection in list(self.connections):
            unused = now - connection.idle_since
            if not connection.open and self.idle_after and unused > self.idle_after:
                connection.ask_to_close()
                if unused > self.idle_after + CLOSING:
                    connection.end()

    def ask_all_to_close(self):
        for connection in list(self.connections):
            connection.ask_to_close()
