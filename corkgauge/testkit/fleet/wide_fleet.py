"""Several processes of the program before a list that is longer than a working set; engines are all stand-ins.

Owns the cast: some gateways of the many that are told (`instances`), engines on one hub, a feed for
each gateway, so that their lists may be of different age. Foretells each gateway's working set by
the very module, in this process; what is judged is what the engines saw. Must never send to any
address but loopback ones.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import SECOND
from corkgauge.net.host import UnstartedHost
from corkgauge.policy.gateway import Gateway as PolicyGateway
from corkgauge.policy.records import Engine, EngineState
from corkgauge.testkit.checkers import rules
from corkgauge.testkit.emulators.clients import Ask, EmulatedClient, Want
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import Run
from corkgauge.testkit.emulators.listener import Listener
from corkgauge.testkit.fleet.day import (
    CORES_BY_KIND,
    ENGINE_KINDS,
    REQUEST_TYPES,
    ZONE_NAMES,
    settings,
)
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.ports import free_port
from corkgauge.testkit.fleet.processes import Fleet, Gateway

RARE_KIND, RARE_KIND_CORES = "x12", 12  # a kind that few engines are of; reports run on it alone
SLOW_START = (
    0.05,
    1.0,
    SECOND + SECOND // 2,
)  # share, multiple and time to fall of an engine that has just started
NO_GATEWAY_NUMBER = -1  # a gateway whose settings name no number


def move_to_reserved_port(listener: Listener) -> None:
    """Danger: a port that the system hands out may go to an outgoing connection, or to another rig, while its engine is
    gone; so engines have ports that other rigs heed.
    """
    listener.close()
    listener.address = "127.0.0.1", free_port()
    listener.open()


class CellDiscovery(EmulatedDiscovery):
    """Tells each engine's cell too."""

    def told(
        self, engines: list[Any], state: str = "SERVING", full: bool = False
    ) -> dict[str, Any]:
        self.version += 1
        servers = [
            {
                "id": each.name,
                "addr": each.address,
                "zone": each.zone,
                "kind": each.kind,
                "cell": each.cell,
                "state": state,
                "weight": 1,
                "started_ms": each.started_ms,
            }
            for each in engines
        ]
        event = {
            "n": self.version,
            "members": {"version": self.version, "full": full, "servers": servers},
        }
        if full:
            named = {each.name for each in engines}
            for _, name, was, started in [*self.changes]:
                if was == "SERVING" and name not in named:
                    self.changes.append((self.event_loop.now, name, "DELETED", started))
        self.events.append(event)
        self.changes += [
            (self.event_loop.now, each.name, state, each.started_ms) for each in engines
        ]
        for reader in self.listener.guests:
            reader.tell()
        return event


class WideFleet(Fleet):
    """`gateway_numbers` are those of the gateways that run, of `gateway_count`; `listed_engine_count` the engines of the first list and `unlisted_engine_count` those
    beyond it; the first `rare_kind_count` of both are of a kind of their own; `cell_size` engines make a cell_size, which
    knows its repeats by itself. `disabled_safeguards` names what is left out of all. `rates` are submissions a
    second, a client each, to the gateways in turn.
    """

    def __init__(
        self,
        gateway_numbers: Iterable[int],
        gateway_count: int = 60,
        listed_engine_count: int = 300,
        unlisted_engine_count: int = 0,
        rare_kind_count: int = 4,
        cell_size: int = 0,
        disabled_safeguards: str = "",
        rates: Iterable[float] = (40.0,) * 3,
        request_types: list[Want] = REQUEST_TYPES,
        seed: int = 5,
        cold: float = 15.0,
    ) -> None:
        (
            self.gateway_numbers,
            self.gateway_count,
            self.rare_kind_count,
            self.cell_size,
            self.disabled_safeguards,
        ) = (
            [*gateway_numbers],
            gateway_count,
            rare_kind_count,
            cell_size,
            disabled_safeguards,
        )
        self.initial_engines = [f"e{n}" for n in range(1, listed_engine_count + 1)]
        self.known_labels: dict[int, dict[str, int]] = {}  # labels that have run, by cell_size
        super().__init__(
            seed=seed,
            gateways=len(self.gateway_numbers),
            engines=listed_engine_count + unlisted_engine_count,
            cold=cold,
        )
        names = [*self.gateways]
        self.clients = [
            EmulatedClient(
                self.event_loop,
                self.gateways[names[n % len(names)]].address,
                request_types,
                ("acme", "bolt")[n % 2],
                rate,
                seed * 1000 + n,
            )
            for n, rate in enumerate(rates)
        ]

    def _feed(self, name: str) -> CellDiscovery:
        if not self.known_labels:
            self._assign_kinds_and_cells()
        return CellDiscovery(self.event_loop)

    def _assign_kinds_and_cells(self) -> None:
        """Kinds and cells, before the first list."""
        for n, engine in enumerate(self.engines.values()):
            engine.cell = n // self.cell_size if self.cell_size else 0
            engine.known = self.known_labels.setdefault(engine.cell, {})
            move_to_reserved_port(engine.listener)
            if (
                n < self.rare_kind_count
                or 0 <= n - len(self.initial_engines) < self.rare_kind_count
            ):
                engine.kind, engine.cores = RARE_KIND, RARE_KIND_CORES
        self.rule_expectations = replace(
            self.rule_expectations,
            kinds={"report": {RARE_KIND}},
            cold=(SLOW_START[0], self.cold, *SLOW_START[1:]),
        )

    def _program(self, gateway: Gateway, number: int) -> GatewayProcess:
        feed = self.feeds[gateway.name]
        first = feed.told([self.engines[each] for each in self.initial_engines], full=True)
        said = {
            "name": gateway.name,
            "listen": "%s:%d" % gateway.address,
            "feed": feed.address,
            "seed": f"{self.seed * 100 + number:x}",
            "limits": {"memory_mb": 96, "sockets": 512},
            "known": {"n": 1, "events": [first]},
            "settings": self.settings(number),
        }
        start = (
            ("-m", "corkgauge.testkit.faults.disabled_safeguards", self.disabled_safeguards, "1.0")
            if self.disabled_safeguards
            else ("-m", "corkgauge")
        )
        return GatewayProcess(gateway.folder, said, "", start)

    def settings(self, number: int) -> dict[str, Any]:
        """What the gateway at this place of the cast is told."""
        said = settings("cell" if self.cell_size else "all")
        said["profiles"][1]["servedOn"] = [len(ENGINE_KINDS)]
        said["kinds"] = [*ENGINE_KINDS, RARE_KIND]
        said["extra"]["coresByKind"] = [
            *(CORES_BY_KIND[kind] for kind in ENGINE_KINDS),
            RARE_KIND_CORES,
        ]
        said["extra"]["sizeMb"] = [4000, 6000, 6000]
        said["rules"] |= {
            "coldUs": self.cold * 100,
            "coldShare": SLOW_START[0],
            "fallMultiple": SLOW_START[1],
            "fallUs": SLOW_START[2] * 100,
        }
        said["instances"], said["myNumber"] = self.gateway_count, self.gateway_numbers[number]
        if self.gateway_numbers[number] == NO_GATEWAY_NUMBER:
            del said["myNumber"]
        return said

    def working_set(self, name: str, wider: float = 1.0) -> set[str]:
        """Foretold: what this gateway holds by the last list that its feed has told, while nothing fails; or with its
        set so much wider.
        """
        number = [*self.gateways].index(name)
        settings = Settings(self.settings(number), UnstartedHost(), self.seed * 100 + number, name)
        module: PolicyGateway = settings.gateway
        for tag, (zone, kind, cell, started) in self.listing(name).items():
            engine = Engine(
                tag,
                tag.encode(),
                ZONE_NAMES.index(zone),
                settings.engine_kinds.index(kind),
                cell,
                name=tag,
            )
            settings.place_engine(engine, engine.zone, engine.kind, cell)
            module.on_engine_update(engine, EngineState.READY, started * 10)
        module.subset.failure_growth = wider
        module.on_engine_list_complete()
        return {engine.name for engine in module.engines}

    def listing(self, name: str) -> Mapping[str, tuple[str, str, int, int]]:
        """The engines that serve, by the last that this gateway's feed told."""
        found: dict[str, tuple[str, str, int, int]] = {}
        for event in self.feeds[name].events:
            if event["members"]["full"]:
                found.clear()
            for each in event["members"]["servers"]:
                found.pop(each["id"], None)
                if each["state"] == "SERVING":
                    found[each["id"]] = each["zone"], each["kind"], each["cell"], each["started_ms"]
        return found

    def publish_list(
        self,
        names: Iterable[str],
        state: str = "SERVING",
        full: bool = False,
        to: Iterable[str] = (),
    ) -> None:
        """The feeds of these gateways, or of all, tell of these engines."""
        for gateway in to or self.gateways:
            self.feeds[gateway].told([self.engines[name] for name in names], state, full)

    def mark_started(self, names: Iterable[str]) -> None:
        """These have just started; nobody has been told yet."""
        for name in names:
            self.engines[name].started_ms = self.event_loop.now // 10

    def close(self) -> None:
        super().close()
        for each in (*self.engines.values(), *self.feeds.values()):
            each.listener.drop()
            if each.listener.sock is not None:
                each.listener.sock.close()

    # What was seen.

    def requests_to(self, name: str, since: int = 0) -> list[Ask]:
        """What clients asked of one gateway."""
        where = [*self.gateways].index(name)
        return [
            ask
            for n, client in enumerate(self.clients)
            if n % len(self.gateways) == where
            for ask in client.book
            if ask.sent >= since
        ]

    def attempts_from(self, name: str, since: int = 0) -> list[Run]:
        """What came to engines from one gateway, in the order in which it came."""
        mine = {ask.trace for ask in self.requests_to(name)}
        return sorted(
            (
                run
                for engine in self.engines.values()
                for run in engine.book
                if run.trace in mine and run.came >= since
            ),
            key=lambda run: run.came,
        )

    def engines_reached_from(self, name: str, since: int = 0) -> set[str]:
        """Engines that something of one gateway's came to."""
        return {run.engine for run in self.attempts_from(name, since)}

    def served_fraction(self, since: int = 0, until: int = 2**62, request_class: str = "") -> float:
        """Part of what was asked that was served."""
        asks = [
            ask
            for client in self.clients
            for ask in client.book
            if since <= ask.sent < until and request_class in ("", ask.want.request_class)
        ]
        return sum(bool(ask.answers) and ask.answers[0][1] == rules.SERVED for ask in asks) / max(
            len(asks), 1
        )

    def find_rule_violations(self, slack: int = rules.SLACK) -> list[str]:
        """The seven rules. What engines are sent counts over all gateways; a drain binds whom it was told."""
        asks = sorted(
            (ask for name in self.gateways for ask in self.requests_to(name)),
            key=lambda ask: ask.sent,
        )
        runs = {name: self.attempts_from(name) for name in self.gateways}
        whole = sorted((run for each in runs.values() for run in each), key=lambda run: run.came)
        cores = {name: each.cores for name, each in self.engines.items()}
        colds = {change for feed in self.feeds.values() for change in feed.changes if change[3]}
        found = rules.broken(
            asks,
            whole,
            sorted(
                {
                    (10 * started, engine, state, started)
                    for _, engine, state, started in colds
                    if state == "SERVING"
                }
            ),
            cores,
            replace(self.rule_expectations, extra=(0.0, 0.0, 0)),
            slack,
        )
        for name, each in runs.items():
            mine = self.requests_to(name)
            found += rules.drained(
                each, self.feeds[name].changes, self.rule_expectations.grace + slack
            )
            found += rules.rationed(mine, each, self.rule_expectations)
        return found
