"""A fleet of hollow members in a few processes: started, cut, lost, healed and counted from one place.

Owns the processes, who stands where, and what is asked of all of them at once. Must never leave a
process behind, and never look into a member but by its counters.

Five zones in two regions (three and two), racks of 20 within a zone, three voters on machines set
aside: a process each that votes and stands for nothing.
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
POLL_SECONDS = 0.1  # seconds between two looks at what all know


class FleetTimeoutError(RuntimeError):
    """It did not come about in the time given; the message says what, and how far it had come."""


class HollowProcess:
    """One process, by its pipes."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "corkgauge.testkit.fleet.hollow_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=kill_with_parent(os.getpid()),
        )

    def send_order(self, order: bytes) -> None:
        self.process.stdin.write(order)
        self.process.stdin.flush()

    def read_answer(self) -> Any:
        line = self.process.stdout.readline()
        if not line:
            raise FleetTimeoutError(f"a process of the fleet has ended ({self.process.wait()})")
        return json.loads(line)


class Fleet:
    """`many` workload managers in `processes`, and the voters. A context: at its end nothing of it is left.

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
            number = {name: n for n, name in enumerate([*self.managers, *self.voters])}
            for hollow_process, names in zip(self.hollow_processes, parts):
                hollow_process.send_order(
                    _line("bind", names=names, numbers=[number[name] for name in names])
                )
            self.ports: dict[str, int] = {}
            for hollow_process in self.hollow_processes:
                self.ports |= hollow_process.read_answer()
            roster = json.dumps([[name, self.ports[name], self.zone[name]] for name in number])
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

    def all(self, do: str, **what: Any) -> list[Any]:
        """The same order to every process; their answers. All are asked before any is heard."""
        order = _line(do, **what)
        for hollow_process in self.hollow_processes:
            hollow_process.send_order(order)
        return [hollow_process.read_answer() for hollow_process in self.hollow_processes]

    # What happens to it.

    def start(self, names: Sequence[str] | None = None, over: float = 0.0) -> None:
        self.all("start", names=[*(names or self.ports)], over=over)

    def start_at_rest(self, most: float = 30.0) -> None:
        """Start all, and have each told of all by us: at 870 the news of a start of all is passed on for minutes, and
        what is asked of a fleet at rest need not wait for that.
        """
        self.start(over=1.0)
        self.until("all are started", lambda: [len(self.starts()), len(self.ports)], most)
        self.all("told", starts=self.starts())

    def starts(self) -> dict[str, int]:
        return {name: each for part in self.all("starts") for name, each in part.items()}

    def end(self, names: Sequence[str], over: float = 0.0, again: float = -1.0) -> None:
        self.all("end", names=[*names], over=over, again=again)

    def lose(self, names: Sequence[str]) -> None:
        self.all("lose", names=[*names])

    def cut(self, names: Sequence[str]) -> None:
        """These from all others, both ways; none: healed."""
        self.all("group", ports={self.ports[name]: 1 for name in names})

    def in_zone(self, *zones: str) -> list[str]:
        return [name for name in self.managers if self.zone[name] in zones]

    def in_rack(self, rack: str) -> list[str]:
        return [name for name in self.managers if self.rack[name] == rack]

    # What is known of it.

    def known(self) -> list[int]:
        """Members that hold all alive; of how many."""
        return [sum(column) for column in zip(*self.all("known"))]

    def view(self, names: Sequence[str], alive: bool, of: Sequence[str] | None = None) -> list[int]:
        return [
            sum(column)
            for column in zip(
                *self.all("view", names=[*names], alive=alive, of=None if of is None else [*of])
            )
        ]

    def until(self, what: str, seen: Callable[[], list[int]], most: float) -> float:
        """Seconds until as many as there are see it; FleetTimeoutError after `most`."""
        begun, found = time.monotonic(), [0, 0]
        while time.monotonic() < begun + most:
            found = seen()
            if found[0] == found[1] > 0:
                return time.monotonic() - begun
            time.sleep(POLL_SECONDS)
        raise FleetTimeoutError(f"{what}: {found[0]} of {found[1]} after {most:g} s")

    def until_known(self, most: float) -> float:
        whole = len(self.ports)
        try:
            return self.until("all know all", lambda: [self.known()[0], whole], most)
        except FleetTimeoutError as problem:
            missed = Counter[str]()
            for part in self.all("missed"):
                missed.update(part)
            said = ", ".join(f"{name} by {many}" for name, many in missed.most_common(6))
            raise FleetTimeoutError(f"{problem}; held {said or 'all by now'}") from None

    def until_seen(
        self, names: Sequence[str], alive: bool, most: float, of: Sequence[str] | None = None
    ) -> float:
        what = f"{len(names)} seen {'alive' if alive else 'gone'}"
        return self.until(what, lambda: self.view(names, alive, of), most)

    def holders(self) -> dict[str, list[str]]:
        return {name: held for part in self.all("holders") for name, held in part.items()}

    def holder(self, duty: str, most: float = 30.0) -> str:
        """Who holds it, once somebody does."""
        begun = time.monotonic()
        while time.monotonic() < begun + most:
            for name, held in self.holders().items():
                if duty in held:
                    return name
            time.sleep(POLL_SECONDS)
        raise FleetTimeoutError(f"nobody holds {duty} after {most:g} s")

    def bursts(self, span: int = 1000) -> int:
        """Most datagrams at any voter within so many tenths of a millisecond, since this was asked last."""
        return max(most for part in self.all("bursts", span=span) for most in part.values())

    def counters(self) -> list[dict[str, Any]]:
        return self.all("counters")


def _line(do: str, **what: Any) -> bytes:
    return json.dumps({"do": do, **what}).encode() + b"\n"
