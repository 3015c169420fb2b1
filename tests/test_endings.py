"""The paths that end things, on loopback sockets, with the two events that may cross put in their order."""

import os
import socket
import threading
import time

from helpers import frame
from test_transport import FAILED, Known, run, scheduler  # noqa: F401

from valeturn.transport import scheduler as scheduler_module
from valeturn.transport.scheduler import Mailbox
from valeturn.transport.streams import Stream, Trouble

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
