"""Stands in for the executor, the ledger and the name service, as the protocol describes them.

    python examples/toy.py [EXECUTOR LEDGER NAMING]

The three addresses default to those of examples/config.json. A run "works" a tenth of a second, makes one
call where its workload's name is in CALLS, and returns its body with the reply behind it. Not for load: it
plays its parts one message at a time, to try and test a server.
"""

import asyncio
import base64
import json
import sys
import time

ADDRESSES = ("127.0.0.1:7300", "127.0.0.1:5432", "127.0.0.1:7946")
CALLS, WORK = ("quote", "file"), 0.1
CAME = time.time()


class Executor:
    def __init__(self):
        self.notices, self.runs, self.replies, self.link = [], {}, {}, None

    def tell(self, **message):
        """A numbered notice: kept, and sent where there is a link."""
        self.notices.append({"no": len(self.notices) + 1, **message})
        self.write(self.notices[-1])

    def write(self, message):
        if self.link is not None:
            self.link.write(json.dumps(message).encode() + b"\n")

    async def serve(self, reader, writer):
        async for line in reader:
            m = json.loads(line)
            kind, call = m["t"], m.get("rid")
            if kind == "JOIN":
                self.link = writer
                self.write({"t": "WELCOME", "status": "steady", "time_ms": 1000 * (time.time() - CAME)})
                for notice in self.notices[m["no"]:]:
                    self.write(notice)
            elif kind == "EXEC" and call not in self.runs:
                self.runs[call] = asyncio.create_task(self.run(call, m["route"], base64.b64decode(m["b64"])))
            elif kind == "KILL" and call in self.runs:
                self.runs.pop(call).cancel()
                self.replies.pop(call, None)
                self.tell(t="EXIT", rid=call, status="interrupted", time_ms=0)
            elif kind in ("RETURN", "BYPASS") and call in self.replies and not self.replies[call].done():
                self.replies[call].set_result(base64.b64decode(m.get("b64", "")))
            elif kind == "METER":
                self.write({"t": "METERS", "mark": m["mark"], "v": [0.1, len(self.runs), 0.1, 1]})
            elif kind == "DIAG":
                self.write({"t": "DIAGNOSED", "mark": m["mark"], "status": "success"})

    async def run(self, call, workload, body):
        began = time.time()
        await asyncio.sleep(WORK)
        if workload in CALLS:
            self.replies[call] = asyncio.get_running_loop().create_future()
            self.tell(t="CALLOUT", rid=call, b64=base64.b64encode(b"about " + body).decode())
            body += b" " + await self.replies[call]
            del self.replies[call]
        self.runs.pop(call, None)
        self.tell(t="EXIT", rid=call, status="success", time_ms=1000 * (time.time() - began),
                  b64=base64.b64encode(body).decode())


async def http(reader, writer, answer):
    """Reads requests one after another and writes what `answer` makes of each."""
    while head := (await reader.readuntil(b"\r\n\r\n")).decode():
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        length = next((int(value) for name, _, value in lines if name.lower() == "content-length"), 0)
        status, body = answer(head.split("\r\n")[0], await reader.readexactly(length))
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


async def ledger(reader, writer):
    await http(reader, writer, lambda first, body: ("200 OK", b"[" + body + b"]"))


async def naming(reader, writer):
    def answer(first, body):
        print(f"naming: {first} {body.decode()}", flush=True)
        return "204 No Content", b""

    await http(reader, writer, answer)


def quietly(serve):
    async def connection(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return connection


async def main(addresses):
    for address, serve in zip(addresses, (Executor().serve, ledger, naming)):
        host, _, port = address.rpartition(":")
        await asyncio.start_server(quietly(serve), host, int(port))
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main(sys.argv[1:] or ADDRESSES))
    except KeyboardInterrupt:
        pass
