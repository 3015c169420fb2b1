"""Load an operator's file in a freshly started interpreter that has nothing of the server's.

A forked copy of the server would keep all of its descriptors open when the server is killed: the address
would go on taking connections that nobody reads, and the store's directory would stay locked. It would also
copy locks that another thread holds at that moment. A new interpreter takes no longer and has neither fault.

The request is an anonymous file that the reader inherits, so that the server never waits while writing it.
The reply comes over a socket: its length, then the pickled result. A reader whose server is gone sees the
socket end, and ends too.
"""

from __future__ import annotations

import contextlib
import os
import pickle
import re
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

READER_MODULE: Final = f"{__package__}.reader_main"
# The directory that has the package: the reader finds the same code, whatever its working directory is.
PACKAGE_PARENT: Final = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LENGTH_BYTES: Final = 8  # of the reply's length, big-endian
RECEIVE_BYTES: Final = 65536  # of one read from the reader: a whole file's options in one or two reads
# Seconds for reading one file, which takes a tenth of a second: a file on a disk that hangs, or a pipe.
READ_TIMEOUT_S: Final = 10.0
# Seconds that a killed reader is waited for; one that the kernel holds longer is reaped at the next start.
END_TIMEOUT_S: Final = 1.0
END_CHECK_INTERVAL_S: Final = 0.002
DESCRIPTOR_PATH: Final = re.compile(r"/(?:dev|proc/self)/fd/(\d+)")
STANDARD_INPUT_PATH: Final = "/dev/stdin"

Receive = Callable[[socket.socket], bytes]
Sleep = Callable[[float], object]


class ReaderFailure(NamedTuple):
    """What a reader sends where it could not carry out its request."""

    error: str


def receive_all(connection: socket.socket) -> bytes:
    """Return all bytes up to the end of the stream; blocks until then.

    Raises:
        TimeoutError: The stream has not ended after READ_TIMEOUT_S.
    """
    deadline = time.monotonic() + READ_TIMEOUT_S
    chunks: list[bytes] = []
    while True:
        connection.settimeout(max(END_CHECK_INTERVAL_S, deadline - time.monotonic()))
        chunk = connection.recv(RECEIVE_BYTES)
        if not chunk:
            return b"".join(chunks)
        chunks.append(chunk)


def frame_reply(result: object) -> bytes:
    """Return the bytes that a reader sends for its result."""
    payload = pickle.dumps(result)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def parse_reply(data: bytes) -> object | None:
    """Return the result of a complete reply, or None for one that was cut short."""
    length = int.from_bytes(data[:LENGTH_BYTES], "big")
    if len(data) < LENGTH_BYTES or len(data) != LENGTH_BYTES + length:
        return None
    result: object = pickle.loads(data[LENGTH_BYTES:])
    return result


def run_reader(request: object, path: str, receive: Receive, sleep: Sleep) -> object | None:
    """Start a reader, and return its result, or None where it ended without a complete reply.

    Args:
        request: What `reader_main` carries out; pickled, so that functions in it go by their names.
        path: The file that will be read.
        receive: Returns all bytes of a connection up to its end.
        sleep: Waits between checks whether the reader has ended.

    Raises:
        OSError: The reader cannot be started.
        TimeoutError: `receive` gave up.
    """
    connection, reader_end = socket.socketpair()
    with connection:
        with reader_end, _request_file(request) as request_file:
            process = _start(path, request_file, reader_end.fileno())
        try:
            data = receive(connection)
        finally:
            _end(process, sleep)
    return parse_reply(data)


@contextlib.contextmanager
def _request_file(request: object) -> Iterator[int]:
    """Yield the descriptor of an anonymous file in memory that holds the request."""
    descriptor = os.memfd_create("valeturn-request")
    try:
        with open(descriptor, "wb", closefd=False) as file:
            pickle.dump(request, file)
        os.lseek(descriptor, 0, os.SEEK_SET)
        yield descriptor
    finally:
        os.close(descriptor)


def _start(path: str, request_file: int, reply: int) -> subprocess.Popen[bytes]:
    """Start the reader with these descriptors and no others, but for one that the path itself names."""
    named = _descriptor_in(path)
    kept = {request_file, reply} if named is None else {request_file, reply, named}
    search_path = [PACKAGE_PARENT, *filter(None, [os.environ.get("PYTHONPATH")])]
    return subprocess.Popen(
        [sys.executable, "-m", READER_MODULE, str(request_file), str(reply)],
        pass_fds=kept,
        stdin=None if named == 0 else subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(search_path)},
        start_new_session=True,  # a terminal's interrupt is the server's
    )


def _descriptor_in(path: str) -> int | None:
    """Return the inherited descriptor that a path names, as a shell's `<(command)` does, or None."""
    if path == STANDARD_INPUT_PATH:
        return 0
    matched = DESCRIPTOR_PATH.fullmatch(path)
    return int(matched[1]) if matched else None


def _end(process: subprocess.Popen[bytes], sleep: Sleep) -> None:
    """Kill a reader, which has mostly ended by itself, and reap it without blocking."""
    process.kill()
    deadline = time.monotonic() + END_TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline:
        sleep(END_CHECK_INTERVAL_S)
