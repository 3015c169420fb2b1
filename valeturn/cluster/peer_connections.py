"""Links between servers: one a pair, made when there is something to send, closed when there is not.

Messages may be lost here, as they may on any network: what waits too long goes, the oldest first, counted. A
message of another fleet, of an earlier life of a peer, or one that can't be read costs its link at the most.
"""

from __future__ import annotations

import socket
from collections import deque

from ..transport.backoff import Backoff
from ..transport.listener import Listener
from ..transport.streams import Stream, connect
from . import codec, limits

CONNECTING = 1.0  # s for a connection: round trips of a slow network, and one lost packet
FIRST, LONGEST = 0.1, 2.0  # s between attempts to reach one that is not there
IDLE = 20.0  # s without a message after which a link goes: a member is probed more often in fleets of twenty
STUCK = 5000  # ms that the kernel keeps sending what nobody acknowledges, before it breaks the connection
MOST_LATE = 2.0  # s that a message waits at the most: what is older is sent anew by who needs it


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


class Link:
    """One connection, and what is known of the other end."""

    def __init__(self, stream, dialled):
        self.stream, self.dialled, self.name, self.at = stream, dialled, None, None


class Peer:
    """What is to be sent to an address."""

    def __init__(self, at, chance):
        self.at, self.link, self.queue, self.dialling = at, None, deque(), False
        self.size = 0  # bytes in the queue
        self.used, self.not_before, self.backoff = 0.0, 0.0, Backoff(chance, FIRST, LONGEST)


class Links:
    def __init__(self, scheduler, fleet, listen, who, hear, chance, count, dial=connect):
        """who() -> (name, life). hear(message, address). dial(scheduler, (host, port), patience) -> Stream or
        Trouble. Raises OSError where it can't listen."""
        self.scheduler, self.fleet, self.listen, self.who, self.hear = scheduler, fleet, listen, who, hear
        self.chance, self.count, self.dial = chance, count, dial
        self.peers, self.links, self.lives = {}, set(), {}
        self.listener = Listener(scheduler, address(listen), limits.LINKS, self.accept, self.make_room)
        self.closed = False

    # ---- sending

    def send(self, at, kind, fields):
        """Now, or as soon as there is a link."""
        if self.closed:
            return
        now, name_life = self.scheduler.clock(), self.who()
        try:
            data = codec.encode(self.fleet, *name_life, kind, fields)
        except (codec.MessageTooLongError, ValueError):  # ValueError: nested past the limit of msgpack
            self.count("fleet.too_long")
            return
        self.count("fleet.sent")
        peer = self.peers.get(at)
        if peer is None:
            if len(self.peers) >= limits.MEMBERS:
                self.count("fleet.dropped")
                return
            peer = self.peers[at] = Peer(at, self.chance)
        peer.used = now
        if peer.link is None and now < peer.not_before:
            self.count("fleet.unreached")
            return
        peer.queue.append((now, data))
        peer.size += len(data)
        while len(peer.queue) > limits.QUEUED or peer.size > limits.QUEUED_BYTES and len(peer.queue) > 1:
            peer.size -= len(peer.queue.popleft()[1])
            self.count("fleet.dropped")
        if peer.link is not None:
            self.pump(peer)
        elif not peer.dialling:
            peer.dialling = True
            self.scheduler.spawn(self.reach, peer, name="link")

    def pump(self, peer):
        now, stream = self.scheduler.clock(), peer.link.stream
        while peer.queue and stream.trouble is None:
            at, data = peer.queue[0]
            if now - at > MOST_LATE:
                self.count("fleet.dropped")
            elif len(stream.unsent) > limits.UNSENT:
                return
            else:
                stream.write(data)
            peer.queue.popleft()
            peer.size -= len(data)

    def reach(self, peer):
        try:
            got = self.dial(self.scheduler, address(peer.at), CONNECTING)
        finally:
            peer.dialling = False
        if not isinstance(got, Stream):
            peer.not_before = self.scheduler.clock() + peer.backoff.next()
            peer.queue.clear()
            peer.size = 0
            self.count("fleet.unreached")
            return
        if self.closed or peer.link is not None:  # the other was quicker
            got.close()
            return
        link = Link(got, True)
        link.at = peer.at
        self.attach(peer, link)
        self.read(link)

    def attach(self, peer, link):
        peer.link = link
        peer.backoff.reset()
        self.links.add(link)
        self.prepare(link)
        self.pump(peer)

    def prepare(self, link):
        """Both ends introduce themselves first: by name, life and the address that they listen on."""
        sock = link.stream.sock
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STUCK)
        link.stream.write(codec.encode(self.fleet, *self.who(), "hello", [self.listen]))

    # ---- receiving

    def accept(self, stream):
        link = Link(stream, False)
        self.links.add(link)
        self.scheduler.spawn(self.read, link, name="link")

    def read(self, link):
        decoder = codec.Decoder(self.fleet)
        try:
            while isinstance(data := link.stream.read(IDLE), bytes):
                for one in decoder.feed(data):
                    bad = isinstance(one, codec.DecodeError)
                    why = one.reason.value if bad else self.take(link, one)
                    if why is not None:
                        self.count("fleet.refused." + why)
                        return
        finally:
            self.over(link)

    def take(self, link, message):
        """None, or why the link can't go on."""
        name, life = message.sender, message.generation
        if name == self.who()[0]:
            return "own_name"
        if life < self.lives.get(name, 0):
            return "earlier_life"
        if len(self.lives) >= 2 * limits.MEMBERS and name not in self.lives:
            self.lives.clear()  # who is still there says its life again
        self.lives[name] = life
        if link.name is None:
            return self.introduced(link, message)
        if name != link.name:
            return "another_name"
        self.count("fleet.heard")
        self.hear(message, link.at)
        return None

    def introduced(self, link, message):
        if message.kind != "hello" or len(message.fields) != 1 or not isinstance(message.fields[0], str):
            return "no_hello"
        link.name = message.sender
        if link.dialled:
            return None
        link.at = at = message.fields[0]
        peer = self.peers.get(at)
        if peer is None:
            if len(self.peers) >= limits.MEMBERS:
                return "too_many"
            peer = self.peers[at] = Peer(at, self.chance)
        peer.used = self.scheduler.clock()
        mine = peer.link is not None and peer.link.dialled and peer.link.stream.trouble is None
        if not (mine and self.listen < at):
            # Of two made at once both ends send by the one that the smaller address made, and read the other
            # until it has been idle for long enough.
            self.attach(peer, link)
        return None

    def over(self, link):
        link.stream.close()
        self.links.discard(link)
        if not link.dialled:
            self.listener.released()
        peer = self.peers.get(link.at)
        if peer is not None and peer.link is link:
            peer.link = None

    # ---- upkeep

    def tick(self):
        """A few times a second."""
        now = self.scheduler.clock()
        for peer in list(self.peers.values()):
            if peer.link is not None:
                self.pump(peer)
                if now - peer.used > IDLE and peer.link is not None:
                    peer.link.stream.close()
            elif not peer.queue and not peer.dialling and now - peer.used > IDLE:
                del self.peers[peer.at]

    def make_room(self):
        """For the listener: the link that was used the longest ago goes."""
        waiting = [link for link in self.links if link.name is None]
        used = [peer for peer in self.peers.values() if peer.link is not None and not peer.link.dialled]
        victim = min(used, key=lambda peer: peer.used).link if used else waiting[0] if waiting else None
        if victim is None:
            return False
        self.count("fleet.made_room")
        victim.stream.close()
        return False  # its task releases the place in its next turn

    def close_now(self):
        """What the sockets take still goes out: a few words of farewell."""
        self.closed = True
        self.listener.close()
        for link in list(self.links):
            link.stream.close()
