"""A plan replica: a voter's copy of the plan and the highest fencing token that it has promised.

This is Paxos (Lamport, 1998) with the fencing token of the lease as the ballot and the whole plan
as the value, which changes in small steps. A replica that missed a step fetches the whole plan, as
with snapshots in Viewstamped Replication (Liskov and Cowling, 2012).

A replica without a disk restarts *blank*. It reports that it is blank, and counts for no majority
until a leader has sent the plan again. Since its promises are lost too, a blank replica
ignores every leader for `silent_ticks`, the time for which the lease of an earlier leader may run;
Michael, Ports, Sharma and Szekeres (2017) show what fails otherwise. With a folder for records the
service sets this time to 0, also if the record is missing or damaged. Free of I/O: the host sends,
writes to disk and provides the clock.
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
FETCH_RETRY_TICKS = 1_500  # until missing chunks are requested again


class Host(Protocol):
    """Interface of the plan replica to its service."""

    @property
    def now(self) -> int:
        """Return the ticks (tenths of a millisecond) since boot."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a plan message to a gateway."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Write the record and call `then` once the record is durable on disk."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class PlanReplica:
    """Accepts plan steps from the leader with the highest fencing token.

    `stored` is the record read from disk: promised fencing token, stamp, encoded plan. If `stored`
    is None, the replica is blank and ignores every leader for `silent_ticks`.
    """

    checks_fence = True  # tests set False to show the failure that the fence check prevents

    def __init__(self, host: Host, stored: list[Any] | None, silent_ticks: int) -> None:
        self.host = host
        self.plan = Plan()
        self.stamp = NO_STAMP
        self.promised_fence = 0
        self.is_blank = stored is None
        self.silent_until = host.now + silent_ticks if stored is None else 0
        self.fetch: ChunkFetch | None = None
        self.packed: bytes | None = None  # the encoded current plan; None: not encoded yet
        self.counts = Counter[str]()  # counters for operators
        if stored is not None:
            self.promised_fence, stamp, packed = stored
            self.stamp = (stamp[0], stamp[1])
            self.plan = Plan.unpacked(packed)

    def on_datagram(self, sender: str, body: Sequence[Any]) -> None:
        """Handle a leader's message or a requested chunk.

        A malformed message raises an exception. An `Accept` with a malformed change may already
        have raised the promised fencing token and applied the changes before the malformed one.
        """
        message = decode(body)
        if isinstance(message, FetchChunks):
            self._on_fetch(sender, message)
            return
        if message.fence < self.promised_fence and self.checks_fence:
            # A leader whose process was suspended would otherwise continue with a plan that its
            # successor has changed since.
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
            self._write_then(self._send_accepted, sender, fence)  # a repeated step
            return
        if self.is_blank or self.stamp != accept.base_stamp:
            self._fetch_from(sender, fence)
            return
        try:
            self.plan.apply(accept.changes)
        except InvalidChangeError as problem:
            # The plan differs from the leader's plan at the same stamp, which should not happen.
            # Fetching the whole plan repairs the replica.
            self.host.log(f"works: step does not apply, fetching the whole plan: {problem}")
            self._fetch_from(sender, fence)
            return
        self.stamp = (fence, accept.number)
        self.packed = None
        self._write_then(self._send_accepted, sender, fence)

    def _send_accepted(self, sender: str, fence: int) -> None:
        if not self.is_blank and self.stamp[0] == fence:
            self.host.send(sender, Accepted(fence, self.stamp).encode())

    # Fetching the whole plan from the leader after a missed step.

    def _fetch_from(self, leader: str, fence: int) -> None:
        if self.fetch is None or self.fetch.is_finished:
            self.counts["behind"] += 1
            self.fetch = ChunkFetch(
                self.host, leader, fence, FETCH_RETRY_TICKS, self._on_fetched, (fence, 0)
            )

    def _on_fetched(self, stamp: Stamp, packed: bytes) -> None:
        assert self.fetch is not None  # the fetch calls this method
        fence = self.fetch.fence
        leader = self.fetch.source
        self.fetch = None
        # The leader may answer with the plan from before its own first step. Such a plan belongs
        # to an earlier fencing token and must not be accepted under this one.
        is_of_other_fence = stamp[0] != fence or fence < self.promised_fence
        if is_of_other_fence or (not self.is_blank and stamp <= self.stamp):
            return
        self.plan = Plan.unpacked(packed)
        self.stamp = stamp
        self.is_blank = False
        self.packed = packed
        self._write_then(self._send_accepted, leader, fence)

    def _on_fetch(self, sender: str, fetch: FetchChunks) -> None:
        """Send chunks of the plan to a new leader that is taking over."""
        if not self.is_blank:
            for chunk in requested_chunks(
                self._packed_plan(), fetch.indexes, self.stamp[0], self.stamp
            ):
                self.host.send(sender, chunk.encode())

    # Disk.

    def _write_then(self, then: Callable[..., None], *what: Any) -> None:
        """Write the record, then call `then`.

        Promises and acceptances are sent only after the write, so a power failure cannot revoke
        them. A blank replica writes nothing: its promise alone counts for no majority.
        """
        if self.is_blank:
            then(*what)
        else:
            self.host.write_record(self.record(), then, *what)

    def record(self) -> list[Any] | None:
        """Return the record for the disk; None while blank.

        The record is: promised fencing token, stamp, encoded plan.
        """
        if self.is_blank:
            return None
        return [self.promised_fence, [*self.stamp], self._packed_plan()]

    def _packed_plan(self) -> bytes:
        if self.packed is None:
            self.packed = self.plan.packed()
        return self.packed
