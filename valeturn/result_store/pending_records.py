"""Entries and records in memory that are not final on the disk yet."""

from __future__ import annotations

from . import entry_states, records


class LiveEntry:
    """An entry whose last record is not durable yet, or whose execution has not ended."""

    __slots__ = ("body", "digest", "execution_id", "queued", "request_id", "state", "until", "workload")

    def __init__(
        self, request_id: int, digest: bytes, until: int, execution_id: bytes, workload: str
    ) -> None:
        self.request_id = request_id  # 0 for an execution from before the start
        self.digest = digest
        self.until = until  # store time in seconds at which the window ends
        self.execution_id = execution_id
        self.workload = workload
        self.state: int = entry_states.ABSENT
        self.body: bytes | None = None  # the result
        self.queued = 0  # number of this entry's records that are not durable yet


class QueuedRecord:
    """A record that is waiting to be written."""

    __slots__ = ("data", "entry", "record")

    def __init__(self, record: records.KeyRecord, entry: LiveEntry | None) -> None:
        self.record = record
        self.entry = entry  # None for a copy made by compaction or recovery, and for an unsent record
        self.data = records.encode_record(record)
