"""Reads the two endpoints of a connection for flow records."""

import socket
from typing import NamedTuple

from corkgauge.flow_export.elements import FlowDirection


class Endpoints(NamedTuple):
    """Address and port of the initiator (source) and of its peer (destination).

    `family` is 4 or 6 with packed addresses, or 0 if the socket is not connected or has no IP
    addresses.
    """

    family: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int


NO_ENDPOINTS = Endpoints(0, b"", 0, b"", 0)


def read_endpoints(sock: socket.socket, direction: int) -> Endpoints:
    """Return the endpoints of a socket.

    The family is 0 if the socket is not connected or has no IP addresses.
    """
    try:
        local = sock.getsockname()
        remote = sock.getpeername()
    except OSError:
        return NO_ENDPOINTS
    if sock.family not in (socket.AF_INET, socket.AF_INET6):
        return NO_ENDPOINTS
    source = local
    destination = remote
    if direction == FlowDirection.INGRESS:
        source = remote
        destination = local
    return Endpoints(
        family=4 if sock.family == socket.AF_INET else 6,
        source=_packed_address(sock.family, source[0]),
        source_port=source[1],
        destination=_packed_address(sock.family, destination[0]),
        destination_port=destination[1],
    )


def _packed_address(family: int, address: str) -> bytes:
    """Return the octets of an address, without the zone index of a link-local address."""
    return socket.inet_pton(family, address.partition("%")[0])
