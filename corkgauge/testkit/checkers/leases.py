"""An outside judge of duties: a fellow that holds none, and sees each act that arrives, under which fence and
when.

Owns the record of acts and the verdict. Must never ask a gateway what it holds, nor read its log: what
arrived is what was done. It takes acts as any fellow does, and refuses a lower fence; `guarded` False leaves
that out.
"""

import socket
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.leases.fencing import FencingGuard
from corkgauge.membership.member_list import Member, MemberList, MemberState
from corkgauge.membership.sealing import Key
from corkgauge.testkit.seeded_random import SeededRandom

ZERO = {
    "epoch": "judge",
    **dict.fromkeys(
        ("taken", "served", "refused", "failed", "open", "handed", "engines", "ended", "out"), 0
    ),
}


@dataclass(frozen=True, slots=True)
class Act:
    """One act, as it arrived; `at` in tenths of a millisecond of the judge's clock."""

    at: int
    sender: str
    duty: str
    fence: int
    admitted: bool


class LeaseChecker:
    """`fellows` are (name, address) of the gateways as the judge reaches them."""

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        keys: list[bytes],
        members: list[tuple[str, tuple[str, int]]],
        period: int,
        guarded: bool = True,
    ) -> None:
        self.event_loop, self.name, self.chances = event_loop, name, SeededRandom(97)
        self.addresses = dict(members)
        self.acts: list[Act] = []
        self.guard, self.guarded = FencingGuard(), guarded
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.member_list = MemberList(
            self,
            name,
            event_loop.now // 10 << 12,
            [Key(each) for each in keys],
            [(each, "") for each in (*self.addresses, name)],
            period,
        )
        self.member_list.calls["books"] = self.came
        self.member_list.calls["works"] = self.works_came
        self.words = 0
        event_loop.spawn(self._read)

    def _read(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(64):
                try:
                    data = self.sock.recv(2_000)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self.member_list.handle_datagram(data)

    def came(self, sender: str, body: Any) -> None:
        what, duty, fence, *rest = body
        if what not in ("ask", "entry"):
            return
        admitted = self.guard.admits(duty, fence) or not self.guarded
        self.acts.append(Act(self.event_loop.now, sender, duty, fence, admitted))
        if not admitted:
            self.member_list.call(sender, "books", ["no", duty, self.guard.highest[duty]])
        elif what == "ask":
            self.member_list.call(sender, "books", ["account", duty, rest[0], ZERO])

    def works_came(self, sender: str, body: Any) -> None:
        """To whoever plans works the judge is a gateway that sends nothing anywhere, and says so."""
        if body[0] == "orders":
            _, fence, number, *_, levels = body
            self.words += 1
            word = ["word", self.words, fence, number, False, [*levels], len(levels), {}, [], True]
            self.member_list.call(sender, "works", word)

    # Its company's host.

    @property
    def now(self) -> int:
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, self.addresses[name])
        except OSError:
            pass

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.event_loop.call_later(delay, method, *what)

    def chance(self, below: int) -> int:
        return self.chances.below(below)

    def log(self, line: str) -> None:
        pass

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        pass


def verdict(acts: list[Act], stops: dict[str, list[int]]) -> list[str]:
    """What must never be, found among acts in the order of arrival. `stops` tells, by gateway, when it was
    stopped or kept from its processor: one act for each of these may be on its way between the look at the
    clock and its writing, and it is the fence that must catch it.

    >>> one, two = Act(10, "n1", "d", 5, True), Act(20, "n2", "d", 7, True)
    >>> verdict([one, two], {}), verdict([one, two, Act(30, "n1", "d", 5, False)], {"n1": [15]})
    ([], [])
    >>> verdict([one, two, Act(30, "n1", "d", 5, False)], {})
    ['n1 acted under fence 5 of d at 30, after n2 under 7 at 20']
    >>> verdict([one, two, Act(30, "n1", "d", 5, True)], {"n1": [15]})
    ['an act of n1 under fence 5 of d was taken, after one under 7']
    >>> verdict([one, Act(11, "n2", "d", 5, True)], {})
    ['n1 and n2 acted under one fence 5 of d']
    """
    found: list[str] = []
    highest: dict[str, Act] = {}
    by_fence: dict[tuple[str, int], str] = {}
    late: dict[tuple[str, int], int] = {}
    for act in acts:
        owner = by_fence.setdefault((act.duty, act.fence), act.sender)
        if owner != act.sender:
            found.append(
                f"{owner} and {act.sender} acted under one fence {act.fence} of {act.duty}"
            )
        best = highest.get(act.duty)
        if best is None or act.fence > best.fence:
            highest[act.duty] = act
        elif act.fence < best.fence:
            if act.admitted:
                found.append(
                    f"an act of {act.sender} under fence {act.fence} of {act.duty} was taken, "
                    f"after one under {best.fence}"
                )
            key = act.sender, act.fence
            late[key] = late.get(key, 0) + 1
            if late[key] > sum(moment <= act.at for moment in stops.get(act.sender, ())):
                found.append(
                    f"{act.sender} acted under fence {act.fence} of {act.duty} at {act.at}, "
                    f"after {best.sender} under {best.fence} at {best.at}"
                )
    return found


def vacancies(acts: list[Act], duty: str) -> list[tuple[int, int, int, str, str]]:
    """Changes of holder as acts show them: when, how long there was no act, the new fence, from whom to
    whom."""
    found, last = [], None
    for act in acts:
        if act.duty == duty and act.admitted:
            if last is not None and act.fence > last.fence:
                found.append((act.at, act.at - last.at, act.fence, last.sender, act.sender))
            last = act
    return found
