"""Encodes the answers to control requests: one JSON object a line.

{"good":true,"status":{...}}
{"good": false, "why": "no level is held by hand"}
"""

from __future__ import annotations

import json
from typing import Any


def encode_success(**fields: Any) -> bytes:  # noqa: ANN401 - whatever JSON can express
    """Return the answer to a request that was carried out, with the requested fields."""
    return (json.dumps({"good": True, **fields}, separators=(",", ":")) + "\n").encode()


def encode_rejection(reason: str) -> bytes:
    """Return the answer to a request that was not carried out."""
    return (json.dumps({"good": False, "why": reason}) + "\n").encode()
