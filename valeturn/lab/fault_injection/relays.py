"""Relays between servers: each direction of a pair can be paused, delayed, slowed or made to duplicate bytes.

A paused direction keeps what arrives, as packets that a network loses are sent again: when it resumes,
everything is forwarded at once, late as it is, unless the connections are reset then.
"""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 4096


class Direction:
    """The bytes from one server to another, whichever of them made the connection."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.delay = self.trickle = 0.0  # seconds per chunk, and per 16 bytes
        self.duplicate_next = False  # the last 20 bytes of the next chunk are sent twice

    def pause(self):
        """Keep back what arrives from now on."""
        self.open.clear()

    def resume(self):
        """Forward what was kept back and all that follows."""
        self.open.set()


class Relays:
    """One listening relay for each ordered pair of servers."""

    def __init__(self, addresses):
        """Take the (host, port) that each server listens on for its peers, by name."""
        self.addresses, self.servers, self.connections = addresses, [], {}
        self.directions = {
            (first, second): Direction() for first in addresses for second in addresses if first != second
        }
        self.relay_addresses = {}  # (dialer, listener) -> address of the relay

    async def start(self):
        """Listen for every pair on a free port."""
        for pair in self.directions:
            server = await asyncio.start_server(
                lambda reader, writer, pair=pair: self.on_connection(pair, reader, writer), "127.0.0.1", 0
            )
            self.servers.append(server)
            self.relay_addresses[pair] = server.sockets[0].getsockname()

    def close(self):
        """Close the listening sockets and all connections."""
        for server in self.servers:
            server.close()
        for writers in self.connections.values():
            for writer in writers:
                writer.close()

    def break_links(self, first, second):
        """Reset all connections between two servers."""
        for pair in ((first, second), (second, first)):
            for writer in list(self.connections.get(pair, ())):
                writer.transport.abort()

    async def on_connection(self, pair, reader, writer):
        """Connect to the listener and forward both directions until one of them ends."""
        dialer, listener = pair
        await self.directions[pair].open.wait()
        try:
            onward_reader, onward_writer = await asyncio.open_connection(*self.addresses[listener])
        except OSError:
            writer.transport.abort()
            return
        open_writers = self.connections.setdefault(pair, set())
        open_writers |= {writer, onward_writer}
        try:
            await asyncio.gather(
                self.forward(self.directions[pair], reader, onward_writer),
                self.forward(self.directions[listener, dialer], onward_reader, writer),
            )
        finally:
            open_writers -= {writer, onward_writer}
            writer.close()
            onward_writer.close()

    async def forward(self, direction, reader, writer):
        """Forward bytes, subject to the faults of the direction."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if direction.delay:
                    await asyncio.sleep(direction.delay)
                if direction.duplicate_next:
                    direction.duplicate_next, data = False, data + data[-20:]
                if direction.trickle:
                    for offset in range(0, len(data), 16):
                        await asyncio.sleep(direction.trickle)
                        writer.write(data[offset : offset + 16])
                    continue
                await direction.open.wait()
                writer.write(data)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
