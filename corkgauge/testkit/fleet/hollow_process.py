"""Runs hollow members in a process that is controlled over its standard input and output.

Reads orders as lines of JSON, and answers each with one line of JSON. Owns an event loop and the
members of this process. Ends with the process that started it, and acts on orders only.

An order is {"do": NAME, ...} with the parameters of the method `do_NAME`: "bind" first, "roster"
with all members, then "start", "end", "lose", "group" (a cut), "view", "counters", "quit" and
others.
"""

import gc
import json
import os
import sys
import time
import traceback
from collections import Counter
from typing import Any

from corkgauge.eventloop.loop import READ, SECOND, EventLoop
from corkgauge.membership.member_list import ALIVE
from corkgauge.testkit.fleet.hollow_node import (
    ELEMENTS,
    CountingSocket,
    HollowMember,
    dropped,
    resident_mb,
)
from corkgauge.testkit.seeded_random import SeededRandom

READ_SIZE_BYTES = 2**16  # read from the input at a time


class HollowProcessServer:
    """Executes orders on the members of this process."""

    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.exception_count = event_loop, 0
        self.sockets: dict[str, CountingSocket] = {}
        self.members: dict[str, HollowMember] = {}
        self.numbers: dict[str, int] = {}
        self.roster, self.voters, self.elements = "[]", (), ELEMENTS
        self.empty = 0.0  # memory of this process in MB before the start of any member
        self.chance = SeededRandom(os.getpid())
        event_loop.on_exception = self.on_exception

    def on_exception(self) -> None:
        """Count an exception in a task or timer, and print the first three."""
        self.exception_count += 1
        if self.exception_count <= 3:
            traceback.print_exc()

    def listen(self) -> None:
        """Execute orders until the input ends, which means the controlling process has ended."""
        incomplete_line = b""
        while True:
            self.event_loop.wait(0, READ)
            data = os.read(0, READ_SIZE_BYTES)
            if not data:
                os._exit(0)
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
            for line in lines:
                order = json.loads(line)
                answer = getattr(self, "do_" + order.pop("do"))(**order)
                sys.stdout.write(json.dumps(answer) + "\n")
                sys.stdout.flush()

    def do_bind(self, names: list[str], numbers: list[int]) -> dict[str, Any]:
        """Bind a socket for each member of this process; return the ports by name."""
        self.numbers = dict(zip(names, numbers))
        self.sockets = {name: CountingSocket() for name in names}
        gc.collect()
        self.empty = resident_mb()
        return {name: counting_socket.port for name, counting_socket in self.sockets.items()}

    def do_roster(self, roster: str, voters: list[str], elements: list[str]) -> None:
        """Store the roster and options for members to be started; voters record arrivals."""
        self.roster, self.voters, self.elements = roster, tuple(voters), tuple(elements)
        for name in voters:
            if name in self.sockets:
                self.sockets[name].record_arrivals()

    def do_start(self, names: list[str], over: float = 0.0) -> int:
        """Start the named members that do not run, at random times within `over` seconds."""
        own_names = [name for name in names if name in self.sockets and name not in self.members]
        for name in own_names:
            self.event_loop.call_later(
                int(self.chance.uniform() * over * SECOND) + 1, self._start, name
            )
        return len(own_names)

    def _start(self, name: str) -> None:
        self.members[name] = HollowMember(
            self.event_loop,
            name,
            self.sockets[name],
            self.roster,
            self.voters,
            self.numbers[name],
            self.elements,
        )

    def do_starts(self) -> dict[str, int]:
        """Return the incarnation of each running member."""
        return {
            name: each.membership.member_list.codec.incarnation
            for name, each in self.members.items()
        }

    def do_told(self, starts: dict[str, int]) -> None:
        """Tell each running member the incarnations of all members."""
        for each in self.members.values():
            each.learn_incarnations(starts)

    def do_end(self, names: list[str], over: float = 0.0, again: float = -1.0) -> int:
        """End the named members in order, at random times within `over` seconds.

        Each is started again `again` seconds after its end; with a negative value, never.
        """
        own_names = [name for name in names if name in self.members]
        for name in own_names:
            self.event_loop.call_later(
                int(self.chance.uniform() * over * SECOND) + 1, self._end, name, again
            )
        return len(own_names)

    def _end(self, name: str, again: float) -> None:
        self.members.pop(name).end()
        if again >= 0:
            self.event_loop.call_later(int(again * SECOND) + 1, self._start, name)

    def do_lose(self, names: list[str]) -> int:
        """Stop the named members at once, as if their machines failed."""
        own_names = [name for name in names if name in self.members]
        for name in own_names:
            self.members.pop(name).lose()
        return len(own_names)

    def do_group(self, ports: dict[str, int]) -> None:
        """Drop datagrams between ports of different groups; ports not named are in group 0."""
        groups = {int(port): group for port, group in ports.items()}
        for counting_socket in self.sockets.values():
            counting_socket.groups, counting_socket.group = (
                groups,
                groups.get(counting_socket.port, 0),
            )

    def do_view(self, names: list[str], alive: bool, of: list[str] | None = None) -> list[int]:
        """Return how many members hold all names alive, or all gone, and how many were checked.

        `of` restricts the members that are checked.
        """
        checked = [each for name, each in self.members.items() if of is None or name in of]
        return [sum(each.holds(names, alive) for each in checked), len(checked)]

    def do_known(self) -> list[int]:
        """Return how many members hold all others alive, and how many members run."""
        return [sum(not each.unknown() for each in self.members.values()), len(self.members)]

    def do_missed(self) -> dict[str, int]:
        """Return how many members here hold each member in each state other than alive.

        Reports the 40 most frequent pairs of member and state.
        """
        counts = Counter[str]()
        for each in self.members.values():
            if each.unknown():
                counts.update(
                    f"{other.name} {other.state.label}"
                    for other in each.membership.member_list.members.values()
                    if other.state != ALIVE
                )
        return dict(counts.most_common(40))

    def do_settled(self) -> list[int]:
        """Return how many ticks ago the last member began to hold all others alive.

        Returns an empty list without members.
        """
        return (
            [
                self.event_loop.now
                - max(each.membership.all_alive_since for each in self.members.values())
            ]
            if self.members
            else []
        )

    def do_holders(self) -> dict[str, list[str]]:
        """Return the leases that each member holds, for members that hold any."""
        return {name: each.duties() for name, each in self.members.items() if each.duties()}

    def do_bursts(self, span: int) -> dict[str, int]:
        """Return the most datagrams each voter received within `span` ticks since the last call."""
        return {
            name: counting_socket.take_max_burst(span)
            for name, counting_socket in self.sockets.items()
            if counting_socket.arrival_times is not None
        }

    def do_counters(self) -> dict[str, Any]:
        """Return the counters of this process and its members; resets the largest lag."""
        lag, self.event_loop.worst_lag = self.event_loop.worst_lag, 0
        dropped_by_port = dropped()
        return {
            "at": self.event_loop.now,
            "processor": time.process_time(),
            "resident": resident_mb(),
            "empty": self.empty,
            "lag": lag,
            "troubles": self.exception_count,
            "dropped": sum(
                dropped_by_port.get(counting_socket.port, 0)
                for counting_socket in self.sockets.values()
            ),
            "members": {
                name: {
                    **each.counters(),
                    "dropped": dropped_by_port.get(each.counting_socket.port, 0),
                }
                for name, each in self.members.items()
            },
        }

    def do_quit(self) -> None:
        """End this process after the answer is sent."""
        self.event_loop.call_later(1, os._exit, 0)


def main() -> None:
    """Run the event loop of a process of hollow members."""
    event_loop = EventLoop()
    server = HollowProcessServer(event_loop)
    event_loop.spawn(server.listen)
    event_loop.run()


if __name__ == "__main__":
    main()
