"""The store of results as a component of the server."""

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

CLOSING = 1.0  # s at the end for what still waits for the disk


class Component(BaseComponent):
    """Opens the store, and tells the dispatcher of what its worker thread has done."""

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
        files = server.seams.files or StoreDirectory(options.folder)
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
            max([one.deduplication_window for one in settings.workloads], default=0.0) + 2 * settings.tick
        )
        derived = limits.derive_limits(options.disk, options.memory, options.segment)
        return ResultStore(environment, StoreSettings(derived, options.retry, longest_window))

    def start(self) -> None:
        """Start the task that listens to the worker thread."""
        self.server.scheduler.spawn(self.follow_worker, name="disk")

    def follow_worker(self) -> None:
        """Tell the dispatcher whenever the store's worker thread has done something; runs as a task."""
        stream = Stream(self.server.scheduler, self._worker.end)
        while isinstance(stream.read(), bytes):
            self.server.dispatcher.put(StoreProgressed())

    def gauges(self) -> dict[str, Any]:
        """Return the store's figures."""
        return {"kept_" + name: value for name, value in self.store.status_fields().items()}

    def close(self, patience: float) -> None:
        """Write what waits for the disk."""
        complete = self.store.close(min(CLOSING, patience))
        self.server.log("store_closed", {"whole": complete, **self.store.status_fields()})
