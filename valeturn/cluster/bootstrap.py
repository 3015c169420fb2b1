"""The one-time bootstrap of a cluster: all servers named as voters agree on the set of voters. No I/O.

A voter without durable state can't tell whether it is new or has lost its disk. A cluster is therefore
bootstrapped only by *all* voters that the operator's files name, each in an incarnation that has never voted,
so that no vote can be given twice. Each server announces its own record; once it has the records of all, it
proposes the set of them; once all others propose the same set, that set is permanently the cluster's and is
announced as completed. A server that finds its current incarnation in a completed set adopts that set, as it
has never voted.

An incarnation that ends between its proposal and the completion is in no later set. If so many servers of a
completed set lose their state at once that no majority is left, the majority is lost permanently.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

NUMBER_LIMIT = 2**63  # incarnations and fencing tokens stay below it: they are 64 bits wide on disk


class VoterRecord(NamedTuple):
    """One voter's record; the order of the fields is their order on the wire."""

    name: str
    incarnation: int  # of its durable state: larger at each start without one
    fencing_floor: int  # the lowest fencing token that may be granted, according to this voter


VoterSet = tuple[VoterRecord, ...]  # sorted


def read_voter_set(value: object) -> VoterSet | None:
    """Return the voter set that a received value encodes, or None if it is malformed."""
    if not isinstance(value, list):
        return None
    records = []
    for row in value:
        record = _read_record(row)
        if record is None:
            return None
        records.append(record)
    return tuple(records) if records == sorted(records) else None


def _read_record(row: object) -> VoterRecord | None:
    if not isinstance(row, list) or len(row) != len(VoterRecord._fields):
        return None
    name, incarnation, fencing_floor = row
    if not isinstance(name, str) or not _is_number(incarnation) or not _is_number(fencing_floor):
        return None
    return VoterRecord(name, incarnation, fencing_floor)


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < NUMBER_LIMIT


def voter_set_to_wire(voters: VoterSet | None) -> list[list[Any]] | None:
    """Return a voter set as it is packed into a message."""
    return None if voters is None else [list(record) for record in voters]


class Bootstrap:
    """The bootstrap on one named voter, while it has no durable state."""

    def __init__(self, name: str, incarnation: int, fencing_floor: int, voter_names: Sequence[str]) -> None:
        """Start with only this voter's record.

        Args:
            name: this voter's name.
            incarnation: an incarnation that has never voted.
            fencing_floor: the lowest fencing token that may be granted; 0 where its disk stores tokens.
            voter_names: all voters that the operator's file names, including this one.
        """
        self.completed: VoterSet | None = None
        self._local = VoterRecord(name, incarnation, fencing_floor)
        self._voter_names = sorted(voter_names)
        self._records = {name: self._local}  # the newest incarnation of each, by name
        self._proposals: dict[str, VoterSet | None] = {}  # of the others, by name

    def proposal(self) -> VoterSet | None:
        """Return the set that this voter proposes, or None while a record is missing."""
        if self.completed is not None:
            return self.completed
        records = [self._records.get(name) for name in self._voter_names]
        known = tuple(record for record in records if record is not None)
        return known if len(known) == len(records) else None

    def announcement(self) -> list[Any]:
        """Return the fields of the message to the others: own record, proposal, whether it is completed."""
        return [list(self._local), voter_set_to_wire(self.proposal()), self.completed is not None]

    def receive(self, sender: str, record: object, proposal: object, completed: object) -> VoterSet | None:
        """Handle another voter's announcement; one that is malformed or of an earlier incarnation is ignored.

        Args:
            sender: the voter's name.
            record: its own record.
            proposal: the set that it proposes, or None.
            completed: whether that set is already the cluster's.

        Returns:
            The cluster's voter set, or None until it is completed.
        """
        if self.completed is not None or sender not in self._voter_names:
            return self.completed
        sender_record = _read_record(record)
        if sender_record is None or sender_record.name != sender:
            return None
        voters = read_voter_set(proposal)
        if voters is None and proposal is not None:
            return None
        known = self._records.get(sender)
        if known is not None and sender_record.incarnation < known.incarnation:
            return None
        self._records[sender] = sender_record
        self._proposals[sender] = voters
        if completed is True and voters is not None and self._local in voters:
            self.completed = voters
        elif self._all_propose_the_same():
            self.completed = self.proposal()
        return self.completed

    def _all_propose_the_same(self) -> bool:
        proposal = self.proposal()
        return proposal is not None and all(
            self._proposals.get(name) == proposal for name in self._voter_names if name != self._local.name
        )

    def complete_if_alone(self) -> VoterSet | None:
        """Complete the bootstrap at once if this is the only voter, and return the cluster's set, if any."""
        if self._voter_names == [self._local.name]:
            self.completed = (self._local,)
        return self.completed
