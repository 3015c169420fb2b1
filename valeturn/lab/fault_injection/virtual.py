"""Whole servers' parts of a fleet in virtual time, 200 of them: the program's own object but for its sockets.

Nine of them vote at the most; the others hear what holds. Their clocks differ by as much as is allowed for.
"""

from __future__ import annotations

import time

from ...cluster import limits, node
from ...cluster.options import ClusterOptions
from ...cluster.raft import CLOCK_DRIFT
from ...cluster.task_options import SingletonTaskOptions
from ...transport.seeded_random import SeededRandom
from ..virtual import Timeline, percentile

LEASE, PROBE, ROUND = 2.0, 1.0, 0.5  # s, the operator's file's own values where it says nothing
CAP = 400
DELAY = 0.002  # s one way, and as much again at the most
TICK = 0.1


class VirtualLinks:
    """What `PeerConnections` is to a fleet, over the laboratory's net."""

    def __init__(self, net, scheduler, local, random_source, count, dial):
        self.net, self.open_connections = net, ()
        _, self.listen, self.who, self.hear = local
        net.by_address[self.listen] = self

    def send(self, at, kind, fields):
        self.net.send(self, at, kind, fields)

    def tick(self):
        pass

    def close_now(self):
        pass


class Member:
    """One server: its part of the fleet, its clock, and whether it runs."""

    def __init__(self, net, number):
        self.net, self.number, self.name, self.up = net, number, f"n{number}", True
        self.rate = 1 + 0.9 * CLOCK_DRIFT * (net.random_source.random() - 0.5)
        self.cpu, self.need = 0.0, 4 * CAP / net.count * net.random_source.random() ** 2
        self.options = ClusterOptions(
            "lab",
            f"10.0.{number // 250}.{number % 250}:7700",
            tuple(f"10.0.0.{n}:7700" for n in range(3)),
            tuple(f"n{n}" for n in range(net.votes)),
            None,
            f"z{number % 3}",
            PROBE,
            LEASE,
            True,
            net.count,
        )
        self.start()

    def start(self):
        self.fleet = node.ClusterNode(
            self.options,
            self.name,
            None,
            lambda *_: None,
            self.net.log,
            self.number,
            node.Seams(
                self.clock,
                wall=lambda: 1e6 + self.net.now,
                peer_connections=lambda *words: VirtualLinks(self.net, *words),
            ),
        )
        self.fleet.singleton_tasks.configure(self.clock(), {"calls": self.net.duty})
        self.fleet.share_calls("calls", self.net.duty, lambda: self.need)
        self.net.at(TICK * self.net.random_source.random(), self.tick, self.fleet)

    def clock(self):
        return self.net.now * self.rate + 1000.0 * self.number

    def tick(self, fleet):
        if self.up and fleet is self.fleet:
            self.net.at(TICK / self.rate, self.tick, fleet)
            self.timed(fleet.tick)

    def timed(self, action, *args):
        began = time.perf_counter()
        action(*args)
        self.cpu += time.perf_counter() - began


class Message:
    __slots__ = ("fields", "generation", "kind", "sender")

    def __init__(self, sender, life, kind, fields):
        self.sender, self.generation, self.kind, self.fields = sender, life, kind, fields


class Net(Timeline):
    def __init__(self, count, seed, loss=0.0):
        super().__init__()
        self.random_source, self.count, self.loss = SeededRandom(seed), count, loss
        for _ in range(8):
            self.random_source.random()
        self.votes = min(count, limits.VOTERS)
        self.duty = SingletonTaskOptions("share-calls", None, None, 60.0, 0.0, "number", CAP, ROUND)
        self.by_address, self.sent, self.over = {}, 0, 0
        self.members = [Member(self, number) for number in range(count)]
        self.by_name = {member.name: member for member in self.members}

    def log(self, event, fields=None, **_):
        pass

    def send(self, links, at, kind, fields):
        self.sent += 1
        other = self.by_address.get(at)
        if other is not None and self.random_source.random() >= self.loss:
            name, life = links.who()
            # Lists are copied as bytes would be: what one changes later the other does not see.
            message = Message(name, life, kind, copied(fields))
            self.at(DELAY * (1 + self.random_source.random()), self.arrive, other, message, links.listen)

    def arrive(self, links, message, at):
        member = self.by_name[links.who()[0]]
        if member.up and member.fleet.peer_connections is links:
            member.timed(member.fleet.receive, message, at)

    def owner(self):
        return next((m for m in self.members if m.up and m.fleet.leads(m.clock())), None)

    def check_shares(self):
        total = sum(m.fleet.call_quota.available() for m in self.members if m.up)
        self.over += total > CAP + 1e-6
        return total


def copied(value):
    return [copied(one) for one in value] if isinstance(value, (list, tuple)) else value


def measure(count, seed, out, losses=10):
    """Founds, rests for half a minute, then loses one owner after another. One line of figures; True where
    the shares stayed under the cap and each owner was followed."""
    net = Net(count, seed)
    while net.owner() is None and net.now < 120.0:
        net.run(net.now + 0.1)
    founded = net.now
    net.run(net.now + 20.0)
    sent, at, cpu = net.sent, net.now, {m.name: m.cpu for m in net.members}
    while net.now < at + 30.0:
        net.run(net.now + 0.25)
        net.check_shares()
    owner, seconds = net.owner(), net.now - at
    spent = sorted((m.cpu - cpu[m.name]) / seconds for m in net.members if m is not owner)
    owners = (owner.cpu - cpu[owner.name]) / seconds
    rate, gaps, used = (net.sent - sent) / seconds / count, [], net.check_shares()
    for _ in range(losses):
        lost, before = net.owner(), net.now
        lost.up = False
        while net.owner() is None and net.now < before + 60.0:
            net.run(net.now + 0.01)
        gaps.append(net.now - before)
        net.run(net.now + 3.0)
        net.check_shares()
        lost.up = True
        lost.start()
        net.run(net.now + 12.0)
        net.check_shares()
    print(
        f"virtual members={count} voters={net.votes} lease={LEASE:g}s seed={seed} "
        f"first_owner={founded:.1f}s "
        f"messages_a_second={rate:.1f} cpu_owner={100 * owners:.2f}% "
        f"cpu_others_p50={100 * percentile(spent, 0.5):.2f}% "
        f"shares_in_use={used:.1f}_of_{CAP} shares_over_cap={net.over} "
        f"owner_lost_p50={percentile(gaps, 0.5):.2f}s most={max(gaps):.2f}s",
        file=out,
        flush=True,
    )
    return net.over == 0 and max(gaps) < 60.0
