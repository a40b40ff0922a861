"""A candidate for one duty, and its holder once it has it.

Owns whether this gateway may act under the duty, under which fence and until when. Free of I/O: clocks,
chance and way out are its host's. Must never say yes to `may` past the time that a majority granted, counted
from before each grant was asked for; a look at it is valid for the very next act alone.

Three rounds to a duty: PROBE (would you? changes nothing: the pre-vote), PREPARE (a ballot above all others),
GRANT; then GRANT again, several times a lease. Each voter's last grant counts from when that letter was
written, and the duty is held while a majority's last grants all run: one lost letter costs nothing. One that is told
that the duty was just given back begins with PREPARE.
"""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.leases.voter import GRANT, GRANTED, PREPARE, PROBE, PROMISED, RELEASE, VACANT, WOULD
from corkgauge.leases.voter_configuration import (
    MOST_BALLOT,
    Span,
    VoterConfiguration,
    ballot_of,
    round_of,
)

WATCHING, PROBING, PREPARING, ASKING, HOLDING = range(5)
STATES = "watching", "probing", "preparing", "asking", "holding"
SENT = 64  # letters whose time of writing is remembered
MOST_REPLY = 3  # spans that voters have for an answer, after rounds that came to nothing


class Host(Protocol):
    """What a candidate may do. `now` is tenths of a millisecond since boot, read anew each time; `date` is
    the system's time in milliseconds, whose steps cost no safety; `rank` is how many others should try
    first."""

    now: int
    date: int

    def send(self, name: str, body: list[Any]) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def chance(self, below: int) -> int: ...
    def rank(self, duty: str) -> int: ...
    def gained(self, holder: "LeaseCandidate") -> None: ...
    def lost(self, holder: "LeaseCandidate", why: str) -> None: ...
    def vacant(self, holder: "LeaseCandidate") -> None: ...


class LeaseCandidate:
    """`wanted`: does this gateway stand for the duty?"""

    def __init__(
        self,
        host: Host,
        duty: str,
        name: str,
        roll: VoterConfiguration,
        span: Span,
        wanted: bool = True,
    ) -> None:
        self.host, self.duty, self.name, self.roll, self.span = host, duty, name, roll, span
        self.state, self.wanted = WATCHING, wanted
        self.fence = self.until = self.since = 0  # of what is held
        self.seen = 0  # the highest ballot or fence heard of
        self.serial = self.begun = self.ballot = 0
        self.sent: dict[int, int] = {}  # serial of a letter: when it was written
        self.said: dict[str, bool] = {}  # what voters answered in this round
        self.left: dict[str, int] = {}  # and how long they are bound
        self.acknowledged: dict[
            str, int
        ] = {}  # by voter: when the last letter it granted was written
        self.alarm = 0  # the one timer that counts
        self.other, self.why = "", "started"  # who holds it, as voters tell; why the last change
        self.tries = 0  # rounds in a row that came to nothing
        self._watch(1 + host.rank(duty) * span.stagger)

    # What others ask.

    def may(self) -> bool:
        """May the act that follows at once be done? To be asked immediately before each."""
        return self.state == HOLDING and self.host.now < self.until

    def stand(self, wanted: bool) -> None:
        self.wanted = wanted
        if wanted and self.state == WATCHING:
            self._watch(1 + self.host.rank(self.duty) * self.span.stagger)

    def give_up(self, why: str, pause: int = 0) -> None:
        """End it now: nothing is done under it any more, voters are told, then the next ones. For so long
        this gateway does not stand for it."""
        was = self.state
        self._over(why)
        if was in (ASKING, HOLDING):
            self._tell(RELEASE, self.ballot)
            self.host.vacant(self)
        self._watch(max(pause, self.span.lease))

    def outbid(self, fence: int) -> None:
        """Who guards an act has seen a higher fence than ours. Danger: after all voters forgot, clocks set
        back may give a fence below one that was used; the next one must be above."""
        self.seen = max(self.seen, fence)
        if self.state == HOLDING and fence > self.fence:
            self.give_up("outbid", 1)
            self._watch(1)

    def renew(self, roll: VoterConfiguration, span: Span) -> None:
        """Another list of voters, or another lease. What is held stays held as long as it was granted for;
        what was granted under another list does not count towards this one."""
        if roll != self.roll:
            self.acknowledged.clear()
        self.roll, self.span = roll, span

    # What happens.

    def heard(self, sender: str, body: list[Any]) -> None:
        """A voter's answer. Anything that makes no sense raises, and changes nothing."""
        sort, _, version, mark, serial = body[:5]
        if sort == VACANT:
            # Danger: answers that are on their way tell of the grant that was just given back, and would make us wait
            # for its end; so a round that only asks is over. Nor is another needed first: a voter that still grants
            # it to somebody refuses a ballot, and changes nothing.
            if self.state in (WATCHING, PROBING) and self.wanted:
                self.state, self.other = WATCHING, ""
                self._wake(1 + self.host.rank(self.duty) * self.span.stagger, self._vacated)
            return
        if sender not in self.roll.names or (version, mark) != (self.roll.version, self.roll.mark):
            return
        yes, promised, left, holder = body[5:9]
        if not (
            type(promised) is int
            and 0 <= promised < MOST_BALLOT
            and type(left) is int
            and left >= 0
        ):
            raise ValueError("an answer that makes no sense")
        self.seen = max(self.seen, promised)
        if sort == GRANTED:
            return self._granted(sender, serial, bool(yes))
        if serial != self.serial or (sort, self.state) not in (
            (WOULD, PROBING),
            (PROMISED, PREPARING),
        ):
            return
        self.said[sender], self.left[sender] = bool(yes), min(left, self.span.granted)
        self.other = holder or self.other
        if sum(self.said.values()) >= self.roll.majority:
            if self.state == PREPARING:
                self._ask()
            elif self.wanted:
                self._prepare()
            else:  # it was asked for what operators are told alone
                self._watch(self.span.lease)
        elif len(self.said) - sum(self.said.values()) > len(self.roll.names) - self.roll.majority:
            self._refused()

    def _refused(self) -> None:
        """Not now: the next try is when so many are free again that they may be a majority, in our turn."""
        free = sorted(0 if yes else self.left[name] for name, yes in self.said.items())
        free += [self.span.reply] * (len(self.roll.names) - len(free))
        bound = free[self.roll.majority - 1]
        self.state, self.tries = WATCHING, 0 if bound else self.tries + 1
        self._watch(bound + self.host.rank(self.duty) * self.span.stagger + self._pause())

    def _pause(self) -> int:
        """Danger: two that try again and again at the same moment would never let either have it."""
        return 1 + self.host.chance(self.span.stagger * min(1 + self.tries, 8))

    def _watch(self, delay: int) -> None:
        self.state = WATCHING
        self._wake(delay, self._probe)

    def _wake(self, delay: int, method: Callable[[], None]) -> None:
        self.alarm += 1
        self.host.call_later(max(int(delay), 1), self.woken, self.alarm, method)

    def woken(self, alarm: int, method: Callable[[], None]) -> None:
        if alarm == self.alarm:
            method()

    def _probe(self) -> None:
        self.other = ""
        self._round(PROBING, PROBE, 0)

    def _vacated(self) -> None:
        """It was given back a moment ago."""
        if self.wanted:
            self._prepare()
        else:
            self._watch(self.span.lease)

    def _prepare(self) -> None:
        """Danger: a ballot below one that a voter has promised is lost time; and all may have forgotten, so
        the date keeps fences growing where clocks are right."""
        self.ballot = ballot_of(max(round_of(self.seen) + 1, self.host.date), self.name)
        self._round(PREPARING, PREPARE, self.ballot)

    def _round(self, state: int, sort: int, ballot: int) -> None:
        self.state, self.said, self.left = state, {}, {}
        self._tell(sort, ballot)
        # Danger: where disks or processors take longer than that for a promise, no round would ever be answered in
        # time; after each that was not, the next is waited for longer, and less before it. A promise is used no later
        # than a voter remembers it, a lease from its start: at most 3/8 of one here, and half of one in `_give`.
        self._wake(self.span.reply * self._patience(), self._unheard)

    def _patience(self) -> int:
        return min(1 + self.tries, MOST_REPLY)

    def _unheard(self) -> None:
        self._unanswered(self._patience() - 1)

    def _unanswered(self, waited: int = 0) -> None:
        """Until the next round; what was waited for answers beyond the first span is part of it."""
        self.tries += 1
        self._watch(self.span.reply * (min(self.tries, 4) - waited) + self._pause())

    def _ask(self) -> None:
        self.state, self.begun, self.acknowledged = ASKING, self.host.now, {}
        # Danger: a late answer to a letter of an earlier time in office speaks of a grant that was given
        # back.
        self.said, self.sent = {}, {}
        self._give()

    def _give(self) -> None:
        """Ask for the grant, or for more of it."""
        if self.state == HOLDING and self.host.now >= self.until:
            return self._lapsed()
        if self.state == ASKING and self.host.now >= self.begun + self.span.held // 2:
            # Danger: promises are remembered by voters for a lease after their start; older ones prove
            # nothing.
            return self._unanswered()
        self.sent[self.serial + 1] = self.host.now  # before it is written
        self._tell(GRANT, self.ballot)
        while len(self.sent) > SENT:
            del self.sent[next(iter(self.sent))]
        each = self.span.each
        self._wake(
            min(each, self.until - self.host.now) if self.state == HOLDING else each // 2,
            self._give,
        )

    def _granted(self, sender: str, serial: int, yes: bool) -> None:
        if self.state not in (ASKING, HOLDING) or serial not in self.sent:
            return
        if not yes:
            if self.state == ASKING:
                self.said[sender] = False
                if len(self.said) > len(self.roll.names) - self.roll.majority:
                    self.state = WATCHING
                    self._unanswered()
            return
        self.acknowledged[sender] = max(self.sent[serial], self.acknowledged.get(sender, 0))
        if len(self.acknowledged) < self.roll.majority:
            return
        since = sorted(self.acknowledged.values(), reverse=True)[self.roll.majority - 1]
        until = since + self.span.held
        self.until = max(self.until, until) if self.state == HOLDING else until
        if self.state == ASKING and self.host.now < self.until:
            self.state, self.fence, self.since, self.tries = HOLDING, self.ballot, self.host.now, 0
            self.seen, self.other, self.why = max(self.seen, self.ballot), self.name, "granted"
            self._wake(min(self.span.each, self.until - self.host.now), self._give)
            self.host.gained(self)

    def _lapsed(self) -> None:
        self._over("lapsed")
        self._watch(1 + self._pause())

    def _over(self, why: str) -> None:
        was, self.state = self.state, WATCHING
        if was == HOLDING:
            self.why, self.other = why, ""
            self.host.lost(self, why)
        self.fence = self.until = 0

    def _tell(self, sort: int, ballot: int) -> None:
        self.serial += 1
        for name in self.roll.names:
            self.host.send(
                name, [sort, self.duty, self.roll.version, self.roll.mark, self.serial, ballot]
            )
