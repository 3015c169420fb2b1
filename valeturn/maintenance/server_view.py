"""The leader's information about the servers, and the capacity calculated from it."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from .messages import Report
from .records import RecordState

SUSPECTED_CAPACITY_SHARE = 0.5
"""Share of its capacity that counts for a server suspected dead; see docs/operators/turns.md."""


class ServerView(NamedTuple):
    """One server according to its last report and the membership."""

    name: str
    zone: str
    incarnation: int  # 0 where it is not known
    alive: bool  # according to the membership
    suspected: bool = False
    cores: float = 1.0
    utilization: float = 0.0  # share of the cores in use, averaged over seconds
    warmup: float = 1.0  # share of full speed that it has reached
    overloaded: bool = False  # at a degradation level, or rejecting many requests
    answer_count: int = 0  # requests that this incarnation has answered
    reported_state: int = (
        RecordState.WAITING
    )  # DRAINING or DRAINED under `fencing_token`; otherwise it serves
    fencing_token: int = 0
    reported_at: float = 0.0  # seconds of the leader's clock


class MemberView(NamedTuple):
    """The membership's information about one server."""

    zone: str
    incarnation: int  # 0 where it is not known
    alive: bool
    suspected: bool


def view_from_report(sender: str, report: Report, now: float) -> ServerView:
    """Return the view from a server's report, with shares limited to the range 0 to 1.

    Raises:
        TypeError: A field of the message has the wrong type.
        ValueError: A field of the message can't be converted.
    """
    return ServerView(
        sender,
        str(report.zone),
        int(report.incarnation),
        alive=True,
        suspected=False,
        cores=max(0.0, float(report.cores)),
        utilization=min(1.0, max(0.0, float(report.utilization))),
        warmup=min(1.0, max(0.0, float(report.warmup))),
        overloaded=report.overloaded is True,
        answer_count=int(report.answer_count),
        reported_state=int(report.reported_state),
        fencing_token=int(report.fencing_token),
        reported_at=now,
    )


def merge_report(name: str, report: ServerView | None, member: MemberView) -> ServerView:
    """Return the view of one server from its last report, if any, and the membership.

    A report of an earlier incarnation is not used for the current one: otherwise maintenance that was granted
    to the earlier incarnation would count as done.
    """
    if report is None or member.incarnation > report.incarnation:
        return ServerView(
            name, member.zone, member.incarnation, member.alive, member.suspected, reported_at=-math.inf
        )
    alive = member.alive and member.incarnation == report.incarnation
    return report._replace(alive=alive, suspected=member.suspected)


def capacity_without(reporting: Mapping[str, ServerView], unavailable: Collection[str]) -> float:
    """Return the cores in service, in cores at full speed.

    Servers that warm up or are suspected count in part, unavailable ones not at all.
    """
    return sum(
        view.cores * view.warmup * (SUSPECTED_CAPACITY_SHARE if view.suspected else 1.0)
        for name, view in reporting.items()
        if name not in unavailable
    )


def total_load(reporting: Mapping[str, ServerView]) -> float:
    """Return the cores in use, in cores at full speed."""
    return sum(view.cores * view.warmup * view.utilization for view in reporting.values())


def overloaded_servers(reporting: Mapping[str, ServerView]) -> list[str]:
    """Return the names of the serving servers that are overloaded, sorted.

    A draining server that rejects requests reports itself overloaded, although the others may not be.
    """
    return sorted(
        name
        for name, view in reporting.items()
        if view.overloaded and view.reported_state == RecordState.WAITING
    )


def majority_reports(reporting: Mapping[str, ServerView], views: Mapping[str, ServerView]) -> bool:
    """Return whether more than half of all known servers report.

    A new leader waits for this, and the leader of a minority makes no decisions.
    """
    return 2 * len(reporting) > len(views)
