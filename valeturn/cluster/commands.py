"""`valeturn fleet ...`: what is asked of servers about their fleet, and what a duty's command uses."""

from __future__ import annotations

import os
import sys

from ..control import client, requests
from . import fencing

STALE = 3  # exit code: another has taken over


def run(given):
    """The exit code for docopt's words."""
    if given["fenced-replace"]:
        return fenced_replace(given["FILE"], given["--fence"], sys.stdin.buffer)
    paths = given["SOCKET"]
    if given["status"]:
        return status(paths, given["--json"])
    what = next(word for word in requests.FLEET if given[word])
    if what == "revive" and not given["--i-know"]:
        print(
            "valeturn: revive gives up what a lost majority may have decided; --i-know says that none of its "
            "servers will come back as it was",
            file=sys.stderr,
        )
        return 2
    request = {"do": "fleet", "what": what, "server": given["--to"] or given["NAME"]}
    worst = 0
    for path in paths:
        got = client.ask(path, request)
        print(
            f"{path}: {'done' if got['good'] else got['why']}", file=sys.stdout if got["good"] else sys.stderr
        )
        worst = worst or (0 if got["good"] else 1)
    return worst


def status(paths, as_json):
    """0 where all answered and know an owner."""
    good = True
    for path in paths:
        got = client.ask(path, {"do": "status"})
        fleet = got["status"].get("fleet") if got["good"] else None
        if fleet is None:
            print(f"{path}: {got['why'] if not got['good'] else 'in no fleet'}", file=sys.stderr)
            good = False
            continue
        good = good and fleet["owner"] is not None
        if as_json:
            import json

            print(json.dumps({path: fleet}, indent=2))
        else:
            print("\n".join(human(got["status"]["name"], fleet)))
    return 0 if good else 1


def human(name, fleet):
    lines = [
        f"{name}: {requests.fleet_line(fleet)}",
        f"  votes: {', '.join(fleet['voters']) or 'nobody yet'}",
    ]
    for member in fleet["members"]:
        why = f", by the word of {member['accused_by']}" if member["accused_by"] else ""
        lines.append(
            f"  {member['name']:<20} {member['state']} for {member['for_s']:.0f} s{why}, "
            f"{member['address']}, zone {member['zone']}"
        )
    for name, duty in fleet["duties"].items():
        lines.append(
            f"  duty {name} ({duty['does']}): {duty['state']} for {duty['for_s']:.0f} s"
            + (f", fence {duty['fence']}" if duty["state"] == "held" else "")
        )
        if duty["does"] == "run":
            lines.append(f"    {duty['run']}, started {duty['runs']} times here")
            last = duty["last"]
            if last is not None:
                lines.append(
                    f"    last: {last['why']}, exit {last['code']}, {last['took']:.1f} s, "
                    f"fence {last['fence']}"
                )
                lines += [f"      | {line}" for line in last["tail"].splitlines()[-5:]]
    for row in fleet["owners"]:
        lines.append(f"  {row['duty']} belongs to {row['owner']} under {row['fence']}")
    if fleet["share"] is not None:
        lines.append(
            f"  calls that may be out here: {fleet['share']['calls']:.2f} ({fleet['share']['from']})"
        )
    if fleet["split"] is not None:
        lines.append(
            f"  split: {fleet['split']['committed']:g} of {fleet['split']['cap']:g} calls are given out"
        )
    return lines


def fenced_replace(path, fence, source):
    """Replaces a file with standard input, unless a higher number was there: exit code 3 then."""
    text = fence if fence is not None else os.environ.get("VALETURN_FENCE", "")
    if not text.isascii() or not text.isdigit() or int(text) > fencing.HIGHEST_TOKEN:
        print(f"valeturn: --fence or VALETURN_FENCE wants a number, has {text!r}", file=sys.stderr)
        return 2
    try:
        fencing.replace_file(path, source.read(), int(text))
    except fencing.StaleTokenError as stale:
        print(
            f"valeturn: {path}: {stale.token} is lower than {stale.highest_seen}, which was there already",
            file=sys.stderr,
        )
        return STALE
    except OSError as error:
        print(f"valeturn: {path}: {error}", file=sys.stderr)
        return 1
    return 0
