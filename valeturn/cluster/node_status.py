"""A cluster node's status for operators and its values for the server's gauges."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .member_messages import ALIVE, SUSPECTED
from .member_table import STATE_NAMES
from .raft import ROLE_NAMES

if TYPE_CHECKING:
    from .member_table import Member
    from .node import ClusterNode


def role_text(node: ClusterNode) -> str:
    """Return what keeps the node from voting, or else its role; operators' scripts may compare the text."""
    if node.silenced:
        return "silenced: " + node.silenced
    if node.vote.failed_at is not None:
        return "its disk does not keep its vote"
    if node.bootstrap is not None:
        return "waits for the others named to vote"
    return "remembers no vote" if node.raft.durable.state_lost else ROLE_NAMES[node.raft.role]


def status(node: ClusterNode) -> dict[str, Any]:
    """Return the content of `valeturn fleet status`; its keys must not change."""
    now = node.clock()
    known = node.known_state()
    leads = node.leads(now)
    quota = node.call_quota
    members = [node.membership.local, *node.membership.members.values()]
    return {
        "name": node.options.name,
        "owner": node.name if leads else known.leader,
        "term": known.term,
        "fence": known.state.fencing_token,
        "lease_left_s": round(max(0.0, node.raft.lease_until - now), 3) if leads else None,
        "role": role_text(node),
        "voters": [name for name, _ in known.state.voters],
        "doubt": node.membership.health.score,
        "members": [_member_status(member, now) for member in sorted(members)],
        "duties": node.singleton_tasks.status(now),
        "owners": [
            {"duty": task, "owner": holder, "fence": token}
            for task, holder, _, token in known.state.task_leases
        ],
        "share": None if quota is None else quota.status(now),
        "split": quota.allocator_status(now) if quota is not None and leads else None,
        "links": len(node.peer_connections.open_connections),
        "elections": node.elections,
    }


def _member_status(member: Member, now: float) -> dict[str, Any]:
    return {
        "name": member.name,
        "address": member.address,
        "zone": member.zone,
        "state": STATE_NAMES[member.state],
        "for_s": round(now - member.since, 1),
        "accused_by": member.suspected_by if member.state == SUSPECTED else "",
    }


def gauge_values(node: ClusterNode) -> dict[str, Any]:
    """Return the values for the server's gauges."""
    states = [member.state for member in node.membership.members.values()]
    return {
        "alive": 1 + states.count(ALIVE),
        "suspected": states.count(SUSPECTED),
        "leads": int(node.leads(node.clock())),
        "term": node.raft.durable.term,
        "fence": node.known_state().state.fencing_token,
        "links": len(node.peer_connections.open_connections),
        "doubt": node.membership.health.score,
        "elections": node.elections,
        "fence_refused": node.fencing_tokens.rejected_count,
        "share": -1 if node.call_quota is None else node.call_quota.available(),
    }
