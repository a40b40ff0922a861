"""The maintenance participant: applies the leader's orders on one gateway and closes engines.

Orders name each engine in maintenance, with the state of its unit. While a unit is `granted`
(announced), the gateway sends to its engines only while the gateway's grant runs. The grant counts
from the time at which the gateway wrote the report that the leader answered, so the leader knows
when a disconnected gateway stops. From `draining` on the gateway sends no new attempts. Once the
gateway has no open attempt at an engine, it closes the engine, writes that to disk and confirms it.

Free of I/O: the host cordons engines, tells whether attempts are open, sends and writes. A
participant must never confirm what a restart could lose, and must never apply orders that are older
than the orders in force. Without announced maintenance the participant does not delay any request.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from corkgauge.maintenance.messages import Orders
from corkgauge.maintenance.plan_records import UnitState
from corkgauge.policy.records import Cordon

MAX_REPORTS_REMEMBERED = 64  # reports whose time is kept, since a grant counts from that time
QUIET_CHECK_TICKS = 200  # between two checks whether draining engines have open attempts
MAX_ORDERS_PART_COUNT = 64  # datagrams of one set of orders
MAX_CLOSED_BYTES = 500  # names of closed engines in one report
MAX_STARTUP_WAIT_COUNT = 5  # startup waits after which a gateway serves in any case

Stamp = tuple[int, int]


class OrderedState(NamedTuple):
    """Ordered state of an engine's unit, and the engine's last address in the endpoint list."""

    state: int
    address: str


@dataclass(slots=True)
class PartialOrders:
    """A set of orders of which some parts have not been received yet."""

    stamp: Stamp = (0, 0)
    parts: int = 0
    states_by_part: dict[int, dict[str, int]] = field(default_factory=dict)


class Host(Protocol):
    """Interface of the participant to its service."""

    @property
    def now(self) -> int:
        """Return the ticks (tenths of a millisecond) since boot."""

    def refresh_cordons(self) -> None:
        """Apply the result of `cordon_of` to each engine and to this gateway."""

    def has_nothing_open(self, tag: str) -> bool:
        """Whether this gateway has no open attempt at engine `tag`.

        If `tag` names this gateway: whether this gateway holds no lease and competes for none.
        """

    def address_of(self, tag: str) -> str:
        """Return the engine's `host:port` from the endpoint list; empty if it is not listed."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Write the record and call `then` once the record is durable on disk."""

    def on_record_written(self) -> None:
        """Report to the leader the orders and closed engines that are on disk now."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class Participant:
    """Applies orders and closes engines.

    `grant_ticks` is the duration of a grant. `stored` is the record read from disk: stamp, ordered
    states, closed engines. If `stored` is None, the participant is blank: it has no memory of
    earlier orders.
    """

    checks_fence = True  # tests set False to show the failure that the fence check prevents

    def __init__(self, host: Host, name: str, grant_ticks: int, stored: list[Any] | None) -> None:
        self.host = host
        self.name = name
        self.grant_ticks = grant_ticks
        # Orders in force.
        self.stamp: Stamp = 0, 0
        self.states_by_member: dict[str, OrderedState] = {}
        self.tag_by_address: dict[str, str] = {}  # of the engines in the orders in force
        self.closed: set[str] = set()
        self.is_blank = stored is None
        self.grant_expires_at = 0
        self.partial_orders = PartialOrders()
        self.preempted_orders = 0  # counter for operators
        # State that is on disk; only this state may be reported.
        self.stored_stamp: Stamp = 0, 0
        self.stored_closed: frozenset[str] = frozenset()
        # Reports.
        self.report_serial = 0
        self.report_written_at: dict[int, int] = {}  # ticks by report serial
        self.next_closed_index = 0  # closed engine that the next report names first
        # Startup.
        self.started_at = host.now
        self.member_reached_at = -1  # when a member was first reached; -1: not yet
        self.has_orders = False  # a leader has sent orders since this process started
        # A leader that has lost the plan has requested a report from this gateway, so no orders are
        # to be expected from that leader.
        self.report_was_requested = False
        self.is_checking = False  # a check for open attempts at draining engines is scheduled
        if stored is not None:
            self._restore(stored)
        self._on_states_changed()

    def _restore(self, stored: list[Any]) -> None:
        stamp, states, closed = stored
        self.stamp = (stamp[0], stamp[1])
        self.closed = {*closed}
        self.stored_stamp = self.stamp
        self.stored_closed = frozenset(closed)
        self.states_by_member = {
            tag: OrderedState(state, address) for tag, (state, address) in states.items()
        }

    # Startup.

    def must_wait(
        self, startup_wait_ticks: int, has_reached_member: bool, other_leader: str
    ) -> bool:
        """Whether the gateway must wait for orders before it accepts clients.

        `has_reached_member` says whether another member was reached. `other_leader` is the known
        lease holder, if that is another gateway, and else empty.

        A restarted gateway that has lost its orders, or has orders from before the restart, could
        send to a machine that is out of service. The gateway therefore waits for orders until
        `startup_wait_ticks` have passed since its start and since it first reached a member, as
        either may be slow. After that time the gateway still waits if a leader is known, but serves
        without orders if no leader is known or the leader has lost the plan. The gateway serves in
        any case once MAX_STARTUP_WAIT_COUNT times `startup_wait_ticks` have passed.
        """
        now = self.host.now
        if self.has_orders or now >= self.started_at + MAX_STARTUP_WAIT_COUNT * startup_wait_ticks:
            return False
        if has_reached_member and self.member_reached_at < 0:
            self.member_reached_at = now
        if now < max(self.started_at, self.member_reached_at) + startup_wait_ticks:
            return True
        return bool(other_leader) and not self.report_was_requested

    # Orders.

    def on_orders(self, orders: Orders) -> bool:
        """Handle one part of a leader's orders; False if orders of a later leader are in force.

        Raises ValueError for invalid part numbers.
        """
        stamp = orders.fence, orders.number
        if stamp < self.stamp and self.checks_fence:
            # Orders that an earlier leader sent before its process was suspended would lift
            # cordons that its successor has ordered.
            is_preempted = orders.fence < self.stamp[0]
            self.preempted_orders += is_preempted
            return not is_preempted
        if orders.echo in self.report_written_at:
            self._extend_grant(self.report_written_at[orders.echo] + self.grant_ticks)
        if stamp == self.stamp and not self.is_blank and self.checks_fence:
            self.has_orders = True
            return True
        self._collect_part(stamp, orders)
        return True

    def _collect_part(self, stamp: Stamp, orders: Orders) -> None:
        """Store the part; apply the orders once all parts have been received."""
        part = orders.part
        parts = orders.parts
        are_numbers = type(part) is int and type(parts) is int
        if not are_numbers or not 0 <= part < parts <= MAX_ORDERS_PART_COUNT:
            raise ValueError("orders have an invalid part number or too many parts")
        partial = self.partial_orders
        if (partial.stamp, partial.parts) != (stamp, parts):
            partial = PartialOrders(stamp, parts)
            self.partial_orders = partial
        partial.states_by_part[part] = dict(orders.levels)
        if len(partial.states_by_part) == parts:
            states: dict[str, int] = {}
            for part_states in partial.states_by_part.values():
                states.update(part_states)
            self._take_orders(stamp, states)
            self.partial_orders = PartialOrders()

    def _take_orders(self, stamp: Stamp, states: Mapping[str, int]) -> None:
        before = self.states_by_member
        self.states_by_member = {
            tag: OrderedState(state, self.host.address_of(tag) or _known_address(before, tag))
            for tag, state in states.items()
        }
        self.stamp = stamp
        self.is_blank = False
        self.has_orders = True
        # An engine that was returned to service and is drained again must be checked again.
        self.closed = {tag for tag in self.closed if self._state_of(tag) >= UnitState.DRAINING}
        self._on_states_changed()
        self._write()

    def _extend_grant(self, until: int) -> None:
        """Extend the grant to `until`, which counts from the time of the report.

        The transit time of the datagrams thus shortens the grant and never extends it.
        """
        if until <= self.grant_expires_at:
            return
        had_lapsed = self.host.now >= self.grant_expires_at
        self.grant_expires_at = until
        self.host.call_later(max(until - self.host.now, 1), self._on_grant_end, until)
        if had_lapsed and self.states_by_member:
            self.host.refresh_cordons()

    def _on_grant_end(self, until: int) -> None:
        """Stop sending to the engines of announced maintenance.

        A gateway without contact to the leader would not learn that the maintenance begins.
        """
        if until == self.grant_expires_at and self.states_by_member:
            self.host.refresh_cordons()

    def _on_states_changed(self) -> None:
        self.tag_by_address = {
            ordered_state.address: tag
            for tag, ordered_state in self.states_by_member.items()
            if ordered_state.address
        }
        self.host.refresh_cordons()
        if not self.is_checking and self._draining_engines():
            self.is_checking = True
            self.host.call_later(1, self._check_quiet)

    def _state_of(self, tag: str) -> int:
        ordered_state = self.states_by_member.get(tag)
        return UnitState.ASKED if ordered_state is None else ordered_state.state

    def cordon_of(self, tag: str, address: str = "") -> Cordon:
        """Return the current cordon of an engine or of this gateway.

        An engine that is listed under a new name, but at the address of an engine in maintenance,
        is the same machine and gets the same cordon.
        """
        if tag not in self.states_by_member:
            tag = self.tag_by_address.get(address, tag)
        state = self._state_of(tag)
        if state < UnitState.GRANTED:
            return Cordon.OFF
        if state == UnitState.GRANTED:
            has_grant = self.host.now < self.grant_expires_at
            return Cordon.OFF if has_grant else Cordon.NO_NEW_WORK
        return Cordon.NO_ATTEMPTS if tag in self.closed else Cordon.NO_NEW_WORK

    # Closing engines.

    def _draining_engines(self) -> list[str]:
        """Return the engines that get no new attempts and are not closed yet."""
        return [
            tag
            for tag, ordered_state in self.states_by_member.items()
            if ordered_state.state >= UnitState.DRAINING and tag not in self.closed
        ]

    def _check_quiet(self) -> None:
        """Close each draining engine at which this gateway has no open attempt any more."""
        draining = self._draining_engines()
        quiet = [tag for tag in draining if self.host.has_nothing_open(tag)]
        if quiet:
            self.closed.update(quiet)
            self.host.refresh_cordons()  # must take effect before the engines are confirmed closed
            self._write()
        self.is_checking = len(quiet) < len(draining)
        if self.is_checking:
            self.host.call_later(QUIET_CHECK_TICKS, self._check_quiet)

    def _write(self) -> None:
        """Write the record to disk; only written state is confirmed to the leader.

        A gateway that confirmed an engine as closed and lost that over a restart would send to a
        machine that is being worked on.
        """
        self.host.write_record(self.record(), self._on_written, self.stamp, frozenset(self.closed))

    def record(self) -> list[Any]:
        """Return the record for the disk: stamp, ordered states, closed engines."""
        states = {tag: [*ordered_state] for tag, ordered_state in self.states_by_member.items()}
        return [[*self.stamp], states, sorted(self.closed)]

    def _on_written(self, stamp: Stamp, closed: frozenset[str]) -> None:
        self.stored_stamp = stamp
        self.stored_closed = closed
        self.host.on_record_written()

    # Reports to the leader.

    def report_fields(self) -> list[Any]:
        """Return the first fields of a report and record its time.

        The fields are: serial, fence, number, is blank, names of closed engines, number of closed
        engines. A grant that answers this report counts from now. Closed engines that do not fit
        in one datagram are named in the following reports, in turn.
        """
        self.report_serial += 1
        self.report_written_at[self.report_serial] = self.host.now
        while len(self.report_written_at) > MAX_REPORTS_REMEMBERED:
            del self.report_written_at[next(iter(self.report_written_at))]
        closed = sorted(self.stored_closed & {*self.states_by_member})
        named = self._next_closed_engines(closed)
        return [self.report_serial, *self.stored_stamp, self.is_blank, named, len(closed)]

    def _next_closed_engines(self, closed: list[str]) -> list[str]:
        named: list[str] = []
        size = 0
        for offset in range(len(closed)):
            tag = closed[(self.next_closed_index + offset) % len(closed)]
            size += len(tag.encode()) + 2
            if size > MAX_CLOSED_BYTES:
                break
            named.append(tag)
        self.next_closed_index = (self.next_closed_index + len(named)) % max(len(closed), 1)
        return named


def _known_address(states: Mapping[str, OrderedState], tag: str) -> str:
    ordered_state = states.get(tag)
    return "" if ordered_state is None else ordered_state.address
