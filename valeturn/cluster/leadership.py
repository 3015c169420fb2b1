"""Transfer the leadership to another voter, once the leader's commands have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node import ClusterNode

ANY_SUCCESSOR = ""


class LeadershipTransfer:
    """One node's transfers; at most one is under way."""

    def __init__(self, node: ClusterNode) -> None:
        self._node = node
        self._target: str | None = None  # a server's name, or ANY_SUCCESSOR; None where none is under way

    @property
    def under_way(self) -> bool:
        """Whether a transfer waits for the commands of singleton tasks to end."""
        return self._target is not None

    def begin(self, to: str | None = None) -> str | None:
        """Begin to transfer the leadership, and return why it can't be, or None.

        Args:
            to: The successor, which must have all entries; None for any that has.
        """
        node = self._node
        now = node.clock()
        if not node.leads(now):
            return node.not_the_leader()
        fit = self._successors()
        if to is not None and to not in fit:
            return f"{to} has not all that is committed"
        if not fit:
            return "no other voter has all that is committed"
        self._target = to or ANY_SUCCESSOR
        node.carry_out_tasks(node.singleton_tasks.tick(now, None))
        self.go_on(now, node.raft.durable.term)
        return None

    def go_on(self, now: float, term: int | None) -> None:
        """Transfer once all that the tasks started is gone; the lease goes on until then.

        Where the successor that was named is fit no more, another one is taken.
        """
        node = self._node
        if term is None:
            self._target = None
        elif not node.task_processes.running:
            fit = self._successors()
            if fit:
                target = self._target if self._target in fit else node.random_member(fit)
                node.carry_out(node.raft.transfer_leadership(now, target))
                self._target = None

    def _successors(self) -> list[str]:
        """Return the voters that are alive and have all entries of this node's log."""
        node = self._node
        others = set(node.membership.alive()) - {node.name}
        last_index = node.raft.last_position().last_index
        return [name for name, matched in node.raft.matched() if name in others and matched == last_index]
