"""The table of repeats: which kept submission a newcomer repeats, and the results kept for them."""

from __future__ import annotations

MOST_KEPT = 4 << 20  # bytes of results: the process has 192 MB, and a result is 4 KiB at most
UNREAD = 5.0  # s, at least, that a dead entry stays for repeats that reached the machine in time, read late
ENTRY = 200  # bytes that an entry takes beside its result


class Entry:
    __slots__ = ("fingerprint", "key", "number", "result", "until")

    def __init__(self, number, key, until, fingerprint):
        self.number, self.key, self.until, self.result = number, key, until, None
        self.fingerprint = fingerprint  # of what was submitted, or None where a repeat may differ


class Repeats:
    def __init__(self, most=MOST_KEPT, unread=UNREAD):
        self.by_key, self.by_number, self.most, self.size = {}, {}, most, 0
        self.unread = unread

    def repeated(self, key, reached):
        """The submission whose entry was alive when the newcomer reached the machine."""
        entry = self.by_key.get(key)
        return entry.number if entry is not None and entry.until > reached else None

    def reused(self, key, reached, fingerprint):
        """True where the key is alive for something else than what comes with it now."""
        entry = self.by_key.get(key)
        return entry is not None and entry.until > reached and entry.fingerprint != fingerprint

    def keep(self, number, key, until, fingerprint=None):
        """A newer repeat takes the entry over. False where there is no room: nothing is dropped for it."""
        before = self.by_key.get(key)
        if before is None and self.size + ENTRY > self.most:
            return False
        if before is not None and before.number == number:
            before.until = until
            return True
        entry = Entry(number, key, until, fingerprint)
        if before is not None:
            self.remove(before.number)
        self.by_key[key] = self.by_number[number] = entry
        self.size += ENTRY
        return True

    def room_in(self, now, more):
        """Seconds until so many more entries may find room; 0 where they do now."""
        if self.size + more * ENTRY <= self.most:
            return 0.0
        ends = min((entry.until for entry in self.by_number.values()), default=now)
        return max(0.1, ends + self.unread - now)

    def ended(self, number, result):
        """result is None where the run failed, or never was."""
        entry = self.by_number.get(number)
        if entry is not None and result is not None and self.size + len(result) <= self.most:
            entry.result, self.size = result, self.size + len(result)

    def remove(self, number):
        entry = self.by_number.pop(number, None)
        if entry is not None:
            self.size -= ENTRY + len(entry.result or b"")
            if self.by_key.get(entry.key) is entry:
                del self.by_key[entry.key]

    def expire(self, now):
        for entry in [entry for entry in self.by_number.values() if entry.until + self.unread <= now]:
            self.remove(entry.number)
