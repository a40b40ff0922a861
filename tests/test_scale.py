"""The capacity page against the kept rows; the frame that measures them; and what a decision may touch at size.

The counts stand for time: a loop over all engines reads something of each, so reads are counted,
and no clock is asked.
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
from benchmarks.capacity import Book
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
SIZES = 200, 400, 800, 1_800
GATEWAYS, STATEMENT = 870, 4  # tenths of a millisecond between two statements: 2,500 a second
GROUPS = 7  # of tables
GROWS = (
    1.5  # most that a count at a larger size may be of that at the smallest: flat, but for rounding
)


# The page.


def copied(tmp_path):
    """The rows, the text and the page, on a copy."""
    shutil.copytree(scaling.HOME, tmp_path / "capacity")
    shutil.copy(scaling.HOME.parent / "CAPACITY.md", tmp_path)
    return tmp_path / "capacity", tmp_path / "CAPACITY.md"


def test_page_and_rows_agree():
    assert scale_page.checked(scaling.HOME, scaling.HOME.parent / "CAPACITY.md") == ""


def test_a_figure_that_is_edited_on_the_page_is_found(tmp_path):
    home, page = copied(tmp_path)
    lines = page.read_text().splitlines()
    at, line = next(
        (n, line) for n, line in enumerate(lines) if line.startswith("|") and "(paper)" in line
    )
    figure = next(word for word in line.split() if word[0].isdigit())
    lines[at] = line.replace(figure, "9" + figure, 1)
    page.write_text("\n".join(lines) + "\n")
    ran = CliRunner().invoke(
        scale_page.command, ["--check", "--home", str(home), "--page", str(page)]
    )
    assert ran.exit_code == 1
    assert f"line {at + 1}:" in scale_page.checked(home, page)


ROW = {
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
def test_a_figure_that_is_edited_in_a_row_is_found(path, value):
    row = json.loads(json.dumps(ROW))
    if path[0] == "fit":  # that what is foretold no longer follows from it would be found as well
        del row["foretold"], row["checked"]
    assert scale_page.wrong(row) == ""
    inner = row
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    assert scale_page.wrong(row).startswith("alone.decision.engines: ")


@pytest.mark.parametrize(
    "tag, shown",
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
def test_a_figure_is_named_by_key_with_its_kind_and_never_invented(tag, shown):
    made = scale_page.Page({ROW["key"]: {**ROW, "part": "alone"}}).made(f"said: {tag}.\n")
    assert made.splitlines()[-1] == f"said: {shown}."


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
def test_a_text_that_names_what_cannot_be_is_refused(tag, tmp_path):
    (tmp_path / "page.md.in").write_text(tag)
    (tmp_path / "alone.json").write_text(json.dumps({"part": "alone", "rows": [ROW]}))
    ran = CliRunner().invoke(
        scale_page.command, ["--home", str(tmp_path), "--page", str(tmp_path / "page.md")]
    )
    assert ran.exit_code == 2 and not (tmp_path / "page.md").exists()


def test_what_is_missing_is_told_last_whatever_asked_for_it():
    made = scale_page.Page({}).made("{{table missing}}\n{{alone.never}}\n")
    assert "`alone.never`" in made and "`alone.decision.engines`" in made


def test_a_run_before_the_mechanism_stands_in_under_its_own_name():
    page = scale_page.Page(
        {ROW["key"] + ".before": {**ROW, "part": "alone", "key": ROW["key"] + ".before"}}
    )
    assert page.worked["serving.decision"].keys == ("alone.decision.engines.before",)
    assert page.named("alone.decision.engines") == "not run"


def test_a_wrong_factor_of_unit_is_not_hidden_by_the_largest_size():
    row = {**ROW, "foretold": {"at": 50, "value": 50.0}}
    row.pop("checked")
    assert (
        Book({"k": row}).figure("k").value == 400.0
    )  # the largest size there is, not the one foretold


def page_of(**kept):
    """Of rows of one size and value each."""
    return scale_page.Page(
        {
            key: {
                **scaling.single(key, f"{key}: what", "u", "n", at, [value], "hollow"),
                "part": "p",
            }
            for key, (at, value) in kept.items()
        }
    )


def test_what_is_over_budget_comes_first_and_what_has_not_run_is_named():
    made = page_of(
        **{
            "fleet.handover.lost": (870, 18.0),
            "fleet.rest.octets": (870, 3_600),
            "fleet.rest.processor": (870, 0.033),
        }
    ).over()
    found = [
        line.split(" | ")[:2] + line.split(" | ")[4:5]
        for line in made.splitlines()
        if " s (hollow)" in line or "a second (hollow)" in line or "core (hollow)" in line
    ]
    assert found == [
        ["| **over**", "2", "18 s (hollow)"],
        ["| close", "0.514", "3,600 octets a second (hollow)"],
        ["| within", "0.01", "0.033% of a core (hollow)"],
    ]
    assert (
        made.splitlines()[-1].startswith("With a budget, and not run: ")
        and "18 s" not in made.splitlines()[-1]
    )


def test_what_is_missing_is_ranked_serving_first_then_absent_then_by_factor():
    kept = {
        "fleet.rest.octets.holder": (870, 70_000),
        "fleet.rest.octets": (870, 7_001),
        "fleet.start.octets": (870, 1),
        "fleet.handover.lost": (870, 8.9),
        "settings.restart.unready": (1_800, 0.6),
        "settings.list.octets.long": (1_800, 1.01 * feed_wire.MAX_LINE_BYTES),
    }
    lines = page_of(**kept).next().splitlines()
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
        page_of(**{**kept, "settings.list.octets.long": (1_800, 1)})
        .next()
        .startswith("1. **A change of conf")
    )


def test_a_row_within_its_budget_tells_at_which_size_it_passes_it():
    points = [(n, 2.0 + n / 870) for n in (30, 100, 300, 600)]
    row = scaling.slope(
        "fleet.handover.lost", "w", "s", "n", [n for n, _ in points], dict(points).get, full=870
    )
    page = scale_page.Page({row["key"]: {**row, "part": "fleet"}})
    found = [
        line.split(" | ") for line in page.grown().splitlines() if "nobody holds the duty" in line
    ]
    assert page.worked["holder.handover.lost"].value == pytest.approx(3.0)
    assert len(found) == 1 and 7 <= float(found[0][0].strip("| ")) <= 7 * 1.05  # 2 + m passes 9


def test_a_figure_of_a_run_before_the_working_set_says_so():
    before, after = (
        page_of(**{key: (1_800, 0.1)}).over() for key in (ROW["key"] + ".before", ROW["key"])
    )
    assert "(not in this run)" in before and "(not in this run)" not in after


def test_options_stand_side_by_side():
    made = page_of(
        **{
            "subset.one.even": (870, 1.2),
            "subset.two.even": (870, 3.4),
            "subset.two.links": (870, 7),
        }
    ).options("subset", "one", "two")
    assert made.splitlines()[2:] == [
        "| what | u | 1.2 | 3.4 | hollow |",
        "| what | u | not run | 7 | hollow |",
    ]


# Configuration.


def test_gossip_reaches_all_and_none_hears_what_no_datagram_brought():
    assert 0 < dissemination.measure_dissemination(60, 400, 2, 0.3, 1)[0] < 20
    lost = dissemination.Dissemination(60, 400, 2, loss=1.0)
    assert lost.run(3 * SECOND) == -1 and sum(member.is_complete for member in lost.members) == 1


def test_a_whole_in_pieces_comes_together_from_several():
    model = dissemination.Dissemination(40, 20 * dissemination.CHUNK_BYTES, 2, loss=0.4, seed=3)
    assert model.run(30 * SECOND) > 0
    assert all(member.chunks == set(range(20)) for member in model.members)


def test_a_quick_run_of_the_settings_keeps_nothing(monkeypatch):
    monkeypatch.setattr(scale_settings, "kept", lambda *_: pytest.fail("a quick run was kept"))
    ran = CliRunner().invoke(scale_settings.command, ["--quick", "--rows", "sizes", "--json"])
    rows = {row["key"]: row for row in json.loads(ran.stdout)}
    assert ran.exit_code == 0 and all(scale_page.wrong(row) == "" for row in rows.values())
    assert rows["settings.list.octets"]["fit"]["exponent"] > 0.9
    assert CliRunner().invoke(scale_settings.command, ["--rows", "never"]).exit_code == 2


def test_the_configuration_that_is_measured_is_one_that_serving_takes():
    post = PlatformConfig(scale_settings.configuration(30, 20, 50), "")
    settings = build_settings(post, UnstartedHost())
    assert (
        len(settings.request_classes),
        len(settings.tenants),
        len(post.known_events[0]["members"]["servers"]),
    ) == (20, 50, 30)


# The frame.


@pytest.mark.parametrize(
    "processes, memory, what",
    [(scaling.MOST_PROCESSES + 1, 1, "processes"), (1, 1e9, "MB"), (scaling.MOST_PROCESSES, 1, "")],
)
def test_a_trial_that_is_too_large_is_refused_beforehand(processes, memory, what):
    if not what:
        return scaling.bounded(processes, memory)
    with pytest.raises(scaling.TooLarge, match=what):
        scaling.bounded(processes, memory)


def test_a_slope_foretells_full_size_and_tells_its_error():
    row = scaling.slope(
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
    assert scale_page.wrong(row) == ""


@pytest.mark.parametrize(
    "cost, exponent", [(lambda n: 7.0, 0), (lambda n: 2.0 * n, 1), (lambda n: n * n / 9, 2)]
)
def test_the_exponent_tells_flat_from_linear(cost, exponent):
    fit = scaling.fitted([(n, cost(n)) for n in (10, 100, 1_000, 10_000)])
    assert fit["exponent"] == pytest.approx(exponent, abs=0.01)


def test_rows_of_other_keys_stay_as_a_part_is_measured_in_several_runs(tmp_path):
    scaling.kept(
        "part", [scaling.single("part.one", "w", "s", "n", 1, [3, 1, 2], "paper")], tmp_path
    )
    scaling.kept("part", [scaling.single("part.two", "w", "s", "n", 1, [5], "paper")], tmp_path)
    scaling.kept("part", [scaling.single("part.one", "w", "s", "n", 1, [7], "paper")], tmp_path)
    rows = scaling.read(tmp_path)
    assert {key: row["points"][0]["median"] for key, row in rows.items()} == {
        "part.one": 7,
        "part.two": 5,
    }
    assert all(row["part"] == "part" for row in rows.values())


def test_an_interrupt_in_the_midst_of_a_writing_leaves_what_was(tmp_path, monkeypatch):
    scaling.kept("part", [scaling.single("first", "w", "s", "n", 1, [1], "paper")], tmp_path)
    writes = Path.write_text

    def half(file, text):
        writes(file, text[: len(text) // 2])
        raise KeyboardInterrupt

    monkeypatch.setattr(Path, "write_text", half)
    with pytest.raises(KeyboardInterrupt):
        scaling.kept("part", [scaling.single("second", "w", "s", "n", 1, [1], "paper")], tmp_path)
    assert [*scaling.read(tmp_path)] == ["first"]


INTERRUPTED = """
import sys
from pathlib import Path
from benchmarks import scaling
rows = [scaling.single("k%d" % n, "w" * 1000, "s", "n", 1, [n], "paper") for n in range(3000)]
print("begun", flush=True)
while True:
    scaling.kept("part", rows, Path(sys.argv[1]))
"""


@pytest.mark.parametrize("sign", [signal.SIGINT, signal.SIGKILL])
def test_an_interrupt_leaves_the_rows_whole(sign, tmp_path):
    """It is ended while it writes without a pause: what lies there is one whole writing or none."""
    scaling.kept("part", [scaling.single("first", "w", "s", "n", 1, [1], "paper")], tmp_path)
    ran = subprocess.Popen(
        [sys.executable, "-c", INTERRUPTED, str(tmp_path)],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    try:
        assert ran.stdout.readline() == b"begun\n"
        until = time.monotonic() + 2
        while not (tmp_path / "part.new").exists() and time.monotonic() < until:
            time.sleep(0)  # until it is in the midst of a writing
        ran.send_signal(sign)
        ran.wait(20)
    finally:
        ran.kill()
        ran.stdout.close()
    rows = scaling.read(tmp_path)
    assert len(rows) in (1, 3001) and "first" in rows


@pytest.mark.parametrize("role", ["page", "settings"])
def test_each_role_helps_with_an_example(role):
    ran = CliRunner().invoke(main, [role, "--help"])
    assert ran.exit_code == 0 and "Example: python benchmarks/scale.py " + role in ran.output


# What a decision touches.


class Counted(Engine):
    """An engine that counts what is read of it."""

    __slots__ = ()
    reads = 0

    def __getattribute__(self, name):
        Counted.reads += 1
        return super().__getattribute__(name)


def counted(act):
    before = Counted.reads
    act()
    return Counted.reads - before


def worked(engines):
    """A gateway of 870 that has worked for a while before so many engines."""
    yard = GatewayHarness(
        [dict(QUICK_CLASS, name=f"o{n}", priority_weight=1.0 + n) for n in range(2)],
        engines=0,
        gateway_count=GATEWAYS,
        gateway_number=17,
    )
    yard.out = []
    yard.engines = [
        Counted(f"e{n}", b"e%d" % n, n % 5, n % 2, n // 8, cores=8.0) for n in range(engines)
    ]
    yard.update_engines(*yard.engines)
    play(yard, 200)
    return yard


def play(yard, statements, each=STATEMENT):
    """Statements of seven table groups as they come, each answered while the next two are out; the time goes on."""
    for n in range(statements):
        yard.pass_time(each)
        yard.out += yard.submit_request(
            n % 2,
            table_group=float(n % GROUPS),
            tenant=n % 3,
            estimated_work=200,
            time_to_deadline=1_000,
        ).attempts
        while len(yard.out) > 2:
            yard.finish_attempt(yard.out.pop(0), AttemptOutcome.SUCCEEDED, took=300, work=200)


def of_decisions(engines):
    """Reads a statement, with what its answer and its timers read."""
    yard, statements = worked(engines), 250
    return counted(lambda: play(yard, statements)) / statements


def of_a_moment(engines):
    """Reads a statement where each comes after a moment, when figures that stand for one are renewed."""
    yard, statements = worked(engines), 20
    return counted(lambda: play(yard, statements, ESTIMATE_VALIDITY_TICKS + STATEMENT)) / statements


def of_a_period(engines):
    """Reads of the feedback and of all timers until the next, without a statement."""
    yard = worked(engines)

    def period():
        yard.gateway.on_feedback_interval()
        yard.pass_time(FEEDBACK_INTERVAL_TICKS - 1)

    return counted(period)


def of_new_orders(engines):
    """Reads of the first statement of each table group after the feedback."""
    yard = worked(engines)
    yard.gateway.on_feedback_interval()
    return counted(lambda: play(yard, GROUPS))


def of_a_change(engines):
    """Reads as the list tells of one engine that leaves and one that comes."""
    yard = worked(engines)
    leaves, comes = yard.engines[engines // 2], Counted("new", b"new", 0, 0, 0, cores=8.0)

    def change():
        yard.gateway.on_engine_update(leaves, EngineState.GONE, 0)
        yard.gateway.on_engine_update(comes, EngineState.READY, 0)
        yard.gateway.on_engine_list_complete()

    return counted(change)


@pytest.mark.parametrize(
    "cost", [of_decisions, of_a_moment, of_a_period, of_new_orders, of_a_change]
)
def test_what_is_touched_stays_flat_in_engines(cost):
    found = {engines: cost(engines) for engines in SIZES}
    assert all(each <= GROWS * found[SIZES[0]] for each in found.values()), found


@pytest.mark.parametrize("cost", [of_decisions, of_a_moment, of_new_orders])
def test_a_decision_before_all_engines_touches_little_more_than_before_forty(cost):
    assert cost(SIZES[-1]) <= GROWS * cost(40)


def test_the_count_itself_tells_flat_from_linear():
    """Danger: a count that misses a loop would pass whatever the decision does."""
    engines = [Counted(f"e{n}", b"e", 0, 0, 0) for n in range(400)]
    assert counted(lambda: sum(e.cores for e in engines)) == 400
    assert counted(lambda: [e.state for e in engines[:40]]) == 40
