"""The client of the control socket: `valeturn status`, `valeturn metrics` and `valeturn level`."""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from .requests import METRICS_FIELDS, RELEASE_LEVEL_FIELDS, STATUS_FIELDS, JsonObject, hold_level_fields
from .server_status import decode_status
from .status_text import format_status

ANSWER_TIMEOUT_S = 3.0  # long enough for a busy event loop, and short for a person who waits
READ_BYTES = 65536  # at most, in one read


def send_request(path: str, fields: Mapping[str, Any], timeout_s: float = ANSWER_TIMEOUT_S) -> JsonObject:
    """Send one request to the control socket at a path and return the JSON object of its answer.

    The answer has "good" true with the requested fields, or "good" false with the reason under "why". The
    latter is also returned if the server can't be reached, so that a command on several servers continues.

    Args:
        path: The path of the server's control socket.
        fields: The JSON object of the request.
        timeout_s: Seconds that connecting, sending and each read may take.
    """
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
            connection.settimeout(timeout_s)
            connection.connect(path)
            connection.sendall(json.dumps(fields).encode() + b"\n")
            answer: JsonObject = json.loads(_receive_line(connection))
            return answer
    except (OSError, ValueError) as error:
        return {"good": False, "why": f"can't be asked: {error}"}


def _receive_line(connection: socket.socket) -> bytes:
    """Return the bytes up to the first line end, or up to the end of the connection."""
    line = b""
    while not line.endswith(b"\n"):
        received = connection.recv(READ_BYTES)
        if not received:
            break
        line += received
    return line


def print_status(paths: Sequence[str], as_json: bool) -> int:
    """Print the status of each server; return the exit code 0 if all answered, else 1."""
    answers = {path: send_request(path, STATUS_FIELDS) for path in paths}
    if as_json:
        by_path = {path: answer.get("status", {"why": answer.get("why")}) for path, answer in answers.items()}
        print(json.dumps(by_path, indent=2))
    else:
        for path, answer in answers.items():
            if answer["good"]:
                print(format_status(path, decode_status(answer["status"])))
            else:
                print(f"{path}: {answer['why']}")
    return 0 if all(answer["good"] for answer in answers.values()) else 1


def print_metrics(path: str) -> int:
    """Print a server's metrics, or on standard error why there are none; return the exit code 0 or 1."""
    answer = send_request(path, METRICS_FIELDS)
    if answer["good"]:
        print(answer["text"], end="")
        return 0
    print(answer["why"], file=sys.stderr)
    return 1


def hold_level(paths: Sequence[str], level: str, seconds: float) -> int:
    """Hold a degradation level on each server; return the exit code 0 if all did so, else 1."""
    return _send_to_all(paths, hold_level_fields(level, seconds))


def release_level(paths: Sequence[str]) -> int:
    """End a manual hold on each server; return the exit code 0 if all did so, else 1."""
    return _send_to_all(paths, RELEASE_LEVEL_FIELDS)


def _send_to_all(paths: Sequence[str], fields: JsonObject) -> int:
    exit_code = 0
    for path in paths:
        answer = send_request(path, fields)
        if answer["good"]:
            print(f"{path}: done")
        else:
            print(f"{path}: {answer['why']}", file=sys.stderr)
            exit_code = 1
    return exit_code
