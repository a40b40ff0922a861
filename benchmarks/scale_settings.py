"""A change of configuration: what it costs today, how large one is, and by which way it could reach all in time.

Owns the processes that it starts, and which sizes are looked at. Must never leave a process behind,
and never keep a quick run. A restart is a real `serve` process; gossip is simulated
(corkgauge/model/dissemination.py).
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from statistics import median
from typing import Any

import click

from benchmarks.scaling import bounded, kept, single, slope
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.ring_buffer import MemoryBudget
from corkgauge.model.dissemination import measure_dissemination
from corkgauge.net.discovery_protocol import DiscoveryProtocol
from corkgauge.net.host import UnstartedHost, build_settings
from corkgauge.testkit.fleet.day import KINDS, settings
from corkgauge.testkit.fleet.parent_process import tied

FULL, GATEWAYS = 1_800, 870
ENGINES = 10, 40, 100, 400, 1_000
MEMBERS = 30, 100, 300, 600
CLASSES, TENANTS = 20, 1_000  # of the whole that is spread: no users' figure, ours
FANOUTS, LOSSES = (1, 2, 3, 5), (0, 10, 30)
SEEDS = 5
COMMAND = "python benchmarks/scale.py settings"
PATIENCE = 60.0
READ = 4_096  # octets that the feed's reader is handed at a time


def configuration(
    engines: int = 0,
    classes: int = 4,
    tenants: int = 2,
    feed: str = "127.0.0.1:1",
    listen: str = "127.0.0.1:1",
    id_size: int = 8,
) -> dict[str, Any]:
    """As a platform hands it over: settings of so many classes and tenants, and the list known at the start."""
    stated = settings()
    given = stated["profiles"]
    stated["profiles"] = [
        {**given[n % len(given)], "name": f"class-{n:03d}"} for n in range(classes)
    ]
    stated["customers"] = [{"name": f"tenant-{n:05d}"} for n in range(tenants)]
    stated.update(instances=GATEWAYS, myNumber=17)
    servers = [
        {
            "id": f"e{n:0{id_size - 1}d}",
            "addr": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:9090",
            "zone": stated["azs"][n % 2],
            "kind": KINDS[n % 2],
            "cell": n // 8,
            "state": "SERVING",
            "weight": 1,
            "started_ms": 1_790_000_000_000 + 1_000 * n,
        }
        for n in range(engines)
    ]
    event = {"n": 1, "members": {"version": 1, "full": True, "servers": servers}}
    return {
        "name": "n1",
        "listen": listen,
        "feed": feed,
        "seed": "7",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"n": 1, "events": [event]},
        "settings": stated,
    }


def octets(said: Any, spaced: bool = False) -> int:
    """As JSON, without spaces or with them as most writers leave them."""
    return len(json.dumps(said, separators=None if spaced else (",", ":")).encode())


# How large.


def delta() -> Any:
    """One class gets another promised time: as a JSON merge patch (RFC 7396) of settings in which classes go by name,
    with the version that it follows and the digest of what it makes.
    """
    return {
        "version": 4711,
        "after": 4710,
        "digest": "0" * 64,
        "by": "operator@example",
        "change": {"profiles": {"class-007": {"objectiveUs": 250_000}}},
    }


class Taker:
    """What the feed's reader calls."""

    def __init__(self) -> None:
        self.took = 0

    def on_event(self, number: str, data: str) -> str:
        self.took += 1
        return ""


def listed(engines: int, id_size: int = 8) -> Any:
    """The whole list as the feed's one event."""
    return configuration(engines, id_size=id_size)["known"]["events"][0]


def is_taken(engines: int, id_size: int, spaced: bool) -> bool:
    """Does the program's own reader of the feed take the whole list in one event?"""
    taker = Taker()
    wire = DiscoveryProtocol(taker, MemoryBudget(2**24))
    event = json.dumps(listed(engines, id_size), separators=None if spaced else (",", ":"))
    data = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: {event}\n\n".encode()
    for at in range(0, len(data), READ):
        wire.inward.put(data[at : at + READ])
        if wire.parse_input():
            return False
    return taker.took == 1


def most_taken(id_size: int, spaced: bool) -> int:
    """Of how many engines a whole list is taken, by halving."""
    low, high = 0, 20 * FULL
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if is_taken(middle, id_size, spaced) else (low, middle)
    return low


def sizes(run: "Run") -> list[dict[str, Any]]:
    def settings(**how: int) -> int:
        return octets(configuration(**how)["settings"])

    rows = [
        run.slope(
            "settings.octets.classes",
            "settings as JSON, two tenants",
            "octets",
            "classes",
            (4, 16, 64, 256),
            lambda n: settings(classes=n, tenants=2),
            256,
            repeats=1,
        ),
        run.slope(
            "settings.octets.tenants",
            "settings as JSON, four classes",
            "octets",
            "tenants",
            (2, 20, 200, 2_000),
            lambda n: settings(classes=4, tenants=n),
            2_000,
            repeats=1,
        ),
    ]
    for name, said, size, spaced in (
        ("", "ids of 8 characters", 8, True),
        (".long", "ids of 36 characters", 36, True),
        (".compact", "ids of 8 characters, JSON without spaces", 8, False),
    ):
        rows += [
            run.slope(
                "settings.list.octets" + name,
                f"the whole list as one event, {said}",
                "octets",
                "engines",
                ENGINES,
                lambda n, size=size, spaced=spaced: octets(listed(n, size), spaced),
                FULL,
                repeats=1,
            ),
            single(
                "settings.list.most" + name,
                f"most engines whose whole list the reader of the feed takes, {said}",
                "engines",
                "characters of an id",
                size,
                [most_taken(size, spaced)],
                "measured",
                COMMAND,
            ),
        ]
    whole = octets(configuration(0, CLASSES, TENANTS)["settings"])
    return rows + [
        single(
            "settings.octets.whole",
            f"settings of {CLASSES} classes and {TENANTS} tenants, as JSON",
            "octets",
            "classes",
            CLASSES,
            [whole],
            "measured",
            COMMAND,
        ),
        single(
            "settings.octets.delta",
            "one class gets another promised time, as a merge patch with its digest",
            "octets",
            "classes",
            1,
            [octets(delta())],
            "paper",
            COMMAND,
        ),
    ]


# What it costs today.


class Served:
    """One real process of `serve`, in a folder of its own; killed if this one ends in whichever way."""

    def __init__(self, engines: int, classes: int = 4, tenants: int = 2) -> None:
        self.folder = tempfile.mkdtemp(prefix="corkgauge-")
        self.held = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(2)
        ]  # two feeds, at which nobody answers
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.said = configuration(engines, classes, tenants, self.at(0), "%s:%d" % self.address)
        # Danger: what lies at the list's addresses is nobody's on loopback; dials there fail at
        # once.
        for n, each in enumerate(self.said["known"]["events"][0]["members"]["servers"]):
            each["addr"] = f"127.0.0.1:{1 + n % 8}"
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def at(self, number: int) -> str:
        return "%s:%d" % self.held[number].getsockname()

    def write(self) -> None:
        with open(f"{self.folder}/config.json", "w", encoding="utf-8") as file:
            json.dump(self.said, file)

    def start(self) -> None:
        """Returns when it says that it serves."""
        self.write()
        self.starts += 1
        with open(f"{self.folder}/log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "corkgauge", "serve"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=tied(os.getpid()),
                env={
                    **os.environ,
                    "EDGE_CONFIG": f"{self.folder}/config.json",
                    "EDGE_LISTEN": "",
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )
        self.until(lambda: self.log().count("serving as") == self.starts)

    def until(self, there: Callable[[], Any]) -> None:
        begun = time.monotonic()
        while not there():
            if self.process.poll() is not None or time.monotonic() > begun + PATIENCE:
                raise RuntimeError(f"serve did not come so far: {self.log()[-300:]}")
            time.sleep(0.001)

    def log(self) -> str:
        with open(f"{self.folder}/log", encoding="utf-8") as file:
            return file.read()

    def spent(self) -> float:
        """Seconds of processor so far; the program has one thread."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0]) / 1e9

    def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(PATIENCE)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for each in self.held:
            each.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def restarted(engines: int, **how: int) -> tuple[float, float]:
    """Seconds of processor of the new process until it serves, and of time from SIGTERM to the old one, which has
    nothing open, until then.
    """
    bounded(1, 300)
    serve = Served(engines, **how)
    try:
        serve.start()
        begun = time.monotonic()
        serve.end()
        serve.start()
        return serve.spent(), time.monotonic() - begun
    finally:
        serve.close()


def reloaded(engines: int) -> float:
    """Ms of processor of a SIGHUP after which the feed moves, over what the process spends while it is left alone."""
    bounded(1, 300)
    serve = Served(engines)
    try:
        serve.start()
        time.sleep(0.5)
        rest = serve.spent()
        time.sleep(0.5)
        rest, serve.said["feed"] = serve.spent() - rest, serve.at(1)
        serve.write()
        before = serve.spent()
        serve.process.send_signal(signal.SIGHUP)
        serve.until(lambda: "feed moves" in serve.log())
        time.sleep(0.5)
        return max(1000 * (serve.spent() - before - rest), 0.0)
    finally:
        serve.close()


def taken(**how: int) -> float:
    """Ms of processor to read, check and state a configuration, without a list: the least that taking one costs."""
    said = json.dumps(configuration(**how))
    begun = time.process_time()
    for _ in range(20):
        build_settings(PlatformConfig(json.loads(said), ""), UnstartedHost())
    return 1000 * (time.process_time() - begun) / 20


def today(run: "Run") -> list[dict[str, Any]]:
    found: dict[int, list[float]] = {}

    def processor(engines: int) -> float:
        spent, unready = restarted(engines)
        found.setdefault(engines, []).append(unready)
        return spent

    what = "SIGTERM with nothing open, start, until the new process serves: "
    rows = [
        run.slope(
            "settings.restart.processor",
            what + "processor of the new process",
            "s",
            "engines",
            ENGINES,
            processor,
            FULL,
        )
    ]
    again = {size: iter(values) for size, values in found.items()}
    rows.append(
        run.slope(
            "settings.restart.unready",
            what + "time in which nobody is served",
            "s",
            "engines",
            ENGINES,
            lambda n: next(again[n]),
            FULL,
        )
    )
    return rows + [
        run.slope(
            "settings.reload.processor",
            "SIGHUP after which the feed alone moves",
            "ms of processor",
            "engines",
            ENGINES,
            reloaded,
            FULL,
        ),
        run.slope(
            "settings.taken.classes",
            "a configuration read, checked and stated, without a list",
            "ms of processor",
            "classes",
            (4, 16, 64, 256),
            lambda n: taken(classes=n),
            256,
        ),
        run.slope(
            "settings.taken.tenants",
            "a configuration read, checked and stated, without a list",
            "ms of processor",
            "tenants",
            (2, 20, 200, 2_000),
            lambda n: taken(tenants=n),
            2_000,
        ),
    ]


# By which way it could reach all.


def gossip(run: "Run") -> list[dict[str, Any]]:
    rows = []
    sent = {
        "delta": octets(delta()),
        "whole": octets(configuration(0, CLASSES, TENANTS)["settings"]),
    }
    for sort, size in sent.items():
        for fanout in FANOUTS[2:3] if run.quick else FANOUTS:
            for loss in LOSSES[1:2] if run.quick else LOSSES:
                found: dict[int, list[tuple[float, int, float]]] = {}

                def played(many: int) -> float:
                    seeds = found.setdefault(many, [])
                    seeds.append(
                        measure_dissemination(many, size, fanout, loss / 100, len(seeds) + 1)
                    )
                    if seeds[-1][0] < 0:
                        raise RuntimeError(
                            f"{sort}, fan-out {fanout}, {loss}% lost: not all of {many} in a minute"
                        )
                    return seeds[-1][0]

                said = f"a change spread by gossip as {sort} of {size} octets, fan-out {fanout}, {loss}% lost: "
                rows.append(
                    run.slope(
                        f"settings.gossip.{sort}.time.f{fanout}.loss{loss}",
                        said + "until all have it",
                        "s",
                        "workload managers",
                        MEMBERS,
                        played,
                        GATEWAYS,
                        repeats=SEEDS,
                        kind="simulated",
                    )
                )
                for place, name, asked, unit in (
                    (1, "peak", "sent by the busiest in its busiest second", "octets a second"),
                    (2, "mean", "sent by one until then, mean", "octets"),
                ):
                    turns = {many: iter(seeds) for many, seeds in found.items()}
                    rows.append(
                        run.slope(
                            f"settings.gossip.{sort}.{name}.f{fanout}.loss{loss}",
                            said + asked,
                            unit,
                            "workload managers",
                            MEMBERS,
                            lambda n, place=place, turns=turns: next(turns[n])[place],
                            GATEWAYS,
                            repeats=SEEDS,
                            kind="simulated",
                        )
                    )
    return rows


class Run:
    """One run of the command."""

    def __init__(self, quick: bool) -> None:
        self.quick = quick

    def slope(
        self,
        key: str,
        what: str,
        unit: str,
        by: str,
        sizes: tuple[int, ...],
        measure: Callable[[int], float],
        full: int,
        repeats: int = 3,
        kind: str = "measured",
    ) -> dict[str, Any]:
        """A row, checked at `full` by the same measure, as often; where `full` is the largest size, nothing is
        foretold.
        """
        beyond = full if full > max(sizes) else None
        repeats = 1 if self.quick else repeats

        def check(size: int) -> float:
            return median(measure(size) for _ in range(repeats))

        return slope(
            key,
            what,
            unit,
            by,
            sizes,
            measure,
            repeats=repeats,
            kind=kind,
            full=beyond,
            check=check if beyond else None,
            checked_as=kind,
            command=COMMAND,
        )


PARTS = {"sizes": sizes, "today": today, "gossip": gossip}


@click.command(
    "settings", epilog="Example: python benchmarks/scale.py settings --rows sizes,gossip --json"
)
@click.option(
    "--rows",
    "wanted",
    default=",".join(PARTS),
    show_default=True,
    help="Only these parts, by commas.",
)
@click.option("--quick", is_flag=True, help="One repeat, one fan-out: a trial, nothing is kept.")
@click.option(
    "--json", "as_json", is_flag=True, help="The rows on the standard output, for programs."
)
def command(wanted: str, quick: bool, as_json: bool) -> None:
    """A change of configuration: its cost today, its size, and the ways to all; kept in docs/capacity/settings.json.

    Starts one real process of `serve` after the other; must have the machine to itself.
    """
    names = [name for name in wanted.split(",") if name]
    if unknown := [name for name in names if name not in PARTS]:
        raise click.UsageError(f"--rows: no {unknown[0]!r}; there are {', '.join(PARTS)}")
    found = []
    # Danger: a run that is told to end would leave its folder; so that is as an interrupt.
    before = signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        for name in names:
            rows = PARTS[name](Run(quick))
            found += rows
            if not quick:
                kept("settings", rows)  # what was measured stays, whatever befalls the next part
    finally:
        signal.signal(signal.SIGTERM, before)
    if as_json:
        print(json.dumps(found, indent=1))
