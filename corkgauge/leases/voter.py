"""A voter: what it has promised and granted, for each duty.

Owns promises and grants. Free of I/O: clock, way out and store are its host's. Must never grant a duty while
a grant of its own to another still runs, never promise less than before, and never say anything while it may
have forgotten what it said.

Leases by voters without disks: PaxosLease (Trencseni, Gazso, Reinhardt, 2012), after Gray and Cheriton
(1989). Here a voter refuses whatever is not its live holder's, so that no number, however wild, disturbs a
holder.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.leases.voter_configuration import MOST_BALLOT, Span, VoterConfiguration

# Sorts of letters: from candidates, and what voters answer. VACANT goes to candidates.
PROBE, WOULD, PREPARE, PROMISED, GRANT, GRANTED, RELEASE, VACANT = range(8)
MOST_DUTIES = 64  # that a voter remembers


class Host(Protocol):
    """What a voter may do. `now` is tenths of a millisecond since boot, read anew each time."""

    now: int

    def send(self, name: str, body: list[Any]) -> None: ...
    def keep(self, record: dict[str, Any], then: Callable[..., None], *what: Any) -> None: ...
    def log(self, line: str) -> None: ...


class Vote:
    """Of one duty: the highest ballot promised, the last one granted, to whom and until when."""

    __slots__ = ("promised", "ballot", "holder", "until", "since")

    def __init__(
        self, promised: int = 0, ballot: int = 0, holder: tuple[str, int] = ("", 0), until: int = 0
    ) -> None:
        self.promised, self.ballot, self.holder, self.until = promised, ballot, holder, until
        self.since = 0

    def record(self) -> list[Any]:
        return [self.promised, self.ballot, *self.holder]


class Voter:
    """One gateway's votes. `kept` is what was read from its folder, or None where it has none, or nothing:
    then it is silent for a longest lease, as it cannot know what it granted just before it ended."""

    def __init__(
        self,
        host: Host,
        name: str,
        roll: VoterConfiguration,
        span: Span,
        kept: dict[str, list[Any]] | None,
    ) -> None:
        self.host, self.name, self.roll, self.span = host, name, roll, span
        self.votes: dict[str, Vote] = {}
        self.counts = Counter[str]()
        self.outdated = 0  # a later version of the list that was heard of
        now = host.now
        self.silent_until = now + span.silent if kept is None else now
        for duty, (promised, ballot, holder, start) in (kept or {}).items():
            # Danger: how long ago it was granted is not known any more, so it counts as granted now.
            self.votes[duty] = Vote(
                promised, ballot, (holder, start), now + span.silent if ballot else 0
            )

    def renew(self, roll: VoterConfiguration, span: Span) -> None:
        """Another list, or another lease. What was granted stays granted."""
        if roll != self.roll:
            # Danger: a holder under the list before the last may still live on a grant of a voter that went
            # on.
            self.silent_until = self.host.now + max(span.silent, self.span.silent)
        self.roll, self.span = roll, span
        if self.outdated <= roll.version:
            self.outdated = 0

    @property
    def votes_now(self) -> bool:
        return (
            self.name in self.roll.names
            and not self.outdated
            and self.host.now >= self.silent_until
        )

    def heard(self, sender: str, start: int, body: list[Any]) -> None:
        """A letter of a candidate. Anything that makes no sense raises, and changes nothing."""
        sort, duty, version, mark, serial, ballot = body[:6]
        if version > self.roll.version and not self.outdated:
            # Danger: a gateway that came up with an old file would lend its vote to a list long replaced.
            self.outdated = version
            self.host.log(
                f"duties: no vote, list {self.roll.version} is older than list {version} "
                f"of {sender}"
            )
        if self.name not in self.roll.names:
            return
        if not self.votes_now:
            self.counts["silent"] += 1
            return
        if (version, mark) != (self.roll.version, self.roll.mark):
            self.counts["other list"] += 1
            return
        if not (isinstance(duty, str) and type(ballot) is int and 0 <= ballot < MOST_BALLOT):
            raise ValueError("a ballot that makes no sense")
        vote = self.votes.get(duty)
        if vote is None:
            # Danger: names without end would fill the memory.
            if len(self.votes) >= MOST_DUTIES:
                self.counts["too many duties"] += 1
                return
            vote = self.votes[duty] = Vote()
        who = sender, start
        methods = {
            PROBE: self._probe,
            PREPARE: self._prepare,
            GRANT: self._grant,
            RELEASE: self._release,
        }
        methods[sort](who, duty, vote, serial, ballot)

    def _busy(self, vote: Vote, who: tuple[str, int]) -> int:
        """How long a grant to another still runs; 0: not at all."""
        return max(vote.until - self.host.now, 0) if vote.ballot and vote.holder != who else 0

    def _probe(self, who: tuple[str, int], duty: str, vote: Vote, serial: int, ballot: int) -> None:
        """Would it? Nothing changes: what comes back from a cut asks this first."""
        self._say(WOULD, who, duty, vote, serial, not self._busy(vote, who))

    def _prepare(
        self, who: tuple[str, int], duty: str, vote: Vote, serial: int, ballot: int
    ) -> None:
        if self._busy(vote, who) or ballot <= vote.promised:
            return self._say(PROMISED, who, duty, vote, serial, False)
        vote.promised = ballot
        self._keep(self._say, PROMISED, who, duty, vote, serial, True)

    def _grant(self, who: tuple[str, int], duty: str, vote: Vote, serial: int, ballot: int) -> None:
        if self._busy(vote, who) or ballot < vote.promised or not ballot:
            return self._say(GRANTED, who, duty, vote, serial, False)
        known = (vote.ballot, vote.holder) == (ballot, who)
        if vote.holder != who:
            vote.since = self.host.now
        vote.promised = vote.ballot = ballot
        vote.holder = who
        self._granted(who, duty, vote, serial, ballot, known)

    def _granted(
        self, who: tuple[str, int], duty: str, vote: Vote, serial: int, ballot: int, known: bool
    ) -> None:
        """Counted from now, after all that had to be written: the holder counts from before it asked."""
        if vote.ballot != ballot or vote.holder != who:
            return  # released, or another's, while it was written
        vote.until = self.host.now + self.span.granted
        if known:  # a renewal needs no disk: what is read back counts as granted at the start
            self._say(GRANTED, who, duty, vote, serial, True)
        else:
            self._keep(self._granted, who, duty, vote, serial, ballot, True)

    def _release(
        self, who: tuple[str, int], duty: str, vote: Vote, serial: int, ballot: int
    ) -> None:
        """Its holder has ended; what it was granted later, under another ballot, is none of this."""
        if (vote.ballot, vote.holder) == (ballot, who):
            # Danger: a grant that was asked for before comes late, and would bind it for a lease to nobody.
            vote.promised, vote.ballot, vote.until = max(vote.promised, ballot + 1), 0, 0
            # Not written by itself: the successor's promise would wait behind it, and holds it. Who forgets it over a
            # restart counts as granted what was given back, for a lease.

    def _keep(self, then: Callable[..., None], *what: Any) -> None:
        self.host.keep({duty: vote.record() for duty, vote in self.votes.items()}, then, *what)

    def _say(
        self, sort: int, who: tuple[str, int], duty: str, vote: Vote, serial: int, yes: bool
    ) -> None:
        holder = vote.holder[0] if vote.ballot and vote.until > self.host.now else ""
        self.host.send(
            who[0],
            [
                sort,
                duty,
                self.roll.version,
                self.roll.mark,
                serial,
                yes,
                vote.promised,
                self._busy(vote, who),
                holder,
            ],
        )
