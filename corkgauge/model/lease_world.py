"""The small world of the model checker: three voters, two candidates, and what is on its way.

Owns one state of it, and which steps lead on. The machines are the real ones; their clock,
datagrams and timers are the world's.

Steps of a state: any datagram arrives, or is lost; a voter starts anew; time goes on to the next
moment at which a timer is due or a grant ends, with every datagram still on its way.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.messages import MessageKind
from corkgauge.leases.round_pacing import RoundPacing
from corkgauge.leases.voter import Vote, Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration

LEASE_TICKS = 800  # tenths of a millisecond
VOTERS = 3
CANDIDATES = 2
LEASE_NAME = "d"
CONFIGURATION = VoterConfiguration(1, [f"v{n}" for n in range(VOTERS)], LEASE_TICKS)
EXPECTED_REPLIES = {
    CandidateState.PROBING: MessageKind.PROBE_REPLY,
    CandidateState.PREPARING: MessageKind.PREPARE_REPLY,
}
HAS_PROMISES = CandidateState.REQUESTING, CandidateState.HOLDING


class Datagram(NamedTuple):
    """One that is on its way, between two incarnations; candidates have incarnation 0."""

    sender: str
    recipient: str
    body: tuple[Any, ...]
    sender_incarnation: int
    recipient_incarnation: int


class Timer(NamedTuple):
    """The one timer of a candidate that counts."""

    due_at: int
    number: int
    method: Callable[[], None]


class Host:
    """What a machine asks of the world that it is in at the moment."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.world: World

    @property
    def now(self) -> int:
        """Tenths of a millisecond."""
        return self.world.now

    @property
    def date(self) -> int:
        """Milliseconds."""
        return 1 + self.world.now // 10

    def send(self, name: str, body: list[Any]) -> None:
        """Put a datagram on its way."""
        if body[0] != MessageKind.RELEASE:  # nobody gives a lease up here
            incarnations = self.world.incarnations
            self.world.datagrams.append(
                Datagram(
                    self.name,
                    name,
                    tuple(body),
                    incarnations.get(self.name, 0),
                    incarnations.get(name, 0),
                )
            )

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Set the candidate's one timer."""
        number, wake = arguments
        self.world.timers[self.name] = Timer(self.world.now + delay, number, wake)

    def random_below(self, limit: int) -> int:
        """Return 0: nothing is drawn by chance."""
        return 0

    def rank_of(self, lease: str) -> int:
        """Return the candidate's number."""
        return int(self.name[1:])

    def persist(self, record: Any, then: Callable[..., None], *arguments: Any) -> None:
        """Call back at once: a restart forgets all."""
        then(*arguments)

    def on_lease_gained(self, candidate: LeaseCandidate) -> None:
        """Note its fencing token."""
        self.world.fencing_tokens.append(candidate.fencing_token)

    def on_lease_lost(self, candidate: LeaseCandidate, reason: str) -> None:
        """Nothing acts under the lease here."""

    def on_lease_released(self, candidate: LeaseCandidate) -> None:
        """Nobody gives a lease up here."""

    def log(self, line: str) -> None:
        """Lines are not kept."""


class World:
    """One state.

    `disabled` names a safeguard that is left out: silence, busy (a voter's refusal while a grant to
    another runs), before (a holder that counts from the reply in place of the request).
    """

    def __init__(self, restarts: int = 1, disabled: str = "") -> None:
        self.now = 0
        self.restarts = restarts  # of voters, that are left
        self.disabled = disabled
        self.datagrams: list[Datagram] = []
        self.timers: dict[str, Timer] = {}
        self.fencing_tokens: list[int] = []
        self.incarnations = {f"v{n}": 1 for n in range(VOTERS)}
        timing = LeaseTiming(LEASE_TICKS, 0.0, 0)
        if disabled == "silence":
            timing.silence_ticks = 0
        candidate_names = [f"c{n}" for n in range(CANDIDATES)]
        self.hosts = {name: Host(name) for name in (*self.incarnations, *candidate_names)}
        self.enter()
        self.voters = {
            name: Voter(self.hosts[name], name, CONFIGURATION, timing, {})
            for name in self.incarnations
        }
        self.candidates = {
            name: LeaseCandidate(self.hosts[name], LEASE_NAME, name, CONFIGURATION, timing)
            for name in candidate_names
        }

    def enter(self) -> None:
        """Let the machines act in this world: worlds share their hosts."""
        for host in self.hosts.values():
            host.world = self

    def copy(self) -> "World":
        """Return another world in the same state."""
        new = World.__new__(World)
        new.__dict__.update(self.__dict__)
        new.datagrams = [*self.datagrams]
        new.timers = {**self.timers}
        new.fencing_tokens = [*self.fencing_tokens]
        new.incarnations = {**self.incarnations}
        new.voters = {name: _copy_voter(voter) for name, voter in self.voters.items()}
        new.candidates = {
            name: _copy_candidate(candidate) for name, candidate in self.candidates.items()
        }
        return new

    def drop_irrelevant_datagrams(self) -> None:
        """Forget datagrams that can no more change anything.

        These are replies to a round that is over, and questions that change nothing whose replies
        would be.
        """
        self.datagrams = [each for each in self.datagrams if self._is_relevant(each)]

    def _is_relevant(self, datagram: Datagram) -> bool:
        kind = datagram.body[0]
        serial = datagram.body[4]
        if datagram.recipient in self.voters:
            current_serial = self.candidates[datagram.sender].serial
            is_stale = kind == MessageKind.PROBE and serial != current_serial
            return self._is_recipient_known(datagram) and not is_stale
        if not self._is_sender_known(datagram):
            return False
        candidate = self.candidates[datagram.recipient]
        if kind == MessageKind.GRANT_REPLY:
            is_known = candidate.grants.is_request_known(serial)
            return is_known and candidate.state in HAS_PROMISES
        is_expected = EXPECTED_REPLIES.get(candidate.state) == kind
        return bool(serial == candidate.serial) and is_expected

    def _is_sender_known(self, datagram: Datagram) -> bool:
        return datagram.sender_incarnation == self.incarnations[datagram.sender]

    def _is_recipient_known(self, datagram: Datagram) -> bool:
        return datagram.recipient_incarnation == self.incarnations[datagram.recipient]

    # What may happen.

    def steps(self) -> Iterator[tuple[str, "World"]]:
        """Yield what may happen next; datagrams that are alike are one."""
        seen = set()
        for index, datagram in enumerate(self.datagrams):
            if datagram not in seen:
                seen.add(datagram)
                yield self._deliver_step(index, datagram)
        if self.restarts:
            for name in self.voters:
                yield self._restart_step(name)
        yield self.time_step()

    def _deliver_step(self, index: int, datagram: Datagram) -> tuple[str, "World"]:
        new = self.copy()
        del new.datagrams[index]
        new.enter()
        new._deliver(datagram)
        way = f"{datagram.sender}>{datagram.recipient}"
        return f"{way} {datagram.body[0]} {datagram.body[4:]} arrives", new

    def _restart_step(self, name: str) -> tuple[str, "World"]:
        new = self.copy()
        new.restarts -= 1
        new.incarnations[name] += 1
        new.enter()
        timing = new.voters[name].timing
        new.voters[name] = Voter(new.hosts[name], name, CONFIGURATION, timing, None)
        return f"{name} starts anew", new

    def time_step(self) -> tuple[str, "World"]:
        """Go on to the next moment at which something may be different."""
        moments = [timer.due_at for timer in self.timers.values()]
        for voter in self.voters.values():
            moments.append(voter.silent_until)
            moments += [vote.granted_until for vote in voter.votes.values()]
        moments += [candidate.held_until for candidate in self.candidates.values()]
        new = self.copy()
        new.now = min(moment for moment in moments if moment > self.now)
        new.enter()
        for name, timer in sorted(new.timers.items()):
            if timer.due_at <= new.now:
                candidate = new.candidates[name]
                candidate.on_timer(timer.number, getattr(candidate, timer.method.__name__))
        return f"time goes on to {new.now}", new

    def _deliver(self, datagram: Datagram) -> None:
        if datagram.recipient in self.voters:
            if self._is_recipient_known(datagram):
                voter = self.voters[datagram.recipient]
                if self.disabled == "busy":
                    for vote in voter.votes.values():
                        vote.granted_until = 0
                voter.on_datagram(datagram.sender, 1, [*datagram.body])
        elif self._is_sender_known(datagram) and datagram.body[0] != MessageKind.VACANT:
            candidate = self.candidates[datagram.recipient]
            if self.disabled == "before":
                grants = candidate.grants
                grants.sent_at = dict.fromkeys(grants.sent_at, self.now)
            candidate.on_datagram(datagram.sender, [*datagram.body])

    def find_violation(self) -> str:
        """Return what must never be, in one line; empty where all is well."""
        self.enter()
        able = [name for name, candidate in self.candidates.items() if candidate.may_act()]
        if len(able) > 1:
            return f"{' and '.join(able)} hold at once"
        if self.fencing_tokens != sorted({*self.fencing_tokens}):
            return f"fences do not grow: {self.fencing_tokens}"
        return ""


def _copy_voter(voter: Voter) -> Voter:
    new = Voter.__new__(Voter)
    new.__dict__.update(voter.__dict__)
    new.votes = {lease: _copy_vote(vote) for lease, vote in voter.votes.items()}
    return new


def _copy_vote(vote: Vote) -> Vote:
    new = Vote(vote.promised_ballot, vote.granted_ballot, vote.holder, vote.granted_until)
    new.granted_since = vote.granted_since
    return new


def _copy_candidate(candidate: LeaseCandidate) -> LeaseCandidate:
    new = LeaseCandidate.__new__(LeaseCandidate)
    new.__dict__.update(candidate.__dict__)
    new.grants = candidate.grants.copy()
    new.pacing = RoundPacing(candidate.pacing.failed_rounds)
    new.tally = candidate.tally.copy()
    return new
