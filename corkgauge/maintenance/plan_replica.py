"""A plan replica: one voter's copy of the plan, and the highest fence that it has promised to heed.

This is Paxos (Lamport, 1998) with the fence of the lease as its ballot and the whole plan as its
value, which moves in small steps; what a replica misses it fetches whole, as snapshots do in
Viewstamped Replication (Liskov and Cowling, 2012). A replica without a disk comes back *blank*. It
says so, and counts for nothing until a leader has told it the plan again; and it listens to none
for as long as an earlier leader's lease may run, since what it promised is forgotten too (Michael,
Ports, Sharma and Szekeres, 2017, on what goes wrong else). Free of I/O: its host sends, writes to
disk and keeps time.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from corkgauge.maintenance.chunk_transfer import ChunkFetch, requested_chunks
from corkgauge.maintenance.plan import InvalidChangeError, Plan
from corkgauge.maintenance.plan_messages import (
    Accept,
    Accepted,
    Chunk,
    FetchChunks,
    Preempted,
    Prepare,
    Promise,
    Stamp,
    decode,
)

NO_STAMP: Stamp = 0, 0
FETCH_RETRY_TICKS = 1_500  # tenths of a millisecond, until chunks are asked for again


class Host(Protocol):
    """What a replica may do. `now` is tenths of a millisecond since boot."""

    @property
    def now(self) -> int:
        """Return the tenths of a millisecond since boot."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a message about the plan."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Call `then` once the record is safe on disk."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class PlanReplica:
    """Takes steps of the leader with the highest fence.

    `stored` is what the disk gave, [promised fence, stamp, packed plan], or None: then the replica
    is blank, and listens to nobody for `silent_ticks`.
    """

    checks_fence = True  # False shows, in tests, what the look at the fence is for

    def __init__(self, host: Host, stored: list[Any] | None, silent_ticks: int) -> None:
        self.host = host
        self.plan = Plan()
        self.stamp = NO_STAMP
        self.promised_fence = 0
        self.is_blank = stored is None
        self.silent_until = host.now + silent_ticks if stored is None else 0
        self.fetch: ChunkFetch | None = None
        self.packed: bytes | None = None  # the plan as it is now; None: not packed yet
        self.counts = Counter[str]()  # for operators
        if stored is not None:
            self.promised_fence, stamp, packed = stored
            self.stamp = (stamp[0], stamp[1])
            self.plan = Plan.unpacked(packed)

    def on_datagram(self, sender: str, body: Sequence[Any]) -> None:
        """Apply a leader's message, or a chunk that was asked for.

        What makes no sense raises, and changes nothing.
        """
        message = decode(body)
        if isinstance(message, FetchChunks):
            self._on_fetch(sender, message)
            return
        if message.fence < self.promised_fence and self.checks_fence:
            # A leader that stood still would go on with a plan that its successor has changed
            # since.
            self.counts["low"] += 1
            self.host.send(sender, Preempted(message.fence, self.promised_fence).encode())
            return
        match message:
            case Prepare():
                self._on_prepare(sender, message)
            case Accept():
                self._on_accept(sender, message)
            case Chunk():
                if self.fetch is not None and message.fence == self.fetch.fence:
                    self.fetch.on_chunk(sender, message)

    def _is_silent(self) -> bool:
        return self.is_blank and self.host.now < self.silent_until

    # Promises.

    def _on_prepare(self, sender: str, prepare: Prepare) -> None:
        if self._is_silent():
            return
        self._promise(prepare.fence)
        self._write_then(self._send_promise, sender, prepare.fence)

    def _promise(self, fence: int) -> None:
        if fence > self.promised_fence:
            self.promised_fence = fence
            if self.fetch is not None:
                self.fetch.cancel()
                self.fetch = None

    def _send_promise(self, sender: str, fence: int) -> None:
        if fence == self.promised_fence or not self.checks_fence:
            self.host.send(sender, Promise(fence, self.stamp, self.is_blank).encode())

    # Steps.

    def _on_accept(self, sender: str, accept: Accept) -> None:
        if self._is_silent():
            return
        fence = accept.fence
        self._promise(fence)
        if not self.is_blank and self.stamp[0] == fence and self.stamp[1] >= accept.number:
            self._write_then(self._send_accepted, sender, fence)  # told before
            return
        if self.is_blank or self.stamp != accept.base_stamp:
            self._fetch_from(sender, fence)
            return
        try:
            self.plan.apply(accept.changes)
        except InvalidChangeError as problem:
            # The plan here is another than the leader's: never seen; the whole of it puts that
            # right.
            self.host.log(f"works: a step that does not fit, {problem}")
            self._fetch_from(sender, fence)
            return
        self.stamp = (fence, accept.number)
        self.packed = None
        self._write_then(self._send_accepted, sender, fence)

    def _send_accepted(self, sender: str, fence: int) -> None:
        if not self.is_blank and self.stamp[0] == fence:
            self.host.send(sender, Accepted(fence, self.stamp).encode())

    # The whole plan, fetched from the leader where a step was missed.

    def _fetch_from(self, leader: str, fence: int) -> None:
        if self.fetch is None or self.fetch.is_finished:
            self.counts["behind"] += 1
            self.fetch = ChunkFetch(
                self.host, leader, fence, FETCH_RETRY_TICKS, self._on_fetched, (fence, 0)
            )

    def _on_fetched(self, stamp: Stamp, packed: bytes) -> None:
        assert self.fetch is not None  # it is the one that calls
        fence = self.fetch.fence
        leader = self.fetch.source
        self.fetch = None
        # A plan of an earlier fence, as the leader had it before it began its own, is none of this
        # fence's.
        is_of_other_fence = stamp[0] != fence or fence < self.promised_fence
        if is_of_other_fence or (not self.is_blank and stamp <= self.stamp):
            return
        self.plan = Plan.unpacked(packed)
        self.stamp = stamp
        self.is_blank = False
        self.packed = packed
        self._write_then(self._send_accepted, leader, fence)

    def _on_fetch(self, sender: str, fetch: FetchChunks) -> None:
        """Whoever has just begun to hold the lease asks for what we hold."""
        if not self.is_blank:
            for chunk in requested_chunks(
                self._packed_plan(), fetch.indexes, self.stamp[0], self.stamp
            ):
                self.host.send(sender, chunk.encode())

    # The disk.

    def _write_then(self, then: Callable[..., None], *what: Any) -> None:
        """Write, then call `then`: what a power cut takes back was never promised or accepted.

        A blank replica has nothing to write but a promise that it may not speak of.
        """
        if self.is_blank:
            then(*what)
        else:
            self.host.write_record(self.record(), then, *what)

    def record(self) -> list[Any] | None:
        """Return what is stored: [promised fence, stamp, packed plan]; None while blank."""
        if self.is_blank:
            return None
        return [self.promised_fence, [*self.stamp], self._packed_plan()]

    def _packed_plan(self) -> bytes:
        if self.packed is None:
            self.packed = self.plan.packed()
        return self.packed
