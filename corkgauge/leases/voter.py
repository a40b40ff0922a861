"""The voter: what one instance has promised and granted, for each lease.

Owns promises and grants. Free of I/O: clock, datagrams and disk are its host's. Must never grant a
lease while a grant of its own to another still runs, never promise less than before, and never
answer while it may have forgotten what it said.

Leases by voters without disks: PaxosLease (Trencseni, Gazso, Reinhardt, 2012), after Gray and
Cheriton (1989). Here a voter refuses whatever is not its live holder's, so that no ballot, however
high, disturbs a holder.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from corkgauge.leases import messages
from corkgauge.leases.interfaces import VoterHost
from corkgauge.leases.messages import (
    CandidateRequest,
    Envelope,
    GrantReply,
    GrantRequest,
    Prepare,
    PrepareReply,
    Probe,
    ProbeReply,
    Release,
    VoterReply,
)
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration

MAX_LEASES = 64  # that a voter remembers


class Holder(NamedTuple):
    """Whom a lease is granted: a restarted instance is another one."""

    name: str
    incarnation: int


NO_HOLDER = Holder("", 0)


class Vote:
    """Of one lease: the highest ballot promised, the last one granted, to whom and until when.

    `granted_ballot` is 0 where nothing is granted; times are tenths of a millisecond since boot.
    """

    __slots__ = ("granted_ballot", "granted_since", "granted_until", "holder", "promised_ballot")

    def __init__(
        self,
        promised_ballot: int = 0,
        granted_ballot: int = 0,
        holder: Holder = NO_HOLDER,
        granted_until: int = 0,
    ) -> None:
        self.promised_ballot = promised_ballot
        self.granted_ballot = granted_ballot
        self.holder = holder
        self.granted_until = granted_until
        self.granted_since = 0

    def encode(self) -> list[Any]:
        """As it is stored: promised ballot, granted ballot, holder's name and incarnation."""
        return [self.promised_ballot, self.granted_ballot, *self.holder]


class Voter:
    """One instance's votes.

    `stored` is what was read from its folder, or None where it has none, or nothing: then it is
    silent for a longest lease, as it cannot know what it granted just before it ended.
    """

    def __init__(
        self,
        host: VoterHost,
        name: str,
        configuration: VoterConfiguration,
        timing: LeaseTiming,
        stored: dict[str, list[Any]] | None,
    ) -> None:
        self.host = host
        self.name = name
        self.configuration = configuration
        self.timing = timing
        self.votes: dict[str, Vote] = {}
        self.counts = Counter[str]()
        self.newer_version = 0  # a later version of the configuration that was heard of
        now = host.now
        self.silent_until = now
        if stored is None:
            self.silent_until = now + timing.silence_ticks
        for lease, (promised, granted, holder, incarnation) in (stored or {}).items():
            # When it was granted is not stored: counted as granted now, it is never given to
            # another too soon.
            until = now + timing.silence_ticks if granted else 0
            self.votes[lease] = Vote(promised, granted, Holder(holder, incarnation), until)
        self._handlers: dict[type[CandidateRequest], Callable[..., None]] = {
            Probe: Voter._on_probe,
            Prepare: Voter._on_prepare,
            GrantRequest: Voter._on_grant_request,
            Release: Voter._on_release,
        }

    def reconfigure(self, configuration: VoterConfiguration, timing: LeaseTiming) -> None:
        """Take another voter configuration, or another lease. What was granted stays granted."""
        if configuration != self.configuration:
            # A holder under the configuration before the last may still live on a grant of a voter
            # that has gone on: silence until that grant is over.
            self.silent_until = self.host.now + max(timing.silence_ticks, self.timing.silence_ticks)
        self.configuration = configuration
        self.timing = timing
        if self.newer_version <= configuration.version:
            self.newer_version = 0

    @property
    def is_voting(self) -> bool:
        """Whether it answers candidates at the moment."""
        return (
            self.name in self.configuration.names
            and not self.newer_version
            and self.host.now >= self.silent_until
        )

    def on_datagram(self, sender: str, incarnation: int, body: Any) -> None:
        """Answer a candidate. A malformed body raises ProtocolError, and changes no vote."""
        envelope = messages.decode_request_envelope(body)
        self._record_newer_version(sender, envelope)
        if not self._can_answer(envelope):
            return
        request = messages.decode_request(body)
        vote = self._get_or_create_vote(request.lease)
        if vote is not None:
            handler = self._handlers[type(request)]
            handler(self, Holder(sender, incarnation), vote, request)

    def _record_newer_version(self, sender: str, envelope: Envelope) -> None:
        if envelope.version > self.configuration.version and not self.newer_version:
            # An instance that came up with an old file would lend its vote to a configuration long
            # replaced: it votes no more until it is reloaded.
            self.newer_version = envelope.version
            self.host.log(
                f"duties: no vote, list {self.configuration.version} is older than list "
                f"{envelope.version} of {sender}"
            )

    def _can_answer(self, envelope: Envelope) -> bool:
        configuration = self.configuration
        if self.name not in configuration.names:
            return False
        if not self.is_voting:
            self.counts["silent"] += 1
            return False
        expected = configuration.version, configuration.fingerprint
        if (envelope.version, envelope.fingerprint) != expected:
            self.counts["other list"] += 1
            return False
        return True

    def _get_or_create_vote(self, lease: str) -> Vote | None:
        vote = self.votes.get(lease)
        if vote is None:
            # Lease names without end would fill the memory.
            if len(self.votes) >= MAX_LEASES:
                self.counts["too many duties"] += 1
                return None
            vote = self.votes[lease] = Vote()
        return vote

    def _blocked_ticks(self, vote: Vote, candidate: Holder) -> int:
        """Return how long a grant to another still runs; 0: not at all."""
        if vote.granted_ballot and vote.holder != candidate:
            return max(vote.granted_until - self.host.now, 0)
        return 0

    def _on_probe(self, candidate: Holder, vote: Vote, request: Probe) -> None:
        """Answer, and change nothing: what comes back from a partition asks this first."""
        is_free = not self._blocked_ticks(vote, candidate)
        self._reply(ProbeReply, candidate, vote, request, is_free)

    def _on_prepare(self, candidate: Holder, vote: Vote, request: Prepare) -> None:
        if self._blocked_ticks(vote, candidate) or request.ballot <= vote.promised_ballot:
            self._reply(PrepareReply, candidate, vote, request, False)
            return
        vote.promised_ballot = request.ballot
        self._persist(self._reply, PrepareReply, candidate, vote, request, True)

    def _on_grant_request(self, candidate: Holder, vote: Vote, request: GrantRequest) -> None:
        ballot = request.ballot
        is_blocked = self._blocked_ticks(vote, candidate) > 0
        if is_blocked or ballot < vote.promised_ballot or not ballot:
            self._reply(GrantReply, candidate, vote, request, False)
            return
        is_renewal = (vote.granted_ballot, vote.holder) == (ballot, candidate)
        if vote.holder != candidate:
            vote.granted_since = self.host.now
        vote.promised_ballot = ballot
        vote.granted_ballot = ballot
        vote.holder = candidate
        self._grant(candidate, vote, request, is_renewal)

    def _grant(
        self, candidate: Holder, vote: Vote, request: GrantRequest, is_persisted: bool
    ) -> None:
        """Grant the lease from now on, and answer once the grant is on disk.

        Counted from after all that had to be written: the holder counts from before it asked.
        """
        if vote.granted_ballot != request.ballot or vote.holder != candidate:
            return  # released, or another's, while it was written
        vote.granted_until = self.host.now + self.timing.grant_ticks
        if is_persisted:
            # A renewal needs no disk either: what is read back counts as granted at the start.
            self._reply(GrantReply, candidate, vote, request, True)
        else:
            self._persist(self._grant, candidate, vote, request, True)

    def _on_release(self, candidate: Holder, vote: Vote, request: Release) -> None:
        """Free the lease, if it is the sender's under this ballot.

        What the sender was granted later, under another ballot, is none of this.
        """
        if (vote.granted_ballot, vote.holder) != (request.ballot, candidate):
            return
        # A grant request that arrives after this would bind the lease to nobody: its ballot is
        # refused now.
        vote.promised_ballot = max(vote.promised_ballot, request.ballot + 1)
        vote.granted_ballot = 0
        vote.granted_until = 0
        # Not written by itself: the successor's promise would wait behind it, and holds it. A voter
        # that forgets it over a restart counts as granted what was given back, for a lease.

    def _persist(self, callback: Callable[..., None], *arguments: Any) -> None:
        record = {lease: vote.encode() for lease, vote in self.votes.items()}
        self.host.persist(record, callback, *arguments)

    def _reply(
        self,
        reply_type: type[VoterReply],
        candidate: Holder,
        vote: Vote,
        request: CandidateRequest,
        is_accepted: bool,
    ) -> None:
        holder = ""
        if vote.granted_ballot and vote.granted_until > self.host.now:
            holder = vote.holder.name
        reply = reply_type(
            request.lease,
            self.configuration.version,
            self.configuration.fingerprint,
            request.serial,
            is_accepted,
            vote.promised_ballot,
            self._blocked_ticks(vote, candidate),
            holder,
        )
        self.host.send(candidate.name, reply.encode())
