"""The durable state of a Raft node: term, vote, snapshot and the log entries that follow it."""

from __future__ import annotations

from typing import NamedTuple

from .replicated_state import VOTER_CHANGES, ClusterState, Command, Voter, with_voter_change


class LogEntry(NamedTuple):
    """One entry of the log."""

    term: int
    command: Command


class LogPosition(NamedTuple):
    """Where a log ends: the index and term of its last entry."""

    last_index: int
    last_term: int


class DurableState(NamedTuple):
    """The state that a voter keeps across a restart (figure 2 of the Raft paper, with the snapshot).

    The field order is the order on disk.
    """

    term: int = 0
    vote: str | None = None
    snapshot_index: int = 0  # the last entry that the snapshot includes
    snapshot_term: int = 0
    snapshot: ClusterState = ClusterState()
    entries: tuple[LogEntry, ...] = ()  # those after the snapshot
    state_lost: bool = False  # an earlier incarnation's state was lost, and this one is not a voter yet

    def last_position(self) -> LogPosition:
        """Return the position of the log's last entry."""
        term = self.entries[-1].term if self.entries else self.snapshot_term
        return LogPosition(self.snapshot_index + len(self.entries), term)

    def term_of(self, index: int) -> int | None:
        """Return the term of an entry, or None where the log doesn't have the entry itself."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_position().last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def entries_after(self, index: int) -> tuple[LogEntry, ...]:
        """Return the entries after an index, without those that only the snapshot includes."""
        return self.entries[max(0, index - self.snapshot_index) :]

    def latest_voters(self) -> tuple[Voter, ...]:
        """Return the voters of the latest configuration in the log, committed or not, as Raft requires."""
        voters = self.snapshot.voters
        for entry in self.entries:
            if entry.command[0] in VOTER_CHANGES:
                voters = with_voter_change(voters, entry.command)
        return voters

    def with_entries(self, index: int, entries: list[LogEntry]) -> DurableState:
        """Return the state after a leader's entries that follow `index`.

        Entries that conflict with the leader's are replaced together with all that follow them; matching
        entries stay, even where the message has fewer of them than the log.
        """
        for offset, entry in enumerate(entries, 1):
            position = index + offset
            if position > self.snapshot_index and self.term_of(position) != entry.term:
                agreeing = self.entries[: position - self.snapshot_index - 1]
                return self._replace(entries=(*agreeing, *entries[offset - 1 :]))
        return self

    def compacted(self, index: int) -> DurableState:
        """Return the state with the snapshot advanced to a committed entry that the log has."""
        snapshot = self.snapshot
        for entry in self.entries[: index - self.snapshot_index]:
            snapshot = snapshot.apply(entry.command)
        term = self.term_of(index)
        assert term is not None, "the entry is in the log"
        return self._replace(
            snapshot_index=index, snapshot_term=term, snapshot=snapshot, entries=self.entries_after(index)
        )
