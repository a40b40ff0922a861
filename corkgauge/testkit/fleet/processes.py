"""Runs a fleet of gateway processes on loopback and injects faults from a script.

Owns the gateway processes, the datagram relays between each two members, the emulated engines,
endpoint lists and clients, and the lease checker. Sends to loopback addresses only, and ends only
processes that it started.

A line of a fault script is `at SECOND [for SECONDS]: KIND TARGET ...`. Targets are names of
gateways (for the kind `engine`: of engines), or `all`. The kinds are:

    at 2 for 3: stop n1       suspends the process (SIGSTOP) for 3 seconds, then sends SIGCONT
    at 2: kill n1 n2          ends the processes with SIGKILL and starts them again after 50 ms, or
                              after the time given by `for` if that is longer
    at 2: end n1              the same with SIGTERM
    at 2 for 3: cut n1        drops all datagrams between n1 and the other members, in both
                              directions; `deaf` drops only those to n1, `mute` only those from n1
    at 2 for 3: part n1 n2    drops all datagrams between these gateways and all others
    at 2 for 3: lose 0.3      drops this fraction of all datagrams between members; `late 500`
                              delays each by up to 500 ms, `double 0.2` sends this fraction twice
    at 2: replay n1           sends the latest datagrams to n1 once more, unchanged
    at 2 for 2: busy n1       runs a busy loop on the processor of n1
    at 2: yield               asks the lease holder to give the lease up
    at 2 for 3: engine e1     lets no data pass between the gateways and e1, which stays on the
                              endpoint lists
"""

import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, replace
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.testkit.checkers import rules
from corkgauge.testkit.checkers.leases import (
    LeaseChecker,
    find_holder_changes,
    find_lease_violations,
)
from corkgauge.testkit.emulators.clients import EmulatedClient, SubmittedRequest
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.faults.relay import ConnectionRelay, DatagramRelay
from corkgauge.testkit.fleet.day import (
    CORES_BY_KIND,
    ENGINE_KINDS,
    MEAN_WORK_MS,
    REQUEST_TYPES,
    RULE_EXPECTATIONS,
    ZONE_NAMES,
    settings,
)
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.ports import ReservedPort
from corkgauge.testkit.seeded_random import SeededRandom

LEASE_CHECKER_NAME = "judge"
MAX_START_SECONDS = 30.0  # for all gateways of a fleet to start, on a busy machine
MAX_ANSWER_SECONDS = 3.5  # from a request to its final answer: the longest deadline and some slack
FAULT_KINDS = (
    "stop",
    "kill",
    "end",
    "cut",
    "deaf",
    "mute",
    "part",
    "lose",
    "late",
    "double",
    "replay",
    "busy",
    "yield",
    "engine",
)
AMOUNT_KINDS = "lose", "late", "double"
# A gateway that was suspended or killed may answer late for this long after it runs again.
RECOVERY_TICKS = 2 * SECOND
RESTART_DELAY_TICKS = 500  # minimum time between the end of a process and its restart
# Folder whose files are kept in memory, used only while this much of it is free.
SHARED_MEMORY_FOLDER, MIN_FREE_BYTES = "/dev/shm", 256 << 20


class FaultScriptError(ValueError):
    """A fault script is invalid; the message names the line and what was expected there."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a script; `at` counts from the start of the fleet, times are ticks."""

    at: int
    duration: int
    kind: str
    targets: tuple[str, ...] = ()
    amount: float = 0.0

    def line(self) -> str:
        """Return the fault as a line of a fault script."""
        what = f"{self.amount:g}" if self.kind in AMOUNT_KINDS else " ".join(self.targets)
        return (
            f"at {self.at / SECOND:g} for {self.duration / SECOND:g}: {self.kind} {what}".rstrip()
        )


def parse_fault_script(text: str, names: list[str], engines: list[str]) -> list[Fault]:
    """Parse a fault script and return its faults in order of time.

    >>> parse_fault_script("at 2 for 3: part n1 n2  # halves", ["n1", "n2", "n3"], [])
    [Fault(at=20000, duration=30000, kind='part', targets=('n1', 'n2'), amount=0.0)]
    >>> parse_fault_script("at 2: stop n9", ["n1"], [])
    Traceback (most recent call last):
    corkgauge.testkit.fleet.processes.FaultScriptError: line 1: no gateway 'n9'
    """
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        try:
            if line:
                found.append(_parse_fault(line, names, engines))
        except ValueError as problem:
            raise FaultScriptError(f"line {number}: {problem}") from None
    return sorted(found, key=lambda fault: fault.at)


def _parse_fault(line: str, names: list[str], engines: list[str]) -> Fault:
    head, colon, description = line.partition(":")
    times, words = head.split(), description.split()
    if (
        not colon
        or len(times) not in (2, 4)
        or times[0] != "at"
        or times[2:3] not in ([], ["for"])
        or not words
    ):
        raise ValueError("expected 'at SECOND [for SECONDS]: KIND TARGET ...'")
    at, duration = (
        int(float(each) * SECOND) for each in (times[1], times[3] if len(times) == 4 else "0")
    )
    kind, *targets = words
    if at < 0 or duration < 0:
        raise ValueError("expected times of at least 0 seconds, found a negative time")
    if kind not in FAULT_KINDS:
        raise ValueError(f"expected one of {', '.join(FAULT_KINDS)}, found {kind!r}")
    if kind in AMOUNT_KINDS:
        if len(targets) != 1 or float(targets[0]) < 0 or (kind != "late" and float(targets[0]) > 1):
            raise ValueError(f"{kind}: expected a number from 0 to 1 (for late: of milliseconds)")
        return Fault(at, duration, kind, (), float(targets[0]))
    if targets == ["all"]:
        targets = [*(engines if kind == "engine" else names)]
    for each in targets:
        if each not in (engines if kind == "engine" else names):
            raise ValueError(f"no {'engine' if kind == 'engine' else 'gateway'} {each!r}")
    if not targets and kind != "yield":
        raise ValueError(f"{kind}: expected one or more targets, or 'all'; found none")
    return Fault(at, duration, kind, tuple(targets))


def draw_random_faults(
    seed: int, names: list[str], seconds: float, gap: float, longest: float
) -> list[Fault]:
    """Draw random faults of all kinds but `engine` and `double`.

    Args:
        seed: The seed of the random numbers.
        names: The gateways.
        seconds: Faults begin between 2 seconds after the start and this time.
        gap: The mean time between two faults, in seconds.
        longest: The longest duration of a fault, in seconds.
    """
    random, at, faults = SeededRandom(seed), 2.0, []
    kinds = [
        "stop",
        "stop",
        "kill",
        "end",
        "cut",
        "deaf",
        "mute",
        "part",
        "lose",
        "late",
        "replay",
        "yield",
        "busy",
    ]
    while at < seconds:
        kind, duration = kinds[random.below(len(kinds))], 0.1 + random.uniform() * (longest - 0.1)
        target_count = (
            1 + random.below(max(len(names) // 2, 1)) if kind in ("kill", "part", "stop") else 1
        )
        remaining = [*names]
        targets = [remaining.pop(random.below(len(remaining))) for _ in range(target_count)]
        if kind == "kill" and random.happens(0.1):
            targets = [*names]
        amount = {"lose": 0.3, "late": 400.0 * longest}.get(kind, 0.0)
        faults.append(
            Fault(
                int(at * SECOND),
                int(duration * SECOND),
                kind,
                () if kind in (*AMOUNT_KINDS, "yield") else tuple(sorted(targets)),
                amount,
            )
        )
        at += gap * (0.5 + random.uniform())
    return faults


OPERATOR_FILE = """<?xml version="1.0"?>
<operator version="1">
  <figures><listen unix="{folder}/figures.sock"/></figures>
  <fellows period="{period}" listen="{listen}">
    <key file="{key}"/>
{members}
  </fellows>
  <duties lease="{lease}" margin="{margin}" drift="{drift}"{folder_of_votes}>
    <voters version="{version}">{voters}</voters>
    <duty name="books" kind="books" each="{each}"/>
    <duty name="nightly"/>
  </duties>
{works}{shared}{recall}</operator>
"""


def find_memory_folder(
    folder: str = SHARED_MEMORY_FOLDER, min_free_bytes: int = MIN_FREE_BYTES
) -> str | None:
    """Return the folder for files of a fleet that is kept in memory, or None for the default one.

    A gateway sends nothing before the records that it rests on are durable, and on a busy disk a
    write takes seconds (15 s were measured), so that the result of a test would depend on the disk.
    Tests kill processes, never the machine, so files in memory survive as they would on disk. The
    fault `slowdisk` of disabled_safeguards.py tests the behaviour of the program with a slow disk.
    """
    try:
        file_system = os.statvfs(folder)
    except OSError:
        return None
    return (
        folder
        if file_system.f_bavail * file_system.f_frsize >= min_free_bytes
        and os.access(folder, os.W_OK | os.X_OK)
        else None
    )


class Gateway:
    """A gateway process, its addresses and the times at which faults disturbed it."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.name, self.zone = fleet, f"n{number}", ZONE_NAMES[number % 2]
        self.folder = os.path.join(fleet.folder, self.name)
        os.mkdir(self.folder)
        self.reserved = [ReservedPort(sort) for sort in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        self.address, self.listen = (each.address for each in self.reserved)
        self.program: Any = None
        self.cpu_load_process: subprocess.Popen | None = None
        # When the process was suspended, ended or slowed down by a busy loop.
        self.disturbed_at: list[int] = []
        # First and last time of each interval in which the gateway may fail to answer in time.
        self.unresponsive_spans: list[tuple[int, int]] = []
        self.disturbed_until = 0  # end of the latest disturbance


class Fleet:
    """Runs gateway processes with emulated engines, clients and endpoint lists on one event loop.

    Args:
        seed: The seed of all random numbers.
        gateways: The number of gateway processes.
        voters: The number of voters among them; by default all of up to 3 gateways, 3 of 4, else 5.
        lease: The term of a lease, in seconds.
        faults: Faults to inject, in order of time.
        clients: The number of emulated clients.
        rate: Requests per second of all clients together.
        engines: The number of emulated engines.
        off: The safeguards that the gateways disable, separated by commas.
        rates: Factors by which the clocks of the gateways run fast, used in turn.
        guarded: Whether the lease checker rejects acts with an outdated fencing token.
        cold: The slow-start time of an engine, in seconds.
        **options: Values of the operator file.
    """

    def __init__(
        self,
        seed: int = 1,
        gateways: int = 3,
        voters: int = 0,
        lease: float = 1.0,
        faults: Any = (),
        clients: int = 0,
        rate: float = 40.0,
        engines: int = 2,
        off: str = "none",
        rates: tuple[float, ...] = (),
        guarded: bool = True,
        cold: float = 15.0,
        **options: Any,
    ) -> None:
        self.event_loop, self.seed, self.chance, self.faults = (
            EventLoop(),
            seed,
            SeededRandom(seed),
            [*faults],
        )
        self.folder = tempfile.mkdtemp(prefix="corkgauge-", dir=find_memory_folder())
        self.lease, self.off, self.rates, self.cold = lease, off, rates, int(cold * SECOND)
        share, _, *rest = RULE_EXPECTATIONS.slow_start
        self.rule_expectations = replace(RULE_EXPECTATIONS, slow_start=(share, self.cold, *rest))
        self.options = {
            "period": max(lease / 5, 0.1),
            "margin": round(lease / 10, 3),
            "drift": 0.01,
            "each": max(lease / 20, 0.05),
            "version": 1,
            "disk": False,
            "works": None,
            "shared": None,
            "recall": None,
            **options,
        }
        self.key = os.path.join(self.folder, "key")
        with open(
            os.open(self.key, os.O_WRONLY | os.O_CREAT, 0o600), "w", encoding="ascii"
        ) as file:
            file.write(secrets.token_hex(32))
        known: dict[
            str, int
        ] = {}  # idempotency keys, known to all engines: they are one table group
        self.engines = {
            f"e{n}": EmulatedEngine(
                self.event_loop,
                f"e{n}",
                ENGINE_KINDS[n % 2],
                ZONE_NAMES[n // 2 % 2],
                CORES_BY_KIND[ENGINE_KINDS[n % 2]],
                MEAN_WORK_MS,
                seed * 100 + n,
                known,
            )
            for n in range(1, engines + 1)
        }
        self.engine_relays: dict[tuple[str, str], ConnectionRelay] = {}
        self.gateways = {f"n{n}": Gateway(self, n) for n in range(1, gateways + 1)}
        names = [*self.gateways]
        self.voters = names[: voters or (gateways if gateways < 4 else 3 if gateways < 5 else 5)]
        self.datagram_relays = {
            (one, other): DatagramRelay(
                self.event_loop, self.gateways[other].listen, SeededRandom(seed * 1000 + 31 * n + m)
            )
            for n, one in enumerate(names)
            for m, other in enumerate(names)
            if one != other
        }
        # No faults are injected on the relays to the lease checker: it dates an act by the arrival
        # of its datagram, so a delayed datagram would count as an act after the end of the lease.
        self.checker_relays = {
            name: DatagramRelay(self.event_loop, ("127.0.0.1", 1), SeededRandom(1))
            for name in names
        }
        from_judge = [
            (name, DatagramRelay(self.event_loop, each.listen, SeededRandom(1)).address)
            for name, each in self.gateways.items()
        ]
        with open(self.key, encoding="ascii") as file:
            secret = bytes.fromhex(file.read())
        self.lease_checker = LeaseChecker(
            self.event_loop,
            LEASE_CHECKER_NAME,
            [secret],
            from_judge,
            int(self.options["period"] * SECOND),
            guarded,
        )
        for way in self.checker_relays.values():
            way.target = self.lease_checker.address
        self.feeds = {name: self._feed(name) for name in names}
        for number, gateway in enumerate(self.gateways.values()):
            gateway.program = self._program(gateway, number)
        self.clients = [
            EmulatedClient(
                self.event_loop,
                self.gateways[names[n % len(names)]].address,
                REQUEST_TYPES,
                ("acme", "bolt")[n % 2],
                rate / clients,
                seed * 1000 + n,
            )
            for n in range(clients)
        ]
        self.applied_fault_count = 0

    def _feed(self, name: str) -> EmulatedDiscovery:
        """Create the endpoint list of a gateway, and its relays to all engines.

        Each gateway has one relay per engine, so the addresses on its list differ from those on
        the lists of other gateways.
        """
        feed = EmulatedDiscovery(self.event_loop)
        for engine in self.engines.values():
            self.engine_relays[name, engine.name] = ConnectionRelay(
                self.event_loop, engine.listener.address
            )
        return feed

    def _program(self, gateway: Gateway, number: int) -> GatewayProcess:
        discovery = self.feeds[gateway.name]
        reached = [
            _RelayedEngine(engine, "%s:%d" % self.engine_relays[gateway.name, engine.name].address)
            for engine in self.engines.values()
        ]
        first = discovery.publish(reached, full=True)
        platform_settings = settings()
        platform_settings["rules"]["coldUs"] = self.cold * 100
        configuration = {
            "name": gateway.name,
            "listen": "%s:%d" % gateway.address,
            "feed": discovery.address,
            "seed": f"{self.seed * 100 + number:x}",
            "limits": {"memory_mb": 96, "sockets": 512},
            "known": {"n": 1, "events": [first]},
            "settings": {**platform_settings, "instances": len(self.gateways), "myNumber": number},
        }
        rate = self.rates[number % len(self.rates)] if self.rates else 1.0
        start = (
            ("-m", "corkgauge")
            if self.off == "none" and rate == 1.0
            else ("-m", "corkgauge.testkit.faults.disabled_safeguards", self.off, str(rate))
        )
        return GatewayProcess(
            gateway.folder, configuration, self.render_operator_file(gateway), start
        )

    def render_operator_file(self, gateway: Gateway, **options: Any) -> str:
        """Return the operator file of a gateway, with the addresses of its relays to members."""
        options = {**self.options, "voters": " ".join(self.voters), **options}
        member_elements = [
            f'    <fellow name="{LEASE_CHECKER_NAME}" address="%s:%d"/>'
            % self.checker_relays[gateway.name].address
        ]
        for name, each in self.gateways.items():
            address = (
                each.listen if each is gateway else self.datagram_relays[gateway.name, name].address
            )
            member_elements.append(
                f'    <fellow name="{name}" address="{address[0]}:{address[1]}"'
                f' hall="{each.zone}"/>'
            )
        if options["recall"] is not None:
            options["recall"] = {"folder": f"{gateway.folder}/recall", **options["recall"]}
        for name in "works", "shared", "recall":
            options[name] = (
                ""
                if options[name] is None
                else "  <{} {}/>\n".format(
                    name, " ".join(f'{key}="{value}"' for key, value in options[name].items())
                )
            )
        votes_attribute = f' folder="{gateway.folder}/votes"' if options["disk"] else ""
        return OPERATOR_FILE.format(
            folder=gateway.folder,
            key=options.pop("key", self.key),
            lease=self.lease,
            listen="%s:%d" % gateway.listen,
            members="\n".join(member_elements),
            folder_of_votes=votes_attribute,
            **options,
        )

    def engine_for_gateway(self, gateway: str, engine: str) -> "_RelayedEngine":
        """Return an engine as it is on the endpoint list of one gateway."""
        return _RelayedEngine(
            self.engines[engine], "%s:%d" % self.engine_relays[gateway, engine].address
        )

    def publish_engines(self, names: Any, state: str = "SERVING") -> None:
        """Publish a state of these engines on the endpoint lists of all gateways."""
        for name, feed in self.feeds.items():
            feed.publish([self.engine_for_gateway(name, each) for each in names], state)

    def restart_engines(self, names: Any) -> None:
        """Restart these engines: drop their connections and publish a new start time."""
        for name in names:
            engine = self.engines[name]
            engine.listener.close_connections()
            engine.started_ms = self.event_loop.now // 10
        self.publish_engines(names)

    # Running the fleet.

    def start(self) -> None:
        """Start all gateways, and schedule the faults of the script."""
        for gateway in self.gateways.values():
            for each in gateway.reserved:
                each.release()
        for gateway in self.gateways.values():
            gateway.program.start()
        self.begun = self.event_loop.now
        for fault in self.faults:
            self.event_loop.call_later(max(fault.at, 1), self.apply_fault, fault)

    def until(self, seconds: float, while_: Any = lambda: True) -> bool:
        """Run the event loop for a time, or until `while_` is false; return whether it is false."""
        deadline = self.event_loop.now + int(seconds * SECOND)
        while self.event_loop.now < deadline:
            if not while_():
                return True
            self.event_loop.turn(min((deadline - self.event_loop.now) / 10, 20))
        return not while_()

    def wait_for_lease_action(self, seconds: float = 10.0, duty: str = "books") -> bool:
        """Wait until an act under a lease arrives at the lease checker; return whether one did."""
        first_new = len(self.lease_checker.acts)
        return self.until(
            seconds,
            lambda: not any(act.lease == duty for act in self.lease_checker.acts[first_new:]),
        )

    def holder(self) -> str:
        """Return the gateway of the latest act under any lease, empty before the first act."""
        return self.lease_checker.acts[-1].sender if self.lease_checker.acts else ""

    def run(self, seconds: float) -> None:
        """Start the fleet, run it for a time and let open requests end."""
        self.start()
        self.until(seconds)
        self.settle()

    def settle(self, seconds: float = MAX_ANSWER_SECONDS) -> None:
        """Stop the clients, and wait until their open requests have ended."""
        for client in self.clients:
            client.stopped = True
        self.until(seconds, lambda: any(client.open_requests for client in self.clients))

    def wait_until_serving(self) -> bool:
        """Wait until every client has an answer to a request sent from now on.

        Returns whether every one has. On a busy machine, gateways take seconds to start.
        """
        since = self.event_loop.now
        return self.until(
            MAX_START_SECONDS,
            lambda: not all(
                any(request.sent_at >= since and request.answers for request in client.requests)
                for client in self.clients
            ),
        )

    def served_fraction(
        self, since: int = 0, until: int | None = None, request_class: str = ""
    ) -> float:
        """Return the fraction of requests sent in a time, up to now, that were served.

        Waits for the answers to those that are still open, which are neither served nor lost yet.
        """
        end = self.event_loop.now if until is None else until

        def is_counted(request: SubmittedRequest) -> bool:
            return since <= request.sent_at < end and request_class in (
                "",
                request.profile.request_class,
            )

        self.until(
            MAX_ANSWER_SECONDS,
            lambda: any(
                is_counted(request)
                for client in self.clients
                for request in client.open_requests.values()
            ),
        )
        requests = [
            request for client in self.clients for request in client.requests if is_counted(request)
        ]
        served_count = sum(
            bool(request.answers) and request.answers[0][1] == rules.SERVED for request in requests
        )
        return served_count / max(len(requests), 1)

    def close(self) -> None:
        """End all processes of the fleet, release its ports and delete its files."""
        for gateway in self.gateways.values():
            self._set_cpu_load(gateway, False)
            if gateway.program.is_running():
                gateway.program.send_signal(signal.SIGCONT)
                gateway.program.send_signal(signal.SIGKILL)
                gateway.program.process.wait()
            for each in gateway.reserved:
                each.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Faults.

    def apply_fault(self, fault: Fault) -> None:
        """Inject a fault now, and schedule its end."""
        self.applied_fault_count += 1
        ends_at = self.event_loop.now + fault.duration
        if fault.kind in ("cut", "deaf", "mute"):
            for sender, receiver in self.datagram_relays:
                if (fault.kind != "deaf" and sender in fault.targets) or (
                    fault.kind != "mute" and receiver in fault.targets
                ):
                    self.datagram_relays[sender, receiver].cut_until = ends_at
        elif fault.kind == "part":
            for sender, receiver in self.datagram_relays:
                if (sender in fault.targets) != (receiver in fault.targets):
                    self.datagram_relays[sender, receiver].cut_until = ends_at
        elif fault.kind in AMOUNT_KINDS:
            self.set_network_fault(fault.kind, fault.amount)
            self.event_loop.call_later(
                max(fault.duration, 1), self.set_network_fault, fault.kind, 0.0
            )
        elif fault.kind == "replay":
            for (_, receiver), relay in self.datagram_relays.items():
                if receiver in fault.targets:
                    relay.replay()
        elif fault.kind == "engine":
            for (_, engine), engine_relay in self.engine_relays.items():
                if engine in fault.targets:
                    engine_relay.cut = True
                    self.event_loop.call_later(
                        max(fault.duration, 1), setattr, engine_relay, "cut", False
                    )
        elif fault.kind == "yield":
            self.request_lease_yield()
        else:
            for name in fault.targets:
                self.disturb_gateway(self.gateways[name], fault)

    def set_network_fault(self, kind: str, amount: float) -> None:
        """Set the loss, delay (ms) or duplication of datagrams between all members; 0 ends it."""
        for relay in self.datagram_relays.values():
            if kind == "lose":
                relay.loss_share = amount
            elif kind == "late":
                relay.max_delay_ticks = int(amount * 10)
            else:
                relay.duplicate_share = amount

    def disturb_gateway(self, gateway: Gateway, fault: Fault) -> None:
        """Suspend, end or slow down the process of a gateway, unless a fault already did."""
        program = gateway.program
        if self.event_loop.now < gateway.disturbed_until or not program.is_running():
            return  # a previous fault has not ended
        gateway.disturbed_at.append(self.event_loop.now)
        gateway.disturbed_until = self.event_loop.now + max(fault.duration, RESTART_DELAY_TICKS)
        gateway.unresponsive_spans.append(
            (self.event_loop.now, gateway.disturbed_until + RECOVERY_TICKS)
        )
        if fault.kind == "stop":
            program.send_signal(signal.SIGSTOP)
            self.event_loop.call_later(max(fault.duration, 1), program.send_signal, signal.SIGCONT)
        elif fault.kind == "busy":
            self._set_cpu_load(gateway, True)
            self.event_loop.call_later(max(fault.duration, 1), self._set_cpu_load, gateway, False)
        else:
            program.send_signal(signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM)
            self.event_loop.call_later(
                max(fault.duration, RESTART_DELAY_TICKS), self.restart_gateway, gateway
            )

    def restart_gateway(self, gateway: Gateway) -> None:
        """Start a gateway again with its current endpoint list, once its process has ended."""
        if gateway.program.is_running():
            return self.event_loop.call_later(RESTART_DELAY_TICKS, self.restart_gateway, gateway)
        discovery = self.feeds[gateway.name]
        gateway.program.configuration["known"] = {
            "n": discovery.version,
            "events": discovery.events,
        }
        gateway.program.start()

    def _set_cpu_load(self, gateway: Gateway, on: bool) -> None:
        """Start or end a busy loop on the same processor as a gateway, at the same priority."""
        if gateway.cpu_load_process is not None:
            gateway.cpu_load_process.kill()
            gateway.cpu_load_process.wait()
            gateway.cpu_load_process = None
        if on and gateway.program.is_running():
            core = [*os.sched_getaffinity(0)][-1]
            os.sched_setaffinity(gateway.program.process.pid, {core})
            gateway.cpu_load_process = subprocess.Popen(
                [sys.executable, "-c", "while True: pass"], preexec_fn=kill_with_parent(os.getpid())
            )
            os.sched_setaffinity(gateway.cpu_load_process.pid, {core})
        elif gateway.program.is_running():
            os.sched_setaffinity(gateway.program.process.pid, os.sched_getaffinity(0))

    def find_suspended_gateways(self) -> list[str]:
        """Return the gateways whose process is suspended (proc(5), state T)."""
        found = []
        for name, gateway in self.gateways.items():
            if gateway.program.is_running():
                with open(
                    f"/proc/{gateway.program.process.pid}/stat", encoding="ascii", errors="replace"
                ) as file:
                    if file.read().rsplit(")", 1)[1].split()[0] == "T":
                        found.append(name)
        return found

    def request_lease_yield(self) -> None:
        """Ask the lease holder, through its operator socket, to give the lease up.

        Blocks the event loop for up to 0.3 seconds.
        """
        from corkgauge.accounting.client import request_json

        name = self.holder()
        if name and self.event_loop.now >= self.gateways[name].disturbed_until:
            try:
                request_json(
                    f"{self.gateways[name].folder}/figures.sock",
                    "/duties",
                    "POST",
                    0.3,
                    {"do": "yield", "duty": "books"},
                )
            except (OSError, ValueError):
                pass

    def query_gateway(self, name: str, target: str = "/duties", body: Any = None) -> Any:
        """Return the answer of a gateway's operator socket.

        A child process sends the request, so that the event loop keeps serving the emulated clients
        and engines meanwhile.
        """
        command = [
            sys.executable,
            "-c",
            "import sys, json; from corkgauge.accounting.client import request_json; "
            "print(json.dumps(request_json(sys.argv[1], sys.argv[2], "
            "sys.argv[3], 5.0, json.loads(sys.argv[4]))))",
            f"{self.gateways[name].folder}/figures.sock",
            target,
            "POST" if body else "GET",
            json.dumps(body),
        ]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=kill_with_parent(os.getpid()),
        )
        self.until(10, lambda: process.poll() is None)
        output, error_output = process.communicate()
        if process.returncode:
            raise OSError(
                error_output.strip().splitlines()[-1] if error_output.strip() else "no answer"
            )
        return json.loads(output)

    # Results.

    def find_lease_violations(self) -> list[str]:
        """Return the violations of the lease rules that the lease checker found."""
        return find_lease_violations(
            self.lease_checker.acts,
            {name: each.disturbed_at for name, each in self.gateways.items()},
        )

    def find_holder_changes(self) -> list[tuple[int, int, int, str, str]]:
        """Return the changes of the holder of the lease `books`, as `vacancies` describes them."""
        return find_holder_changes(self.lease_checker.acts, "books")

    def find_rule_violations(self, slack: int = rules.TIMING_SLACK_TICKS) -> list[str]:
        """Check the seven rules, and return the violations.

        Requests that were open at a gateway while a fault disturbed it are not checked.
        """
        names, requests = [*self.gateways], []
        for n, client in enumerate(self.clients):
            spans = self.gateways[names[n % len(names)]].unresponsive_spans
            requests += [
                request
                for request in client.requests
                if not any(
                    request.sent_at <= end
                    and start <= request.sent_at + 10 * request.profile.patience_ms + slack
                    for start, end in spans
                )
            ]
        requests.sort(key=lambda request: request.sent_at)
        checked_traces = {request.trace for request in requests}
        attempts = sorted(
            (
                attempt
                for engine in self.engines.values()
                for attempt in engine.attempts
                if attempt.trace in checked_traces
            ),
            key=lambda attempt: attempt.received_at,
        )
        # All endpoint lists publish the same changes; the rules hold for all gateways together.
        publishes_changes = self.options["works"] is not None or self.options["shared"] is not None
        changes = next(iter(self.feeds.values())).changes if publishes_changes else []
        cores = {name: each.cores for name, each in self.engines.items()}
        return rules.find_rule_violations(
            requests, attempts, changes, cores, self.rule_expectations, slack
        )

    def logs(self) -> list[str]:
        """Return the log lines of all gateways, each after the name of its gateway."""
        return [
            f"{name} {line}" for name, each in self.gateways.items() for line in each.program.log()
        ]


class _RelayedEngine:
    """An engine at the address of the relay by which one gateway reaches it."""

    def __init__(self, engine: EmulatedEngine, address: str) -> None:
        self.name, self.address, self.zone, self.kind = (
            engine.name,
            address,
            engine.zone,
            engine.kind,
        )
        self.started_ms = engine.started_ms
