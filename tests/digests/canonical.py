"""A digest of a machine's results that does not depend on names of classes, fields and string constants.

Tuples and objects are written by the position of their fields, enumerations by their number, strings and
classes by the order in which they first appeared. A consistent rename therefore does not change the digest,
while another value, another order or another transition changes it.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping


class Canonical:
    """Collects results in a canonical form and hashes them."""

    def __init__(self) -> None:
        self._numbers: dict[object, int] = {}
        self._hash = hashlib.sha256()

    def add(self, value: object) -> None:
        """Append one result to the digest."""
        self._hash.update(self._form(value).encode())
        self._hash.update(b"\n")

    def hexdigest(self) -> str:
        """Return the digest of all added results, in hexadecimal."""
        return self._hash.hexdigest()

    def _number(self, key: object) -> int:
        return self._numbers.setdefault(key, len(self._numbers))

    def _form(self, value: object) -> str:
        if value is None:
            return "none"
        if isinstance(value, enum.Enum):
            return f"i{value.value}" if isinstance(value.value, int) else f"s{self._number(value.value)}"
        if isinstance(value, (bool, int)):
            return f"i{int(value)}"
        if isinstance(value, float):
            return f"f{value!r}"
        if isinstance(value, str):
            return f"s{self._number(value)}"
        if isinstance(value, (bytes, bytearray)):
            return f"b{bytes(value).hex()}"
        if isinstance(value, Mapping):
            return "{" + ",".join(f"{self._form(k)}:{self._form(v)}" for k, v in value.items()) + "}"
        if isinstance(value, (set, frozenset)):
            return "(" + ",".join(sorted(self._form(one) for one in sorted(value, key=repr))) + ")"
        named = isinstance(value, tuple) and hasattr(value, "_fields")
        prefix = f"c{self._number(type(value))}" if named else ""
        if isinstance(value, Iterable):
            return prefix + "[" + ",".join(self._form(one) for one in value) + "]"
        return f"c{self._number(type(value))}" + self._form(self._fields(value))

    @staticmethod
    def _fields(value: object) -> list[object]:
        if hasattr(value, "__dataclass_fields__"):
            return [getattr(value, name) for name in value.__dataclass_fields__]
        if hasattr(value, "__slots__"):
            return [getattr(value, name) for name in value.__slots__]
        return list(vars(value).values())
