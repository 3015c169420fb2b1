"""The state machine that the Raft log replicates: voters, singleton task leases, maintenance requests.

A command is a tuple of its kind and its arguments, as in the log. Commands of an unknown kind change nothing,
so that a server of an earlier version can follow a log with newer commands.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

# Kinds of commands in messages and on disk; the methods below name their arguments.
GRANT_LEASE = "grant"
RELEASE_LEASE = "drop"
PUT_MAINTENANCE = "turn"
REMOVE_MAINTENANCE = "turned"
HOLD_MAINTENANCE = "hold"
ADD_VOTER = "admit"
REMOVE_VOTER = "dismiss"
RAISE_FENCING_TOKEN = "epoch"
NO_OP = "begin"
VOTER_CHANGES = (ADD_VOTER, REMOVE_VOTER)

# Positions in a maintenance record, and the state "granted", as maintenance/drain_schedule.py encodes them.
RECORD_STATE = 5
RECORD_FENCING_TOKEN = 6
GRANTED = 1

# Kind -> the types that each argument may have. Exact types: true and false are integers in Python.
_ARGUMENT_TYPES: Final[dict[str, tuple[tuple[type, ...], ...]]] = {
    GRANT_LEASE: ((str,), (str,), (int,)),
    RELEASE_LEASE: ((str,),),
    PUT_MAINTENANCE: ((tuple,),),
    REMOVE_MAINTENANCE: ((str,),),
    HOLD_MAINTENANCE: ((bool, int),),
    ADD_VOTER: ((str,), (int,)),
    REMOVE_VOTER: ((str,),),
    RAISE_FENCING_TOKEN: ((int,),),
    NO_OP: (),
}

Command = tuple[Any, ...]
MaintenanceRecord = tuple[Any, ...]


def decode_command(encoded: Iterable[Any]) -> Command:
    """Return a command in the log's form, from a list in a message or a file.

    Raises:
        TypeError: `encoded` is not iterable.
    """
    return tuple(tuple(value) if isinstance(value, list) else value for value in encoded)


def check_command(command: Command) -> None:
    """Check the form of a received command; one of an unknown kind may have any arguments.

    Raises:
        TypeError: Its kind or an argument has a wrong type.
        ValueError: It is empty, or has too few or too many arguments.
    """
    if not command:
        raise ValueError("an empty command")
    kind, *arguments = command
    if not isinstance(kind, str):
        raise TypeError(f"a command of the kind {kind!r}")
    expected = _ARGUMENT_TYPES.get(kind)
    if expected is None:
        return
    for argument, allowed in zip(arguments, expected, strict=True):
        if type(argument) not in allowed:
            raise TypeError(f"{kind} has {argument!r}")
    if kind == PUT_MAINTENANCE and len(arguments[0]) <= RECORD_FENCING_TOKEN:
        raise ValueError(f"{kind} has {arguments[0]!r}")


class Voter(NamedTuple):
    """A server that votes, in one incarnation of its durable state."""

    name: str
    incarnation: int


def with_voter_change(voters: tuple[Voter, ...], command: Command) -> tuple[Voter, ...]:
    """Return the voters after a command that adds or removes one.

    Adding a voter that exists changes nothing: an earlier incarnation has to be removed first.

    Raises:
        ValueError: The command that adds a voter has too few or too many arguments.
    """
    if command[0] == REMOVE_VOTER:
        return tuple(voter for voter in voters if voter[0] != command[1])
    _, name, incarnation = command
    if name in dict(voters):
        return voters
    return tuple(sorted([*voters, Voter(name, incarnation)]))


class TaskLease(NamedTuple):
    """A singleton task and the voter to which it was granted."""

    task: str
    holder: str
    incarnation: int
    fencing_token: int


class ClusterState(NamedTuple):
    """The state after applying all commands up to some index; an immutable value."""

    voters: tuple[Voter, ...] = ()  # sorted by name
    task_leases: tuple[TaskLease, ...] = ()  # sorted by task
    fencing_token: int = 0  # the highest that was granted
    maintenance_records: tuple[MaintenanceRecord, ...] = ()  # sorted by server
    maintenance_held: bool = False  # no further server may begin to drain

    def task_lease(self, task: str) -> TaskLease | None:
        """Return the lease of a singleton task, or None where it is not granted."""
        return next((lease for lease in self.task_leases if lease[0] == task), None)

    def apply(self, command: Command) -> ClusterState:
        """Return the state after one committed command.

        Raises:
            TypeError: An argument of the command has a wrong type.
            ValueError: The command has too few or too many arguments.
        """
        kind, *arguments = command
        method_name = _METHODS.get(kind) if isinstance(kind, str) else None
        if method_name is None:
            return self
        changed: ClusterState = getattr(self, method_name)(arguments)
        return changed

    def _grant_lease(self, arguments: list[Any]) -> ClusterState:
        task, holder, incarnation = arguments
        others = [lease for lease in self.task_leases if lease[0] != task]
        token = self.fencing_token + 1
        granted = TaskLease(task, holder, incarnation, token)
        return self._replace(task_leases=tuple(sorted([*others, granted])), fencing_token=token)

    def _release_lease(self, arguments: list[Any]) -> ClusterState:
        return self._replace(task_leases=tuple(row for row in self.task_leases if row[0] != arguments[0]))

    def _put_maintenance(self, arguments: list[Any]) -> ClusterState:
        """Store a record; one that becomes granted gets the next fencing token."""
        (encoded,) = arguments
        record = list(encoded)
        token = self.fencing_token
        if record[RECORD_STATE] == GRANTED and not record[RECORD_FENCING_TOKEN]:
            token += 1
            record[RECORD_FENCING_TOKEN] = token
        others = [other for other in self.maintenance_records if other[0] != record[0]]
        records = tuple(sorted([*others, tuple(record)]))
        return self._replace(maintenance_records=records, fencing_token=token)

    def _remove_maintenance(self, arguments: list[Any]) -> ClusterState:
        records = tuple(record for record in self.maintenance_records if record[0] != arguments[0])
        return self._replace(maintenance_records=records)

    def _hold_maintenance(self, arguments: list[Any]) -> ClusterState:
        return self._replace(maintenance_held=bool(arguments[0]))

    def _add_voter(self, arguments: list[Any]) -> ClusterState:
        return self._replace(voters=with_voter_change(self.voters, (ADD_VOTER, *arguments)))

    def _remove_voter(self, arguments: list[Any]) -> ClusterState:
        return self._replace(voters=with_voter_change(self.voters, (REMOVE_VOTER, *arguments)))

    def _raise_fencing_token(self, arguments: list[Any]) -> ClusterState:
        """Raise the token above those of a cluster that lost its majority and was restored by an operator."""
        return self._replace(fencing_token=max(self.fencing_token, arguments[0]))

    def encode(self) -> list[Any]:
        """Return the state as lists, for snapshots in messages and on disk."""
        return [
            [list(voter) for voter in self.voters],
            [list(lease) for lease in self.task_leases],
            self.fencing_token,
            [list(record) for record in self.maintenance_records],
            self.maintenance_held,
        ]

    @classmethod
    def decode(cls, encoded: Any) -> ClusterState:  # noqa: ANN401 - unchecked input
        """Return the state from the lists of `encode`.

        Raises:
            TypeError: A value has a wrong type.
            ValueError: The number of values is wrong.
        """
        voters, leases, fencing_token, records, held = encoded
        return cls(
            tuple(Voter(str(name), _whole_number(incarnation)) for name, incarnation in voters),
            tuple(
                TaskLease(str(task), str(holder), _whole_number(incarnation), _whole_number(token))
                for task, holder, incarnation, token in leases
            ),
            _whole_number(fencing_token),
            tuple(tuple(record) for record in records),
            bool(held),
        )


def _whole_number(value: object) -> int:
    """Return a value that has to be a whole number: not true, 1.0 or "1".

    Raises:
        TypeError: The value is not a whole number.
    """
    if type(value) is not int:
        raise TypeError(f"wants a whole number, has {value!r}")
    return value


_METHODS = {
    GRANT_LEASE: "_grant_lease",
    RELEASE_LEASE: "_release_lease",
    PUT_MAINTENANCE: "_put_maintenance",
    REMOVE_MAINTENANCE: "_remove_maintenance",
    HOLD_MAINTENANCE: "_hold_maintenance",
    ADD_VOTER: "_add_voter",
    REMOVE_VOTER: "_remove_voter",
    RAISE_FENCING_TOKEN: "_raise_fencing_token",
}
