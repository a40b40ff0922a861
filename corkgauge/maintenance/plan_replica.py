"""A keeper: one voter's copy of the plan, and the highest fence that it has promised to heed.

Owns the copy and the promise. Free of I/O: its host sends, writes to disk and keeps time. Must never take a step under
a lower fence than it has promised, never take one that does not follow what it holds, and never speak for a plan that
it may have forgotten.

This is Paxos (Lamport, 1998) with the fence of the duty as its ballot and the whole plan as its value, which moves in
small steps; what a keeper misses it fetches whole, as snapshots do in Viewstamped Replication (Liskov and Cowling,
2012). A keeper without a disk comes back *blank*. It says so, and counts for nothing until a holder has told it the
plan again; and it hears of none for as long as an earlier holder's lease may run, since what it promised is forgotten
too (Michael, Ports, Sharma and Szekeres, 2017, on what goes wrong else).
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.maintenance.chunk_transfer import Fetch, Stamp, piece_of
from corkgauge.maintenance.plan import InvalidRequestError, Plan

# Sorts of letters. From a holder to keepers: PROMISE, STEP. To a holder: PROMISED, TAKEN, LOW. Either way: WANT a
# state's pieces, PIECE.
PROMISE, PROMISED, STEP, TAKEN, LOW, WANT, PIECE = range(7)
NONE: Stamp = 0, 0
FETCH_PAUSE = 1_500  # tenths of a millisecond, until pieces are asked for again


class Host(Protocol):
    """What a keeper may do. `now` is tenths of a millisecond since boot."""

    now: int

    def send(self, name: str, body: list[Any]) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def keep(self, record: Any, then: Callable[..., None], *what: Any) -> None: ...
    def log(self, line: str) -> None: ...


class PlanReplica:
    """`kept` is what its folder told, [promised, stamp, plan's octets], or None: then it is blank, and deaf to
    plans for `silent` tenths of a millisecond."""

    def __init__(self, host: Host, kept: list[Any] | None, silent: int) -> None:
        self.host, self.plan, self.counts = host, Plan(), Counter[str]()
        self.promised, self.stamp, self.blank = 0, NONE, kept is None
        self.deaf_until = host.now + silent if kept is None else 0
        self.fetch: Fetch | None = None
        self.packed: bytes | None = None
        if kept is not None:
            self.promised, stamp, packed = kept
            self.stamp, self.plan = (stamp[0], stamp[1]), Plan.unpacked(packed)

    def heard(self, sender: str, body: list[Any]) -> None:
        """A holder's letter, or the pieces that were asked for. What makes no sense raises, and changes nothing."""
        sort, fence = body[:2]
        if sort == WANT:
            return self._wanted(sender, body[3])
        if fence < self.promised and self.defended:
            # Danger: a holder that stood still goes on with a plan that its successor has changed since.
            self.counts["low"] += 1
            return self.host.send(sender, [LOW, fence, self.promised])
        if sort == PROMISE:
            if self.blank and self.host.now < self.deaf_until:
                return
            self._promise(fence)
            self._keep(self._say_promised, sender, fence)
        elif sort == STEP:
            self._step(sender, fence, (body[2], body[3]), body[4], body[5])
        elif sort == PIECE and self.fetch is not None and fence == self.fence_of_fetch:
            self.fetch.heard(sender, (body[2], body[3]), body[4], body[5], body[6])

    defended = True  # False leaves the look at the fence out, to show what it is for

    @property
    def fence_of_fetch(self) -> int:
        return self.fetch.fence if self.fetch is not None else 0

    def _promise(self, fence: int) -> None:
        if fence > self.promised:
            self.promised = fence
            if self.fetch is not None:
                self.fetch.end()
                self.fetch = None

    def _say_promised(self, sender: str, fence: int) -> None:
        if fence == self.promised or not self.defended:
            self.host.send(sender, [PROMISED, fence, *self.stamp, self.blank])

    def _step(
        self, sender: str, fence: int, before: Stamp, number: int, changes: list[Any]
    ) -> None:
        if self.blank and self.host.now < self.deaf_until:
            return
        self._promise(fence)
        if not self.blank and self.stamp[0] == fence and self.stamp[1] >= number:
            return self._keep(self._say_taken, sender, fence)  # told before
        if self.blank or self.stamp != before:
            return self._behind(sender, fence)
        try:
            self.plan.apply(changes)
        except InvalidRequestError as problem:
            # A plan that came here differently: never seen; the whole of it puts that right.
            self.host.log(f"works: a step that does not fit, {problem}")
            return self._behind(sender, fence)
        self.stamp, self.packed = (fence, number), None
        self._keep(self._say_taken, sender, fence)

    def _say_taken(self, sender: str, fence: int) -> None:
        if not self.blank and self.stamp[0] == fence:
            self.host.send(sender, [TAKEN, fence, *self.stamp])

    def _behind(self, sender: str, fence: int) -> None:
        """Something was missed: the whole is fetched from the holder."""
        if self.fetch is None or self.fetch.over:
            self.counts["behind"] += 1
            self.fetch = Fetch(
                self.host, WANT, sender, fence, FETCH_PAUSE, self._fetched, (fence, 0)
            )

    def _fetched(self, stamp: Stamp, data: bytes) -> None:
        fence, sender = self.fetch.fence, self.fetch.whom
        self.fetch = None
        # Danger: a state of an earlier fence, as its holder had it before it began its own, is none of this one's.
        if stamp[0] != fence or fence < self.promised or (not self.blank and stamp <= self.stamp):
            return
        self.plan, self.stamp, self.blank, self.packed = Plan.unpacked(data), stamp, False, data
        self._keep(self._say_taken, sender, fence)

    def _wanted(self, sender: str, indexes: list[int]) -> None:
        """Whoever has just begun to hold the duty asks for what we hold."""
        if self.blank:
            return
        if self.packed is None:
            self.packed = self.plan.packed()
        tell_pieces(self.host, sender, self.stamp, self.packed, indexes)

    def _keep(self, then: Callable[..., None], *what: Any) -> None:
        """Danger: what a power cut takes back was never promised or taken; so it is written before it is said. What
        is blank has nothing to write but a promise that it may not speak of."""
        if self.blank:
            return then(*what)
        self.host.keep(self.record(), then, *what)

    def record(self) -> list[Any] | None:
        if self.blank:
            return None
        if self.packed is None:
            self.packed = self.plan.packed()
        return [self.promised, [*self.stamp], self.packed]


def tell_pieces(
    host: Any, to: str, stamp: Stamp, packed: bytes, indexes: list[int], fence: int | None = None
) -> None:
    """Some pieces of a state; under the fence of whoever asked for them, or the state's."""
    for index in indexes[:16]:
        count, data = piece_of(packed, index)
        if 0 <= index < count:
            host.send(to, [PIECE, stamp[0] if fence is None else fence, *stamp, index, count, data])
