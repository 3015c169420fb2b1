"""Connections between servers: one per pair, opened when there is something to send, closed when it is idle.

Messages may be lost, as on any network: those that wait too long are dropped, the oldest first, and counted.
A message of another cluster, of an earlier generation of a peer, or one that can't be decoded only closes its
connection.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from ..transport.backoff import Backoff
from ..transport.listener import Listener
from ..transport.message_pacing import MessageBudget, MessagePacing
from ..transport.scheduler import Scheduler
from ..transport.seeded_random import SeededRandom
from ..transport.streams import Stream, connect
from . import codec, limits

HELLO = "hello"  # wire kind of the first message in each direction, with the sender's listening address
TASK_NAME = "peer_connection"

CONNECT_TIMEOUT = 1.0  # seconds: round trips of a slow network, and one lost packet
FIRST_BACKOFF = 0.1  # seconds until the second attempt to connect to an address
MAX_BACKOFF = 2.0  # maximum seconds between attempts: a returned server is reached within one suspicion
IDLE_TIMEOUT = 20.0  # seconds without a message; in clusters of twenty, members are probed more often
USER_TIMEOUT = 5000  # ms for which the kernel resends unacknowledged data before it closes (RFC 5482)
MAX_QUEUE_TIME = 2.0  # maximum seconds that a message waits; by then a newer one was sent


class LocalEndpoint(NamedTuple):
    """This server's identity towards its peers, and the receiver of their messages."""

    cluster: str
    listen_address: str  # host:port
    identify: Callable[[], tuple[str, int]]  # returns the current name and generation
    receive: Callable[[codec.Message, str], None]  # called with a message and the sender's listening address


class Rejection(Enum):
    """Why a decoded message closes its connection; the values are the last part of the counters' names."""

    OWN_NAME = "own_name"
    EARLIER_GENERATION = "earlier_generation"
    SENDER_CHANGED = "sender_changed"
    MISSING_HELLO = "missing_hello"
    TOO_MANY_PEERS = "too_many_peers"


class Connection:
    """One TCP connection, and the known properties of its peer."""

    def __init__(self, stream: Stream, outbound: bool, peer_address: str | None = None) -> None:
        self.stream = stream
        self.outbound = outbound
        self.peer_name: str | None = None  # None until its hello was received
        self.peer_address = peer_address  # listening address; None for an inbound connection until its hello


class QueuedMessage(NamedTuple):
    """An encoded message that waits for a connection."""

    queued_at: float  # seconds of the scheduler's clock
    data: bytes


class Peer:
    """An address, its connection and its queued messages."""

    def __init__(self, address: str, random_source: SeededRandom) -> None:
        self.address = address
        self.connection: Connection | None = None
        self.connecting = False
        self.queue: deque[QueuedMessage] = deque()
        self.queued_bytes = 0
        self.last_used_at = 0.0  # seconds of the scheduler's clock
        self.retry_at = 0.0  # seconds of the scheduler's clock: no attempt to connect before this
        self.backoff = Backoff(random_source, FIRST_BACKOFF, MAX_BACKOFF)

    def enqueue(self, now: float, data: bytes) -> int:
        """Queue a message and return how many older ones were dropped to stay within the limits."""
        self.queue.append(QueuedMessage(now, data))
        self.queued_bytes += len(data)
        dropped = 0
        while len(self.queue) > limits.QUEUED or (
            self.queued_bytes > limits.QUEUED_BYTES and len(self.queue) > 1
        ):
            self.dequeue()
            dropped += 1
        return dropped

    def dequeue(self) -> None:
        """Remove the oldest message."""
        self.queued_bytes -= len(self.queue.popleft().data)

    def clear_queue(self) -> int:
        """Remove all messages and return how many there were."""
        removed = len(self.queue)
        self.queue.clear()
        self.queued_bytes = 0
        return removed

    def drop_expired(self, now: float) -> int:
        """Remove the messages that have waited too long and return how many there were."""
        removed = 0
        while self.queue and now - self.queue[0].queued_at > MAX_QUEUE_TIME:
            self.dequeue()
            removed += 1
        return removed

    def has_working_outbound(self) -> bool:
        """Return whether this server opened the connection in use, and it has not failed."""
        connection = self.connection
        return connection is not None and connection.outbound and connection.stream.fault is None


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`.

    Raises:
        ValueError: if there is no number after the last colon.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class PeerConnections:
    """All connections of this server to its peers."""

    def __init__(
        self,
        scheduler: Scheduler,
        local: LocalEndpoint,
        random_source: SeededRandom,
        count: Callable[[str], None],
        dial: Callable[[Scheduler, tuple[str, int], float], object] = connect,
    ) -> None:
        """Listen for peers.

        Args:
            scheduler: runs a task for each connection.
            local: this server's identity and its receiver of messages.
            random_source: randomizes the delays between attempts to connect.
            count: increments a counter.
            dial: connects to an address within a timeout in seconds; returns a Stream, or the failure.

        Raises:
            OSError: if the address can't be listened on.
        """
        self.open_connections: set[Connection] = set()
        self._scheduler = scheduler
        self._local = local
        self._random_source = random_source
        self._count = count
        self._dial = dial
        self._peers: dict[str, Peer] = {}  # by address
        self._generations: dict[str, int] = {}  # the latest known, by name
        self._closed = False
        self._pacing = MessagePacing(scheduler, lambda: count("cluster.peers_held_back"))
        address = parse_address(local.listen_address)
        self._listener = Listener(scheduler, address, limits.LINKS, self._accept, self._evict)

    # ---- sending

    def send(self, address: str, kind: str, fields: list[Any]) -> None:
        """Send a message now, or as soon as there is a connection; it may be lost."""
        if self._closed:
            return
        now = self._scheduler.clock()
        try:
            data = codec.encode(self._local.cluster, *self._local.identify(), kind, fields)
        except (codec.MessageTooLongError, ValueError):  # ValueError: nested too deeply for msgpack
            self._count("cluster.messages_oversized")
            return
        self._count("cluster.messages_sent")
        peer = self._find_or_add_peer(address)
        if peer is None:
            self._count_dropped(1)
            return
        peer.last_used_at = now
        if peer.connection is None and now < peer.retry_at:
            self._count("cluster.peers_unreachable")
            self._count_dropped(1)
            return
        self._count_dropped(peer.enqueue(now, data))
        if peer.connection is not None:
            self._flush(peer, peer.connection)
        elif not peer.connecting:
            peer.connecting = True
            self._scheduler.spawn(self._connect, peer, name=TASK_NAME)

    def _count_dropped(self, messages: int) -> None:
        for _ in range(messages):
            self._count("cluster.messages_dropped")

    def _find_or_add_peer(self, address: str) -> Peer | None:
        """Return the peer of an address, or None if it is new and there are too many."""
        peer = self._peers.get(address)
        if peer is None and len(self._peers) < limits.MEMBERS:
            peer = Peer(address, self._random_source)
            self._peers[address] = peer
        return peer

    def _flush(self, peer: Peer, connection: Connection) -> None:
        """Write queued messages until the stream's buffer is full."""
        self._count_dropped(peer.drop_expired(self._scheduler.clock()))
        stream = connection.stream
        while peer.queue and stream.fault is None and len(stream.unsent) <= limits.UNSENT:
            stream.write(peer.queue[0].data)
            peer.dequeue()

    def _connect(self, peer: Peer) -> None:
        """Open a connection to a peer and read from it until it is closed: a task of its own."""
        try:
            stream = self._dial(self._scheduler, parse_address(peer.address), CONNECT_TIMEOUT)
        finally:
            peer.connecting = False
        if not isinstance(stream, Stream):
            peer.retry_at = self._scheduler.clock() + peer.backoff.next()
            self._count_dropped(peer.clear_queue())
            self._count("cluster.peers_unreachable")
            return
        if self._closed or peer.connection is not None:  # the peer has connected meanwhile
            stream.close()
            return
        connection = Connection(stream, True, peer.address)
        self._use(peer, connection)
        self._read(connection)

    def _use(self, peer: Peer, connection: Connection) -> None:
        """Use this connection for all further messages to a peer."""
        peer.connection = connection
        peer.backoff.reset()
        self.open_connections.add(connection)
        self._send_hello(connection)
        self._flush(peer, connection)

    def _send_hello(self, connection: Connection) -> None:
        """Send this server's identity: name and generation, as in each message, and its listening address."""
        sock = connection.stream.sock
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
        local = self._local
        connection.stream.write(codec.encode(local.cluster, *local.identify(), HELLO, [local.listen_address]))

    # ---- receiving

    def _accept(self, stream: Stream) -> None:
        connection = Connection(stream, False)
        self.open_connections.add(connection)
        self._scheduler.spawn(self._read, connection, name=TASK_NAME)

    def _read(self, connection: Connection) -> None:
        """Receive messages until the connection is closed, idle or breaks the protocol."""
        decoder = codec.Decoder(self._local.cluster)
        budget = MessageBudget()
        try:
            while isinstance(data := connection.stream.read(IDLE_TIMEOUT), bytes):
                for result in decoder.feed(data):
                    reason = self._handle(connection, result)
                    if reason is not None:
                        self._count("cluster.messages_rejected." + reason.value)
                        return
                    self._pacing.after(connection.stream, budget, 1)
                    if connection.stream.fault is not None:  # closed meanwhile
                        return
        finally:
            self._release(connection)

    def _handle(
        self, connection: Connection, result: codec.Message | codec.DecodeError
    ) -> codec.DecodeFailure | Rejection | None:
        """Handle a decoded message, and return why the connection has to be closed, or None."""
        if isinstance(result, codec.DecodeError):
            return result.reason
        rejection = self._check_sender(result)
        if rejection is not None:
            return rejection
        if connection.peer_name is None or connection.peer_address is None:
            return self._handle_hello(connection, result)
        if result.sender != connection.peer_name:
            return Rejection.SENDER_CHANGED
        self._count("cluster.messages_received")
        self._local.receive(result, connection.peer_address)
        return None

    def _check_sender(self, message: codec.Message) -> Rejection | None:
        name = message.sender
        if name == self._local.identify()[0]:
            return Rejection.OWN_NAME
        if message.generation < self._generations.get(name, 0):
            return Rejection.EARLIER_GENERATION
        if len(self._generations) >= 2 * limits.MEMBERS and name not in self._generations:
            self._generations.clear()  # live peers announce theirs again
        self._generations[name] = message.generation
        return None

    def _handle_hello(self, connection: Connection, message: codec.Message) -> Rejection | None:
        fields = message.fields
        if message.kind != HELLO or len(fields) != 1 or not isinstance(fields[0], str):
            return Rejection.MISSING_HELLO
        connection.peer_name = message.sender
        if connection.outbound:
            return None
        address = fields[0]
        connection.peer_address = address
        peer = self._find_or_add_peer(address)
        if peer is None:
            return Rejection.TOO_MANY_PEERS
        peer.last_used_at = self._scheduler.clock()
        # When both servers connect simultaneously, both send on the connection that the smaller address
        # opened, and read the other one until it is idle.
        if not (peer.has_working_outbound() and self._local.listen_address < address):
            self._use(peer, connection)
        return None

    def _release(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        connection.stream.close()
        self.open_connections.discard(connection)
        if not connection.outbound:
            self._listener.connection_ended()
        if connection.peer_address is not None:
            peer = self._peers.get(connection.peer_address)
            if peer is not None and peer.connection is connection:
                peer.connection = None

    # ---- housekeeping

    def tick(self) -> None:
        """Drop expired messages and close idle connections; to be called several times a second."""
        now = self._scheduler.clock()
        for peer in list(self._peers.values()):
            idle = now - peer.last_used_at > IDLE_TIMEOUT
            connection = peer.connection
            if connection is not None:
                self._flush(peer, connection)
                if idle:
                    connection.stream.close()
                continue
            self._count_dropped(peer.drop_expired(now))
            if not peer.queue and not peer.connecting and idle:
                del self._peers[peer.address]

    def _evict(self) -> bool:
        """Close the least recently used inbound connection, so that a new one can be accepted.

        Returns:
            False, as the place is free only once the connection's own task has released it.
        """
        connection = self._least_recently_used()
        if connection is not None:
            self._count("cluster.connections_evicted")
            connection.stream.close()
        return False

    def _least_recently_used(self) -> Connection | None:
        """Return the least recently used inbound connection, or else one without a hello, or None."""
        inbound = [
            (peer.last_used_at, peer.connection)
            for peer in self._peers.values()
            if peer.connection is not None and not peer.connection.outbound
        ]
        if inbound:
            return min(inbound, key=lambda item: item[0])[1]
        return next((one for one in self.open_connections if one.peer_name is None), None)

    def close_now(self) -> None:
        """Close all connections; bytes that the sockets have accepted are still sent."""
        self._closed = True
        self._listener.close()
        for connection in list(self.open_connections):
            connection.stream.close()
