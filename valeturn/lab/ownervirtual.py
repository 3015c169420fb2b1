"""The owner's decision in virtual time, under a storm: messages lost, doubled, late and out of order, cuts,
stops, kills with and without their disk, hand-overs, clocks of their own; a witness that looks at every
moment.

The witness knows the true time and asks each owner by that owner's clock, as its duties would.
"""

from __future__ import annotations

from ..cluster.raft import CLOCK_DRIFT, Committed, Persist, RaftNode, Send
from ..transport.seeded_random import SeededRandom
from .virtual import Timeline, percentile

LEASE = 1.0  # s
TICK = LEASE / 12
DELAY = 0.005  # s one way at the least


class Witness:
    """What must hold at every moment, whatever happens."""

    def __init__(self):
        self.at_once, self.forked, self.two_in_a_term, self.fences_fell = [], [], [], []
        self.facts, self.leaders = {}, {}  # index -> fact; term -> name
        self.fence, self.terms, self.unowned_since, self.unowned = 0, set(), 0.0, []

    def look(self, now, acting):
        """acting: (name, term) of all that would act for the fleet at this moment."""
        if len({name for name, _ in acting}) > 1:
            self.at_once.append((now, acting))
        for name, term in acting:
            self.terms.add(term)
            if self.leaders.setdefault(term, name) != name:
                self.two_in_a_term.append((now, term, name))
        if acting and self.unowned_since is not None:
            self.unowned.append(now - self.unowned_since)
            self.unowned_since = None
        elif not acting and self.unowned_since is None:
            self.unowned_since = now

    def told(self, now, name, told):
        if told.command[0] == "snapshot":
            return
        if self.facts.setdefault(told.log_index, told.command) != told.command:
            self.forked.append((now, name, told.log_index, told.command, self.facts[told.log_index]))
        if told.command[0] == "grant" and told.log_index == max(self.facts):
            if told.state.fencing_token < self.fence:
                self.fences_fell.append((now, told))
            self.fence = max(self.fence, told.state.fencing_token)

    def broken(self):
        return len(self.at_once) + len(self.forked) + len(self.two_in_a_term) + len(self.fences_fell)


class Voter:
    def __init__(self, storm, number):
        self.storm, self.name, self.rate = storm, f"n{number}", 1.0
        self.disk, self.life, self.up, self.stopped, self.held = None, 1, True, False, []

    def start(self, voters=()):
        random_source = SeededRandom(hash_of(self.name) + 31 * self.life + self.storm.seed)
        self.owner = self.storm.make(
            self.name, self.life, LEASE, random_source, self.clock(), self.disk, voters
        )
        self.starts = getattr(self, "starts", 0) + 1
        self.storm.at(TICK * self.storm.random_source.random(), self.tick, self.starts)

    def clock(self):
        return self.storm.now * self.rate + 1000.0

    def tick(self, starts):
        if self.up and starts == self.starts:
            self.storm.at(TICK, self.tick, starts)
            if not self.stopped:
                self.carry(self.owner.tick(self.clock()))

    def hear(self, sender, kind, fields):
        if not self.up:
            return
        if self.stopped:
            self.held.append((sender, kind, fields))
        else:
            self.carry(self.owner.receive(self.clock(), sender, kind, fields))

    def carry(self, effects):
        for effect in effects:
            if isinstance(effect, Persist):
                self.disk = effect.durable
            elif isinstance(effect, Send):
                self.storm.send(self.name, effect)
            elif isinstance(effect, Committed):
                self.storm.witness.told(self.storm.now, self.name, effect)


def hash_of(name):
    return sum(31**n * b for n, b in enumerate(name.encode()))


class Storm(Timeline):
    def __init__(self, count, seed, loss=0.05, doubled=0.02, late=0.02, owner=RaftNode):
        super().__init__()
        self.seed, self.random_source = seed, SeededRandom(seed)
        for _ in range(8):
            self.random_source.random()
        self.loss, self.doubled, self.late, self.make = loss, doubled, late, owner
        self.witness, self.cuts, self.faults, self.granted = Witness(), set(), 0, 0
        self.voters = {f"n{n}": Voter(self, n) for n in range(count)}
        for voter in self.voters.values():
            voter.rate = 1 + CLOCK_DRIFT * 0.9 * (self.random_source.random() - 0.5)
        founding = tuple((name, 1) for name in self.voters)
        for voter in self.voters.values():
            voter.start(founding)
        self.wiped = set()

    def look(self):
        acting = [
            (v.name, v.owner.durable.term)
            for v in self.voters.values()
            if v.up and not v.stopped and v.owner.holds_lease(v.clock())
        ]
        self.witness.look(self.now, acting)

    def send(self, sender, effect):
        if (sender, effect.to) in self.cuts or self.random_source.random() < self.loss:
            return
        for _ in range(1 + (self.random_source.random() < self.doubled)):
            delay = DELAY * (1 + 4 * self.random_source.random())
            if self.random_source.random() < self.late:
                delay += 3 * LEASE * self.random_source.random()
            self.at(delay, self.arrive, effect.to, sender, effect.kind, effect.fields)

    def arrive(self, to, sender, kind, fields):
        if to in self.voters:
            self.voters[to].hear(sender, kind, fields)

    def leader(self):
        return next(
            (v for v in self.voters.values() if v.up and not v.stopped and v.owner.holds_lease(v.clock())),
            None,
        )

    # ---- faults

    def fault(self):
        """One of them, by chance; each ends by itself."""
        self.faults += 1
        names, share = sorted(self.voters), self.random_source.random
        voter = self.voters[names[int(share() * len(names))]]
        kind = int(share() * 7)
        lasts = LEASE * (0.3 + 4 * share())
        if kind == 0 and voter.up and not voter.stopped:
            voter.stopped = True
            self.at(lasts, self.go_on, voter)
        elif kind in (1, 2) and voter.up:
            voter.up, voter.stopped, voter.held = False, False, []
            # Without its disk only while the others are a majority that remembers.
            wipe = kind == 2 and not self.wiped and len(names) > 2
            if wipe:
                self.wiped.add(voter.name)
            self.at(lasts, self.back, voter, wipe)
        elif kind == 3:
            side = {name for name in names if share() < 0.5}
            cut = {(a, b) for a in side for b in names if b not in side}
            cut |= {(b, a) for a, b in cut} if share() < 0.6 else set()
            self.cuts |= cut
            self.at(lasts, self.heal, cut)
        elif kind == 4:
            leader = self.leader()
            if leader is not None:
                others = [name for name in names if name != leader.name]
                leader.carry(
                    leader.owner.transfer_leadership(leader.clock(), others[int(share() * len(others))])
                )
        elif kind == 5:
            leader = self.leader()
            if leader is not None:
                self.granted += leader.owner.propose(
                    leader.clock(), ("grant", f"d{int(3 * share())}", leader.name, leader.life)
                )
                leader.carry(leader.owner.tick(leader.clock()))
        else:
            leader = self.leader()
            if leader is not None:
                leader.stopped = True
                self.at(lasts, self.go_on, leader)

    def go_on(self, voter):
        if voter.up and voter.stopped:
            voter.stopped, held = False, voter.held
            voter.held = []
            # it wakes in the middle of what it did: effects first, then messages
            if self.random_source.random() < 0.5:
                self.look()
            for one in held:
                voter.hear(*one)

    def back(self, voter, wipe):
        voter.up = True
        if wipe:
            voter.disk, voter.life = None, voter.life + 1
        voter.start()
        if wipe:
            self.at(LEASE, self.readmit, voter)

    def readmit(self, voter):
        """The leader of the moment takes a voter's new life in, until it is."""
        if not voter.owner.durable.state_lost:
            self.wiped.discard(voter.name)
            return
        leader = self.leader()
        if leader is not None:
            leader.owner.readmit_voter(leader.clock(), voter.name, voter.life)
            leader.carry(leader.owner.tick(leader.clock()))
        self.at(LEASE, self.readmit, voter)

    def heal(self, cut):
        self.cuts -= cut


def play(count, faults, seed, **how):
    """So many faults, one each second or so, then quiet. Returns the storm."""
    storm = Storm(count, seed, **how)
    storm.run(5 * LEASE)
    for _ in range(faults):
        storm.fault()
        storm.run(storm.now + LEASE * (0.2 + 1.5 * storm.random_source.random()))
    storm.cuts = set()
    storm.run(storm.now + 30 * LEASE)
    return storm


def owner_lost(count, seed, times=20):
    """Seconds without an owner after its loss, so many times, with nothing else wrong."""
    storm, out = Storm(count, seed, loss=0.0, doubled=0.0, late=0.0), []
    storm.run(5 * LEASE)
    for _ in range(times):
        lost, at = storm.leader(), storm.now
        lost.up = False
        while storm.leader() is None and storm.now < at + 30 * LEASE:
            storm.run(storm.now + 0.01)
        out.append(storm.now - at)
        storm.back(lost, False)
        storm.run(storm.now + 3 * LEASE)
    return out


def main(count, faults, seeds, out):
    """One line a seed and one for all; 1 where the witness saw a rule broken."""
    bad, unowned, terms, done = 0, [], 0, 0
    for seed in seeds:
        storm = play(count, faults, seed)
        w = storm.witness
        bad, terms, done = bad + w.broken(), terms + len(w.terms), done + storm.faults
        unowned += w.unowned
        print(
            f"seed={seed} faults={storm.faults} terms={len(w.terms)} facts={len(w.facts)} "
            f"owners_at_once={len(w.at_once)} forked={len(w.forked)} two_in_a_term={len(w.two_in_a_term)} "
            f"fences_fell={len(w.fences_fell)} led_at_the_end={int(storm.leader() is not None)}",
            file=out,
            flush=True,
        )
    lost = [seconds for seed in seeds for seconds in owner_lost(count, seed)]
    print(
        f"virtual servers={count} lease={LEASE:g}s faults={done} terms={terms} broken={bad} "
        f"unowned_in_the_storm_p50={percentile(unowned, 0.5):.2f}s p99={percentile(unowned, 0.99):.2f}s "
        f"owner_lost_p50={percentile(lost, 0.5):.2f}s p99={percentile(lost, 0.99):.2f}s",
        file=out,
    )
    return 1 if bad else 0
