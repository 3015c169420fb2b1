"""The command of a duty in the laboratory: has an effect every few milliseconds at a stand-in for the world.

    python -I -S effect.py HOST PORT [heedless|forking]

Each effect says under which fence it is had. `heedless` does not end by TERM; `forking` leaves a child in a
session of its own that goes on.
"""

import os
import signal
import socket
import sys
import time


def main(host, port, how=""):
    if how == "heedless":
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
    if how == "forking" and os.fork() == 0:
        os.setsid()
    print(f"{os.environ['VALETURN_SERVER']} under {os.environ['VALETURN_FENCE']}", flush=True)
    with socket.create_connection((host, int(port))) as sock:
        while True:
            sock.sendall(
                f"{os.environ['VALETURN_DUTY']} {os.environ['VALETURN_FENCE']} "
                f"{os.environ['VALETURN_SERVER']}\n".encode()
            )
            time.sleep(0.02)


if __name__ == "__main__":
    main(*sys.argv[1:])
