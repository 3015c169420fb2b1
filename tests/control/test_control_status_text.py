"""A server's status as text for people."""

from typing import Any

import pytest

from valeturn.control.server_status import decode_status
from valeturn.control.status_text import format_status

FIRST_LINE = "p: n3 0.3.0, up 12 s"
CLUSTER = {
    "name": "lab",
    "members": [{"state": "alive"}, {"state": "suspected"}, {"state": "dead"}],
    "owner": "n3",
    "lease_left_s": 0.5,
    "term": 4,
    "fence": 9,
    "role": "owner",
}


def test_status_of_server_at_a_level_says_why(status: dict[str, Any]) -> None:
    assert format_status("p", decode_status(status)).splitlines() == [
        FIRST_LINE,
        "  level: slim for 4 s because calls.failing > 20 %",
        "  open 3, owed 2, running 1, at calls 1, in doubt 0, calls out 1",
        "  delivered 30, turned back 4",
        "  executor up, health good, cpu 25 %, connections 9",
    ]


def test_status_of_server_with_all_components(status: dict[str, Any]) -> None:
    store = {"kept_keys": 7, "kept_log_mb": 1.25, "kept_disk": "good"}
    gauges = {**status["beliefs"], **store, "link_up": 0, "good": 0}
    level = {**status["level"], "why": "-", "state": "pinned"}
    full = {**status, "leaving": True, "out": {}, "beliefs": gauges, "level": level, "fleet": CLUSTER}
    assert format_status("p", decode_status(full)).splitlines() == [
        FIRST_LINE + ", leaving",
        "  level: slim for 4 s (by hand)",
        "  open 3, owed 2, running 1, at calls 1, in doubt 0, calls out 1",
        "  nothing answered yet",
        "  executor DOWN, health NOT GOOD, cpu 25 %, connections 9",
        "  fleet lab: 2 there, owner n3 (this server, lease left 0.5 s), term 4, fence 9, owner",
        "  kept keys 7, log 1.2 MB, disk good",
    ]


def test_status_of_server_without_levels(status: dict[str, Any]) -> None:
    lines = format_status("p", decode_status({**status, "level": None})).splitlines()
    assert lines[1] == "  level: none configured"


@pytest.mark.parametrize("state", ["in", "trial"])
def test_level_is_held_manually_only_while_pinned(status: dict[str, Any], state: str) -> None:
    decoded = decode_status({**status, "level": {**status["level"], "state": state}})
    assert not decoded.level.held_manually
