"""Connections between servers: one a pair, opened when there is something to send, closed when it is idle.

Messages may be lost here, as on any network: those that wait too long are dropped, the oldest first, and
counted. A message of another cluster, of an earlier generation of a peer, or one that can't be decoded closes
its connection at the most.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from ..transport.backoff import Backoff
from ..transport.listener import Listener
from ..transport.scheduler import Scheduler
from ..transport.seeded_random import SeededRandom
from ..transport.streams import Stream, connect
from . import codec, limits

HELLO = "hello"  # kind of the first message each way, on the wire: the sender's own listening address
TASK_NAME = "peer_connection"

CONNECT_TIMEOUT = 1.0  # s: round trips of a slow network, and one lost packet
FIRST_BACKOFF = 0.1  # s until the second attempt to connect to an address
MAX_BACKOFF = 2.0  # s between attempts at the most: a server that is back is reached within one suspicion
IDLE_TIMEOUT = 20.0  # s without a message; in clusters of twenty each member is probed more often
USER_TIMEOUT = (
    5000  # ms that the kernel resends unacknowledged data (RFC 5482) before it breaks the connection
)
MAX_QUEUE_TIME = 2.0  # s that a message waits; whoever needs it sends a newer one by then


class LocalEndpoint(NamedTuple):
    """This server as its peers connect to it, and what receives their messages."""

    cluster: str
    listen_address: str  # host:port
    identify: Callable[[], tuple[str, int]]  # returns the present name and generation
    receive: Callable[[codec.Message, str], None]  # takes a message and the sender's listening address


class Rejection(Enum):
    """Why a message that was decoded closes its connection; the values end the counters' names."""

    OWN_NAME = "own_name"
    EARLIER_GENERATION = "earlier_generation"
    SENDER_CHANGED = "sender_changed"
    MISSING_HELLO = "missing_hello"
    TOO_MANY_PEERS = "too_many_peers"


class Connection:
    """One TCP connection, and what is known of the peer at its other end."""

    def __init__(self, stream: Stream, outbound: bool, peer_address: str | None = None) -> None:
        self.stream = stream
        self.outbound = outbound
        self.peer_name: str | None = None  # until its hello was received
        self.peer_address = peer_address  # where it listens; None for an inbound one until its hello


class QueuedMessage(NamedTuple):
    """An encoded message that waits for a connection."""

    queued_at: float  # s of the scheduler's clock
    data: bytes


class Peer:
    """An address, its connection and the messages that wait for it."""

    def __init__(self, address: str, random_source: SeededRandom) -> None:
        self.address = address
        self.connection: Connection | None = None
        self.connecting = False
        self.queue: deque[QueuedMessage] = deque()
        self.queued_bytes = 0
        self.last_used_at = 0.0  # s of the scheduler's clock
        self.retry_at = 0.0  # s of the scheduler's clock before which no connection is tried
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
            local: this server and its receiver of messages.
            random_source: spreads the attempts to connect.
            count: raises a counter by one.
            dial: connects to an address within a timeout in s; returns a Stream, or else why there is none.

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
        except (codec.MessageTooLongError, ValueError):  # ValueError: nested deeper than msgpack packs
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
        """Write the queued messages, as far as the stream takes them."""
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
        """Send to a peer by this connection from now on."""
        peer.connection = connection
        peer.backoff.reset()
        self.open_connections.add(connection)
        self._say_hello(connection)
        self._flush(peer, connection)

    def _say_hello(self, connection: Connection) -> None:
        """Introduce this server: by name and generation, as each message does, and its listening address."""
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
        try:
            while isinstance(data := connection.stream.read(IDLE_TIMEOUT), bytes):
                for result in decoder.feed(data):
                    reason = self._take(connection, result)
                    if reason is not None:
                        self._count("cluster.messages_rejected." + reason.value)
                        return
        finally:
            self._release(connection)

    def _take(
        self, connection: Connection, result: codec.Message | codec.DecodeError
    ) -> codec.DecodeFailure | Rejection | None:
        """Handle what was decoded, and return why the connection can't go on, or None."""
        if isinstance(result, codec.DecodeError):
            return result.reason
        rejection = self._check_sender(result)
        if rejection is not None:
            return rejection
        if connection.peer_name is None or connection.peer_address is None:
            return self._take_hello(connection, result)
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
            self._generations.clear()  # those that are still there send theirs again
        self._generations[name] = message.generation
        return None

    def _take_hello(self, connection: Connection, message: codec.Message) -> Rejection | None:
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
        # When both servers connect at once, both send by the connection that the smaller address opened, and
        # read the other until it is idle.
        if not (peer.has_working_outbound() and self._local.listen_address < address):
            self._use(peer, connection)
        return None

    def _release(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
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
        """Drop what waits too long, and close what is idle; to be called a few times a second."""
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
        """Close the least recently used inbound connection, to make room for a new one.

        Returns:
            False: there is no room before the connection's own task has released it.
        """
        connection = self._least_recently_used()
        if connection is not None:
            self._count("cluster.connections_evicted")
            connection.stream.close()
        return False

    def _least_recently_used(self) -> Connection | None:
        """Return the inbound connection to close first: one in use, or else one without a hello."""
        inbound = [
            (peer.last_used_at, peer.connection)
            for peer in self._peers.values()
            if peer.connection is not None and not peer.connection.outbound
        ]
        if inbound:
            return min(inbound, key=lambda item: item[0])[1]
        return next((one for one in self.open_connections if one.peer_name is None), None)

    def close_now(self) -> None:
        """Close all connections; what the sockets take of unsent messages still goes out."""
        self._closed = True
        self._listener.close()
        for connection in list(self.open_connections):
            connection.stream.close()
