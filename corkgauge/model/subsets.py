"""Subsetting algorithms that docs/subsetting.md compares, as pure functions.

Each algorithm selects the engines of one gateway from a list. This module must never do I/O, keep
state between calls, or be imported by a serving gateway. `tournament_subset` was written from the
document and not from corkgauge/policy/subsetting.py, so that a test can compare the two. Engines
are identified by integers below 2^64, and gateways are numbered from 0. A list may have any
identifiers in any order; algorithms that depend on positions sort it first, since all gateways must
use the same order.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from heapq import nsmallest

GOLDEN_RATIO = (
    0.6180339887498949  # multiples modulo 1 are evenly spread (three-distance theorem, Sós 1958)
)
WORD_MASK = (1 << 64) - 1
BASE_ENGINE_COUNT, MAX_WHOLE_LIST_ENGINE_COUNT, SUBSETS_PER_ENGINE = (
    48,
    128,
    16,
)  # engines of a subset; longest list that is used whole; least mean number of subsets per engine
EXPECTED_ENGINES_PER_CLASS, MIN_ENGINES_PER_CLASS = (
    8,
    3,
)  # engines of a subset that a request class may use: expected number, least number
LOAD_THRESHOLD_FACTOR, MAX_LOAD_GROWTH_FACTOR, MIN_CHANGE_FACTOR = (
    1.5,
    4.0,
    1.4,
)  # load above which a subset grows, over the equal part; largest growth; least change

ZoneAndKind = tuple[int, int]  # zone and engine kind


def mix_hash(first: int, second: int, third: int = 0) -> int:
    """Hash three numbers to 64 bits, as in splitmix64 (Steele, Lea, Flood 2014).

    The products make the hash nonlinear over GF(2). With a linear hash, such as a CRC of the joined
    fields, the pattern of winners would be the same for all engines up to a shift, and the subsets
    would form disjoint shards.

    >>> len({mix_hash(a, b, c) & 0xffffffff for a in range(9) for b in range(9) for c in range(9)})
    729
    """
    word = (
        first * 0x9E3779B97F4A7C15 + second * 0xD1B54A32D192ED03 + third * 0x8CB92BA72F3D8DD7 + 1
    ) & WORD_MASK
    word = (word ^ word >> 30) * 0xBF58476D1CE4E5B9 & WORD_MASK
    word = (word ^ word >> 27) * 0x94D049BB133111EB & WORD_MASK
    return word ^ word >> 31


def all_engines(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Return the whole list, as gateways without subsetting use it."""
    return sorted(engines)


def random_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Draw `size` engines of the sorted list without replacement, with the gateway as the seed."""
    return sorted(random.Random(gateway).sample(sorted(engines), min(size, len(engines))))


def rendezvous_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Return the `size` engines of least hash of (gateway, engine): Thaler and Ravishankar 1998."""
    return sorted(nsmallest(size, engines, key=lambda engine: mix_hash(gateway, engine)))


def round_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Select by deterministic subsetting in rounds.

    The algorithm is that of Site Reliability Engineering (Beyer, Jones, Petoff, Murphy 2016),
    chapter 20. Each round of gateways shuffles the list with the number of the round as the seed,
    and divides it into parts of `size` engines. The remaining engines of a round are not used.
    """
    round_number, part = divmod(gateway, max(len(engines) // size, 1))
    return sorted(shuffle_for_round(round_number, engines)[part * size : (part + 1) * size])


def shuffle_for_round(round_number: int, engines: Sequence[int]) -> list[int]:
    """Return the shuffled list of one round of `round_subset`."""
    sorted_engines = sorted(engines)
    random.Random(round_number).shuffle(sorted_engines)
    return sorted_engines


def aperture_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Select by deterministic aperture (Finagle; Oanta and Anderson 2019).

    Gateways and engines are evenly spaced on one ring, by position. A gateway has the arc that
    starts at its position, as wide as the least whole number of gateway arcs that contain `size`
    engines. Engines that the arc covers in part belong to the subset too; `aperture_overlap`
    returns the published weights by overlap.
    """
    return sorted(aperture_overlap(gateway, gateways, engines, size))


def aperture_overlap(
    gateway: int, gateways: int, engines: Sequence[int], size: int
) -> dict[int, float]:
    """Return the engines of `aperture_subset` with their weights.

    The weight is the fraction of the arc of the engine that the arc of the gateway covers.
    """
    sorted_engines, engine_count = sorted(engines), len(engines)
    arc_count = -(-size * gateways // engine_count)  # gateway arcs that contain `size` engines
    if arc_count >= gateways:
        return dict.fromkeys(sorted_engines, 1.0)
    first_position, end_position = (
        gateway * engine_count / gateways,
        (gateway + arc_count) * engine_count / gateways,
    )
    weights = {}
    for position in range(int(first_position), int(end_position) + 1):
        covered_fraction = min(end_position, position + 1) - max(first_position, position)
        if covered_fraction > 1e-9:
            weights[sorted_engines[position % engine_count]] = covered_fraction
    return weights


def count_consecutive_wins(gateway: int, engine: int) -> int:
    """Return how many successive blocks of 2, 4, 8 ... gateways the gateway wins for the engine.

    A hash of engine, level and block determines whether the winner of the left or of the right half
    wins the block. So it suffices to check for each block whether the half of the gateway wins. The
    result is at most 64.

    >>> [
    ...     sum(count_consecutive_wins(gateway, 5) >= least for gateway in range(64))
    ...     for least in (0, 1, 2, 3, 6)
    ... ]
    [64, 32, 16, 8, 1]
    """
    for wins in range(64):
        if mix_hash(engine, wins + 1, gateway >> wins + 1) >> 32 & 1 != gateway >> wins & 1:
            return wins
    return 64


def engine_rank(gateway: int, engine: int) -> float:
    """Return the rank of the engine for the gateway, above 0 and below 1.

    The rank depends neither on the number of gateways nor on the list, and every gateway computes
    the same one. A threshold p between 2^-(m+1) and 2^-m selects the winner of each block of
    2^(m+1) gateways. Of the gateways that lose exactly at that level it selects a part, spread
    evenly over the blocks by multiples of the golden ratio.

    >>> [
    ...     sum(engine_rank(gateway, 7) < 0.125 for gateway in range(first, first + 64))
    ...     for first in (0, 64, 640)
    ... ]
    [8, 8, 8]
    """
    wins = count_consecutive_wins(gateway, engine)
    return (1 + ((gateway >> wins + 1) * GOLDEN_RATIO + mix_hash(engine, 0) / 2**64) % 1) / 2 ** (
        wins + 1
    )


def tournament_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Return the engines of rank up to size / number of engines: our algorithm, without growth.

    The expected number of engines is `size`. The number varies between gateways, but the number of
    gateways per engine does not.
    """
    rank_limit = size / max(len(engines), 1)
    return sorted(engine for engine in engines if engine_rank(gateway, engine) <= rank_limit)


def target_subset_size(gateways: int, engines: int, base: float = BASE_ENGINE_COUNT) -> float:
    """Return the number of engines that a subset should have.

    It is at least `base`, and large enough for SUBSETS_PER_ENGINE subsets per engine. A list of up
    to MAX_WHOLE_LIST_ENGINE_COUNT engines is used whole; above that, the number decreases in
    inverse proportion to the length of the list.
    """
    return max(
        base,
        MAX_WHOLE_LIST_ENGINE_COUNT * MAX_WHOLE_LIST_ENGINE_COUNT / max(engines, 1),
        SUBSETS_PER_ENGINE * engines / max(gateways, 1),
    )


def load_growth_factor(load: float, previous_factor: float = 1.0) -> float:
    """Return the factor by which the traffic of a gateway enlarges its subset.

    `load` is the work of the gateway over its equal part of the capacity, and `previous_factor` the
    factor before. The factor changes only in large steps, because a subset that followed each swing
    of the traffic would never be warm.

    >>> (
    ...     [load_growth_factor(load) for load in (0.5, 1.5, 2.0, 3.0, 9.0)],
    ...     load_growth_factor(2.4, 2.0),
    ... )
    ([1.0, 1.0, 1.0, 2.0, 4.0], 2.0)
    """
    factor = min(max(load / LOAD_THRESHOLD_FACTOR, 1.0), MAX_LOAD_GROWTH_FACTOR)
    return (
        previous_factor
        if 1 / MIN_CHANGE_FACTOR < factor / previous_factor < MIN_CHANGE_FACTOR
        else factor
    )


def rank_limits(
    gateways: int,
    engines_by_zone_and_kind: Mapping[ZoneAndKind, Sequence[int]],
    classes: Iterable[Iterable[ZoneAndKind]],
    base: float = BASE_ENGINE_COUNT,
) -> dict[ZoneAndKind, float]:
    """Return the highest rank of selected engines by zone and kind, above 0 and at most 1.

    The limit is the same everywhere, except where a request class may use so few engines that fewer
    than EXPECTED_ENGINES_PER_CLASS of them would be expected in a subset: there it is higher.
    """
    engine_count = sum(map(len, engines_by_zone_and_kind.values()))
    limits = dict.fromkeys(
        engines_by_zone_and_kind,
        min(1.0, target_subset_size(gateways, engine_count, base) / max(engine_count, 1)),
    )
    for usable_zones_and_kinds in classes:
        usable_zones_and_kinds = [
            zone_and_kind
            for zone_and_kind in usable_zones_and_kinds
            if zone_and_kind in engines_by_zone_and_kind
        ]
        expected, usable_count = (
            sum(
                limits[zone_and_kind] * len(engines_by_zone_and_kind[zone_and_kind])
                for zone_and_kind in usable_zones_and_kinds
            ),
            sum(
                len(engines_by_zone_and_kind[zone_and_kind])
                for zone_and_kind in usable_zones_and_kinds
            ),
        )
        if expected < EXPECTED_ENGINES_PER_CLASS:
            for zone_and_kind in usable_zones_and_kinds:
                limits[zone_and_kind] = max(
                    limits[zone_and_kind],
                    min(1.0, EXPECTED_ENGINES_PER_CLASS / max(usable_count, 1)),
                )
    return limits


def select_subset(
    gateway: int,
    engines_by_zone_and_kind: Mapping[ZoneAndKind, Sequence[int]],
    limits: Mapping[ZoneAndKind, float],
    classes: Iterable[Iterable[ZoneAndKind]],
    growth_factor: float = 1.0,
) -> list[int]:
    """Select the engines of a gateway by our algorithm, with growth and with the request classes.

    Selects the engines of rank up to the limit of their zone and kind (`rank_limits`) times
    `growth_factor`, which follows the traffic of the gateway. Then adds, for each request class
    with fewer than MIN_ENGINES_PER_CLASS usable engines, the next ones by rank.
    """
    selected = {
        engine
        for zone_and_kind, engines in engines_by_zone_and_kind.items()
        for engine in engines
        if engine_rank(gateway, engine) <= limits[zone_and_kind] * growth_factor
    }
    for usable_zones_and_kinds in classes:
        usable_engines = [
            engine
            for zone_and_kind in usable_zones_and_kinds
            for engine in engines_by_zone_and_kind.get(zone_and_kind, ())
        ]
        if len(selected.intersection(usable_engines)) < MIN_ENGINES_PER_CLASS:
            selected.update(
                nsmallest(
                    MIN_ENGINES_PER_CLASS,
                    usable_engines,
                    key=lambda engine: engine_rank(gateway, engine),
                )
            )
    return sorted(selected)


OPTIONS = {
    "all": all_engines,
    "chance": random_subset,
    "rendezvous": rendezvous_subset,
    "rounds": round_subset,
    "aperture": aperture_subset,
    "tournament": tournament_subset,
}
