"""`valeturn top`: several servers at a glance, asked once a second. An extra: pip install -r
requirements-terminal.txt."""

from __future__ import annotations

import asyncio

from textual.app import App
from textual.widgets import DataTable, Footer, Static

from .client import ask

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
EVERY = 1.0  # s between looks


def row(path, got, before, seconds):
    """What is shown of one server; before: the status of the look before, for what happens a second."""
    if not got.get("good"):
        return [path] + [""] * (len(COLUMNS) - 2) + [got.get("why", "no answer")[:60]]
    now, beliefs, level = got["status"], got["status"]["beliefs"], got["status"]["level"]

    def rate(kind):
        if before is None or seconds <= 0:
            return "-"
        grown = now["out"].get(kind, 0) - before["out"].get(kind, 0)
        return f"{max(0, grown) / seconds:.1f}"

    state = (
        "leaving"
        if now["leaving"]
        else "executor down"
        if not beliefs["link_up"]
        else ("not good" if not beliefs["good"] else "good")
    )
    return [
        now["name"],
        level["now"] if level else "-",
        f"{level['for_s']:.0f}" if level else "-",
        str(beliefs["open"]),
        str(beliefs["owed"]),
        str(beliefs["running"]),
        str(beliefs["at_calls"]),
        rate("delivered"),
        rate("turned_back"),
        rate("written_off"),
        f"{100 * beliefs['cpu_share']:.0f}",
        str(beliefs.get("kept_keys", "-")),
        (now.get("fleet") or {}).get("owner") or "-",
        state,
    ]


def whys(answers):
    """Why each server that is at a level is there."""
    lines = [
        f"{got['status']['name']}: {got['status']['level']['now']} because {got['status']['level']['why']}"
        for got in answers
        if got.get("good") and got["status"]["level"] and got["status"]["level"]["now"] != "none"
    ]
    return "\n".join(lines) or "no server is at a level of reduced service"


class Top(App):
    TITLE = "valeturn"
    BINDINGS = [("q", "quit", "Quit")]

    def __init__(self, paths):
        super().__init__()
        self.paths, self.before = paths, {}

    def compose(self):
        yield DataTable(cursor_type="none")
        yield Static(id="why")
        yield Footer()

    async def on_mount(self):
        self.query_one(DataTable).add_columns(*COLUMNS)
        self.set_interval(EVERY, self.look)
        await self.look()

    async def look(self):
        answers = await asyncio.gather(
            *(asyncio.to_thread(ask, path, {"do": "status"}) for path in self.paths)
        )
        table = self.query_one(DataTable)
        table.clear()
        for path, got in zip(self.paths, answers):
            status = got.get("status")
            before = self.before.get(path)
            seconds = status["up_s"] - before["up_s"] if status and before else 0.0
            table.add_row(*row(path, got, before, seconds))
            self.before[path] = status
        self.query_one("#why", Static).update(whys(answers))


def main(paths):
    Top(paths).run()
    return 0
