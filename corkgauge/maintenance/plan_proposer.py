"""The plan proposer: takes over the maintenance plan and proposes changes to the replicas.

The proposer is the Paxos proposer of the lease holder, with the fencing token of the lease as its
ballot. It changes the plan in steps. A step is agreed only if a majority of replicas has accepted
the step *and* the lease is held when the last of these acceptances is counted. A plan is taken over
only from a majority of replicas that have not lost their state. Free of I/O.

The lease is checked when an acceptance is counted because a replica without a disk loses its
promise to a later leader when it restarts. While this gateway holds the lease there is no later
leader, so no promise that forbids the step can have been lost.
"""

import functools
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

RETRY_TICKS = 1_000  # until a request is sent again to the replicas
# Without a new chunk, until a fetch is abandoned and all replicas are asked again.
MAX_FETCH_SILENCE_TICKS = 20 * RETRY_TICKS
MAX_STEP_BYTES = 1_000  # encoded changes of one step, which must fit in one datagram
MAX_PENDING_CHANGES = 400  # changes that wait for the current step to be agreed

Change = Sequence[Any]


class ProposerState(IntEnum):
    """State of the proposer; STATE_WORDS has the words that operators see.

    In PLAN_LOST so many replicas have lost the plan that no majority can return it.
    """

    IDLE = 0
    TAKING_OVER = 1
    FETCHING = 2
    PLAN_LOST = 3
    LEADING = 4


STATE_WORDS = "idle", "taking over", "fetching", "forgotten", "leading"  # indexed by ProposerState


class Host(Protocol):
    """Interface of the plan proposer to its service."""

    def may_act(self, fence: int) -> bool:
        """Whether this gateway holds the lease under the fencing token `fence` now."""

    def voters(self) -> Sequence[str]:
        """Return the names of the gateways that have a plan replica."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a plan message to a gateway."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def on_plan_taken_over(self) -> None:
        """Handle the end of the takeover: the proposer has the agreed plan."""

    def on_changes_agreed(self, changes: Sequence[Change]) -> None:
        """Handle changes that a majority of replicas has accepted."""

    def on_plan_lost(self) -> None:
        """Handle the loss of the plan: no majority of replicas has the plan any more."""

    def on_preempted(self, fence: int) -> None:
        """Give up leading, since a replica has promised the higher fencing token `fence`."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A proposed change that is not part of a step yet; `size` is its encoded size in bytes."""

    change: Change
    size: int


@dataclass(slots=True)
class PendingStep:
    """A step sent to the replicas; it changes the plan at stamp `base_stamp` into `plan`."""

    changes: list[Change]
    base_stamp: Stamp
    plan: Plan
    accepted_by: set[str] = field(default_factory=set)


class PlanProposer:
    """Holds the agreed plan while the lease is held, and the one step that is being agreed."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.state = ProposerState.IDLE
        self.fence = 0
        self.plan = Plan()
        self.stamp = NO_STAMP
        self.promises: dict[str, Promise] = {}  # by replica name
        self.fetch: ChunkFetch | None = None
        self.step: PendingStep | None = None
        self.pending: list[PendingChange] = []
        # Whether a majority has accepted the first step under this fencing token, which makes all
        # earlier steps agreed too.
        self.is_taken_over = False
        self.proposed_count = 0  # changes proposed since the lease was gained
        self.agreed_count = 0  # the proposed changes that are agreed
        self.timer_serial = 0  # serial of the active timer; earlier timers are ignored
        # The encoded plan including the current step, whether it includes one, and its stamp.
        self.packed: bytes | None = None
        self.packed_version: tuple[bool, Stamp] = (False, NO_STAMP)

    # The lease.

    def on_lease_gained(self, fence: int) -> None:
        """Start to take over the plan under the fencing token `fence`."""
        self.fence = fence
        self.state = ProposerState.TAKING_OVER
        self.promises = {}
        self._drop_changes()
        self.proposed_count = 0
        self.agreed_count = 0
        self._send_prepare()

    def on_lease_lost(self) -> None:
        """Stop proposing; the next leader may still complete the current step."""
        self.state = ProposerState.IDLE
        self._drop_changes()
        self.timer_serial += 1
        if self.fetch is not None:
            self.fetch.cancel()

    def _drop_changes(self) -> None:
        self.step = None
        self.pending = []

    # Proposals of the planner.

    def propose(self, *changes: Change) -> bool:
        """Propose these changes in this order.

        Returns False and proposes nothing if the plan is not led, if too many changes are pending,
        or if a change does not apply to the plan with all pending changes.
        """
        is_full = len(self.pending) + len(changes) > MAX_PENDING_CHANGES
        if self.state != ProposerState.LEADING or is_full:
            return False
        sized = [PendingChange(change, len(msgpack.packb(change))) for change in changes]
        try:
            if any(each.size > MAX_STEP_BYTES for each in sized):
                raise InvalidChangeError("a change is too large for one datagram")
            self.plan_with_pending().with_changes(changes)
        except InvalidChangeError as problem:
            self.host.log(f"works: changes not proposed, {problem}")
            return False
        self.pending += sized
        self.proposed_count += len(changes)
        self._begin_step()
        return True

    def plan_with_pending(self) -> Plan:
        """Return the plan with the current step and all pending changes.

        Decisions must be based on this plan, since the changes may still be agreed.
        """
        plan = self.plan if self.step is None else self.step.plan
        if not self.pending:
            return plan
        return plan.with_changes([each.change for each in self.pending])

    def has_pending_changes(self) -> bool:
        """Whether a step is being agreed or changes are pending."""
        return bool(self.pending) or self.step is not None

    def replace_lost_plan(self, plan: Plan) -> None:
        """Start leading with `plan`, which was declared after the replicas lost theirs."""
        if self.state == ProposerState.PLAN_LOST and self.host.may_act(self.fence):
            self._start_leading(plan, (self.fence, 0))

    # Messages from replicas.

    def on_datagram(self, sender: str, body: Sequence[Any]) -> None:
        """Handle a message from a replica.

        Answers under another fencing token, or from a gateway that is no voter, are ignored.
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
        """Handle a chunk of the plan that is being fetched from a replica."""
        message = decode(body)
        if self.state != ProposerState.FETCHING or self.fetch is None:
            return
        if isinstance(message, Chunk):
            self.fetch.on_chunk(sender, message)

    def is_fetching_from(self, sender: str) -> bool:
        """Whether the plan is being fetched from the replica `sender`."""
        if self.state != ProposerState.FETCHING or self.fetch is None:
            return False
        return sender == self.fetch.source

    # Takeover of the plan.

    def _majority(self) -> int:
        return len(self.host.voters()) // 2 + 1

    def _is_taking_over(self) -> bool:
        return self.state in (ProposerState.TAKING_OVER, ProposerState.PLAN_LOST)

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
            # Too many replicas lost their state for a majority to ever return the plan, so the
            # gateways or an operator have to declare which units are out.
            self.state = ProposerState.PLAN_LOST
            self.host.on_plan_lost()

    def _fetch_from(self, replica: str, stamp: Stamp) -> None:
        self.state = ProposerState.FETCHING
        self.fetch = ChunkFetch(
            self.host, replica, self.fence, RETRY_TICKS, self._on_fetched, stamp
        )
        self._watch_fetch(known_chunk_count=0)

    def _watch_fetch(self, known_chunk_count: int) -> None:
        """Check later whether the fetch still has `known_chunk_count` chunks."""
        method = functools.partial(self._on_fetch_timeout, known_chunk_count)
        self._call_later(method, MAX_FETCH_SILENCE_TICKS)

    def _on_fetch_timeout(self, known_chunk_count: int) -> None:
        """Ask all replicas again, unless the replica fetched from still sends its plan."""
        if self.state != ProposerState.FETCHING or self.fetch is None:
            return
        chunk_count = len(self.fetch.chunks)
        if chunk_count != known_chunk_count:  # fewer: the source has changed its plan
            self._watch_fetch(chunk_count)
        else:
            self.fetch.cancel()
            self.state = ProposerState.TAKING_OVER
            self.promises = {}
            self._send_prepare()

    def _on_fetched(self, stamp: Stamp, packed: bytes) -> None:
        if self.state == ProposerState.FETCHING and self.host.may_act(self.fence):
            self._start_leading(Plan.unpacked(packed), stamp)

    def _start_leading(self, plan: Plan, base_stamp: Stamp) -> None:
        """Propose an empty first step under the new fencing token.

        Once a majority has accepted this step, all earlier steps are agreed too.
        """
        self.state = ProposerState.LEADING
        self.plan = plan
        self.packed = None
        self.stamp = (self.fence, 0)
        self.step = PendingStep([], base_stamp, plan)
        self.is_taken_over = False
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
        self.step = PendingStep(changes, self.stamp, self.plan.with_changes(changes))
        self._send_step()

    def _send_step(self) -> None:
        """Send the step to each replica that has not accepted it, and repeat until agreed."""
        step = self.step
        if self.state != ProposerState.LEADING or step is None:
            return
        accept = Accept(self.fence, step.base_stamp, self.stamp[1] + 1, step.changes)
        for name in self.host.voters():
            # The lease is checked before each datagram, not once per round: the process may have
            # been suspended between two datagrams, and the lease may have expired meanwhile.
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
        self.agreed_count += len(step.changes)
        if self.is_taken_over:
            self.host.on_changes_agreed(step.changes)
        else:
            self.is_taken_over = True
            self.host.on_plan_taken_over()
        self._begin_step()

    def _on_fetch(self, sender: str, fetch: FetchChunks) -> None:
        """Send the plan including the current step to a replica that missed a step.

        The replica's acceptance of that plan counts as acceptance of the current step.
        """
        is_leading = self.state == ProposerState.LEADING and fetch.fence == self.fence
        if not is_leading or not self.host.may_act(fetch.fence):
            return
        has_step = self.step is not None
        plan = self.plan if self.step is None else self.step.plan
        if self.packed is None or self.packed_version != (has_step, self.stamp):
            self.packed = plan.packed()
            self.packed_version = has_step, self.stamp
        stamp = (self.fence, self.stamp[1] + has_step)
        for chunk in requested_chunks(self.packed, fetch.indexes, self.fence, stamp):
            self.host.send(sender, chunk.encode())

    # Timers.

    def _call_later(self, method: Callable[[], None], delay_ticks: int = RETRY_TICKS) -> None:
        """Call the method after the delay; this cancels the timer set before."""
        self.timer_serial += 1
        self.host.call_later(delay_ticks, self._on_timer, self.timer_serial, method)

    def _on_timer(self, serial: int, method: Callable[[], None]) -> None:
        if serial == self.timer_serial:
            method()
