"""An outside checker of leases: a member that holds none, and sees each act that arrives.

Owns the record of acts, under which fencing token and when, and the verdict. Must never ask an
instance what it holds, nor read its log: what arrived is what was done. It takes acts as any member
does, and refuses a lower fencing token; `guarded` False leaves that out.
"""

import contextlib
import socket
from collections import Counter
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.leases.fencing import FencingGuard
from corkgauge.membership.member_list import Member, MemberList, MemberState
from corkgauge.membership.sealing import Key
from corkgauge.testkit.seeded_random import SeededRandom

EMPTY_ACCOUNT = {
    "epoch": "judge",
    **dict.fromkeys(
        ("taken", "served", "refused", "failed", "open", "handed", "engines", "ended", "out"), 0
    ),
}
SEED = 97
DATAGRAMS_AT_ONCE = 64  # then others have their turn
MAX_DATAGRAM_BYTES = 2_000


@dataclass(frozen=True, slots=True)
class Act:
    """One act, as it arrived; `at` in tenths of a millisecond of the checker's clock."""

    at: int
    sender: str
    lease: str
    fencing_token: int
    admitted: bool


class LeaseChecker:
    """One checker; `members` are name and address of the instances as it reaches them."""

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        keys: list[bytes],
        members: list[tuple[str, tuple[str, int]]],
        period: int,
        guarded: bool = True,
    ) -> None:
        self.event_loop = event_loop
        self.name = name
        self.random = SeededRandom(SEED)
        self.addresses = dict(members)
        self.acts: list[Act] = []
        self.guard = FencingGuard()
        self.guarded = guarded
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
        self.member_list.call_handlers["books"] = self.on_accounts_datagram
        self.member_list.call_handlers["works"] = self.on_maintenance_datagram
        self.reports = 0  # sent to whoever plans maintenance
        event_loop.spawn(self._read)

    def _read(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(DATAGRAMS_AT_ONCE):
                try:
                    data = self.sock.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self.member_list.handle_datagram(data)

    def on_accounts_datagram(self, sender: str, body: Any) -> None:
        """Record an act under a lease, and answer as a member does that has done nothing."""
        kind, lease, fencing_token, *fields = body
        if kind not in ("ask", "entry"):
            return
        admitted = self.guard.admits(lease, fencing_token) or not self.guarded
        self.acts.append(Act(self.event_loop.now, sender, lease, fencing_token, admitted))
        if not admitted:
            self.member_list.call(sender, "books", ["no", lease, self.guard.highest[lease]])
        elif kind == "ask":
            answer = ["account", lease, fields[0], EMPTY_ACCOUNT]
            self.member_list.call(sender, "books", answer)

    def on_maintenance_datagram(self, sender: str, body: Any) -> None:
        """Answer whoever plans maintenance: this is an instance that sends nothing anywhere."""
        if body[0] != "orders":
            return
        _, fencing_token, number, *_, levels = body
        self.reports += 1
        nothing_sent = [False, [*levels], len(levels), {}, [], True]
        report = ["word", self.reports, fencing_token, number, *nothing_sent]
        self.member_list.call(sender, "works", report)

    # What the member list needs of its host.

    @property
    def now(self) -> int:
        """Tenths of a millisecond."""
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.addresses[name])

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Call a method after so many tenths of a millisecond."""
        self.event_loop.call_later(delay, method, *what)

    def random_below(self, below: int) -> int:
        """Return a number from 0 to `below` - 1."""
        return self.random.below(below)

    def log(self, line: str) -> None:
        """Lines are not kept."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Who is alive does not matter here."""


def find_lease_violations(acts: list[Act], stops: dict[str, list[int]]) -> list[str]:
    """Return what must never be, found among acts in the order of arrival.

    `stops` tells, by instance, when it was stopped or kept from its processor: one act for each of
    these may be on its way between the look at the clock and its writing, and it is the fencing
    token that must catch it.

    >>> one, two = Act(10, "n1", "d", 5, True), Act(20, "n2", "d", 7, True)
    >>> find_lease_violations([one, two], {}), find_lease_violations(
    ...     [one, two, Act(30, "n1", "d", 5, False)], {"n1": [15]}
    ... )
    ([], [])
    >>> find_lease_violations([one, two, Act(30, "n1", "d", 5, False)], {})
    ['n1 acted under fence 5 of d at 30, after n2 under 7 at 20']
    >>> find_lease_violations([one, two, Act(30, "n1", "d", 5, True)], {"n1": [15]})
    ['an act of n1 under fence 5 of d was taken, after one under 7']
    >>> find_lease_violations([one, Act(11, "n2", "d", 5, True)], {})
    ['n1 and n2 acted under one fence 5 of d']
    """
    found: list[str] = []
    highest: dict[str, Act] = {}  # by lease
    holders: dict[tuple[str, int], str] = {}  # by lease and fencing token
    late: Counter[tuple[str, int]] = Counter()  # by instance and fencing token
    for act in acts:
        found += _check_one_holder(act, holders)
        best = highest.get(act.lease)
        if best is None or act.fencing_token > best.fencing_token:
            highest[act.lease] = act
        elif act.fencing_token < best.fencing_token:
            found += _check_late_act(act, best, late, stops)
    return found


def _check_one_holder(act: Act, holders: dict[tuple[str, int], str]) -> list[str]:
    token = act.fencing_token
    owner = holders.setdefault((act.lease, token), act.sender)
    if owner == act.sender:
        return []
    return [f"{owner} and {act.sender} acted under one fence {token} of {act.lease}"]


def _check_late_act(
    act: Act, best: Act, late: Counter[tuple[str, int]], stops: dict[str, list[int]]
) -> list[str]:
    """Judge an act that arrived after one under a higher fencing token."""
    found = []
    token = act.fencing_token
    if act.admitted:
        found.append(
            f"an act of {act.sender} under fence {token} of {act.lease} was taken, "
            f"after one under {best.fencing_token}"
        )
    late[act.sender, token] += 1
    excused = sum(moment <= act.at for moment in stops.get(act.sender, ()))
    if late[act.sender, token] > excused:
        found.append(
            f"{act.sender} acted under fence {token} of {act.lease} at {act.at}, "
            f"after {best.sender} under {best.fencing_token} at {best.at}"
        )
    return found


def find_holder_changes(acts: list[Act], lease: str) -> list[tuple[int, int, int, str, str]]:
    """Return changes of holder as acts show them.

    Of each: when, how long there was no act, the new fencing token, from whom, to whom.
    """
    found = []
    last: Act | None = None
    for act in acts:
        if act.lease != lease or not act.admitted:
            continue
        if last is not None and act.fencing_token > last.fencing_token:
            gap = act.at - last.at
            found.append((act.at, gap, act.fencing_token, last.sender, act.sender))
        last = act
    return found
