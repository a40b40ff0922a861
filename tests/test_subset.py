"""Tests of the engine subset: even and stable for a long list, whole for a short list."""

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
from tests.harness import PLATFORM_SETTINGS, QUICK_CLASS, SECOND, GatewayHarness

RARE_KIND_CLASS = {**QUICK_CLASS, "name": "rare", "engine_kinds": (1,)}


def make_engines(count, rare_count=0, zone_count=5, key_format=b"s-%d"):
    """Return `count` engines; the last `rare_count` of them are of kind 1."""
    return [
        Engine(
            f"s{index}",
            key_format % index,
            index % zone_count,
            int(index >= count - rare_count),
            index // 3,
            cores=8.0,
            name=f"s{index}",
        )
        for index in range(count)
    ]


def make_harness(
    engines, gateway_number=5, gateway_count=870, request_classes=(QUICK_CLASS,), **settings
):
    """Return a harness whose gateway has copies of these engines.

    Each gateway keeps its state in the `Engine` records, so gateways cannot share them.
    """
    harness = GatewayHarness(
        request_classes=request_classes,
        engines=0,
        gateway_number=gateway_number,
        gateway_count=gateway_count,
        **settings,
    )
    harness.engines = [
        Engine(
            each.host_reference,
            each.hash_key,
            each.zone,
            each.kind,
            each.cell,
            cores=each.cores,
            name=each.name,
        )
        for each in engines
    ]
    harness.update_engines(*harness.engines)
    return harness


def subset_of(harness):
    return {engine.host_reference for engine in harness.gateway.engines}


def subsets_of(engines, numbers, **options):
    return [subset_of(make_harness(engines, number, **options)) for number in numbers]


def worst_over_mean(engines, sets):
    """Return the largest ratio of an engine's subset count to the mean of its zone and kind."""
    count = Counter(reference for each in sets for reference in each)
    counts_by_zone_and_kind = {}
    for engine in engines:
        counts_by_zone_and_kind.setdefault((engine.zone, engine.kind), []).append(
            count[engine.host_reference]
        )
    return max(max(each) / (sum(each) / len(each)) for each in counts_by_zone_and_kind.values())


@pytest.mark.parametrize("engine_count", [1, 5, 40, 80, 128])
def test_short_list_is_the_whole_subset(engine_count):
    harness = make_harness(
        make_engines(engine_count, rare_count=engine_count // 4),
        request_classes=(QUICK_CLASS, RARE_KIND_CLASS),
    )
    assert subset_of(harness) == {engine.host_reference for engine in harness.engines} and all(
        each.in_subset for each in harness.engines
    )


@pytest.mark.parametrize(
    "engine_count, min_size, max_size",
    [(129, 100, 140), (200, 50, 115), (400, 25, 75), (1800, 25, 75)],
)
def test_subset_of_a_long_list_has_a_bounded_size(engine_count, min_size, max_size):
    for number in 0, 1, 7, 500, 869, 10**7:
        harness = make_harness(make_engines(engine_count), number)
        assert min_size <= len(subset_of(harness)) <= max_size
        assert {
            engine.host_reference for engine in harness.engines if engine.in_subset
        } == subset_of(harness)


def test_subsets_of_few_gateways_together_contain_all_engines():
    engines = make_engines(600)
    for gateways in 3, 12:
        sets = subsets_of(engines, range(gateways), gateway_count=gateways)
        assert set().union(*sets) == {engine.host_reference for engine in engines}


@settings(max_examples=5, deadline=None)
@given(st.integers(300, 900), st.integers(600, 1800), st.integers(0, 10**6))
def test_each_engine_is_in_nearly_the_same_number_of_subsets(gateways, engine_count, salt):
    fraction = (
        max(
            subsetting.BASE_ENGINE_COUNT,
            128**2 / engine_count,  # from MAX_WHOLE_LIST_ENGINE_COUNT
            subsetting.SUBSETS_PER_ENGINE * engine_count / gateways,
        )
        / engine_count
    )
    count = [0] * 40
    for number in range(gateways):
        for n in range(40):
            count[n] += subsetting.subset_rank(number, b"%d-%d" % (salt, n)) <= fraction
    assert max(count) <= 1.25 * gateways * fraction and min(count) >= 0.75 * gateways * fraction


def test_evenness_bound_fails_for_ranks_by_plain_hash(monkeypatch):
    engines = make_engines(400, rare_count=40)
    numbers = range(0, 300)
    assert (
        worst_over_mean(
            engines,
            subsets_of(
                engines, numbers, gateway_count=300, request_classes=(QUICK_CLASS, RARE_KIND_CLASS)
            ),
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
            engines,
            subsets_of(
                engines, numbers, gateway_count=300, request_classes=(QUICK_CLASS, RARE_KIND_CLASS)
            ),
        )
        > 1.25
    )


def test_subsets_of_two_gateways_overlap_little_more_than_by_chance():
    """Guards against equal subsets of many gateways, whose engines would carry all their work."""
    sets = subsets_of(make_engines(1000), range(0, 130))
    overlap_sizes = [len(a & b) for n, a in enumerate(sets) for b in sets[n + 1 :]]
    assert (
        max(overlap_sizes) < 16 and sum(overlap_sizes) / len(overlap_sizes) < 4
    )  # 48 of 1,000 engines: 2.3 by chance


def test_adding_one_engine_changes_few_subsets_and_removing_it_restores_them():
    harnesses = [make_harness(make_engines(900), number) for number in range(120)]
    before = [subset_of(harness) for harness in harnesses]
    new_engine = Engine("new", b"new", 2, 0, 7, cores=8.0)
    for harness in harnesses:
        harness.update_engines(Engine("new", b"new", 2, 0, 7, cores=8.0))
    changed = sum(
        len(subset_of(harness) ^ subset_before) for harness, subset_before in zip(harnesses, before)
    )
    assert changed <= 3 * 120 * 48 / 900 + 10, (
        changed
    )  # those that add the engine, and as many that drop one
    assert (
        3 <= sum("new" in subset_of(harness) for harness in harnesses) <= 10
        and new_engine.subset_rank == 0.0
    )
    for harness in harnesses:
        harness.update_engines(
            next(
                each
                for each in harness.gateway.subset.zone_and_kind_of
                if each.host_reference == "new"
            ),
            state=EngineState.GONE,
        )
    assert [subset_of(harness) for harness in harnesses] == before


def test_rolling_release_restores_the_subset():
    harness = make_harness(make_engines(300))
    before = subset_of(harness)
    for first in range(0, 300, 30):
        step = harness.engines[first : first + 30]
        harness.update_engines(*step, state=EngineState.DRAINING)
        assert not subset_of(harness) & {engine.host_reference for engine in step}
        harness.update_engines(*step, state=EngineState.GONE)
        harness.update_engines(*step, started=harness.now)
    assert subset_of(harness) == before


def test_subset_contains_engines_of_a_rare_kind_for_their_class():
    engines_with_one_rare = make_engines(1800, rare_count=1)
    for number in range(0, 870, 50):
        assert "s1799" in subset_of(
            make_harness(
                engines_with_one_rare, number, request_classes=(QUICK_CLASS, RARE_KIND_CLASS)
            )
        )
    engines_with_rare, rare_counts = make_engines(1800, rare_count=60), []
    for number in range(0, 870, 50):
        harness = make_harness(
            engines_with_rare, number, request_classes=(QUICK_CLASS, RARE_KIND_CLASS)
        )
        rare_engines = [each for each in harness.gateway.engines if each.kind]
        rare_counts.append(len(rare_engines))
        harness.submit_request(1)
        assert harness.recorded_calls("send_attempt")[0][1] in {
            each.host_reference for each in rare_engines
        }
    assert (
        min(rare_counts) >= subsetting.MIN_HEALTHY_ENGINES
        and max(rare_counts) < 30
        and 6 < sum(rare_counts) / len(rare_counts) < 12
    )  # 1.6 without the raised rank limit


def test_class_whose_subset_engines_all_fail_gets_other_engines():
    harness = make_harness(
        make_engines(600, rare_count=60), request_classes=(QUICK_CLASS, RARE_KIND_CLASS)
    )
    for _ in range(3):  # the replacement engines fail too
        record_faults(harness, [each for each in harness.gateway.engines if each.kind])
        harness.gateway.on_subset_update_due()
        able = [each for each in harness.gateway.engines if each.kind and is_trusted(each.stats)]
        assert len(able) >= subsetting.MIN_HEALTHY_ENGINES


def record_faults(harness, engines):
    for engine in engines:
        engine.stats.fault_history.append("unreached")


def test_failing_engines_are_replaced_in_bounded_steps_and_returned():
    harness = make_harness(make_engines(1500))
    before, sizes = subset_of(harness), []
    for _ in range(8):
        failed = [engine for engine in harness.gateway.engines if engine.zone in (0, 1, 2)]
        record_faults(harness, failed)
        harness.pass_time(2 * SECOND)
        sizes.append(len(subset_of(harness)))
    assert before < subset_of(harness) and 1.6 * len(before) < sizes[-1] <= 2.6 * len(before)
    steps = [
        later_size - earlier_size for earlier_size, later_size in zip([len(before), *sizes], sizes)
    ]
    assert max(steps) <= 0.45 * len(before), steps  # a fifth per interval, with a margin for chance
    for engine in failed:
        engine.stats.fault_history.append("")
    harness.pass_time(60 * SECOND)
    assert subset_of(harness) == before
    assert [line for line, _ in harness.recorded_calls("log") if line.startswith("set ")][
        0
    ].startswith("set wider")


def test_gateways_started_together_update_their_subsets_at_different_times():
    harnesses = [make_harness(make_engines(200), number) for number in range(100)]
    moments = []
    for harness in harnesses:
        harness.gateway.on_feedback_interval()
        moments += [
            when - harness.now
            for when, _, method, _ in harness.timers
            if method == harness.gateway.on_subset_update_due
        ]
    assert len(moments) == 100
    tenths = Counter(moment * 10 // (2 * SECOND) for moment in moments)
    assert max(tenths.values()) <= 25 and len(tenths) >= 8


def test_short_list_schedules_no_subset_update():
    harness = make_harness(make_engines(100))
    harness.pass_time(10 * SECOND)
    assert not [each for each in harness.timers if each[2] == harness.gateway.on_subset_update_due]


def test_gateway_with_several_times_its_part_of_traffic_has_a_larger_subset():
    sizes = {}
    for traffic_factor in 0.5, 3.0, 30.0:
        harness = make_harness(make_engines(1800))
        # In threads, as a multiple of the gateway's part of the initial concurrency limit.
        work = 8 * 1800 * INITIAL_THREADS_PER_CORE / 870 * traffic_factor
        queue = harness.submit_request().queue
        for _ in range(40):  # until the decayed count of finished requests is steady
            finished_count = int(work * 2 * SECOND / queue.request_class.typical_work)
            queue.shortfalls += [0.5] * finished_count
            harness.gateway.on_feedback_interval()
        for _ in range(8):
            harness.gateway.on_subset_update_due()
        sizes[traffic_factor] = len(subset_of(harness))
    assert (
        sizes[0.5] < 70
        and 1.8 * sizes[0.5] < sizes[3.0] < 4 * sizes[0.5]
        and sizes[30.0] < 5.2 * sizes[0.5]
    )


@pytest.mark.parametrize("key_scope", ["cell", "zone"])
def test_possibly_executed_keyed_request_is_retried_in_its_key_scope_outside_the_subset(key_scope):
    keyed_class = {
        **QUICK_CLASS,
        "repeatability": Repeatability.KEYED,
        "key_scope": key_scope,
        "key_ttl": 60 * SECOND,
    }
    alone_count = 0
    for number in range(0, 400, 10):
        harness = make_harness(
            make_engines(900, zone_count=300), number, request_classes=(keyed_class,)
        )
        request = harness.submit_request()
        first = request.attempts[0].engine
        scope_of = (lambda each: each.cell) if key_scope == "cell" else (lambda each: each.zone)
        alone_count += (
            sum(scope_of(each) == scope_of(first) for each in harness.gateway.engines) == 1
        )
        harness.finish_attempt(request.attempts[0], AttemptOutcome.TIMED_OUT)
        assert len(request.attempts) == 2
        second = request.attempts[1].engine
        assert scope_of(second) == scope_of(first) and second is not first
    assert alone_count > 10  # subsets in which the first engine is the only one of its key scope


def test_request_that_never_ran_is_retried_within_the_subset():
    harness = make_harness(make_engines(900))
    request = harness.submit_request()
    for outcome in (
        AttemptOutcome.ENGINE_FULL,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.CONNECTION_RESET,
    ):
        if not request.is_finished and request.attempts[-1].is_in_flight:
            harness.finish_attempt(request.attempts[-1], outcome)
    assert len(request.attempts) > 1 and all(each.engine.in_subset for each in request.attempts)


def worst_slow_start_load(believed_fraction, budget_factor=1.0):
    """Return the worst load of an engine in slow start, relative to the allowed load.

    120 gateways have unlimited work, and half of them know only half of the engine list. The load
    is the number of requests of mean work in the worst window. If the budget is N such requests,
    N + 2 * sqrt(N + 2) are allowed.

    Args:
        believed_fraction: configured number of gateways over the true number.
        budget_factor: factor that corrupts the budget of each gateway.
    """
    gateways, window_ticks, work = 120, SECOND, 2000.0
    engines, harnesses, sent = make_engines(300), [], []
    for number in range(gateways):
        harness = make_harness(
            engines[number % 2 * 150 :],
            number,
            gateway_count=int(gateways * believed_fraction),
            slow_start_speed=0.3,
            overload_factor=2.0,
            overload_window_ticks=window_ticks,
            slow_start_ticks=15 * SECOND,
        )
        harness.now += 20 * SECOND
        harness.gateway.slow_start.budget_per_core *= budget_factor
        harnesses.append(harness)
        cold = next(each for each in harness.engines if each.host_reference == "s200")
        harness.gateway.on_engine_update(cold, EngineState.READY, harness.now)
        harness.gateway.on_engine_list_complete()
    for tick in range(0, 5 * SECOND, SECOND // 10):
        for harness in harnesses:
            harness.now = 120 * SECOND + tick + 1
            request = harness.submit_request(estimated_work=int(work))
            sent += [tick for each in request.attempts if each.engine.host_reference == "s200"]
            for each in request.attempts:
                harness.finish_attempt(each, took=500, work=int(work))
    allowed = 2.0 * 0.3 * 8.0 * window_ticks / work
    worst = max(sum(start <= when < start + window_ticks for when in sent) for start in sent)
    return worst / (allowed + 2 * (allowed + 2) ** 0.5)


@pytest.mark.parametrize("believed_fraction", [1.0, 0.5, 2.0])
def test_slow_start_budget_holds_for_a_wrong_gateway_count(believed_fraction):
    assert 0 < worst_slow_start_load(believed_fraction) <= 1.0


def test_budget_check_fails_for_parts_divided_by_the_subsets_of_an_engine():
    assert worst_slow_start_load(1.0, budget_factor=300 / 54) > 1.0


def test_gateways_without_a_number_have_different_subsets():
    subsets_found = []
    for name in "n1", "n2", "n3":
        stated = {**PLATFORM_SETTINGS, "instances": 870}  # all gateways have the same seed
        host = GatewayHarness(engines=0)
        gateway = Settings(stated, host, 7, name).gateway
        for engine in make_engines(900):
            gateway.on_engine_update(engine, EngineState.READY, 0)
        gateway.on_engine_list_complete()
        subsets_found.append({engine.host_reference for engine in gateway.engines})
    assert all(len(a & b) < 15 for n, a in enumerate(subsets_found) for b in subsets_found[n + 1 :])


def test_engines_of_a_rare_kind_do_not_attract_work_of_other_classes():
    """Guards against engines of a rare kind attracting the work of all classes.

    Such engines are in many subsets for one class. Without the rank limit of each class, they would
    get the work of all other classes from each of these gateways.
    """
    engines = make_engines(1800, rare_count=32)
    for number in range(0, 870, 60):
        harness = make_harness(engines, number, request_classes=(QUICK_CLASS, RARE_KIND_CLASS))
        for _ in range(60):
            harness.submit_request()
        usual_limit, rare_limit = (each.subset_rank_limit for each in harness.request_classes)
        used_engines = [each for each in harness.engines if each.threads_in_flight]
        assert usual_limit < 0.04 and 0.2 < rare_limit < 0.5 and len(used_engines) > 10
        assert all(each.subset_rank <= usual_limit for each in used_engines)
        before = {each.host_reference: each.threads_in_flight for each in harness.engines}
        harness.submit_request(1)
        assert (
            next(
                used_engine
                for used_engine in harness.engines
                if used_engine.threads_in_flight > before[used_engine.host_reference]
            ).kind
            == 1
        )


def test_loss_of_a_zone_enlarges_subsets_later_and_not_all_at_once():
    """Guards against all gateways connecting to other engines at the moment a zone is removed.

    A fifth of all engines is removed. While the target fraction changes little, a gateway changes
    its subset only at its next update.
    """
    before, immediate_changes, later_sizes = [], [], []
    for number in range(40):
        harness = make_harness(make_engines(1500), number)
        subset_before = subset_of(harness)
        harness.update_engines(
            *[each for each in harness.engines if each.zone == 0], state=EngineState.GONE
        )
        before.append(subset_before)
        immediate_changes.append(subset_of(harness) - subset_before)
        harness.pass_time(6 * SECOND)
        later_sizes.append(len(subset_of(harness)))
    assert not any(immediate_changes)
    assert sum(map(len, before)) * 0.95 < sum(later_sizes) < sum(map(len, before)) * 1.05


def test_loss_of_most_engines_is_compensated_at_once():
    harness = make_harness(make_engines(1500))
    harness.update_engines(*harness.engines[:1200], state=EngineState.GONE)
    assert len(subset_of(harness)) > 30
    harness.update_engines(*harness.engines[1200:1450], state=EngineState.GONE)
    assert subset_of(harness) == {each.host_reference for each in harness.engines[1450:]}


@pytest.mark.parametrize("block", [2, 8, 64])
def test_subset_rank_and_model_rank_pass_the_same_block_checks(block):
    """Checks the rank functions of program and model, which are written independently.

    In each block of gateways, one has a rank below 1 / block, and ranks between powers of two are
    as frequent as their fraction.
    """
    for n in range(30):
        for rank_function, engine in (
            (subsetting.subset_rank, b"s-%d" % n),
            (subsets.engine_rank, subsets.mix_hash(n, 1)),
        ):
            for first in range(0, 256, block):
                assert (
                    sum(
                        rank_function(number, engine) < 1 / block
                        for number in range(first, first + block)
                    )
                    == 1
                )
            for fraction in 0.7 / block, 0.9 / block:
                assert (
                    abs(
                        sum(rank_function(number, engine) <= fraction for number in range(870))
                        - 870 * fraction
                    )
                    <= 3
                )
