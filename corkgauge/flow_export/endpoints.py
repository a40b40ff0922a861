"""The two ends of a connection, as flow records have them."""

import socket
from typing import NamedTuple

from corkgauge.flow_export.elements import FlowDirection


class Endpoints(NamedTuple):
    """The initiator's address and port, and the other's.

    `family` is 4 or 6 with packed addresses, or 0 where the socket has none.
    """

    family: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int


NO_ENDPOINTS = Endpoints(0, b"", 0, b"", 0)


def read_endpoints(sock: socket.socket, direction: int) -> Endpoints:
    """The initiator's address and port, and the other's; family 0 where the socket has none."""
    try:
        ours = sock.getsockname()
        theirs = sock.getpeername()
    except OSError:
        return NO_ENDPOINTS
    if sock.family not in (socket.AF_INET, socket.AF_INET6):
        return NO_ENDPOINTS
    source = ours
    destination = theirs
    if direction == FlowDirection.INGRESS:
        source = theirs
        destination = ours
    return Endpoints(
        family=4 if sock.family == socket.AF_INET else 6,
        source=_packed_address(sock.family, source[0]),
        source_port=source[1],
        destination=_packed_address(sock.family, destination[0]),
        destination_port=destination[1],
    )


def _packed_address(family: int, address: str) -> bytes:
    """The octets of an address, without the zone index of a link-local one."""
    return socket.inet_pton(family, address.partition("%")[0])
