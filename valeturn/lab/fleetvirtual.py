"""Simulate the membership of a large cluster in virtual time.

The network loses, delays and cuts messages; servers are suspended, killed and restarted. The membership code
is the real one, and messages pass through the real codec if `encode_messages` is set. Each server has its own
clock, which may run fast or slow.
"""

from __future__ import annotations

import math
import time

from ..cluster import codec
from ..cluster.membership import MemberIdentity, Membership
from ..transport.seeded_random import SeededRandom
from .virtual import Timeline, percentile

TICK_S = 0.1  # between ticks, by the server's own clock
SHORTEST_DELAY_S = 0.002  # one way; an exponential part with the same mean is added


class Node:
    """One server: its membership, its clock and whether it runs."""

    def __init__(self, network, number, incarnation, rate=1.0):
        self.network, self.name, self.number = network, f"n{number}", number
        self.address, self.zone = f"10.0.{number // 250}.{number % 250}:7000", f"z{number % 3}"
        self.rate, self.offset = rate, 0.0  # its clock shows rate * time + offset
        self.up, self.suspended, self.held_messages = True, False, []
        self.start(incarnation)

    def start(self, incarnation):
        """Start an incarnation with a new membership."""
        self.up, self.incarnation = True, incarnation
        self.membership = Membership(
            MemberIdentity(self.name, self.address, self.zone, incarnation),
            self.network.seeds,
            SeededRandom(7919 * self.number + incarnation),
            self.clock(),
        )

    def clock(self):
        """Return the time of the server's own clock in seconds."""
        return self.network.now * self.rate + self.offset

    def tick(self, incarnation):
        """Tick periodically until this incarnation ends."""
        if not self.up or incarnation != self.incarnation:
            return
        self.network.at(TICK_S / self.rate, self.tick, incarnation)
        if not self.suspended:
            self.perform(lambda: self.membership.tick(self.clock()))

    def receive(self, sender, incarnation, kind, fields, address):
        """Process a message; hold it back while the server is suspended."""
        if not self.up:
            return
        if self.suspended:
            self.held_messages.append((sender, incarnation, kind, fields, address))
            return
        self.perform(lambda: self.membership.receive(self.clock(), sender, incarnation, kind, fields))

    def perform(self, function):
        """Call the membership, measure its CPU time, and carry out the changes and messages that result."""
        began = time.perf_counter()
        outgoing = function()
        self.network.cpu_s += time.perf_counter() - began
        for change in self.membership.take_changes():
            self.network.record_change(self, change)
        for name, address, kind, fields in outgoing:
            self.network.send(self, address, kind, fields)

    def resume(self):
        """Continue after a suspension: messages that arrived meanwhile are processed at once."""
        self.suspended, messages = False, self.held_messages
        self.held_messages = []
        for message in messages:
            self.receive(*message)


class Network(Timeline):
    """The servers and the network between them."""

    def __init__(self, count, seed, loss=0.0, slow=0.0, encode_messages=False):
        """Start all servers.

        Args:
            count: How many servers there are.
            seed: Of the random draws.
            loss: The share of messages that are lost.
            slow: The share of servers that send and receive late, as if short of CPU.
            encode_messages: Pass messages through the codec and count their bytes.
        """
        super().__init__()
        self.random_source = SeededRandom(seed)
        for _ in range(8):
            self.random_source.random()
        self.loss, self.encode_messages = loss, encode_messages
        # Whether messages of the sender can't reach the receiver.
        self.is_cut = lambda sender, receiver: False
        self.messages_sent = self.bytes_sent = 0
        self.cpu_s, self.log = 0.0, []  # (time, observer, effect, member)
        self.seeds = [f"10.0.0.{n}:7000" for n in range(3)]
        self.nodes = [Node(self, number, 1000) for number in range(count)]
        self.nodes_by_address = {node.address: node for node in self.nodes}
        self.slow = set(range(int(slow * count + 0.5)))
        for node in self.nodes:
            self.at(TICK_S * self.random_source.random(), node.tick, node.incarnation)

    def send(self, node, address, kind, fields):
        """Deliver a message later, unless it is lost, cut off or sent to an unknown address."""
        self.messages_sent += 1
        if self.encode_messages:
            data = codec.encode("lab", node.name, node.membership.local.generation, kind, fields)
            self.bytes_sent += len(data)
            (message,) = codec.Decoder("lab").feed(data)
            kind, fields = message.kind, message.fields
        other = self.nodes_by_address.get(address)
        if other is None or self.random_source.random() < self.loss or self.is_cut(node, other):
            return
        delay = SHORTEST_DELAY_S - SHORTEST_DELAY_S * math.log(1 - self.random_source.random())
        for endpoint in (node, other):
            if endpoint.number in self.slow:
                # Some hundred milliseconds late, like a process that waits for a core.
                delay += 0.5 * self.random_source.random()
        generation = node.membership.local.generation
        self.at(delay, self.arrive, other, node.name, generation, kind, fields, node.address)

    def arrive(self, other, *message):
        """Deliver a message that is due."""
        other.receive(*message)

    def record_change(self, node, change):
        """Log a membership change that a server has seen."""
        self.log.append((self.now, node.name, change.effect.value, change.name))

    # ---- faults

    def kill(self, node):
        """Kill a server."""
        node.up = False

    def restart(self, node):
        """Start the next incarnation of a killed server."""
        node.start(node.incarnation + 1)
        node.held_messages, node.suspended = [], False
        self.at(0.0, node.tick, node.incarnation)

    def suspend(self, node):
        """Suspend a server until it resumes."""
        node.suspended = True

    # ---- results

    def agreed(self):
        """Return whether every running server lists exactly the running servers as alive."""
        up = sorted(node.name for node in self.nodes if node.up)
        return all(node.membership.alive() == up for node in self.nodes if node.up)

    def wait_for_agreement(self, timeout_s):
        """Run until all servers agree; return the seconds it took, or None after the timeout."""
        began = self.now
        while self.now < began + timeout_s:
            if self.agreed():
                return self.now - began
            self.run(self.now + 0.1)
        return None


def measure(count, seed, loss, slow, minutes, out):
    """Start the servers, run them without faults, then kill up to ten one after another.

    Prints one line of figures and returns whether every death was detected.
    """
    network = Network(count, seed, loss, slow, encode_messages=count <= 200)
    joined_after_s = network.wait_for_agreement(300.0)
    began, sent_before, cpu_before = network.now, network.messages_sent, network.cpu_s
    network.log.clear()
    network.run(network.now + 60.0 * minutes)
    quiet_s = network.now - began
    suspected = sum(row[2] == "suspected" for row in network.log)
    false_deaths = sum(row[2] == "dead" for row in network.log)
    messages_per_second = (network.messages_sent - sent_before) / quiet_s / count
    cpu_share = (network.cpu_s - cpu_before) / quiet_s / count
    first_detections_s, last_detections_s = [], []
    killed_nodes = [node for node in network.nodes if node.number >= 3 and node.number not in network.slow][
        :10
    ]
    for node in killed_nodes:
        network.log.clear()
        killed_at = network.now
        network.kill(node)
        network.run(network.now + 45.0)
        detected_after_s = {
            row[1]: row[0] - killed_at for row in network.log if row[2] == "dead" and row[3] == node.name
        }
        if detected_after_s:
            first_detections_s.append(min(detected_after_s.values()))
            last_detections_s.append(max(detected_after_s.values()))
        network.restart(node)
        network.wait_for_agreement(60.0)
    server_hours = quiet_s / 3600 * count
    print(
        f"servers={count} seed={seed} loss={loss:g} slow={slow:g} "
        f"joined_in={-1 if joined_after_s is None else joined_after_s:.1f}s "
        f"messages_a_second={messages_per_second:.2f} "
        f"bytes_a_second={network.bytes_sent / max(1e-9, network.now) / count:.0f} "
        f"cpu_share={cpu_share:.5f} suspicions_a_server_hour={suspected / server_hours:.2f} "
        f"falsely_gone_a_server_hour={false_deaths / server_hours:.3f} killed={len(killed_nodes)} "
        f"seen={len(first_detections_s)} "
        f"lost_first_p50={percentile(first_detections_s, 0.5):.1f}s "
        f"lost_all_p50={percentile(last_detections_s, 0.5):.1f}s "
        f"lost_all_most={max(last_detections_s, default=float('nan')):.1f}s",
        file=out,
        flush=True,
    )
    return len(first_detections_s) == len(killed_nodes)
