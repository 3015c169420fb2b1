"""Serves the control socket on the loop: a few clients, one request at a time each, bounded and timed."""

from __future__ import annotations

import errno
import os
import socket
import stat

from ..transport.scheduler import READ
from ..transport.streams import Stream
from . import requests

CLIENTS = 4  # at a time; more wait in the kernel's queue: these are people and their scripts
PATIENCE = 10.0  # s for a request, and for the next


class InUse(Exception):
    """Another process listens on that path."""


def listen(path):
    """A listening Unix socket that its owner alone may use. One that a killed server left is replaced;
    anything else that lies there is not touched. Raises InUse or OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    before = os.umask(0o177)
    try:
        try:
            sock.bind(path)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not stat.S_ISSOCK(os.lstat(path).st_mode):
                raise
            if alive(path):
                raise InUse(path) from None
            os.unlink(path)
            sock.bind(path)
        sock.listen(CLIENTS)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    finally:
        os.umask(before)
    return sock


def alive(path):
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except OSError:
            return False
        return True


class Control:
    def __init__(self, scheduler, path, answer, count):
        """answer(request) -> bytes, for a request that could be read."""
        self.scheduler, self.path, self.answer, self.count = scheduler, path, answer, count
        self.clients, self.sock = 0, listen(path)
        scheduler.spawn(self.run, name="control")

    def run(self):
        while self.sock.fileno() >= 0:
            if self.clients >= CLIENTS:
                self.scheduler.sleep(0.05)
            elif self.scheduler.wait_fd(self.sock.fileno(), READ):
                try:
                    client, _ = self.sock.accept()
                except OSError:
                    continue
                self.clients += 1
                self.scheduler.spawn(self.serve, Stream(self.scheduler, client), name="control_client")

    def serve(self, stream):
        lines = requests.Lines()
        try:
            while isinstance(got := stream.read(PATIENCE), bytes):
                whole = lines.feed(got)
                if whole is None:
                    self.count("control.too_long")
                    stream.write(requests.refused("a request has at most 4096 bytes"))
                    break
                for line in whole:
                    request = requests.read(line)
                    bad = isinstance(request, requests.Bad)
                    self.count("control.bad" if bad else "control." + type(request).__name__.lower())
                    stream.write(requests.refused(request.why) if bad else self.answer(request))
        finally:
            self.clients -= 1
            stream.lingering_close(0.2)

    def close(self):
        self.scheduler.closing(self.sock.fileno())
        self.sock.close()
        try:
            os.unlink(self.path)
        except OSError:
            pass
