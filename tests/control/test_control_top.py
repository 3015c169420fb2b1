"""The table of several servers' statuses in the terminal."""

import asyncio
from typing import Any

import pytest

from valeturn.control.server_status import decode_status

top = pytest.importorskip("valeturn.control.top")
UNREACHABLE = {"good": False, "why": "can't be asked"}


def test_row_shows_rates_since_the_last_refresh(status: dict[str, Any]) -> None:
    previous = decode_status({**status, "up_s": 10.0, "out": {"delivered": 10}})
    answer = {"good": True, "status": status}
    row = top.status_row("p", answer, top.status_of(answer), previous)
    shown = dict(zip(top.COLUMNS, row, strict=True))
    assert (shown["level"], shown["delivered/s"], shown["turned back/s"], shown["state"]) == (
        "slim",
        "10.0",
        "2.0",
        "good",
    )


def test_row_of_unreachable_server_ends_with_the_reason() -> None:
    row = top.status_row("p", UNREACHABLE, top.status_of(UNREACHABLE), None)
    assert len(row) == len(top.COLUMNS)
    assert row[-1] == "can't be asked"


def test_reasons_name_servers_at_a_level(status: dict[str, Any]) -> None:
    statuses = [decode_status(status), None]
    assert top.level_reasons(statuses) == "n3: slim because calls.failing > 20 %"
    undegraded = decode_status({**status, "level": {**status["level"], "now": "none"}})
    assert top.level_reasons([undegraded, None]) == "no server is at a level of reduced service"


@pytest.mark.parametrize(
    ("changes", "gauges", "state"),
    [
        ({"leaving": True}, {"link_up": 0, "good": 0}, "leaving"),
        ({}, {"link_up": 0, "good": 0}, "executor down"),
        ({}, {"good": 0}, "not good"),
        ({}, {}, "good"),
    ],
)
def test_state_is_the_most_important_condition(
    status: dict[str, Any], changes: dict[str, Any], gauges: dict[str, int], state: str
) -> None:
    changed = {**status, **changes, "beliefs": {**status["beliefs"], **gauges}}
    assert top.server_state(decode_status(changed)) == state


def test_rate_is_unknown_without_a_status_before_it(status: dict[str, Any]) -> None:
    now = decode_status(status)
    assert top.format_rate("delivered", now, None) == "-"
    assert top.format_rate("delivered", now, now) == "-"
    restarted = decode_status({**status, "up_s": 1.0})
    assert top.format_rate("delivered", restarted, now) == "-"


def test_table_shows_reachable_and_unreachable_servers(
    status: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    answers = {"here": {"good": True, "status": status}, "gone": UNREACHABLE}
    monkeypatch.setattr(top, "send_request", lambda path, fields: answers[path])

    async def read_first_cells() -> list[str]:
        app = top.StatusTableApp(["here", "gone"])
        async with app.run_test() as pilot:
            await pilot.pause()
            table = app.query_one(top.DataTable)
            return [table.get_row_at(number)[0] for number in range(table.row_count)]

    assert asyncio.run(read_first_cells()) == ["n3", "gone"]
