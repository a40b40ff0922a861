"""Reserves loopback ports, which no other test takes even while nothing listens on them.

Owns the choice of a port and the mark that the port is reserved. Never chooses a port that another
test has reserved and, where the range allows, none that the kernel assigns to outgoing connections.
"""

import secrets
import socket

MIN_PORT, MAX_PORT = (
    10_240,
    32_768,
)  # range of ports to choose from; kernels usually assign higher ones to outgoing connections
PORT_RANGE_PATH = "/proc/sys/net/ipv4/ip_local_port_range"


def port_range_end(path: str = PORT_RANGE_PATH) -> int:
    """Return the end of the range of ports to choose from.

    This is the first port that the kernel assigns to outgoing connections, or MAX_PORT if that is
    lower, if the range would hold fewer than 1,000 ports, or if the kernel's range is unknown.
    """
    try:
        with open(path, encoding="ascii") as file:
            lowest = int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return MAX_PORT
    return min(lowest, MAX_PORT) if lowest >= MIN_PORT + 1_000 else MAX_PORT


class ReservedPort:
    """A reserved port for TCP or UDP, until `end` or the end of this process.

    `release` closes the socket, so that another process of the same test can listen on the port.
    """

    def __init__(self, socket_type: int) -> None:
        end = port_range_end()
        while True:
            port = MIN_PORT + secrets.randbelow(end - MIN_PORT)
            self.mark, self.sock = (
                socket.socket(socket.AF_UNIX),
                socket.socket(socket.AF_INET, socket_type),
            )
            try:
                # Without this mark, another test would find the port free after `release`, until
                # the started process listens and whenever that process is down. The mark is a name
                # in the abstract socket namespace, which vanishes with this process.
                self.mark.bind(
                    f"\0corkgauge {'udp' if socket_type == socket.SOCK_DGRAM else 'tcp'} {port}"
                )
                self.sock.bind(("127.0.0.1", port))
                break
            except OSError:
                self.end()
        self.address: tuple[str, int] = self.sock.getsockname()

    def release(self) -> None:
        """Close the socket and keep the reservation, so that a child process can listen."""
        self.sock.close()

    def end(self) -> None:
        """Close the socket and end the reservation."""
        self.sock.close()
        self.mark.close()


RESERVED_PORTS: list[ReservedPort] = []


def free_port() -> int:
    """Reserve a TCP port until the end of this process, and return its number."""
    RESERVED_PORTS.append(ReservedPort(socket.SOCK_STREAM))
    RESERVED_PORTS[-1].release()
    return RESERVED_PORTS[-1].address[1]
