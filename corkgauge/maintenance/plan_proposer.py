"""The holder's side of the plan: taking it over from a majority of keepers, and changing it step by step.

Owns the copy that holds while the duty is held, and the one step under way. Free of I/O. Must never act, or let act, on
a step before a majority of keepers has it *and* the duty is still held at that very moment; must never begin from less
than a majority of keepers that remember.

Why the look at `may` as a step is counted: a keeper without a disk that came back has forgotten what it promised to a
later holder. While we hold the duty there is no later holder, so nothing was forgotten that speaks against the step.
"""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

import msgpack

from corkgauge.maintenance.chunk_transfer import Fetch, Stamp
from corkgauge.maintenance.plan import InvalidRequestError, Plan
from corkgauge.maintenance.plan_replica import (
    LOW,
    NONE,
    PIECE,
    PROMISE,
    PROMISED,
    STEP,
    TAKEN,
    WANT,
    tell_pieces,
)

IDLE, TAKING, FETCHING, FORGOTTEN, LEADING = range(5)
STATES = "idle", "taking over", "fetching", "forgotten", "leading"
REPLY = 1_000  # tenths of a millisecond, until keepers are asked again
MOST_CHANGES = 1_000  # octets of the changes of one step, so that it fits a datagram
MOST_WAITING = 400  # changes that wait for their step

Changes = list[Sequence[Any]]


class Host(Protocol):
    """What a scribe may do. `may(fence)`: is the duty held under it, now?"""

    def may(self, fence: int) -> bool: ...
    def voters(self) -> Sequence[str]: ...
    def send(self, name: str, body: list[Any]) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def led(self) -> None: ...
    def agreed(self, changes: Changes) -> None: ...
    def forgot(self) -> None: ...
    def outbid(self, fence: int) -> None: ...
    def log(self, line: str) -> None: ...


class PlanProposer:
    def __init__(self, host: Host) -> None:
        self.host, self.state, self.fence = host, IDLE, 0
        self.plan, self.stamp = Plan(), NONE
        self.promised: dict[
            str, tuple[Stamp, bool]
        ] = {}  # by keeper: its stamp, and whether it is blank
        self.taken: set[str] = set()
        self.step: Changes | None = None  # under way, as number `stamp[1] + 1` of this fence
        self.next_plan = self.plan
        self.waiting: list[
            tuple[Sequence[Any], int]
        ] = []  # changes for later steps, with their size
        self.fetch: Fetch | None = None
        self.packed: bytes | None = None
        self.alarm = 0
        self.proposed = self.settled = 0  # changes, since the duty is held

    # The duty comes and goes.

    def gained(self, fence: int) -> None:
        self.fence, self.state, self.promised = fence, TAKING, {}
        self.step, self.waiting = None, []
        self.proposed = self.settled = 0
        self._ask()

    def lost(self) -> None:
        self.state, self.step, self.waiting = IDLE, None, []
        self.alarm += 1
        if self.fetch is not None:
            self.fetch.end()

    # What its owner wants.

    def propose(self, *changes: Sequence[Any]) -> bool:
        """Changes that should be agreed, in this order. False, and nothing is done, where they do not fit the plan as
        it will be then."""
        if self.state != LEADING or len(self.waiting) + len(changes) > MOST_WAITING:
            return False
        sized = [(change, len(msgpack.packb(change))) for change in changes]
        try:
            if any(size > MOST_CHANGES for _, size in sized):
                raise InvalidRequestError("a change that no datagram takes")
            self.coming().tried(changes)
        except InvalidRequestError as problem:
            self.host.log(f"works: not proposed, {problem}")
            return False
        self.waiting += sized
        self.proposed += len(changes)
        self._begin()
        return True

    def coming(self) -> Plan:
        """The plan with all that is under way or waits: what further decisions must count with."""
        plan = self.next_plan if self.step is not None else self.plan
        return plan.tried([change for change, _ in self.waiting]) if self.waiting else plan

    def begin_anew(self, plan: Plan) -> None:
        """After the loss of everything: this plan, by somebody's word, is the first of this fence."""
        if self.state == FORGOTTEN and self.host.may(self.fence):
            self.plan, self.stamp, self.packed = plan, (self.fence, 0), None
            self._first()

    # What keepers say.

    def heard(self, sender: str, body: list[Any]) -> None:
        sort, fence = body[:2]
        if sort == WANT:
            if self.state == LEADING and fence == self.fence and self.host.may(fence):
                self._tell(sender, body[3])
        elif fence != self.fence or self.state == IDLE or sender not in self.host.voters():
            return
        elif sort == LOW:
            self.host.outbid(body[2])
        elif sort == PROMISED:
            self._promised(sender, (body[2], body[3]), bool(body[4]))
        elif sort == TAKEN:
            self._taken(sender, (body[2], body[3]))

    def piece(self, sender: str, body: list[Any]) -> None:
        """A piece of a keeper's state, as we asked for it."""
        if self.state == FETCHING and self.fetch is not None and body[0] == PIECE:
            self.fetch.heard(sender, (body[2], body[3]), body[4], body[5], body[6])

    # Taking over.

    def _majority(self) -> int:
        return len(self.host.voters()) // 2 + 1

    def _ask(self) -> None:
        if self.state in (TAKING, FORGOTTEN) and self.host.may(self.fence):
            for name in self.host.voters():
                self.host.send(name, [PROMISE, self.fence])
            self._again(self._ask)

    def _promised(self, sender: str, stamp: Stamp, blank: bool) -> None:
        if self.state not in (TAKING, FORGOTTEN):
            return
        self.promised[sender] = stamp, blank
        remember = {name: told for name, (told, empty) in self.promised.items() if not empty}
        blanks = len(self.promised) - len(remember)
        if len(remember) >= self._majority():
            best = max(remember, key=lambda name: (remember[name], name))
            self.state = FETCHING
            self.fetch = Fetch(
                self.host, WANT, best, self.fence, REPLY, self._fetched, remember[best]
            )
            self._again(self._stuck, 20 * REPLY)
        elif self.state == TAKING and blanks > len(self.host.voters()) - self._majority():
            # So many forgot that no majority remembers, ever: what is out has to be told.
            self.state = FORGOTTEN
            self.host.forgot()

    def _stuck(self) -> None:
        """The one that we fetch from has gone: ask all again."""
        if self.state == FETCHING:
            self.fetch.end()
            self.state, self.promised = TAKING, {}
            self._ask()

    def _fetched(self, stamp: Stamp, data: bytes) -> None:
        if self.state == FETCHING and self.host.may(self.fence):
            self.plan, self.stamp, self.packed = Plan.unpacked(data), stamp, None
            self._first()

    def _first(self) -> None:
        """The first step under our fence: once a majority has it, all before it is agreed too."""
        self.state, self.step, self.taken = LEADING, [], set()
        self.before, self.stamp = self.stamp, (self.fence, 0)
        self.next_plan, self.led = self.plan, False
        self._write()

    # Steps.

    def _begin(self) -> None:
        if self.step is None and self.waiting and self.state == LEADING:
            changes, size = [], 0
            while self.waiting and (not changes or size + self.waiting[0][1] <= MOST_CHANGES):
                change, more = self.waiting.pop(0)
                changes.append(change)
                size += more
            self.step, self.taken, self.before = changes, set(), self.stamp
            self.next_plan = self.plan.tried(changes)
            self._write()

    def _write(self) -> None:
        if self.state != LEADING or self.step is None:
            return
        for name in self.host.voters():
            if name not in self.taken and self.host.may(
                self.fence
            ):  # before each act, not once a round
                self.host.send(name, [STEP, self.fence, *self.before, self.stamp[1] + 1, self.step])
        self._again(self._write)

    def _taken(self, sender: str, stamp: Stamp) -> None:
        if self.state != LEADING or self.step is None or stamp != (self.fence, self.stamp[1] + 1):
            return
        self.taken.add(sender)
        if len(self.taken) < self._quorum() or not self.host.may(self.fence):
            return
        changes, self.step = self.step, None
        self.plan, self.stamp, self.packed = self.next_plan, stamp, None
        self.settled += len(changes)
        if not self.led:
            self.led = True
            self.host.led()
        else:
            self.host.agreed(changes)
        self._begin()

    def _quorum(self) -> int:
        return self._majority()

    def _tell(self, sender: str, indexes: list[int]) -> None:
        """A keeper that missed something gets what is under way too: it counts as taking that step."""
        coming = self.step is not None
        if self.packed is None or self.packed_coming != (coming, self.stamp):
            self.packed = (self.next_plan if coming else self.plan).packed()
            self.packed_coming = coming, self.stamp
        tell_pieces(self.host, sender, (self.fence, self.stamp[1] + coming), self.packed, indexes)

    packed_coming: tuple[bool, Stamp] = False, NONE
    before: Stamp = NONE
    led = False

    def _again(self, method: Callable[[], None], delay: int = REPLY) -> None:
        self.alarm += 1
        self.host.call_later(delay, self._woken, self.alarm, method)

    def _woken(self, alarm: int, method: Callable[[], None]) -> None:
        if alarm == self.alarm:
            method()
