"""Read the maintenance records out of the replicated log."""

from __future__ import annotations

from typing import Any

from ..cluster.node import ClusterNode
from .records import MaintenanceRecord, decode_record


class CommittedRecords:
    """The records as far as this server knows them, decoded once for each state of the log."""

    def __init__(self, node: ClusterNode) -> None:
        """Read from the log of this server's cluster node."""
        self.node = node
        self._decoded_from: tuple[Any, ...] = ()
        self._decoded: list[MaintenanceRecord] = []

    def read(self) -> list[MaintenanceRecord]:
        """Return all records, by server.

        Raises:
            InvalidRecordError: A record has a state that does not exist.
            TypeError: A field has the wrong type.
            ValueError: A record has the wrong form.
        """
        encoded = self.node.known_state().state.maintenance_records
        if encoded is not self._decoded_from:
            self._decoded = [decode_record(fields) for fields in encoded]
            self._decoded_from = encoded  # last, so that a malformed record is reported at each reading
        return self._decoded

    def find(self, server: str) -> MaintenanceRecord | None:
        """Return a server's record, or None where no maintenance of it is requested."""
        return next((record for record in self.read() if record.server == server), None)

    def paused(self) -> bool:
        """Return whether an operator has paused the granting of maintenance."""
        return bool(self.node.known_state().state.maintenance_held)
