"""A candidate for one lease, which acts as the lease holder after acquiring the lease.

Owns whether this instance may act under the lease, under which fencing token, and until when. Free
of I/O: the host provides clocks, random numbers and datagrams. `may_act` must never return True
after the time that a majority of voters granted, counted from before each grant request was sent. A
True result is valid only for the act that immediately follows the call.

Acquiring a lease takes three rounds. The probe round (a pre-vote) asks voters whether they would
promise, and changes no vote. The prepare round asks voters to promise a ballot above all known
ballots. The grant round asks voters for the lease, and the holder repeats the grant request several
times per lease to renew. A voter's latest grant is valid from the time the matching request was
sent, and the lease is held while the latest grants of a majority are valid. A single lost datagram
therefore does not lose the lease. A candidate that receives a vacancy notice skips the probe round.
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
    """The phase of a candidate; operators see the values."""

    WATCHING = "watching"
    PROBING = "probing"
    PREPARING = "preparing"
    REQUESTING = "asking"
    HOLDING = "holding"


class LeaseCandidate:
    """One instance's candidate for one lease.

    `is_wanted` decides whether a prepare round may begin. A prepare or grant round in progress
    continues without it and may still acquire the lease. Probe rounds run in any case, to refresh
    the holder that operators see.
    """

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
        # The held lease. Times are ticks (tenths of a millisecond) since boot.
        self.fencing_token = 0
        self.held_until = 0
        self.held_since = 0
        # The current and earlier rounds.
        self.highest_ballot = 0  # highest ballot or fencing token seen so far
        self.serial = 0
        self.ballot = 0
        self.requesting_since = 0
        self.pacing = RoundPacing()
        self.tally = Tally()
        self.grants = GrantTimes()
        self.timer = 0  # number of the active timer; earlier timers are ignored
        # For operators and for lease placement.
        self.known_holder = ""  # as reported by voters
        self.last_reason = "started"  # reason of the last change
        self._reply_handlers: dict[type[VoterReply], Callable[..., None]] = {
            ProbeReply: LeaseCandidate._on_probe_reply,
            PrepareReply: LeaseCandidate._on_prepare_reply,
            GrantReply: LeaseCandidate._on_grant_reply,
        }
        self._schedule_probe(self._rank_delay_ticks())

    # Public interface.

    def may_act(self) -> bool:
        """Return whether the lease permits an act right now; call this before every act."""
        return self.state is CandidateState.HOLDING and self.host.now < self.held_until

    def set_wanted(self, is_wanted: bool) -> None:
        """Set whether prepare rounds may begin.

        A held lease stays held, and a round in progress continues. True also restarts the timer of
        a waiting candidate with the rank delay, which ends any pause.
        """
        self.is_wanted = is_wanted
        if is_wanted and self.state is CandidateState.WATCHING:
            self._schedule_probe(self._rank_delay_ticks())

    def release(self, reason: str, pause_ticks: int = 0) -> None:
        """End the lease immediately and notify the voters and the next candidates.

        No act is permitted after this call. The next round begins after `pause_ticks`, and after at
        least one lease duration. `set_wanted(True)`, and a vacancy notice while the lease is
        wanted, end this pause early.
        """
        previous_state = self.state
        self._end_holding(reason)
        if previous_state in (CandidateState.REQUESTING, CandidateState.HOLDING):
            self._broadcast(Release, self.ballot)
            self.host.on_lease_released(self)
        self._schedule_probe(max(pause_ticks, self.timing.lease_ticks))

    def retire(self, reason: str) -> None:
        """Release the lease, and begin no further round."""
        self.set_wanted(False)
        self.release(reason)
        self.timer += 1  # the timer that is set counts as replaced

    def on_preempted(self, fencing_token: int) -> None:
        """Release the lease after a fencing guard has seen a higher fencing token.

        If all voters lost their votes and the system clock was set back, a new token may be lower
        than a token already used. Guards would refuse every act under the new token, so the next
        token must be higher than the token that the guard has seen. The next probe round begins at
        once, without the pause of a release.
        """
        self.highest_ballot = max(self.highest_ballot, fencing_token)
        if self.state is CandidateState.HOLDING and fencing_token > self.fencing_token:
            self.release("outbid", 1)
            self._schedule_probe(1)

    def reconfigure(self, configuration: VoterConfiguration, timing: LeaseTiming) -> None:
        """Apply another voter configuration or another lease duration.

        A held lease stays held for as long as it was granted. Grants under the previous
        configuration do not count towards a majority of the new configuration.
        """
        if configuration != self.configuration:
            self.grants.forget_grants()
        self.configuration = configuration
        self.timing = timing

    # Datagrams.

    def on_datagram(self, sender: str, body: Any) -> None:
        """Handle a voter's reply, or a holder's notice that the lease is vacant.

        Ignores replies under another voter configuration and replies to earlier rounds. Raises
        ProtocolError for a malformed body, and changes nothing in that case.
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
        # Replies in transit still report the released grant, and would make this candidate wait for
        # that grant to expire, so a running probe round is abandoned. Another probe round is
        # unnecessary: a voter that still grants the lease to another instance rejects the prepare
        # request and changes no vote.
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
        else:  # this probe only refreshed the holder shown to operators
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
        held_until = majority_since + self.timing.hold_ticks
        if self.state is CandidateState.HOLDING:
            self.held_until = max(self.held_until, held_until)
        else:
            self.held_until = held_until
            if self.host.now < held_until:
                self._begin_holding()

    # Rounds.

    def _rank_delay_ticks(self) -> int:
        """Return the delay that lets higher-ranked candidates try first."""
        return 1 + self.host.rank_of(self.lease) * self.timing.stagger_ticks

    def _schedule_retry_if_rejected(self) -> None:
        """Schedule a new round if this round can no longer reach a majority.

        The new round begins when enough voters may be free to form a majority, plus the rank delay
        and a random delay. If enough voters are not free yet, the count of failed rounds is reset.
        """
        if not self.tally.is_majority_impossible(self.configuration):
            return
        wait_ticks = self.tally.earliest_retry_ticks(self.configuration, self.timing.reply_ticks)
        self.state = CandidateState.WATCHING
        if wait_ticks:
            self.pacing.record_success()
        else:
            self.pacing.record_failure()
        rank_ticks = self.host.rank_of(self.lease) * self.timing.stagger_ticks
        self._schedule_probe(wait_ticks + rank_ticks + self._choose_jitter_ticks())

    def _choose_jitter_ticks(self) -> int:
        limit = self.pacing.jitter_limit_ticks(self.timing.stagger_ticks)
        return 1 + self.host.random_below(limit)

    def _schedule_probe(self, delay: int) -> None:
        self.state = CandidateState.WATCHING
        self._set_timer(delay, self._probe)

    def _set_timer(self, delay: int, method: Callable[[], None]) -> None:
        """Start a timer that replaces any earlier timer."""
        self.timer += 1
        self.host.call_later(max(int(delay), 1), self.on_timer, self.timer, method)

    def on_timer(self, timer: int, method: Callable[[], None]) -> None:
        """Run a timer's method, unless a later timer has replaced this timer."""
        if timer == self.timer:
            method()

    def _probe(self) -> None:
        self.known_holder = ""
        self._begin_round(CandidateState.PROBING, Probe, 0)

    def _begin_after_vacancy(self) -> None:
        """Begin a round after a vacancy notice."""
        if self.is_wanted:
            self._prepare()
        else:
            self._schedule_probe(self.timing.lease_ticks)

    def _prepare(self) -> None:
        # A voter rejects a ballot below its promise, which wastes a round. The system date is a
        # lower bound for the round number: if all voters have lost their votes, fencing tokens
        # still grow as long as the clocks are right.
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
        """Wait before the next round.

        `waited` is the number of reply times that a longer round timeout has already used up.
        """
        self.pacing.record_failure()
        pause_ticks = self.timing.reply_ticks * self.pacing.backoff(waited)
        self._schedule_probe(pause_ticks + self._choose_jitter_ticks())

    def _begin_requesting(self) -> None:
        self.state = CandidateState.REQUESTING
        self.requesting_since = self.host.now
        # A late reply from an earlier holding period refers to a released grant. The new
        # GrantTimes knows no earlier request, so `_on_grant_reply` ignores such a reply.
        self.grants = GrantTimes()
        self.tally.clear_acceptances()
        self._request_grant()

    def _request_grant(self) -> None:
        """Send a grant request to all voters, to acquire or renew the lease."""
        now = self.host.now
        if self.state is CandidateState.HOLDING and now >= self.held_until:
            self._expire_lease()
            return
        promise_deadline = self.requesting_since + self.timing.hold_ticks // 2
        if self.state is CandidateState.REQUESTING and now >= promise_deadline:
            # A voter that restarts without stored votes is silent for one lease duration and then
            # has lost its promises. A promise must therefore be used within one lease duration of
            # the start of the prepare round. That round took up to 3/8 of a lease (see
            # RoundPacing), so grant requests stop after half of the holding time.
            self._back_off()
            return
        # Record the send time before sending: voters count from a later time, so the holding
        # period ends before the grants.
        self.grants.record_request(self.serial + 1, self.host.now)
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
        self._schedule_probe(1 + self._choose_jitter_ticks())

    def _end_holding(self, reason: str) -> None:
        previous_state = self.state
        self.state = CandidateState.WATCHING
        if previous_state is CandidateState.HOLDING:
            self.last_reason = reason
            self.known_holder = ""
            self.host.on_lease_lost(self, reason)
        self.fencing_token = 0
        self.held_until = 0

    def _broadcast(self, request_type: type[CandidateRequest], ballot: int) -> None:
        """Send a request with the next serial to all voters."""
        self.serial += 1
        configuration = self.configuration
        request = request_type(
            self.lease, configuration.version, configuration.fingerprint, self.serial, ballot
        )
        for name in configuration.names:
            self.host.send(name, request.encode())
