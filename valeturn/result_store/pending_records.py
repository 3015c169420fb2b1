"""What is held in memory of entries and records that are not settled on the disk."""

from __future__ import annotations

from . import entry_states, records


class LiveEntry:
    """An entry whose last record is not durable yet, or whose execution is not over."""

    __slots__ = ("body", "digest", "execution_id", "queued", "request_class", "request_id", "state", "until")

    def __init__(
        self, request_id: int, digest: bytes, until: int, execution_id: bytes, request_class: str
    ) -> None:
        self.request_id = request_id  # 0 for an execution from before the start
        self.digest = digest
        self.until = until  # store time in seconds at which the window ends
        self.execution_id = execution_id
        self.request_class = request_class
        self.state: int = entry_states.ABSENT
        self.body: bytes | None = None  # the result
        self.queued = 0  # records of this entry that wait for the disk


class QueuedRecord:
    """A record that waits for the disk."""

    __slots__ = ("data", "entry", "record")

    def __init__(self, record: records.KeyRecord, entry: LiveEntry | None) -> None:
        self.record = record
        self.entry = entry  # None for a copy of a record
        self.data = records.encode_record(record)
