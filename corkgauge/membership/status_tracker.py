"""Applies what is said of members, by others or by the own failure detector.

Owns the rule which of two updates counts, the suspicion timers and the refutation of what is said
of this member.
"""

from collections import Counter
from collections.abc import Iterable

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.gossip import GossipQueue
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import Host, LocalMember, Member
from corkgauge.membership.messages import ALIVE, GONE, SUSPECTED, UNKNOWN, MemberState, StatusUpdate
from corkgauge.membership.suspicion import EXPECTED_CONFIRMATIONS, suspicion_timeout_ticks


class StatusTracker:
    """The one place that changes a member's state; each change is gossiped and told to the host."""

    def __init__(
        self,
        host: Host,
        local: LocalMember,
        codec: DatagramCodec,
        table: MemberTable,
        gossip: GossipQueue[StatusUpdate],
        counts: Counter[str],
        period_ticks: int,
    ) -> None:
        self._host = host
        self._local = local
        self._codec = codec
        self._table = table
        self._gossip = gossip
        self._counts = counts
        self._period_ticks = period_ticks

    def apply_update(self, sender: str, update: StatusUpdate) -> None:
        """Take an update if it is newer than what is held, or confirms a suspicion."""
        if update.name == self._local.name:
            self._apply_to_local(update)
            return
        member = self._table.members.get(update.name)
        if member is None:
            return
        self._codec.learn_incarnation(update.name, update.incarnation)  # may take it up as alive
        if _is_same_suspicion(member, update):
            self._confirm_suspicion(member, update.accuser)
        elif _is_newer(update, member):
            member.incarnation = update.incarnation
            member.refutations = update.refutations
            if update.state == SUSPECTED:
                self.suspect(member, update.accuser, f"told by {sender}")
            else:
                self._set_state(member, update.state, f"told by {sender}")

    def suspect(self, member: Member, accuser: str, reason: str) -> None:
        """Suspect a member, or add an accuser; it is gone unless it refutes that in time."""
        if member.state != SUSPECTED:
            member.state_since = self._host.now
            self._set_state(member, SUSPECTED, reason, {accuser})
        else:
            member.accusers.add(accuser)
            update = StatusUpdate(
                member.name, member.state, member.incarnation, member.refutations, accuser
            )
            self._gossip.add(member.name, update)
        self._restart_suspicion_timer(member)

    def on_suspicion_timeout(self, member: Member, serial: int) -> None:
        """Hold a member gone that is suspected still, unless a later timer is under way."""
        if member.state == SUSPECTED and member.suspicion_timer_serial == serial:
            self._set_state(member, GONE, f"suspected by {len(member.accusers)}")

    def on_incarnation(self, name: str, incarnation: int) -> None:
        """Take a member for alive whose present incarnation has become known."""
        member = self._table.members[name]
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.refutations = 0
            self._set_state(member, ALIVE, "started")

    def on_superseded(self, incarnation: int) -> None:
        """Raise our incarnation above one that others know our name under.

        A clock was set back over a restart, or another process runs under our name.
        """
        self._counts["outgrown"] += 1
        self._codec.incarnation = incarnation + 1
        self._local.refutations = 0
        self._host.log(f"fellows: known under a later start, taking {incarnation + 1}")

    def _apply_to_local(self, update: StatusUpdate) -> None:
        if update.incarnation > self._codec.incarnation:
            self.on_superseded(update.incarnation)
            return
        is_ours = update.incarnation == self._codec.incarnation
        if is_ours and update.state != ALIVE and not self._local.has_left:
            self._refute(update)

    def _refute(self, update: StatusUpdate) -> None:
        """Say that we are alive; an accusation that is not refuted makes us gone for all."""
        if update.refutations >= self._local.refutations:
            self._local.refutations = update.refutations + 1
            self._counts["accused"] += 1
            self._local.adjust_health(1)
        # Gossiped again even if it is refuted already: while we were not heard, our update died
        # out, and whoever still accuses us never had it.
        self._gossip.add(self._local.name, self._local.status_update(self._codec.incarnation))

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        is_new = accuser and accuser not in member.accusers
        if is_new and len(member.accusers) <= EXPECTED_CONFIRMATIONS:
            self.suspect(member, accuser, "confirmed")

    def _restart_suspicion_timer(self, member: Member) -> None:
        """Start the timer anew: each accuser shortens what is left."""
        member.suspicion_timer_serial += 1
        timeout = suspicion_timeout_ticks(
            len(member.accusers) - 1, len(self._table.members) + 1, self._period_ticks
        )
        remaining = member.state_since + timeout - self._host.now
        self._host.call_later(
            max(remaining, 1), self.on_suspicion_timeout, member, member.suspicion_timer_serial
        )

    def _set_state(
        self, member: Member, state: MemberState, reason: str, accusers: Iterable[str] = ()
    ) -> None:
        before = member.state
        member.state = state
        member.state_since = self._host.now
        member.reason = reason
        member.accusers = {*accusers}
        if before == UNKNOWN:
            self._table.unknown_count -= 1
        self._gossip.add(member.name, member.status_update())
        if before != state:
            self._counts[f"became {state.label}"] += 1
            self._host.on_member_changed(member, before)


def _is_same_suspicion(member: Member, update: StatusUpdate) -> bool:
    return (
        update.state == member.state == SUSPECTED
        and update.incarnation == member.incarnation
        and update.refutations == member.refutations
    )


def _is_newer(update: StatusUpdate, member: Member) -> bool:
    """Return whether the update is newer, by incarnation, refutations, then state.

    The rule is that of SWIM, section 4.2. GONE and LEFT are equal: whichever was heard first stays.
    """
    said = (update.incarnation, update.refutations, min(update.state, GONE))
    if member.state == UNKNOWN:
        return said > (0, 0, ALIVE)
    held = (member.incarnation, member.refutations, min(member.state, GONE))
    return said > held
