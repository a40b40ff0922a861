"""Working sets of engines: the options of docs/subsetting.md side by side on one hollow fleet, and the size of a set.

    python benchmarks/scale.py subset                   870 gateways before 1,800 engines, three seeds; some two minutes
    python benchmarks/scale.py subset --quick           a tenth of both, one seed, nothing kept

Owns the fleet that the options are held against: ten places unevenly filled, uneven traffic,
classes that may use one kind or one place only. The sets are those of corkgauge/model/subsets.py;
what some options ask of each pair, or of each round, is worked out once, and what is made of it is
held against the pure function on some gateways in each run. Must never serve, open a socket, or
hold a figure that no run gave.
"""

import json
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import click
import numpy

from benchmarks.scaling import bounded, kept, single, slope
from corkgauge.model import subsets

ZONES = 0.28, 0.24, 0.20, 0.16, 0.12  # of the engines
KINDS = 0.85, 0.70, 0.80, 0.60, 0.75  # of each zone's, those of the first kind
SIZE, UTILISED, LIMIT = (
    48,
    0.6,
    0.9,
)  # of a set; of capacity that is used, and that is reckoned with
SIGMA, LONGEST, HOT = (
    0.7,
    4.0,
    5.0,
)  # traffic: log-normal, cut there; one gateway in 109 sees five times the mean
SAFETY = (
    0.9 * 0.85
)  # of its part of a cold engine's allowance that a gateway uses, as in control.py
GROUPS = 20  # of tables, of the engines at which a group begins
NARROW = 1e-9  # weight of a member that is held for one class alone
DRAWS = 40  # for each engine, of the load under choice
SWEEP = 16, 24, 32, 48, 64, 96, 128, 192
WIDER: dict[str, Callable[[Any], Any]] = {
    "alike": lambda demand: numpy.ones_like(demand),
    "fair": lambda demand: numpy.maximum(1, demand),
    "busy": lambda demand: numpy.array(
        [subsets.load_growth_factor(each * UTILISED / LIMIT) for each in demand]
    ),
}
NAMES = "all", "chance", "rendezvous", "rounds", "aperture", "tournament", "ours_fair", "ours"


class Fleet:
    """Gateways before engines, by seed; one engine in the list's tenth more than listed stands ready to replace."""

    def __init__(self, gateways: int, engines: int, seed: int) -> None:
        self.gateways, self.engines, self.seed = gateways, engines, seed
        self.chance = random.Random(seed)
        spare = engines // 10 + 1
        self.names = [subsets.mix_hash(seed, n, 1) for n in range(engines + spare)]
        self.column = {name: n for n, name in enumerate(self.names)}
        shares = [
            (zone * part, (z, k))
            for z, zone in enumerate(ZONES)
            for k, part in enumerate((KINDS[z], 1 - KINDS[z]))
        ]
        weights, filled = [share for share, _ in shares], [place for _, place in shares]
        self.place = [filled[0]] * len(self.names)
        at = 0
        for n, (share, place) in enumerate(shares):  # evenly filled by share; spares by chance
            upto = engines if n == len(shares) - 1 else at + round(share * engines)
            self.place[at:upto] = [place] * (upto - at)
            at = upto
        self.place[engines:] = self.chance.choices(filled, weights, k=spare)
        self.places = sorted(set(filled))
        kind_one, smallest = [p for p in self.places if p[1] == 1], min(shares)[1]
        self.classes = [self.places, kind_one, [smallest]]  # what each class may use
        self.smallest = smallest
        draws = numpy.random.default_rng(seed)
        self.demand = numpy.exp(SIGMA * draws.standard_normal(gateways + 1))
        self.demand = numpy.minimum(self.demand / self.demand.mean(), LONGEST)
        self.demand[draws.choice(gateways, max(gateways // 109, 1), replace=False)] = HOT
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
        """The sets of all gateways as a matrix, gateways by engines: 0, or the weight that is sent to it with."""
        listed, gateways = self.listed if listed is None else listed, gateways or self.gateways
        found = numpy.zeros((gateways, len(self.names)))
        if option in ("tournament", "ours_fair", "ours"):
            found[:, listed] = self._ranked(option, size, listed, gateways)
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

    def _ranked(self, option: str, size: int, listed: Any, gateways: int) -> Any:
        ranks = self.ranks[:gateways, listed]
        if option == "tournament":
            return ranks <= size / len(listed)
        places = self.by_place(listed)
        bars = subsets.rank_limits(gateways, places, self.classes, size)
        wider = WIDER["fair" if option == "ours_fair" else "busy"](self.demand[:gateways])
        held = ranks <= numpy.array([bars[self.place[n]] for n in listed]) * wider[:, None]
        for reach in self.classes:
            able = numpy.array([i for i, n in enumerate(listed) if self.place[n] in reach])
            for g in numpy.nonzero(held[:, able].sum(axis=1) < subsets.MIN_ENGINES_PER_CLASS)[0]:
                held[g, able[numpy.argsort(ranks[g, able])[: subsets.MIN_ENGINES_PER_CLASS]]] = True
        # What is held for a class that has few serves that class alone: a narrow place is in many
        # sets.
        usual = subsets.target_subset_size(gateways, len(listed), size) / len(listed)
        return numpy.where(held & (ranks > usual * wider[:, None]), NARROW, held)

    def agree(self, size: int) -> None:
        """What was made of the tables is what the pure functions say, for some gateways; else the run ends here."""
        names, places = [self.names[n] for n in self.listed], self.by_place(self.listed)
        bars = subsets.rank_limits(self.gateways, places, self.classes, size)
        some = self.chance.sample(range(self.gateways), min(self.gateways, 6))
        for option in ("rendezvous", "rounds", "tournament", "ours_fair", "ours"):
            made = self.weights(option, size)
            for g in some:
                wider = float(WIDER["fair" if option == "ours_fair" else "busy"](self.demand)[g])
                said = (
                    subsets.OPTIONS[option](g, self.gateways, names, size)
                    if option in subsets.OPTIONS
                    else (subsets.select_subset(g, places, bars, self.classes, wider))
                )
                if said != sorted(self.names[n] for n in numpy.nonzero(made[g])[0]):
                    raise RuntimeError(
                        f"{option}: the table and the pure function differ at gateway {g}"
                    )


def worst(figures: Any) -> float:
    """Worst over mean."""
    return float(figures.max() / figures.mean())


def evenness(fleet: Fleet, sets: Any, listed: Any) -> float:
    """Sets an engine, worst over mean among its zone and kind; of the worst place."""
    counts, places = (
        (sets > 0).sum(axis=0),
        numpy.array([fleet.places.index(fleet.place[n]) for n in listed]),
    )
    return max(
        worst(counts[listed[places == n]]) for n in range(len(fleet.places)) if (places == n).any()
    )


def load(fleet: Fleet, sets: Any, listed: Any) -> Any:
    """Work an engine, each gateway's spread over its set by weight; a gateway without any sends none."""
    sums = sets.sum(axis=1)
    return ((fleet.demand[: len(sets)] / numpy.where(sums > 0, sums, 1)) @ sets)[listed]


def chosen_load(fleet: Fleet, sets: Any, listed: Any) -> Any:
    """Requests an engine where the less loaded of two members goes, its load as if every answer told at once."""
    draws = numpy.random.default_rng(fleet.seed + 1)
    members = [numpy.nonzero(row > NARROW)[0] for row in sets]
    demand = fleet.demand[: fleet.gateways] * [len(m) > 0 for m in members]
    who = draws.choice(fleet.gateways, DRAWS * len(listed), p=demand / demand.sum())
    one, two = draws.random((2, len(who)))
    counts = [0] * sets.shape[1]
    for g, first, second in zip(who.tolist(), one.tolist(), two.tolist()):
        mine = members[g]
        a, b = mine[int(first * len(mine))], mine[int(second * len(mine))]
        counts[a if counts[a] <= counts[b] else b] += 1
    return numpy.array(counts)[listed]


def homes(fleet: Fleet, sets: Any, listed: Any) -> float:
    """Engines over which the first hand-offs of a table group spread (inverse of the sum of squared parts), where each
    gateway begins at the first of its set in the order hashed from the group; the mean of some
    groups.
    """
    draws, found = numpy.random.default_rng(fleet.seed + 3), []
    for _ in range(GROUPS):
        order = draws.permutation(listed)
        first = order[numpy.argmax(sets[:, order] > NARROW, axis=1)]
        parts = numpy.bincount(first, fleet.demand[: len(sets)]) / fleet.demand[: len(sets)].sum()
        found.append(1 / (parts**2).sum())
    return float(numpy.mean(found))


def unnumbered(fleet: Fleet, size: int) -> float:
    """Evenness of ours, bare, where gateways know no number among all and take one by hash of their names."""
    found = numpy.zeros(fleet.engines)
    for gateway in range(fleet.gateways):
        number = subsets.mix_hash(fleet.seed, gateway, 5)
        found += [
            subsets.engine_rank(number, fleet.names[n]) <= size / fleet.engines
            for n in fleet.listed
        ]
    return worst(found)


def moved(before: Any, after: Any) -> int:
    """Pairs of gateway and engine that joined."""
    return int(((after[: len(before)] > 0) & ~(before > 0)).sum())


def churn(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    listed, all_of_them = fleet.listed, int((base > 0).sum())
    added, without = numpy.append(listed, fleet.engines), numpy.delete(listed, fleet.engines // 3)
    out = numpy.array(sorted(fleet.chance.sample(range(fleet.engines), fleet.engines // 10)))
    replaced = numpy.append(
        numpy.setdiff1d(listed, out), numpy.arange(fleet.engines, fleet.engines + len(out))
    )
    holders = (base > 0).sum(axis=0)
    found = {
        "added": moved(base, fleet.weights(option, size, added)) / (all_of_them / fleet.engines),
        "removed": moved(base, fleet.weights(option, size, without))
        / max(holders[fleet.engines // 3], 1),
        "gateway": moved(base, fleet.weights(option, size, gateways=fleet.gateways + 1))
        / all_of_them,
        "tenth": moved(base, fleet.weights(option, size, replaced)) / max(holders[out].sum(), 1),
    }
    order, now, way = fleet.chance.sample(range(fleet.engines), fleet.engines), base, 0
    for tenth in range(10):
        after = fleet.weights(option, size, numpy.setdiff1d(listed, order[tenth::10]))
        way += moved(now, after)
        now = fleet.weights(option, size)
        way += moved(after, now)
    return {**found, "release": way / all_of_them, "good": moved(base, now) / all_of_them}


def wobble(fleet: Fleet, option: str, size: int, base: Any) -> float:
    """Of all pairs, those that join or leave as what each gateway takes for its traffic errs by a tenth."""
    known, draws = fleet.demand, numpy.random.default_rng(fleet.seed + 2)
    fleet.demand = known * numpy.exp(0.1 * draws.standard_normal(len(known)))
    after = fleet.weights(option, size)
    fleet.demand = known
    return float(((after > 0) != (base > 0)).sum() / (base > 0).sum())


def cold(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    """What all holders together may send to one engine that has just started, over its allowance, of the worst engine:
    each its equal part of all gateways (undivided), or of those expected to hold the engine
    (divided).
    """
    listed, many = fleet.listed, fleet.gateways
    out = numpy.array(sorted(fleet.chance.sample(range(fleet.engines), fleet.engines // 10)))
    old = fleet.weights(
        option,
        size,
        numpy.append(
            numpy.setdiff1d(listed, out), numpy.arange(fleet.engines, fleet.engines + len(out))
        ),
    )
    mixed, both = base.copy(), numpy.setdiff1d(listed, out)
    mixed[::2] = old[::2]  # half of the gateways hold a list of another age
    expected = numpy.full(len(fleet.names), many * min(1.0, size / fleet.engines))
    if option == "all":
        expected[:] = many
    elif option.startswith("ours"):
        bars = subsets.rank_limits(many, fleet.by_place(listed), fleet.classes, size)
        expected = many * numpy.array([bars[place] for place in fleet.place])
    found = {}
    for how, parts in (
        ("undivided", numpy.full(len(fleet.names), 1 / many)),
        ("divided", 1 / expected),
    ):
        sums, ages = (
            SAFETY * (base > 0).sum(axis=0) * parts,
            SAFETY * (mixed > 0).sum(axis=0) * parts,
        )
        found |= {
            how: sums[listed].max(),
            f"{how}_mean": sums[listed].mean(),
            f"{how}_half": 2 * sums[listed].max(),
            f"{how}_double": sums[listed].max() / 2,
            f"{how}_ages": ages[both].max(),
        }
    return {f"cold_{key}": float(value) for key, value in found.items()}


def zone_lost(fleet: Fleet, option: str, size: int, base: Any) -> dict[str, float]:
    """The largest zone's engines go; capacity is counted as used to 0.6 before."""
    rest = numpy.array([n for n in fleet.listed if fleet.place[n][0] != 0])
    left = numpy.zeros_like(base)
    left[:, rest] = base[:, rest]
    reach = 1 - (left > 0).sum(axis=1) / numpy.maximum((base > 0).sum(axis=1), 1)
    wide = fleet.weights(option, size, rest)
    found = {"zone_reach": reach.mean(), "zone_reach_worst": reach.max()}
    for when, sets in ("before", left), ("after", wide):
        work = load(fleet, sets, rest)
        used = work / fleet.demand[: fleet.gateways].sum() * fleet.engines * UTILISED
        found |= {
            f"zone_load_{when}": worst(work),
            f"zone_lost_{when}": numpy.maximum(used - 1, 0).sum() / (UTILISED * fleet.engines),
        }
    return {key: float(value) for key, value in found.items()}


def figures(fleet: Fleet, option: str, size: int) -> dict[str, float]:
    """All of one option on one fleet, but for its cost."""
    sets, listed, many = fleet.weights(option, size), fleet.listed, fleet.gateways
    held = sets > 0
    small = numpy.array([n for n in listed if fleet.place[n] == fleet.smallest])
    sizes, links = held.sum(axis=1), held.sum(axis=0)[listed]
    return {
        "evenness": evenness(fleet, sets, listed),
        "size_least": float(sizes.min()),
        "size_mean": float(sizes.mean()),
        "size_most": float(sizes.max()),
        "links": float(held.sum()),
        "links_engine": float(links.max()),
        "unheld": float((links == 0).sum()),
        "without": float((held[:, small].sum(axis=1) == 0).mean()),
        "fifth_row": evenness(
            fleet, numpy.delete(sets, slice(many // 5, 2 * many // 5), axis=0), listed
        ),
        "fifth_stride": evenness(fleet, numpy.delete(sets, slice(0, None, 5), axis=0), listed),
        "homes": homes(fleet, sets, listed),
        "load_flat": worst(load(fleet, held.astype(float), listed)),
        "wobble": wobble(fleet, option, size, sets),
        "load_even": worst(load(fleet, sets, listed)),
        "load_choice": worst(chosen_load(fleet, sets, listed)),
        **churn(fleet, option, size, sets),
        **cold(fleet, option, size, sets),
        **zone_lost(fleet, option, size, sets),
    }


def cost(fleet: Fleet, option: str, size: int) -> dict[str, float]:
    """Processor of one gateway (ms): its set built from the list; one engine more in the list. Whoever asks only for
    the pair keeps what it worked out and asks for the new one; the others begin anew.
    """
    names, places = [fleet.names[n] for n in fleet.listed], fleet.by_place(fleet.listed)
    bars, gateways = (
        subsets.rank_limits(fleet.gateways, places, fleet.classes, size),
        range(0, fleet.gateways, 29),
    )

    def spent(act: Callable[[int], Any]) -> float:
        begun = time.process_time()
        for g in gateways:
            act(g)
        return (time.process_time() - begun) * 1000 / len(gateways)

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


WHAT = {
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
SIMULATED = {"load_choice", "zone_lost_before", "zone_lost_after"}


def weighed(
    fleets: list[Fleet],
    command_said: str,
    measure: Callable[[Fleet, str, int], dict[str, float]] = figures,
) -> list[dict[str, Any]]:
    """Each figure of each option, a value a fleet."""
    rows = []
    for option in NAMES:
        found = [measure(fleet, option, SIZE) for fleet in fleets]
        click.echo(
            f"{option}: {', '.join(f'{key} {value:.3g}' for key, value in [*found[0].items()][:3])}",
            err=True,
        )
        rows += [
            single(
                f"subset.{option}.{key}",
                f"{option}: {WHAT[key][0]}",
                WHAT[key][1],
                "gateways",
                fleets[0].gateways,
                [each[key] for each in found],
                "simulated" if key in SIMULATED else "hollow",
                command_said,
            )
            for key in found[0]
        ]
    return rows


def swept(fleets: list[Fleet], command_said: str) -> list[dict[str, Any]]:
    """The size of a set, for three ways to widen it by a gateway's own traffic; bare ranks over the whole list."""

    def sets(fleet: Fleet, how: str, size: int) -> Any:
        found = numpy.zeros((fleet.gateways, len(fleet.names)))
        bar = size / fleet.engines * WIDER[how](fleet.demand[: fleet.gateways])
        found[:, fleet.listed] = fleet.ranks[: fleet.gateways, fleet.listed] <= bar[:, None]
        return found

    asked: dict[str, tuple[str, str, Callable[[Fleet, Any], float]]] = {
        "evenness": (
            "sets an engine, worst over mean of its zone and kind",
            "",
            lambda fleet, s: evenness(fleet, s, fleet.listed),
        ),
        "load_even": (
            "load an engine, worst over mean, spread evenly over the set",
            "",
            lambda fleet, s: worst(load(fleet, s, fleet.listed)),
        ),
        "load_choice": (
            "load an engine, worst over mean, the less loaded of two members",
            "",
            lambda fleet, s: worst(chosen_load(fleet, s, fleet.listed)),
        ),
        "links": ("links in the fleet", "pairs", lambda fleet, s: float((s > 0).sum())),
        "size_least": ("least set", "engines", lambda fleet, s: float((s > 0).sum(axis=1).min())),
    }
    rows, top = [], fleets[0].engines
    for how in WIDER:
        for key, (what, unit, measure) in asked.items():
            turns: Iterable[Fleet] = iter([*fleets] * len(SWEEP))
            rows.append(
                slope(
                    f"subset.sweep_{how}.{key}",
                    f"ours by size, {how}: {what}",
                    unit,
                    "engines wanted in a set",
                    [size for size in SWEEP if size <= top // 2],
                    lambda size, how=how, measure=measure, turns=turns: measure(
                        fleet := next(turns), sets(fleet, how, size)
                    ),
                    repeats=len(fleets),
                    kind="simulated" if key in SIMULATED else "hollow",
                    command=command_said,
                )
            )
    rows.append(
        single(
            "subset.ours.unnumbered",
            "ours: sets an engine, worst over mean, gateways that know no number",
            "",
            "gateways",
            fleets[0].gateways,
            [unnumbered(fleet, SIZE) for fleet in fleets],
            "hollow",
            command_said,
        )
    )
    return rows


def printed(rows: list[dict[str, Any]]) -> None:
    """Options side by side, then the sweep over sizes; medians over the seeds."""
    from rich.console import Console
    from rich.table import Table

    table, sweep = (
        Table("figure", *NAMES),
        Table("figure, by engines wanted in a set", *map(str, SWEEP)),
    )
    held = {row["key"]: row["points"][0]["median"] for row in rows}
    for key, (what, unit) in WHAT.items():
        if f"subset.all.{key}" in held:
            table.add_row(
                f"{what} {f'({unit})' if unit else ''}",
                *(f"{held[f'subset.{option}.{key}']:.3g}" for option in NAMES),
            )
    for row in rows:
        if len(row["points"]) > 1:
            sweep.add_row(row["what"], *(f"{point['median']:.3g}" for point in row["points"]))
    for each in table, sweep:
        if each.row_count:
            Console(width=190).print(each)


PARTS = {
    "options": weighed,
    "processor": lambda fleets, said: weighed(fleets, said, cost),
    "sizes": swept,
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
    help="Fleets, each with other names.",
)
@click.option(
    "--part", "parts", multiple=True, type=click.Choice([*PARTS]), help="Only this; all without."
)
@click.option(
    "--quick", is_flag=True, help="A tenth of both, one seed, no sweep over sizes, nothing kept."
)
@click.option("--json", "as_json", is_flag=True, help="The rows, for programs.")
def command(
    gateways: int, engines: int, seeds: int, parts: tuple[str, ...], quick: bool, as_json: bool
) -> None:
    """Working sets of engines: the options side by side, what they cost, and the size of a set.

    Only runs of 870 gateways before 1,800 engines write docs/capacity/subset.json.
    """
    if quick:
        gateways, engines, seeds = max(gateways // 10, 16), max(engines // 10, 128), 1
    bounded(1, (seeds * 2.2 + 12) * gateways * engines * 8 / 2**20)
    said = f"python benchmarks/scale.py subset --gateways {gateways} --engines {engines} --seeds {seeds}"
    fleets = []
    for seed in range(1, seeds + 1):
        fleets.append(Fleet(gateways, engines, seed))
        fleets[-1].agree(SIZE)
        click.echo(
            f"fleet {seed} of {seeds}: {gateways} gateways before {engines} engines", err=True
        )
    rows = []
    for part in parts or [part for part in PARTS if not (quick and part == "sizes")]:
        rows += PARTS[part](fleets, f"{said} --part {part}")
    if (gateways, engines) == (870, 1800):
        kept("subset", rows)
    click.echo(json.dumps(rows)) if as_json else printed(rows)
