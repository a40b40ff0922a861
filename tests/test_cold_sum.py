"""What a whole fleet sends to one engine that has just started, in any window: N + 2 x root of N + 2 at most."""

import random
from math import sqrt

import pytest

from corkgauge.policy.records import AttemptOutcome, EngineState
from tests.harness import QUICK, SECOND, GatewayHarness

CORES, SHARE, MULTIPLE, SPAN, WARM = 12.0, 0.4, 3.0, 15_000, 12 * SECOND
# What is asked for: how often, and its work.
ALIKE, LIGHT, MIXED = (
    [(1.0, 9_500)],
    [(1.0, 2_450)],
    [(0.81, 2_450), (0.14, 40_000), (0.05, 24_000)],
)


class Fleet:
    """Gateways that know nothing of each other, all before one engine; each has seen some of every request class."""

    def __init__(self, gateways, mix, seed):
        self.chance, self.mix, self.sent, self.gateways = random.Random(seed), mix, [], gateways
        self.mean = sum(part * work for part, work in mix)
        self.allowed = MULTIPLE * SHARE * SPAN * CORES / self.mean  # N
        self.harnesses = [self.gateway(number) for number in range(gateways)]
        self.start = max(harness.now for harness in self.harnesses)
        for harness in self.harnesses:
            harness.pass_time(self.start - harness.now)
            harness.tell(harness.engines[0], started=self.start)

    def gateway(self, number):
        request_classes = [
            dict(QUICK, name=f"o{n}", time_to_deadline=25 * SECOND) for n in range(len(self.mix))
        ]
        harness = GatewayHarness(
            request_classes,
            engines=1,
            gateway_count=self.gateways,
            gateway_number=number,
            slow_start_speed=SHARE,
            overload_factor=MULTIPLE,
            overload_window_ticks=SPAN,
            slow_start_ticks=WARM,
        )
        harness.engines[0].cores = CORES
        for n, (part, work) in enumerate(self.mix):
            for _ in range(4):
                request = harness.take(n, estimated_work=work)
                if request.attempts:
                    harness.over(request.attempts[0], took=work, work=work)
        harness.pass_time(3 * SECOND)
        return harness

    def ask(self, number, when):
        harness = self.harnesses[number]
        harness.pass_time(max(when - harness.now, 0))
        (n,) = self.chance.choices(range(len(self.mix)), [part for part, _ in self.mix])
        request = harness.take(n, estimated_work=self.mix[n][1])
        if request.attempts:
            self.sent.append((when, self.mix[n][1]))
            harness.over(
                request.attempts[0],
                AttemptOutcome.SUCCEEDED,
                took=self.mix[n][1],
                work=self.mix[n][1],
            )
        elif not request.is_finished:
            harness.gateway.on_deadline_near(request)

    def restart(self, number):
        """It comes back from nothing but the list, which tells the engine's start."""
        harness = self.harnesses[number]
        now, self.harnesses[number] = harness.now, self.gateway(number)
        fresh = self.harnesses[number]
        fresh.pass_time(max(now - fresh.now, 0))
        fresh.gateway.slow_start.started_at = fresh.now
        fresh.gateway.on_engine_update(fresh.engines[0], EngineState.READY, self.start)
        fresh.gateway.on_engine_list_complete()

    def worst(self):
        """In mean requests, of any window of the span in which an engine may fall."""
        return (
            max(
                (
                    sum(work for when, work in self.sent if begin <= when < begin + SPAN)
                    for begin, _ in self.sent
                ),
                default=0,
            )
            / self.mean
        )


@pytest.mark.parametrize("gateways", [3, 20, 30, 200])
@pytest.mark.parametrize("mix", [ALIKE, LIGHT, MIXED], ids=["alike", "light", "mixed"])
def test_whatever_comes_together_the_fleet_keeps_to_the_slow_start_budget(gateways, mix):
    """All ask at once, just before and just after each moment at which turns used to pass on together."""
    fleet = Fleet(gateways, mix, seed=gateways)
    for k in range(1, 7):
        for moment in (-200, 200):
            for _ in range(4):
                for number in fleet.chance.sample(range(gateways), gateways):
                    fleet.ask(number, fleet.start + k * SPAN + moment)
    assert 0.1 * fleet.allowed < fleet.worst() <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2


@pytest.mark.parametrize("gateways", [20, 30])
def test_with_uneven_traffic_and_restarts_the_fleet_keeps_to_the_slow_start_budget(gateways):
    fleet = Fleet(gateways, MIXED, seed=7)
    weights = [fleet.chance.choice([0.3, 1, 1, 2, 5]) for _ in range(gateways)]
    now, asks = fleet.start, int(8 * fleet.allowed * 11 * SECOND / SPAN)
    for n in range(asks):
        now += fleet.chance.expovariate(1) * 11 * SECOND / asks
        (number,) = fleet.chance.choices(range(gateways), weights)
        if n % 40 == 0:
            fleet.restart(fleet.chance.randrange(gateways))
        if now < fleet.start + WARM:
            fleet.ask(number, int(now))
    assert 0.1 * fleet.allowed < fleet.worst() <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2


def test_a_fleet_that_is_restarted_twice_within_a_span_does_not_spend_its_budget_again():
    fleet = Fleet(30, ALIKE, seed=5)
    when = fleet.start + SPAN
    for again in range(3):
        for number in range(30):
            if again:
                fleet.restart(number)
                fleet.harnesses[number].gateway.slow_start.started_at = when + again * 3_000
            fleet.ask(number, when + again * 3_000 + 100)
    assert 0.1 * fleet.allowed < fleet.worst() <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2


def test_permits_that_were_not_used_are_not_saved_up():
    quiet, busy = Fleet(30, ALIKE, seed=3), Fleet(30, ALIKE, seed=3)
    for number in range(30):
        for _ in range(3):
            busy.ask(number, busy.start + SPAN + 10)
            quiet.ask(number, quiet.start + 6 * SPAN + 10)  # nothing was sent before
    assert len(quiet.sent) <= 1.3 * len(busy.sent) + 2
