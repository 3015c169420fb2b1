"""Byte streams on non-blocking sockets. Faults of a connection are returned as values, never raised."""

from __future__ import annotations

import errno
import select
import socket
from enum import Enum

from .scheduler import HANGUP, READ, WRITE, readable

READ_SIZE_BYTES = 65536  # one read takes a whole burst of submissions, which are some hundred bytes each
# Reads in a row that find bytes before other tasks get their turn: a peer that writes faster than this side
# reads never makes it wait.
MAX_CONSECUTIVE_READS = 8
# Read and dropped after the shutdown of a stream: several times what fits into a sender's buffer.
MAX_DISCARDED_BYTES = 1 << 20
CLOSED_EVENTS = (
    HANGUP | select.POLLHUP | select.POLLERR
)  # by which a poll tells that the other side has closed
FLUSH_POLL_S = 0.005  # between checks whether everything is sent
CONNECT_STARTED = (errno.EINPROGRESS, errno.EWOULDBLOCK)
CONNECT_UNDER_WAY = (errno.EALREADY, *CONNECT_STARTED)
CONNECTED = (0, errno.EISCONN)


class StreamFault(Enum):
    """Why a stream can't go on, or a wait ended without bytes. The names are parts of counters' names."""

    CLOSED = "closed by the other side"
    RESET = "connection broken"
    TIMED_OUT = "timed out"
    REFUSED = "connection refused"
    UNREACHED = "no connection established"
    SHUT = "closed on this side"


FAULTS_BY_ERRNO = {errno.ECONNREFUSED: StreamFault.REFUSED, errno.ETIMEDOUT: StreamFault.TIMED_OUT}


class Stream:
    """A connected socket, read by one task at a time; what can't be sent at once is buffered.

    `fault` is None while the stream is usable, and then the StreamFault that ended it.
    """

    def __init__(self, scheduler, sock, max_unsent=262144, read_size=READ_SIZE_BYTES):
        """Take over a connected socket.

        Args:
            scheduler: Runs the tasks that read and write.
            sock: The socket.
            max_unsent: Bytes that are buffered for a slow reader at most.
            read_size: Bytes that one read returns at most.
        """
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.scheduler, self.sock, self.max_unsent = scheduler, sock, max_unsent
        self.unsent, self.writer, self.fault, self.read_size = bytearray(), None, None, read_size
        self.consecutive_reads = 0  # that found bytes
        self.caught_up = True  # whether a read has found nothing since the last call of take_caught_up
        self.hangup_poller = None  # made by the first look whether the other side has closed

    def read(self, timeout=None):
        """Return bytes as soon as there are some, or a StreamFault.

        A wait that is interrupted ends like one that has timed out.
        """
        while self.fault is None:
            if self.consecutive_reads >= MAX_CONSECUTIVE_READS:
                self.consecutive_reads = 0
                self.scheduler.pause()
                continue
            received = self.read_available()
            if received is not None:
                self.consecutive_reads += 1
                return received
            self.consecutive_reads = 0
            self.caught_up = True
            if not self.scheduler.wait_fd(self.sock.fileno(), READ, timeout):
                return self.fault or StreamFault.TIMED_OUT
        return self.fault

    def read_available(self):
        """Read without waiting: returns bytes, a StreamFault, or None where nothing has come."""
        if self.fault is not None:
            return self.fault
        try:
            return self.sock.recv(self.read_size) or StreamFault.CLOSED
        except BlockingIOError:
            return None
        except OSError:
            return StreamFault.RESET

    def take_caught_up(self):
        """Return whether a read has found nothing since the last call."""
        caught_up, self.caught_up = self.caught_up, False
        return caught_up

    def nothing_pending(self):
        """Whether nothing is unread or unsent at this moment, so that a close resets nothing."""
        return self.fault is None and not self.unsent and not readable(self.sock.fileno())

    def peer_has_closed(self):
        """Whether the other side has closed or reset the connection, though bytes may still be unread."""
        if self.fault is not None:
            return True
        if self.hangup_poller is None:
            self.hangup_poller = select.poll()
            self.hangup_poller.register(self.sock.fileno(), HANGUP)
        return any(events & CLOSED_EVENTS for _, events in self.hangup_poller.poll(0))

    def wait_for_hangup(self, timeout):
        """Wait until the other side closes or resets the connection; False after the timeout in seconds."""
        return self.fault is not None or self.scheduler.wait_fd(self.sock.fileno(), HANGUP, timeout)

    def interrupt(self):
        """End a task's wait for something to read, or for the other side to close."""
        if self.fault is None:
            self.scheduler.interrupt(self.sock.fileno(), READ)
            self.scheduler.interrupt(self.sock.fileno(), HANGUP)

    def write(self, data):
        """Send what the socket takes, and buffer the rest for a task of its own.

        Returns False once the stream is broken. More than `max_unsent` bytes in the buffer break it: the
        reader at the other end is too slow to be served.
        """
        if self.fault is not None:
            return False
        if not self.unsent:
            sent = self._send(data)
            data = data[sent:] if sent else data
        if data and self.fault is None:
            self.unsent += data
            if len(self.unsent) > self.max_unsent:
                self.close(StreamFault.RESET)
            elif self.writer is None:
                self.writer = self.scheduler.spawn(self._write_rest, name="writer")
        return self.fault is None

    def _send(self, data):
        """Return how many bytes the socket took."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.fault = StreamFault.RESET
            return 0

    def _write_rest(self):
        """Send what is buffered; runs as the task `writer`."""
        while self.unsent and self.fault is None:
            if self.scheduler.wait_fd(self.sock.fileno(), WRITE) and self.fault is None:
                del self.unsent[: self._send(self.unsent)]
        self.writer = None

    def flush(self, deadline):
        """Wait until everything written is sent, at the latest until `deadline`."""
        while self.unsent and self.fault is None and self.scheduler.clock() < deadline:
            self.scheduler.sleep(FLUSH_POLL_S)

    def lingering_close(self, timeout, on_data=None):
        """Close so that the other side can read everything written; takes at most `timeout` seconds.

        Closing a connection with unread bytes resets it, which destroys answers under way. So what has come
        is first passed to `on_data`, which may still answer it, until nothing is unread or unsent. Then the
        sending side is shut down in the same turn, and whatever comes is read and dropped until the other
        side closes.
        """
        deadline, bytes_left = self.scheduler.clock() + timeout, MAX_DISCARDED_BYTES
        while True:
            self.flush(deadline)
            received = self.read_available()
            if not isinstance(received, bytes) or bytes_left <= 0:
                break
            bytes_left -= len(received)
            if on_data is not None:
                on_data(received)
            self.scheduler.pause()  # a peer that never stops sending must not make other tasks wait
        if self.fault is None and received is not StreamFault.RESET:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            bytes_left = MAX_DISCARDED_BYTES
            while (
                received is not StreamFault.CLOSED
                and bytes_left > 0
                and (now := self.scheduler.clock()) < deadline
            ):
                received = self.read(deadline - now)
                if not isinstance(received, bytes):
                    break
                bytes_left -= len(received)
        self.close()

    def close(self, reason=StreamFault.SHUT):
        """Close the socket at once; an earlier fault stays the reason."""
        if self.sock.fileno() < 0:
            return
        self.fault = self.fault or reason
        self.scheduler.detach_fd(self.sock.fileno())
        self.sock.close()


def connect(scheduler, address, timeout):
    """Return a Stream, or the StreamFault that prevented the connection: nothing was sent then."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:  # out of descriptors
        return StreamFault.UNREACHED
    code = None
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code in CONNECT_STARTED:  # within one machine it is mostly established by the second call
            code = sock.connect_ex(address)
        if code in CONNECT_UNDER_WAY:
            writable = scheduler.wait_fd(sock.fileno(), WRITE, timeout)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if writable else errno.ETIMEDOUT
    finally:  # the task may have been cancelled
        if code not in CONNECTED:
            scheduler.detach_fd(sock.fileno())
            sock.close()
    if code in CONNECTED:
        return Stream(scheduler, sock)
    return FAULTS_BY_ERRNO.get(code, StreamFault.UNREACHED)
