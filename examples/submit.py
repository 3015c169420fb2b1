"""Sends one submission to a server, as a gateway does, and prints the answer.

    python examples/submit.py [HOST:PORT [WORKLOAD [BODY]]]

The defaults match examples/config.json. A frame is its length without the length field itself, its type (7: a
submission, 8: an answer) and its stream, all little-endian, then the payload.
"""

import os
import socket
import struct
import sys
import time

# Codes of answers, by their byte on the wire.
OUTCOMES = {1: "delivered", 0: "rejected", 9: "failed"}


def frame(frame_type, stream, payload):
    """Return one frame; its length counts the type and the stream with the payload."""
    return struct.pack("<IBI", len(payload) + 5, frame_type, stream) + payload


def submission(stream, workload, body, timeout_ms=2000):
    """Return the frame of a submission; `timeout_ms` is how long the caller waits."""
    fields = {
        "op": workload,
        "call": os.urandom(8).hex(),
        "recv": str(int(1000 * time.time())),
        "src": "1",
        "org": "acme",
        "ttl": str(timeout_ms),
        "work": "100.0",
        "heap": "8.0",
        "crit": "0.5",
    }
    pieces = [bytes((len(fields),))]
    for name, value in fields.items():
        name, value = name.encode(), value.encode()
        pieces += struct.pack("<B", len(name)), name, struct.pack("<H", len(value)), value
    return frame(7, stream, b"".join(pieces) + body)


def answer(sock):
    """Return stream, outcome, fields and body of the next answer; skip other frames."""
    while True:
        length, frame_type, stream = struct.unpack("<IBI", receive_exactly(sock, 9))
        payload = receive_exactly(sock, length - 5)
        if frame_type == 8:
            break
    fields, offset = {}, 2
    for _ in range(payload[1]):
        name_end = offset + 1 + payload[offset]
        (size,) = struct.unpack_from("<H", payload, name_end)
        fields[payload[offset + 1 : name_end].decode()] = payload[name_end + 2 : name_end + 2 + size].decode()
        offset = name_end + 2 + size
    return stream, OUTCOMES[payload[0]], fields, payload[offset:]


def receive_exactly(sock, count):
    """Return exactly so many bytes; exit if the connection is closed before."""
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        if not chunk:
            raise SystemExit("the server closed the connection")
        data += chunk
    return data


def main(address="127.0.0.1:4100", workload="quote", body="parcel 7"):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(submission(1, workload, body.encode()))
        stream, outcome, fields, result = answer(sock)
        print(f"stream {stream}: {outcome} {fields} {result.decode()!r}")


if __name__ == "__main__":
    main(*sys.argv[1:])
