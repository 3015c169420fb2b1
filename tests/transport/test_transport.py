"""Scheduler, streams, and the connections to other parties, each of which may fail at any byte."""

import socket

import pytest
from helpers import frame, submission
from loop_support import FAILED, Known, run

from valeturn.admission.interface import Outcome
from valeturn.dispatch import messages
from valeturn.dispatch.executor_client import ExecutorClient
from valeturn.dispatch.gateway_connection import MAX_REMEMBERED_STREAMS, SHORT_CLOSE_TIMEOUT_S
from valeturn.dispatch.gateway_server import GatewayServer
from valeturn.dispatch.ledger_client import LedgerClient
from valeturn.dispatch.registry_client import RegistryClient
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol.frames import FrameDecoder
from valeturn.server.resource_limits import (
    CONNECTION_BYTES,
    IDLE_PROCESS_MB,
    REQUEST_BYTES,
    RESERVED_SOCKETS,
    derive,
)
from valeturn.transport.backoff import Backoff
from valeturn.transport.listener import Listener
from valeturn.transport.scheduler import Mailbox
from valeturn.transport.seeded_random import SeededRandom
from valeturn.transport.streams import Stream, StreamFault, connect


def serve(scheduler, *answers, keep=()):
    """Run a scripted server: one script per connection, started by the first bytes that it reads.

    Of a script's parts bytes are sent, None closes, and a float is a pause in seconds. Returns the address
    and a list of what was read.
    """
    received, script = [], list(answers)

    def serve_connection(stream):
        while script:
            got = stream.read()
            if not isinstance(got, bytes):
                break
            received.append(got)
            for part in script.pop(0):
                if isinstance(part, float):
                    scheduler.sleep(part)
                elif part is None:
                    stream.close()
                    return
                else:
                    stream.write(part)
                    scheduler.pause()
        scheduler.sleep(15.0)

    listener = Listener(
        scheduler, ("127.0.0.1", 0), 100, lambda stream: scheduler.spawn(serve_connection, stream)
    )
    return listener.sock.getsockname(), received


# ---- the scheduler


def test_ready_tasks_run_in_order_and_low_priority_ones_after_them(scheduler):
    seen = []

    def early(name):
        seen.append(name)
        scheduler.pause()
        seen.append(name + " again")

    scheduler.spawn(seen.append, "late", low_priority=True)
    run(scheduler, lambda: early("a"), lambda: early("b"))
    assert [name for name in seen if name != "late"] == ["a", "b", "a again", "b again"]
    assert seen.index("late") >= 2


def test_low_priority_tasks_are_not_starved(scheduler):
    seen, box = [], Mailbox(scheduler, 10)
    scheduler.spawn(lambda: seen.append(len(box.take_all())), low_priority=True)

    def busy():
        box.put(1)
        for _ in range(50):
            scheduler.pause()
            if seen:
                return
        raise AssertionError("starved")

    run(scheduler, busy)


def test_timers_fire_in_order_of_time_and_cancelled_ones_never_fire(scheduler):
    seen = []
    scheduler.call_later(0.02, seen.append, "second")
    scheduler.call_later(0.01, seen.append, "first")
    scheduler.call_later(0.015, seen.append, "never").cancel()
    run(scheduler, lambda: scheduler.sleep(0.05))
    assert seen == ["first", "second"]


def test_cancelled_task_cleans_up_and_failing_one_ends_alone(scheduler):
    seen = []

    def waiting():
        try:
            scheduler.sleep(30)
        finally:
            seen.append("cleaned up")

    def spawning():
        scheduler.spawn(seen.append, "ends while its spawner waits")
        scheduler.sleep(30)
        seen.append("waited")

    task = scheduler.spawn(waiting)
    scheduler.spawn(spawning)
    never = scheduler.spawn(seen.append, "never")
    scheduler.cancel(never)
    bad = scheduler.spawn(lambda: 1 / 0, name="bad")

    def test():
        scheduler.sleep(0.01)
        assert seen == ["ends while its spawner waits"]
        scheduler.cancel(task)
        scheduler.pause()
        assert seen[1] == "cleaned up" and bad.dead and FAILED[0][0] == "bad"
        FAILED.clear()

    run(scheduler, test)


def test_full_mailbox_blocks_putters_and_loses_nothing(scheduler):
    box, taken = Mailbox(scheduler, 3), []

    def owner():
        while len(taken) < 10:
            got = box.take_all(5.0)
            assert len(got) <= 3
            taken.extend(got)

    def putter():
        for number in range(10):
            box.put(number)

    run(scheduler, owner, putter)
    assert taken == list(range(10))


def test_backoff_doubles_up_to_its_maximum_and_repeats_with_its_seed():
    backoff = Backoff(SeededRandom(7), 0.1, 0.5)
    waits = [backoff.next() for _ in range(6)]
    assert all(least / 2 <= wait <= least for wait, least in zip(waits, (0.1, 0.2, 0.4, 0.5, 0.5, 0.5)))
    assert [Backoff(SeededRandom(7), 0.1, 0.5).next() for _ in range(2)] == waits[:1] * 2


# ---- streams


def test_ready_descriptor_without_a_waiter_is_no_longer_polled(scheduler):
    """It stays in the poller until it is ready without a waiter, and is polled again by the next wait."""
    end, other = socket.socketpair()
    stream, fd = Stream(scheduler, end), end.fileno()

    def test():
        other.send(b"a")
        assert (
            stream.read(5.0) == b"a" and stream.read(0.01) is StreamFault.TIMED_OUT and fd in scheduler.polled
        )
        other.send(b"b")
        scheduler.sleep(0.01)
        assert fd not in scheduler.polled
        assert stream.read(5.0) == b"b" and stream.read(0.01) is StreamFault.TIMED_OUT
        other.close()
        scheduler.sleep(0.01)
        stream.close()
        assert not scheduler.polled and not scheduler.waiting

    run(scheduler, test)


def test_unsent_bytes_are_limited_and_arrive_whole_within_the_limit(scheduler):
    near, far = socket.socketpair(socket.AF_UNIX)
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    one, other, got = Stream(scheduler, near, 1 << 20), Stream(scheduler, far, 1), bytearray()

    def test():
        assert one.write(b"a" * 300000) and one.write(b"b" * 10) and one.unsent
        while len(got) < 300010:
            got.extend(other.read(5.0))
        assert got == b"a" * 300000 + b"b" * 10 and not one.unsent
        one.max_unsent = 1000
        assert not one.write(b"c" * 5000000) and one.fault is StreamFault.RESET and not one.write(b"d")

    run(scheduler, test)


def test_refused_connection_is_returned_as_a_fault(scheduler):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        got = []
        run(scheduler, lambda: got.append(connect(scheduler, taken.getsockname(), 1.0)))
    assert got == [StreamFault.REFUSED]


def test_listener_at_its_limit_accepts_again_after_a_connection_ended(scheduler):
    came = []
    listener = Listener(scheduler, ("127.0.0.1", 0), 2, came.append)

    def test():
        for _ in range(3):
            assert isinstance(connect(scheduler, listener.sock.getsockname(), 1.0), Stream)
        scheduler.sleep(0.08)
        assert len(came) == 2 and listener.shortages
        listener.connection_ended()
        for _ in range(100):
            scheduler.sleep(0.01)
            if len(came) == 3:
                return
        raise AssertionError("accepting did not go on")

    run(scheduler, test)


# ---- the ledger

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    "script, outcome",
    [
        ([GOOD], Outcome.DONE),
        ([GOOD[:20], 0.01, GOOD[20:]], Outcome.DONE),
        ([b"HTTP/1.1 503 No\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n"], Outcome.REFUSED),
        ([b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"], Outcome.ERROR),
        ([b"HTTP/1.1 409 No\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n"], Outcome.MOOT),
        ([b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"], Outcome.ERROR),
        ([b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"], Outcome.TIMED_OUT),
        ([None], Outcome.RESET),
        ([GOOD[:30], None], Outcome.RESET),
        ([b"garbage\r\n\r\n"], Outcome.RESET),
        ([5.0], Outcome.TIMED_OUT),
        ([GOOD[:30], 5.0], Outcome.TIMED_OUT),
    ],
)
def test_call_outcome_claims_only_what_is_proved(scheduler, script, outcome):
    address, received = serve(scheduler, script)
    box = Mailbox(scheduler, 10)
    ledger = LedgerClient(scheduler, address, 8, box.put, lambda *_: None)

    def test():
        ledger.call(1, 4, "ref", 0.3, b"ask")
        (finished,) = box.take_all(10.0)
        assert (finished.number, finished.attempt, finished.outcome) == (1, 4, outcome)
        assert finished.body == (b"ok" if outcome is Outcome.DONE else b"") and not ledger.tasks
        assert len(received) == 1 and received[0].endswith(b"ask")
        assert b"X-Txn-Ref: ref\r\nX-Limit-Ms: 300\r\n" in received[0]

    run(scheduler, test)


def test_refused_call_and_call_over_the_limit_are_unreached(scheduler):
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        box = Mailbox(scheduler, 10)
        ledger = LedgerClient(scheduler, closed.getsockname(), 1, box.put, lambda *_: None)

        def test():
            ledger.call(1, 1, "a", 0.3, b"")
            ledger.call(2, 1, "b", 0.3, b"")
            got = []
            while len(got) < 2:
                got += box.take_all(5.0)
            assert {finished.number: finished.outcome for finished in got} == {
                1: Outcome.UNREACHED,
                2: Outcome.UNREACHED,
            }

        run(scheduler, test)


@pytest.mark.parametrize("extra", [GOOD, b"noise", b"HTTP/1.1 "])
def test_bytes_behind_an_answer_never_reach_the_next_call(scheduler, extra):
    replies = [GOOD.replace(b"ok", b"%d." % n) for n in range(3)]
    ahead = b"HTTP/1.1 100 Continue\r\n\r\n" * 3
    address, received = serve(scheduler, *[[ahead + one + extra] for one in replies])
    box = Mailbox(scheduler, 10)
    ledger = LedgerClient(scheduler, address, 8, box.put, lambda *_: None)

    def test():
        for number in range(3):
            ledger.call(number, 1, "a", 5.0, b"")
            (finished,) = box.take_all(10.0)
            assert (finished.outcome, finished.body) == (Outcome.DONE, b"%d." % number)
            scheduler.sleep(0.01)
        assert len(received) == 3

    run(scheduler, test)


def test_cancelled_call_closes_its_connection_and_reports_nothing(scheduler):
    ends = []

    def read_to_end(stream):
        while isinstance(got := stream.read(), bytes):
            pass
        ends.append(got)

    listener = Listener(scheduler, ("127.0.0.1", 0), 9, lambda stream: scheduler.spawn(read_to_end, stream))
    box = Mailbox(scheduler, 10)
    ledger = LedgerClient(scheduler, listener.sock.getsockname(), 8, box.put, lambda *_: None)

    def test():
        ledger.call(1, 1, "a", 5.0, b"")
        scheduler.sleep(0.05)
        ledger.cancel(1)
        assert not box.take_all(0.05) and not ledger.tasks and len(ends) == 1

    run(scheduler, test)


# ---- executor and name service

WELCOME = b'{"t":"WELCOME","status":"steady","time_ms":9000}\n'
EXIT = b'{"t":"EXIT","no":%d,"rid":"a","status":"success","time_ms":1}\n'


def test_new_connection_joins_from_the_last_notice_and_each_is_passed_on_once(scheduler):
    address, received = serve(
        scheduler,
        [WELCOME + EXIT % 1, 0.05, None],
        [b"garbage\n", 0.05],
        [WELCOME + EXIT % 1 + EXIT % 2 + EXIT % 4, 0.01],
    )
    box = Mailbox(scheduler, 50)
    ExecutorClient(scheduler, address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        got = []
        while sum(isinstance(message, executor_protocol.RunEnded) for message in got) < 3:
            got += box.take_all(10.0)
        assert [message.number for message in got if isinstance(message, executor_protocol.RunEnded)] == [
            1,
            2,
            4,
        ]
        assert [type(message) for message in got if not isinstance(message, executor_protocol.RunEnded)] == [
            messages.ExecutorConnected,
            messages.ExecutorDisconnected,
            messages.ExecutorConnected,
            messages.NoticesLost,
        ]
        joins = [part for part in b"".join(received).split(b"\n") if b"JOIN" in part]
        assert [b'"no":0' in part for part in joins] == [True, False, False] and b'"no":1' in joins[2]

    run(scheduler, test)


@pytest.mark.parametrize("settles", [True, False])
def test_address_change_loses_no_command(scheduler, settles):
    """Gauges on the old connection confirm that all has arrived; without them the last commands are in
    doubt."""
    asked = [b'{"t":"METERS","mark":"handover","v":[]}\n'] if settles else [b""]
    old, received_old = serve(scheduler, [WELCOME + EXIT % 1], [b""], asked)
    new, received_new = serve(scheduler, [WELCOME + EXIT % 1 + EXIT % 2], [b""])
    box = Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, old, SeededRandom(1), box.put, lambda *_: None)

    def test():
        got = []
        while not any(isinstance(message, executor_protocol.RunEnded) for message in got):
            got += box.take_all(10.0)
        link.send(b"one\n")
        moved_at = scheduler.clock()
        link.set_address(new)
        while sum(isinstance(message, executor_protocol.RunEnded) for message in got) < 2:
            got += box.take_all(10.0)
        assert [message.number for message in got if isinstance(message, executor_protocol.RunEnded)] == [
            1,
            2,
        ]
        (down,) = [message for message in got if isinstance(message, messages.ExecutorDisconnected)]
        assert (down.arrived >= moved_at) is settles
        assert b'"no":1' in received_new[0] and b"one\n" in b"".join(received_old) and link.connected

    run(scheduler, test)


def test_address_change_during_a_handover_ends_at_the_last_address(scheduler, monkeypatch):
    monkeypatch.setattr("valeturn.dispatch.executor_client.HANDOVER_TIMEOUT_S", 1.0)
    (old, _), (second, received), (third, _) = [serve(scheduler, [WELCOME], [b""], [b""]) for _ in range(3)]
    box = Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, old, SeededRandom(1), box.put, lambda *_: None)

    def test():
        while not link.connected:
            scheduler.sleep(0.01)
        link.set_address(second)
        while link.replacement is None:  # the handover then waits for gauges that do not come
            scheduler.sleep(0.001)
        link.set_address(third)
        while not link.connected or link.stream.sock.getpeername() != third:
            scheduler.sleep(0.01)
        assert not received, "nothing was sent to the address in between"

    run(scheduler, test)


@pytest.mark.parametrize("script", [[None], [b"nonsense\r\n\r\n"], [2.0], [GOOD], [GOOD[:25], None]])
def test_reports_continue_after_any_fault_of_the_name_service(scheduler, script):
    address, received = serve(scheduler, script, [b"HTTP/1.1 204 OK\r\n\r\n"], [b"HTTP/1.1 204 OK\r\n\r\n"])
    counts = []
    registry = RegistryClient(scheduler, address, "n3", SeededRandom(3), counts.append)

    def test():
        for _ in range(400):
            scheduler.sleep(0.01)
            if "naming.reports" in counts:
                break
        assert (
            "naming.reports" in counts
            and ("naming.unanswered" if script in ([2.0], [None]) else "naming.failed") in counts
        )
        registry.set_serving(True)
        scheduler.sleep(0.3)
        assert received[0].startswith(b"PUT /ns/hosts/n3 HTTP/1.1\r\n") and received[0].endswith(
            b'{"serving":"no"}'
        )
        assert received[-1].endswith(b'{"serving":"yes"}'), "a change is reported at once"

    run(scheduler, test)


# ---- gateway connections


class RecordingStream:
    """A stream that returns scripted reads and keeps what is written."""

    def __init__(self, *reads):
        self.reads, self.data, self.closed, self.fault, self.unsent = list(reads), b"", False, None, b""

    def read(self, timeout=None):
        return self.reads.pop(0) if self.reads else StreamFault.CLOSED

    def write(self, data):
        self.data += data

    def lingering_close(self, timeout, last=None):
        self.closed = True

    def interrupt(self):
        pass

    def nothing_pending(self):
        return False

    def peer_has_closed(self):
        return False

    def wait_for_hangup(self, timeout):
        return False

    def take_caught_up(self):
        return True

    def close(self):
        self.closed = True


def connection(scheduler, *reads):
    put = []
    gateways = GatewayServer(scheduler, put.append, put.append, Known, derive(384, 64), lambda *_: None)
    return accepted(gateways, RecordingStream(*reads)), put


def accepted(gateways, stream):
    gateways.accept(stream)
    return list(gateways.connections)[-1]


def test_frames_become_messages_and_the_end_of_the_connection_is_the_last(scheduler):
    data = submission(1) + submission(2) + frame(9, 1) + frame(1, 5, b"\0")
    made, put = connection(scheduler, data[:40], data[40:200], data[200:])
    run(scheduler, lambda: scheduler.sleep(0.01))
    kinds = [
        messages.SubmissionReceived,
        messages.SubmissionReceived,
        messages.SubmissionCancelled,
        messages.HealthCheckRequested,
        messages.ConnectionClosed,
    ]
    assert [type(message) for message in put] == kinds
    assert put[-1].streams == {2} and not made.open_streams and made.stream.closed


def settle(scheduler):
    """Let all tasks run until they wait."""
    run(scheduler, lambda: scheduler.sleep(0.01))


@pytest.mark.parametrize(
    "bad, stream",
    [
        (submission(7, op="unheard"), 7),
        (submission(7, heap=None), 7),
        (submission(7, body=b"x" * 3000), 7),
        (submission(7, org="nobody"), 7),
        (submission(7, org=None), 7),
        (submission(7, recv="99999999999999"), 7),
    ],
)
def test_invalid_submission_is_rejected_and_the_connection_stays_open(scheduler, bad, stream):
    first, put = connection(scheduler)
    made = open_connection(scheduler, bad + submission(8), gateways=first.gateways)
    settle(scheduler)
    assert (
        made.stream.data == frame(8, stream, b"\x00\x00")
        and made.open_streams == {8}
        and not made.stream.closed
    )
    assert [type(message) for message in put] == [messages.SubmissionReceived]


def test_connection_with_only_invalid_submissions_is_closed(scheduler):
    made, put = connection(scheduler, b"".join(submission(n, org="nobody") for n in range(1, 99)))
    settle(scheduler)
    assert made.stream.data.count(frame(8, 0, b"\x09\x00")) == 1 and made.stream.closed and not put
    assert len(made.stream.data) < 12 * len(frame(8, 1, b"\x00\x00"))


def test_submission_cancelled_in_the_same_read_is_not_passed_on(scheduler):
    made, put = connection(scheduler, b"".join(submission(n) + frame(9, n) for n in range(1, 300)))
    settle(scheduler)
    assert not put and not made.stream.data and not made.open_streams


def test_submissions_over_the_limit_are_rejected_and_answers_make_room(scheduler):
    made, put = connection(scheduler)
    submissions = FrameDecoder().feed(b"".join(submission(n) for n in range(1, 35)))
    for one in submissions[:33]:
        made.handle_message(one)
    assert len(made.open_streams) == 32 and made.stream.data == frame(8, 33, b"\x00\x00")
    made.answer(5, b"")
    made.handle_message(submissions[33])
    assert len(made.open_streams) == 32 and 34 in made.open_streams


@pytest.mark.parametrize(
    "bad, behind",
    [
        (submission(1), frame(8, 9, b"\x00\x00")),
        (frame(5, 1), b""),
        (b"\x00\x00\x00\x00", b""),
        (frame(7, 2, b"\x05"), b""),
    ],
)
def test_protocol_error_closes_the_connection_and_fails_what_is_open(scheduler, bad, behind):
    """A submission behind the error is rejected, as it never ran."""
    made, put = connection(scheduler, submission(1) + bad + submission(9))
    settle(scheduler)
    ends = frame(8, 1, b"\x09\x00") + frame(8, 0, b"\x09\x00")
    assert made.stream.data == ends + behind and made.stream.closed
    assert [type(message) for message in put] == [
        messages.SubmissionReceived,
        messages.ConnectionClosed,
    ] and put[1].streams == {1}
    made.deliver(1, None, b"late")
    assert b"late" not in made.stream.data


class OpenStream(RecordingStream):
    """A stream whose other side, after the scripted reads, neither sends nor closes."""

    def read(self, timeout=None):
        if self.reads:
            return self.reads.pop(0)
        self.reader = self.scheduler.current()
        return self.scheduler.park() or StreamFault.TIMED_OUT

    reader = None

    def interrupt(self):
        if self.reader is not None:
            self.scheduler.wake(self.reader)


def open_connection(scheduler, *reads, gateways=None):
    stream = OpenStream(*reads)
    stream.scheduler = scheduler
    return accepted(gateways or connection(scheduler)[0].gateways, stream)


@pytest.mark.parametrize(
    "sent, closed",
    [
        (b"", True),
        (submission(1)[:30], True),
        (submission(1) + submission(2)[:9], True),
        (submission(1), False),
        (frame(1, 5, b"\0"), False),
    ],
)
def test_connection_without_a_complete_frame_is_closed_in_time(scheduler, sent, closed):
    made = open_connection(scheduler, *[sent] * bool(sent))
    gateways = made.gateways

    def test():
        scheduler.sleep(0.01)
        gateways.sweep()
        assert not made.closing
        if made.incomplete_since is not None:
            made.incomplete_since -= 2.0
        gateways.sweep()
        scheduler.sleep(0.01)
        assert made.stream.closed is closed and (frame(8, 0, b"\x09\x00") in made.stream.data) is closed

    run(scheduler, test)


def test_eviction_takes_silent_connections_then_the_longest_idle_and_never_one_in_use(scheduler):
    silent = open_connection(scheduler)
    gateways = silent.gateways
    asked = open_connection(scheduler, frame(1, 5, b"\0"), gateways=gateways)
    old = open_connection(scheduler, frame(1, 5, b"\0"), gateways=gateways)
    used = open_connection(scheduler, submission(1), gateways=gateways)

    def test():
        scheduler.sleep(0.01)
        for one in (used, old, asked, silent):
            one.idle_since = scheduler.clock()
        assert not gateways.evict() and not any(one.closing for one in (used, old, asked, silent)), "young"
        for age, one in ((5.0, used), (4.0, old), (3.0, asked), (1.0, silent)):
            one.idle_since -= age
        for one in (silent, old, asked):
            assert not gateways.evict(), "its place becomes free once it is closed"
            assert (
                one.closing and one.linger == SHORT_CLOSE_TIMEOUT_S and one.stream.data.endswith(frame(3, 0))
            )
            scheduler.pause()
            scheduler.pause()
            assert one.stream.closed and one not in gateways.connections
        gateways.evict()
        scheduler.sleep(0.01)
        assert not used.stream.closed and not used.closing

    run(scheduler, test)


def test_stream_numbers_out_of_order_are_remembered_within_a_limit(scheduler):
    made, _ = connection(scheduler)
    assert all(made.is_new(n) for n in (2, 1, 5, 3)) and not any(made.is_new(n) for n in (1, 2, 3, 5))
    assert made.seen_up_to == 3 and made.seen == {5}
    assert all(made.is_new(n) for n in range(10, 30000, 2)) and len(made.seen) <= MAX_REMEMBERED_STREAMS + 1


def test_slowest_reader_is_closed_when_unsent_bytes_exceed_the_limit(scheduler):
    slow, _ = connection(scheduler)
    quick = accepted(slow.gateways, RecordingStream())
    slow.gateways.limits = slow.gateways.limits._replace(unsent=100)
    slow.stream.unsent, quick.stream.unsent = b"x" * 90, b"x" * 20
    slow.gateways.limit_unsent()
    assert slow.stream.closed and not quick.stream.closed


def test_idle_connections_are_asked_to_close_and_used_ones_are_not(scheduler):
    made, _ = connection(scheduler)
    gateways, made.incomplete_since = made.gateways, None
    gateways.idle_timeout, made.idle_since = 0.1, scheduler.clock() - 0.2
    made.open_streams = {1}
    gateways.sweep()
    assert not made.stream.data
    made.open_streams = set()
    gateways.sweep()
    assert made.stream.data == frame(3, 0) and not made.stream.closed
    made.close_at -= 2.0
    gateways.sweep()
    assert made.closing
    settle(scheduler)
    assert made.stream.closed


@pytest.mark.parametrize("sockets, memory_mb", [(384, 32), (384, 64), (512, 80), (1024, 192), (64, 24)])
def test_derived_limits_fit_the_process_s_limits_together(sockets, memory_mb):
    limits = derive(sockets, memory_mb)
    assert limits.connections + limits.calls + RESERVED_SOCKETS <= sockets and min(limits) > 0
    assert (
        limits.connections * CONNECTION_BYTES
        + limits.submissions * REQUEST_BYTES
        + limits.unsent
        + limits.results
        <= max(4, memory_mb - IDLE_PROCESS_MB) << 20
    )
    assert sockets < 384 or limits.connections >= sockets // 2, "gateways may take half"
