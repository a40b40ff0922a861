"""The other ends of the platform's protocols, as machines fed with bytes: an engine's, a feed's, a client's.

Owns framing only. Fed from a ring; knows no socket and no clock. What does not parse ends its
connection.
"""

from typing import Any

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer
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
    """Reads a gateway's commands and calls its owner: `on_command(parts)`."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        allowance = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(270_000, allowance), RingBuffer(1_000_000, allowance)

    def parse_input(self) -> str:
        ring = self.inward
        while len(ring):
            data = ring.peek(len(ring))
            end, parts, wrong = read_array(data, 0)
            if wrong:
                return wrong
            if not end:
                if not ring.free_bytes:
                    ring.reserve(2 * len(ring))
                return ""
            ring.drop(end)
            self.complete_frame_count += 1
            self.owner.on_command([part.decode(errors="replace") for part in parts])
        return ""


class EmulatedDiscoveryProtocol:
    """Reads a gateway's request for events and calls its owner: `on_events_requested(last event)`."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        allowance = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(16_384, allowance), RingBuffer(4_000_000, allowance)

    def parse_input(self) -> str:
        data = self.inward.peek(len(self.inward))
        end = data.find(b"\r\n\r\n")
        if end < 0:
            return "" if self.inward.free_bytes else "a head that is too long"
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
    """Reads a gateway's frames and calls `on_answer(stream, code, body)`, `on_ready(code)`, `on_leaving()`."""

    def __init__(self, owner: Any) -> None:
        self.owner, self.complete_frame_count = owner, 0
        allowance = MemoryBudget(MEMORY_BUDGET_BYTES)
        self.inward, self.outward = RingBuffer(300_000, allowance), RingBuffer(300_000, allowance)

    def parse_input(self) -> str:
        ring = self.inward
        while len(ring) >= 4:
            length = int.from_bytes(ring.peek(4), "little")
            if not 5 <= length <= 262_144:
                return f"a frame of length {length}"
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
                return f"a frame of type {kind}"
        return ""


def request_frame(stream: int, fields: dict[str, str], body: bytes) -> bytes:
    """A request's frame.

    >>> request_frame(1, {"route": "a"}, b"x").hex()
    '1000000002010000000105726f75746501006178'
    """
    said = bytearray([len(fields)])
    for name, value in ((name.encode(), value.encode()) for name, value in fields.items()):
        said += NAME.pack(len(name)) + name + VALUE.pack(len(value)) + value
    return HEADER.pack(5 + len(said) + len(body), REQUEST, stream) + bytes(said) + body


def cancellation_frame(stream: int) -> bytes:
    return HEADER.pack(5, WITHDRAWN, stream)


def readiness_query_frame() -> bytes:
    return HEADER.pack(5, READY_ASKED, 0)
