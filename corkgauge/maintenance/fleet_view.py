"""What one gateway knows of the fleet: engines, gateways, request classes, and its load.

Reads the host's engine pools and the member list; decides nothing. Times of the event loop and
times since boot are both tenths of a millisecond; they are never mixed.
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

DEMAND_WINDOW_SECONDS = 5  # over which the load that arrives is averaged
MAX_EJECTED_REPORTED = 24  # engines named in one report, so that it fits a datagram
UNLISTED_TICKS = 600 * SECOND  # for which an engine that the list no longer names counts as dead
UNCERTAIN_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_RESET,
    AttemptOutcome.CANCELLED,
)


@dataclass(frozen=True, slots=True)
class UnlistedEngine:
    """An engine that the endpoint list no longer names, and when that was noticed."""

    fact: EngineFact
    since_ticks: int


@dataclass(frozen=True, slots=True)
class DemandSample:
    """Requests accepted so far by request class, at a time of the event loop."""

    at_ticks: int
    accepted: dict[str, int]


class FleetView:
    """Answers what the planner and the participant ask about engines, gateways and demand."""

    def __init__(self, socket_host: ServingHost, member_list: MemberList, name: str) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.member_list = member_list
        self.name = name
        self.uncertain_until: dict[
            str, int
        ] = {}  # by engine: something of ours may still run there
        self.idle_at: dict[str, int] = {}  # by engine: when it last reported nothing in flight
        self.listed: dict[str, EngineFact] = {}  # as of the last look
        self.unlisted: dict[str, UnlistedEngine] = {}
        self.samples: deque[DemandSample] = deque(maxlen=DEMAND_WINDOW_SECONDS + 1)

    def gateways(self) -> Mapping[str, GatewayStatus]:
        """Every gateway of the fleet by name, this one among them."""
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
        """Every engine that is listed, or was until a short while ago, by its host reference."""
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
        # A dead engine soon leaves the list; forgotten at once, its cores would not count as
        # missing.
        now = ticks_since_boot()
        self.unlisted = {
            tag: missing
            for tag, missing in self.unlisted.items()
            if tag not in found and now < missing.since_ticks + UNLISTED_TICKS
        }
        for tag, fact in self.listed.items():
            if tag not in found:
                self.unlisted[tag] = UnlistedEngine(
                    replace(fact, condition=EngineCondition.DEAD), now
                )
        self.listed = found

    def ejected_engines(self) -> list[str]:
        """Host references of engines that outlier detection has ejected here, the first few."""
        gateway = self.socket_host.gateway
        now = self.event_loop.now
        ejected = [
            each.host_reference for each in gateway.engines if each.stats.ejected_until > now
        ]
        return ejected[:MAX_EJECTED_REPORTED]

    def address_of(self, tag: str) -> str:
        """Return the engine's `host:port` as listed last; empty for one that is not listed."""
        engine_pool = self.socket_host.engine_pools.get(tag)
        return "" if engine_pool is None else format_address(engine_pool.address)

    # What of ours may still run on an engine.

    def record_attempt_end(self, tag: str, outcome: int) -> None:
        """Note an attempt that ended.

        One that ended uncertainly may run on at the engine for the settling time.
        """
        if outcome in UNCERTAIN_OUTCOMES:
            now = self.event_loop.now
            self.uncertain_until[tag] = now + self.socket_host.gateway.options.settle_ticks
            if len(self.uncertain_until) > 4 * len(self.socket_host.engine_pools) + 64:
                self.uncertain_until = {
                    each: until for each, until in self.uncertain_until.items() if until > now
                }
        engine_pool = self.socket_host.engine_pools.get(tag)
        if engine_pool is not None and engine_pool.engine.stats.reported_load == 0:
            self.idle_at[tag] = ticks_since_boot()

    def idle_since(self, tags: Sequence[str]) -> int:
        """Return since when all these engines are idle, ticks since boot; -1: some never were."""
        return min((self.idle_at.get(tag, -1) for tag in tags), default=-1)

    def is_engine_quiescent(self, tag: str) -> bool:
        """Whether nothing of ours is open or uncertain at the engine, or bound to it by key."""
        if self.event_loop.now < self.uncertain_until.get(tag, 0):
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
        """Return the request classes with the cores that each needs now.

        One that `cores` does not name needs none.
        """
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
        """Take the accounting counters as they are now; called once a second."""
        rows = self.socket_host.ledger.request_classes
        accepted = {name: row.terms[Term.ACCEPTED] for name, row in rows.items()}
        self.samples.append(DemandSample(self.event_loop.now, accepted))

    def demand_cores(self) -> dict[str, float]:
        """Cores needed here by request class: arrival rate times the typical work of a request."""
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
    """Whether the request has an idempotency key and was ever sent to the engine.

    It may have run there, or in the engine's group, so it may be tried again only there.
    """
    if request.request_class.repeatability != Repeatability.KEYED:
        return False
    attempts = (*request.earlier_attempts, *request.attempts)
    return any(attempt.engine is engine for attempt in attempts)


def format_address(address: tuple[str, int]) -> str:
    """Host and port as the participant stores them.

    >>> format_address(("10.0.0.7", 7100))
    '10.0.0.7:7100'
    """
    host, port = address
    return f"{host}:{port}"
