"""Many members of a fleet in virtual time: a network that loses, delays and cuts, servers that stop, die and
are back.

The membership is the real one; messages go through the real bytes where `bytes_too` says so. A clock of its
own for each server may run fast or slow.
"""

from __future__ import annotations

import math
import time

from ..cluster import codec
from ..cluster.membership import MemberIdentity, Membership
from ..transport.seeded_random import SeededRandom
from .virtual import Timeline, percentile

TICK = 0.1  # s of a server's own clock between looks
DELAY = 0.002  # s one way at the least, and a tail of as much at the mean


class Node:
    """One server: its membership, its clock, and whether it runs."""

    def __init__(self, net, number, life, rate=1.0):
        self.net, self.name, self.number = net, f"n{number}", number
        self.address, self.zone = f"10.0.{number // 250}.{number % 250}:7000", f"z{number % 3}"
        self.rate, self.offset = rate, 0.0  # its clock: rate x time + offset
        self.up, self.stopped, self.held = True, False, []
        self.start(life)

    def start(self, life):
        self.up, self.life = True, life
        self.membership = Membership(
            MemberIdentity(self.name, self.address, self.zone, life),
            self.net.seeds,
            SeededRandom(7919 * self.number + life),
            self.clock(),
        )

    def clock(self):
        return self.net.now * self.rate + self.offset

    def tick(self, life):
        if not self.up or life != self.life:
            return
        self.net.at(TICK / self.rate, self.tick, life)
        if not self.stopped:
            self.act(lambda: self.membership.tick(self.clock()))

    def hear(self, sender, life, kind, fields, address):
        if not self.up:
            return
        if self.stopped:
            self.held.append((sender, life, kind, fields, address))
            return
        self.act(lambda: self.membership.receive(self.clock(), sender, life, kind, fields))

    def act(self, function):
        began = time.perf_counter()
        sent = function()
        self.net.cpu += time.perf_counter() - began
        for change in self.membership.take_changes():
            self.net.changed(self, change)
        for name, address, kind, fields in sent:
            self.net.send(self, address, kind, fields)

    def go_on(self):
        """Continues after a stop: what came meanwhile is read at once."""
        self.stopped, held = False, self.held
        self.held = []
        for one in held:
            self.hear(*one)


class Net(Timeline):
    def __init__(self, count, seed, loss=0.0, slow=0.0, bytes_too=False):
        """loss: share of messages that never come. slow: share of the servers that answer late, as if short
        of CPU."""
        super().__init__()
        self.random_source = SeededRandom(seed)
        for _ in range(8):
            self.random_source.random()
        self.loss, self.bytes_too = loss, bytes_too
        self.cut = lambda one, other: False  # whether a message from one can't reach the other
        self.sent = self.size = 0
        self.cpu, self.log = 0.0, []  # (when, who saw it, what, of whom)
        self.seeds = [f"10.0.0.{n}:7000" for n in range(3)]
        self.nodes = [Node(self, number, 1000) for number in range(count)]
        self.by_address = {node.address: node for node in self.nodes}
        self.slow = set(range(int(slow * count + 0.5)))
        for node in self.nodes:
            self.at(TICK * self.random_source.random(), node.tick, node.life)

    def send(self, node, address, kind, fields):
        self.sent += 1
        if self.bytes_too:
            data = codec.encode("lab", node.name, node.membership.local.generation, kind, fields)
            self.size += len(data)
            (message,) = codec.Decoder("lab").feed(data)
            kind, fields = message.kind, message.fields
        other = self.by_address.get(address)
        if other is None or self.random_source.random() < self.loss or self.cut(node, other):
            return
        delay = DELAY - DELAY * math.log(1 - self.random_source.random())
        for one in (node, other):
            if one.number in self.slow:
                delay += (
                    0.5 * self.random_source.random()
                )  # some hundred ms late, as a process that waits for a core
        generation = node.membership.local.generation
        self.at(delay, self.arrive, other, node.name, generation, kind, fields, node.address)

    def arrive(self, other, *message):
        other.hear(*message)

    def changed(self, node, change):
        self.log.append((self.now, node.name, change.effect.value, change.name))

    # ---- what is done to them

    def kill(self, node):
        node.up = False

    def back(self, node):
        node.start(node.life + 1)
        node.held, node.stopped = [], False
        self.at(0.0, node.tick, node.life)

    def stop(self, node):
        node.stopped = True

    # ---- what came of it

    def agreed(self):
        """Whether all that run hold exactly those that run to be there."""
        up = sorted(node.name for node in self.nodes if node.up)
        return all(node.membership.alive() == up for node in self.nodes if node.up)

    def until_agreed(self, most):
        """s until all agree, or None after so many."""
        began = self.now
        while self.now < began + most:
            if self.agreed():
                return self.now - began
            self.run(self.now + 0.1)
        return None


def measure(count, seed, loss, slow, minutes, out):
    """Joins so many, leaves them alone for a while, then kills one after another. Prints one line of
    figures."""
    net = Net(count, seed, loss, slow, bytes_too=count <= 200)
    joined = net.until_agreed(300.0)
    began, sent, cpu = net.now, net.sent, net.cpu
    net.log.clear()
    net.run(net.now + 60.0 * minutes)
    quiet = net.now - began
    suspected = sum(row[2] == "suspected" for row in net.log)
    lost = sum(row[2] == "dead" for row in net.log)
    a_second = (net.sent - sent) / quiet / count
    cpu_share = (net.cpu - cpu) / quiet / count
    first, everyone = [], []
    victims = [node for node in net.nodes if node.number >= 3 and node.number not in net.slow][:10]
    for node in victims:
        net.log.clear()
        at = net.now
        net.kill(node)
        net.run(net.now + 45.0)
        seen = {row[1]: row[0] - at for row in net.log if row[2] == "dead" and row[3] == node.name}
        if seen:
            first.append(min(seen.values()))
            everyone.append(max(seen.values()))
        net.back(node)
        net.until_agreed(60.0)
    hours = quiet / 3600 * count
    print(
        f"servers={count} seed={seed} loss={loss:g} slow={slow:g} "
        f"joined_in={-1 if joined is None else joined:.1f}s "
        f"messages_a_second={a_second:.2f} bytes_a_second={net.size / max(1e-9, net.now) / count:.0f} "
        f"cpu_share={cpu_share:.5f} suspicions_a_server_hour={suspected / hours:.2f} "
        f"falsely_gone_a_server_hour={lost / hours:.3f} killed={len(victims)} seen={len(first)} "
        f"lost_first_p50={percentile(first, 0.5):.1f}s lost_all_p50={percentile(everyone, 0.5):.1f}s "
        f"lost_all_most={max(everyone, default=float('nan')):.1f}s",
        file=out,
        flush=True,
    )
    return len(first) == len(victims)
