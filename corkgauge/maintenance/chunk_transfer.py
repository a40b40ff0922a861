"""Transfers a plan that is too large for one datagram in chunks.

Chunks of two versions of the plan are never combined: each chunk has the stamp of its plan, and a
chunk of a later stamp restarts the fetch. Free of I/O.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from corkgauge.maintenance.plan_messages import Chunk, FetchChunks, Stamp

CHUNK_BYTES = 900
MAX_CHUNKS_PER_REQUEST = 6
MAX_CHUNKS_PER_ANSWER = 16  # limits the answer to one request, whatever the request asks for
MAX_CHUNKS_PER_PLAN = 2_000
# The pause before a request is repeated doubles up to this many times the first one.
MAX_RETRY_FACTOR = 4


class Host(Protocol):
    """The operations that a chunk fetch uses."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send the body of a plan message to the named gateway."""

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method with the arguments after `delay` ticks."""


def slice_chunk(packed: bytes, index: int) -> tuple[int, bytes]:
    """Return the number of chunks of a packed plan, and the data of chunk number `index`.

    >>> slice_chunk(b"x" * 1000, 1)[0], len(slice_chunk(b"x" * 1000, 1)[1]), slice_chunk(b"", 0)
    (2, 100, (1, b''))
    """
    count = max(-(-len(packed) // CHUNK_BYTES), 1)
    return count, packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


def requested_chunks(
    packed: bytes, indexes: Sequence[int], fence: int, stamp: Stamp
) -> Iterable[Chunk]:
    """Yield the requested chunks; indexes beyond the end of the packed plan are ignored."""
    for index in indexes[:MAX_CHUNKS_PER_ANSWER]:
        count, data = slice_chunk(packed, index)
        if 0 <= index < count:
            yield Chunk(fence, stamp, index, count, data)


class ChunkFetch:
    """Fetches the plan of `source`, then calls `on_complete(stamp, packed)`.

    If a chunk of a later stamp arrives, the source has changed its plan: the fetch drops the chunks
    it has and continues with the later plan. Chunks of stamps below `min_stamp` are ignored.
    Missing chunks are requested again after `retry_ticks`, and after longer pauses while no new
    chunk arrives. A chunk that arrives again causes no request: on a network slower than the pause,
    each answer would cause several others.
    """

    def __init__(
        self,
        host: Host,
        source: str,
        fence: int,
        retry_ticks: int,
        on_complete: Callable[[Stamp, bytes], None],
        min_stamp: Stamp = (0, 0),
        max_retry_factor: int = MAX_RETRY_FACTOR,
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
        self.max_retry_factor = max_retry_factor
        self.retry_factor = 1  # of the pause before the request is repeated
        self.requested: set[int] = set()  # indexes of the last request
        self.request_serial = 0  # of the last request; retry timers of earlier requests do nothing
        self._request_missing()

    def on_chunk(self, sender: str, chunk: Chunk) -> None:
        """Store a chunk; ignore chunks from another source or of an earlier plan."""
        if not self._is_acceptable(sender, chunk):
            return
        if chunk.stamp != self.stamp:
            self.stamp = chunk.stamp
            self.count = chunk.count
            self.chunks = {}
        if chunk.index in self.chunks:
            return
        self.retry_factor = 1
        self.chunks[chunk.index] = chunk.data
        if len(self.chunks) == self.count:
            self.is_finished = True
            packed = b"".join(self.chunks[index] for index in range(self.count))
            self.on_complete(chunk.stamp, packed)
        elif self.requested <= self.chunks.keys():
            self._request_missing()

    def _is_acceptable(self, sender: str, chunk: Chunk) -> bool:
        # A late chunk, requested while this gateway led before, can belong to a plan that has
        # since been changed by agreement: its stamp is below `min_stamp`.
        if self.is_finished or sender != self.source or chunk.stamp < self.min_stamp:
            return False
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS_PER_PLAN:
            return False
        is_outdated = self.stamp is not None and chunk.stamp < self.stamp
        return not is_outdated

    def cancel(self) -> None:
        """Stop requesting chunks, and ignore those that still arrive."""
        self.is_finished = True

    def _request_missing(self) -> None:
        """Request the next missing chunks; again after `retry_ticks` unless requested meanwhile."""
        if self.is_finished:
            return
        missing = [index for index in range(self.count) if index not in self.chunks]
        self.requested = {*missing[:MAX_CHUNKS_PER_REQUEST]}
        request = FetchChunks(self.fence, self.stamp, sorted(self.requested))
        self.request_serial += 1
        self.host.send(self.source, request.encode())
        pause_ticks = self.retry_ticks * self.retry_factor
        self.host.call_later(pause_ticks, self._retry, self.request_serial)

    def _retry(self, serial: int) -> None:
        if serial == self.request_serial:
            self.retry_factor = min(2 * self.retry_factor, self.max_retry_factor)
            self._request_missing()
