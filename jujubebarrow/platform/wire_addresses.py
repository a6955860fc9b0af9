"""Check of the network addresses in the platform's documents."""

from ipaddress import AddressValueError, IPv4Address

LARGEST_PORT_COUNT = 65535
LONGEST_PORT_DIGITS_COUNT = 5


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that can be called."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    if not (port.isascii() and port.isdigit()):
        return False
    return len(port) <= LONGEST_PORT_DIGITS_COUNT and (
        0 < int(port) <= LARGEST_PORT_COUNT
    )
