"""Runs the result store as a component of the server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...dispatch.messages import StoreProgressed
from ...result_store import limits, window_clock
from ...result_store.directory import StoreDirectory
from ...result_store.environment import StoreEnvironment, StoreSettings
from ...result_store.errors import StoreRefusedError
from ...result_store.store import ResultStore
from ...transport.streams import Stream
from ...transport.worker_thread import WorkerThread
from ..configuration import ConfigurationError
from . import Component as BaseComponent

if TYPE_CHECKING:
    from ..server import Server

CLOSE_TIMEOUT_S = 1.0  # for pending writes to reach the disk at shutdown, at most


class Component(BaseComponent):
    """Opens the result store, and notifies the dispatcher of its worker thread's progress.

    Attributes:
        store: The opened store, which the dispatcher uses.
    """

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        self._worker = WorkerThread()
        try:
            self.store = self._open_store()
        except (StoreRefusedError, OSError) as error:
            raise ConfigurationError("store", f"{options.folder}: {error}") from None
        fields = {**self.store.status_fields(), "records_read": self.store.recovered.record_count}
        server.log("store_opened", fields)

    def _open_store(self) -> ResultStore:
        server = self.server
        options = self.options
        files = server.overrides.files or StoreDirectory(options.folder)
        if not files.prepare():
            raise ConfigurationError("store", f"{options.folder}: another process has it")
        boot_id = window_clock.read_boot_id()
        environment = StoreEnvironment(
            files,
            self._worker,
            lambda: window_clock.read_clocks(boot_id),
            server.counters.add,
            server.log,
        )
        settings = server.configuration.names.settings
        longest_window = (
            max([workload.deduplication_window for workload in settings.workloads], default=0.0)
            + 2 * settings.tick
        )
        derived = limits.derive_limits(options.disk, options.memory, options.segment)
        return ResultStore(environment, StoreSettings(derived, options.retry, longest_window))

    def start(self) -> None:
        """Start the task that reads the worker thread's notifications."""
        self.server.scheduler.spawn(self.forward_progress, name="disk")

    def forward_progress(self) -> None:
        """Notify the dispatcher whenever the store's worker thread has completed jobs; runs as a task."""
        stream = Stream(self.server.scheduler, self._worker.wakeup_socket)
        while isinstance(stream.read(), bytes):
            self.server.dispatcher.put(StoreProgressed())

    def gauges(self) -> dict[str, Any]:
        """Return the store's gauges."""
        return {"kept_" + name: value for name, value in self.store.status_fields().items()}

    def close(self, timeout_s: float) -> None:
        """Write pending data to the disk and close the store; logs whether all of it was written."""
        complete = self.store.close(min(CLOSE_TIMEOUT_S, timeout_s))
        self.server.log("store_closed", {"whole": complete, **self.store.status_fields()})
