"""Hashes all gateway decisions in seeded scenarios, to show that a refactoring changes none.

    python benchmarks/decision_trace.py                                         print the hashes
    python benchmarks/decision_trace.py --expect benchmarks/decision_trace.json exit 1 if different
    python benchmarks/decision_trace.py --record benchmarks/decision_trace.json record the hashes

A small simulation drives the gateway through the host protocol with requests, answers, changes of
the engine list and failures. Each call of the gateway is hashed as time, code of the call and
numbers, and so is the state in public records. No names are hashed. Equal hashes mean equal
decisions, to the last bit of each float. Times are ticks of a tenth of a millisecond.

Hashes are comparable only between Python versions that add floats alike: `sum` compensates rounding
errors from Python 3.12 on. The record contains the result of such a sum.
"""

import argparse
import heapq
import json
import os
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from corkgauge.policy import admission
from corkgauge.policy import records as interface
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.learned_state import (
    LearnedClass,
    LearnedEngine,
    LearnedShare,
    LearnedState,
)
from corkgauge.policy.options import GatewayOptions

# This section has all uses of names of the program, so that a rename changes no other section.

IDEMPOTENT, KEYED, NON_IDEMPOTENT = interface.Repeatability
GONE, READY, DRAINING = interface.EngineState
ERROR, SUCCEEDED, FULL, TIMED_OUT, UNREACHED, RESET, CANCELLED, ABANDONED = interface.AttemptOutcome
PROGRESS = interface.NoteKind.PROGRESS
# The order must not change, because the simulation draws from it by index.
OUTCOMES = (ERROR, SUCCEEDED, FULL, TIMED_OUT, UNREACHED, RESET, CANCELLED, ABANDONED)
# A module and the name of a constant in it. The test changes it and expects different hashes.
TUNED_SAMPLE = (admission, "MAX_QUEUE_WAIT_FRACTION")


class HostAdapter:
    """Host of the gateway; forwards each call to the simulation."""

    def __init__(self, simulation: "Simulation", now: int) -> None:
        self.simulation, self.now, self.lag = simulation, now, 0

    def send_attempt(self, attempt: Any, allow: int) -> None:
        facts = AttemptFacts(
            attempt.number, attempt.sent_at, attempt.expected_duration, attempt.typical_duration
        )
        self.simulation.on_send(
            attempt, attempt.request.host_reference, attempt.engine.host_reference, allow, facts
        )

    def set_resources(self, request: Any, memory: float, priority: int) -> None:
        self.simulation.trace.add(self.now, 1, request.host_reference, memory, priority)

    def reject(self, request: Any, retry_after: int) -> None:
        self.simulation.trace.add(self.now, 2, request.host_reference, retry_after)

    def fail(self, request: Any) -> None:
        self.simulation.trace.add(self.now, 3, request.host_reference)

    def cancel_attempt(self, attempt: Any) -> None:
        self.simulation.on_cancel(attempt)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.simulation.trace.add(self.now, 5, delay, len(what))
        self.simulation.schedule(delay, method, *what)

    def log(self, line: str) -> None:
        self.simulation.trace.add(self.now, 6)


def build_gateway(host: HostAdapter, scenario: "Scenario", classes: list[Any], seed: int) -> Any:
    """Return a gateway with the options of the scenario."""
    floor, share, duration = scenario.retry_budget
    options = GatewayOptions(
        seed=seed,
        gateway_number=scenario.number,
        gateway_count=scenario.gateway_count,
        host_period_ticks=10,
        can_cancel=scenario.can_cancel,
        can_hedge=scenario.can_hedge,
        max_attempts=scenario.max_attempts,
        retry_after_ticks=scenario.retry_after,
        slow_start_speed=0.33,
        slow_start_ticks=scenario.slow_start_ticks,
        overload_factor=scenario.overload_factor,
        overload_window_ticks=SECOND,
        retry_floor=floor,
        retry_share=share,
        retry_window_ticks=duration,
        settle_ticks=scenario.settle_ticks,
    )
    return Gateway(host, options, classes)


def build_class(class_spec: "ClassSpec") -> Any:
    return interface.RequestClass(
        class_spec.name,
        class_spec.objective,
        class_spec.stretch,
        class_spec.deadline,
        class_spec.weight,
        class_spec.repeatability,
        class_spec.group,
        class_spec.remembered,
        class_spec.ordered,
        class_spec.zones,
        class_spec.kinds,
        class_spec.threads,
    )


def build_engine(number: int, zone: int, kind: int, cell: int, cores: float) -> Any:
    key = b"engine-%d" % number
    return interface.Engine(number, key, zone, kind, cell, cores, 900.0 * (number % 3))


def build_request(number: int, request_class: Any, draw: "RequestDraw", now: int) -> Any:
    return interface.Request(
        number,
        request_class,
        draw.tenant,
        draw.tables,
        now,
        draw.lifetime,
        draw.estimate,
        draw.memory,
        draw.key,
    )


def add_earlier_attempt(request: Any, engine: Any, sent: int, outcome: int) -> None:
    earlier = interface.Attempt(request, engine, 0, sent, 100.0, 100.0, False, False, outcome)
    request.earlier_attempts.append(earlier)


class GatewayCalls:
    """The calls from the host to the gateway."""

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway
        self.engine_update = gateway.on_engine_update  # engine, state, incarnation
        self.list_complete = gateway.on_engine_list_complete
        self.cordon = gateway.on_engine_cordon  # engine, level
        self.peer_report = gateway.on_peer_health  # engine, slowness, suspicion
        self.permit_passed = gateway.on_permit_moved  # engine, work, when
        self.request = gateway.on_request
        self.client_left = gateway.on_client_left
        self.answer = (
            gateway.on_attempt_finished
        )  # attempt, outcome, duration, finished, work, memory, inflight
        self.progress = gateway.on_attempt_progress  # attempt, kind, value
        self.may_begin = gateway.can_start_attempt
        self.hold_order_key = gateway.hold_order_key  # key, until

    def throttle_retries(self, fraction: float) -> None:
        self.gateway.retry_budget.throttle = fraction

    def recover(self, learned: "Learned") -> None:
        self.gateway.restore_learned_state(
            LearnedState(
                learned.price,
                learned.best,
                learned.retries,
                learned.succeeded,
                [LearnedEngine(*each) for each in learned.engines],
                [LearnedClass(*each) for each in learned.classes],
                [LearnedShare(*each) for each in learned.queues],
            )
        )

    def price(self) -> float:
        return self.gateway.price.current


def queue_of(request: Any) -> Any:
    return request.queue


def queue_figures(queue: Any) -> tuple[Any, ...]:
    return queue.share, len(queue.waiting)


def request_figures(request: Any) -> tuple[Any, ...]:
    return (
        request.expected_work,
        request.latency_objective,
        int(request.is_finished),
        len(request.attempts),
    )


def class_figures(request_class: Any) -> tuple[Any, ...]:
    return (
        request_class.typical_work,
        request_class.subset_rank_limit,
        len(request_class.answer_samples),
    )


def engine_figures(engine: Any) -> tuple[Any, ...]:
    stats = engine.stats
    return (
        engine.threads_in_flight,
        int(engine.in_subset),
        engine.subset_rank,
        stats.last_activity_at,
        stats.ejected_until,
        stats.refused_until,
        stats.limit_factor,
        stats.reported_load,
        len(stats.in_flight),
    )


# The remaining sections use no names of the program.

SECOND = 10_000
START = 100 * SECOND
RECENT_FAULTS = ["error", "error"]  # recent faults of an engine, as recovery restores them


class AttemptFacts(NamedTuple):
    number: int
    sent: int
    expected_duration: float
    typical_duration: float


class RequestDraw(NamedTuple):
    tenant: int
    tables: float
    lifetime: int
    estimate: int
    memory: float
    key: int


class Learned(NamedTuple):
    """The learned state that recovery restores in a new gateway."""

    price: float
    best: float
    retries: list[int]
    succeeded: list[int]
    engines: list[tuple[Any, list[float], float, int, list[str]]]
    classes: list[tuple[Any, list[tuple[float, float, int]]]]
    queues: list[tuple[int, Any, float]]


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A request class, and the typical work of its requests."""

    name: str
    objective: int
    stretch: float
    deadline: int
    weight: float
    repeatability: int
    work: int
    group: str = "all"
    remembered: int = 0
    ordered: bool = False
    zones: tuple[int, ...] = ()
    kinds: tuple[int, ...] = ()
    threads: int = 1


CLASSES = (
    ClassSpec("light", 1_500, 1.0, 2 * SECOND, 1.0, IDEMPOTENT, 400),
    ClassSpec("heavy", 6_000, 2.0, 6 * SECOND, 4.0, IDEMPOTENT, 6_000, threads=4),
    ClassSpec("keyed-all", 3_000, 1.5, 4 * SECOND, 2.0, KEYED, 1_200, "all", 2 * SECOND),
    ClassSpec("keyed-zone", 3_000, 1.5, 4 * SECOND, 2.0, KEYED, 900, "zone", 3 * SECOND),
    ClassSpec("keyed-cell", 3_000, 1.5, 4 * SECOND, 2.5, KEYED, 900, "cell", 3 * SECOND),
    ClassSpec("once", 4_000, 2.0, 4 * SECOND, 3.0, NON_IDEMPOTENT, 1_000),
    ClassSpec("ordered", 4_000, 1.0, 5 * SECOND, 2.0, KEYED, 700, "all", SECOND, True),
    ClassSpec("rare-kind", 4_000, 1.0, 4 * SECOND, 2.0, IDEMPOTENT, 800, kinds=(2,), threads=2),
    ClassSpec("zones", 2_000, 1.0, 3 * SECOND, 1.5, NON_IDEMPOTENT, 600, zones=(0, 1), kinds=(0,)),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The options of the gateway and the behaviour of its environment; times are in ticks."""

    name: str
    engines: int
    gateway_count: int
    seconds: int
    request_interval: int  # mean interval between requests
    change_interval: int  # mean interval between failures and other changes
    cores: float = 8.0
    number: int = 0
    can_cancel: bool = False
    can_hedge: bool = False
    retry_budget: tuple[float, float, int] = (0.0, 0.0, 0)
    max_attempts: int = 4
    retry_after: int = 0
    slow_start_ticks: int = 0
    overload_factor: float = 2.0
    settle_ticks: int = 0
    zones: int = 4
    has_learned_state: bool = False
    has_outages: bool = True  # failures of whole zones


SCENARIOS = (
    Scenario("three-engines", 3, 1, 30, 130, 5_000, cores=4.0, can_cancel=True, settle_ticks=1_500),
    Scenario(
        "three-engines-overload", 3, 1, 24, 60, 9_000, cores=4.0, can_hedge=True, retry_after=700
    ),
    Scenario(
        "three-engines-of-200-gateways",
        3,
        200,
        24,
        400,
        8_000,
        cores=16.0,
        number=17,
        can_cancel=True,
        retry_budget=(3.0, 0.1, 2 * SECOND),
        slow_start_ticks=12 * SECOND,
    ),
    Scenario(
        "forty-engines",
        40,
        1,
        24,
        90,
        1_500,
        cores=2.0,
        can_hedge=True,
        slow_start_ticks=10 * SECOND,
        has_learned_state=True,
    ),
    Scenario(
        "forty-engines-stated-budget",
        40,
        1,
        20,
        90,
        1_000,
        cores=4.0,
        can_cancel=True,
        can_hedge=True,
        retry_budget=(4.0, 0.2, 3 * SECOND),
        settle_ticks=3_000,
        max_attempts=3,
        slow_start_ticks=8 * SECOND,
    ),
    Scenario(
        "forty-engines-of-200-gateways",
        40,
        200,
        20,
        130,
        1_500,
        number=93,
        can_hedge=True,
        slow_start_ticks=10 * SECOND,
        has_outages=False,
    ),
    Scenario("calm", 12, 1, 24, 100, 10_000, cores=4.0, can_hedge=True, has_outages=False),
    Scenario(
        "subset-by-square", 250, 200, 20, 150, 2_000, cores=2.0, number=5, can_hedge=True, zones=6
    ),
    Scenario(
        "subset-by-cover",
        1_800,
        200,
        14,
        250,
        400,
        number=131,
        can_cancel=True,
        slow_start_ticks=9 * SECOND,
        zones=6,
    ),
    Scenario(
        "subset-by-base",
        1_800,
        870,
        14,
        250,
        400,
        number=700,
        can_hedge=True,
        overload_factor=3.0,
        slow_start_ticks=9 * SECOND,
        has_learned_state=True,
        zones=6,
    ),
    Scenario("subset-busy", 250, 200, 24, 45, 5_000, cores=1.0, number=9, can_cancel=True, zones=6),
    Scenario("subset-busiest", 500, 870, 24, 50, 9_000, cores=1.0, can_hedge=True, zones=6),
    Scenario(
        "retry-storm",
        12,
        1,
        24,
        100,
        350,
        can_cancel=True,
        can_hedge=True,
        retry_budget=(4.0, 0.1, 2 * SECOND),
    ),
    Scenario("all-of-1800", 1_800, 1, 3, 600, 4_000, can_cancel=True, can_hedge=True, zones=6),
)
SHORT_SCENARIOS = (
    "three-engines",
    "three-engines-of-200-gateways",
    "forty-engines",
    "subset-by-base",
)


class Trace:
    """The hash over all trace lines of a scenario, with integers and exact floats."""

    def __init__(self) -> None:
        self._hash = sha256()
        self.lines = 0

    def add(self, now: int, code: int, *figures: Any) -> None:
        shown = (repr(f) if isinstance(f, float) else str(int(f)) for f in figures)
        self._hash.update(f"{now} {code} {' '.join(shown)}\n".encode())
        self.lines += 1

    def digest(self) -> str:
        return self._hash.hexdigest()


@dataclass(eq=False, slots=True)
class SimulatedEngine:
    """The true state of an engine, which the gateway may not know."""

    record: Any
    cores: float
    state: int = READY
    incarnation: int = 0
    behaviour: str = "well"
    slowness: float = 1.0
    threads: int = 0


@dataclass(eq=False, slots=True)
class SimulatedAttempt:
    """An attempt that has been sent, and its state."""

    serial: int
    attempt: Any
    request: int
    engine: SimulatedEngine
    sent: int
    allow: int
    begun: bool = False
    finished: bool = False


@dataclass(slots=True)
class RequestTruth:
    """A request with its true work, which only the engine knows."""

    record: Any
    class_spec: ClassSpec
    work: int


@dataclass(slots=True)
class Population:
    """All objects of a simulation, by number."""

    engines: list[SimulatedEngine] = field(default_factory=list)
    requests: list[RequestTruth] = field(default_factory=list)
    attempts: list[SimulatedAttempt] = field(default_factory=list)
    by_attempt: dict[Any, SimulatedAttempt] = field(default_factory=dict)
    queues: list[Any] = field(default_factory=list)


class Simulation:
    """Simulates clients, engines and peers of one gateway, with one seeded generator."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(f"{scenario.name}:{seed}")
        self.trace = Trace()
        self.population = Population()
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.timer_serial = 0
        self.request_interval = scenario.request_interval
        self.host = HostAdapter(self, START)
        self.classes = [build_class(class_spec) for class_spec in CLASSES]
        self.gateway = GatewayCalls(build_gateway(self.host, scenario, self.classes, seed))
        self._start_engines()
        if scenario.has_learned_state:
            self._recover()

    # The clock.

    def schedule(self, delay: int, action: Callable[..., None], *arguments: Any) -> None:
        self.timer_serial += 1
        entry = (self.host.now + delay, self.timer_serial, action, arguments)
        heapq.heappush(self.timers, entry)

    def run(self) -> Trace:
        self.schedule(1, self._client_request)
        self.schedule(self.scenario.change_interval, self._change_environment)
        self.schedule(SECOND, self._hash_state_periodically)
        until = START + self.scenario.seconds * SECOND
        while self.timers and self.timers[0][0] <= until:
            self.host.now, _, action, arguments = heapq.heappop(self.timers)
            action(*arguments)
        self._hash_state()
        return self.trace

    # Start.

    def _start_engines(self) -> None:
        count, zones = self.scenario.engines, self.scenario.zones
        for number in range(count):
            kind = 2 if number % 23 == 2 else number // zones % 2
            cores = self.scenario.cores * (1 + number % 2)
            engine = build_engine(number, number % zones, kind, number // 5, cores)
            self.population.engines.append(SimulatedEngine(engine, cores))
            self.gateway.engine_update(engine, READY, 0)
        self.gateway.list_complete()

    def _recover(self) -> None:
        engines = []
        for number, engine in enumerate(self.population.engines):
            faults = RECENT_FAULTS if number % 10 < 7 else []
            until = START + SECOND if number % 10 == 3 else 0
            engines.append((engine.record, [1.5, 2.0, 1.0 + number % 4], 1.3, until, faults))
        samples = [(1.1, 0.8, 500), (0.9, 1.2, 700), (1.3, 1.0, 650)]
        learned = Learned(
            price=0.0001,
            best=1.2,
            retries=[START - 300, START - 9_000],
            succeeded=[START - offset for offset in range(0, 20_000, 500)],
            engines=engines,
            classes=[(self.classes[0], samples)],
            queues=[(0, self.classes[0], 0.6), (1, self.classes[1], 0.4)],
        )
        self.gateway.recover(learned)
        self.gateway.hold_order_key(1, START + 4_000)

    # Clients.

    def _client_request(self) -> None:
        draw = self.random
        self.schedule(draw.randrange(1, 2 * self.request_interval), self._client_request)
        index = draw.choice((0, 0, 0, 0, 0, *range(len(CLASSES))))
        class_spec = CLASSES[index]
        fraction = draw.random()
        work = int(class_spec.work * (0.2 + 3.2 * fraction * fraction * fraction)) + 1
        fields = RequestDraw(
            tenant=draw.randrange(3),
            tables=float(draw.choice((1, 1, 1, 2, 3, 4, 5, 6))),
            lifetime=draw.randrange(class_spec.deadline // 2, class_spec.deadline)
            if draw.random() < 0.98
            else 20,
            estimate=0 if draw.random() < 0.15 else int(work * (0.5 + draw.random())) + 1,
            memory=0.0 if draw.random() < 0.3 else 50.0 + 400.0 * draw.random(),
            key=draw.randrange(5) if class_spec.ordered else 0,
        )
        request = build_request(
            len(self.population.requests), self.classes[index], fields, self.host.now
        )
        self.population.requests.append(RequestTruth(request, class_spec, work))
        if class_spec.repeatability != NON_IDEMPOTENT and draw.random() < 0.08:
            engine = draw.choice(self.population.engines).record
            sent = self.host.now - draw.randrange(3 * SECOND)
            add_earlier_attempt(request, engine, sent, draw.choice(OUTCOMES))
        if draw.random() < 0.03:
            self.schedule(draw.randrange(1, 5_000), self.gateway.client_left, request)
        self.gateway.request(request)
        if queue_of(request) not in self.population.queues:
            self.population.queues.append(queue_of(request))

    # Calls from the gateway.

    def on_send(
        self, attempt: Any, request: int, engine: int, allow: int, facts: AttemptFacts
    ) -> None:
        serial, now = len(self.population.attempts), self.host.now
        self.trace.add(now, 0, request, engine, serial, allow, *facts)
        attempt_state = SimulatedAttempt(
            serial, attempt, request, self.population.engines[engine], now, allow
        )
        self.population.attempts.append(attempt_state)
        self.population.by_attempt[attempt] = attempt_state
        wait = self.random.choice((0, 0, 0, 3, 20, 400, 1_200))
        self.schedule(min(wait, allow), self._first_byte, attempt_state)

    def on_cancel(self, attempt: Any) -> None:
        attempt_state = self.population.by_attempt[attempt]
        self.trace.add(self.host.now, 4, attempt_state.serial)
        if self.random.random() < 0.9:
            outcome = CANCELLED if attempt_state.begun else ABANDONED
            self.schedule(self.random.randrange(2, 60), self._answer, attempt_state, outcome)

    # Engines.

    def _first_byte(self, attempt_state: SimulatedAttempt) -> None:
        if attempt_state.finished:
            return
        allowed = self.gateway.may_begin(attempt_state.attempt)
        self.trace.add(self.host.now, 7, attempt_state.serial, allowed)
        if not allowed:
            self._answer(attempt_state, ABANDONED)
            return
        attempt_state.begun = True
        engine, truth = attempt_state.engine, self.population.requests[attempt_state.request]
        engine.threads += truth.class_spec.threads
        self.schedule(max(attempt_state.allow - 5, 1), self._answer, attempt_state, TIMED_OUT)
        overload = max(1.0, engine.threads / engine.cores)
        duration_alone = truth.work / truth.class_spec.threads * engine.slowness * overload
        duration = int(duration_alone * (0.9 + 0.4 * self.random.random())) + 1
        self._schedule_outcome(attempt_state, duration)
        if self.random.random() < 0.2:
            self.schedule(duration // 2 + 1, self._progress_note, attempt_state)

    def _schedule_outcome(self, attempt_state: SimulatedAttempt, duration: int) -> None:
        """Schedule the outcome that results from the behaviour of the engine."""
        behaviour, draw = attempt_state.engine.behaviour, self.random.random()
        if behaviour == "silent" or draw < 0.01:
            return  # the attempt will time out
        if behaviour == "unreachable":
            self.schedule(self.random.choice((2, 2_000)), self._answer, attempt_state, UNREACHED)
        elif behaviour == "resetting" or draw < 0.015:
            self.schedule(duration // 3 + 1, self._answer, attempt_state, RESET)
        elif behaviour == "erring" or draw < 0.025:
            self.schedule(duration // 4 + 1, self._answer, attempt_state, ERROR)
        elif (
            behaviour == "refusing" or attempt_state.engine.threads > 5 * attempt_state.engine.cores
        ):
            self.schedule(4, self._answer, attempt_state, FULL)
        else:
            self.schedule(duration, self._answer, attempt_state, SUCCEEDED)

    def _answer(self, attempt_state: SimulatedAttempt, outcome: int) -> None:
        if attempt_state.finished:
            return
        attempt_state.finished = True
        draw, engine, truth = (
            self.random,
            attempt_state.engine,
            self.population.requests[attempt_state.request],
        )
        inflight = float(engine.threads) if draw.random() < 0.5 else -1.0
        if attempt_state.begun:
            engine.threads -= truth.class_spec.threads
        succeeded = outcome == SUCCEEDED
        finished = succeeded or (outcome == ERROR and draw.random() < 0.2)
        work = truth.work if succeeded and draw.random() < 0.8 else 0
        memory = 40.0 + 300.0 * draw.random() if succeeded and draw.random() < 0.7 else 0.0
        duration = self.host.now - attempt_state.sent
        self.gateway.answer(
            attempt_state.attempt, outcome, duration, finished, work, memory, inflight
        )

    def _progress_note(self, attempt_state: SimulatedAttempt) -> None:
        if not attempt_state.finished:
            kind = PROGRESS if self.random.random() < 0.8 else PROGRESS + 1
            value = self.random.choice((0.0, 0.02, 0.1, 0.5, 0.9))
            self.gateway.progress(attempt_state.attempt, kind, value)

    # Failures and other changes.

    def _change_environment(self) -> None:
        self.schedule(
            self.random.randrange(1, 2 * self.scenario.change_interval), self._change_environment
        )
        changes = [
            self._engine_fails,
            self._engine_fails,
            self._engine_fails,
            self._engine_slows,
            self._engine_list_changes,
            self._engine_restarts,
            self._engine_restarts,
            self._cordon_changes,
            self._peers_report,
            self._permit_moves,
            self._change_request_rate,
            self._retry_throttle_changes,
            self._slow_processor,
            self._hold_order_key,
        ]
        if self.scenario.has_outages:
            changes.append(self._zone_fails)
        self.random.choice(changes)()

    def _draw_engine(self) -> SimulatedEngine:
        """Return a random engine, mostly one with recent attempts, so that a failure matters."""
        if self.population.attempts and self.random.random() < 0.8:
            return self.random.choice(self.population.attempts[-50:]).engine
        return self.random.choice(self.population.engines)

    def _engine_fails(self) -> None:
        engine = self._draw_engine()
        behaviours = ("silent", "unreachable", "resetting", "erring", "refusing")
        engine.behaviour = self.random.choice(behaviours)
        self.schedule(self.random.randrange(2_000, 6 * SECOND), self._engine_recovers, engine)

    def _engine_slows(self) -> None:
        engine = self._draw_engine()
        engine.slowness = self.random.choice((3.0, 6.0, 20.0))
        self.schedule(self.random.randrange(SECOND, 5 * SECOND), self._engine_recovers, engine)

    def _engine_recovers(self, engine: SimulatedEngine) -> None:
        engine.behaviour, engine.slowness = "well", 1.0

    def _zone_fails(self) -> None:
        zone, behaviour = (
            self.random.randrange(self.scenario.zones),
            self.random.choice(("unreachable", "silent", "resetting")),
        )
        duration = self.random.randrange(SECOND, 4 * SECOND)
        for engine in self.population.engines[zone :: self.scenario.zones]:
            engine.behaviour = behaviour
            self.schedule(duration, self._engine_recovers, engine)

    def _engine_list_changes(self) -> None:
        engine = self._draw_engine()
        self._update(engine, self.random.choice((DRAINING, GONE)), engine.incarnation)
        self.schedule(self.random.randrange(SECOND, 4 * SECOND), self._return_engine, engine)

    def _return_engine(self, engine: SimulatedEngine) -> None:
        self._update(engine, READY, engine.incarnation)

    def _engine_restarts(self) -> None:
        """Restart an engine: most of its attempts fail, and the list has the new incarnation."""
        engine = self._draw_engine()
        for attempt_state in self.population.attempts[-200:]:
            if (
                attempt_state.engine is engine
                and attempt_state.begun
                and self.random.random() < 0.7
            ):
                self.schedule(self.random.randrange(1, 300), self._answer, attempt_state, RESET)
        self._engine_recovers(engine)
        self._update(engine, READY, self.host.now - self.random.randrange(2 * SECOND))

    def _update(self, engine: SimulatedEngine, state: int, incarnation: int) -> None:
        engine.state, engine.incarnation = state, max(incarnation, engine.incarnation)
        self.gateway.engine_update(engine.record, engine.state, engine.incarnation)
        self.gateway.list_complete()

    def _cordon_changes(self) -> None:
        engine = self._draw_engine().record
        self.gateway.cordon(engine, self.random.choice((1, 2)))
        self.schedule(self.random.randrange(SECOND, 3 * SECOND), self.gateway.cordon, engine, 0)

    def _peers_report(self) -> None:
        slowness, suspicion = self.random.choice((0.0, 1.5, 8.0)), self.random.randrange(3)
        self.gateway.peer_report(self._draw_engine().record, slowness, suspicion)

    def _permit_moves(self) -> None:
        work = self.random.choice((-3_000.0, -900.0, 500.0, 2_000.0))
        self.gateway.permit_passed(self._draw_engine().record, work, self.host.now)

    def _change_request_rate(self) -> None:
        self.request_interval = max(
            int(self.scenario.request_interval * self.random.choice((0.4, 0.7, 1.0, 1.0, 2.0))), 1
        )

    def _retry_throttle_changes(self) -> None:
        self.gateway.throttle_retries(self.random.choice((0.1, 0.5, 1.0, 1.0)))

    def _slow_processor(self) -> None:
        self.host.lag = self.random.choice((150, 450, 900))
        self.schedule(self.random.randrange(100, 2_000), self._restore_processor)

    def _restore_processor(self) -> None:
        self.host.lag = 0

    def _hold_order_key(self) -> None:
        until = self.host.now + self.random.randrange(1, SECOND)
        self.gateway.hold_order_key(self.random.randrange(1, 5), until)

    # State.

    def _hash_state_periodically(self) -> None:
        self._hash_state()
        self.schedule(23_457, self._hash_state_periodically)

    def _hash_state(self) -> None:
        now, add = self.host.now, self.trace.add
        add(now, 8, self.gateway.price())
        for number, queue in enumerate(self.population.queues):
            add(now, 9, number, *queue_figures(queue))
        for number, request_class in enumerate(self.classes):
            add(now, 10, number, *class_figures(request_class))
        for number, engine in enumerate(self.population.engines):
            add(now, 11, number, *engine_figures(engine.record))
        for number, truth in enumerate(self.population.requests[-200:]):
            add(now, 12, number, *request_figures(truth.record))


def scenario_hash(scenario: Scenario, seed: int) -> str:
    """Run a scenario; return its SHA-256 hash in hexadecimal."""
    return Simulation(scenario, seed).run().digest()


def trace_hashes(seed: int, names: tuple[str, ...] = ()) -> dict[str, str]:
    """Return the hashes of the named scenarios, or of all if no name is given."""
    chosen = [each for each in SCENARIOS if not names or each.name in names]
    return {scenario.name: scenario_hash(scenario, seed) for scenario in chosen}


def overall_hash(hashes: dict[str, str]) -> str:
    return sha256("\n".join(hashes.values()).encode()).hexdigest()


def float_sum() -> str:
    """Return a sum that depends on how this Python version adds floats."""
    return repr(sum([0.1] * 10))


def trace_record(seed: int, names: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the record: seed, sum of floats, hash of each scenario and overall hash."""
    hashes = trace_hashes(seed, names)
    return {
        "seed": seed,
        "float_sum": float_sum(),
        "scenarios": hashes,
        "overall": overall_hash(hashes),
    }


def differences(actual: dict[str, Any], expected: dict[str, Any]) -> list[str]:
    """Return one line per difference between two records."""
    lines = [
        f"{key}: {actual[key]}, recorded {expected[key]}"
        for key in ("seed", "float_sum", "overall")
        if actual[key] != expected[key]
    ]
    names = [
        *expected["scenarios"],
        *(n for n in actual["scenarios"] if n not in expected["scenarios"]),
    ]
    for name in names:
        own_hash, other = actual["scenarios"].get(name), expected["scenarios"].get(name)
        if own_hash != other:
            lines.append(f"{name}: {own_hash or 'not run'}, recorded {other or 'nothing'}")
    return lines


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seed", type=int, help="seed of the simulation (default: that of the expected file, or 1)"
    )
    parser.add_argument(
        "--expect", type=Path, metavar="FILE", help="exit 1 if the hashes differ from this record"
    )
    parser.add_argument("--record", type=Path, metavar="FILE", help="write the hashes to this file")
    options = parser.parse_args()
    expected = json.loads(options.expect.read_text()) if options.expect else None
    seed = options.seed
    if seed is None:
        seed = expected["seed"] if expected else 1
    actual = trace_record(seed)
    shown = json.dumps(actual, indent=2)
    print(shown)
    if options.record:
        options.record.write_text(shown + "\n")
    difference_lines = differences(actual, expected) if expected else []
    for line in difference_lines:
        print(line, file=sys.stderr)
    return 1 if difference_lines else 0


if __name__ == "__main__":
    sys.exit(main())
