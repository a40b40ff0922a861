"""Runs a fleet of hollow members in a few processes and controls them from one place.

A hollow member runs the subsystems of a gateway that talk to other gateways, and serves no
requests. Owns the processes and the zone and rack of each member. Leaves no process behind, and
reads the state of members only through their counters.

The fleet has five zones in two regions (of three and two zones) and racks of 20 members. Three
voters run on dedicated machines, here each in its own process; a voter is never a candidate.
"""

import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from corkgauge.testkit.fleet.hollow_node import ELEMENTS
from corkgauge.testkit.fleet.parent_process import kill_with_parent

ZONE_COUNT, RACK_SIZE, VOTER_COUNT = 5, 20, 3
FIRST_REGION = "z0", "z1", "z2"  # the other zones are the second region
POLL_SECONDS = 0.1  # between two queries of all processes


class FleetTimeoutError(RuntimeError):
    """The fleet did not reach an expected state in time; the message names the state reached."""


class HollowProcess:
    """A child process of hollow members, controlled over its standard input and output."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "corkgauge.testkit.fleet.hollow_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=kill_with_parent(os.getpid()),
        )

    def send_order(self, order: bytes) -> None:
        """Send an order, a line of JSON."""
        self.process.stdin.write(order)
        self.process.stdin.flush()

    def read_answer(self) -> Any:
        """Wait for the answer to the earliest unanswered order and return it."""
        line = self.process.stdout.readline()
        if not line:
            raise FleetTimeoutError(
                f"a process of the fleet ended with exit code {self.process.wait()}; "
                "see its standard error output"
            )
        return json.loads(line)


class Fleet:
    """Runs `many` hollow members in `processes`, and the voters; a context manager.

    All processes are killed at the end of the context.

    >>> with Fleet(4, 2) as fleet:
    ...     fleet.start()
    ...     taken = fleet.until_known(60)
    ...     fleet.known()
    [7, 7]
    """

    def __init__(self, many: int, processes: int = 20, elements: Sequence[str] = ELEMENTS) -> None:
        self.managers = [f"wm{n:04d}" for n in range(many)]
        self.voters = [f"voter{n}" for n in range(VOTER_COUNT)]
        self.zone = {name: f"z{n % ZONE_COUNT}" for n, name in enumerate(self.managers)}
        self.zone |= {name: f"z{n}" for n, name in enumerate(self.voters)}
        self.rack = {
            name: f"{self.zone[name]}r{n // ZONE_COUNT // RACK_SIZE}"
            for n, name in enumerate(self.managers)
        }
        self.elements, self.hollow_processes = elements, list[HollowProcess]()
        self.processes = min(processes, many)

    def __enter__(self) -> "Fleet":
        self.hollow_processes = [HollowProcess() for _ in range(self.processes + VOTER_COUNT)]
        try:
            parts = [self.managers[n :: self.processes] for n in range(self.processes)]
            parts += [[name] for name in self.voters]
            numbers = {name: n for n, name in enumerate([*self.managers, *self.voters])}
            for hollow_process, names in zip(self.hollow_processes, parts):
                hollow_process.send_order(
                    _line("bind", names=names, numbers=[numbers[name] for name in names])
                )
            self.ports: dict[str, int] = {}
            for hollow_process in self.hollow_processes:
                self.ports |= hollow_process.read_answer()
            roster = json.dumps([[name, self.ports[name], self.zone[name]] for name in numbers])
            self.all("roster", roster=roster, voters=self.voters, elements=[*self.elements])
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        for hollow_process in self.hollow_processes:
            hollow_process.process.kill()
        for hollow_process in self.hollow_processes:
            hollow_process.process.wait()
            hollow_process.process.stdin.close()
            hollow_process.process.stdout.close()

    def all(self, do: str, **arguments: Any) -> list[Any]:
        """Send the same order to every process, then collect all answers."""
        order = _line(do, **arguments)
        for hollow_process in self.hollow_processes:
            hollow_process.send_order(order)
        return [hollow_process.read_answer() for hollow_process in self.hollow_processes]

    # Controlling members.

    def start(self, names: Sequence[str] | None = None, over: float = 0.0) -> None:
        """Start these members, or all, at random times within `over` seconds."""
        self.all("start", names=[*(names or self.ports)], over=over)

    def start_at_rest(self, most: float = 30.0) -> None:
        """Start all members and tell each the incarnations of all others.

        With 870 members, gossip about the start of all takes minutes; a measurement of a fleet at
        rest does not need to wait for that.
        """
        self.start(over=1.0)
        self.until("all are started", lambda: [len(self.starts()), len(self.ports)], most)
        self.all("told", starts=self.starts())

    def starts(self) -> dict[str, int]:
        """Return the incarnation of each running member."""
        return {name: each for part in self.all("starts") for name, each in part.items()}

    def end(self, names: Sequence[str], over: float = 0.0, again: float = -1.0) -> None:
        """End these members in order, at random times within `over` seconds.

        Each is started again `again` seconds after its end; with a negative value, never.
        """
        self.all("end", names=[*names], over=over, again=again)

    def lose(self, names: Sequence[str]) -> None:
        """Stop these members at once, as if their machines failed."""
        self.all("lose", names=[*names])

    def cut(self, names: Sequence[str]) -> None:
        """Drop all datagrams between these members and all others; no names end the cut."""
        self.all("group", ports={self.ports[name]: 1 for name in names})

    def in_zone(self, *zones: str) -> list[str]:
        """Return the members, without voters, in these zones."""
        return [name for name in self.managers if self.zone[name] in zones]

    def in_rack(self, rack: str) -> list[str]:
        """Return the members, without voters, in this rack."""
        return [name for name in self.managers if self.rack[name] == rack]

    # Observing members.

    def known(self) -> list[int]:
        """Return how many members hold all others alive, and how many members run."""
        return [sum(column) for column in zip(*self.all("known"))]

    def view(self, names: Sequence[str], alive: bool, of: Sequence[str] | None = None) -> list[int]:
        """Return how many members hold all these names alive (or all gone), and of how many.

        `of` restricts the members that are counted.
        """
        return [
            sum(column)
            for column in zip(
                *self.all("view", names=[*names], alive=alive, of=None if of is None else [*of])
            )
        ]

    def until(self, what: str, seen: Callable[[], list[int]], most: float) -> float:
        """Wait until all members reach a state, and return the seconds that this took.

        Args:
            what: The state, for the message of the error.
            seen: Returns how many members are in the state, and how many there are.
            most: The time limit in seconds.

        Raises:
            FleetTimeoutError: The time limit was exceeded.
        """
        started_at, counts = time.monotonic(), [0, 0]
        while time.monotonic() < started_at + most:
            counts = seen()
            if counts[0] == counts[1] > 0:
                return time.monotonic() - started_at
            time.sleep(POLL_SECONDS)
        raise FleetTimeoutError(f"{what}: {counts[0]} of {counts[1]} members after {most:g} s")

    def until_known(self, most: float) -> float:
        """Wait until all members hold all others alive; return the seconds that this took."""
        member_count = len(self.ports)
        try:
            return self.until("all know all", lambda: [self.known()[0], member_count], most)
        except FleetTimeoutError as problem:
            missed = Counter[str]()
            for part in self.all("missed"):
                missed.update(part)
            states = ", ".join(
                f"{name} by {holder_count}" for name, holder_count in missed.most_common(6)
            )
            raise FleetTimeoutError(f"{problem}; not alive: {states or 'none any more'}") from None

    def until_seen(
        self, names: Sequence[str], alive: bool, most: float, of: Sequence[str] | None = None
    ) -> float:
        """Wait until all members, or those in `of`, hold these names alive (or gone)."""
        what = f"{len(names)} seen {'alive' if alive else 'gone'}"
        return self.until(what, lambda: self.view(names, alive, of), most)

    def holders(self) -> dict[str, list[str]]:
        """Return the leases that each member holds, for members that hold any."""
        return {name: held for part in self.all("holders") for name, held in part.items()}

    def holder(self, duty: str, most: float = 30.0) -> str:
        """Wait until a member holds the lease, and return its name."""
        started_at = time.monotonic()
        while time.monotonic() < started_at + most:
            for name, held in self.holders().items():
                if duty in held:
                    return name
            time.sleep(POLL_SECONDS)
        raise FleetTimeoutError(f"no member holds the lease {duty} after {most:g} s")

    def bursts(self, span: int = 1000) -> int:
        """Return the most datagrams that any voter received within `span` ticks.

        Counts datagrams since the previous call.
        """
        return max(most for part in self.all("bursts", span=span) for most in part.values())

    def counters(self) -> list[dict[str, Any]]:
        """Return the counters of each process and its members."""
        return self.all("counters")


def _line(do: str, **arguments: Any) -> bytes:
    return json.dumps({"do": do, **arguments}).encode() + b"\n"
