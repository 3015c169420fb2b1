"""Reloading the configuration on SIGHUP, without holding up the loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ..transport.streams import Stream, StreamFault
from .configuration import Configuration, ConfigurationError

if TYPE_CHECKING:
    import socket

    from ..operator_config.schema import OperatorConfig
    from ..transport.scheduler import Scheduler
    from .counters import Counters
    from .logs import Log

READ_TIMEOUT = 10.0  # s for the process that reads the operator's file: it takes a fifth of a second


class ReaderWaits(NamedTuple):
    """How a reload waits for the process that reads the operator's file, while the loop goes on."""

    receive: Callable[[socket.socket], bytes]
    sleep: Callable[[float], object]


ReadConfiguration = Callable[[ReaderWaits], "tuple[Configuration, OperatorConfig | None]"]


class AppliedChanges(NamedTuple):
    """What became of the fields that a reload found changed."""

    moved: list[str]  # taken over at once
    need_restart: list[str]


class ConfigurationReloader:
    """Reads the configuration and the operator's file anew and hands them to the server.

    The operator's file is read by a process of its own while the loop goes on, so that a termination signal
    is handled meanwhile. A file that can't be used changes nothing.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        read: ReadConfiguration,
        apply: Callable[[Configuration, OperatorConfig | None], AppliedChanges],
        counters: Counters,
        log: Log,
    ) -> None:
        """Take what is needed for a reload.

        Args:
            scheduler: Runs the reload as a task.
            read: Reads both files, or raises ConfigurationError; it is given how to wait.
            apply: Takes over what it can.
            counters: Counts reloads.
            log: Logs reloads.
        """
        self._scheduler = scheduler
        self._read = read
        self._apply = apply
        self._counters = counters
        self._log = log
        self._requested = False
        self._running = False

    def request(self) -> None:
        """Reload in a task of its own; a request during a reload starts one more after it."""
        self._requested = True
        if not self._running:
            self._running = True
            self._scheduler.spawn(self._run, name="reload")

    def _run(self) -> None:
        try:
            while self._requested:
                self._requested = False
                self.reload()
        finally:
            self._running = False

    def reload(self) -> None:
        """Read and apply the files once; waits for the process that reads them."""
        try:
            configuration, options = self._read(ReaderWaits(self._receive, self._scheduler.sleep))
        except ConfigurationError as error:
            self._counters.add("reload.rejected")
            self._log("reload_rejected", {"reason": str(error)})
            return
        changes = self._apply(configuration, options)
        self._counters.add("reload.applied")
        self._log(
            "reload_applied",
            {
                "moved": ",".join(changes.moved) or "nothing",
                "need_restart": ",".join(changes.need_restart) or "nothing",
            },
        )

    def _receive(self, sock: socket.socket) -> bytes:
        """Return all bytes up to the end of a socket, while other tasks run.

        Raises:
            TimeoutError: The socket has not ended after READ_TIMEOUT.
        """
        stream = Stream(self._scheduler, sock)
        deadline = self._scheduler.clock() + READ_TIMEOUT
        received = []
        try:
            while isinstance(data := stream.read(max(0.0, deadline - self._scheduler.clock())), bytes):
                received.append(data)
            if data is StreamFault.TIMED_OUT:
                raise TimeoutError
        finally:
            stream.close()
        return b"".join(received)
