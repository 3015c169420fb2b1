"""The command `valeturn fleet ...`: requests to servers about their cluster, and fenced replacement of files.

The texts that it prints and its exit codes must not change.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterator, Mapping
from typing import Any, BinaryIO

from ..control import client, requests
from ..control.status_text import format_cluster_summary
from . import fencing

# Exit codes.
SUCCESS = 0
FAILURE = 1
USAGE = 2
STALE = 3  # the fencing token is lower than one that was used before
# Maximum lines of a command's output that are shown.
SHOWN_LINES = 5


def run(arguments: Mapping[str, Any]) -> int:
    """Run the command and return its exit code.

    Args:
        arguments: the command line as docopt parsed it.
    """
    if arguments["fenced-replace"]:
        return fenced_replace(arguments["FILE"], arguments["--fence"], sys.stdin.buffer)
    if arguments["status"]:
        return status(arguments["SOCKET"], arguments["--json"])
    action = next(word for word in requests.ClusterAction if arguments[word])
    if action == "revive" and not arguments["--i-know"]:
        print(
            "valeturn: revive gives up what a lost majority may have decided; --i-know says that none of its "
            "servers will come back as it was",
            file=sys.stderr,
        )
        return USAGE
    return send_request(arguments["SOCKET"], action, arguments["--to"] or arguments["NAME"])


def send_request(paths: list[str], action: str, server: str | None) -> int:
    """Send a request to each server by its control socket and print the answers.

    Returns:
        SUCCESS where all servers carried it out, else FAILURE.
    """
    request = {"do": "fleet", "what": action, "server": server}
    exit_code = SUCCESS
    for path in paths:
        answer = client.send_request(path, request)
        if answer["good"]:
            print(f"{path}: done")
        else:
            print(f"{path}: {answer['why']}", file=sys.stderr)
            exit_code = FAILURE
    return exit_code


def status(paths: list[str], as_json: bool) -> int:
    """Print the status of the cluster as reported by each server at its control socket.

    Returns:
        SUCCESS where all servers answered and know a leader, else FAILURE.
    """
    exit_code = SUCCESS
    for path in paths:
        answer = client.send_request(path, {"do": "status"})
        cluster = answer["status"].get("fleet") if answer["good"] else None
        if cluster is None:
            print(f"{path}: {'in no fleet' if answer['good'] else answer['why']}", file=sys.stderr)
            exit_code = FAILURE
            continue
        if cluster["owner"] is None:
            exit_code = FAILURE
        if as_json:
            print(json.dumps({path: cluster}, indent=2))
        else:
            print("\n".join(status_lines(answer["status"]["name"], cluster)))
    return exit_code


def status_lines(server: str, cluster: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines that show a server's status of its cluster."""
    yield f"{server}: {format_cluster_summary(cluster)}"
    yield f"  votes: {', '.join(cluster['voters']) or 'nobody yet'}"
    for member in cluster["members"]:
        yield _member_line(member)
    for name, task in cluster["duties"].items():
        yield from _task_lines(name, task)
    for row in cluster["owners"]:
        yield f"  {row['duty']} belongs to {row['owner']} under {row['fence']}"
    quota = cluster["share"]
    if quota is not None:
        yield f"  calls that may be out here: {quota['calls']:.2f} ({quota['from']})"
    split = cluster["split"]
    if split is not None:
        yield f"  split: {split['committed']:g} of {split['cap']:g} calls are given out"


def _member_line(member: Mapping[str, Any]) -> str:
    suspected_by = f", by the word of {member['accused_by']}" if member["accused_by"] else ""
    return (
        f"  {member['name']:<20} {member['state']} for {member['for_s']:.0f} s{suspected_by}, "
        f"{member['address']}, zone {member['zone']}"
    )


def _task_lines(name: str, task: Mapping[str, Any]) -> Iterator[str]:
    token = f", fence {task['fence']}" if task["state"] == "held" else ""
    yield f"  duty {name} ({task['does']}): {task['state']} for {task['for_s']:.0f} s{token}"
    if task["does"] != "run":
        return
    yield f"    {task['run']}, started {task['runs']} times here"
    last = task["last"]
    if last is None:
        return
    yield f"    last: {last['why']}, exit {last['code']}, {last['took']:.1f} s, fence {last['fence']}"
    for line in last["tail"].splitlines()[-SHOWN_LINES:]:
        yield f"      | {line}"


def fenced_replace(path: str, token_text: str | None, source: BinaryIO) -> int:
    """Replace a file with standard input under a fencing token.

    Args:
        path: the file.
        token_text: the token from the command line, or None for that of the environment.
        source: the stream with the file's new content.

    Returns:
        SUCCESS; STALE where a higher token was used; USAGE where the token is not a number; else FAILURE.
    """
    text = token_text if token_text is not None else os.environ.get("VALETURN_FENCE", "")
    if not text.isascii() or not text.isdigit() or int(text) > fencing.HIGHEST_TOKEN:
        print(f"valeturn: --fence or VALETURN_FENCE wants a number, has {text!r}", file=sys.stderr)
        return USAGE
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
        return FAILURE
    return SUCCESS
