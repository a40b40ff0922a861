"""Runs a gateway in simulated time: the policy module alone, or the host without a network.

Owns the simulated time, the generated requests and the answers of the engines. Makes no decisions
of its own, draws all random numbers from its seed, and connects to the other ends of socket pairs
only.
"""

import json
import socket
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import sin
from time import process_time
from typing import Any

from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.platform_frontend import PlatformFrontEnd
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.learned_state import (
    LearnedClass,
    LearnedEngine,
    LearnedShare,
    LearnedState,
)
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import (
    Attempt,
    AttemptOutcome,
    Engine,
    EngineState,
    Repeatability,
    Request,
    RequestClass,
)
from corkgauge.testkit.emulators.protocols import request_frame
from corkgauge.testkit.seeded_random import SeededRandom

GATEWAY_COUNT, REQUESTS_PER_SECOND, FEEDBACK_PERIOD_TICKS = (
    870,
    2530.0,
    2 * SECOND,
)  # of the fleet; at one gateway; of the periodic feedback
ZONE_COUNT, ENGINE_KIND_COUNT = 5, 3
TABLE_GROUP_COUNT, TENANT_COUNT, ORDER_KEY_COUNT = 200, 20, 2_000


@dataclass(frozen=True)
class ClassProfile:
    """A request class of the generated load; `fraction` is its share of all requests."""

    name: str
    fraction: float
    work_ticks: int
    deadline_ticks: int
    latency_target_ticks: int
    repeatability: int = 0
    ordered: bool = False
    kinds: tuple[int, ...] = ()


CLASSES = (
    ClassProfile("lookup", 0.66, 20, 5 * SECOND, SECOND),
    ClassProfile("report", 0.12, 600, 10 * SECOND, 2 * SECOND, kinds=(2,)),
    ClassProfile("load", 0.12, 100, 5 * SECOND, SECOND, Repeatability.KEYED, True),
    ClassProfile("once", 0.10, 50, 5 * SECOND, SECOND, Repeatability.NON_IDEMPOTENT),
)


class ZipfDistribution:
    """Draws numbers from 0 to n - 1, the k-th with a frequency proportional to 1 / k."""

    def __init__(self, chance: SeededRandom, n: int) -> None:
        self.chance, self.cumulative_weights, sum_ = chance, list[float](), 0.0
        for k in range(n):
            self.cumulative_weights.append(sum_ := sum_ + 1 / (k + 1))

    def draw(self) -> int:
        """Return the next random number."""
        return min(
            bisect_right(
                self.cumulative_weights, self.chance.uniform() * self.cumulative_weights[-1]
            ),
            len(self.cumulative_weights) - 1,
        )


class StandaloneGatewayHost:
    """The host of one gateway in simulated time, with generated requests and emulated engines.

    An engine answers each attempt after the time of its work and a random part of up to half of it.

    Args:
        engines: The number of engines.
        groups: The number of table groups.
        tenants: The number of tenants.
        rate: Requests per second.
        cores: The cores of each engine.
        hold: The duration of every request in ticks, whatever its class; 0 for that of its class.
        gateways: The number of gateways of the fleet.
        seed: The seed of all random numbers.
    """

    def __init__(
        self,
        engines: int,
        groups: int = TABLE_GROUP_COUNT,
        tenants: int = TENANT_COUNT,
        rate: float = REQUESTS_PER_SECOND,
        cores: float = 8.0,
        hold: int = 0,
        gateways: int = GATEWAY_COUNT,
        seed: int = 7,
    ) -> None:
        self.now, self.lag, self.serial, self.timers = 100 * SECOND, 0, 0, list[tuple]()
        self.taken = self.served = self.refused = self.lasted = self.open = 0
        self.rate, self.hold, self.chance = rate, hold, SeededRandom(seed)
        self.groups, self.tenants = (
            ZipfDistribution(self.chance, groups),
            ZipfDistribution(self.chance, tenants),
        )
        self.request_classes = [
            RequestClass(
                each.name,
                each.latency_target_ticks,
                1.0,
                max(each.deadline_ticks, 8 * hold),
                1.0,
                each.repeatability,
                key_ttl=20 * SECOND * (each.repeatability == Repeatability.KEYED),
                ordered=each.ordered,
                engine_kinds=each.kinds,
            )
            for each in CLASSES
        ]
        options = GatewayOptions(
            seed=seed,
            gateway_number=seed % gateways,
            gateway_count=gateways,
            host_period_ticks=10,
            can_cancel=False,
            can_hedge=True,
            max_attempts=6,
            retry_after_ticks=0,
            slow_start_speed=0.33,
            slow_start_ticks=15 * SECOND,
            overload_factor=3.0,
            overload_window_ticks=15_000,
            retry_floor=3.0,
            retry_share=0.1,
            retry_window_ticks=5 * SECOND,
            settle_ticks=3_000,
        )
        self.gateway = Gateway(self, options, self.request_classes)
        self.engines = [
            Engine(
                f"db{n}",
                b"db%d" % n,
                n % ZONE_COUNT,
                n % ENGINE_KIND_COUNT,
                n,
                cores=cores,
                name=f"db{n}",
            )
            for n in range(engines)
        ]
        for engine in self.engines:
            self.gateway.on_engine_update(engine, EngineState.READY, 0)
        self.gateway.on_engine_list_complete()
        # Restore the state of a gateway that has served for long, with samples for every estimate
        # and a queue for every tenant.
        self.gateway.restore_learned_state(
            LearnedState(
                price=0.0,
                best_slowness=1.1,
                retry_times=[],
                success_times=[],
                engines=[
                    LearnedEngine(
                        engine, [1.0 + self.chance.uniform() / 2 for _ in range(8)], 1.0, -1, []
                    )
                    for engine in self.engines
                ],
                request_classes=[
                    LearnedClass(
                        request_class, [(1.0, 0.0, float(self.hold or each.work_ticks))] * 48
                    )
                    for request_class, each in zip(self.request_classes, CLASSES)
                ],
                shares=[
                    LearnedShare(tenant, request_class, 1 / len(CLASSES) / tenants)
                    for tenant in range(tenants)
                    for request_class in self.request_classes
                ],
            )
        )

    def draw_requests(self, count: int) -> list[tuple[int, Request]]:
        """Draw requests in advance, each with its gap in ticks after the previous one."""
        requests, remainder = [], 0.0
        for _ in range(count):
            remainder += self.chance.exponential(SECOND / self.rate)
            gap, remainder = int(remainder), remainder % 1
            draw, n = self.chance.uniform(), 0
            while n < len(CLASSES) - 1 and draw >= CLASSES[n].fraction:
                draw, n = draw - CLASSES[n].fraction, n + 1
            work = int(max(self.hold or self.chance.lognormal(CLASSES[n].work_ticks), 1))
            key = 1 + self.chance.below(ORDER_KEY_COUNT) if CLASSES[n].ordered else 0
            duration = work if self.hold else int(work * (1 + self.chance.uniform() / 2)) + 2
            requests.append(
                (
                    gap,
                    Request(
                        (duration, work),
                        self.request_classes[n],
                        self.tenants.draw(),
                        float(self.groups.draw()),
                        0,
                        self.request_classes[n].time_to_deadline,
                        estimated_work=work,
                        order_key=key,
                    ),
                )
            )
        return requests

    def play(self, requests: list[tuple[int, Request]]) -> float:
        """Run drawn requests; return the processor seconds from the first until after the last."""
        started_at, on_request = process_time(), self.gateway.on_request
        for gap, request in requests:
            self.advance_to(self.now + gap)
            request.accepted_at = self.now
            self.taken += 1
            self.open += 1
            on_request(request)
        self.advance_to(self.now + 1)
        return process_time() - started_at

    def advance_to(self, until: int) -> None:
        """Advance the simulated time, and run the timers that are due."""
        timers = self.timers
        while timers and timers[0][0] <= until:
            self.now, _, method, arguments = heappop(timers)
            method(*arguments)
        self.now = until

    def on_engine_answer(self, attempt: Attempt, work: int) -> None:
        """Report the success of an attempt to the gateway."""
        self.served += not attempt.request.is_finished
        self.open -= not attempt.request.is_finished
        self.gateway.on_attempt_finished(
            attempt, AttemptOutcome.SUCCEEDED, self.now - attempt.sent_at, True, work, 0.0, -1.0
        )

    # The host protocol.

    def send_attempt(self, attempt: Attempt, allow: int) -> None:
        """Schedule the answer of the engine."""
        duration, work = attempt.request.host_reference
        self.call_later(duration, self.on_engine_answer, attempt, work)

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Do nothing: emulated engines ignore resources."""

    def reject(self, request: Request, retry_after: int) -> None:
        """Count a rejected request."""
        self.refused += 1
        self.open -= 1

    def fail(self, request: Request) -> None:
        """Count a failed request as rejected."""
        self.reject(request, 0)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Confirm the cancellation of an attempt one tick later."""
        self.call_later(
            1,
            self.gateway.on_attempt_finished,
            attempt,
            AttemptOutcome.CANCELLED,
            0,
            False,
            0,
            0.0,
            -1.0,
        )

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method after `delay` ticks of simulated time."""
        self.serial += 1
        heappush(self.timers, (self.now + max(delay, 1), self.serial, method, arguments))

    def log(self, line: str) -> None:
        """Discard a log line."""


# The host with connections, clients and an endpoint list, on a clock that tests advance.


def engine_list_event(
    number: int,
    engines: int,
    first: int = 0,
    full: bool = True,
    started: int = 0,
    address: Callable[[int], str] = lambda n: f"127.0.0.1:{10_000 + n}",
) -> dict[str, Any]:
    """Return a watch event of the endpoint list, in the form of the platform.

    The event names `engines` engines from number `first` on, in 5 zones and of 3 kinds.
    """
    return {
        "n": number,
        "members": {
            "version": number,
            "full": full,
            "servers": [
                {
                    "id": f"db{n}",
                    "addr": address(n),
                    "zone": f"zone-{n % ZONE_COUNT}",
                    "kind": f"k{n % ENGINE_KIND_COUNT}",
                    "cell": n,
                    "state": "SERVING",
                    "weight": 1,
                    "started_ms": started,
                }
                for n in range(first, first + engines)
            ],
        },
    }


def settings(cores: int = 8, instances: int = GATEWAY_COUNT) -> dict[str, Any]:
    """Return operators' settings with the request classes above."""
    repeats = "pure", "token", "side_effect"
    return {
        "profiles": [
            {
                "name": each.name,
                "objectiveUs": each.latency_target_ticks * 100,
                "aimStretch": 1.0,
                "deadlineUs": each.deadline_ticks * 100,
                "worth": 1.0,
                "effect": repeats[each.repeatability],
                "fifoByKey": each.ordered,
                "keyTtlUs": 20_000_000,
                "servedOn": [*each.kinds],
            }
            for each in CLASSES
        ],
        "customers": [{"name": f"t{n}"} for n in range(TENANT_COUNT)],
        "azs": [f"zone-{n}" for n in range(ZONE_COUNT)],
        "kinds": [f"k{n}" for n in range(ENGINE_KIND_COUNT)],
        "extra": {
            "coresByKind": [cores] * ENGINE_KIND_COUNT,
            "sizeMb": [4000] * ENGINE_KIND_COUNT,
            "mostGrant": 0.5,
            "takesGrants": True,
            "takesPriority": True,
            "bills": True,
        },
        "report": {"fields": ["inflight", "util"]},
        "limits": {
            "mostTries": 6,
            "streamsPerConn": 32,
            "dialTimeoutUs": 250_000,
            "secondCopies": True,
        },
        "rules": {
            "coldShare": 0.33,
            "coldUs": 15_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_500_000,
            "extraFloor": 3.0,
            "extraPerRequest": 0.1,
            "budgetSpanUs": 5_000_000,
            "settleAfterDoubtUs": 300_000,
        },
        "periodUs": 1000,
        "instances": instances,
        "myNumber": 7 % instances,
    }


def configuration(
    engines: int,
    listen: str,
    feed: str,
    initial_event: dict[str, Any] | None = None,
    cores: int = 8,
    sockets: int = 16_384,
) -> dict[str, Any]:
    """Return a configuration with an initial endpoint list.

    The list has `engines` engines, or the contents of the watch event `initial_event`.
    """
    return {
        "name": "n7",
        "listen": listen,
        "feed": feed,
        "seed": "7",
        "limits": {"memory_mb": 1024, "sockets": sockets},
        "known": {"n": 1, "events": [initial_event or engine_list_event(1, engines)]},
        "settings": settings(cores),
    }


class SocketPairFrontEnd:
    """Runs the program's host on a simulated clock, with socket pairs to clients and engines.

    Clients and engines send nothing unless a test makes them.
    """

    def __init__(self, engines: int, cores: int = 8) -> None:
        self.time, self.others, self.names = 10**9, list[socket.socket](), 0
        self.event_loop = EventLoop(clock=lambda: self.time, on_exception=self.on_exception)
        platform_configuration = configuration(engines, "127.0.0.1:1", "127.0.0.1:2", cores=cores)
        self.socket_host = PlatformFrontEnd(
            self.event_loop, PlatformConfig(platform_configuration, ""), lambda line: None
        )
        self.number = 1
        self.turn()

    def on_exception(self) -> None:
        """Raise the current exception again, so that the test or benchmark fails."""
        raise

    def turn(self, rounds: int = 4) -> None:
        """Run some turns of the event loop."""
        for _ in range(rounds):
            self.event_loop.turn(0)

    def apply_list_event(self, data: str) -> None:
        """Apply a watch event of the endpoint list, given as JSON."""
        self.number += 1
        if error := self.socket_host.on_discovery_event(str(self.number), data):
            raise ValueError(error)

    def next_restart_event(self, engine: int) -> str:
        """Return the next watch event, as JSON: one engine was restarted 100 ms ago."""
        return json.dumps(
            engine_list_event(self.number + 1, 1, engine, False, self.time // 10 - 1000)
        )

    def client(self) -> socket.socket:
        """Connect a client, and return its socket."""
        local_end, host_end = socket.socketpair()
        self.socket_host.add_client(host_end)
        local_end.setblocking(False)
        self.others.append(local_end)
        return local_end

    def add_engine_connection(self, engine: int) -> None:
        """Add a connection to an engine, as if the gateway had just connected."""
        local_end, host_end = socket.socketpair()
        engine_pool = self.socket_host.engine_pools[f"db{engine}"]
        connection = EngineConnection(engine_pool, host_end)
        engine_pool.links.append(connection)
        self.event_loop.spawn(connection.link.run)
        connection.check_idle()
        local_end.setblocking(False)
        self.others.append(local_end)

    def send_request(self, client: socket.socket, stream: int) -> None:
        """Send a request of the first request class, with a statement of 200 bytes."""
        self.names += 1
        client.send(
            request_frame(
                stream,
                {
                    "route": "lookup",
                    "trace": f"{self.names:016x}",
                    "patience": "5000",
                    "customer": "t0",
                    "weight": "2.0",
                    "est_mb": "8",
                },
                b"select * from mart_%d.facts where " % (self.names % TABLE_GROUP_COUNT)
                + b"x" * 160,
            )
        )

    def close(self) -> None:
        """Close all clients and engine connections."""
        for each in self.others:
            each.close()
        self.turn()
        self.turn()


def burn_cpu(seconds: float) -> float:
    """Use processor time, to bring a core to full speed before a short measurement."""
    started_at, value = process_time(), 0.0
    while process_time() - started_at < seconds:
        value = sin(value)
    return value
