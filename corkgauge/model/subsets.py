"""Working sets of engines (subsetting): the options weighed in docs/subsetting.md, each a pure function.

Owns how each option picks, for one gateway, its engines out of a list. Must never do I/O, keep
state between calls, or be imported by a program that serves: `tournament_subset` is written from the note,
not from the module, so that a test can hold one against the other. Engines are named by integers
below 2^64, gateways are numbered from 0. A list may hold any names in any order; the options that
go by position sort it first, as all gateways have to agree on it.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from heapq import nsmallest

GOLDEN_RATIO = (
    0.6180339887498949  # its multiples fill the circle evenly (three-distance theorem, Sós 1958)
)
WORD_MASK = (1 << 64) - 1
BASE_ENGINE_COUNT, MAX_WHOLE_LIST_ENGINE_COUNT, SUBSETS_PER_ENGINE = (
    48,
    128,
    16,
)  # engines in a set; the list that is a set as a whole; gateways for each engine
EXPECTED_ENGINES_PER_CLASS, MIN_ENGINES_PER_CLASS = (
    8,
    3,
)  # of the engines that a class may use: expected in a set; topped up to
LOAD_THRESHOLD_FACTOR, MAX_LOAD_GROWTH_FACTOR, MIN_CHANGE_FACTOR = (
    1.5,
    4.0,
    1.4,
)  # parts of capacity where a set begins to grow; times in all; least change

ZoneAndKind = tuple[int, int]  # zone, kind


def mix_hash(first: int, second: int, third: int = 0) -> int:
    """64 bits from three numbers: multiply, shift, xor, as in splitmix64 (Steele, Lea, Flood 2014).

    Danger: a hash that is linear over GF(2), as any CRC of joined fields, gives the same pattern of
    winners to all engines up to a shift: sets fall into shards. The products here are not linear.

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
    """The whole list: what the gateway did before."""
    return sorted(engines)


def random_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """`size` engines drawn without return, seeded by the gateway and nothing else; of the sorted list."""
    return sorted(random.Random(gateway).sample(sorted(engines), min(size, len(engines))))


def rendezvous_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """The `size` engines of least hash of (gateway, engine): Thaler and Ravishankar 1998."""
    return sorted(nsmallest(size, engines, key=lambda engine: mix_hash(gateway, engine)))


def round_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Deterministic subsetting by rounds: Site Reliability Engineering (Beyer, Jones, Petoff, Murphy 2016), chapter 20.
    Each round of gateways shuffles the list by the round's seed and deals it out in parts of
    `size`; what is left over of a round's list goes to nobody in that round.
    """
    turn, part = divmod(gateway, max(len(engines) // size, 1))
    return sorted(shuffle_for_round(turn, engines)[part * size : (part + 1) * size])


def shuffle_for_round(turn: int, engines: Sequence[int]) -> list[int]:
    """The list as it lies in one round of `round_subset`."""
    listed = sorted(engines)
    random.Random(turn).shuffle(listed)
    return listed


def aperture_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Deterministic aperture: gateways and engines evenly on one ring by position (Finagle; Oanta and Anderson 2019).
    A gateway owns the arc from its own place, as wide as the least whole number of gateway arcs
    that holds `size` engines; an engine that an arc covers in part belongs to the set too (the
    published weights by overlap are in `aperture_overlap`).
    """
    return sorted(aperture_overlap(gateway, gateways, engines, size))


def aperture_overlap(
    gateway: int, gateways: int, engines: Sequence[int], size: int
) -> dict[int, float]:
    """Of `aperture_subset`: how much of each engine's arc the gateway's arc covers, 0 to 1: the weight it is sent to with."""
    listed, many = sorted(engines), len(engines)
    arcs = -(-size * gateways // many)  # gateway arcs that hold `size` engines
    if arcs >= gateways:
        return dict.fromkeys(listed, 1.0)
    begin, end = gateway * many / gateways, (gateway + arcs) * many / gateways
    found = {}
    for place in range(int(begin), int(end) + 1):
        part = min(end, place + 1) - max(begin, place)
        if part > 1e-9:
            found[listed[place % many]] = part
    return found


def count_consecutive_wins(gateway: int, engine: int) -> int:
    """How many blocks in a row, of 2, 4, 8 ... gateways by number, this gateway wins for this engine. The winner of a
    block is, by a hash of engine, level and block, the winner of its left half or of its right; so
    it is enough to ask in each block whether the gateway's own half wins. 64 at most.

    >>> [sum(count_consecutive_wins(gateway, 5) >= least for gateway in range(64)) for least in (0, 1, 2, 3, 6)]
    [64, 32, 16, 8, 1]
    """
    for won in range(64):
        if mix_hash(engine, won + 1, gateway >> won + 1) >> 32 & 1 != gateway >> won & 1:
            return won
    return 64


def engine_rank(gateway: int, engine: int) -> float:
    """Of this engine for this gateway, above 0 and below 1, alike whoever works it out; asks neither for the number of
    gateways nor for the list. A threshold p between 2^-(m+1) and 2^-m takes the one winner of each
    block of 2^(m+1) gateways, and of those who lose just there an even part, by multiples of the
    golden section over blocks.

    >>> [sum(engine_rank(gateway, 7) < 0.125 for gateway in range(first, first + 64)) for first in (0, 64, 640)]
    [8, 8, 8]
    """
    won = count_consecutive_wins(gateway, engine)
    return (1 + ((gateway >> won + 1) * GOLDEN_RATIO + mix_hash(engine, 0) / 2**64) % 1) / 2 ** (
        won + 1
    )


def tournament_subset(gateway: int, gateways: int, engines: Sequence[int], size: int) -> list[int]:
    """Ours, bare: the engines of rank up to size / number of engines. So many are expected; chance gives more or fewer
    to one gateway, but not to one engine.
    """
    bar = size / max(len(engines), 1)
    return sorted(engine for engine in engines if engine_rank(gateway, engine) <= bar)


def target_subset_size(gateways: int, engines: int, base: float = BASE_ENGINE_COUNT) -> float:
    """Engines that a set should hold: `base`; the whole list up to WHOLE engines, and less than in proportion from
    there; COVER gateways for each engine at least.
    """
    return max(
        base,
        MAX_WHOLE_LIST_ENGINE_COUNT * MAX_WHOLE_LIST_ENGINE_COUNT / max(engines, 1),
        SUBSETS_PER_ENGINE * engines / max(gateways, 1),
    )


def load_growth_factor(asked: float, was: float = 1.0) -> float:
    """How many times as large a gateway's set is for its own traffic: `asked` is its work over its equal part of the
    capacity. Danger: a set that follows each swing of traffic is never warm; so it moves by large
    steps only.

    >>> [load_growth_factor(asked) for asked in (0.5, 1.5, 2.0, 3.0, 9.0)], load_growth_factor(2.4, 2.0)
    ([1.0, 1.0, 1.0, 2.0, 4.0], 2.0)
    """
    found = min(max(asked / LOAD_THRESHOLD_FACTOR, 1.0), MAX_LOAD_GROWTH_FACTOR)
    return was if 1 / MIN_CHANGE_FACTOR < found / was < MIN_CHANGE_FACTOR else found


def rank_limits(
    gateways: int,
    places: Mapping[ZoneAndKind, Sequence[int]],
    classes: Iterable[Iterable[ZoneAndKind]],
    base: float = BASE_ENGINE_COUNT,
) -> dict[ZoneAndKind, float]:
    """The threshold of each place (zone, kind), above 0, at most 1: alike everywhere, raised where a class may use so
    few engines only that fewer than LEAST of them would be expected.
    """
    many = sum(map(len, places.values()))
    found = dict.fromkeys(places, min(1.0, target_subset_size(gateways, many, base) / max(many, 1)))
    for reach in classes:
        reach = [place for place in reach if place in places]
        expected, most = (
            sum(found[place] * len(places[place]) for place in reach),
            sum(len(places[place]) for place in reach),
        )
        if expected < EXPECTED_ENGINES_PER_CLASS:
            for place in reach:
                found[place] = max(
                    found[place], min(1.0, EXPECTED_ENGINES_PER_CLASS / max(most, 1))
                )
    return found


def select_subset(
    gateway: int,
    places: Mapping[ZoneAndKind, Sequence[int]],
    found: Mapping[ZoneAndKind, float],
    classes: Iterable[Iterable[ZoneAndKind]],
    wider: float = 1.0,
) -> list[int]:
    """Ours, whole: in each place the engines of rank up to its bar (`rank_limits`) times `wider` (from this gateway's own
    demand); then, for each class that has fewer than FEW of what it may use, the next by rank.
    """
    held = {
        engine
        for place, engines in places.items()
        for engine in engines
        if engine_rank(gateway, engine) <= found[place] * wider
    }
    for reach in classes:
        able = [engine for place in reach for engine in places.get(place, ())]
        if len(held.intersection(able)) < MIN_ENGINES_PER_CLASS:
            held.update(
                nsmallest(
                    MIN_ENGINES_PER_CLASS, able, key=lambda engine: engine_rank(gateway, engine)
                )
            )
    return sorted(held)


OPTIONS = {
    "all": all_engines,
    "chance": random_subset,
    "rendezvous": rendezvous_subset,
    "rounds": round_subset,
    "aperture": aperture_subset,
    "tournament": tournament_subset,
}
