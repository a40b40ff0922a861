"""Ports on loopback that no other rig takes, also while nobody listens there.

Owns the choice of a port and the mark that it is taken. Must never choose one that the system hands
out to outgoing connections where that can be helped, and never one that another rig has marked.
"""

import secrets
import socket

MIN_PORT, MAX_PORT = (
    10_240,
    32_768,
)  # of those that are chosen; systems hand out higher ones, as they come
PORT_RANGE_PATH = "/proc/sys/net/ipv4/ip_local_port_range"


def port_range_end(path: str = PORT_RANGE_PATH) -> int:
    """Below it lie the ports that are chosen: where this system begins to hand them out, if that leaves a thousand."""
    try:
        with open(path, encoding="ascii") as file:
            lowest = int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return MAX_PORT
    return min(lowest, MAX_PORT) if lowest >= MIN_PORT + 1_000 else MAX_PORT


class ReservedPort:
    """One port, for TCP or UDP by `sort`, until `end` or the end of this process. `release` lets a process of the
    rig's listen there.
    """

    def __init__(self, sort: int) -> None:
        top = port_range_end()
        while True:
            port = MIN_PORT + secrets.randbelow(top - MIN_PORT)
            self.mark, self.sock = (
                socket.socket(socket.AF_UNIX),
                socket.socket(socket.AF_INET, sort),
            )
            try:
                # Danger: between our release and the listening of the process that we start, and
                # whenever that is down, another rig would find the port free. A name without a file
                # goes with its process.
                self.mark.bind(
                    f"\0corkgauge {'udp' if sort == socket.SOCK_DGRAM else 'tcp'} {port}"
                )
                self.sock.bind(("127.0.0.1", port))
                break
            except OSError:
                self.end()
        self.address: tuple[str, int] = self.sock.getsockname()

    def release(self) -> None:
        self.sock.close()

    def end(self) -> None:
        self.sock.close()
        self.mark.close()


RESERVED_PORTS: list[ReservedPort] = []


def free_port() -> int:
    """A TCP port that is this process's to give, until it ends."""
    RESERVED_PORTS.append(ReservedPort(socket.SOCK_STREAM))
    RESERVED_PORTS[-1].release()
    return RESERVED_PORTS[-1].address[1]
