"""Detects failed members by direct and indirect probes, one probed member per period.

Owns the probes in flight. Implements SWIM (Das, Gupta, Motivala, 2002) with the local health and
the negative acknowledgements of Lifeguard (Dadgar, Phillips, Currey, 2017). A missing answer is
ignored if the local timer was late, so that a stalled local member suspects nobody. Times are ticks
of a tenth of a millisecond.
"""

from collections import Counter
from dataclasses import dataclass

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import Host, LocalMember, Member
from corkgauge.membership.message_sender import MessageSender
from corkgauge.membership.messages import ALIVE, UNKNOWN, Ack, IndirectProbe, Nack, Probe
from corkgauge.membership.status_tracker import StatusTracker

INDIRECT_PROBE_COUNT = 3  # members that are requested to probe an unresponsive member
# Time without an Ack before indirect probes are requested, as a fraction of the probe interval. The
# interval is the period scaled by the local health; a helper assumes an unscaled period.
PROBE_TIMEOUT_FRACTION = 0.3
# Timeout of an indirect probe, as a fraction of the rest of the period after
# PROBE_TIMEOUT_FRACTION. The unused part lets the Nack reach the requester before the requester's
# probe expires.
INDIRECT_PROBE_FRACTION = 0.8
# Lateness of the local timer, in unscaled periods, above which a missing answer is ignored.
MAX_LATENESS_PERIODS = 0.25


@dataclass(slots=True)
class ProbeInFlight:
    """A probe for the local member, or an indirect probe for a requester."""

    member: Member
    expires_at: int  # ticks
    requester: str = ""  # empty for a probe of the local member
    requester_sequence_number: int = 0
    helpers: int = 0  # members that an IndirectProbe was sent to
    nacks: int = 0  # Nacks received from helpers


class FailureDetector:
    """Sends probes, handles their answers and suspects members that do not answer."""

    def __init__(
        self,
        host: Host,
        local: LocalMember,
        codec: DatagramCodec,
        table: MemberTable,
        sender: MessageSender,
        status: StatusTracker,
        counts: Counter[str],
        period_ticks: int,
    ) -> None:
        self.last_sequence_number = 0
        self._probes: dict[int, ProbeInFlight] = {}  # by sequence number
        self._host = host
        self._local = local
        self._codec = codec
        self._table = table
        self._sender = sender
        self._status = status
        self._counts = counts
        self._period_ticks = period_ticks

    def probe_next_member(self, interval_ticks: int) -> None:
        """Probe the next member of the round.

        The member is suspected unless an Ack arrives within the interval, directly or through a
        helper. A member whose incarnation is unknown gets a HELLO instead.
        """
        member = self._table.next_probe_target()
        if member is None:
            return
        if not self._codec.has_incarnation(member.name):
            self._sender.send_hello(member.name)
            return
        sequence_number = self._send_probe(
            ProbeInFlight(member, expires_at=self._host.now + interval_ticks)
        )
        timeout_ticks = int(interval_ticks * PROBE_TIMEOUT_FRACTION)
        self._host.call_later(timeout_ticks, self.on_probe_timeout, sequence_number)
        self._host.call_later(interval_ticks, self.on_probe_expired, sequence_number)

    def handle_probe(self, sender: str, probe: Probe) -> None:
        """Answer a probe of the local member with an Ack."""
        self._sender.send(sender, Ack(probe.sequence_number))

    def handle_indirect_probe(self, requester: str, request: IndirectProbe) -> None:
        """Probe the target for the requester, if the target's incarnation is known."""
        member = self._table.members.get(request.target)
        if member is None or not self._codec.has_incarnation(request.target):
            return
        remaining_period_ticks = self._period_ticks * (1 - PROBE_TIMEOUT_FRACTION)
        interval_ticks = int(remaining_period_ticks * INDIRECT_PROBE_FRACTION)
        sequence_number = self._send_probe(
            ProbeInFlight(
                member,
                expires_at=self._host.now + interval_ticks,
                requester=requester,
                requester_sequence_number=request.sequence_number,
            )
        )
        self._host.call_later(interval_ticks, self.on_probe_expired, sequence_number)

    def handle_ack(self, ack: Ack) -> None:
        """Complete a probe, and forward the Ack of an indirect probe to its requester."""
        probe = self._probes.pop(ack.sequence_number, None)
        if probe is None:
            return
        if not probe.requester:
            self._local.adjust_health(-1)
        elif probe.requester in self._table.members:
            self._sender.send(probe.requester, Ack(probe.requester_sequence_number))

    def handle_nack(self, nack: Nack) -> None:
        """Count a helper that answered, although the probed member did not answer the helper."""
        probe = self._probes.get(nack.sequence_number)
        if probe is not None:
            probe.nacks += 1

    def on_probe_timeout(self, sequence_number: int) -> None:
        """Request indirect probes of a member that has not answered."""
        # Without indirect probes, the local member would suspect a healthy member because of a
        # single bad link between the two.
        probe = self._probes.get(sequence_number)
        if probe is None:
            return
        request = IndirectProbe(sequence_number, probe.member.name)
        for helper in self._table.sample_alive_members(INDIRECT_PROBE_COUNT, excluded=probe.member):
            probe.helpers += 1
            self._sender.send(helper.name, request)

    def on_probe_expired(self, sequence_number: int) -> None:
        """End an unanswered probe: suspect the member, or send a Nack to the requester."""
        probe = self._probes.pop(sequence_number, None)
        if probe is None or probe.member.name not in self._table.members:
            return
        if probe.requester:
            if probe.requester in self._table.members:
                self._sender.send(probe.requester, Nack(probe.requester_sequence_number))
            return
        max_lateness_ticks = int(MAX_LATENESS_PERIODS * self._period_ticks)
        if self._host.now > probe.expires_at + max_lateness_ticks:
            # The local process stalled, and Acks that arrived meanwhile may be unread. Without this
            # check, a stalled process would suspect every member that it has probed.
            self._counts["late ourselves"] += 1
            self._local.adjust_health(1)
            return
        # A helper sent neither Ack nor Nack, so the fault may be on the local side.
        if probe.nacks < probe.helpers:
            self._local.adjust_health(1)
        if probe.member.state in (ALIVE, UNKNOWN):
            self._status.suspect(probe.member, self._local.name, "no answer to a probe")

    def _send_probe(self, probe: ProbeInFlight) -> int:
        self.last_sequence_number += 1
        self._probes[self.last_sequence_number] = probe
        self._sender.send(probe.member.name, Probe(self.last_sequence_number))
        return self.last_sequence_number
