"""One workload manager alone: what a statement, a list, a turn of its hub, its memory and its start cost, by sizes.

Owns which sizes are measured and what a row says. Must never be run beside other measurements.
Processor time throughout: wall time tells of the machine.
"""

import cProfile
import gc
import json
import os
import pstats
import resource
import socket
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from statistics import median
from typing import Any

import click

from benchmarks.scaling import TooLarge, bounded, fitted, kept, single, slope
from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.policy.records import EngineState
from corkgauge.testkit.fleet import profile_sampler as sampled
from corkgauge.testkit.fleet.hollow_gateway import (
    REQUESTS_PER_SECOND,
    TABLE_GROUP_COUNT,
    SocketPairFrontEnd,
    StandaloneGatewayHost,
    burn_cpu,
    engine_list_event,
)
from corkgauge.testkit.fleet.hollow_serve import HollowServeProcess

FULL, CLIENTS, OPEN = (
    1_800,
    6_670,
    10_000,
)  # databases; client connections of one; requests open at one
WINDOW, WARM = 5_060, 600  # statements measured: two seconds of them, a whole period; before that
ENGINES = 10, 40, 100, 400, 1_000
SERVED, SETTLES, LASTS = (
    200.0,
    4.0,
    5.0,
)  # on sockets: statements a second, seconds before and of a window
OPEN_CORES = 400  # a database's, where the number of open requests is what is looked at
PROFILED = 16  # functions of a profile that get a row


class Run:
    """One run of the command: what it was told, and the form of its rows."""

    def __init__(self, quick: bool, full: bool, engines: int, command: str) -> None:
        self.quick, self.full, self.engines, self.command = quick, full, engines, command
        self.window = WINDOW // 10 if quick else WINDOW

    def slope(
        self,
        key: str,
        what: str,
        unit: str,
        by: str,
        sizes: tuple[int, ...],
        measure: Callable[[int], float],
        full: int | None,
        **more: Any,
    ) -> dict[str, Any]:
        """A row; checked at `full` if so told, by the same measurement. `full` None: nothing is foretold."""

        def clean(size: int) -> float:
            gc.collect()
            return measure(size)

        more = {
            "checked_as": "measured",
            "check": clean if self.full and not self.quick else None,
            **more,
        }
        return slope(
            key,
            what,
            unit,
            by,
            sizes,
            clean,
            repeats=1 if self.quick else 3,
            full=full,
            command=self.command,
            **more,
        )


# The module alone.


def decision(run: Run, engines: int, **more: Any) -> float:
    """Ms a statement, over a window of whole periods."""
    alone = StandaloneGatewayHost(engines, **more)
    alone.play(alone.draw_requests(max(WARM, int(1.2 * alone.hold * alone.rate / 10_000))))
    statements = alone.draw_requests(run.window)
    before = alone.refused
    cost = alone.play(statements) * 1000 / run.window
    if alone.refused - before > 0.05 * run.window:
        raise RuntimeError(
            f"{alone.refused - before} of {run.window} refused before {engines} engines: another load"
        )
    return cost


DECISION = (
    "processor of the module a statement, its host's made-up clock with it: taken, handed off, answered; "
    f"870 gateways, {REQUESTS_PER_SECOND:.0f} statements a second, four classes, 20 tenants"
)


def by_engines(run: Run) -> list[dict[str, Any]]:
    what = f"{DECISION}, {TABLE_GROUP_COUNT} table groups drawn unevenly (1 / k)"
    return [
        run.slope(
            "alone.decision.engines",
            what,
            "ms",
            "engines",
            ENGINES,
            lambda n: decision(run, n),
            run.engines,
        )
    ]


def by_engines_one_group(run: Run) -> list[dict[str, Any]]:
    return [
        run.slope(
            "alone.decision.engines.one_group",
            f"{DECISION}, one table group",
            "ms",
            "engines",
            ENGINES[:4],
            lambda n: decision(run, n, groups=1),
            run.engines,
        )
    ]


def by_tenants(run: Run) -> list[dict[str, Any]]:
    return [
        run.slope(
            "alone.decision.tenants",
            f"{DECISION[: DECISION.rindex(',')]}, tenants drawn unevenly (1 / k), "
            f"{TABLE_GROUP_COUNT} table groups, 40 engines",
            "ms",
            "tenants",
            (1, 10, 100, 300),
            lambda n: decision(run, 40, tenants=n),
            1_000,
        )
    ]


def by_open(run: Run) -> list[dict[str, Any]]:
    return [
        run.slope(
            "alone.decision.open",
            f"{DECISION}, 40 engines of {OPEN_CORES} cores, each statement held as "
            "long as gives so many open at once",
            "ms",
            "open requests",
            (10, 100, 1_000, 3_000),
            lambda n: decision(
                run, 40, hold=int(n / REQUESTS_PER_SECOND * 10_000), cores=OPEN_CORES
            ),
            OPEN,
        )
    ]


def by_gateways(run: Run) -> list[dict[str, Any]]:
    what = (
        DECISION.replace("870 gateways", "so many gateways told, 40 engines")
        + f", {TABLE_GROUP_COUNT} table groups"
    )
    return [
        run.slope(
            "alone.decision.gateways",
            what,
            "ms",
            "gateways told",
            (1, 10, 100, 300),
            lambda n: decision(run, 40, gateways=n),
            870,
        )
    ]


def by_ratio(run: Run) -> list[dict[str, Any]]:
    """Paired: what stands beside each other in one run is disturbed alike."""
    rows = []
    for key, groups, part in (
        ("alone.decision.ratio", TABLE_GROUP_COUNT, 1),
        ("alone.decision.ratio.one_group", 1, 5),
    ):
        brief, ratios = Run(run.quick, run.full, run.engines, run.command), []
        brief.window = run.window // part
        for _ in range(1 if run.quick else 3):
            gc.collect()
            few = decision(brief, 40, groups=groups)
            ratios.append(decision(brief, run.engines, groups=groups) / few)
        print(f"{key}: {', '.join(f'{each:.2f}' for each in ratios)}", file=sys.stderr, flush=True)
        what = f"a decision before {run.engines} engines over one before 40, in turn; table groups: {groups}"
        rows.append(
            single(key, what, "times", "engines", run.engines, ratios, "measured", run.command)
        )
    return rows


def change(engines: int) -> float:
    """ms: one engine leaves the list, and the next statement of every table group, less what those cost anyway."""
    alone, spent = StandaloneGatewayHost(engines), []
    alone.play(alone.draw_requests(WARM))
    for leaves in False, False, True:
        statements = alone.draw_requests(TABLE_GROUP_COUNT)
        for group, (_, request) in enumerate(statements):
            request.table_group = float(group)
        begun = time.process_time()
        if leaves:
            alone.gateway.on_engine_update(alone.engines[engines // 2], EngineState.DRAINING, 0)
            alone.gateway.on_engine_list_complete()
        told = time.process_time() - begun
        spent.append(1000 * (told + alone.play(statements)))
    return max(spent[2] - spent[1], 0.0)


def by_change(run: Run) -> list[dict[str, Any]]:
    what = (
        f"one engine leaves the list: processor of the module, with what it costs the next statement of each of "
        f"{TABLE_GROUP_COUNT} table groups more"
    )
    return [run.slope("alone.decision.change", what, "ms", "engines", ENGINES, change, run.engines)]


# On sockets.


def on_sockets(
    run: Run,
    engines: int,
    rate: float = SERVED,
    start: tuple[str, ...] = ("-m", "corkgauge"),
    lasts: float = LASTS,
) -> float:
    """Ms a statement, over a window after the links have come up."""
    bounded(2, 300 + 0.1 * engines)
    serve = HollowServeProcess(engines, start=start)
    try:
        serve.start_and_wait()
        serve.until(0.3)
        rests = serve.program.cpu_seconds()
        serve.until(1)
        rests = serve.program.cpu_seconds() - rests
        serve.start_clients(rate)
        serve.until(SETTLES / (4 if run.quick else 1))
        begun, asked, lasts = (
            serve.program.cpu_seconds(),
            serve.sent_request_count(),
            lasts / (4 if run.quick else 1),
        )
        serve.until(lasts)
        spent, asked = serve.program.cpu_seconds() - begun, serve.sent_request_count() - asked
        tally = serve.tally()
        if tally["served"] < 0.95 * (tally["asked"] - tally["none"]):
            raise RuntimeError(f"another load: {tally}")
        return 1000 * (spent - lasts * rests) / asked
    finally:
        serve.close()


def by_sockets(run: Run) -> list[dict[str, Any]]:
    what = (
        f"processor of the serving process a statement, whole, on real frames: {SERVED:.0f} statements a second by "
        "8 clients, 40 table groups, results of one to three pages; less what it spends at rest; after "
        f"{SETTLES:.0f} s in which links come up"
    )
    return [
        run.slope(
            "alone.statement.sockets",
            what,
            "ms",
            "engines",
            ENGINES[:4],
            lambda n: on_sockets(run, n),
            run.engines,
        )
    ]


def by_rate(run: Run) -> list[dict[str, Any]]:
    what = (
        "processor of the serving process a statement, whole, on real frames, 40 engines, by how many come; else "
        "as alone.statement.sockets"
    )
    return [
        run.slope(
            "alone.statement.rate",
            what,
            "ms",
            "statements a second",
            (50, 200, 500, 1_000),
            lambda n: on_sockets(run, 40, n),
            None,
        )
    ]  # it falls in size: a line says nothing of 2,530


# The list.


def list_start(engines: int) -> float:
    front, data = SocketPairFrontEnd(0), json.dumps(engine_list_event(2, engines))
    begun = time.process_time()
    front.apply_list_event(data)
    return 1000 * (time.process_time() - begun)


def list_change(engines: int) -> float:
    front, spent = SocketPairFrontEnd(engines), []
    for n in range(5):
        data = front.next_restart_event(n % engines)
        begun = time.process_time()
        front.apply_list_event(data)
        spent.append(1000 * (time.process_time() - begun))
    return median(spent)


def by_list(run: Run) -> list[dict[str, Any]]:
    return [
        run.slope(
            "alone.list.start",
            "processor to take in a whole list, as the feed tells it",
            "ms",
            "engines",
            ENGINES,
            list_start,
            run.engines,
        ),
        run.slope(
            "alone.list.change",
            "processor to take in an event that one engine has started anew",
            "ms",
            "engines in the list",
            ENGINES,
            list_change,
            run.engines,
        ),
    ]


# Memory, by tracemalloc: what the program's objects hold; not the system's buffers of sockets.


def held(make: Callable[[], Callable[[], Any]]) -> float:
    """KB that what `make()` returns holds more once it was called; its own making is not counted."""
    grow = make()
    gc.collect()
    tracemalloc.start()
    try:
        kept_alive = grow()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0] / 1024
    finally:
        tracemalloc.stop()
    del kept_alive
    return size


def descriptors(wanted: int) -> None:
    """Refuse beforehand what would pass the limit on open files, which stays as it is."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if wanted + 64 > most:
        raise TooLarge(f"{wanted} descriptors, {most - 64} at most")


def memory_of_engines(engines: int) -> float:
    return held(lambda: lambda: SocketPairFrontEnd(engines))


def memory_of_links(links: int) -> float:
    descriptors(2 * links)
    front = SocketPairFrontEnd(100)
    try:

        def grow() -> None:
            for n in range(links):
                front.add_engine_connection(n % 100)
            front.turn()

        return held(lambda: grow)
    finally:
        front.close()


def memory_of_clients(clients: int) -> float:
    descriptors(2 * clients)
    front = SocketPairFrontEnd(1)
    try:

        def grow() -> None:
            for _ in range(clients):
                front.client()
            front.turn()

        return held(lambda: grow)
    finally:
        front.close()


def memory_of_open(count: int) -> float:
    clients, engines = -(-count // 30), 40
    descriptors(2 * clients + 2 * 10 * engines)
    front = SocketPairFrontEnd(engines, 2_000)
    try:
        for n in range(10 * engines):
            front.add_engine_connection(n % engines)
        client_connections = [front.client() for _ in range(clients)]
        front.turn()

        def grow() -> None:
            for n in range(count):
                front.send_request(client_connections[n % clients], 1 + n // clients)
                if n % 200 == 199:
                    front.turn(2)
            front.turn(8)

        size = held(lambda: grow)
        if len(front.socket_host.open_requests) != count:
            raise RuntimeError(
                f"{len(front.socket_host.open_requests)} open of {count}; counters {dict(front.socket_host.counters)}, "
                f"open {[len(each.open) for each in front.socket_host.client_connections]}, "
                f"unread {[len(each.link.machine.inward) for each in front.socket_host.client_connections]}"
            )
        return size
    finally:
        front.close()


def memory_of_tenants(tenants: int) -> float:
    def make() -> Callable[[], Any]:
        return lambda: StandaloneGatewayHost(40, tenants=tenants)

    return held(make)


def by_memory(run: Run) -> list[dict[str, Any]]:
    what = "KB held by the program's own objects (tracemalloc, without the system's buffers): "
    return [
        run.slope(
            "alone.memory.engines",
            what + "a list, no links",
            "KB",
            "engines",
            ENGINES,
            memory_of_engines,
            run.engines,
        ),
        run.slope(
            "alone.memory.links",
            what + "links to engines, quiet, each with its two rings",
            "KB",
            "links",
            (10, 100, 400, 1_000),
            memory_of_links,
            2 * FULL,
        ),
        run.slope(
            "alone.memory.clients",
            what + "client connections, quiet, each with its two rings",
            "KB",
            "client connections",
            (10, 100, 400, 1_000),
            memory_of_clients,
            CLIENTS,
        ),
        run.slope(
            "alone.memory.open",
            what + "open requests of 200 bytes, handed off, beside their connections",
            "KB",
            "open requests",
            (10, 100, 1_000, 3_000),
            memory_of_open,
            OPEN,
        ),
        run.slope(
            "alone.memory.tenants",
            what + "the module with 40 engines and four queues a tenant",
            "KB",
            "tenants",
            (1, 10, 100, 300),
            memory_of_tenants,
            1_000,
        ),
    ]


# A turn of the hub.


def turn(run: Run, count: int) -> float:
    """Ms of a turn that polls so many descriptors, one of which has something to read each time."""
    descriptors(count + 8)
    event_loop, (mine, its), (idle, other) = EventLoop(), socket.socketpair(), socket.socketpair()
    fds = [os.dup(idle.fileno()) for _ in range(count - 1)]
    try:

        def reads() -> None:
            while its.fileno() >= 0 and event_loop.wait(its.fileno(), READ):
                its.recv(16)

        event_loop.spawn(reads)
        for fd in fds:
            event_loop.spawn(event_loop.wait, fd, READ)
        for _ in range(20):
            mine.send(b"x")
            event_loop.turn(0)
        turns = 50 if run.quick else 400
        begun = time.process_time()
        for _ in range(turns):
            mine.send(b"x")
            event_loop.turn(0)
        return 1000 * (time.process_time() - begun) / turns
    finally:
        event_loop.parked.clear()
        for fd in fds:
            os.close(fd)
        for each in mine, its, idle, other:
            each.close()


def by_turn(run: Run) -> list[dict[str, Any]]:
    return [
        run.slope(
            "alone.turn.descriptors",
            "processor of one turn of the hub, one of its descriptors readable",
            "ms",
            "descriptors polled",
            (10, 100, 1_000, 10_000),
            lambda n: turn(run, n),
            CLIENTS + FULL,
        )
    ]


# The start.


def by_ready(run: Run) -> list[dict[str, Any]]:
    resident: dict[int, list[float]] = {}

    def ready(engines: int) -> float:
        bounded(2, 100 + 0.1 * engines)
        serve = HollowServeProcess(engines)
        try:
            _, processor = serve.start_and_wait()
            resident.setdefault(engines, []).append(serve.program.memory() / 2**20)
            return processor
        finally:
            serve.close()

    row = run.slope(
        "alone.ready.engines",
        "start of the serving process until it tells a client that it is ready, "
        "with so many engines in the list that it starts from: processor seconds, what it takes with a "
        "core of its own",
        "s",
        "engines",
        ENGINES,
        ready,
        run.engines,
    )
    tenth = {
        **row,
        "key": "alone.ready.engines.tenth",
        "kind": "paper",
        "what": "the same with a tenth of a core: processor seconds by ten",
        "points": [
            {
                "at": p["at"],
                "values": [10 * value for value in p["values"]],
                **{name: 10 * p[name] for name in ("median", "least", "most")},
            }
            for p in row["points"]
        ],
    }
    tenth["fit"] = fitted([(p["at"], p["median"]) for p in tenth["points"]])
    tenth["foretold"] = {**row["foretold"], "value": 10 * row["foretold"]["value"]}
    tenth.pop("checked", None)  # nothing of it was measured
    rss = {
        "key": "alone.memory.serve",
        "unit": "MB",
        "by": "engines",
        "kind": "measured",
        "what": "resident memory of the serving process as it is ready, no client or link yet",
        "points": [
            {
                "at": p["at"],
                "values": resident[p["at"]],
                "median": median(resident[p["at"]]),
                "least": min(resident[p["at"]]),
                "most": max(resident[p["at"]]),
            }
            for p in row["points"]
        ],
        "command": run.command,
    }
    rss["fit"] = fitted([(p["at"], p["median"]) for p in rss["points"]])
    return [row, tenth, rss]


# Where it goes.


def by_profile(run: Run) -> list[dict[str, Any]]:
    """Functions of the module by their own time, as parts (cProfile) of what a statement costs without it."""
    rows = []
    for engines in 10, 40:
        gc.collect()
        whole = median(1000 * decision(run, engines) for _ in range(3))
        alone = StandaloneGatewayHost(engines)
        alone.play(alone.draw_requests(WARM))
        statements, profile = alone.draw_requests(run.window), cProfile.Profile()
        profile.runcall(alone.play, statements)
        found: dict[str, list[float]] = {}
        for (file, _, name), (_, calls, own, _, _) in pstats.Stats(profile).stats.items():
            place = os.path.basename(file)
            place = (
                "the stand-in host" if place == "hollow_one.py" else "" if file == "~" else place
            )
            entry = found.setdefault(
                place if place == "the stand-in host" else f"{place}:{name}", [0.0, 0.0]
            )
            entry[0] += own
            entry[1] += calls
        total = sum(own for own, _ in found.values())
        rows.append(
            single(
                f"alone.profile.{engines}.whole",
                f"a statement before {engines} engines, without the profiler",
                "µs",
                "engines",
                engines,
                [whole],
                "measured",
                run.command,
            )
        )
        ordered = sorted(found.items(), key=lambda each: -each[1][0])
        for rank, (name, (own, calls)) in enumerate(ordered[:PROFILED], 1):
            share = own / total
            print(
                f"alone.profile.{engines}: {share:6.1%} {share * whole:7.2f} µs {calls / run.window:7.2f} calls  "
                f"{name}",
                file=sys.stderr,
                flush=True,
            )
            rows.append(
                single(
                    f"alone.profile.{engines}.{rank:02d}",
                    f"{name}: its own time, {calls / run.window:.1f} calls a statement",
                    "µs",
                    "engines",
                    engines,
                    [share * whole],
                    "measured",
                    run.command,
                )
            )
    return rows


def by_profile_sockets(run: Run) -> list[dict[str, Any]]:
    """The serving process before 40 engines under a sampler: parts of what a statement costs without one."""
    whole = 1000 * median(on_sockets(run, 40) for _ in range(1 if run.quick else 3))
    with tempfile.NamedTemporaryFile(suffix=".stacks") as file:
        watched = 1000 * on_sockets(
            run,
            40,
            start=("-m", "corkgauge.testkit.fleet.profile_sampler", file.name),
            lasts=4 * LASTS,
        )
        looks, on_top, within = sampled.read_samples(file.name)
    print(
        f"alone.profile.sockets: {whole:.0f} µs a statement, {watched:.0f} watched, {looks} samples",
        file=sys.stderr,
        flush=True,
    )
    own: Counter[str] = Counter()
    for name, count in on_top.items():
        file = name if name.startswith("library") else name.partition(":")[0]
        own[file] += count
    for name in [*within]:  # what stands beneath all of it tells nothing
        if name.startswith(
            (
                "library",
                "standins",
                "commands",
                "daemon",
                "eventloop/loop.py:run",
                "eventloop/loop.py:turn",
            )
        ):
            del within[name]
    tables = (
        ("file", own, "its own time"),
        ("function", on_top, "its own time"),
        ("within", within, "with all that it calls"),
    )
    rows = [
        single(
            "alone.profile.sockets.whole",
            "a statement on sockets before 40 engines, without the sampler",
            "µs",
            "engines",
            40,
            [whole],
            "measured",
            run.command,
        )
    ]
    for sort, table, of in tables:
        for rank, (name, count) in enumerate(
            table.most_common(PROFILED + 16 * (sort == "within")), 1
        ):
            share = count / looks
            print(
                f"alone.profile.sockets.{sort}: {share:6.1%} {share * whole:7.1f} µs  {name}",
                file=sys.stderr,
            )
            rows.append(
                single(
                    f"alone.profile.sockets.{sort}.{rank:02d}",
                    f"{name}: {of}",
                    "µs",
                    "engines",
                    40,
                    [share * whole],
                    "measured",
                    run.command,
                )
            )
    return rows


PARTS: dict[str, Callable[[Run], list[dict[str, Any]]]] = {
    "alone.decision.engines": by_engines,
    "alone.decision.engines.one_group": by_engines_one_group,
    "alone.decision.tenants": by_tenants,
    "alone.decision.open": by_open,
    "alone.decision.gateways": by_gateways,
    "alone.decision.ratio": by_ratio,
    "alone.decision.change": by_change,
    "alone.statement.sockets": by_sockets,
    "alone.statement.rate": by_rate,
    "alone.list": by_list,
    "alone.memory": by_memory,
    "alone.turn.descriptors": by_turn,
    "alone.ready.engines": by_ready,
    "alone.profile": by_profile,
    "alone.profile.sockets": by_profile_sockets,
}


@click.command(
    epilog="Example: python benchmarks/scale.py alone --rows alone.list,alone.memory --json"
)
@click.option(
    "--json", "as_json", is_flag=True, help="The rows on the standard output, for programs."
)
@click.option(
    "--rows", multiple=True, metavar="KEY...", help=f"Only these, by commas: {', '.join(PARTS)}."
)
@click.option(
    "--quick",
    is_flag=True,
    help="A tenth of the statements, one repeat, no check: nothing is kept.",
)
@click.option(
    "--full",
    is_flag=True,
    help="Measure at full size too, and print the error of what was foretold.",
)
@click.option(
    "--engines",
    default=FULL,
    show_default=True,
    type=click.IntRange(1),
    help="Full size, in databases.",
)
@click.option(
    "--suffix",
    default="",
    metavar="TEXT",
    help="Keep the rows under keys that end so too, as .before.",
)
def command(
    as_json: bool, rows: tuple[str, ...], quick: bool, full: bool, engines: int, suffix: str
) -> None:
    """One workload manager, alone: slopes of its cost, kept in docs/capacity/alone.json."""
    asked = [key for each in rows for key in each.split(",") if key] or [*PARTS]
    wanted: dict[str, None] = {}
    for key in asked:  # a row of a part that measures several is measured with the others
        if not (parts := [part for part in PARTS if key == part or key.startswith(part + ".")]):
            raise click.UsageError(f"--rows: no {key!r}; there are {', '.join(PARTS)}")
        wanted[max(parts, key=len)] = None
    bounded(2, 200 + 0.2 * engines)
    said = " ".join(
        [
            "python benchmarks/scale.py alone",
            *(f"--rows {key}" for key in rows),
            *(["--full"] if full else []),
            *([f"--engines {engines}"] if engines != FULL else []),
            *([f"--suffix {suffix}"] if suffix else []),
        ]
    )
    run, found = Run(quick, full, engines, said), []
    gc.disable()  # as the program that serves does
    burn_cpu(0.3)
    for key in wanted:
        part = PARTS[key](run)
        found += part
        if not quick:
            kept("alone", part + [{**row, "key": row["key"] + suffix} for row in part if suffix])
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        for row in found:
            points = "  ".join(f"{p['at']}: {p['median']:.4g}" for p in row["points"])
            click.echo(f"{row['key']} [{row['unit']}] {points}")
