"""One server's node of the cluster: carries out the decisions of membership, Raft, tasks and quota.

All calls come from the event loop; only the tasks of connections and the disk's worker thread block. Every
effect on behalf of the cluster checks the lease immediately before (`acts`). Operators' requests are in
leadership.py and voter_changes.py, the status in node_status.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, ClassVar, NamedTuple, Protocol

from ..transport.scheduler import Scheduler
from ..transport.seeded_random import SeededRandom
from ..transport.streams import Stream, connect
from ..transport.worker_thread import WorkerThread
from . import codec, limits, node_status, singleton_tasks, task_processes, vote_file
from .bootstrap import Bootstrap, voter_set_to_wire
from .call_quota import GRANT_MESSAGE, REQUEST_MESSAGE, CallQuota
from .fencing import FencingTokens
from .leadership import LeadershipTransfer
from .member_messages import LEFT, OutgoingMessage
from .member_table import Effect as MemberEffect
from .member_table import MemberChange
from .membership import MemberIdentity, Membership
from .options import ClusterOptions
from .peer_connections import LocalEndpoint, PeerConnections
from .raft import ROLE_NAMES, Committed, Effect, RaftNode, Send
from .raft_log import DurableState
from .replicated_state import ADD_VOTER, GRANT_LEASE, REMOVE_VOTER, ClusterState
from .singleton_tasks import CommandOutcome
from .task_options import SingletonTaskOptions
from .vote_persistence import VotePersistence
from .voter_changes import VoterChanges

TICKS_PER_LEASE = 12
MAX_TICK_S = 0.1  # between ticks, whatever the lease
# Leases between announcements of a server without durable state, and of the state to non-voting servers.
ANNOUNCEMENT_INTERVAL = 0.5
REMINDER_INTERVAL = 5.0  # seconds after which an unchanged state is sent again: a message may be lost
RANDOM_RECEIVERS = 3  # receivers of the announcement of a server that knows no leader
BOOTSTRAP_REMINDER_TIME = 600.0  # seconds after its start for which a founder announces the set of founders
RANDOM_WARM_UP_DRAWS = 8  # the first numbers of similar seeds are similar
CLOSE_TIMEOUT = 0.01  # minimum seconds for the worker thread to finish
NEVER = -1e9
BLANK_MESSAGE = "blank"
STATE_MESSAGE = "facts"
ROW_LENGTH = 3  # fields of a server's record in an announcement: name, incarnation, lowest fencing token

Log = Callable[..., None]


def boot_clock() -> float:
    """Return the seconds since boot, including suspend: no decision depends on a wall clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Seams(NamedTuple):
    """Clocks, connections and the vote's directory, which simulations replace."""

    clock: Callable[[], float] = boot_clock
    to_boot: Callable[[float], float] = float  # converts a time of `clock` to the boot clock
    dial: Any = connect
    folder: Any = vote_file.VoteDirectory
    wall: Callable[[], float] = time.time  # only for the numbers of incarnations
    peer_connections: Any = PeerConnections


class KnownState(NamedTuple):
    """The cluster's state as known to this server."""

    term: int
    state: ClusterState
    leader: str | None


class ReceivedState(NamedTuple):
    """The state that a leader sent to a non-voting server."""

    known: KnownState
    received_at: float


class SentState(NamedTuple):
    """The state that was last sent to a non-voting server."""

    term: int
    commit_index: int
    sent_at: float


class Subsystem(Protocol):
    """A subsystem that uses the cluster and has messages of its own."""

    KINDS: ClassVar[dict[str, Callable[..., None]]]

    def tick(self, now: float, term: int | None) -> None:
        """Do what is due; `term` is that of this server's leadership, or None."""


class ClusterNode:
    """This server's membership, its vote and leadership, its singleton tasks and its quota of calls."""

    def __init__(  # noqa: PLR0913, PLR0915, PLR0917 - the dependencies that a server passes to each component
        self,
        options: ClusterOptions,
        name: str,
        scheduler: Scheduler,
        count: Callable[[str], None],
        log: Log,
        seed: int,
        seams: Seams | None = None,
    ) -> None:
        """Open the vote's directory and listen for peers.

        Raises:
            VoteFileError: The stored vote can't be used.
            OSError: The address or the directory can't be used.
        """
        self.seams = seams or Seams()
        self.options = options
        self.name = name
        self.scheduler = scheduler
        self.count = count
        self.log = log
        self.clock = self.seams.clock
        self.worker: WorkerThread | None = None
        self.vote_directory: vote_file.VoteDirectory | None = None
        generation = int(1000 * self.seams.wall())
        stored = self._read_vote()
        # The vote's incarnation belongs to the directory; as a member, each start has a new generation.
        self.vote_incarnation = generation if stored is None else stored.incarnation
        self.random_source = SeededRandom(seed ^ generation)
        for _ in range(RANDOM_WARM_UP_DRAWS):
            self.random_source.random()
        now = self.clock()
        self.started_at = now
        identity = MemberIdentity(name, options.listen, options.zone, generation)
        self.membership = Membership(identity, options.seeds, self.random_source, now, options.probe)
        self.raft = self._make_raft(durable=None if stored is None else stored.state)
        self.bootstrap = self._make_bootstrap()
        self.vote = VotePersistence(self.vote_directory, self.worker, self._encode_vote)
        self.singleton_tasks = singleton_tasks.SingletonTasks(name, self.vote_incarnation)
        self.fencing_tokens = FencingTokens()
        self.subsystems: list[Subsystem] = []
        self.call_quota: CallQuota | None = None  # None unless a singleton task shares the calls
        environment = {"VALETURN_SERVER": name, "VALETURN_FLEET": options.name}
        self.task_processes = task_processes.TaskProcesses(scheduler, environment, self._command_ended)
        self.leadership_transfer = LeadershipTransfer(self)
        self.voter_changes = VoterChanges(self)
        self.elections = 0
        self.silenced: str | None = None  # why it no longer votes or acts, or None
        self.closed = False
        self.leaving = False
        self._received_state: ReceivedState | None = None
        self._sent_states: dict[str, SentState] = {}  # by server
        self._announced_at = NEVER
        self._logged_role: tuple[int, int | None] | None = None  # role, and term of the leadership
        self._leaderless_since = now
        self._bootstrap_voters: Any = None  # as announced to the others
        local = LocalEndpoint(options.name, options.listen, self._identify, self.receive)
        self.peer_connections = self.seams.peer_connections(
            scheduler, local, self.random_source, count, self.seams.dial
        )

    def _read_vote(self) -> vote_file.StoredVote | None:
        """Lock the vote's directory and return the stored vote; None without a directory or a file in it."""
        options = self.options
        if options.folder is None:
            return None
        directory: vote_file.VoteDirectory = self.seams.folder(options.folder)
        self.vote_directory = directory
        directory.lock()
        data = directory.read()
        stored = None
        if data is not None:
            stored = vote_file.decode(data, options.name, self.name, options.listen)
        self.worker = WorkerThread()
        return stored

    def _make_bootstrap(self) -> Bootstrap | None:
        """Return the bootstrap of a voter named in the file that has no durable state, or None."""
        options = self.options
        if self.name not in options.voters or not self.raft.durable.state_lost or self.raft.state.voters:
            return None
        lowest_token = 0
        if options.folder is None:
            lowest_token = int(self.seams.wall()) << limits.EPOCH_BITS
        return Bootstrap(self.name, self.vote_incarnation, lowest_token, options.voters)

    def _make_raft(self, **arguments: Any) -> RaftNode:  # noqa: ANN401 - those of RaftNode
        return RaftNode(
            self.name,
            self.vote_incarnation,
            self.options.lease,
            self.random_source,
            self.clock(),
            **arguments,
        )

    def _identify(self) -> tuple[str, int]:
        return self.name, self.membership.local.generation

    def _encode_vote(self, durable: DurableState) -> bytes:
        options = self.options
        return vote_file.encode(options.name, self.name, options.listen, self.vote_incarnation, durable)

    def start(self) -> None:
        """Start the node's tasks."""
        if self.worker is not None:
            self.scheduler.spawn(self._follow_worker, self.worker, name="vote")
        self.scheduler.spawn(self._run, name="fleet")
        if self.bootstrap is not None and self.bootstrap.complete_if_alone():
            self.complete_bootstrap()

    # ---- queries

    def leads(self, now: float) -> bool:
        """Return whether this server is the leader and may act."""
        return not self.silenced and self.vote.failed_at is None and self.raft.holds_lease(now)

    def acts(self, name: str) -> int | None:
        """Return the fencing token under which this server may act for a singleton task now, or None.

        To be called after every wait and before every effect.
        """
        task = self.singleton_tasks.tasks.get(name)
        if task is None or not self.leads(self.clock()) or not task.is_held(self.raft.durable.term):
            return None
        return task.fencing_token

    def known_state(self) -> KnownState:
        """Return the cluster's state as known to this server."""
        if self.raft.may_vote() or self._received_state is None:
            return KnownState(self.raft.durable.term, self.raft.state, self.raft.leader)
        return self._received_state.known

    def current_leader(self) -> str | None:
        """Return the leader's name, or None where it is not known here."""
        return self.name if self.leads(self.clock()) else self.known_state().leader

    def not_the_leader(self) -> str:
        """Return the reason why this server rejects a request to the leader."""
        return f"{self.name} is not the owner; {self.known_state().leader or 'nobody'} is"

    def random_member(self, names: Sequence[str]) -> str:
        """Return a random one of these names."""
        return names[int(self.random_source.random() * len(names))]

    # ---- time

    def _run(self) -> None:
        while not self.closed:
            self.tick()
            self.scheduler.sleep(min(MAX_TICK_S, self.options.lease / TICKS_PER_LEASE))

    def tick(self) -> None:
        """Do what is due."""
        now = self.clock()
        self._carry_out_membership(self.membership.tick(now))
        self.peer_connections.tick()
        if self.silenced:
            return
        if self.vote.failed_at is None:
            self.carry_out(self.raft.tick(now))
        elif self.vote.is_retry_due(now):
            self.vote.write(self.raft.durable)
        term = self.raft.durable.term if self.leads(now) else None
        self._log_leadership(now, term)
        if self.leadership_transfer.under_way:
            self.leadership_transfer.continue_transfer(now, term)
            term = None
        self._tick_leadership(now, term)
        if self.leaving and term is not None and not self.leadership_transfer.under_way:  # elected meanwhile
            self.leadership_transfer.begin()

    def _tick_leadership(self, now: float, term: int | None) -> None:
        """Do the periodic work that depends on the term of this server's leadership, or None."""
        if now - self._announced_at >= ANNOUNCEMENT_INTERVAL * self.options.lease:
            self._announced_at = now
            self._announce(now, term)
        if term is not None:
            self.voter_changes.tick(now)
        self.carry_out_tasks(self.singleton_tasks.tick(now, term))
        self._extend_leases()
        if self.call_quota is not None:
            self.call_quota.tick(now)
        for other in self.subsystems:
            other.tick(now, term)

    def _log_leadership(self, now: float, term: int | None) -> None:
        role = self.raft.role
        if (role, term) != self._logged_role:
            logged_term = None if self._logged_role is None else self._logged_role[1]
            if term is not None and logged_term != term:
                self.elections += 1
                leaderless_s = round(now - self._leaderless_since, 3)
                self.log("leadership_acquired", {"term": term, "leaderless_s": leaderless_s})
            elif logged_term is not None:
                self.log("leadership_lost", {"term": logged_term, "role": ROLE_NAMES[role]})
                self._leaderless_since = now
            self._logged_role = role, term
        if self.raft.leader not in (None, self.name):
            last_round_at = self.raft.votes_withheld_until - self.raft.vote_withholding_time()
            self._leaderless_since = max(self._leaderless_since, last_round_at)

    # ---- messages

    def receive(self, message: codec.Message, address: str) -> None:
        """Dispatch a peer's message by its kind; unknown kinds, of newer versions, are counted."""
        if self.closed:
            return
        now = self.clock()
        if message.kind in Membership.KINDS:
            sends = self.membership.receive(
                now, message.sender, message.generation, message.kind, message.fields
            )
            self._carry_out_membership(sends)
        elif self.silenced:
            return
        elif message.kind in RaftNode.KINDS:
            if self.vote.failed_at is None:
                self.carry_out(self.raft.receive(now, message.sender, message.kind, message.fields))
        else:
            self._receive_for_subsystem(now, message)

    def _receive_for_subsystem(self, now: float, message: codec.Message) -> None:
        receivers: list[Any] = [self, *self.subsystems]
        receiver = next((one for one in receivers if message.kind in one.KINDS), None)
        if receiver is None:
            self.count("cluster.messages_rejected.kind")
            return
        try:
            receiver.KINDS[message.kind](receiver, now, message.sender, *message.fields)
        except (TypeError, ValueError, IndexError):
            self.count("cluster.messages_rejected.fields")

    def send(self, name: str, kind: str, fields: list[Any]) -> None:
        """Send a message to a member; it may be lost."""
        member = self.membership.get(name)
        if member is not None and name != self.name:
            self.peer_connections.send(member.address, kind, fields)

    def _carry_out_membership(self, sends: Iterable[OutgoingMessage]) -> None:
        for _, address, kind, fields in sends:
            self.peer_connections.send(address, kind, fields)
        for change in self.membership.take_changes():
            if change.effect is MemberEffect.NAME_CONFLICT:
                self._silence(f"another server at {change.member.address} says that it is {self.name}")
            else:
                self._log_member(change)

    def _log_member(self, change: MemberChange) -> None:
        self.count("cluster.members." + change.effect.value)
        self.log(
            "member_changed",
            {
                "member": change.name,
                "change": change.effect.value,
                "zone": change.member.zone,
                "suspected_by": change.member.suspected_by or "-",
            },
        )

    def _silence(self, reason: str) -> None:
        """Stop voting and acting: two servers of one name must not both do so."""
        if self.silenced is None:
            self.silenced = reason
            self.log("cluster_silenced", {"reason": reason})
            self.carry_out_tasks(self.singleton_tasks.tick(self.clock(), None))

    # ---- the replicated log

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out Raft's effects, each once the state before it is durable."""
        for effect in self.vote.submit(effects):
            self._carry_out_one(effect)

    def _carry_out_one(self, effect: object) -> None:
        if isinstance(effect, Send):
            self.send(effect.to, effect.kind, effect.fields)
        elif isinstance(effect, Committed):
            self._committed(effect)

    def _follow_worker(self, worker: WorkerThread) -> None:
        """Handle the results of the worker thread; runs as a task."""
        stream = Stream(self.scheduler, worker.wakeup_socket)
        while isinstance(stream.read(), bytes):
            for _, result in worker.collect():
                self._vote_written(result)

    def _vote_written(self, result: Any) -> None:  # noqa: ANN401 - the job's result, or an OSError
        if isinstance(result, OSError):
            if self.vote.failed_at is None:
                self.log("vote_write_failed", {"reason": str(result)})
            self.count("cluster.vote_write_failed")
        elif self.vote.failed_at is not None:
            self.log("vote_write_recovered")
        for effect in self.vote.write_finished(self.clock(), result):
            self._carry_out_one(effect)

    def propose(self, command: tuple[Any, ...]) -> bool:
        """Propose a command for the log; return False where this server can't propose it now."""
        now = self.clock()
        if not self.leads(now):
            return False
        proposed = self.raft.propose(now, command)
        self.carry_out(self.raft.tick(now))
        return proposed

    def _committed(self, entry: Committed) -> None:
        """Handle a committed command."""
        command = entry.command
        if command[0] == GRANT_LEASE:
            self._lease_granted(entry)
        elif command[0] in (ADD_VOTER, REMOVE_VOTER):
            voters = ",".join(name for name, _ in entry.state.voters)
            text = " ".join(str(word) for word in command)
            self.log("cluster_voters_changed", {"command": text, "voters": voters})

    def _lease_granted(self, entry: Committed) -> None:
        _, name, holder, incarnation = entry.command
        lease = entry.state.task_lease(name)
        assert lease is not None  # the entry granted it
        token = lease.fencing_token
        self.fencing_tokens.accept(name, token)
        now = self.clock()
        if (holder, incarnation) == (self.name, self.vote_incarnation) and self.leads(now):
            term = self.raft.durable.term
            if self.raft.term_of(entry.log_index) == term:
                self.carry_out_tasks(self.singleton_tasks.grant_committed(now, term, name, token))

    # ---- announcements

    def _announce(self, now: float, term: int | None) -> None:
        """Send the state to non-voting servers, and announce whether this server has lost its own."""
        if term is not None:
            self._send_state(now, term)
        if not self.raft.durable.state_lost:  # others that bootstrapped without it have admitted it
            self.bootstrap = None
        if self.bootstrap is not None or self.raft.durable.state_lost:
            self._announce_lost_state()
        elif self._bootstrap_voters is not None and now - self.started_at < BOOTSTRAP_REMINDER_TIME:
            self._announce_bootstrap()

    def _send_state(self, now: float, term: int) -> None:
        state = self.raft.state
        voting = {name for name, _ in state.voters}
        fields = [term, state.encode()]
        commit_index = self.raft.commit_index
        for name in self.membership.alive():
            sent = self._sent_states.get(name)
            is_current = sent is not None and (sent.term, sent.commit_index) == (term, commit_index)
            if name in voting or (is_current and sent is not None and now - sent.sent_at < REMINDER_INTERVAL):
                continue
            self._sent_states[name] = SentState(term, commit_index, now)
            self.send(name, STATE_MESSAGE, fields)

    def _announce_lost_state(self) -> None:
        fields: list[Any] = [[self.name, self.vote_incarnation, 0], None, False]
        if self.bootstrap is not None:
            fields = self.bootstrap.announcement()
        leader = self.known_state().leader
        receivers: Iterable[str] = self.options.voters
        if self.bootstrap is None and leader is not None:
            receivers = [leader]
        if leader is None:  # the voters may have changed since the file was written
            alive = self.membership.alive()
            receivers = {*receivers, *(self.random_member(alive) for _ in range(RANDOM_RECEIVERS))}
        for name in receivers:
            self.send(name, BLANK_MESSAGE, fields)

    def _announce_bootstrap(self) -> None:
        """Announce the set of voters to the others, one of which may have missed announcements."""
        fields = [[self.name, self.vote_incarnation, 0], voter_set_to_wire(self._bootstrap_voters), True]
        for name in self.options.voters:
            if name != self.name and self.membership.get(name) is not None:
                self.send(name, BLANK_MESSAGE, fields)

    def on_blank(self, now: float, sender: str, record: Any, proposal: Any, completed: Any) -> None:  # noqa: ANN401
        """Handle the announcement of a server without durable state, or of one that has bootstrapped."""
        if self.bootstrap is not None:
            if self.bootstrap.receive(sender, record, proposal, completed) is not None:
                self.complete_bootstrap()
            return
        # An exact type: true and false are integers in Python.
        if (
            completed is not True
            and isinstance(record, list)
            and len(record) == ROW_LENGTH
            and type(record[1]) is int
        ):
            self.voter_changes.record_candidate(sender, record[1])

    def complete_bootstrap(self) -> None:
        """Start as a voter of the new cluster."""
        assert self.bootstrap is not None
        founders = self.bootstrap.completed
        assert founders is not None
        self._bootstrap_voters = founders
        self.bootstrap = None
        voters = tuple((name, incarnation) for name, incarnation, _ in founders)
        self.raft = self._make_raft(voters=voters, fencing_token=max(token for _, _, token in founders))
        self.log("cluster_bootstrapped", {"voters": ",".join(name for name, _ in voters)})

    def on_state(self, now: float, sender: str, term: int, encoded: Any) -> None:  # noqa: ANN401
        """Handle the state that a leader sent.

        Raises:
            TypeError: A field has the wrong type.
            ValueError: A field has the wrong form.
        """
        if self.raft.may_vote() and self._epoch(encoded[2]) <= self._epoch(self.raft.state.fencing_token):
            return
        state = ClusterState.decode(encoded)
        if self._received_state is not None:
            known = self._received_state.known
            if (term, state.fencing_token) < (known.term, known.state.fencing_token):
                return
        self._received_state = ReceivedState(KnownState(term, state, sender), now)
        for name, _, _, token in state.task_leases:
            self.fencing_tokens.accept(name, token)
        if self.raft.may_vote() and (self.name, self.vote_incarnation) not in state.voters:
            self._discard_state()

    @staticmethod
    def _epoch(fencing_token: int) -> int:
        """Return the number of forced bootstraps of the cluster before the token was granted."""
        return fencing_token >> limits.EPOCH_BITS

    def _discard_state(self) -> None:
        """Discard this server's state, which is older than a forced bootstrap of the cluster without it."""
        self.log("cluster_state_discarded", {"incarnation": self.vote_incarnation})
        self._begin_incarnation()
        self.raft = self._make_raft()

    def _begin_incarnation(self) -> None:
        """Begin an incarnation that has never voted."""
        self.vote_incarnation = max(int(1000 * self.seams.wall()), self.vote_incarnation + 1)
        self.singleton_tasks.incarnation = self.vote_incarnation

    # ---- the quota of calls

    def share_calls(self, name: str, options: SingletonTaskOptions, need: Callable[[], float]) -> None:
        """Start to share the calls with the other servers.

        Args:
            name: The singleton task that shares them.
            options: Its options.
            need: Returns the number of concurrent calls that this server could use now.
        """
        self.call_quota = CallQuota(self, name, options, need)

    def on_need(self, now: float, sender: str, *fields: Any) -> None:  # noqa: ANN401
        """Handle a server's request for a share of the calls."""
        if self.call_quota is not None:
            self.call_quota.on_request(now, sender, *fields)

    def on_share(self, now: float, sender: str, grant: Any) -> None:  # noqa: ANN401
        """Handle the share of the calls that the leader granted."""
        if self.call_quota is not None:
            self.call_quota.on_grant(now, sender, grant)

    KINDS: ClassVar[dict[str, Callable[..., None]]] = {
        BLANK_MESSAGE: on_blank,
        STATE_MESSAGE: on_state,
        REQUEST_MESSAGE: on_need,
        GRANT_MESSAGE: on_share,
    }

    # ---- singleton tasks

    def configure(self, configured: Mapping[str, SingletonTaskOptions]) -> None:
        """Replace the singleton tasks by those of the operator's file."""
        self.carry_out_tasks(self.singleton_tasks.configure(self.clock(), configured))

    def carry_out_tasks(self, effects: Iterable[singleton_tasks.Effect]) -> None:
        """Carry out the effects of singleton tasks."""
        for effect in effects:
            if isinstance(effect, singleton_tasks.Propose):
                self.propose(effect.entry)
            elif isinstance(effect, singleton_tasks.StartCommand):
                self._start_command(effect)
            elif isinstance(effect, singleton_tasks.StopCommand):
                self.task_processes.stop(effect.task)
            else:
                self.log(effect.event, effect.fields)

    def _start_command(self, start: singleton_tasks.StartCommand) -> None:
        """Start a command after a final check of the lease; its environment has its fencing token."""
        failure: CommandOutcome | None = CommandOutcome.without_exit_code("lease over")
        if self.acts(start.task) == start.fencing_token:
            failure = self.task_processes.start(*start)
        if failure is not None:
            self._command_ended(start.task, failure)
        self._extend_leases()

    def _command_ended(self, name: str, outcome: CommandOutcome) -> None:
        self.carry_out_tasks(self.singleton_tasks.command_ended(self.clock(), name, outcome))

    def _extend_leases(self) -> None:
        if self.task_processes.running and self.leads(self.clock()):
            self.task_processes.extend_leases(self.acts, self.seams.to_boot(self.raft.lease_until))

    # ---- operators' requests

    def force_bootstrap(self) -> str | None:
        """Continue alone after a permanent loss of the majority; return None, or the reason why it can't.

        This server becomes the only voter, with fencing tokens above all that were granted.
        """
        now = self.clock()
        if self.leads(now):
            return "there is an owner: this server"
        if self._follows_leader(now):
            return f"there is an owner: {self.raft.leader}"
        granted = [self.known_state().state.fencing_token, *self.fencing_tokens.highest_seen.values()]
        token = (self._epoch(max(granted)) + 1) << limits.EPOCH_BITS
        self._begin_incarnation()
        self.bootstrap = None
        voters = ((self.name, self.vote_incarnation),)
        self.raft = self._make_raft(voters=voters, fencing_token=token, term=self.raft.durable.term + 1)
        self.log("cluster_bootstrap_forced", {"fencing_token": token})
        return None

    def _follows_leader(self, now: float) -> bool:
        """Return whether a leader sent a message within its lease; False just after a start."""
        has_run = now - self.started_at > 2 * self.options.lease
        heard = self.raft.leader is not None and now < self.raft.votes_withheld_until
        return self.raft.role == 0 and heard and has_run

    def status(self) -> dict[str, Any]:
        """Return the content of `valeturn fleet status`."""
        return node_status.status(self)

    def gauge_values(self) -> dict[str, Any]:
        """Return the values for the server's gauges."""
        return node_status.gauge_values(self)

    # ---- shutdown

    def leave(self) -> None:
        """Stop commands and transfer leadership; peers are answered until `close`."""
        if not self.leaving:
            self.leaving = True
            now = self.clock()
            self.carry_out_tasks(self.singleton_tasks.tick(now, None))
            if self.leads(now):
                self.leadership_transfer.begin()

    def leave_alone(self) -> None:
        """Leave the cluster and continue to serve alone; the server joins again at its next start."""
        self.leave()
        self.depart()
        self._silence("has left the fleet")

    def depart(self) -> None:
        """Announce that this server leaves deliberately, so that the others do not suspect it."""
        if self.membership.local.state != LEFT:
            self._carry_out_membership(self.membership.leave(self.clock()))

    def close(self, timeout_s: float) -> None:
        """End all commands and connections, and wait up to `timeout_s` seconds for the disk."""
        if self.closed:
            return
        self.depart()
        self.closed = True
        self.task_processes.close_all()
        self.peer_connections.close_now()
        if self.worker is not None and self.vote_directory is not None:
            self.worker.finish(max(CLOSE_TIMEOUT, timeout_s))
            self.vote_directory.unlock()
