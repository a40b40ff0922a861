"""A short day on loopback: the real program between stand-in engines, feed and clients, with a script.

Owns the cast, the deployment that it plays and what it saw. Must never send to any address but
loopback ones.
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

# The deployment that is played: offerings with their mean work (ms of one core) and what is
# promised.
WORK = {"lookup": 8.0, "report": 60.0, "load": 15.0, "once": 10.0}
WANTS = [
    RequestProfile("lookup", 0.70, 1_500, 8.0),
    RequestProfile("report", 0.10, 3_000, 60.0),
    RequestProfile("load", 0.12, 2_000, 15.0, has_idempotency_key=True, has_order_key=True),
    RequestProfile("once", 0.08, 1_500, 10.0),
]
KINDS, HALLS, CORES = ("c8", "c12"), ("hall-a", "hall-b"), {"c8": 8, "c12": 12}
BUDGET = 3.0, 0.1, 5 * SECOND
STAKES = rules.RuleParameters(
    repeatability={"lookup": "pure", "report": "pure", "load": "token", "once": "side_effect"},
    ordered_classes={"load"},
    engine_kinds={"report": {"c12"}},
    retry_budget=BUDGET,
)


def settings(group: str = "all") -> dict[str, Any]:
    """What operators state, in the form of the platform."""

    def profile(name: str, aim: int, life: int, worth: float, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "objectiveUs": aim * 1000,
            "aimStretch": 2.0,
            "deadlineUs": life * 1000,
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
        "azs": [*HALLS],
        "kinds": [*KINDS],
        "extra": {
            "coresByKind": [CORES[kind] for kind in KINDS],
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
            "extraFloor": BUDGET[0],
            "extraPerRequest": BUDGET[1],
            "budgetSpanUs": BUDGET[2] * 100,
            "settleAfterDoubtUs": 300_000,
        },
        "periodUs": 1000,
        "instances": 1,
        "myNumber": 0,
    }


FIGURES = """<?xml version="1.0"?>
<operator version="1">
  <figures>
    <listen unix="{folder}/figures.sock"/>
    <keep folder="{folder}/kept" each="0.1"/>
    <waits/>
  </figures>
</operator>
"""


class Day:
    """The cast on one hub; `run` plays. `operator` may name `{folder}`."""

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
        operator: str = FIGURES,
        start: tuple[str, ...] = ("-m", "corkgauge"),
        seen: Callable[[Snapshot], None] | None = None,
        group: str = "all",
        retries: bool = False,
        wants: list[RequestProfile] = WANTS,
    ) -> None:
        self.event_loop, self.scenes, self.seed, self.rate = EventLoop(), [*scenes], seed, rate
        self.folder = tempfile.mkdtemp(prefix="corkgauge-")
        known: dict[str, dict[str, int]] = {
            zone: {} for zone in HALLS
        }  # labels, by group of engines
        if group == "all":
            known = dict.fromkeys(HALLS, {})
        names = [f"e{n}" for n in range(1, engines + 1)]
        self.engines = {
            name: EmulatedEngine(
                self.event_loop,
                name,
                KINDS[n % 2],
                HALLS[n // 2 % 2],
                CORES[KINDS[n % 2]],
                WORK,
                seed * 100 + n,
                known[HALLS[n // 2 % 2]],
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
                wants,
                ("acme", "bolt")[n % 2],
                rate / clients,
                seed * 1000 + n,
                gives_up,
                hangs_up,
                retries,
            )
            for n in range(clients)
        ]
        self.cuts: list[Snapshot] = []  # the last few
        self.scraped, self.wrong, self.memory = 0, list[str](), list[int]()
        self.seen = seen
        self.scraper: Scraper | None = None
        if scrapes:
            self.scraper = Scraper(
                self.event_loop, f"{self.folder}/figures.sock", int(SECOND / scrapes), self.scrape
            )

    def run(self, seconds: float, drain: float = 4.0) -> None:
        """Play so long, then let all that is open end, and end the program."""
        begun = self.event_loop.now
        self.program.start()
        for scene in self.scenes:
            self.event_loop.call_later(scene.at_ticks, self.begin, scene)
        self.until(begun + int(seconds * SECOND))
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
        self.program.tell(signal.SIGTERM)
        self.until(self.event_loop.now + 8 * SECOND, self.program.running)

    def until(self, when: int, while_: Callable[[], Any] = lambda: True) -> None:
        while self.event_loop.now < when and while_():
            self.event_loop.turn(min((when - self.event_loop.now) / 10, 20))

    def close(self) -> None:
        """End the program, if it still runs, and forget its folder."""
        if self.program.running():
            self.program.end(1.0)
        shutil.rmtree(self.folder, ignore_errors=True)

    # What the script does.

    def begin(self, scene: FaultEvent) -> None:
        if scene.target == "program":
            return self.with_program(scene.fault)
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
                self.event_loop.call_later(max(scene.span_ticks, 1), self.over, engine)

    def over(self, engine: EmulatedEngine) -> None:
        back = engine.fault == "restart"
        engine.end_fault()
        if back:
            self.feed.publish([engine])

    def with_program(self, what: str) -> None:
        program = self.program
        if what == "reload":
            return program.tell(signal.SIGHUP)
        if what == "kill":
            program.kills.append(self.event_loop.now)
            program.tell(signal.SIGKILL)
        else:
            program.tell(signal.SIGTERM)
        self.event_loop.call_later(SECOND // 20, self.again)

    def again(self) -> None:
        """Started anew once it has ended, with the list as it stands."""
        if self.program.running():
            return self.event_loop.call_later(SECOND // 20, self.again)
        self.program.said["known"] = {"n": self.feed.version, "events": self.feed.events}
        self.program.start()

    # What was seen.

    def scrape(self, cut: Snapshot) -> None:
        self.scraped += 1
        wrong = find_imbalances(cut)
        if self.cuts:
            wrong += find_decreases(self.cuts[-1], cut)
        self.wrong += [f"scrape {self.scraped}: {each}" for each in wrong]
        self.cuts = [*self.cuts[-20:], cut]
        self.memory.append(self.program.memory())
        if self.seen is not None:
            self.seen(cut)

    def broken(self, slack: int = rules.TIMING_SLACK_TICKS) -> list[str]:
        """The rules, from the books of the stand-ins."""
        asks = sorted(
            (ask for client in self.clients for ask in client.requests), key=lambda ask: ask.sent_at
        )
        runs = sorted(
            (run for engine in self.engines.values() for run in engine.attempts),
            key=lambda run: run.received_at,
        )
        return rules.find_rule_violations(
            asks,
            runs,
            self.feed.changes,
            {name: each.cores for name, each in self.engines.items()},
            STAKES,
            slack,
            self.program.kills,
        )

    def tally(self) -> dict[str, int]:
        said: dict[str, int] = {}
        for client in self.clients:
            for name, count in client.count_outcomes().items():
                said[name] = said.get(name, 0) + count
        # What the program held when it was killed outright is owed by nobody; any other without an
        # answer is lost.
        killed = sum(
            not ask.answers and not ask.excuse and rules.was_open_at_kill(ask, self.program.kills)
            for client in self.clients
            for ask in client.requests
        )
        return {**said, "none": said["none"] - killed, "at_a_kill": killed}

    def kept(self) -> str:
        """The path of the file of figures."""
        return os.path.join(self.folder, "kept", "n1.figures")
