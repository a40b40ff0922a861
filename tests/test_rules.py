"""Tests the seven rules of the gateway at their limits."""

import pytest

from corkgauge.policy.records import AttemptOutcome, EngineState, Repeatability
from tests.harness import QUICK_CLASS, SECOND, GatewayHarness

ORDERED = {
    **QUICK_CLASS,
    "name": "ordered",
    "repeatability": Repeatability.KEYED,
    "ordered": True,
    "key_ttl": 20 * SECOND,
}


@pytest.mark.parametrize("time_to_deadline", [0, 1, 30, 40, 333, SECOND, 5 * SECOND])
@pytest.mark.parametrize("engines", [0, 1])
def test_request_ends_exactly_once_before_its_deadline(time_to_deadline, engines):
    harness = GatewayHarness(engines=engines)
    request = harness.submit_request(time_to_deadline=time_to_deadline)
    harness.pass_time(max(time_to_deadline - 20, 0))
    assert (
        len(harness.recorded_calls("reject") + harness.recorded_calls("fail")) == 1
        and request.is_finished
    )
    # Outcomes that arrive after the end of the request change nothing.
    for attempt in request.attempts:
        harness.finish_attempt(attempt, AttemptOutcome.TIMED_OUT)
    harness.pass_time(10 * SECOND)
    assert (
        len(harness.recorded_calls("reject") + harness.recorded_calls("fail")) == 1
        and len(harness.recorded_calls("send_attempt")) <= 1
    )


@pytest.mark.parametrize(
    "repeatability, outcome, is_retried, expected_call",
    [
        (Repeatability.IDEMPOTENT, AttemptOutcome.ERROR, True, None),
        (Repeatability.IDEMPOTENT, AttemptOutcome.TIMED_OUT, True, None),
        (Repeatability.KEYED, AttemptOutcome.CONNECTION_RESET, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.ENGINE_FULL, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.UNREACHABLE, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.ERROR, False, "fail"),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.CONNECTION_RESET, False, "fail"),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.CANCELLED, False, "fail"),
    ],
)
def test_retries_follow_repeatability(repeatability, outcome, is_retried, expected_call):
    harness = GatewayHarness(
        [{**QUICK_CLASS, "repeatability": repeatability, "key_ttl": 20 * SECOND}]
    )
    request = harness.submit_request()
    harness.finish_attempt(request.attempts[0], outcome)
    assert (len(request.attempts) == 2) == is_retried
    assert expected_call is None or harness.recorded_calls(expected_call)


@pytest.mark.parametrize(
    "key_scope, allowed", [("all", {"e0", "e1", "e2"}), ("zone", {"e0", "e2"}), ("cell", {"e0"})]
)
def test_retries_stay_in_the_scope_of_their_idempotency_key(key_scope, allowed):
    harness = GatewayHarness(
        [
            {
                **QUICK_CLASS,
                "repeatability": Repeatability.KEYED,
                "key_ttl": 20 * SECOND,
                "key_scope": key_scope,
            }
        ]
    )
    harness.update_engines(*harness.engines[1:], state=EngineState.DRAINING)
    request = harness.submit_request()
    harness.update_engines(*harness.engines[1:])
    for _ in range(3):
        if request.attempts[-1].is_in_flight:
            harness.finish_attempt(request.attempts[-1], AttemptOutcome.CONNECTION_RESET)
    assert {engine for _, engine in harness.recorded_calls("send_attempt")} <= allowed
    harness.pass_time(5 * SECOND)
    assert bool(harness.recorded_calls("fail")) == (key_scope != "all")


def test_no_retry_after_the_idempotency_key_has_expired():
    harness = GatewayHarness(
        [{**QUICK_CLASS, "repeatability": Repeatability.KEYED, "key_ttl": SECOND}]
    )
    request = harness.submit_request()
    harness.now += SECOND
    harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    assert len(request.attempts) == 1 and request.is_finished


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_drained_or_removed_engine_gets_no_attempt(state):
    harness = GatewayHarness()
    harness.update_engines(*harness.engines, state=state)
    request = harness.submit_request()
    assert not request.attempts
    harness.update_engines(harness.engines[1])
    assert [attempt.engine.host_reference for attempt in request.attempts] == ["e1"]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.ENGINE_FULL])
def test_engine_in_slow_start_gets_at_most_its_share_of_the_work(outcome):
    harness = GatewayHarness(engines=1)
    for _ in range(8):
        harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
    harness.pass_time(2 * SECOND)
    harness.update_engines(harness.engines[0], started=harness.now)
    allowed_work = 8 * 0.85 * 2.0 * 0.3 * SECOND / 2
    sent_count = 0
    for _ in range(200):
        request = harness.submit_request()
        sent_count += len(request.attempts)
        if request.attempts:
            harness.finish_attempt(request.attempts[0], outcome, took=2000)
    assert sent_count > 0 and sent_count * 2000 <= allowed_work


def test_new_gateway_sends_nothing_to_an_engine_in_slow_start():
    harness = GatewayHarness(engines=1)
    harness.update_engines(harness.engines[0], started=harness.now - SECOND)
    request = harness.submit_request()
    assert not request.attempts


@pytest.mark.parametrize(
    "outcome, settle_ticks",
    [
        (AttemptOutcome.SUCCEEDED, 0),
        (AttemptOutcome.ERROR, 0),
        (AttemptOutcome.TIMED_OUT, 0),
        (AttemptOutcome.TIMED_OUT, 3000),
    ],
)
def test_order_key_admits_one_request_at_a_time(outcome, settle_ticks):
    harness = GatewayHarness([ORDERED], max_attempts=1, settle_ticks=settle_ticks)
    first, second, other = (
        harness.submit_request(order_key=5),
        harness.submit_request(order_key=5),
        harness.submit_request(order_key=6),
    )
    assert first.attempts and not second.attempts and other.attempts
    harness.finish_attempt(first.attempts[0], outcome)
    assert bool(second.attempts) == (not settle_ticks)
    harness.pass_time(settle_ticks)
    assert second.attempts
    # Guards against the next request of a key being sent before the previous one was rejected.
    calls = [(name, reference) for name, reference, _ in harness.calls]
    assert outcome == AttemptOutcome.SUCCEEDED or calls.index(
        ("reject", first.host_reference)
    ) < calls.index(("send_attempt", second.host_reference))


def test_order_key_waits_for_the_outcome_of_a_request_that_has_ended():
    harness = GatewayHarness([ORDERED])
    first = harness.submit_request(order_key=5, time_to_deadline=SECOND)
    harness.pass_time(SECOND)
    second = harness.submit_request(order_key=5)
    assert first.is_finished and not second.attempts
    harness.finish_attempt(first.attempts[0], AttemptOutcome.SUCCEEDED)
    assert second.attempts


def test_key_order_queue_rejects_requests_that_can_no_longer_start_in_time():
    harness = GatewayHarness([ORDERED])
    first, second = harness.submit_request(order_key=5), harness.submit_request(order_key=5)
    harness.pass_time(2 * SECOND)
    third = harness.submit_request(order_key=5)
    assert second.is_finished and not first.is_finished and not third.is_finished
    harness.finish_attempt(first.attempts[0])
    assert third.attempts and not second.attempts


def test_engine_kinds_of_a_class_hold_while_all_allowed_engines_are_gone():
    harness = GatewayHarness([{**QUICK_CLASS, "engine_kinds": (1,)}, QUICK_CLASS])
    harness.update_engines(harness.engines[1], state=EngineState.GONE)
    restricted, unrestricted = harness.submit_request(), harness.submit_request(1)
    harness.pass_time(4 * SECOND)
    assert not restricted.attempts and unrestricted.attempts and restricted.is_finished


@pytest.mark.parametrize(
    "request_count, floor, share, expected_retries",
    [(10, 3.0, 0.1, 4), (1, 0.0, 0.1, 0), (30, 0.0, 0.5, 15)],
)
def test_retry_budget_limits_retries(request_count, floor, share, expected_retries):
    harness = GatewayHarness(retry_floor=floor, retry_share=share, retry_window_ticks=5 * SECOND)
    for _ in range(request_count):
        harness.finish_attempt(harness.submit_request().attempts[0])
    # These requests do not succeed, so they add nothing to the retry budget.
    requests = [harness.submit_request() for _ in range(request_count)]
    for request in requests:
        harness.finish_attempt(request.attempts[0], AttemptOutcome.TIMED_OUT)
    assert sum(len(each.attempts) - 1 for each in requests) == expected_retries


def test_retry_does_not_start_if_its_key_expired_while_it_waited_for_a_connection():
    harness = GatewayHarness(
        [{**QUICK_CLASS, "repeatability": Repeatability.KEYED, "key_ttl": 2 * SECOND}]
    )
    request = harness.submit_request()
    harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    retry = request.attempts[1]
    assert harness.gateway.can_start_attempt(retry)
    harness.now += 2 * SECOND
    assert not harness.gateway.can_start_attempt(retry)


@pytest.mark.parametrize("change", ["drain", "restart", "cordon", "client_left"])
def test_attempt_does_not_start_if_its_conditions_changed_while_it_waited(change):
    harness = GatewayHarness(engines=1)
    request = harness.submit_request()
    assert harness.gateway.can_start_attempt(request.attempts[0])
    engine = harness.engines[0]
    if change == "drain":
        harness.update_engines(engine, state=EngineState.DRAINING)
    elif change == "restart":
        harness.update_engines(engine, started=harness.now)
    elif change == "cordon":
        harness.gateway.on_engine_cordon(engine, 1)
    else:
        harness.gateway.on_client_left(request)
    assert not harness.gateway.can_start_attempt(request.attempts[0])


def test_retry_counts_in_the_budget_from_its_start():
    harness = GatewayHarness(retry_floor=2.0, retry_window_ticks=5 * SECOND)
    requests = [harness.submit_request(), harness.submit_request()]
    for request in requests:
        harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    started_at = harness.now
    harness.now += 1_000
    assert harness.gateway.can_start_attempt(requests[0].attempts[1])
    assert harness.gateway.retry_budget.retry_times == [started_at, started_at + 1_000]
    # In a retry storm, the throttle lowers the budget to one retry, which is used already.
    harness.gateway.retry_budget.throttle = 0.5
    assert not harness.gateway.can_start_attempt(requests[1].attempts[1])
