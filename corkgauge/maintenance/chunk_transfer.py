"""Fetches a plan that is too large for one datagram, a few chunks at a time.

Chunks of two states are never put together: each names the stamp of its state, and another stamp
begins anew. Free of I/O.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from corkgauge.maintenance.plan_messages import Chunk, FetchChunks, Stamp

CHUNK_BYTES = 900
MAX_CHUNKS_PER_REQUEST = 6  # in one datagram
MAX_CHUNKS_PER_ANSWER = 16  # of one datagram
MAX_CHUNKS_PER_PLAN = 2_000  # of one state


class Host(Protocol):
    """What a fetch may do."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a message about the plan."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""


def slice_chunk(packed: bytes, index: int) -> tuple[int, bytes]:
    """How many chunks there are, and one of them.

    >>> slice_chunk(b"x" * 1000, 1)[0], len(slice_chunk(b"x" * 1000, 1)[1]), slice_chunk(b"", 0)
    (2, 100, (1, b''))
    """
    count = max(-(-len(packed) // CHUNK_BYTES), 1)
    return count, packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


def requested_chunks(
    packed: bytes, indexes: Sequence[int], fence: int, stamp: Stamp
) -> Iterable[Chunk]:
    """Yield the chunks that a fetch asks for, as far as there are such."""
    for index in indexes[:MAX_CHUNKS_PER_ANSWER]:
        count, data = slice_chunk(packed, index)
        if 0 <= index < count:
            yield Chunk(fence, stamp, index, count, data)


class ChunkFetch:
    """Asks `source` for its plan, then calls `on_complete(stamp, bytes)`.

    Chunks of another stamp than the one begun with start over with that: the source has gone on.
    Nothing of a stamp below `min_stamp` counts. What does not come is asked for again after
    `retry_ticks`.
    """

    def __init__(
        self,
        host: Host,
        source: str,
        fence: int,
        retry_ticks: int,
        on_complete: Callable[[Stamp, bytes], None],
        min_stamp: Stamp = (0, 0),
    ) -> None:
        self.host = host
        self.source = source
        self.fence = fence
        self.retry_ticks = retry_ticks
        self.on_complete = on_complete
        self.min_stamp = min_stamp
        self.stamp: Stamp | None = None
        self.count = 1
        self.chunks: dict[int, bytes] = {}
        self.is_finished = False
        self.request_serial = 0  # of the last datagram; the timers of earlier ones do nothing
        self._request_missing()

    def on_chunk(self, sender: str, chunk: Chunk) -> None:
        """Take a chunk; one of another source or an earlier state is ignored."""
        if not self._is_acceptable(sender, chunk):
            return
        if chunk.stamp != self.stamp:
            self.stamp = chunk.stamp
            self.count = chunk.count
            self.chunks = {}
        self.chunks[chunk.index] = chunk.data
        if len(self.chunks) == self.count:
            self.is_finished = True
            packed = b"".join(self.chunks[index] for index in range(self.count))
            self.on_complete(chunk.stamp, packed)
        elif chunk.index >= max(self.chunks) or not chunk.index % MAX_CHUNKS_PER_REQUEST:
            self._request_missing()

    def _is_acceptable(self, sender: str, chunk: Chunk) -> bool:
        # A chunk that was asked for in an earlier span of leading comes late, and is of a state
        # that has been changed since by agreement: it is below `min_stamp`.
        if self.is_finished or sender != self.source or chunk.stamp < self.min_stamp:
            return False
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS_PER_PLAN:
            return False
        is_outdated = self.stamp is not None and chunk.stamp < self.stamp
        return not is_outdated

    def cancel(self) -> None:
        """Ask for nothing any more, and take nothing."""
        self.is_finished = True

    def _request_missing(self) -> None:
        """Ask for the next few that are not here, and again where none of them comes."""
        if self.is_finished:
            return
        missing = [index for index in range(self.count) if index not in self.chunks]
        request = FetchChunks(self.fence, self.stamp, missing[:MAX_CHUNKS_PER_REQUEST])
        self.request_serial += 1
        self.host.send(self.source, request.encode())
        self.host.call_later(self.retry_ticks, self._retry, self.request_serial)

    def _retry(self, serial: int) -> None:
        if serial == self.request_serial:
            self._request_missing()
