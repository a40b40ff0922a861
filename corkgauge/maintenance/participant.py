"""A gateway's part in maintenance: the orders that it heeds, and what it may answer for.

Orders name each engine with the state of its unit. `granted` (announced): this gateway sends there
only while its grant runs, which counts from when it wrote the report that the leader answers; so a
gateway that is cut off afterwards is known to stop. From `draining` on: nothing new; once nothing
of its is open there the engine is closed, written to disk, and confirmed.

Free of I/O: its host cordons engines, says whether anything is open there, sends and writes.
Nothing is confirmed that might be forgotten, and no orders are taken that are older than those in
force. Where nothing was announced nothing of this holds up serving.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from corkgauge.maintenance.messages import Orders
from corkgauge.maintenance.plan_records import UnitState
from corkgauge.policy.records import Cordon

MAX_REPORTS_REMEMBERED = (
    64  # of which the time of writing is known, so that a grant can count from it
)
QUIET_CHECK_TICKS = 200  # tenths of a millisecond between two looks whether an engine is quiet
MAX_PARTS = 64  # of one set of orders
MAX_CLOSED_BYTES = 500  # of closed engines' names in one report
MAX_PATIENCE_SPANS = 5  # spans of patience that a gateway waits at its start, at most

Stamp = tuple[int, int]


class OrderedState(NamedTuple):
    """The state of an engine's unit, as ordered, and the engine's address as listed last."""

    state: int
    address: str


@dataclass(slots=True)
class PartialOrders:
    """Orders of which some parts have not come yet."""

    stamp: Stamp = (0, 0)
    parts: int = 0
    levels_by_part: dict[int, dict[str, int]] = field(default_factory=dict)


class Host(Protocol):
    """What a participant may do. `now` is tenths of a millisecond since boot."""

    @property
    def now(self) -> int:
        """Return the tenths of a millisecond since boot."""

    def refresh_cordons(self) -> None:
        """Cordon each engine, and this gateway, as `cordon_of` says."""

    def is_quiet(self, tag: str) -> bool:
        """Whether nothing of this gateway's is open there."""

    def address_of(self, tag: str) -> str:
        """Return the engine's `host:port` as listed last; empty: not in the list."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Call `then` once the record is safe on disk."""

    def on_engines_closed(self) -> None:
        """Report to the leader: engines are closed here."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class Participant:
    """Heeds orders, and closes engines.

    `grant_ticks` is the span of a grant. `stored` is what the disk gave, [stamp, levels, closed],
    or None: then the participant is blank.
    """

    checks_fence = True  # False shows, in tests, what the look at the fence is for

    def __init__(self, host: Host, name: str, grant_ticks: int, stored: list[Any] | None) -> None:
        self.host = host
        self.name = name
        self.grant_ticks = grant_ticks
        # Orders in force.
        self.stamp: Stamp = 0, 0
        self.levels: dict[str, OrderedState] = {}
        self.tag_by_address: dict[str, str] = {}  # of the engines that orders name
        self.closed: set[str] = set()
        self.is_blank = stored is None
        self.granted_until = 0
        self.partial_orders = PartialOrders()
        self.preempted_orders = 0  # counted for operators
        # What is on disk, and so may be reported.
        self.stored_stamp: Stamp = 0, 0
        self.stored_closed: frozenset[str] = frozenset()
        # Reports.
        self.report_serial = 0
        self.written_at: dict[int, int] = {}  # by serial number of a report
        self.next_closed = 0  # which closed engine the next report names first
        # The start.
        self.started_at = host.now
        self.met_at = -1  # when a member was first reached
        self.has_orders = False  # somebody has told us since our start
        self.was_asked = False  # somebody leads who knows no more than we, and asks us
        self.is_checking = False  # whether draining engines are quiet
        if stored is not None:
            self._restore(stored)
        self._on_levels_changed()

    def _restore(self, stored: list[Any]) -> None:
        stamp, levels, closed = stored
        self.stamp = (stamp[0], stamp[1])
        self.closed = {*closed}
        self.stored_stamp = self.stamp
        self.stored_closed = frozenset(closed)
        self.levels = {
            tag: OrderedState(state, address) for tag, (state, address) in levels.items()
        }

    # At the start.

    def must_wait(self, patience_ticks: int, has_met: bool, other_leader: str) -> bool:
        """Whether it is too early to accept clients.

        `has_met` is whether a member was reached, `other_leader` who is known to hold the lease, or
        empty.

        A gateway that has forgotten over a restart, or remembers what was true before it, would
        send to a machine that is out. So it waits for orders: for a moment after its start and
        after it has reached a member, as either may be slow, and for a leader that is known; but it
        serves all the same where nobody is there or nobody knows, and after MAX_PATIENCE_SPANS such
        moments whatever is.
        """
        now = self.host.now
        if self.has_orders or now >= self.started_at + MAX_PATIENCE_SPANS * patience_ticks:
            return False
        if has_met and self.met_at < 0:
            self.met_at = now
        if now < max(self.started_at, self.met_at) + patience_ticks:
            return True
        return bool(other_leader) and not self.was_asked

    # Orders.

    def on_orders(self, orders: Orders) -> bool:
        """Take a part of a leader's orders. False where a later leader's are in force.

        Raises ValueError for parts that make no sense.
        """
        stamp = orders.fence, orders.number
        if stamp < self.stamp and self.checks_fence:
            # What a leader wrote before it stood still would take back what its successor cordoned.
            is_preempted = orders.fence < self.stamp[0]
            self.preempted_orders += is_preempted
            return not is_preempted
        if orders.echo in self.written_at:
            self._extend_grant(self.written_at[orders.echo] + self.grant_ticks)
        if stamp == self.stamp and not self.is_blank and self.checks_fence:
            self.has_orders = True
            return True
        self._gather(stamp, orders)
        return True

    def _gather(self, stamp: Stamp, orders: Orders) -> None:
        """Keep the part; with the last one the orders are taken whole."""
        part = orders.part
        parts = orders.parts
        are_numbers = type(part) is int and type(parts) is int
        if not are_numbers or not 0 <= part < parts <= MAX_PARTS:
            raise ValueError("orders that make no sense")
        partial = self.partial_orders
        if (partial.stamp, partial.parts) != (stamp, parts):
            partial = PartialOrders(stamp, parts)
            self.partial_orders = partial
        partial.levels_by_part[part] = dict(orders.levels)
        if len(partial.levels_by_part) == parts:
            states: dict[str, int] = {}
            for levels in partial.levels_by_part.values():
                states.update(levels)
            self._take_orders(stamp, states)
            self.partial_orders = PartialOrders()

    def _take_orders(self, stamp: Stamp, states: Mapping[str, int]) -> None:
        before = self.levels
        self.levels = {
            tag: OrderedState(state, self.host.address_of(tag) or _address_in(before, tag))
            for tag, state in states.items()
        }
        self.stamp = stamp
        self.is_blank = False
        self.has_orders = True
        # An engine that was let go and is drained again must be looked at again.
        self.closed = {tag for tag in self.closed if self._state_of(tag) >= UnitState.DRAINING}
        self._on_levels_changed()
        self._write()

    def _extend_grant(self, until: int) -> None:
        """Extend the grant, counted from before it was asked for.

        Whatever time the datagrams took is lost, not gained.
        """
        if until <= self.granted_until:
            return
        had_lapsed = self.host.now >= self.granted_until
        self.granted_until = until
        self.host.call_later(max(until - self.host.now, 1), self._on_grant_end, until)
        if had_lapsed and self.levels:
            self.host.refresh_cordons()

    def _on_grant_end(self, until: int) -> None:
        """Stop sending where work was announced.

        Cut off from the leader, we could not hear that the work begins.
        """
        if until == self.granted_until and self.levels:
            self.host.refresh_cordons()

    def _on_levels_changed(self) -> None:
        self.tag_by_address = {
            level.address: tag for tag, level in self.levels.items() if level.address
        }
        self.host.refresh_cordons()
        if not self.is_checking and self._draining():
            self.is_checking = True
            self.host.call_later(1, self._check_quiet)

    def _state_of(self, tag: str) -> int:
        level = self.levels.get(tag)
        return UnitState.ASKED if level is None else level.state

    def cordon_of(self, tag: str, address: str = "") -> Cordon:
        """Say what may be sent to the engine, or to this gateway, now.

        An engine that the list names anew, at the address where maintenance is on, is the same
        machine.
        """
        if tag not in self.levels:
            tag = self.tag_by_address.get(address, tag)
        state = self._state_of(tag)
        if state < UnitState.GRANTED:
            return Cordon.OFF
        if state == UnitState.GRANTED:
            has_grant = self.host.now < self.granted_until
            return Cordon.OFF if has_grant else Cordon.NO_NEW_WORK
        return Cordon.NO_ATTEMPTS if tag in self.closed else Cordon.NO_NEW_WORK

    # Closing engines.

    def _draining(self) -> list[str]:
        """Engines that take nothing new and are not closed yet."""
        return [
            tag
            for tag, level in self.levels.items()
            if level.state >= UnitState.DRAINING and tag not in self.closed
        ]

    def _check_quiet(self) -> None:
        """Close each draining engine at which nothing of ours is open any more."""
        draining = self._draining()
        quiet = [tag for tag in draining if self.host.is_quiet(tag)]
        if quiet:
            self.closed.update(quiet)
            self.host.refresh_cordons()  # before it is confirmed
            self._write()
        self.is_checking = len(quiet) < len(draining)
        if self.is_checking:
            self.host.call_later(QUIET_CHECK_TICKS, self._check_quiet)

    def _write(self) -> None:
        """Write before anything is confirmed.

        A gateway that confirmed, and forgets it over a restart, would send to a machine that is
        open on a bench.
        """
        self.host.write_record(self.record(), self._on_written, self.stamp, frozenset(self.closed))

    def record(self) -> list[Any]:
        """Return what is stored: [stamp, levels, closed]."""
        levels = {tag: [*level] for tag, level in self.levels.items()}
        return [[*self.stamp], levels, sorted(self.closed)]

    def _on_written(self, stamp: Stamp, closed: frozenset[str]) -> None:
        self.stored_stamp = stamp
        self.stored_closed = closed
        self.host.on_engines_closed()

    # Reports to the leader.

    def report_fields(self) -> list[Any]:
        """Begin a report: [serial, fence, number, blank, closed, how many are closed].

        Its grant counts from now. Closed engines that do not fit one datagram go with the next
        reports, in turn.
        """
        self.report_serial += 1
        self.written_at[self.report_serial] = self.host.now
        while len(self.written_at) > MAX_REPORTS_REMEMBERED:
            del self.written_at[next(iter(self.written_at))]
        closed = sorted(self.stored_closed & {*self.levels})
        named = self._closed_in_turn(closed)
        return [self.report_serial, *self.stored_stamp, self.is_blank, named, len(closed)]

    def _closed_in_turn(self, closed: list[str]) -> list[str]:
        named: list[str] = []
        size = 0
        for offset in range(len(closed)):
            tag = closed[(self.next_closed + offset) % len(closed)]
            size += len(tag.encode()) + 2
            if size > MAX_CLOSED_BYTES:
                break
            named.append(tag)
        self.next_closed = (self.next_closed + len(named)) % max(len(closed), 1)
        return named


def _address_in(levels: Mapping[str, OrderedState], tag: str) -> str:
    level = levels.get(tag)
    return "" if level is None else level.address
