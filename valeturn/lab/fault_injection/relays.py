"""Relays between servers: each way of each pair can be held, delayed, trickled, spoilt; links can be broken.

A cut holds what comes, as a network would that loses it and a sender that sends it again: what was held goes
out at once when the cut ends, late as it is, or the connections are broken then.
"""

from __future__ import annotations

import asyncio

CHUNK = 4096


class Way:
    """From one server to another, whoever made the connection."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.delay = self.trickle = 0.0
        self.double = False  # the last bytes of the next chunk come twice

    def hold(self):
        self.open.clear()

    def go_on(self):
        self.open.set()


class Relays:
    def __init__(self, addresses):
        """addresses: name -> (host, port) that the server listens on for its peers."""
        self.addresses, self.servers, self.connections = addresses, [], {}
        self.ways = {(a, b): Way() for a in addresses for b in addresses if a != b}
        self.at = {}  # (who dials, whom) -> the relay's address

    async def start(self):
        for pair in self.ways:
            server = await asyncio.start_server(
                lambda reader, writer, pair=pair: self.connected(pair, reader, writer), "127.0.0.1", 0
            )
            self.servers.append(server)
            self.at[pair] = server.sockets[0].getsockname()

    def close(self):
        for server in self.servers:
            server.close()
        for writers in self.connections.values():
            for writer in writers:
                writer.close()

    def break_links(self, a, b):
        """All connections between the two end with a reset."""
        for pair in ((a, b), (b, a)):
            for writer in list(self.connections.get(pair, ())):
                writer.transport.abort()

    async def connected(self, pair, reader, writer):
        dialler, listener = pair
        await self.ways[pair].open.wait()
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.addresses[listener])
        except OSError:
            writer.transport.abort()
            return
        there = self.connections.setdefault(pair, set())
        there |= {writer, to_writer}
        try:
            await asyncio.gather(
                self.pump(self.ways[pair], reader, to_writer),
                self.pump(self.ways[listener, dialler], to_reader, writer),
            )
        finally:
            there -= {writer, to_writer}
            writer.close()
            to_writer.close()

    async def pump(self, way, reader, writer):
        try:
            while data := await reader.read(CHUNK):
                if way.delay:
                    await asyncio.sleep(way.delay)
                if way.double:
                    way.double, data = False, data + data[-20:]
                if way.trickle:
                    for at in range(0, len(data), 16):
                        await asyncio.sleep(way.trickle)
                        writer.write(data[at : at + 16])
                    continue
                await way.open.wait()
                writer.write(data)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
