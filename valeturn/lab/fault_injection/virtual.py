"""A cluster of up to 200 nodes in virtual time: the production ClusterNode on a simulated network.

At most nine nodes vote; the others receive the state. Clock rates differ by up to 90 % of the allowed drift.
"""

from __future__ import annotations

import time

from ...cluster import limits, node
from ...cluster.options import ClusterOptions
from ...cluster.raft import CLOCK_DRIFT
from ...cluster.task_options import SingletonTaskOptions
from ...transport.seeded_random import SeededRandom
from ..virtual import Timeline, percentile

# The defaults of the operator file.
LEASE_S, PROBE_INTERVAL_S, QUOTA_ROUND_S = 2.0, 1.0, 0.5
CALL_CAP = 400  # concurrent calls of all nodes together
MIN_DELAY_S = 0.002  # of a message one way; at most twice as much
TICK_S = 0.1  # by the clock of each server


class VirtualLinks:
    """Takes the place of `PeerConnections` and sends messages over the virtual network."""

    def __init__(self, network, scheduler, local, random_source, count, dial):
        self.network, self.open_connections = network, ()
        _, self.listen, self.sender_identity, self.on_message = local
        network.by_address[self.listen] = self

    def send(self, at, kind, fields):
        """Send a message to an address."""
        self.network.send(self, at, kind, fields)

    def tick(self):
        """Do nothing: there are no connections to maintain."""
        pass

    def close_now(self):
        """Do nothing: there are no connections to close."""
        pass


class VirtualServer:
    """One server: its cluster node, its clock, the CPU seconds it used, and whether it runs."""

    def __init__(self, network, number):
        self.network, self.number, self.name, self.is_running = network, number, f"n{number}", True
        self.rate = 1 + 0.9 * CLOCK_DRIFT * (network.random_source.random() - 0.5)
        self.cpu, self.required_calls = (
            0.0,
            4 * CALL_CAP / network.count * network.random_source.random() ** 2,
        )
        self.options = ClusterOptions(
            "lab",
            f"10.0.{number // 250}.{number % 250}:7700",
            tuple(f"10.0.0.{n}:7700" for n in range(3)),
            tuple(f"n{n}" for n in range(network.voter_count)),
            None,
            f"z{number % 3}",
            PROBE_INTERVAL_S,
            LEASE_S,
            True,
            network.count,
        )
        self.start()

    def start(self):
        """Start with a new cluster node and no stored vote."""
        self.cluster_node = node.ClusterNode(
            self.options,
            self.name,
            None,
            lambda *_: None,
            self.network.log,
            self.number,
            node.Seams(
                self.clock,
                wall=lambda: 1e6 + self.network.now,
                peer_connections=lambda *arguments: VirtualLinks(self.network, *arguments),
            ),
        )
        self.cluster_node.singleton_tasks.configure(self.clock(), {"calls": self.network.quota_task})
        self.cluster_node.share_calls("calls", self.network.quota_task, lambda: self.required_calls)
        self.network.at(TICK_S * self.network.random_source.random(), self.tick, self.cluster_node)

    def clock(self):
        """Return the server's own time in seconds."""
        return self.network.now * self.rate + 1000.0 * self.number

    def tick(self, cluster_node):
        """Run a tick and schedule the next, until the server is stopped or has another cluster node."""
        if self.is_running and cluster_node is self.cluster_node:
            self.network.at(TICK_S / self.rate, self.tick, cluster_node)
            self.run_measured(cluster_node.tick)

    def run_measured(self, action, *args):
        """Run an action and add the CPU time that it took, in real seconds."""
        began = time.perf_counter()
        action(*args)
        self.cpu += time.perf_counter() - began


class Message:
    """A message with the sender's name and the generation of its process, as `receive` expects it."""

    __slots__ = ("fields", "generation", "kind", "sender")

    def __init__(self, sender, incarnation, kind, fields):
        self.sender, self.generation, self.kind, self.fields = sender, incarnation, kind, fields


class VirtualNetwork(Timeline):
    """Timeline with `count` servers and a network that loses a share `loss` of the messages."""

    def __init__(self, count, seed, loss=0.0):
        super().__init__()
        self.random_source, self.count, self.loss = SeededRandom(seed), count, loss
        for _ in range(8):
            self.random_source.random()
        self.voter_count = min(count, limits.VOTERS)
        self.quota_task = SingletonTaskOptions(
            "share-calls", None, None, 60.0, 0.0, "number", CALL_CAP, QUOTA_ROUND_S
        )
        self.by_address, self.sent, self.quota_violations = {}, 0, 0
        self.members = [VirtualServer(self, number) for number in range(count)]
        self.by_name = {member.name: member for member in self.members}

    def log(self, event, fields=None, **_):
        """Discard log events."""
        pass

    def send(self, links, at, kind, fields):
        """Deliver a message after a drawn delay, or lose it."""
        self.sent += 1
        other = self.by_address.get(at)
        if other is not None and self.random_source.random() >= self.loss:
            name, incarnation = links.sender_identity()
            # Lists are copied, as encoding would do: later changes by the sender must not reach the receiver.
            message = Message(name, incarnation, kind, deep_copy(fields))
            self.at(
                MIN_DELAY_S * (1 + self.random_source.random()), self.arrive, other, message, links.listen
            )

    def arrive(self, links, message, at):
        """Hand a message to its receiver, unless that has stopped or restarted."""
        member = self.by_name[links.sender_identity()[0]]
        if member.is_running and member.cluster_node.peer_connections is links:
            member.run_measured(member.cluster_node.receive, message, at)

    def leader(self):
        """Return the first running server that leads, or None."""
        return next(
            (
                member
                for member in self.members
                if member.is_running and member.cluster_node.leads(member.clock())
            ),
            None,
        )

    def check_quotas(self):
        """Return the sum of all call quotas; count it as a violation where it is above the cap."""
        total = sum(
            member.cluster_node.call_quota.available() for member in self.members if member.is_running
        )
        self.quota_violations += total > CALL_CAP + 1e-6
        return total


def deep_copy(value):
    """Return a copy with lists in place of lists and tuples, as decoding gives them."""
    return [deep_copy(one) for one in value] if isinstance(value, (list, tuple)) else value


def measure(count, seed, out, losses=10):
    """Found a cluster, measure it idle for 30 s, stop one leader after another, and print the figures.

    Return whether the quotas stayed within the cap and every leader got a successor within 60 s.
    """
    network = VirtualNetwork(count, seed)
    while network.leader() is None and network.now < 120.0:
        network.run(network.now + 0.1)
    first_leader_at = network.now
    network.run(network.now + 20.0)
    sent, at, cpu_before = network.sent, network.now, {member.name: member.cpu for member in network.members}
    while network.now < at + 30.0:
        network.run(network.now + 0.25)
        network.check_quotas()
    leader, seconds = network.leader(), network.now - at
    others_cpu = sorted(
        (member.cpu - cpu_before[member.name]) / seconds for member in network.members if member is not leader
    )
    leader_cpu = (leader.cpu - cpu_before[leader.name]) / seconds
    messages_per_s, leaderless_times, quota_in_use = (
        (network.sent - sent) / seconds / count,
        [],
        network.check_quotas(),
    )
    for _ in range(losses):
        lost_leader, before = network.leader(), network.now
        lost_leader.is_running = False
        while network.leader() is None and network.now < before + 60.0:
            network.run(network.now + 0.01)
        leaderless_times.append(network.now - before)
        network.run(network.now + 3.0)
        network.check_quotas()
        lost_leader.is_running = True
        lost_leader.start()
        network.run(network.now + 12.0)
        network.check_quotas()
    print(
        f"virtual members={count} voters={network.voter_count} lease={LEASE_S:g}s seed={seed} "
        f"first_owner={first_leader_at:.1f}s "
        f"messages_a_second={messages_per_s:.1f} cpu_owner={100 * leader_cpu:.2f}% "
        f"cpu_others_p50={100 * percentile(others_cpu, 0.5):.2f}% "
        f"shares_in_use={quota_in_use:.1f}_of_{CALL_CAP} shares_over_cap={network.quota_violations} "
        f"owner_lost_p50={percentile(leaderless_times, 0.5):.2f}s most={max(leaderless_times):.2f}s",
        file=out,
        flush=True,
    )
    return network.quota_violations == 0 and max(leaderless_times) < 60.0
