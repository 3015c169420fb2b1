"""Feeds a dozen members a network that loses and delays messages, and one member all kinds of news.

Members stop, come back under a new life or one that is too small, leave, and are cut apart. After that one
member alone hears generated news, messages of a wrong form, and more members than it keeps.
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable

from valeturn.cluster.limits import MEMBERS, SYNCED
from valeturn.cluster.membership import MemberIdentity, Membership
from valeturn.transport.seeded_random import SeededRandom

PERIOD = 3.0  # s between probes: long, so that few messages go a step and members are forgotten in time
STEP = 0.6  # s between two ticks of each member
STEPS = 280
COUNT = 12
SEEDS = ("m0:1", "m1:1", "m2:1")
FIGURES_EACH = 15  # steps between two records of the state
KINDS = ("ping", "ask", "ack", "heard", "nack", "sync", "news", "odd")
STATES = (1, 2, 3, 4)  # as they go over the wire: alive, suspected, gone, left


def record_sends(record: Callable[[object], None], who: str, sends: list[object]) -> None:
    """Record what a member sends."""
    record([who, [list(one) for one in sends]])


def record_changes(record: Callable[[object], None], who: str, member: Membership) -> None:
    """Record what has become of members since the last record."""
    changes = member.take_changes()
    if changes:
        record([who, [[one.name, one.effect, list(one.member)] for one in changes]])


def figures(member: Membership) -> list[object]:
    """Return some public figures of a member's state."""
    return [
        member.local.to_wire(),
        list(member.get(member.local.name)),
        member.alive(),
        member.health.score,
        len(member.members),
        member.suspicion_timeout(0),
        member.suspicion_timeout(2),
    ]


class Network:
    """The members and what is under way between them."""

    def __init__(self, seed: int, record: Callable[[object], None]) -> None:
        self.chance = random.Random(seed)
        self.record = record
        self.now = 0.0
        self.sent = 0
        self.loss = 0.02
        self.cut: set[str] = set()
        self.under_way: list[tuple[float, int, str, int, str, str, str]] = []
        self.up: dict[str, Membership] = {}
        self.back_at: dict[str, float] = {}
        self.lives: dict[str, int] = {}
        for number in range(COUNT):
            self.back_at[f"m{number}"] = 0.3 * number

    def start(self, name: str) -> None:
        """Start a member, as a rule under a larger life than before."""
        before = self.lives.get(name, 10)
        life = before + self.chance.choice((1, 1, 2, -3))
        self.lives[name] = life
        random_source = SeededRandom(self.chance.randrange(1 << 30))
        zone = f"z{len(name) % 2}"
        identity = MemberIdentity(name, f"{name}:1", zone, life)
        self.up[name] = Membership(identity, SEEDS, random_source, self.now, PERIOD)

    def carry(self, name: str, sends: list[object]) -> None:
        """Record what a member sends, and put it under way unless it is lost."""
        member = self.up[name]
        record_sends(self.record, name, sends)
        record_changes(self.record, name, member)
        for _, address, kind, fields in sends:
            to = address.split(":")[0]
            if self.chance.random() < self.loss or (name in self.cut) != (to in self.cut):
                continue
            delay = self.chance.expovariate(1 / 0.1)
            if self.chance.random() < 0.03:
                delay += self.chance.uniform(0.5, 2.0) * PERIOD
            self.sent += 1
            life = member.local.generation
            row = (self.now + delay, self.sent, name, life, to, kind, json.dumps(fields))
            heapq.heappush(self.under_way, row)

    def deliver(self, until: float) -> None:
        """Hand on all messages that arrive up to a moment, in the order of their arrival."""
        while self.under_way and self.under_way[0][0] <= until:
            at, _, sender, life, to, kind, text = heapq.heappop(self.under_way)
            self.now = max(self.now, at)
            if to in self.up:
                sends = self.up[to].receive(self.now, sender, life, kind, json.loads(text))
                self.carry(to, sends)
        self.now = until

    def run(self) -> None:
        """Play all steps of the storm."""
        for step in range(STEPS):
            self.deliver(self.now + STEP)
            if step % 60 == 30:
                self.weather()
            for name, at in list(self.back_at.items()):
                if self.now >= at:
                    del self.back_at[name]
                    self.start(name)
            for name in sorted(self.up):
                self.carry(name, self.up[name].tick(self.now))
            self.mishap()
            if step % FIGURES_EACH == 0:
                self.record([figures(self.up[name]) for name in sorted(self.up)])

    def weather(self) -> None:
        """Change how much is lost and who is cut off."""
        self.loss = self.chance.choice((0.0, 0.02, 0.1, 0.25))
        self.cut = set()
        if self.chance.random() < 0.5:
            self.cut = set(self.chance.sample(sorted(self.up), len(self.up) // 3))

    def mishap(self) -> None:
        """Stop a member, or let one leave."""
        roll = self.chance.random()
        if roll > 0.05 or len(self.up) < 6:
            return
        name = self.chance.choice(sorted(self.up))
        if roll < 0.015:
            self.carry(name, self.up[name].leave(self.now))
            self.carry(name, self.up[name].tick(self.now))
        del self.up[name]
        self.back_at[name] = self.now + self.chance.choice((2.0, 20.0, 60.0, 150.0))


class Listener:
    """One member alone, which hears generated news."""

    def __init__(self, seed: int, record: Callable[[object], None]) -> None:
        self.chance = random.Random(seed)
        self.record = record
        self.now = 0.0
        self.member = Membership(MemberIdentity("a", "a:1", "z", 5), SEEDS, SeededRandom(seed), 0.0, PERIOD)

    def hear(self, sender: str, life: int, kind: str, fields: object) -> None:
        """Let it hear one message, recording what comes of it."""
        sends = self.member.receive(self.now, sender, life, kind, fields)
        record_sends(self.record, "a", sends)
        record_changes(self.record, "a", self.member)

    def tick(self) -> None:
        """Let it do what is due."""
        record_sends(self.record, "a", self.member.tick(self.now))
        record_changes(self.record, "a", self.member)

    def news(self) -> list[object]:
        """Generate a piece of news, now and then of the listener itself."""
        chance = self.chance
        name = chance.choice("bcdefbcdefa")
        address = f"{name}:1"
        life = chance.randrange(5, 8)
        if chance.random() < 0.03:
            address = "elsewhere:1"
            life += chance.randrange(4)
        accuser = chance.choice(("", "c", "d", "e", "f", "g"))
        return [
            name,
            address,
            "z",
            accuser,
            life,
            chance.randrange(3),
            chance.choice(STATES),
        ]

    def odd(self) -> object:
        """Generate a value that a field may wrongly have."""
        return self.chance.choice((None, True, 0, 3, -1, 2**62, "", "b", "x" * 65, [], [1, 2], {"a": 1}))

    def odd_news(self) -> object:
        """Generate news with a field of a wrong form."""
        news = self.news()
        roll = self.chance.random()
        if roll < 0.2:
            return self.odd()
        if roll < 0.3:
            return news[:-1]
        news[self.chance.randrange(7)] = self.odd()
        return news

    def run(self, rounds: int) -> None:
        """Play some rounds; the members are forgotten at the end of each."""
        for _ in range(rounds):
            for _ in range(260):
                self.now += self.chance.choice((0.01, 0.1, 0.4))
                self.step()
            self.record(figures(self.member))
            for _ in range(50):
                self.now += PERIOD
                self.tick()
            self.record(figures(self.member))

    def step(self) -> None:
        """Play one message or tick."""
        chance = self.chance
        roll = chance.random()
        sender = chance.choice("bcdefgh")
        life = chance.choice((5, 6, 7, 99))
        if roll < 0.15:
            self.tick()
        elif roll < 0.55:
            self.hear(sender, life, "news", [[self.news() for _ in range(chance.randrange(1, 12))]])
        elif roll < 0.65:
            self.hear(sender, life, "sync", [chance.random() < 0.5, [self.news(), self.odd_news()], []])
        elif roll < 0.75:
            self.hear(sender, life, "ask", [chance.randrange(50), chance.choice("bcdef"), "x", []])
        elif roll < 0.85:
            last = self.member.failure_detector.sequence
            number = chance.randrange(max(1, last - 6), last + 2)
            kind = chance.choice(("ack", "ack", "nack"))
            self.hear(sender, life, kind, [number, []])
        elif roll < 0.9:
            last = self.member.failure_detector.sequence
            number = chance.randrange(max(1, last - 6), last + 2)
            self.hear(sender, life, "heard", [number, chance.choice("bcdef"), []])
        else:
            fields = [self.odd() for _ in range(chance.randrange(4))]
            self.hear(sender, life, chance.choice(KINDS), [*fields, [self.odd_news()]])
            self.hear(sender, life, chance.choice(KINDS), fields)

    def crowd(self) -> None:
        """Let it hear of more members than it keeps, and be asked for the list of them."""
        for start in range(0, MEMBERS + 2 * SYNCED, SYNCED):
            rows = []
            for number in range(start, start + SYNCED):
                state = self.chance.choice(STATES)
                rows.append([f"n{number}", f"n{number}:1", "z", "", 5, 0, state])
            self.hear("n0", 5, "sync", [False, rows, []])
        self.hear("n1", 5, "news", [[["n1", "n1:1", "z", "", 5, 9, 1]]])
        self.hear("n1", 5, "sync", [True, [], []])
        self.tick()
        self.record(figures(self.member))


def play(seed: int, record: Callable[[object], None]) -> None:
    """Play the storm and the listener, recording all sends and changes."""
    Network(seed, record).run()
    listener = Listener(seed, record)
    listener.run(4)
    listener.crowd()
