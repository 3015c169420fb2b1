"""Accepts connections, up to a budget of descriptors: past it others must go, else newcomers wait."""

from __future__ import annotations

import array
import errno
import socket
import struct
from enum import Enum

from .scheduler import READ, readable
from .streams import Stream

BACKLOG = 512  # a whole fleet of gateways may connect at once after a start
BATCH = 64  # accepted in one turn: as many as a burst brings, and the others get theirs
SHORTAGE = 0.02  # s without accepting when descriptors or memory ran out: not a busy loop, soon over
BROKEN = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)  # that one connection, before it was accepted
IN_USE = 0.1  # s between tries to listen where a process that has just gone still holds the address
IN_USE_FOR = 10.0  # s of tries: a platform waits 30 s for a start, and one that serves there will not go
SO_ATTACH_FILTER = 26  # asm-generic/socket.h
DROP_ALL = struct.pack("HBBI", 6, 0, 0, 0)  # one instruction of classic BPF: of each packet keep 0 bytes


class Accepted(Enum):
    """How accepting ended."""

    ALL = "nothing waits"
    MORE = "a turn's batch, more may wait"
    SHORT = "no room, or accept fails"


def listening(address, sleep, clock):
    """A socket that listens. Raises OSError where the address is not to be had."""
    until = clock() + IN_USE_FOR
    while True:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            sock.listen(BACKLOG)
            return sock
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE or clock() >= until:
                raise
        sleep(IN_USE)


class Listener:
    def __init__(self, scheduler, address, most, on_stream, evict=lambda: False, sock=None):
        """`evict` ends a connection that can be done without; True where there is room at once. `sock`
        listens already."""
        self.scheduler, self.most, self.on_stream, self.count = scheduler, most, on_stream, 0
        self.evict = evict
        self.sock = sock or listening(address, lambda _: None, lambda: float("inf"))
        self.closed, self.shortages = False, 0
        self.task = scheduler.spawn_supervised(self.run, name="listener")

    def run(self):
        while not self.closed:
            if self.scheduler.wait_fd(self.sock.fileno(), READ) and self.accept() is Accepted.SHORT:
                self.shortages += 1
                self.scheduler.sleep(SHORTAGE)

    def accept(self):
        before = self.count
        for _ in range(BATCH):
            if self.count >= self.most:
                if not self.waits():
                    return Accepted.ALL
                if not self.evict():
                    return Accepted.SHORT
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return Accepted.ALL
            except OSError as error:
                if error.errno in BROKEN:
                    continue
                return Accepted.SHORT  # whatever keeps it from accepting may last: no loop without a wait
            try:
                stream = Stream(self.scheduler, sock)
            except OSError:  # broken already
                sock.close()
                continue
            self.count += 1
            self.on_stream(stream)
        return Accepted.MORE if self.count > before else Accepted.SHORT

    def waits(self):
        """True where one waits to be accepted: nobody goes for a newcomer that is not there."""
        return readable(self.sock.fileno())

    def released(self):
        self.count -= 1

    def drain(self, until):
        """Takes in all that the machine has accepted, waiting for room up to that moment, then refuses. What
        waits in the queue when a listening socket is closed is reset, with what was written to it."""
        self.scheduler.cancel(self.task)
        self.shut_the_door()
        while (how := self.accept()) is not Accepted.ALL and self.scheduler.clock() < until:
            self.scheduler.sleep(SHORTAGE if how is Accepted.SHORT else 0.0)
        self.close()

    def shut_the_door(self):
        """No handshake comes about any more, so that none does between the last accept and the close. Packets
        of those that come now are dropped; tried again a second later they are refused."""
        code = array.array("B", DROP_ALL)
        try:
            self.sock.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, code.buffer_info()[0])
            )
        except OSError:  # not to be had here: some microseconds stay in which one can be lost
            pass

    def close(self):
        if not self.closed:
            self.accept()
            self.closed = True
            self.scheduler.cancel(self.task)
            self.scheduler.closing(self.sock.fileno())
            self.sock.close()
