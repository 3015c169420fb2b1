"""The command of a singleton task: sends an effect to a stand-in service every 20 ms.

    python -I -S effect.py HOST PORT [heedless|forking]

Each effect carries the fencing token that it was started with. `heedless` ignores SIGTERM; `forking`
continues in a second process in a session of its own too, so that ending the first one's process group is not
enough.
"""

import os
import signal
import socket
import sys
import time


def main(host, port, mode=""):
    """Print the server and the fencing token, then send "TASK TOKEN SERVER" lines until the process ends."""
    if mode == "heedless":
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
    if mode == "forking" and os.fork() == 0:
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
