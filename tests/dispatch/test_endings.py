"""Ends of connections, calls and tasks, on loopback sockets.

Where two events may cross each other, each test puts them in a fixed order.
"""

import errno
import os
import socket
import struct
import threading
import time

import pytest
from helpers import frame, submission
from loop_support import FAILED, Known, run

from valeturn.admission.interface import Outcome
from valeturn.dispatch import executor_client as executor_module
from valeturn.dispatch import gateway_connection, messages
from valeturn.dispatch import gateway_server as gateway_module
from valeturn.dispatch import ledger_client as ledger_module
from valeturn.dispatch.executor_client import ExecutorClient
from valeturn.dispatch.gateway_server import GatewayServer
from valeturn.dispatch.http_exchange import exchange
from valeturn.dispatch.ledger_client import LedgerClient
from valeturn.lab.flood_client import fields_payload
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol import frames
from valeturn.protocol.http import Malformed
from valeturn.server.resource_limits import derive
from valeturn.transport import listener as listener_module
from valeturn.transport import message_pacing
from valeturn.transport import scheduler as scheduler_module
from valeturn.transport.listener import AcceptResult, Listener, open_listening_socket
from valeturn.transport.scheduler import READ, Mailbox
from valeturn.transport.seeded_random import SeededRandom
from valeturn.transport.streams import Stream, StreamFault, connect

REJECTED, FAILED_ANSWER, NO_MORE = b"\x00\x00", b"\x09\x00", frame(3, 0)


def pair(scheduler, max_unsent=262144):  # noqa: F811
    """Return a Stream and the plain socket at its other end, over TCP."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname(), timeout=10)
        near, _ = server.accept()
    return Stream(scheduler, near, max_unsent), far


def rest(far):
    """Read to the orderly end; a reset raises."""
    data = b""
    while got := far.recv(65536):
        data += got
    return data


def reading(scheduler, far, into):  # noqa: F811
    """Read to the end in a thread, then close."""

    def body():
        try:
            into.append(rest(far))
        except OSError as error:
            into.append(error)
        far.close()

    thread = threading.Thread(target=body, daemon=True)
    thread.start()
    return thread


def arrived(stream):
    """Wait until what the other side sent is in the kernel's buffer."""
    while not stream.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
        time.sleep(0.001)


# ---- closing a stream


@pytest.mark.parametrize("orderly", [True, False])
def test_bytes_unread_at_a_close_do_not_destroy_an_answer_under_way(scheduler, orderly):  # noqa: F811
    """The plain close shows that these unread bytes do reset the connection."""
    stream, far = pair(scheduler)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    got = []

    def test():
        far.sendall(b"unread")
        arrived(stream)
        stream.write(b"a" * 200000)
        thread = reading(scheduler, far, got)
        if orderly:
            stream.lingering_close(5.0)
        else:
            stream.close()
        thread.join(10)

    run(scheduler, test)
    assert (got == [b"a" * 200000]) is orderly


def test_bytes_before_the_shutdown_can_be_answered_and_later_ones_are_dropped(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    seen, got = [], []

    def last(data):
        seen.append(data)
        stream.write(b"answer to " + data)

    def test():
        far.sendall(b"early")
        arrived(stream)
        shutdown = stream.sock.shutdown

        class SocketWithLateBytes:
            """The socket, with bytes that arrive at the moment of the shutdown."""

            def __getattr__(self, name):
                return getattr(stream_sock, name)

            def shutdown(self, how):
                far.sendall(b"late")
                arrived(stream)
                shutdown(how)

        stream_sock, stream.sock = stream.sock, SocketWithLateBytes()
        thread = reading(scheduler, far, got)
        stream.lingering_close(5.0, last)
        thread.join(10)

    run(scheduler, test)
    assert seen == [b"early"] and got == [b"answer to early"]


def test_lingering_close_ends_in_time_if_the_other_side_never_closes_or_never_stops_sending(scheduler):  # noqa: F811
    silent, far = pair(scheduler)
    flooded, other = pair(scheduler)
    stop = threading.Event()

    def flood():
        try:
            while not stop.is_set():
                other.send(b"x" * 65536)
        except OSError:
            pass

    threading.Thread(target=flood, daemon=True).start()
    took = []

    def test(stream):
        began = scheduler.clock()
        stream.lingering_close(0.3, lambda data: None)
        took.append(scheduler.clock() - began)

    run(scheduler, lambda: test(silent), lambda: test(flooded))
    stop.set()
    assert len(took) == 2 and max(took) < 2.0 and silent.sock.fileno() == flooded.sock.fileno() == -1


@pytest.mark.parametrize("ending", ["shutdown", "close", "reset"])
def test_close_of_the_other_side_shows_before_what_it_left_is_read(scheduler, ending):  # noqa: F811
    stream, far = pair(scheduler)
    assert not stream.peer_has_closed()
    far.sendall(b"unread")
    arrived(stream)
    assert not stream.peer_has_closed()
    if ending == "shutdown":
        far.shutdown(socket.SHUT_WR)
    else:
        linger = struct.pack("ii", int(ending == "reset"), 0)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        far.close()
    until = time.monotonic() + 5
    while not stream.peer_has_closed() and time.monotonic() < until:
        time.sleep(0.001)
    assert stream.peer_has_closed() and stream.read_available() == b"unread"
    stream.close()
    assert stream.peer_has_closed()
    far.close()


def test_endless_data_during_a_lingering_close_leaves_other_tasks_their_turn(scheduler):  # noqa: F811
    """Guards against a close that reads and decodes all that a flooding client sends in one turn."""
    stream, far = pair(scheduler)
    reads, turns = [], []

    class EndlessSocket:
        def __getattr__(self, name):
            return getattr(real, name)

        def recv(self, most):
            reads.append(most)
            return b"x"

    real, stream.sock = stream.sock, EndlessSocket()

    def other():
        while reads[-1:] != ["closed"]:
            turns.append(len(reads))
            scheduler.pause()

    def closing():
        stream.lingering_close(0.2, lambda data: None)
        reads.append("closed")

    run(scheduler, closing, other)
    assert max(after - before for before, after in zip(turns, turns[1:])) < 50, "other tasks had to wait"


def test_endless_data_on_one_stream_leaves_other_tasks_their_turn(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    reads = []

    class EndlessSocket:
        def __getattr__(self, name):
            return getattr(real, name)

        def recv(self, most):
            reads.append(most)
            return b"x"

    real, stream.sock = stream.sock, EndlessSocket()

    def reader():
        while len(reads) < 100000 and not turns:
            stream.read()

    turns = []

    def other():
        scheduler.pause()
        turns.append(len(reads))

    run(scheduler, reader, other)
    assert turns[0] < 100, "other tasks had to wait"


# ---- accepting


class FailingSocket:
    """A listening socket whose accept fails with the given errors, the last of them for ever."""

    def __init__(self, sock, *errors):
        self.sock, self.errors, self.calls = sock, list(errors), 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def accept(self):
        self.calls += 1
        if self.errors:
            number = self.errors[0] if len(self.errors) == 1 else self.errors.pop(0)
            raise OSError(number, os.strerror(number))
        return self.sock.accept()


@pytest.mark.parametrize("number", [errno.EPERM, errno.ENOTSOCK, errno.ECONNABORTED, errno.EMFILE])
def test_accept_that_keeps_failing_leaves_other_tasks_their_turn(scheduler, number):  # noqa: F811
    failing = FailingSocket(open_listening_socket(("127.0.0.1", 0), time.sleep, time.monotonic), number)
    Listener(scheduler, ("", 0), 9, lambda stream: None, sock=failing)
    turns = []

    def test():
        with socket.create_connection(failing.getsockname()):
            for _ in range(5):
                scheduler.sleep(0.01)
                turns.append(failing.calls)

    run(scheduler, test)
    assert len(turns) == 5 and 0 < turns[-1] < 2000


def test_connection_that_broke_before_it_was_accepted_takes_no_place(scheduler, monkeypatch):  # noqa: F811
    came = []
    listener = Listener(scheduler, ("127.0.0.1", 0), 9, came.append)
    broken = []

    def make(scheduler, sock):  # noqa: F811
        if not broken:
            broken.append(sock)
            raise OSError(errno.EINVAL, "reset")
        return Stream(scheduler, sock)

    monkeypatch.setattr(listener_module, "Stream", make)

    def test():
        with (
            socket.create_connection(listener.sock.getsockname()),
            socket.create_connection(listener.sock.getsockname()),
        ):
            while not came:
                scheduler.sleep(0.01)

    run(scheduler, test)
    assert listener.connection_count == 1 and broken[0].fileno() == -1


def test_drain_accepts_what_waits_for_room_before_it_closes(scheduler):  # noqa: F811
    """Two connections wait in the kernel's queue while there is room for one: a close would reset them."""
    came = []
    listener = Listener(scheduler, ("127.0.0.1", 0), 1, came.append)

    def test():
        clients = [socket.create_connection(listener.sock.getsockname()) for _ in range(3)]
        for client in clients:
            client.sendall(b"asks")
        scheduler.sleep(0.05)
        assert len(came) == 1
        scheduler.call_later(0.1, listener.connection_ended)
        scheduler.call_later(0.2, listener.connection_ended)
        listener.drain(scheduler.clock() + 5.0)
        assert len(came) == 3 and [stream.read(5.0) for stream in came] == [b"asks"] * 3
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(client.getpeername())

    run(scheduler, test)


@pytest.mark.parametrize("shut", [True, False])
def test_no_connection_is_established_between_the_last_accept_and_the_close(scheduler, shut):  # noqa: F811
    """Such a connection is reset and what was sent on it is lost, as the case without the filter shows."""
    listener = Listener(scheduler, ("127.0.0.1", 0), 9, lambda stream: None)
    address, late = listener.sock.getsockname(), socket.socket()
    late.setblocking(False)
    if not shut:
        listener.drop_new_handshakes = lambda: None

    def test():
        accept, listener.accept = (
            listener.accept,
            lambda: (
                late.connect_ex(address) and (setattr(listener, "accept", accept)) or AcceptResult.QUEUE_EMPTY
            ),
        )
        listener.drain(scheduler.clock() + 1.0)

    close = listener.close
    made = []

    def closing():
        try:
            late.send(b"asks")
            made.append(True)
        except OSError:
            made.append(False)
        listener.accept = lambda: AcceptResult.QUEUE_EMPTY  # the last accept has been
        close()

    listener.close = closing
    run(scheduler, test)
    late.close()
    assert made == [not shut]


def test_listening_waits_for_an_address_that_is_still_in_use():
    with socket.socket() as before:
        before.bind(("127.0.0.1", 0))
        before.listen(1)
        waits = []

        def sleep(seconds):
            waits.append(seconds)
            if len(waits) == 3:
                before.close()

        with open_listening_socket(before.getsockname(), sleep, lambda: float(len(waits))) as sock:
            assert len(waits) == 3 and sock.fileno() >= 0
    with socket.socket() as stays:
        stays.bind(("127.0.0.1", 0))
        stays.listen(1)
        with pytest.raises(OSError):
            open_listening_socket(stays.getsockname(), waits.append, lambda: 5.0 * len(waits))
        with pytest.raises(OSError):
            open_listening_socket(("203.0.113.1", 1), lambda _: pytest.fail("waits"), time.monotonic)


# ---- tasks, timers and descriptors


def test_fault_in_a_timer_ends_neither_the_loop_nor_other_timers(scheduler):  # noqa: F811
    seen = []

    def test():
        scheduler.call_later(0.0, lambda: 1 / 0)
        scheduler.call_later(0.0, seen.append, "the next")
        scheduler.sleep(0.01)
        assert [name for name, _ in FAILED] == ["timer"]
        FAILED.clear()

    run(scheduler, test)
    assert seen == ["the next"]


def test_supervised_task_restarts_after_a_fault_and_ends_when_cancelled(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(scheduler_module, "RESTART_DELAY_S", 0.01)
    seen = []

    def faulty():
        seen.append("began")
        if len(seen) < 3:
            raise ZeroDivisionError
        scheduler.sleep(30.0)

    task = scheduler.spawn_supervised(faulty, name="faulty")

    def test():
        scheduler.sleep(0.1)
        assert len(seen) == 3 and [name for name, _ in FAILED] == ["faulty"] * 2
        FAILED.clear()
        scheduler.cancel(task)
        scheduler.pause()
        assert task.dead

    run(scheduler, test)


def test_putter_woken_by_another_task_leaves_no_wake_behind(scheduler):  # noqa: F811
    """A wake left behind ended its next wait, which it took for the end of the connection."""
    box, seen = Mailbox(scheduler, 1), []

    def putter():
        box.put("first")
        box.put("second")  # full: it waits, and another task wakes it meanwhile
        seen.append(scheduler.wait(0.3, "time is up"))

    task = scheduler.spawn(putter)

    def test():
        scheduler.pause()
        scheduler.pause()
        scheduler.wake(task)
        scheduler.pause()
        assert len(box.putters) == 1
        assert list(box.take_all()) == ["first"]
        scheduler.pause()
        assert list(box.take_all()) == ["second"]
        scheduler.sleep(0.5)
        assert seen == ["time is up"]

    run(scheduler, test)


def test_reused_descriptor_number_belongs_to_the_new_connection_alone(scheduler):  # noqa: F811
    """A task still waits for the old descriptor when it is closed and its number reused, all in one turn."""
    stream, far = pair(scheduler)
    number, old = stream.sock.fileno(), []
    scheduler.spawn(lambda: old.append(stream.read(5.0)))

    def test():
        scheduler.sleep(0.01)
        stream.close(StreamFault.RESET)
        near, other = socket.socketpair()
        if other.fileno() == number:
            near, other = other, near
        copies = [near.fileno()]
        while copies[-1] != number:
            copies.append(os.dup(near.fileno()))
            assert len(copies) < 50
        again = Stream(scheduler, near if near.fileno() == number else socket.socket(fileno=number))
        new = []
        scheduler.spawn(lambda: new.append(again.read(5.0)))
        scheduler.sleep(0.01)
        assert old == [StreamFault.RESET] and not new
        other.send(b"for the new one")
        scheduler.sleep(0.01)
        assert new == [b"for the new one"]

    run(scheduler, test)


def test_timeout_and_data_in_one_turn_return_the_data(scheduler):  # noqa: F811
    stream, far = pair(scheduler)

    def test():
        far.sendall(b"just in time")
        got = []
        scheduler.spawn(lambda: got.append(stream.read(0.02)))
        scheduler.pause()
        stream.read_available()  # empties the buffer, so that the read waits
        scheduler.pause()
        far.sendall(b"in the same turn")
        time.sleep(0.05)  # blocks the loop: both events are due when it goes on
        scheduler.sleep(0.01)
        assert got in ([b"just in time"], [b"in the same turn"])

    run(scheduler, test)


# ---- gateway connections


class RunningGateways:
    """A GatewayServer over real sockets that records the messages for the dispatcher."""

    def __init__(self, scheduler, connections=None):  # noqa: F811
        self.put, self.counts = [], {}
        bounds = derive(384, 64)
        if connections is not None:
            bounds = bounds._replace(connections=connections)
        self.scheduler = scheduler
        self.gateways = GatewayServer(scheduler, self.put.append, self.put.append, Known, bounds, self.count)
        self.gateways.listener = Listener(
            scheduler, ("127.0.0.1", 0), bounds.connections, self.gateways.accept, self.gateways.evict
        )

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def connect(self):
        """Return (this side's Connection, the far socket)."""
        before = set(self.gateways.connections)
        far = socket.create_connection(self.gateways.listener.sock.getsockname(), timeout=10)
        while not (new := set(self.gateways.connections) - before):
            self.scheduler.sleep(0.002)
        self.scheduler.sleep(0.005)
        return new.pop(), far

    def to_the_end(self, far):
        got = []
        thread = reading(self.scheduler, far, got)
        until = time.monotonic() + 10
        while thread.is_alive() and time.monotonic() < until:
            self.scheduler.sleep(0.01)
        return got[0]


def test_submission_that_crosses_a_close_is_rejected_and_never_run(scheduler):  # noqa: F811
    """On an idle connection, whoever closes it: the sweep, an eviction, or the end of a drain."""
    served = RunningGateways(scheduler)

    def test():
        for close in (
            lambda connection: connection.close(),
            lambda connection: served.gateways.close_all(0.5),
        ):
            connection, far = served.connect()
            far.sendall(submission(1) + submission(2) + frame(1, 3, b"\0") + submission(4)[:40])
            arrived(connection.stream)  # arrived, but not read
            close(connection)
            got = served.to_the_end(far)
            assert got == frame(8, 1, REJECTED) + frame(8, 2, REJECTED) + frame(2, 3, REJECTED)
        assert not [message for message in served.put if isinstance(message, messages.SubmissionReceived)]
        assert served.counts["in.while_closing"] == 4

    run(scheduler, test)


def test_connection_that_is_held_back_answers_what_it_has_read_as_soon_as_it_is_closed(
    scheduler,  # noqa: F811
    monkeypatch,
):
    """Guards against a shutdown that ends while a paused connection still has requests to answer."""
    monkeypatch.setattr(message_pacing, "PERIOD_S", 30.0)
    monkeypatch.setattr(message_pacing, "MAX_PAUSE_S", 30.0)
    served = RunningGateways(scheduler)

    def test():
        connection, far = served.connect()
        many = message_pacing.MESSAGES_PER_PERIOD
        far.sendall(b"".join(frame(9, stream) for stream in range(1, many + 1)) + submission(1))
        while not served.counts.get("gateway.held_back"):
            scheduler.sleep(0.002)
        connection.close()
        assert served.to_the_end(far) == frame(8, 1, REJECTED)

    run(scheduler, test)


def test_many_large_messages_at_a_close_leave_other_tasks_their_turn(scheduler, monkeypatch):  # noqa: F811
    """Guards against closes of flooding connections that take as long as their clients' messages need."""
    served, decoded, turns = RunningGateways(scheduler), [], []
    decode_frame = frames._decode_frame
    monkeypatch.setattr(frames, "_decode_frame", lambda *args: decoded.append(args) or decode_frame(*args))
    many_fields = fields_payload({f"{number:02x}": "" for number in range(frames.MAX_FIELDS)})

    def other():
        while not turns or turns[-1] < gateway_connection.MAX_OPEN_SUBMISSIONS:
            turns.append(len(decoded))
            scheduler.pause()

    def test():
        connection, far = served.connect()
        far.sendall(60 * frame(1, 3, many_fields))
        arrived(connection.stream)
        connection.close()
        scheduler.spawn(other)
        assert served.to_the_end(far) == gateway_connection.MAX_OPEN_SUBMISSIONS * frame(2, 3, REJECTED)

    run(scheduler, test)
    assert max(after - before for before, after in zip(turns, turns[1:])) <= 2
    assert len(decoded) == gateway_connection.MAX_OPEN_SUBMISSIONS


def test_open_submissions_fail_before_their_connection_closes(scheduler):  # noqa: F811
    served = RunningGateways(scheduler)

    def test():
        connection, far = served.connect()
        far.sendall(submission(1) + submission(2))
        while len(connection.open_streams) < 2:
            scheduler.sleep(0.002)
        connection.answer(2, b"")
        connection.close()
        assert served.to_the_end(far) == frame(8, 1, FAILED_ANSWER)
        scheduler.sleep(0.01)
        assert [
            message.streams for message in served.put if isinstance(message, messages.ConnectionClosed)
        ] == [{1}]

    run(scheduler, test)


def test_gateway_that_shuts_down_its_sending_side_still_reads_its_answers(scheduler):  # noqa: F811
    """If the connection were dropped at the end of what it sends, unsent and open answers would be lost."""
    served = RunningGateways(scheduler)

    def test():
        connection, far = served.connect()
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.stream.max_unsent = 1 << 23
        far.sendall(submission(1) + submission(2))
        while len(connection.open_streams) < 2:
            scheduler.sleep(0.002)
        result = frame(8, 1, b"\x01\x00" + b"r" * 1000000)
        connection.answer(1, result)
        assert connection.stream.unsent
        far.shutdown(socket.SHUT_WR)
        scheduler.sleep(0.02)
        assert served.to_the_end(far) == result + frame(8, 2, FAILED_ANSWER)
        assert [
            message.streams for message in served.put if isinstance(message, messages.ConnectionClosed)
        ] == [{2}]

    run(scheduler, test)


@pytest.mark.parametrize("reset", [False, True])
def test_requests_left_unread_by_a_client_that_closed_are_not_passed_on(scheduler, reset):  # noqa: F811
    """Guards against requests that are started after their client has closed its connection."""
    served = RunningGateways(scheduler)

    def test():
        connection, far = served.connect()
        far.sendall(b"".join(submission(stream) for stream in range(1, 21)))
        if reset:
            far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        far.close()
        until = time.monotonic() + 5
        while not connection.ended and time.monotonic() < until:
            scheduler.sleep(0.01)
        assert connection.ended and not served.put

    run(scheduler, test)


def test_frames_behind_a_protocol_error_are_answered_too(scheduler):  # noqa: F811
    served = RunningGateways(scheduler)

    def test():
        connection, far = served.connect()
        far.sendall(submission(1) + submission(1) + submission(9) + submission(10)[:30])
        assert served.to_the_end(far) == (
            frame(8, 1, FAILED_ANSWER) + frame(8, 0, FAILED_ANSWER) + frame(8, 9, REJECTED)
        )
        assert [type(message) for message in served.put] == [
            messages.SubmissionReceived,
            messages.ConnectionClosed,
        ]

    run(scheduler, test)


def test_fault_in_one_connection_ends_it_with_its_answers_and_no_other(scheduler, monkeypatch):  # noqa: F811
    served = RunningGateways(scheduler)
    handle_message = gateway_connection.Connection.handle_message

    def faulty(self, message, cancelled=()):
        if message.stream == 7:
            raise ZeroDivisionError
        return handle_message(self, message, cancelled)

    monkeypatch.setattr(gateway_connection.Connection, "handle_message", faulty)

    def test():
        connection, far = served.connect()
        other, away = served.connect()
        far.sendall(submission(1) + submission(7))
        assert served.to_the_end(far) == frame(8, 1, FAILED_ANSWER) + frame(8, 0, FAILED_ANSWER)
        assert [name for name, _ in FAILED] == ["gateway"] and not other.ended
        FAILED.clear()
        away.sendall(submission(1))
        while not other.open_streams:
            scheduler.sleep(0.002)

    run(scheduler, test)


def test_full_table_evicts_an_idle_connection_for_a_new_one(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(gateway_module, "NEW_CONNECTION_GRACE_S", 0.0)
    served = RunningGateways(scheduler, connections=2)

    def test():
        used, busy = served.connect()
        busy.sendall(submission(1))
        resting, idle = served.connect()
        while not used.open_streams:
            scheduler.sleep(0.002)
        new = socket.create_connection(served.gateways.listener.sock.getsockname(), timeout=10)
        new.sendall(submission(1))
        assert served.to_the_end(idle) == NO_MORE
        while (
            len([message for message in served.put if isinstance(message, messages.SubmissionReceived)]) < 2
        ):
            scheduler.sleep(0.005)
        assert served.counts["gateway.evicted"] == 1 and not used.ended and resting.ended

    run(scheduler, test)


def test_evicted_connection_frees_its_place_at_once_unless_bytes_are_unread(scheduler, monkeypatch):  # noqa: F811
    """Silent connections that never close delayed new ones by the linger time each."""
    monkeypatch.setattr(gateway_module, "NEW_CONNECTION_GRACE_S", 0.0)
    served = RunningGateways(scheduler)

    def test():
        quiet, silent = served.connect()
        assert served.gateways.evict() and quiet.ended and not served.gateways.connections
        assert served.to_the_end(silent) == NO_MORE
        crossed, far = served.connect()
        far.sendall(submission(1))
        arrived(crossed.stream)
        assert not served.gateways.evict() and not crossed.ended
        assert served.to_the_end(far) == NO_MORE + frame(8, 1, REJECTED)

    run(scheduler, test)


def test_connections_accepted_during_a_drain_are_asked_to_close_too(scheduler):  # noqa: F811
    served = RunningGateways(scheduler)

    def test():
        served.gateways.request_close_all(0.05)
        connection, far = served.connect()
        far.sendall(submission(1))
        while not connection.open_streams:
            scheduler.sleep(0.002)
        connection.answer(1, frame(8, 1, REJECTED))
        connection.close_at = connection.idle_since = 0.0
        served.gateways.sweep()
        assert served.to_the_end(far) == NO_MORE + frame(8, 1, REJECTED)

    run(scheduler, test)


# ---- the link to the executor and the ledger

WELCOME = b'{"t":"WELCOME","status":"steady","time_ms":9000}\n'
EXIT = b'{"t":"EXIT","no":%d,"rid":"a","status":"success","time_ms":1}\n'


class ScriptedExecutor:
    """An executor that sends one script to each connection, and records what it receives."""

    def __init__(self, scheduler, *scripts):  # noqa: F811
        self.scripts, self.received = list(scripts), []
        self.listener = Listener(
            scheduler, ("127.0.0.1", 0), 99, lambda stream: scheduler.spawn(self.serve_connection, stream)
        )
        self.address = self.listener.sock.getsockname()

    def serve_connection(self, stream):
        received = bytearray()
        self.received.append(received)
        stream.write(self.scripts.pop(0) if self.scripts else b"")
        while isinstance(got := stream.read(), bytes):
            received += got
        stream.close()


def test_connection_whose_join_is_never_accepted_is_retried(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(executor_module, "JOIN_TIMEOUT_S", 0.1)
    executor, box = ScriptedExecutor(scheduler, b"", b"", WELCOME), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, executor.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        for _ in range(300):
            scheduler.sleep(0.01)
            link.check()
            if link.connected:
                break
        assert link.connected and len(executor.received) == 3
        assert [type(message) for message in box.take_all(1.0)] == [messages.ExecutorConnected], (
            "no connection was joined before, so none ended"
        )

    run(scheduler, test)


def test_silent_connection_is_replaced_though_no_gauges_are_asked_for(scheduler, monkeypatch):  # noqa: F811
    """After the join nothing comes, not even an end. The periodic sweep checks for it, not only the task that
    asks for gauges."""
    monkeypatch.setattr(executor_module, "SILENCE_TIMEOUT_S", 0.1)
    executor, box = ScriptedExecutor(scheduler, WELCOME, WELCOME), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, executor.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        while len(executor.received) < 2:
            scheduler.sleep(0.01)
            link.check()
        scheduler.sleep(0.02)
        assert [type(message) for message in box.take_all(1.0)] == [
            messages.ExecutorConnected,
            messages.ExecutorDisconnected,
            messages.ExecutorConnected,
        ]

    run(scheduler, test)


@pytest.mark.parametrize(
    "malformed",
    [
        b"garbage\n",
        b'{"t":"EXIT","no":2,"rid":"a","status":"success","time_ms":NaN}\n',
        b'{"t":"EXIT","no":1e999,"rid":"a","status":"success","time_ms":1}\n',
        b'{"t":"METERS","mark":"7","v":["hot"]}\n',
        b'{"t":"METERS","mark":["7"],"v":[]}\n',
        b'{"t":"EXIT","no":2,"rid":["a"],"status":"success","time_ms":1}\n',
        b'{"t":"EXIT","no":2,"rid":"a","status":"success","time_ms":-1}\n',
        b"x" * 70000 + b"\n",
    ],
)
def test_line_that_stays_malformed_does_not_block_later_notices(scheduler, malformed):  # noqa: F811
    """Each new connection replays it: the second time it is skipped, and what it concerned is in doubt."""
    script = WELCOME + EXIT % 1 + malformed + EXIT % 3
    executor, box = ScriptedExecutor(scheduler, *[script] * 9), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, executor.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        got = []
        while sum(isinstance(message, executor_protocol.RunEnded) for message in got) < 2:
            got += box.take_all(10.0)
        assert [message.number for message in got if isinstance(message, executor_protocol.RunEnded)] == [
            1,
            3,
        ]
        assert messages.NoticesLost() in got and len(executor.received) == 2 and link.connected
        assert not [message for message in got if isinstance(message, executor_protocol.GaugesReported)]
        scheduler.sleep(0.02)
        assert executor.received[1].count(b'"joined"') == 2, "what is in doubt waits for these gauges"

    run(scheduler, test)


def test_fault_during_a_call_reports_the_call_as_reset(scheduler, monkeypatch):  # noqa: F811
    box = Mailbox(scheduler, 10)
    ledger = LedgerClient(scheduler, ("127.0.0.1", 1), 8, box.put, lambda *_: None)
    monkeypatch.setattr(ledger_module, "exchange", lambda *_: 1 / 0)

    def test():
        ledger.call(1, 1, "ref", 5.0, b"")
        (finished,) = box.take_all(5.0)
        assert (finished.number, finished.outcome) == (1, Outcome.RESET) and not ledger.tasks
        FAILED.clear()

    run(scheduler, test)


@pytest.mark.parametrize(
    "head, endless",
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n" * 999),
    ],
)
def test_endless_answer_is_given_up_in_time(scheduler, head, endless):  # noqa: F811
    listener = socket.create_server(("127.0.0.1", 0))

    def writes():
        far, _ = listener.accept()
        try:
            far.sendall(head)
            while True:
                far.sendall(endless * 50)
        except OSError:
            far.close()

    thread = threading.Thread(target=writes, daemon=True)
    thread.start()
    got = []

    def test():
        got.append(
            exchange(scheduler, listener.getsockname(), b"GET / HTTP/1.1\r\n\r\n", scheduler.clock() + 0.05)
        )

    scheduler.call_later(8.0, scheduler.stop)
    run(scheduler, test)
    thread.join(5)
    listener.close()
    assert isinstance(got[0], Malformed) or got[0].fault is StreamFault.TIMED_OUT


def test_second_call_of_a_run_is_not_ended_by_the_reply_to_the_first(scheduler):  # noqa: F811
    """The first call is cancelled in the turn in which its reply has arrived."""
    box = Mailbox(scheduler, 10)
    with socket.create_server(("127.0.0.1", 0)) as server:
        ledger = LedgerClient(scheduler, server.getsockname(), 8, box.put, lambda *_: None)

        def test():
            ledger.call(1, 1, "first", 5.0, b"")
            scheduler.sleep(0.02)
            first, _ = server.accept()
            first.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
            time.sleep(0.02)  # arrived, but not read
            ledger.call(1, 2, "second", 5.0, b"")
            scheduler.sleep(0.02)
            second, _ = server.accept()
            second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
            (finished,) = box.take_all(5.0)
            assert (finished.attempt, finished.body) == (2, b"second") and not ledger.tasks
            assert not box.take_all(0.05)

        run(scheduler, test)


def test_connection_reset_before_it_is_accepted_affects_no_other(scheduler):  # noqa: F811
    """With SO_LINGER 0 a close is a reset, which waits in the kernel's queue beside a working connection."""
    served = RunningGateways(scheduler)

    def test():
        address = served.gateways.listener.sock.getsockname()
        gone = socket.create_connection(address)
        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stays = socket.create_connection(address, timeout=10)
        gone.close()
        stays.sendall(submission(1))
        while not served.put:
            scheduler.sleep(0.002)
        scheduler.sleep(0.02)
        assert len(served.gateways.connections) == 1 == served.gateways.listener.connection_count

    run(scheduler, test)


def test_connection_attempt_without_an_answer_times_out(scheduler):  # noqa: F811
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waits = [socket.create_connection(full.getsockname())]  # fills the queue
        got = []

        def test():
            before = len(scheduler.polled)
            got.append(connect(scheduler, full.getsockname(), 0.1))
            if isinstance(got[0], Stream):
                got.append(connect(scheduler, full.getsockname(), 0.1))
            assert len(scheduler.polled) == before

        run(scheduler, test)
        assert got[-1] is StreamFault.TIMED_OUT and waits


def test_interrupt_wakes_only_the_task_that_reads(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    got = []
    scheduler.spawn(lambda: got.append(stream.read(5.0)))
    other = scheduler.spawn(lambda: got.append(scheduler.wait(0.1, "slept")))

    def test():
        scheduler.pause()
        scheduler.interrupt(stream.sock.fileno(), READ)
        scheduler.pause()
        assert got == [StreamFault.TIMED_OUT]
        stream.interrupt()  # no task waits now
        scheduler.sleep(0.2)
        assert got[1:] == ["slept"] and other.dead

    run(scheduler, test)
