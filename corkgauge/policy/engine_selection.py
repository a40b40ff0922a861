"""Picks the engine of the next attempt."""

from collections.abc import Sequence
from struct import pack
from typing import NamedTuple
from zlib import crc32

from corkgauge.policy.admission_price import AdmissionPrice
from corkgauge.policy.concurrency_limit import ConcurrencyLimit
from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.outlier_detection import OutlierDetector
from corkgauge.policy.placement_rules import is_cordoned_for, is_key_known_at, is_open_to
from corkgauge.policy.recent_work import RecentWork
from corkgauge.policy.records import Attempt, Cordon, Engine, Repeatability, Request, RequestClass
from corkgauge.policy.retries import possibly_executed_attempts
from corkgauge.policy.slow_start import SlowStart
from corkgauge.policy.subsetting import EngineSubset

# Threads a core by which the next engine in order must be emptier, as the group's tables are not
# cached there.
DISTANCE_PENALTY_THREADS_PER_CORE = 0.25
NEAREST_ENGINE_COUNT = 3  # engines of the order looked at first
EVEN_SHARE_FACTOR = 1.25  # of an even share of the last work, before other engines are preferred
KEYED = Repeatability.KEYED  # bound here, as reading an enum's member costs on the hot path


class EngineFilter(NamedTuple):
    """Which engines are looked at."""

    healthy: bool  # only those that do well
    untried: bool  # only those without an attempt of the request


# Engines that fail, are silent or refuse come last. Never all are left out at once: when none does
# well, the trouble is likely not theirs, and all are used.
FALLBACK_ORDER = (
    EngineFilter(True, True),
    EngineFilter(True, False),
    EngineFilter(False, True),
    EngineFilter(False, False),
)


class SelectionContext(NamedTuple):
    """What is the same for each engine that is looked at for a request."""

    request: Request
    ran: list[Attempt]  # may have run
    tried: list[Engine]
    usual_slowness: float
    order: list[Engine]
    even_work_per_core: float  # an engine with more of the last work is spare only
    work_slack: float  # thread ticks above the even work
    affinity_count: int  # engines of the order that are equally near; 0: nearness is by position
    first_affinity: int  # position of this gateway's own among them
    considers_all_engines: bool


class EngineSelector:
    """Picks the engine of the next attempt.

    Owns the hashed order of engines of each table group. Asks the health, capacity and slow-start
    modules about one engine at a time; changes none of them.
    """

    def __init__(
        self,
        host: Host,
        options: GatewayOptions,
        *,
        subset: EngineSubset,
        slowness: EngineSlowness,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
        outliers: OutlierDetector,
        price: AdmissionPrice,
        recent_work: RecentWork,
    ) -> None:
        self._host = host
        self._gateway_number = options.gateway_number
        self._subset = subset
        self._slowness = slowness
        self._slow_start = slow_start
        self._limit = limit
        self._outliers = outliers
        self._price = price
        self._recent_work = recent_work
        self._order_by_group: dict[tuple[float, float], list[Engine]] = {}
        self._engines_by_key_scope: dict[tuple[str, int], list[Engine]] = {}

    @property
    def cached_order_count(self) -> int:
        """The orders that are kept at present."""
        return len(self._order_by_group) + len(self._engines_by_key_scope)

    def clear_cached_orders(self) -> None:
        """The engines have changed, or an interval is over."""
        self._order_by_group.clear()
        self._engines_by_key_scope.clear()

    def order_for(self, table_group: float, rank_limit: float = 1.0) -> list[Engine]:
        """The subset, in the order hashed from the table group: alike at every gateway."""
        key = table_group, rank_limit
        order = self._order_by_group.get(key)
        if order is None:
            prefix = b"%d:" % int(table_group)
            # What a narrow class needs is in many subsets, and would draw all others' work from
            # each: so only engines up to the class's own rank.
            order = sorted(
                (
                    engine
                    for engine in self._subset.engines
                    if engine.cordon < Cordon.NOTHING and engine.subset_rank <= rank_limit
                ),
                key=lambda engine: (crc32(prefix + engine.hash_key), engine.hash_key),
            )
            self._order_by_group[key] = order
        return order

    def select(self, request: Request) -> Engine | None:
        """The engine to use, or None while every engine that the rules allow is at its limit."""
        search = self._prepare(request)
        for pool in FALLBACK_ORDER:
            if pool is not FALLBACK_ORDER[0]:
                outside = self.select_outside_subset(request, search.tried)
                if outside:
                    return outside
            is_any_eligible, engine = self._select_in_order(search, pool)
            if is_any_eligible:
                return engine
        return None

    def _prepare(self, request: Request) -> SelectionContext:
        usual_slowness = self._slowness.usual()
        work = request.request_class.typical_work
        order = self.order_for(request.table_group, request.request_class.subset_rank_limit)
        recent_work = sum([engine.stats.recent_work for engine in order])
        cores = sum([engine.cores for engine in order])
        most_cores = max([engine.cores for engine in order], default=0)
        affinity_count = first_affinity = 0
        work_slack = 0.0
        if self._limit.threads_per_core * most_cores < 1.0:
            work_slack = work
            affinity_count = self._affinity_count(request, len(order), recent_work)
            place = crc32(pack("<Qd", self._gateway_number, request.table_group))
            first_affinity = place * affinity_count >> 32
        # Under a price the warm engines are overrun, while permits of ones warming up further on
        # would lapse: then all of the order is looked at.
        all_warm_at = self._subset.newest_incarnation + self._slow_start.warm_up_ticks
        return SelectionContext(
            request,
            possibly_executed_attempts(request),
            [attempt.engine for attempt in request.attempts],
            usual_slowness,
            order,
            EVEN_SHARE_FACTOR * recent_work / max(cores, 1),
            work_slack,
            affinity_count,
            first_affinity,
            self._price.current > 0 and self._host.now < all_warm_at,
        )

    def _affinity_count(self, request: Request, engine_count: int, recent_work: float) -> int:
        """The affinity engines of the request's table group.

        Hundreds of gateways with a few requests each would all send a group's first to the same
        engine. A group needs as many as its part of the work is engines; each gateway begins at its
        own.
        """
        work = request.request_class.typical_work
        group_work = self._recent_work.work_of_group(request.table_group) + work
        count = EVEN_SHARE_FACTOR * engine_count * group_work / (recent_work + work)
        return min(max(int(count), 1), engine_count)

    def _select_in_order(
        self, search: SelectionContext, pool: EngineFilter
    ) -> tuple[bool, Engine | None]:
        """Whether any engine of the pool may be used, and the least loaded that has room."""
        request, ran, tried, usual_slowness, order, even_work, work_slack, *_ = search
        request_class = request.request_class
        enough = max(NEAREST_ENGINE_COUNT, search.affinity_count)
        eligible_count = 0
        near: list[tuple[float, int]] = []  # load and position
        spare: list[tuple[float, int]] = []
        for position, engine in enumerate(order):
            if (
                (not pool.untried or engine not in tried)
                and self._is_allowed(request, engine, ran)
                and (not pool.healthy or self._outliers.is_healthy(engine))
            ):
                eligible_count += 1
                if not self._limit.is_at_limit(engine, request_class, usual_slowness):
                    load = self._load(engine, request_class, usual_slowness)
                    load += self._distance_penalty(search, engine, eligible_count)
                    # A gateway with one attempt at a time sees no load at an engine that all
                    # gateways share; so its last work is spread by cores, whatever is in flight.
                    is_over_share = engine.stats.recent_work > even_work * engine.cores + work_slack
                    preference = spare if is_over_share else near
                    preference.append((load, position))
                if near and eligible_count >= enough and not search.considers_all_engines:
                    break
        if near or spare:
            return True, order[min(near or spare)[1]]
        return eligible_count > 0, None

    def _distance_penalty(
        self, search: SelectionContext, engine: Engine, eligible_count: int
    ) -> float:
        """The penalty, in threads a core, for an engine further on in the order."""
        # The permit of an engine warming up is small and lapses, so it counts as the nearest.
        if self._slow_start.is_warming_up(engine):
            return 0.0
        count = search.affinity_count
        if eligible_count <= count:
            return DISTANCE_PENALTY_THREADS_PER_CORE * (
                (eligible_count - 1 - search.first_affinity) % count
            )
        return DISTANCE_PENALTY_THREADS_PER_CORE * eligible_count

    def select_outside_subset(self, request: Request, tried: Sequence[Engine]) -> Engine | None:
        """An engine that knows the idempotency key: all of these may lie outside the subset."""
        request_class = request.request_class
        scope = request_class.key_scope
        if request_class.repeatability != KEYED or scope not in ("zone", "cell"):
            return None
        ran = possibly_executed_attempts(request)
        if not ran or self._subset.is_whole:
            return None
        usual_slowness = self._slowness.usual()
        able = [
            engine
            for engine in self._engines_in_key_scope(scope, ran[-1].engine)
            if engine not in tried and self._is_allowed(request, engine, ran)
        ]
        healthy = [engine for engine in able if self._outliers.is_healthy(engine)]
        with_room = [
            engine
            for engine in healthy or able
            if not self._limit.is_at_limit(engine, request_class, usual_slowness)
        ]
        return min(
            with_room,
            key=lambda each: (self._load(each, request_class, usual_slowness), each.subset_rank),
            default=None,
        )

    def _engines_in_key_scope(self, scope: str, engine: Engine) -> list[Engine]:
        key = scope, getattr(engine, scope)
        if key not in self._engines_by_key_scope:
            self._engines_by_key_scope[key] = [
                each for each in self._subset.zone_and_kind_of if getattr(each, scope) == key[1]
            ]
        return self._engines_by_key_scope[key]

    def _is_allowed(self, request: Request, engine: Engine, ran: list[Attempt]) -> bool:
        """The rules on where the request may go, and slow start's."""
        request_class = request.request_class
        return (
            is_open_to(request_class, engine.zone, engine.kind)
            and (not ran or is_key_known_at(request_class, engine, ran))
            and not (engine.cordon and is_cordoned_for(request, engine, ran))
            and self._slow_start.can_use(engine, request_class.typical_work)
        )

    def _load(self, engine: Engine, request_class: RequestClass, usual_slowness: float) -> float:
        """Threads a core of our own, were it sent there; a slower engine has fewer in effect."""
        pace = self._slowness.of_engine(engine.stats, usual_slowness) / usual_slowness
        if not self._price.current and self._slow_start.is_warming_up(engine):
            pace = max(pace, 1 / self._slow_start.warming_speed)
        threads = engine.threads_in_flight + request_class.threads
        return threads / engine.cores * max(1.0, pace)
