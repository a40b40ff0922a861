"""Finds out who has failed: probes a member a period, itself and through others.

Owns the probes under way. SWIM (Das, Gupta, Motivala, 2002), with local health and negative
acknowledgements of Lifeguard (Dadgar, Phillips, Currey, 2017). Nobody may be accused while this
member was late itself. Times are ticks of a tenth of a millisecond.
"""

from collections import Counter
from dataclasses import dataclass

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import Host, LocalMember, Member
from corkgauge.membership.message_sender import MessageSender
from corkgauge.membership.messages import ALIVE, UNKNOWN, Ack, IndirectProbe, Nack, Probe
from corkgauge.membership.status_tracker import StatusTracker

INDIRECT_PROBE_COUNT = 3  # members that are asked to probe one that does not answer
PROBE_TIMEOUT_PERIODS = 0.3  # until others are asked to probe
INDIRECT_PROBE_FRACTION = 0.8  # of what is left of the period then; the Nack arrives in it
MAX_LATENESS_PERIODS = 0.25  # of our own timer, above which our view counts for nothing


@dataclass(slots=True)
class ProbeInFlight:
    """A probe of our own, or one for a requester, under the requester's sequence number."""

    member: Member
    expires_at: int  # ticks
    requester: str = ""  # empty for one of our own
    requester_sequence_number: int = 0
    helpers: int = 0  # members that were asked to probe it
    nacks: int = 0


class FailureDetector:
    """Probes, their answers and what follows where none comes."""

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
        """Probe the next member of the round; it is to answer within the interval."""
        member = self._table.next_probe_target()
        if member is None:
            return
        if not self._codec.has_incarnation(member.name):
            self._sender.send_hello(member.name)
            return
        sequence_number = self._send_probe(
            ProbeInFlight(member, expires_at=self._host.now + interval_ticks)
        )
        timeout_ticks = int(interval_ticks * PROBE_TIMEOUT_PERIODS)
        self._host.call_later(timeout_ticks, self.on_probe_timeout, sequence_number)
        self._host.call_later(interval_ticks, self.on_probe_expired, sequence_number)

    def handle_probe(self, sender: str, probe: Probe) -> None:
        """Acknowledge a probe of ours."""
        self._sender.send(sender, Ack(probe.sequence_number))

    def handle_indirect_probe(self, requester: str, request: IndirectProbe) -> None:
        """Probe the target for the requester, if it may be written to."""
        member = self._table.members.get(request.target)
        if member is None or not self._codec.has_incarnation(request.target):
            return
        left_of_period = self._period_ticks * (1 - PROBE_TIMEOUT_PERIODS)
        interval_ticks = int(left_of_period * INDIRECT_PROBE_FRACTION)
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
        """End a probe that was answered, and pass the answer on to its requester."""
        probe = self._probes.pop(ack.sequence_number, None)
        if probe is None:
            return
        if not probe.requester:
            self._local.adjust_health(-1)
        elif probe.requester in self._table.members:
            self._sender.send(probe.requester, Ack(probe.requester_sequence_number))

    def handle_nack(self, nack: Nack) -> None:
        """Count a helper that reaches us, though the probed member does not answer it either."""
        probe = self._probes.get(nack.sequence_number)
        if probe is not None:
            probe.nacks += 1

    def on_probe_timeout(self, sequence_number: int) -> None:
        """Have others probe a member that has not answered."""
        # One bad link is not a failed member: without them it would be suspected.
        probe = self._probes.get(sequence_number)
        if probe is None:
            return
        request = IndirectProbe(sequence_number, probe.member.name)
        for helper in self._table.sample_alive_members(INDIRECT_PROBE_COUNT, excluded=probe.member):
            probe.helpers += 1
            self._sender.send(helper.name, request)

    def on_probe_expired(self, sequence_number: int) -> None:
        """End a probe without an answer: suspect the member, or tell the requester."""
        probe = self._probes.pop(sequence_number, None)
        if probe is None or probe.member.name not in self._table.members:
            return
        if probe.requester:
            if probe.requester in self._table.members:
                self._sender.send(probe.requester, Nack(probe.requester_sequence_number))
            return
        max_lateness_ticks = int(MAX_LATENESS_PERIODS * self._period_ticks)
        if self._host.now > probe.expires_at + max_lateness_ticks:
            # We stood still ourselves and have not read what came meanwhile: we would accuse
            # everyone.
            self._counts["late ourselves"] += 1
            self._local.adjust_health(1)
            return
        if probe.nacks < probe.helpers:  # helpers were silent too, so the fault may be ours
            self._local.adjust_health(1)
        if probe.member.state in (ALIVE, UNKNOWN):
            self._status.suspect(probe.member, self._local.name, "asked in vain")

    def _send_probe(self, probe: ProbeInFlight) -> int:
        self.last_sequence_number += 1
        self._probes[self.last_sequence_number] = probe
        self._sender.send(probe.member.name, Probe(self.last_sequence_number))
        return self.last_sequence_number
