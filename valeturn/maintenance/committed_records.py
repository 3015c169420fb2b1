"""Read the maintenance records from the replicated log."""

from __future__ import annotations

from typing import Any

from ..cluster.node import ClusterNode
from .records import MaintenanceRecord, decode_record


class CommittedRecords:
    """The maintenance records that this server knows, decoded once for each state of the log."""

    def __init__(self, node: ClusterNode) -> None:
        """Read from the log of this server's cluster node."""
        self.node = node
        self._decoded_from: tuple[Any, ...] = ()
        self._decoded: list[MaintenanceRecord] = []

    def read(self) -> list[MaintenanceRecord]:
        """Return all records, one per server.

        Raises:
            InvalidRecordError: A record has a state that does not exist.
            TypeError: A field has the wrong type.
            ValueError: A record has the wrong number of fields, or a field can't be converted.
        """
        encoded = self.node.known_state().state.maintenance_records
        if encoded is not self._decoded_from:
            self._decoded = [decode_record(fields) for fields in encoded]
            self._decoded_from = encoded  # set last, so that each call reports a malformed record
        return self._decoded

    def find(self, server: str) -> MaintenanceRecord | None:
        """Return a server's record, or None where no maintenance of it is requested."""
        return next((record for record in self.read() if record.server == server), None)

    def paused(self) -> bool:
        """Return whether an operator has paused the granting of maintenance."""
        return bool(self.node.known_state().state.maintenance_held)
