"""Adds voters to the cluster and removes them: at an operator's request, or after one lost its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import limits
from .replicated_state import REMOVE_VOTER

if TYPE_CHECKING:
    from .node import ClusterNode


class VoterChanges:
    """The leader's record of servers that are ready to vote but are not voters, and its changes of voters."""

    def __init__(self, node: ClusterNode) -> None:
        self._node = node
        self._candidates: dict[str, int] = {}  # name -> incarnation of servers that announced themselves
        self._requested: set[str] = set()  # names of servers that an operator requested to add

    def record_candidate(self, name: str, incarnation: int) -> None:
        """Record a server that is ready to vote."""
        self._candidates[name] = incarnation
        if len(self._candidates) > limits.MEMBERS:
            self._candidates.clear()

    def tick(self, now: float) -> None:
        """On the leader, readmit voters that lost their state, and add those that an operator requested."""
        node = self._node
        voters = dict(node.raft.state.voters)
        named = {*voters, *self._requested, *node.options.voters}
        for name, incarnation in list(self._candidates.items()):
            if voters.get(name) == incarnation:
                del self._candidates[name]
                self._requested.discard(name)
            elif name in named:
                node.raft.readmit_voter(now, name, incarnation)
        if self._candidates:
            node.carry_out(node.raft.tick(now))

    def add(self, name: str) -> str | None:
        """Request that a server becomes a voter; return None, or the reason why it can't."""
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        voters = dict(self._node.raft.state.voters)
        if name in voters:
            return f"{name} votes already"
        if len(voters) >= limits.VOTERS:
            return f"{limits.VOTERS} voters at the most"
        if name not in self._candidates:
            return f"{name} has not said that it would vote: is it there, and in this fleet?"
        self._requested.add(name)
        return None

    def remove(self, name: str) -> str | None:
        """Propose to remove a voter; return None, or the reason why it can't be removed."""
        node = self._node
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        voters = dict(node.raft.state.voters)
        if name not in voters:
            return f"{name} does not vote"
        if name == node.name:
            return "an owner does not dismiss itself: hand over first"
        if len(voters) == 1:
            return "the last voter stays"
        if not node.propose((REMOVE_VOTER, name)):
            return "another change of voters is under way"
        self._requested.discard(name)
        return None

    def _refusal(self) -> str | None:
        node = self._node
        return None if node.leads(node.clock()) else node.not_the_leader()
