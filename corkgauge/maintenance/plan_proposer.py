"""The plan proposer: takes the plan over from a majority of replicas, and changes it step by step.

Nothing counts before a majority of replicas has it *and* the lease is still held at that very
moment; and no plan is begun from less than a majority of replicas that remember. Free of I/O.

Why the look at the lease as a step is counted: a replica without a disk that came back has
forgotten what it promised to a later leader. While we hold the lease there is no later leader, so
nothing was forgotten that speaks against the step.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

import msgpack

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
from corkgauge.maintenance.plan_replica import NO_STAMP

RETRY_TICKS = 1_000  # tenths of a millisecond, until replicas are asked again
MAX_FETCH_TICKS = 20 * RETRY_TICKS  # until another replica is fetched from
MAX_STEP_BYTES = 1_000  # of the changes of one step, so that it fits a datagram
MAX_PENDING_CHANGES = 400  # that wait for their step

Change = Sequence[Any]


class ProposerState(IntEnum):
    """How far the proposer has come, which operators read in the words of STATE_WORDS."""

    IDLE = 0
    TAKING_OVER = 1
    FETCHING = 2
    FORGOTTEN = 3
    LEADING = 4


STATE_WORDS = "idle", "taking over", "fetching", "forgotten", "leading"  # by ProposerState


class Host(Protocol):
    """What a proposer may do."""

    def may_act(self, fence: int) -> bool:
        """Whether the lease is held under this fence, now."""

    def voters(self) -> Sequence[str]:
        """Name the gateways that have a plan replica."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a message about the plan."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def on_plan_led(self) -> None:
        """Take note: the plan is taken over."""

    def on_changes_agreed(self, changes: Sequence[Change]) -> None:
        """Take note: a majority of replicas has these changes."""

    def on_plan_forgotten(self) -> None:
        """Take note: no majority of replicas remembers the plan."""

    def on_preempted(self, fence: int) -> None:
        """Give way to a higher fence."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that waits for its step, and its size in bytes."""

    change: Change
    size: int


@dataclass(slots=True)
class StepUnderWay:
    """Changes proposed to the replicas: from the plan of stamp `before` to `plan`."""

    changes: list[Change]
    before: Stamp
    plan: Plan
    accepted_by: set[str] = field(default_factory=set)


class PlanProposer:
    """Holds the agreed plan while the lease is held, and the one step under way."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.state = ProposerState.IDLE
        self.fence = 0
        self.plan = Plan()
        self.stamp = NO_STAMP
        self.promises: dict[str, Promise] = {}  # by replica
        self.fetch: ChunkFetch | None = None
        self.step: StepUnderWay | None = None
        self.pending: list[PendingChange] = []
        self.led = False  # a majority has our first step, so that all before it is agreed
        self.proposed = 0  # changes, since the lease is held
        self.settled = 0  # those of them that are agreed
        self.timer_serial = 0  # of the timer that is awaited; earlier ones do nothing
        self.packed: bytes | None = None  # the plan with the step under way
        self.packed_as: tuple[bool, Stamp] = (
            False,
            NO_STAMP,
        )  # with a step under way? of which stamp

    # The lease.

    def on_lease_gained(self, fence: int) -> None:
        """Begin to take the plan over, under this fence."""
        self.fence = fence
        self.state = ProposerState.TAKING_OVER
        self.promises = {}
        self._drop_changes()
        self.proposed = 0
        self.settled = 0
        self._send_prepare()

    def on_lease_lost(self) -> None:
        """Stop; what is under way may still be agreed by the next leader."""
        self.state = ProposerState.IDLE
        self._drop_changes()
        self.timer_serial += 1
        if self.fetch is not None:
            self.fetch.cancel()

    def _drop_changes(self) -> None:
        self.step = None
        self.pending = []

    # What the planner wants.

    def propose(self, *changes: Change) -> bool:
        """Have these changes agreed, in this order.

        False, and nothing is done, where they do not fit the plan as it will be then.
        """
        is_full = len(self.pending) + len(changes) > MAX_PENDING_CHANGES
        if self.state != ProposerState.LEADING or is_full:
            return False
        sized = [PendingChange(change, len(msgpack.packb(change))) for change in changes]
        try:
            if any(each.size > MAX_STEP_BYTES for each in sized):
                raise InvalidChangeError("a change that no datagram takes")
            self.plan_with_pending().with_changes(changes)
        except InvalidChangeError as problem:
            self.host.log(f"works: not proposed, {problem}")
            return False
        self.pending += sized
        self.proposed += len(changes)
        self._begin_step()
        return True

    def plan_with_pending(self) -> Plan:
        """Return the plan with all that is under way or waits: what decisions must count with."""
        plan = self.plan if self.step is None else self.step.plan
        if not self.pending:
            return plan
        return plan.with_changes([each.change for each in self.pending])

    def has_pending_changes(self) -> bool:
        """Whether a step is under way or waits."""
        return bool(self.pending) or self.step is not None

    def begin_anew(self, plan: Plan) -> None:
        """Begin with this plan, by somebody's word, after the loss of everything."""
        if self.state == ProposerState.FORGOTTEN and self.host.may_act(self.fence):
            self._lead_with(plan, (self.fence, 0))

    # What replicas send.

    def on_datagram(self, sender: str, body: Sequence[Any]) -> None:
        """Apply a replica's message.

        Answers to another fence, or from one that is no voter, are ignored.
        """
        message = decode(body)
        if isinstance(message, FetchChunks):
            self._on_fetch(sender, message)
            return
        is_ours = message.fence == self.fence and self.state != ProposerState.IDLE
        if not is_ours or sender not in self.host.voters():
            return
        match message:
            case Preempted():
                self.host.on_preempted(message.promised)
            case Promise():
                self._on_promise(sender, message)
            case Accepted():
                self._on_accepted(sender, message)

    def on_chunk_datagram(self, sender: str, body: Sequence[Any]) -> None:
        """Take a chunk of a replica's plan, as we asked for it."""
        message = decode(body)
        if self.state != ProposerState.FETCHING or self.fetch is None:
            return
        if isinstance(message, Chunk):
            self.fetch.on_chunk(sender, message)

    def is_fetching_from(self, sender: str) -> bool:
        """Whether this replica's plan is being fetched."""
        if self.state != ProposerState.FETCHING or self.fetch is None:
            return False
        return sender == self.fetch.source

    # Taking over.

    def _majority(self) -> int:
        return len(self.host.voters()) // 2 + 1

    def _is_taking_over(self) -> bool:
        return self.state in (ProposerState.TAKING_OVER, ProposerState.FORGOTTEN)

    def _send_prepare(self) -> None:
        if self._is_taking_over() and self.host.may_act(self.fence):
            for name in self.host.voters():
                self.host.send(name, Prepare(self.fence).encode())
            self._call_later(self._send_prepare)

    def _on_promise(self, sender: str, promise: Promise) -> None:
        if not self._is_taking_over():
            return
        self.promises[sender] = promise
        remembered = {name: each.stamp for name, each in self.promises.items() if not each.is_blank}
        blank_count = len(self.promises) - len(remembered)
        if len(remembered) >= self._majority():
            latest = max(remembered, key=lambda name: (remembered[name], name))
            self._fetch_from(latest, remembered[latest])
        elif (
            self.state == ProposerState.TAKING_OVER
            and blank_count > len(self.host.voters()) - self._majority()
        ):
            # So many forgot that no majority remembers, ever: what is out has to be told.
            self.state = ProposerState.FORGOTTEN
            self.host.on_plan_forgotten()

    def _fetch_from(self, replica: str, stamp: Stamp) -> None:
        self.state = ProposerState.FETCHING
        self.fetch = ChunkFetch(
            self.host, replica, self.fence, RETRY_TICKS, self._on_fetched, stamp
        )
        self._call_later(self._on_fetch_timeout, MAX_FETCH_TICKS)

    def _on_fetch_timeout(self) -> None:
        """Ask all replicas again: the one that we fetch from has gone."""
        if self.state == ProposerState.FETCHING and self.fetch is not None:
            self.fetch.cancel()
            self.state = ProposerState.TAKING_OVER
            self.promises = {}
            self._send_prepare()

    def _on_fetched(self, stamp: Stamp, packed: bytes) -> None:
        if self.state == ProposerState.FETCHING and self.host.may_act(self.fence):
            self._lead_with(Plan.unpacked(packed), stamp)

    def _lead_with(self, plan: Plan, before: Stamp) -> None:
        """Begin our fence with an empty step.

        Once a majority has it, all before it is agreed too.
        """
        self.state = ProposerState.LEADING
        self.plan = plan
        self.packed = None
        self.stamp = (self.fence, 0)
        self.step = StepUnderWay([], before, plan)
        self.led = False
        self._send_step()

    # Steps.

    def _begin_step(self) -> None:
        if self.step is not None or not self.pending or self.state != ProposerState.LEADING:
            return
        changes: list[Change] = []
        size = 0
        while self.pending and (not changes or size + self.pending[0].size <= MAX_STEP_BYTES):
            pending = self.pending.pop(0)
            changes.append(pending.change)
            size += pending.size
        self.step = StepUnderWay(changes, self.stamp, self.plan.with_changes(changes))
        self._send_step()

    def _send_step(self) -> None:
        """Send the step to each replica that has not accepted it, again and again."""
        step = self.step
        if self.state != ProposerState.LEADING or step is None:
            return
        accept = Accept(self.fence, step.before, self.stamp[1] + 1, step.changes)
        for name in self.host.voters():
            # Looked at before each datagram, not once a round: the process may have stood still
            # between two.
            if name not in step.accepted_by and self.host.may_act(self.fence):
                self.host.send(name, accept.encode())
        self._call_later(self._send_step)

    def _on_accepted(self, sender: str, accepted: Accepted) -> None:
        step = self.step
        is_current = accepted.stamp == (self.fence, self.stamp[1] + 1)
        if self.state != ProposerState.LEADING or step is None or not is_current:
            return
        step.accepted_by.add(sender)
        if len(step.accepted_by) < self._majority() or not self.host.may_act(self.fence):
            return
        self.step = None
        self.plan = step.plan
        self.stamp = accepted.stamp
        self.packed = None
        self.settled += len(step.changes)
        if self.led:
            self.host.on_changes_agreed(step.changes)
        else:
            self.led = True
            self.host.on_plan_led()
        self._begin_step()

    def _on_fetch(self, sender: str, fetch: FetchChunks) -> None:
        """Answer a replica that missed something, with what is under way too.

        It counts as accepting that step.
        """
        is_leading = self.state == ProposerState.LEADING and fetch.fence == self.fence
        if not is_leading or not self.host.may_act(fetch.fence):
            return
        has_step = self.step is not None
        plan = self.plan if self.step is None else self.step.plan
        if self.packed is None or self.packed_as != (has_step, self.stamp):
            self.packed = plan.packed()
            self.packed_as = has_step, self.stamp
        stamp = (self.fence, self.stamp[1] + has_step)
        for chunk in requested_chunks(self.packed, fetch.indexes, self.fence, stamp):
            self.host.send(sender, chunk.encode())

    # Timers.

    def _call_later(self, method: Callable[[], None], delay_ticks: int = RETRY_TICKS) -> None:
        """Call the method, instead of any other that is awaited."""
        self.timer_serial += 1
        self.host.call_later(delay_ticks, self._on_timer, self.timer_serial, method)

    def _on_timer(self, serial: int, method: Callable[[], None]) -> None:
        if serial == self.timer_serial:
            method()
