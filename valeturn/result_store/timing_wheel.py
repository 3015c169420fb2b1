"""Expiry by a hierarchical timing wheel of two levels over whole seconds.

After G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987). Slots are bytearrays of
concatenated digests. Expiry is lazy: a key whose window was extended is returned at its old second, and the
caller checks its index row. Compared with a heap (`valeturn lab store` measures both), an insertion needs no
comparison, and a key takes 16 bytes instead of about a hundred for a tuple.
"""

from __future__ import annotations

from typing import Final

# Time covered by the near level and by one far slot: the two levels cover days with a thousand slots.
SLOT_SPAN_S: Final = 512
DIGEST_SIZE: Final = 16  # bytes
_SECOND_SIZE: Final = 8  # bytes of a second in a far slot
_FAR_ITEM_SIZE: Final = _SECOND_SIZE + DIGEST_SIZE


class TimingWheel:
    """Digests by the second at which they are due."""

    def __init__(self, now: float) -> None:
        self.near: dict[int, bytearray] = {}  # second -> digests
        self.far: dict[int, bytearray] = {}  # slot of SLOT_SPAN_S seconds -> pairs of second and digest
        self.first_far_slot = int(now) // SLOT_SPAN_S + 1

    def add(self, digest: bytes, second: int) -> None:
        """Add a digest that is due at this second."""
        if second // SLOT_SPAN_S < self.first_far_slot:
            self.near.setdefault(second, bytearray()).extend(digest)
        else:
            item = second.to_bytes(_SECOND_SIZE, "little") + digest
            self.far.setdefault(second // SLOT_SPAN_S, bytearray()).extend(item)

    def _cascade(self, now: float) -> None:
        """Move far slots whose time is within the near level's span to the near level."""
        while self.first_far_slot <= int(now) // SLOT_SPAN_S + 1:
            slot = self.far.pop(self.first_far_slot, bytearray())
            self.first_far_slot += 1
            for offset in range(0, len(slot), _FAR_ITEM_SIZE):
                digest_offset = offset + _SECOND_SIZE
                second = int.from_bytes(slot[offset:digest_offset], "little")
                self.add(bytes(slot[digest_offset : offset + _FAR_ITEM_SIZE]), second)
            if not self.far and self.first_far_slot <= int(now) // SLOT_SPAN_S:
                # No later slots exist: skip the empty ones up to now.
                self.first_far_slot = int(now) // SLOT_SPAN_S + 1

    def pop_due(self, now: float, limit: int) -> list[bytes]:
        """Remove and return up to `limit` due digests, the earliest second first."""
        self._cascade(now)
        digests: list[bytes] = []
        for second in sorted(second for second in self.near if second <= now):
            slot = self.near[second]
            taken = min(len(slot), (limit - len(digests)) * DIGEST_SIZE)
            digests += [bytes(slot[offset : offset + DIGEST_SIZE]) for offset in range(0, taken, DIGEST_SIZE)]
            if taken < len(slot):
                del slot[:taken]
                break
            del self.near[second]
        return digests

    def earliest(self) -> int | None:
        """Return a second before which nothing is due, or None while the wheel is empty."""
        if self.near:
            return min(self.near)
        return min(self.far) * SLOT_SPAN_S if self.far else None

    def __len__(self) -> int:
        near = sum(map(len, self.near.values())) // DIGEST_SIZE
        far = sum(map(len, self.far.values())) // _FAR_ITEM_SIZE
        return near + far
