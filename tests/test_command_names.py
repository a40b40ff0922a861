"""Old command names: same output and exit code as the new name, and a notice of the new name."""

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner, Result

from corkgauge.commands import ALIASES, COMMANDS, group

# Answers of a gateway's HTTP listener, reduced to the fields that the commands read.
ANSWERS: dict[str, Any] = {
    "/fellows": {
        "name": "n1",
        "health": 0,
        "counters": {"letters taken": 3, "letters unsealed": 1},
        "fellows": {"n2": {"state": "gone", "for": 12.3}, "n3": {"state": "alive", "for": None}},
    },
    "/duties": {
        "name": "n1",
        "voters": ["n1", "n2", "n3"],
        "version": 1,
        "voting": True,
        "duties": {
            "books": {
                "holder": "n1",
                "fence": 7,
                "for": 3.0,
                "left": 0.5,
                "why": "held",
                "lent": "",
                "wanted": True,
            }
        },
        "books": {"books": {"entries": []}},
    },
    "/works": {
        "holder": "n1",
        "time": 12.0,
        "held": "",
        "forgotten": False,
        "known": False,
        "fresh": True,
        "asks": [],
        "units": [],
    },
    "/shared": {
        "name": "n1",
        "findings": 0,
        "octets": 0,
        "strict": 0.5,
        "engines": {},
        "counters": {"turns passed on": 0},
    },
}


class Case(NamedTuple):
    """Arguments of an old command name and the expected exit code.

    The test replaces GATEWAY and FOLDER by an address and a temporary folder.
    """

    old_name: str
    arguments: tuple[str, ...]
    exit_code: int


CASES = [
    Case("figures", ("/nowhere.sock",), 2),
    Case("figures", ("GATEWAY",), 2),
    Case("recall", ("show", "FOLDER", "--json"), 0),
    Case("recall", ("check", "FOLDER"), 0),
    Case("recall", ("prune", "FOLDER", "--gateway", "n"), 2),
    Case("fellows", ("GATEWAY",), 1),
    Case("fellows", ("GATEWAY", "--json"), 1),
    Case("duties", ("show", "GATEWAY"), 0),
    Case("duties", ("show", "GATEWAY", "--json"), 0),
    Case("duties", ("yield", "/nowhere.sock", "books"), 2),
    Case("works", ("show", "GATEWAY"), 1),
    Case("works", ("show", "GATEWAY", "--json"), 1),
    Case("works", ("ask", "GATEWAY", "nothing", "e1"), 2),
    Case("shared", ("show", "GATEWAY"), 1),
    Case("shared", ("show", "GATEWAY", "--json"), 1),
    Case("drills", ("draw", "--seconds", "5"), 0),
    Case("drills", ("run", "/nowhere.txt"), 2),
    Case("try", ("--seconds", "0"), 2),
    *(Case(old_name, ("--help",), 0) for old_name in ALIASES),
]


class Listener(BaseHTTPRequestHandler):
    """Serves `ANSWERS` like the HTTP listener of a gateway."""

    def do_GET(self) -> None:
        answer = ANSWERS.get(self.path)
        self.send_response(404 if answer is None else 200)
        self.end_headers()
        self.wfile.write(json.dumps(answer).encode())

    def log_message(self, *_: Any) -> None:
        pass


@pytest.fixture(scope="module")
def gateway() -> Iterator[str]:
    """Yield the address of a listener that serves `ANSWERS`."""
    with HTTPServer(("127.0.0.1", 0), Listener) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()
        thread.join()


def run(*arguments: str) -> Result:
    return CliRunner().invoke(group, arguments, prog_name="corkgauge")


def alias_notice(old_name: str) -> str:
    new_name = ALIASES[old_name]
    return f"corkgauge: '{old_name}' is now '{new_name}'; the next version removes the old name\n"


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: "-".join((case.old_name, *case.arguments)).replace("/", "")
)
def test_old_name_gives_same_result_and_prints_new_name(
    case: Case, gateway: str, tmp_path: Path
) -> None:
    replacements = {"GATEWAY": gateway, "FOLDER": str(tmp_path)}
    arguments = [replacements.get(argument, argument) for argument in case.arguments]

    by_new_name, by_old_name = (
        run(ALIASES[case.old_name], *arguments),
        run(case.old_name, *arguments),
    )

    assert (by_old_name.stdout, by_old_name.exit_code) == (
        by_new_name.stdout,
        by_new_name.exit_code,
    )
    assert by_old_name.stderr == alias_notice(case.old_name) + by_new_name.stderr
    assert by_new_name.exit_code == case.exit_code


def test_every_old_name_has_a_case_and_a_command() -> None:
    assert {case.old_name for case in CASES} == set(ALIASES)
    assert set(ALIASES.values()) <= set(COMMANDS)
    assert not set(ALIASES) & set(COMMANDS)


def test_program_prints_alias_notice_on_standard_error() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "corkgauge", "drills", "draw", "--seconds", "5"],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )

    assert process.stderr == alias_notice("drills")
    assert process.stdout.startswith("at ")


def test_help_lists_only_new_names() -> None:
    lines = run("--help").stdout.partition("Commands:\n")[2].splitlines()

    assert [line.split()[0] for line in lines if line.strip()] == [*COMMANDS]


@pytest.mark.parametrize("name", COMMANDS)
def test_help_of_each_command_has_an_example(name: str) -> None:
    _, _, after_usage = run(name, "--help").stdout.partition("\n")

    assert f"corkgauge {name}" in after_usage


def test_unknown_name_is_wrong_usage() -> None:
    result = run("fellow")

    assert result.exit_code == 2
    assert "No such command 'fellow'" in result.stderr
