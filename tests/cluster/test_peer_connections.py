"""Connections between servers: rejections, counters and queue limits."""

import socket

import pytest

from valeturn.cluster import codec, peer_connections
from valeturn.cluster.limits import QUEUED, QUEUED_BYTES
from valeturn.cluster.peer_connections import LocalEndpoint, Peer, PeerConnections, parse_address
from valeturn.transport.scheduler import Scheduler
from valeturn.transport.seeded_random import SeededRandom

A = "127.77.0.1:4301"
B = "127.77.0.1:4302"


class Pair:
    """Two servers of one cluster, what they receive and what they count."""

    def __init__(self):
        self.scheduler = Scheduler()
        self.received = []  # (receiver, sender, kind)
        self.counters = {}
        self.a = self.make("a", A)
        self.b = self.make("b", B)

    def make(self, name, address):
        def receive(message, peer_address):
            self.received.append((name, message.sender, message.kind))

        local = LocalEndpoint("lab", address, lambda: (name, 1), receive)
        seed = parse_address(address)[1]
        return PeerConnections(self.scheduler, local, SeededRandom(seed), self.count)

    def count(self, name):
        self.counters[name] = self.counters.get(name, 0) + 1

    def play(self, scenario):
        """Run a scenario as a task until it ends."""

        def task():
            scenario()
            self.a.close_now()
            self.b.close_now()
            self.scheduler.stop()

        self.scheduler.spawn(task)
        self.scheduler.run()


def test_two_servers_exchange_messages_and_queue_no_more_than_the_limit():
    pair = Pair()

    def scenario():
        pair.a.send(B, "ping", [])
        pair.b.send(A, "ping", [])
        pair.scheduler.sleep(0.2)
        for _ in range(300):  # more than the queue's limit without a pause: the oldest are dropped
            pair.a.send(B, "news", ["x" * 9000])
        pair.scheduler.sleep(0.3)

    pair.play(scenario)
    assert ("b", "a", "ping") in pair.received
    assert ("a", "b", "ping") in pair.received
    delivered = sum(kind == "news" for _, _, kind in pair.received)
    assert delivered + pair.counters.get("cluster.messages_dropped", 0) == 300
    assert delivered >= 128


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (codec.encode("other", "c", 1, "hello", ["127.77.0.1:9"]), "other_cluster"),
        (b"\0" * 64, "checksum"),
        (codec.encode("lab", "c", 1, "ping", []), "missing_hello"),
        (
            codec.encode("lab", "c", 5, "hello", ["127.77.0.1:9"]) + codec.encode("lab", "c", 4, "ping", []),
            "earlier_generation",
        ),
    ],
)
def test_bytes_that_break_the_protocol_are_rejected_by_reason(data, reason):
    pair = Pair()

    def scenario():
        pair.a.send(B, "ping", [])
        pair.scheduler.sleep(0.1)
        sock = socket.create_connection(parse_address(B))
        sock.sendall(data)
        pair.scheduler.sleep(0.05)
        sock.close()
        pair.scheduler.sleep(0.1)

    pair.play(scenario)
    rejected = {name for name in pair.counters if name.startswith("cluster.messages_rejected.")}
    assert rejected == {"cluster.messages_rejected." + reason}
    assert ("b", "a", "ping") in pair.received
    assert not any(sender == "c" for _, sender, _ in pair.received)


def test_peer_queue_drops_the_oldest_messages_past_its_limits():
    peer = Peer(B, SeededRandom(1))
    assert sum(peer.enqueue(1.0, b"x") for _ in range(QUEUED + 3)) == 3
    assert len(peer.queue) == QUEUED
    assert peer.enqueue(2.0, b"x" * QUEUED_BYTES) == QUEUED
    assert [message.queued_at for message in peer.queue] == [2.0]
    assert peer.queued_bytes == QUEUED_BYTES


def test_every_message_that_is_not_delivered_is_counted_as_dropped():
    """Guards against messages to an unreachable peer being dropped without being counted."""
    pair = Pair()

    def scenario():
        for _ in range(3):
            pair.a.send("127.77.0.1:4309", "ping", [])
        pair.scheduler.sleep(0.1)
        pair.a.send("127.77.0.1:4309", "ping", [])
        pair.scheduler.sleep(0.05)

    pair.play(scenario)
    assert pair.counters["cluster.messages_sent"] == 4
    assert pair.counters["cluster.messages_dropped"] == 4


def test_messages_that_wait_without_a_connection_are_dropped_in_time_and_their_peer_forgotten(monkeypatch):
    """Guards against such messages, and their peer's table entry, staying until the next send to it."""
    monkeypatch.setattr(peer_connections, "MAX_QUEUE_TIME", 0.1)
    monkeypatch.setattr(peer_connections, "IDLE_TIMEOUT", 0.2)
    pair = Pair()

    def scenario():
        pair.a.send(B, "ping", [])
        pair.scheduler.sleep(0.1)
        peer = pair.a._peers[B]
        peer.connection.stream.close()
        pair.scheduler.sleep(0.05)
        peer.enqueue(pair.scheduler.clock(), b"waits")
        pair.scheduler.sleep(0.3)
        pair.a.tick()
        pair.a.tick()
        assert B not in pair.a._peers
        assert pair.counters["cluster.messages_dropped"] == 1

    pair.play(scenario)
