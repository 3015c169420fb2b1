"""Transfers the leadership to another voter, once the leader's commands have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node import ClusterNode

ANY_SUCCESSOR = ""


class LeadershipTransfer:
    """The leadership transfers of one node; at most one is in progress."""

    def __init__(self, node: ClusterNode) -> None:
        self._node = node
        self._target: str | None = None  # a server's name, or ANY_SUCCESSOR; None without a transfer

    @property
    def under_way(self) -> bool:
        """Whether a transfer is waiting for the commands of singleton tasks to end."""
        return self._target is not None

    def begin(self, to: str | None = None) -> str | None:
        """Begin to transfer the leadership; return None, or the reason why it can't be transferred.

        Args:
            to: The successor, which must have all entries; None for any voter that has them.
        """
        node = self._node
        now = node.clock()
        if not node.leads(now):
            return node.not_the_leader()
        successors = self._successors()
        if to is not None and to not in successors:
            return f"{to} has not all that is committed"
        if not successors:
            return "no other voter has all that is committed"
        self._target = to or ANY_SUCCESSOR
        node.carry_out_tasks(node.singleton_tasks.tick(now, None))
        self.continue_transfer(now, node.raft.durable.term)
        return None

    def continue_transfer(self, now: float, term: int | None) -> None:
        """Transfer once all processes of the tasks have ended; the lease is renewed until then.

        If the named successor no longer has all entries, another one is chosen.
        """
        node = self._node
        if term is None:
            self._target = None
        elif not node.task_processes.running:
            successors = self._successors()
            if successors:
                target = self._target if self._target in successors else node.random_member(successors)
                node.carry_out(node.raft.transfer_leadership(now, target))
                self._target = None

    def _successors(self) -> list[str]:
        """Return the voters that are alive and have all entries of this node's log."""
        node = self._node
        others = set(node.membership.alive()) - {node.name}
        last_index = node.raft.last_position().last_index
        return [name for name, matched in node.raft.matched() if name in others and matched == last_index]
