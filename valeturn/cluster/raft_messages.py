"""The messages between Raft nodes: their kinds on the wire and their fields in wire order."""

from __future__ import annotations

from types import NoneType
from typing import Any, Final, NamedTuple

# Kinds on the wire.
PRE_VOTE = "sound"
PRE_VOTE_RESPONSE = "would"
REQUEST_VOTE = "vote"
VOTE_RESPONSE = "voted"
TIMEOUT_NOW = "stand"
APPEND_ENTRIES = "append"
INSTALL_SNAPSHOT = "snapshot"
APPEND_RESPONSE = "appended"


class PreVote(NamedTuple):
    """Asks whether a node would vote for the sender in a term (Ongaro's thesis, section 9.6)."""

    term: int
    last_index: int  # of the sender's log
    last_term: int


class PreVoteResponse(NamedTuple):
    """Says whether the sender would vote."""

    asked_term: int
    term: int  # the sender's own
    would_vote: bool


class RequestVote(NamedTuple):
    """Asks for a vote."""

    term: int
    last_index: int  # of the sender's log
    last_term: int
    transferred: bool  # the leader asked the sender to start this election


class VoteResponse(NamedTuple):
    """States that the sender votes for the receiver; a refusal is not sent."""

    term: int


class TimeoutNow(NamedTuple):
    """Asks to start an election at once, to transfer leadership (thesis, section 3.10)."""

    term: int


class AppendEntries(NamedTuple):
    """Carries the entries that follow `previous_index`; without entries it is a heartbeat."""

    term: int
    round_number: int
    previous_index: int
    previous_term: int | None
    entries: list[Any]  # of [term, command as a list]
    commit_index: int


class InstallSnapshot(NamedTuple):
    """Carries the state up to an index, for a node that lacks entries that were compacted away."""

    term: int
    round_number: int
    snapshot_index: int
    snapshot_term: int
    state: list[Any]  # from `ClusterState.encode`


class AppendResponse(NamedTuple):
    """Acknowledges a round, or says that the sender's log does not match."""

    term: int
    round_number: int
    success: bool
    match_index: int  # or, without success, the index that the leader may try next
    incarnation: int  # the sender's


_NUMBER: Final = (int,)
_FLAG: Final = (bool,)
# Message -> the types that each of its fields may have. Exact types: true and false are integers in Python.
_FIELD_TYPES: Final[dict[type, tuple[tuple[type, ...], ...]]] = {
    PreVote: (_NUMBER, _NUMBER, _NUMBER),
    PreVoteResponse: (_NUMBER, _NUMBER, _FLAG),
    RequestVote: (_NUMBER, _NUMBER, _NUMBER, _FLAG),
    VoteResponse: (_NUMBER,),
    TimeoutNow: (_NUMBER,),
    AppendEntries: (_NUMBER, _NUMBER, _NUMBER, (int, NoneType), (list, tuple), _NUMBER),
    InstallSnapshot: (_NUMBER, _NUMBER, _NUMBER, _NUMBER, (list, tuple)),
    AppendResponse: (_NUMBER, _NUMBER, _FLAG, _NUMBER, _NUMBER),
}


def check_fields(message: tuple[Any, ...]) -> None:
    """Check the types of a received message's fields.

    Raises:
        TypeError: A field has a type that it can't have.
    """
    for value, allowed in zip(message, _FIELD_TYPES[type(message)], strict=True):
        if type(value) not in allowed:
            raise TypeError(f"{type(message).__name__} has {value!r}")
