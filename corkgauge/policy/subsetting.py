"""Selects the engines of this gateway: a short list whole, a deterministic subset of a long one."""

from bisect import bisect_right, insort
from statistics import fmean
from struct import pack
from zlib import crc32

from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.outlier_detection import is_trusted
from corkgauge.policy.placement_rules import is_open_to
from corkgauge.policy.records import Engine, EngineState, RequestClass
from corkgauge.policy.units import MIN_SAMPLES

GOLDEN_RATIO = 0.618034  # its multiples modulo 1 are evenly spread
RANK_BITS = 20  # low bits of a gateway's number that determine its ranks
MAX_WHOLE_LIST_ENGINE_COUNT = 128  # lists up to this size are used whole
BASE_ENGINE_COUNT = 48  # engines of a subset without growth
SUBSETS_PER_ENGINE = 16  # least mean number of subsets that contain an engine
ENGINES_PER_CLASS = 8  # mean number of engines in a subset for a class with few allowed engines
MIN_HEALTHY_ENGINES = MIN_SAMPLES  # fewest healthy engines in a subset for each request class
GROWTH_STEP_FRACTION = 0.2  # per interval; a subset shrinks by at most half as much
MAX_FAILURE_GROWTH_FACTOR = 2.0  # growth of a subset to replace failing engines
# Requested threads over this gateway's part of the initial concurrency limit of all engines; above
# this ratio, the subset grows.
LOAD_THRESHOLD_FACTOR = 1.5
MAX_LOAD_GROWTH_FACTOR = 4.0  # growth of a subset by the requested threads
# Ratios of the new to the current growth that change nothing. If the subset changed with each swing
# of the traffic, its engines would never be warm.
LOAD_DEADBAND = (0.7, 1.4)
# Ratios of the current to the target fraction at which a list change does not resize the subset.
LIST_DEADBAND = (0.5, 2.0)

ZoneAndKind = tuple[int, int]  # zone and engine kind


def subset_rank(gateway_number: int, hash_key: bytes) -> float:
    """The rank of a gateway for an engine, in (0, 1).

    Gateway numbers form blocks of 2, 4, 8 and so on. In each block, a hash of engine and block
    picks one of the two halves. A gateway in the picked half of its `level` smallest blocks has a
    rank from 2^-(level + 1) to 2^-level. So in each block of 2^i gateways exactly one has a rank
    below 2^-i, and all engines are in nearly the same number of subsets.
    """
    number = gateway_number % (1 << RANK_BITS)
    hashed = crc32(hash_key) + 1
    level = 0
    # CRC32 is linear. Without the product, many gateways would have exactly the same subset.
    while level < RANK_BITS and number >> level & 1 == 1 & crc32(
        pack("<Q", hashed * (64 * (number >> level + 1) + 2 * level + 1))
    ):
        level += 1
    spread = ((number >> level + 1) * GOLDEN_RATIO + hashed / 2**32) % 1
    return (1 + spread) / (1 << level + 1)


class EngineSubset:
    """Holds the ready engines by zone, kind and rank, and selects the subset from them."""

    def __init__(
        self, host: Host, options: GatewayOptions, request_classes: list[RequestClass]
    ) -> None:
        self._host = host
        self._gateway_number = options.gateway_number
        self._gateway_count = options.gateway_count
        self.request_classes = request_classes
        self.engines: list[Engine] = []  # the subset
        self.zone_and_kind_of: dict[Engine, ZoneAndKind] = {}  # all ready engines
        self._engines_by_zone_and_kind: dict[ZoneAndKind, list[Engine]] = {}  # by rank
        self._fraction = 0.0  # rank up to which engines are in the subset, 0 to 1 or more
        # Factors of the subset's size. A model sets `failure_growth` to predict a larger subset.
        self.failure_growth = 1.0
        self._load_growth = 1.0
        self.newest_incarnation = 0  # ticks

    @property
    def is_whole(self) -> bool:
        """Whether the subset contains every ready engine."""
        return len(self.engines) == len(self.zone_and_kind_of)

    def update_engine(self, engine: Engine) -> None:
        """Store an engine's state, zone and kind; `rebuild` applies the change to the subset."""
        previous_zone_and_kind = self.zone_and_kind_of.pop(engine, None)
        if previous_zone_and_kind:
            self._engines_by_zone_and_kind[previous_zone_and_kind].remove(engine)
        if engine.state == EngineState.READY:
            zone_and_kind = engine.zone, engine.kind
            self.zone_and_kind_of[engine] = zone_and_kind
            engine.subset_rank = subset_rank(self._gateway_number, engine.hash_key)
            ranked = self._engines_by_zone_and_kind.setdefault(zone_and_kind, [])
            insort(ranked, engine, key=lambda each: each.subset_rank)

    def target_fraction(self) -> float:
        """The fraction of all ready engines that the subset should contain; 1 or more: all."""
        count = max(len(self.zone_and_kind_of), 1)
        size = max(
            BASE_ENGINE_COUNT,
            MAX_WHOLE_LIST_ENGINE_COUNT**2 / count,
            SUBSETS_PER_ENGINE * count / self._gateway_count,
        )
        return size * self.failure_growth * self._load_growth / count

    def apply_list_change(self) -> None:
        """Rebuild after a change of the endpoint list.

        Only a large change of the target fraction applies at once; smaller changes wait for
        `update`. Otherwise, after the loss of a zone, all gateways would connect to other engines
        at the same time.
        """
        target = self.target_fraction()
        least, most = LIST_DEADBAND
        if target >= 1.0 or not least <= self._fraction / target <= most:
            self._fraction = target
        self.rebuild()

    def update(self, requested_threads: float, threads_per_core: float) -> None:
        """Resize the subset by failing engines and by the work requested of this gateway."""
        size = len(self.engines)
        unhealthy = sum(not is_trusted(engine.stats) for engine in self.engines)
        growth_before = self.failure_growth
        self.failure_growth = min(size / max(size - unhealthy, 1), MAX_FAILURE_GROWTH_FACTOR)
        self._update_load_growth(requested_threads, threads_per_core)
        # Bounded steps: after the loss of a zone, all gateways would otherwise connect to all other
        # engines at once.
        change = max(
            self.target_fraction() - self._fraction, -GROWTH_STEP_FRACTION / 2 * self._fraction
        )
        self._fraction += min(change, GROWTH_STEP_FRACTION * self._fraction)
        self.rebuild()
        threshold = 1 + GROWTH_STEP_FRACTION
        if (self.failure_growth > threshold) != (growth_before > threshold):
            size_change = "wider" if self.failure_growth > growth_before else "as before"
            self._host.log(f"set {size_change}: {len(self.engines)} engines")

    def _update_load_growth(self, requested_threads: float, threads_per_core: float) -> None:
        mean_cores = fmean([engine.cores for engine in self.engines] or [1.0])
        threshold = (
            threads_per_core * mean_cores * len(self.zone_and_kind_of) * LOAD_THRESHOLD_FACTOR
        )
        growth = min(max(requested_threads / threshold, 1.0), MAX_LOAD_GROWTH_FACTOR)
        least, most = LOAD_DEADBAND
        if not least < growth / self._load_growth < most:
            self._load_growth = growth

    def rebuild(self) -> None:
        """Select the engines of each zone and kind, up to the highest rank limit of its classes."""
        limits = dict.fromkeys(self._engines_by_zone_and_kind, self._fraction)
        for request_class in self.request_classes:
            zones_and_kinds = [
                zone_and_kind
                for zone_and_kind in self._engines_by_zone_and_kind
                if is_open_to(request_class, *zone_and_kind)
            ]
            request_class.subset_rank_limit = self._rank_limit(zones_and_kinds)
            for zone_and_kind in zones_and_kinds:
                limits[zone_and_kind] = max(limits[zone_and_kind], request_class.subset_rank_limit)
        engines_before = self.engines
        self.engines = [
            engine
            for zone_and_kind, limit in limits.items()
            for engine in self._up_to_rank(zone_and_kind, limit)
        ]
        for engine in engines_before:
            engine.in_subset = False
        for engine in self.engines:
            engine.in_subset = True
        self.newest_incarnation = max((each.incarnation for each in self.engines), default=0)

    def _rank_limit(self, zones_and_kinds: list[ZoneAndKind]) -> float:
        """The rank up to which engines of these zones and kinds serve a class.

        With the common limit, a subset could contain no engine of a rare or failing kind. So the
        limit is raised until the subset contains MIN_HEALTHY_ENGINES of them, if there are as many.
        """
        count = sum(
            len(self._engines_by_zone_and_kind[zone_and_kind]) for zone_and_kind in zones_and_kinds
        )
        class_limit = ENGINES_PER_CLASS * self.failure_growth / max(count, 1)
        limit = min(max(self._fraction, class_limit), 1.0)
        healthy_count = sum(
            is_trusted(engine.stats)
            for zone_and_kind in zones_and_kinds
            for engine in self._up_to_rank(zone_and_kind, limit)
        )
        if healthy_count >= MIN_HEALTHY_ENGINES:
            return limit
        healthy_ranks = sorted(
            engine.subset_rank
            for zone_and_kind in zones_and_kinds
            for engine in self._engines_by_zone_and_kind[zone_and_kind]
            if is_trusted(engine.stats)
        )
        return (healthy_ranks + MIN_HEALTHY_ENGINES * [1.0])[MIN_HEALTHY_ENGINES - 1]

    def _up_to_rank(self, zone_and_kind: ZoneAndKind, limit: float) -> list[Engine]:
        engines = self._engines_by_zone_and_kind[zone_and_kind]
        return engines[: bisect_right(engines, limit, key=lambda each: each.subset_rank)]
