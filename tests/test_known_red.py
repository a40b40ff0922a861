"""KNOWN-RED.txt, the list of tests known to fail: what CI deselects, and which lists it rejects."""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = """
import pytest


def test_red():
    assert 0


def test_green():
    assert 1


def test_green_too():
    assert 1


def test_skipped():
    pytest.skip()


@pytest.mark.parametrize("number", [1, 2])
def test_numbers(number):
    assert number == 2


class TestGroup:
    def test_red(self):
        assert 0
"""
# Settings as in pyproject.toml: the `-q` must not change what the script reads.
SETTINGS = "[pytest]\naddopts = -q -p no:cacheprovider\n"


def line(
    test: str = "test_some.py::test_red",
    command: str = "pytest test_some.py",
    seed: str = "7",
    seen: str = "not mended",
    frequency: str = "always",
    issue: str = "33",
) -> str:
    return " | ".join((test, command, seed, seen, frequency, issue))


def flaky(test: str) -> str:
    return line(test=f"test_some.py::{test}", frequency="fails 1 of 10 runs")


def deselected(*tests: str) -> str:
    return "".join(f"--deselect=test_some.py::{test}\n" for test in tests)


class ListCase(NamedTuple):
    """A list, the options that the script prints for pytest, and a part of its standard error."""

    id: str
    text: str | None
    printed: str = ""
    message: str = ""


ACCEPTED = [
    ListCase("no_file", None),
    ListCase("comments_and_blank_lines", "# none\n\n"),
    ListCase(
        "always",
        line(),
        deselected("test_red"),
        "known red: test_some.py::test_red: not mended "
        "(always; seed 7; issue 33; pytest test_some.py)\n",
    ),
    ListCase("no_seed", line(seed="none"), deselected("test_red"), "seed none"),
    ListCase(
        "flaky_that_fails_now",
        flaky("test_red"),
        deselected("test_red"),
        "known red: test_some.py::test_red: not mended "
        "(fails 1 of 10 runs; seed 7; issue 33; pytest test_some.py)\n",
    ),
    ListCase(
        "flaky_that_passes_now",
        flaky("test_green_too"),
        deselected("test_green_too"),
        "known red: test_some.py::test_green_too: ",
    ),
    ListCase(
        "frequency_without_fails",
        line(frequency="9 of 10 runs"),
        deselected("test_red"),
        "9 of 10 runs",
    ),
    ListCase(
        "always_with_parameters",
        line(test="test_some.py::test_numbers[1]"),
        deselected("test_numbers[1]"),
        "test_numbers[1]",
    ),
    ListCase(
        "flaky_with_parameters",
        flaky("test_numbers[2]"),
        deselected("test_numbers[2]"),
        "test_numbers[2]",
    ),
    ListCase(
        "method_of_a_class",
        line(test="test_some.py::TestGroup::test_red"),
        deselected("TestGroup::test_red"),
        "TestGroup",
    ),
    ListCase(
        "names_that_begin_alike_and_are_all_listed",
        "\n".join((flaky("test_green"), flaky("test_green_too"))),
        deselected("test_green", "test_green_too"),
        "known red: test_some.py::test_green_too: ",
    ),
    ListCase(
        "three_cases_comments_and_blank_lines",
        "\n".join(("# three", flaky("test_numbers[1]"), "", line(), flaky("test_numbers[2]"))),
        deselected("test_numbers[1]", "test_red", "test_numbers[2]"),
        "known red: test_some.py::test_red: ",
    ),
]
REJECTED = [
    ListCase(
        "passes", line(test="test_some.py::test_green_too"), message="but it passes; take the"
    ),
    ListCase("skipped", line(test="test_some.py::test_skipped"), message="but it passes; take the"),
    ListCase("no_such_test", line(test="test_some.py::test_gone"), message="cannot be run"),
    ListCase("no_such_file", line(test="test_none.py::test_red"), message="cannot be run"),
    ListCase(
        "flaky_no_such_test", flaky("test_gone"), message="the full name test_some.py::test_gone"
    ),
    ListCase(
        "flaky_no_such_file",
        line(test="test_none.py::test_red", frequency="fails 1 of 2 runs"),
        message="the full name test_none.py::test_red",
    ),
    ListCase(
        "always_without_parameters",
        line(test="test_some.py::test_numbers"),
        message="the full name test_some.py::test_numbers",
    ),
    ListCase(
        "flaky_without_parameters", flaky("test_numbers"), message="the full name test_some.py::"
    ),
    ListCase(
        "whole_class", line(test="test_some.py::TestGroup"), message="the full name test_some.py"
    ),
    ListCase(
        "another_spelling_of_the_path",
        line(test="sub/../test_some.py::test_red"),
        message="the full name sub/../test_some.py::test_red",
    ),
    ListCase(
        "name_that_another_test_begins_with",
        flaky("test_green"),
        message="would also deselect test_some.py::test_green_too",
    ),
    ListCase("file_alone", line(test="test_some.py"), message="test: expected a full test name"),
    ListCase("option_as_test", line(test="--co.py::x"), message="test: expected a full test name"),
    ListCase(
        "no_test_in_file", line(test="test_some.py::"), message="test: expected a full test name"
    ),
    ListCase("not_a_python_file", line(test="a.txt::b"), message="test: expected a full test name"),
    ListCase("empty_test", line(test=""), message="expected `test | command | seed"),
    ListCase("empty_command", line(command=""), message="command: expected the command"),
    ListCase("empty_seed", line(seed=""), message="seed: expected a seed or `none`"),
    ListCase("empty_seen", line(seen=""), message="seen: expected what was seen"),
    ListCase("empty_frequency", line(frequency=""), message="frequency: expected `always` or"),
    ListCase("empty_issue", line(issue=""), message="expected `test | command | seed"),
    ListCase("seed_in_words", line(seed="any"), message="seed: expected a seed or `none`"),
    ListCase(
        "frequency_in_words", line(frequency="often"), message="frequency: expected `always` or"
    ),
    ListCase(
        "no_failure", line(frequency="fails 0 of 9 runs"), message="with 0 < N < M, or `always`"
    ),
    ListCase(
        "all_fail", line(frequency="fails 9 of 9 runs"), message="with 0 < N < M, or `always`"
    ),
    ListCase(
        "more_fail", line(frequency="fails 9 of 3 runs"), message="with 0 < N < M, or `always`"
    ),
    ListCase(
        "negative", line(frequency="fails -1 of 3 runs"), message="frequency: expected `always`"
    ),
    ListCase(
        "fraction", line(frequency="fails 1.5 of 3 runs"), message="frequency: expected `always`"
    ),
    ListCase(
        "more_text", line(frequency="always, says CI"), message="frequency: expected `always`"
    ),
    ListCase("issue_in_words", line(issue="none"), message="issue: expected the number of an open"),
    ListCase("issue_zero", line(issue="0"), message="issue: expected the number of an open issue"),
    ListCase("earlier_form", "test_some.py::test_red | x | 33", message="expected `test | command"),
    ListCase("two_fields", "test_some.py::test_red | x", message="expected `test | command | seed"),
    ListCase(
        "empty_field_of_three", "test_some.py::test_red |  | 33", message="expected `test | com"
    ),
    ListCase("five_fields", line().rpartition(" | ")[0], message="expected `test | command | seed"),
    ListCase("seven_fields", line() + " | more", message="expected `test | command | seed"),
    ListCase(
        "four_cases",
        "\n".join([line()] * 4),
        message="KNOWN-RED.txt:4: expected at most 3 cases, found 4",
    ),
    ListCase(
        "second_case_is_malformed",
        "\n".join(("# comment", line(), "", line(issue="x"))),
        message="KNOWN-RED.txt:4: issue: expected",
    ),
    ListCase(
        "second_case_passes",
        "\n".join((line(), line(test="test_some.py::test_green_too"))),
        message="KNOWN-RED.txt:2: expected test_some.py::test_green_too to fail",
    ),
]


def write_files(folder: Path, text: str | None) -> None:
    (folder / "pytest.ini").write_text(SETTINGS)
    (folder / "test_some.py").write_text(TESTS)
    if text is not None:
        (folder / "KNOWN-RED.txt").write_text(text)


def run_script(folder: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, str(SCRIPT)], cwd=folder, capture_output=True, text=True)


@pytest.mark.parametrize("listed", ACCEPTED, ids=lambda listed: listed.id)
def test_listed_tests_are_deselected_and_printed(listed: ListCase, tmp_path: Path) -> None:
    write_files(tmp_path, listed.text)

    script = run_script(tmp_path)

    assert (script.returncode, script.stdout) == (0, listed.printed)
    assert listed.message in script.stderr
    assert len(script.stderr.splitlines()) == len(listed.printed.splitlines())


@pytest.mark.parametrize("listed", REJECTED, ids=lambda listed: listed.id)
def test_list_that_breaks_a_rule_is_rejected_with_one_line(
    listed: ListCase, tmp_path: Path
) -> None:
    write_files(tmp_path, listed.text)

    script = run_script(tmp_path)

    assert (script.returncode, script.stdout) == (1, "")
    assert listed.message in script.stderr
    (only_line,) = script.stderr.splitlines()
    assert only_line.startswith("KNOWN-RED.txt:")


def test_pytest_deselects_the_listed_tests_and_no_other(tmp_path: Path) -> None:
    write_files(tmp_path, "\n".join((line(), flaky("test_numbers[1]"))))
    options = run_script(tmp_path).stdout.splitlines()

    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-v", "-v", "--no-header", *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )

    outcomes = {
        words[0]: words[1]
        for words in map(str.split, result.stdout.splitlines())
        if words and words[0].startswith("test_some.py::")
    }
    assert outcomes == {
        "test_some.py::test_green": "PASSED",
        "test_some.py::test_green_too": "PASSED",
        "test_some.py::test_skipped": "SKIPPED",
        "test_some.py::test_numbers[2]": "PASSED",
        "test_some.py::TestGroup::test_red": "FAILED",
    }
    assert "2 deselected" in result.stdout


def test_list_is_checked_without_settings_of_pytest(tmp_path: Path) -> None:
    write_files(tmp_path, flaky("test_green_too"))
    (tmp_path / "pytest.ini").unlink()

    script = run_script(tmp_path)

    assert (script.returncode, script.stdout) == (0, deselected("test_green_too"))
