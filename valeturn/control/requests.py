"""Requests and answers: one JSON object a line, both ways. No I/O.

{"do":"status"}                               {"good":true,"status":{...}}
{"do":"hold","level":"slim","for":300.0}      {"good":true}
{"do":"free"}                                 {"good":false,"why":"no level is held by hand"}
"""

from __future__ import annotations

import json
import math
from typing import NamedTuple

MOST = 4096  # bytes of a request: the longest has a level's name
LONGEST_HOLD = 86400.0  # s: whatever is held by hand ends within a day


class Status(NamedTuple):
    pass


class Hold(NamedTuple):
    level: str
    seconds: float


class Free(NamedTuple):
    pass


class Metrics(NamedTuple):
    pass


class Fleet(NamedTuple):
    """What is asked of a server's part of the fleet."""

    what: str
    server: str | None


class Turns(NamedTuple):
    """What is asked about machines that go out for work."""

    what: str
    servers: tuple
    zone: str | None
    why: str
    urgent: bool
    work: float | None  # s


class Fenced(NamedTuple):
    """A request under a number that only rises, of one who acts for the fleet."""

    name: str
    number: int
    request: object


class Bad(NamedTuple):
    why: str


FLEET = ("hand-over", "leave", "revive", "admit", "dismiss")
TURNS = ("out", "back", "hold", "go-on")
MOST_WORK = 86400.0  # s
NAMING = ("admit", "dismiss")  # these want a server's name
PLAIN = {"status": Status, "free": Free, "metrics": Metrics}


def read(line):
    """The request of a line, or Bad with what is wrong."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        return Bad("wants a JSON object on one line")
    if not isinstance(raw, dict):
        return Bad("wants a JSON object on one line")
    request, fence = _request(raw), raw.get("fence")
    if fence is None or isinstance(request, Bad):
        return request
    pair = isinstance(fence, list) and len(fence) == 2
    if not (
        pair
        and isinstance(fence[0], str)
        and 0 < len(fence[0]) <= 64
        and isinstance(fence[1], int)
        and not isinstance(fence[1], bool)
        and 0 <= fence[1] < 2**63
    ):
        return Bad("fence wants the name of a duty and its number")
    return Fenced(*fence, request)


def _request(raw):
    what = raw.get("do")
    if isinstance(what, str) and what in PLAIN:
        return PLAIN[what]()
    if what == "hold":
        level, seconds = raw.get("level"), raw.get("for")
        if not isinstance(level, str):
            return Bad("hold wants a level")
        number = isinstance(seconds, (int, float)) and not isinstance(seconds, bool)
        if not number or not math.isfinite(seconds) or not 0 < seconds <= LONGEST_HOLD:
            return Bad(f"for wants seconds up to {LONGEST_HOLD:g}")
        return Hold(level, float(seconds))
    if what == "fleet":
        asked, server = raw.get("what"), raw.get("server")
        if asked not in FLEET or server is not None and not isinstance(server, str):
            return Bad(f"what wants one of {', '.join(FLEET)}")
        if asked in NAMING and not server:
            return Bad(f"{asked} wants a server")
        return Fleet(asked, server)
    if what == "turns":
        return _turns(raw)
    return Bad("do wants status, metrics, hold, free, fleet or turns")


def _turns(raw):
    asked, servers, zone, why = raw.get("what"), raw.get("servers", []), raw.get("zone"), raw.get("why", "")
    work, urgent = raw.get("work"), raw.get("urgent", False)
    if asked not in TURNS:
        return Bad(f"what wants one of {', '.join(TURNS)}")
    names = isinstance(servers, list) and all(isinstance(one, str) and 0 < len(one) <= 64 for one in servers)
    if not names:
        return Bad("servers wants a list of names")
    if not (zone is None or isinstance(zone, str)) or not isinstance(why, str) or urgent not in (True, False):
        return Bad("zone and why want texts, urgent true or false")
    number = isinstance(work, (int, float)) and not isinstance(work, bool)
    if work is not None and not (number and math.isfinite(work) and 1 <= work <= MOST_WORK):
        return Bad(f"work wants seconds from 1 to {MOST_WORK:g}")
    return Turns(asked, tuple(servers), zone, why, urgent, work)


def good(**more):
    return (json.dumps({"good": True, **more}, separators=(",", ":")) + "\n").encode()


def refused(why):
    return (json.dumps({"good": False, "why": why}) + "\n").encode()


class Lines:
    """Cuts what is read into lines; None once one is too long."""

    def __init__(self):
        self.held = bytearray()

    def feed(self, data):
        self.held += data
        *whole, rest = bytes(self.held).split(b"\n")
        if len(rest) > MOST or any(len(line) > MOST for line in whole):
            return None
        self.held = bytearray(rest)
        return whole


def fleet_line(fleet):
    """One line of a server's part of its fleet."""
    alive = sum(member["state"] in ("alive", "suspected") for member in fleet["members"])
    left = fleet["lease_left_s"]
    return (
        f"fleet {fleet['name']}: {alive} there, owner {fleet['owner'] or 'NONE'}"
        + ("" if left is None else f" (this server, lease left {left:g} s)")
        + f", term {fleet['term']}, fence {fleet['fence']}, {fleet['role']}"
    )


def human(name, status):
    """A server's status for a person: what level and why comes first."""
    level, out = status.get("level"), status.get("out", {})
    lines = [
        f"{name}: {status['name']} {status['version']}, up {status['up_s']:.0f} s"
        + (", leaving" if status["leaving"] else "")
    ]
    if level is None:
        lines.append("  level: none configured")
    else:
        why = f" because {level['why']}" if level["why"] != "-" else ""
        lines.append(
            f"  level: {level['now']} for {level['for_s']:.0f} s{why}"
            + (" (by hand)" if level["state"] == "pinned" else "")
        )
    beliefs = status["beliefs"]
    lines.append(
        f"  open {beliefs['open']}, owed {beliefs['owed']}, running {beliefs['running']}, "
        f"at calls {beliefs['at_calls']}, in doubt {beliefs['in_doubt']}, calls out {beliefs['calls_out']}"
    )
    lines.append(
        "  "
        + (
            ", ".join(f"{kind.replace('_', ' ')} {count}" for kind, count in sorted(out.items()))
            or "nothing answered yet"
        )
    )
    lines.append(
        f"  executor {'up' if beliefs['link_up'] else 'DOWN'}, health "
        f"{'good' if beliefs['good'] else 'NOT GOOD'}, cpu {100 * beliefs['cpu_share']:.0f} %, "
        f"connections {beliefs['connections']}"
    )
    if status.get("fleet"):
        lines.append("  " + fleet_line(status["fleet"]))
    if "kept_keys" in beliefs:
        lines.append(
            f"  kept keys {beliefs['kept_keys']}, log {beliefs['kept_log_mb']:.1f} MB, "
            f"disk {beliefs['kept_disk']}"
        )
    return "\n".join(lines)
