"""The store of kept results as a part of the server."""

from __future__ import annotations

from ...dispatch.messages import DiskNews
from ...result_store import limits, window_clock
from ...result_store.directory import StoreDirectory
from ...result_store.environment import StoreEnvironment, StoreSettings
from ...result_store.errors import StoreRefusedError
from ...result_store.store import ResultStore
from ...transport.streams import Stream
from ...transport.worker_thread import Helper
from ..configuration import ConfigurationError
from . import Part as Base

CLOSING = 1.0  # s at the end for what still waits for the disk


class Part(Base):
    def __init__(self, server, built):
        super().__init__(server, built)
        files, names = server.seams.files or StoreDirectory(built.folder), server.configuration.names
        boot_id = window_clock.read_boot_id()
        derived = limits.derive_limits(built.disk, built.memory, built.segment)
        longest = max([w.window for w in names.settings.workloads], default=0.0) + 2 * names.settings.tick
        try:
            if not files.prepare():
                raise ConfigurationError("store", f"{built.folder}: another process has it")
            environment = StoreEnvironment(
                files,
                Helper(),
                lambda: window_clock.read_clocks(boot_id),
                server.counters.add,
                server.log,
            )
            self.kept = ResultStore(environment, StoreSettings(derived, built.retry, longest))
        except (StoreRefusedError, OSError) as error:
            raise ConfigurationError("store", f"{built.folder}: {error}") from None
        server.log("store_opened", {**self.kept.figures(), "records_read": self.kept.recovered.record_count})

    def start(self):
        self.server.scheduler.spawn(self.hear_the_disk, name="disk")

    def hear_the_disk(self):
        """Tells the owner of the module that the store's helper has done something."""
        stream = Stream(self.server.scheduler, self.kept.worker.end)
        while isinstance(stream.read(), bytes):
            self.server.core.put(DiskNews())

    def beliefs(self):
        return {"kept_" + name: value for name, value in self.kept.figures().items()}

    def close(self, patience):
        whole = self.kept.close(min(CLOSING, patience))
        self.server.log("store_closed", {"whole": whole, **self.kept.figures()})
