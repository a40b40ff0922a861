"""State space of the lease model checker: three voters, two candidates and datagrams in transit.

Owns one state, and the possible steps from it to other states. The voters and candidates are those
of the program; the world simulates their clock, datagrams and timers.

Possible steps of a state: a datagram arrives; a voter restarts; or the time advances to the next
tick at which a timer is due or a grant ends, while all datagrams stay in transit. A lost datagram
is one that stays in transit.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.messages import MessageKind
from corkgauge.leases.round_pacing import RoundPacing
from corkgauge.leases.voter import Vote, Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration

LEASE_TICKS = 800
VOTER_COUNT = 3
CANDIDATE_COUNT = 2
LEASE_NAME = "d"
CONFIGURATION = VoterConfiguration(1, [f"v{n}" for n in range(VOTER_COUNT)], LEASE_TICKS)
EXPECTED_REPLIES = {
    CandidateState.PROBING: MessageKind.PROBE_REPLY,
    CandidateState.PREPARING: MessageKind.PREPARE_REPLY,
}
HAS_PROMISES = CandidateState.REQUESTING, CandidateState.HOLDING


class Datagram(NamedTuple):
    """A datagram in transit between two incarnations; candidates have incarnation 0."""

    sender: str
    recipient: str
    body: tuple[Any, ...]
    sender_incarnation: int
    recipient_incarnation: int


class Timer(NamedTuple):
    """The current timer of a candidate; earlier ones are replaced."""

    due_at: int
    number: int
    method: Callable[[], None]


class Host:
    """Host of a voter or candidate, connected to the world that is being evaluated."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.world: World

    @property
    def now(self) -> int:
        """The simulated time in ticks."""
        return self.world.now

    @property
    def date(self) -> int:
        """The simulated date in milliseconds."""
        return 1 + self.world.now // 10

    def send(self, name: str, body: list[Any]) -> None:
        """Add a datagram in transit."""
        if body[0] != MessageKind.RELEASE:  # the model contains no voluntary release
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
        """Replace the timer of the candidate."""
        number, wake = arguments
        self.world.timers[self.name] = Timer(self.world.now + delay, number, wake)

    def random_below(self, limit: int) -> int:
        """Return 0: the model is deterministic."""
        return 0

    def rank_of(self, lease: str) -> int:
        """Return the number of the candidate."""
        return int(self.name[1:])

    def persist(self, record: Any, then: Callable[..., None], *arguments: Any) -> None:
        """Call back at once: voters have no disk, and a restart loses their votes."""
        then(*arguments)

    def on_lease_gained(self, candidate: LeaseCandidate) -> None:
        """Record the fencing token."""
        self.world.fencing_tokens.append(candidate.fencing_token)

    def on_lease_lost(self, candidate: LeaseCandidate, reason: str) -> None:
        """Do nothing: no process acts under the lease in this model."""

    def on_lease_released(self, candidate: LeaseCandidate) -> None:
        """Do nothing: the model contains no voluntary release."""

    def log(self, line: str) -> None:
        """Discard the log line."""


class World:
    """One state of the model.

    `disabled` names a safeguard that is disabled: silence (no replies after a restart, while
    earlier grants may be valid), busy (a voter rejects requests while its grant to another
    candidate is valid), before (a holder counts its lease from the request, not from the reply).
    """

    def __init__(self, restarts: int = 1, disabled: str = "") -> None:
        self.now = 0
        self.restarts = restarts  # remaining restarts of voters
        self.disabled = disabled
        self.datagrams: list[Datagram] = []
        self.timers: dict[str, Timer] = {}
        self.fencing_tokens: list[int] = []
        self.incarnations = {f"v{n}": 1 for n in range(VOTER_COUNT)}
        timing = LeaseTiming(LEASE_TICKS, 0.0, 0)
        if disabled == "silence":
            timing.silence_ticks = 0
        candidate_names = [f"c{n}" for n in range(CANDIDATE_COUNT)]
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
        """Connect the hosts, which all worlds share, to this world."""
        for host in self.hosts.values():
            host.world = self

    def copy(self) -> "World":
        """Return a copy that can take a step without a change of this world."""
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
        """Drop the datagrams that can no longer change any state.

        These are replies to a round that has ended, datagrams of earlier incarnations, and probes
        of a round that has ended: a probe changes no voter, and its reply would be dropped.
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

    # Steps.

    def steps(self) -> Iterator[tuple[str, "World"]]:
        """Yield the description and the state of each possible step; equal datagrams count once."""
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
        route = f"{datagram.sender}>{datagram.recipient}"
        return f"{route} {datagram.body[0]} {datagram.body[4:]} arrives", new

    def _restart_step(self, name: str) -> tuple[str, "World"]:
        new = self.copy()
        new.restarts -= 1
        new.incarnations[name] += 1
        new.enter()
        timing = new.voters[name].timing
        new.voters[name] = Voter(new.hosts[name], name, CONFIGURATION, timing, None)
        return f"{name} restarts", new

    def time_step(self) -> tuple[str, "World"]:
        """Advance the time to the next tick at which a timer is due or a grant or silence ends."""
        deadlines = [timer.due_at for timer in self.timers.values()]
        for voter in self.voters.values():
            deadlines.append(voter.silent_until)
            deadlines += [vote.granted_until for vote in voter.votes.values()]
        deadlines += [candidate.held_until for candidate in self.candidates.values()]
        new = self.copy()
        new.now = min(deadline for deadline in deadlines if deadline > self.now)
        new.enter()
        for name, timer in sorted(new.timers.items()):
            if timer.due_at <= new.now:
                candidate = new.candidates[name]
                candidate.on_timer(timer.number, getattr(candidate, timer.method.__name__))
        return f"time advances to {new.now}", new

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
        """Return a one-line description of a violated invariant; empty if there is none."""
        self.enter()
        holders = [name for name, candidate in self.candidates.items() if candidate.may_act()]
        if len(holders) > 1:
            return f"{' and '.join(holders)} hold the lease at the same time"
        if self.fencing_tokens != sorted({*self.fencing_tokens}):
            return f"fencing tokens do not increase: {self.fencing_tokens}"
        return ""


def _copy_voter(voter: Voter) -> Voter:
    new = Voter.__new__(Voter)
    new.__dict__.update(voter.__dict__)
    new.votes = {lease: _copy_vote(vote) for lease, vote in voter.votes.items()}
    return new


def _copy_vote(vote: Vote) -> Vote:
    new = Vote(vote.promised_ballot, vote.granted_ballot, vote.holder, vote.granted_until)
    new.granted_since = vote.granted_since
    new.unstored_request = vote.unstored_request
    return new


def _copy_candidate(candidate: LeaseCandidate) -> LeaseCandidate:
    new = LeaseCandidate.__new__(LeaseCandidate)
    new.__dict__.update(candidate.__dict__)
    new.grants = candidate.grants.copy()
    new.pacing = RoundPacing(candidate.pacing.failed_rounds)
    new.tally = candidate.tally.copy()
    return new
