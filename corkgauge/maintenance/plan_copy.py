"""Fetches a copy of the plan from the leader, for display on other gateways.

The copy is sent as chunks under a separate datagram subject, so that its messages are never
confused with messages of the plan replicas.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgpack

from corkgauge.maintenance.chunk_transfer import ChunkFetch, requested_chunks
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_messages import Chunk, Stamp

COPY_RETRY_TICKS = 1_000  # until missing chunks are requested again
MAX_FETCH_DATAGRAMS = 40  # requests of one fetch; a fetch for display must not retry forever


class Host(Protocol):
    """Interface of the copier to the maintenance service."""

    def send_copy(self, name: str, body: list[Any]) -> None:
        """Send a message that requests or carries a copy of the plan."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""


@dataclass(frozen=True, slots=True)
class PlanCopy:
    """A plan, the stamp of its last agreed step, and why units cannot proceed, by unit name."""

    stamp: Stamp = (0, 0)
    plan: Plan = field(default_factory=Plan)
    wait_reasons: Mapping[str, str] = field(default_factory=dict)


class PlanCopier:
    """Stores the newest copy, fetches newer copies, and answers fetches of other gateways."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.copy = PlanCopy()
        self.fetch: ChunkFetch | None = None

    def fetch_from(self, leader: str) -> None:
        """Start to fetch the leader's plan, unless a fetch is running."""
        if self.fetch is None or self.fetch.is_finished:
            # With longer pauses, a fetch from a leader that has gone would keep out its successor.
            self.fetch = ChunkFetch(
                _LimitedSender(self),
                leader,
                0,
                COPY_RETRY_TICKS,
                self._on_fetched,
                max_retry_factor=1,
            )

    def on_chunk(self, sender: str, chunk: Chunk) -> None:
        """Handle a chunk of the plan that is being fetched."""
        if self.fetch is not None:
            self.fetch.on_chunk(sender, chunk)

    def send_chunks(self, to: str, copy: PlanCopy, indexes: Sequence[int]) -> None:
        """Answer another gateway's fetch with the requested chunks of this copy."""
        data = msgpack.packb([copy.plan.packed(), copy.wait_reasons])
        for chunk in requested_chunks(data, indexes, 0, copy.stamp):
            self.host.send_copy(to, chunk.encode())

    def _on_fetched(self, stamp: Stamp, data: bytes) -> None:
        packed, wait_reasons = msgpack.unpackb(data)
        if stamp >= self.copy.stamp:
            self.copy = PlanCopy(stamp, Plan.unpacked(packed), wait_reasons)


class _LimitedSender:
    """Sends the requests of one fetch, and ends the fetch after MAX_FETCH_DATAGRAMS."""

    def __init__(self, copier: PlanCopier) -> None:
        self.copier = copier
        self.datagrams_left = MAX_FETCH_DATAGRAMS

    def send(self, name: str, body: list[Any]) -> None:
        self.datagrams_left -= 1
        if self.datagrams_left < 0 and self.copier.fetch is not None:
            self.copier.fetch.cancel()
        else:
            self.copier.host.send_copy(name, body)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.copier.host.call_later(delay, method, *what)
