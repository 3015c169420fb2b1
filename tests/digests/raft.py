"""Drives five Raft voters over a network that loses, delays and duplicates messages.

Voters stop and restart with or without their durable state, the leader proposes commands, transfers
leadership and readmits voters, and acknowledgements of other incarnations arrive. Malformed messages, a
second run in which all election time-outs are equal, and a cluster of one voter follow.
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable, Iterable

from valeturn.cluster import raft
from valeturn.cluster.raft import Committed, Persist, RaftNode, Send
from valeturn.cluster.raft_log import DurableState, LogEntry
from valeturn.cluster.replicated_state import ClusterState
from valeturn.transport.seeded_random import SeededRandom

LEASE = 1.0
TICK_INTERVAL_LEASES = 0.06  # leases between two ticks of each voter
STEPS = 420
EQUAL_TIMEOUT_STEPS = 400  # of the run with equal election time-outs
RETAINED_LOG_ENTRIES = 12  # entries kept behind a snapshot: few, so that the log is truncated often
MAX_ENTRIES_PER_MESSAGE = 5  # entries in one message: few, so that a lagging follower needs several messages
STATE_RECORD_STEPS = 10  # steps between two records of the state
NAMES = ("a", "b", "c", "d", "e")
KINDS = ("sound", "would", "vote", "voted", "stand", "append", "snapshot", "appended")


def plain_value(value: object) -> object:
    """Return a value with its tuples and records as lists, so that a row may later become a class."""
    if hasattr(value, "__dataclass_fields__"):
        return [plain_value(getattr(value, name)) for name in value.__dataclass_fields__]
    if isinstance(value, Iterable) and not isinstance(value, str):
        return [plain_value(one) for one in value]
    return value


def plain_effect(effect: object) -> list[object]:
    """Return an effect as a list that begins with its kind."""
    for kind, of_class in enumerate((Persist, Send, Committed)):
        if isinstance(effect, of_class):
            return [kind, plain_value(effect)]
    return [-1, plain_value(effect)]


class Voter:
    """One server with its Raft node, None while it is down, and its durable state."""

    def __init__(self, name: str, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.incarnation = 1
        self.durable_state: DurableState | None = None
        self.node: RaftNode | None = None
        self.restart_at = 0.0
        self.loses_state = False


class Network:
    """The voters and the messages in flight between them."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        record: Callable[[object], None],
        initial_token_and_term: tuple[int, int],
    ) -> None:
        self.random_source = random.Random(seed)
        self.seed = seed
        self.record = record
        self.now = 0.0
        self.sent_count = 0
        self.in_flight: list[tuple[float, int, str, str, str, str]] = []
        self.loss = 0.05
        self.cut_links: set[tuple[str, str]] = set()
        self.voters = {name: Voter(name, self.random_source.uniform(0.99, 1.01)) for name in names}
        founders = tuple((name, 1) for name in names)
        fencing_token, term = initial_token_and_term
        for voter in self.voters.values():
            node_random_source = SeededRandom(self.random_source.randrange(1 << 30))
            voter.node = RaftNode(
                voter.name,
                1,
                LEASE,
                node_random_source,
                self.clock(voter),
                None,
                founders,
                fencing_token=fencing_token,
                term=term,
            )

    def clock(self, voter: Voter) -> float:
        """Return the time that a voter's own clock shows."""
        return self.now * voter.rate

    def apply_effects(self, voter: Voter, effects: list[object]) -> None:
        """Record a voter's effects and apply them."""
        self.record([voter.name, [plain_effect(effect) for effect in effects]])
        for effect in effects:
            if isinstance(effect, Persist):
                voter.durable_state = effect.durable
            elif isinstance(effect, Send):
                self.send(voter.name, effect.to, effect.kind, effect.fields)

    def send(self, sender: str, recipient: str, kind: str, fields: list[object]) -> None:
        """Send a message, sometimes twice, unless it is lost."""
        if (sender, recipient) in self.cut_links or self.random_source.random() < self.loss:
            return
        copies = 2 if self.random_source.random() < 0.05 else 1
        for _ in range(copies):
            delay = self.random_source.expovariate(1 / (0.02 * LEASE))
            if self.random_source.random() < 0.04:
                delay += self.random_source.uniform(0.2, 2.0) * LEASE
            self.sent_count += 1
            message = (self.now + delay, self.sent_count, sender, recipient, kind, json.dumps(fields))
            heapq.heappush(self.in_flight, message)

    def deliver(self, until: float) -> None:
        """Deliver all messages that are due up to `until`, in the order of their arrival."""
        while self.in_flight and self.in_flight[0][0] <= until:
            due_at, _, sender, recipient, kind, text = heapq.heappop(self.in_flight)
            self.now = max(self.now, due_at)
            self.deliver_message(recipient, sender, kind, json.loads(text))
        self.now = until

    def deliver_message(self, recipient: str, sender: str, kind: str, fields: list[object]) -> None:
        """Deliver one message to a running voter."""
        voter = self.voters.get(recipient)
        if voter is None or voter.node is None:
            return
        self.apply_effects(voter, voter.node.receive(self.clock(voter), sender, kind, fields))

    def run(self, steps: int) -> None:
        """Run some steps with random faults."""
        for step in range(steps):
            self.deliver(self.now + TICK_INTERVAL_LEASES * LEASE)
            if step % 40 == 0:
                self.change_network_conditions()
            for voter in self.voters.values():
                if voter.node is None:
                    self.restart_if_due(voter)
                else:
                    self.step_voter(voter)
            if step % STATE_RECORD_STEPS == 0:
                self.record([self.state_values(voter) for voter in self.voters.values()])

    def change_network_conditions(self) -> None:
        """Change the loss rate and the partitioned links."""
        self.loss = self.random_source.choice((0.0, 0.02, 0.1, 0.4))
        self.cut_links = set()
        kind = self.random_source.randrange(4)
        names = list(self.voters)
        if kind == 1:
            isolated = self.random_source.choice(names)
            self.cut_links = {(one, isolated) for one in names} | {(isolated, one) for one in names}
        elif kind == 2:
            isolated = self.leader() or self.random_source.choice(names)
            self.cut_links = {(isolated, one) for one in names}
        elif kind == 3:
            one_side = set(self.random_source.sample(names, len(names) // 2))
            self.cut_links = {
                (one, other) for one in names for other in names if (one in one_side) != (other in one_side)
            }

    def leader(self) -> str | None:
        """Return the name of a voter that holds the lease, if there is one."""
        for voter in self.voters.values():
            if voter.node is not None and voter.node.holds_lease(self.clock(voter)):
                return voter.name
        return None

    def restart_if_due(self, voter: Voter) -> None:
        """Restart a stopped voter when its restart is due."""
        if self.now < voter.restart_at:
            return
        durable_state = voter.durable_state
        if voter.loses_state:
            durable_state = None
            voter.incarnation += 1
        voter.loses_state = False
        voter.durable_state = durable_state
        node_random_source = SeededRandom(self.random_source.randrange(1 << 30))
        voter.node = RaftNode(
            voter.name, voter.incarnation, LEASE, node_random_source, self.clock(voter), durable_state
        )

    def step_voter(self, voter: Voter) -> None:
        """Tick a voter, give the leader a request, and sometimes stop the voter."""
        node = voter.node
        now = self.clock(voter)
        self.apply_effects(voter, node.tick(now))
        if node.holds_lease(now) or self.random_source.random() < 0.01:
            self.issue_request(voter, node, now)
        if node.holds_lease(now) and self.random_source.random() < 0.05:
            self.acknowledge_from_another_incarnation(voter, node)
        if self.random_source.random() < 0.004:
            voter.node = None
            voter.restart_at = self.now + self.random_source.uniform(0.2, 4.0) * LEASE
            voter.loses_state = self.random_source.random() < 0.4

    def issue_request(self, voter: Voter, node: RaftNode, now: float) -> None:
        """Propose a command, transfer leadership or readmit a voter; mostly on a leader."""
        random_source = self.random_source
        draw = random_source.random()
        if draw < 0.5:
            command = self.generate_command()
            self.record([voter.name, plain_value(command), node.propose(now, command)])
        elif draw < 0.53:
            name = random_source.choice(list(self.voters))
            self.apply_effects(voter, node.transfer_leadership(now, name))
        else:
            other = random_source.choice(list(self.voters.values()))
            self.record([voter.name, other.name, node.readmit_voter(now, other.name, other.incarnation)])
        self.apply_effects(voter, node.tick(now))

    def acknowledge_from_another_incarnation(self, voter: Voter, node: RaftNode) -> None:
        """Acknowledge a leader's last round from an earlier or a later incarnation of a voter."""
        other = self.random_source.choice(list(self.voters.values()))
        incarnation = other.incarnation + self.random_source.choice((-1, 1))
        fields = [node.durable.term, node.round_number, True, node.last_position().last_index, incarnation]
        self.deliver_message(voter.name, other.name, "appended", fields)

    def generate_command(self) -> tuple[object, ...]:
        """Generate a command for the log."""
        random_source = self.random_source
        kind = random_source.randrange(8)
        server = random_source.choice(list(self.voters))
        task = f"duty{random_source.randrange(4)}"
        if kind == 0:
            return ("drop", task)
        if kind == 1:
            fencing_token = random_source.choice((0, 0, 5))
            return (
                "turn",
                [
                    server,
                    random_source.randrange(9),
                    "reason",
                    1.5,
                    2.0,
                    random_source.randrange(3),
                    fencing_token,
                ],
            )
        if kind == 2:
            return ("turned", server)
        if kind == 3:
            return ("hold", random_source.random() < 0.5)
        if kind == 4:
            return ("epoch", random_source.randrange(200))
        if kind == 5:
            return random_source.choice((("dismiss", server), ("admit", server, 1), ("admit", "new", 1)))
        return ("grant", task, server, self.voters[server].incarnation)

    def state_values(self, voter: Voter) -> list[object]:
        """Return some public values of a voter's state.

        The role is recorded as text, because its number belongs to the implementation.
        """
        node = voter.node
        if node is None:
            return [voter.name]
        return [
            voter.name,
            f"role {node.role}",
            node.holds_lease(self.clock(voter)),
            node.may_vote(),
            node.leader,
            list(node.last_position()),
            node.commit_index,
            node.last_applied,
            plain_value(node.state),
            plain_value(node.state.task_lease("duty1")),
            plain_value(node.matched()),
        ]

    def start_and_abandon_elections(self, voter: Voter) -> None:
        """Start an election by leadership transfer, then end it by another leader, then by a higher term."""
        for kind in ("append", "would"):
            term = voter.node.durable.term + 1
            index, last_term = voter.node.last_position()
            self.deliver_message(voter.name, "x", "append", [term, 1, index, last_term, [], 0])
            self.deliver_message(voter.name, "x", "stand", [term])
            self.record(self.state_values(voter))
            if kind == "append":
                self.deliver_message(voter.name, "y", "append", [term + 1, 1, index, last_term, [], 0])
            else:
                self.deliver_message(voter.name, "y", "would", [term + 1, term + 5, False])
            self.record(self.state_values(voter))

    def deliver_invalid_messages(self) -> None:
        """Deliver malformed messages, messages of old terms and of unknown senders to every voter."""
        random_source = self.random_source
        malformed_values = (None, True, -1, 0, 3, 10**6, "x", [], [[1, ["begin"]]], {"a": 1})
        for voter in self.voters.values():
            if voter.node is None:
                voter.restart_at = 0.0
                self.restart_if_due(voter)
            term = voter.node.durable.term
            index, last_term = voter.node.last_position()
            self.deliver_message(voter.name, "x", "append", [term - 1, 1, 0, 0, [], 0])
            self.deliver_message(voter.name, "x", "snapshot", [term - 1, 1, 0, 0, []])
            self.deliver_message(voter.name, "x", "append", [term + 1, 1, index, last_term, [7], 0])
            self.deliver_message(voter.name, "x", "snapshot", [term + 2, 1, index + 9, term, "none"])
            self.deliver_message(voter.name, "x", "odd", [])
            self.start_and_abandon_elections(voter)
            for _ in range(30):
                fields = [
                    random_source.choice(malformed_values) for _ in range(random_source.randrange(1, 7))
                ]
                self.deliver_message(
                    voter.name, random_source.choice(NAMES), random_source.choice(KINDS), fields
                )


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run the random faults, the invalid messages and the single voter, and record all effects."""
    record(
        [
            raft.LOG_ENTRIES_RETAINED,
            raft.ENTRIES_PER_MESSAGE,
            raft.HEARTBEAT_INTERVAL,
            raft.CLOCK_DRIFT,
            raft.ELECTION_SPREAD,
        ]
    )
    record(plain_value(ClusterState()))
    record(plain_value(DurableState(entries=(LogEntry(1, ("begin",)),))))
    original_limits = raft.LOG_ENTRIES_RETAINED, raft.ENTRIES_PER_MESSAGE, raft.ELECTION_SPREAD
    raft.LOG_ENTRIES_RETAINED = RETAINED_LOG_ENTRIES
    raft.ENTRIES_PER_MESSAGE = MAX_ENTRIES_PER_MESSAGE
    try:
        faulty_network = Network(NAMES, seed, record, initial_token_and_term=(0, 0))
        faulty_network.run(STEPS)
        faulty_network.deliver_invalid_messages()
        raft.ELECTION_SPREAD = 0.0
        equal_timeouts = Network(NAMES, seed + 2, record, initial_token_and_term=(0, 0))
        equal_timeouts.run(EQUAL_TIMEOUT_STEPS)
        single_voter = Network(NAMES[:1], seed + 1, record, initial_token_and_term=(40, 7))
        single_voter.run(100)
        single_voter.deliver_invalid_messages()
    finally:
        raft.LOG_ENTRIES_RETAINED, raft.ENTRIES_PER_MESSAGE, raft.ELECTION_SPREAD = original_limits
