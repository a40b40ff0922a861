"""Ports on loopback that no other rig takes, also while nobody listens there.

Owns the choice of a port and the mark that it is taken. Must never choose one that the system hands
out to outgoing connections where that can be helped, and never one that another rig has marked.
"""

import secrets
import socket

LOWEST, HIGHEST = (
    10_240,
    32_768,
)  # of those that are chosen; systems hand out higher ones, as they come
RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


def highest(path: str = RANGE) -> int:
    """Below it lie the ports that are chosen: where this system begins to hand them out, if that leaves a thousand."""
    try:
        with open(path, encoding="ascii") as file:
            lowest = int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return HIGHEST
    return min(lowest, HIGHEST) if lowest >= LOWEST + 1_000 else HIGHEST


class Reserved:
    """One port, for TCP or UDP by `sort`, until `end` or the end of this process. `release` lets a process of the
    rig's listen there.
    """

    def __init__(self, sort: int) -> None:
        top = highest()
        while True:
            port = LOWEST + secrets.randbelow(top - LOWEST)
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


KEPT: list[Reserved] = []


def free_port() -> int:
    """A TCP port that is this process's to give, until it ends."""
    KEPT.append(Reserved(socket.SOCK_STREAM))
    KEPT[-1].release()
    return KEPT[-1].address[1]
