"""`valeturn top`: a table with the status of several servers, refreshed every second.

It needs an optional dependency, textual: `pip install -r requirements-terminal.txt`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

from textual.app import App, ComposeResult
from textual.widgets import DataTable, Footer, Static

from .client import send_request
from .requests import STATUS_FIELDS, JsonObject
from .server_status import NO_LEVEL, ServerStatus, decode_status

COLUMNS = (
    "server",
    "level",
    "for s",
    "open",
    "owed",
    "running",
    "at calls",
    "delivered/s",
    "turned back/s",
    "written off/s",
    "cpu %",
    "kept keys",
    "owner",
    "state",
)
REFRESH_INTERVAL_S = 1.0  # people read no faster, and each refresh makes every server render its status
MAX_REASON_CHARACTERS = 60  # a longer reason why a server can't be reached is cut: the table stays narrow


def status_row(
    path: str, answer: JsonObject, status: ServerStatus | None, previous: ServerStatus | None
) -> list[str]:
    """Return the cells of one server's row, in the order of `COLUMNS`.

    Args:
        path: The path of the server's control socket.
        answer: The answer to the status request.
        status: The status in that answer, or None if there is none.
        previous: The status at the previous refresh, for rates per second; None if there was none.
    """
    if status is None:
        reason = answer.get("why", "no answer")[:MAX_REASON_CHARACTERS]
        return [path, *[""] * (len(COLUMNS) - 2), reason]
    level = status.level
    counts = status.requests
    store = status.result_store
    leader = status.cluster.get("owner") if status.cluster is not None else None
    return [
        status.name,
        level.name if level is not None else "-",
        f"{level.seconds:.0f}" if level is not None else "-",
        str(counts.pending),
        str(counts.unanswered),
        str(counts.running),
        str(counts.at_downstream_calls),
        format_rate("delivered", status, previous),
        format_rate("turned_back", status, previous),
        format_rate("written_off", status, previous),
        f"{100 * status.cpu_share:.0f}",
        str(store.keys) if store is not None else "-",
        leader or "-",
        server_state(status),
    ]


def format_rate(outcome: str, status: ServerStatus, previous: ServerStatus | None) -> str:
    """Return how many requests per second had an outcome since the previous refresh, or "-" if it is unknown.

    A server that was restarted in between counts from zero again: its rate is unknown if its uptime has
    become shorter, and never below 0.
    """
    if previous is None:
        return "-"
    elapsed_s = status.uptime_s - previous.uptime_s
    if elapsed_s <= 0:
        return "-"
    increase = status.outcomes.get(outcome, 0) - previous.outcomes.get(outcome, 0)
    return f"{max(0, increase) / elapsed_s:.1f}"


def server_state(status: ServerStatus) -> str:
    """Return the most important condition of a server in one or two words."""
    if status.draining:
        return "leaving"
    if not status.executor_connected:
        return "executor down"
    return "good" if status.healthy else "not good"


def level_reasons(statuses: Iterable[ServerStatus | None]) -> str:
    """Return a line with the reason for each server at a degradation level."""
    lines = [
        f"{status.name}: {status.level.name} because {status.level.reason}"
        for status in statuses
        if status is not None and status.level is not None and status.level.name != NO_LEVEL
    ]
    return "\n".join(lines) or "no server is at a level of reduced service"


def status_of(answer: JsonObject) -> ServerStatus | None:
    """Return the status in an answer, or None if the server could not be reached."""
    return decode_status(answer["status"]) if answer.get("good") else None


class StatusTableApp(App[None]):
    """The terminal application.

    Attributes:
        paths: The control sockets of the servers.
        previous: The status of each server at the last refresh, by path.
    """

    TITLE = "valeturn"
    BINDINGS = [("q", "quit", "Quit")]

    def __init__(self, paths: Sequence[str]) -> None:
        super().__init__()
        self.paths = paths
        self.previous: dict[str, ServerStatus | None] = {}

    def compose(self) -> ComposeResult:
        """Yield the table, the reasons for degradation levels, and the footer with the key bindings."""
        yield DataTable(cursor_type="none")
        yield Static(id="why")
        yield Footer()

    async def on_mount(self) -> None:
        """Fill the table and start refreshing it."""
        self.query_one(DataTable).add_columns(*COLUMNS)
        self.set_interval(REFRESH_INTERVAL_S, self.refresh_table)
        await self.refresh_table()

    async def refresh_table(self) -> None:
        """Query all servers in parallel and show their answers."""
        answers = await asyncio.gather(
            *(asyncio.to_thread(send_request, path, STATUS_FIELDS) for path in self.paths)
        )
        statuses = [status_of(answer) for answer in answers]
        table: DataTable[Any] = self.query_one(DataTable)
        table.clear()
        for path, answer, status in zip(self.paths, answers, statuses, strict=True):
            table.add_row(*status_row(path, answer, status, self.previous.get(path)))
            self.previous[path] = status
        self.query_one("#why", Static).update(level_reasons(statuses))


def run(paths: Sequence[str]) -> int:
    """Run the terminal application until the user quits; return the exit code 0."""
    StatusTableApp(paths).run()
    return 0
