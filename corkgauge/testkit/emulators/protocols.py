"""Implements the platform's protocols for the emulated engines, discovery server and clients.

Owns framing only. Each protocol reads bytes from a ring buffer, without a socket or a clock. Input
that cannot be parsed closes the connection.
"""

from typing import Any

from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer
from corkgauge.net.client_protocol import (
    ANSWER,
    HEADER,
    LEAVING,
    NAME,
    READY,
    READY_ASKED,
    REQUEST,
    STREAM,
    VALUE,
    WITHDRAWN,
)
from corkgauge.net.engine_protocol import read_array

MEMORY_BUDGET_BYTES = 64 * 2**20


class EmulatedEngineProtocol:
    """Reads a gateway's commands and calls `on_command(parts)` of the owner."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        budget = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(270_000, budget), RingBuffer(1_000_000, budget)

    def parse_input(self) -> str:
        """Handle all complete input; return the reason for closing, or an empty string."""
        ring = self.inward
        while len(ring):
            data = ring.peek(len(ring))
            end, parts, error = read_array(data, 0)
            if error:
                return error
            if not end:
                if not ring.free_bytes:
                    ring.reserve(2 * len(ring))
                return ""
            ring.drop(end)
            self.complete_frame_count += 1
            self.owner.on_command([part.decode(errors="replace") for part in parts])
        return ""


class EmulatedDiscoveryProtocol:
    """Reads a gateway's request for events and calls `on_events_requested(last)` of the owner."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        budget = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(16_384, budget), RingBuffer(4_000_000, budget)

    def parse_input(self) -> str:
        """Handle all complete input; return the reason for closing, or an empty string."""
        data = self.inward.peek(len(self.inward))
        end = data.find(b"\r\n\r\n")
        if end < 0:
            return "" if self.inward.free_bytes else "request head is longer than 16384 bytes"
        self.inward.drop(len(data))
        self.complete_frame_count += 1
        last = 0
        for line in data[:end].split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"last-event-id" and value.strip().isdigit():
                last = int(value)
        self.owner.on_events_requested(last)
        return ""


class EmulatedClientProtocol:
    """Reads a gateway's frames.

    Calls `on_answer(stream, code, body)`, `on_ready(code)` and `on_leaving()` of the owner.
    """

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        budget = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(300_000, budget), RingBuffer(300_000, budget)

    def parse_input(self) -> str:
        """Handle all complete input; return the reason for closing, or an empty string."""
        ring = self.inward
        while len(ring) >= 4:
            length = int.from_bytes(ring.peek(4), "little")
            if not 5 <= length <= 262_144:
                return f"frame length is {length}, expected 5 to 262144"
            if len(ring) < length + 4:
                if not ring.free_bytes:
                    ring.reserve(min(length + 4, 2 * len(ring)))
                return ""
            kind, stream = STREAM.unpack(ring.peek(5, 4))
            payload = ring.take(length + 4)[9:]
            self.complete_frame_count += 1
            if kind == ANSWER and len(payload) >= 2:
                self.owner.on_answer(stream, payload[0], payload[2:])
            elif kind == READY and payload:
                self.owner.on_ready(payload[0])
            elif kind == LEAVING:
                self.owner.on_leaving()
            else:
                return f"frame has unexpected type {kind}, or an incomplete payload"
        return ""


def request_frame(stream: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the frame of a request.

    >>> request_frame(1, {"route": "a"}, b"x").hex()
    '1000000002010000000105726f75746501006178'
    """
    content = bytearray([len(fields)])
    for name, value in ((name.encode(), value.encode()) for name, value in fields.items()):
        content += NAME.pack(len(name)) + name + VALUE.pack(len(value)) + value
    return HEADER.pack(5 + len(content) + len(body), REQUEST, stream) + bytes(content) + body


def cancellation_frame(stream: int) -> bytes:
    """Return the frame that cancels the request of a stream."""
    return HEADER.pack(5, WITHDRAWN, stream)


def readiness_query_frame() -> bytes:
    """Return the frame that asks the gateway whether it accepts requests."""
    return HEADER.pack(5, READY_ASKED, 0)
