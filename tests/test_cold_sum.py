"""Tests of slow start in a fleet: limits the work sent to one new engine in any window.

Allowed are N + 2 * sqrt(N) + 2 requests of mean work.
"""

import random
from math import sqrt

import pytest

from corkgauge.policy.records import AttemptOutcome, EngineState
from tests.harness import QUICK_CLASS, SECOND, GatewayHarness

ENGINE_CORES, SLOW_START_SPEED, OVERLOAD_FACTOR, WINDOW_TICKS, SLOW_START_TICKS = (
    12.0,
    0.4,
    3.0,
    15_000,
    12 * SECOND,
)
# Request mixes: (probability, work in thread ticks).
ALIKE, LIGHT, MIXED = (
    [(1.0, 9_500)],
    [(1.0, 2_450)],
    [(0.81, 2_450), (0.14, 40_000), (0.05, 24_000)],
)


class Fleet:
    """Independent gateways that share one engine; each has samples of every request class."""

    def __init__(self, gateways, mix, seed):
        self.random, self.mix, self.sent, self.gateway_count = (
            random.Random(seed),
            mix,
            [],
            gateways,
        )
        self.mean_work = sum(fraction * work for fraction, work in mix)
        self.allowed = (
            OVERLOAD_FACTOR * SLOW_START_SPEED * WINDOW_TICKS * ENGINE_CORES / self.mean_work
        )  # N
        self.harnesses = [self.make_gateway_harness(number) for number in range(gateways)]
        self.start = max(harness.now for harness in self.harnesses)
        for harness in self.harnesses:
            harness.pass_time(self.start - harness.now)
            harness.update_engines(harness.engines[0], started=self.start)

    def make_gateway_harness(self, number):
        request_classes = [
            dict(QUICK_CLASS, name=f"o{class_index}", time_to_deadline=25 * SECOND)
            for class_index in range(len(self.mix))
        ]
        harness = GatewayHarness(
            request_classes,
            engines=1,
            gateway_count=self.gateway_count,
            gateway_number=number,
            slow_start_speed=SLOW_START_SPEED,
            overload_factor=OVERLOAD_FACTOR,
            overload_window_ticks=WINDOW_TICKS,
            slow_start_ticks=SLOW_START_TICKS,
        )
        harness.engines[0].cores = ENGINE_CORES
        for class_index, (_fraction, work) in enumerate(self.mix):
            for _ in range(4):
                request = harness.submit_request(class_index, estimated_work=work)
                if request.attempts:
                    harness.finish_attempt(request.attempts[0], took=work, work=work)
        harness.pass_time(3 * SECOND)
        return harness

    def send_request(self, number, when):
        harness = self.harnesses[number]
        harness.pass_time(max(when - harness.now, 0))
        (class_index,) = self.random.choices(
            range(len(self.mix)), [fraction for fraction, _ in self.mix]
        )
        request = harness.submit_request(class_index, estimated_work=self.mix[class_index][1])
        if request.attempts:
            self.sent.append((when, self.mix[class_index][1]))
            harness.finish_attempt(
                request.attempts[0],
                AttemptOutcome.SUCCEEDED,
                took=self.mix[class_index][1],
                work=self.mix[class_index][1],
            )
        elif not request.is_finished:
            harness.gateway.on_deadline_near(request)

    def restart_gateway(self, number):
        """Restart a gateway; it then knows only the endpoint list with the engine's start time."""
        harness = self.harnesses[number]
        now, self.harnesses[number] = harness.now, self.make_gateway_harness(number)
        new_harness = self.harnesses[number]
        new_harness.pass_time(max(now - new_harness.now, 0))
        new_harness.gateway.slow_start.started_at = new_harness.now
        new_harness.gateway.on_engine_update(new_harness.engines[0], EngineState.READY, self.start)
        new_harness.gateway.on_engine_list_complete()

    def worst_window_load(self):
        """Return the most work sent in any window, as a number of requests of mean work."""
        return (
            max(
                (
                    sum(work for when, work in self.sent if begin <= when < begin + WINDOW_TICKS)
                    for begin, _ in self.sent
                ),
                default=0,
            )
            / self.mean_work
        )


@pytest.mark.parametrize("gateways", [3, 20, 30, 200])
@pytest.mark.parametrize("mix", [ALIKE, LIGHT, MIXED], ids=["alike", "light", "mixed"])
def test_fleet_keeps_the_slow_start_budget_when_all_gateways_send_at_once(gateways, mix):
    """Guards against turns of several gateways falling into one window.

    All gateways send just before and just after each moment at which the turns of all gateways
    formerly advanced together.
    """
    fleet = Fleet(gateways, mix, seed=gateways)
    for window_index in range(1, 7):
        for moment in (-200, 200):
            for _ in range(4):
                for number in fleet.random.sample(range(gateways), gateways):
                    fleet.send_request(number, fleet.start + window_index * WINDOW_TICKS + moment)
    assert (
        0.1 * fleet.allowed
        < fleet.worst_window_load()
        <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2
    )


@pytest.mark.parametrize("gateways", [20, 30])
def test_fleet_keeps_the_slow_start_budget_with_uneven_traffic_and_restarts(gateways):
    fleet = Fleet(gateways, MIXED, seed=7)
    weights = [fleet.random.choice([0.3, 1, 1, 2, 5]) for _ in range(gateways)]
    now, request_count = fleet.start, int(8 * fleet.allowed * 11 * SECOND / WINDOW_TICKS)
    for class_index in range(request_count):
        now += fleet.random.expovariate(1) * 11 * SECOND / request_count
        (number,) = fleet.random.choices(range(gateways), weights)
        if class_index % 40 == 0:
            fleet.restart_gateway(fleet.random.randrange(gateways))
        if now < fleet.start + SLOW_START_TICKS:
            fleet.send_request(number, int(now))
    assert (
        0.1 * fleet.allowed
        < fleet.worst_window_load()
        <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2
    )


def test_two_fleet_restarts_within_a_window_do_not_renew_the_budget():
    fleet = Fleet(30, ALIKE, seed=5)
    when = fleet.start + WINDOW_TICKS
    for restart_count in range(3):
        for number in range(30):
            if restart_count:
                fleet.restart_gateway(number)
                fleet.harnesses[number].gateway.slow_start.started_at = when + restart_count * 3_000
            fleet.send_request(number, when + restart_count * 3_000 + 100)
    assert (
        0.1 * fleet.allowed
        < fleet.worst_window_load()
        <= fleet.allowed + 2 * sqrt(fleet.allowed) + 2
    )


def test_unused_permits_do_not_accumulate():
    idle_fleet, busy_fleet = Fleet(30, ALIKE, seed=3), Fleet(30, ALIKE, seed=3)
    for number in range(30):
        for _ in range(3):
            busy_fleet.send_request(number, busy_fleet.start + WINDOW_TICKS + 10)
            # The idle fleet sent no request before.
            idle_fleet.send_request(number, idle_fleet.start + 6 * WINDOW_TICKS + 10)
    assert len(idle_fleet.sent) <= 1.3 * len(busy_fleet.sent) + 2
