"""Checks leases from outside of the instances, as a member that receives their acts.

Owns the record of the acts, with fencing token and time, and the search for violations. Must never
ask an instance which leases it holds or read its log: only an act that arrived counts as done. Like
any member, the checker refuses acts with a lower fencing token than one seen before, unless
`checks_fencing` is False.
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
MAX_DATAGRAMS_PER_TURN = 64  # then other tasks run
MAX_DATAGRAM_BYTES = 2_000


@dataclass(frozen=True, slots=True)
class Act:
    """Records an act under a lease as it arrived; `at` is in ticks of the checker's clock."""

    at: int
    sender: str
    lease: str
    fencing_token: int
    admitted: bool


class LeaseChecker:
    """Joins the fleet as a member and records the acts that it receives.

    `members` holds the name and the address of each instance, as the checker reaches it.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        keys: list[bytes],
        members: list[tuple[str, tuple[str, int]]],
        period: int,
        checks_fencing: bool = True,
    ) -> None:
        self.event_loop = event_loop
        self.name = name
        self.random = SeededRandom(SEED)
        self.addresses = dict(members)
        self.acts: list[Act] = []
        self.guard = FencingGuard()
        self.checks_fencing = checks_fencing
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
        self.report_count = 0  # reports sent to the leader of the maintenance plan
        event_loop.spawn(self._read)

    def _read(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data = self.sock.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self.member_list.handle_datagram(data)

    def on_accounts_datagram(self, sender: str, body: Any) -> None:
        """Record an act under a lease, and answer like a member without any requests."""
        kind, lease, fencing_token, *fields = body
        if kind not in ("ask", "entry"):
            return
        admitted = self.guard.admits(lease, fencing_token) or not self.checks_fencing
        self.acts.append(Act(self.event_loop.now, sender, lease, fencing_token, admitted))
        if not admitted:
            self.member_list.call(sender, "books", ["no", lease, self.guard.highest[lease]])
        elif kind == "ask":
            answer = ["account", lease, fields[0], EMPTY_ACCOUNT]
            self.member_list.call(sender, "books", answer)

    def on_maintenance_datagram(self, sender: str, body: Any) -> None:
        """Report to the leader of the maintenance plan that this member has no attempts."""
        if body[0] != "orders":
            return
        _, fencing_token, number, *_, levels = body
        self.report_count += 1
        nothing_sent = [False, [*levels], len(levels), {}, [], True]
        report = ["word", self.report_count, fencing_token, number, *nothing_sent]
        self.member_list.call(sender, "works", report)

    # Methods that the member list requires of its host.

    @property
    def now(self) -> int:
        """Current time in ticks."""
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send a datagram; if the send fails, the datagram is lost."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.addresses[name])

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Call a method after `delay` ticks."""
        self.event_loop.call_later(delay, method, *what)

    def random_below(self, below: int) -> int:
        """Return a number from 0 to `below` - 1."""
        return self.random.below(below)

    def log(self, line: str) -> None:
        """Discard the line."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Ignore the change: the checker records acts from all members."""


def find_lease_violations(acts: list[Act], stops: dict[str, list[int]]) -> list[str]:
    """Return the violations found among acts in the order of their arrival.

    `stops` holds, by instance, the times at which it was stopped or deprived of its processor. A
    stop may fall between the instance's reading of the clock and the sending of an act. So for each
    stop, one act may arrive after one under a higher fencing token, but it must be refused.

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
    late_counts: Counter[tuple[str, int]] = Counter()  # by instance and fencing token
    for act in acts:
        found += _check_one_holder(act, holders)
        highest_act = highest.get(act.lease)
        if highest_act is None or act.fencing_token > highest_act.fencing_token:
            highest[act.lease] = act
        elif act.fencing_token < highest_act.fencing_token:
            found += _check_late_act(act, highest_act, late_counts, stops)
    return found


def _check_one_holder(act: Act, holders: dict[tuple[str, int], str]) -> list[str]:
    """Check that only one instance acts under a fencing token of a lease."""
    token = act.fencing_token
    owner = holders.setdefault((act.lease, token), act.sender)
    if owner == act.sender:
        return []
    return [f"{owner} and {act.sender} acted under one fence {token} of {act.lease}"]


def _check_late_act(
    act: Act, highest_act: Act, late_counts: Counter[tuple[str, int]], stops: dict[str, list[int]]
) -> list[str]:
    """Check an act that arrived after one under a higher fencing token."""
    found = []
    token = act.fencing_token
    if act.admitted:
        found.append(
            f"an act of {act.sender} under fence {token} of {act.lease} was taken, "
            f"after one under {highest_act.fencing_token}"
        )
    late_counts[act.sender, token] += 1
    excused = sum(moment <= act.at for moment in stops.get(act.sender, ()))
    if late_counts[act.sender, token] > excused:
        found.append(
            f"{act.sender} acted under fence {token} of {act.lease} at {act.at}, "
            f"after {highest_act.sender} under {highest_act.fencing_token} at {highest_act.at}"
        )
    return found


def find_holder_changes(acts: list[Act], lease: str) -> list[tuple[int, int, int, str, str]]:
    """Return the changes of the lease holder that the admitted acts show.

    A change consists of its time, the ticks since the last act of the previous holder, the new
    fencing token, the previous and the new holder.
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
