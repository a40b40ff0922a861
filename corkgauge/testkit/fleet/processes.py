"""Several processes of the program on loopback, what stands around them, and faults between them by a script.

Owns the cast of a drill: gateways in processes of their own, a relay each way between two fellows,
engines, feed, clients, the judge. Must never send to any address but loopback ones, and ends only
what it started.

A script's line is `at SECOND [for SECONDS]: SORT WHOM ...`; WHOM are gateways, or `all`:

    at 2 for 3: stop n1             SIGSTOP, then SIGCONT
    at 2: kill n1 n2                SIGKILL, and started again after a moment; `for` sets how long after
    at 2: end n1                    SIGTERM, and started again
    at 2 for 3: cut n1              from all others, both ways; `deaf` hears nothing, `mute` is not heard
    at 2 for 3: part n1 n2          these on one side, all others on the other
    at 2 for 3: lose 0.3            of all datagrams between fellows; also `late 500` (ms), `double 0.2`
    at 2: replay n1                 what was written to it comes again, as it was
    at 2 for 2: busy n1             its processor is shared with a process that never rests
    at 2: yield                     the holder is told to give its duty up
    at 2 for 3: engine e1           no gateway reaches it, and nothing is told
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
from corkgauge.testkit.checkers.leases import LeaseChecker, vacancies, verdict
from corkgauge.testkit.emulators.clients import EmulatedClient
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.faults.relay import Passage, Way
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
RECOVERY_TICKS = (
    2 * SECOND
)  # until a gateway that stood still, or was killed, answers in time again
RESTART_DELAY_TICKS = 500  # tenths of a millisecond until what ended is started again
SHARED_MEMORY_FOLDER, MIN_FREE_BYTES = (
    "/dev/shm",
    256 << 20,
)  # where files take no disk; octets free there, below which it is not used


class FaultScriptError(ValueError):
    """One line: which line of the script, and what it should say."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Times are tenths of a millisecond from the start."""

    at: int
    duration: int
    kind: str
    targets: tuple[str, ...] = ()
    amount: float = 0.0

    def line(self) -> str:
        """As a script has it."""
        what = f"{self.amount:g}" if self.kind in AMOUNT_KINDS else " ".join(self.targets)
        return (
            f"at {self.at / SECOND:g} for {self.duration / SECOND:g}: {self.kind} {what}".rstrip()
        )


def parse_fault_script(text: str, names: list[str], engines: list[str]) -> list[Fault]:
    """A script's faults in the order of their time.

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
    head, colon, what = line.partition(":")
    times, words = head.split(), what.split()
    if (
        not colon
        or len(times) not in (2, 4)
        or times[0] != "at"
        or times[2:3] not in ([], ["for"])
        or not words
    ):
        raise ValueError("expected 'at SECOND [for SECONDS]: SORT WHOM'")
    at, span = (
        int(float(each) * SECOND) for each in (times[1], times[3] if len(times) == 4 else "0")
    )
    sort, *whom = words
    if at < 0 or span < 0:
        raise ValueError("a time below 0")
    if sort not in FAULT_KINDS:
        raise ValueError(f"expected one of {', '.join(FAULT_KINDS)}, found {sort!r}")
    if sort in AMOUNT_KINDS:
        if len(whom) != 1 or float(whom[0]) < 0 or (sort != "late" and float(whom[0]) > 1):
            raise ValueError(f"{sort}: expected a figure")
        return Fault(at, span, sort, (), float(whom[0]))
    if whom == ["all"]:
        whom = [*(engines if sort == "engine" else names)]
    for each in whom:
        if each not in (engines if sort == "engine" else names):
            raise ValueError(f"no {'engine' if sort == 'engine' else 'gateway'} {each!r}")
    if not whom and sort != "yield":
        raise ValueError(f"{sort}: whom?")
    return Fault(at, span, sort, tuple(whom))


def draw_random_faults(
    seed: int, names: list[str], seconds: float, gap: float, longest: float
) -> list[Fault]:
    """Faults by chance, about one each `gap` seconds, of all sorts, none longer than `longest` seconds."""
    chance, at, found = SeededRandom(seed), 2.0, []
    sorts = [
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
        sort, span = sorts[chance.below(len(sorts))], 0.1 + chance.part() * (longest - 0.1)
        many = 1 + chance.below(max(len(names) // 2, 1)) if sort in ("kill", "part", "stop") else 1
        left = [*names]
        whom = [left.pop(chance.below(len(left))) for _ in range(many)]
        if sort == "kill" and chance.within(0.1):
            whom = [*names]
        figure = {"lose": 0.3, "late": 400.0 * longest}.get(sort, 0.0)
        found.append(
            Fault(
                int(at * SECOND),
                int(span * SECOND),
                sort,
                () if sort in (*AMOUNT_KINDS, "yield") else tuple(sorted(whom)),
                figure,
            )
        )
        at += gap * (0.5 + chance.part())
    return found


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


def find_memory_folder(place: str = SHARED_MEMORY_FOLDER, room: int = MIN_FREE_BYTES) -> str | None:
    """Danger: a gateway says nothing that is not safe on disk, and a disk that others keep busy takes seconds for it
    (15 s were seen): a scene's verdict would be the disk's. Processes are killed here, never the
    machine, so memory keeps what a disk would; what the program does with a slow one is forced by
    `slowdisk` (undefended.py). None: where files usually go.
    """
    try:
        free = os.statvfs(place)
    except OSError:
        return None
    return (
        place
        if free.f_bavail * free.f_frsize >= room and os.access(place, os.W_OK | os.X_OK)
        else None
    )


class Gateway:
    """One process, and where it is reached."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.name, self.zone = fleet, f"n{number}", ZONE_NAMES[number % 2]
        self.folder = os.path.join(fleet.folder, self.name)
        os.mkdir(self.folder)
        self.reserved = [ReservedPort(sort) for sort in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        self.address, self.listen = (each.address for each in self.reserved)
        self.program: Any = None
        self.cpu_load_process: subprocess.Popen | None = None
        self.disturbed_at: list[int] = []  # when it was stopped, killed or kept from its processor
        self.unresponsive_spans: list[
            tuple[int, int]
        ] = []  # from then until then it could answer nobody in time
        self.disturbed_until = 0  # it stands still, or is down, until then


class Fleet:
    """`gateways` processes; `off` and `rates` spoil defences and clocks; `options` go into the operator
    file.
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
        share, _, *rest = RULE_EXPECTATIONS.cold
        self.rule_expectations = replace(RULE_EXPECTATIONS, cold=(share, self.cold, *rest))
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
        ] = {}  # labels: all engines of the played deployment remember them together
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
        self.engine_relays: dict[tuple[str, str], Passage] = {}
        self.gateways = {f"n{n}": Gateway(self, n) for n in range(1, gateways + 1)}
        names = [*self.gateways]
        self.voters = names[: voters or (gateways if gateways < 4 else 3 if gateways < 5 else 5)]
        self.datagram_relays = {
            (one, other): Way(
                self.event_loop, self.gateways[other].listen, SeededRandom(seed * 1000 + 31 * n + m)
            )
            for n, one in enumerate(names)
            for m, other in enumerate(names)
            if one != other
        }
        # Danger: what arrives late at the judge would count as done late; so no fault is on its
        # ways.
        self.checker_relays = {
            name: Way(self.event_loop, ("127.0.0.1", 1), SeededRandom(1)) for name in names
        }
        from_judge = [
            (name, Way(self.event_loop, each.listen, SeededRandom(1)).address)
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
        """Each gateway reaches each engine by a passage of its own, so each has a list of its own."""
        feed = EmulatedDiscovery(self.event_loop)
        for engine in self.engines.values():
            self.engine_relays[name, engine.name] = Passage(
                self.event_loop, engine.listener.address
            )
        return feed

    def _program(self, gateway: Gateway, number: int) -> GatewayProcess:
        feed = self.feeds[gateway.name]
        reached = [
            _RelayedEngine(engine, "%s:%d" % self.engine_relays[gateway.name, engine.name].address)
            for engine in self.engines.values()
        ]
        first = feed.told(reached, full=True)
        stated = settings()
        stated["rules"]["coldUs"] = self.cold * 100
        said = {
            "name": gateway.name,
            "listen": "%s:%d" % gateway.address,
            "feed": feed.address,
            "seed": f"{self.seed * 100 + number:x}",
            "limits": {"memory_mb": 96, "sockets": 512},
            "known": {"n": 1, "events": [first]},
            "settings": {**stated, "instances": len(self.gateways), "myNumber": number},
        }
        rate = self.rates[number % len(self.rates)] if self.rates else 1.0
        start = (
            ("-m", "corkgauge")
            if self.off == "none" and rate == 1.0
            else ("-m", "corkgauge.testkit.faults.disabled_safeguards", self.off, str(rate))
        )
        return GatewayProcess(gateway.folder, said, self.render_operator_file(gateway), start)

    def render_operator_file(self, gateway: Gateway, **options: Any) -> str:
        """The operator file of one gateway: it reaches each fellow by the relay of that way."""
        options = {**self.options, "voters": " ".join(self.voters), **options}
        lines = [
            f'    <fellow name="{LEASE_CHECKER_NAME}" address="%s:%d"/>'
            % self.checker_relays[gateway.name].address
        ]
        for name, each in self.gateways.items():
            where = (
                each.listen if each is gateway else self.datagram_relays[gateway.name, name].address
            )
            lines.append(
                f'    <fellow name="{name}" address="{where[0]}:{where[1]}" hall="{each.zone}"/>'
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
        votes = f' folder="{gateway.folder}/votes"' if options["disk"] else ""
        return OPERATOR_FILE.format(
            folder=gateway.folder,
            key=options.pop("key", self.key),
            lease=self.lease,
            listen="%s:%d" % gateway.listen,
            members="\n".join(lines),
            folder_of_votes=votes,
            **options,
        )

    def engine_for_gateway(self, gateway: str, engine: str) -> "_RelayedEngine":
        """An engine as the list tells it to one gateway."""
        return _RelayedEngine(
            self.engines[engine], "%s:%d" % self.engine_relays[gateway, engine].address
        )

    def publish_engines(self, names: Any, state: str = "SERVING") -> None:
        """Each gateway's feed tells of these engines."""
        for name, feed in self.feeds.items():
            feed.told([self.engine_for_gateway(name, each) for each in names], state)

    def restart_engines(self, names: Any) -> None:
        """These engines have just started: cold, with nothing of before."""
        for name in names:
            engine = self.engines[name]
            engine.listener.drop()
            engine.started_ms = self.event_loop.now // 10
        self.publish_engines(names)

    # Playing.

    def start(self) -> None:
        for gateway in self.gateways.values():
            for each in gateway.reserved:
                each.release()
        for gateway in self.gateways.values():
            gateway.program.start()
        self.begun = self.event_loop.now
        for fault in self.faults:
            self.event_loop.call_later(max(fault.at, 1), self.apply_fault, fault)

    def until(self, seconds: float, while_: Any = lambda: True) -> bool:
        """Go on for so long, or until something no longer holds; did it stop holding?"""
        when = self.event_loop.now + int(seconds * SECOND)
        while self.event_loop.now < when:
            if not while_():
                return True
            self.event_loop.turn(min((when - self.event_loop.now) / 10, 20))
        return not while_()

    def wait_for_lease_action(self, seconds: float = 10.0, duty: str = "books") -> bool:
        """Until somebody's act has arrived since now."""
        since = len(self.lease_checker.acts)
        return self.until(
            seconds, lambda: not any(act.lease == duty for act in self.lease_checker.acts[since:])
        )

    def holder(self) -> str:
        """Who acted last."""
        return self.lease_checker.acts[-1].sender if self.lease_checker.acts else ""

    def run(self, seconds: float) -> None:
        self.start()
        self.until(seconds)
        self.settle()

    def settle(self, seconds: float = 3.5) -> None:
        """No more submissions; all that is open ends."""
        for client in self.clients:
            client.stopped = True
        self.until(seconds, lambda: any(client.open for client in self.clients))

    def close(self) -> None:
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
        self.applied_fault_count += 1
        until = self.event_loop.now + fault.duration
        if fault.kind in ("cut", "deaf", "mute"):
            for one, other in self.datagram_relays:
                if (fault.kind != "deaf" and one in fault.targets) or (
                    fault.kind != "mute" and other in fault.targets
                ):
                    self.datagram_relays[one, other].cut_until = until
        elif fault.kind == "part":
            for one, other in self.datagram_relays:
                if (one in fault.targets) != (other in fault.targets):
                    self.datagram_relays[one, other].cut_until = until
        elif fault.kind in AMOUNT_KINDS:
            self.set_network_fault(fault.kind, fault.amount)
            self.event_loop.call_later(
                max(fault.duration, 1), self.set_network_fault, fault.kind, 0.0
            )
        elif fault.kind == "replay":
            for (_, other), way in self.datagram_relays.items():
                if other in fault.targets:
                    way.again()
        elif fault.kind == "engine":
            for (_, engine), passage in self.engine_relays.items():
                if engine in fault.targets:
                    passage.cut = True
                    self.event_loop.call_later(
                        max(fault.duration, 1), setattr, passage, "cut", False
                    )
        elif fault.kind == "yield":
            self.request_lease_yield()
        else:
            for name in fault.targets:
                self.disturb_gateway(self.gateways[name], fault)

    def set_network_fault(self, sort: str, figure: float) -> None:
        for way in self.datagram_relays.values():
            if sort == "lose":
                way.loss = figure
            elif sort == "late":
                way.delay = int(figure * 10)
            else:
                way.doubled = figure

    def disturb_gateway(self, gateway: Gateway, fault: Fault) -> None:
        program = gateway.program
        if self.event_loop.now < gateway.disturbed_until or not program.is_running():
            return  # something befell it already
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
        if gateway.program.is_running():
            return self.event_loop.call_later(RESTART_DELAY_TICKS, self.restart_gateway, gateway)
        feed = self.feeds[gateway.name]
        gateway.program.configuration["known"] = {"n": feed.version, "events": feed.events}
        gateway.program.start()

    def _set_cpu_load(self, gateway: Gateway, on: bool) -> None:
        """A process of ours on the same processor, at the same priority."""
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
        """Gateways whose process stands still, as the system tells it."""
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
        """Whoever acted last is told to give its duty up, at its own door. Blocks for a moment."""
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
        """What a gateway tells at its door, asked while the hub goes on: its clients may be answered
        meanwhile.
        """
        command = [
            sys.executable,
            "-c",
            "import sys, json; from corkgauge.accounting.client import request_json; print(json.dumps("
            "request_json(sys.argv[1], sys.argv[2], sys.argv[3], 5.0, json.loads(sys.argv[4]))))",
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
        out, wrong = process.communicate()
        if process.returncode:
            raise OSError(wrong.strip().splitlines()[-1] if wrong.strip() else "no answer")
        return json.loads(out)

    # What was seen.

    def find_lease_violations(self) -> list[str]:
        """The judge's verdict."""
        return verdict(
            self.lease_checker.acts,
            {name: each.disturbed_at for name, each in self.gateways.items()},
        )

    def find_holder_changes(self) -> list[tuple[int, int, int, str, str]]:
        return vacancies(self.lease_checker.acts, "books")

    def find_rule_violations(self, slack: int = rules.SLACK) -> list[str]:
        """The seven rules. What was open at a gateway while it stood still or was killed is owed by nobody."""
        names, asks = [*self.gateways], []
        for n, client in enumerate(self.clients):
            spells = self.gateways[names[n % len(names)]].unresponsive_spans
            asks += [
                ask
                for ask in client.book
                if not any(
                    ask.sent <= until and since <= ask.sent + 10 * ask.want.patience + slack
                    for since, until in spells
                )
            ]
        asks.sort(key=lambda ask: ask.sent)
        mine = {ask.trace for ask in asks}
        runs = sorted(
            (run for engine in self.engines.values() for run in engine.book if run.trace in mine),
            key=lambda run: run.came,
        )
        # Each gateway's feed tells the same of engines; the rules are the sum's, over all gateways.
        talking = self.options["works"] is not None or self.options["shared"] is not None
        changes = next(iter(self.feeds.values())).changes if talking else []
        cores = {name: each.cores for name, each in self.engines.items()}
        return rules.broken(asks, runs, changes, cores, self.rule_expectations, slack)

    def logs(self) -> list[str]:
        return [
            f"{name} {line}" for name, each in self.gateways.items() for line in each.program.log()
        ]


class _RelayedEngine:
    """An engine as one gateway reaches it."""

    def __init__(self, engine: EmulatedEngine, address: str) -> None:
        self.name, self.address, self.zone, self.kind = (
            engine.name,
            address,
            engine.zone,
            engine.kind,
        )
        self.started_ms = engine.started_ms
