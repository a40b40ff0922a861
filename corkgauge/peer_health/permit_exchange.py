"""Exchanges slow-start permits: measures demand, offers unused permits, applies received ones.

Performs the I/O for `PermitTransfer`: the timer, the datagrams and the calls to the gateway.
"""

from typing import Any

from corkgauge.eventloop.clock import ticks_since_boot
from corkgauge.eventloop.loop import SECOND
from corkgauge.peer_health.messages import (
    PERMIT_SUBJECT,
    PermitMessage,
    decode_permit,
    encode_permit,
)
from corkgauge.peer_health.permit_transfer import PermitTransfer

MAX_ENGINES_OFFERED = 40  # engines in slow start that one offer considers
PERMIT_OFFER_INTERVAL_TICKS = 1_000
UNSENT_REASON_INDEX = 3  # index in the reasons of a ledger row: the request found no engine
MAX_WORK = 1e9  # of a received permit; a larger value would void the slow-start limit


class PermitExchange:
    """Offers unused slow-start permits of the local gateway and applies received permits."""

    def __init__(self, socket_host: Any, membership: Any) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.membership = membership
        self.member_list = membership.member_list
        self.transfers = PermitTransfer(socket_host.gateway.slow_start.window_ticks)
        self.unplaced_per_second = 0.0
        self._unplaced_before = 0
        self.member_list.call_handlers[PERMIT_SUBJECT] = self.on_permit

    def start(self) -> None:
        """Start the offer timer if slow start is configured."""
        if self.socket_host.gateway.slow_start.warm_up_ticks:
            self.event_loop.call_later(PERMIT_OFFER_INTERVAL_TICKS, self.offer_unused)

    def measure_demand(self, period_ticks: int) -> None:
        """Set `unplaced_per_second` from the last period's requests that found no engine."""
        rows = self.socket_host.ledger.request_classes.values()
        unplaced = sum(row.reasons[UNSENT_REASON_INDEX] for row in rows)
        per_second = (unplaced - self._unplaced_before) * SECOND / max(period_ticks, 1)
        self.unplaced_per_second = max(per_second, 0.0)
        self._unplaced_before = unplaced

    def offer_unused(self) -> None:
        """Send permits that the local gateway does not need to members that need them."""
        self.event_loop.call_later(PERMIT_OFFER_INTERVAL_TICKS, self.offer_unused)
        gateway = self.socket_host.gateway
        if self._needs_own_permits():
            return
        warming = [engine for engine in gateway.engines if gateway.slow_start.is_warming_up(engine)]
        for engine in warming[:MAX_ENGINES_OFFERED]:
            self._offer(engine, self.event_loop.now)

    def _needs_own_permits(self) -> bool:
        gateway = self.socket_host.gateway
        return bool(
            gateway.price.current
            or self.unplaced_per_second
            or any(queue.waiting for queue in gateway.queues.values())
        )

    def _offer(self, engine: Any, now: int) -> None:
        gateway = self.socket_host.gateway
        request_classes = self.socket_host.settings.request_classes
        work = max((each.typical_work for each in request_classes), default=0.0)
        window_ticks = self.transfers.window_ticks
        # The incarnation is the time of the engine's start in ticks; windows count from there.
        remaining_ticks = window_ticks - (now - engine.incarnation) % window_ticks
        if not work or not gateway.slow_start.has_budget(engine, work):
            return
        random_draw = self.membership.random_below(2**32)
        grant = self.transfers.grant_permit(
            ticks_since_boot(), engine.host_reference, remaining_ticks, random_draw
        )
        if grant is None:
            return
        # Spend the permit before sending it: a process that ends in between loses the permit, while
        # the reverse order would allow two gateways to use the permit.
        gateway.on_permit_moved(engine, work, now)
        permit = PermitMessage(
            engine.host_reference,
            engine.incarnation,
            grant.serial,
            grant.known_ticks,
            grant.remaining_ticks,
            work,
        )
        self.member_list.call(grant.member, PERMIT_SUBJECT, encode_permit(permit))

    def on_permit(self, sender: str, body: Any) -> None:
        """Add a received permit to the slow-start budget for the remainder of its window."""
        permit = decode_permit(body)
        engine_pool = self.socket_host.engine_pools.get(permit.engine)
        now = self.event_loop.now
        now_since_boot = ticks_since_boot()
        usable_until = self.transfers.accept_permit(
            now_since_boot,
            int(permit.serial),
            int(permit.known_ticks),
            int(permit.remaining_ticks),
        )
        if not usable_until or engine_pool is None:
            return
        engine = engine_pool.engine
        # A permit for an earlier incarnation would exceed the budget of the current one.
        if engine.incarnation == permit.engine_incarnation and 0 < permit.work < MAX_WORK:
            gateway = self.socket_host.gateway
            # The received permit counts as negative usage. The usage is dated back, so that it
            # leaves the slow-start window at `usable_until`.
            spent_at = now + (usable_until - now_since_boot) - gateway.slow_start.window_ticks
            gateway.on_permit_moved(engine, -float(permit.work), spent_at)
