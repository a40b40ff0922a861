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

from corkgauge.eventloop.loop import TICKS_PER_MILLISECOND, EventLoop

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED = struct.Struct("=I")  # milliseconds since the last data was received
LAST_DATA_RECEIVED_OFFSET = 52
# The kernel counts in units of up to 10 ms.
KERNEL_CLOCK_TICKS = 10 * TICKS_PER_MILLISECOND
MAX_IMPRECISION_TICKS = 200  # of an arrival time for which the kernel is not asked


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


class UnreadInput:
    """Tracks since when the input that a connection reads now may have waited unread.

    `since` is the earliest tick at which it may have arrived; the owner of a socket that was
    connected earlier sets an earlier one. `is_drained` tells whether the last read found no more
    input.
    """

    __slots__ = ("_event_loop", "_last_read_turn", "_sock", "is_drained", "since")

    def __init__(self, event_loop: EventLoop, sock: Any) -> None:
        self._event_loop = event_loop
        self._sock = sock
        self.since = event_loop.now
        self.is_drained = False
        # A new connection is polled for the first time in the next turn.
        self._last_read_turn = event_loop.turn_number + 1

    def before_read(self) -> None:
        """Update `since`.

        Input that the last read left behind may be as old as what was read then. The next poll
        reports it, so if this is not the next turn, nothing was left behind.
        """
        event_loop = self._event_loop
        is_next_turn = event_loop.turn_number <= self._last_read_turn + 1
        if self.is_drained or not is_next_turn:
            self.since = event_loop.now - event_loop.max_unread_ticks
        self._last_read_turn = event_loop.turn_number

    def on_resumed(self) -> None:
        """Note that the connection is read again after a pause, in which it was not polled."""
        self._last_read_turn = self._event_loop.turn_number

    def arrival_time(self, is_end_of_input: bool) -> ArrivalTime:
        """Return when the frame that has been read last may have arrived whole.

        `is_end_of_input` tells whether it ends with the last byte read.
        """
        now = self._event_loop.now
        # The kernel knows when the last byte arrived. It may be that of a later frame.
        is_last_byte = self.is_drained and is_end_of_input
        if is_last_byte and now - self.since > MAX_IMPRECISION_TICKS:
            arrival = last_arrival(self._sock, now)
            if arrival is not None:
                return ArrivalTime(max(arrival.earliest, self.since), arrival.latest)
        return ArrivalTime(self.since, now)
