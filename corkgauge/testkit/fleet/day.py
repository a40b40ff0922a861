"""Runs one gateway process with emulated engines, endpoint list and clients, under a fault script.

Owns the gateway process, the emulators, the settings of the emulated deployment and the observed
results. Sends to loopback addresses only.
"""

import os
import shutil
import signal
import tempfile
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_decreases, find_imbalances
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.testkit.checkers import rules
from corkgauge.testkit.emulators.clients import EmulatedClient, RequestProfile
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.faults.script import FaultEvent
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.ports import free_port
from corkgauge.testkit.fleet.scraper import Scraper

# The emulated deployment: request classes with their mean work, in ms of one core, and what the
# rules require of them.
MEAN_WORK_MS = {"lookup": 8.0, "report": 60.0, "load": 15.0, "once": 10.0}
REQUEST_TYPES = [
    RequestProfile("lookup", 0.70, 1_500, 8.0),
    RequestProfile("report", 0.10, 3_000, 60.0),
    RequestProfile("load", 0.12, 2_000, 15.0, has_idempotency_key=True, has_order_key=True),
    RequestProfile("once", 0.08, 1_500, 10.0),
]
ENGINE_KINDS, ZONE_NAMES, CORES_BY_KIND = ("c8", "c12"), ("hall-a", "hall-b"), {"c8": 8, "c12": 12}
RETRY_BUDGET = 3.0, 0.1, 5 * SECOND  # floor, share of requests, window in ticks
RULE_EXPECTATIONS = rules.RuleParameters(
    repeatability={"lookup": "pure", "report": "pure", "load": "token", "once": "side_effect"},
    ordered_classes={"load"},
    engine_kinds={"report": {"c12"}},
    retry_budget=RETRY_BUDGET,
)


def settings(group: str = "all") -> dict[str, Any]:
    """Return the operators' settings, in the form of the platform's configuration.

    With the group "all" every engine is in one table group; "zone" and "cell" make one group each.
    """

    def profile(
        name: str, latency_target_ms: int, deadline_ms: int, worth: float, **more: Any
    ) -> dict[str, Any]:
        return {
            "name": name,
            "objectiveUs": latency_target_ms * 1000,
            "aimStretch": 2.0,
            "deadlineUs": deadline_ms * 1000,
            "worth": worth,
            **more,
        }

    return {
        "profiles": [
            profile("lookup", 200, 1_500, 1.0),
            profile("report", 500, 3_000, 8.0, servedOn=[1]),
            profile(
                "load",
                400,
                2_000,
                2.0,
                effect="token",
                keyTtlUs=20_000_000,
                fifoByKey=True,
                group=group,
            ),
            profile("once", 300, 1_500, 2.0, effect="side_effect"),
        ],
        "customers": [{"name": "acme"}, {"name": "bolt"}],
        "azs": [*ZONE_NAMES],
        "kinds": [*ENGINE_KINDS],
        "extra": {
            "coresByKind": [CORES_BY_KIND[kind] for kind in ENGINE_KINDS],
            "sizeMb": [4000, 6000],
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
            "extraFloor": RETRY_BUDGET[0],
            "extraPerRequest": RETRY_BUDGET[1],
            "budgetSpanUs": RETRY_BUDGET[2] * 100,
            "settleAfterDoubtUs": 300_000,
        },
        "periodUs": 1000,
        "instances": 1,
        "myNumber": 0,
    }


OPERATOR_FILE = """<?xml version="1.0"?>
<operator version="1">
  <figures>
    <listen unix="{folder}/figures.sock"/>
    <keep folder="{folder}/kept" each="0.1"/>
    <waits/>
  </figures>
</operator>
"""


class GatewayScenario:
    """Runs a gateway process, emulated engines and clients on one event loop, with scripted faults.

    Args:
        seed: The seed of all random numbers.
        scenes: The events of the fault script.
        engines: The number of emulated engines.
        clients: The number of emulated clients.
        rate: Requests per second of all clients together.
        scrapes: Snapshots requested per second; 0 for none.
        gives_up: The fraction of requests that a client cancels.
        hangs_up: The fraction of requests after which a client closes its connection.
        operator: The text of the operator file; `{folder}` in it is replaced by the folder.
        start: The arguments of the Python interpreter that start the program.
        seen: Called with each snapshot.
        group: How engines are grouped for idempotency keys: "all", "zone" or "cell".
        retries: Whether clients repeat a request with an idempotency key whose connection broke.
        request_types: The requests that clients send.
    """

    def __init__(
        self,
        seed: int,
        scenes: list[FaultEvent] = (),
        engines: int = 4,
        clients: int = 6,
        rate: float = 100.0,
        scrapes: float = 10.0,
        gives_up: float = 0.01,
        hangs_up: float = 0.003,
        operator: str = OPERATOR_FILE,
        start: tuple[str, ...] = ("-m", "corkgauge"),
        seen: Callable[[Snapshot], None] | None = None,
        group: str = "all",
        retries: bool = False,
        request_types: list[RequestProfile] = REQUEST_TYPES,
    ) -> None:
        self.event_loop, self.scenes, self.seed, self.rate = EventLoop(), [*scenes], seed, rate
        self.folder = tempfile.mkdtemp(prefix="corkgauge-")
        known: dict[str, dict[str, int]] = {
            zone: {} for zone in ZONE_NAMES
        }  # idempotency keys known to the engines, by table group
        if group == "all":
            known = dict.fromkeys(ZONE_NAMES, {})
        names = [f"e{n}" for n in range(1, engines + 1)]
        self.engines = {
            name: EmulatedEngine(
                self.event_loop,
                name,
                ENGINE_KINDS[n % 2],
                ZONE_NAMES[n // 2 % 2],
                CORES_BY_KIND[ENGINE_KINDS[n % 2]],
                MEAN_WORK_MS,
                seed * 100 + n,
                known[ZONE_NAMES[n // 2 % 2]],
            )
            for n, name in enumerate(names)
        }
        self.feed = EmulatedDiscovery(self.event_loop)
        first = self.feed.publish([*self.engines.values()], full=True)
        self.address = "127.0.0.1", free_port()
        self.program = GatewayProcess(
            self.folder,
            {
                "name": "n1",
                "listen": "%s:%d" % self.address,
                "feed": self.feed.address,
                "seed": f"{seed:x}",
                "limits": {"memory_mb": 96, "sockets": 512},
                "known": {"n": 1, "events": [first]},
                "settings": settings(group),
            },
            operator.replace("{folder}", self.folder),
            start,
        )
        self.clients = [
            EmulatedClient(
                self.event_loop,
                self.address,
                request_types,
                ("acme", "bolt")[n % 2],
                rate / clients,
                seed * 1000 + n,
                gives_up,
                hangs_up,
                retries,
            )
            for n in range(clients)
        ]
        self.snapshots: list[Snapshot] = []  # the latest 21
        self.scrape_count, self.snapshot_errors, self.memory = 0, list[str](), list[int]()
        self.seen = seen
        self.scraper: Scraper | None = None
        if scrapes:
            self.scraper = Scraper(
                self.event_loop,
                f"{self.folder}/figures.sock",
                int(SECOND / scrapes),
                self.on_snapshot,
            )

    def run(
        self, seconds: float, drain: float = 4.0, while_: Callable[[], Any] = lambda: True
    ) -> None:
        """Run for a time, wait up to `drain` seconds for open requests, and end the gateway.

        The run ends early once `while_` returns a false value.
        """
        started_at = self.event_loop.now
        self.program.start()
        for scene in self.scenes:
            self.event_loop.call_later(scene.at_ticks, self.apply_event, scene)
        self.until(started_at + int(seconds * SECOND), while_)
        for client in self.clients:
            client.rate = 1e-6
            client.stopped = True
        self.until(
            self.event_loop.now + int(drain * SECOND),
            lambda: any(client.open_requests for client in self.clients),
        )
        self.until(self.event_loop.now + SECOND // 2)
        if self.scraper is not None:
            self.scraper.stopped = True
            self.until(self.event_loop.now + SECOND // 5)
        self.program.send_signal(signal.SIGTERM)
        self.until(self.event_loop.now + 8 * SECOND, self.program.is_running)

    def until(self, when: int, while_: Callable[[], Any] = lambda: True) -> None:
        """Run the event loop until a time, or until `while_` returns a false value."""
        while self.event_loop.now < when and while_():
            self.event_loop.turn(min((when - self.event_loop.now) / 10, 20))

    def close(self) -> None:
        """End the gateway process, if it still runs, and delete its folder."""
        if self.program.is_running():
            self.program.end(1.0)
        shutil.rmtree(self.folder, ignore_errors=True)

    # Events of the script.

    def apply_event(self, scene: FaultEvent) -> None:
        """Apply an event to the gateway process, the endpoint list or the engines that it names."""
        if scene.target == "program":
            return self.apply_gateway_event(scene.fault)
        if scene.target == "list":
            engine = self.engines[scene.engine]
            self.feed.publish([engine], "DRAINING" if scene.fault == "drain" else "DELETED")
            if scene.span_ticks:
                self.event_loop.call_later(scene.span_ticks, self.feed.publish, [engine])
            return None
        for engine in self.engines.values():
            if scene.target in ("all", engine.name):
                engine.begin_fault(scene.fault, scene.level)
                if scene.fault == "restart":
                    self.feed.publish([engine], "DELETED")
                self.event_loop.call_later(max(scene.span_ticks, 1), self.end_engine_fault, engine)

    def end_engine_fault(self, engine: EmulatedEngine) -> None:
        """End the fault of an engine; an engine that was restarting is put on the list again."""
        was_restarting = engine.fault == "restart"
        engine.end_fault()
        if was_restarting:
            self.feed.publish([engine])

    def apply_gateway_event(self, event: str) -> None:
        """Make the gateway reload its configuration, or kill or end it and start it again."""
        program = self.program
        if event == "reload":
            return program.send_signal(signal.SIGHUP)
        if event == "kill":
            program.kills.append(self.event_loop.now)
            program.send_signal(signal.SIGKILL)
        else:
            program.send_signal(signal.SIGTERM)
        self.event_loop.call_later(SECOND // 20, self.restart_gateway)

    def restart_gateway(self) -> None:
        """Start the gateway again with the current endpoint list, once it has ended."""
        if self.program.is_running():
            return self.event_loop.call_later(SECOND // 20, self.restart_gateway)
        self.program.configuration["known"] = {"n": self.feed.version, "events": self.feed.events}
        self.program.start()

    # Results.

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Check the balances of a snapshot, and that no counter fell since the previous one."""
        self.scrape_count += 1
        errors = find_imbalances(snapshot)
        if self.snapshots:
            errors += find_decreases(self.snapshots[-1], snapshot)
        self.snapshot_errors += [f"scrape {self.scrape_count}: {each}" for each in errors]
        self.snapshots = [*self.snapshots[-20:], snapshot]
        self.memory.append(self.program.memory())
        if self.seen is not None:
            self.seen(snapshot)

    def find_rule_violations(self, slack: int = rules.TIMING_SLACK_TICKS) -> list[str]:
        """Check the rules against the records of the emulated clients and engines."""
        requests = sorted(
            (request for client in self.clients for request in client.requests),
            key=lambda request: request.sent_at,
        )
        attempts = sorted(
            (attempt for engine in self.engines.values() for attempt in engine.attempts),
            key=lambda attempt: attempt.received_at,
        )
        return rules.find_rule_violations(
            requests,
            attempts,
            self.feed.changes,
            {name: each.cores for name, each in self.engines.items()},
            RULE_EXPECTATIONS,
            slack,
            self.program.kills,
        )

    def tally(self) -> dict[str, int]:
        """Count the requests of all clients by how they ended."""
        counts: dict[str, int] = {}
        for client in self.clients:
            for name, count in client.count_outcomes().items():
                counts[name] = counts.get(name, 0) + count
        # A request that was open when the gateway was killed needs no answer; any other request
        # without an answer is lost.
        killed = sum(
            not request.answers
            and not request.excuse
            and rules.was_open_at_kill(request, self.program.kills)
            for client in self.clients
            for request in client.requests
        )
        return {**counts, "none": counts["none"] - killed, "at_a_kill": killed}

    def checkpoint_path(self) -> str:
        """Return the path of the gateway's checkpoint file."""
        return os.path.join(self.folder, "kept", "n1.figures")
