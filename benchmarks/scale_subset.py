"""Compares algorithms for working sets of engines on a generated fleet, and sizes of a set.

    python benchmarks/scale.py subset          870 gateways, 1,800 engines, 3 seeds; about 2 minutes
    python benchmarks/scale.py subset --quick  a tenth of both, one seed, nothing stored

The generated fleet has ten places (pairs of zone and engine kind) with different numbers of
engines, uneven traffic, and request classes that may use one kind or one place only. The
algorithms (options of docs/subsetting.md) are those of corkgauge/model/subsets.py. Values that an
option needs for each pair or each round are calculated once, and each run checks the resulting
sets of some gateways against the pure functions. The benchmark serves no requests and opens no
socket.
"""

import json
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import click
import numpy

from benchmarks.scaling import build_single_size_row, check_trial_size, measure_slope, save_rows
from corkgauge.model import subsets

ZONE_FRACTIONS = 0.28, 0.24, 0.20, 0.16, 0.12  # of the engines, by zone
FIRST_KIND_FRACTIONS = 0.85, 0.70, 0.80, 0.60, 0.75  # engines of the first kind, by zone
# Engines in a set; fraction of the capacity that is used, and that gateways plan with.
SUBSET_SIZE, USED_FRACTION, USED_FRACTION_LIMIT = 48, 0.6, 0.9
# Traffic of the gateways relative to the mean: log-normal with an upper limit, and one gateway in
# 109 with five times the mean.
DEMAND_SIGMA, MAX_DEMAND, HOT_DEMAND = 0.7, 4.0, 5.0
# Fraction that a gateway uses of its part of a cold engine's allowance, as in
# corkgauge/policy/slow_start.py.
ALLOWANCE_FRACTION = 0.9 * 0.85
TABLE_GROUP_COUNT = 20  # sampled for the engines that serve first attempts
SINGLE_CLASS_WEIGHT = 1e-9  # weight of an engine that is in the set for a single request class
DRAWS_PER_ENGINE = 40  # simulated requests, for the load with two choices
SWEPT_SIZES = 16, 24, 32, 48, 64, 96, 128, 192
DEMAND_FACTORS: dict[str, Callable[[Any], Any]] = {
    "alike": lambda demand: numpy.ones_like(demand),
    "fair": lambda demand: numpy.maximum(1, demand),
    "busy": lambda demand: numpy.array(
        [subsets.load_growth_factor(each * USED_FRACTION / USED_FRACTION_LIMIT) for each in demand]
    ),
}
OPTION_NAMES = (
    "all",
    "chance",
    "rendezvous",
    "rounds",
    "aperture",
    "tournament",
    "ours_fair",
    "ours",
)


class Fleet:
    """A generated fleet of gateways and engines.

    A tenth more engines than listed are generated, to replace listed ones.

    Args:
        gateways: Number of gateways.
        engines: Number of listed engines.
        seed: Seed of names, places and traffic.
    """

    def __init__(self, gateways: int, engines: int, seed: int) -> None:
        self.gateways, self.engines, self.seed = gateways, engines, seed
        self.random = random.Random(seed)
        spare_count = engines // 10 + 1
        self.names = [subsets.mix_hash(seed, n, 1) for n in range(engines + spare_count)]
        self.column = {name: n for n, name in enumerate(self.names)}
        shares = [
            (zone * part, (z, k))
            for z, zone in enumerate(ZONE_FRACTIONS)
            for k, part in enumerate((FIRST_KIND_FRACTIONS[z], 1 - FIRST_KIND_FRACTIONS[z]))
        ]
        weights, filled = [share for share, _ in shares], [place for _, place in shares]
        self.place = [filled[0]] * len(self.names)
        at = 0
        for n, (share, place) in enumerate(
            shares
        ):  # listed engines by fraction; spare engines at random
            end = engines if n == len(shares) - 1 else at + round(share * engines)
            self.place[at:end] = [place] * (end - at)
            at = end
        self.place[engines:] = self.random.choices(filled, weights, k=spare_count)
        self.places = sorted(set(filled))
        kind_one, smallest = [p for p in self.places if p[1] == 1], min(shares)[1]
        self.classes = [self.places, kind_one, [smallest]]  # places that each request class may use
        self.smallest = smallest
        draws = numpy.random.default_rng(seed)
        self.demand = numpy.exp(DEMAND_SIGMA * draws.standard_normal(gateways + 1))
        self.demand = numpy.minimum(self.demand / self.demand.mean(), MAX_DEMAND)
        self.demand[draws.choice(gateways, max(gateways // 109, 1), replace=False)] = HOT_DEMAND
        self.demand /= self.demand[:gateways].mean()
        rows = range(gateways + 1)
        self.ranks = numpy.array(
            [[subsets.engine_rank(g, name) for name in self.names] for g in rows]
        )
        self.hashes = numpy.array(
            [[subsets.mix_hash(g, name) for name in self.names] for g in rows], dtype=numpy.uint64
        )
        self.listed = numpy.arange(engines)

    def weights(self, option: str, size: int, listed: Any = None, gateways: int = 0) -> Any:
        """Builds the sets of all gateways.

        Args:
            option: Algorithm.
            size: Wanted number of engines in a set.
            listed: Indices of the listed engines; None: those of the fleet.
            gateways: Number of gateways; 0: that of the fleet.

        Returns:
            Matrix of gateways by engines: 0, or the weight of the engine in the gateway's set.
        """
        listed, gateways = self.listed if listed is None else listed, gateways or self.gateways
        found = numpy.zeros((gateways, len(self.names)))
        if option in ("tournament", "ours_fair", "ours"):
            found[:, listed] = self._weights_by_rank(option, size, listed, gateways)
        elif option == "rendezvous":
            nearest = numpy.argpartition(self.hashes[:gateways, listed], size - 1, axis=1)[:, :size]
            numpy.put_along_axis(found, listed[nearest], 1.0, axis=1)
        elif option == "rounds":
            names, parts = [self.names[n] for n in listed], max(len(listed) // size, 1)
            for turn in range(-(-gateways // parts)):
                columns = [self.column[name] for name in subsets.shuffle_for_round(turn, names)]
                for part in range(min(parts, gateways - turn * parts)):
                    found[turn * parts + part, columns[part * size : (part + 1) * size]] = 1.0
        else:
            names = [self.names[n] for n in listed]
            for g in range(gateways):
                chosen = (
                    subsets.aperture_overlap(g, gateways, names, size)
                    if option == "aperture"
                    else dict.fromkeys(subsets.OPTIONS[option](g, gateways, names, size), 1.0)
                )
                found[g, [self.column[name] for name in chosen]] = [*chosen.values()]
        return found

    def by_place(self, listed: Any) -> dict[subsets.ZoneAndKind, list[int]]:
        found: dict[subsets.ZoneAndKind, list[int]] = {}
        for n in listed:
            found.setdefault(self.place[n], []).append(self.names[n])
        return found

    def _weights_by_rank(self, option: str, size: int, listed: Any, gateways: int) -> Any:
        ranks = self.ranks[:gateways, listed]
        if option == "tournament":
            return ranks <= size / len(listed)
        places = self.by_place(listed)
        bars = subsets.rank_limits(gateways, places, self.classes, size)
        demand_factor = DEMAND_FACTORS["fair" if option == "ours_fair" else "busy"](
            self.demand[:gateways]
        )
        held = ranks <= numpy.array([bars[self.place[n]] for n in listed]) * demand_factor[:, None]
        for reach in self.classes:
            able = numpy.array([i for i, n in enumerate(listed) if self.place[n] in reach])
            for g in numpy.nonzero(held[:, able].sum(axis=1) < subsets.MIN_ENGINES_PER_CLASS)[0]:
                held[g, able[numpy.argsort(ranks[g, able])[: subsets.MIN_ENGINES_PER_CLASS]]] = True
        # An engine that is added for a class with few engines serves that class alone, because the
        # engines of a small place are in the sets of many gateways.
        usual = subsets.target_subset_size(gateways, len(listed), size) / len(listed)
        return numpy.where(
            held & (ranks > usual * demand_factor[:, None]), SINGLE_CLASS_WEIGHT, held
        )

    def check_against_model(self, size: int) -> None:
        """Checks the sets of some gateways against the pure functions of the model.

        Raises:
            RuntimeError: The sets differ.
        """
        names, places = [self.names[n] for n in self.listed], self.by_place(self.listed)
        bars = subsets.rank_limits(self.gateways, places, self.classes, size)
        some = self.random.sample(range(self.gateways), min(self.gateways, 6))
        for option in ("rendezvous", "rounds", "tournament", "ours_fair", "ours"):
            made = self.weights(option, size)
            for g in some:
                demand_factor = float(
                    DEMAND_FACTORS["fair" if option == "ours_fair" else "busy"](self.demand)[g]
                )
                said = (
                    subsets.OPTIONS[option](g, self.gateways, names, size)
                    if option in subsets.OPTIONS
                    else (subsets.select_subset(g, places, bars, self.classes, demand_factor))
                )
                if said != sorted(self.names[n] for n in numpy.nonzero(made[g])[0]):
                    raise RuntimeError(
                        f"{option}: the set of gateway {g} differs from that of the pure function"
                    )


def worst_over_mean(values: Any) -> float:
    """Returns the largest value divided by the mean."""
    return float(values.max() / values.mean())


def measure_evenness(fleet: Fleet, sets: Any, listed: Any) -> float:
    """Returns the sets per engine, worst over mean within a place, for the worst place."""
    counts, places = (
        (sets > 0).sum(axis=0),
        numpy.array([fleet.places.index(fleet.place[n]) for n in listed]),
    )
    return max(
        worst_over_mean(counts[listed[places == n]])
        for n in range(len(fleet.places))
        if (places == n).any()
    )


def load_by_engine(fleet: Fleet, sets: Any, listed: Any) -> Any:
    """Returns the work of each engine if each gateway spreads its load over its set by weight.

    A gateway with an empty set sends none.
    """
    sums = sets.sum(axis=1)
    return ((fleet.demand[: len(sets)] / numpy.where(sums > 0, sums, 1)) @ sets)[listed]


def load_by_engine_of_two_choices(fleet: Fleet, sets: Any, listed: Any) -> Any:
    """Returns the requests of each engine if each goes to the less loaded of two random engines.

    Gateways know the current load, as if each response reported it without delay.
    """
    draws = numpy.random.default_rng(fleet.seed + 1)
    members = [numpy.nonzero(row > SINGLE_CLASS_WEIGHT)[0] for row in sets]
    demand = fleet.demand[: fleet.gateways] * [len(m) > 0 for m in members]
    gateways = draws.choice(fleet.gateways, DRAWS_PER_ENGINE * len(listed), p=demand / demand.sum())
    first_draws, second_draws = draws.random((2, len(gateways)))
    counts = [0] * sets.shape[1]
    for g, first, second in zip(gateways.tolist(), first_draws.tolist(), second_draws.tolist()):
        own_members = members[g]
        first_engine, second_engine = (
            own_members[int(first * len(own_members))],
            own_members[int(second * len(own_members))],
        )
        counts[
            first_engine if counts[first_engine] <= counts[second_engine] else second_engine
        ] += 1
    return numpy.array(counts)[listed]


def count_first_engines(fleet: Fleet, sets: Any, listed: Any) -> float:
    """Returns the effective number of engines that get the first attempts of a table group.

    Each gateway sends first attempts to the first engine of its set in the hash order of the group.
    The effective number is the inverse of the sum of squared shares, averaged over some groups.
    """
    draws, found = numpy.random.default_rng(fleet.seed + 3), []
    for _ in range(TABLE_GROUP_COUNT):
        order = draws.permutation(listed)
        first = order[numpy.argmax(sets[:, order] > SINGLE_CLASS_WEIGHT, axis=1)]
        parts = numpy.bincount(first, fleet.demand[: len(sets)]) / fleet.demand[: len(sets)].sum()
        found.append(1 / (parts**2).sum())
    return float(numpy.mean(found))


def measure_evenness_without_numbers(fleet: Fleet, size: int) -> float:
    """Returns the evenness of option `ours` if gateways use a hash of their name as their number.

    The sets are those of the bare ranks, without limits by place.
    """
    found = numpy.zeros(fleet.engines)
    for gateway in range(fleet.gateways):
        number = subsets.mix_hash(fleet.seed, gateway, 5)
        found += [
            subsets.engine_rank(number, fleet.names[n]) <= size / fleet.engines
            for n in fleet.listed
        ]
    return worst_over_mean(found)


def count_new_pairs(before: Any, after: Any) -> int:
    """Counts the pairs of gateway and engine that were added."""
    return int(((after[: len(before)] > 0) & ~(before > 0)).sum())


def measure_churn(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    listed, all_of_them = fleet.listed, int((base > 0).sum())
    added, without = numpy.append(listed, fleet.engines), numpy.delete(listed, fleet.engines // 3)
    out = numpy.array(sorted(fleet.random.sample(range(fleet.engines), fleet.engines // 10)))
    replaced = numpy.append(
        numpy.setdiff1d(listed, out), numpy.arange(fleet.engines, fleet.engines + len(out))
    )
    holders = (base > 0).sum(axis=0)
    found = {
        "added": count_new_pairs(base, fleet.weights(option, size, added))
        / (all_of_them / fleet.engines),
        "removed": count_new_pairs(base, fleet.weights(option, size, without))
        / max(holders[fleet.engines // 3], 1),
        "gateway": count_new_pairs(base, fleet.weights(option, size, gateways=fleet.gateways + 1))
        / all_of_them,
        "tenth": count_new_pairs(base, fleet.weights(option, size, replaced))
        / max(holders[out].sum(), 1),
    }
    order, current, moved_count = fleet.random.sample(range(fleet.engines), fleet.engines), base, 0
    for tenth in range(10):
        after = fleet.weights(option, size, numpy.setdiff1d(listed, order[tenth::10]))
        moved_count += count_new_pairs(current, after)
        current = fleet.weights(option, size)
        moved_count += count_new_pairs(after, current)
    return {
        **found,
        "release": moved_count / all_of_them,
        "good": count_new_pairs(base, current) / all_of_them,
    }


def measure_demand_error_churn(fleet: Fleet, option: str, size: int, base: Any) -> float:
    """Returns the fraction of pairs that change if gateways misjudge their traffic by a tenth."""
    known, draws = fleet.demand, numpy.random.default_rng(fleet.seed + 2)
    fleet.demand = known * numpy.exp(0.1 * draws.standard_normal(len(known)))
    after = fleet.weights(option, size)
    fleet.demand = known
    return float(((after > 0) != (base > 0)).sum() / (base > 0).sum())


def measure_cold_engine_load(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    """Returns what all gateways may send together to a cold engine, relative to its allowance.

    Each gateway uses an equal part of the allowance: divided by all gateways (undivided), or by the
    gateways expected to have the engine in their set (divided).
    """
    listed, gateway_count = fleet.listed, fleet.gateways
    out = numpy.array(sorted(fleet.random.sample(range(fleet.engines), fleet.engines // 10)))
    old = fleet.weights(
        option,
        size,
        numpy.append(
            numpy.setdiff1d(listed, out), numpy.arange(fleet.engines, fleet.engines + len(out))
        ),
    )
    mixed, both = base.copy(), numpy.setdiff1d(listed, out)
    mixed[::2] = old[::2]  # half of the gateways have an older list
    expected = numpy.full(len(fleet.names), gateway_count * min(1.0, size / fleet.engines))
    if option == "all":
        expected[:] = gateway_count
    elif option.startswith("ours"):
        bars = subsets.rank_limits(gateway_count, fleet.by_place(listed), fleet.classes, size)
        expected = gateway_count * numpy.array([bars[place] for place in fleet.place])
    found = {}
    for how, parts in (
        ("undivided", numpy.full(len(fleet.names), 1 / gateway_count)),
        ("divided", 1 / expected),
    ):
        sums, mixed_sums = (
            ALLOWANCE_FRACTION * (base > 0).sum(axis=0) * parts,
            ALLOWANCE_FRACTION * (mixed > 0).sum(axis=0) * parts,
        )
        found |= {
            how: sums[listed].max(),
            f"{how}_mean": sums[listed].mean(),
            f"{how}_half": 2 * sums[listed].max(),
            f"{how}_double": sums[listed].max() / 2,
            f"{how}_ages": mixed_sums[both].max(),
        }
    return {f"cold_{key}": float(value) for key, value in found.items()}


def measure_zone_loss(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    """Measures the loss of the largest zone, with 0.6 of the capacity used before."""
    rest = numpy.array([n for n in fleet.listed if fleet.place[n][0] != 0])
    left = numpy.zeros_like(base)
    left[:, rest] = base[:, rest]
    reach = 1 - (left > 0).sum(axis=1) / numpy.maximum((base > 0).sum(axis=1), 1)
    wide = fleet.weights(option, size, rest)
    found = {"zone_reach": reach.mean(), "zone_reach_worst": reach.max()}
    for when, sets in ("before", left), ("after", wide):
        work = load_by_engine(fleet, sets, rest)
        used = work / fleet.demand[: fleet.gateways].sum() * fleet.engines * USED_FRACTION
        found |= {
            f"zone_load_{when}": worst_over_mean(work),
            f"zone_lost_{when}": numpy.maximum(used - 1, 0).sum() / (USED_FRACTION * fleet.engines),
        }
    return {key: float(value) for key, value in found.items()}


def measure_figures(fleet: Fleet, option: str, size: int) -> dict[str, float]:
    """Returns all figures of an option on a fleet, except its processor time."""
    sets, listed, gateway_count = fleet.weights(option, size), fleet.listed, fleet.gateways
    held = sets > 0
    small = numpy.array([n for n in listed if fleet.place[n] == fleet.smallest])
    sizes, links = held.sum(axis=1), held.sum(axis=0)[listed]
    return {
        "evenness": measure_evenness(fleet, sets, listed),
        "size_least": float(sizes.min()),
        "size_mean": float(sizes.mean()),
        "size_most": float(sizes.max()),
        "links": float(held.sum()),
        "links_engine": float(links.max()),
        "unheld": float((links == 0).sum()),
        "without": float((held[:, small].sum(axis=1) == 0).mean()),
        "fifth_row": measure_evenness(
            fleet,
            numpy.delete(sets, slice(gateway_count // 5, 2 * gateway_count // 5), axis=0),
            listed,
        ),
        "fifth_stride": measure_evenness(
            fleet, numpy.delete(sets, slice(0, None, 5), axis=0), listed
        ),
        "homes": count_first_engines(fleet, sets, listed),
        "load_flat": worst_over_mean(load_by_engine(fleet, held.astype(float), listed)),
        "wobble": measure_demand_error_churn(fleet, option, size, sets),
        "load_even": worst_over_mean(load_by_engine(fleet, sets, listed)),
        "load_choice": worst_over_mean(load_by_engine_of_two_choices(fleet, sets, listed)),
        **measure_churn(fleet, option, size, sets),
        **measure_cold_engine_load(fleet, option, size, sets),
        **measure_zone_loss(fleet, option, size, sets),
    }


def measure_processor_ms(fleet: Fleet, option: str, size: int) -> dict[str, float]:
    """Returns the processor time (ms) of a gateway to build its set and to add a listed engine.

    Options that evaluate each pair separately only evaluate the new pair; the others rebuild the
    set.
    """
    names, places = [fleet.names[n] for n in fleet.listed], fleet.by_place(fleet.listed)
    bars, gateways = (
        subsets.rank_limits(fleet.gateways, places, fleet.classes, size),
        range(0, fleet.gateways, 29),
    )

    def spent(operation: Callable[[int], Any]) -> float:
        started_at = time.process_time()
        for g in gateways:
            operation(g)
        return (time.process_time() - started_at) * 1000 / len(gateways)

    if option.startswith("ours"):
        build = spent(lambda g: subsets.select_subset(g, places, bars, fleet.classes))
    else:
        build = spent(lambda g: subsets.OPTIONS[option](g, fleet.gateways, names, size))
    pair = {
        "rendezvous": subsets.mix_hash,
        "tournament": subsets.engine_rank,
        "ours_fair": subsets.engine_rank,
        "ours": subsets.engine_rank,
    }
    change = (
        spent(lambda g: [pair[option](g, name) for name in names[:100]]) / 100
        if option in pair
        else build
    )
    return {"build": build, "change": change}


FIGURE_TEXTS = {
    "evenness": ("sets an engine, worst over mean of its zone and kind", ""),
    "size_least": ("least set", "engines"),
    "size_mean": ("mean set", "engines"),
    "size_most": ("largest set", "engines"),
    "links": ("links in the fleet, as many warm pairs", "pairs"),
    "links_engine": ("links at the busiest engine", "links"),
    "unheld": ("engines in no set", "engines"),
    "without": ("gateways without an engine for the class that may use one place only", "part"),
    "fifth_row": (
        "sets an engine, worst over mean, a fifth of the gateways lost, numbered in a row",
        "",
    ),
    "fifth_stride": ("sets an engine, worst over mean, every fifth gateway lost", ""),
    "load_even": ("load an engine, worst over mean, spread by weight over the set", ""),
    "load_flat": ("load an engine, worst over mean, spread alike over all that is held", ""),
    "load_choice": ("load an engine, worst over mean, the less loaded of two members", ""),
    "homes": ("engines at which a table group begins, over all gateways", "engines"),
    "added": ("pairs that join as an engine is added, over the mean's", ""),
    "removed": ("pairs that join as an engine is removed, over those it had", ""),
    "gateway": ("pairs that join at others as a gateway is added", "part"),
    "tenth": ("pairs that join as a tenth is replaced, over those it had", ""),
    "wobble": ("pairs that join or leave as gateways err by a tenth about their traffic", "part"),
    "release": ("pairs that join while tenth after tenth leaves and returns", "part"),
    "good": ("pairs that are others after that release", "part"),
    **{
        f"cold_{how}{case}": (f"sent to a cold engine over its allowance, parts {how}, {said}", "")
        for how in ("undivided", "divided")
        for case, said in (
            ("", "worst"),
            ("_mean", "mean"),
            ("_half", "worst, half of the gateways told"),
            ("_double", "worst, twice the gateways told"),
            ("_ages", "worst, half hold an older list"),
        )
    },
    "zone_reach": ("of a set, out of reach as the largest zone is lost", "part"),
    "zone_reach_worst": ("of the worst set, out of reach as the largest zone is lost", "part"),
    "zone_load_before": ("load on the rest, worst over mean, sets as they were", ""),
    "zone_load_after": ("load on the rest, worst over mean, sets replaced", ""),
    "zone_lost_before": ("work beyond capacity on the rest, sets as they were", "part"),
    "zone_lost_after": ("work beyond capacity on the rest, sets replaced", "part"),
    "build": ("processor to build a set", "ms"),
    "change": ("processor as one engine joins the list", "ms"),
}
SIMULATED_FIGURES = {"load_choice", "zone_lost_before", "zone_lost_after"}


def build_option_rows(
    fleets: list[Fleet],
    command_text: str,
    measure: Callable[[Fleet, str, int], dict[str, float]] = measure_figures,
) -> list[dict[str, Any]]:
    """Builds a row for each figure of each option, with a value for each fleet."""
    rows = []
    for option in OPTION_NAMES:
        found = [measure(fleet, option, SUBSET_SIZE) for fleet in fleets]
        click.echo(
            f"{option}: "
            f"{', '.join(f'{key} {value:.3g}' for key, value in [*found[0].items()][:3])}",
            err=True,
        )
        rows += [
            build_single_size_row(
                f"subset.{option}.{key}",
                f"{option}: {FIGURE_TEXTS[key][0]}",
                FIGURE_TEXTS[key][1],
                "gateways",
                fleets[0].gateways,
                [each[key] for each in found],
                "simulated" if key in SIMULATED_FIGURES else "hollow",
                command_text,
            )
            for key in found[0]
        ]
    return rows


def build_sweep_rows(fleets: list[Fleet], command_text: str) -> list[dict[str, Any]]:
    """Builds rows by size of a set, for three ways to widen the set with the gateway's traffic.

    The sets are those of the bare ranks over the whole list.
    """

    def sets(fleet: Fleet, how: str, size: int) -> Any:
        found = numpy.zeros((fleet.gateways, len(fleet.names)))
        bar = size / fleet.engines * DEMAND_FACTORS[how](fleet.demand[: fleet.gateways])
        found[:, fleet.listed] = fleet.ranks[: fleet.gateways, fleet.listed] <= bar[:, None]
        return found

    sweep_figures: dict[str, tuple[str, str, Callable[[Fleet, Any], float]]] = {
        "evenness": (
            "sets an engine, worst over mean of its zone and kind",
            "",
            lambda fleet, s: measure_evenness(fleet, s, fleet.listed),
        ),
        "load_even": (
            "load an engine, worst over mean, spread evenly over the set",
            "",
            lambda fleet, s: worst_over_mean(load_by_engine(fleet, s, fleet.listed)),
        ),
        "load_choice": (
            "load an engine, worst over mean, the less loaded of two members",
            "",
            lambda fleet, s: worst_over_mean(load_by_engine_of_two_choices(fleet, s, fleet.listed)),
        ),
        "links": ("links in the fleet", "pairs", lambda fleet, s: float((s > 0).sum())),
        "size_least": ("least set", "engines", lambda fleet, s: float((s > 0).sum(axis=1).min())),
    }
    rows, top = [], fleets[0].engines
    for how in DEMAND_FACTORS:
        for key, (what, unit, measure) in sweep_figures.items():
            turns: Iterable[Fleet] = iter([*fleets] * len(SWEPT_SIZES))
            rows.append(
                measure_slope(
                    f"subset.sweep_{how}.{key}",
                    f"ours by size, {how}: {what}",
                    unit,
                    "engines wanted in a set",
                    [size for size in SWEPT_SIZES if size <= top // 2],
                    lambda size, how=how, measure=measure, turns=turns: measure(
                        fleet := next(turns), sets(fleet, how, size)
                    ),
                    repeats=len(fleets),
                    kind="simulated" if key in SIMULATED_FIGURES else "hollow",
                    command=command_text,
                )
            )
    rows.append(
        build_single_size_row(
            "subset.ours.unnumbered",
            "ours: sets an engine, worst over mean, gateways that know no number",
            "",
            "gateways",
            fleets[0].gateways,
            [measure_evenness_without_numbers(fleet, SUBSET_SIZE) for fleet in fleets],
            "hollow",
            command_text,
        )
    )
    return rows


def print_tables(rows: list[dict[str, Any]]) -> None:
    """Prints the comparison of options, then the sweep over sizes, as medians over the seeds."""
    from rich.console import Console
    from rich.table import Table

    table, sweep = (
        Table("figure", *OPTION_NAMES),
        Table("figure, by engines wanted in a set", *map(str, SWEPT_SIZES)),
    )
    held = {row["key"]: row["points"][0]["median"] for row in rows}
    for key, (what, unit) in FIGURE_TEXTS.items():
        if f"subset.all.{key}" in held:
            table.add_row(
                f"{what} {f'({unit})' if unit else ''}",
                *(f"{held[f'subset.{option}.{key}']:.3g}" for option in OPTION_NAMES),
            )
    for row in rows:
        if len(row["points"]) > 1:
            sweep.add_row(row["what"], *(f"{point['median']:.3g}" for point in row["points"]))
    for each in table, sweep:
        if each.row_count:
            Console(width=190).print(each)


PARTS = {
    "options": build_option_rows,
    "processor": lambda fleets, said: build_option_rows(fleets, said, measure_processor_ms),
    "sizes": build_sweep_rows,
}


@click.command(
    epilog="Example: python benchmarks/scale.py subset --gateways 300 --engines 900 --json"
)
@click.option("--gateways", default=870, show_default=True, type=click.IntRange(16))
@click.option("--engines", default=1800, show_default=True, type=click.IntRange(128))
@click.option(
    "--seeds",
    default=3,
    show_default=True,
    type=click.IntRange(1),
    help="Number of fleets, each generated from another seed.",
)
@click.option(
    "--part", "parts", multiple=True, type=click.Choice([*PARTS]), help="Part to run; default: all."
)
@click.option(
    "--quick",
    is_flag=True,
    help="A tenth of both, one seed, no sweep over sizes; nothing is stored.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
def command(
    gateways: int, engines: int, seeds: int, parts: tuple[str, ...], quick: bool, as_json: bool
) -> None:
    """Compare algorithms for working sets of engines, their cost, and sizes of a set.

    Only runs with 870 gateways and 1,800 engines write docs/capacity/subset.json.
    """
    if quick:
        gateways, engines, seeds = max(gateways // 10, 16), max(engines // 10, 128), 1
    check_trial_size(1, (seeds * 2.2 + 12) * gateways * engines * 8 / 2**20)
    said = (
        f"python benchmarks/scale.py subset --gateways {gateways} "
        f"--engines {engines} --seeds {seeds}"
    )
    fleets = []
    for seed in range(1, seeds + 1):
        fleets.append(Fleet(gateways, engines, seed))
        fleets[-1].check_against_model(SUBSET_SIZE)
        click.echo(
            f"fleet {seed} of {seeds}: {gateways} gateways before {engines} engines", err=True
        )
    rows = []
    for part in parts or [part for part in PARTS if not (quick and part == "sizes")]:
        rows += PARTS[part](fleets, f"{said} --part {part}")
    if (gateways, engines) == (870, 1800):
        save_rows("subset", rows)
    click.echo(json.dumps(rows)) if as_json else print_tables(rows)
