"""The plan as shown at gateways that do not lead: a copy fetched from the leader.

The copy travels as chunks under a datagram subject of its own, so that it never meets the replicas'
messages.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgpack

from corkgauge.maintenance.chunk_transfer import ChunkFetch, requested_chunks
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_messages import Chunk, Stamp

FETCH_PAUSE_TICKS = 1_000  # until chunks are asked for again
MAX_FETCH_DATAGRAMS = 40  # of one fetch, which is for show alone and must not go on for ever


class Host(Protocol):
    """What copying the plan needs of the service."""

    def send_copy(self, name: str, body: list[Any]) -> None:
        """Send a message about a copy of the plan."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""


@dataclass(frozen=True, slots=True)
class PlanCopy:
    """A plan, the stamp it was agreed under, and by unit why it does not go on."""

    stamp: Stamp = (0, 0)
    plan: Plan = field(default_factory=Plan)
    objections: Mapping[str, str] = field(default_factory=dict)


class PlanCopier:
    """Holds the newest copy, fetches newer ones, and answers other gateways' fetches."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.copy = PlanCopy()
        self.fetch: ChunkFetch | None = None

    def fetch_from(self, leader: str) -> None:
        """Begin to fetch the leader's plan, unless a fetch is under way."""
        if self.fetch is None or self.fetch.is_finished:
            self.fetch = ChunkFetch(
                _LimitedSender(self), leader, 0, FETCH_PAUSE_TICKS, self._on_fetched
            )

    def on_chunk(self, sender: str, chunk: Chunk) -> None:
        """Take a chunk of a plan that is being fetched."""
        if self.fetch is not None:
            self.fetch.on_chunk(sender, chunk)

    def send_chunks(self, to: str, copy: PlanCopy, indexes: Sequence[int]) -> None:
        """Answer another gateway's fetch with some chunks of this copy."""
        data = msgpack.packb([copy.plan.packed(), copy.objections])
        for chunk in requested_chunks(data, indexes, 0, copy.stamp):
            self.host.send_copy(to, chunk.encode())

    def _on_fetched(self, stamp: Stamp, data: bytes) -> None:
        packed, objections = msgpack.unpackb(data)
        if stamp >= self.copy.stamp:
            self.copy = PlanCopy(stamp, Plan.unpacked(packed), objections)


class _LimitedSender:
    """Sends the questions of one fetch, and ends it after MAX_FETCH_DATAGRAMS."""

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
