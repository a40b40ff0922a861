"""Selects the engine of the next attempt."""

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

# An engine one position further in the hashed order is preferred only if its load is lower by this,
# since the tables of the table group are less likely to be cached there.
DISTANCE_PENALTY_THREADS_PER_CORE = 0.25
NEAREST_ENGINE_COUNT = 3  # allowed engines from the start of the hashed order, considered first
# An engine with more than this times the mean recent work per core is used only as a fallback. A
# table group has this times as many affinity engines as its fraction of the recent work amounts to.
EVEN_SHARE_FACTOR = 1.25
KEYED = Repeatability.KEYED  # a constant here, as enum access is slow on the hot path


class EngineFilter(NamedTuple):
    """Restricts the engines that are considered."""

    healthy: bool  # consider only healthy engines
    untried: bool  # consider only engines without an attempt of the request


# Engines that fail, are silent or cannot be reached are considered last. If no engine is healthy,
# the cause is probably elsewhere, so all engines are used.
FALLBACK_ORDER = (
    EngineFilter(True, True),
    EngineFilter(True, False),
    EngineFilter(False, True),
    EngineFilter(False, False),
)


class SelectionContext(NamedTuple):
    """Holds what is equal for all engines that are considered for one request."""

    request: Request
    possibly_executed: list[Attempt]  # attempts of the request that may have run
    tried: list[Engine]  # engines of the request's attempts
    median_slowness: float
    order: list[Engine]
    even_work_per_core: float  # EVEN_SHARE_FACTOR times the mean recent work per core
    work_slack: float  # thread ticks of recent work that an engine may have above the even work
    affinity_count: int  # affinity engines, the first allowed ones; 0: penalty by position
    first_affinity: int  # position of this gateway's first choice among them
    considers_all_engines: bool  # whether the search covers the whole order


class EngineSelector:
    """Selects the engine of the next attempt.

    Caches the hashed order of the engines for each table group. Reads the state of the health,
    limit and slow-start modules, and changes none of it.
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
        """The number of cached orders."""
        return len(self._order_by_group) + len(self._engines_by_key_scope)

    def clear_cached_orders(self) -> None:
        """Clear the cached orders, after a change of the engines or at the end of an interval."""
        self._order_by_group.clear()
        self._engines_by_key_scope.clear()

    def order_for(self, table_group: float, rank_limit: float = 1.0) -> list[Engine]:
        """Engines of the subset, sorted by a hash of table group and engine.

        Contains engines up to the rank limit, except those that a cordon closes to all attempts.
        Two gateways sort the engines that both have in the same order.
        """
        key = table_group, rank_limit
        order = self._order_by_group.get(key)
        if order is None:
            prefix = b"%d:" % int(table_group)
            # Engines of a rare kind are in the subsets of many gateways, which need them for one
            # class. Without the rank limit of each class, all these gateways would also send them
            # the requests of other classes.
            order = sorted(
                (
                    engine
                    for engine in self._subset.engines
                    if engine.cordon < Cordon.NO_ATTEMPTS and engine.subset_rank <= rank_limit
                ),
                key=lambda engine: (crc32(prefix + engine.hash_key), engine.hash_key),
            )
            self._order_by_group[key] = order
        return order

    def select(self, request: Request) -> Engine | None:
        """The engine for the next attempt of a request, or None if the request must wait.

        The first filter of FALLBACK_ORDER that leaves an allowed engine decides: if all engines
        that it leaves are at their limits, the result is None. Before the second and later filters,
        `select_in_key_scope` is tried.
        """
        context = self._prepare(request)
        for engine_filter in FALLBACK_ORDER:
            if engine_filter is not FALLBACK_ORDER[0]:
                scope_engine = self.select_in_key_scope(request, context.tried)
                if scope_engine:
                    return scope_engine
            is_any_eligible, engine = self._select_in_order(context, engine_filter)
            if is_any_eligible:
                return engine
        return None

    def _prepare(self, request: Request) -> SelectionContext:
        median_slowness = self._slowness.median_of_engines()
        work = request.request_class.typical_work
        order = self.order_for(request.table_group, request.request_class.subset_rank_limit)
        recent_work = sum([engine.stats.recent_work for engine in order])
        cores = sum([engine.cores for engine in order])
        most_cores = max([engine.cores for engine in order], default=0)
        affinity_count = first_affinity = 0
        work_slack = 0.0
        # True if this gateway's part of the limit of the largest engine is below one thread.
        if self._limit.threads_per_core * most_cores < 1.0:
            work_slack = work
            affinity_count = self._affinity_count(request, len(order), recent_work)
            hashed_position = crc32(pack("<Qd", self._gateway_number, request.table_group))
            first_affinity = hashed_position * affinity_count >> 32
        # While there is an admission price, warm engines are overloaded, and the unused slow-start
        # budget of engines later in the order would lapse. So the whole order is considered.
        all_warm_at = self._subset.newest_incarnation + self._slow_start.warm_up_ticks
        return SelectionContext(
            request,
            possibly_executed_attempts(request),
            [attempt.engine for attempt in request.attempts],
            median_slowness,
            order,
            EVEN_SHARE_FACTOR * recent_work / max(cores, 1),
            work_slack,
            affinity_count,
            first_affinity,
            self._price.current > 0 and self._host.now < all_warm_at,
        )

    def _affinity_count(self, request: Request, engine_count: int, recent_work: float) -> int:
        """The number of affinity engines of the request's table group.

        Without affinity engines, hundreds of gateways with a few requests each would all send a
        table group's first request to the same engine. The fraction of engines is EVEN_SHARE_FACTOR
        times the table group's fraction of the recent work. A hash spreads the first choices of the
        gateways over them.
        """
        work = request.request_class.typical_work
        group_work = self._recent_work.work_of_group(request.table_group) + work
        count = EVEN_SHARE_FACTOR * engine_count * group_work / (recent_work + work)
        return min(max(int(count), 1), engine_count)

    def _select_in_order(
        self, context: SelectionContext, engine_filter: EngineFilter
    ) -> tuple[bool, Engine | None]:
        """Whether the filter leaves an allowed engine, and the engine to use or None.

        Chosen is the least load plus distance penalty among the engines below their limits. Engines
        above the even work are chosen only if no other engine is left.
        """
        request, possibly_executed, tried, median_slowness, order, even_work, work_slack, *_ = (
            context
        )
        request_class = request.request_class
        required_count = max(NEAREST_ENGINE_COUNT, context.affinity_count)
        eligible_count = 0
        preferred: list[tuple[float, int]] = []  # load and position
        fallback: list[tuple[float, int]] = []
        for position, engine in enumerate(order):
            if (
                (not engine_filter.untried or engine not in tried)
                and self._is_allowed(request, engine, possibly_executed)
                and (not engine_filter.healthy or self._outliers.is_healthy(engine))
            ):
                eligible_count += 1
                if not self._limit.is_at_limit(engine, request_class, median_slowness):
                    load = self._load(engine, request_class, median_slowness)
                    load += self._distance_penalty(context, engine, eligible_count)
                    # The load counts only this gateway's attempts. A gateway with one attempt at a
                    # time finds no load anywhere, so its recent work is spread by cores instead.
                    is_over_share = engine.stats.recent_work > even_work * engine.cores + work_slack
                    preference = fallback if is_over_share else preferred
                    preference.append((load, position))
                if (
                    preferred
                    and eligible_count >= required_count
                    and not context.considers_all_engines
                ):
                    break
        if preferred or fallback:
            return True, order[min(preferred or fallback)[1]]
        return eligible_count > 0, None

    def _distance_penalty(
        self, context: SelectionContext, engine: Engine, eligible_position: int
    ) -> float:
        """The penalty for an engine that is not first in the order, in threads per core.

        `eligible_position` counts the engines that the filter leaves, from 1.
        """
        # The slow-start budget of an engine is small and lapses if unused, so no penalty.
        if self._slow_start.is_warming_up(engine):
            return 0.0
        count = context.affinity_count
        if eligible_position <= count:
            return DISTANCE_PENALTY_THREADS_PER_CORE * (
                (eligible_position - 1 - context.first_affinity) % count
            )
        return DISTANCE_PENALTY_THREADS_PER_CORE * eligible_position

    def select_in_key_scope(self, request: Request, tried: Sequence[Engine]) -> Engine | None:
        """The least loaded untried engine in the scope of the idempotency key, or None.

        Searches all ready engines of the key's zone or cell, in the subset or not: all engines that
        know the key may be outside the subset. Unhealthy engines are used only if no other is
        allowed. Returns None if the request may use any engine or the subset is whole.
        """
        request_class = request.request_class
        scope = request_class.key_scope
        if request_class.repeatability != KEYED or scope not in ("zone", "cell"):
            return None
        possibly_executed = possibly_executed_attempts(request)
        if not possibly_executed or self._subset.is_whole:
            return None
        median_slowness = self._slowness.median_of_engines()
        allowed = [
            engine
            for engine in self._engines_in_key_scope(scope, possibly_executed[-1].engine)
            if engine not in tried and self._is_allowed(request, engine, possibly_executed)
        ]
        healthy = [engine for engine in allowed if self._outliers.is_healthy(engine)]
        with_room = [
            engine
            for engine in healthy or allowed
            if not self._limit.is_at_limit(engine, request_class, median_slowness)
        ]
        return min(
            with_room,
            key=lambda each: (self._load(each, request_class, median_slowness), each.subset_rank),
            default=None,
        )

    def _engines_in_key_scope(self, scope: str, engine: Engine) -> list[Engine]:
        key = scope, getattr(engine, scope)
        if key not in self._engines_by_key_scope:
            self._engines_by_key_scope[key] = [
                each for each in self._subset.zone_and_kind_of if getattr(each, scope) == key[1]
            ]
        return self._engines_by_key_scope[key]

    def _is_allowed(
        self, request: Request, engine: Engine, possibly_executed: list[Attempt]
    ) -> bool:
        """Whether the placement rules and slow start allow the request on this engine."""
        request_class = request.request_class
        return (
            is_open_to(request_class, engine.zone, engine.kind)
            and (not possibly_executed or is_key_known_at(request_class, engine, possibly_executed))
            and not (engine.cordon and is_cordoned_for(request, engine, possibly_executed))
            and self._slow_start.can_use(engine, request_class.typical_work)
        )

    def _load(self, engine: Engine, request_class: RequestClass, median_slowness: float) -> float:
        """This gateway's threads per core with the new attempt, scaled up for a slower engine."""
        slowdown = self._slowness.estimate_for(engine.stats, median_slowness) / median_slowness
        if not self._price.current and self._slow_start.is_warming_up(engine):
            slowdown = max(slowdown, 1 / self._slow_start.warming_speed)
        threads = engine.threads_in_flight + request_class.threads
        return threads / engine.cores * max(1.0, slowdown)
