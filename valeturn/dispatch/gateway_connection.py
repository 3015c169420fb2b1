"""One gateway's connection: handles its messages in order, writes its answers, and ends in one way."""

from __future__ import annotations

import math

from ..protocol import frames
from ..transport.message_pacing import MessageBudget
from ..transport.streams import StreamFault
from .messages import HealthCheckRequested, SubmissionCancelled, SubmissionReceived

MAX_OPEN_SUBMISSIONS = 32  # on one connection, as the protocol specifies
# For a gateway to close once it was asked to, or to read to the end: some round trips.
CLOSE_TIMEOUT_S = 1.0
# The same when room for connections is short; also the time without an open submission before this side
# closes. A submission that crosses a close within 50 ms is sent again by its gateway.
SHORT_CLOSE_TIMEOUT_S = 0.1
# Of the messages that are decoded after the close of a connection has begun: a gateway has at most 32
# submissions open, and may cancel each.
MAX_LATE_COST = MAX_OPEN_SUBMISSIONS * (frames.MAX_FRAME_COST + 1)
# Of this, decoded at a time: an answer to a connection that its other side has closed shows at the next one.
LATE_COST_PER_STEP = 4
# Stream numbers remembered out of order; beyond that the lowest gap counts as used. At most 32 are open.
MAX_REMEMBERED_STREAMS = 512
# Invalid submissions on one connection before it is closed: gateways send none, and each one costs a turn.
MAX_FAULTS = 8


class Connection:
    """One gateway's connection.

    It is open until `close`, with which every end begins except that of a broken socket: open submissions are
    answered, then the stream is closed in an orderly way, then `end` is called.
    """

    def __init__(self, gateways, stream):
        self.gateways, self.stream = gateways, stream
        # Streams that await an answer; the phases of the end; invalid submissions so far; answers to what
        # was read after the close had begun.
        self.open_streams, self.ended, self.closing, self.faults, self.late_answers = (
            set(),
            False,
            False,
            0,
            0,
        )
        self.late_cost = 0  # of the messages decoded after the close had begun
        self.budget = MessageBudget()
        self.close_at = math.inf  # when this side closes after it has asked the gateway to
        self.linger = CLOSE_TIMEOUT_S  # seconds for the other side to read to the end
        # Stream numbers seen: all up to the first, and those in the set.
        self.seen_up_to, self.seen = 0, set()
        # Time since which nothing is open; time since which a frame is awaited or incomplete, or None.
        self.idle_since = self.incomplete_since = gateways.scheduler.clock()
        # Whether a whole frame has come; the task that reads.
        self.has_spoken, self.task = False, gateways.scheduler.spawn(self.run, name="gateway")

    def run(self):
        """Read until the connection closes, then end it; runs as the connection's task."""
        self.decoder = frames.FrameDecoder()
        try:
            try:
                self.read_all()
            except (
                Exception
            ):  # a fault of this program: the connection ends after all open submissions are answered
                self.reject_connection("fault")
                raise
            finally:
                if self.closing and not self.ended:
                    self.handle_last_data(b"")
                    self.stream.lingering_close(self.linger, self.handle_last_data)
        finally:
            self.end()

    def read_all(self):
        """Handle what comes until the connection closes or its stream ends."""
        gateways = self.gateways
        while not self.closing:
            received = self.stream.read()
            if isinstance(received, StreamFault):
                if not self.closing:
                    gateways.count("gateway.ended." + received.name.lower())
                # The other side may have shut down its sending side alone, and still read its answers.
                if received is StreamFault.CLOSED:
                    self.close()
                break
            self.handle_data(received)
            if self.incomplete_since is None and self.decoder.unfinished:
                self.incomplete_since = gateways.scheduler.clock()

    def handle_data(self, data):
        """Handle the messages of one read a few at a time, so that other connections get their turns.

        A connection that sends more than its budget is not read for a while. What a client has left unread
        behind when it closed the connection is not passed on: nobody waits for it.
        """
        while not self.closing and not self.ended:
            if self.stream.peer_has_closed():
                self.gateways.count("gateway.left_unread")
                self.close()
                self.handle_last_data(data)
                return
            messages = self.decoder.feed(data, self.gateways.pacing.turn_limit)
            data = b""
            if not messages:
                return
            self.handle_messages(messages)
            if not self.closing and not self.ended:
                self.gateways.pacing.after(self.stream, self.budget, self.decoder.cost)
            if not self.decoder.unfinished:
                return

    def handle_messages(self, messages):
        """Handle messages that were read together, in their order."""
        if messages:
            self.has_spoken, self.incomplete_since = True, None
        cancelled = {message.stream for message in messages if isinstance(message, frames.CancelRequest)}
        for message in messages:
            if self.ended:
                return
            if self.closing:  # because of an earlier message
                self.answer_while_closing(message)
            else:
                self.handle_message(message, cancelled)

    def handle_last_data(self, data):
        """Answer what came while the connection was being closed, before the shutdown of its stream.

        What comes after MAX_LATE_COST, or once nothing more would be answered or read by the other side, is
        dropped undecoded. Other connections get their turns between the messages.
        """
        while self.reads_late_messages():
            messages = self.decoder.feed(data, LATE_COST_PER_STEP)
            data = b""
            if not messages:
                return
            self.late_cost += self.decoder.cost
            for message in messages:
                self.answer_while_closing(message)
            self.gateways.scheduler.yield_to_all()

    def reads_late_messages(self):
        """Return whether a message that comes while the connection is being closed may still be answered."""
        return (
            self.late_cost < MAX_LATE_COST
            and self.late_answers < MAX_OPEN_SUBMISSIONS
            and self.stream.fault is None
        )

    def answer_while_closing(self, message):
        """Reject a message that was read after the close had begun.

        It never ran, and its answer says so. If it were dropped, the submission would be lost; if it were
        passed on, its answer would find no connection. At most MAX_OPEN_SUBMISSIONS answers are written, as a
        gateway has no more open at a time, and none for an unknown workload or tenant: a flood of frames gets
        no flood of answers.
        """
        if self.late_answers >= MAX_OPEN_SUBMISSIONS:
            return
        if isinstance(message, frames.HealthCheckRequest):
            self.late_answers += 1
            self.stream.write(frames.health(message.stream, False))
        elif (
            isinstance(message, frames.Submission)
            and self.is_new(message.stream)
            and (not self.gateways.rejection_reason(message))
        ):
            self.late_answers += 1
            self.gateways.count("in.while_closing")
            self.stream.write(frames.rejected(message.stream))

    def handle_message(self, message, cancelled=()):
        """Put a message for the dispatcher, or reject it.

        `cancelled` holds the streams that a cancel request of the same read concerns.
        """
        count, put = self.gateways.count, self.gateways.put
        if isinstance(message, frames.Submission):
            count("in.submissions")
            if not self.is_new(message.stream):
                self.reject_connection("stream reused")
            elif message.stream in cancelled:  # its caller no longer waits
                count("in.withdrawn_unread")
            elif len(self.open_streams) >= MAX_OPEN_SUBMISSIONS:
                self.reject_invalid(message.stream, "over_open")
            elif reason := self.gateways.rejection_reason(message):
                self.reject_invalid(message.stream, reason)
            else:
                self.open_streams.add(message.stream)
                put(SubmissionReceived(self, message))
        elif isinstance(message, frames.InvalidSubmission):
            count("in.submissions")
            if self.is_new(message.stream):
                self.reject_invalid(message.stream, "unreadable")
            else:
                self.reject_connection("stream reused")
        elif isinstance(message, frames.CancelRequest):
            count("in.withdrawals")
            if message.stream in self.open_streams:
                self.open_streams.discard(message.stream)
                put(SubmissionCancelled(self, message.stream))
        elif isinstance(message, frames.HealthCheckRequest):
            count("in.checks")
            self.idle_since = self.gateways.scheduler.clock()
            put(HealthCheckRequested(self, message.stream, message.deep))
        else:
            self.reject_connection(message.reason)

    def is_new(self, stream):
        """Record a stream number as seen; False if it was seen before."""
        if stream <= self.seen_up_to or stream in self.seen:
            return False
        self.seen.add(stream)
        if len(self.seen) > MAX_REMEMBERED_STREAMS:
            self.seen_up_to = min(self.seen)
        while self.seen_up_to + 1 in self.seen:
            self.seen_up_to += 1
            self.seen.discard(self.seen_up_to)
        self.seen.discard(self.seen_up_to)
        return True

    def reject_invalid(self, stream, reason):
        """Reject an invalid submission, which never ran; after MAX_FAULTS of them close the connection."""
        self.gateways.count("in.unreadable." + reason)
        self.reject(stream, None)
        self.faults += 1
        if self.faults >= MAX_FAULTS:
            self.reject_connection("faults")

    def reject_connection(self, reason):
        """Close the connection with an error frame, as its other side violates the protocol."""
        if self.closing or self.ended:
            return
        self.gateways.count("gateway.broken." + reason.split()[0])
        self.fail_open()
        self.stream.write(frames.connection_error())
        self.close()

    def fail_open(self):
        """Answer everything that is open as failed, since it may have run, and report its callers as gone."""
        for stream in sorted(self.open_streams):
            self.stream.write(frames.failed(stream))
        self.gateways.report_closed(self)

    def close(self, linger=CLOSE_TIMEOUT_S):
        """Begin an orderly close: nothing new is handled, and the connection's own task does the rest."""
        if not self.closing and not self.ended:
            self.fail_open()
            self.closing, self.linger = True, linger
            self.stream.interrupt()

    # Called by the dispatcher.

    def awaits(self, stream):
        """Return whether somebody waits for the answer on a stream."""
        return stream in self.open_streams

    def deliver(self, stream, load, result):
        """Answer with the result of a run."""
        self.answer(stream, frames.delivered(stream, result, load))

    def reject(self, stream, load, retry_after=0.0, final=False):
        """Answer that the submission was not run; it may be sent again after `retry_after` seconds."""
        self.answer(stream, frames.rejected(stream, retry_after, final, load))

    def fail(self, stream, load):
        """Answer that the submission failed, or may have run."""
        self.answer(stream, frames.failed(stream, load))

    def send_health(self, stream, load, healthy):
        """Answer a health check."""
        self.answer(stream, frames.health(stream, healthy, load))

    def answer(self, stream, data):
        """Write an answer, unless the connection is closing: then the stream has already been answered."""
        self.open_streams.discard(stream)
        if not self.open_streams:
            self.idle_since = self.gateways.scheduler.clock()
        if not self.ended and not self.closing:
            self.stream.write(data)

    def request_close(self, timeout=CLOSE_TIMEOUT_S):
        """Ask the gateway to send no new submissions and to close once everything is answered.

        If it has not done so after `timeout` seconds, this side closes.
        """
        if self.ended or self.closing:
            return
        if self.close_at == math.inf:
            self.stream.write(frames.no_more())
        self.close_at = min(self.close_at, self.gateways.scheduler.clock() + timeout)
        self.linger = min(self.linger, timeout)

    def close_due(self, now):
        """Whether this side should close: the request to close and the last answer are long enough ago."""
        return not self.open_streams and now > max(self.close_at, self.idle_since + SHORT_CLOSE_TIMEOUT_S)

    def end(self):
        """Close at once: the peer is gone, has read to the end, reads too slowly, or its place is needed."""
        if not self.ended:
            self.ended = True
            self.stream.close()
            self.gateways.remove(self)
