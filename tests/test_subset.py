"""The subset of engines that each gateway has of a long list: even, steady, whole where the list is short."""

from collections import Counter
from hashlib import md5

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkgauge.config.settings import Settings
from corkgauge.model import subsets
from corkgauge.policy import subsetting
from corkgauge.policy.concurrency_limit import INITIAL_THREADS_PER_CORE
from corkgauge.policy.outlier_detection import is_trusted
from corkgauge.policy.records import AttemptOutcome, Engine, EngineState, Repeatability
from tests.harness import QUICK, SECOND, STATED_ON_SOCKETS, GatewayHarness

RARE = {**QUICK, "name": "rare", "engine_kinds": (1,)}


def fleet_engines(many, rare=0, zones=5, mark=b"s-%d"):
    """So many engines; the last `rare` of them are of kind 1."""
    return [
        Engine(f"s{n}", mark % n, n % zones, int(n >= many - rare), n // 3, cores=8.0, name=f"s{n}")
        for n in range(many)
    ]


def gateway_before(
    engines, gateway_number=5, gateway_count=870, request_classes=(QUICK,), **settings
):
    """A gateway on its host, told these engines; copies, as what it has seen of them is its own."""
    harness = GatewayHarness(
        request_classes=request_classes,
        engines=0,
        gateway_number=gateway_number,
        gateway_count=gateway_count,
        **settings,
    )
    harness.engines = [
        Engine(e.host_reference, e.hash_key, e.zone, e.kind, e.cell, cores=e.cores, name=e.name)
        for e in engines
    ]
    harness.tell(*harness.engines)
    return harness


def subset_of(harness):
    return {engine.host_reference for engine in harness.gateway.engines}


def subsets_of(engines, numbers, **more):
    return [subset_of(gateway_before(engines, number, **more)) for number in numbers]


def worst_over_mean(engines, sets):
    """Sets that an engine is in, by zone and kind."""
    count = Counter(tag for each in sets for tag in each)
    places = {}
    for engine in engines:
        places.setdefault((engine.zone, engine.kind), []).append(count[engine.host_reference])
    return max(max(each) / (sum(each) / len(each)) for each in places.values())


@pytest.mark.parametrize("many", [1, 5, 40, 80, 128])
def test_a_short_list_is_the_subset(many):
    harness = gateway_before(fleet_engines(many, rare=many // 4), request_classes=(QUICK, RARE))
    assert subset_of(harness) == {engine.host_reference for engine in harness.engines} and all(
        each.in_subset for each in harness.engines
    )


@pytest.mark.parametrize(
    "many, least, most", [(129, 100, 140), (200, 50, 115), (400, 25, 75), (1800, 25, 75)]
)
def test_a_long_list_has_a_bounded_subset(many, least, most):
    for number in 0, 1, 7, 500, 869, 10**7:
        harness = gateway_before(fleet_engines(many), number)
        assert least <= len(subset_of(harness)) <= most
        assert {
            engine.host_reference for engine in harness.engines if engine.in_subset
        } == subset_of(harness)


def test_few_gateways_before_many_engines_hold_them_all_together():
    engines = fleet_engines(600)
    for gateways in 3, 12:
        sets = subsets_of(engines, range(gateways), gateway_count=gateways)
        assert set().union(*sets) == {engine.host_reference for engine in engines}


@settings(max_examples=5, deadline=None)
@given(st.integers(300, 900), st.integers(600, 1800), st.integers(0, 10**6))
def test_each_engine_is_in_nearly_as_many_subsets_as_any_other(gateways, many, salt):
    part = (
        max(
            subsetting.BASE_ENGINE_COUNT,
            128**2 / many,
            subsetting.SUBSETS_PER_ENGINE * many / gateways,
        )
        / many
    )
    count = [0] * 40
    for number in range(gateways):
        for n in range(40):
            count[n] += subsetting.subset_rank(number, b"%d-%d" % (salt, n)) <= part
    assert max(count) <= 1.25 * gateways * part and min(count) >= 0.75 * gateways * part


def test_the_bound_on_evenness_objects_to_ranks_by_plain_hash(monkeypatch):
    engines = fleet_engines(400, rare=40)
    numbers = range(0, 300)
    assert (
        worst_over_mean(
            engines, subsets_of(engines, numbers, gateway_count=300, request_classes=(QUICK, RARE))
        )
        <= 1.25
    )
    monkeypatch.setattr(
        subsetting,
        "subset_rank",
        lambda number, mark: int.from_bytes(md5(b"%d" % number + mark).digest()[:4]) / 2**32,
    )
    assert (
        worst_over_mean(
            engines, subsets_of(engines, numbers, gateway_count=300, request_classes=(QUICK, RARE))
        )
        > 1.25
    )


def test_the_subsets_of_two_gateways_share_little_more_than_chance():
    """Danger: were many sets the same, those engines would carry all that these gateways have."""
    sets = subsets_of(fleet_engines(1000), range(0, 130))
    shared = [len(a & b) for n, a in enumerate(sets) for b in sets[n + 1 :]]
    assert max(shared) < 16 and sum(shared) / len(shared) < 4  # 48 of 1,000: 2.3 by chance


def test_one_engine_more_or_less_changes_little_and_what_comes_back_finds_its_place():
    harnesses = [gateway_before(fleet_engines(900), number) for number in range(120)]
    before = [subset_of(harness) for harness in harnesses]
    newcomer = Engine("new", b"new", 2, 0, 7, cores=8.0)
    for harness in harnesses:
        harness.tell(Engine("new", b"new", 2, 0, 7, cores=8.0))
    changed = sum(len(subset_of(harness) ^ was) for harness, was in zip(harnesses, before))
    assert changed <= 3 * 120 * 48 / 900 + 10, (
        changed
    )  # those that hold it, and as many that let one go
    assert (
        3 <= sum("new" in subset_of(harness) for harness in harnesses) <= 10
        and newcomer.subset_rank == 0.0
    )
    for harness in harnesses:
        harness.tell(
            next(
                each
                for each in harness.gateway.subset.zone_and_kind_of
                if each.host_reference == "new"
            ),
            state=EngineState.GONE,
        )
    assert [subset_of(harness) for harness in harnesses] == before


def test_a_rolling_release_moves_nothing_for_good():
    harness = gateway_before(fleet_engines(300))
    before = subset_of(harness)
    for first in range(0, 300, 30):
        step = harness.engines[first : first + 30]
        harness.tell(*step, state=EngineState.DRAINING)
        assert not subset_of(harness) & {engine.host_reference for engine in step}
        harness.tell(*step, state=EngineState.GONE)
        harness.tell(*step, started=harness.now)
    assert subset_of(harness) == before


def test_a_class_that_few_engines_may_run_has_them_in_the_subset():
    few = fleet_engines(1800, rare=1)
    for number in range(0, 870, 50):
        assert "s1799" in subset_of(gateway_before(few, number, request_classes=(QUICK, RARE)))
    some, many = fleet_engines(1800, rare=60), []
    for number in range(0, 870, 50):
        harness = gateway_before(some, number, request_classes=(QUICK, RARE))
        rare = [each for each in harness.gateway.engines if each.kind]
        many.append(len(rare))
        harness.take(1)
        assert harness.said("hand_off")[0][1] in {each.host_reference for each in rare}
    assert (
        min(many) >= subsetting.MIN_HEALTHY_ENGINES
        and max(many) < 30
        and 6 < sum(many) / len(many) < 12
    )  # without: 1.6


def test_a_class_whose_engines_in_the_subset_all_fail_gets_others():
    harness = gateway_before(fleet_engines(600, rare=60), request_classes=(QUICK, RARE))
    for _ in range(3):  # those that come in their place fail as well
        failing(harness, [each for each in harness.gateway.engines if each.kind])
        harness.gateway.on_subset_update_due()
        able = [each for each in harness.gateway.engines if each.kind and is_trusted(each.stats)]
        assert len(able) >= subsetting.MIN_HEALTHY_ENGINES


def failing(harness, engines):
    for engine in engines:
        engine.stats.fault_history.append("unreached")


def test_what_fails_is_replaced_by_bounded_steps_and_given_back():
    harness = gateway_before(fleet_engines(1500))
    before, sizes = subset_of(harness), []
    for _ in range(8):
        dead = [engine for engine in harness.gateway.engines if engine.zone in (0, 1, 2)]
        failing(harness, dead)
        harness.pass_time(2 * SECOND)
        sizes.append(len(subset_of(harness)))
    assert before < subset_of(harness) and 1.6 * len(before) < sizes[-1] <= 2.6 * len(before)
    steps = [later - sooner for sooner, later in zip([len(before), *sizes], sizes)]
    assert max(steps) <= 0.45 * len(before), steps  # a fifth a period, and chance
    for engine in dead:
        engine.stats.fault_history.append("")
    harness.pass_time(60 * SECOND)
    assert subset_of(harness) == before
    assert [line for line, _ in harness.said("log") if line.startswith("set ")][0].startswith(
        "set wider"
    )


def test_gateways_that_started_together_do_not_change_their_subsets_in_step():
    harnesses = [gateway_before(fleet_engines(200), number) for number in range(100)]
    moments = []
    for harness in harnesses:
        harness.gateway.on_feedback_interval()
        moments += [
            when - harness.now
            for when, _, method, _ in harness.wakes
            if method == harness.gateway.on_subset_update_due
        ]
    assert len(moments) == 100
    tenths = Counter(moment * 10 // (2 * SECOND) for moment in moments)
    assert max(tenths.values()) <= 25 and len(tenths) >= 8


def test_a_short_list_is_never_looked_at_again():
    harness = gateway_before(fleet_engines(100))
    harness.pass_time(10 * SECOND)
    assert not [each for each in harness.wakes if each[2] == harness.gateway.on_subset_update_due]


def test_a_gateway_with_several_times_its_part_has_a_wider_subset():
    sizes = {}
    for times in 0.5, 3.0, 30.0:
        harness = gateway_before(fleet_engines(1800))
        work = 8 * 1800 * INITIAL_THREADS_PER_CORE / 870 * times  # cores' worth of its part
        queue = harness.take().queue
        for _ in range(40):  # until the count of what is asked for has settled
            many = int(work * 2 * SECOND / queue.request_class.typical_work)
            queue.shortfalls += [0.5] * many
            harness.gateway.on_feedback_interval()
        for _ in range(8):
            harness.gateway.on_subset_update_due()
        sizes[times] = len(subset_of(harness))
    assert (
        sizes[0.5] < 70
        and 1.8 * sizes[0.5] < sizes[3.0] < 4 * sizes[0.5]
        and sizes[30.0] < 5.2 * sizes[0.5]
    )


@pytest.mark.parametrize("group", ["cell", "zone"])
def test_what_may_have_run_is_retried_where_its_key_is_known_also_outside_the_subset(group):
    label = {
        **QUICK,
        "repeatability": Repeatability.KEYED,
        "key_scope": group,
        "key_ttl": 60 * SECOND,
    }
    alone = 0
    for number in range(0, 400, 10):
        harness = gateway_before(fleet_engines(900, zones=300), number, request_classes=(label,))
        request = harness.take()
        first = request.attempts[0].engine
        place = (lambda each: each.cell) if group == "cell" else (lambda each: each.zone)
        alone += sum(place(each) == place(first) for each in harness.gateway.engines) == 1
        harness.over(request.attempts[0], AttemptOutcome.TIMED_OUT)
        assert len(request.attempts) == 2
        second = request.attempts[1].engine
        assert place(second) == place(first) and second is not first
    assert alone > 10  # in most sets it is the only one of its group


def test_what_never_ran_stays_within_the_subset():
    harness = gateway_before(fleet_engines(900))
    request = harness.take()
    for outcome in (
        AttemptOutcome.ENGINE_FULL,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.CONNECTION_RESET,
    ):
        if not request.is_finished and request.attempts[-1].is_in_flight:
            harness.over(request.attempts[-1], outcome)
    assert len(request.attempts) > 1 and all(each.engine.in_subset for each in request.attempts)


def worst_window_of_an_engine_in_slow_start(told, grown=1.0):
    """120 gateways with work without end, of which half know half of the list only; `told` is how many they are told
    there are, over how many there are; `grown` spoils their part. Requests of mean work in the
    worst window that a engine in slow start got, over what the rule allows: N and twice the root of
    N + 2.
    """
    gateways, span, work = 120, SECOND, 2000.0
    engines, harnesses, sent = fleet_engines(300), [], []
    for number in range(gateways):
        harness = gateway_before(
            engines[number % 2 * 150 :],
            number,
            gateway_count=int(gateways * told),
            slow_start_speed=0.3,
            overload_factor=2.0,
            overload_window_ticks=span,
            slow_start_ticks=15 * SECOND,
        )
        harness.now += 20 * SECOND
        harness.gateway.slow_start.budget_per_core *= grown
        harnesses.append(harness)
        cold = next(each for each in harness.engines if each.host_reference == "s200")
        harness.gateway.on_engine_update(cold, EngineState.READY, harness.now)
        harness.gateway.on_engine_list_complete()
    for tick in range(0, 5 * SECOND, SECOND // 10):
        for harness in harnesses:
            harness.now = 120 * SECOND + tick + 1
            request = harness.take(estimated_work=int(work))
            sent += [tick for each in request.attempts if each.engine.host_reference == "s200"]
            for each in request.attempts:
                harness.over(each, took=500, work=int(work))
    allowed = 2.0 * 0.3 * 8.0 * span / work
    worst = max(sum(since <= when < since + span for when in sent) for since in sent)
    return worst / (allowed + 2 * (allowed + 2) ** 0.5)


@pytest.mark.parametrize("told", [1.0, 0.5, 2.0])
def test_the_slow_start_budget_holds_whatever_gateways_believe(told):
    assert 0 < worst_window_of_an_engine_in_slow_start(told) <= 1.0


def test_the_budget_check_objects_where_a_part_is_divided_by_those_that_should_hold_the_engine():
    assert worst_window_of_an_engine_in_slow_start(1.0, grown=300 / 54) > 1.0


def test_gateways_without_a_number_do_not_share_one_subset():
    found = []
    for name in "n1", "n2", "n3":
        said = {**STATED_ON_SOCKETS, "instances": 870}  # and one seed in all files
        host = GatewayHarness(engines=0)
        gateway = Settings(said, host, 7, name).gateway
        for engine in fleet_engines(900):
            gateway.on_engine_update(engine, EngineState.READY, 0)
        gateway.on_engine_list_complete()
        found.append({engine.host_reference for engine in gateway.engines})
    assert all(len(a & b) < 15 for n, a in enumerate(found) for b in found[n + 1 :])


def test_what_a_narrow_class_needs_does_not_draw_the_work_of_others():
    """Engines that are in many sets for one request class would get all others' work from each of these."""
    engines = fleet_engines(1800, rare=32)
    for number in range(0, 870, 60):
        harness = gateway_before(engines, number, request_classes=(QUICK, RARE))
        for _ in range(60):
            harness.take()
        wide, narrow = (each.subset_rank_limit for each in harness.request_classes)
        used = [each for each in harness.engines if each.threads_in_flight]
        assert wide < 0.04 and 0.2 < narrow < 0.5 and len(used) > 10
        assert all(each.subset_rank <= wide for each in used)
        before = {each.host_reference: each.threads_in_flight for each in harness.engines}
        harness.take(1)
        assert (
            next(e for e in harness.engines if e.threads_in_flight > before[e.host_reference]).kind
            == 1
        )


def test_a_zone_that_leaves_the_list_widens_subsets_later_and_not_all_at_one_moment():
    """A fifth of all engines goes at once; so long as the part is near enough, nobody turns to others right then."""
    before, at_once, later = [], [], []
    for number in range(40):
        harness = gateway_before(fleet_engines(1500), number)
        was = subset_of(harness)
        harness.tell(*[each for each in harness.engines if each.zone == 0], state=EngineState.GONE)
        before.append(was)
        at_once.append(subset_of(harness) - was)
        harness.pass_time(6 * SECOND)
        later.append(len(subset_of(harness)))
    assert not any(at_once)
    assert sum(map(len, before)) * 0.95 < sum(later) < sum(map(len, before)) * 1.05


def test_most_of_a_list_that_goes_is_made_good_at_once():
    harness = gateway_before(fleet_engines(1500))
    harness.tell(*harness.engines[:1200], state=EngineState.GONE)
    assert len(subset_of(harness)) > 30
    harness.tell(*harness.engines[1200:1450], state=EngineState.GONE)
    assert subset_of(harness) == {each.host_reference for each in harness.engines[1450:]}


@pytest.mark.parametrize("block", [2, 8, 64])
def test_subset_ranks_are_as_the_note_says(block):
    """Written apart: of each block of gateways one lies below 1 / block for both, and between powers of two as many."""
    for n in range(30):
        for ranked, engine in (
            (subsetting.subset_rank, b"s-%d" % n),
            (subsets.rank, subsets.mixed(n, 1)),
        ):
            for first in range(0, 256, block):
                assert (
                    sum(
                        ranked(number, engine) < 1 / block for number in range(first, first + block)
                    )
                    == 1
                )
            for part in 0.7 / block, 0.9 / block:
                assert (
                    abs(sum(ranked(number, engine) <= part for number in range(870)) - 870 * part)
                    <= 3
                )
