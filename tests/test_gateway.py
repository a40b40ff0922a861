"""Tests of the gateway: lottery, limits, hashed order, feedback, and faulty engines."""

import subprocess
import sys
from collections import Counter

import pytest

from corkgauge.policy.concurrency_limit import RELAXED_THREADS_PER_CORE
from corkgauge.policy.outcome_learning import OVERLOAD_STEP
from corkgauge.policy.records import AttemptOutcome, Engine, NoteKind, Repeatability
from corkgauge.policy.share_controller import MAX_SHARE_STEP, MIN_SHARE_FRACTION
from tests.harness import QUICK_CLASS, SECOND, GatewayHarness

HEAVY_CLASS = {**QUICK_CLASS, "name": "heavy", "priority_weight": 6.0, "threads": 4}


@pytest.mark.parametrize("shares", [(0.5, 0.5), (0.75, 0.25), (0.9, 0.1)])
def test_lottery_draws_queues_in_proportion_to_their_shares(shares):
    harness = GatewayHarness([QUICK_CLASS, HEAVY_CLASS])
    harness.submit_request(), harness.submit_request(1)
    queues = list(harness.gateway.queues.values())
    for queue, share in zip(queues, shares):
        queue.share = share
    drawn_fraction = (
        sum(harness.gateway.lottery.draw(queues) is queues[0] for _ in range(4000)) / 4000
    )
    assert abs(drawn_fraction - shares[0]) < 0.03


def test_first_engine_of_a_table_group_is_the_same_at_all_gateways():
    first_engines = [
        [
            request.attempts[0].engine.host_reference
            for request in [
                harness.submit_request(table_group=table_group) for table_group in range(12)
            ]
        ]
        for harness in (GatewayHarness(seed=1, engines=8), GatewayHarness(seed=2, engines=8))
    ]
    assert first_engines[0] == first_engines[1] and len(set(first_engines[0])) > 2


def test_concurrency_limit_applies_only_under_pressure():
    harness = GatewayHarness(engines=1)
    # An engine that is not under pressure accepts more than the initial limit of this gateway.
    requests = [harness.submit_request() for _ in range(int(8 * RELAXED_THREADS_PER_CORE))]
    assert all(each.attempts for each in requests)
    harness.finish_attempt(requests[0].attempts[0], AttemptOutcome.ENGINE_FULL)
    waiting = harness.submit_request()
    assert not waiting.attempts
    harness.pass_time(SECOND)
    for request in requests[1:]:
        harness.finish_attempt(request.attempts[0], took=2000)
    assert harness.submit_request().attempts  # a gateway without attempts may always send one


def test_burst_is_limited_by_relaxed_threads_per_core():
    harness = GatewayHarness(engines=1)
    assert (
        0
        < sum(len(harness.submit_request().attempts) for _ in range(100))
        <= 8 * RELAXED_THREADS_PER_CORE
    )


def test_light_request_is_sent_while_a_heavy_one_waits():
    harness = GatewayHarness(
        [QUICK_CLASS, {**HEAVY_CLASS, "latency_objective": 9 * SECOND}], engines=1
    )
    harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
    harness.submit_request(1, estimated_work=9 * SECOND, time_to_deadline=20 * SECOND)
    harness.pass_time(2 * SECOND)
    harness.gateway.slowness.best = 0.1  # under pressure
    assert (
        not harness.submit_request(1, estimated_work=9 * SECOND).attempts
        and harness.submit_request().attempts
    )


def test_waiting_queue_sends_its_lightest_request_first():
    harness = GatewayHarness(engines=0)
    requests = [harness.submit_request(estimated_work=work) for work in (5000, 900, 3000)]
    harness.update_engines(Engine("e", b"e", 0, 0, 0, cores=8.0))
    assert [reference for reference, _ in harness.recorded_calls("send_attempt")] == [
        requests[index].host_reference for index in (1, 2, 0)
    ]


@pytest.mark.parametrize("in_flight_count", [4, 6, 7])
def test_stalled_engine_counts_as_under_pressure(in_flight_count):
    harness = GatewayHarness(engines=1)
    for _ in range(in_flight_count):
        harness.submit_request()
    assert harness.submit_request().attempts
    harness.pass_time(6500)
    assert not harness.submit_request().attempts


@pytest.mark.parametrize("slow_queue", [0, 1])
def test_feedback_raises_the_share_of_the_worse_queue_by_at_most_one_step(slow_queue):
    harness = GatewayHarness([QUICK_CLASS, {**QUICK_CLASS, "name": "other"}])
    requests = [harness.submit_request(0), harness.submit_request(1)]
    for index, request in enumerate(requests):
        harness.finish_attempt(
            request.attempts[0], took=4 * SECOND if index == slow_queue else 2000
        )
    harness.pass_time(2 * SECOND)
    shares = [queue.share for queue in harness.gateway.queues.values()]
    assert abs(sum(shares) - 1) < 1e-9 and min(shares) >= MIN_SHARE_FRACTION / 2 * 0.99
    assert 0.5 < shares[slow_queue] <= 0.5 + MAX_SHARE_STEP + 1e-6


def test_queue_without_engines_records_a_shortfall():
    harness = GatewayHarness([QUICK_CLASS, HEAVY_CLASS], engines=0)
    harness.submit_request(1)
    harness.pass_time(int(1.5 * SECOND))
    assert harness.recorded_calls("reject")
    assert max(next(queue for queue in harness.gateway.queues.values()).shortfalls) > 1


@pytest.mark.parametrize(
    "outcomes, is_ejected",
    [
        ([AttemptOutcome.ERROR], True),
        ([AttemptOutcome.CONNECTION_RESET], True),
        ([AttemptOutcome.SUCCEEDED], False),
    ],
)
def test_engine_is_ejected_only_after_a_fault(outcomes, is_ejected):
    harness = GatewayHarness()
    request = harness.submit_request()
    first_engine = request.attempts[0].engine
    for outcome in outcomes:
        harness.finish_attempt(request.attempts[0], outcome)
    other = harness.submit_request()
    assert (
        bool(harness.recorded_calls("log")) == is_ejected
        and other.attempts[0].engine is not first_engine
    )
    harness.finish_attempt(other.attempts[0], took=2000)
    harness.pass_time(int(1.1 * SECOND))
    assert any(harness.submit_request().attempts[0].engine is first_engine for _ in range(4))


def test_all_engines_are_used_when_all_are_faulty():
    harness = GatewayHarness()
    for _ in range(12):
        for attempt in harness.submit_request().attempts:
            harness.finish_attempt(attempt, AttemptOutcome.ERROR)
    assert harness.submit_request().attempts


@pytest.mark.parametrize(
    "can_cancel, can_hedge, has_progress, expected_action",
    [
        (True, False, False, "cancel_attempt"),
        (False, True, False, "hedge"),
        (True, False, True, None),
        (False, False, False, None),
    ],
)
def test_silent_engine_causes_cancellation_or_a_hedged_attempt(
    can_cancel, can_hedge, has_progress, expected_action
):
    harness = GatewayHarness(can_cancel=can_cancel, can_hedge=can_hedge)
    for _ in range(9):  # the gateway must know the median slowness
        harness.finish_attempt(harness.submit_request(table_group=2.0).attempts[0], took=2000)
    harness.now += 1
    request = harness.submit_request()
    harness.pass_time(SECOND // 10)
    if has_progress:
        harness.gateway.on_attempt_progress(request.attempts[0], NoteKind.PROGRESS, 0.9)
    harness.pass_time(4 * SECOND)
    assert bool(harness.recorded_calls("cancel_attempt")) == (expected_action == "cancel_attempt")
    assert (len(request.attempts) == 2) == (expected_action == "hedge")


def test_one_long_attempt_is_not_silence_and_does_not_block_a_trial():
    harness = GatewayHarness([QUICK_CLASS, HEAVY_CLASS], engines=2)
    long_request = harness.submit_request(
        1, estimated_work=8 * SECOND, time_to_deadline=30 * SECOND
    )
    engine, table_group = long_request.attempts[0].engine, long_request.table_group
    harness.pass_time(8 * SECOND)
    assert not any("silent" in line for line, _ in harness.recorded_calls("log"))
    for request in [harness.submit_request(table_group=table_group) for _ in range(6)]:
        if request.attempts[0].engine is engine:
            harness.finish_attempt(request.attempts[0], AttemptOutcome.ERROR)
    harness.pass_time(30 * SECOND // 2)
    assert not long_request.is_finished and any(
        harness.submit_request(table_group=table_group).attempts[0].engine is engine
        for _ in range(9)
    )


def test_attempt_with_little_progress_is_cancelled():
    harness = GatewayHarness(can_cancel=True)
    request = harness.submit_request()
    harness.now += 4000
    harness.gateway.on_attempt_progress(request.attempts[0], NoteKind.PROGRESS, 0.02)
    assert harness.recorded_calls("cancel_attempt") == [(request.host_reference, 0)]


SIMULATOR_PROGRAM = r"""
import io, sys
from struct import pack
from corkgauge.simulator.__main__ import SimulatorAdapter
boot = (b'{"profiles":[{"name":"a","objectiveUs":1000000,"deadlineUs":5000000}],"instances":2,'
        b'"extra":{"coresByKind":[8],"takesPriority":true},"limits":{"mostTries":4}}')
def frame(n, records):
    body = b"".join(records)
    return pack("<IQII", 16 + len(body), 10**7 + n * 5000, len(records), n) + body
tags = [bytes([10, 0, 0, n, 1, 2]) for n in range(4)]
census = pack("<BHI", 120, 0, 4) + b"".join(pack("<6sHHHBfQ", t, 0, 0, 0, 1, 1.0, 0) for t in tags)
chosen = [int(i) for i in sys.argv[1].split(",")]
def born(i): return pack("<BIQI", 10, i, 40 + i, len(boot)) + boot
def update(i): return pack("<BIBIH", 20, i, 0, 1, 0)
def demand(i, n):
    return pack("<BIQfHfHIIQI", 30, i, 1000 * i + n, n % 5, 0, 0.0, 1, 90000, 0, 0, 4000000)
data = frame(1, [census] + [call(i) for i in chosen for call in (born, update)])
data += frame(2, [demand(i, n) for i in chosen for n in range(50)])
out = io.BytesIO()
SimulatorAdapter().serve(io.BytesIO(data), out)
reply = out.getvalue()
size = int.from_bytes(reply[4:8], "little") + 8
at, routes = size + 12, []
sizes = {60: 17, 90: 23, 110: 18, 40: 17}
while at < len(reply):
    record = reply[at:at + sizes[reply[at]]]
    at += len(record)
    if record[0] == 90 and record[1] == 1:
        routes.append(record.hex())
assert len(routes) > 20
print("\n".join(routes))
"""


def test_equal_events_give_equal_actions_in_any_process():
    runs = {
        subprocess.run(
            [sys.executable, "-c", SIMULATOR_PROGRAM, chosen],
            env={"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for chosen, seed in (("0,1", "0"), ("0,1", "123"), ("1", "7"))
    }
    assert len(runs) == 1


@pytest.mark.parametrize(
    "data, code, line",
    [
        (b"", 0, ""),
        (b"\x10\0", 1, "inside a frame's length"),
        (b"\x02\0\0\0", 1, "expected at least the size of a frame header, found frame length 2"),
        (
            bytes.fromhex("11000000" + "00" * 8 + "01000000" + "00000000" + "ff"),
            1,
            "expected a known record code, found 255",
        ),
        (
            bytes.fromhex("11000000" + "00" * 8 + "00000000" + "00000000" + "64"),
            1,
            "bytes left after 0 records",
        ),
        (
            bytes.fromhex("13000000" + "00" * 8 + "01000000" + "00000000" + "640100"),
            1,
            "record truncated at byte",
        ),
    ],
)
def test_invalid_simulator_input_ends_with_one_error_line(data, code, line):
    process = subprocess.run(
        [sys.executable, "-m", "corkgauge.simulator"], input=data, capture_output=True
    )
    error_lines = process.stderr.decode().splitlines()
    assert (
        process.returncode == code
        and line in "".join(error_lines)
        and len(error_lines) == code
        and not process.stdout
    )


def test_invalid_setting_is_reported_with_its_key():
    from struct import pack

    from corkgauge.simulator.__main__ import Cursor, SimulatorAdapter

    adapter = SimulatorAdapter()
    boot = b'{"profiles":[{"deadlineUs":-5}]}'
    adapter.handle_record(Cursor(pack("<BIQI", 10, 1, 2, len(boot)) + boot), 0)
    assert (
        adapter.actions[0][0] == 70
        and b"deadlineUs: expected a number in the allowed range, found -5" in adapter.actions[0]
    )


def test_timeouts_lower_the_concurrency_limit_and_answers_in_time_raise_it():
    harness = GatewayHarness(engines=1)
    engine = harness.engines[0]
    for outcome, least, most in (
        (AttemptOutcome.SUCCEEDED, 1.0, 2.0),
        (AttemptOutcome.TIMED_OUT, 0.0, 1.0),
    ):
        engine.stats.limit_factor = 1.0
        for _ in range(20):
            for attempt in harness.submit_request().attempts:
                harness.finish_attempt(attempt, outcome, took=2000)
        assert least <= engine.stats.limit_factor <= most and engine.stats.limit_factor != 1.0


def test_gateway_with_little_traffic_spreads_a_busy_table_group_over_engines():
    harness = GatewayHarness(gateway_count=200, engines=8)
    for _ in range(128):
        harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
    engines = [engine for _, engine in harness.recorded_calls("send_attempt")][64:]
    # Without affinity engines, this gateway like all 200 would use one engine for the table group.
    assert max(engines.count(each) for each in engines) <= 12


def test_late_answers_raise_the_price_for_heavy_requests_and_it_decays():
    harness = GatewayHarness([QUICK_CLASS, HEAVY_CLASS], gateway_count=200)
    harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
    harness.pass_time(2 * SECOND)
    for _ in range(40):
        harness.finish_attempt(
            harness.submit_request(1, estimated_work=SECOND, time_to_deadline=20 * SECOND).attempts[
                0
            ],
            took=15 * SECOND,
            work=SECOND,
        )
    heavy = harness.submit_request(1, estimated_work=15 * SECOND, time_to_deadline=20 * SECOND)
    assert harness.submit_request().attempts and not heavy.attempts
    harness.pass_time(20 * SECOND)  # no attempt is in flight, so no answer could lower the price
    assert (
        heavy.is_finished
        and harness.submit_request(
            1, estimated_work=15 * SECOND, time_to_deadline=20 * SECOND
        ).attempts
    )


def test_hundreds_of_gateways_together_keep_the_slow_start_budget():
    sent_counts = []
    for number in range(200):
        harness = GatewayHarness(engines=1, gateway_count=200, gateway_number=number)
        for _ in range(8):
            harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
        harness.pass_time(2 * SECOND)
        harness.update_engines(harness.engines[0], started=harness.now - 100)
        sent_counts.append(sum(len(harness.submit_request().attempts) for _ in range(5)))
    budget = 8 * 0.85 * 2.0 * 0.3 * SECOND
    assert 0 < sum(sent_counts) * 2000 <= budget and max(sent_counts) == 1


def test_heaviest_request_is_rejected_when_an_order_key_exceeds_the_objective():
    harness = GatewayHarness([{**QUICK_CLASS, "ordered": True, "objective_stretch": 0.0}])
    requests = [
        harness.submit_request(order_key=5, estimated_work=work)
        for work in (1000, 9000, 2000, 1000)
    ]
    # The request with work 9000 would delay all later ones; the first request was already sent.
    assert [tag for tag, _ in harness.recorded_calls("reject")] == [
        requests[1].host_reference
    ] and requests[0].attempts


@pytest.mark.parametrize("late_answer_count", [20, 2000])
def test_price_after_late_answers_stays_affordable_for_the_class(late_answer_count):
    harness = GatewayHarness(engines=8)
    requests = [harness.submit_request() for _ in range(40)]
    harness.finish_attempt(requests[0].attempts[0], took=2000)
    harness.pass_time(2 * SECOND)
    for _answer in range(late_answer_count):
        harness.gateway.learning.adjust_limit_and_price(
            requests[0].attempts[0].engine.stats, requests[0].request_class, OVERLOAD_STEP
        )
    assert (
        0
        < harness.gateway.price.current * requests[0].request_class.typical_work
        <= QUICK_CLASS["priority_weight"]
    )


def test_lagging_gateway_rejects_requests_until_it_catches_up():
    harness = GatewayHarness()
    harness.lag = 500
    assert harness.submit_request().is_finished and len(harness.recorded_calls("reject")) == 1
    harness.lag = 400
    assert harness.submit_request().attempts


def test_common_faults_eject_no_engine_but_a_worse_engine_is_ejected():
    harness = GatewayHarness(engines=4)
    for _ in range(6):
        for _ in harness.engines:
            request = harness.submit_request(table_group=float(harness.serial))
            harness.finish_attempt(
                request.attempts[0], AttemptOutcome.CONNECTION_RESET, finished=True
            )
        harness.pass_time(SECOND)
    harness.pass_time(3 * SECOND)
    early_count = len(
        [line for line, _ in harness.recorded_calls("log") if line.startswith("rest")]
    )
    for index in range(60):
        harness.finish_attempt(
            harness.submit_request(table_group=float(index)).attempts[0],
            AttemptOutcome.CONNECTION_RESET if index % 4 == 0 else AttemptOutcome.SUCCEEDED,
            finished=True,
        )
        harness.pass_time(SECOND // 10)
    ejection_lines = [line for line, _ in harness.recorded_calls("log") if line.startswith("rest")]
    # Without the comparison between engines, each engine would be ejected in turn.
    assert len(ejection_lines) == early_count <= 4
    for _ in range(9):  # faults of one engine that has died
        harness.gateway.outliers.record_fault(harness.engines[0], "unreached")
        harness.pass_time(1)
    assert harness.recorded_calls("log")[-1][0].startswith("rest  unreached")


def test_overtaken_attempt_is_hedged_once_and_one_with_progress_is_not():
    harness = GatewayHarness(engines=2, can_hedge=True)
    for index in range(8):
        harness.finish_attempt(
            harness.submit_request(table_group=float(index)).attempts[0], took=2000
        )
    requests = [harness.submit_request(), harness.submit_request()]
    engine = requests[0].attempts[0].engine
    requests = [request for request in requests if request.attempts[0].engine is engine]
    for _ in range(60):
        harness.pass_time(200)
        harness.gateway.on_attempt_progress(requests[-1].attempts[0], 0, 0.0) if len(
            requests
        ) > 1 else None
        later = harness.submit_request()
        harness.finish_attempt(later.attempts[0], took=200)
    # The engine is healthy and answers later attempts, so the check for silence finds no fault.
    assert [len(request.attempts) for request in requests] == [2] + [1] * (
        len(requests) - 1
    ) and not requests[0].is_finished
    assert requests[0].attempts[1].engine is not engine
    # No further attempt for a request that was answered or whose client has disconnected.
    harness.finish_attempt(requests[0].attempts[1])
    abandoned = harness.submit_request()
    harness.gateway.on_client_left(abandoned)
    harness.pass_time(2 * SECOND)
    for _ in range(9):
        harness.finish_attempt(harness.submit_request().attempts[0], took=200)
    assert (
        len(requests[0].attempts) == 2
        and len(abandoned.attempts) == 1
        and not (requests[0].is_queued or abandoned.is_queued)
    )


def test_request_failed_by_two_engines_gets_no_third_attempt():
    harness = GatewayHarness(engines=4)
    request = harness.submit_request()
    harness.finish_attempt(request.attempts[0], AttemptOutcome.ERROR)
    harness.finish_attempt(request.attempts[1], AttemptOutcome.ERROR)
    assert request.is_finished and len(request.attempts) == 2 and harness.recorded_calls("reject")


def test_finished_requests_leave_no_state_behind():
    harness = GatewayHarness([{**QUICK_CLASS, "ordered": True}], settle_ticks=SECOND)
    requests = []
    for index in range(3000):
        requests = [
            request
            for request in requests
            if any(each.is_in_flight for each in request.attempts) or not request.is_finished
        ]
        requests.append(
            harness.submit_request(
                table_group=float(index), order_key=index + 1, time_to_deadline=5000
            )
        )
        for attempt in [
            each for request in requests for each in request.attempts if each.is_in_flight
        ]:
            harness.finish_attempt(
                attempt, AttemptOutcome.TIMED_OUT if index % 3 else AttemptOutcome.SUCCEEDED
            )
        harness.pass_time(100)
    for attempt in [each for request in requests for each in request.attempts if each.is_in_flight]:
        harness.finish_attempt(attempt, AttemptOutcome.TIMED_OUT, finished=True)
    harness.pass_time(12 * SECOND)
    gateway = harness.gateway
    order, budget = gateway.order, gateway.retry_budget
    remaining_state = [
        order.requests_by_key,
        order.held_until,
        budget.success_times,
        budget.retry_times,
    ]
    remaining_state.append(gateway.selector.cached_order_count)
    # Each request had a new order key and a new table group.
    assert not any(remaining_state) and len(harness.timers) < 5


def test_hundreds_of_gateways_spread_the_first_requests_of_a_table_group():
    """Guards against all gateways sending their first request to the same engine of the order."""
    first_engine_counts = Counter()
    for number in range(200):
        harness = GatewayHarness(engines=20, gateway_count=200, gateway_number=number, seed=number)
        first_engine_counts.update(
            request.attempts[0].engine.host_reference for request in [harness.submit_request()]
        )
    assert len(first_engine_counts) >= 18 and max(first_engine_counts.values()) < 30


def test_gateway_returns_to_its_affinity_engine_of_a_table_group():
    harness = GatewayHarness(engines=20, gateway_count=200)
    first_engines = []
    for index in range(60):
        request = harness.submit_request(table_group=float(index % 12))
        if index % 12 == 0:
            first_engines.append(request.attempts[0].engine.host_reference)
        harness.finish_attempt(request.attempts[0], took=2000)
    assert Counter(first_engines[1:]).most_common(1)[0][1] >= 3


def test_slow_start_permits_later_in_the_order_are_used_while_there_is_a_price():
    harness = GatewayHarness(engines=8, gateway_count=1)
    order = harness.gateway.selector.order_for(1.0)
    for engine in order[4:]:
        harness.update_engines(engine, started=harness.now - 2 * SECOND)
    harness.gateway.slow_start.started_at = 0
    for engine in order[:4]:  # the warm engines already run attempts
        engine.threads_in_flight = 2
    request = harness.submit_request()
    assert request.attempts[0].engine in order[:4]
    harness.finish_attempt(request.attempts[0])
    harness.gateway.price.current = 1e-9  # as if raised by late or refused answers
    assert harness.submit_request().attempts[0].engine in order[4:]


def test_cordoned_engine_gets_only_retries_that_no_other_engine_may_run():
    keyed = dict(
        name="load",
        latency_objective=SECOND,
        objective_stretch=1.0,
        time_to_deadline=5 * SECOND,
        priority_weight=1.0,
        repeatability=Repeatability.KEYED,
        key_scope="cell",
        key_ttl=20 * SECOND,
    )
    harness = GatewayHarness([QUICK_CLASS, keyed], engines=3)
    first = harness.submit_request(1)
    engine = first.attempts[0].engine  # the only engine of its cell
    harness.gateway.on_engine_cordon(engine, 1)
    others = [harness.submit_request(index % 2).attempts[0] for index in range(6)]
    assert all(attempt.engine is not engine for attempt in others)
    for attempt in others:
        harness.finish_attempt(attempt)
    harness.finish_attempt(first.attempts[0], AttemptOutcome.CONNECTION_RESET)
    assert first.attempts[-1].engine is engine and len(first.attempts) == 2
    harness.gateway.on_engine_cordon(engine, 2)
    harness.finish_attempt(first.attempts[-1], AttemptOutcome.CONNECTION_RESET)
    assert len(first.attempts) == 2
    harness.gateway.on_engine_cordon(engine, 0)
    harness.pass_time(30 * SECOND)  # the ejections are over
    assert engine in {
        attempt.engine
        for index in range(12)
        for attempt in harness.submit_request(table_group=float(index)).attempts
    }


def test_zone_that_lost_two_engines_gets_one_attempt_per_ejection_time():
    harness = GatewayHarness(engines=8)
    first = {}
    for index in range(60):  # one attempt on each engine
        request = harness.submit_request(table_group=float(index))
        if request.attempts and request.attempts[0].engine not in first:
            first[request.attempts[0].engine] = request.attempts[0]
        else:
            harness.gateway.on_client_left(request)
            for attempt in request.attempts:
                harness.finish_attempt(attempt, took=2000)
    lost_zone_engines = [engine for engine in harness.engines if engine.zone == 0]
    for engine in lost_zone_engines[:2]:
        harness.finish_attempt(first[engine], AttemptOutcome.CONNECTION_RESET, finished=True)

    def send_requests_and_list_lost_engines():
        requests = [harness.submit_request(table_group=float(index)) for index in range(100, 130)]
        used_engines = [attempt.engine for request in requests for attempt in request.attempts[:1]]
        for request in requests:
            for attempt in request.attempts:
                if attempt.engine.zone:
                    harness.finish_attempt(attempt, took=2000)
        return [engine for engine in used_engines if engine.zone == 0]

    assert send_requests_and_list_lost_engines() == []
    harness.pass_time(SECOND + 10)
    # One trial, which shows whether the zone is reachable.
    assert len(send_requests_and_list_lost_engines()) == 1
    harness.finish_attempt(first[lost_zone_engines[2]], took=2000)
    assert len(send_requests_and_list_lost_engines()) > 1
