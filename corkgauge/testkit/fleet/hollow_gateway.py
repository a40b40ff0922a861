"""One workload manager on a made-up host and clock: the module alone, and the host without a network.

Owns virtual time, an open load of statements and what databases answer to it. Must never decide
anything, draw from anything but its seed, or open a connection to anything but the other end of a
socket pair.
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
)  # of the fleet; statements a second at one; of the feedback
ZONE_COUNT, ENGINE_KIND_COUNT = 5, 3
TABLE_GROUP_COUNT, TENANT_COUNT, ORDER_KEY_COUNT = 200, 20, 2_000


@dataclass(frozen=True)
class ClassProfile:
    """A query class: its part of all statements, work of one in tenths of a ms, patience and latency target."""

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
    """Numbers 0 to n - 1, the k-th as often as 1 / k."""

    def __init__(self, chance: SeededRandom, n: int) -> None:
        self.chance, self.tops, top = chance, list[float](), 0.0
        for k in range(n):
            self.tops.append(top := top + 1 / (k + 1))

    def draw(self) -> int:
        return min(bisect_right(self.tops, self.chance.part() * self.tops[-1]), len(self.tops) - 1)


class StandaloneGatewayHost:
    """The host protocol of a gateway that is alone. A database answers each attempt after its work and up to half as
    much again; nothing else happens. `hold`: all statements take so long (tenths of a ms), whatever
    their class.
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
        self.now, self.lag, self.serial, self.wakes = 100 * SECOND, 0, 0, list[tuple]()
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
        # As a gateway that has served for long: each of its figures has its samples, each tenant's
        # queue is there.
        self.gateway.restore_learned_state(
            LearnedState(
                price=0.0,
                best_slowness=1.1,
                retry_times=[],
                success_times=[],
                engines=[
                    LearnedEngine(
                        engine, [1.0 + self.chance.part() / 2 for _ in range(8)], 1.0, -1, []
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
        """So many statements beforehand, each with its gap after the one before, tenths of a ms."""
        said, left = [], 0.0
        for _ in range(count):
            left += self.chance.wait(SECOND / self.rate)
            gap, left = int(left), left % 1
            draw, n = self.chance.part(), 0
            while n < len(CLASSES) - 1 and draw >= CLASSES[n].fraction:
                draw, n = draw - CLASSES[n].fraction, n + 1
            work = int(max(self.hold or self.chance.spread(CLASSES[n].work_ticks), 1))
            key = 1 + self.chance.below(ORDER_KEY_COUNT) if CLASSES[n].ordered else 0
            took = work if self.hold else int(work * (1 + self.chance.part() / 2)) + 2
            said.append(
                (
                    gap,
                    Request(
                        (took, work),
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
        return said

    def play(self, statements: list[tuple[int, Request]]) -> float:
        """Seconds of processor time from the first of them until one gap after the last."""
        begun, taken = process_time(), self.gateway.on_request
        for gap, request in statements:
            self.advance_to(self.now + gap)
            request.accepted_at = self.now
            self.taken += 1
            self.open += 1
            taken(request)
        self.advance_to(self.now + 1)
        return process_time() - begun

    def advance_to(self, until: int) -> None:
        wakes = self.wakes
        while wakes and wakes[0][0] <= until:
            self.now, _, method, what = heappop(wakes)
            method(*what)
        self.now = until

    def on_engine_answer(self, attempt: Attempt, work: int) -> None:
        """Its database is done with an attempt."""
        self.served += not attempt.request.is_finished
        self.open -= not attempt.request.is_finished
        self.gateway.on_attempt_finished(
            attempt, AttemptOutcome.SUCCEEDED, self.now - attempt.sent_at, True, work, 0.0, -1.0
        )

    # The host protocol.

    def send_attempt(self, attempt: Attempt, allow: int) -> None:
        took, work = attempt.request.host_reference
        self.call_later(took, self.on_engine_answer, attempt, work)

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        pass

    def reject(self, request: Request, retry_after: int) -> None:
        self.refused += 1
        self.open -= 1

    def fail(self, request: Request) -> None:
        self.reject(request, 0)

    def cancel_attempt(self, attempt: Attempt) -> None:
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

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.serial += 1
        heappush(self.wakes, (self.now + max(delay, 1), self.serial, method, what))

    def log(self, line: str) -> None:
        pass


# The host with its links, clients and list, on a clock that stands still unless it is moved.


def engine_list_event(
    number: int,
    engines: int,
    first: int = 0,
    full: bool = True,
    started: int = 0,
    address: Callable[[int], str] = lambda n: f"127.0.0.1:{10_000 + n}",
) -> dict[str, Any]:
    """An event of the feed: engines `first` and on of a list, 5 zones, 3 kinds, as the platform writes it."""
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
    """What operators state, with the classes above."""
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
    known: dict[str, Any] | None = None,
    cores: int = 8,
    sockets: int = 16_384,
) -> dict[str, Any]:
    """A whole configuration with `engines` in the list that it starts from, or `known`, an event."""
    return {
        "name": "n7",
        "listen": listen,
        "feed": feed,
        "seed": "7",
        "limits": {"memory_mb": 1024, "sockets": sockets},
        "known": {"n": 1, "events": [known or engine_list_event(1, engines)]},
        "settings": settings(cores),
    }


class SocketPairFrontEnd:
    """The program's host on a clock of its own; clients and databases are the other ends of socket pairs, which say
    nothing unless they are made to.
    """

    def __init__(self, engines: int, cores: int = 8) -> None:
        self.time, self.others, self.names = 10**9, list[socket.socket](), 0
        self.event_loop = EventLoop(clock=lambda: self.time, on_exception=self.on_exception)
        said = configuration(engines, "127.0.0.1:1", "127.0.0.1:2", cores=cores)
        self.socket_host = PlatformFrontEnd(
            self.event_loop, PlatformConfig(said, ""), lambda line: None
        )
        self.number = 1
        self.turn()

    def on_exception(self) -> None:
        raise  # what a turn met, on to whoever measures

    def turn(self, rounds: int = 4) -> None:
        for _ in range(rounds):
            self.event_loop.turn(0)

    def apply_list_event(self, data: str) -> None:
        """An event of the feed, as it is read."""
        self.number += 1
        if wrong := self.socket_host.on_discovery_event(str(self.number), data):
            raise ValueError(wrong)

    def next_restart_event(self, engine: int) -> str:
        """The next event: one engine has started anew, a moment ago; as JSON."""
        return json.dumps(
            engine_list_event(self.number + 1, 1, engine, False, self.time // 10 - 1000)
        )

    def client(self) -> socket.socket:
        mine, its = socket.socketpair()
        self.socket_host.add_client(its)
        mine.setblocking(False)
        self.others.append(mine)
        return mine

    def add_engine_connection(self, engine: int) -> None:
        """One more link to an engine, as if it had just been dialled."""
        mine, its = socket.socketpair()
        engine_pool = self.socket_host.engine_pools[f"db{engine}"]
        link = EngineConnection(engine_pool, its)
        engine_pool.links.append(link)
        self.event_loop.spawn(link.link.run)
        link.check_idle()
        mine.setblocking(False)
        self.others.append(mine)

    def send_request(self, client: socket.socket, stream: int) -> None:
        """A statement of the first class, 200 bytes long."""
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
        for each in self.others:
            each.close()
        self.turn()
        self.turn()


def burn_cpu(seconds: float) -> float:
    """Processor time spent at nothing, to warm a core up before a short measurement; seconds."""
    begun, at = process_time(), 0.0
    while process_time() - begun < seconds:
        at = sin(at)
    return at
