"""The store of kept results as a part of the server."""

from __future__ import annotations

from ...routing.messages import DiskNews
from ...store import bounds, clock
from ...store.files import Files
from ...store.kept import Kept
from ...store.recovery import Refused
from ...transport.helper import Helper
from ...transport.streams import Stream
from ..configuration import Wrong
from . import Part as Base

CLOSING = 1.0  # s at the end for what still waits for the disk


class Part(Base):
    def __init__(self, server, built):
        super().__init__(server, built)
        files, names = server.seams.files or Files(built.folder), server.configuration.names
        boot_id = clock.boot_id()
        limits = bounds.derive(built.disk, built.memory, built.segment)
        longest = max([w.window for w in names.settings.workloads], default=0.0) + 2 * names.settings.tick
        try:
            if not files.prepare():
                raise Wrong(f"store: {built.folder}: another process has it")
            self.kept = Kept(
                built,
                limits,
                files,
                Helper(),
                lambda: clock.read(boot_id),
                longest,
                server.counters.add,
                server.log,
            )
        except (Refused, OSError) as error:
            raise Wrong(f"store: {built.folder}: {error}") from None
        server.log("store_opened", {**self.kept.figures(), "records_read": self.kept.found.records})

    def start(self):
        self.server.scheduler.spawn(self.hear_the_disk, name="disk")

    def hear_the_disk(self):
        """Tells the owner of the module that the store's helper has done something."""
        stream = Stream(self.server.scheduler, self.kept.helper.end)
        while isinstance(stream.read(), bytes):
            self.server.core.put(DiskNews())

    def beliefs(self):
        return {"kept_" + name: value for name, value in self.kept.figures().items()}

    def close(self, patience):
        whole = self.kept.close(min(CLOSING, patience))
        self.server.log("store_closed", {"whole": whole, **self.kept.figures()})
