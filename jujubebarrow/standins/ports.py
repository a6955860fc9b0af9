"""Selection of free ports on the loopback address."""

import socket
from random import SystemRandom

LOOPBACK = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 30_000
"""Lower than the ports that the system assigns to outgoing connections.

An outgoing connection therefore can't occupy a port between selection and use.
"""

_random = SystemRandom()
_allocated_ports: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Return random ports that are free and were not returned by an earlier call.

    Args:
        count: Number of ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _allocated_ports and _is_free(port):
            _allocated_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
