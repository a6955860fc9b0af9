"""Free ports on the loopback address."""

import socket

LOOPBACK = "127.0.0.1"


def find_ports(count: int) -> list[int]:
    """Return ports that are free now.

    Args:
        count: Number of ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
