"""Asks servers from a shell: `valeturn status`, `valeturn level`."""

from __future__ import annotations

import json
import socket
import sys

from . import requests

PATIENCE = 3.0  # s for an answer


def ask(path, request, patience=PATIENCE):
    """The answer as an object; one that says why there is none, where the server can't be asked."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(patience)
            sock.connect(path)
            sock.sendall(json.dumps(request).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                more = sock.recv(65536)
                if not more:
                    break
                data += more
        return json.loads(data)
    except (OSError, ValueError) as error:
        return {"good": False, "why": f"can't be asked: {error}"}


def status(paths, as_json):
    """0 where all answered, 1 where one did not."""
    answers = {path: ask(path, {"do": "status"}) for path in paths}
    if as_json:
        print(
            json.dumps(
                {path: got.get("status", {"why": got.get("why")}) for path, got in answers.items()}, indent=2
            )
        )
    for path, got in answers.items():
        if not as_json:
            print(requests.human(path, got["status"]) if got["good"] else f"{path}: {got['why']}")
    return 0 if all(got["good"] for got in answers.values()) else 1


def metrics(path):
    got = ask(path, {"do": "metrics"})
    print(
        got["text"] if got["good"] else got["why"],
        end="" if got["good"] else "\n",
        file=sys.stdout if got["good"] else sys.stderr,
    )
    return 0 if got["good"] else 1


def level(paths, name, seconds):
    """Holds a level, or frees what is held where there is no name."""
    request = {"do": "free"} if name is None else {"do": "hold", "level": name, "for": seconds}
    worst = 0
    for path in paths:
        got = ask(path, request)
        print(
            f"{path}: {'done' if got['good'] else got['why']}", file=sys.stdout if got["good"] else sys.stderr
        )
        worst = worst or (0 if got["good"] else 1)
    return worst
