"""Sends one submission to a server, as a gateway would, and prints its answer.

python examples/submit.py [HOST:PORT [WORKLOAD [BODY]]]
"""

import os
import socket
import struct
import sys
import time

VERDICTS = {1: "delivered", 0: "turned back", 9: "written off"}


def frame(kind, stream, payload):
    return struct.pack("<IBI", len(payload) + 5, kind, stream) + payload


def submission(stream, workload, body, wait_ms=2000):
    fields = {
        "op": workload,
        "call": os.urandom(8).hex(),
        "recv": str(int(1000 * time.time())),
        "src": "1",
        "org": "acme",
        "ttl": str(wait_ms),
        "work": "100.0",
        "heap": "8.0",
        "crit": "0.5",
    }
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        name, value = name.encode(), value.encode()
        parts += struct.pack("<B", len(name)), name, struct.pack("<H", len(value)), value
    return frame(7, stream, b"".join(parts) + body)


def answer(sock):
    """Stream, verdict, fields and body of the next answer; other frames are passed over."""
    while True:
        length, kind, stream = struct.unpack("<IBI", exactly(sock, 9))
        payload = exactly(sock, length - 5)
        if kind == 8:
            break
    fields, at = {}, 2
    for _ in range(payload[1]):
        name_end = at + 1 + payload[at]
        (size,) = struct.unpack_from("<H", payload, name_end)
        fields[payload[at + 1 : name_end].decode()] = payload[name_end + 2 : name_end + 2 + size].decode()
        at = name_end + 2 + size
    return stream, VERDICTS[payload[0]], fields, payload[at:]


def exactly(sock, count):
    data = b""
    while len(data) < count:
        more = sock.recv(count - len(data))
        if not more:
            raise SystemExit("the server closed the connection")
        data += more
    return data


def main(address="127.0.0.1:4100", workload="quote", body="parcel 7"):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(submission(1, workload, body.encode()))
        stream, verdict, fields, result = answer(sock)
        print(f"stream {stream}: {verdict} {fields} {result.decode()!r}")


if __name__ == "__main__":
    main(*sys.argv[1:])
