"""`valeturn fleet out|back|turns|hold|go-on`: machines that go out for work."""

from __future__ import annotations

import json
import sys
import time

from ..control import client, requests
from ..operator_config.value_types import InvalidValueError, Quantity

REFUSED, OVERDUE = 3, 4  # exit codes


def seconds(given, name):
    """Of an option, or None. Raises Wants."""
    if given[name] is None:
        return None
    return Quantity("a time", 1.0, requests.MAX_MAINTENANCE_S).read(given[name])


def run(given):
    """The exit code for docopt's words."""
    path = given["SOCKET"][0] if isinstance(given["SOCKET"], list) else given["SOCKET"]
    if given["turns"]:
        return show(path, given["--json"])
    what = next(word for word in requests.MaintenanceAction if given[word])
    try:
        work, wait = seconds(given, "--work"), seconds(given, "--wait")
    except InvalidValueError as error:
        print(f"valeturn: {error.text}", file=sys.stderr)
        return 2
    names = [name.strip() for name in (given["NAMES"] or "").split(",") if name.strip()]
    request = {
        "do": "turns",
        "what": what,
        "servers": names,
        "zone": given["--zone"],
        "why": given["--for"] or "",
        "urgent": bool(given["--urgent"]),
    }
    got = client.send_request(path, {**request, **({} if work is None else {"work": work})}, 10.0)
    if not got["good"]:
        print(f"{path}: {got['why']}", file=sys.stderr)
        return REFUSED
    print(f"{path}: " + (f"{what}: {', '.join(got['servers'])}" if what in ("out", "back") else "done"))
    return until_empty(path, set(got["servers"]), wait) if what == "out" and wait is not None else 0


def turns_of(path):
    got = client.send_request(path, {"do": "status"})
    return got["status"].get("turns") if got["good"] else None


def until_empty(path, servers, wait):
    """Each of them has been empty, or is back already: seen at this server, or the next that is asked."""
    end, done = time.monotonic() + wait, set()
    while time.monotonic() < end:
        turns = turns_of(path)
        if turns is not None:
            states = {row["server"]: row for row in turns["rows"]}
            done |= {
                name
                for name in servers
                if name not in states or states[name]["state"] in ("in work", "coming back", "warming")
            }
            if any(states[name]["unwanted"] for name in servers - done):
                return REFUSED
            if done >= servers:
                return 0
        time.sleep(0.3)
    print(f"{path}: not empty in time: {', '.join(sorted(servers - done))}", file=sys.stderr)
    return OVERDUE


def show(path, as_json):
    turns = turns_of(path)
    if turns is None:
        print(f"{path}: no turns are configured, or it can't be asked", file=sys.stderr)
        return 1
    print(json.dumps(turns, indent=2) if as_json else "\n".join(human(turns)))
    return 0


def human(turns):
    """Who is out, who is next and why one waits, for a tired person."""
    lines = [
        f"owner {turns['owner'] or 'NONE'}"
        + (", turns are HELD: nobody else goes out" if turns["held"] else "")
    ]
    for row in turns["rows"]:
        since = "" if row["for_s"] is None else f" for {row['for_s']:.0f} s"
        lines.append(
            f"  {row['server']:<20} {row['state']}{since}"
            + (", LATE" if row["late"] else "")
            + (", taken back" if row["unwanted"] else "")
            + (", urgent" if row["urgent"] else "")
            + f" ({row['for']})"
            + (f": {row['why']}" if row["why"] else "")
        )
    return lines if turns["rows"] else [*lines, "  nobody has asked to go out"]
