"""The seven rules at their edges."""

import pytest

from corkgauge.policy.records import AttemptOutcome, EngineState, Repeatability
from tests.harness import QUICK, SECOND, GatewayHarness

ORDERED = {
    **QUICK,
    "name": "ordered",
    "repeatability": Repeatability.KEYED,
    "ordered": True,
    "key_ttl": 20 * SECOND,
}


@pytest.mark.parametrize("life", [0, 1, 30, 40, 333, SECOND, 5 * SECOND])
@pytest.mark.parametrize("engines", [0, 1])
def test_every_request_ends_once_before_its_deadline(life, engines):
    harness = GatewayHarness(engines=engines)
    request = harness.take(time_to_deadline=life)
    harness.pass_time(max(life - 20, 0))
    assert len(harness.said("dismiss") + harness.said("scrap")) == 1 and request.is_finished
    for attempt in request.attempts:  # its outcome comes after the end and changes nothing
        harness.over(attempt, AttemptOutcome.TIMED_OUT)
    harness.pass_time(10 * SECOND)
    assert (
        len(harness.said("dismiss") + harness.said("scrap")) == 1
        and len(harness.said("hand_off")) <= 1
    )


@pytest.mark.parametrize(
    "repeat, outcome, again, ending",
    [
        (Repeatability.IDEMPOTENT, AttemptOutcome.ERROR, True, None),
        (Repeatability.IDEMPOTENT, AttemptOutcome.TIMED_OUT, True, None),
        (Repeatability.KEYED, AttemptOutcome.CONNECTION_RESET, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.ENGINE_FULL, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.UNREACHABLE, True, None),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.ERROR, False, "scrap"),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.CONNECTION_RESET, False, "scrap"),
        (Repeatability.NON_IDEMPOTENT, AttemptOutcome.CANCELLED, False, "scrap"),
    ],
)
def test_retries_follow_repeatability(repeat, outcome, again, ending):
    harness = GatewayHarness([{**QUICK, "repeatability": repeat, "key_ttl": 20 * SECOND}])
    request = harness.take()
    harness.over(request.attempts[0], outcome)
    assert (len(request.attempts) == 2) == again
    assert ending is None or harness.said(ending)


@pytest.mark.parametrize(
    "group, allowed", [("all", {"e0", "e1", "e2"}), ("zone", {"e0", "e2"}), ("cell", {"e0"})]
)
def test_retries_stay_in_the_scope_of_their_key(group, allowed):
    harness = GatewayHarness(
        [
            {
                **QUICK,
                "repeatability": Repeatability.KEYED,
                "key_ttl": 20 * SECOND,
                "key_scope": group,
            }
        ]
    )
    harness.tell(*harness.engines[1:], state=EngineState.DRAINING)
    request = harness.take()
    harness.tell(*harness.engines[1:])
    for _ in range(3):
        if request.attempts[-1].is_in_flight:
            harness.over(request.attempts[-1], AttemptOutcome.CONNECTION_RESET)
    assert {engine for _, engine in harness.said("hand_off")} <= allowed
    harness.pass_time(5 * SECOND)
    assert bool(harness.said("scrap")) == (group != "all")


def test_retries_stop_when_the_key_has_expired():
    harness = GatewayHarness([{**QUICK, "repeatability": Repeatability.KEYED, "key_ttl": SECOND}])
    request = harness.take()
    harness.now += SECOND
    harness.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    assert len(request.attempts) == 1 and request.is_finished


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_drains_stop_at_once(state):
    harness = GatewayHarness()
    harness.tell(*harness.engines, state=state)
    request = harness.take()
    assert not request.attempts
    harness.tell(harness.engines[1])
    assert [h.engine.host_reference for h in request.attempts] == ["e1"]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.ENGINE_FULL])
def test_an_engine_in_slow_start_gets_its_part_of_the_work(outcome):
    harness = GatewayHarness(engines=1)
    for _ in range(8):
        harness.over(harness.take().attempts[0], took=2000)
    harness.pass_time(2 * SECOND)
    harness.tell(harness.engines[0], started=harness.now)
    part = 8 * 0.85 * 2.0 * 0.3 * SECOND / 2
    sent = 0
    for _ in range(200):
        request = harness.take()
        sent += len(request.attempts)
        if request.attempts:
            harness.over(request.attempts[0], outcome, took=2000)
    assert sent > 0 and sent * 2000 <= part


def test_a_new_gateway_does_not_trust_its_own_slow_start_budget():
    harness = GatewayHarness(engines=1)
    harness.tell(harness.engines[0], started=harness.now - SECOND)
    request = harness.take()
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
        harness.take(order_key=5),
        harness.take(order_key=5),
        harness.take(order_key=6),
    )
    assert first.attempts and not second.attempts and other.attempts
    harness.over(first.attempts[0], outcome)
    assert bool(second.attempts) == (not settle)
    harness.pass_time(settle)
    assert second.attempts
    # The next of a key was sent before the end of the one before it was said.
    said = [(what, tag) for what, tag, _ in harness.done]
    assert outcome == AttemptOutcome.SUCCEEDED or said.index(
        ("dismiss", first.host_reference)
    ) < said.index(("hand_off", second.host_reference))


def test_order_waits_for_outcomes_of_the_ended():
    harness = GatewayHarness([ORDERED])
    first = harness.take(order_key=5, time_to_deadline=SECOND)
    harness.pass_time(SECOND)
    second = harness.take(order_key=5)
    assert first.is_finished and not second.attempts
    harness.over(first.attempts[0], AttemptOutcome.SUCCEEDED)
    assert second.attempts


def test_a_line_rejects_requests_that_can_no_longer_start_in_time():
    harness = GatewayHarness([ORDERED])
    first, second = harness.take(order_key=5), harness.take(order_key=5)
    harness.pass_time(2 * SECOND)
    third = harness.take(order_key=5)
    assert second.is_finished and not first.is_finished and not third.is_finished
    harness.over(first.attempts[0])
    assert third.attempts and not second.attempts


def test_placement_holds_when_the_allowed_are_down():
    harness = GatewayHarness([{**QUICK, "engine_kinds": (1,)}, QUICK])
    harness.tell(harness.engines[1], state=EngineState.GONE)
    bound, free = harness.take(), harness.take(1)
    harness.pass_time(4 * SECOND)
    assert not bound.attempts and free.attempts and bound.is_finished


@pytest.mark.parametrize(
    "taken, floor, share, most", [(10, 3.0, 0.1, 4), (1, 0.0, 0.1, 0), (30, 0.0, 0.5, 15)]
)
def test_the_retry_budget_bounds_retries(taken, floor, share, most):
    harness = GatewayHarness(retry_floor=floor, retry_share=share, retry_window_ticks=5 * SECOND)
    for _ in range(taken):
        harness.over(harness.take().attempts[0])
    requests = [harness.take() for _ in range(taken)]  # what was never any use buys nothing
    for request in requests:
        harness.over(request.attempts[0], AttemptOutcome.TIMED_OUT)
    assert sum(len(s.attempts) - 1 for s in requests) == most


def test_the_key_may_have_expired_by_the_time_a_connection_is_up():
    harness = GatewayHarness(
        [{**QUICK, "repeatability": Repeatability.KEYED, "key_ttl": 2 * SECOND}]
    )
    request = harness.take()
    harness.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    again = request.attempts[1]
    assert harness.gateway.can_start_attempt(again)
    harness.now += 2 * SECOND
    assert not harness.gateway.can_start_attempt(again)


@pytest.mark.parametrize("change", ["drain", "anew", "aside", "over"])
def test_what_an_attempt_depends_on_may_have_changed_by_the_time_a_connection_is_up(change):
    harness = GatewayHarness(engines=1)
    request = harness.take()
    assert harness.gateway.can_start_attempt(request.attempts[0])
    engine = harness.engines[0]
    if change == "drain":
        harness.tell(engine, state=EngineState.DRAINING)
    elif change == "anew":
        harness.tell(engine, started=harness.now)
    elif change == "aside":
        harness.gateway.on_engine_cordon(engine, 1)
    else:
        harness.gateway.on_client_left(request)
    assert not harness.gateway.can_start_attempt(request.attempts[0])


def test_a_retry_counts_in_the_budget_from_when_it_begins():
    harness = GatewayHarness(retry_floor=2.0, retry_window_ticks=5 * SECOND)
    requests = [harness.take(), harness.take()]
    for request in requests:
        harness.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    begun = harness.now
    harness.now += 1_000
    assert harness.gateway.can_start_attempt(requests[0].attempts[1])
    assert harness.gateway.retry_budget.retry_times == [begun, begun + 1_000]
    harness.gateway.retry_budget.throttle = (
        0.5  # a storm: the budget is one by now, and that is used
    )
    assert not harness.gateway.can_start_attempt(requests[1].attempts[1])
