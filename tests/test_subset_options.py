"""Tests of the options for engine subsets: evenness, stability and nesting.

For each check, a variant without the required property shows that the check can fail.
"""

import json
from struct import pack
from zlib import crc32

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from corkgauge.model import subsets
from corkgauge.model.subsets import (
    BASE_ENGINE_COUNT,
    EXPECTED_ENGINES_PER_CLASS,
    MIN_ENGINES_PER_CLASS,
    OPTIONS,
    engine_rank,
    mix_hash,
    rank_limits,
    round_subset,
    select_subset,
    target_subset_size,
    tournament_subset,
)

MAX_UNEVENNESS = 1.25  # subsets per engine, worst over mean
MAX_HOLDER_DEVIATION = 3.0  # from gateways x threshold, in gateways that hold an engine
FLEET_SIZES = [
    (41, 200),
    (78, 400),
    (100, 300),
    (129, 500),
    (200, 400),
]  # (gateways, engines); deliberately irregular gateway counts


def make_engines(count, seed=1):
    return [mix_hash(seed, n, 9) for n in range(count)]


def subsets_of(option, gateways, engines, size):
    return [set(option(gateway, gateways, engines, size)) for gateway in range(gateways)]


def count_holders(sets, engines):
    return [sum(engine in subset for subset in sets) for engine in engines]


def measure_unevenness(option, gateways, count, size=0.0):
    """Subsets per engine, worst over mean; by default for the subset size of the rule."""
    engines = make_engines(count)
    holder_counts = count_holders(
        subsets_of(option, gateways, engines, int(size or target_subset_size(gateways, count))),
        engines,
    )
    return max(holder_counts) * count / sum(holder_counts)


@pytest.mark.parametrize("gateways, engines", FLEET_SIZES)
def test_tournament_puts_each_engine_into_nearly_the_same_number_of_subsets(gateways, engines):
    assert measure_unevenness(tournament_subset, gateways, engines) <= MAX_UNEVENNESS


@pytest.mark.parametrize("gateways, engines", FLEET_SIZES)
@pytest.mark.parametrize("option", ["rendezvous", "chance"])
def test_random_and_rendezvous_subsets_exceed_the_unevenness_bound(option, gateways, engines):
    assert measure_unevenness(OPTIONS[option], gateways, engines) > MAX_UNEVENNESS


@settings(max_examples=40, deadline=None)
@given(gateways=st.integers(17, 300), part=st.floats(0.02, 1), seed=st.integers(0, 10**6))
def test_engine_is_held_by_its_fraction_of_any_number_of_gateways(gateways, part, seed):
    for engine in make_engines(20, seed):
        assert (
            abs(
                sum(engine_rank(gateway, engine) <= part for gateway in range(gateways))
                - gateways * part
            )
            <= MAX_HOLDER_DEVIATION
        )


@pytest.mark.parametrize("variant", ["no spread over blocks", "hash alone"])
def test_rank_without_tournament_or_spread_exceeds_the_holder_deviation(monkeypatch, variant):
    if variant == "no spread over blocks":
        monkeypatch.setattr(subsets, "GOLDEN_RATIO", 0.0)
    rank_function = (
        engine_rank
        if variant == "no spread over blocks"
        else lambda gateway, engine: mix_hash(gateway, engine) / 2**64
    )
    worst = max(
        abs(sum(rank_function(gateway, engine) <= 0.2 for gateway in range(200)) - 40)
        for engine in make_engines(100)
    )
    assert worst > MAX_HOLDER_DEVIATION


@pytest.mark.parametrize("block", [2, 8, 64])
def test_exactly_one_gateway_of_each_block_holds_an_engine(block):
    for engine in make_engines(50):
        for first in range(0, 256, block):
            assert (
                sum(
                    engine_rank(gateway, engine) < 1 / block
                    for gateway in range(first, first + block)
                )
                == 1
            )


def max_overlap(engines):
    """Most engines shared by two of 64 gateways, for subsets of an eighth of the engines."""
    sets = subsets_of(tournament_subset, 64, engines, len(engines) // 8)
    return max(len(sets[one] & sets[other]) for one in range(64) for other in range(one))


def test_subsets_do_not_form_shards(monkeypatch):
    engines = make_engines(256)  # 32 in a subset; two subsets share 4 by chance
    assert max_overlap(engines) <= 16
    # With a hash that is linear over GF(2), the winners of one block are the winners of another
    # block, or the losers, for all engines alike.
    monkeypatch.setattr(subsets, "mix_hash", lambda a, b, c=0: crc32(pack("<QQQ", a, b, c)) << 32)
    assert max_overlap(engines) > 16


@settings(max_examples=25, deadline=None)
@given(
    gateway=st.integers(0, 2000),
    count=st.integers(10, 300),
    seed=st.integers(0, 10**6),
    sizes=st.tuples(st.integers(1, 300), st.integers(1, 300)),
)
def test_subsets_are_nested_and_a_shorter_list_removes_no_remaining_engine(
    gateway, count, sizes, seed
):
    engines, (small, large) = make_engines(count, seed), sorted(sizes)
    subset = set(tournament_subset(gateway, 870, engines, small))
    assert subset <= set(tournament_subset(gateway, 870, engines, large))
    gone = set(engines[::7])
    assert subset - gone <= set(
        tournament_subset(gateway, 870, [e for e in engines if e not in gone], small)
    )


@pytest.mark.parametrize("option", ["chance", "rounds"])
def test_options_by_position_lose_remaining_engines_when_the_list_gets_shorter(option):
    engines, lost = make_engines(300), 0
    for gateway in range(20):
        subset = set(OPTIONS[option](gateway, 870, engines, BASE_ENGINE_COUNT))
        lost += len(
            subset
            - set(engines[:3])
            - set(OPTIONS[option](gateway, 870, engines[3:], BASE_ENGINE_COUNT))
        )
    assert lost > 20


def count_joined_pairs(option, before, after, gateways=100, then=100):
    """Number of (gateway, engine) pairs added at the gateways that existed before."""
    return sum(
        len(
            set(option(gateway, then, after, BASE_ENGINE_COUNT))
            - set(option(gateway, gateways, before, BASE_ENGINE_COUNT))
        )
        for gateway in range(gateways)
    )


def test_adding_or_removing_one_engine_moves_few_pairs():
    engines = make_engines(400)
    part = 100 * BASE_ENGINE_COUNT / 400
    assert count_joined_pairs(tournament_subset, engines[1:], engines) <= 1.5 * part
    assert count_joined_pairs(tournament_subset, engines, engines[1:]) <= 1.5 * part + 4
    assert count_joined_pairs(round_subset, engines, engines[1:]) > 10 * part
    assert count_joined_pairs(OPTIONS["chance"], engines, engines[1:]) > 10 * part


def test_additional_gateway_changes_no_other_subset():
    engines = make_engines(400)
    assert count_joined_pairs(tournament_subset, engines, engines, 100, 101) == 0
    assert count_joined_pairs(OPTIONS["aperture"], engines, engines, 100, 101) > 100


def test_rolling_release_of_all_engines_restores_all_subsets():
    engines = make_engines(200)
    before, order = subsets_of(tournament_subset, 50, engines, BASE_ENGINE_COUNT), make_engines(200)
    for _ in range(0, 200, 20):  # a tenth of the engines leaves and returns at the end of the list
        order = order[20:] + order[:20]
        assert subsets_of(tournament_subset, 50, order[:-20], BASE_ENGINE_COUNT) != before
    assert subsets_of(tournament_subset, 50, order, BASE_ENGINE_COUNT) == before


def engines_by_zone_and_kind(counts):
    """Engines by zone and kind; the index of a count determines both."""
    listed = iter(make_engines(sum(counts)))
    return {(n // 2, n % 2): [next(listed) for _ in range(count)] for n, count in enumerate(counts)}


@pytest.mark.parametrize("smallest_count", [1, 2, 5, 12, 40])
def test_class_limited_to_one_zone_and_kind_has_engines_at_every_gateway(smallest_count):
    places = engines_by_zone_and_kind([300, 120, 180, smallest_count])
    classes = [[*places], [(1, 1)]]
    limits, usable_engines = rank_limits(870, places, classes), set(places[1, 1])
    assert limits[0, 0] < limits[1, 1] <= 1
    assert min(
        len(usable_engines & set(select_subset(gateway, places, limits, classes)))
        for gateway in range(100)
    ) >= min(MIN_ENGINES_PER_CLASS, smallest_count)
    assert sum(
        len(usable_engines & set(select_subset(gateway, places, limits, classes)))
        for gateway in range(100)
    ) >= 90 * min(EXPECTED_ENGINES_PER_CLASS, smallest_count)


@pytest.mark.parametrize("smallest_count", [1, 2, 5, 12])
def test_without_the_raised_rank_limit_some_gateways_have_no_engine_of_the_class(smallest_count):
    places = engines_by_zone_and_kind([300, 120, 180, smallest_count])
    engines, usable_engines = sum(places.values(), []), set(places[1, 1])
    assert not all(
        usable_engines & set(tournament_subset(gateway, 870, engines, BASE_ENGINE_COUNT))
        for gateway in range(100)
    )


@pytest.mark.parametrize(
    "gateways, counts, is_whole",
    [
        (10, [20, 10, 9, 1], True),
        (870, [60, 30, 30, 8], True),
        (16, [600, 300, 200, 100], True),
        (870, [100, 50, 40, 10], False),
    ],
)
def test_whole_list_is_the_subset_for_current_fleet_sizes(gateways, counts, is_whole):
    places = engines_by_zone_and_kind(counts)
    classes = [[*places]]
    limits, listed = rank_limits(gateways, places, classes), sorted(sum(places.values(), []))
    assert all(
        (select_subset(gateway, places, limits, classes) == listed) == is_whole
        for gateway in range(min(gateways, 20))
    )


def test_gateway_with_more_traffic_has_a_larger_subset_containing_the_usual_one():
    places = engines_by_zone_and_kind([300, 120, 180, 40])
    limits = rank_limits(870, places, [[*places]])
    for gateway in range(20):
        usual, wide = (
            set(select_subset(gateway, places, limits, [[*places]], wider)) for wider in (1.0, 3.0)
        )
        assert usual < wide and len(wide) > 1.5 * len(usual)


def test_quick_run_compares_the_options_and_stores_nothing(monkeypatch):
    from benchmarks import scale_subset

    monkeypatch.setattr(scale_subset, "save_rows", lambda *_: pytest.fail("a small fleet was kept"))
    result = CliRunner().invoke(scale_subset.command, ["--quick", "--part", "options", "--json"])
    rows = {row["key"]: row["points"][0]["median"] for row in json.loads(result.stdout)}
    assert result.exit_code == 0 and {key.split(".")[1] for key in rows} == {
        *scale_subset.OPTION_NAMES
    }
    assert rows["subset.ours.evenness"] <= MAX_UNEVENNESS < rows["subset.rendezvous.evenness"]
    assert (
        rows["subset.ours.good"] == rows["subset.ours.without"] == 0 < rows["subset.rounds.without"]
    )


def test_rank_table_that_differs_from_the_rank_function_ends_the_run(monkeypatch):
    from benchmarks import scale_subset

    fleet = scale_subset.Fleet(20, 128, seed=1)
    fleet.check_against_model(32)
    monkeypatch.setattr(fleet, "ranks", 1 - fleet.ranks)
    with pytest.raises(RuntimeError, match="tournament"):
        fleet.check_against_model(32)
