"""Byte streams on non-blocking sockets. What goes wrong is returned as a value, never raised."""

from __future__ import annotations

import errno
import socket
from enum import Enum

from .scheduler import READ, WRITE

CHUNK = 65536  # a read takes a burst of submissions whole: they are some hundred bytes each
CONNECTING = (errno.EINPROGRESS, errno.EWOULDBLOCK)
UNDER_WAY = (errno.EALREADY, *CONNECTING)
MADE = (0, errno.EISCONN)


class Trouble(Enum):
    CLOSED = "closed by the other side"
    RESET = "connection broken"
    TIMED_OUT = "time is up"
    REFUSED = "connection refused"
    UNREACHED = "no connection made"
    SHUT = "closed on this side"


TROUBLES = {errno.ECONNREFUSED: Trouble.REFUSED, errno.ETIMEDOUT: Trouble.TIMED_OUT}


class Stream:
    def __init__(self, scheduler, sock, most_unsent=262144):
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.scheduler, self.sock, self.most_unsent = scheduler, sock, most_unsent
        self.unsent, self.writer, self.trouble = bytearray(), None, None

    def read(self, timeout=None):
        """Bytes as soon as there are some, or a Trouble."""
        while self.trouble is None:
            try:
                data = self.sock.recv(CHUNK)
                return data or Trouble.CLOSED
            except BlockingIOError:
                pass
            except OSError:
                return Trouble.RESET
            if not self.scheduler.wait_fd(self.sock.fileno(), READ, timeout):
                return self.trouble or Trouble.TIMED_OUT
        return self.trouble

    def write(self, data):
        """Sends what the socket takes and keeps the rest for a task of its own. False once it is broken or
        more waits than may: the reader at the other end is too slow to be served."""
        if self.trouble is not None:
            return False
        if not self.unsent:
            sent = self._send(data)
            data = data[sent:] if sent else data
        if data and self.trouble is None:
            self.unsent += data
            if len(self.unsent) > self.most_unsent:
                self.close(Trouble.RESET)
            elif self.writer is None:
                self.writer = self.scheduler.spawn(self._write_rest, name="writer")
        return self.trouble is None

    def _send(self, data):
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.trouble = Trouble.RESET
            return 0

    def _write_rest(self):
        while self.unsent and self.trouble is None:
            if self.scheduler.wait_fd(self.sock.fileno(), WRITE) and self.trouble is None:
                del self.unsent[:self._send(self.unsent)]
        self.writer = None

    def finish(self, patience):
        """Ends so that the other side can read all that was written: to close with bytes unread breaks it."""
        until = self.scheduler.clock() + patience
        while self.unsent and self.trouble is None and self.scheduler.clock() < until:
            self.scheduler.sleep(0.01)
        if self.trouble is None:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            while isinstance(self.read(max(0.0, until - self.scheduler.clock())), bytes) and (
                    self.scheduler.clock() < until):
                self.scheduler.pause()
        self.close()

    def close(self, why=Trouble.SHUT):
        if self.sock.fileno() < 0:
            return
        self.trouble = self.trouble or why
        self.scheduler.closing(self.sock.fileno())
        self.sock.close()


def connect(scheduler, address, timeout):
    """A Stream, or the Trouble that kept it from coming about: nothing was sent then."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # out of descriptors
        return Trouble.UNREACHED
    code = None
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code in CONNECTING:  # on one machine it mostly has come about by the time that is asked again
            code = sock.connect_ex(address)
        if code in UNDER_WAY:
            there = scheduler.wait_fd(sock.fileno(), WRITE, timeout)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if there else errno.ETIMEDOUT
    finally:  # the task may have been cancelled
        if code not in MADE:
            scheduler.closing(sock.fileno())
            sock.close()
    if code in MADE:
        return Stream(scheduler, sock)
    return TROUBLES.get(code, Trouble.UNREACHED)
