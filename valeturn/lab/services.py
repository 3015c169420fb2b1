"""Stand-ins for the ledger and the name service, and the HTTP server that all stand-in services share."""

from __future__ import annotations

import asyncio


async def http(reader, writer, answer):
    """Serve HTTP requests one after another.

    Args:
        answer: Called with the request line and the body; returns the status line's text and the body.
    """
    while head := (await reader.readuntil(b"\r\n\r\n")).decode():
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        length = next((int(value) for name, _, value in lines if name.lower() == "content-length"), 0)
        status, body = answer(head.split("\r\n")[0], await reader.readexactly(length))
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


async def ledger(reader, writer):
    """Serve a ledger that answers every call with its body in brackets."""
    await http(reader, writer, lambda request_line, body: ("200 OK", b"[" + body + b"]"))


def naming(on_report=lambda line: None):
    """Return a name service that passes each report as a line to the callback."""

    async def serve(reader, writer):
        def answer(request_line, body):
            on_report(f"{request_line} {body.decode()}")
            return "204 No Content", b""

        await http(reader, writer, answer)

    return serve


def ignoring_disconnects(serve):
    """Wrap a connection handler so that an abrupt end of the peer or of the event loop is no error."""

    async def connection(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return connection


async def listen(serve, address=("127.0.0.1", 0)):
    """Start a server and return it with its address."""
    server = await asyncio.start_server(ignoring_disconnects(serve), *address)
    return server, server.sockets[0].getsockname()
