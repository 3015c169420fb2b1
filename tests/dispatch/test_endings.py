"""The paths that end things, on loopback sockets, with the two events that may cross put in their order."""

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
from valeturn.dispatch import gateway_server as gateways_module
from valeturn.dispatch import ledger_client as ledger_module
from valeturn.dispatch import messages
from valeturn.dispatch.executor_client import ExecutorClient
from valeturn.dispatch.gateway_server import GatewayServer
from valeturn.dispatch.http_exchange import exchange
from valeturn.dispatch.ledger_client import LedgerClient
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol.http import Malformed
from valeturn.server.resource_limits import derive
from valeturn.transport import listener as listener_module
from valeturn.transport import scheduler as scheduler_module
from valeturn.transport.listener import Accepted, Listener, listening
from valeturn.transport.scheduler import READ, Mailbox
from valeturn.transport.seeded_random import SeededRandom
from valeturn.transport.streams import Stream, StreamFault, connect

TURNED, OFF, NO_MORE = b"\x00\x00", b"\x09\x00", frame(3, 0)


def pair(scheduler, most_unsent=262144):  # noqa: F811
    """A Stream and the plain socket at its other end, over TCP."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname(), timeout=10)
        near, _ = server.accept()
    return Stream(scheduler, near, most_unsent), far


def rest(far):
    """All up to the orderly end; a reset raises."""
    data = b""
    while got := far.recv(65536):
        data += got
    return data


def reading(scheduler, far, into):  # noqa: F811
    """Reads to the end beside the loop, then closes."""

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
    """Waits until what the other side sent lies in the kernel's buffer."""
    while not stream.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
        time.sleep(0.001)


# ---- closing a stream


@pytest.mark.parametrize("orderly", [True, False])
def test_bytes_unread_at_a_close_do_not_destroy_the_answer_under_way(scheduler, orderly):  # noqa: F811
    """The plain close is there to see that the crossing is the one that resets."""
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


def test_what_came_before_the_shutdown_can_be_answered_and_what_comes_after_is_dropped(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    seen, got = [], []

    def last(data):
        seen.append(data)
        stream.write(b"answer to " + data)

    def test():
        far.sendall(b"early")
        arrived(stream)
        shutdown = stream.sock.shutdown

        class Late:
            """The socket, with bytes that come in the moment of the shutdown."""

            def __getattr__(self, name):
                return getattr(stream_sock, name)

            def shutdown(self, how):
                far.sendall(b"late")
                arrived(stream)
                shutdown(how)

        stream_sock, stream.sock = stream.sock, Late()
        thread = reading(scheduler, far, got)
        stream.lingering_close(5.0, last)
        thread.join(10)

    run(scheduler, test)
    assert seen == [b"early"] and got == [b"answer to early"]


def test_a_lingering_close_ends_in_time_with_one_that_never_closes_and_one_that_never_stops(scheduler):  # noqa: F811
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


def test_who_writes_faster_than_we_read_leaves_the_others_their_turn(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    reads = []

    class Endless:
        def __getattr__(self, name):
            return getattr(real, name)

        def recv(self, most):
            reads.append(most)
            return b"x"

    real, stream.sock = stream.sock, Endless()

    def reader():
        while len(reads) < 100000 and not turns:
            stream.read()

    turns = []

    def other():
        scheduler.pause()
        turns.append(len(reads))

    run(scheduler, reader, other)
    assert turns[0] < 100, "others had to wait"


# ---- accepting


class Failing:
    """A listening socket whose accept fails as it is told."""

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
def test_an_accept_that_keeps_failing_keeps_nobody_from_its_turn(scheduler, number):  # noqa: F811
    failing = Failing(listening(("127.0.0.1", 0), time.sleep, time.monotonic), number)
    Listener(scheduler, ("", 0), 9, lambda stream: None, sock=failing)
    turns = []

    def test():
        with socket.create_connection(failing.getsockname()):
            for _ in range(5):
                scheduler.sleep(0.01)
                turns.append(failing.calls)

    run(scheduler, test)
    assert len(turns) == 5 and 0 < turns[-1] < 2000


def test_one_that_broke_before_it_was_accepted_takes_no_place(scheduler, monkeypatch):  # noqa: F811
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
    assert listener.count == 1 and broken[0].fileno() == -1


def test_a_drain_takes_in_what_waits_for_room_before_it_refuses(scheduler):  # noqa: F811
    """Two wait in the machine's queue while there is room for one: closed then, they would be reset."""
    came = []
    listener = Listener(scheduler, ("127.0.0.1", 0), 1, came.append)

    def test():
        clients = [socket.create_connection(listener.sock.getsockname()) for _ in range(3)]
        for client in clients:
            client.sendall(b"asks")
        scheduler.sleep(0.05)
        assert len(came) == 1
        scheduler.call_later(0.1, listener.released)
        scheduler.call_later(0.2, listener.released)
        listener.drain(scheduler.clock() + 5.0)
        assert len(came) == 3 and [stream.read(5.0) for stream in came] == [b"asks"] * 3
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(client.getpeername())

    run(scheduler, test)


@pytest.mark.parametrize("shut", [True, False])
def test_no_connection_comes_about_between_the_last_accept_and_the_close(scheduler, shut):  # noqa: F811
    """One that does is reset with what was written to it, as is seen without the door shut."""
    listener = Listener(scheduler, ("127.0.0.1", 0), 9, lambda stream: None)
    address, late = listener.sock.getsockname(), socket.socket()
    late.setblocking(False)
    if not shut:
        listener.shut_the_door = lambda: None

    def test():
        accept, listener.accept = (
            listener.accept,
            lambda: late.connect_ex(address) and (setattr(listener, "accept", accept)) or Accepted.ALL,
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
        listener.accept = lambda: Accepted.ALL  # the last one was
        close()

    listener.close = closing
    run(scheduler, test)
    late.close()
    assert made == [not shut]


def test_an_address_that_a_process_has_just_left_is_waited_for():
    with socket.socket() as before:
        before.bind(("127.0.0.1", 0))
        before.listen(1)
        waits = []

        def sleep(seconds):
            waits.append(seconds)
            if len(waits) == 3:
                before.close()

        with listening(before.getsockname(), sleep, lambda: float(len(waits))) as sock:
            assert len(waits) == 3 and sock.fileno() >= 0
    with socket.socket() as stays:
        stays.bind(("127.0.0.1", 0))
        stays.listen(1)
        with pytest.raises(OSError):
            listening(stays.getsockname(), waits.append, lambda: 5.0 * len(waits))
        with pytest.raises(OSError):
            listening(("203.0.113.1", 1), lambda _: pytest.fail("waits"), time.monotonic)


# ---- tasks, timers and descriptors


def test_a_fault_in_a_timer_ends_neither_the_loop_nor_the_other_timers(scheduler):  # noqa: F811
    seen = []

    def test():
        scheduler.call_later(0.0, lambda: 1 / 0)
        scheduler.call_later(0.0, seen.append, "the next")
        scheduler.sleep(0.01)
        assert [name for name, _ in FAILED] == ["timer"]
        FAILED.clear()

    run(scheduler, test)
    assert seen == ["the next"]


def test_a_lasting_task_goes_on_after_a_fault_and_ends_when_it_is_cancelled(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(scheduler_module, "AGAIN", 0.01)
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


def test_one_that_was_woken_while_it_waited_for_the_queue_leaves_no_wake_behind(scheduler):  # noqa: F811
    """The wake left behind met it in its next wait, which it took for the end of the connection."""
    box, seen = Mailbox(scheduler, 1), []

    def putter():
        box.put("first")
        box.put("second")  # full: waits, and is woken by somebody else meanwhile
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


def test_a_number_used_again_is_the_new_connection_s_alone(scheduler):  # noqa: F811
    """A task still waits on the old descriptor when it is closed and the number comes back, in one turn."""
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
        again = Stream(scheduler, near if near.fileno() == number else socket.socket(fd=number))
        new = []
        scheduler.spawn(lambda: new.append(again.read(5.0)))
        scheduler.sleep(0.01)
        assert old == [StreamFault.RESET] and not new
        other.send(b"for the new one")
        scheduler.sleep(0.01)
        assert new == [b"for the new one"]

    run(scheduler, test)


def test_a_timer_and_its_event_in_one_turn_are_the_event(scheduler):  # noqa: F811
    stream, far = pair(scheduler)

    def test():
        far.sendall(b"just in time")
        got = []
        scheduler.spawn(lambda: got.append(stream.read(0.02)))
        scheduler.pause()
        stream.take()  # gone: it waits
        scheduler.pause()
        far.sendall(b"in the same turn")
        time.sleep(0.05)  # the loop stands still: both are due when it goes on
        scheduler.sleep(0.01)
        assert got in ([b"just in time"], [b"in the same turn"])

    run(scheduler, test)


# ---- gateway connections


class Served:
    """A GatewayServer over real sockets; the owner of the module takes what they put."""

    def __init__(self, scheduler, connections=None):  # noqa: F811
        self.put, self.counts = [], {}
        bounds = derive(384, 64)
        if connections is not None:
            bounds = bounds._replace(connections=connections)
        self.scheduler = scheduler
        self.gateways = GatewayServer(scheduler, self.put.append, Known, bounds, self.count)
        self.gateways.listener = Listener(
            scheduler, ("127.0.0.1", 0), bounds.connections, self.gateways.accept, self.gateways.evict
        )

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def connect(self):
        """(this side's Connection, the far socket)"""
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


def test_a_submission_that_comes_in_the_moment_of_a_close_is_answered_and_never_run(scheduler):  # noqa: F811
    """On a resting connection, whoever closes it: idle, evicted, or at the end of a drain."""
    served = Served(scheduler)

    def test():
        for close in (lambda c: c.close(), lambda c: served.gateways.close_all(0.5)):
            connection, far = served.connect()
            far.sendall(submission(1) + submission(2) + frame(1, 3, b"\0") + submission(4)[:40])
            arrived(connection.stream)  # there, and not read
            close(connection)
            got = served.to_the_end(far)
            assert got == frame(8, 1, TURNED) + frame(8, 2, TURNED) + frame(2, 3, TURNED)
        assert not [m for m in served.put if isinstance(m, messages.SubmissionReceived)]
        assert served.counts["in.while_closing"] == 4

    run(scheduler, test)


def test_what_is_open_when_a_connection_is_closed_is_written_off_first(scheduler):  # noqa: F811
    served = Served(scheduler)

    def test():
        connection, far = served.connect()
        far.sendall(submission(1) + submission(2))
        while len(connection.open) < 2:
            scheduler.sleep(0.002)
        connection.answer(2, b"")
        connection.close()
        assert served.to_the_end(far) == frame(8, 1, OFF)
        scheduler.sleep(0.01)
        assert [m.streams for m in served.put if isinstance(m, messages.ConnectionClosed)] == [{1}]

    run(scheduler, test)


def test_one_that_shuts_its_own_side_alone_still_reads_its_answers(scheduler):  # noqa: F811
    """What waits unsent for it, and what is open: dropped at the end of its bytes, both would be lost."""
    served = Served(scheduler)

    def test():
        connection, far = served.connect()
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.stream.most_unsent = 1 << 23
        far.sendall(submission(1) + submission(2))
        while len(connection.open) < 2:
            scheduler.sleep(0.002)
        result = frame(8, 1, b"\x01\x00" + b"r" * 1000000)
        connection.answer(1, result)
        assert connection.stream.unsent
        far.shutdown(socket.SHUT_WR)
        scheduler.sleep(0.02)
        assert served.to_the_end(far) == result + frame(8, 2, OFF)
        assert [m.streams for m in served.put if isinstance(m, messages.ConnectionClosed)] == [{2}]

    run(scheduler, test)


def test_frames_behind_one_that_ends_the_connection_are_answered_too(scheduler):  # noqa: F811
    served = Served(scheduler)

    def test():
        connection, far = served.connect()
        far.sendall(submission(1) + submission(1) + submission(9) + submission(10)[:30])
        assert served.to_the_end(far) == (frame(8, 1, OFF) + frame(8, 0, OFF) + frame(8, 9, TURNED))
        assert [type(m) for m in served.put] == [messages.SubmissionReceived, messages.ConnectionClosed]

    run(scheduler, test)


def test_a_fault_with_one_connection_ends_it_with_its_answers_and_no_other(scheduler, monkeypatch):  # noqa: F811
    served = Served(scheduler)
    take = gateways_module.Connection.take

    def faulty(self, message, withdrawn=()):
        if message.stream == 7:
            raise ZeroDivisionError
        return take(self, message, withdrawn)

    monkeypatch.setattr(gateways_module.Connection, "take", faulty)

    def test():
        connection, far = served.connect()
        other, away = served.connect()
        far.sendall(submission(1) + submission(7))
        assert served.to_the_end(far) == frame(8, 1, OFF) + frame(8, 0, OFF)
        assert [name for name, _ in FAILED] == ["gateway"] and not other.ended
        FAILED.clear()
        away.sendall(submission(1))
        while not other.open:
            scheduler.sleep(0.002)

    run(scheduler, test)


def test_a_full_table_evicts_the_unused_and_takes_the_newcomer_in(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(gateways_module, "YOUNG", 0.0)
    served = Served(scheduler, connections=2)

    def test():
        used, busy = served.connect()
        busy.sendall(submission(1))
        resting, idle = served.connect()
        while not used.open:
            scheduler.sleep(0.002)
        new = socket.create_connection(served.gateways.listener.sock.getsockname(), timeout=10)
        new.sendall(submission(1))
        assert served.to_the_end(idle) == NO_MORE
        while len([m for m in served.put if isinstance(m, messages.SubmissionReceived)]) < 2:
            scheduler.sleep(0.005)
        assert served.counts["gateway.evicted"] == 1 and not used.ended and resting.ended

    run(scheduler, test)


def test_a_quiet_one_s_place_is_free_at_once_one_with_bytes_unread_later(scheduler, monkeypatch):  # noqa: F811
    """Silent ones that never close held newcomers up for the linger each."""
    monkeypatch.setattr(gateways_module, "YOUNG", 0.0)
    served = Served(scheduler)

    def test():
        quiet, silent = served.connect()
        assert served.gateways.evict() and quiet.ended and not served.gateways.connections
        assert served.to_the_end(silent) == NO_MORE
        crossed, far = served.connect()
        far.sendall(submission(1))
        arrived(crossed.stream)
        assert not served.gateways.evict() and not crossed.ended
        assert served.to_the_end(far) == NO_MORE + frame(8, 1, TURNED)

    run(scheduler, test)


def test_those_accepted_during_a_drain_are_asked_to_close_too(scheduler):  # noqa: F811
    served = Served(scheduler)

    def test():
        served.gateways.request_close_all(0.05)
        connection, far = served.connect()
        far.sendall(submission(1))
        while not connection.open:
            scheduler.sleep(0.002)
        connection.answer(1, frame(8, 1, TURNED))
        connection.close_at = connection.idle_since = 0.0
        served.gateways.sweep()
        assert served.to_the_end(far) == NO_MORE + frame(8, 1, TURNED)

    run(scheduler, test)


# ---- the link to the executor and the ledger

WELCOME = b'{"t":"WELCOME","status":"steady","time_ms":9000}\n'
EXIT = b'{"t":"EXIT","no":%d,"rid":"a","status":"success","time_ms":1}\n'


class Played:
    """An executor that says to each link in turn what its script has; it keeps what it is told."""

    def __init__(self, scheduler, *scripts):  # noqa: F811
        self.scripts, self.told = list(scripts), []
        self.listener = Listener(
            scheduler, ("127.0.0.1", 0), 99, lambda stream: scheduler.spawn(self.link, stream)
        )
        self.address = self.listener.sock.getsockname()

    def link(self, stream):
        told = bytearray()
        self.told.append(told)
        stream.write(self.scripts.pop(0) if self.scripts else b"")
        while isinstance(got := stream.read(), bytes):
            told += got
        stream.close()


def test_a_link_that_is_never_welcomed_is_tried_again(scheduler, monkeypatch):  # noqa: F811
    monkeypatch.setattr(executor_module, "UNWELCOMED", 0.1)
    played, box = Played(scheduler, b"", b"", WELCOME), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, played.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        for _ in range(300):
            scheduler.sleep(0.01)
            link.check()
            if link.up:
                break
        assert link.up and len(played.told) == 3
        assert [type(m) for m in box.take_all(1.0)] == [messages.ExecutorConnected], (
            "no link came about before: none ended"
        )

    run(scheduler, test)


def test_a_link_that_falls_silent_is_made_again_though_nobody_asks(scheduler, monkeypatch):  # noqa: F811
    """Welcomed, then nothing: neither an end nor a break. The sweep looks, not only who asks for gauges."""
    monkeypatch.setattr(executor_module, "SILENT", 0.1)
    played, box = Played(scheduler, WELCOME, WELCOME), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, played.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        while len(played.told) < 2:
            scheduler.sleep(0.01)
            link.check()
        scheduler.sleep(0.02)
        assert [type(m) for m in box.take_all(1.0)] == [
            messages.ExecutorConnected,
            messages.ExecutorDisconnected,
            messages.ExecutorConnected,
        ]

    run(scheduler, test)


@pytest.mark.parametrize(
    "spoilt",
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
def test_a_line_spoilt_for_good_does_not_keep_the_rest_from_coming(scheduler, spoilt):  # noqa: F811
    """Each new link brings it again: at the second time it is passed over, and what it was is in doubt."""
    script = WELCOME + EXIT % 1 + spoilt + EXIT % 3
    played, box = Played(scheduler, *[script] * 9), Mailbox(scheduler, 50)
    link = ExecutorClient(scheduler, played.address, SeededRandom(1), box.put, lambda *_: None)

    def test():
        got = []
        while sum(isinstance(m, executor_protocol.RunEnded) for m in got) < 2:
            got += box.take_all(10.0)
        assert [m.number for m in got if isinstance(m, executor_protocol.RunEnded)] == [1, 3]
        assert messages.NoticesLost() in got and len(played.told) == 2 and link.up
        assert not [m for m in got if isinstance(m, executor_protocol.GaugesReported)]
        scheduler.sleep(0.02)
        assert played.told[1].count(b'"joined"') == 2, "what is in doubt waits for this"

    run(scheduler, test)


def test_a_fault_while_a_call_is_out_ends_the_call_with_what_is_known(scheduler, monkeypatch):  # noqa: F811
    box = Mailbox(scheduler, 10)
    ledger = LedgerClient(scheduler, ("127.0.0.1", 1), 8, box.put, lambda *_: None)
    monkeypatch.setattr(ledger_module, "exchange", lambda *_: 1 / 0)

    def test():
        ledger.call(1, 1, "ref", 5.0, b"")
        (over,) = box.take_all(5.0)
        assert (over.number, over.outcome) == (1, Outcome.RESET) and not ledger.out
        FAILED.clear()

    run(scheduler, test)


@pytest.mark.parametrize(
    "head, endless",
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n" * 999),
    ],
)
def test_an_answer_without_an_end_that_never_makes_one_wait_keeps_nobody(scheduler, head, endless):  # noqa: F811
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


def test_a_second_call_of_a_run_is_not_ended_by_the_end_of_the_first(scheduler):  # noqa: F811
    """The first is given up in the turn in which its reply has come."""
    box = Mailbox(scheduler, 10)
    with socket.create_server(("127.0.0.1", 0)) as server:
        ledger = LedgerClient(scheduler, server.getsockname(), 8, box.put, lambda *_: None)

        def test():
            ledger.call(1, 1, "first", 5.0, b"")
            scheduler.sleep(0.02)
            first, _ = server.accept()
            first.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
            time.sleep(0.02)  # it lies there, unread
            ledger.call(1, 2, "second", 5.0, b"")
            scheduler.sleep(0.02)
            second, _ = server.accept()
            second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
            (over,) = box.take_all(5.0)
            assert (over.attempt, over.body) == (2, b"second") and not ledger.out
            assert not box.take_all(0.05)

        run(scheduler, test)


def test_a_connection_reset_before_it_is_accepted_harms_nobody(scheduler):  # noqa: F811
    """SO_LINGER 0: the close is a reset, which waits in the machine's queue beside one that asks."""
    served = Served(scheduler)

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
        assert len(served.gateways.connections) == 1 == served.gateways.listener.count

    run(scheduler, test)


def test_a_dial_that_nobody_takes_up_ends_in_time(scheduler):  # noqa: F811
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waits = [socket.create_connection(full.getsockname())]  # the queue is full now
        got = []

        def test():
            before = len(scheduler.polled)
            got.append(connect(scheduler, full.getsockname(), 0.1))
            if isinstance(got[0], Stream):
                got.append(connect(scheduler, full.getsockname(), 0.1))
            assert len(scheduler.polled) == before

        run(scheduler, test)
        assert got[-1] is StreamFault.TIMED_OUT and waits


def test_an_interrupt_wakes_the_one_that_reads_and_nobody_else(scheduler):  # noqa: F811
    stream, far = pair(scheduler)
    got = []
    scheduler.spawn(lambda: got.append(stream.read(5.0)))
    other = scheduler.spawn(lambda: got.append(scheduler.wait(0.1, "slept")))

    def test():
        scheduler.pause()
        scheduler.interrupt(stream.sock.fileno(), READ)
        scheduler.pause()
        assert got == [StreamFault.TIMED_OUT]
        stream.interrupt()  # nobody waits now
        scheduler.sleep(0.2)
        assert got[1:] == ["slept"] and other.dead

    run(scheduler, test)
