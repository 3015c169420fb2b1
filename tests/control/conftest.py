"""The status of a server at a degradation level, as its control socket returns it."""

from typing import Any

import pytest


@pytest.fixture
def status() -> dict[str, Any]:
    """Return a status without a result store and a cluster."""
    return {
        "name": "n3",
        "version": "0.3.0",
        "up_s": 12.0,
        "leaving": False,
        "out": {"delivered": 30, "turned_back": 4},
        "beliefs": {
            "open": 3,
            "owed": 2,
            "running": 1,
            "at_calls": 1,
            "in_doubt": 0,
            "calls_out": 1,
            "link_up": 1,
            "good": 1,
            "cpu_share": 0.25,
            "connections": 9,
        },
        "level": {"now": "slim", "for_s": 4.0, "why": "calls.failing > 20 %", "state": "in"},
    }
