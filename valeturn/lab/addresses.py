"""Reserve loopback addresses for servers that are stopped and started again.

A port that the kernel chose (bind to port 0) is free again as soon as its socket is closed. While the server
is down, any outgoing connection and any other bind to port 0 may get it. The ports here lie below the range
from which the kernel takes those, and an address belongs to the process that reserved it until that one ends.
"""

from __future__ import annotations

import os
import socket
from typing import Final

Address = tuple[str, int]

FIRST_PORT: Final = 4100  # far below the usual range of ports for outgoing connections, 32768 to 60999
LAST_PORT: Final = 9999
HOSTS_PER_NETWORK: Final = 250
NETWORKS: Final = 250
# 127.30 to 127.89 and 127.100 to 127.199 belong to tests.
FIRST_NETWORK: Final = "127.210"

_reservations: dict[Address, socket.socket] = {}


class NoAddressLeftError(Exception):
    """All addresses of the range are reserved."""


def reserve_address() -> Address:
    """Return a loopback address that no other process of the laboratory has, and no connection can get.

    Raises:
        NoAddressLeftError: All addresses of this process's host are reserved.
    """
    process = os.getpid()
    host = f"{FIRST_NETWORK}.{process // HOSTS_PER_NETWORK % NETWORKS}.{1 + process % HOSTS_PER_NETWORK}"
    for port in range(FIRST_PORT, LAST_PORT + 1):
        address = (host, port)
        if address not in _reservations and _reserve(address):
            return address
    raise NoAddressLeftError(host)


def _reserve(address: Address) -> bool:
    """Reserve an address among all processes; return False where another one has it.

    Process ids repeat in the host's number, so that the reservation is a name that the kernel keeps unique:
    an abstract Unix socket, which ends with its process.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind("\0valeturn-lab-%s:%d" % address)
    except OSError:
        reservation.close()
        return False
    _reservations[address] = reservation
    return True
