"""Who owns what the fleet does once: terms, votes, a leader's lease, a small log of facts. No I/O.

After "In Search of an Understandable Consensus Algorithm" (Raft; Ongaro, Ousterhout) and Ongaro's thesis
(pre-vote, leadership transfer, one change of voters at a time). What differs, and why it holds, is in
docs/design/one-owner.md:

- A leader's lease: it acts only until `lease` after the sending of the last round that a majority
  answered, by its own clock, which goes on through suspend; who answered gives no vote for `lease` x (1 +
  DRIFT) by its own. So no other can lead while it acts, as long as no clock runs DRIFT faster than another.
- What a voter must not forget (term, vote, log) is handed out as a Persist effect, which has to be
  durable before the sends after it go out. A voter that came back without it is *blank*: it gives no vote
  and counts in no majority until the leader has committed a fact that names its new life.

The log's facts are a few: who owns a duty under which fence, who votes. Its state is the snapshot.
"""

from __future__ import annotations

from typing import NamedTuple

# Roles.
FOLLOWER, SOUNDING, CANDIDATE, LEADER = range(4)
ROLES = ("follower", "sounding", "candidate", "leader")
# Inputs that move a role. HIGHER: a message of a higher term. LED: one of this term's leader. SILENT: nothing
# of a leader for the election time. BACKED: a majority would vote, or has. OUT: the lease could not be
# renewed in time. HANDED: the leader asks this one to stand at once.
HIGHER, LED, SILENT, BACKED, OUT, HANDED = range(6)

# (role, input) -> (next role, effect). A pair that is missing changes nothing.
TABLE = {
    (FOLLOWER, SILENT): (SOUNDING, "sound_out"),
    (FOLLOWER, HANDED): (CANDIDATE, "stand"),
    (FOLLOWER, HIGHER): (FOLLOWER, "take_term"),
    (FOLLOWER, LED): (FOLLOWER, "follow"),
    (SOUNDING, BACKED): (CANDIDATE, "stand"),
    (SOUNDING, SILENT): (SOUNDING, "sound_out"),
    (SOUNDING, HIGHER): (FOLLOWER, "take_term"),
    (SOUNDING, LED): (FOLLOWER, "follow"),
    (SOUNDING, HANDED): (CANDIDATE, "stand"),
    (CANDIDATE, BACKED): (LEADER, "lead"),
    (CANDIDATE, SILENT): (SOUNDING, "sound_out"),
    (CANDIDATE, HIGHER): (FOLLOWER, "take_term"),
    (CANDIDATE, LED): (FOLLOWER, "follow"),
    (LEADER, HIGHER): (FOLLOWER, "take_term"),
    (LEADER, OUT): (FOLLOWER, "step_down"),
}

BEAT = 0.25  # of the lease between rounds: three may be lost before it runs out
DRIFT = 0.02  # by which one clock may run faster than another: a hundred times what quartz does
APART = 0.5  # of the lease, over which election times are spread by chance, so that one stands first
KEPT = 256  # entries of the log kept behind the snapshot
MOST = 64  # entries in one message


class Entry(NamedTuple):
    term: int
    fact: tuple  # (kind, ...): see Facts


def fact_of(said):
    """A fact as the log has it, from a list of a message or a file."""
    return tuple(tuple(one) if isinstance(one, list) else one for one in said)


class Facts(NamedTuple):
    """What the log says, applied in order; a value."""

    voters: tuple = ()  # (name, life) of those that vote
    duties: tuple = ()  # (duty, owner, life, fence), by duty
    fence: int = 0  # the largest handed out
    turns: tuple = ()  # rows of machines that go out for work, by server: see maintenance/drain_schedule.py
    held: bool = False  # nobody else goes out

    def duty(self, name):
        return next((row for row in self.duties if row[0] == name), None)

    def apply(self, fact):
        kind, *what = fact
        if kind == "grant":  # duty, owner, life: the fence only rises
            duty, owner, life = what
            rows = [row for row in self.duties if row[0] != duty]
            fence = self.fence + 1
            return self._replace(duties=tuple(sorted([*rows, (duty, owner, life, fence)])), fence=fence)
        if kind == "drop":
            return self._replace(duties=tuple(row for row in self.duties if row[0] != what[0]))
        if kind == "turn":  # a row: server, number, ..., its state and fence, which a grant allots
            return self._turn(*what)
        if kind == "turned":
            return self._replace(turns=tuple(row for row in self.turns if row[0] != what[0]))
        if kind == "hold":
            return self._replace(held=bool(what[0]))
        # name, life: votes from now on; an earlier life is dismissed first, by a fact of its own
        if kind == "admit":
            name, life = what
            if name in dict(self.voters):
                return self
            return self._replace(voters=tuple(sorted([*self.voters, (name, life)])))
        if kind == "dismiss":
            return self._replace(voters=tuple((n, x) for n, x in self.voters if n != what[0]))
        if kind == "epoch":  # after a revival by command: above all that was ever handed out
            return self._replace(fence=max(self.fence, what[0]))
        return self  # "begin": a new leader's first entry

    def _turn(self, row):
        row, fence = list(row), self.fence
        if row[STATE] == GRANTED and not row[FENCE]:
            row[FENCE] = fence = fence + 1
        rows = [one for one in self.turns if one[0] != row[0]]
        return self._replace(turns=tuple(sorted([*rows, tuple(row)])), fence=fence)

    def packed(self):
        return [
            [list(row) for row in self.voters],
            [list(row) for row in self.duties],
            self.fence,
            [list(row) for row in self.turns],
            self.held,
        ]

    @classmethod
    def read(cls, said):
        """From what `packed` gave. Raises TypeError or ValueError where it is none."""
        voters, duties, fence, turns, held = said
        return cls(
            tuple((str(n), int(life)) for n, life in voters),
            tuple((str(d), str(o), int(life), int(f)) for d, o, life, f in duties),
            int(fence),
            tuple(tuple(row) for row in turns),
            bool(held),
        )


STATE, FENCE, GRANTED = 5, 6, 1  # of a turn's row, as maintenance/drain_schedule.py has it


class Kept(NamedTuple):
    """What a voter must not forget."""

    term: int = 0
    vote: str | None = None
    base: int = 0  # entries that stand in the snapshot
    base_term: int = 0
    facts: Facts = Facts()  # the snapshot
    entries: tuple = ()  # behind it
    blank: bool = False  # it forgot what it had kept under an earlier life, and was not readmitted yet


class Persist(NamedTuple):
    """To be durable before any send after it."""

    kept: Kept


class Send(NamedTuple):
    to: str
    kind: str
    fields: list


class Told(NamedTuple):
    """Committed: the fact at this index, and what holds after it."""

    index: int
    fact: tuple
    facts: Facts


class Owner:
    """One voter, or one that only listens. `kept` is what it found on its disk, or None where it has none."""

    def __init__(self, name, life, lease, chance, now, kept=None, voters=(), fence=0, term=0):
        """lease: s. voters: of a fleet that begins: the same (name, life) pairs everywhere, and no kept.
        fence: above which its numbers begin; term: after which its terms do, where an earlier fleet is
        revived."""
        self.name, self.life, self.lease, self.chance = name, life, lease, chance
        if kept is None:  # founders stand in a snapshot of index 1: one that knows nothing is sent it
            facts = Facts(voters=tuple(sorted(voters)), fence=fence)
            kept = Kept(term=term, base=int(bool(voters)), facts=facts, blank=not voters)
        self.kept, self.facts = kept, kept.facts
        self.commit = self.applied = kept.base
        self.role, self.leader = FOLLOWER, None
        # A voter that has just started may have answered a leader right before: it waits as if it had.
        self.promised_until = now + self.promise()
        self.backers, self.round, self.rounds = set(), 0, {}  # rounds: number -> [sent at, who answered]
        self.lease_until, self.out_at, self.beat_at = -1.0, now, now
        self.handing = False  # it has handed over: it never acts in this term again
        self.next, self.match = {}, {}
        self.out, self.dirty = [], bool(voters)  # a founder remembers from the first that it is one
        self._wait(now)

    # ---- what others ask of it

    def leads(self, now):
        """Whether it may act for the fleet at this moment: to be asked after every wait and before every
        effect."""
        return self.role == LEADER and now < self.lease_until

    def last(self):
        """(index, term) of its log's end."""
        kept = self.kept
        return kept.base + len(kept.entries), kept.entries[-1].term if kept.entries else kept.base_term

    def may_vote(self):
        return not self.kept.blank and (self.name, self.life) in self._voters()

    def _voters(self):
        """Those of the newest configuration in its log, committed or not, as Raft has it."""
        facts = self.kept.facts
        for entry in self.kept.entries:
            if entry.fact[0] in ("admit", "dismiss"):
                facts = facts.apply(entry.fact)
        return facts.voters

    def _others(self):
        return [name for name, _ in self._voters() if name != self.name]

    def _majority(self, names):
        voters = {name for name, _ in self._voters()}
        return 2 * len(set(names) & voters) > len(voters)

    # ---- time

    def tick(self, now):
        """To be called a dozen times a lease. Returns effects, in order."""
        if self.role == LEADER:
            if now >= self.out_at:
                self._step(now, OUT)
            elif now >= self.beat_at:
                self._beat(now)
        elif now >= self.stand_at and self.may_vote() and now >= self.promised_until:
            self._step(now, SILENT)
        return self._taken()

    def propose(self, now, fact):
        """The leader's: a fact for the log. False where it can't be proposed now; one change of voters at a
        time."""
        changes = [e for e in self._behind(self.commit) if e.fact[0] in ("admit", "dismiss")]
        if not self.leads(now) or fact[0] in ("admit", "dismiss") and (changes or not self._began()):
            return False
        if tuple(fact[:2]) == ("dismiss", self.name):  # it hands over first
            return False
        self._append(Entry(self.kept.term, fact_of(fact)))
        self._beat(now)
        return True

    def hand_over(self, now, name):
        """The leader's, when it drains: asks one that has all to stand at once, and acts no more itself."""
        if self.leads(now) and (name, self.last()[0]) in self.matched():
            self.lease_until, self.handing, self.rounds = now, True, {}
            self.out.append(Send(name, "stand", [self.kept.term]))
        return self._taken()

    def readmit(self, now, name, life):
        """The leader's: one that came back without what it had kept votes again, as one that never did
        would. Two facts, to be asked for until it is done: the earlier life is dismissed, then the new one
        admitted. In one step a majority with the earlier life and one with the new need not share a voter
        that remembers."""
        known = dict(self._voters()).get(name)
        if known == life:
            return False
        return self.propose(now, ("admit", name, life) if known is None else ("dismiss", name))

    # ---- messages

    def hear(self, now, sender, kind, fields):
        """Returns effects. Fields of a wrong form are ignored."""
        if kind in self.KINDS:
            try:
                getattr(self, "on_" + kind)(now, sender, *fields)
            except (TypeError, ValueError):
                self.out = [one for one in self.out if isinstance(one, Persist)]
        return self._taken()

    def on_sound(self, now, sender, term, index, last_term):
        """Would it vote? A sounding costs no term, so that one that was cut off upsets nobody."""
        would = (
            self.may_vote()
            and term > self.kept.term
            and (last_term, index) >= self.last()[::-1]
            and (now >= self.promised_until and not self.leads(now))
        )
        self.out.append(Send(sender, "would", [term, self.kept.term, would]))

    def on_would(self, now, sender, asked, term, would):
        if term > self.kept.term:
            self._step(now, HIGHER, term=term)
        elif self.role == SOUNDING and would is True and asked == self.kept.term + 1:
            self.backers.add(sender)
            if self._majority(self.backers):
                self._step(now, BACKED)

    def on_vote(self, now, sender, term, index, last_term, handed):
        # While a promise to a leader lasts a vote is refused even in a higher term, unless that leader
        # asked for it.
        if not self.may_vote() or self.leads(now) or now < self.promised_until and handed is not True:
            return
        if term > self.kept.term:
            self._step(now, HIGHER, term=term)
        free = self.kept.vote in (None, sender)
        if term == self.kept.term and free and (last_term, index) >= self.last()[::-1]:
            if self.kept.vote is None:
                self._keep(vote=sender)
            self._wait(now)
            self.out.append(Send(sender, "voted", [term]))

    def on_voted(self, now, sender, term):
        if self.role == CANDIDATE and term == self.kept.term:
            self.backers.add(sender)
            if self._majority(self.backers):
                self._step(now, BACKED)

    def on_stand(self, now, sender, term):
        if term == self.kept.term and sender == self.leader and self.may_vote():
            self._step(now, HANDED)

    def on_append(self, now, sender, term, number, index, before_term, entries, commit):
        """A leader's round: entries after `index`, whose own term is `before_term`."""
        if term < self.kept.term:
            self._answer(sender, number, False, 0)
            return
        if term > self.kept.term:
            self._step(now, HIGHER, term=term)
        self.leader = sender
        self._step(now, LED)
        entries = [Entry(t, fact_of(fact)) for t, fact in entries]
        if index < self.kept.base:  # what stands in the snapshot is committed, and so agrees
            entries, index = entries[self.kept.base - index :], self.kept.base
            before_term = self.kept.base_term
        good = self.term_of(index) == before_term
        if good:
            self._take(index, entries)
            self._admitted()
            self._commit(min(commit, index + len(entries)))
        self.promised_until = now + self.promise()
        self._answer(sender, number, good, index + len(entries) if good else min(index, self.last()[0]))

    def _answer(self, sender, number, good, index):
        """By this life: what an earlier one that forgot has answered counts for nothing, and what this one
        answers counts once the leader has it in its log. Its earlier life was dismissed by a committed fact
        then, so that no majority counts both."""
        self.out.append(Send(sender, "appended", [self.kept.term, number, good, index, self.life]))

    def on_snapshot(self, now, sender, term, number, base, base_term, facts):
        if term < self.kept.term:
            return
        if term > self.kept.term:
            self._step(now, HIGHER, term=term)
        self.leader = sender
        self._step(now, LED)
        if base > self.applied:
            facts = Facts.read(facts)
            behind = self._behind(base) if self.term_of(base) == base_term else ()
            self._keep(base=base, base_term=base_term, facts=facts, entries=behind)
            self.facts, self.commit, self.applied = facts, base, base
            self.out.append(Told(base, ("snapshot",), facts))
            self._admitted()
        self.promised_until = now + self.promise()
        self._answer(sender, number, True, base)

    def on_appended(self, now, sender, term, number, good, index, life):
        if term > self.kept.term:
            self._step(now, HIGHER, term=term)
            return
        if self.role != LEADER or term != self.kept.term:
            return
        counts = (sender, life) in self._voters()
        if good is True:
            self.next[sender] = max(self.next.get(sender, 1), index + 1)
            if counts:
                self.match[sender, life] = max(self.match.get((sender, life), 0), index)
        else:
            self.next[sender] = max(1, min(self.next.get(sender, 1) - 1, index + 1))
        if number in self.rounds and counts:
            self.rounds[number][1].add(sender)
            self._renew()
        self._advance(now)
        if self.next.get(sender, 1) <= self.last()[0]:
            self._append_to(sender)

    KINDS = ("sound", "would", "vote", "voted", "stand", "append", "snapshot", "appended")

    # ---- the table's effects

    def _step(self, now, given, term=None):
        found = TABLE.get((self.role, given))
        if found is not None:
            self.role, effect = found
            getattr(self, "do_" + effect)(now, term)

    def do_take_term(self, now, term):
        self._keep(term=term, vote=None)
        self.leader, self.rounds = None, {}
        self._wait(now)

    def do_follow(self, now, term):
        self._wait(now)

    def do_sound_out(self, now, term):
        self.backers, self.leader = {self.name}, None
        self._wait(now)
        index, last_term = self.last()
        for name in self._others():
            self.out.append(Send(name, "sound", [self.kept.term + 1, index, last_term]))
        if self._majority(self.backers):
            self._step(now, BACKED)

    def do_stand(self, now, term):
        handed = self.leader is not None
        self._keep(term=self.kept.term + 1, vote=self.name)
        self.backers, self.leader = {self.name}, None
        self._wait(now)
        index, last_term = self.last()
        for name in self._others():
            self.out.append(Send(name, "vote", [self.kept.term, index, last_term, handed]))
        if self._majority(self.backers):
            self._step(now, BACKED)

    def do_lead(self, now, term):
        self.leader, self.rounds, self.handing = self.name, {}, False
        self.lease_until, self.out_at = -1.0, now + self.lease
        self.next, self.match = {}, {}
        self._append(Entry(self.kept.term, ("begin",)))  # commits what earlier terms left
        self._beat(now)

    def do_step_down(self, now, term):
        self.leader, self.rounds = None, {}
        self._wait(now)

    # ---- leading

    def _beat(self, now):
        """A round to all; the lease counts from its sending, so that no delay of an answer lengthens it."""
        self.beat_at = now + BEAT * self.lease
        self.round += 1
        self.rounds[self.round] = [now, {self.name}]
        self.rounds = {n: row for n, row in self.rounds.items() if now - row[0] <= self.lease}
        for name in self._others():
            self._append_to(name)
        self._renew()
        self._advance(now)

    def _append_to(self, name):
        kept, first = self.kept, self.next.setdefault(name, self.last()[0] + 1)
        if first <= kept.base:
            self.out.append(
                Send(
                    name, "snapshot", [kept.term, self.round, kept.base, kept.base_term, kept.facts.packed()]
                )
            )
            return
        start = first - 1 - kept.base
        entries = [[e.term, list(e.fact)] for e in kept.entries[start : start + MOST]]
        self.out.append(
            Send(
                name,
                "append",
                [kept.term, self.round, first - 1, self.term_of(first - 1), entries, self.commit],
            )
        )

    def _renew(self):
        for at, answered in self.rounds.values():
            if self._majority(answered) and not self.handing:
                self.lease_until = max(self.lease_until, at + self.lease)
        self.out_at = max(self.out_at, self.lease_until)

    def _advance(self, now):
        """Commits what a majority has, of its own term alone."""
        index = self.last()[0]
        while index > self.commit and self.term_of(index) == self.kept.term:
            if self._majority([self.name, *(n for n, at in self.matched() if at >= index)]):
                self._commit(index)
                break
            index -= 1

    def matched(self):
        """(voter, up to where its log is known to agree), of its present life alone."""
        return [(name, self.match.get((name, life), 0)) for name, life in self._voters()]

    def _began(self):
        """Whether an entry of its own term is committed: until then a change of voters is not safe."""
        return self.term_of(self.commit) == self.kept.term

    # ---- the log

    def term_of(self, index):
        kept = self.kept
        if index == kept.base:
            return kept.base_term
        return kept.entries[index - kept.base - 1].term if kept.base < index <= self.last()[0] else None

    def _behind(self, index):
        return self.kept.entries[max(0, index - self.kept.base) :]

    def _append(self, entry):
        self._keep(entries=(*self.kept.entries, entry))

    def _take(self, index, entries):
        """Entries of a leader: what contradicts them goes, what agrees stays."""
        kept = self.kept
        for offset, entry in enumerate(entries, 1):
            if index + offset > kept.base and self.term_of(index + offset) != entry.term:
                at = index + offset - kept.base - 1
                self._keep(entries=(*kept.entries[:at], *entries[offset - 1 :]))
                return

    def _commit(self, index):
        while self.commit < min(index, self.last()[0]):
            self.commit += 1
            fact = self.kept.entries[self.commit - self.kept.base - 1].fact
            self.facts, self.applied = self.facts.apply(fact), self.commit
            self.out.append(Told(self.commit, fact, self.facts))
            self._admitted()
        if len(self.kept.entries) > 2 * KEPT and self.commit - self.kept.base > KEPT:
            base = self.commit - KEPT // 2
            facts = self.kept.facts
            for entry in self.kept.entries[: base - self.kept.base]:
                facts = facts.apply(entry.fact)
            self._keep(base_term=self.term_of(base), entries=self._behind(base), base=base, facts=facts)

    def _admitted(self):
        """It votes from here on, as soon as its log has the fact, committed or not: its earlier life was
        dismissed by a committed one before that was proposed, and the majority that is to commit it, or to
        follow its leader, may need it. Not in this term, in which it may have voted before it forgot."""
        if self.kept.blank and (self.name, self.life) in self._voters():
            self._keep(vote=self.leader or "somebody", blank=False)

    def _keep(self, **changes):
        self.kept, self.dirty = self.kept._replace(**changes), True

    # ---- time and effects

    def promise(self):
        return self.lease * (1 + DRIFT)

    def _wait(self, now):
        self.stand_at = now + self.promise() + APART * self.lease * self.chance.share()

    def _taken(self):
        """What is to be kept comes first: no send may go out before it is durable."""
        out, self.out = self.out, []
        if self.dirty:
            self.dirty = False
            out = [Persist(self.kept), *out]
        return out
