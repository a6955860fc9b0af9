"""Free ports on the loopback address."""

import socket
from random import SystemRandom

LOOPBACK = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 30_000
"""Below the ports that the system gives to outgoing connections."""

_random = SystemRandom()
_given: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Return ports that are free now and were not returned before.

    Args:
        count: Number of ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _given and _is_free(port):
            _given.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
