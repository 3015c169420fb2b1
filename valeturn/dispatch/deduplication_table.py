"""The in-memory deduplication table: which earlier submission a new one duplicates, and its result."""

from __future__ import annotations

MAX_BYTES = 4 << 20  # bytes of results: the process has 192 MB, and a result is 4 KiB at most
# Seconds, at least, that an expired entry stays for duplicates that reached the machine in time and are read
# late.
MIN_READ_DELAY_S = 5.0
ENTRY_BYTES = 200  # bytes that an entry takes beside its result


class Entry:
    """A submission by its key, with its result once there is one."""

    __slots__ = ("fingerprint", "key", "number", "result", "expires_at")

    def __init__(self, number, key, expires_at, fingerprint):
        self.number, self.key, self.expires_at, self.result = number, key, expires_at, None
        self.fingerprint = fingerprint  # of what was submitted, or None where a duplicate may differ


class DeduplicationTable:
    """Entries by key and by the number of the submission, within a bound on memory.

    Times are seconds of the dispatcher's clock.
    """

    def __init__(self, max_bytes=MAX_BYTES, read_delay_s=MIN_READ_DELAY_S):
        """Make an empty table.

        Args:
            max_bytes: Memory that entries and results may take.
            read_delay_s: Seconds after its expiry that an entry stays for duplicates that are read late.
        """
        self.by_key, self.by_number, self.max_bytes, self.size_bytes = {}, {}, max_bytes, 0
        self.read_delay_s = read_delay_s

    def original_of(self, key, arrived_at):
        """Return the number of the submission whose entry was valid when the duplicate arrived, or None.

        Args:
            key: The duplicate's key.
            arrived_at: When the duplicate reached the machine.
        """
        entry = self.by_key.get(key)
        return entry.number if entry is not None and entry.expires_at > arrived_at else None

    def reused(self, key, arrived_at, fingerprint):
        """Return whether the key is valid for a submission with another fingerprint."""
        entry = self.by_key.get(key)
        return entry is not None and entry.expires_at > arrived_at and entry.fingerprint != fingerprint

    def keep(self, number, key, expires_at, fingerprint=None):
        """Add an entry, or replace the one of an older duplicate.

        Returns:
            False where there is no room for it: no other entry is dropped to make some.
        """
        before = self.by_key.get(key)
        if before is None and self.size_bytes + ENTRY_BYTES > self.max_bytes:
            return False
        if before is not None and before.number == number:
            before.expires_at = expires_at
            return True
        entry = Entry(number, key, expires_at, fingerprint)
        if before is not None:
            self.remove(before.number)
        self.by_key[key] = self.by_number[number] = entry
        self.size_bytes += ENTRY_BYTES
        return True

    def room_in(self, now, entry_count):
        """Return the seconds until so many more entries may find room; 0 where there is room now."""
        if self.size_bytes + entry_count * ENTRY_BYTES <= self.max_bytes:
            return 0.0
        first_expiry = min((entry.expires_at for entry in self.by_number.values()), default=now)
        # At least 0.1 s, so that a caller does not retry at once.
        return max(0.1, first_expiry + self.read_delay_s - now)

    def ended(self, number, result):
        """Keep the result of an execution; None where it failed, or never ran."""
        entry = self.by_number.get(number)
        if entry is not None and result is not None and self.size_bytes + len(result) <= self.max_bytes:
            entry.result, self.size_bytes = result, self.size_bytes + len(result)

    def remove(self, number):
        """Remove the entry of a submission, if it has one."""
        entry = self.by_number.pop(number, None)
        if entry is not None:
            self.size_bytes -= ENTRY_BYTES + len(entry.result or b"")
            if self.by_key.get(entry.key) is entry:
                del self.by_key[entry.key]

    def expire(self, now):
        """Remove the entries that expired more than the read delay ago."""
        for entry in [
            entry for entry in self.by_number.values() if entry.expires_at + self.read_delay_s <= now
        ]:
            self.remove(entry.number)
