"""Decodes a server's status from the JSON object that its control socket returns.

The keys of the JSON object are a stable interface; `valeturn status` and `valeturn top` read them through
this module.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

NO_REASON = "-"  # placeholder for the reason of a level that has none
NO_LEVEL = "none"  # the name of the level without degradation


class LevelStatus(NamedTuple):
    """The degradation level of a server.

    Attributes:
        name: The level's name in the operator's file, or `NO_LEVEL`.
        seconds: Seconds since the server entered the level.
        reason: The signals that led to the level, or `NO_REASON`.
        held_manually: Whether an operator holds it.
    """

    name: str
    seconds: float
    reason: str
    held_manually: bool


class RequestCounts(NamedTuple):
    """How many requests a server has in each state.

    Attributes:
        pending: Requests that the server still keeps a record of.
        unanswered: Requests whose caller has no final answer yet.
        running: Requests that an executor works on.
        at_downstream_calls: Running requests that wait for the shared dependency.
        in_doubt: Requests for which it is not known whether they took effect.
        downstream_calls: Calls on the shared dependency that are not answered yet.
    """

    pending: int
    unanswered: int
    running: int
    at_downstream_calls: int
    in_doubt: int
    downstream_calls: int


class ResultStoreStatus(NamedTuple):
    """The state of a server's result store.

    Attributes:
        keys: How many idempotency keys have a stored result.
        log_mb: The size of its log on disk in megabytes.
        disk: The state of the disk.
    """

    keys: int
    log_mb: float
    disk: str


class ServerStatus(NamedTuple):
    """The status of one server, as the commands show it.

    Attributes:
        name: The server's name.
        version: The version of valeturn that it runs.
        uptime_s: Seconds since its start.
        draining: Whether it is shutting down gracefully.
        level: Its degradation level, or None if no levels are configured.
        outcomes: How many requests had each outcome since the start, by the outcome's counter name.
        requests: How many requests are in each state.
        executor_connected: Whether it is connected to its executor.
        healthy: Whether it reports good health to its load balancer.
        cpu_share: The share of its cores that is busy, from 0 to 1.
        connections: How many connections of gateways are open.
        cluster: The JSON object with its view of the cluster, or None if it is in no cluster.
        result_store: Its result store, or None if none is configured.
    """

    name: str
    version: str
    uptime_s: float
    draining: bool
    level: LevelStatus | None
    outcomes: Mapping[str, int]
    requests: RequestCounts
    executor_connected: bool
    healthy: bool
    cpu_share: float
    connections: int
    cluster: Mapping[str, Any] | None
    result_store: ResultStoreStatus | None


def decode_status(status: Mapping[str, Any]) -> ServerStatus:
    """Return the status that a JSON object contains.

    Raises:
        KeyError: The object lacks a key that every server sends.
    """
    gauges = status["beliefs"]
    return ServerStatus(
        name=status["name"],
        version=status["version"],
        uptime_s=status["up_s"],
        draining=bool(status["leaving"]),
        level=_decode_level(status.get("level")),
        outcomes=status.get("out", {}),
        requests=RequestCounts(
            pending=gauges["open"],
            unanswered=gauges["owed"],
            running=gauges["running"],
            at_downstream_calls=gauges["at_calls"],
            in_doubt=gauges["in_doubt"],
            downstream_calls=gauges["calls_out"],
        ),
        executor_connected=bool(gauges["link_up"]),
        healthy=bool(gauges["good"]),
        cpu_share=gauges["cpu_share"],
        connections=gauges["connections"],
        cluster=status.get("fleet") or None,
        result_store=_decode_result_store(gauges),
    )


def _decode_level(level: Mapping[str, Any] | None) -> LevelStatus | None:
    if level is None:
        return None
    return LevelStatus(level["now"], level["for_s"], level["why"], level["state"] == "pinned")


def _decode_result_store(gauges: Mapping[str, Any]) -> ResultStoreStatus | None:
    if "kept_keys" not in gauges:
        return None
    return ResultStoreStatus(gauges["kept_keys"], gauges["kept_log_mb"], gauges["kept_disk"])
