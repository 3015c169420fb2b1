"""Drives twelve members over a network that loses and delays messages, then one isolated member.

Members stop, restart with a higher incarnation or one that is too low, leave and are partitioned. The
isolated member then receives generated news, malformed messages and more members than it keeps.
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable

from valeturn.cluster.limits import MEMBERS, SYNCED
from valeturn.cluster.membership import MemberIdentity, Membership
from valeturn.transport.seeded_random import SeededRandom

# Between probes: long, so that a step has few messages and members are forgotten within the run.
PROBE_PERIOD_S = 3.0
TICK_INTERVAL_S = 0.6  # between two ticks of each member
STEPS = 280
MEMBER_COUNT = 12
SEEDS = ("m0:1", "m1:1", "m2:1")
STATE_RECORD_STEPS = 15  # steps between two records of the state
KINDS = ("ping", "ask", "ack", "heard", "nack", "sync", "news", "odd")
STATES = (1, 2, 3, 4)  # as they go over the wire: alive, suspected, gone, left


def record_sends(record: Callable[[object], None], member_name: str, sends: list[object]) -> None:
    """Record the messages that a member sends."""
    record([member_name, [list(one) for one in sends]])


def record_changes(record: Callable[[object], None], member_name: str, member: Membership) -> None:
    """Record the member changes since the last record, if there are any."""
    changes = member.take_changes()
    if changes:
        record([member_name, [[one.name, one.effect, list(one.member)] for one in changes]])


def state_values(member: Membership) -> list[object]:
    """Return some public values of a member's state."""
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
    """The members and the messages in flight between them."""

    def __init__(self, seed: int, record: Callable[[object], None]) -> None:
        self.random_source = random.Random(seed)
        self.record = record
        self.now = 0.0
        self.sent_count = 0
        self.loss = 0.02
        self.partitioned: set[str] = set()
        self.in_flight: list[tuple[float, int, str, int, str, str, str]] = []
        self.running: dict[str, Membership] = {}
        self.restart_at: dict[str, float] = {}
        self.incarnations: dict[str, int] = {}
        for number in range(MEMBER_COUNT):
            self.restart_at[f"m{number}"] = 0.3 * number

    def start(self, name: str) -> None:
        """Start a member, usually with a higher incarnation than before."""
        previous = self.incarnations.get(name, 10)
        incarnation = previous + self.random_source.choice((1, 1, 2, -3))
        self.incarnations[name] = incarnation
        node_random_source = SeededRandom(self.random_source.randrange(1 << 30))
        zone = f"z{len(name) % 2}"
        identity = MemberIdentity(name, f"{name}:1", zone, incarnation)
        self.running[name] = Membership(identity, SEEDS, node_random_source, self.now, PROBE_PERIOD_S)

    def send_messages(self, name: str, sends: list[object]) -> None:
        """Record what a member sends and changes, and send its messages unless they are lost."""
        member = self.running[name]
        record_sends(self.record, name, sends)
        record_changes(self.record, name, member)
        for _, address, kind, fields in sends:
            recipient = address.split(":")[0]
            if self.random_source.random() < self.loss or (name in self.partitioned) != (
                recipient in self.partitioned
            ):
                continue
            delay = self.random_source.expovariate(1 / 0.1)
            if self.random_source.random() < 0.03:
                delay += self.random_source.uniform(0.5, 2.0) * PROBE_PERIOD_S
            self.sent_count += 1
            incarnation = member.local.generation
            message = (
                self.now + delay,
                self.sent_count,
                name,
                incarnation,
                recipient,
                kind,
                json.dumps(fields),
            )
            heapq.heappush(self.in_flight, message)

    def deliver(self, until: float) -> None:
        """Deliver all messages that are due up to `until`, in the order of their arrival."""
        while self.in_flight and self.in_flight[0][0] <= until:
            due_at, _, sender, incarnation, recipient, kind, text = heapq.heappop(self.in_flight)
            self.now = max(self.now, due_at)
            if recipient in self.running:
                sends = self.running[recipient].receive(self.now, sender, incarnation, kind, json.loads(text))
                self.send_messages(recipient, sends)
        self.now = until

    def run(self) -> None:
        """Run all steps with random faults."""
        for step in range(STEPS):
            self.deliver(self.now + TICK_INTERVAL_S)
            if step % 60 == 30:
                self.change_network_conditions()
            for name, due_at in list(self.restart_at.items()):
                if self.now >= due_at:
                    del self.restart_at[name]
                    self.start(name)
            for name in sorted(self.running):
                self.send_messages(name, self.running[name].tick(self.now))
            self.stop_a_member()
            if step % STATE_RECORD_STEPS == 0:
                self.record([state_values(self.running[name]) for name in sorted(self.running)])

    def change_network_conditions(self) -> None:
        """Change the loss rate and the partitioned members."""
        self.loss = self.random_source.choice((0.0, 0.02, 0.1, 0.25))
        self.partitioned = set()
        if self.random_source.random() < 0.5:
            self.partitioned = set(self.random_source.sample(sorted(self.running), len(self.running) // 3))

    def stop_a_member(self) -> None:
        """Sometimes stop a member, with or without leaving first."""
        draw = self.random_source.random()
        if draw > 0.05 or len(self.running) < 6:
            return
        name = self.random_source.choice(sorted(self.running))
        if draw < 0.015:
            self.send_messages(name, self.running[name].leave(self.now))
            self.send_messages(name, self.running[name].tick(self.now))
        del self.running[name]
        self.restart_at[name] = self.now + self.random_source.choice((2.0, 20.0, 60.0, 150.0))


class IsolatedMember:
    """One member alone, which receives generated messages."""

    def __init__(self, seed: int, record: Callable[[object], None]) -> None:
        self.random_source = random.Random(seed)
        self.record = record
        self.now = 0.0
        self.member = Membership(
            MemberIdentity("a", "a:1", "z", 5), SEEDS, SeededRandom(seed), 0.0, PROBE_PERIOD_S
        )

    def deliver_message(self, sender: str, incarnation: int, kind: str, fields: object) -> None:
        """Deliver one message and record the resulting sends and changes."""
        sends = self.member.receive(self.now, sender, incarnation, kind, fields)
        record_sends(self.record, "a", sends)
        record_changes(self.record, "a", self.member)

    def tick(self) -> None:
        """Tick the member and record the resulting sends and changes."""
        record_sends(self.record, "a", self.member.tick(self.now))
        record_changes(self.record, "a", self.member)

    def generate_news(self) -> list[object]:
        """Generate a piece of news, sometimes about the isolated member itself."""
        random_source = self.random_source
        name = random_source.choice("bcdefbcdefa")
        address = f"{name}:1"
        incarnation = random_source.randrange(5, 8)
        if random_source.random() < 0.03:
            address = "elsewhere:1"
            incarnation += random_source.randrange(4)
        accuser = random_source.choice(("", "c", "d", "e", "f", "g"))
        return [
            name,
            address,
            "z",
            accuser,
            incarnation,
            random_source.randrange(3),
            random_source.choice(STATES),
        ]

    def malformed_value(self) -> object:
        """Generate a value of a wrong type or out of range."""
        return self.random_source.choice(
            (None, True, 0, 3, -1, 2**62, "", "b", "x" * 65, [], [1, 2], {"a": 1})
        )

    def malformed_news(self) -> object:
        """Generate news with a malformed field, a missing field or no list at all."""
        news = self.generate_news()
        draw = self.random_source.random()
        if draw < 0.2:
            return self.malformed_value()
        if draw < 0.3:
            return news[:-1]
        news[self.random_source.randrange(7)] = self.malformed_value()
        return news

    def run(self, rounds: int) -> None:
        """Run some rounds; the members are forgotten at the end of each."""
        for _ in range(rounds):
            for _ in range(260):
                self.now += self.random_source.choice((0.01, 0.1, 0.4))
                self.step()
            self.record(state_values(self.member))
            for _ in range(50):
                self.now += PROBE_PERIOD_S
                self.tick()
            self.record(state_values(self.member))

    def step(self) -> None:
        """Deliver one generated message, or tick."""
        random_source = self.random_source
        draw = random_source.random()
        sender = random_source.choice("bcdefgh")
        incarnation = random_source.choice((5, 6, 7, 99))
        if draw < 0.15:
            self.tick()
        elif draw < 0.55:
            self.deliver_message(
                sender,
                incarnation,
                "news",
                [[self.generate_news() for _ in range(random_source.randrange(1, 12))]],
            )
        elif draw < 0.65:
            self.deliver_message(
                sender,
                incarnation,
                "sync",
                [random_source.random() < 0.5, [self.generate_news(), self.malformed_news()], []],
            )
        elif draw < 0.75:
            self.deliver_message(
                sender,
                incarnation,
                "ask",
                [random_source.randrange(50), random_source.choice("bcdef"), "x", []],
            )
        elif draw < 0.85:
            latest_sequence = self.member.failure_detector.sequence
            number = random_source.randrange(max(1, latest_sequence - 6), latest_sequence + 2)
            kind = random_source.choice(("ack", "ack", "nack"))
            self.deliver_message(sender, incarnation, kind, [number, []])
        elif draw < 0.9:
            latest_sequence = self.member.failure_detector.sequence
            number = random_source.randrange(max(1, latest_sequence - 6), latest_sequence + 2)
            self.deliver_message(sender, incarnation, "heard", [number, random_source.choice("bcdef"), []])
        else:
            fields = [self.malformed_value() for _ in range(random_source.randrange(4))]
            self.deliver_message(
                sender, incarnation, random_source.choice(KINDS), [*fields, [self.malformed_news()]]
            )
            self.deliver_message(sender, incarnation, random_source.choice(KINDS), fields)

    def exceed_member_limit(self) -> None:
        """Send it more members than it keeps, then request its member list."""
        for start in range(0, MEMBERS + 2 * SYNCED, SYNCED):
            rows = []
            for number in range(start, start + SYNCED):
                state = self.random_source.choice(STATES)
                rows.append([f"n{number}", f"n{number}:1", "z", "", 5, 0, state])
            self.deliver_message("n0", 5, "sync", [False, rows, []])
        self.deliver_message("n1", 5, "news", [[["n1", "n1:1", "z", "", 5, 9, 1]]])
        self.deliver_message("n1", 5, "sync", [True, [], []])
        self.tick()
        self.record(state_values(self.member))


def play(seed: int, record: Callable[[object], None]) -> None:
    """Run the network and the isolated member, and record all sends and changes."""
    Network(seed, record).run()
    isolated_member = IsolatedMember(seed, record)
    isolated_member.run(4)
    isolated_member.exceed_member_limit()
