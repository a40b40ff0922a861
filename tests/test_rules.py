"""The seven rules at their edges."""

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


@pytest.mark.parametrize("life", [0, 1, 30, 40, 333, SECOND, 5 * SECOND])
@pytest.mark.parametrize("engines", [0, 1])
def test_every_request_ends_once_before_its_deadline(life, engines):
    harness = GatewayHarness(engines=engines)
    request = harness.submit_request(time_to_deadline=life)
    harness.pass_time(max(life - 20, 0))
    assert (
        len(harness.recorded_calls("reject") + harness.recorded_calls("fail")) == 1
        and request.is_finished
    )
    for attempt in request.attempts:  # its outcome comes after the end and changes nothing
        harness.finish_attempt(attempt, AttemptOutcome.TIMED_OUT)
    harness.pass_time(10 * SECOND)
    assert (
        len(harness.recorded_calls("reject") + harness.recorded_calls("fail")) == 1
        and len(harness.recorded_calls("send_attempt")) <= 1
    )


@pytest.mark.parametrize(
    "repeat, outcome, again, ending",
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
def test_retries_follow_repeatability(repeat, outcome, again, ending):
    harness = GatewayHarness([{**QUICK_CLASS, "repeatability": repeat, "key_ttl": 20 * SECOND}])
    request = harness.submit_request()
    harness.finish_attempt(request.attempts[0], outcome)
    assert (len(request.attempts) == 2) == again
    assert ending is None or harness.recorded_calls(ending)


@pytest.mark.parametrize(
    "group, allowed", [("all", {"e0", "e1", "e2"}), ("zone", {"e0", "e2"}), ("cell", {"e0"})]
)
def test_retries_stay_in_the_scope_of_their_key(group, allowed):
    harness = GatewayHarness(
        [
            {
                **QUICK_CLASS,
                "repeatability": Repeatability.KEYED,
                "key_ttl": 20 * SECOND,
                "key_scope": group,
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
    assert bool(harness.recorded_calls("fail")) == (group != "all")


def test_retries_stop_when_the_key_has_expired():
    harness = GatewayHarness(
        [{**QUICK_CLASS, "repeatability": Repeatability.KEYED, "key_ttl": SECOND}]
    )
    request = harness.submit_request()
    harness.now += SECOND
    harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    assert len(request.attempts) == 1 and request.is_finished


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_drains_stop_at_once(state):
    harness = GatewayHarness()
    harness.update_engines(*harness.engines, state=state)
    request = harness.submit_request()
    assert not request.attempts
    harness.update_engines(harness.engines[1])
    assert [h.engine.host_reference for h in request.attempts] == ["e1"]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.ENGINE_FULL])
def test_an_engine_in_slow_start_gets_its_part_of_the_work(outcome):
    harness = GatewayHarness(engines=1)
    for _ in range(8):
        harness.finish_attempt(harness.submit_request().attempts[0], took=2000)
    harness.pass_time(2 * SECOND)
    harness.update_engines(harness.engines[0], started=harness.now)
    part = 8 * 0.85 * 2.0 * 0.3 * SECOND / 2
    sent = 0
    for _ in range(200):
        request = harness.submit_request()
        sent += len(request.attempts)
        if request.attempts:
            harness.finish_attempt(request.attempts[0], outcome, took=2000)
    assert sent > 0 and sent * 2000 <= part


def test_a_new_gateway_does_not_trust_its_own_slow_start_budget():
    harness = GatewayHarness(engines=1)
    harness.update_engines(harness.engines[0], started=harness.now - SECOND)
    request = harness.submit_request()
    assert not request.attempts


@pytest.mark.parametrize(
    "outcome, settle",
    [
        (AttemptOutcome.SUCCEEDED, 0),
        (AttemptOutcome.ERROR, 0),
        (AttemptOutcome.TIMED_OUT, 0),
        (AttemptOutcome.TIMED_OUT, 3000),
    ],
)
def test_order(outcome, settle):
    harness = GatewayHarness([ORDERED], max_attempts=1, settle_ticks=settle)
    first, second, other = (
        harness.submit_request(order_key=5),
        harness.submit_request(order_key=5),
        harness.submit_request(order_key=6),
    )
    assert first.attempts and not second.attempts and other.attempts
    harness.finish_attempt(first.attempts[0], outcome)
    assert bool(second.attempts) == (not settle)
    harness.pass_time(settle)
    assert second.attempts
    # The next of a key was sent before the end of the one before it was said.
    said = [(what, tag) for what, tag, _ in harness.calls]
    assert outcome == AttemptOutcome.SUCCEEDED or said.index(
        ("reject", first.host_reference)
    ) < said.index(("send_attempt", second.host_reference))


def test_order_waits_for_outcomes_of_the_ended():
    harness = GatewayHarness([ORDERED])
    first = harness.submit_request(order_key=5, time_to_deadline=SECOND)
    harness.pass_time(SECOND)
    second = harness.submit_request(order_key=5)
    assert first.is_finished and not second.attempts
    harness.finish_attempt(first.attempts[0], AttemptOutcome.SUCCEEDED)
    assert second.attempts


def test_a_line_rejects_requests_that_can_no_longer_start_in_time():
    harness = GatewayHarness([ORDERED])
    first, second = harness.submit_request(order_key=5), harness.submit_request(order_key=5)
    harness.pass_time(2 * SECOND)
    third = harness.submit_request(order_key=5)
    assert second.is_finished and not first.is_finished and not third.is_finished
    harness.finish_attempt(first.attempts[0])
    assert third.attempts and not second.attempts


def test_placement_holds_when_the_allowed_are_down():
    harness = GatewayHarness([{**QUICK_CLASS, "engine_kinds": (1,)}, QUICK_CLASS])
    harness.update_engines(harness.engines[1], state=EngineState.GONE)
    bound, free = harness.submit_request(), harness.submit_request(1)
    harness.pass_time(4 * SECOND)
    assert not bound.attempts and free.attempts and bound.is_finished


@pytest.mark.parametrize(
    "taken, floor, share, most", [(10, 3.0, 0.1, 4), (1, 0.0, 0.1, 0), (30, 0.0, 0.5, 15)]
)
def test_the_retry_budget_bounds_retries(taken, floor, share, most):
    harness = GatewayHarness(retry_floor=floor, retry_share=share, retry_window_ticks=5 * SECOND)
    for _ in range(taken):
        harness.finish_attempt(harness.submit_request().attempts[0])
    requests = [
        harness.submit_request() for _ in range(taken)
    ]  # what was never any use buys nothing
    for request in requests:
        harness.finish_attempt(request.attempts[0], AttemptOutcome.TIMED_OUT)
    assert sum(len(s.attempts) - 1 for s in requests) == most


def test_the_key_may_have_expired_by_the_time_a_connection_is_up():
    harness = GatewayHarness(
        [{**QUICK_CLASS, "repeatability": Repeatability.KEYED, "key_ttl": 2 * SECOND}]
    )
    request = harness.submit_request()
    harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    again = request.attempts[1]
    assert harness.gateway.can_start_attempt(again)
    harness.now += 2 * SECOND
    assert not harness.gateway.can_start_attempt(again)


@pytest.mark.parametrize("change", ["drain", "anew", "aside", "over"])
def test_what_an_attempt_depends_on_may_have_changed_by_the_time_a_connection_is_up(change):
    harness = GatewayHarness(engines=1)
    request = harness.submit_request()
    assert harness.gateway.can_start_attempt(request.attempts[0])
    engine = harness.engines[0]
    if change == "drain":
        harness.update_engines(engine, state=EngineState.DRAINING)
    elif change == "anew":
        harness.update_engines(engine, started=harness.now)
    elif change == "aside":
        harness.gateway.on_engine_cordon(engine, 1)
    else:
        harness.gateway.on_client_left(request)
    assert not harness.gateway.can_start_attempt(request.attempts[0])


def test_a_retry_counts_in_the_budget_from_when_it_begins():
    harness = GatewayHarness(retry_floor=2.0, retry_window_ticks=5 * SECOND)
    requests = [harness.submit_request(), harness.submit_request()]
    for request in requests:
        harness.finish_attempt(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    begun = harness.now
    harness.now += 1_000
    assert harness.gateway.can_start_attempt(requests[0].attempts[1])
    assert harness.gateway.retry_budget.retry_times == [begun, begun + 1_000]
    harness.gateway.retry_budget.throttle = (
        0.5  # a storm: the budget is one by now, and that is used
    )
    assert not harness.gateway.can_start_attempt(requests[1].attempts[1])
