"""The exporting process: which collector gets the records, when one is down, what is sent first.

Holds the collectors' states, what is in flight to each, and the totals of export. Free of I/O; the
clock is handed in as ticks, tenths of a millisecond. It acts through `CollectorTransports`.

Data is never sent before templates in a session, no more is held than the bound, and no octet goes
uncounted: measured = exported + held (pending or in flight) + dropped.

A collector goes down -> opening -> trial -> up. In the trial the templates are out and nothing is
known against it yet: a UDP collector that is not there shows it by ICMP only once something was
sent. A message in flight is confirmed when a stream has written it, or a while after a datagram
went. What comes back unwritten is pending again; where nobody can know, it is reported:
`uncertain_octets` count as exported and may be lost (a stream broke with bytes in the system's
hands), `repeated_octets` are sent again and may have arrived (a datagram was refused).
"""

from corkgauge.flow_export.backoff import JitteredBackoff
from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.collector_peer import (
    CollectorPeer,
    CollectorState,
    CollectorTransports,
    InFlightMessage,
    WrittenMessage,
    should_connect,
)
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.export_totals import ExportTotals
from corkgauge.flow_export.pending_records import PendingRecords
from corkgauge.flow_export.session import Session

TICKS_PER_SECOND = 10_000
TICKS_PER_MS = 10
TRIAL_TICKS = 2_000  # between templates and first data
DATAGRAM_CONFIRM_TICKS = 1_000  # that a datagram is in flight: ICMP would have come within it
OPEN_TIMEOUT_TICKS = 3 * TICKS_PER_SECOND  # for a stream and its TLS to come up
FAILURE_RESET_TICKS = 30 * TICKS_PER_SECOND  # up for so long, and its failures are forgotten
STATISTICS_PERIOD_TICKS = 30 * TICKS_PER_SECOND
MAX_MESSAGES_PER_CHECK = 6  # a queue of minutes would hold up the loop
MAX_MESSAGES_AT_SHUTDOWN = 500  # of the last tick


class ExportBuffer:
    """Exports one queue of deltas to the first of its collectors that is up.

    `peers` are the collectors, the preferred one first; `pending` is the queue; `seed` is of the
    backoffs' jitter; `domain` the observation domain; the exporter's uptime begins `now`.
    """

    def __init__(
        self,
        transports: CollectorTransports,
        layout: Layout,
        domain: int,
        peers: list[CollectorPeer],
        pending: PendingRecords,
        seed: int,
        now: int,
    ) -> None:
        self.transports = transports
        self.layout = layout
        self.domain = domain
        self.peers = peers
        self.pending = pending
        self.backoff = JitteredBackoff(seed)
        self.started_at = now
        self.active: CollectorPeer | None = None
        self.totals = ExportTotals()
        self.statistics_sent_at = now

    # Events.

    def add(self, delta: Delta) -> None:
        """Queue a record."""
        self.pending.add(delta)

    def on_opened(self, peer: CollectorPeer, now: int) -> None:
        """Begin a session on a connection that is up: templates first."""
        peer.state = CollectorState.TRIAL
        peer.state_since = now
        peer.last_progress_at = now
        peer.sent_bytes = 0
        peer.written_bytes = 0
        started_ms = self.started_at // TICKS_PER_MS
        peer.session = Session(self.layout, self.domain, peer.max_message_bytes, started_ms)
        self._send_templates(peer, now)

    def on_lost(
        self, peer: CollectorPeer, reason: str, now: int, unacknowledged_bytes: int = 0
    ) -> None:
        """Take back what is in flight to a collector that is gone or refuses; try it again later.

        `unacknowledged_bytes` of a stream the system had taken and nobody has acknowledged.
        """
        if peer.state is CollectorState.DOWN:
            return
        if peer.state is CollectorState.UP:
            self.transports.log(f"collector {peer.name} lost: {reason}")
        elif not peer.failure_count:
            self.transports.log(f"collector {peer.name} not reached: {reason}")
        self._confirm_delivered(peer, now)
        self._requeue_lost(peer, unacknowledged_bytes)
        if peer.state is CollectorState.UP and now > peer.state_since + FAILURE_RESET_TICKS:
            peer.failure_count = 0
        peer.failure_count += 1
        peer.state = CollectorState.DOWN
        peer.state_since = now
        peer.session = None
        peer.down_reason = reason
        peer.retry_at = now + self.backoff.next_ticks(peer.failure_count)
        if self.active is peer:
            self.active = None
        self.transports.close(peer)

    def on_written(self, peer: CollectorPeer, written_bytes: int, now: int) -> None:
        """Confirm messages: so many bytes of the stream are in the system's hands."""
        if written_bytes > peer.written_bytes:
            peer.written_bytes = written_bytes
            peer.last_progress_at = now
            self._confirm_delivered(peer, now)

    def on_timer(self, now: int) -> None:
        """Open what should be open, confirm, export what is pending; several times a second."""
        for peer in self.peers:
            self._update_peer(peer, now)
        self._select_active(now)
        if self.active is not None:
            self._export(self.active, now, MAX_MESSAGES_PER_CHECK)

    def flush(self, now: int) -> None:
        """Send as much as goes at once, as the program ends; `disconnect_all` follows."""
        if self.active is not None:
            self._export(self.active, now, MAX_MESSAGES_AT_SHUTDOWN)

    def reconfigure(self, peers: list[CollectorPeer], layout: Layout, now: int) -> None:
        """Go on with other collectors or another layout; what is pending stays so."""
        if self.active is not None and not self.active.is_datagram:
            # Templates of a stream are withdrawn before others may take their ids (RFC 7011, 8.1).
            session = self.active.current_session()
            self.transports.send(self.active, session.make_withdrawal_message(now // TICKS_PER_MS))
        self.disconnect_all(now)
        self.peers = peers
        self.layout = layout

    def disconnect_all(self, now: int) -> None:
        """Leave all collectors; what is not on its way is pending again."""
        for peer in self.peers:
            self._stop_export_to(peer, now)
            if peer.state is not CollectorState.DOWN:
                peer.state = CollectorState.DOWN
                self.transports.close(peer)
        self.active = None

    # What becomes of messages in flight.

    def _requeue_lost(self, peer: CollectorPeer, unacknowledged_bytes: int) -> None:
        for message in peer.in_flight:
            if peer.is_datagram:
                # Perhaps only the last one was refused. A loss would show nowhere; a repeat is
                # counted.
                self.totals.repeated_octets += message.octets
            self.pending.requeue(message.deltas)
        # What the system had taken may have gone with the connection, or have arrived: sent again
        # it could count twice, so it stays exported and is reported as uncertain.
        acknowledged_bytes = peer.written_bytes - unacknowledged_bytes
        self.totals.uncertain_octets += sum(
            message.octets
            for message in peer.written_messages
            if message.end_offset > acknowledged_bytes
        )
        peer.written_messages.clear()
        peer.clear_in_flight()

    def _stop_export_to(self, peer: CollectorPeer, now: int) -> None:
        """Send nothing more to it: what is on its way is exported, what is not goes elsewhere."""
        confirm_time = now
        if peer.is_datagram:
            confirm_time += DATAGRAM_CONFIRM_TICKS
        self._confirm_delivered(peer, confirm_time)
        # A stream's ring still has a while to leave, so these may arrive though they are sent
        # again.
        self.totals.repeated_octets += peer.in_flight_octets
        self.pending.requeue([delta for message in peer.in_flight for delta in message.deltas])
        peer.clear_in_flight()

    def _confirm_delivered(self, peer: CollectorPeer, now: int) -> None:
        """Count as exported what has arrived, as far as that can be known."""
        while peer.in_flight:
            message = peer.in_flight[0]
            if peer.is_datagram:
                is_delivered = now >= message.sent_at + DATAGRAM_CONFIRM_TICKS
            else:
                is_delivered = message.end_offset <= peer.written_bytes
            if not is_delivered:
                return
            peer.in_flight.popleft()
            octets = message.octets
            peer.in_flight_octets -= octets
            self.totals.exported_octets += octets
            self.totals.exported_records += len(message.deltas)
            if not peer.is_datagram:
                peer.written_messages.append(WrittenMessage(message.end_offset, octets))

    # Which collector.

    def _update_peer(self, peer: CollectorPeer, now: int) -> None:
        if peer.is_retry_due(now) and should_connect(peer, self.peers):
            peer.state = CollectorState.OPENING
            peer.state_since = now
            self.transports.open(peer)
        elif peer.state is CollectorState.OPENING and now > peer.state_since + OPEN_TIMEOUT_TICKS:
            self.on_lost(peer, "no connection in time", now)
        elif peer.state is CollectorState.TRIAL and now >= peer.state_since + TRIAL_TICKS:
            peer.state = CollectorState.UP
            peer.state_since = now
            self.transports.log(f"collector {peer.name} up")
        elif peer.is_stalled(now):
            self.on_lost(peer, "it takes nothing", now)
        if peer.has_session:
            self._confirm_delivered(peer, now)

    def _select_active(self, now: int) -> None:
        """Export to the first that is up.

        One that flaps would get half of each outage; that its backoff grows bounds this.
        """
        first = next((peer for peer in self.peers if peer.state is CollectorState.UP), None)
        if first is self.active:
            return
        # The active one is among the peers: if it is up, so is one before it.
        if first and self.active and self.active.state is CollectorState.UP:
            self.transports.log(f"collector {first.name} takes over from {self.active.name}")
            self._stop_export_to(self.active, now)
            self.active.state = CollectorState.DOWN
            self.transports.close(self.active)
        self.active = first

    # What is sent.

    def _export(self, peer: CollectorPeer, now: int, max_messages: int) -> None:
        session = peer.current_session()
        now_ms = now // TICKS_PER_MS
        if peer.is_refresh_due(now):
            self._send_templates(peer, now)
        elif now >= self.statistics_sent_at + STATISTICS_PERIOD_TICKS:
            self.statistics_sent_at = now
            self._send(peer, session.make_statistics_message(now_ms, self.statistics()), [], now)
        for _ in range(max_messages):
            if not len(self.pending):
                return
            message = session.make_data_message(now_ms, self.pending.pop_next)
            if message.rejected_delta is not None:
                self.pending.requeue([message.rejected_delta])
            if not self._send(peer, message.data, message.deltas, now):
                return

    def _send_templates(self, peer: CollectorPeer, now: int) -> None:
        self.statistics_sent_at = now
        session = peer.current_session()
        for data in session.make_template_messages(now // TICKS_PER_MS, self.statistics()):
            self._send(peer, data, [], now)

    def _send(self, peer: CollectorPeer, data: bytes, deltas: list[Delta], now: int) -> bool:
        """Send a message; False, with its records pending again, where there is no room.

        A transport takes the whole of a message or nothing of it.
        """
        if not self.transports.send(peer, data):
            self.pending.requeue(deltas)
            peer.current_session().revert_sequence()
            return False
        if peer.sent_bytes == peer.written_bytes:
            peer.last_progress_at = now  # it had nothing to take until now
        peer.sent_bytes += len(data)
        message = InFlightMessage(now, peer.sent_bytes, deltas)
        peer.in_flight_octets += message.octets
        peer.in_flight.append(message)
        self.totals.sent_messages += 1
        self.totals.sent_bytes += len(data)
        return True

    # Totals.

    @property
    def held_octets(self) -> int:
        """Octets pending or in flight."""
        return self.pending.octets + sum(peer.in_flight_octets for peer in self.peers)

    def statistics(self) -> dict[str, int]:
        """The totals of export, by element names."""
        return self.totals.statistics(self.pending, self.held_octets)

    def unaccounted_octets(self) -> int:
        """Octets measured and neither exported, held nor dropped; all but 0 is a fault."""
        accounted = self.totals.exported_octets + self.held_octets + self.pending.dropped_octets
        return self.pending.measured_octets - accounted

    def recounted_octets(self) -> int:
        """Octets held, added up from the records themselves, to compare `held_octets` with."""
        in_flight = sum(message.octets for peer in self.peers for message in peer.in_flight)
        return self.pending.recounted_octets() + in_flight
