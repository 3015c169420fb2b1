"""From key to place, in memory: shards of open addressing in bytearrays.

Chosen against a plain dict (`valeturn lab store` measures both): a third of the memory a key, no pause of
tens of milliseconds when a table of a million keys is doubled (one shard of a thousandth is), and a shard is
written to a snapshot and read back as it lies, so that a start reads a million keys in a tenth of a second.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from .limits import LOAD

SHARDS = 1024  # a doubling at a million keys moves a thousand rows: 1 to 2 ms
LEAST = 8  # rows of a new shard: all shards of a nearly empty store take 0.3 MB
ROW = struct.Struct("<16sIIIHBx")
PACK = ROW.pack_into
SIZE, STATE = ROW.size, 30  # bytes of a row; where its state stands, 0 in an empty one


class Row(NamedTuple):
    digest: bytes  # 16 bytes
    segment: int
    offset: int  # of the record in its segment
    until: int  # store time, s
    size: int  # bytes of the record
    state: int  # of entry_states: IN_DOUBT (an intent), STORED, FAILED


class Index:
    def __init__(self):
        self.shards, self.counts, self.count = [None] * SHARDS, [0] * SHARDS, 0

    def _find(self, digest):
        """(shard's number, shard, start of its row) or the start of the empty row where it would be."""
        number = (digest[0] | digest[1] << 8) & SHARDS - 1
        shard = self.shards[number]
        if shard is None:
            return number, None, -1
        most = len(shard)
        start = (digest[2] | digest[3] << 8 | digest[4] << 16) * SIZE & most - 1
        while shard[start + STATE] and shard[start : start + 16] != digest:
            start += SIZE
            if start == most:
                start = 0
        return number, shard, start

    def get(self, digest):
        _, shard, start = self._find(digest)
        if shard is None or not shard[start + STATE]:
            return None
        return Row(*ROW.unpack_from(shard, start))

    def put(self, digest, segment, offset, until, size, state):
        number, shard, start = self._find(digest)
        if shard is None:
            shard = self.shards[number] = bytearray(LEAST * SIZE)
            _, shard, start = self._find(digest)
        if not shard[start + STATE]:
            if (self.counts[number] + 1) * SIZE > LOAD * len(shard):
                self._double(number)
                _, shard, start = self._find(digest)
            self.counts[number] += 1
            self.count += 1
        PACK(shard, start, digest, segment, offset, until, size, state)

    def _double(self, number):
        old = self.shards[number]
        shard = self.shards[number] = bytearray(2 * len(old))
        most = len(shard)
        for at in range(0, len(old), SIZE):
            if old[at + STATE]:
                row = old[at : at + SIZE]
                start = (row[2] | row[3] << 8 | row[4] << 16) * SIZE % most
                while shard[start + STATE]:
                    start = (start + SIZE) % most
                shard[start : start + SIZE] = row

    def remove(self, digest):
        number, shard, start = self._find(digest)
        if shard is None or not shard[start + STATE]:
            return False
        most, hole, at = len(shard), start, start
        while True:  # closes the gap: rows behind it that were pushed on by it move back
            at = (at + SIZE) % most
            if not shard[at + STATE]:
                break
            home = (shard[at + 2] | shard[at + 3] << 8 | shard[at + 4] << 16) * SIZE % most
            if (at - home) % most >= (at - hole) % most:
                shard[hole : hole + SIZE] = shard[at : at + SIZE]
                hole = at
        shard[hole : hole + SIZE] = bytes(SIZE)
        self.counts[number] -= 1
        self.count -= 1
        return True

    def rows(self, number):
        """The rows of one shard."""
        shard = self.shards[number]
        return [Row(*row) for row in ROW.iter_unpack(shard) if row[5]] if shard is not None else []

    def dump(self, number):
        """One shard as it lies, or None where it is empty."""
        return bytes(self.shards[number]) if self.counts[number] else None

    def load(self, number, data):
        """Takes a dumped shard. Raises ValueError where it can't be one."""
        rows, size = len(data) // SIZE, len(data)
        count = rows - data[STATE::SIZE].count(0)
        if (
            size % SIZE
            or rows < LEAST
            or rows & (rows - 1)
            or not 0 <= number < SHARDS
            or count > LOAD * rows
        ):
            raise ValueError("not a shard")
        self.count += count - self.counts[number]
        self.shards[number], self.counts[number] = bytearray(data), count

    def memory(self):
        """Bytes of all shards."""
        return sum(len(shard) for shard in self.shards if shard is not None)
