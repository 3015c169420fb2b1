"""A process that floods one server over one or many connections, for the measurements of client_floods.py.

    python -m valeturn.lab.flood_client KIND HOST PORT SECONDS CONNECTIONS

It writes as fast as the server reads, reads and drops what the server sends, and connects again as soon as a
connection ends. Its last line of output says how many bytes it wrote and how often it connected.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator
from typing import Final

from .gateways import encode_frame, encode_submission

FRAMES_PER_WRITE: Final = 400
READ_SIZE_BYTES: Final = 65536
CONNECT_TIMEOUT_S: Final = 5.0
RECONNECT_DELAY_S: Final = 0.01
POLL_TIMEOUT_S: Final = 0.05
# Pause between two bytes of a client that writes slowly: a frame of 100 bytes takes 5 s.
SLOW_WRITE_PERIOD_S: Final = 0.05
SUBMISSION_FRAME: Final = 7
CANCEL_FRAME: Final = 9
HEALTH_CHECK_FRAME: Final = 1
LARGEST_FRAME_LENGTH: Final = 262_144
LARGEST_BUFFERED_LENGTH: Final = 4_096  # a frame up to this length is buffered whole by the server
FIELDS_PER_FRAME: Final = 255
MAX_OPEN_SUBMISSIONS: Final = 32  # on one connection

numbers = itertools.count(1)

Chunks = Iterator[bytes]


def fields_payload(fields: dict[str, str]) -> bytes:
    """Return the payload of a health check with these fields."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts += bytes((len(name),)), name.encode(), len(value).to_bytes(2, "little"), value.encode()
    return b"".join(parts)


def submission(stream: int, workload: str = "look-up", tenant: str = "acme") -> bytes:
    """Return the frame of a submission under a call id and a caller that were never used before."""
    number = next(numbers)
    return encode_submission(stream, workload, f"{number:016x}", b"", 1.0, tenant=tenant, caller=number)


def repeated(make_frame: Callable[[int], bytes]) -> Chunks:
    """Yield chunks of the frames that `make_frame` makes for the streams 1, 2, 3, ..., without an end."""
    for first in itertools.count(1, FRAMES_PER_WRITE):
        yield b"".join(make_frame(stream) for stream in range(first, first + FRAMES_PER_WRITE))


def health_checks() -> Chunks:
    """Yield health checks."""
    return repeated(lambda stream: encode_frame(HEALTH_CHECK_FRAME, stream, b"\0"))


def deep_health_checks() -> Chunks:
    """Yield health checks that ask whether work is done."""
    return repeated(lambda stream: encode_frame(HEALTH_CHECK_FRAME, stream, fields_payload({"e2e": "1"})))


def named_health_checks() -> Chunks:
    """Yield health checks with a field whose name was never used before."""
    return repeated(
        lambda stream: encode_frame(HEALTH_CHECK_FRAME, stream, fields_payload({f"n{next(numbers)}": "1"}))
    )


def cancels() -> Chunks:
    """Yield cancel requests of streams that are not open."""
    return repeated(lambda stream: encode_frame(CANCEL_FRAME, stream, b""))


def cancelled_submissions() -> Chunks:
    """Yield submissions that are cancelled at once, each by a caller of its own."""
    return repeated(lambda stream: submission(stream) + encode_frame(CANCEL_FRAME, stream, b""))


def submissions() -> Chunks:
    """Yield submissions that go over the limit on open ones."""
    return repeated(submission)


def abandoned_submissions() -> Chunks:
    """Yield as many submissions as a connection may have open; nobody waits for their answers."""
    yield b"".join(submission(stream) for stream in range(1, 1 + MAX_OPEN_SUBMISSIONS))


def unknown_workloads() -> Chunks:
    """Yield submissions whose workload and tenant were never used before."""
    return repeated(lambda stream: submission(stream, f"w{next(numbers)}", f"t{next(numbers)}"))


def invalid_submissions() -> Chunks:
    """Yield well-formed frames whose fields are no submission."""
    return repeated(lambda stream: encode_frame(SUBMISSION_FRAME, stream, fields_payload({"op": "x"})))


def malformed_frames() -> Chunks:
    """Yield frames of a type that gateways never send."""
    return repeated(lambda stream: encode_frame(77, stream, b""))


def many_field_health_checks() -> Chunks:
    """Yield health checks with as many fields as a frame can have."""
    payload = fields_payload({f"{number:x}": "" for number in range(FIELDS_PER_FRAME)})
    return repeated(lambda stream: encode_frame(HEALTH_CHECK_FRAME, stream, payload))


def many_short_fields() -> Chunks:
    """Yield submissions with as many fields as a frame can have, and stop in the middle of the last one."""
    fields = fields_payload({f"{number:x}": "" for number in range(FIELDS_PER_FRAME)})
    frame = encode_frame(SUBMISSION_FRAME, 1, fields)
    yield frame[: len(frame) // 2]


def half_large_frame() -> Chunks:
    """Yield the first half of the largest frame."""
    header = encode_frame(SUBMISSION_FRAME, 1, b"")[4:]
    frame = LARGEST_FRAME_LENGTH.to_bytes(4, "little") + header + bytes(LARGEST_FRAME_LENGTH // 2)
    yield frame


def half_buffered_frame() -> Chunks:
    """Yield the largest frame that is buffered, without its last byte."""
    header = encode_frame(SUBMISSION_FRAME, 1, b"")[4:]
    frame = LARGEST_BUFFERED_LENGTH.to_bytes(4, "little") + header + bytes(LARGEST_BUFFERED_LENGTH)
    yield frame[: LARGEST_BUFFERED_LENGTH + 3]


def slow_frame() -> Chunks:
    """Yield a submission byte by byte."""
    for value in submission(1):
        yield bytes((value,))


KINDS: Final[dict[str, Callable[[], Chunks]]] = {
    "health-checks": health_checks,
    "deep-health-checks": deep_health_checks,
    "named-health-checks": named_health_checks,
    "cancels": cancels,
    "cancelled-submissions": cancelled_submissions,
    "submissions": submissions,
    "abandoned-submissions": abandoned_submissions,
    "unknown-workloads": unknown_workloads,
    "invalid-submissions": invalid_submissions,
    "malformed-frames": malformed_frames,
    "many-field-health-checks": many_field_health_checks,
    "unread-health-checks": health_checks,
    "many-short-fields": many_short_fields,
    "half-large-frame": half_large_frame,
    "half-buffered-frame": half_buffered_frame,
    "slow-frame": slow_frame,
}
NEVER_READING_KINDS: Final = ("unread-health-checks",)
CLOSING_KINDS: Final = ("abandoned-submissions",)  # the client closes as soon as it has written all


class FloodConnection:
    """One connection of the flood, which is replaced as soon as it ends."""

    def __init__(self, selector: selectors.BaseSelector, address: tuple[str, int], kind: str) -> None:
        """Set up a connection that is opened by `step`.

        Args:
            selector: Where the connection is registered while it is open.
            address: Host and port of the server.
            kind: A key of KINDS.
        """
        self.selector = selector
        self.address = address
        self.kind = kind
        self.bytes_written = 0
        self.connects = 0
        self.connect_at = 0.0
        self.sock: socket.socket | None = None

    def open(self) -> None:
        """Connect to the server; a connection that is refused is tried again later."""
        self.connect_at = time.monotonic() + RECONNECT_DELAY_S
        try:
            self.sock = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return
        self.connects += 1
        self.sock.setblocking(False)
        self.chunks = KINDS[self.kind]()
        self.unsent = next(self.chunks)
        events = selectors.EVENT_READ | selectors.EVENT_WRITE
        if self.kind in NEVER_READING_KINDS:
            events = selectors.EVENT_WRITE
        self.selector.register(self.sock, events, self)

    def close(self) -> None:
        """Close the connection; another one is opened after a moment."""
        assert self.sock is not None
        self.selector.unregister(self.sock)
        self.sock.close()
        self.sock = None
        self.connect_at = time.monotonic() + RECONNECT_DELAY_S

    def step(self, events: int) -> None:
        """Read and write what the socket allows."""
        assert self.sock is not None
        try:
            reads = events & selectors.EVENT_READ and self.kind not in NEVER_READING_KINDS
            if reads and not self.sock.recv(READ_SIZE_BYTES):
                self.close()
                return
            if events & selectors.EVENT_WRITE:
                self.write()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def write(self) -> None:
        """Write a part of the unsent bytes; with all of them written only answers are awaited."""
        assert self.sock is not None
        sent = self.sock.send(self.unsent)
        self.bytes_written += sent
        self.unsent = self.unsent[sent:] or next(self.chunks, b"")
        if self.unsent:
            return
        if self.kind in CLOSING_KINDS:
            self.close()
        else:
            self.selector.modify(self.sock, selectors.EVENT_READ, self)


def flood(kind: str, address: tuple[str, int], seconds: float, connection_count: int) -> tuple[int, int]:
    """Flood the server for some seconds; return the number of bytes written and of connections made."""
    selector = selectors.DefaultSelector()
    connections = [FloodConnection(selector, address, kind) for _ in range(connection_count)]
    end = time.monotonic() + seconds
    while (now := time.monotonic()) < end:
        for connection in connections:
            if connection.sock is None and now >= connection.connect_at:
                connection.open()
        for key, events in selector.select(POLL_TIMEOUT_S):
            key.data.step(events)
        if kind == "slow-frame":
            time.sleep(SLOW_WRITE_PERIOD_S)
    for connection in connections:
        if connection.sock is not None:
            connection.close()
    return (
        sum(connection.bytes_written for connection in connections),
        sum(connection.connects for connection in connections),
    )


def main(kind: str, host: str, port: str, seconds: str, connection_count: str) -> int:
    """Flood as the command line says, and print what was written."""
    bytes_written, connects = flood(kind, (host, int(port)), float(seconds), int(connection_count))
    print(f"wrote {bytes_written} bytes on {connects} connections", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
