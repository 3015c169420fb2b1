"""Serves the control socket on the event loop, to a few clients at a time with limits on size and time."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import stat
from collections.abc import Callable

from ..transport.message_pacing import MessageBudget, MessagePacing
from ..transport.scheduler import READ, Scheduler
from ..transport.streams import Stream
from .answers import encode_rejection
from .errors import InvalidRequestError, RequestTooLongError, SocketInUseError
from .line_splitter import LineSplitter
from .requests import (
    ClusterRequest,
    ControlRequest,
    FencedRequest,
    HoldLevelRequest,
    MaintenanceRequest,
    MetricsRequest,
    ReleaseLevelRequest,
    StatusRequest,
    parse_request,
)

MAX_CLIENTS = 4  # more wait in the kernel's queue: clients are people and their scripts
READ_TIMEOUT_S = 10.0  # for a request, and for the next one on the same connection
FULL_POLL_INTERVAL_S = 0.05  # between checks of the client count while `MAX_CLIENTS` are served
LINGER_S = 0.2  # for a client to read the last answer before its connection is closed
OWNER_ONLY_UMASK = 0o177  # leaves mode 0600: only the server's own user may connect

REQUEST_COUNTERS: dict[type[ControlRequest], str] = {
    StatusRequest: "control.status",
    MetricsRequest: "control.metrics",
    HoldLevelRequest: "control.hold_level",
    ReleaseLevelRequest: "control.release_level",
    ClusterRequest: "control.cluster",
    MaintenanceRequest: "control.maintenance",
    FencedRequest: "control.fenced",
}


def open_listening_socket(path: str) -> socket.socket:
    """Return a listening Unix socket to which only the server's own user may connect.

    A socket that a killed server has left there is replaced; any other file at the path is left alone.

    Raises:
        SocketInUseError: Another process listens at the path.
        OSError: The path can't be used.
    """
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    previous_umask = os.umask(OWNER_ONLY_UMASK)
    try:
        _bind(listener, path)
        listener.listen(MAX_CLIENTS)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    finally:
        os.umask(previous_umask)
    return listener


def _bind(listener: socket.socket, path: str) -> None:
    """Bind to the path; first remove a socket there on which no process listens."""
    try:
        listener.bind(path)
    except OSError as error:
        if error.errno != errno.EADDRINUSE or not stat.S_ISSOCK(os.lstat(path).st_mode):
            raise
        if accepts_connections(path):
            raise SocketInUseError(path) from None
        os.unlink(path)
        listener.bind(path)


def accepts_connections(path: str) -> bool:
    """Return whether a process listens on the Unix socket at a path."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        try:
            connection.connect(path)
        except OSError:
            return False
        return True


class ControlServer:
    """Accepts clients of the control socket and answers each client's requests in order.

    Attributes:
        client_count: How many clients are connected.
        pacing: Holds back clients that send requests without a pause.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        path: str,
        answer: Callable[[ControlRequest], bytes],
        count: Callable[[str], None],
    ) -> None:
        """Open the socket and start a task that accepts clients.

        Args:
            scheduler: The event loop.
            path: The path of the Unix socket.
            answer: Returns the encoded answer to a valid request; it must not block.
            count: Adds one to the counter of that name.

        Raises:
            SocketInUseError: Another process listens at the path.
            OSError: The path can't be used.
        """
        self.scheduler = scheduler
        self.path = path
        self.answer = answer
        self.count = count
        self.client_count = 0
        self.pacing = MessagePacing(scheduler, lambda: count("control.held_back"))
        self.listener = open_listening_socket(path)
        scheduler.spawn(self._accept_clients, name="control")

    def close(self) -> None:
        """Stop accepting clients and remove the socket's path."""
        self.scheduler.detach_fd(self.listener.fileno())
        self.listener.close()
        with contextlib.suppress(OSError):  # the path may have been removed already
            os.unlink(self.path)

    def _accept_clients(self) -> None:
        """Accept clients until the listening socket is closed; runs as a task."""
        while self.listener.fileno() >= 0:
            if self.client_count >= MAX_CLIENTS:
                self.scheduler.sleep(FULL_POLL_INTERVAL_S)
            elif self.scheduler.wait_fd(self.listener.fileno(), READ):
                self._accept_client()

    def _accept_client(self) -> None:
        try:
            connection, _ = self.listener.accept()
        except OSError:  # the client disconnected, or the process is out of file descriptors
            return
        self.client_count += 1
        self.scheduler.spawn(self._serve_client, Stream(self.scheduler, connection), name="control_client")

    def _serve_client(self, stream: Stream) -> None:
        """Answer one client's requests until it disconnects, sends too much or times out; runs as a task."""
        splitter = LineSplitter()
        budget = MessageBudget()
        try:
            while isinstance(received := stream.read(READ_TIMEOUT_S), bytes):
                try:
                    lines = splitter.feed(received)
                except RequestTooLongError as error:
                    self.count("control.request_too_long")
                    stream.write(encode_rejection(error.reason))
                    break
                for line in lines:
                    stream.write(self._answer_line(line))
                    self.pacing.after(stream, budget, 1)
                    if stream.fault is not None:  # nobody reads the answers any more
                        return
        finally:
            self.client_count -= 1
            stream.lingering_close(LINGER_S)

    def _answer_line(self, line: bytes) -> bytes:
        try:
            request = parse_request(line)
        except InvalidRequestError as error:
            self.count("control.invalid_request")
            return encode_rejection(error.reason)
        self.count(REQUEST_COUNTERS[type(request)])
        return self.answer(request)
