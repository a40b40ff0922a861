"""A candidate for one lease, and its holder once it has it.

Owns whether this instance may act under the lease, under which fencing token and until when. Free
of I/O: clocks, chance and datagrams are its host's. Must never say yes to `may_act` past the time
that a majority granted, counted from before each grant was requested; the answer is valid for the
very next act alone.

Three rounds to a lease: probe (would you? changes nothing: the pre-vote), prepare (a ballot above
all others), grant request; then requests again, several times a lease. Each voter's last grant
counts from when that request was written, and the lease is held while a majority's last grants all
run: one lost datagram costs nothing. A candidate that is notified that the lease was just given
back begins with prepare.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

from corkgauge.leases import messages
from corkgauge.leases.grant_times import GrantTimes
from corkgauge.leases.interfaces import CandidateHost
from corkgauge.leases.messages import (
    CandidateRequest,
    Envelope,
    GrantReply,
    GrantRequest,
    MessageKind,
    Prepare,
    PrepareReply,
    Probe,
    ProbeReply,
    Release,
    VoterReply,
)
from corkgauge.leases.round_pacing import RoundPacing
from corkgauge.leases.tally import Tally
from corkgauge.leases.voter_configuration import (
    LeaseTiming,
    VoterConfiguration,
    get_ballot_round,
    make_ballot,
)


class CandidateState(Enum):
    """Where a candidate is on its way; the values are what operators are shown."""

    WATCHING = "watching"
    PROBING = "probing"
    PREPARING = "preparing"
    REQUESTING = "asking"
    HOLDING = "holding"


class LeaseCandidate:
    """One instance's way to one lease. `is_wanted` says whether it stands for it."""

    def __init__(
        self,
        host: CandidateHost,
        lease: str,
        name: str,
        configuration: VoterConfiguration,
        timing: LeaseTiming,
        is_wanted: bool = True,
    ) -> None:
        self.host = host
        self.lease = lease
        self.name = name
        self.configuration = configuration
        self.timing = timing
        self.state = CandidateState.WATCHING
        self.is_wanted = is_wanted
        # Of what is held; times are tenths of a millisecond since boot.
        self.fencing_token = 0
        self.held_until = 0
        self.held_since = 0
        # Of the round that runs, and those before it.
        self.highest_ballot = 0  # that was seen, as a ballot or a fencing token
        self.serial = 0
        self.ballot = 0
        self.requesting_since = 0
        self.pacing = RoundPacing()
        self.tally = Tally()
        self.grants = GrantTimes()
        self.timer = 0  # the number of the one timer that counts
        # For operators, and for placement.
        self.known_holder = ""  # as voters report
        self.last_reason = "started"  # of the last change
        self._reply_handlers: dict[type[VoterReply], Callable[..., None]] = {
            ProbeReply: LeaseCandidate._on_probe_reply,
            PrepareReply: LeaseCandidate._on_prepare_reply,
            GrantReply: LeaseCandidate._on_grant_reply,
        }
        self._schedule_probe(self._rank_delay_ticks())

    # What others ask.

    def may_act(self) -> bool:
        """Return whether the act that follows at once may be done: ask before each."""
        return self.state is CandidateState.HOLDING and self.host.now < self.held_until

    def set_wanted(self, is_wanted: bool) -> None:
        """Stand for the lease from now on, or no more. What is held stays held."""
        self.is_wanted = is_wanted
        if is_wanted and self.state is CandidateState.WATCHING:
            self._schedule_probe(self._rank_delay_ticks())

    def release(self, reason: str, pause_ticks: int = 0) -> None:
        """End it now: nothing is done under it any more, and voters and the next candidates know.

        For `pause_ticks`, and at least a lease, this instance does not stand for it.
        """
        previous = self.state
        self._end_holding(reason)
        if previous in (CandidateState.REQUESTING, CandidateState.HOLDING):
            self._broadcast(Release, self.ballot)
            self.host.on_lease_released(self)
        self._schedule_probe(max(pause_ticks, self.timing.lease_ticks))

    def on_preempted(self, fencing_token: int) -> None:
        """Give way to a higher fencing token, which whoever guards an act has seen.

        After all voters forgot, clocks set back may give a token below one that was used: every
        act under it would be refused, so the next token must be above the one seen.
        """
        self.highest_ballot = max(self.highest_ballot, fencing_token)
        if self.state is CandidateState.HOLDING and fencing_token > self.fencing_token:
            self.release("outbid", 1)
            self._schedule_probe(1)

    def reconfigure(self, configuration: VoterConfiguration, timing: LeaseTiming) -> None:
        """Take another voter configuration, or another lease.

        What is held stays held as long as it was granted for; what was granted under another
        configuration does not count towards this one.
        """
        if configuration != self.configuration:
            self.grants.forget_grants()
        self.configuration = configuration
        self.timing = timing

    # Datagrams.

    def on_datagram(self, sender: str, body: Any) -> None:
        """Apply one voter's reply, or a holder's notice that the lease is vacant.

        Replies under another voter configuration or of an earlier round are ignored. A malformed
        body raises ProtocolError, and changes nothing.
        """
        envelope = messages.decode_reply_envelope(body)
        if envelope.kind == MessageKind.VACANT:
            self._on_lease_vacant()
            return
        if not self._is_from_voter(sender, envelope):
            return
        reply = messages.decode_reply(body)
        self.highest_ballot = max(self.highest_ballot, reply.promised_ballot)
        handler = self._reply_handlers[type(reply)]
        handler(self, sender, reply)

    def _is_from_voter(self, sender: str, envelope: Envelope) -> bool:
        configuration = self.configuration
        expected = configuration.version, configuration.fingerprint
        is_current = (envelope.version, envelope.fingerprint) == expected
        return sender in configuration.names and is_current

    def _on_lease_vacant(self) -> None:
        # Replies on their way report the grant that was just given back, and would make us wait
        # for its end: a round that only probes is over. Nor is another probe needed first: a voter
        # that still grants the lease to somebody refuses a ballot, and changes nothing.
        if self.is_wanted and self.state in (CandidateState.WATCHING, CandidateState.PROBING):
            self.state = CandidateState.WATCHING
            self.known_holder = ""
            self._set_timer(self._rank_delay_ticks(), self._begin_after_vacancy)

    def _on_probe_reply(self, sender: str, reply: ProbeReply) -> None:
        if self.state is not CandidateState.PROBING or reply.serial != self.serial:
            return
        self._count_reply(sender, reply)
        if not self.tally.has_majority(self.configuration):
            self._schedule_retry_if_rejected()
        elif self.is_wanted:
            self._prepare()
        else:  # it was probed for what operators are shown alone
            self._schedule_probe(self.timing.lease_ticks)

    def _on_prepare_reply(self, sender: str, reply: PrepareReply) -> None:
        if self.state is not CandidateState.PREPARING or reply.serial != self.serial:
            return
        self._count_reply(sender, reply)
        if self.tally.has_majority(self.configuration):
            self._begin_requesting()
        else:
            self._schedule_retry_if_rejected()

    def _on_grant_reply(self, sender: str, reply: GrantReply) -> None:
        is_expected = self.state in (CandidateState.REQUESTING, CandidateState.HOLDING)
        if not is_expected or not self.grants.is_request_known(reply.serial):
            return
        if reply.is_accepted:
            self._count_grant(sender, reply.serial)
        elif self.state is CandidateState.REQUESTING:
            self.tally.record(sender, is_accepted=False)
            if self.tally.is_majority_impossible(self.configuration):
                self.state = CandidateState.WATCHING
                self._back_off()

    def _count_reply(self, sender: str, reply: VoterReply) -> None:
        blocked_ticks = min(reply.blocked_ticks, self.timing.grant_ticks)
        self.tally.record(sender, reply.is_accepted, blocked_ticks)
        self.known_holder = reply.holder or self.known_holder

    def _count_grant(self, sender: str, serial: int) -> None:
        self.grants.record_grant(sender, serial)
        majority_since = self.grants.majority_since(self.configuration.majority)
        if majority_since is None:
            return
        until = majority_since + self.timing.hold_ticks
        if self.state is CandidateState.HOLDING:
            self.held_until = max(self.held_until, until)
        else:
            self.held_until = until
            if self.host.now < until:
                self._begin_holding()

    # Rounds.

    def _rank_delay_ticks(self) -> int:
        """Return how long those that rank before us have, to try first."""
        return 1 + self.host.rank_of(self.lease) * self.timing.stagger_ticks

    def _schedule_retry_if_rejected(self) -> None:
        """If refused, try when so many are free that they may be a majority, in our turn."""
        if not self.tally.is_majority_impossible(self.configuration):
            return
        wait_ticks = self.tally.earliest_retry_ticks(self.configuration, self.timing.reply_ticks)
        self.state = CandidateState.WATCHING
        if wait_ticks:
            self.pacing.record_success()
        else:
            self.pacing.record_failure()
        rank_ticks = self.host.rank_of(self.lease) * self.timing.stagger_ticks
        self._schedule_probe(wait_ticks + rank_ticks + self._jitter_ticks())

    def _jitter_ticks(self) -> int:
        limit = self.pacing.jitter_limit_ticks(self.timing.stagger_ticks)
        return 1 + self.host.random_below(limit)

    def _schedule_probe(self, delay: int) -> None:
        self.state = CandidateState.WATCHING
        self._set_timer(delay, self._probe)

    def _set_timer(self, delay: int, method: Callable[[], None]) -> None:
        """Start the one timer that counts; those set before are void."""
        self.timer += 1
        self.host.call_later(max(int(delay), 1), self.on_timer, self.timer, method)

    def on_timer(self, timer: int, method: Callable[[], None]) -> None:
        """Call what a timer was set for, unless another was set since."""
        if timer == self.timer:
            method()

    def _probe(self) -> None:
        self.known_holder = ""
        self._begin_round(CandidateState.PROBING, Probe, 0)

    def _begin_after_vacancy(self) -> None:
        """Begin a round for a lease that was given back a moment ago."""
        if self.is_wanted:
            self._prepare()
        else:
            self._schedule_probe(self.timing.lease_ticks)

    def _prepare(self) -> None:
        # A ballot below one that a voter has promised is lost time. The date is a floor: all may
        # have forgotten, and where clocks are right it keeps fencing tokens growing.
        next_round = max(get_ballot_round(self.highest_ballot) + 1, self.host.date)
        self.ballot = make_ballot(next_round, self.name)
        self._begin_round(CandidateState.PREPARING, Prepare, self.ballot)

    def _begin_round(
        self, state: CandidateState, request_type: type[CandidateRequest], ballot: int
    ) -> None:
        self.state = state
        self.tally = Tally()
        self._broadcast(request_type, ballot)
        reply_ticks = self.timing.reply_ticks * self.pacing.timeout_multiplier
        self._set_timer(reply_ticks, self._on_round_unanswered)

    def _on_round_unanswered(self) -> None:
        self._back_off(waited=self.pacing.timeout_multiplier - 1)

    def _back_off(self, waited: int = 0) -> None:
        """Wait for the next round; `waited`: reply times already spent."""
        self.pacing.record_failure()
        pause_ticks = self.timing.reply_ticks * self.pacing.backoff(waited)
        self._schedule_probe(pause_ticks + self._jitter_ticks())

    def _begin_requesting(self) -> None:
        self.state = CandidateState.REQUESTING
        self.requesting_since = self.host.now
        # A late reply to a request of an earlier time as holder speaks of a grant that was given
        # back: it finds no request that it answers.
        self.grants = GrantTimes()
        self.tally.clear_acceptances()
        self._request_grant()

    def _request_grant(self) -> None:
        """Ask for the grant, or for more of it."""
        now = self.host.now
        if self.state is CandidateState.HOLDING and now >= self.held_until:
            self._expire_lease()
            return
        promises_end = self.requesting_since + self.timing.hold_ticks // 2
        if self.state is CandidateState.REQUESTING and now >= promises_end:
            # Voters remember promises for a lease after their start; older ones prove nothing.
            self._back_off()
            return
        self.grants.record_request(self.serial + 1, self.host.now)  # before it is written
        self._broadcast(GrantRequest, self.ballot)
        self.grants.forget_oldest_requests()
        if self.state is CandidateState.HOLDING:
            self._schedule_renewal()
        else:
            self._set_timer(self.timing.renewal_ticks // 2, self._request_grant)

    def _schedule_renewal(self) -> None:
        time_left = self.held_until - self.host.now
        self._set_timer(min(self.timing.renewal_ticks, time_left), self._request_grant)

    def _begin_holding(self) -> None:
        self.state = CandidateState.HOLDING
        self.fencing_token = self.ballot
        self.held_since = self.host.now
        self.pacing.record_success()
        self.highest_ballot = max(self.highest_ballot, self.ballot)
        self.known_holder = self.name
        self.last_reason = "granted"
        self._schedule_renewal()
        self.host.on_lease_gained(self)

    def _expire_lease(self) -> None:
        self._end_holding("lapsed")
        self._schedule_probe(1 + self._jitter_ticks())

    def _end_holding(self, reason: str) -> None:
        previous = self.state
        self.state = CandidateState.WATCHING
        if previous is CandidateState.HOLDING:
            self.last_reason = reason
            self.known_holder = ""
            self.host.on_lease_lost(self, reason)
        self.fencing_token = 0
        self.held_until = 0

    def _broadcast(self, request_type: type[CandidateRequest], ballot: int) -> None:
        """Send a request to all voters, under the next serial."""
        self.serial += 1
        configuration = self.configuration
        request = request_type(
            self.lease, configuration.version, configuration.fingerprint, self.serial, ballot
        )
        for name in configuration.names:
            self.host.send(name, request.encode())
