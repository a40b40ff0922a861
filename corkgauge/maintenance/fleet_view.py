"""Collects what one gateway knows of the fleet: engines, gateways, request classes and demand.

Reads the host's engine pools and the member list; decides nothing. There are two clocks, the event
loop's and the time since boot, both in ticks (tenths of a millisecond). Times of one clock are
never compared with times of the other.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from corkgauge.accounting.counter_names import Term
from corkgauge.eventloop.clock import ticks_since_boot
from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance.capacity import (
    EngineCondition,
    EngineFact,
    GatewayStatus,
    RequestClassDemand,
)
from corkgauge.maintenance.serving_host import ServingHost
from corkgauge.membership.member_list import ALIVE, LEFT, SUSPECTED, MemberList
from corkgauge.policy.records import AttemptOutcome, EngineState, Repeatability

DEMAND_WINDOW_SECONDS = 5  # the arrival rate is averaged over this time
MAX_EJECTED_REPORTED = 24  # engines named in one report, so that it fits in a datagram
UNLISTED_RETENTION_TICKS = 600 * SECOND  # an engine no longer listed counts as dead this long
# After these outcomes the engine may still execute the attempt.
UNCERTAIN_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_RESET,
    AttemptOutcome.CANCELLED,
)


@dataclass(frozen=True, slots=True)
class UnlistedEngine:
    """An engine that the endpoint list no longer names; `since_ticks` is when this was noticed."""

    fact: EngineFact
    since_ticks: int


@dataclass(frozen=True, slots=True)
class DemandSample:
    """Totals of accepted requests by request class at `at_ticks` of the event loop."""

    at_ticks: int
    accepted: dict[str, int]


class FleetView:
    """Provides the planner and the participant with facts on engines, gateways and demand."""

    def __init__(self, socket_host: ServingHost, member_list: MemberList, name: str) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.member_list = member_list
        self.name = name
        # By engine: until when it may still execute an attempt of uncertain outcome.
        self.uncertain_until_ticks: dict[str, int] = {}
        # By engine: when it last reported nothing in flight.
        self.last_idle_ticks: dict[str, int] = {}
        self.last_listed: dict[str, EngineFact] = {}  # at the previous call of `engines`
        self.unlisted: dict[str, UnlistedEngine] = {}
        self.samples: deque[DemandSample] = deque(maxlen=DEMAND_WINDOW_SECONDS + 1)

    def gateways(self) -> Mapping[str, GatewayStatus]:
        """Return the status of every gateway of the fleet by name, including this gateway."""
        statuses = {
            member.name: GatewayStatus(
                member.zone, member.state in (ALIVE, SUSPECTED), member.state == LEFT
            )
            for member in self.member_list.members.values()
        }
        statuses[self.name] = GatewayStatus(self.member_list.zone, True, False)
        return statuses

    # Engines.

    def engines(self) -> Mapping[str, EngineFact]:
        """Return every listed or recently unlisted engine by host reference."""
        key_scopes = {
            request_class.key_scope
            for request_class in self.socket_host.settings.request_classes
            if request_class.repeatability == Repeatability.KEYED
        }
        found = {
            tag: self._engine_fact(tag, engine_pool.engine, key_scopes)
            for tag, engine_pool in self.socket_host.engine_pools.items()
        }
        self._remember_unlisted(found)
        return {**{tag: missing.fact for tag, missing in self.unlisted.items()}, **found}

    def _engine_fact(self, tag: str, engine: Any, key_scopes: set[str]) -> EngineFact:
        settings = self.socket_host.settings
        zone = str(settings.zones[engine.zone])
        group = None
        if "cell" in key_scopes:
            group = str(engine.cell)
        elif "zone" in key_scopes:
            group = zone
        kind = str(settings.engine_kinds[engine.kind])
        return EngineFact(tag, zone, kind, group, engine.cores, self._condition(engine))

    def _condition(self, engine: Any) -> EngineCondition:
        now = self.event_loop.now
        gateway = self.socket_host.gateway
        if engine.state != EngineState.READY:
            return EngineCondition.DEAD
        if gateway.slow_start.is_warming_up(engine) or engine.stats.ejected_until > now:
            return EngineCondition.IMPAIRED
        return EngineCondition.HEALTHY

    def _remember_unlisted(self, found: dict[str, EngineFact]) -> None:
        # Discovery soon removes a dead engine from the list. If it were dropped here at once, its
        # cores would no longer count as missing.
        now = ticks_since_boot()
        self.unlisted = {
            tag: missing
            for tag, missing in self.unlisted.items()
            if tag not in found and now < missing.since_ticks + UNLISTED_RETENTION_TICKS
        }
        for tag, fact in self.last_listed.items():
            if tag not in found:
                self.unlisted[tag] = UnlistedEngine(
                    replace(fact, condition=EngineCondition.DEAD), now
                )
        self.last_listed = found

    def ejected_engines(self) -> list[str]:
        """Return at most MAX_EJECTED_REPORTED engines that outlier detection ejected here."""
        gateway = self.socket_host.gateway
        now = self.event_loop.now
        ejected = [
            each.host_reference for each in gateway.engines if each.stats.ejected_until > now
        ]
        return ejected[:MAX_EJECTED_REPORTED]

    def address_of(self, tag: str) -> str:
        """Return the engine's current `host:port`; empty for an engine that is not listed."""
        engine_pool = self.socket_host.engine_pools.get(tag)
        return "" if engine_pool is None else format_address(engine_pool.address)

    # Attempts of this gateway that an engine may still execute.

    def record_attempt_end(self, tag: str, outcome: int) -> None:
        """Record the end of an attempt.

        An attempt of uncertain outcome may run at the engine for up to `settle_ticks` more.
        """
        if outcome in UNCERTAIN_OUTCOMES:
            now = self.event_loop.now
            self.uncertain_until_ticks[tag] = now + self.socket_host.gateway.options.settle_ticks
            if len(self.uncertain_until_ticks) > 4 * len(self.socket_host.engine_pools) + 64:
                self.uncertain_until_ticks = {
                    each: until for each, until in self.uncertain_until_ticks.items() if until > now
                }
        engine_pool = self.socket_host.engine_pools.get(tag)
        if engine_pool is not None and engine_pool.engine.stats.reported_load == 0:
            self.last_idle_ticks[tag] = ticks_since_boot()

    def idle_since(self, tags: Sequence[str]) -> int:
        """Return the earliest of the times at which these engines last reported to be idle.

        In ticks since boot; -1 if one of them never reported to be idle.
        """
        return min((self.last_idle_ticks.get(tag, -1) for tag in tags), default=-1)

    def is_engine_quiescent(self, tag: str) -> bool:
        """Return whether the engine executes no attempt of this gateway, and none is bound to it.

        A keyed request is bound to every engine that one of its attempts was sent to.
        """
        if self.event_loop.now < self.uncertain_until_ticks.get(tag, 0):
            return False
        engine_pool = self.socket_host.engine_pools.get(tag)
        if engine_pool is None:
            return True
        engine = engine_pool.engine
        if engine_pool.waiting or engine.stats.in_flight:
            return False
        if any(connection.open for connection in engine_pool.links):
            return False
        return not any(
            _is_keyed_to(request, engine) for request in self.socket_host.open_requests.values()
        )

    # Demand.

    def request_classes(self, cores: Mapping[str, float]) -> Sequence[RequestClassDemand]:
        """Return the demand of each request class; a class missing in `cores` needs no cores."""
        settings = self.socket_host.settings
        return [
            RequestClassDemand(
                request_class.name,
                frozenset(str(settings.zones[n]) for n in request_class.zones),
                frozenset(str(settings.engine_kinds[n]) for n in request_class.engine_kinds),
                cores.get(request_class.name, 0.0),
            )
            for request_class in settings.request_classes
        ]

    def sample_demand(self) -> None:
        """Record the current totals of accepted requests; called once a second."""
        rows = self.socket_host.ledger.request_classes
        accepted = {name: row.terms[Term.ACCEPTED] for name, row in rows.items()}
        self.samples.append(DemandSample(self.event_loop.now, accepted))

    def demand_cores(self) -> dict[str, float]:
        """Return the cores needed here by request class: arrival rate times typical work."""
        first, last = self.samples[0], self.samples[-1]
        span_ticks = last.at_ticks - first.at_ticks
        if span_ticks <= 0:
            return {}
        known_classes = self.socket_host.request_classes
        cores = {}
        for name, accepted in last.accepted.items():
            arrived = accepted - first.accepted.get(name, 0)
            if name in known_classes and arrived > 0:
                cores[name] = arrived * known_classes[name].typical_work / span_ticks
        return cores


def _is_keyed_to(request: Any, engine: Any) -> bool:
    """Return whether the request has an idempotency key and was ever sent to the engine.

    Such a request may have been executed there, so it may be retried only on that engine or in its
    group, where the key is known.
    """
    if request.request_class.repeatability != Repeatability.KEYED:
        return False
    attempts = (*request.earlier_attempts, *request.attempts)
    return any(attempt.engine is engine for attempt in attempts)


def format_address(address: tuple[str, int]) -> str:
    """Return `host:port`, the form in which the participant stores addresses.

    >>> format_address(("10.0.0.7", 7100))
    '10.0.0.7:7100'
    """
    host, port = address
    return f"{host}:{port}"
