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
from corkgauge.testkit.checkers.leases import (
    LeaseChecker,
    find_holder_changes,
    find_lease_violations,
)
from corkgauge.testkit.emulators.clients import EmulatedClient
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.faults.relay import ConnectionRelay, DatagramRelay
from corkgauge.testkit.fleet.day import CORES, HALLS, KINDS, STAKES, WANTS, WORK, settings
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.parent_process import tied
from corkgauge.testkit.fleet.ports import Reserved
from corkgauge.testkit.seeded_random import SeededRandom

JUDGE = "judge"
SORTS = (
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
WITH_FIGURE = "lose", "late", "double"
RECOVERS = 2 * SECOND  # until a gateway that stood still, or was killed, answers in time again
AGAIN = 500  # tenths of a millisecond until what ended is started again
MEMORY, ROOM = (
    "/dev/shm",
    256 << 20,
)  # where files take no disk; octets free there, below which it is not used


class Unplayable(ValueError):
    """One line: which line of the script, and what it should say."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Times are tenths of a millisecond from the start."""

    at: int
    span: int
    sort: str
    whom: tuple[str, ...] = ()
    figure: float = 0.0

    def line(self) -> str:
        """As a script has it."""
        what = f"{self.figure:g}" if self.sort in WITH_FIGURE else " ".join(self.whom)
        return f"at {self.at / SECOND:g} for {self.span / SECOND:g}: {self.sort} {what}".rstrip()


def read(text: str, names: list[str], engines: list[str]) -> list[Fault]:
    """A script's faults in the order of their time.

    >>> read("at 2 for 3: part n1 n2  # halves", ["n1", "n2", "n3"], [])
    [Fault(at=20000, span=30000, sort='part', whom=('n1', 'n2'), figure=0.0)]
    >>> read("at 2: stop n9", ["n1"], [])
    Traceback (most recent call last):
    corkgauge.testkit.fleet.processes.Unplayable: line 1: no gateway 'n9'
    """
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        try:
            if line:
                found.append(_fault(line, names, engines))
        except ValueError as problem:
            raise Unplayable(f"line {number}: {problem}") from None
    return sorted(found, key=lambda fault: fault.at)


def _fault(line: str, names: list[str], engines: list[str]) -> Fault:
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
    if sort not in SORTS:
        raise ValueError(f"expected one of {', '.join(SORTS)}, found {sort!r}")
    if sort in WITH_FIGURE:
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


def drawn(seed: int, names: list[str], seconds: float, gap: float, longest: float) -> list[Fault]:
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
        sort, span = sorts[chance.below(len(sorts))], 0.1 + chance.uniform() * (longest - 0.1)
        many = 1 + chance.below(max(len(names) // 2, 1)) if sort in ("kill", "part", "stop") else 1
        left = [*names]
        whom = [left.pop(chance.below(len(left))) for _ in range(many)]
        if sort == "kill" and chance.happens(0.1):
            whom = [*names]
        figure = {"lose": 0.3, "late": 400.0 * longest}.get(sort, 0.0)
        found.append(
            Fault(
                int(at * SECOND),
                int(span * SECOND),
                sort,
                () if sort in (*WITH_FIGURE, "yield") else tuple(sorted(whom)),
                figure,
            )
        )
        at += gap * (0.5 + chance.uniform())
    return found


OPERATOR = """<?xml version="1.0"?>
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


def in_memory(place: str = MEMORY, room: int = ROOM) -> str | None:
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
        self.fleet, self.name, self.zone = fleet, f"n{number}", HALLS[number % 2]
        self.folder = os.path.join(fleet.folder, self.name)
        os.mkdir(self.folder)
        self.reserved = [Reserved(sort) for sort in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        self.address, self.listen = (each.address for each in self.reserved)
        self.program: Any = None
        self.burner: subprocess.Popen | None = None
        self.troubled: list[int] = []  # when it was stopped, killed or kept from its processor
        self.spells: list[
            tuple[int, int]
        ] = []  # from then until then it could answer nobody in time
        self.until = 0  # it stands still, or is down, until then


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
        self.folder = tempfile.mkdtemp(prefix="corkgauge-", dir=in_memory())
        self.lease, self.off, self.rates, self.cold = lease, off, rates, int(cold * SECOND)
        share, _, *rest = STAKES.slow_start
        self.stakes = replace(STAKES, slow_start=(share, self.cold, *rest))
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
                KINDS[n % 2],
                HALLS[n // 2 % 2],
                CORES[KINDS[n % 2]],
                WORK,
                seed * 100 + n,
                known,
            )
            for n in range(1, engines + 1)
        }
        self.passages: dict[tuple[str, str], ConnectionRelay] = {}
        self.gateways = {f"n{n}": Gateway(self, n) for n in range(1, gateways + 1)}
        names = [*self.gateways]
        self.voters = names[: voters or (gateways if gateways < 4 else 3 if gateways < 5 else 5)]
        self.ways = {
            (one, other): DatagramRelay(
                self.event_loop, self.gateways[other].listen, SeededRandom(seed * 1000 + 31 * n + m)
            )
            for n, one in enumerate(names)
            for m, other in enumerate(names)
            if one != other
        }
        # Danger: what arrives late at the judge would count as done late; so no fault is on its
        # ways.
        self.to_judge = {
            name: DatagramRelay(self.event_loop, ("127.0.0.1", 1), SeededRandom(1))
            for name in names
        }
        from_judge = [
            (name, DatagramRelay(self.event_loop, each.listen, SeededRandom(1)).address)
            for name, each in self.gateways.items()
        ]
        with open(self.key, encoding="ascii") as file:
            secret = bytes.fromhex(file.read())
        self.judge = LeaseChecker(
            self.event_loop,
            JUDGE,
            [secret],
            from_judge,
            int(self.options["period"] * SECOND),
            guarded,
        )
        for way in self.to_judge.values():
            way.target = self.judge.address
        self.feeds = {name: self._feed(name) for name in names}
        for number, gateway in enumerate(self.gateways.values()):
            gateway.program = self._program(gateway, number)
        self.clients = [
            EmulatedClient(
                self.event_loop,
                self.gateways[names[n % len(names)]].address,
                WANTS,
                ("acme", "bolt")[n % 2],
                rate / clients,
                seed * 1000 + n,
            )
            for n in range(clients)
        ]
        self.befallen = 0

    def _feed(self, name: str) -> EmulatedDiscovery:
        """Each gateway reaches each engine by a passage of its own, so each has a list of its own."""
        feed = EmulatedDiscovery(self.event_loop)
        for engine in self.engines.values():
            self.passages[name, engine.name] = ConnectionRelay(
                self.event_loop, engine.listener.address
            )
        return feed

    def _program(self, gateway: Gateway, number: int) -> GatewayProcess:
        feed = self.feeds[gateway.name]
        reached = [
            _Reached(engine, "%s:%d" % self.passages[gateway.name, engine.name].address)
            for engine in self.engines.values()
        ]
        first = feed.publish(reached, full=True)
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
        return GatewayProcess(gateway.folder, said, self.operator(gateway), start)

    def operator(self, gateway: Gateway, **options: Any) -> str:
        """The operator file of one gateway: it reaches each fellow by the relay of that way."""
        options = {**self.options, "voters": " ".join(self.voters), **options}
        lines = [
            f'    <fellow name="{JUDGE}" address="%s:%d"/>' % self.to_judge[gateway.name].address
        ]
        for name, each in self.gateways.items():
            where = each.listen if each is gateway else self.ways[gateway.name, name].address
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
        return OPERATOR.format(
            folder=gateway.folder,
            key=options.pop("key", self.key),
            lease=self.lease,
            listen="%s:%d" % gateway.listen,
            members="\n".join(lines),
            folder_of_votes=votes,
            **options,
        )

    def reached(self, gateway: str, engine: str) -> "_Reached":
        """An engine as the list tells it to one gateway."""
        return _Reached(self.engines[engine], "%s:%d" % self.passages[gateway, engine].address)

    def listed(self, names: Any, state: str = "SERVING") -> None:
        """Each gateway's feed tells of these engines."""
        for name, feed in self.feeds.items():
            feed.publish([self.reached(name, each) for each in names], state)

    def renewed(self, names: Any) -> None:
        """These engines have just started: cold, with nothing of before."""
        for name in names:
            engine = self.engines[name]
            engine.listener.close_connections()
            engine.started_ms = self.event_loop.now // 10
        self.listed(names)

    # Playing.

    def start(self) -> None:
        for gateway in self.gateways.values():
            for each in gateway.reserved:
                each.release()
        for gateway in self.gateways.values():
            gateway.program.start()
        self.begun = self.event_loop.now
        for fault in self.faults:
            self.event_loop.call_later(max(fault.at, 1), self.befall, fault)

    def until(self, seconds: float, while_: Any = lambda: True) -> bool:
        """Go on for so long, or until something no longer holds; did it stop holding?"""
        when = self.event_loop.now + int(seconds * SECOND)
        while self.event_loop.now < when:
            if not while_():
                return True
            self.event_loop.turn(min((when - self.event_loop.now) / 10, 20))
        return not while_()

    def held(self, seconds: float = 10.0, duty: str = "books") -> bool:
        """Until somebody's act has arrived since now."""
        since = len(self.judge.acts)
        return self.until(
            seconds, lambda: not any(act.lease == duty for act in self.judge.acts[since:])
        )

    def holder(self) -> str:
        """Who acted last."""
        return self.judge.acts[-1].sender if self.judge.acts else ""

    def run(self, seconds: float) -> None:
        self.start()
        self.until(seconds)
        self.settle()

    def settle(self, seconds: float = 3.5) -> None:
        """No more submissions; all that is open ends."""
        for client in self.clients:
            client.stopped = True
        self.until(seconds, lambda: any(client.open_requests for client in self.clients))

    def close(self) -> None:
        for gateway in self.gateways.values():
            self._burn(gateway, False)
            if gateway.program.running():
                gateway.program.tell(signal.SIGCONT)
                gateway.program.tell(signal.SIGKILL)
                gateway.program.process.wait()
            for each in gateway.reserved:
                each.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Faults.

    def befall(self, fault: Fault) -> None:
        self.befallen += 1
        until = self.event_loop.now + fault.span
        if fault.sort in ("cut", "deaf", "mute"):
            for one, other in self.ways:
                if (fault.sort != "deaf" and one in fault.whom) or (
                    fault.sort != "mute" and other in fault.whom
                ):
                    self.ways[one, other].cut_until = until
        elif fault.sort == "part":
            for one, other in self.ways:
                if (one in fault.whom) != (other in fault.whom):
                    self.ways[one, other].cut_until = until
        elif fault.sort in WITH_FIGURE:
            self.weather(fault.sort, fault.figure)
            self.event_loop.call_later(max(fault.span, 1), self.weather, fault.sort, 0.0)
        elif fault.sort == "replay":
            for (_, other), way in self.ways.items():
                if other in fault.whom:
                    way.replay()
        elif fault.sort == "engine":
            for (_, engine), passage in self.passages.items():
                if engine in fault.whom:
                    passage.cut = True
                    self.event_loop.call_later(max(fault.span, 1), setattr, passage, "cut", False)
        elif fault.sort == "yield":
            self.ask_yield()
        else:
            for name in fault.whom:
                self.trouble(self.gateways[name], fault)

    def weather(self, sort: str, figure: float) -> None:
        for way in self.ways.values():
            if sort == "lose":
                way.loss_share = figure
            elif sort == "late":
                way.max_delay_ticks = int(figure * 10)
            else:
                way.duplicate_share = figure

    def trouble(self, gateway: Gateway, fault: Fault) -> None:
        program = gateway.program
        if self.event_loop.now < gateway.until or not program.running():
            return  # something befell it already
        gateway.troubled.append(self.event_loop.now)
        gateway.until = self.event_loop.now + max(fault.span, AGAIN)
        gateway.spells.append((self.event_loop.now, gateway.until + RECOVERS))
        if fault.sort == "stop":
            program.tell(signal.SIGSTOP)
            self.event_loop.call_later(max(fault.span, 1), program.tell, signal.SIGCONT)
        elif fault.sort == "busy":
            self._burn(gateway, True)
            self.event_loop.call_later(max(fault.span, 1), self._burn, gateway, False)
        else:
            program.tell(signal.SIGKILL if fault.sort == "kill" else signal.SIGTERM)
            self.event_loop.call_later(max(fault.span, AGAIN), self.again, gateway)

    def again(self, gateway: Gateway) -> None:
        if gateway.program.running():
            return self.event_loop.call_later(AGAIN, self.again, gateway)
        feed = self.feeds[gateway.name]
        gateway.program.said["known"] = {"n": feed.version, "events": feed.events}
        gateway.program.start()

    def _burn(self, gateway: Gateway, on: bool) -> None:
        """A process of ours on the same processor, at the same priority."""
        if gateway.burner is not None:
            gateway.burner.kill()
            gateway.burner.wait()
            gateway.burner = None
        if on and gateway.program.running():
            core = [*os.sched_getaffinity(0)][-1]
            os.sched_setaffinity(gateway.program.process.pid, {core})
            gateway.burner = subprocess.Popen(
                [sys.executable, "-c", "while True: pass"], preexec_fn=tied(os.getpid())
            )
            os.sched_setaffinity(gateway.burner.pid, {core})
        elif gateway.program.running():
            os.sched_setaffinity(gateway.program.process.pid, os.sched_getaffinity(0))

    def halted(self) -> list[str]:
        """Gateways whose process stands still, as the system tells it."""
        found = []
        for name, gateway in self.gateways.items():
            if gateway.program.running():
                with open(
                    f"/proc/{gateway.program.process.pid}/stat", encoding="ascii", errors="replace"
                ) as file:
                    if file.read().rsplit(")", 1)[1].split()[0] == "T":
                        found.append(name)
        return found

    def ask_yield(self) -> None:
        """Whoever acted last is told to give its duty up, at its own door. Blocks for a moment."""
        from corkgauge.accounting.client import request_json

        name = self.holder()
        if name and self.event_loop.now >= self.gateways[name].until:
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

    def asked(self, name: str, target: str = "/duties", body: Any = None) -> Any:
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
            preexec_fn=tied(os.getpid()),
        )
        self.until(10, lambda: process.poll() is None)
        out, wrong = process.communicate()
        if process.returncode:
            raise OSError(wrong.strip().splitlines()[-1] if wrong.strip() else "no answer")
        return json.loads(out)

    # What was seen.

    def wrong(self) -> list[str]:
        """The judge's verdict."""
        return find_lease_violations(
            self.judge.acts, {name: each.troubled for name, each in self.gateways.items()}
        )

    def changes(self) -> list[tuple[int, int, int, str, str]]:
        return find_holder_changes(self.judge.acts, "books")

    def broken(self, slack: int = rules.TIMING_SLACK_TICKS) -> list[str]:
        """The seven rules. What was open at a gateway while it stood still or was killed is owed by nobody."""
        names, asks = [*self.gateways], []
        for n, client in enumerate(self.clients):
            spells = self.gateways[names[n % len(names)]].spells
            asks += [
                ask
                for ask in client.requests
                if not any(
                    ask.sent_at <= until
                    and since <= ask.sent_at + 10 * ask.profile.patience_ms + slack
                    for since, until in spells
                )
            ]
        asks.sort(key=lambda ask: ask.sent_at)
        mine = {ask.trace for ask in asks}
        runs = sorted(
            (
                run
                for engine in self.engines.values()
                for run in engine.attempts
                if run.trace in mine
            ),
            key=lambda run: run.received_at,
        )
        # Each gateway's feed tells the same of engines; the rules are the sum's, over all gateways.
        talking = self.options["works"] is not None or self.options["shared"] is not None
        changes = next(iter(self.feeds.values())).changes if talking else []
        cores = {name: each.cores for name, each in self.engines.items()}
        return rules.find_rule_violations(asks, runs, changes, cores, self.stakes, slack)

    def logs(self) -> list[str]:
        return [
            f"{name} {line}" for name, each in self.gateways.items() for line in each.program.log()
        ]


class _Reached:
    """An engine as one gateway reaches it."""

    def __init__(self, engine: EmulatedEngine, address: str) -> None:
        self.name, self.address, self.zone, self.kind = (
            engine.name,
            address,
            engine.zone,
            engine.kind,
        )
        self.started_ms = engine.started_ms
