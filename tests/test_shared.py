"""Sharing without processes: findings that merge in any order, the rule on witnesses, storms, turns passed on."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkgauge.peer_health.aggregation import OWN, opinion
from corkgauge.peer_health.permit_transfer import PermitTransfer
from corkgauge.peer_health.reports import LIFE, SILENT, WELL, HealthReport, HealthReports
from corkgauge.peer_health.retry_throttle import LEAST, RetryThrottle
from tests.harness import SECOND, GatewayHarness

ROWS = st.lists(
    st.tuples(
        st.sampled_from(["n1", "n2", "n3"]),
        st.integers(1, 2),
        st.integers(1, 4),
        st.integers(0, LIFE),
        st.sampled_from(["e1", "e2"]),
    ),
    max_size=12,
)


def row(
    witness="n2", start=1, serial=1, age=0, tag="e1", started=7, fault=SILENT, slowness=0, samples=0
):
    return [witness, start, serial, age, tag, started, fault, slowness, samples]


def held(findings):
    return sorted(
        (each.witness, each.tag, each.start, each.serial, each.at, each.fault)
        for tag in findings.by_engine
        for each in findings.of(tag)
    )


@settings(max_examples=100, deadline=None)
@given(ROWS, st.randoms(use_true_random=False))
def test_findings_merge_in_any_order_any_number_of_times(drawn, chance):
    rows = [
        row(witness, start, serial, age, tag, fault=(start + serial) % 5)
        for witness, start, serial, age, tag in drawn
    ]
    one, other = HealthReports("me", 1), HealthReports("me", 1)
    one.merge(1000, rows)
    mixed = rows * 2
    chance.shuffle(mixed)
    for each in mixed:
        other.merge(1000, [each])
    assert [each[:4] for each in held(one)] == [each[:4] for each in held(other)]


def test_a_rumour_dies_out_and_its_age_only_grows():
    names = [f"n{n}" for n in range(8)]
    all_of_them = {name: HealthReports(name, 1) for name in names}
    all_of_them["n0"].found(0, "e1", 7, SILENT, 0, 0)
    told, now = 0, 0
    for turn in range(60):
        now += 1_000
        for n, name in enumerate(names):
            rows = all_of_them[name].some(now, 8, 900)
            told += len(rows)
            for far in (1, 3):
                all_of_them[names[(n + far + turn) % 8]].merge(now + 100, rows)
    assert all(
        [each.at for each in one.of("e1")][0] <= 700 for one in all_of_them.values()
    )  # 100 a hop were lost
    before = told
    assert before < 8 * 2 * 4 + 1
    for one in all_of_them.values():
        assert one.some(now, 8, 900) == []  # it does not circle
        one.forget(LIFE + 800, names)
        assert len(one) == 0


def test_what_a_rumour_missed_is_mended_by_marks_also_where_the_earlier_one_was_lost():
    one, other = HealthReports("n1", 1), HealthReports("n2", 1)
    for n in range(3):
        one.found(n, f"e{n}", 7, SILENT, 0, 0)
    other.merge(10, [one.by_engine["e2"]["n1"].row(10)])  # the latest came, the others were lost
    for turn in range(6):
        other.merge(20, one.missing(20, other.digest(900, 0), 120, True, turn))
    assert held(one) == held(other) and one.missing(20, other.digest(900, 0), 900, True, 0) == []


def test_nonsense_floods_and_words_on_ourselves_change_nothing():
    one = HealthReports("me", 1)
    wild = [
        row(witness="me"),
        row(age=-1),
        row(fault=9),
        row(tag=""),
        row(tag="x" * 99),
        row(serial="1"),
        [1],
        None,
        row(slowness=2**63),
        row(age=LIFE),
    ]
    assert one.merge(0, wild) == 0 and len(one) == 0
    one.merge(0, [row(tag=f"e{n}", serial=n + 1) for n in range(5_000)])
    assert len(one) == 2_000 and one.merge(0, [row(witness="n3")]) == 1


def said(witness, fault=SILENT, at=0, slowness=0, started=7):
    return HealthReport(witness, 1, 1, at, "e1", started, fault, slowness, 5)


HALLS = {"me": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}


@pytest.mark.parametrize(
    "findings, now, own, doubted",
    [
        ([said("a2"), said("a3"), said("a4")], 0, -1, False),  # a majority of one hall may be lying
        ([said("a2"), said("b1")], 0, -1, True),
        ([said("a2"), said("b1")], OWN - 1, 0, False),  # our own sign is younger
        ([said("a2"), said("b1")], 0, -1 - OWN, True),
        ([said("b1"), said("b2")], 0, -1, False),
        (
            [said("a2"), said("b1"), said("a3", WELL), said("a4", WELL)],
            0,
            -1,
            False,
        ),  # more found it well
        ([said("a2"), said("b1")], LIFE // 2, -1, False),  # half as old counts half
        ([said("a2"), said("b1", started=6)], 0, -1, False),  # of the engine before its restart
        ([said("a2"), said("stranger")], 0, -1, False),
    ],
)
def test_the_rule_on_witnesses(findings, now, own, doubted):
    for order in permutations(findings):
        assert opinion(order, now, 7, "me", HALLS, own).doubted == doubted


def test_a_hint_is_the_median_of_three_from_two_halls_and_wild_figures_are_bounded():
    def hint(*findings):
        return opinion(findings, 0, 7, "me", HALLS, -1).slowness

    assert hint(said("a2", WELL, 0, 300), said("a3", WELL, 0, 300), said("a4", WELL, 0, 300)) == 0
    assert hint(said("a2", WELL, 0, 300), said("b1", WELL, 0, 400)) == 0
    assert (
        hint(said("a2", WELL, 0, 300), said("a3", WELL, 0, 400), said("b1", WELL, 0, 10**9)) == 4.0
    )


def test_a_storm_makes_all_stricter_alike_and_lets_go_by_steps():
    storms = {f"n{n}": RetryThrottle(f"n{n}") for n in range(5)}
    for now in range(0, 10 * SECOND, 2_000):
        bad = now < 4 * SECOND
        figures = (100, 20) if bad else (100, 0)
        for name, storm in storms.items():
            for other in storms:
                storm.tells(other, now, *figures)
            before = storm.strict
            storm.looked(now, *figures, 0.0, 0.2)
            assert LEAST <= storm.strict <= 1.0 and storm.strict <= before + 0.051
        if now == 2 * SECOND:
            assert {round(storm.strict, 3) for storm in storms.values()} == {0.25}
    assert all(storm.strict == 1.0 for storm in storms.values())
    alone = RetryThrottle("n1")
    assert alone.looked(0, 100, 50, 0.0, 0.2) == 1.0  # nobody else is heard: as strict as ever


def test_a_turn_is_passed_once_to_one_that_needs_it_and_ends_with_its_window_whatever_letters_take():
    giver, receiver = PermitTransfer(SECOND), PermitTransfer(SECOND)
    receiver.telling(1_000, 4)  # its clock is another one
    giver.needs("n2", 50_000, 1, 4, 1.0)
    assert (
        giver.pass_on(51_000, "e1", 9_500, 0) is None
    )  # it is kept for a while for what may come here
    to, serial, known_for, left = giver.pass_on(52_000, "e1", 5_000, 0)
    assert (to, serial, known_for, left) == ("n2", 4, 2_000, 5_000)
    assert (
        giver.pass_on(52_100, "e1", 4_900, 0) is None
        and giver.pass_on(52_100, "e2", 4_900, 0) is None
    )
    assert (
        receiver.received(3_500, serial, known_for, left) == 8_000
    )  # written at 1,000: no later than the window
    assert receiver.received(8_000, serial, known_for, left) == 0
    assert receiver.received(3_500, 99, known_for, left) == 0


def test_turns_passed_on_keep_the_sum_of_what_a_cold_engine_is_sent():
    def sent(passing):
        total = 0
        yards = []
        for number in range(40):
            yard = GatewayHarness(engines=1, gateway_count=40, gateway_number=number)
            for _ in range(8):
                yard.over(yard.take().attempts[0], took=2000)
            yard.pass_time(2 * SECOND)
            yard.tell(yard.engines[0], started=yard.now - 100)
            yards.append(yard)
        if passing:  # whoever is in turn passes it on to one that is not
            work = yards[0].request_classes[0].typical_work
            able = [
                yard for yard in yards if yard.gateway.slow_start.has_budget(yard.engines[0], work)
            ]
            others = [yard for yard in yards if yard not in able]
            for giver, receiver in zip(able, others):
                giver.gateway.on_permit_moved(giver.engines[0], work, giver.now)
                receiver.gateway.on_permit_moved(receiver.engines[0], -work, receiver.now)
        for yard in yards:
            total += sum(len(yard.take().attempts) for _ in range(3))
        return total

    assert sent(True) == sent(False) > 0


def test_a_doubted_engine_is_tried_by_one_hand_off_at_a_time_and_a_hint_is_for_lack_of_samples():
    yard = GatewayHarness(engines=2)
    engine = yard.engines[0]
    yard.gateway.on_peer_health(engine, 6.0, 1)
    taken = [
        attempt.engine for n in range(6) for attempt in yard.take(table_group=float(n)).attempts
    ]
    assert taken.count(engine) == 1 and len(taken) > 3
    assert yard.gateway.slowness.of_engine(engine.stats, 1.0) == 6.0
    other = GatewayHarness(engines=2)
    other.gateway.on_peer_health(other.engines[0], 0.0, 2)
    taken = [
        attempt.engine for n in range(4) for attempt in other.take(table_group=float(n)).attempts
    ]
    assert taken and other.engines[0] not in taken


def test_further_hand_offs_only_grow_stricter():
    yard = GatewayHarness(engines=3, retry_floor=4.0, retry_share=0.0, retry_window_ticks=SECOND)
    assert yard.gateway.retry_budget.has_left()
    yard.gateway.retry_budget.throttle = 0.2
    assert not yard.gateway.retry_budget.has_left()
