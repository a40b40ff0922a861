"""Decision trace: hashes of all gateway decisions in seeded scenarios; proves refactorings equal.

    python benchmarks/decision_trace.py                                         print the hashes
    python benchmarks/decision_trace.py --expect benchmarks/decision_trace.json exit 1 if unlike
    python benchmarks/decision_trace.py --record benchmarks/decision_trace.json record them anew

A small simulated world calls the gateway through the host protocol: requests, answers, changes of
the engine list, failures. Each call that the gateway makes is hashed free of names, as time, code
of the call and figures; so is the state in public records. Equal hashes mean equal decisions, to
the last bit of each float. Times are ticks of a tenth of a millisecond. Hashes hold for one way of
adding floats: `sum` compensates from Python 3.12 on, so the record says which it was made with.
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

# The program's names: all of them, so that a renaming is followed in this section alone.

IDEMPOTENT, KEYED, NON_IDEMPOTENT = interface.Repeatability
GONE, READY, DRAINING = interface.EngineState
ERROR, SUCCEEDED, FULL, TIMED_OUT, UNREACHED, RESET, CANCELLED, ABANDONED = interface.AttemptOutcome
PROGRESS = interface.NoteKind.PROGRESS
# In a fixed order, as the world draws from it by index.
OUTCOMES = (ERROR, SUCCEEDED, FULL, TIMED_OUT, UNREACHED, RESET, CANCELLED, ABANDONED)
# A module and the name of one tuned constant in it: the test changes it and expects other hashes.
TUNED_SAMPLE = (admission, "MAX_QUEUE_WAIT_FRACTION")


class HostAdapter:
    """The host as the gateway knows it; passes each call on to the simulated world."""

    def __init__(self, world: "World", now: int) -> None:
        self.world, self.now, self.lag = world, now, 0

    def send_attempt(self, attempt: Any, allow: int) -> None:
        facts = AttemptFacts(
            attempt.number, attempt.sent_at, attempt.expected_duration, attempt.typical_duration
        )
        self.world.on_send(
            attempt, attempt.request.host_reference, attempt.engine.host_reference, allow, facts
        )

    def set_resources(self, request: Any, memory: float, priority: int) -> None:
        self.world.trace.add(self.now, 1, request.host_reference, memory, priority)

    def reject(self, request: Any, retry_after: int) -> None:
        self.world.trace.add(self.now, 2, request.host_reference, retry_after)

    def fail(self, request: Any) -> None:
        self.world.trace.add(self.now, 3, request.host_reference)

    def cancel_attempt(self, attempt: Any) -> None:
        self.world.on_cancel(attempt)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.world.trace.add(self.now, 5, delay, len(what))
        self.world.schedule(delay, method, *what)

    def log(self, line: str) -> None:
        self.world.trace.add(self.now, 6)


def build_gateway(host: HostAdapter, scenario: "Scenario", classes: list[Any], seed: int) -> Any:
    """A gateway with what the scenario states."""
    floor, share, span = scenario.retry_budget
    options = GatewayOptions(
        seed=seed,
        gateway_number=scenario.number,
        gateway_count=scenario.gateways,
        host_period_ticks=10,
        can_cancel=scenario.cancels,
        can_hedge=scenario.hedges,
        max_attempts=scenario.most_attempts,
        retry_after_ticks=scenario.retry_after,
        slow_start_speed=0.33,
        slow_start_ticks=scenario.warm_up,
        overload_factor=scenario.cold_multiple,
        overload_window_ticks=SECOND,
        retry_floor=floor,
        retry_share=share,
        retry_window_ticks=span,
        settle_ticks=scenario.settle,
    )
    return Gateway(host, options, classes)


def build_class(spec: "ClassSpec") -> Any:
    return interface.RequestClass(
        spec.name,
        spec.objective,
        spec.stretch,
        spec.deadline,
        spec.weight,
        spec.repeat,
        spec.group,
        spec.remembered,
        spec.ordered,
        spec.zones,
        spec.kinds,
        spec.threads,
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
        draw.life,
        draw.estimate,
        draw.memory,
        draw.key,
    )


def add_earlier_attempt(request: Any, engine: Any, sent: int, outcome: int) -> None:
    earlier = interface.Attempt(request, engine, 0, sent, 100.0, 100.0, False, False, outcome)
    request.earlier_attempts.append(earlier)


class GatewayCalls:
    """What can happen, told to a gateway."""

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
        )  # attempt, outcome, took, finished, work, need, inflight
        self.progress = gateway.on_attempt_progress  # attempt, sort, value
        self.may_begin = gateway.can_start_attempt
        self.key_in_doubt = gateway.hold_order_key  # key, until

    def throttle_retries(self, part: float) -> None:
        self.gateway.retry_budget.throttle = part

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


# From here on no name of the program.

SECOND = 10_000
START = 100 * SECOND
MISTRUSTED = ["error", "error"]  # the recent faults of an engine, as recovery hands them over


class AttemptFacts(NamedTuple):
    number: int
    sent: int
    due: float
    usual: float


class RequestDraw(NamedTuple):
    tenant: int
    tables: float
    life: int
    estimate: int
    memory: float
    key: int


class Learned(NamedTuple):
    """What recovery hands to a new gateway."""

    price: float
    best: float
    retries: list[int]
    succeeded: list[int]
    engines: list[tuple[Any, list[float], float, int, list[str]]]
    classes: list[tuple[Any, list[tuple[float, float, int]]]]
    queues: list[tuple[int, Any, float]]


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests, and the work that its requests are drawn around."""

    name: str
    objective: int
    stretch: float
    deadline: int
    weight: float
    repeat: int
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
    """One gateway's setting, and the world that it meets; spans and gaps in ticks."""

    name: str
    engines: int
    gateways: int
    seconds: int
    gap: int  # between requests, in the mean
    trouble: int  # between things that go wrong or change, in the mean
    cores: float = 8.0
    number: int = 0
    cancels: bool = False
    hedges: bool = False
    retry_budget: tuple[float, float, int] = (0.0, 0.0, 0)
    most_attempts: int = 4
    retry_after: int = 0
    warm_up: int = 0
    cold_multiple: float = 2.0
    settle: int = 0
    zones: int = 4
    recovered: bool = False
    outages: bool = True  # of whole zones


SCENARIOS = (
    Scenario("three-engines", 3, 1, 30, 130, 5_000, cores=4.0, cancels=True, settle=1_500),
    Scenario(
        "three-engines-overload", 3, 1, 24, 60, 9_000, cores=4.0, hedges=True, retry_after=700
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
        cancels=True,
        retry_budget=(3.0, 0.1, 2 * SECOND),
        warm_up=12 * SECOND,
    ),
    Scenario(
        "forty-engines",
        40,
        1,
        24,
        90,
        1_500,
        cores=2.0,
        hedges=True,
        warm_up=10 * SECOND,
        recovered=True,
    ),
    Scenario(
        "forty-engines-stated-budget",
        40,
        1,
        20,
        90,
        1_000,
        cores=4.0,
        cancels=True,
        hedges=True,
        retry_budget=(4.0, 0.2, 3 * SECOND),
        settle=3_000,
        most_attempts=3,
        warm_up=8 * SECOND,
    ),
    Scenario(
        "forty-engines-of-200-gateways",
        40,
        200,
        20,
        130,
        1_500,
        number=93,
        hedges=True,
        warm_up=10 * SECOND,
        outages=False,
    ),
    Scenario("calm", 12, 1, 24, 100, 10_000, cores=4.0, hedges=True, outages=False),
    Scenario(
        "subset-by-square", 250, 200, 20, 150, 2_000, cores=2.0, number=5, hedges=True, zones=6
    ),
    Scenario(
        "subset-by-cover",
        1_800,
        200,
        14,
        250,
        400,
        number=131,
        cancels=True,
        warm_up=9 * SECOND,
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
        hedges=True,
        cold_multiple=3.0,
        warm_up=9 * SECOND,
        recovered=True,
        zones=6,
    ),
    Scenario("subset-busy", 250, 200, 24, 45, 5_000, cores=1.0, number=9, cancels=True, zones=6),
    Scenario("subset-busiest", 500, 870, 24, 50, 9_000, cores=1.0, hedges=True, zones=6),
    Scenario(
        "retry-storm",
        12,
        1,
        24,
        100,
        350,
        cancels=True,
        hedges=True,
        retry_budget=(4.0, 0.1, 2 * SECOND),
    ),
    Scenario("all-of-1800", 1_800, 1, 3, 600, 4_000, cancels=True, hedges=True, zones=6),
)
SHORT_SCENARIOS = (
    "three-engines",
    "three-engines-of-200-gateways",
    "forty-engines",
    "subset-by-base",
)


class Trace:
    """The hash of a scenario; each line holds integers and the exact form of floats."""

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
    """An engine as it is, whatever the gateway believes."""

    record: Any
    cores: float
    state: int = READY
    incarnation: int = 0
    behaviour: str = "well"
    slowness: float = 1.0
    threads: int = 0


@dataclass(eq=False, slots=True)
class InFlight:
    """An attempt between its sending and its outcome."""

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
    """A request with what only its engine knows of it."""

    record: Any
    spec: ClassSpec
    work: int


@dataclass(slots=True)
class Population:
    """All that was ever built, by number."""

    engines: list[SimulatedEngine] = field(default_factory=list)
    requests: list[RequestTruth] = field(default_factory=list)
    attempts: list[InFlight] = field(default_factory=list)
    by_attempt: dict[Any, InFlight] = field(default_factory=dict)
    queues: list[Any] = field(default_factory=list)


class World:
    """Clients, engines and peers around one gateway, drawn from one seeded generator."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(f"{scenario.name}:{seed}")
        self.trace = Trace()
        self.all = Population()
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.timer_serial = 0
        self.gap = scenario.gap
        self.host = HostAdapter(self, START)
        self.classes = [build_class(spec) for spec in CLASSES]
        self.gateway = GatewayCalls(build_gateway(self.host, scenario, self.classes, seed))
        self._start_engines()
        if scenario.recovered:
            self._recover()

    # The clock.

    def schedule(self, delay: int, action: Callable[..., None], *arguments: Any) -> None:
        self.timer_serial += 1
        entry = (self.host.now + delay, self.timer_serial, action, arguments)
        heapq.heappush(self.timers, entry)

    def run(self) -> Trace:
        self.schedule(1, self._client_request)
        self.schedule(self.scenario.trouble, self._something_happens)
        self.schedule(SECOND, self._hash_state_often)
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
            self.all.engines.append(SimulatedEngine(engine, cores))
            self.gateway.engine_update(engine, READY, 0)
        self.gateway.list_complete()

    def _recover(self) -> None:
        engines = []
        for number, engine in enumerate(self.all.engines):
            faults = MISTRUSTED if number % 10 < 7 else []
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
        self.gateway.key_in_doubt(1, START + 4_000)

    # Clients.

    def _client_request(self) -> None:
        draw = self.random
        self.schedule(draw.randrange(1, 2 * self.gap), self._client_request)
        index = draw.choice((0, 0, 0, 0, 0, *range(len(CLASSES))))
        spec = CLASSES[index]
        part = draw.random()
        work = int(spec.work * (0.2 + 3.2 * part * part * part)) + 1
        fields = RequestDraw(
            tenant=draw.randrange(3),
            tables=float(draw.choice((1, 1, 1, 2, 3, 4, 5, 6))),
            life=draw.randrange(spec.deadline // 2, spec.deadline) if draw.random() < 0.98 else 20,
            estimate=0 if draw.random() < 0.15 else int(work * (0.5 + draw.random())) + 1,
            memory=0.0 if draw.random() < 0.3 else 50.0 + 400.0 * draw.random(),
            key=draw.randrange(5) if spec.ordered else 0,
        )
        request = build_request(len(self.all.requests), self.classes[index], fields, self.host.now)
        self.all.requests.append(RequestTruth(request, spec, work))
        if spec.repeat != NON_IDEMPOTENT and draw.random() < 0.08:
            engine = draw.choice(self.all.engines).record
            sent = self.host.now - draw.randrange(3 * SECOND)
            add_earlier_attempt(request, engine, sent, draw.choice(OUTCOMES))
        if draw.random() < 0.03:
            self.schedule(draw.randrange(1, 5_000), self.gateway.client_left, request)
        self.gateway.request(request)
        if queue_of(request) not in self.all.queues:
            self.all.queues.append(queue_of(request))

    # What the gateway calls.

    def on_send(
        self, attempt: Any, request: int, engine: int, allow: int, facts: AttemptFacts
    ) -> None:
        serial, now = len(self.all.attempts), self.host.now
        self.trace.add(now, 0, request, engine, serial, allow, *facts)
        flight = InFlight(serial, attempt, request, self.all.engines[engine], now, allow)
        self.all.attempts.append(flight)
        self.all.by_attempt[attempt] = flight
        wait = self.random.choice((0, 0, 0, 3, 20, 400, 1_200))
        self.schedule(min(wait, allow), self._first_byte, flight)

    def on_cancel(self, attempt: Any) -> None:
        flight = self.all.by_attempt[attempt]
        self.trace.add(self.host.now, 4, flight.serial)
        if self.random.random() < 0.9:
            outcome = CANCELLED if flight.begun else ABANDONED
            self.schedule(self.random.randrange(2, 60), self._answer, flight, outcome)

    # Engines.

    def _first_byte(self, flight: InFlight) -> None:
        if flight.finished:
            return
        allowed = self.gateway.may_begin(flight.attempt)
        self.trace.add(self.host.now, 7, flight.serial, allowed)
        if not allowed:
            self._answer(flight, ABANDONED)
            return
        flight.begun = True
        engine, truth = flight.engine, self.all.requests[flight.request]
        engine.threads += truth.spec.threads
        self.schedule(max(flight.allow - 5, 1), self._answer, flight, TIMED_OUT)
        crowd = max(1.0, engine.threads / engine.cores)
        alone = truth.work / truth.spec.threads * engine.slowness * crowd
        span = int(alone * (0.9 + 0.4 * self.random.random())) + 1
        self._engine_acts(flight, span)
        if self.random.random() < 0.2:
            self.schedule(span // 2 + 1, self._progress_note, flight)

    def _engine_acts(self, flight: InFlight, span: int) -> None:
        """Schedule the outcome that the engine's behaviour brings."""
        behaviour, draw = flight.engine.behaviour, self.random.random()
        if behaviour == "silent" or draw < 0.01:
            return  # the time-out will be its outcome
        if behaviour == "unreachable":
            self.schedule(self.random.choice((2, 2_000)), self._answer, flight, UNREACHED)
        elif behaviour == "resetting" or draw < 0.015:
            self.schedule(span // 3 + 1, self._answer, flight, RESET)
        elif behaviour == "erring" or draw < 0.025:
            self.schedule(span // 4 + 1, self._answer, flight, ERROR)
        elif behaviour == "refusing" or flight.engine.threads > 5 * flight.engine.cores:
            self.schedule(4, self._answer, flight, FULL)
        else:
            self.schedule(span, self._answer, flight, SUCCEEDED)

    def _answer(self, flight: InFlight, outcome: int) -> None:
        if flight.finished:
            return
        flight.finished = True
        draw, engine, truth = self.random, flight.engine, self.all.requests[flight.request]
        inflight = float(engine.threads) if draw.random() < 0.5 else -1.0
        if flight.begun:
            engine.threads -= truth.spec.threads
        succeeded = outcome == SUCCEEDED
        finished = succeeded or (outcome == ERROR and draw.random() < 0.2)
        work = truth.work if succeeded and draw.random() < 0.8 else 0
        need = 40.0 + 300.0 * draw.random() if succeeded and draw.random() < 0.7 else 0.0
        took = self.host.now - flight.sent
        self.gateway.answer(flight.attempt, outcome, took, finished, work, need, inflight)

    def _progress_note(self, flight: InFlight) -> None:
        if not flight.finished:
            sort = PROGRESS if self.random.random() < 0.8 else PROGRESS + 1
            value = self.random.choice((0.0, 0.02, 0.1, 0.5, 0.9))
            self.gateway.progress(flight.attempt, sort, value)

    # What changes.

    def _something_happens(self) -> None:
        self.schedule(self.random.randrange(1, 2 * self.scenario.trouble), self._something_happens)
        happenings = [
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
            self._pace_changes,
            self._retry_throttle_changes,
            self._processor_lags,
            self._key_in_doubt,
        ]
        if self.scenario.outages:
            happenings.append(self._zone_fails)
        self.random.choice(happenings)()

    def _any_engine(self) -> SimulatedEngine:
        """Mostly one that is at work, so that its trouble is met."""
        if self.all.attempts and self.random.random() < 0.8:
            return self.random.choice(self.all.attempts[-50:]).engine
        return self.random.choice(self.all.engines)

    def _engine_fails(self) -> None:
        engine = self._any_engine()
        behaviours = ("silent", "unreachable", "resetting", "erring", "refusing")
        engine.behaviour = self.random.choice(behaviours)
        self.schedule(self.random.randrange(2_000, 6 * SECOND), self._engine_recovers, engine)

    def _engine_slows(self) -> None:
        engine = self._any_engine()
        engine.slowness = self.random.choice((3.0, 6.0, 20.0))
        self.schedule(self.random.randrange(SECOND, 5 * SECOND), self._engine_recovers, engine)

    def _engine_recovers(self, engine: SimulatedEngine) -> None:
        engine.behaviour, engine.slowness = "well", 1.0

    def _zone_fails(self) -> None:
        zone, behaviour = (
            self.random.randrange(self.scenario.zones),
            self.random.choice(("unreachable", "silent", "resetting")),
        )
        span = self.random.randrange(SECOND, 4 * SECOND)
        for engine in self.all.engines[zone :: self.scenario.zones]:
            engine.behaviour = behaviour
            self.schedule(span, self._engine_recovers, engine)

    def _engine_list_changes(self) -> None:
        engine = self._any_engine()
        self._update(engine, self.random.choice((DRAINING, GONE)), engine.incarnation)
        self.schedule(self.random.randrange(SECOND, 4 * SECOND), self._engine_returns, engine)

    def _engine_returns(self, engine: SimulatedEngine) -> None:
        self._update(engine, READY, engine.incarnation)

    def _engine_restarts(self) -> None:
        """Its attempts break, mostly; the list tells of the new incarnation."""
        engine = self._any_engine()
        for flight in self.all.attempts[-200:]:
            if flight.engine is engine and flight.begun and self.random.random() < 0.7:
                self.schedule(self.random.randrange(1, 300), self._answer, flight, RESET)
        self._engine_recovers(engine)
        self._update(engine, READY, self.host.now - self.random.randrange(2 * SECOND))

    def _update(self, engine: SimulatedEngine, state: int, incarnation: int) -> None:
        engine.state, engine.incarnation = state, max(incarnation, engine.incarnation)
        self.gateway.engine_update(engine.record, engine.state, engine.incarnation)
        self.gateway.list_complete()

    def _cordon_changes(self) -> None:
        engine = self._any_engine().record
        self.gateway.cordon(engine, self.random.choice((1, 2)))
        self.schedule(self.random.randrange(SECOND, 3 * SECOND), self.gateway.cordon, engine, 0)

    def _peers_report(self) -> None:
        slowness, suspicion = self.random.choice((0.0, 1.5, 8.0)), self.random.randrange(3)
        self.gateway.peer_report(self._any_engine().record, slowness, suspicion)

    def _permit_moves(self) -> None:
        work = self.random.choice((-3_000.0, -900.0, 500.0, 2_000.0))
        self.gateway.permit_passed(self._any_engine().record, work, self.host.now)

    def _pace_changes(self) -> None:
        self.gap = max(int(self.scenario.gap * self.random.choice((0.4, 0.7, 1.0, 1.0, 2.0))), 1)

    def _retry_throttle_changes(self) -> None:
        self.gateway.throttle_retries(self.random.choice((0.1, 0.5, 1.0, 1.0)))

    def _processor_lags(self) -> None:
        self.host.lag = self.random.choice((150, 450, 900))
        self.schedule(self.random.randrange(100, 2_000), self._processor_keeps_up)

    def _processor_keeps_up(self) -> None:
        self.host.lag = 0

    def _key_in_doubt(self) -> None:
        until = self.host.now + self.random.randrange(1, SECOND)
        self.gateway.key_in_doubt(self.random.randrange(1, 5), until)

    # State.

    def _hash_state_often(self) -> None:
        self._hash_state()
        self.schedule(23_457, self._hash_state_often)

    def _hash_state(self) -> None:
        now, add = self.host.now, self.trace.add
        add(now, 8, self.gateway.price())
        for number, queue in enumerate(self.all.queues):
            add(now, 9, number, *queue_figures(queue))
        for number, request_class in enumerate(self.classes):
            add(now, 10, number, *class_figures(request_class))
        for number, engine in enumerate(self.all.engines):
            add(now, 11, number, *engine_figures(engine.record))
        for number, truth in enumerate(self.all.requests[-200:]):
            add(now, 12, number, *request_figures(truth.record))


def scenario_hash(scenario: Scenario, seed: int) -> str:
    """Run one scenario; its sha256 in hexadecimal."""
    return World(scenario, seed).run().digest()


def trace_hashes(seed: int, names: tuple[str, ...] = ()) -> dict[str, str]:
    """The hash of each scenario named; of all when none is."""
    chosen = [each for each in SCENARIOS if not names or each.name in names]
    return {scenario.name: scenario_hash(scenario, seed) for scenario in chosen}


def overall_hash(hashes: dict[str, str]) -> str:
    return sha256("\n".join(hashes.values()).encode()).hexdigest()


def float_sum() -> str:
    """How this Python adds floats; hashes compare only where it is alike."""
    return repr(sum([0.1] * 10))


def trace_record(seed: int, names: tuple[str, ...] = ()) -> dict[str, Any]:
    """What is recorded: seed, way of adding floats, hashes of the scenarios and of all."""
    hashes = trace_hashes(seed, names)
    return {
        "seed": seed,
        "float_sum": float_sum(),
        "scenarios": hashes,
        "overall": overall_hash(hashes),
    }


def differences(got: dict[str, Any], expected: dict[str, Any]) -> list[str]:
    """One line for each thing unlike; empty when the decisions are equal."""
    lines = [
        f"{key}: {got[key]}, recorded {expected[key]}"
        for key in ("seed", "float_sum", "overall")
        if got[key] != expected[key]
    ]
    names = [
        *expected["scenarios"],
        *(n for n in got["scenarios"] if n not in expected["scenarios"]),
    ]
    for name in names:
        one, other = got["scenarios"].get(name), expected["scenarios"].get(name)
        if one != other:
            lines.append(f"{name}: {one or 'not run'}, recorded {other or 'nothing'}")
    return lines


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seed", type=int, help="of the world (default: the expected file's, or 1)"
    )
    parser.add_argument("--expect", type=Path, metavar="FILE", help="exit 1 if unlike this record")
    parser.add_argument("--record", type=Path, metavar="FILE", help="write the hashes there")
    options = parser.parse_args()
    expected = json.loads(options.expect.read_text()) if options.expect else None
    seed = options.seed
    if seed is None:
        seed = expected["seed"] if expected else 1
    got = trace_record(seed)
    shown = json.dumps(got, indent=2)
    print(shown)
    if options.record:
        options.record.write_text(shown + "\n")
    unlike = differences(got, expected) if expected else []
    for line in unlike:
        print(line, file=sys.stderr)
    return 1 if unlike else 0


if __name__ == "__main__":
    sys.exit(main())
