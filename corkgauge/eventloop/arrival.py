"""Estimates when the input of a stream socket arrived, as it may have waited unread for long.

After a standstill of the process, the time of reading says little about the time of arrival. The
kernel keeps the time of the last data of each TCP connection (`struct tcp_info` of `linux/tcp.h`).
"""

import socket
import struct
import sys
from dataclasses import dataclass
from fcntl import ioctl
from termios import FIONREAD
from typing import Any

from corkgauge.eventloop.loop import TICKS_PER_MILLISECOND

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED = struct.Struct("=I")  # milliseconds since the last data was received
LAST_DATA_RECEIVED_OFFSET = 52
# The kernel counts in units of up to 10 ms.
KERNEL_CLOCK_TICKS = 10 * TICKS_PER_MILLISECOND


@dataclass(frozen=True, slots=True)
class ArrivalTime:
    """The earliest and the latest tick at which a frame may have arrived whole."""

    earliest: int
    latest: int


def unread_byte_count(sock: Any) -> int:
    """Return the number of bytes in the socket's receive buffer."""
    return int.from_bytes(ioctl(sock.fileno(), FIONREAD, b"\0" * 4), sys.byteorder)


def last_arrival(sock: Any, now: int) -> ArrivalTime | None:
    """Return when the last byte arrived on a TCP socket of which all input has been read.

    `now` is the current tick. Returns None for other sockets and if there is unread input.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    # Checked after the call: the time could be that of input which came since the last read.
    if len(info) < TCP_INFO_BYTES or unread_byte_count(sock):
        return None
    (age_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    arrived_at = now - age_ms * TICKS_PER_MILLISECOND
    return ArrivalTime(arrived_at - KERNEL_CLOCK_TICKS, arrived_at + KERNEL_CLOCK_TICKS)
