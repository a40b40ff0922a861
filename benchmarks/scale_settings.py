"""Measures a change of configuration: its present cost, its size, and ways to distribute it.

A restart is measured with real `serve` processes, all of which end with the command. Gossip is
simulated (corkgauge/model/dissemination.py). Quick runs are not stored.
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

from benchmarks.scaling import build_single_size_row, check_trial_size, measure_slope, save_rows
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.model.dissemination import measure_dissemination
from corkgauge.net.discovery_protocol import DiscoveryProtocol
from corkgauge.net.host import UnstartedHost, build_settings
from corkgauge.testkit.fleet.day import ENGINE_KINDS, settings
from corkgauge.testkit.fleet.parent_process import kill_with_parent

FULL_ENGINE_COUNT, FULL_GATEWAY_COUNT = 1_800, 870
ENGINE_COUNTS = 10, 40, 100, 400, 1_000
MEMBER_COUNTS = 30, 100, 300, 600
# Size of the distributed configuration; this project's figures, not stated by the users.
CLASS_COUNT, TENANT_COUNT = 20, 1_000
FANOUTS, LOSS_PERCENTAGES = (1, 2, 3, 5), (0, 10, 30)
SEED_COUNT = 5
COMMAND = "python benchmarks/scale.py settings"
TIMEOUT_SECONDS = 60.0
READ_SIZE_BYTES = 4_096  # size of the chunks passed to the parser of the engine list feed


def configuration(
    engines: int = 0,
    classes: int = 4,
    tenants: int = 2,
    feed: str = "127.0.0.1:1",
    listen: str = "127.0.0.1:1",
    id_size: int = 8,
) -> dict[str, Any]:
    """Builds a configuration as a platform provides it, with the engine list known at startup."""
    settings_document = settings()
    profiles = settings_document["profiles"]
    settings_document["profiles"] = [
        {**profiles[n % len(profiles)], "name": f"class-{n:03d}"} for n in range(classes)
    ]
    settings_document["customers"] = [{"name": f"tenant-{n:05d}"} for n in range(tenants)]
    settings_document.update(instances=FULL_GATEWAY_COUNT, myNumber=17)
    servers = [
        {
            "id": f"e{n:0{id_size - 1}d}",
            "addr": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:9090",
            "zone": settings_document["azs"][n % 2],
            "kind": ENGINE_KINDS[n % 2],
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
        "settings": settings_document,
    }


def json_octets(value: Any, spaced: bool = False) -> int:
    """Returns the size as JSON, compact or with the spaces that most JSON writers insert."""
    return len(json.dumps(value, separators=None if spaced else (",", ":")).encode())


# Size of a configuration.


def build_delta() -> Any:
    """Builds a delta that changes the objective of one request class.

    The change is a JSON merge patch (RFC 7396) of settings that hold classes by name. It carries
    the version that it applies to and the digest of the result.
    """
    return {
        "version": 4711,
        "after": 4710,
        "digest": "0" * 64,
        "by": "operator@example",
        "change": {"profiles": {"class-007": {"objectiveUs": 250_000}}},
    }


class EventCounter:
    """Counts the events that the parser of the feed delivers."""

    def __init__(self) -> None:
        self.event_count = 0

    def on_event(self, number: str, data: str) -> str:
        self.event_count += 1
        return ""


def build_list_event(engines: int, id_size: int = 8) -> Any:
    """Builds the whole engine list as a single event of the feed."""
    return configuration(engines, id_size=id_size)["known"]["events"][0]


def is_list_accepted(engines: int, id_size: int, spaced: bool) -> bool:
    """Checks whether the program's parser accepts the whole list as a single event."""
    event_counter = EventCounter()
    protocol = DiscoveryProtocol(event_counter, MemoryBudget(2**24))
    event = json.dumps(
        build_list_event(engines, id_size), separators=None if spaced else (",", ":")
    )
    data = (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: {event}\n\n"
    ).encode()
    for at in range(0, len(data), READ_SIZE_BYTES):
        protocol.inward.put(data[at : at + READ_SIZE_BYTES])
        if protocol.parse_input():
            return False
    return event_counter.event_count == 1


def find_largest_accepted_list(id_size: int, spaced: bool) -> int:
    """Finds the largest number of engines in an accepted whole list, by bisection."""
    low, high = 0, 20 * FULL_ENGINE_COUNT
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if is_list_accepted(middle, id_size, spaced) else (low, middle)
    return low


def measure_sizes(run: "Run") -> list[dict[str, Any]]:
    def settings(**options: int) -> int:
        return json_octets(configuration(**options)["settings"])

    rows = [
        run.measure_slope(
            "settings.octets.classes",
            "settings as JSON, two tenants",
            "octets",
            "classes",
            (4, 16, 64, 256),
            lambda n: settings(classes=n, tenants=2),
            256,
            repeats=1,
        ),
        run.measure_slope(
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
    for name, text, size, spaced in (
        ("", "ids of 8 characters", 8, True),
        (".long", "ids of 36 characters", 36, True),
        (".compact", "ids of 8 characters, JSON without spaces", 8, False),
    ):
        rows += [
            run.measure_slope(
                "settings.list.octets" + name,
                f"the whole list as one event, {text}",
                "octets",
                "engines",
                ENGINE_COUNTS,
                lambda n, size=size, spaced=spaced: json_octets(build_list_event(n, size), spaced),
                FULL_ENGINE_COUNT,
                repeats=1,
            ),
            build_single_size_row(
                "settings.list.most" + name,
                f"most engines whose whole list the reader of the feed takes, {text}",
                "engines",
                "characters of an id",
                size,
                [find_largest_accepted_list(size, spaced)],
                "measured",
                COMMAND,
            ),
        ]
    whole = json_octets(configuration(0, CLASS_COUNT, TENANT_COUNT)["settings"])
    return rows + [
        build_single_size_row(
            "settings.octets.whole",
            f"settings of {CLASS_COUNT} classes and {TENANT_COUNT} tenants, as JSON",
            "octets",
            "classes",
            CLASS_COUNT,
            [whole],
            "measured",
            COMMAND,
        ),
        build_single_size_row(
            "settings.octets.delta",
            "one class gets another promised time, as a merge patch with its digest",
            "octets",
            "classes",
            1,
            [json_octets(build_delta())],
            "paper",
            COMMAND,
        ),
    ]


# Present cost.


class ServeProcess:
    """A real `serve` process with a temporary folder; it is killed when this process ends."""

    def __init__(self, engines: int, classes: int = 4, tenants: int = 2) -> None:
        self.folder = tempfile.mkdtemp(prefix="corkgauge-")
        self.feed_sockets = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(2)
        ]  # two feed addresses without a server
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            self.address = free_socket.getsockname()
        self.configuration = configuration(
            engines, classes, tenants, self.feed_address(0), "%s:%d" % self.address
        )
        # Nothing listens at these loopback ports, so that connections to engines fail at once.
        for n, each in enumerate(self.configuration["known"]["events"][0]["members"]["servers"]):
            each["addr"] = f"127.0.0.1:{1 + n % 8}"
        self.process: subprocess.Popen | None = None
        self.start_count = 0

    def feed_address(self, number: int) -> str:
        return "%s:%d" % self.feed_sockets[number].getsockname()

    def write(self) -> None:
        with open(f"{self.folder}/config.json", "w", encoding="utf-8") as file:
            json.dump(self.configuration, file)

    def start(self) -> None:
        """Starts the process and waits until its log says that it serves."""
        self.write()
        self.start_count += 1
        with open(f"{self.folder}/log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "corkgauge", "serve"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=kill_with_parent(os.getpid()),
                env={
                    **os.environ,
                    "EDGE_CONFIG": f"{self.folder}/config.json",
                    "EDGE_LISTEN": "",
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )
        self.wait_until(lambda: self.log().count("serving as") == self.start_count)

    def wait_until(self, is_done: Callable[[], Any]) -> None:
        started_at = time.monotonic()
        while not is_done():
            if self.process.poll() is not None or time.monotonic() > started_at + TIMEOUT_SECONDS:
                raise RuntimeError(
                    "serve ended or did not reach the expected state in time; "
                    f"end of its log: {self.log()[-300:]}"
                )
            time.sleep(0.001)

    def log(self) -> str:
        with open(f"{self.folder}/log", encoding="utf-8") as file:
            return file.read()

    def processor_seconds(self) -> float:
        """Returns the processor time used so far, in seconds; the program has one thread."""
        with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0]) / 1e9

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(TIMEOUT_SECONDS)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for each in self.feed_sockets:
            each.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def measure_restart(engines: int, **options: int) -> tuple[float, float]:
    """Restarts a process that has no open requests.

    Returns:
        Processor seconds of the new process until it serves, and wall seconds from SIGTERM to the
        old process until the new process serves.
    """
    check_trial_size(1, 300)
    serve = ServeProcess(engines, **options)
    try:
        serve.start()
        started_at = time.monotonic()
        serve.stop()
        serve.start()
        return serve.processor_seconds(), time.monotonic() - started_at
    finally:
        serve.close()


def measure_reload_ms(engines: int) -> float:
    """Returns processor ms of a reload (SIGHUP) that moves the feed, above the cost at rest."""
    check_trial_size(1, 300)
    serve = ServeProcess(engines)
    try:
        serve.start()
        time.sleep(0.5)
        idle_seconds = serve.processor_seconds()
        time.sleep(0.5)
        idle_seconds, serve.configuration["feed"] = (
            serve.processor_seconds() - idle_seconds,
            serve.feed_address(1),
        )
        serve.write()
        before = serve.processor_seconds()
        serve.process.send_signal(signal.SIGHUP)
        serve.wait_until(lambda: "feed moves" in serve.log())
        time.sleep(0.5)
        return max(1000 * (serve.processor_seconds() - before - idle_seconds), 0.0)
    finally:
        serve.close()


def measure_configuration_load_ms(**options: int) -> float:
    """Returns processor ms to parse, validate and build a configuration without an engine list.

    This is the minimum cost of applying a configuration.
    """
    text = json.dumps(configuration(**options))
    started_at = time.process_time()
    for _ in range(20):
        build_settings(PlatformConfig(json.loads(text), ""), UnstartedHost())
    return 1000 * (time.process_time() - started_at) / 20


def measure_current_cost(run: "Run") -> list[dict[str, Any]]:
    found: dict[int, list[float]] = {}

    def processor(engines: int) -> float:
        spent, unready = measure_restart(engines)
        found.setdefault(engines, []).append(unready)
        return spent

    what = "SIGTERM with nothing open, start, until the new process serves: "
    rows = [
        run.measure_slope(
            "settings.restart.processor",
            what + "processor of the new process",
            "s",
            "engines",
            ENGINE_COUNTS,
            processor,
            FULL_ENGINE_COUNT,
        )
    ]
    values_by_size = {size: iter(values) for size, values in found.items()}
    rows.append(
        run.measure_slope(
            "settings.restart.unready",
            what + "time in which nobody is served",
            "s",
            "engines",
            ENGINE_COUNTS,
            lambda n: next(values_by_size[n]),
            FULL_ENGINE_COUNT,
        )
    )
    return rows + [
        run.measure_slope(
            "settings.reload.processor",
            "SIGHUP after which the feed alone moves",
            "ms of processor",
            "engines",
            ENGINE_COUNTS,
            measure_reload_ms,
            FULL_ENGINE_COUNT,
        ),
        run.measure_slope(
            "settings.taken.classes",
            "a configuration read, checked and stated, without a list",
            "ms of processor",
            "classes",
            (4, 16, 64, 256),
            lambda n: measure_configuration_load_ms(classes=n),
            256,
        ),
        run.measure_slope(
            "settings.taken.tenants",
            "a configuration read, checked and stated, without a list",
            "ms of processor",
            "tenants",
            (2, 20, 200, 2_000),
            lambda n: measure_configuration_load_ms(tenants=n),
            2_000,
        ),
    ]


# Distribution to all workload managers.


def measure_gossip(run: "Run") -> list[dict[str, Any]]:
    rows = []
    sent = {
        "delta": json_octets(build_delta()),
        "whole": json_octets(configuration(0, CLASS_COUNT, TENANT_COUNT)["settings"]),
    }
    for payload, size in sent.items():
        for fanout in FANOUTS[2:3] if run.quick else FANOUTS:
            for loss in LOSS_PERCENTAGES[1:2] if run.quick else LOSS_PERCENTAGES:
                found: dict[int, list[tuple[float, int, float]]] = {}

                def simulate(members: int) -> float:
                    seeds = found.setdefault(members, [])
                    seeds.append(
                        measure_dissemination(members, size, fanout, loss / 100, len(seeds) + 1)
                    )
                    if seeds[-1][0] < 0:
                        raise RuntimeError(
                            f"{payload}, fan-out {fanout}, {loss}% lost: the change did not reach "
                            f"all of {members} members in a minute"
                        )
                    return seeds[-1][0]

                text = (
                    f"a change spread by gossip as {payload} of {size} octets, fan-out {fanout}, "
                    f"{loss}% lost: "
                )
                rows.append(
                    run.measure_slope(
                        f"settings.gossip.{payload}.time.f{fanout}.loss{loss}",
                        text + "until all have it",
                        "s",
                        "workload managers",
                        MEMBER_COUNTS,
                        simulate,
                        FULL_GATEWAY_COUNT,
                        repeats=SEED_COUNT,
                        kind="simulated",
                    )
                )
                for position, name, value_text, unit in (
                    (1, "peak", "sent by the busiest in its busiest second", "octets a second"),
                    (2, "mean", "sent by one until then, mean", "octets"),
                ):
                    values_by_size = {members: iter(seeds) for members, seeds in found.items()}
                    rows.append(
                        run.measure_slope(
                            f"settings.gossip.{payload}.{name}.f{fanout}.loss{loss}",
                            text + value_text,
                            unit,
                            "workload managers",
                            MEMBER_COUNTS,
                            lambda n, position=position, values_by_size=values_by_size: next(
                                values_by_size[n]
                            )[position],
                            FULL_GATEWAY_COUNT,
                            repeats=SEED_COUNT,
                            kind="simulated",
                        )
                    )
    return rows


class Run:
    """One run of the command, with the number of its repeats."""

    def __init__(self, quick: bool) -> None:
        self.quick = quick

    def measure_slope(
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
        """Measures a row by size and checks the extrapolation at `full`.

        The check uses the same measurement and the same number of repeats. There is no
        extrapolation where `full` is not larger than the largest size.
        """
        extrapolated_size = full if full > max(sizes) else None
        repeats = 1 if self.quick else repeats

        def check(size: int) -> float:
            return median(measure(size) for _ in range(repeats))

        return measure_slope(
            key,
            what,
            unit,
            by,
            sizes,
            measure,
            repeats=repeats,
            kind=kind,
            full=extrapolated_size,
            check=check if extrapolated_size else None,
            checked_as=kind,
            command=COMMAND,
        )


PARTS = {"sizes": measure_sizes, "today": measure_current_cost, "gossip": measure_gossip}


@click.command(
    "settings", epilog="Example: python benchmarks/scale.py settings --rows sizes,gossip --json"
)
@click.option(
    "--rows",
    "wanted",
    default=",".join(PARTS),
    show_default=True,
    help="Parts to measure, separated by commas.",
)
@click.option("--quick", is_flag=True, help="One repeat, one fan-out; nothing is stored.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print the rows as JSON on the standard output."
)
def command(wanted: str, quick: bool, as_json: bool) -> None:
    """Measure a change of configuration: present cost, size, and ways to distribute it.

    Rows are stored in docs/capacity/settings.json. Starts real `serve` processes, one after the
    other; run nothing else on the machine at the same time.
    """
    names = [name for name in wanted.split(",") if name]
    if unknown := [name for name in names if name not in PARTS]:
        raise click.UsageError(f"--rows: no {unknown[0]!r}; valid parts are {', '.join(PARTS)}")
    found = []
    # SIGTERM is handled as an interrupt: its default action would leave the temporary folder.
    before = signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        for name in names:
            rows = PARTS[name](Run(quick))
            found += rows
            if not quick:
                save_rows("settings", rows)  # stored now, in case the next part fails
    finally:
        signal.signal(signal.SIGTERM, before)
    if as_json:
        print(json.dumps(found, indent=1))
