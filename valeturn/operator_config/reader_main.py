"""The program that `reader_process` starts: `python -m valeturn.operator_config.reader_main REQUEST REPLY`.

Both arguments are numbers of inherited file descriptors: the file with the pickled request, and the socket
for the reply.
"""

from __future__ import annotations

import os
import pickle
import socket
import sys
import threading

from .loader import LoadRequest, load_or_faults
from .reader_process import ReaderFailure, frame_reply


def exit_with_server(connection: socket.socket) -> None:
    """Exit this process when the server has closed its end of the connection, also by being killed."""
    while connection.recv(1):
        pass
    os._exit(1)


def carry_out(request_file: int) -> object:
    """Return the result of the request in a file."""
    try:
        with open(request_file, "rb") as file:
            request: LoadRequest[object] = pickle.load(file)
        return load_or_faults(request)
    except Exception as error:  # any failure of this process is reported to the operator
        return ReaderFailure(repr(error))


def main(request_file: int, reply: int) -> None:
    """Carry out one request and send its result."""
    connection = socket.socket(fileno=reply)
    threading.Thread(target=exit_with_server, args=(connection,), daemon=True).start()
    connection.sendall(frame_reply(carry_out(request_file)))
    os._exit(0)  # the other thread is still blocked in recv


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
