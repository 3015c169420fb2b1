"""Renders a server's status as text for people; the texts are a stable interface."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .server_status import NO_REASON, LevelStatus, RequestCounts, ServerStatus

ALIVE_STATES = ("alive", "suspected")  # a suspected member counts until it is declared dead


def format_status(label: str, status: ServerStatus) -> str:
    """Return the lines about one server: its degradation level and the reason come first.

    Args:
        label: The text before the server's name: the path of its control socket.
        status: The server's status.
    """
    draining = ", leaving" if status.draining else ""
    lines = [
        f"{label}: {status.name} {status.version}, up {status.uptime_s:.0f} s{draining}",
        _format_level(status.level),
        _format_request_counts(status.requests),
        _format_outcomes(status.outcomes),
        _format_health(status),
    ]
    if status.cluster is not None:
        lines.append("  " + format_cluster_summary(status.cluster))
    store = status.result_store
    if store is not None:
        lines.append(f"  kept keys {store.keys}, log {store.log_mb:.1f} MB, disk {store.disk}")
    return "\n".join(lines)


def format_cluster_summary(cluster: Mapping[str, Any]) -> str:
    """Return one line about a server's view of its cluster, from the JSON object of its status."""
    alive = sum(member["state"] in ALIVE_STATES for member in cluster["members"])
    leader = cluster["owner"] or "NONE"
    lease_left_s = cluster["lease_left_s"]
    lease = "" if lease_left_s is None else f" (this server, lease left {lease_left_s:g} s)"
    return (
        f"fleet {cluster['name']}: {alive} there, owner {leader}{lease}, "
        f"term {cluster['term']}, fence {cluster['fence']}, {cluster['role']}"
    )


def _format_level(level: LevelStatus | None) -> str:
    if level is None:
        return "  level: none configured"
    reason = "" if level.reason == NO_REASON else f" because {level.reason}"
    manually = " (by hand)" if level.held_manually else ""
    return f"  level: {level.name} for {level.seconds:.0f} s{reason}{manually}"


def _format_request_counts(counts: RequestCounts) -> str:
    return (
        f"  open {counts.pending}, owed {counts.unanswered}, running {counts.running}, "
        f"at calls {counts.at_downstream_calls}, in doubt {counts.in_doubt}, "
        f"calls out {counts.downstream_calls}"
    )


def _format_outcomes(outcomes: Mapping[str, int]) -> str:
    listed = [f"{outcome.replace('_', ' ')} {count}" for outcome, count in sorted(outcomes.items())]
    return "  " + (", ".join(listed) or "nothing answered yet")


def _format_health(status: ServerStatus) -> str:
    executor = "up" if status.executor_connected else "DOWN"
    health = "good" if status.healthy else "NOT GOOD"
    return (
        f"  executor {executor}, health {health}, cpu {100 * status.cpu_share:.0f} %, "
        f"connections {status.connections}"
    )
