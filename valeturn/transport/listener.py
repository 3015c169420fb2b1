"""Accepts connections, up to a budget of descriptors: past it others must make room, else newcomers wait."""

from __future__ import annotations

import errno
import socket

from .scheduler import READ
from .streams import Stream

BACKLOG = 512  # a whole fleet of gateways may connect at once after a start
SHORTAGE = 0.02  # s without accepting when descriptors or memory ran out: not a busy loop, soon over
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    def __init__(self, scheduler, address, most, on_stream, make_room=lambda: False):
        self.scheduler, self.most, self.on_stream, self.count = scheduler, most, on_stream, 0
        self.make_room = make_room  # ends a connection that can be done without; False where there is none
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.closed, self.shortages = False, 0
        self.task = scheduler.spawn(self.run, name="listener")

    def run(self):
        while not self.closed:
            if self.scheduler.wait_fd(self.sock.fileno(), READ) and not self.accept_all():
                self.shortages += 1
                self.scheduler.sleep(SHORTAGE)

    def accept_all(self):
        """False when there is no room for one more."""
        while not self.closed:
            if self.count >= self.most and not self.make_room():
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in SHORT:
                    return False
                continue  # that one broke before it was accepted
            self.count += 1
            self.on_stream(Stream(self.scheduler, sock))
        return True

    def released(self):
        self.count -= 1

    def close(self):
        """Takes in what the kernel has accepted, so that nothing written to it is lost, then refuses."""
        if not self.closed:
            self.accept_all()
            self.closed = True
            self.scheduler.cancel(self.task)
            self.scheduler.closing(self.sock.fileno())
            self.sock.close()
