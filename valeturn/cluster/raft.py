"""Raft consensus for one node of the cluster, as a state machine without I/O.

Follows "In Search of an Understandable Consensus Algorithm" (Raft; Ongaro and Ousterhout, 2014) and Ongaro's
thesis (pre-vote, leadership transfer, one change of voters at a time). Messages and the time are the inputs;
the state to store, the messages to send and the committed commands are the outputs. The deviations, which
docs/design/one-owner.md justifies:

- Leader lease: a leader acts only until `lease` after it sent the last round of heartbeats that a majority
  acknowledged, by its own clock, which continues during suspend. A voter that acknowledged a round gives no
  vote for `lease` x (1 + CLOCK_DRIFT) by its own clock. So no other leader can act meanwhile, as long as no
  clock runs faster than another by more than CLOCK_DRIFT.
- Lost durable state: a voter's durable state (term, vote, log) is returned as a `Persist` effect, which has
  to be durable before the sends that follow it are carried out. A voter that returns without that state
  gives no vote and counts in no majority until the leader's log has a command that adds its new incarnation.

The log itself is in raft_log.py and the state that it replicates in replicated_state.py. This file is longer
than 400 lines because the handlers of all messages and roles share one set of fields, and are read together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any, ClassVar, NamedTuple, Protocol

from . import raft_messages as messages
from .raft_log import DurableState, LogEntry, LogPosition
from .raft_messages import (
    AppendEntries,
    AppendResponse,
    InstallSnapshot,
    PreVote,
    PreVoteResponse,
    RequestVote,
    TimeoutNow,
    VoteResponse,
)
from .replicated_state import (
    ADD_VOTER,
    NO_OP,
    REMOVE_VOTER,
    VOTER_CHANGES,
    ClusterState,
    Command,
    Voter,
    check_command,
    decode_command,
)


class Role(IntEnum):
    """The role of a node."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1
    CANDIDATE = 2
    LEADER = 3


# Bound once: reading an Enum's member costs more than the comparison, and `holds_lease` runs often.
_LEADER = Role.LEADER

# The names in `status` and in log events, by the number of the role.
ROLE_NAMES = ("follower", "sounding", "candidate", "leader")


class Event(IntEnum):
    """The inputs that may change a node's role."""

    HIGHER_TERM = 0  # a message of a higher term
    LEADER_MESSAGE = 1  # a message of this term's leader
    ELECTION_TIMEOUT = 2  # no message of a leader within the election time-out
    MAJORITY = 3  # a majority would vote, or has voted, for this node
    LEASE_EXPIRED = 4  # the lease could not be renewed in time
    TIMEOUT_NOW = 5  # the leader asks this node to start an election at once


# (role, event) -> (next role, method). Pairs that are not listed change nothing.
TRANSITIONS = {
    (Role.FOLLOWER, Event.ELECTION_TIMEOUT): (Role.PRE_CANDIDATE, "_start_pre_vote"),
    (Role.FOLLOWER, Event.TIMEOUT_NOW): (Role.CANDIDATE, "_start_election"),
    (Role.FOLLOWER, Event.HIGHER_TERM): (Role.FOLLOWER, "_adopt_term"),
    (Role.FOLLOWER, Event.LEADER_MESSAGE): (Role.FOLLOWER, "_follow"),
    (Role.PRE_CANDIDATE, Event.MAJORITY): (Role.CANDIDATE, "_start_election"),
    (Role.PRE_CANDIDATE, Event.ELECTION_TIMEOUT): (Role.PRE_CANDIDATE, "_start_pre_vote"),
    (Role.PRE_CANDIDATE, Event.HIGHER_TERM): (Role.FOLLOWER, "_adopt_term"),
    (Role.PRE_CANDIDATE, Event.LEADER_MESSAGE): (Role.FOLLOWER, "_follow"),
    (Role.PRE_CANDIDATE, Event.TIMEOUT_NOW): (Role.CANDIDATE, "_start_election"),
    (Role.CANDIDATE, Event.MAJORITY): (Role.LEADER, "_become_leader"),
    (Role.CANDIDATE, Event.ELECTION_TIMEOUT): (Role.PRE_CANDIDATE, "_start_pre_vote"),
    (Role.CANDIDATE, Event.HIGHER_TERM): (Role.FOLLOWER, "_adopt_term"),
    (Role.CANDIDATE, Event.LEADER_MESSAGE): (Role.FOLLOWER, "_follow"),
    (Role.LEADER, Event.HIGHER_TERM): (Role.FOLLOWER, "_adopt_term"),
    (Role.LEADER, Event.LEASE_EXPIRED): (Role.FOLLOWER, "_step_down"),
}

# Heartbeat interval as a fraction of the lease: three rounds may be lost before the lease expires.
HEARTBEAT_INTERVAL = 0.25
# Fraction by which one clock may run faster than another: a hundred times the drift of quartz oscillators.
CLOCK_DRIFT = 0.02
# Fraction of the lease over which election time-outs are randomized, so that one node starts first.
ELECTION_SPREAD = 0.5
# The log is compacted at twice this many entries after the snapshot: enough for a follower that missed some.
LOG_ENTRIES_RETAINED = 256
# Entries in one message: keeps a message of usual commands at a few kilobytes.
ENTRIES_PER_MESSAGE = 64

# Stored as the vote by a node that can't know its vote in this term, so that it does not vote again in it.
UNKNOWN_CANDIDATE = "somebody"
# The command of a `Committed` effect that stands for a whole snapshot.
SNAPSHOT_INSTALLED = ("snapshot",)
NEVER = -1.0  # earlier than any time of a clock


class RandomSource(Protocol):
    """The random numbers for election time-outs."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""


class Persist(NamedTuple):
    """Make this state durable before any later send is carried out."""

    durable: DurableState


class Send(NamedTuple):
    """Send a message to another node."""

    to: str
    kind: str
    fields: list[Any]


class Committed(NamedTuple):
    """Report the command committed at an index, and the state after it."""

    log_index: int
    command: Command
    state: ClusterState


Effect = Persist | Send | Committed


class HeartbeatRound(NamedTuple):
    """One round of messages to all voters."""

    sent_at: float  # seconds of the leader's clock
    acknowledged_by: set[str]


def _decode_entry(term: object, command: Iterable[Any]) -> LogEntry:
    """Return an entry that a leader sent.

    Raises:
        TypeError: Its term or an argument of its command has a wrong type.
        ValueError: Its command is empty, or has too few or too many arguments.
    """
    if type(term) is not int:
        raise TypeError(f"an entry has the term {term!r}")
    decoded = decode_command(command)
    check_command(decoded)
    return LogEntry(term, decoded)


class RaftNode:
    """A voter, or a node that only receives the log.

    All times are in seconds of this node's clock, which has to continue during suspend.

    Attributes:
        durable: The term, vote and log, which were or will be returned in a `Persist` effect.
        state: The state after all commands known here to be committed.
        commit_index: The last entry known to be committed.
        last_applied: The last entry that `state` includes.
        role: The node's current role.
        leader: The leader of this term, or None where it is not known.
        lease_until: The time until which a leader may act.
        votes_withheld_until: The time until which no vote is given, as a leader's lease may depend on it.
    """

    # Kind of message -> (the type of its fields, the method that handles it).
    KINDS: ClassVar[dict[str, tuple[Callable[..., Any], str]]] = {
        messages.PRE_VOTE: (PreVote, "on_pre_vote"),
        messages.PRE_VOTE_RESPONSE: (PreVoteResponse, "on_pre_vote_response"),
        messages.REQUEST_VOTE: (RequestVote, "on_request_vote"),
        messages.VOTE_RESPONSE: (VoteResponse, "on_vote_response"),
        messages.TIMEOUT_NOW: (TimeoutNow, "on_timeout_now"),
        messages.APPEND_ENTRIES: (AppendEntries, "on_append_entries"),
        messages.INSTALL_SNAPSHOT: (InstallSnapshot, "on_install_snapshot"),
        messages.APPEND_RESPONSE: (AppendResponse, "on_append_response"),
    }

    def __init__(  # noqa: PLR0913, PLR0917 - the arguments of a restart and those of a bootstrap
        self,
        name: str,
        incarnation: int,
        lease: float,
        random_source: RandomSource,
        now: float,
        durable: DurableState | None = None,
        voters: Iterable[tuple[str, int]] = (),
        fencing_token: int = 0,
        term: int = 0,
    ) -> None:
        """Start as a follower.

        Args:
            name: The node's name, unique in the cluster.
            incarnation: The number of its durable state: a node that lost it has another one.
            lease: Length of a leader's lease, seconds.
            random_source: For the election time-outs.
            now: The current time, seconds.
            durable: The state found on disk, or None where there was none.
            voters: At bootstrap, the same (name, incarnation) pairs on all nodes; then there is no `durable`.
            fencing_token: At bootstrap, the number above which fencing tokens begin.
            term: At bootstrap, the term after which terms begin, where an earlier cluster is restored.
        """
        self.name = name
        self.incarnation = incarnation
        self.lease = lease
        self.random_source = random_source
        founders = tuple(sorted(Voter(*voter) for voter in voters))
        if durable is None:
            # The founders are a snapshot with index 1, so that it is sent to a node without any state.
            snapshot = ClusterState(voters=founders, fencing_token=fencing_token)
            durable = DurableState(
                term=term, snapshot_index=int(bool(founders)), snapshot=snapshot, state_lost=not founders
            )
        self.durable = durable
        self.state = durable.snapshot
        self.commit_index = durable.snapshot_index
        self.last_applied = durable.snapshot_index
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        # A voter that has just started may have acknowledged a leader: it withholds its vote as if it had.
        self.votes_withheld_until = now + self.vote_withholding_time()
        self.votes_granted: set[str] = set()
        self.round_number = 0
        self.rounds: dict[int, HeartbeatRound] = {}
        self.lease_until = NEVER
        self.step_down_at = now
        self.heartbeat_at = now
        # Set when a transfer of leadership begins: this leader never acts in its term again.
        self.transferring = False
        self.next_index: dict[str, int] = {}
        self.match_index: dict[tuple[str, int], int] = {}
        self._effects: list[Effect] = []
        self._durable_changed = bool(founders)  # a founder stores this state at the start
        self._reset_election_timeout(now)

    # ---- queries

    def holds_lease(self, now: float) -> bool:
        """Return whether this leader may act; to be called after every wait and before every effect."""
        return self.role is _LEADER and now < self.lease_until

    def last_position(self) -> LogPosition:
        """Return the position of the log's last entry."""
        return self.durable.last_position()

    def term_of(self, index: int) -> int | None:
        """Return the term of an entry, or None where the log doesn't have it."""
        return self.durable.term_of(index)

    def may_vote(self) -> bool:
        """Return whether this node is a voter that has its durable state."""
        return not self.durable.state_lost and (self.name, self.incarnation) in self.voters()

    def voters(self) -> tuple[Voter, ...]:
        """Return the voters of the latest configuration in the log, committed or not."""
        return self.durable.latest_voters()

    def matched(self) -> list[tuple[str, int]]:
        """Return for each voter the index up to which its current incarnation's log is known to match."""
        return [(name, self.match_index.get((name, incarnation), 0)) for name, incarnation in self.voters()]

    def vote_withholding_time(self) -> float:
        """Return the seconds for which a voter that acknowledged a leader gives no vote."""
        return self.lease * (1 + CLOCK_DRIFT)

    def _peers(self) -> list[str]:
        return [name for name, _ in self.voters() if name != self.name]

    def _majority(self, names: Iterable[str]) -> bool:
        voters = {name for name, _ in self.voters()}
        return 2 * len(set(names) & voters) > len(voters)

    def _may_change_voters(self) -> bool:
        """Return whether all voter changes and an entry of this term are committed (thesis, erratum)."""
        uncommitted = self.durable.entries_after(self.commit_index)
        if any(entry.command[0] in VOTER_CHANGES for entry in uncommitted):
            return False
        return self.term_of(self.commit_index) == self.durable.term

    # ---- time and the server's requests

    def tick(self, now: float) -> list[Effect]:
        """Do what is due and return the effects in order; to be called a dozen times per lease."""
        if self.role is _LEADER:
            if now >= self.step_down_at:
                self._transition(now, Event.LEASE_EXPIRED)
            elif now >= self.heartbeat_at:
                self._send_heartbeats(now)
        elif now >= self.election_at and self.may_vote() and now >= self.votes_withheld_until:
            self._transition(now, Event.ELECTION_TIMEOUT)
        return self.take_effects()

    def propose(self, now: float, command: Command) -> bool:
        """Append a command to the leader's log; the next `tick` returns the effects.

        Returns:
            False where it can't be proposed now: without a lease, or while another change of voters is
            uncommitted.
        """
        if not self.holds_lease(now):
            return False
        if command[0] in VOTER_CHANGES and not self._may_change_voters():
            return False
        if tuple(command[:2]) == (REMOVE_VOTER, self.name):  # it transfers its leadership first
            return False
        self._append(LogEntry(self.durable.term, decode_command(command)))
        self._send_heartbeats(now)
        return True

    def transfer_leadership(self, now: float, name: str) -> list[Effect]:
        """Request a voter whose log is complete to start an election now, and stop acting in this term."""
        if self.holds_lease(now) and (name, self.last_position().last_index) in self.matched():
            self.lease_until = now
            self.transferring = True
            self.rounds = {}
            self._send(name, messages.TIMEOUT_NOW, TimeoutNow(self.durable.term))
        return self.take_effects()

    def readmit_voter(self, now: float, name: str, incarnation: int) -> bool:
        """Propose the next step that lets a node without its durable state vote again.

        Takes two commands, so it is to be called until done: the earlier incarnation is removed, then the new
        one added. With a single command, a majority with the earlier incarnation and one with the new one
        might not share a voter that has its state.

        Returns:
            Whether a command was proposed.
        """
        known = dict(self.voters()).get(name)
        if known == incarnation:
            return False
        if known is None:
            return self.propose(now, (ADD_VOTER, name, incarnation))
        return self.propose(now, (REMOVE_VOTER, name))

    # ---- messages

    def receive(self, now: float, sender: str, kind: str, fields: Iterable[Any]) -> list[Effect]:
        """Handle a message and return the effects in order; malformed messages are ignored."""
        if kind in self.KINDS:
            try:
                message_type, method_name = self.KINDS[kind]
                message = message_type(*fields)
                messages.check_fields(message)
                getattr(self, method_name)(now, sender, message)
            except (TypeError, ValueError):
                self._effects = [effect for effect in self._effects if isinstance(effect, Persist)]
        return self.take_effects()

    def on_pre_vote(self, now: float, sender: str, message: PreVote) -> None:
        """Answer whether this node would vote; no term changes, so a partitioned node disturbs no leader."""
        would_vote = (
            self.may_vote()
            and message.term > self.durable.term
            and self._is_up_to_date(message.last_index, message.last_term)
            and now >= self.votes_withheld_until
            and not self.holds_lease(now)
        )
        response = PreVoteResponse(message.term, self.durable.term, would_vote)
        self._send(sender, messages.PRE_VOTE_RESPONSE, response)

    def on_pre_vote_response(self, now: float, sender: str, message: PreVoteResponse) -> None:
        """Start an election once a majority would vote for this node."""
        if message.term > self.durable.term:
            self._transition(now, Event.HIGHER_TERM, term=message.term)
        elif (
            self.role == Role.PRE_CANDIDATE
            and message.would_vote is True
            and message.asked_term == self.durable.term + 1
        ):
            self._count_vote(now, sender)

    def on_request_vote(self, now: float, sender: str, message: RequestVote) -> None:
        """Vote for a candidate whose log is up to date, once per term.

        While a leader's lease may depend on this voter, the vote is withheld even in a higher term, unless
        that leader requested the election.
        """
        if not self.may_vote() or self.holds_lease(now):
            return
        if now < self.votes_withheld_until and message.transferred is not True:
            return
        if message.term > self.durable.term:
            self._transition(now, Event.HIGHER_TERM, term=message.term)
        if message.term != self.durable.term or self.durable.vote not in (None, sender):
            return
        if self._is_up_to_date(message.last_index, message.last_term):
            if self.durable.vote is None:
                self._store(self.durable._replace(vote=sender))
            self._reset_election_timeout(now)
            self._send(sender, messages.VOTE_RESPONSE, VoteResponse(message.term))

    def on_vote_response(self, now: float, sender: str, message: VoteResponse) -> None:
        """Become the leader once a majority has voted for this node."""
        if self.role == Role.CANDIDATE and message.term == self.durable.term:
            self._count_vote(now, sender)

    def on_timeout_now(self, now: float, sender: str, message: TimeoutNow) -> None:
        """Start an election at once, as this term's leader transfers its leadership."""
        if message.term == self.durable.term and sender == self.leader and self.may_vote():
            self._transition(now, Event.TIMEOUT_NOW)

    def on_append_entries(self, now: float, sender: str, message: AppendEntries) -> None:
        """Append a leader's entries, unless this log has no such entry before them."""
        if message.term < self.durable.term:
            self._acknowledge(sender, message.round_number, False, 0)
            return
        entries = [_decode_entry(term, command) for term, command in message.entries]
        self._accept_leader(now, sender, message.term)
        index = message.previous_index
        previous_term = message.previous_term
        snapshot_index = self.durable.snapshot_index
        if index < snapshot_index:  # the snapshot's entries are committed, and so they match
            entries = entries[snapshot_index - index :]
            index = snapshot_index
            previous_term = self.durable.snapshot_term
        matches = self.term_of(index) == previous_term
        if matches:
            updated = self.durable.with_entries(index, entries)
            if updated is not self.durable:
                self._store(updated)
            self._recognize_readmission()
            self._commit_up_to(min(message.commit_index, index + len(entries)))
        self.votes_withheld_until = now + self.vote_withholding_time()
        match_index = index + len(entries) if matches else min(index, self.last_position().last_index)
        self._acknowledge(sender, message.round_number, matches, match_index)

    def on_install_snapshot(self, now: float, sender: str, message: InstallSnapshot) -> None:
        """Replace the state with a leader's snapshot, unless this node has applied as much already."""
        if message.term < self.durable.term:
            return
        snapshot = ClusterState.decode(message.state)
        self._accept_leader(now, sender, message.term)
        if message.snapshot_index > self.last_applied:
            self._install(message, snapshot)
        self.votes_withheld_until = now + self.vote_withholding_time()
        self._acknowledge(sender, message.round_number, True, message.snapshot_index)

    def on_append_response(self, now: float, sender: str, message: AppendResponse) -> None:
        """Handle a follower's acknowledgement: renew the lease, commit, and send missing entries."""
        if message.term > self.durable.term:
            self._transition(now, Event.HIGHER_TERM, term=message.term)
            return
        if self.role is not _LEADER or message.term != self.durable.term:
            return
        voter = (sender, message.incarnation)
        is_voter = voter in self.voters()
        if message.success is True:
            self.next_index[sender] = max(self.next_index.get(sender, 1), message.match_index + 1)
            if is_voter:
                self.match_index[voter] = max(self.match_index.get(voter, 0), message.match_index)
        else:
            retry_at = min(self.next_index.get(sender, 1) - 1, message.match_index + 1)
            self.next_index[sender] = max(1, retry_at)
        if message.round_number in self.rounds and is_voter:
            self.rounds[message.round_number].acknowledged_by.add(sender)
            self._renew_lease()
        self._advance_commit_index()
        if self.next_index.get(sender, 1) <= self.last_position().last_index:
            self._send_append_entries(sender)

    def _install(self, message: InstallSnapshot, snapshot: ClusterState) -> None:
        index = message.snapshot_index
        agrees = self.term_of(index) == message.snapshot_term
        self._store(
            self.durable._replace(
                snapshot_index=index,
                snapshot_term=message.snapshot_term,
                snapshot=snapshot,
                entries=self.durable.entries_after(index) if agrees else (),
            )
        )
        self.state = snapshot
        self.commit_index = index
        self.last_applied = index
        self._effects.append(Committed(index, SNAPSHOT_INSTALLED, snapshot))
        self._recognize_readmission()

    def _is_up_to_date(self, index: int, last_term: int) -> bool:
        """Return whether a log that ends there is as up to date as this one (section 5.4.1 of the paper)."""
        last = self.last_position()
        return (last_term, index) >= (last.last_term, last.last_index)

    def _count_vote(self, now: float, sender: str) -> None:
        self.votes_granted.add(sender)
        self._check_majority(now)

    def _check_majority(self, now: float) -> None:
        if self._majority(self.votes_granted):
            self._transition(now, Event.MAJORITY)

    def _accept_leader(self, now: float, sender: str, term: int) -> None:
        if term > self.durable.term:
            self._transition(now, Event.HIGHER_TERM, term=term)
        self.leader = sender
        self._transition(now, Event.LEADER_MESSAGE)

    def _acknowledge(self, leader: str, round_number: int, success: bool, index: int) -> None:
        """Answer a leader's message on behalf of this incarnation.

        Acknowledgements of an incarnation that lost its state do not count. Those of this one count once it
        is a voter in the leader's log; by then a committed command has removed the earlier incarnation, so
        that no majority counts both.
        """
        response = AppendResponse(self.durable.term, round_number, success, index, self.incarnation)
        self._send(leader, messages.APPEND_RESPONSE, response)

    # ---- transitions

    def _transition(self, now: float, event: Event, term: int | None = None) -> None:
        found = TRANSITIONS.get((self.role, event))
        if found is not None:
            self.role, method_name = found
            getattr(self, method_name)(now, term)

    def _adopt_term(self, now: float, term: int) -> None:
        self._store(self.durable._replace(term=term, vote=None))
        self._step_down(now, term)

    def _follow(self, now: float, _term: int | None) -> None:
        self._reset_election_timeout(now)

    def _step_down(self, now: float, _term: int | None) -> None:
        self.leader = None
        self.rounds = {}
        self._reset_election_timeout(now)

    def _start_pre_vote(self, now: float, _term: int | None) -> None:
        self._begin_ballot(now)
        last = self.last_position()
        request = PreVote(self.durable.term + 1, last.last_index, last.last_term)
        for name in self._peers():
            self._send(name, messages.PRE_VOTE, request)
        self._check_majority(now)

    def _start_election(self, now: float, _term: int | None) -> None:
        transferred = self.leader is not None
        self._store(self.durable._replace(term=self.durable.term + 1, vote=self.name))
        self._begin_ballot(now)
        last = self.last_position()
        request = RequestVote(self.durable.term, last.last_index, last.last_term, transferred)
        for name in self._peers():
            self._send(name, messages.REQUEST_VOTE, request)
        self._check_majority(now)

    def _begin_ballot(self, now: float) -> None:
        self.votes_granted = {self.name}
        self.leader = None
        self._reset_election_timeout(now)

    def _become_leader(self, now: float, _term: int | None) -> None:
        self.leader = self.name
        self.rounds = {}
        self.transferring = False
        self.lease_until = NEVER
        self.step_down_at = now + self.lease
        self.next_index = {}
        self.match_index = {}
        # An entry of its own term commits the entries of earlier terms (section 8 of the paper).
        self._append(LogEntry(self.durable.term, (NO_OP,)))
        self._send_heartbeats(now)

    # ---- leading

    def _send_heartbeats(self, now: float) -> None:
        """Send a round to all voters.

        The lease begins at the time of sending, so that a delayed answer does not lengthen it.
        """
        self.heartbeat_at = now + HEARTBEAT_INTERVAL * self.lease
        self.round_number += 1
        self.rounds[self.round_number] = HeartbeatRound(now, {self.name})
        self.rounds = {
            number: sent for number, sent in self.rounds.items() if now - sent.sent_at <= self.lease
        }
        for name in self._peers():
            self._send_append_entries(name)
        self._renew_lease()
        self._advance_commit_index()

    def _send_append_entries(self, name: str) -> None:
        """Send the entries that a follower lacks, or the snapshot where they were compacted."""
        durable = self.durable
        first = self.next_index.setdefault(name, self.last_position().last_index + 1)
        if first <= durable.snapshot_index:
            snapshot = InstallSnapshot(
                durable.term,
                self.round_number,
                durable.snapshot_index,
                durable.snapshot_term,
                durable.snapshot.encode(),
            )
            self._send(name, messages.INSTALL_SNAPSHOT, snapshot)
            return
        previous = first - 1
        lacking = durable.entries_after(previous)[:ENTRIES_PER_MESSAGE]
        entries = [[entry.term, list(entry.command)] for entry in lacking]
        previous_term = self.term_of(previous)
        request = AppendEntries(
            durable.term, self.round_number, previous, previous_term, entries, self.commit_index
        )
        self._send(name, messages.APPEND_ENTRIES, request)

    def _renew_lease(self) -> None:
        for sent_at, acknowledged_by in self.rounds.values():
            if self._majority(acknowledged_by) and not self.transferring:
                self.lease_until = max(self.lease_until, sent_at + self.lease)
        self.step_down_at = max(self.step_down_at, self.lease_until)

    def _advance_commit_index(self) -> None:
        """Commit the entries that a majority has, up to one of this term (section 5.4.2 of the paper)."""
        index = self.last_position().last_index
        while index > self.commit_index and self.term_of(index) == self.durable.term:
            holders = [name for name, matched in self.matched() if matched >= index]
            if self._majority([self.name, *holders]):
                self._commit_up_to(index)
                break
            index -= 1

    # ---- the log

    def _append(self, entry: LogEntry) -> None:
        self._store(self.durable._replace(entries=(*self.durable.entries, entry)))

    def _commit_up_to(self, index: int) -> None:
        while self.commit_index < min(index, self.last_position().last_index):
            self.commit_index += 1
            command = self.durable.entries[self.commit_index - self.durable.snapshot_index - 1].command
            self.state = self.state.apply(command)
            self.last_applied = self.commit_index
            self._effects.append(Committed(self.commit_index, command, self.state))
            self._recognize_readmission()
        compactable = self.commit_index - self.durable.snapshot_index
        if len(self.durable.entries) > 2 * LOG_ENTRIES_RETAINED and compactable > LOG_ENTRIES_RETAINED:
            self._store(self.durable.compacted(self.commit_index - LOG_ENTRIES_RETAINED // 2))

    def _recognize_readmission(self) -> None:
        """Become a voter again once the log has the command that adds this incarnation, committed or not.

        A committed command removed the earlier incarnation before that one was proposed, and the majority
        that commits it, or follows its leader, may need this voter. It does not vote in this term, in which
        it may have voted before it lost its state.
        """
        if self.durable.state_lost and (self.name, self.incarnation) in self.voters():
            vote = self.leader or UNKNOWN_CANDIDATE
            self._store(self.durable._replace(vote=vote, state_lost=False))

    def _store(self, durable: DurableState) -> None:
        self.durable = durable
        self._durable_changed = True

    # ---- time-outs and effects

    def _send(self, name: str, kind: str, message: Iterable[Any]) -> None:
        self._effects.append(Send(name, kind, list(message)))

    def _reset_election_timeout(self, now: float) -> None:
        spread = ELECTION_SPREAD * self.lease * self.random_source.random()
        self.election_at = now + self.vote_withholding_time() + spread

    def take_effects(self) -> list[Effect]:
        """Return the effects, first the state that has to be durable before any send is carried out."""
        effects = self._effects
        self._effects = []
        if self._durable_changed:
            self._durable_changed = False
            return [Persist(self.durable), *effects]
        return effects
