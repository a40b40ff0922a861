"""A voter: the promises and grants of one instance, for each lease.

Owns promises and grants. Free of I/O: the host provides the clock, datagrams and the disk. A voter
must never grant a lease while its grant to another candidate is valid, must never lower a promise,
and must never reply while votes from before a restart may be lost.

Leases from voters without disks follow PaxosLease (Trencseni, Gazso, Reinhardt, 2012), after Gray
and Cheriton (1989). Unlike there, a voter rejects every request that is not from the current holder
while the grant is valid, so that no ballot, however high, disturbs a holder.
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

MAX_LEASES = 64  # leases that a voter keeps votes for


class Holder(NamedTuple):
    """The instance that a lease is granted to; a restarted instance is a different holder."""

    name: str
    incarnation: int


NO_HOLDER = Holder("", 0)


class Vote:
    """The vote for one lease: highest promised ballot, last granted ballot, holder and expiry.

    `granted_ballot` is 0 if nothing is granted. `unstored_request` is the latest request for the
    grant while the grant is not on disk, None otherwise. Times are ticks (tenths of a millisecond)
    since boot. `asked_at` is the tick of the last request that could change the vote.
    """

    __slots__ = (
        "asked_at",
        "granted_ballot",
        "granted_since",
        "granted_until",
        "holder",
        "promised_ballot",
        "unstored_request",
    )

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
        self.asked_at = 0
        self.unstored_request: GrantRequest | None = None

    def encode(self) -> list[Any]:
        """Return the stored form: promised ballot, granted ballot, holder name, incarnation."""
        return [self.promised_ballot, self.granted_ballot, *self.holder]


class Voter:
    """The votes of one instance.

    `stored` holds the votes read from disk, or is None if there is no folder or nothing was stored.
    Without stored votes, the voter cannot know what it granted before the restart, and stays silent
    for the longest lease that was ever granted.
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
        self.newer_version = 0  # newer configuration version sent by a candidate; 0: none
        now = host.now
        self.silent_until = now
        if stored is None:
            self.silent_until = now + timing.silence_ticks
        for lease, (promised_ballot, granted_ballot, holder, incarnation) in (stored or {}).items():
            # The grant time is not stored. Counting the lease as granted now prevents an early
            # grant to another candidate.
            granted_until = now + timing.silence_ticks if granted_ballot else 0
            vote = Vote(promised_ballot, granted_ballot, Holder(holder, incarnation), granted_until)
            vote.asked_at = now
            self.votes[lease] = vote
        self._handlers: dict[type[CandidateRequest], Callable[..., None]] = {
            Probe: Voter._on_probe,
            Prepare: Voter._on_prepare,
            GrantRequest: Voter._on_grant_request,
            Release: Voter._on_release,
        }

    def reconfigure(self, configuration: VoterConfiguration, timing: LeaseTiming) -> None:
        """Apply another voter configuration or another lease duration; grants stay valid."""
        if configuration != self.configuration:
            # A holder under the configuration before the previous one may still rely on a grant by
            # a voter that has since moved to a newer configuration. Stay silent until such a grant
            # has expired.
            self.silent_until = self.host.now + max(timing.silence_ticks, self.timing.silence_ticks)
        self.configuration = configuration
        self.timing = timing
        if self.newer_version <= configuration.version:
            self.newer_version = 0

    @property
    def is_voting(self) -> bool:
        """Whether the voter currently replies to candidates."""
        return (
            self.name in self.configuration.names
            and not self.newer_version
            and self.host.now >= self.silent_until
        )

    def on_datagram(self, sender: str, incarnation: int, body: Any) -> None:
        """Handle a candidate's request.

        Raises ProtocolError for a malformed body, and changes no vote in that case.
        """
        envelope = messages.decode_request_envelope(body)
        self._record_newer_version(sender, envelope)
        if not self._can_answer(envelope):
            return
        request = messages.decode_request(body)
        vote = self._find_vote(request)
        if vote is not None:
            handler = self._handlers[type(request)]
            handler(self, Holder(sender, incarnation), vote, request)

    def _record_newer_version(self, sender: str, envelope: Envelope) -> None:
        if envelope.version > self.configuration.version and not self.newer_version:
            # An instance that started with an outdated operator file would vote for a replaced
            # voter configuration. It does not vote until its operator file is reloaded.
            self.newer_version = envelope.version
            self.host.log(
                f"duties: no vote, voter list version {self.configuration.version} is older than "
                f"version {envelope.version} of {sender}; update and reload the operator file"
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

    def _find_vote(self, request: CandidateRequest) -> Vote | None:
        """Return the vote for the request's lease; None if there is no room for a new one."""
        vote = self.votes.get(request.lease)
        if isinstance(request, Probe):
            return vote or Vote()  # a probe changes no vote, so none is kept for it
        if vote is None:
            # Bound the memory used if candidates send arbitrarily many lease names.
            if len(self.votes) >= MAX_LEASES and not self._forget_idle_vote():
                self.counts["too many duties"] += 1
                return None
            vote = self.votes[request.lease] = Vote()
        vote.asked_at = self.host.now
        return vote

    def _forget_idle_vote(self) -> bool:
        """Forget the vote that was asked for least recently; return whether it was safe.

        It is safe after the time for which a restarted voter without stored votes is silent: no
        grant or promise from before is valid then.
        """
        lease = min(self.votes, key=lambda each: self.votes[each].asked_at)
        vote = self.votes[lease]
        idle_since = max(vote.asked_at, vote.granted_until)
        if vote.unstored_request is not None or self.host.now < (
            idle_since + self.timing.silence_ticks
        ):
            return False
        del self.votes[lease]
        return True

    def _blocked_ticks(self, vote: Vote, candidate: Holder) -> int:
        """Return the remaining ticks of a grant to another candidate, or 0 if there is none."""
        if vote.granted_ballot and vote.holder != candidate:
            return max(vote.granted_until - self.host.now, 0)
        return 0

    def _on_probe(self, candidate: Holder, vote: Vote, request: Probe) -> None:
        """Reply without changing the vote.

        A candidate that returns from a partition probes first, so that it disturbs no holder.
        """
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
        if (vote.granted_ballot, vote.holder) == (ballot, candidate):
            self._renew(candidate, vote, request)
            return
        if vote.holder != candidate:
            vote.granted_since = self.host.now
        vote.promised_ballot = ballot
        vote.granted_ballot = ballot
        vote.holder = candidate
        vote.granted_until = self.host.now + self.timing.grant_ticks
        vote.unstored_request = request
        self._persist(self._on_grant_stored, candidate, vote, ballot)

    def _renew(self, candidate: Holder, vote: Vote, request: GrantRequest) -> None:
        """Extend a grant; reply now, or with the pending write if the grant is not on disk yet.

        A voter that replied and were killed before the write would forget the grant, and might
        grant the lease to another candidate. A renewal of a grant on disk needs no write: a vote
        read back after a restart counts as granted at the time of the restart.
        """
        vote.granted_until = self.host.now + self.timing.grant_ticks
        if vote.unstored_request is not None:
            vote.unstored_request = request
            # Joins the pending write. A write that failed is never confirmed, and is repeated so.
            self._persist(self._on_grant_stored, candidate, vote, request.ballot)
            return
        self._reply(GrantReply, candidate, vote, request, True)

    def _on_grant_stored(self, candidate: Holder, vote: Vote, ballot: int) -> None:
        """Reply to the latest request for a grant, now that the grant is on disk.

        The grant period starts anew. The holder counts from before its request, so the holder's
        period always ends first.
        """
        request = vote.unstored_request
        if (vote.granted_ballot, vote.holder) != (ballot, candidate) or request is None:
            return  # released, or granted to another holder, during the disk write
        vote.unstored_request = None
        vote.granted_until = self.host.now + self.timing.grant_ticks
        self._reply(GrantReply, candidate, vote, request, True)

    def _on_release(self, candidate: Holder, vote: Vote, request: Release) -> None:
        """Free the lease if the sender holds the lease under this ballot.

        A later grant to the sender, under another ballot, stays valid. A release has no reply.
        """
        if (vote.granted_ballot, vote.holder) != (request.ballot, candidate):
            return
        # A delayed grant request that arrives after the release would grant the lease to a holder
        # that no longer uses it. Raising the promise makes the voter reject that request's ballot.
        vote.promised_ballot = max(vote.promised_ballot, request.ballot + 1)
        vote.granted_ballot = 0
        vote.granted_until = 0
        vote.unstored_request = None
        # A release is not written to disk separately: the successor's promise would wait for that
        # write, and the record of the promise includes the release. A voter that restarts before
        # that record is on disk counts the released lease as granted for the longest lease
        # duration.

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
