"""Load an operator's file in a newly started interpreter that shares no resources with the server.

A forked copy of the server would keep all of its descriptors open if the server were killed: the address
would continue to accept connections that nobody reads, and the store's directory would stay locked. It would
also copy locks that another thread holds at that moment. Starting a new interpreter takes no longer and
avoids both.

The request is an anonymous file that the reader inherits, so that the server never blocks while writing it.
The reply is sent over a socket: its length, then the pickled result. A reader exits when its server has
closed its end of the socket.
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
# The directory that contains the package, so that the reader imports the same code in any working directory.
PACKAGE_PARENT: Final = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LENGTH_BYTES: Final = 8  # size of the reply's length field, big-endian
RECEIVE_BYTES: Final = 65536  # at most in one read: a whole file's options take one or two reads
# Reading a file takes a tenth of a second; it takes longer if the disk hangs or the file is a pipe.
READ_TIMEOUT_S: Final = 10.0
# How long to wait for a killed reader; one that the kernel blocks longer is reaped at the next start.
END_TIMEOUT_S: Final = 1.0
END_CHECK_INTERVAL_S: Final = 0.002
DESCRIPTOR_PATH: Final = re.compile(r"/(?:dev|proc/self)/fd/(\d+)")
STANDARD_INPUT_PATH: Final = "/dev/stdin"

Receive = Callable[[socket.socket], bytes]
Sleep = Callable[[float], object]


class ReaderFailure(NamedTuple):
    """The reply of a reader that could not carry out its request."""

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
    """Return the result of a complete reply, or None for an incomplete one."""
    length = int.from_bytes(data[:LENGTH_BYTES], "big")
    if len(data) < LENGTH_BYTES or len(data) != LENGTH_BYTES + length:
        return None
    result: object = pickle.loads(data[LENGTH_BYTES:])
    return result


def run_reader(request: object, path: str, receive: Receive, sleep: Sleep) -> object | None:
    """Start a reader and return its result, or None if it ended without a complete reply.

    Args:
        request: The request for `reader_main`; it is pickled, so that functions in it are passed by name.
        path: The file that will be read.
        receive: Returns all bytes of a connection up to its end.
        sleep: Waits for so many seconds between two checks whether the reader has ended.

    Raises:
        OSError: The reader cannot be started.
        TimeoutError: `receive` timed out.
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
    """Yield the descriptor of an anonymous in-memory file with the pickled request."""
    descriptor = os.memfd_create("valeturn-request")
    try:
        with open(descriptor, "wb", closefd=False) as file:
            pickle.dump(request, file)
        os.lseek(descriptor, 0, os.SEEK_SET)
        yield descriptor
    finally:
        os.close(descriptor)


def _start(path: str, request_file: int, reply: int) -> subprocess.Popen[bytes]:
    """Start the reader; it inherits only these descriptors, and one that the path itself names."""
    named = _descriptor_in(path)
    inherited = {request_file, reply} if named is None else {request_file, reply, named}
    search_path = [PACKAGE_PARENT, *filter(None, [os.environ.get("PYTHONPATH")])]
    return subprocess.Popen(
        [sys.executable, "-m", READER_MODULE, str(request_file), str(reply)],
        pass_fds=inherited,
        stdin=None if named == 0 else subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(search_path)},
        start_new_session=True,  # a terminal's interrupt is for the server alone
    )


def _descriptor_in(path: str) -> int | None:
    """Return the inherited descriptor that a path names, as a shell's `<(command)` does, or None."""
    if path == STANDARD_INPUT_PATH:
        return 0
    matched = DESCRIPTOR_PATH.fullmatch(path)
    return int(matched[1]) if matched else None


def _end(process: subprocess.Popen[bytes], sleep: Sleep) -> None:
    """Kill a reader, which usually has ended by itself already, and reap it without blocking."""
    process.kill()
    deadline = time.monotonic() + END_TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline:
        sleep(END_CHECK_INTERVAL_S)
