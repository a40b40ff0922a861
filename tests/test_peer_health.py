"""Tests of peer health: merging reports, suspicion, retry throttling, permit transfer."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkgauge.peer_health.aggregation import OWN_OBSERVATION_TICKS, assess
from corkgauge.peer_health.health_report import (
    REPORT_LIFETIME_TICKS,
    Fault,
    HealthReport,
    encode_row,
)
from corkgauge.peer_health.messages import StatusUpdate, encode_status
from corkgauge.peer_health.permit_transfer import PermitTransfer
from corkgauge.peer_health.reports import HealthReports
from corkgauge.peer_health.retry_throttle import MIN_BUDGET_FRACTION, RetryThrottle
from tests.harness import SECOND, GatewayHarness
from tests.landed_samples import Instance

ROWS = st.lists(
    st.tuples(
        st.sampled_from(["n1", "n2", "n3"]),
        st.integers(1, 2),
        st.integers(1, 4),
        st.integers(0, REPORT_LIFETIME_TICKS),
        st.sampled_from(["e1", "e2"]),
    ),
    max_size=12,
)


def row(
    reporter="n2",
    incarnation=1,
    serial=1,
    age=0,
    engine="e1",
    engine_incarnation=7,
    fault=Fault.SILENT.value,
    slowness=0,
    samples=0,
):
    return [
        reporter,
        incarnation,
        serial,
        age,
        engine,
        engine_incarnation,
        fault,
        slowness,
        samples,
    ]


def stored_reports(reports):
    return sorted(
        (
            report.reporter,
            report.engine,
            report.reporter_incarnation,
            report.serial,
            report.found_at,
            report.fault,
        )
        for engine in reports.by_engine
        for report in reports.reports_on(engine)
    )


@settings(max_examples=100, deadline=None)
@given(ROWS, st.randoms(use_true_random=False))
def test_reports_merge_in_any_order_any_number_of_times(drawn, random):
    rows = [
        row(reporter, incarnation, serial, age, engine, fault=(incarnation + serial) % 5)
        for reporter, incarnation, serial, age, engine in drawn
    ]
    one, other = HealthReports("me", 1), HealthReports("me", 1)
    one.merge(1000, rows)
    shuffled = rows * 2
    random.shuffle(shuffled)
    for each in shuffled:
        other.merge(1000, [each])
    assert [each[:4] for each in stored_reports(one)] == [
        each[:4] for each in stored_reports(other)
    ]


def test_gossip_of_a_report_ends_and_its_age_never_shrinks():
    names = [f"n{n}" for n in range(8)]
    reports_by_name = {name: HealthReports(name, 1) for name in names}
    reports_by_name["n0"].record_own(0, "e1", 7, Fault.SILENT, 0, 0)
    sent_rows = 0
    now = 0
    for period in range(60):
        now += 1_000
        for n, name in enumerate(names):
            rows = reports_by_name[name].next_gossip(now, 8, 900)
            sent_rows += len(rows)
            for distance in (1, 3):
                receiver = names[(n + distance + period) % 8]
                reports_by_name[receiver].merge(now + 100, rows)
    # Each of at most 7 hops between 8 gateways takes 100 ticks, which the age omits. So `found_at`,
    # which is 0 at the reporter, is at most 700 ticks late at the others, and never early.
    assert all(
        [report.found_at for report in reports.reports_on("e1")][0] <= 700
        for reports in reports_by_name.values()
    )
    # Each of 8 gateways sends the report at most GOSSIP_FACTOR * ceil(log2(8 + 1)) = 2 * 4 times.
    assert sent_rows < 8 * 2 * 4 + 1
    for reports in reports_by_name.values():
        assert reports.next_gossip(now, 8, 900) == []  # the gossip has ended
        reports.drop_expired(REPORT_LIFETIME_TICKS + 800, names)
        assert len(reports) == 0


def test_reconciliation_repairs_lost_gossip_also_of_earlier_reports():
    one, other = HealthReports("n1", 1), HealthReports("n2", 1)
    for n in range(3):
        one.record_own(n, f"e{n}", 7, Fault.SILENT, 0, 0)
    latest = one.by_engine["e2"]["n1"]
    other.merge(10, [encode_row(latest, 10)])  # the others were lost in transit
    for rotation in range(6):
        other.merge(20, one.missing_rows(20, other.digest(900, 0), 120, True, rotation))
    assert (
        stored_reports(one) == stored_reports(other)
        and one.missing_rows(20, other.digest(900, 0), 900, True, 0) == []
    )


def test_malformed_rows_floods_and_reports_in_the_local_name_are_rejected():
    reports = HealthReports("me", 1)
    rejected_rows = [
        row(reporter="me"),
        row(age=-1),
        row(fault=9),
        row(engine=""),
        row(engine="x" * 99),
        row(serial="1"),
        [1],
        None,
        row(slowness=2**63),
        row(age=REPORT_LIFETIME_TICKS),
    ]
    assert reports.merge(0, rejected_rows) == 0 and len(reports) == 0
    reports.merge(0, [row(engine=f"e{n}", serial=n + 1) for n in range(5_000)])
    assert len(reports) == 2_000 and reports.merge(0, [row(reporter="n3")]) == 1


def report(reporter, fault=Fault.SILENT, found_at=0, slowness=0, engine_incarnation=7):
    return HealthReport(reporter, 1, 1, found_at, "e1", engine_incarnation, fault, slowness, 5)


ZONES = {"me": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}


@pytest.mark.parametrize(
    "reports, now, own_observation_at, is_suspected",
    [
        (
            [report("a2"), report("a3"), report("a4")],
            0,
            -1,
            False,
        ),  # one zone: its majority may report falsely
        ([report("a2"), report("b1")], 0, -1, True),
        (
            [report("a2"), report("b1")],
            OWN_OBSERVATION_TICKS - 1,
            0,
            False,
        ),  # a recent local observation overrides
        ([report("a2"), report("b1")], 0, -1 - OWN_OBSERVATION_TICKS, True),
        ([report("b1"), report("b2")], 0, -1, False),
        (
            [report("a2"), report("b1"), report("a3", Fault.NONE), report("a4", Fault.NONE)],
            0,
            -1,
            False,
        ),  # outweighed by reports without a fault
        (
            [report("a2"), report("b1")],
            REPORT_LIFETIME_TICKS // 2,
            -1,
            False,
        ),  # at half of the lifetime, weights are halved
        (
            [report("a2"), report("b1", engine_incarnation=6)],
            0,
            -1,
            False,
        ),  # on an earlier incarnation of the engine
        ([report("a2"), report("stranger")], 0, -1, False),
    ],
)
def test_suspicion_needs_reporters_of_two_zones_and_no_own_observation(
    reports, now, own_observation_at, is_suspected
):
    for order in permutations(reports):
        assessment = assess(order, now, 7, "me", ZONES, own_observation_at)
        assert assessment.is_suspected == is_suspected


def test_slowness_is_the_median_of_three_reports_from_two_zones_within_bounds():
    def slowness(*reports):
        return assess(reports, 0, 7, "me", ZONES, -1).slowness

    assert (
        slowness(
            report("a2", Fault.NONE, 0, 300),
            report("a3", Fault.NONE, 0, 300),
            report("a4", Fault.NONE, 0, 300),
        )
        == 0
    )
    assert slowness(report("a2", Fault.NONE, 0, 300), report("b1", Fault.NONE, 0, 400)) == 0
    assert (
        slowness(
            report("a2", Fault.NONE, 0, 300),
            report("a3", Fault.NONE, 0, 400),
            report("b1", Fault.NONE, 0, 10**9),
        )
        == 4.0
    )


def test_retry_throttle_limits_all_gateways_alike_and_recovers_in_steps():
    throttles = {f"n{n}": RetryThrottle(f"n{n}") for n in range(5)}
    for now in range(0, 10 * SECOND, 2_000):
        is_bad = now < 4 * SECOND
        usage = (100, 20) if is_bad else (100, 0)
        for throttle in throttles.values():
            for member in throttles:
                throttle.record_usage(member, now, *usage)
            before = throttle.budget_fraction
            throttle.update(now, *usage, 0.0, 0.2)
            assert (
                MIN_BUDGET_FRACTION <= throttle.budget_fraction <= 1.0
                and throttle.budget_fraction <= before + 0.051
            )
        if now == 2 * SECOND:
            fractions = {round(throttle.budget_fraction, 3) for throttle in throttles.values()}
            assert fractions == {0.25}
    assert all(throttle.budget_fraction == 1.0 for throttle in throttles.values())
    alone = RetryThrottle("n1")
    assert alone.update(0, 100, 50, 0.0, 0.2) == 1.0  # no other gateway has reported


def test_permit_is_granted_once_to_a_member_with_demand_and_expires_with_its_window():
    granter, receiver = PermitTransfer(SECOND), PermitTransfer(SECOND)
    receiver.record_update_sent(1_000, 4)  # the receiver has a different clock
    granter.record_demand("n2", 50_000, 1, 4, 1.0)
    # At the start of a window the permit is reserved for local requests.
    assert granter.grant_permit(51_000, "e1", 9_500, 0) is None
    to, serial, known_ticks, remaining_ticks = granter.grant_permit(52_000, "e1", 5_000, 0)
    assert (to, serial, known_ticks, remaining_ticks) == ("n2", 4, 2_000, 5_000)
    assert (
        granter.grant_permit(52_100, "e1", 4_900, 0) is None
        and granter.grant_permit(52_100, "e2", 4_900, 0) is None
    )
    # The receiver sent the update at 1,000; 2,000 and 5,000 ticks later the window ends.
    assert receiver.accept_permit(3_500, serial, known_ticks, remaining_ticks) == 8_000
    assert receiver.accept_permit(8_000, serial, known_ticks, remaining_ticks) == 0
    assert receiver.accept_permit(3_500, 99, known_ticks, remaining_ticks) == 0


def test_transferred_permits_do_not_change_the_attempts_at_a_warming_engine():
    def attempts_sent(with_transfers):
        total = 0
        harnesses = []
        for number in range(40):
            harness = GatewayHarness(engines=1, gateway_count=40, gateway_number=number)
            for _ in range(8):
                harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
            harness.pass_time(2 * SECOND)
            harness.update_engines(harness.engines[0], started=harness.now - 100)
            harnesses.append(harness)
        if with_transfers:  # gateways with a permit transfer it to gateways without one
            work = harnesses[0].request_classes[0].typical_work
            with_permit = [
                harness
                for harness in harnesses
                if harness.gateway.slow_start.has_budget(harness.engines[0], work)
            ]
            without_permit = [harness for harness in harnesses if harness not in with_permit]
            for granter, receiver in zip(with_permit, without_permit):
                granter.gateway.on_permit_moved(granter.engines[0], work, granter.now)
                receiver.gateway.on_permit_moved(receiver.engines[0], -work, receiver.now)
        for harness in harnesses:
            total += sum(len(harness.submit_request().attempts) for _ in range(3))
        return total

    assert attempts_sent(True) == attempts_sent(False) > 0


def test_suspected_engine_gets_one_attempt_at_a_time_and_reported_slowness_replaces_samples():
    harness = GatewayHarness(engines=2)
    engine = harness.engines[0]
    harness.gateway.on_peer_health(engine, 6.0, 1)
    taken = [
        attempt.engine
        for n in range(6)
        for attempt in harness.submit_request(table_group=float(n)).attempts
    ]
    assert taken.count(engine) == 1 and len(taken) > 3
    assert harness.gateway.slowness.estimate_for(engine.stats, 1.0) == 6.0
    other = GatewayHarness(engines=2)
    other.gateway.on_peer_health(other.engines[0], 0.0, 2)
    taken = [
        attempt.engine
        for n in range(4)
        for attempt in other.submit_request(table_group=float(n)).attempts
    ]
    assert taken and other.engines[0] not in taken


def test_retry_throttle_only_reduces_the_retry_budget():
    harness = GatewayHarness(engines=3, retry_floor=4.0, retry_share=0.0, retry_window_ticks=SECOND)
    assert harness.gateway.retry_budget.has_left()
    harness.gateway.retry_budget.throttle = 0.2
    assert not harness.gateway.retry_budget.has_left()


def test_malformed_engine_in_a_row_does_not_stop_the_assessments():
    """Guards against a member whose one malformed row ends all assessments for good."""
    service = Instance("n1").peer_health
    malformed_rows = [row(engine=7), row(engine=["e1"]), [1], None]
    update = StatusUpdate(1, 0, 0, 0, [row(), *malformed_rows])
    service.on_status_update("n2", encode_status(update))
    assert service.reports.rejected_count == len(malformed_rows)
    assert service.updated_engines == {"e1"}
    service.run_period()
    assert service.updated_engines == set()
