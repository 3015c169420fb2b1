"""Reloads the configuration and the operator's file on SIGHUP, without blocking the event loop."""

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

READ_TIMEOUT_S = 10.0  # for the process that reads the operator's file, which takes a fifth of a second


class ReaderWaits(NamedTuple):
    """Functions with which a reload waits for the reader process while the loop runs other tasks.

    Attributes:
        receive: Returns all bytes of a socket up to its end.
        sleep: Suspends the task for so many seconds.
    """

    receive: Callable[[socket.socket], bytes]
    sleep: Callable[[float], object]


ReadConfiguration = Callable[[ReaderWaits], "tuple[Configuration, OperatorConfig | None]"]


class AppliedChanges(NamedTuple):
    """The names of the fields that a reload found changed."""

    applied: list[str]  # in effect from now on
    need_restart: list[str]  # in effect only after a restart


class ConfigurationReloader:
    """Reads the configuration and the operator's file again and passes them to the server.

    The operator's file is read by a separate process while the loop runs, so that a termination signal is
    handled in the meantime. A file that is not valid changes nothing.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        read: ReadConfiguration,
        apply: Callable[[Configuration, OperatorConfig | None], AppliedChanges],
        counters: Counters,
        log: Log,
    ) -> None:
        """Create a reloader; it does nothing until `request` is called.

        Args:
            scheduler: Runs the reload as a task.
            read: Reads both files with the given wait functions, or raises ConfigurationError.
            apply: Applies the changes that need no restart and returns what changed.
            counters: Counts applied and rejected reloads.
            log: Logs applied and rejected reloads.
        """
        self._scheduler = scheduler
        self._read = read
        self._apply = apply
        self._counters = counters
        self._log = log
        self._requested = False
        self._running = False

    def request(self) -> None:
        """Start a task that reloads; a request during a reload makes it reload once more afterwards."""
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
        """Read and apply the files once; waits for the reader process."""
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
                "moved": ",".join(changes.applied) or "nothing",
                "need_restart": ",".join(changes.need_restart) or "nothing",
            },
        )

    def _receive(self, sock: socket.socket) -> bytes:
        """Return all bytes of a socket up to its end, while other tasks run.

        Raises:
            TimeoutError: The socket has not ended after READ_TIMEOUT_S.
        """
        stream = Stream(self._scheduler, sock)
        deadline = self._scheduler.clock() + READ_TIMEOUT_S
        chunks = []
        try:
            while isinstance(data := stream.read(max(0.0, deadline - self._scheduler.clock())), bytes):
                chunks.append(data)
            if data is StreamFault.TIMED_OUT:
                raise TimeoutError
        finally:
            stream.close()
        return b"".join(chunks)
