"""A gateway's part in the works: what it was ordered to heed, and what it may answer for.

Owns the orders in force here, the grant to send where work was announced, and which engines are closed. Free of I/O:
its host sets engines aside, says whether anything is open there, sends and writes. Must never confirm what it might
forget, never take orders that are older than those it holds, and never hold up serving: where nothing was announced
nothing of this counts.

Orders name each engine with the state of its unit. `granted` (announced): this gateway sends there only while its
grant runs, which counts from when it wrote the word that the holder answers; so a gateway that is cut off afterwards is
known to stop. From `draining` on: nothing new; once nothing of its is open there it is closed, written, and confirmed.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from corkgauge.maintenance.plan import DRAINING, GRANTED

SENT = 64  # words whose time of writing is remembered
LOOK = 200  # tenths of a millisecond between two looks whether an engine is quiet
PARTS = 64  # of one set of orders
ROOM = 500  # octets of closed engines' ids in one word
MOST_PATIENCE = 5  # spans of patience that a gateway waits at its start, at most

Stamp = tuple[int, int]
Level = tuple[int, str]  # state of its unit, address under which the list last named it


class Host(Protocol):
    """What a party may do. `now` is tenths of a millisecond since boot."""

    now: int

    def refresh(self) -> None: ...  # each engine, and this gateway, is set aside as `how` says
    def quiet(self, tag: str) -> bool: ...  # nothing of this gateway's is open there
    def address(self, tag: str) -> str: ...  # as the list last told it; empty: not in the list
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def keep(self, record: Any, then: Callable[..., None], *what: Any) -> None: ...
    def confirmed(self) -> None: ...  # something is closed: a word is worth sending
    def log(self, line: str) -> None: ...


class Participant:
    """`kept` is what its folder told, [stamp, levels, closed], or None: then it is blank."""

    def __init__(self, host: Host, name: str, grant: int, kept: list[Any] | None) -> None:
        self.host, self.name, self.grant = host, name, grant
        self.stamp: Stamp = 0, 0
        self.levels: dict[str, Level] = {}
        self.closed: set[str] = set()
        self.blank = kept is None
        self.told = False  # since our start
        self.granted_until = 0
        self.places: dict[str, str] = {}  # by address: which of these the list names there
        self.serial, self.sent = 0, dict[int, int]()
        self.gathering: tuple[Stamp, int, dict[int, list[Any]]] = (0, 0), 0, {}
        self.looking = False
        self.refused = 0
        self.begun, self.met = host.now, -1  # our start, and when we first reached a fellow
        self.asked = False  # somebody plans who knows no more than we, and asks us
        self.safe: Stamp = 0, 0  # what is written, and so may be said
        self.safe_closed: frozenset[str] = frozenset()
        if kept is not None:
            stamp, levels, closed = kept
            self.stamp, self.closed = (stamp[0], stamp[1]), {*closed}
            self.safe, self.safe_closed = self.stamp, frozenset(closed)
            self.levels = {tag: (state, address) for tag, (state, address) in levels.items()}
        self._arranged()

    defended = True  # False leaves the look at the fence out, to show what it is for

    # At its start.

    def waits(self, patience: int, met: bool, planner: str) -> bool:
        """Is it too early to let anybody in? `patience` is tenths of a millisecond, `met` whether a fellow was reached,
        `planner` who is known to hold the duty, or empty.

        Danger: a gateway that has forgotten over a restart, or remembers what was true before it, would send to a
        machine that is out. So it waits for somebody to tell it, for a moment after its start and after it has reached
        a fellow, as either may be slow, and for one that is known to plan; but it serves all the same where nobody is
        there or nobody knows, and after five such moments whatever is."""
        now = self.host.now
        if self.told or now >= self.begun + MOST_PATIENCE * patience:
            return False
        if met and self.met < 0:
            self.met = now
        return now < max(self.begun, self.met) + patience or (bool(planner) and not self.asked)

    # Orders.

    def ordered(
        self, fence: int, number: int, echo: int, part: int, parts: int, said: Mapping[str, int]
    ) -> bool:
        """A part of the orders of a holder. False where a later holder's are in force."""
        stamp = fence, number
        if stamp < self.stamp and self.defended:
            # Danger: what a holder wrote before it stood still would take back what its successor set aside.
            self.refused += fence < self.stamp[0]
            return fence == self.stamp[0]
        if echo in self.sent:
            self._granted(self.sent[echo] + self.grant)
        if stamp == self.stamp and not self.blank and self.defended:
            self.told = True
            return True
        if not (type(part) is int and type(parts) is int and 0 <= part < parts <= PARTS):
            raise ValueError("orders that make no sense")
        if self.gathering[:2] != (stamp, parts):
            self.gathering = stamp, parts, {}
        self.gathering[2][part] = [*said.items()]
        if len(self.gathering[2]) == parts:
            self._take(stamp, dict(each for some in self.gathering[2].values() for each in some))
            self.gathering = (0, 0), 0, {}
        return True

    def _take(self, stamp: Stamp, said: dict[str, int]) -> None:
        before = self.levels
        self.levels = {
            tag: (state, self.host.address(tag) or before.get(tag, (0, ""))[1])
            for tag, state in said.items()
        }
        self.stamp, self.blank, self.told = stamp, False, True
        # Danger: an engine that is drained again must be looked at again.
        self.closed = {tag for tag in self.closed if self.levels.get(tag, (0,))[0] >= DRAINING}
        self._arranged()
        self._keep()

    def _granted(self, until: int) -> None:
        """Counted from before it was asked for: whatever time the letters took is lost, not gained."""
        if until > self.granted_until:
            lapsed, self.granted_until = self.host.now >= self.granted_until, until
            self.host.call_later(max(until - self.host.now, 1), self._lapses, until)
            if lapsed and self.levels:
                self.host.refresh()

    def _lapses(self, until: int) -> None:
        """Danger: cut off from whoever plans, we cannot hear that work begins where it was announced."""
        if until == self.granted_until and self.levels:
            self.host.refresh()

    def _arranged(self) -> None:
        self.places = {address: tag for tag, (_, address) in self.levels.items() if address}
        self.host.refresh()
        if not self.looking and any(
            state >= DRAINING and tag not in self.closed for tag, (state, _) in self.levels.items()
        ):
            self.looking = True
            self.host.call_later(1, self._look)

    def how(self, tag: str, address: str = "") -> int:
        """0: as any engine; 1: nothing new goes there, but what may be tried again nowhere else; 2: nothing at all.
        Danger: an engine that the list names anew, at the address where work is on, is the same machine."""
        if tag not in self.levels:
            tag = self.places.get(address, tag)
        state = self.levels.get(tag, (0, ""))[0]
        if state == GRANTED:
            return 0 if self.host.now < self.granted_until else 1
        return 0 if state < DRAINING else 2 if tag in self.closed else 1

    # What is open here.

    def _look(self) -> None:
        """Is anything of ours still open where nothing new goes?"""
        draining = [
            tag
            for tag, (state, _) in self.levels.items()
            if state >= DRAINING and tag not in self.closed
        ]
        quiet = [tag for tag in draining if self.host.quiet(tag)]
        if quiet:
            self.closed.update(quiet)
            self.host.refresh()  # before it is said
            self._keep()
        self.looking = len(quiet) < len(draining)
        if self.looking:
            self.host.call_later(LOOK, self._look)

    def _keep(self) -> None:
        """Danger: one that confirmed, and forgets it over a restart, would send to a machine that is open on a bench.
        So it is written before it is said."""
        self.host.keep(self.record(), self._kept, self.stamp, frozenset(self.closed))

    def record(self) -> list[Any]:
        return [
            [*self.stamp],
            {tag: [*level] for tag, level in self.levels.items()},
            sorted(self.closed),
        ]

    def _kept(self, stamp: Stamp, closed: frozenset[str]) -> None:
        self.safe, self.safe_closed = stamp, closed
        self.host.confirmed()

    # What is told to whoever plans.

    def word(self) -> list[Any]:
        """[serial, fence, number, blank, closed, how many are closed]: what this gateway answers for. Its grant counts
        from now. Closed ones that do not fit one letter go with the next words, in turn."""
        self.serial += 1
        self.sent[self.serial] = self.host.now
        while len(self.sent) > SENT:
            del self.sent[next(iter(self.sent))]
        closed, said, size = sorted(self.safe_closed & {*self.levels}), list[str](), 0
        for n in range(len(closed)):
            tag = closed[(self.turn + n) % len(closed)]
            size += len(tag.encode()) + 2
            if size > ROOM:
                break
            said.append(tag)
        self.turn = (self.turn + len(said)) % max(len(closed), 1)
        return [self.serial, *self.safe, self.blank, said, len(closed)]

    turn = 0
