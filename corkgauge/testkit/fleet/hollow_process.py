"""A process of hollow members: reads orders as lines of JSON on its input, answers each with one line.

Owns a hub and the members of this process. Must never outlive whoever started it, and never do what
it was not told.

Orders: {"do": "bind", "names", "voters"}, "roster" (all members), "start", "end", "lose", "group"
(a cut), "view", "counters", "quit".
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

READ_SIZE_BYTES = 2**16  # octets that are read of an order at a time


class HollowProcessServer:
    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.exception_count = event_loop, 0
        self.sockets: dict[str, CountingSocket] = {}
        self.members: dict[str, HollowMember] = {}
        self.numbers: dict[str, int] = {}
        self.roster, self.voters, self.elements = "[]", (), ELEMENTS
        self.empty = 0.0  # MB, of this process before it held a member
        self.chance = SeededRandom(os.getpid())
        event_loop.on_exception = self.on_exception

    def on_exception(self) -> None:
        self.exception_count += 1
        if self.exception_count <= 3:
            traceback.print_exc()

    def listen(self) -> None:
        """Orders, until the input ends: whoever steers us has gone."""
        held = b""
        while True:
            self.event_loop.wait(0, READ)
            data = os.read(0, READ_SIZE_BYTES)
            if not data:
                os._exit(0)
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                said = json.loads(line)
                answer = getattr(self, "do_" + said.pop("do"))(**said)
                sys.stdout.write(json.dumps(answer) + "\n")
                sys.stdout.flush()

    def do_bind(self, names: list[str], numbers: list[int]) -> dict[str, Any]:
        self.numbers = dict(zip(names, numbers))
        self.sockets = {name: CountingSocket() for name in names}
        gc.collect()
        self.empty = resident_mb()
        return {name: wire.port for name, wire in self.sockets.items()}

    def do_roster(self, roster: str, voters: list[str], elements: list[str]) -> None:
        self.roster, self.voters, self.elements = roster, tuple(voters), tuple(elements)
        for name in voters:
            if name in self.sockets:
                self.sockets[name].record_arrivals()

    def do_start(self, names: list[str], over: float = 0.0) -> int:
        """These of ours, by chance over so many seconds; those that run are let be."""
        ours = [name for name in names if name in self.sockets and name not in self.members]
        for name in ours:
            self.event_loop.call_later(
                int(self.chance.part() * over * SECOND) + 1, self._start, name
            )
        return len(ours)

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
        return {
            name: each.membership.member_list.codec.incarnation
            for name, each in self.members.items()
        }

    def do_told(self, starts: dict[str, int]) -> None:
        for each in self.members.values():
            each.told(starts)

    def do_end(self, names: list[str], over: float = 0.0, again: float = -1.0) -> int:
        """In order, by chance over so many seconds; started `again` so many seconds after its end, below 0: never."""
        ours = [name for name in names if name in self.members]
        for name in ours:
            self.event_loop.call_later(
                int(self.chance.part() * over * SECOND) + 1, self._end, name, again
            )
        return len(ours)

    def _end(self, name: str, again: float) -> None:
        self.members.pop(name).end()
        if again >= 0:
            self.event_loop.call_later(int(again * SECOND) + 1, self._start, name)

    def do_lose(self, names: list[str]) -> int:
        ours = [name for name in names if name in self.members]
        for name in ours:
            self.members.pop(name).lose()
        return len(ours)

    def do_group(self, ports: dict[str, int]) -> None:
        """Datagrams pass within a group only; ports that are not named are in group 0."""
        groups = {int(port): group for port, group in ports.items()}
        for wire in self.sockets.values():
            wire.groups, wire.group = groups, groups.get(wire.port, 0)

    def do_view(self, names: list[str], alive: bool, of: list[str] | None = None) -> list[int]:
        """How many of ours (or of those named) hold them all alive, or all gone; of how many; members they do not
        know, in sum.
        """
        asked = [each for name, each in self.members.items() if of is None or name in of]
        return [sum(each.holds(names, alive) for each in asked), len(asked)]

    def do_known(self) -> list[int]:
        """Members of ours that hold all alive; of how many."""
        return [sum(not each.unknown() for each in self.members.values()), len(self.members)]

    def do_missed(self) -> dict[str, int]:
        """By member and state: how many of ours hold it other than alive."""
        found = Counter[str]()
        for each in self.members.values():
            if each.unknown():
                found.update(
                    f"{other.name} {other.state.label}"
                    for other in each.membership.member_list.members.values()
                    if other.state != ALIVE
                )
        return dict(found.most_common(40))

    def do_settled(self) -> list[int]:
        """How long ago the last of ours came to hold all alive, tenths of a millisecond; none: no members."""
        return (
            [self.event_loop.now - max(each.membership.settled for each in self.members.values())]
            if self.members
            else []
        )

    def do_holders(self) -> dict[str, list[str]]:
        return {name: each.duties() for name, each in self.members.items() if each.duties()}

    def do_bursts(self, span: int) -> dict[str, int]:
        """At voters: most datagrams within so many tenths of a millisecond since this was asked last."""
        return {
            name: wire.take_max_burst(span)
            for name, wire in self.sockets.items()
            if wire.arrival_times is not None
        }

    def do_counters(self) -> dict[str, Any]:
        lag, self.event_loop.worst_lag = self.event_loop.worst_lag, 0
        full = dropped()
        return {
            "at": self.event_loop.now,
            "processor": time.process_time(),
            "resident": resident_mb(),
            "empty": self.empty,
            "lag": lag,
            "troubles": self.exception_count,
            "dropped": sum(full.get(wire.port, 0) for wire in self.sockets.values()),
            "members": {
                name: {**each.counters(), "dropped": full.get(each.wire.port, 0)}
                for name, each in self.members.items()
            },
        }

    def do_quit(self) -> None:
        self.event_loop.call_later(1, os._exit, 0)


def main() -> None:
    event_loop = EventLoop()
    crew = HollowProcessServer(event_loop)
    event_loop.spawn(crew.listen)
    event_loop.run()


if __name__ == "__main__":
    main()
