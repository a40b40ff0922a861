"""Measures one workload manager: statements, engine list, event loop turns, memory and startup.

This module defines the measured sizes and the rows. All times are processor time, because wall
time depends on the load of the machine. Run no other measurement at the same time.
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

from benchmarks.scaling import (
    TrialTooLargeError,
    build_single_size_row,
    check_trial_size,
    fit_slope,
    measure_slope,
    save_rows,
)
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

# Full size: engines, and client connections and open requests of one workload manager.
FULL_ENGINE_COUNT, FULL_CLIENT_CONNECTION_COUNT, FULL_OPEN_REQUEST_COUNT = (
    1_800,
    6_670,
    10_000,
)
# The measured window is two seconds of statements, a whole feedback period, after the warm-up.
WINDOW_STATEMENT_COUNT, WARM_UP_STATEMENT_COUNT = 5_060, 600
ENGINE_COUNTS = 10, 40, 100, 400, 1_000
# Load on sockets; the links come up in the settling time before the measured window.
STATEMENTS_PER_SECOND, SETTLE_SECONDS, WINDOW_SECONDS = 200.0, 4.0, 5.0
OPEN_REQUEST_ENGINE_CORES = 400  # of each engine, for measurements by number of open requests
PROFILE_ROW_COUNT = 16  # functions of a profile, each with a row


class Run:
    """One run of the command: its options, and how rows are measured."""

    def __init__(self, quick: bool, full: bool, engines: int, command: str) -> None:
        self.quick, self.full, self.engines, self.command = quick, full, engines, command
        self.window = WINDOW_STATEMENT_COUNT // 10 if quick else WINDOW_STATEMENT_COUNT

    def measure_slope(
        self,
        key: str,
        what: str,
        unit: str,
        by: str,
        sizes: tuple[int, ...],
        measure: Callable[[int], float],
        full: int | None,
        **options: Any,
    ) -> dict[str, Any]:
        """Measures a row by size.

        Where the command runs with --full, the cost at `full` is checked by the same
        measurement. None as `full` gives no extrapolation.
        """

        def measure_after_collection(size: int) -> float:
            gc.collect()
            return measure(size)

        options = {
            "checked_as": "measured",
            "check": measure_after_collection if self.full and not self.quick else None,
            **options,
        }
        return measure_slope(
            key,
            what,
            unit,
            by,
            sizes,
            measure_after_collection,
            repeats=1 if self.quick else 3,
            full=full,
            command=self.command,
            **options,
        )


# The policy module without sockets.


def measure_decision_ms(run: Run, engines: int, **options: Any) -> float:
    """Returns ms per statement, over a window of whole feedback periods."""
    alone = StandaloneGatewayHost(engines, **options)
    alone.play(
        alone.draw_requests(
            max(WARM_UP_STATEMENT_COUNT, int(1.2 * alone.hold * alone.rate / 10_000))
        )
    )
    statements = alone.draw_requests(run.window)
    before = alone.refused
    cost = alone.play(statements) * 1000 / run.window
    if alone.refused - before > 0.05 * run.window:
        raise RuntimeError(
            f"policy refused {alone.refused - before} of {run.window} statements before {engines} "
            "engines, more than 5%: the load is not comparable"
        )
    return cost


DECISION_TEXT = (
    "processor of the module a statement, its host's made-up clock with it: taken, handed off, "
    "answered; "
    f"870 gateways, {REQUESTS_PER_SECOND:.0f} statements a second, four classes, 20 tenants"
)


def decision_rows_by_engine_count(run: Run) -> list[dict[str, Any]]:
    what = f"{DECISION_TEXT}, {TABLE_GROUP_COUNT} table groups drawn unevenly (1 / k)"
    return [
        run.measure_slope(
            "alone.decision.engines",
            what,
            "ms",
            "engines",
            ENGINE_COUNTS,
            lambda n: measure_decision_ms(run, n),
            run.engines,
        )
    ]


def decision_rows_with_one_table_group(run: Run) -> list[dict[str, Any]]:
    return [
        run.measure_slope(
            "alone.decision.engines.one_group",
            f"{DECISION_TEXT}, one table group",
            "ms",
            "engines",
            ENGINE_COUNTS[:4],
            lambda n: measure_decision_ms(run, n, groups=1),
            run.engines,
        )
    ]


def decision_rows_by_tenant_count(run: Run) -> list[dict[str, Any]]:
    return [
        run.measure_slope(
            "alone.decision.tenants",
            f"{DECISION_TEXT[: DECISION_TEXT.rindex(',')]}, tenants drawn unevenly (1 / k), "
            f"{TABLE_GROUP_COUNT} table groups, 40 engines",
            "ms",
            "tenants",
            (1, 10, 100, 300),
            lambda n: measure_decision_ms(run, 40, tenants=n),
            1_000,
        )
    ]


def decision_rows_by_open_request_count(run: Run) -> list[dict[str, Any]]:
    return [
        run.measure_slope(
            "alone.decision.open",
            f"{DECISION_TEXT}, 40 engines of {OPEN_REQUEST_ENGINE_CORES} cores, each statement "
            "held as "
            "long as gives so many open at once",
            "ms",
            "open requests",
            (10, 100, 1_000, 3_000),
            lambda n: measure_decision_ms(
                run, 40, hold=int(n / REQUESTS_PER_SECOND * 10_000), cores=OPEN_REQUEST_ENGINE_CORES
            ),
            FULL_OPEN_REQUEST_COUNT,
        )
    ]


def decision_rows_by_gateway_count(run: Run) -> list[dict[str, Any]]:
    what = (
        DECISION_TEXT.replace("870 gateways", "so many gateways told, 40 engines")
        + f", {TABLE_GROUP_COUNT} table groups"
    )
    return [
        run.measure_slope(
            "alone.decision.gateways",
            what,
            "ms",
            "gateways told",
            (1, 10, 100, 300),
            lambda n: measure_decision_ms(run, 40, gateways=n),
            870,
        )
    ]


def decision_ratio_rows(run: Run) -> list[dict[str, Any]]:
    """Measures both sizes alternately, so that disturbances of the machine affect both alike."""
    rows = []
    for key, groups, part in (
        ("alone.decision.ratio", TABLE_GROUP_COUNT, 1),
        ("alone.decision.ratio.one_group", 1, 5),
    ):
        short_run, ratios = Run(run.quick, run.full, run.engines, run.command), []
        short_run.window = run.window // part
        for _ in range(1 if run.quick else 3):
            gc.collect()
            cost_of_few_engines = measure_decision_ms(short_run, 40, groups=groups)
            ratios.append(
                measure_decision_ms(short_run, run.engines, groups=groups) / cost_of_few_engines
            )
        print(f"{key}: {', '.join(f'{each:.2f}' for each in ratios)}", file=sys.stderr, flush=True)
        what = (
            f"a decision before {run.engines} engines over one before 40, in turn; "
            f"table groups: {groups}"
        )
        rows.append(
            build_single_size_row(
                key, what, "times", "engines", run.engines, ratios, "measured", run.command
            )
        )
    return rows


def measure_engine_removal_ms(engines: int) -> float:
    """Returns ms for the removal of an engine, with the next statement of every table group.

    The usual cost of these statements, measured without a removal, is subtracted.
    """
    alone, spent = StandaloneGatewayHost(engines), []
    alone.play(alone.draw_requests(WARM_UP_STATEMENT_COUNT))
    for removes_engine in False, False, True:
        statements = alone.draw_requests(TABLE_GROUP_COUNT)
        for group, (_, request) in enumerate(statements):
            request.table_group = float(group)
        started_at = time.process_time()
        if removes_engine:
            alone.gateway.on_engine_update(alone.engines[engines // 2], EngineState.DRAINING, 0)
            alone.gateway.on_engine_list_complete()
        update_seconds = time.process_time() - started_at
        spent.append(1000 * (update_seconds + alone.play(statements)))
    return max(spent[2] - spent[1], 0.0)


def engine_removal_rows(run: Run) -> list[dict[str, Any]]:
    what = (
        f"one engine leaves the list: processor of the module, with what it costs the next "
        "statement of each of "
        f"{TABLE_GROUP_COUNT} table groups more"
    )
    return [
        run.measure_slope(
            "alone.decision.change",
            what,
            "ms",
            "engines",
            ENGINE_COUNTS,
            measure_engine_removal_ms,
            run.engines,
        )
    ]


# On sockets.


def measure_statement_ms(
    run: Run,
    engines: int,
    rate: float = STATEMENTS_PER_SECOND,
    start: tuple[str, ...] = ("-m", "corkgauge"),
    window_seconds: float = WINDOW_SECONDS,
) -> float:
    """Returns ms per statement, over a window after the links to the engines have come up."""
    check_trial_size(2, 300 + 0.1 * engines)
    serve = HollowServeProcess(engines, start=start)
    try:
        serve.start_and_wait()
        serve.until(0.3)
        rest_seconds = serve.program.cpu_seconds()
        serve.until(1)
        rest_seconds = serve.program.cpu_seconds() - rest_seconds
        serve.start_clients(rate)
        serve.until(SETTLE_SECONDS / (4 if run.quick else 1))
        started_at, requested_count, window_seconds = (
            serve.program.cpu_seconds(),
            serve.sent_request_count(),
            window_seconds / (4 if run.quick else 1),
        )
        serve.until(window_seconds)
        spent, requested_count = (
            serve.program.cpu_seconds() - started_at,
            serve.sent_request_count() - requested_count,
        )
        tally = serve.tally()
        if tally["served"] < 0.95 * (tally["asked"] - tally["none"]):
            raise RuntimeError(
                f"less than 95% of the statements were served, the load is not comparable: {tally}"
            )
        return 1000 * (spent - window_seconds * rest_seconds) / requested_count
    finally:
        serve.close()


def statement_rows_by_engine_count(run: Run) -> list[dict[str, Any]]:
    what = (
        f"processor of the serving process a statement, whole, on real frames: "
        f"{STATEMENTS_PER_SECOND:.0f} statements a second by "
        "8 clients, 40 table groups, results of one to three pages; less what it spends at rest; "
        "after "
        f"{SETTLE_SECONDS:.0f} s in which links come up"
    )
    return [
        run.measure_slope(
            "alone.statement.sockets",
            what,
            "ms",
            "engines",
            ENGINE_COUNTS[:4],
            lambda n: measure_statement_ms(run, n),
            run.engines,
        )
    ]


def statement_rows_by_rate(run: Run) -> list[dict[str, Any]]:
    what = (
        "processor of the serving process a statement, whole, on real frames, 40 engines, by how "
        "many come; else "
        "as alone.statement.sockets"
    )
    return [
        run.measure_slope(
            "alone.statement.rate",
            what,
            "ms",
            "statements a second",
            (50, 200, 500, 1_000),
            lambda n: measure_statement_ms(run, 40, n),
            None,
        )
    ]  # no extrapolation to 2,530: the cost falls with the rate, so a line does not fit


# The engine list.


def measure_whole_list_ms(engines: int) -> float:
    front, event = SocketPairFrontEnd(0), json.dumps(engine_list_event(2, engines))
    started_at = time.process_time()
    front.apply_list_event(event)
    return 1000 * (time.process_time() - started_at)


def measure_engine_restart_event_ms(engines: int) -> float:
    front, spent = SocketPairFrontEnd(engines), []
    for n in range(5):
        event = front.next_restart_event(n % engines)
        started_at = time.process_time()
        front.apply_list_event(event)
        spent.append(1000 * (time.process_time() - started_at))
    return median(spent)


def engine_list_rows(run: Run) -> list[dict[str, Any]]:
    return [
        run.measure_slope(
            "alone.list.start",
            "processor to take in a whole list, as the feed tells it",
            "ms",
            "engines",
            ENGINE_COUNTS,
            measure_whole_list_ms,
            run.engines,
        ),
        run.measure_slope(
            "alone.list.change",
            "processor to take in an event that one engine has started anew",
            "ms",
            "engines in the list",
            ENGINE_COUNTS,
            measure_engine_restart_event_ms,
            run.engines,
        ),
    ]


# Memory by tracemalloc: objects of the program, without the kernel's socket buffers.


def measure_allocated_kb(make: Callable[[], Callable[[], Any]]) -> float:
    """Returns the KB that a function allocates.

    Args:
        make: Prepares the measurement, which is not counted, and returns the function.
    """
    allocate = make()
    gc.collect()
    tracemalloc.start()
    try:
        allocated = allocate()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0] / 1024
    finally:
        tracemalloc.stop()
    del allocated
    return size


def check_descriptor_limit(wanted: int) -> None:
    """Rejects a trial that would exceed the limit on open files, which is not raised."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if wanted + 64 > limit:
        raise TrialTooLargeError(f"{wanted} descriptors, {limit - 64} at most")


def measure_engine_list_kb(engines: int) -> float:
    return measure_allocated_kb(lambda: lambda: SocketPairFrontEnd(engines))


def measure_links_kb(links: int) -> float:
    check_descriptor_limit(2 * links)
    front = SocketPairFrontEnd(100)
    try:

        def allocate() -> None:
            for n in range(links):
                front.add_engine_connection(n % 100)
            front.turn()

        return measure_allocated_kb(lambda: allocate)
    finally:
        front.close()


def measure_client_connections_kb(clients: int) -> float:
    check_descriptor_limit(2 * clients)
    front = SocketPairFrontEnd(1)
    try:

        def allocate() -> None:
            for _ in range(clients):
                front.client()
            front.turn()

        return measure_allocated_kb(lambda: allocate)
    finally:
        front.close()


def measure_open_requests_kb(count: int) -> float:
    clients, engines = -(-count // 30), 40
    check_descriptor_limit(2 * clients + 2 * 10 * engines)
    front = SocketPairFrontEnd(engines, 2_000)
    try:
        for n in range(10 * engines):
            front.add_engine_connection(n % engines)
        client_connections = [front.client() for _ in range(clients)]
        front.turn()

        def allocate() -> None:
            for n in range(count):
                front.send_request(client_connections[n % clients], 1 + n // clients)
                if n % 200 == 199:
                    front.turn(2)
            front.turn(8)

        size = measure_allocated_kb(lambda: allocate)
        if len(front.socket_host.open_requests) != count:
            raise RuntimeError(
                f"{len(front.socket_host.open_requests)} open of {count}; counters "
                f"{dict(front.socket_host.counters)}, "
                f"open {[len(each.open) for each in front.socket_host.client_connections]}, "
                f"unread "
                f"{[len(c.link.machine.inward) for c in front.socket_host.client_connections]}"
            )
        return size
    finally:
        front.close()


def measure_tenants_kb(tenants: int) -> float:
    def make() -> Callable[[], Any]:
        return lambda: StandaloneGatewayHost(40, tenants=tenants)

    return measure_allocated_kb(make)


def memory_rows(run: Run) -> list[dict[str, Any]]:
    what = "KB held by the program's own objects (tracemalloc, without the system's buffers): "
    return [
        run.measure_slope(
            "alone.memory.engines",
            what + "a list, no links",
            "KB",
            "engines",
            ENGINE_COUNTS,
            measure_engine_list_kb,
            run.engines,
        ),
        run.measure_slope(
            "alone.memory.links",
            what + "links to engines, quiet, each with its two rings",
            "KB",
            "links",
            (10, 100, 400, 1_000),
            measure_links_kb,
            2 * FULL_ENGINE_COUNT,
        ),
        run.measure_slope(
            "alone.memory.clients",
            what + "client connections, quiet, each with its two rings",
            "KB",
            "client connections",
            (10, 100, 400, 1_000),
            measure_client_connections_kb,
            FULL_CLIENT_CONNECTION_COUNT,
        ),
        run.measure_slope(
            "alone.memory.open",
            what + "open requests of 200 bytes, handed off, beside their connections",
            "KB",
            "open requests",
            (10, 100, 1_000, 3_000),
            measure_open_requests_kb,
            FULL_OPEN_REQUEST_COUNT,
        ),
        run.measure_slope(
            "alone.memory.tenants",
            what + "the module with 40 engines and four queues a tenant",
            "KB",
            "tenants",
            (1, 10, 100, 300),
            measure_tenants_kb,
            1_000,
        ),
    ]


# A turn of the event loop.


def measure_event_loop_turn_ms(run: Run, count: int) -> float:
    """Returns ms per event loop turn that polls `count` descriptors, one of which is readable."""
    check_descriptor_limit(count + 8)
    event_loop, (local_socket, remote_socket), (idle_socket, idle_peer_socket) = (
        EventLoop(),
        socket.socketpair(),
        socket.socketpair(),
    )
    descriptors = [os.dup(idle_socket.fileno()) for _ in range(count - 1)]
    try:

        def read_all() -> None:
            while remote_socket.fileno() >= 0 and event_loop.wait(remote_socket.fileno(), READ):
                remote_socket.recv(16)

        event_loop.spawn(read_all)
        for fd in descriptors:
            event_loop.spawn(event_loop.wait, fd, READ)
        for _ in range(20):
            local_socket.send(b"x")
            event_loop.turn(0)
        turns = 50 if run.quick else 400
        started_at = time.process_time()
        for _ in range(turns):
            local_socket.send(b"x")
            event_loop.turn(0)
        return 1000 * (time.process_time() - started_at) / turns
    finally:
        event_loop.parked.clear()
        for fd in descriptors:
            os.close(fd)
        for each in local_socket, remote_socket, idle_socket, idle_peer_socket:
            each.close()


def event_loop_turn_rows(run: Run) -> list[dict[str, Any]]:
    return [
        run.measure_slope(
            "alone.turn.descriptors",
            "processor of one turn of the hub, one of its descriptors readable",
            "ms",
            "descriptors polled",
            (10, 100, 1_000, 10_000),
            lambda n: measure_event_loop_turn_ms(run, n),
            FULL_CLIENT_CONNECTION_COUNT + FULL_ENGINE_COUNT,
        )
    ]


# Startup.


def startup_rows(run: Run) -> list[dict[str, Any]]:
    resident_mb: dict[int, list[float]] = {}

    def ready(engines: int) -> float:
        check_trial_size(2, 100 + 0.1 * engines)
        serve = HollowServeProcess(engines)
        try:
            _, processor = serve.start_and_wait()
            resident_mb.setdefault(engines, []).append(serve.program.memory() / 2**20)
            return processor
        finally:
            serve.close()

    row = run.measure_slope(
        "alone.ready.engines",
        "start of the serving process until it tells a client that it is ready, "
        "with so many engines in the list that it starts from: processor seconds, what it takes "
        "with a "
        "core of its own",
        "s",
        "engines",
        ENGINE_COUNTS,
        ready,
        run.engines,
    )
    tenth_row = {
        **row,
        "key": "alone.ready.engines.tenth",
        "kind": "paper",
        "what": "the same with a tenth of a core: processor seconds by ten",
        "points": [
            {
                "at": point["at"],
                "values": [10 * value for value in point["values"]],
                **{name: 10 * point[name] for name in ("median", "least", "most")},
            }
            for point in row["points"]
        ],
    }
    tenth_row["fit"] = fit_slope([(point["at"], point["median"]) for point in tenth_row["points"]])
    tenth_row["foretold"] = {**row["foretold"], "value": 10 * row["foretold"]["value"]}
    tenth_row.pop("checked", None)  # calculated, not checked by a run
    memory_row = {
        "key": "alone.memory.serve",
        "unit": "MB",
        "by": "engines",
        "kind": "measured",
        "what": "resident memory of the serving process as it is ready, no client or link yet",
        "points": [
            {
                "at": point["at"],
                "values": resident_mb[point["at"]],
                "median": median(resident_mb[point["at"]]),
                "least": min(resident_mb[point["at"]]),
                "most": max(resident_mb[point["at"]]),
            }
            for point in row["points"]
        ],
        "command": run.command,
    }
    memory_row["fit"] = fit_slope(
        [(point["at"], point["median"]) for point in memory_row["points"]]
    )
    return [row, tenth_row, memory_row]


# Profiles.


def decision_profile_rows(run: Run) -> list[dict[str, Any]]:
    """Profiles the policy module by function, without sockets.

    The profiler (cProfile) gives the share of each function, which is scaled to the cost of a
    statement without the profiler.
    """
    rows = []
    for engines in 10, 40:
        gc.collect()
        whole_us = median(1000 * measure_decision_ms(run, engines) for _ in range(3))
        alone = StandaloneGatewayHost(engines)
        alone.play(alone.draw_requests(WARM_UP_STATEMENT_COUNT))
        statements, profile = alone.draw_requests(run.window), cProfile.Profile()
        profile.runcall(alone.play, statements)
        found: dict[str, list[float]] = {}
        for (file, _, name), (_, calls, own_seconds, _, _) in pstats.Stats(profile).stats.items():
            location = os.path.basename(file)
            location = (
                "the stand-in host"
                if location == "hollow_one.py"
                else ""
                if file == "~"
                else location
            )
            entry = found.setdefault(
                location if location == "the stand-in host" else f"{location}:{name}", [0.0, 0.0]
            )
            entry[0] += own_seconds
            entry[1] += calls
        total = sum(own_seconds for own_seconds, _ in found.values())
        rows.append(
            build_single_size_row(
                f"alone.profile.{engines}.whole",
                f"a statement before {engines} engines, without the profiler",
                "µs",
                "engines",
                engines,
                [whole_us],
                "measured",
                run.command,
            )
        )
        ordered = sorted(found.items(), key=lambda each: -each[1][0])
        for rank, (name, (own_seconds, calls)) in enumerate(ordered[:PROFILE_ROW_COUNT], 1):
            share = own_seconds / total
            print(
                f"alone.profile.{engines}: {share:6.1%} {share * whole_us:7.2f} µs "
                f"{calls / run.window:7.2f} calls  "
                f"{name}",
                file=sys.stderr,
                flush=True,
            )
            rows.append(
                build_single_size_row(
                    f"alone.profile.{engines}.{rank:02d}",
                    f"{name}: its own time, {calls / run.window:.1f} calls a statement",
                    "µs",
                    "engines",
                    engines,
                    [share * whole_us],
                    "measured",
                    run.command,
                )
            )
    return rows


def socket_profile_rows(run: Run) -> list[dict[str, Any]]:
    """Profiles the serving process with 40 engines by sampling.

    The samples give shares, which are scaled to the cost of a statement without the sampler.
    """
    whole_us = 1000 * median(measure_statement_ms(run, 40) for _ in range(1 if run.quick else 3))
    with tempfile.NamedTemporaryFile(suffix=".stacks") as file:
        sampled_us = 1000 * measure_statement_ms(
            run,
            40,
            start=("-m", "corkgauge.testkit.fleet.profile_sampler", file.name),
            window_seconds=4 * WINDOW_SECONDS,
        )
        sample_count, top_counts, inclusive_counts = sampled.read_samples(file.name)
    print(
        f"alone.profile.sockets: {whole_us:.0f} µs a statement, "
        f"{sampled_us:.0f} with the sampler, "
        f"{sample_count} samples",
        file=sys.stderr,
        flush=True,
    )
    file_counts: Counter[str] = Counter()
    for name, count in top_counts.items():
        file = name if name.startswith("library") else name.partition(":")[0]
        file_counts[file] += count
    for name in [*inclusive_counts]:  # outer frames of every sample carry no information
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
            del inclusive_counts[name]
    tables = (
        ("file", file_counts, "its own time"),
        ("function", top_counts, "its own time"),
        ("within", inclusive_counts, "with all that it calls"),
    )
    rows = [
        build_single_size_row(
            "alone.profile.sockets.whole",
            "a statement on sockets before 40 engines, without the sampler",
            "µs",
            "engines",
            40,
            [whole_us],
            "measured",
            run.command,
        )
    ]
    for table_name, table, time_kind in tables:
        for rank, (name, count) in enumerate(
            table.most_common(PROFILE_ROW_COUNT + 16 * (table_name == "within")), 1
        ):
            share = count / sample_count
            print(
                f"alone.profile.sockets.{table_name}: {share:6.1%} {share * whole_us:7.1f} µs  "
                f"{name}",
                file=sys.stderr,
            )
            rows.append(
                build_single_size_row(
                    f"alone.profile.sockets.{table_name}.{rank:02d}",
                    f"{name}: {time_kind}",
                    "µs",
                    "engines",
                    40,
                    [share * whole_us],
                    "measured",
                    run.command,
                )
            )
    return rows


ROW_BUILDERS: dict[str, Callable[[Run], list[dict[str, Any]]]] = {
    "alone.decision.engines": decision_rows_by_engine_count,
    "alone.decision.engines.one_group": decision_rows_with_one_table_group,
    "alone.decision.tenants": decision_rows_by_tenant_count,
    "alone.decision.open": decision_rows_by_open_request_count,
    "alone.decision.gateways": decision_rows_by_gateway_count,
    "alone.decision.ratio": decision_ratio_rows,
    "alone.decision.change": engine_removal_rows,
    "alone.statement.sockets": statement_rows_by_engine_count,
    "alone.statement.rate": statement_rows_by_rate,
    "alone.list": engine_list_rows,
    "alone.memory": memory_rows,
    "alone.turn.descriptors": event_loop_turn_rows,
    "alone.ready.engines": startup_rows,
    "alone.profile": decision_profile_rows,
    "alone.profile.sockets": socket_profile_rows,
}


@click.command(
    epilog="Example: python benchmarks/scale.py alone --rows alone.list,alone.memory --json"
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print the rows as JSON on the standard output."
)
@click.option(
    "--rows",
    multiple=True,
    metavar="KEY...",
    help=f"Keys to measure, separated by commas: {', '.join(ROW_BUILDERS)}.",
)
@click.option(
    "--quick",
    is_flag=True,
    help="A tenth of the statements, one repeat, no check; nothing is stored.",
)
@click.option(
    "--full",
    is_flag=True,
    help="Also measure at full size, and print the error of the extrapolation.",
)
@click.option(
    "--engines",
    default=FULL_ENGINE_COUNT,
    show_default=True,
    type=click.IntRange(1),
    help="Full size, in engines.",
)
@click.option(
    "--suffix",
    default="",
    metavar="TEXT",
    help="Also store the rows under keys with this suffix, for example .before.",
)
def command(
    as_json: bool, rows: tuple[str, ...], quick: bool, full: bool, engines: int, suffix: str
) -> None:
    """Measure one workload manager by size; rows are stored in docs/capacity/alone.json."""
    requested_keys = [key for each in rows for key in each.split(",") if key] or [*ROW_BUILDERS]
    wanted: dict[str, None] = {}
    for key in requested_keys:  # a function that measures several rows measures them together
        if not (
            parts := [part for part in ROW_BUILDERS if key == part or key.startswith(part + ".")]
        ):
            raise click.UsageError(f"--rows: no {key!r}; valid keys are {', '.join(ROW_BUILDERS)}")
        wanted[max(parts, key=len)] = None
    check_trial_size(2, 200 + 0.2 * engines)
    command_text = " ".join(
        [
            "python benchmarks/scale.py alone",
            *(f"--rows {key}" for key in rows),
            *(["--full"] if full else []),
            *([f"--engines {engines}"] if engines != FULL_ENGINE_COUNT else []),
            *([f"--suffix {suffix}"] if suffix else []),
        ]
    )
    run, found = Run(quick, full, engines, command_text), []
    gc.disable()  # as in the serving process
    burn_cpu(0.3)
    for key in wanted:
        part = ROW_BUILDERS[key](run)
        found += part
        if not quick:
            save_rows(
                "alone", part + [{**row, "key": row["key"] + suffix} for row in part if suffix]
            )
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        for row in found:
            points = "  ".join(f"{point['at']}: {point['median']:.4g}" for point in row["points"])
            click.echo(f"{row['key']} [{row['unit']}] {points}")
