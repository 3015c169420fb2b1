"""The requests of the control socket and their parser: one JSON object a line, without I/O.

{"do":"status"}
{"do":"hold","level":"slim","for":300.0}
{"do":"free"}

The keys and words of the JSON objects are a stable interface: operators' scripts send them.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias, TypeGuard

from .errors import InvalidRequestError

MAX_REQUEST_BYTES = 4096  # the longest requests in use are maintenance requests with many server names
MAX_LEVEL_HOLD_S = 86400.0  # a manual hold that was forgotten ends within a day
MAX_MAINTENANCE_S = 86400.0  # longer work on a machine has to be requested again
MAX_NAME_CHARACTERS = 64  # of the name of a server or a singleton task
FENCING_TOKEN_LIMIT = 2**63  # tokens are below it, so that each fits into a signed 64-bit integer

JsonObject: TypeAlias = dict[str, Any]

STATUS_FIELDS: JsonObject = {"do": "status"}
METRICS_FIELDS: JsonObject = {"do": "metrics"}
RELEASE_LEVEL_FIELDS: JsonObject = {"do": "free"}


class ClusterAction(StrEnum):
    """The action of a cluster request; its value is the word on the wire and on the command line."""

    TRANSFER_LEADERSHIP = "hand-over"
    LEAVE = "leave"
    FORCE_BOOTSTRAP = "revive"
    ADD_VOTER = "admit"
    REMOVE_VOTER = "dismiss"


class MaintenanceAction(StrEnum):
    """The action of a maintenance request; its value is the word on the wire and on the command line."""

    REQUEST_DRAIN = "out"
    WITHDRAW = "back"
    PAUSE_SCHEDULE = "hold"
    RESUME_SCHEDULE = "go-on"


# Actions on one server, whose name is required.
ACTIONS_ON_NAMED_SERVER = (ClusterAction.ADD_VOTER, ClusterAction.REMOVE_VOTER)


class StatusRequest(NamedTuple):
    """Asks for the server's status."""


class MetricsRequest(NamedTuple):
    """Asks for the metrics in Prometheus's text exposition format."""


class HoldLevelRequest(NamedTuple):
    """Holds a degradation level manually.

    Attributes:
        level: The name of the level in the operator's file.
        seconds: How long it is held; above 0 and at most `MAX_LEVEL_HOLD_S`.
    """

    level: str
    seconds: float


class ReleaseLevelRequest(NamedTuple):
    """Ends a manual hold of a degradation level."""


class ClusterRequest(NamedTuple):
    """Changes a server's role in the cluster.

    Attributes:
        action: The requested action.
        server: The name of the server that the action is about, or None for actions that need none.
    """

    action: ClusterAction
    server: str | None


class MaintenanceRequest(NamedTuple):
    """Enqueues servers in the drain schedule, withdraws them, or pauses the schedule.

    Attributes:
        action: The requested action.
        servers: Names of servers; empty for all servers of the zone, or of the cluster if there is no zone.
        zone: The zone whose servers the request is about, or None.
        reason: The operator's reason, which the schedule shows.
        urgent: Whether the servers are scheduled before those that are not urgent.
        work_s: How long the work takes, in seconds from 1 to `MAX_MAINTENANCE_S`; None for the configured
            time.
    """

    action: MaintenanceAction
    servers: tuple[str, ...]
    zone: str | None
    reason: str
    urgent: bool
    work_s: float | None


PlainRequest: TypeAlias = (
    StatusRequest
    | MetricsRequest
    | HoldLevelRequest
    | ReleaseLevelRequest
    | ClusterRequest
    | MaintenanceRequest
)


class FencedRequest(NamedTuple):
    """A request of a singleton task; it is rejected if a later lease holder has been seen.

    Attributes:
        task: The name of the singleton task.
        token: Its fencing token, which increases with each lease holder; below `FENCING_TOKEN_LIMIT`.
        request: The request of the task.
    """

    task: str
    token: int
    request: PlainRequest


ControlRequest: TypeAlias = PlainRequest | FencedRequest


def hold_level_fields(level: str, seconds: float) -> JsonObject:
    """Return the JSON object of a request to hold a level for so many seconds."""
    return {"do": "hold", "level": level, "for": seconds}


def parse_request(line: bytes) -> ControlRequest:
    """Return the request in one line.

    Raises:
        InvalidRequestError: The line is not a JSON object, or the object is not a valid request.
    """
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError):  # deep nesting exhausts the decoder's stack
        raise InvalidRequestError("wants a JSON object on one line") from None
    if not isinstance(fields, dict):
        raise InvalidRequestError("wants a JSON object on one line")
    request = _parse_plain_request(fields)
    fence = fields.get("fence")
    if fence is None:
        return request
    return _parse_fence(fence, request)


def _parse_plain_request(fields: JsonObject) -> PlainRequest:
    kind = fields.get("do")
    parse = _PARSERS.get(kind) if isinstance(kind, str) else None
    if parse is None:
        raise InvalidRequestError("do wants status, metrics, hold, free, fleet or turns")
    return parse(fields)


def _parse_fence(fence: object, request: PlainRequest) -> FencedRequest:
    if isinstance(fence, list) and len(fence) == 2:  # noqa: PLR2004 - a pair
        task, token = fence
        if _is_name(task) and _is_fencing_token(token):
            return FencedRequest(task, token, request)
    raise InvalidRequestError("fence wants the name of a duty and its number")


def _parse_status(fields: JsonObject) -> StatusRequest:
    return StatusRequest()


def _parse_metrics(fields: JsonObject) -> MetricsRequest:
    return MetricsRequest()


def _parse_release_level(fields: JsonObject) -> ReleaseLevelRequest:
    return ReleaseLevelRequest()


def _parse_hold_level(fields: JsonObject) -> HoldLevelRequest:
    level = fields.get("level")
    if not isinstance(level, str):
        raise InvalidRequestError("hold wants a level")
    seconds = fields.get("for")
    if not _is_finite_number(seconds) or not 0 < seconds <= MAX_LEVEL_HOLD_S:
        raise InvalidRequestError(f"for wants seconds up to {MAX_LEVEL_HOLD_S:g}")
    return HoldLevelRequest(level, float(seconds))


def _parse_cluster(fields: JsonObject) -> ClusterRequest:
    word = fields.get("what")
    server = fields.get("server")
    if word not in list(ClusterAction) or not _is_optional_text(server):
        raise InvalidRequestError(f"what wants one of {', '.join(ClusterAction)}")
    action = ClusterAction(word)
    if action in ACTIONS_ON_NAMED_SERVER and not server:
        raise InvalidRequestError(f"{action} wants a server")
    return ClusterRequest(action, server)


def _parse_maintenance(fields: JsonObject) -> MaintenanceRequest:
    word = fields.get("what")
    if word not in list(MaintenanceAction):
        raise InvalidRequestError(f"what wants one of {', '.join(MaintenanceAction)}")
    servers = fields.get("servers", [])
    if not isinstance(servers, list) or not all(_is_name(name) for name in servers):
        raise InvalidRequestError("servers wants a list of names")
    zone = fields.get("zone")
    reason = fields.get("why", "")
    urgent = fields.get("urgent", False)
    if not _is_optional_text(zone) or not isinstance(reason, str) or urgent not in (True, False):
        raise InvalidRequestError("zone and why want texts, urgent true or false")
    work_s = fields.get("work")
    if work_s is not None and not (_is_finite_number(work_s) and 1 <= work_s <= MAX_MAINTENANCE_S):
        raise InvalidRequestError(f"work wants seconds from 1 to {MAX_MAINTENANCE_S:g}")
    return MaintenanceRequest(MaintenanceAction(word), tuple(servers), zone, reason, bool(urgent), work_s)


def _is_optional_text(value: object) -> bool:
    return value is None or isinstance(value, str)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS


def _is_fencing_token(value: object) -> bool:
    # JSON's true and false are integers in Python.
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < FENCING_TOKEN_LIMIT


def _is_finite_number(value: object) -> TypeGuard[int | float]:
    # JSON's true and false are integers in Python, and its decoder reads 1e999 as infinity.
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # an integer that is too large for a float
        return False


_PARSERS: dict[str, Callable[[JsonObject], PlainRequest]] = {
    "status": _parse_status,
    "metrics": _parse_metrics,
    "hold": _parse_hold_level,
    "free": _parse_release_level,
    "fleet": _parse_cluster,
    "turns": _parse_maintenance,
}
