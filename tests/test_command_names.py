"""Commands by their earlier names: the same output and exit code, and a line with the new one."""

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

# What a gateway's listener tells, as far as the commands look at it.
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
    """What follows a command's name, and how it ends. GATEWAY and FOLDER are filled in."""

    earlier: str
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
    *(Case(earlier, ("--help",), 0) for earlier in ALIASES),
]


class Listener(BaseHTTPRequestHandler):
    """Answers as a gateway's listener does."""

    def do_GET(self) -> None:
        answer = ANSWERS.get(self.path)
        self.send_response(404 if answer is None else 200)
        self.end_headers()
        self.wfile.write(json.dumps(answer).encode())

    def log_message(self, *_: Any) -> None:
        pass


@pytest.fixture(scope="module")
def gateway() -> Iterator[str]:
    """The address of a listener that tells `ANSWERS`."""
    with HTTPServer(("127.0.0.1", 0), Listener) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()
        thread.join()


def run(*arguments: str) -> Result:
    return CliRunner().invoke(group, arguments, prog_name="corkgauge")


def notice(earlier: str) -> str:
    name = ALIASES[earlier]
    return f"corkgauge: '{earlier}' is now '{name}'; the old name goes with the next version\n"


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: "-".join((case.earlier, *case.arguments)).replace("/", "")
)
def test_earlier_name_does_the_same_and_says_the_new_one(
    case: Case, gateway: str, tmp_path: Path
) -> None:
    filled = {"GATEWAY": gateway, "FOLDER": str(tmp_path)}
    arguments = [filled.get(each, each) for each in case.arguments]

    new, earlier = run(ALIASES[case.earlier], *arguments), run(case.earlier, *arguments)

    assert (earlier.stdout, earlier.exit_code) == (new.stdout, new.exit_code)
    assert earlier.stderr == notice(case.earlier) + new.stderr
    assert new.exit_code == case.exit_code


def test_every_earlier_name_has_a_case_and_a_command() -> None:
    assert {case.earlier for case in CASES} == set(ALIASES)
    assert set(ALIASES.values()) <= set(COMMANDS)
    assert not set(ALIASES) & set(COMMANDS)


def test_the_notice_comes_on_standard_error_of_the_program() -> None:
    said = subprocess.run(
        [sys.executable, "-m", "corkgauge", "drills", "draw", "--seconds", "5"],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )

    assert said.stderr == notice("drills")
    assert said.stdout.startswith("at ")


def test_help_lists_the_new_names_alone() -> None:
    listed = run("--help").stdout.partition("Commands:\n")[2].splitlines()

    assert [line.split()[0] for line in listed if line.strip()] == [*COMMANDS]


@pytest.mark.parametrize("name", COMMANDS)
def test_help_of_each_command_has_an_example(name: str) -> None:
    _, _, after_usage = run(name, "--help").stdout.partition("\n")

    assert f"corkgauge {name}" in after_usage


def test_a_name_that_never_was_is_misuse() -> None:
    said = run("fellow")

    assert said.exit_code == 2
    assert "No such command 'fellow'" in said.stderr
