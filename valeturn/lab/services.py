"""Stand-ins for the ledger and the name service, and how all stand-ins are served."""

from __future__ import annotations

import asyncio


async def http(reader, writer, answer):
    """Reads requests one after another and writes what `answer(first line, body)` makes of each."""
    while head := (await reader.readuntil(b"\r\n\r\n")).decode():
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        length = next((int(value) for name, _, value in lines if name.lower() == "content-length"), 0)
        status, body = answer(head.split("\r\n")[0], await reader.readexactly(length))
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


async def ledger(reader, writer):
    await http(reader, writer, lambda first, body: ("200 OK", b"[" + body + b"]"))


def naming(said=lambda line: None):
    async def serve(reader, writer):
        def answer(first, body):
            said(f"{first} {body.decode()}")
            return "204 No Content", b""

        await http(reader, writer, answer)

    return serve


def quietly(serve):
    """Peers that are killed end their connection as they like; the loop may end first."""

    async def connection(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return connection


async def listen(serve, address=("127.0.0.1", 0)):
    """(the server, its address)"""
    server = await asyncio.start_server(quietly(serve), *address)
    return server, server.sockets[0].getsockname()
