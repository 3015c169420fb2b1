"""Add voters to the cluster and remove them: at an operator's request, or after one has lost its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import limits
from .replicated_state import REMOVE_VOTER

if TYPE_CHECKING:
    from .node import ClusterNode


class VoterChanges:
    """What a leader knows of servers that would vote and do not."""

    def __init__(self, node: ClusterNode) -> None:
        self._node = node
        self._candidates: dict[str, int] = {}  # name -> incarnation of those that said they would vote
        self._requested: set[str] = set()  # names that an operator wants added

    def record_candidate(self, name: str, incarnation: int) -> None:
        """Remember a server that would vote."""
        self._candidates[name] = incarnation
        if len(self._candidates) > limits.MEMBERS:
            self._candidates.clear()

    def tick(self, now: float) -> None:
        """Readmit voters that lost their state, and add those that an operator named; the leader's."""
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
        """Have a server added, and return why it can't be, or None."""
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
        """Propose to remove a voter, and return why it can't be, or None."""
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
