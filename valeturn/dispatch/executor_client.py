"""The connection to the executor: re-established whenever it breaks, with each notice passed on once."""

from __future__ import annotations

from ..protocol import executor as executor_protocol
from ..transport.backoff import Backoff
from ..transport.streams import StreamFault, connect
from .messages import ExecutorConnected, ExecutorDisconnected, NoticesLost

CONNECT_TIMEOUT_S = 2.0
# Without a line from an executor that has accepted the join. It is asked for gauges ten times a second, and
# its pauses are far shorter than this.
SILENCE_TIMEOUT_S = 5.0
# Without a line on a connection that waits for the join to be accepted. An executor may boot for long, but
# one that has lost the connection never answers. A new connection replaces the one before, so trying
# again costs nothing.
JOIN_TIMEOUT_S = 10.0
REPLAY_END = "joined"  # token of the gauges asked for after a join: all missed notices come before them
HANDOVER_TOKEN = "handover"  # token of the last gauges on a connection that is replaced by another address
# Commands sent less than this before the last line received, or after it, may be lost: a broken connection
# loses at most its last 50 ms, and the line may have been read late.
UNCERTAIN_PERIOD_S = 0.08
# For the last gauges of a handover: a hundred times what gauges take. Without them the old connection counts
# as broken.
HANDOVER_TIMEOUT_S = 0.3


class ExecutorClient:
    """Keeps one connection to the executor, sends commands and puts the notices that come back."""

    def __init__(self, scheduler, address, random_source, put, count):
        self.scheduler, self.address, self.put, self.count = scheduler, address, put, count
        self.backoff = Backoff(random_source, 0.01, 0.5)
        # The connection; whether commands can be sent; number of the last notice; time of the last read.
        self.stream, self.connected, self.last_number, self.last_read_at = None, False, 0, 0.0
        self.malformed_after = None  # number of the last notice before a line that could not be read
        self.replacement = None  # the stream to go on with, and its address
        # Whether all that was sent is known to have arrived; whether the executor has accepted the join.
        self.all_arrived = self.joined = False
        scheduler.spawn_supervised(self.run, name="executor")

    def send(self, line):
        """Send a command. False while there is no connection: the caller repeats after the next join whatever
        still matters."""
        return self.connected and self.stream.write(line)

    def check(self):
        """Close a connection that has been silent for too long.

        Called whenever gauges were requested, and periodically while none are.
        """
        is_open = self.stream is not None and self.stream.fault is None
        if is_open and self.scheduler.clock() - self.last_read_at > (
            SILENCE_TIMEOUT_S if self.connected else JOIN_TIMEOUT_S
        ):
            self.count("executor.silent" if self.connected else "executor.unwelcomed")
            self.stream.close(StreamFault.TIMED_OUT)

    def set_address(self, address):
        """Move to another address; the current connection is used until the new one is established."""
        if address != self.address:
            self.address = address
            self.scheduler.spawn(self.hand_over, address, name="handover")

    def hand_over(self, address):
        """Connect to the new address, with retries, and replace the current connection; runs as a task."""
        backoff = Backoff(self.backoff.random_source, 0.01, 0.2)
        while address == self.address and self.stream is not None and self.stream.fault is None:
            stream = connect(self.scheduler, address, CONNECT_TIMEOUT_S)
            if not isinstance(stream, StreamFault):
                self.replace(stream, address)
                return
            self.count("executor.connect." + stream.name.lower())
            self.scheduler.sleep(backoff.next())

    def replace(self, stream, address):
        """Have the current connection end in favour of a new one.

        Nothing more is sent on it. Gauges asked for last confirm that everything sent before has arrived.
        """
        old = self.stream
        if address != self.address or self.replacement is not None or old is None or old.fault is not None:
            stream.close()  # `run` connects by itself
            return
        self.replacement = stream, address
        if self.connected and old.write(executor_protocol.gauge(HANDOVER_TOKEN)):
            self.connected = False
            self.scheduler.call_later(HANDOVER_TIMEOUT_S, old.close, StreamFault.TIMED_OUT)
        else:
            old.close()

    def connect(self):
        """Return the stream of a handover or a new one, or a StreamFault.

        A connection to an address that was replaced meanwhile is closed.
        """
        address = self.address
        stream, address = self.replacement or (connect(self.scheduler, address, CONNECT_TIMEOUT_S), address)
        self.replacement = None
        if not isinstance(stream, StreamFault) and address != self.address:
            stream.close()
            return StreamFault.SHUT
        return stream

    def run(self):
        """Connect, join and read until the connection ends, then start again; runs as a supervised task."""
        while True:
            stream = self.connect()
            if not isinstance(stream, StreamFault):
                self.stream, self.all_arrived, self.joined = stream, False, False
                self.last_read_at = self.scheduler.clock()
                self.stream.write(executor_protocol.join(self.last_number))
                reason = "fault"
                try:
                    reason = self.read_all()
                finally:
                    self.count("executor.link_ended." + reason)
                    self.stream.close()
                    self.connected = False
                    if self.joined:
                        self.put(
                            ExecutorDisconnected(
                                self.scheduler.clock()
                                if self.all_arrived
                                else self.last_read_at - UNCERTAIN_PERIOD_S
                            )
                        )
            else:
                self.count("executor.connect." + stream.name.lower())
            if self.replacement is None:
                self.scheduler.sleep(self.backoff.next())

    def read_all(self):
        """Pass notices on until the connection ends; returns the reason of its end.

        A malformed line ends the connection, as a new one replays all notices. A line that is malformed there
        again is skipped, otherwise one connection would follow another without end.
        """
        decoder = executor_protocol.LineDecoder()
        while True:
            received = self.stream.read()
            if not isinstance(received, bytes):
                return received.name.lower()
            self.last_read_at = self.scheduler.clock()
            notices = decoder.feed(received)
            while notices:
                notice = notices.pop(0)
                if isinstance(notice, executor_protocol.Malformed):
                    if self.malformed_after != self.last_number or not decoder.pass_over():
                        self.malformed_after = self.last_number
                        return "malformed"
                    self.count("executor.passed_over")
                    self.put(NoticesLost())
                    # What is in doubt now is resolved as after a join.
                    self.send(executor_protocol.gauge(REPLAY_END))
                    notices = decoder.feed(b"")
                    continue
                if isinstance(notice, executor_protocol.GaugesReported) and notice.token == HANDOVER_TOKEN:
                    self.all_arrived = True
                    return "handed_over"
                self.pass_on(notice)

    def pass_on(self, notice):
        """Put a notice unless it was seen before, and report a gap in the numbers."""
        number = getattr(notice, "number", None)
        if isinstance(number, int):
            if number <= self.last_number:
                self.count("executor.seen_before")
                return
            if number > self.last_number + 1:
                self.count("executor.notices_missed")
                self.put(NoticesLost())
            self.last_number = number
        if isinstance(notice, executor_protocol.JoinAccepted):
            self.connected = self.joined = True
            self.put(ExecutorConnected(notice.cold, notice.age))
            self.stream.write(executor_protocol.gauge(REPLAY_END))
        elif isinstance(notice, executor_protocol.GaugesReported) and notice.token == REPLAY_END:
            self.backoff.reset()
            self.put(notice)
        elif isinstance(notice, executor_protocol.OtherNotice):
            self.count("executor.remarks")
        else:
            self.put(notice)
