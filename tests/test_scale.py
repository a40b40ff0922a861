"""Tests of the capacity page, the measurement helpers, and the cost of decisions by fleet size.

The cost of a decision is measured as the number of attribute reads of engines, without a clock: a
loop over all engines reads at least one attribute of each.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks import scale_page, scale_settings, scaling
from benchmarks.capacity import RowIndex
from benchmarks.scale import main
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.loop import SECOND
from corkgauge.model import dissemination
from corkgauge.net import discovery_protocol as feed_wire
from corkgauge.net.host import UnstartedHost, build_settings
from corkgauge.policy.records import AttemptOutcome, Engine, EngineState
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, FEEDBACK_INTERVAL_TICKS
from tests.harness import QUICK_CLASS, GatewayHarness

ROOT = Path(__file__).resolve().parent.parent
ENGINE_COUNTS = 200, 400, 800, 1_800
GATEWAY_COUNT, STATEMENT_INTERVAL_TICKS = 870, 4  # 2,500 statements per second
TABLE_GROUP_COUNT = 7
# Largest count at a larger size relative to the smallest size: constant, with room for rounding.
MAX_GROWTH_FACTOR = 1.5


# Capacity page.


def copy_rows_and_page(tmp_path):
    """Copies the rows, the text and the page to a temporary folder."""
    shutil.copytree(scaling.CAPACITY_DIRECTORY, tmp_path / "capacity")
    shutil.copy(scaling.CAPACITY_DIRECTORY.parent / "CAPACITY.md", tmp_path)
    return tmp_path / "capacity", tmp_path / "CAPACITY.md"


def test_page_is_rendered_from_the_stored_rows():
    assert (
        scale_page.find_page_difference(
            scaling.CAPACITY_DIRECTORY, scaling.CAPACITY_DIRECTORY.parent / "CAPACITY.md"
        )
        == ""
    )


def test_edited_figure_on_the_page_is_detected(tmp_path):
    home, page = copy_rows_and_page(tmp_path)
    lines = page.read_text().splitlines()
    at, line = next(
        (n, line) for n, line in enumerate(lines) if line.startswith("|") and "(paper)" in line
    )
    figure = next(word for word in line.split() if word[0].isdigit())
    lines[at] = line.replace(figure, "9" + figure, 1)
    page.write_text("\n".join(lines) + "\n")
    result = CliRunner().invoke(
        scale_page.command, ["--check", "--home", str(home), "--page", str(page)]
    )
    assert result.exit_code == 1
    assert f"line {at + 1}:" in scale_page.find_page_difference(home, page)


SAMPLE_ROW = {
    "key": "alone.decision.engines",
    "what": "a decision",
    "unit": "ms",
    "by": "engines",
    "kind": "measured",
    "points": [
        {"at": n, "values": [n - 1.0, n, n + 1.0], "median": n, "least": n - 1.0, "most": n + 1.0}
        for n in (10.0, 100.0, 200.0, 400.0)
    ],
    "fit": {"base": 0.0, "slope": 1.0, "exponent": 1.0, "r2": 1.0},
    "command": "",
    "foretold": {"at": 1800, "value": 1800.0},
    "checked": {"at": 1800, "value": 1500.0, "kind": "hollow", "error": 0.2},
}


@pytest.mark.parametrize(
    "path, value",
    [
        (("points", 1, "median"), 101.0),
        (("points", 1, "least"), 98.0),
        (("points", 3, "most"), 400.0),
        (("points", 2, "values"), [199.0, 201.0, 201.0]),
        (("fit", "slope"), 0.9),
        (("fit", "base"), 1.0),
        (("foretold", "value"), 1700.0),
        (("checked", "value"), 1600.0),
        (("checked", "error"), 0.1),
        (("kind",), "guessed"),
    ],
)
def test_edited_figure_in_a_row_is_detected(path, value):
    row = json.loads(json.dumps(SAMPLE_ROW))
    if path[0] == "fit":  # a wrong extrapolation would be detected as well
        del row["foretold"], row["checked"]
    assert scale_page.find_row_error(row) == ""
    inner = row
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    assert scale_page.find_row_error(row).startswith("alone.decision.engines: ")


@pytest.mark.parametrize(
    "tag, expected",
    [
        ("{{alone.decision.engines}}", "1,500 ms (hollow)"),
        ("{{alone.decision.engines@100}}", "100 ms (measured)"),
        ("{{alone.decision.engines@3600}}", "3,600 ms (foretold)"),
        ("{{alone.decision.engines:bare}}", "1,500"),
        ("{{alone.decision.engines:error}}", "+20%"),
        ("{{alone.decision.engines:exponent}}", "1.00"),
        ("{{alone.decision.engines:slope}}", "1 ms for one more (measured)"),
        ("{{size.engines}}", "1,800"),
        ("{{alone.never}}", "not run"),
        ("{{alone.never:error}}", "not run"),
        ("{{worked.serving.turn}}", "not run"),
        ("{{worked.serving.decision}}", "1,500 ms (hollow)"),
        ("{{worked.serving.decision:factor}}", "3,800"),
        ("{{worked.serving.decisions}}", "380,000% of a core (foretold)"),
        ("{{worked.open.zones.all.gateways}}", "174 workload managers (paper)"),
    ],
)
def test_tag_shows_the_figure_of_its_key_with_kind_or_not_run(tag, expected):
    rendered = scale_page.CapacityPage({SAMPLE_ROW["key"]: {**SAMPLE_ROW, "part": "alone"}}).render(
        f"said: {tag}.\n"
    )
    assert rendered.splitlines()[-1] == f"said: {expected}."


@pytest.mark.parametrize(
    "tag",
    [
        "{{size.nothing}}",
        "{{worked.nothing}}",
        "{{table nothing}}",
        "{{table roles never}}",
        "{{alone.decision.engines:nothing}}",
        "{{worked.open.zones.all.gateways:factor}}",
    ],
)
def test_unknown_tag_is_rejected_and_no_page_is_written(tag, tmp_path):
    (tmp_path / "page.md.in").write_text(tag)
    (tmp_path / "alone.json").write_text(json.dumps({"part": "alone", "rows": [SAMPLE_ROW]}))
    result = CliRunner().invoke(
        scale_page.command, ["--home", str(tmp_path), "--page", str(tmp_path / "page.md")]
    )
    assert result.exit_code == 2 and not (tmp_path / "page.md").exists()


def test_table_of_missing_runs_lists_keys_of_later_tags():
    rendered = scale_page.CapacityPage({}).render("{{table missing}}\n{{alone.never}}\n")
    assert "`alone.never`" in rendered and "`alone.decision.engines`" in rendered


def test_derived_row_falls_back_to_the_run_before_working_sets_and_names_its_key():
    page = scale_page.CapacityPage(
        {
            SAMPLE_ROW["key"] + ".before": {
                **SAMPLE_ROW,
                "part": "alone",
                "key": SAMPLE_ROW["key"] + ".before",
            }
        }
    )
    assert page.derived["serving.decision"].keys == ("alone.decision.engines.before",)
    assert page.expand_tag("alone.decision.engines") == "not run"


def test_default_size_is_the_largest_of_points_and_extrapolation():
    row = {**SAMPLE_ROW, "foretold": {"at": 50, "value": 50.0}}
    row.pop("checked")
    assert (
        RowIndex({"k": row}).figure("k").value == 400.0
    )  # the largest measured size, larger than that of the extrapolation


def build_page(**kept):
    """Builds a page from rows with one size and one value each."""
    return scale_page.CapacityPage(
        {
            key: {
                **scaling.build_single_size_row(
                    key, f"{key}: what", "u", "n", at, [value], "hollow"
                ),
                "part": "p",
            }
            for key, (at, value) in kept.items()
        }
    )


def test_budget_table_lists_highest_factor_first_and_rows_without_a_run_below():
    rendered = build_page(
        **{
            "fleet.handover.lost": (870, 18.0),
            "fleet.rest.octets": (870, 3_600),
            "fleet.rest.processor": (870, 0.033),
        }
    ).over()
    found = [
        line.split(" | ")[:2] + line.split(" | ")[4:5]
        for line in rendered.splitlines()
        if " s (hollow)" in line or "a second (hollow)" in line or "core (hollow)" in line
    ]
    assert found == [
        ["| **over**", "2", "18 s (hollow)"],
        ["| close", "0.514", "3,600 octets a second (hollow)"],
        ["| within", "0.01", "0.033% of a core (hollow)"],
    ]
    assert (
        rendered.splitlines()[-1].startswith("With a budget, and not run: ")
        and "18 s" not in rendered.splitlines()[-1]
    )


def test_missing_mechanisms_are_ranked_by_serving_then_absent_then_factor():
    kept = {
        "fleet.rest.octets.holder": (870, 70_000),
        "fleet.rest.octets": (870, 7_001),
        "fleet.start.octets": (870, 1),
        "fleet.handover.lost": (870, 8.9),
        "settings.restart.unready": (1_800, 0.6),
        "settings.list.octets.long": (1_800, 1.01 * feed_wire.MAX_LINE_BYTES),
    }
    lines = build_page(**kept).next().splitlines()
    titles = (
        "A list of engines",
        "A change of configuration",
        "Books of the fleet",
        "A plan of",
        "Membership that",
    )
    assert [
        line.startswith(f"{n}. **{title}") for n, (line, title) in enumerate(zip(lines, titles), 1)
    ] == [True] * 5
    assert len(lines) == 5 and "**: 10 times over (holder of a duty: datagrams" in lines[2]
    assert (
        build_page(**{**kept, "settings.list.octets.long": (1_800, 1)})
        .next()
        .startswith("1. **A change of conf")
    )


def test_growth_table_shows_the_size_at_which_a_row_exceeds_its_budget():
    points = [(n, 2.0 + n / 870) for n in (30, 100, 300, 600)]
    row = scaling.measure_slope(
        "fleet.handover.lost", "w", "s", "n", [n for n, _ in points], dict(points).get, full=870
    )
    page = scale_page.CapacityPage({row["key"]: {**row, "part": "fleet"}})
    found = [
        line.split(" | ") for line in page.grown().splitlines() if "nobody holds the duty" in line
    ]
    assert page.derived["holder.handover.lost"].value == pytest.approx(3.0)
    assert len(found) == 1 and 7 <= float(found[0][0].strip("| ")) <= 7 * 1.05  # 2 + m passes 9


def test_mechanism_column_marks_a_run_before_working_sets():
    before, after = (
        build_page(**{key: (1_800, 0.1)}).over()
        for key in (SAMPLE_ROW["key"] + ".before", SAMPLE_ROW["key"])
    )
    assert "(not in this run)" in before and "(not in this run)" not in after


def test_options_table_compares_options_by_column():
    rendered = build_page(
        **{
            "subset.one.even": (870, 1.2),
            "subset.two.even": (870, 3.4),
            "subset.two.links": (870, 7),
        }
    ).options("subset", "one", "two")
    assert rendered.splitlines()[2:] == [
        "| what | u | 1.2 | 3.4 | hollow |",
        "| what | u | not run | 7 | hollow |",
    ]


# Configuration changes.


def test_gossip_reaches_all_members_and_none_if_all_datagrams_are_lost():
    assert 0 < dissemination.measure_dissemination(60, 400, 2, 0.3, 1)[0] < 20
    dissemination_without_datagrams = dissemination.Dissemination(60, 400, 2, loss=1.0)
    assert (
        dissemination_without_datagrams.run(3 * SECOND) == -1
        and sum(member.is_complete for member in dissemination_without_datagrams.members) == 1
    )


def test_chunked_configuration_is_assembled_from_several_members():
    model = dissemination.Dissemination(40, 20 * dissemination.CHUNK_BYTES, 2, loss=0.4, seed=3)
    assert model.run(30 * SECOND) > 0
    assert all(member.chunks == set(range(20)) for member in model.members)


def test_quick_settings_run_stores_nothing(monkeypatch):
    monkeypatch.setattr(
        scale_settings, "save_rows", lambda *_: pytest.fail("a quick run was stored")
    )
    result = CliRunner().invoke(scale_settings.command, ["--quick", "--rows", "sizes", "--json"])
    rows = {row["key"]: row for row in json.loads(result.stdout)}
    assert result.exit_code == 0 and all(
        scale_page.find_row_error(row) == "" for row in rows.values()
    )
    assert rows["settings.list.octets"]["fit"]["exponent"] > 0.9
    assert CliRunner().invoke(scale_settings.command, ["--rows", "never"]).exit_code == 2


def test_measured_configuration_is_accepted_by_the_serving_process():
    platform_config = PlatformConfig(scale_settings.configuration(30, 20, 50), "")
    settings = build_settings(platform_config, UnstartedHost())
    assert (
        len(settings.request_classes),
        len(settings.tenants),
        len(platform_config.known_events[0]["members"]["servers"]),
    ) == (20, 50, 30)


# Measurement helpers.


@pytest.mark.parametrize(
    "processes, memory, what",
    [
        (scaling.MAX_PROCESS_COUNT + 1, 1, "processes"),
        (1, 1e9, "MB"),
        (scaling.MAX_PROCESS_COUNT, 1, ""),
    ],
)
def test_too_large_trial_is_rejected_before_the_run(processes, memory, what):
    if not what:
        return scaling.check_trial_size(processes, memory)
    with pytest.raises(scaling.TrialTooLargeError, match=what):
        scaling.check_trial_size(processes, memory)


def test_slope_row_extrapolates_to_full_size_and_records_the_error():
    row = scaling.measure_slope(
        "k",
        "what",
        "ms",
        "engines",
        [10, 20, 50, 100],
        lambda n: 3 + 0.5 * n,
        full=1_000,
        check=lambda n: 400.0,
    )
    assert row["foretold"]["value"] == pytest.approx(503) and row["checked"][
        "error"
    ] == pytest.approx(103 / 400)
    assert row["fit"]["slope"] == pytest.approx(0.5) and row["fit"]["r2"] == pytest.approx(1)
    assert scale_page.find_row_error(row) == ""


@pytest.mark.parametrize(
    "cost, exponent", [(lambda n: 7.0, 0), (lambda n: 2.0 * n, 1), (lambda n: n * n / 9, 2)]
)
def test_exponent_distinguishes_constant_linear_and_quadratic_cost(cost, exponent):
    fit = scaling.fit_slope([(n, cost(n)) for n in (10, 100, 1_000, 10_000)])
    assert fit["exponent"] == pytest.approx(exponent, abs=0.01)


def test_saving_rows_keeps_stored_rows_with_other_keys(tmp_path):
    scaling.save_rows(
        "part",
        [scaling.build_single_size_row("part.one", "w", "s", "n", 1, [3, 1, 2], "paper")],
        tmp_path,
    )
    scaling.save_rows(
        "part",
        [scaling.build_single_size_row("part.two", "w", "s", "n", 1, [5], "paper")],
        tmp_path,
    )
    scaling.save_rows(
        "part",
        [scaling.build_single_size_row("part.one", "w", "s", "n", 1, [7], "paper")],
        tmp_path,
    )
    rows = scaling.load_rows(tmp_path)
    assert {key: row["points"][0]["median"] for key, row in rows.items()} == {
        "part.one": 7,
        "part.two": 5,
    }
    assert all(row["part"] == "part" for row in rows.values())


def test_interrupted_write_leaves_the_previous_rows(tmp_path, monkeypatch):
    scaling.save_rows(
        "part", [scaling.build_single_size_row("first", "w", "s", "n", 1, [1], "paper")], tmp_path
    )
    write_text = Path.write_text

    def write_half_and_interrupt(file, text):
        write_text(file, text[: len(text) // 2])
        raise KeyboardInterrupt

    monkeypatch.setattr(Path, "write_text", write_half_and_interrupt)
    with pytest.raises(KeyboardInterrupt):
        scaling.save_rows(
            "part",
            [scaling.build_single_size_row("second", "w", "s", "n", 1, [1], "paper")],
            tmp_path,
        )
    assert [*scaling.load_rows(tmp_path)] == ["first"]


CONTINUOUS_WRITER_SCRIPT = """
import sys
from pathlib import Path
from benchmarks import scaling
rows = [
    scaling.build_single_size_row("k%d" % n, "w" * 1000, "s", "n", 1, [n], "paper")
    for n in range(3000)
]
print("begun", flush=True)
while True:
    scaling.save_rows("part", rows, Path(sys.argv[1]))
"""


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGKILL])
def test_signal_during_continuous_writes_leaves_complete_rows(signal_number, tmp_path):
    """A process is ended while it writes continuously: the file holds one complete write."""
    scaling.save_rows(
        "part", [scaling.build_single_size_row("first", "w", "s", "n", 1, [1], "paper")], tmp_path
    )
    process = subprocess.Popen(
        [sys.executable, "-c", CONTINUOUS_WRITER_SCRIPT, str(tmp_path)],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    try:
        assert process.stdout.readline() == b"begun\n"
        deadline = time.monotonic() + 2
        while not (tmp_path / "part.new").exists() and time.monotonic() < deadline:
            time.sleep(0)  # until the process is writing
        process.send_signal(signal_number)
        process.wait(20)
    finally:
        process.kill()
        process.stdout.close()
    rows = scaling.load_rows(tmp_path)
    assert len(rows) in (1, 3001) and "first" in rows


@pytest.mark.parametrize("role", ["page", "settings"])
def test_help_of_each_role_has_an_example(role):
    result = CliRunner().invoke(main, [role, "--help"])
    assert result.exit_code == 0 and "Example: python benchmarks/scale.py " + role in result.output


# Attribute reads of a decision.


class ReadCountingEngine(Engine):
    """An engine that counts reads of its attributes."""

    __slots__ = ()
    reads = 0

    def __getattribute__(self, name):
        ReadCountingEngine.reads += 1
        return super().__getattribute__(name)


def count_reads(operation):
    before = ReadCountingEngine.reads
    operation()
    return ReadCountingEngine.reads - before


def build_warm_gateway(engines):
    """Builds a gateway, one of 870, that has already handled statements with `engines` engines."""
    gateway_harness = GatewayHarness(
        [dict(QUICK_CLASS, name=f"o{n}", priority_weight=1.0 + n) for n in range(2)],
        engines=0,
        gateway_count=GATEWAY_COUNT,
        gateway_number=17,
    )
    gateway_harness.out = []
    gateway_harness.engines = [
        ReadCountingEngine(f"e{n}", b"e%d" % n, n % 5, n % 2, n // 8, cores=8.0)
        for n in range(engines)
    ]
    gateway_harness.update_engines(*gateway_harness.engines)
    run_statements(gateway_harness, 200)
    return gateway_harness


def run_statements(gateway_harness, statements, interval=STATEMENT_INTERVAL_TICKS):
    """Submits statements of seven table groups, one per `interval`, with two of them in flight."""
    for n in range(statements):
        gateway_harness.pass_time(interval)
        gateway_harness.out += gateway_harness.submit_request(
            n % 2,
            table_group=float(n % TABLE_GROUP_COUNT),
            tenant=n % 3,
            estimated_work=200,
            time_to_deadline=1_000,
        ).attempts
        while len(gateway_harness.out) > 2:
            gateway_harness.finish_attempt(
                gateway_harness.out.pop(0), AttemptOutcome.SUCCEEDED, took=300, work=200
            )


def reads_per_statement(engines):
    """Counts the reads per statement, with those of its answer and its timers."""
    gateway_harness, statements = build_warm_gateway(engines), 250
    return count_reads(lambda: run_statements(gateway_harness, statements)) / statements


def reads_per_statement_after_estimates_expire(engines):
    """Counts the reads per statement if cached estimates expire between two statements."""
    gateway_harness, statements = build_warm_gateway(engines), 20
    return (
        count_reads(
            lambda: run_statements(
                gateway_harness, statements, ESTIMATE_VALIDITY_TICKS + STATEMENT_INTERVAL_TICKS
            )
        )
        / statements
    )


def reads_per_feedback_interval(engines):
    """Counts the reads of a feedback interval and its timers, without statements."""
    gateway_harness = build_warm_gateway(engines)

    def period():
        gateway_harness.gateway.on_feedback_interval()
        gateway_harness.pass_time(FEEDBACK_INTERVAL_TICKS - 1)

    return count_reads(period)


def reads_of_first_statements_after_feedback(engines):
    """Counts the reads of the first statement of each table group after the feedback."""
    gateway_harness = build_warm_gateway(engines)
    gateway_harness.gateway.on_feedback_interval()
    return count_reads(lambda: run_statements(gateway_harness, TABLE_GROUP_COUNT))


def reads_per_list_change(engines):
    """Counts the reads of a list change that removes one engine and adds one."""
    gateway_harness = build_warm_gateway(engines)
    removed_engine, added_engine = (
        gateway_harness.engines[engines // 2],
        ReadCountingEngine("new", b"new", 0, 0, 0, cores=8.0),
    )

    def change():
        gateway_harness.gateway.on_engine_update(removed_engine, EngineState.GONE, 0)
        gateway_harness.gateway.on_engine_update(added_engine, EngineState.READY, 0)
        gateway_harness.gateway.on_engine_list_complete()

    return count_reads(change)


@pytest.mark.parametrize(
    "cost",
    [
        reads_per_statement,
        reads_per_statement_after_estimates_expire,
        reads_per_feedback_interval,
        reads_of_first_statements_after_feedback,
        reads_per_list_change,
    ],
)
def test_engine_reads_do_not_grow_with_the_number_of_engines(cost):
    found = {engines: cost(engines) for engines in ENGINE_COUNTS}
    assert all(each <= MAX_GROWTH_FACTOR * found[ENGINE_COUNTS[0]] for each in found.values()), (
        found
    )


@pytest.mark.parametrize(
    "cost",
    [
        reads_per_statement,
        reads_per_statement_after_estimates_expire,
        reads_of_first_statements_after_feedback,
    ],
)
def test_engine_reads_at_full_size_are_close_to_those_with_40_engines(cost):
    assert cost(ENGINE_COUNTS[-1]) <= MAX_GROWTH_FACTOR * cost(40)


def test_read_counter_counts_each_attribute_read():
    """A counter that misses a loop would let the tests above pass regardless of the decision."""
    engines = [ReadCountingEngine(f"e{n}", b"e", 0, 0, 0) for n in range(400)]
    assert count_reads(lambda: sum(e.cores for e in engines)) == 400
    assert count_reads(lambda: [e.state for e in engines[:40]]) == 40
