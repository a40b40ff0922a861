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
from corkgauge.testkit.emulators.clients import EmulatedClient, Want
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.faults.script import Scene
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.ports import free_port
from corkgauge.testkit.fleet.scraper import Scraper

# The deployment that is played: offerings with their mean work (ms of one core) and what is
# promised.
MEAN_WORK_MS = {"lookup": 8.0, "report": 60.0, "load": 15.0, "once": 10.0}
REQUEST_TYPES = [
    Want("lookup", 0.70, 1_500, 8.0),
    Want("report", 0.10, 3_000, 60.0),
    Want("load", 0.12, 2_000, 15.0, labelled=True, ordered=True),
    Want("once", 0.08, 1_500, 10.0),
]
ENGINE_KINDS, ZONE_NAMES, CORES_BY_KIND = ("c8", "c12"), ("hall-a", "hall-b"), {"c8": 8, "c12": 12}
RETRY_BUDGET = 3.0, 0.1, 5 * SECOND
RULE_EXPECTATIONS = rules.Stakes(
    repeats={"lookup": "pure", "report": "pure", "load": "token", "once": "side_effect"},
    ordered={"load"},
    kinds={"report": {"c12"}},
    extra=RETRY_BUDGET,
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
    """The cast on one hub; `run` plays. `operator` may name `{folder}`."""

    def __init__(
        self,
        seed: int,
        scenes: list[Scene] = (),
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
        request_types: list[Want] = REQUEST_TYPES,
    ) -> None:
        self.event_loop, self.scenes, self.seed, self.rate = EventLoop(), [*scenes], seed, rate
        self.folder = tempfile.mkdtemp(prefix="corkgauge-")
        known: dict[str, dict[str, int]] = {
            zone: {} for zone in ZONE_NAMES
        }  # labels, by group of engines
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
        first = self.feed.told([*self.engines.values()], full=True)
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
        self.snapshots: list[Snapshot] = []  # the last few
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

    def run(self, seconds: float, drain: float = 4.0) -> None:
        """Play so long, then let all that is open end, and end the program."""
        begun = self.event_loop.now
        self.program.start()
        for scene in self.scenes:
            self.event_loop.call_later(scene.at, self.apply_event, scene)
        self.until(begun + int(seconds * SECOND))
        for client in self.clients:
            client.rate = 1e-6
            client.stopped = True
        self.until(
            self.event_loop.now + int(drain * SECOND),
            lambda: any(client.open for client in self.clients),
        )
        self.until(self.event_loop.now + SECOND // 2)
        if self.scraper is not None:
            self.scraper.stopped = True
            self.until(self.event_loop.now + SECOND // 5)
        self.program.send_signal(signal.SIGTERM)
        self.until(self.event_loop.now + 8 * SECOND, self.program.is_running)

    def until(self, when: int, while_: Callable[[], Any] = lambda: True) -> None:
        while self.event_loop.now < when and while_():
            self.event_loop.turn(min((when - self.event_loop.now) / 10, 20))

    def close(self) -> None:
        """End the program, if it still runs, and forget its folder."""
        if self.program.is_running():
            self.program.end(1.0)
        shutil.rmtree(self.folder, ignore_errors=True)

    # What the script does.

    def apply_event(self, scene: Scene) -> None:
        if scene.who == "program":
            return self.apply_gateway_event(scene.trouble)
        if scene.who == "list":
            engine = self.engines[scene.whom]
            self.feed.told([engine], "DRAINING" if scene.trouble == "drain" else "DELETED")
            if scene.span:
                self.event_loop.call_later(scene.span, self.feed.told, [engine])
            return None
        for engine in self.engines.values():
            if scene.who in ("all", engine.name):
                engine.begin(scene.trouble, scene.figure)
                if scene.trouble == "restart":
                    self.feed.told([engine], "DELETED")
                self.event_loop.call_later(max(scene.span, 1), self.end_engine_fault, engine)

    def end_engine_fault(self, engine: EmulatedEngine) -> None:
        back = engine.trouble == "restart"
        engine.end()
        if back:
            self.feed.told([engine])

    def apply_gateway_event(self, what: str) -> None:
        program = self.program
        if what == "reload":
            return program.send_signal(signal.SIGHUP)
        if what == "kill":
            program.kills.append(self.event_loop.now)
            program.send_signal(signal.SIGKILL)
        else:
            program.send_signal(signal.SIGTERM)
        self.event_loop.call_later(SECOND // 20, self.restart_gateway)

    def restart_gateway(self) -> None:
        """Started anew once it has ended, with the list as it stands."""
        if self.program.is_running():
            return self.event_loop.call_later(SECOND // 20, self.restart_gateway)
        self.program.configuration["known"] = {"n": self.feed.version, "events": self.feed.events}
        self.program.start()

    # What was seen.

    def on_snapshot(self, cut: Snapshot) -> None:
        self.scrape_count += 1
        wrong = find_imbalances(cut)
        if self.snapshots:
            wrong += find_decreases(self.snapshots[-1], cut)
        self.snapshot_errors += [f"scrape {self.scrape_count}: {each}" for each in wrong]
        self.snapshots = [*self.snapshots[-20:], cut]
        self.memory.append(self.program.memory())
        if self.seen is not None:
            self.seen(cut)

    def find_rule_violations(self, slack: int = rules.SLACK) -> list[str]:
        """The rules, from the books of the stand-ins."""
        asks = sorted(
            (ask for client in self.clients for ask in client.book), key=lambda ask: ask.sent
        )
        runs = sorted(
            (run for engine in self.engines.values() for run in engine.book),
            key=lambda run: run.came,
        )
        return rules.broken(
            asks,
            runs,
            self.feed.changes,
            {name: each.cores for name, each in self.engines.items()},
            RULE_EXPECTATIONS,
            slack,
            self.program.kills,
        )

    def tally(self) -> dict[str, int]:
        said: dict[str, int] = {}
        for client in self.clients:
            for name, count in client.tally().items():
                said[name] = said.get(name, 0) + count
        # What the program held when it was killed outright is owed by nobody; any other without an
        # answer is lost.
        killed = sum(
            not ask.answers and not ask.excused and rules.at_a_kill(ask, self.program.kills)
            for client in self.clients
            for ask in client.book
        )
        return {**said, "none": said["none"] - killed, "at_a_kill": killed}

    def checkpoint_path(self) -> str:
        """The path of the file of figures."""
        return os.path.join(self.folder, "kept", "n1.figures")
