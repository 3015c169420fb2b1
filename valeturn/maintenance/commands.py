"""The commands `valeturn fleet out|back|turns|hold|go-on`: take servers into maintenance."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from ..control import client, requests
from ..operator_config.value_types import InvalidValueError, Quantity
from .records import STATE_TEXTS, RecordState

EXIT_UNREACHABLE = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_OVERDUE = 4

REQUEST_TIMEOUT = 10.0
"""Seconds for the server's answer: twice the time within which a request has to be committed."""
POLL_INTERVAL = 0.3
"""Seconds between two status requests."""
LISTING_ACTIONS = ("out", "back")
"""Actions whose answer lists the servers concerned."""
DRAINED_STATES = tuple(
    STATE_TEXTS[state]
    for state in (RecordState.IN_MAINTENANCE, RecordState.RETURNING, RecordState.WARMING_UP)
)
"""States in a server's status that follow the end of its drain."""


def parse_duration(arguments: dict[str, Any], option: str) -> float | None:
    """Return an option's duration in seconds, or None where it is not given.

    Raises:
        InvalidValueError: The text is not a duration, or it is out of range.
    """
    if arguments[option] is None:
        return None
    duration: float = Quantity("a time", 1.0, requests.MAX_MAINTENANCE_S).read(arguments[option])
    return duration


def run(arguments: dict[str, Any]) -> int:
    """Run the command that docopt parsed and return its exit code."""
    socket = arguments["SOCKET"]
    path = socket[0] if isinstance(socket, list) else socket
    if arguments["turns"]:
        return show(path, arguments["--json"])
    try:
        work_duration = parse_duration(arguments, "--work")
        wait_time = parse_duration(arguments, "--wait")
    except InvalidValueError as error:
        print(f"valeturn: {error.text}", file=sys.stderr)
        return EXIT_USAGE
    action = next(action for action in requests.MaintenanceAction if arguments[action])
    answer = client.send_request(path, build_request(arguments, action, work_duration), REQUEST_TIMEOUT)
    if not answer["good"]:
        print(f"{path}: {answer['why']}", file=sys.stderr)
        return EXIT_REFUSED
    done = f"{action}: {', '.join(answer['servers'])}" if action in LISTING_ACTIONS else "done"
    print(f"{path}: {done}")
    if action == "out" and wait_time is not None:
        return wait_until_drained(path, set(answer["servers"]), wait_time)
    return 0


def build_request(arguments: dict[str, Any], action: str, work_duration: float | None) -> dict[str, Any]:
    """Return the control request for an action."""
    names = [name.strip() for name in (arguments["NAMES"] or "").split(",")]
    request = {
        "do": "turns",
        "what": action,
        "servers": [name for name in names if name],
        "zone": arguments["--zone"],
        "why": arguments["--for"] or "",
        "urgent": bool(arguments["--urgent"]),
    }
    if work_duration is not None:
        request["work"] = work_duration
    return request


def maintenance_status(path: str) -> dict[str, Any] | None:
    """Return the status of maintenance, or None where the server can't be reached or has none."""
    answer = client.send_request(path, {"do": "status"})
    status: dict[str, Any] | None = answer["status"].get("turns") if answer["good"] else None
    return status


def wait_until_drained(path: str, servers: set[str], wait_time: float) -> int:
    """Wait until each server was drained, or has returned already, and return the exit code.

    Args:
        path: The path of the control socket.
        servers: The servers' names.
        wait_time: Seconds to wait at most.
    """
    deadline = time.monotonic() + wait_time
    drained: set[str] = set()
    while time.monotonic() < deadline:
        status = maintenance_status(path)
        if status is not None:
            records = {record["server"]: record for record in status["rows"]}
            drained |= {
                name for name in servers if name not in records or records[name]["state"] in DRAINED_STATES
            }
            if any(records[name]["unwanted"] for name in servers - drained):
                return EXIT_REFUSED
            if drained >= servers:
                return 0
        time.sleep(POLL_INTERVAL)
    print(f"{path}: not empty in time: {', '.join(sorted(servers - drained))}", file=sys.stderr)
    return EXIT_OVERDUE


def show(path: str, as_json: bool) -> int:
    """Print the status of maintenance and return the exit code."""
    status = maintenance_status(path)
    if status is None:
        print(f"{path}: no turns are configured, or it can't be asked", file=sys.stderr)
        return EXIT_UNREACHABLE
    print(json.dumps(status, indent=2) if as_json else "\n".join(status_lines(status)))
    return 0


def status_lines(status: dict[str, Any]) -> list[str]:
    """Return the lines of the status: the leader, the unavailable servers, and why others wait."""
    paused = ", turns are HELD: nobody else goes out" if status["held"] else ""
    lines = [f"owner {status['owner'] or 'NONE'}{paused}"]
    lines += [record_line(record) for record in status["rows"]]
    if not status["rows"]:
        lines.append("  nobody has asked to go out")
    return lines


def record_line(record: dict[str, Any]) -> str:
    """Return one request's line of the status."""
    duration = "" if record["for_s"] is None else f" for {record['for_s']:.0f} s"
    notes = [
        (record["late"], ", LATE"),
        (record["unwanted"], ", taken back"),
        (record["urgent"], ", urgent"),
    ]
    flags = "".join(text for applies, text in notes if applies)
    wait_reason = f": {record['why']}" if record["why"] else ""
    return f"  {record['server']:<20} {record['state']}{duration}{flags} ({record['for']}){wait_reason}"
