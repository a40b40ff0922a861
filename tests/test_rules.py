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
def test_every_submission_ends_once_before_expiry(life, engines):
    yard = GatewayHarness(engines=engines)
    request = yard.take(time_to_deadline=life)
    yard.pass_time(max(life - 20, 0))
    assert len(yard.said("dismiss") + yard.said("scrap")) == 1 and request.is_finished
    for attempt in request.attempts:  # its outcome comes after the end and changes nothing
        yard.over(attempt, AttemptOutcome.TIMED_OUT)
    yard.pass_time(10 * SECOND)
    assert len(yard.said("dismiss") + yard.said("scrap")) == 1 and len(yard.said("hand_off")) <= 1


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
def test_effects(repeat, outcome, again, ending):
    yard = GatewayHarness([{**QUICK, "repeatability": repeat, "key_ttl": 20 * SECOND}])
    request = yard.take()
    yard.over(request.attempts[0], outcome)
    assert (len(request.attempts) == 2) == again
    assert ending is None or yard.said(ending)


@pytest.mark.parametrize(
    "group, allowed", [("all", {"e0", "e1", "e2"}), ("zone", {"e0", "e2"}), ("cell", {"e0"})]
)
def test_repeats_stay_in_their_group(group, allowed):
    yard = GatewayHarness(
        [
            {
                **QUICK,
                "repeatability": Repeatability.KEYED,
                "key_ttl": 20 * SECOND,
                "key_scope": group,
            }
        ]
    )
    yard.tell(*yard.engines[1:], state=EngineState.DRAINING)
    request = yard.take()
    yard.tell(*yard.engines[1:])
    for _ in range(3):
        if request.attempts[-1].is_in_flight:
            yard.over(request.attempts[-1], AttemptOutcome.CONNECTION_RESET)
    assert {engine for _, engine in yard.said("hand_off")} <= allowed
    yard.pass_time(5 * SECOND)
    assert bool(yard.said("scrap")) == (group != "all")


def test_repeats_stop_when_no_longer_remembered():
    yard = GatewayHarness([{**QUICK, "repeatability": Repeatability.KEYED, "key_ttl": SECOND}])
    request = yard.take()
    yard.now += SECOND
    yard.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    assert len(request.attempts) == 1 and request.is_finished


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_drains_stop_at_once(state):
    yard = GatewayHarness()
    yard.tell(*yard.engines, state=state)
    request = yard.take()
    assert not request.attempts
    yard.tell(yard.engines[1])
    assert [h.engine.host_reference for h in request.attempts] == ["e1"]


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.ENGINE_FULL])
def test_cold_engine_gets_its_part_of_the_work(outcome):
    yard = GatewayHarness(engines=1)
    for _ in range(8):
        yard.over(yard.take().attempts[0], took=2000)
    yard.pass_time(2 * SECOND)
    yard.tell(yard.engines[0], started=yard.now)
    part = 8 * 0.85 * 2.0 * 0.3 * SECOND / 2
    sent = 0
    for _ in range(200):
        request = yard.take()
        sent += len(request.attempts)
        if request.attempts:
            yard.over(request.attempts[0], outcome, took=2000)
    assert 0 < sent and sent * 2000 <= part


def test_a_new_gateway_does_not_trust_its_own_cold_budget():
    yard = GatewayHarness(engines=1)
    yard.tell(yard.engines[0], started=yard.now - SECOND)
    request = yard.take()
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
    yard = GatewayHarness([ORDERED], max_attempts=1, settle_ticks=settle)
    first, second, other = yard.take(order_key=5), yard.take(order_key=5), yard.take(order_key=6)
    assert first.attempts and not second.attempts and other.attempts
    yard.over(first.attempts[0], outcome)
    assert bool(second.attempts) == (not settle)
    yard.pass_time(settle)
    assert second.attempts
    # Danger: the next of a key was handed off before the end of the one before it was said.
    said = [(what, tag) for what, tag, _ in yard.done]
    assert outcome == AttemptOutcome.SUCCEEDED or said.index(
        ("dismiss", first.host_reference)
    ) < said.index(("hand_off", second.host_reference))


def test_order_waits_for_outcomes_of_the_ended():
    yard = GatewayHarness([ORDERED])
    first = yard.take(order_key=5, time_to_deadline=SECOND)
    yard.pass_time(SECOND)
    second = yard.take(order_key=5)
    assert first.is_finished and not second.attempts
    yard.over(first.attempts[0], AttemptOutcome.SUCCEEDED)
    assert second.attempts


def test_a_line_dismisses_those_that_can_no_longer_start_in_time():
    yard = GatewayHarness([ORDERED])
    first, second = yard.take(order_key=5), yard.take(order_key=5)
    yard.pass_time(2 * SECOND)
    third = yard.take(order_key=5)
    assert second.is_finished and not first.is_finished and not third.is_finished
    yard.over(first.attempts[0])
    assert third.attempts and not second.attempts


def test_placement_holds_when_the_allowed_are_down():
    yard = GatewayHarness([{**QUICK, "engine_kinds": (1,)}, QUICK])
    yard.tell(yard.engines[1], state=EngineState.GONE)
    bound, free = yard.take(), yard.take(1)
    yard.pass_time(4 * SECOND)
    assert not bound.attempts and free.attempts and bound.is_finished


@pytest.mark.parametrize(
    "taken, floor, share, most", [(10, 3.0, 0.1, 4), (1, 0.0, 0.1, 0), (30, 0.0, 0.5, 15)]
)
def test_budget(taken, floor, share, most):
    yard = GatewayHarness(retry_floor=floor, retry_share=share, retry_window_ticks=5 * SECOND)
    for _ in range(taken):
        yard.over(yard.take().attempts[0])
    requests = [yard.take() for _ in range(taken)]  # Danger: what was never any use buys nothing
    for request in requests:
        yard.over(request.attempts[0], AttemptOutcome.TIMED_OUT)
    assert sum(len(s.attempts) - 1 for s in requests) == most


def test_the_window_for_repeats_may_be_over_by_the_time_that_a_link_comes_up():
    yard = GatewayHarness([{**QUICK, "repeatability": Repeatability.KEYED, "key_ttl": 2 * SECOND}])
    request = yard.take()
    yard.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    again = request.attempts[1]
    assert yard.gateway.may_start_attempt(again)
    yard.now += 2 * SECOND
    assert not yard.gateway.may_start_attempt(again)


@pytest.mark.parametrize("change", ["drain", "anew", "aside", "over"])
def test_what_an_attempt_rests_on_may_have_changed_by_the_time_that_a_link_comes_up(change):
    yard = GatewayHarness(engines=1)
    request = yard.take()
    assert yard.gateway.may_start_attempt(request.attempts[0])
    engine = yard.engines[0]
    if change == "drain":
        yard.tell(engine, state=EngineState.DRAINING)
    elif change == "anew":
        yard.tell(engine, started=yard.now)
    elif change == "aside":
        yard.gateway.on_engine_cordon(engine, 1)
    else:
        yard.gateway.on_client_left(request)
    assert not yard.gateway.may_start_attempt(request.attempts[0])


def test_a_further_attempt_counts_in_the_budget_from_when_it_begins():
    yard = GatewayHarness(retry_floor=2.0, retry_window_ticks=5 * SECOND)
    requests = [yard.take(), yard.take()]
    for request in requests:
        yard.over(request.attempts[0], AttemptOutcome.CONNECTION_RESET)
    begun = yard.now
    yard.now += 1_000
    assert yard.gateway.may_start_attempt(requests[0].attempts[1])
    assert yard.gateway.retry_budget.retry_times == [begun, begun + 1_000]
    yard.gateway.retry_budget.throttle = 0.5  # a storm: the budget is one by now, and that is used
    assert not yard.gateway.may_start_attempt(requests[1].attempts[1])
