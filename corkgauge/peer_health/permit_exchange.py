"""Permits between gateways: demand measured here, unused permits offered, received ones applied.

The I/O around `PermitTransfer`: its timer, its datagrams, and what the gateway is told.
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

MAX_ENGINES_OFFERED = 40  # warming engines that are looked at, each time
OFFER_INTERVAL_TICKS = 1_000
UNSENT_REASON = 3  # place among a ledger row's reasons: the request found no engine
MAX_WORK = 1e9  # of a received permit: a wild figure would open the slow-start limit


class PermitExchange:
    """Offers the slow-start permits of one gateway and takes those of others."""

    def __init__(self, socket_host: Any, membership: Any) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.membership = membership
        self.member_list = membership.member_list
        self.transfers = PermitTransfer(socket_host.gateway.slow_start.window_ticks)
        self.unplaced_per_second = 0.0
        self._unplaced_before = 0
        self.member_list.calls[PERMIT_SUBJECT] = self.on_permit

    def start(self) -> None:
        """Begin to offer permits, where the gateway has a slow-start rule."""
        if self.socket_host.gateway.slow_start.warm_up_ticks:
            self.event_loop.call_later(OFFER_INTERVAL_TICKS, self.offer_unused)

    def measure_demand(self, period_ticks: int) -> None:
        """Set `unplaced_per_second` from the requests of the last period that found no engine."""
        rows = self.socket_host.ledger.request_classes.values()
        unplaced = sum(row.reasons[UNSENT_REASON] for row in rows)
        per_second = (unplaced - self._unplaced_before) * SECOND / max(period_ticks, 1)
        self.unplaced_per_second = max(per_second, 0.0)
        self._unplaced_before = unplaced

    def offer_unused(self) -> None:
        """Send the permits that we hold and do not need to members that do."""
        self.event_loop.call_later(OFFER_INTERVAL_TICKS, self.offer_unused)
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
        remaining_ticks = window_ticks - (now - engine.incarnation) % window_ticks
        if not work or not gateway.slow_start.has_budget(engine, work):
            return
        random_draw = self.membership.chance(2**32)
        grant = self.transfers.give(
            ticks_since_boot(), engine.host_reference, remaining_ticks, random_draw
        )
        if grant is None:
            return
        # Spent here before it is written: if we were to end in between, a permit would be lost,
        # while the other order would let it be used twice.
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
        """Add a received permit to the slow-start budget, for what is left of its window."""
        permit = decode_permit(body)
        engine_pool = self.socket_host.engine_pools.get(permit.engine)
        now = self.event_loop.now
        now_since_boot = ticks_since_boot()
        usable_until = self.transfers.accept(
            now_since_boot,
            int(permit.serial),
            int(permit.known_ticks),
            int(permit.remaining_ticks),
        )
        if not usable_until or engine_pool is None:
            return
        engine = engine_pool.engine
        # A permit for an earlier incarnation would be one too many for this one.
        if engine.incarnation == permit.engine_incarnation and 0 < permit.work < MAX_WORK:
            gateway = self.socket_host.gateway
            spent_at = now + (usable_until - now_since_boot) - gateway.slow_start.window_ticks
            gateway.on_permit_moved(engine, -float(permit.work), spent_at)
