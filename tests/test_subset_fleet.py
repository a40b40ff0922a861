"""Subsets in gateway processes: 300 engines, and a few of the 60 gateways that the settings state.

The rules are checked against the attempts that the engines received. Scenarios with a disabled
safeguard show that the checks find the violations.
"""

import os
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_protocol import SERVED
from corkgauge.testkit.emulators.clients import RequestProfile
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.wide_fleet import NO_GATEWAY_NUMBER, WideFleet

SLACK_TICKS = 2_500  # by which every time limit is longer on a busy machine
REPORTS = [RequestProfile("lookup", 0.60, 1_500, 8.0), RequestProfile("report", 0.40, 3_000, 60.0)]
LOADS = [
    RequestProfile("lookup", 0.40, 1_500, 8.0),
    RequestProfile("load", 0.60, 2_000, 15.0, has_idempotency_key=True),
]


def find_problems(fleet):
    """End open requests; return rule violations, and log lines of exceptions and imbalances."""
    fleet.settle()
    return fleet.find_rule_violations(SLACK_TICKS) + [
        line
        for line in fleet.logs()
        if "exceptions stopped" in line or "out of balance" in line or "Traceback" in line
    ]


# The longest ejection of an engine that failed for 4 seconds, and a few periods.
MAX_RETURN_SECONDS = 20
# The subset counts as settled after this time without an attempt outside.
SETTLED_TICKS = 4 * SECOND


def fail_engines_of_a_subset(fleet):
    """Make 20 engines of a gateway's subset refuse connections for 4 seconds."""
    fleet.until(4)
    subset, next_subset = fleet.working_set("n1"), fleet.working_set("n1", 1.5)
    reached_before, attempt_counts = fleet.engines_reached_from("n1"), defaultdict(int)
    for attempt in fleet.attempts_from("n1"):
        attempt_counts[attempt.engine] += 1
    rare_engines = {name for name, each in fleet.engines.items() if each.kind == "x12"}
    failed = sorted(reached_before - rare_engines, key=lambda name: (-attempt_counts[name], name))[
        :20
    ]
    for name in failed:
        fleet.engines[name].begin_fault("refuse", 0)
    failed_at = fleet.event_loop.now
    fleet.until(4)
    for name in failed:
        fleet.engines[name].end_fault()
    returned_at = fleet.event_loop.now
    fleet.until(
        20,
        lambda: not any(line.startswith("n1") and "set as before" in line for line in fleet.logs()),
    )
    fleet.until(6)  # after the log line, the subset shrinks by a tenth per period
    # The line is logged once less than a sixth of the subset is unhealthy. Each engine that still
    # is keeps the subset larger until it has answered once, after an ejection of some seconds.
    fleet.until(
        MAX_RETURN_SECONDS,
        lambda: not fleet.engines_reached_from("n1", fleet.event_loop.now - SETTLED_TICKS)
        <= subset,
    )
    settled_at = fleet.event_loop.now
    fleet.until(2)
    return {
        "subset": subset,
        "next subset": next_subset,
        "before": reached_before,
        "failed": {*failed},
        "during": fleet.engines_reached_from("n1", failed_at),
        "after": fleet.engines_reached_from("n1", settled_at + SECOND // 2),
        "wider": [line for line in fleet.logs() if line.startswith("n1") and "set wider" in line],
        "narrow": [
            line for line in fleet.logs() if line.startswith("n1") and "set as before" in line
        ],
        "reached again": {attempt.engine for attempt in fleet.attempts_from("n1", returned_at)}
        & {*failed},
        "served": fleet.served_fraction(failed_at, settled_at),
        "settled": (settled_at - returned_at) / SECOND,
        "broken": find_problems(fleet),
    }


def replace_half_of_the_list(fleet):
    """Replace 150 of 300 engines, among them the only engine of a kind.

    Two gateways have no gateway number, and the number of one is beyond the gateway count.
    """
    fleet.until(4)
    first = {
        name: (fleet.working_set(name), fleet.engines_reached_from(name)) for name in fleet.gateways
    }
    reports = fleet.served_fraction(request_class="report")
    kept, new = (
        fleet.initial_engines[150:],
        [name for name in fleet.engines if name not in fleet.initial_engines],
    )
    fleet.publish_list(kept + new, full=True)
    replaced_at = fleet.event_loop.now
    fleet.until(5)
    second = {
        name: (fleet.working_set(name), fleet.engines_reached_from(name, replaced_at + SECOND))
        for name in fleet.gateways
    }
    return {
        "first": first,
        "second": second,
        "reports": (reports, fleet.served_fraction(replaced_at, request_class="report")),
        "served": fleet.served_fraction(replaced_at),
        "new": {*new},
        "kept": {*kept},
        "broken": find_problems(fleet),
    }


def serve_reports_on_one_engine(fleet):
    """Return the served fraction of reports, which only one engine can run, and the violations."""
    fleet.until(4)
    fleet.settle()
    return fleet.served_fraction(request_class="report"), fleet.find_rule_violations(SLACK_TICKS)


def publish_lists_at_different_times(fleet):
    """Replace a third of the engines by just started ones, on half of the endpoint lists first.

    Half of the engines of the rare kind are replaced too. The other gateways get the new list four
    seconds later.
    """
    fleet.until(3)
    new = [name for name in fleet.engines if name not in fleet.initial_engines]
    listed, names = (
        fleet.initial_engines[2:4] + fleet.initial_engines[len(new) :] + new,
        [*fleet.gateways],
    )
    fleet.mark_started(new)
    first_published_at = fleet.event_loop.now
    fleet.publish_list(listed, full=True, gateways=names[1::2])
    fleet.until(4)
    then_published_at = fleet.event_loop.now
    fleet.publish_list(listed, full=True, gateways=names[::2])
    fleet.until(4)
    reached = {
        name: fleet.engines_reached_from(name, first_published_at) & {*new} for name in names
    }
    reached_early = {
        name: {
            attempt.engine
            for attempt in fleet.attempts_from(name, first_published_at)
            if attempt.received_at < then_published_at
        }
        & {*new}
        for name in names
    }
    return {
        "reached": reached,
        "reached early": reached_early,
        "served": fleet.served_fraction(first_published_at),
        "broken": find_problems(fleet),
    }


# Rounds of broken connections: at least 3, and more until requests enough had no alternative, as a
# busy machine sends fewer requests per second. After 8 rounds, each engine has been broken once.
MIN_ROUND_COUNT, MAX_ROUND_COUNT = 3, 8
ENOUGH_WITHOUT_ALTERNATIVE = 8


def break_connections_once(fleet, round_number):
    """Make one engine in eight take work, answer nothing and then lose its connections.

    Returns the names of the engines, and the times of the outage's start and end.
    """
    silent = [engine for n, engine in enumerate(fleet.engines.values()) if n % 8 == round_number]
    began_at = fleet.event_loop.now
    for engine in silent:
        engine.begin_fault("silent", 0)
    fleet.until(0.5)
    for engine in silent:
        engine.listener.close_connections(abort=True)
    fleet.until(2.2)
    for engine in silent:
        engine.end_fault()
    fleet.until(0.3)
    return {engine.name for engine in silent}, began_at, began_at + SECOND // 2


def find_retries(fleet, outages, subsets):
    """Return the retries of keyed requests, and what became of those without an alternative.

    A retry is the cells of its first and its later engine, and whether the latter is in the subset.
    A request has no alternative if its first engine was broken and no other engine of the cell is
    in the subset, however much that grows; the list tells for each whether it was served.
    """
    cells = {name: each.cell for name, each in fleet.engines.items()}
    retries, without_alternative = [], []
    for name, (subset, larger_subset) in subsets.items():
        attempts_by_trace = defaultdict(list)
        for attempt in fleet.attempts_from(name):
            attempts_by_trace[attempt.trace].append(attempt)
        for request in fleet.requests_to(name):
            attempts = attempts_by_trace[request.trace]
            if request.profile.request_class != "load" or not attempts:
                continue
            first_engine = attempts[0].engine
            retries += [
                (cells[first_engine], cells[attempt.engine], attempt.engine in subset)
                for attempt in attempts[1:]
            ]
            was_broken = any(
                first_engine in silent and start <= attempts[0].received_at < end
                for silent, start, end in outages
            )
            has_alternative = any(
                each != first_engine and cells[each] == cells[first_engine]
                for each in larger_subset
            )
            if was_broken and not has_alternative:
                without_alternative.append(
                    bool(request.answers) and request.answers[0][1] == SERVED
                )
    return retries, without_alternative


def break_connections_of_one_engine_per_cell(fleet):
    """Break the connections of one engine of many cells at a time, in several rounds.

    A request that may have run on such an engine may be tried again in the same cell only.
    """
    fleet.until(1)
    subsets = {
        name: (fleet.working_set(name), fleet.working_set(name, 1.5)) for name in fleet.gateways
    }
    outages = []
    for round_number in range(MAX_ROUND_COUNT):
        _, without_alternative = find_retries(fleet, outages, subsets)
        has_enough = len(without_alternative) >= ENOUGH_WITHOUT_ALTERNATIVE
        if round_number >= MIN_ROUND_COUNT and has_enough:
            break
        outages.append(break_connections_once(fleet, round_number))
    problems = find_problems(fleet)
    retries, without_alternative = find_retries(fleet, outages, subsets)
    return {"retries": retries, "without alternative": without_alternative, "broken": problems}


SPREAD_GATEWAY_NUMBERS = (2, 13, 24, 35, 46, 57)
CELL_OPTIONS = {
    "gateway_numbers": (7, 23, 41),
    "cell_size": 3,
    "request_types": LOADS,
    "rates": (100.0,) * 3,
}
SCENARIOS = {
    "failed engines": (
        fail_engines_of_a_subset,
        {"gateway_numbers": (7, 23, 41), "rates": (250.0, 25.0, 25.0)},
    ),
    "replaced list": (
        replace_half_of_the_list,
        {
            "gateway_numbers": (3, 200, NO_GATEWAY_NUMBER, NO_GATEWAY_NUMBER),
            "rates": (50.0,) * 4,
            "rare_kind_count": 1,
            "unlisted_engine_count": 150,
        },
    ),
    "one engine of a kind": (
        serve_reports_on_one_engine,
        {"gateway_numbers": (3, 20, 44), "rare_kind_count": 1, "request_types": REPORTS},
    ),
    "one engine of a kind, by rank alone": (
        serve_reports_on_one_engine,
        {
            "gateway_numbers": (3, 20, 44),
            "rare_kind_count": 1,
            "request_types": REPORTS,
            "disabled_safeguards": "few",
        },
    ),
    "list versions": (
        publish_lists_at_different_times,
        {
            "gateway_numbers": SPREAD_GATEWAY_NUMBERS,
            "rates": (40.0,) * 6,
            "unlisted_engine_count": 100,
            "request_types": REPORTS,
        },
    ),
    "list versions, no slow start": (
        publish_lists_at_different_times,
        {
            "gateway_numbers": SPREAD_GATEWAY_NUMBERS,
            "rates": (40.0,) * 6,
            "unlisted_engine_count": 100,
            "request_types": REPORTS,
            "disabled_safeguards": "cold",
        },
    ),
    "broken connections": (break_connections_of_one_engine_per_cell, CELL_OPTIONS),
    "broken connections, retries anywhere": (
        break_connections_of_one_engine_per_cell,
        {**CELL_OPTIONS, "disabled_safeguards": "groups"},
    ),
    "broken connections, retries in the subset": (
        break_connections_of_one_engine_per_cell,
        {**CELL_OPTIONS, "disabled_safeguards": "beyond"},
    ),
}


def play_and_close(scenario):
    """Run a scenario and close its fleet, also after a failure, so that no process stays."""
    method, options = SCENARIOS[scenario]
    fleet = WideFleet(**options)
    try:
        fleet.start()
        fleet.wait_until_serving()
        return method(fleet)
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def scenarios():
    # A scenario needs two cores for its gateways and the event loop of 300 engines; with fewer, the
    # test itself delays answers.
    with ProcessPoolExecutor(
        max(1, min(4, len(os.sched_getaffinity(0)) // 2)), initializer=kill_with_parent(os.getpid())
    ) as pool:
        yield {scenario: pool.submit(play_and_close, scenario) for scenario in SCENARIOS}


def test_failed_engines_of_a_subset_are_replaced_by_the_next_in_rank_until_they_return(scenarios):
    result = scenarios["failed engines"].result()
    assert result["broken"] == [] and result["served"] > 0.97
    assert result["before"] <= result["subset"] and len(result["subset"]) < 110
    outside = result["during"] - result["subset"]
    assert result["wider"] and outside and outside <= result["next subset"]
    assert (
        result["narrow"]
        and len(result["reached again"]) >= 18
        and result["after"] <= result["subset"]
    )


def test_replacing_half_of_the_list_costs_no_request_and_removed_engines_get_none(scenarios):
    result = scenarios["replaced list"].result()
    assert result["broken"] == [] and result["served"] > 0.97
    for subset, reached in result["second"].values():
        assert reached <= subset <= result["new"] | result["kept"] and reached & result["new"]


def test_gateways_without_a_valid_gateway_number_have_different_subsets(scenarios):
    result = scenarios["replaced list"].result()
    for phase in "first", "second":
        subsets = [subset for subset, _ in result[phase].values()]
        assert all(
            reached <= subset and 40 < len(subset) < 130
            for subset, reached in result[phase].values()
        )
        assert all(
            len(one & other) < 0.6 * len(one)
            for one in subsets
            for other in subsets
            if one is not other
        )


def test_the_only_engine_of_a_kind_serves_all_gateways(scenarios):
    assert min(scenarios["replaced list"].result()["reports"]) > 0.95
    served, problems = scenarios["one engine of a kind"].result()
    served_by_rank, problems_by_rank = scenarios["one engine of a kind, by rank alone"].result()
    assert served > 0.95 and problems == problems_by_rank == []
    # By rank alone, the engine is outside the subsets of some gateways.
    assert served_by_rank < 0.75


def test_gateways_with_different_list_versions_keep_the_slow_start_rule_together(scenarios):
    result = scenarios["list versions"].result()
    assert result["broken"] == [] and result["served"] > 0.97
    assert [bool(each) for each in result["reached early"].values()] == [False, True] * 3
    assert len(set().union(*result["reached"].values())) > 10


def test_the_checker_objects_to_a_fleet_without_slow_start(scenarios):
    broken = scenarios["list versions, no slow start"].result()["broken"]
    assert broken and all(each.startswith("cold: ") for each in broken)


def test_keyed_requests_are_retried_in_their_table_group_even_outside_the_subset(scenarios):
    result = scenarios["broken connections"].result()
    assert result["broken"] == [] and all(one == other for one, other, _ in result["retries"])
    assert sum(not in_subset for _, _, in_subset in result["retries"]) >= 5
    assert len(result["without alternative"]) >= 5 and sum(
        result["without alternative"]
    ) > 0.7 * len(result["without alternative"])


def test_the_checker_objects_to_retries_outside_the_table_group(scenarios):
    assert any(
        each.startswith("effect: ")
        for each in scenarios["broken connections, retries anywhere"].result()["broken"]
    )


def test_without_retries_outside_the_subset_most_broken_requests_stay_unserved(scenarios):
    result = scenarios["broken connections, retries in the subset"].result()
    assert (
        result["broken"] == []
        and len(result["without alternative"]) >= 5
        and sum(result["without alternative"]) < 0.3 * len(result["without alternative"])
    )
