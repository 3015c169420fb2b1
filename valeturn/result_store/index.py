"""The index from a key's digest to its record in the log: hash tables with open addressing, in memory.

The table is split into shards of bytearrays with linear probing. Compared with a plain dict
(`valeturn lab store` measures both): a third of the memory per key; no pause of tens of milliseconds when a
table of a million keys is doubled, as only one shard of about a thousand is doubled at a time; and a shard is
written to a snapshot and read back without conversion, so that a start reads a million keys in 0.1 s.
"""

from __future__ import annotations

import struct
from typing import Final, NamedTuple

from .limits import MAX_LOAD_FACTOR

SHARD_COUNT: Final = 1024  # doubling one at a million keys moves a thousand rows: 1 to 2 ms
MIN_SHARD_ROWS: Final = 8  # rows of a new shard: all shards of a nearly empty store take 0.3 MB
ROW_FORMAT: Final = struct.Struct("<16sIIIHBx")
ROW_SIZE: Final = ROW_FORMAT.size  # bytes
STATE_OFFSET: Final = 30  # of the state within a row, in bytes; the state is 0 in an empty row
# Bound once: looking the method up for every stored record takes measurable time.
_pack_row_into = ROW_FORMAT.pack_into


class IndexRow(NamedTuple):
    """The index entry of one key."""

    digest: bytes  # 16 bytes
    segment: int
    offset: int  # of the record in its segment, bytes
    until: int  # store time in seconds at which the window ends
    size: int  # bytes of the record
    state: int  # of entry_states: IN_DOUBT (only an intent is known), STORED or FAILED


class Index:
    """Rows by digest, in shards."""

    def __init__(self) -> None:
        self.shards: list[bytearray | None] = [None] * SHARD_COUNT
        self.counts = [0] * SHARD_COUNT  # rows in use, by shard
        self.count = 0

    def _find(self, digest: bytes) -> tuple[int, bytearray | None, int]:
        """Return the shard's number, the shard, and the offset of the digest's row or a free row for it."""
        number = (digest[0] | digest[1] << 8) & SHARD_COUNT - 1
        shard = self.shards[number]
        if shard is None:
            return number, None, -1
        size = len(shard)
        start = (digest[2] | digest[3] << 8 | digest[4] << 16) * ROW_SIZE & size - 1
        while shard[start + STATE_OFFSET] and shard[start : start + 16] != digest:
            start += ROW_SIZE
            if start == size:
                start = 0
        return number, shard, start

    def get(self, digest: bytes) -> IndexRow | None:
        """Return the row of a digest, or None."""
        _, shard, start = self._find(digest)
        if shard is None or not shard[start + STATE_OFFSET]:
            return None
        return IndexRow(*ROW_FORMAT.unpack_from(shard, start))

    def put(self, digest: bytes, segment: int, offset: int, until: int, size: int, state: int) -> None:
        """Insert the row of a digest, or replace it; the fields are those of `IndexRow`."""
        number, shard, start = self._find(digest)
        if shard is None:
            shard = self.shards[number] = bytearray(MIN_SHARD_ROWS * ROW_SIZE)
            _, _, start = self._find(digest)
        if not shard[start + STATE_OFFSET]:
            if (self.counts[number] + 1) * ROW_SIZE > MAX_LOAD_FACTOR * len(shard):
                shard = self._double(number, shard)
                _, _, start = self._find(digest)
            self.counts[number] += 1
            self.count += 1
        _pack_row_into(shard, start, digest, segment, offset, until, size, state)

    def _double(self, number: int, old: bytearray) -> bytearray:
        """Replace a shard with one of twice its size and return the new one."""
        size = 2 * len(old)
        shard = bytearray(size)
        for offset in range(0, len(old), ROW_SIZE):
            if old[offset + STATE_OFFSET]:
                row = old[offset : offset + ROW_SIZE]
                start = _probe_start(row, 0, size)
                while shard[start + STATE_OFFSET]:
                    start = (start + ROW_SIZE) % size
                shard[start : start + ROW_SIZE] = row
        self.shards[number] = shard
        return shard

    def remove(self, digest: bytes) -> bool:
        """Remove the row of a digest; return whether there was one."""
        number, shard, start = self._find(digest)
        if shard is None or not shard[start + STATE_OFFSET]:
            return False
        _close_gap(shard, start)
        self.counts[number] -= 1
        self.count -= 1
        return True

    def shard_rows(self, number: int) -> list[IndexRow]:
        """Return the rows of one shard."""
        shard = self.shards[number]
        if shard is None:
            return []
        return [IndexRow(*row) for row in ROW_FORMAT.iter_unpack(shard) if row[5]]

    def dump_shard(self, number: int) -> bytes | None:
        """Return the bytes of one shard, or None where it is empty."""
        shard = self.shards[number]
        return bytes(shard) if shard is not None and self.counts[number] else None

    def load_shard(self, number: int, data: bytes) -> None:
        """Replace a shard with bytes from `dump_shard`.

        Raises:
            ValueError: The bytes can't be those of a shard.
        """
        size = len(data)
        rows = size // ROW_SIZE
        count = rows - data[STATE_OFFSET::ROW_SIZE].count(0)
        power_of_two = rows & (rows - 1) == 0
        if size % ROW_SIZE or rows < MIN_SHARD_ROWS or not power_of_two:
            raise ValueError("not a shard")
        if not 0 <= number < SHARD_COUNT or count > MAX_LOAD_FACTOR * rows:
            raise ValueError("not a shard")
        self.count += count - self.counts[number]
        self.shards[number] = bytearray(data)
        self.counts[number] = count

    def memory_bytes(self) -> int:
        """Return the bytes of all shards."""
        return sum(len(shard) for shard in self.shards if shard is not None)


def _probe_start(shard: bytearray, offset: int, size: int) -> int:
    """Return where the probe sequence of the row at `offset` begins in a shard of `size` bytes."""
    return (shard[offset + 2] | shard[offset + 3] << 8 | shard[offset + 4] << 16) * ROW_SIZE % size


def _close_gap(shard: bytearray, start: int) -> None:
    """Clear a row and move displaced rows after it back (deletion without tombstones).

    After D. Knuth, The Art of Computer Programming, volume 3, section 6.4, algorithm R.
    """
    size = len(shard)
    gap = start
    offset = start
    while True:
        offset = (offset + ROW_SIZE) % size
        if not shard[offset + STATE_OFFSET]:
            break
        home = _probe_start(shard, offset, size)
        if (offset - home) % size >= (offset - gap) % size:
            shard[gap : gap + ROW_SIZE] = shard[offset : offset + ROW_SIZE]
            gap = offset
    shard[gap : gap + ROW_SIZE] = bytes(ROW_SIZE)
