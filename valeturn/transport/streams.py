"""Byte streams on non-blocking sockets. What goes wrong is returned as a value, never raised."""

from __future__ import annotations

import errno
import socket
from enum import Enum

from .scheduler import READ, WRITE, readable

CHUNK = 65536  # a read takes a burst of submissions whole: they are some hundred bytes each
READS = 8  # in a row that find bytes; then others get their turn, as who writes faster never makes us wait
LINGER = 1 << 20  # bytes read and dropped after the shutdown: some times what fits into a sender's buffer
FLUSH = 0.005  # s between looks whether all is sent
CONNECTING = (errno.EINPROGRESS, errno.EWOULDBLOCK)
UNDER_WAY = (errno.EALREADY, *CONNECTING)
MADE = (0, errno.EISCONN)


class StreamFault(Enum):
    CLOSED = "closed by the other side"
    RESET = "connection broken"
    TIMED_OUT = "time is up"
    REFUSED = "connection refused"
    UNREACHED = "no connection made"
    SHUT = "closed on this side"


FAULTS_BY_ERRNO = {errno.ECONNREFUSED: StreamFault.REFUSED, errno.ETIMEDOUT: StreamFault.TIMED_OUT}


class Stream:
    def __init__(self, scheduler, sock, most_unsent=262144):
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.scheduler, self.sock, self.most_unsent = scheduler, sock, most_unsent
        self.unsent, self.writer, self.fault = bytearray(), None, None
        self.reads = 0  # in a row that found bytes

    def read(self, timeout=None):
        """Bytes as soon as there are some, or a StreamFault. A wait that is interrupted counts as one that is
        over."""
        while self.fault is None:
            if self.reads >= READS:
                self.reads = 0
                self.scheduler.pause()
                continue
            got = self.take()
            if got is not None:
                self.reads += 1
                return got
            self.reads = 0
            if not self.scheduler.wait_fd(self.sock.fileno(), READ, timeout):
                return self.fault or StreamFault.TIMED_OUT
        return self.fault

    def take(self):
        """What is there at this moment: bytes, a StreamFault, or None where nothing is."""
        if self.fault is not None:
            return self.fault
        try:
            return self.sock.recv(CHUNK) or StreamFault.CLOSED
        except BlockingIOError:
            return None
        except OSError:
            return StreamFault.RESET

    def quiet(self):
        """True where nothing is unread or unsent at this moment: a close resets nothing then."""
        return self.fault is None and not self.unsent and not readable(self.sock.fileno())

    def interrupt(self):
        """Ends a wait for something to read."""
        if self.fault is None:
            self.scheduler.interrupt(self.sock.fileno(), READ)

    def write(self, data):
        """Sends what the socket takes and keeps the rest for a task of its own. False once it is broken or
        more waits than may: the reader at the other end is too slow to be served."""
        if self.fault is not None:
            return False
        if not self.unsent:
            sent = self._send(data)
            data = data[sent:] if sent else data
        if data and self.fault is None:
            self.unsent += data
            if len(self.unsent) > self.most_unsent:
                self.close(StreamFault.RESET)
            elif self.writer is None:
                self.writer = self.scheduler.spawn(self._write_rest, name="writer")
        return self.fault is None

    def _send(self, data):
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.fault = StreamFault.RESET
            return 0

    def _write_rest(self):
        while self.unsent and self.fault is None:
            if self.scheduler.wait_fd(self.sock.fileno(), WRITE) and self.fault is None:
                del self.unsent[: self._send(self.unsent)]
        self.writer = None

    def flush(self, until):
        """Waits until all that was written has been sent, at the latest to that moment."""
        while self.unsent and self.fault is None and self.scheduler.clock() < until:
            self.scheduler.sleep(FLUSH)

    def lingering_close(self, timeout, last=None):
        """Ends so that the other side can read all that was written; takes `timeout` at the most.

        A close with bytes unread resets the connection, which destroys answers under way. So: what has come
        goes to `last`, which may still answer it, until nothing is there and nothing unsent; then the
        shutdown, in the same turn; then what comes is read and dropped until the other side closes."""
        until, left = self.scheduler.clock() + timeout, LINGER
        while True:
            self.flush(until)
            got = self.take()
            if not isinstance(got, bytes) or left <= 0:
                break
            left -= len(got)
            if last is not None:
                last(got)
        if self.fault is None and got is not StreamFault.RESET:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            left = LINGER
            while got is not StreamFault.CLOSED and left > 0 and (now := self.scheduler.clock()) < until:
                got = self.read(until - now)
                if not isinstance(got, bytes):
                    break
                left -= len(got)
        self.close()

    def close(self, why=StreamFault.SHUT):
        if self.sock.fileno() < 0:
            return
        self.fault = self.fault or why
        self.scheduler.closing(self.sock.fileno())
        self.sock.close()


def connect(scheduler, address, timeout):
    """A Stream, or the StreamFault that kept it from coming about: nothing was sent then."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # out of descriptors
        return StreamFault.UNREACHED
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
    return FAULTS_BY_ERRNO.get(code, StreamFault.UNREACHED)
