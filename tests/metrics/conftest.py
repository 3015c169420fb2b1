"""The entries of a server's status that become metrics."""

from typing import Any

import pytest


@pytest.fixture
def status() -> dict[str, Any]:
    """Return a status of a server at a degradation level."""
    return {
        "counters": {"out": {"delivered": 3, "turned_back": 1}, "leaving": {"": 1}},
        "beliefs": {"open": 2, "link_up": 1, "share-of.cpu": 0.5, "kept_disk": "good"},
        "times_ms": {"decide": 0.25, "decide_most": 4.0},
        "up_s": 12.5,
        "level": {"now": "slim", "for_s": 4.0, "why": "-", "state": "in", "in_none_s": 8.5, "in_slim_s": 4.0},
    }
