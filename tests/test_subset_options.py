"""The options for a working set of engines: how evenly, how steadily and how nested; each check is seen to fail with a
variant that lacks what it asks for.
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
    BASE,
    FEW,
    LEAST,
    OPTIONS,
    bars,
    mixed,
    ours,
    rank,
    rounds,
    tournament,
    wanted,
)

BOUND = 1.25  # sets an engine, worst over mean
APART = 3.0  # holders of an engine beside gateways x threshold, at most
SIZES = [
    (41, 200),
    (78, 400),
    (100, 300),
    (129, 500),
    (200, 400),
]  # gateways (odd ones on purpose), engines


def names(count, seed=1):
    return [mixed(seed, n, 9) for n in range(count)]


def sets_of(option, gateways, engines, size):
    return [set(option(gateway, gateways, engines, size)) for gateway in range(gateways)]


def holders(sets, engines):
    return [sum(engine in held for held in sets) for engine in engines]


def unevenness(option, gateways, count, size=0.0):
    """Worst over mean; of the size that the rule wants."""
    engines = names(count)
    held = holders(
        sets_of(option, gateways, engines, int(size or wanted(gateways, count))), engines
    )
    return max(held) * count / sum(held)


@pytest.mark.parametrize("gateways, engines", SIZES)
def test_each_engine_is_in_nearly_as_many_sets_as_any_other(gateways, engines):
    assert unevenness(tournament, gateways, engines) <= BOUND


@pytest.mark.parametrize("gateways, engines", SIZES)
@pytest.mark.parametrize("option", ["rendezvous", "chance"])
def test_chance_and_rendezvous_hashing_are_not_even_enough(option, gateways, engines):
    assert unevenness(OPTIONS[option], gateways, engines) > BOUND


@settings(max_examples=40, deadline=None)
@given(gateways=st.integers(17, 300), part=st.floats(0.02, 1), seed=st.integers(0, 10**6))
def test_an_engine_has_its_part_of_any_number_of_gateways(gateways, part, seed):
    for engine in names(20, seed):
        assert (
            abs(sum(rank(gateway, engine) <= part for gateway in range(gateways)) - gateways * part)
            <= APART
        )


@pytest.mark.parametrize("spoilt", ["no spread over blocks", "hash alone"])
def test_without_the_tournament_or_the_spread_over_blocks_an_engine_has_more_or_less(
    monkeypatch, spoilt
):
    if spoilt == "no spread over blocks":
        monkeypatch.setattr(subsets, "GOLDEN", 0.0)
    ranked = (
        rank
        if spoilt == "no spread over blocks"
        else lambda gateway, engine: mixed(gateway, engine) / 2**64
    )
    worst = max(
        abs(sum(ranked(gateway, engine) <= 0.2 for gateway in range(200)) - 40)
        for engine in names(100)
    )
    assert worst > APART


@pytest.mark.parametrize("block", [2, 8, 64])
def test_of_each_block_of_gateways_one_holds_an_engine(block):
    for engine in names(50):
        for first in range(0, 256, block):
            assert (
                sum(rank(gateway, engine) < 1 / block for gateway in range(first, first + block))
                == 1
            )


def common(engines):
    """Most engines that two gateways of different blocks have in common, of sets of an eighth."""
    sets = sets_of(tournament, 64, engines, len(engines) // 8)
    return max(len(sets[one] & sets[other]) for one in range(64) for other in range(one))


def test_sets_do_not_fall_into_shards(monkeypatch):
    engines = names(256)  # 32 in a set; by chance alone two have 4 in common
    assert common(engines) <= 16
    # A hash that is linear over GF(2): who wins in one block is who wins in another, or the other
    # way round for all.
    monkeypatch.setattr(subsets, "mixed", lambda a, b, c=0: crc32(pack("<QQQ", a, b, c)) << 32)
    assert common(engines) > 16


@settings(max_examples=25, deadline=None)
@given(
    gateway=st.integers(0, 2000),
    count=st.integers(10, 300),
    seed=st.integers(0, 10**6),
    sizes=st.tuples(st.integers(1, 300), st.integers(1, 300)),
)
def test_a_smaller_set_lies_within_a_larger_one_and_a_shorter_list_takes_nothing_away(
    gateway, count, sizes, seed
):
    engines, (small, large) = names(count, seed), sorted(sizes)
    held = set(tournament(gateway, 870, engines, small))
    assert held <= set(tournament(gateway, 870, engines, large))
    gone = set(engines[::7])
    assert held - gone <= set(
        tournament(gateway, 870, [e for e in engines if e not in gone], small)
    )


@pytest.mark.parametrize("option", ["chance", "rounds"])
def test_options_by_position_take_away_as_the_list_gets_shorter(option):
    engines, lost = names(300), 0
    for gateway in range(20):
        held = set(OPTIONS[option](gateway, 870, engines, BASE))
        lost += len(held - set(engines[:3]) - set(OPTIONS[option](gateway, 870, engines[3:], BASE)))
    assert lost > 20


def joined(option, before, after, gateways=100, then=100):
    """Pairs that join at the gateways that were there."""
    return sum(
        len(set(option(g, then, after, BASE)) - set(option(g, gateways, before, BASE)))
        for g in range(gateways)
    )


def test_one_engine_more_or_less_moves_about_its_own_part_of_the_pairs():
    engines = names(400)
    part = 100 * BASE / 400
    assert joined(tournament, engines[1:], engines) <= 1.5 * part
    assert joined(tournament, engines, engines[1:]) <= 1.5 * part + 4
    assert joined(rounds, engines, engines[1:]) > 10 * part
    assert joined(OPTIONS["chance"], engines, engines[1:]) > 10 * part


def test_a_further_gateway_moves_nothing_at_the_others():
    engines = names(400)
    assert joined(tournament, engines, engines, 100, 101) == 0
    assert joined(OPTIONS["aperture"], engines, engines, 100, 101) > 100


def test_a_release_of_all_moves_nothing_for_good():
    engines = names(200)
    before, order = sets_of(tournament, 50, engines, BASE), names(200)
    for n in range(0, 200, 20):  # a tenth leaves, and comes back at the end of the list
        order = order[20:] + order[:20]
        assert sets_of(tournament, 50, order[:-20], BASE) != before
    assert sets_of(tournament, 50, order, BASE) == before


def places_of(counts):
    """Engines by zone and kind."""
    listed = iter(names(sum(counts)))
    return {(n // 2, n % 2): [next(listed) for _ in range(count)] for n, count in enumerate(counts)}


@pytest.mark.parametrize("smallest", [1, 2, 5, 12, 40])
def test_a_class_that_may_use_one_place_only_has_engines_at_every_gateway(smallest):
    places = places_of([300, 120, 180, smallest])
    classes = [[*places], [(1, 1)]]
    found, reach = bars(870, places, classes), set(places[1, 1])
    assert found[0, 0] < found[1, 1] <= 1
    assert min(len(reach & set(ours(g, places, found, classes))) for g in range(100)) >= min(
        FEW, smallest
    )
    assert sum(len(reach & set(ours(g, places, found, classes))) for g in range(100)) >= 90 * min(
        LEAST, smallest
    )


@pytest.mark.parametrize("smallest", [1, 2, 5, 12])
def test_without_the_raised_bar_and_the_top_up_some_gateways_have_none(smallest):
    places = places_of([300, 120, 180, smallest])
    engines, reach = sum(places.values(), []), set(places[1, 1])
    assert not all(reach & set(tournament(g, 870, engines, BASE)) for g in range(100))


@pytest.mark.parametrize(
    "gateways, counts, whole",
    [
        (10, [20, 10, 9, 1], True),
        (870, [60, 30, 30, 8], True),
        (16, [600, 300, 200, 100], True),
        (870, [100, 50, 40, 10], False),
    ],
)
def test_at_todays_sizes_the_whole_list_is_the_set(gateways, counts, whole):
    places = places_of(counts)
    classes = [[*places]]
    found, listed = bars(gateways, places, classes), sorted(sum(places.values(), []))
    assert all(
        (ours(g, places, found, classes) == listed) == whole for g in range(min(gateways, 20))
    )


def test_a_gateway_with_several_times_the_traffic_holds_more_and_keeps_what_it_had():
    places = places_of([300, 120, 180, 40])
    found = bars(870, places, [[*places]])
    for g in range(20):
        usual, wide = (set(ours(g, places, found, [[*places]], wider)) for wider in (1.0, 3.0))
        assert usual < wide and len(wide) > 1.5 * len(usual)


def test_the_options_are_weighed_on_a_small_fleet_and_nothing_of_that_is_kept(monkeypatch):
    from benchmarks import scale_subset

    monkeypatch.setattr(scale_subset, "kept", lambda *_: pytest.fail("a small fleet was kept"))
    said = CliRunner().invoke(scale_subset.command, ["--quick", "--part", "options", "--json"])
    rows = {row["key"]: row["points"][0]["median"] for row in json.loads(said.stdout)}
    assert said.exit_code == 0 and {key.split(".")[1] for key in rows} == {*scale_subset.NAMES}
    assert rows["subset.ours.evenness"] <= BOUND < rows["subset.rendezvous.evenness"]
    assert (
        rows["subset.ours.good"] == rows["subset.ours.without"] == 0 < rows["subset.rounds.without"]
    )


def test_a_table_that_is_not_what_the_pure_function_says_ends_the_run(monkeypatch):
    from benchmarks import scale_subset

    fleet = scale_subset.Fleet(20, 128, seed=1)
    fleet.agree(32)
    monkeypatch.setattr(fleet, "ranks", 1 - fleet.ranks)
    with pytest.raises(RuntimeError, match="tournament"):
        fleet.agree(32)
