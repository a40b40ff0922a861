"""The engines that this gateway uses: all of a short list, a deterministic subset of a long one."""

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

GOLDEN_RATIO = 0.618034  # its multiples, modulo 1, lie evenly
RANK_BITS = 20  # of a gateway's number, that ranks are made of
MAX_WHOLE_LIST_ENGINE_COUNT = 128  # engines in a list that is used whole
BASE_ENGINE_COUNT = 48  # engines of a subset
SUBSETS_PER_ENGINE = 16  # subsets that each engine is in
ENGINES_PER_CLASS = 8  # engines of a subset for any request class
MIN_HEALTHY_ENGINES = MIN_SAMPLES  # of a subset for any request class
GROWTH_STEP_FRACTION = 0.2  # part by which a subset grows in an interval; it shrinks by half of it
MAX_FAILURE_GROWTH_FACTOR = 2.0  # of a subset, as engines of it do badly
LOAD_THRESHOLD_FACTOR = (
    1.5  # times its part of the traffic, where a gateway's subset begins to grow
)
MAX_LOAD_GROWTH_FACTOR = 4.0
LOAD_DEADBAND = (0.7, 1.4)  # a subset that follows each swing of traffic is never warm
LIST_DEADBAND = (0.5, 2.0)  # change of the wanted part that is followed at once

ZoneAndKind = tuple[int, int]  # zone and engine kind


def subset_rank(gateway_number: int, hash_key: bytes) -> float:
    """Where a gateway comes among all for an engine, in (0, 1): a knock-out by blocks of 2^i."""
    number = gateway_number % (1 << RANK_BITS)
    hashed = crc32(hash_key) + 1
    level = 0
    # Checksums are linear: without the product many gateways would hold the very same subset.
    while level < RANK_BITS and number >> level & 1 == 1 & crc32(
        pack("<Q", hashed * (64 * (number >> level + 1) + 2 * level + 1))
    ):
        level += 1
    spread = ((number >> level + 1) * GOLDEN_RATIO + hashed / 2**32) % 1
    return (1 + spread) / (1 << level + 1)


class EngineSubset:
    """Owns the ready engines by place and rank, and which of them are in the subset."""

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
        self._fraction = 0.0  # rank up to which engines are in the subset
        self.failure_growth = 1.0  # settable, as a model foretells a wider subset
        self._load_growth = 1.0
        self.newest_incarnation = 0  # ticks

    @property
    def is_whole(self) -> bool:
        """Whether every ready engine is in it."""
        return len(self.engines) == len(self.zone_and_kind_of)

    def update_engine(self, engine: Engine) -> None:
        """Follow an engine's state, zone and kind; `rebuild` makes it count."""
        place_before = self.zone_and_kind_of.pop(engine, None)
        if place_before:
            self._engines_by_zone_and_kind[place_before].remove(engine)
        if engine.state == EngineState.READY:
            place = engine.zone, engine.kind
            self.zone_and_kind_of[engine] = place
            engine.subset_rank = subset_rank(self._gateway_number, engine.hash_key)
            ranked = self._engines_by_zone_and_kind.setdefault(place, [])
            insort(ranked, engine, key=lambda each: each.subset_rank)

    def target_fraction(self) -> float:
        """How large a part of all engines the subset should be; 1 or more: all."""
        count = max(len(self.zone_and_kind_of), 1)
        size = max(
            BASE_ENGINE_COUNT,
            MAX_WHOLE_LIST_ENGINE_COUNT**2 / count,
            SUBSETS_PER_ENGINE * count / self._gateway_count,
        )
        return size * self.failure_growth * self._load_growth / count

    def apply_list_change(self) -> None:
        """The list was changed; only a large change of the wanted part counts at once.

        As a zone goes, all gateways would connect to others at once; so smaller changes wait for
        `update`.
        """
        wanted = self.target_fraction()
        least, most = LIST_DEADBAND
        if wanted >= 1.0 or not least <= self._fraction / wanted <= most:
            self._fraction = wanted
        self.rebuild()

    def update(self, requested_threads: float, threads_per_core: float) -> None:
        """Grow while engines of it do badly, or this gateway has several times its part of work."""
        size = len(self.engines)
        unhealthy = sum(not is_trusted(engine.stats) for engine in self.engines)
        growth_before = self.failure_growth
        self.failure_growth = min(size / max(size - unhealthy, 1), MAX_FAILURE_GROWTH_FACTOR)
        self._update_load_growth(requested_threads, threads_per_core)
        # With a zone lost, all gateways would connect to all others at once; so by bounded steps.
        change = max(
            self.target_fraction() - self._fraction, -GROWTH_STEP_FRACTION / 2 * self._fraction
        )
        self._fraction += min(change, GROWTH_STEP_FRACTION * self._fraction)
        self.rebuild()
        threshold = 1 + GROWTH_STEP_FRACTION
        if (self.failure_growth > threshold) != (growth_before > threshold):
            how = "wider" if self.failure_growth > growth_before else "as before"
            self._host.log(f"set {how}: {len(self.engines)} engines")

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
        """Take of each place the first by rank, up to the highest limit of its classes."""
        limits = dict.fromkeys(self._engines_by_zone_and_kind, self._fraction)
        for request_class in self.request_classes:
            places = [
                place
                for place in self._engines_by_zone_and_kind
                if is_open_to(request_class, *place)
            ]
            request_class.subset_rank_limit = self._rank_limit(places)
            for place in places:
                limits[place] = max(limits[place], request_class.subset_rank_limit)
        engines_before = self.engines
        self.engines = [
            engine for place, limit in limits.items() for engine in self._up_to_rank(place, limit)
        ]
        for engine in engines_before:
            engine.in_subset = False
        for engine in self.engines:
            engine.in_subset = True
        self.newest_incarnation = max((e.incarnation for e in self.engines), default=0)

    def _rank_limit(self, places: list[ZoneAndKind]) -> float:
        """The rank up to which engines of these places serve a class.

        A rare or failing engine kind could have no member in the subset: the limit is raised until
        MIN_HEALTHY_ENGINES are in.
        """
        count = sum(len(self._engines_by_zone_and_kind[place]) for place in places)
        enough = ENGINES_PER_CLASS * self.failure_growth / max(count, 1)
        limit = min(max(self._fraction, enough), 1.0)
        healthy_count = sum(
            is_trusted(engine.stats)
            for place in places
            for engine in self._up_to_rank(place, limit)
        )
        if healthy_count >= MIN_HEALTHY_ENGINES:
            return limit
        healthy_ranks = sorted(
            engine.subset_rank
            for place in places
            for engine in self._engines_by_zone_and_kind[place]
            if is_trusted(engine.stats)
        )
        return (healthy_ranks + MIN_HEALTHY_ENGINES * [1.0])[MIN_HEALTHY_ENGINES - 1]

    def _up_to_rank(self, place: ZoneAndKind, limit: float) -> list[Engine]:
        engines = self._engines_by_zone_and_kind[place]
        return engines[: bisect_right(engines, limit, key=lambda each: each.subset_rank)]
