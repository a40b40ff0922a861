"""Runs some gateways of a large fleet with an endpoint list that is longer than their subsets.

Owns the gateway processes, of which there are fewer than the settings state (`instances`), the
emulated engines on one event loop, and one endpoint list per gateway, so that the lists can be of
different versions. Computes the expected subset of each gateway with the policy module in this
process; the checks use the attempts that the engines received. Sends to loopback addresses only.
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
from corkgauge.testkit.emulators.clients import EmulatedClient, RequestProfile, SubmittedRequest
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import ReceivedAttempt
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

RARE_KIND, RARE_KIND_CORES = "x12", 12  # an engine kind of few engines, required by reports
SLOW_START = (
    0.05,
    1.0,
    SECOND + SECOND // 2,
)  # slow-start share, overload multiple, and overload window in ticks
NO_GATEWAY_NUMBER = -1  # for a gateway whose settings contain no gateway number


def move_to_reserved_port(listener: Listener) -> None:
    """Move the listener of an engine to a reserved port.

    The kernel may give any other port to an outgoing connection or to another test while the engine
    is down.
    """
    listener.close()
    listener.address = "127.0.0.1", free_port()
    listener.open()


class CellDiscovery(EmulatedDiscovery):
    """An endpoint list that also states the cell of each engine."""

    def publish(
        self, engines: list[Any], state: str = "SERVING", full: bool = False
    ) -> dict[str, Any]:
        """Publish a state of engines; a full list removes all engines that are not named."""
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
            listed_names = {each.name for each in engines}
            for _, name, previous_state, started_ms in [*self.changes]:
                if previous_state == "SERVING" and name not in listed_names:
                    self.changes.append((self.event_loop.now, name, "DELETED", started_ms))
        self.events.append(event)
        self.changes += [
            (self.event_loop.now, each.name, state, each.started_ms) for each in engines
        ]
        for reader in self.listener.connections:
            reader.send_events()
        return event


class WideFleet(Fleet):
    """Runs gateways, emulated engines and clients with a list that is longer than a subset.

    Args:
        gateway_numbers: The gateway numbers of the gateways that run.
        gateway_count: The number of gateways stated in the settings.
        listed_engine_count: The number of engines on the first endpoint list.
        unlisted_engine_count: The number of further engines.
        rare_kind_count: The number of engines of the rare kind, among the listed engines and again
            among the further ones.
        cell_size: The number of engines in a cell; each cell knows only the idempotency keys that
            its engines received. With 0 all engines are in one cell.
        disabled_safeguards: The safeguards that all gateways disable, separated by commas.
        rates: Requests per second of each client; clients are spread over the gateways in turn.
        request_types: The requests that clients send.
        seed: The seed of all random numbers.
        cold: The slow-start time of an engine, in seconds.
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
        request_types: list[RequestProfile] = REQUEST_TYPES,
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
        self.known_labels: dict[
            int, dict[str, int]
        ] = {}  # idempotency keys known to the engines, by cell
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
        """Assign kinds and cells to the engines, before the first endpoint list is published."""
        for n, engine in enumerate(self.engines.values()):
            engine.cell = n // self.cell_size if self.cell_size else 0
            engine.executed_keys = self.known_labels.setdefault(engine.cell, {})
            move_to_reserved_port(engine.listener)
            if (
                n < self.rare_kind_count
                or 0 <= n - len(self.initial_engines) < self.rare_kind_count
            ):
                engine.kind, engine.cores = RARE_KIND, RARE_KIND_CORES
        self.rule_expectations = replace(
            self.rule_expectations,
            engine_kinds={"report": {RARE_KIND}},
            slow_start=(SLOW_START[0], self.cold, *SLOW_START[1:]),
        )

    def _program(self, gateway: Gateway, number: int) -> GatewayProcess:
        discovery = self.feeds[gateway.name]
        first = discovery.publish([self.engines[each] for each in self.initial_engines], full=True)
        configuration = {
            "name": gateway.name,
            "listen": "%s:%d" % gateway.address,
            "feed": discovery.address,
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
        return GatewayProcess(gateway.folder, configuration, "", start)

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of the gateway at this position in the fleet."""
        platform_settings = settings("cell" if self.cell_size else "all")
        platform_settings["profiles"][1]["servedOn"] = [len(ENGINE_KINDS)]
        platform_settings["kinds"] = [*ENGINE_KINDS, RARE_KIND]
        platform_settings["extra"]["coresByKind"] = [
            *(CORES_BY_KIND[kind] for kind in ENGINE_KINDS),
            RARE_KIND_CORES,
        ]
        platform_settings["extra"]["sizeMb"] = [4000, 6000, 6000]
        platform_settings["rules"] |= {
            "coldUs": self.cold * 100,
            "coldShare": SLOW_START[0],
            "fallMultiple": SLOW_START[1],
            "fallUs": SLOW_START[2] * 100,
        }
        platform_settings["instances"], platform_settings["myNumber"] = (
            self.gateway_count,
            self.gateway_numbers[number],
        )
        if self.gateway_numbers[number] == NO_GATEWAY_NUMBER:
            del platform_settings["myNumber"]
        return platform_settings

    def working_set(self, name: str, growth: float = 1.0) -> set[str]:
        """Compute the subset that a gateway must hold by its latest endpoint list.

        The subset is the one without failures, or, with `growth`, larger by this factor.
        """
        position = [*self.gateways].index(name)
        settings = Settings(
            self.settings(position), UnstartedHost(), self.seed * 100 + position, name
        )
        module: PolicyGateway = settings.gateway
        for engine_name, (zone, kind, cell, started_ms) in self.listing(name).items():
            engine = Engine(
                engine_name,
                engine_name.encode(),
                ZONE_NAMES.index(zone),
                settings.engine_kinds.index(kind),
                cell,
                name=engine_name,
            )
            settings.place_engine(engine, engine.zone, engine.kind, cell)
            module.on_engine_update(engine, EngineState.READY, started_ms * 10)
        module.subset.failure_growth = growth
        module.on_engine_list_complete()
        return {engine.name for engine in module.engines}

    def listing(self, name: str) -> Mapping[str, tuple[str, str, int, int]]:
        """Return zone, kind, cell and start time of each engine on a gateway's endpoint list."""
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
        gateways: Iterable[str] = (),
    ) -> None:
        """Publish a state of engines on the endpoint lists of these gateways, or of all."""
        for gateway in gateways or self.gateways:
            self.feeds[gateway].publish([self.engines[name] for name in names], state, full)

    def mark_started(self, names: Iterable[str]) -> None:
        """Set the start time of engines to now, without publishing it."""
        for name in names:
            self.engines[name].started_ms = self.event_loop.now // 10

    def close(self) -> None:
        """End all processes, and close the sockets of engines and endpoint lists."""
        super().close()
        for each in (*self.engines.values(), *self.feeds.values()):
            each.listener.close_connections()
            if each.listener.sock is not None:
                each.listener.sock.close()

    # Results.

    def requests_to(self, name: str, since: int = 0) -> list[SubmittedRequest]:
        """Return the requests that clients sent to one gateway since a time."""
        position = [*self.gateways].index(name)
        return [
            request
            for n, client in enumerate(self.clients)
            if n % len(self.gateways) == position
            for request in client.requests
            if request.sent_at >= since
        ]

    def attempts_from(self, name: str, since: int = 0) -> list[ReceivedAttempt]:
        """Return the attempts that engines received from one gateway, in order of arrival."""
        traces = {request.trace for request in self.requests_to(name)}
        return sorted(
            (
                attempt
                for engine in self.engines.values()
                for attempt in engine.attempts
                if attempt.trace in traces and attempt.received_at >= since
            ),
            key=lambda attempt: attempt.received_at,
        )

    def engines_reached_from(self, name: str, since: int = 0) -> set[str]:
        """Return the engines that received an attempt from one gateway."""
        return {attempt.engine for attempt in self.attempts_from(name, since)}

    def find_rule_violations(self, slack: int = rules.TIMING_SLACK_TICKS) -> list[str]:
        """Check the seven rules, and return the violations.

        Slow start is checked over the attempts of all gateways together; draining and the retry
        budget are checked for each gateway, draining against its own endpoint list.
        """
        requests = sorted(
            (request for name in self.gateways for request in self.requests_to(name)),
            key=lambda request: request.sent_at,
        )
        attempts_by_gateway = {name: self.attempts_from(name) for name in self.gateways}
        attempts = sorted(
            (attempt for each in attempts_by_gateway.values() for attempt in each),
            key=lambda attempt: attempt.received_at,
        )
        cores = {name: each.cores for name, each in self.engines.items()}
        restarts = {change for feed in self.feeds.values() for change in feed.changes if change[3]}
        violations = rules.find_rule_violations(
            requests,
            attempts,
            sorted(
                {
                    (10 * start_ms, engine, state, start_ms)
                    for _, engine, state, start_ms in restarts
                    if state == "SERVING"
                }
            ),
            cores,
            replace(self.rule_expectations, retry_budget=(0.0, 0.0, 0)),
            slack,
        )
        for name, each in attempts_by_gateway.items():
            requests_of_gateway = self.requests_to(name)
            violations += rules.find_drain_violations(
                each, self.feeds[name].changes, self.rule_expectations.drain_grace_ticks + slack
            )
            violations += rules.find_retry_budget_violations(
                requests_of_gateway, each, self.rule_expectations
            )
        return violations
