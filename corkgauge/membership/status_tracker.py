"""Applies status updates from other members and from the local failure detector.

Owns the precedence of updates, the suspicion timers and the refutation of updates that report the
local member as not alive.
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
    """Changes the states of members; gossips each change and reports it to the host."""

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
        """Apply an update that is newer than the member's record, or confirms a suspicion."""
        if update.name == self._local.name:
            self._apply_to_local(update)
            return
        member = self._table.members.get(update.name)
        if member is None:
            return
        # A new incarnation changes the member's state to ALIVE, by way of `on_incarnation`.
        self._codec.learn_incarnation(update.name, update.incarnation)
        if _is_same_suspicion(member, update):
            self._confirm_suspicion(member, update.accuser)
        elif _is_newer(update, member):
            member.incarnation = update.incarnation
            member.refutations = update.refutations
            if update.state == SUSPECTED:
                self.suspect(member, update.accuser, f"reported by {sender}")
            else:
                self._set_state(member, update.state, f"reported by {sender}")

    def suspect(self, member: Member, accuser: str, reason: str) -> None:
        """Suspect a member, or add an accuser, and restart the suspicion timer.

        The member is marked as gone unless the suspicion is refuted before the timer expires.
        """
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
        """Mark a member as gone if it is still suspected and no later timer was started."""
        if member.state == SUSPECTED and member.suspicion_timer_serial == serial:
            self._set_state(
                member, GONE, f"suspicion not refuted, accusers: {len(member.accusers)}"
            )

    def on_incarnation(self, name: str, incarnation: int) -> None:
        """Mark a member as alive when a later incarnation of it becomes known."""
        member = self._table.members[name]
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.refutations = 0
            self._set_state(member, ALIVE, "started")

    def on_superseded(self, incarnation: int) -> None:
        """Raise the local incarnation above the one that other members know.

        The cause is a clock that was set back across a restart, or another process that runs under
        the local name.
        """
        self._counts["outgrown"] += 1
        self._codec.incarnation = incarnation + 1
        self._local.refutations = 0
        self._host.log(f"fellows: known under a later start, taking {incarnation + 1}")

    def _apply_to_local(self, update: StatusUpdate) -> None:
        if update.incarnation > self._codec.incarnation:
            self.on_superseded(update.incarnation)
            return
        is_current_incarnation = update.incarnation == self._codec.incarnation
        if is_current_incarnation and update.state != ALIVE and not self._local.has_left:
            self._refute(update)

    def _refute(self, update: StatusUpdate) -> None:
        """Gossip that the local member is alive; without this, all members mark it as gone."""
        if update.refutations >= self._local.refutations:
            self._local.refutations = update.refutations + 1
            self._counts["accused"] += 1
            self._local.adjust_health(1)
        # The refutation is gossiped again even if this suspicion was refuted before: an earlier
        # refutation may have used up its transmissions while the local member's datagrams were
        # lost, so that the accuser never received it.
        self._gossip.add(self._local.name, self._local.status_update(self._codec.incarnation))

    def _confirm_suspicion(self, member: Member, accuser: str) -> None:
        is_new = accuser and accuser not in member.accusers
        if is_new and len(member.accusers) <= EXPECTED_CONFIRMATIONS:
            self.suspect(member, accuser, "confirmed")

    def _restart_suspicion_timer(self, member: Member) -> None:
        """Restart the suspicion timer; each further accuser shortens the remaining time."""
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
        previous_state = member.state
        member.state = state
        member.state_since = self._host.now
        member.reason = reason
        member.accusers = {*accusers}
        if previous_state == UNKNOWN:
            self._table.unknown_count -= 1
        self._gossip.add(member.name, member.status_update())
        if previous_state != state:
            self._counts[f"became {state.label}"] += 1
            self._host.on_member_changed(member, previous_state)


def _is_same_suspicion(member: Member, update: StatusUpdate) -> bool:
    return (
        update.state == member.state == SUSPECTED
        and update.incarnation == member.incarnation
        and update.refutations == member.refutations
    )


def _is_newer(update: StatusUpdate, member: Member) -> bool:
    """Return whether the update is newer, by incarnation, then refutations, then state.

    The rule is that of SWIM, section 4.2. GONE and LEFT have equal precedence: the state that was
    received first stays. Any update is newer than UNKNOWN.
    """
    update_order = (update.incarnation, update.refutations, min(update.state, GONE))
    if member.state == UNKNOWN:
        return update_order > (0, 0, ALIVE)
    member_order = (member.incarnation, member.refutations, min(member.state, GONE))
    return update_order > member_order
