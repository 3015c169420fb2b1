"""The program that `reader_process` starts: `python -m valeturn.operator_config.reader_main REQUEST REPLY`.

Both words are numbers of inherited descriptors: the file with the pickled request, and the socket for the
reply.
"""

from __future__ import annotations

import os
import pickle
import socket
import sys
import threading

from .loader import LoadRequest, load_or_faults
from .reader_process import ReaderFailure, frame_reply


def end_with(connection: socket.socket) -> None:
    """End this process as soon as the other side of the connection is closed: its server is gone."""
    while connection.recv(1):
        pass
    os._exit(1)


def carry_out(request_file: int) -> object:
    """Return the result of the request in a file."""
    try:
        with open(request_file, "rb") as file:
            request: LoadRequest[object] = pickle.load(file)
        return load_or_faults(request)
    except Exception as error:  # the process's boundary: the operator is told what failed in it
        return ReaderFailure(repr(error))


def main(request_file: int, reply: int) -> None:
    """Carry out one request and send its result."""
    connection = socket.socket(fileno=reply)
    threading.Thread(target=end_with, args=(connection,), daemon=True).start()
    connection.sendall(frame_reply(carry_out(request_file)))
    os._exit(0)  # the other thread still waits


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
