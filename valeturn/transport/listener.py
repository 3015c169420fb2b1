"""Accepts connections up to a limit; at the limit an existing one is evicted, or new ones have to wait."""

from __future__ import annotations

import array
import errno
import socket
import struct
from enum import Enum

from .scheduler import READ, readable
from .streams import Stream

BACKLOG = 512  # connections: a whole fleet of gateways may connect at once after a start
MAX_ACCEPTS_PER_TURN = 64  # as many as a burst brings, with other tasks getting their turns in between
# Pause in accepting when descriptors or memory ran out: avoids a busy loop, and the shortage is soon over.
SHORTAGE_PAUSE_S = 0.02
# Errors that concern one connection that broke before it was accepted.
ABORTED_CONNECTION_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
ADDRESS_RETRY_INTERVAL_S = 0.1  # while a process that has just ended still holds the address
# A platform waits 30 s for a start, and a process that still serves at the address will not release it.
ADDRESS_RETRY_TIMEOUT_S = 10.0
SO_ATTACH_FILTER = 26  # from asm-generic/socket.h; the socket module lacks it
# A classic BPF program of one instruction, which keeps 0 bytes of each packet.
DROP_ALL_FILTER = struct.pack("HBBI", 6, 0, 0, 0)


class AcceptResult(Enum):
    """How a round of accepting ended."""

    QUEUE_EMPTY = "no connection waits"
    MORE_WAITING = "the limit for one turn is reached, more connections may wait"
    BLOCKED = "no room, or accept fails"


def open_listening_socket(address, sleep, clock):
    """Return a listening socket, after retries while the address is in use.

    Raises:
        OSError: The address can't be listened on, or is still in use after ADDRESS_RETRY_TIMEOUT_S.
    """
    deadline = clock() + ADDRESS_RETRY_TIMEOUT_S
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
            if error.errno != errno.EADDRINUSE or clock() >= deadline:
                raise
        sleep(ADDRESS_RETRY_INTERVAL_S)


class Listener:
    """Accepts connections and hands each to `on_stream` as a Stream, with at most `max_connections` open."""

    def __init__(self, scheduler, address, max_connections, on_stream, evict=lambda: False, sock=None):
        """Listen and start to accept.

        `evict` closes a connection that is least needed, and returns whether there is room at once. `sock` is
        a socket that listens already; without it one is opened for `address`.
        """
        self.scheduler, self.max_connections, self.on_stream, self.connection_count = (
            scheduler,
            max_connections,
            on_stream,
            0,
        )
        self.evict = evict
        self.sock = sock or open_listening_socket(address, lambda _: None, lambda: float("inf"))
        self.closed, self.shortages = False, 0
        self.task = scheduler.spawn_supervised(self.run, name="listener")

    def run(self):
        """Accept until the listener is closed; runs as a supervised task."""
        while not self.closed:
            if self.scheduler.wait_fd(self.sock.fileno(), READ) and self.accept() is AcceptResult.BLOCKED:
                self.shortages += 1
                self.scheduler.sleep(SHORTAGE_PAUSE_S)

    def accept(self):
        """Accept what waits, at most MAX_ACCEPTS_PER_TURN connections; returns how that ended."""
        count_before = self.connection_count
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.connection_count >= self.max_connections:
                if not self.has_waiting():
                    return AcceptResult.QUEUE_EMPTY
                if not self.evict():
                    return AcceptResult.BLOCKED
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return AcceptResult.QUEUE_EMPTY
            except OSError as error:
                if error.errno in ABORTED_CONNECTION_ERRNOS:
                    continue
                return AcceptResult.BLOCKED  # the cause may last, so the next try has to wait
            try:
                stream = Stream(self.scheduler, sock)
            except OSError:  # the connection has broken already
                sock.close()
                continue
            self.connection_count += 1
            self.on_stream(stream)
        return AcceptResult.MORE_WAITING if self.connection_count > count_before else AcceptResult.BLOCKED

    def has_waiting(self):
        """Whether a connection waits to be accepted; without one nothing has to be evicted."""
        return readable(self.sock.fileno())

    def connection_ended(self):
        """Make room for another connection; called at the end of each accepted one."""
        self.connection_count -= 1

    def drain(self, deadline):
        """Accept all that the kernel has queued, waiting for room until `deadline`, then close.

        Closing a listening socket resets the connections in its queue, and what was sent on them is lost.
        """
        self.scheduler.cancel(self.task)
        self.drop_new_handshakes()
        while (result := self.accept()) is not AcceptResult.QUEUE_EMPTY and self.scheduler.clock() < deadline:
            self.scheduler.sleep(SHORTAGE_PAUSE_S if result is AcceptResult.BLOCKED else 0.0)
        self.close()

    def drop_new_handshakes(self):
        """Drop all packets to the listening socket, so that no connection is established between the last
        accept and the close. Clients retry a second later and are refused then."""
        program = array.array("B", DROP_ALL_FILTER)
        try:
            self.sock.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, program.buffer_info()[0])
            )
        except OSError:  # not available here: for some microseconds a connection can be lost
            pass

    def close(self):
        """Accept once more, then stop listening."""
        if not self.closed:
            self.accept()
            self.closed = True
            self.scheduler.cancel(self.task)
            self.scheduler.detach_fd(self.sock.fileno())
            self.sock.close()
