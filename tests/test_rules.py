"""The seven rules at their edges."""

import pytest

from corkgauge.policy.records import (
    CALLED_OFF,
    DRAINING,
    ERROR,
    FULL,
    GONE,
    HONOURED,
    IRREVERSIBLE,
    LABELLED,
    REDOABLE,
    RESET,
    TIMED_OUT,
    UNREACHED,
)
from tests.harness import QUICK, SECOND, GatewayHarness

ORDERED = {
    **QUICK,
    "name": "ordered",
    "repeat": LABELLED,
    "ordered": True,
    "remembered": 20 * SECOND,
}


@pytest.mark.parametrize("life", [0, 1, 30, 40, 333, SECOND, 5 * SECOND])
@pytest.mark.parametrize("engines", [0, 1])
def test_every_submission_ends_once_before_expiry(life, engines):
    yard = GatewayHarness(engines=engines)
    sub = yard.take(life=life)
    yard.pass_time(max(life - 20, 0))
    assert len(yard.said("dismiss") + yard.said("scrap")) == 1 and sub.over
    for handoff in sub.handoffs:  # its outcome comes after the end and changes nothing
        yard.over(handoff, TIMED_OUT)
    yard.pass_time(10 * SECOND)
    assert len(yard.said("dismiss") + yard.said("scrap")) == 1 and len(yard.said("hand_off")) <= 1


@pytest.mark.parametrize(
    "repeat, outcome, again, ending",
    [
        (REDOABLE, ERROR, True, None),
        (REDOABLE, TIMED_OUT, True, None),
        (LABELLED, RESET, True, None),
        (IRREVERSIBLE, FULL, True, None),
        (IRREVERSIBLE, UNREACHED, True, None),
        (IRREVERSIBLE, ERROR, False, "scrap"),
        (IRREVERSIBLE, RESET, False, "scrap"),
        (IRREVERSIBLE, CALLED_OFF, False, "scrap"),
    ],
)
def test_effects(repeat, outcome, again, ending):
    yard = GatewayHarness([{**QUICK, "repeat": repeat, "remembered": 20 * SECOND}])
    sub = yard.take()
    yard.over(sub.handoffs[0], outcome)
    assert (len(sub.handoffs) == 2) == again
    assert ending is None or yard.said(ending)


@pytest.mark.parametrize(
    "group, allowed", [("all", {"e0", "e1", "e2"}), ("zone", {"e0", "e2"}), ("cell", {"e0"})]
)
def test_repeats_stay_in_their_group(group, allowed):
    yard = GatewayHarness(
        [{**QUICK, "repeat": LABELLED, "remembered": 20 * SECOND, "group": group}]
    )
    yard.tell(*yard.engines[1:], state=DRAINING)
    sub = yard.take()
    yard.tell(*yard.engines[1:])
    for _ in range(3):
        if sub.handoffs[-1].out:
            yard.over(sub.handoffs[-1], RESET)
    assert {engine for _, engine in yard.said("hand_off")} <= allowed
    yard.pass_time(5 * SECOND)
    assert bool(yard.said("scrap")) == (group != "all")


def test_repeats_stop_when_no_longer_remembered():
    yard = GatewayHarness([{**QUICK, "repeat": LABELLED, "remembered": SECOND}])
    sub = yard.take()
    yard.now += SECOND
    yard.over(sub.handoffs[0], RESET)
    assert len(sub.handoffs) == 1 and sub.over


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_drains_stop_at_once(state):
    yard = GatewayHarness()
    yard.tell(*yard.engines, state=state)
    sub = yard.take()
    assert not sub.handoffs
    yard.tell(yard.engines[1])
    assert [h.engine.tag for h in sub.handoffs] == ["e1"]


@pytest.mark.parametrize("outcome", [HONOURED, FULL])
def test_cold_engine_gets_its_part_of_the_work(outcome):
    yard = GatewayHarness(engines=1)
    for _ in range(8):
        yard.over(yard.take().handoffs[0], took=2000)
    yard.pass_time(2 * SECOND)
    yard.tell(yard.engines[0], started=yard.now)
    part = 8 * 0.85 * 2.0 * 0.3 * SECOND / 2
    sent = 0
    for _ in range(200):
        sub = yard.take()
        sent += len(sub.handoffs)
        if sub.handoffs:
            yard.over(sub.handoffs[0], outcome, took=2000)
    assert 0 < sent and sent * 2000 <= part


def test_a_new_gateway_does_not_trust_its_own_cold_budget():
    yard = GatewayHarness(engines=1)
    yard.tell(yard.engines[0], started=yard.now - SECOND)
    sub = yard.take()
    assert not sub.handoffs


@pytest.mark.parametrize(
    "outcome, settle", [(HONOURED, 0), (ERROR, 0), (TIMED_OUT, 0), (TIMED_OUT, 3000)]
)
def test_order(outcome, settle):
    yard = GatewayHarness([ORDERED], most_handoffs=1, settle=settle)
    first, second, other = yard.take(key=5), yard.take(key=5), yard.take(key=6)
    assert first.handoffs and not second.handoffs and other.handoffs
    yard.over(first.handoffs[0], outcome)
    assert bool(second.handoffs) == (not settle)
    yard.pass_time(settle)
    assert second.handoffs
    # Danger: the next of a key was handed off before the end of the one before it was said.
    said = [(what, tag) for what, tag, _ in yard.done]
    assert outcome == HONOURED or said.index(("dismiss", first.tag)) < said.index(
        ("hand_off", second.tag)
    )


def test_order_waits_for_outcomes_of_the_ended():
    yard = GatewayHarness([ORDERED])
    first = yard.take(key=5, life=SECOND)
    yard.pass_time(SECOND)
    second = yard.take(key=5)
    assert first.over and not second.handoffs
    yard.over(first.handoffs[0], HONOURED)
    assert second.handoffs


def test_a_line_dismisses_those_that_can_no_longer_start_in_time():
    yard = GatewayHarness([ORDERED])
    first, second = yard.take(key=5), yard.take(key=5)
    yard.pass_time(2 * SECOND)
    third = yard.take(key=5)
    assert second.over and not first.over and not third.over
    yard.over(first.handoffs[0])
    assert third.handoffs and not second.handoffs


def test_placement_holds_when_the_allowed_are_down():
    yard = GatewayHarness([{**QUICK, "kinds": (1,)}, QUICK])
    yard.tell(yard.engines[1], state=GONE)
    bound, free = yard.take(), yard.take(1)
    yard.pass_time(4 * SECOND)
    assert not bound.handoffs and free.handoffs and bound.over


@pytest.mark.parametrize(
    "taken, floor, share, most", [(10, 3.0, 0.1, 4), (1, 0.0, 0.1, 0), (30, 0.0, 0.5, 15)]
)
def test_budget(taken, floor, share, most):
    yard = GatewayHarness(extra_floor=floor, extra_share=share, extra_span=5 * SECOND)
    for _ in range(taken):
        yard.over(yard.take().handoffs[0])
    subs = [yard.take() for _ in range(taken)]  # Danger: what was never any use buys nothing
    for sub in subs:
        yard.over(sub.handoffs[0], TIMED_OUT)
    assert sum(len(s.handoffs) - 1 for s in subs) == most


def test_the_window_for_repeats_may_be_over_by_the_time_that_a_link_comes_up():
    yard = GatewayHarness([{**QUICK, "repeat": LABELLED, "remembered": 2 * SECOND}])
    sub = yard.take()
    yard.over(sub.handoffs[0], RESET)
    again = sub.handoffs[1]
    assert yard.gateway.may_begin(again)
    yard.now += 2 * SECOND
    assert not yard.gateway.may_begin(again)


@pytest.mark.parametrize("change", ["drain", "anew", "aside", "over"])
def test_what_an_attempt_rests_on_may_have_changed_by_the_time_that_a_link_comes_up(change):
    yard = GatewayHarness(engines=1)
    sub = yard.take()
    assert yard.gateway.may_begin(sub.handoffs[0])
    engine = yard.engines[0]
    if change == "drain":
        yard.tell(engine, state=DRAINING)
    elif change == "anew":
        yard.tell(engine, started=yard.now)
    elif change == "aside":
        yard.gateway.engine_aside(engine, 1)
    else:
        yard.gateway.submission_left(sub)
    assert not yard.gateway.may_begin(sub.handoffs[0])


def test_a_further_attempt_counts_in_the_budget_from_when_it_begins():
    yard = GatewayHarness(extra_floor=2.0, extra_span=5 * SECOND)
    subs = [yard.take(), yard.take()]
    for sub in subs:
        yard.over(sub.handoffs[0], RESET)
    begun = yard.now
    yard.now += 1_000
    assert yard.gateway.may_begin(subs[0].handoffs[1])
    assert yard.gateway.extras == [begun, begun + 1_000]
    yard.gateway.strict = 0.5  # a storm: the budget is one by now, and that is used
    assert not yard.gateway.may_begin(subs[1].handoffs[1])
