"""Tests of the decision trace: equal to the record, deterministic, sensitive to constants."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks import decision_trace

ROOT = Path(__file__).parent.parent
RECORDED = json.loads((ROOT / "benchmarks" / "decision_trace.json").read_text())
SCENARIO = "three-engines"


def test_short_trace_equals_the_recorded_hashes():
    hashes = decision_trace.trace_hashes(RECORDED["seed"], decision_trace.SHORT_SCENARIOS)

    assert hashes == {
        name: RECORDED["scenarios"][name] for name in decision_trace.SHORT_SCENARIOS
    }, (
        f"decisions differ (floats added as {decision_trace.float_sum()} here, "
        f"{RECORDED['float_sum']} in the record)"
    )


def test_record_holds_every_scenario_and_their_overall_hash():
    names = [scenario.name for scenario in decision_trace.SCENARIOS]

    assert list(RECORDED["scenarios"]) == names
    assert decision_trace.overall_hash(RECORDED["scenarios"]) == RECORDED["overall"]


@pytest.mark.parametrize("hash_seed", ["0", "1", "4711"])
def test_hash_does_not_depend_on_the_string_hash_seed(hash_seed):
    program = (
        "from benchmarks.decision_trace import trace_hashes\n"
        f"print(trace_hashes({RECORDED['seed']}, ({SCENARIO!r},))[{SCENARIO!r}])\n"
    )
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}

    result = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )

    assert result.stdout.strip() == RECORDED["scenarios"][SCENARIO]


def test_another_seed_gives_another_hash():
    hashes = decision_trace.trace_hashes(RECORDED["seed"] + 1, (SCENARIO,))

    assert hashes[SCENARIO] != RECORDED["scenarios"][SCENARIO]


def test_hash_changes_when_a_tuned_constant_changes(monkeypatch):
    module, constant = decision_trace.TUNED_SAMPLE
    monkeypatch.setattr(module, constant, getattr(module, constant) * 1.1)

    hashes = decision_trace.trace_hashes(RECORDED["seed"], (SCENARIO,))

    assert hashes[SCENARIO] != RECORDED["scenarios"][SCENARIO]


def test_differences_name_the_scenario_that_differs():
    changed = {**RECORDED, "scenarios": {**RECORDED["scenarios"], SCENARIO: "0"}}

    lines = decision_trace.differences(changed, RECORDED)

    assert lines == [f"{SCENARIO}: 0, recorded {RECORDED['scenarios'][SCENARIO]}"]


def test_no_differences_between_equal_records():
    assert decision_trace.differences(RECORDED, RECORDED) == []
