"""The paths that end things, on loopback sockets, with the two events that may cross put in their order."""

import os
import socket
import threading
import time

import pytest
from helpers import frame
from test_transport import FAILED, Known, run, scheduler  # noqa: F401

from valeturn.interface import Outcome
from valeturn.protocol import executor as lines
from valeturn.routing import executor as executor_module
from valeturn.routing import ledger as ledger_module
from valeturn.routing import messages as msg
from valeturn.routing.executor import ExecutorLink
from valeturn.routing.ledger import Ledger
from valeturn.transport import scheduler as scheduler_module
from valeturn.transport.chance import Chance
from valeturn.transport.listener import Listener
from valeturn.transport.scheduler import Mailbox
from valeturn.transport.streams import Stream, Trouble, connect

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

    task = scheduler.spawn_lasting(faulty, name="faulty")

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
        stream.close(Trouble.RESET)
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
        assert old == [Trouble.RESET] and not new
        other.send(b"for the new one")
        scheduler.sleep(0.01)
        assert new == [b"for the new one"]

    run(scheduler, test)


# ---- the link to the executor and the ledger

WELCOME = b'{"t":"WELCOME","status":"steady","time_ms":9000}\n'
EXIT = b'{"t":"EXIT","no":%d,"rid":"a","status":"success","time_ms":1}\n'


class Played:
    """An executor that says to each link in turn what its script has; it keeps what it is told."""

    def __init__(self, scheduler, *scripts):  # noqa: F811
        self.scripts, self.told = list(scripts), []
        self.listener = Listener(scheduler, ("127.0.0.1", 0), 99,
                                 lambda stream: scheduler.spawn(self.link, stream))
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
    link = ExecutorLink(scheduler, played.address, Chance(1), box.put, lambda *_: None)

    def test():
        for _ in range(300):
            scheduler.sleep(0.01)
            link.check()
            if link.up:
                break
        assert link.up and len(played.told) == 3
        assert [type(m) for m in box.take_all(1.0)] == [msg.LinkUp], "no link came about before: none ended"

    run(scheduler, test)


@pytest.mark.parametrize("spoilt", [
    b"garbage\n", b'{"t":"EXIT","no":2,"rid":"a","status":"success","time_ms":NaN}\n',
    b'{"t":"EXIT","no":1e999,"rid":"a","status":"success","time_ms":1}\n',
    b'{"t":"METERS","mark":"7","v":["hot"]}\n', b'{"t":"METERS","mark":["7"],"v":[]}\n',
    b'{"t":"EXIT","no":2,"rid":["a"],"status":"success","time_ms":1}\n',
    b'{"t":"EXIT","no":2,"rid":"a","status":"success","time_ms":-1}\n', b"x" * 70000 + b"\n"])
def test_a_line_spoilt_for_good_does_not_keep_the_rest_from_coming(scheduler, spoilt):  # noqa: F811
    """Each new link brings it again: at the second time it is passed over, and what it was is in doubt."""
    script = WELCOME + EXIT % 1 + spoilt + EXIT % 3
    played, box = Played(scheduler, *[script] * 9), Mailbox(scheduler, 50)
    link = ExecutorLink(scheduler, played.address, Chance(1), box.put, lambda *_: None)

    def test():
        got = []
        while sum(isinstance(m, lines.RunOver) for m in got) < 2:
            got += box.take_all(10.0)
        assert [m.number for m in got if isinstance(m, lines.RunOver)] == [1, 3]
        assert msg.NoticesMissed() in got and len(played.told) == 2 and link.up
        assert not [m for m in got if isinstance(m, lines.Gauged)]
        scheduler.sleep(0.02)
        assert played.told[1].count(b'"joined"') == 2, "what is in doubt waits for this"

    run(scheduler, test)


def test_a_fault_while_a_call_is_out_ends_the_call_with_what_is_known(scheduler, monkeypatch):  # noqa: F811
    box = Mailbox(scheduler, 10)
    ledger = Ledger(scheduler, ("127.0.0.1", 1), 8, box.put, lambda *_: None)
    monkeypatch.setattr(ledger_module, "exchange", lambda *_: 1 / 0)

    def test():
        ledger.call(1, 1, "ref", 5.0, b"")
        over, = box.take_all(5.0)
        assert (over.number, over.outcome) == (1, Outcome.RESET) and not ledger.out
        FAILED.clear()

    run(scheduler, test)


def test_a_second_call_of_a_run_is_not_ended_by_the_end_of_the_first(scheduler):  # noqa: F811
    """The first is given up in the turn in which its reply has come."""
    box = Mailbox(scheduler, 10)
    with socket.create_server(("127.0.0.1", 0)) as server:
        ledger = Ledger(scheduler, server.getsockname(), 8, box.put, lambda *_: None)

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
            over, = box.take_all(5.0)
            assert (over.attempt, over.body) == (2, b"second") and not ledger.out
            assert not box.take_all(0.05)

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
        assert got[-1] is Trouble.TIMED_OUT and waits
