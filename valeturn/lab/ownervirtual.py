"""Simulate the election of the cluster's owner in virtual time, under faults, and check its history.

Messages are lost, duplicated, late and out of order; links are blocked; voters are suspended and killed, with
and without their disk; leadership is handed over; each voter has its own clock. The checker looks after every
event. It knows the true time, and asks each voter by that voter's clock whether it holds the lease, as the
voter's tasks would.
"""

from __future__ import annotations

from ..cluster.raft import CLOCK_DRIFT, Committed, Persist, RaftNode, Send
from ..transport.seeded_random import SeededRandom
from .virtual import Timeline, percentile

LEASE = 1.0  # seconds
TICK_S = LEASE / 12
SHORTEST_DELAY_S = 0.005  # of a message, one way


class HistoryChecker:
    """Checks the invariants that must hold at every moment, and collects violations."""

    def __init__(self):
        (
            self.simultaneous_owners,
            self.diverging_commands,
            self.duplicate_leaders,
            self.decreased_fencing_tokens,
        ) = [], [], [], []
        self.committed_commands, self.leaders_by_term = {}, {}  # log index -> command; term -> leader
        self.highest_fencing_token, self.terms, self.ownerless_since, self.ownerless_periods_s = (
            0,
            set(),
            0.0,
            [],
        )

    def look(self, now, acting_owners):
        """Check one moment.

        Args:
            acting_owners: (name, term) of all voters that would act as the owner now.
        """
        if len({name for name, _ in acting_owners}) > 1:
            self.simultaneous_owners.append((now, acting_owners))
        for name, term in acting_owners:
            self.terms.add(term)
            if self.leaders_by_term.setdefault(term, name) != name:
                self.duplicate_leaders.append((now, term, name))
        if acting_owners and self.ownerless_since is not None:
            self.ownerless_periods_s.append(now - self.ownerless_since)
            self.ownerless_since = None
        elif not acting_owners and self.ownerless_since is None:
            self.ownerless_since = now

    def record_commit(self, now, name, committed):
        """Check a command that a voter reports as committed."""
        if committed.command[0] == "snapshot":
            return
        if self.committed_commands.setdefault(committed.log_index, committed.command) != committed.command:
            self.diverging_commands.append(
                (
                    now,
                    name,
                    committed.log_index,
                    committed.command,
                    self.committed_commands[committed.log_index],
                )
            )
        if committed.command[0] == "grant" and committed.log_index == max(self.committed_commands):
            if committed.state.fencing_token < self.highest_fencing_token:
                self.decreased_fencing_tokens.append((now, committed))
            self.highest_fencing_token = max(self.highest_fencing_token, committed.state.fencing_token)

    def violation_count(self):
        """Return the number of violations."""
        return (
            len(self.simultaneous_owners)
            + len(self.diverging_commands)
            + len(self.duplicate_leaders)
            + len(self.decreased_fencing_tokens)
        )


class Voter:
    """One voter: its Raft node, its disk and its clock."""

    def __init__(self, simulation, number):
        self.simulation, self.name, self.rate = simulation, f"n{number}", 1.0
        self.disk, self.incarnation, self.up, self.suspended, self.held_messages = None, 1, True, False, []

    def start(self, voters=()):
        """Start a node from the disk."""
        random_source = SeededRandom(stable_hash(self.name) + 31 * self.incarnation + self.simulation.seed)
        self.owner = self.simulation.node_factory(
            self.name, self.incarnation, LEASE, random_source, self.clock(), self.disk, voters
        )
        self.start_count = getattr(self, "start_count", 0) + 1
        self.simulation.at(TICK_S * self.simulation.random_source.random(), self.tick, self.start_count)

    def clock(self):
        """Return the time of the voter's own clock in seconds."""
        return self.simulation.now * self.rate + 1000.0

    def tick(self, start_count):
        """Tick periodically until the node is started again."""
        if self.up and start_count == self.start_count:
            self.simulation.at(TICK_S, self.tick, start_count)
            if not self.suspended:
                self.apply_effects(self.owner.tick(self.clock()))

    def receive(self, sender, kind, fields):
        """Process a message; hold it back while the voter is suspended."""
        if not self.up:
            return
        if self.suspended:
            self.held_messages.append((sender, kind, fields))
        else:
            self.apply_effects(self.owner.receive(self.clock(), sender, kind, fields))

    def apply_effects(self, effects):
        """Persist, send and report what the node asks for."""
        for effect in effects:
            if isinstance(effect, Persist):
                self.disk = effect.durable
            elif isinstance(effect, Send):
                self.simulation.send(self.name, effect)
            elif isinstance(effect, Committed):
                self.simulation.checker.record_commit(self.simulation.now, self.name, effect)


def stable_hash(name):
    """Return a hash that is the same in every process."""
    return sum(31**position * byte for position, byte in enumerate(name.encode()))


class FaultSimulation(Timeline):
    """Voters, the network between them and the faults of both.

    Args:
        count: How many voters there are.
        seed: Of the random draws.
        loss: The share of messages that are lost.
        duplicated: The share of messages that arrive twice.
        late: The share of messages that are delayed by up to three leases.
        owner: The class of the voters' nodes.
    """

    def __init__(self, count, seed, loss=0.05, duplicated=0.02, late=0.02, owner=RaftNode):
        super().__init__()
        self.seed, self.random_source = seed, SeededRandom(seed)
        for _ in range(8):
            self.random_source.random()
        self.loss, self.duplicated, self.late, self.node_factory = loss, duplicated, late, owner
        self.checker, self.blocked_links, self.faults, self.grants_proposed = HistoryChecker(), set(), 0, 0
        self.voters = {f"n{number}": Voter(self, number) for number in range(count)}
        for voter in self.voters.values():
            voter.rate = 1 + CLOCK_DRIFT * 0.9 * (self.random_source.random() - 0.5)
        founding = tuple((name, 1) for name in self.voters)
        for voter in self.voters.values():
            voter.start(founding)
        self.wiped = set()

    def look(self):
        """Check the invariants after every event."""
        acting_owners = [
            (voter.name, voter.owner.durable.term)
            for voter in self.voters.values()
            if voter.up and not voter.suspended and voter.owner.holds_lease(voter.clock())
        ]
        self.checker.look(self.now, acting_owners)

    def send(self, sender, effect):
        """Deliver a message later, unless it is lost or its link is blocked."""
        if (sender, effect.to) in self.blocked_links or self.random_source.random() < self.loss:
            return
        for _ in range(1 + (self.random_source.random() < self.duplicated)):
            delay = SHORTEST_DELAY_S * (1 + 4 * self.random_source.random())
            if self.random_source.random() < self.late:
                delay += 3 * LEASE * self.random_source.random()
            self.at(delay, self.arrive, effect.to, sender, effect.kind, effect.fields)

    def arrive(self, to, sender, kind, fields):
        """Deliver a message that is due."""
        if to in self.voters:
            self.voters[to].receive(sender, kind, fields)

    def leader(self):
        """Return a running voter that holds the lease, or None."""
        return next(
            (
                voter
                for voter in self.voters.values()
                if voter.up and not voter.suspended and voter.owner.holds_lease(voter.clock())
            ),
            None,
        )

    # ---- faults

    def inject_fault(self):
        """Draw and apply one fault, which ends by itself."""
        self.faults += 1
        names, draw = sorted(self.voters), self.random_source.random
        voter = self.voters[names[int(draw() * len(names))]]
        kind = int(draw() * 7)
        duration_s = LEASE * (0.3 + 4 * draw())
        if kind == 0 and voter.up and not voter.suspended:
            voter.suspended = True
            self.at(duration_s, self.resume, voter)
        elif kind in (1, 2) and voter.up:
            voter.up, voter.suspended, voter.held_messages = False, False, []
            # The disk is lost only while the other voters still are a majority with their durable state.
            wipe = kind == 2 and not self.wiped and len(names) > 2
            if wipe:
                self.wiped.add(voter.name)
            self.at(duration_s, self.restart, voter, wipe)
        elif kind == 3:
            side = {name for name in names if draw() < 0.5}
            links = {(sender, receiver) for sender in side for receiver in names if receiver not in side}
            links |= {(receiver, sender) for sender, receiver in links} if draw() < 0.6 else set()
            self.blocked_links |= links
            self.at(duration_s, self.unblock_links, links)
        elif kind == 4:
            leader = self.leader()
            if leader is not None:
                others = [name for name in names if name != leader.name]
                leader.apply_effects(
                    leader.owner.transfer_leadership(leader.clock(), others[int(draw() * len(others))])
                )
        elif kind == 5:
            leader = self.leader()
            if leader is not None:
                self.grants_proposed += leader.owner.propose(
                    leader.clock(), ("grant", f"d{int(3 * draw())}", leader.name, leader.incarnation)
                )
                leader.apply_effects(leader.owner.tick(leader.clock()))
        else:
            leader = self.leader()
            if leader is not None:
                leader.suspended = True
                self.at(duration_s, self.resume, leader)

    def resume(self, voter):
        """End a suspension and process the messages that arrived meanwhile."""
        if voter.up and voter.suspended:
            voter.suspended, messages = False, voter.held_messages
            voter.held_messages = []
            # The voter may act first, from where it was suspended, and read its messages then.
            if self.random_source.random() < 0.5:
                self.look()
            for message in messages:
                voter.receive(*message)

    def restart(self, voter, wipe):
        """Start a killed voter again; with `wipe`, as a new incarnation without its disk."""
        voter.up = True
        if wipe:
            voter.disk, voter.incarnation = None, voter.incarnation + 1
        voter.start()
        if wipe:
            self.at(LEASE, self.readmit, voter)

    def readmit(self, voter):
        """Have the current leader readmit a voter's new incarnation; repeat until that has worked."""
        if not voter.owner.durable.state_lost:
            self.wiped.discard(voter.name)
            return
        leader = self.leader()
        if leader is not None:
            leader.owner.readmit_voter(leader.clock(), voter.name, voter.incarnation)
            leader.apply_effects(leader.owner.tick(leader.clock()))
        self.at(LEASE, self.readmit, voter)

    def unblock_links(self, links):
        """End a partition."""
        self.blocked_links -= links


def play(count, faults, seed, **options):
    """Inject this many faults, about one a lease, then run 30 leases without new ones.

    Returns:
        The simulation at its end.
    """
    simulation = FaultSimulation(count, seed, **options)
    simulation.run(5 * LEASE)
    for _ in range(faults):
        simulation.inject_fault()
        simulation.run(simulation.now + LEASE * (0.2 + 1.5 * simulation.random_source.random()))
    simulation.blocked_links = set()
    simulation.run(simulation.now + 30 * LEASE)
    return simulation


def measure_owner_loss(count, seed, times=20):
    """Kill the owner repeatedly, without other faults; return the seconds until each next owner."""
    simulation, durations_s = FaultSimulation(count, seed, loss=0.0, duplicated=0.0, late=0.0), []
    simulation.run(5 * LEASE)
    for _ in range(times):
        lost_leader, lost_at = simulation.leader(), simulation.now
        lost_leader.up = False
        while simulation.leader() is None and simulation.now < lost_at + 30 * LEASE:
            simulation.run(simulation.now + 0.01)
        durations_s.append(simulation.now - lost_at)
        simulation.restart(lost_leader, False)
        simulation.run(simulation.now + 3 * LEASE)
    return durations_s


def main(count, faults, seeds, out):
    """Print a line for each seed and one for all; return 1 when there was a violation."""
    violations, all_ownerless_periods_s, terms, fault_count = 0, [], 0, 0
    for seed in seeds:
        simulation = play(count, faults, seed)
        checker = simulation.checker
        violations, terms, fault_count = (
            violations + checker.violation_count(),
            terms + len(checker.terms),
            fault_count + simulation.faults,
        )
        all_ownerless_periods_s += checker.ownerless_periods_s
        print(
            f"seed={seed} faults={simulation.faults} terms={len(checker.terms)} "
            f"facts={len(checker.committed_commands)} "
            f"owners_at_once={len(checker.simultaneous_owners)} "
            f"forked={len(checker.diverging_commands)} two_in_a_term={len(checker.duplicate_leaders)} "
            f"fences_fell={len(checker.decreased_fencing_tokens)} "
            f"led_at_the_end={int(simulation.leader() is not None)}",
            file=out,
            flush=True,
        )
    owner_losses_s = [seconds for seed in seeds for seconds in measure_owner_loss(count, seed)]
    print(
        f"virtual servers={count} lease={LEASE:g}s faults={fault_count} terms={terms} broken={violations} "
        f"unowned_in_the_storm_p50={percentile(all_ownerless_periods_s, 0.5):.2f}s "
        f"p99={percentile(all_ownerless_periods_s, 0.99):.2f}s "
        f"owner_lost_p50={percentile(owner_losses_s, 0.5):.2f}s p99={percentile(owner_losses_s, 0.99):.2f}s",
        file=out,
    )
    return 1 if violations else 0
