"""Exports pending flow records to the first collector that is up (the exporting process).

Tracks the state of each collector, the messages in flight to the collector, and the totals of
export. Performs no I/O: the export buffer calls `CollectorTransports` and receives the current time
in ticks, tenths of a millisecond.

In each session, templates are passed to the transport before data. A template message for which
the transport has no room is lost until the next refresh, which only datagrams have; data is sent
nevertheless. The memory for pending records is bounded. Every octet is accounted for:
measured = exported + held (pending or in flight) + dropped.

The states of a collector are down -> opening -> trial -> up. During the trial, the templates have
been sent and no data: an unreachable UDP collector is noticed only by an ICMP error, which arrives
only after a datagram was sent. A message in flight is confirmed when a stream has written the
message to the operating system, or DATAGRAM_CONFIRM_TICKS after a datagram was sent. Records of
messages that were not confirmed are pending again. Two totals report octets whose delivery is
unknown: `uncertain_octets` are counted as exported and may be lost (a stream broke while the
operating system still held the bytes), `repeated_octets` are sent again and may have arrived the
first time (a datagram was refused, or a stream was closed with output pending).
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
TRIAL_TICKS = 2_000  # from the templates to the first data
DATAGRAM_CONFIRM_TICKS = 1_000  # an ICMP error would arrive within this time
# For the TCP connection and the TLS handshake, times the peer's `timeout_factor`.
OPEN_TIMEOUT_TICKS = 3 * TICKS_PER_SECOND
FAILURE_RESET_TICKS = 30 * TICKS_PER_SECOND  # time in the state UP that clears the failure count
STATISTICS_PERIOD_TICKS = 30 * TICKS_PER_SECOND
MAX_MESSAGES_PER_CHECK = 6  # sending the records of minutes at once would block the event loop
MAX_MESSAGES_AT_SHUTDOWN = 500  # in the last flush


class ExportBuffer:
    """Exports one queue of records to the first of its collectors that is up.

    Args:
        transports: opens, closes and writes to the connections to collectors.
        layout: the protocol and its templates.
        domain: the observation domain.
        peers: the collectors, in order of preference.
        pending: the queue.
        seed: determines the jitter of the backoffs.
        now: start of the exporter's uptime, in ticks.
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
        """Start a session on a new connection by sending the templates."""
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
        """Requeue records in flight to a collector that failed or refused, and schedule a retry.

        `unacknowledged_bytes` are the bytes of a stream that were written to the operating system
        and that the collector did not acknowledge.
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
        """Confirm messages, as the first `written_bytes` of the stream were written."""
        if written_bytes > peer.written_bytes:
            peer.written_bytes = written_bytes
            peer.last_progress_at = now
            self._confirm_delivered(peer, now)

    def on_timer(self, now: int) -> None:
        """Open connections, confirm messages and export pending records.

        Called several times a second.
        """
        for peer in self.peers:
            self._update_peer(peer, now)
        self._select_active(now)
        if self.active is not None:
            self._export(self.active, now, MAX_MESSAGES_PER_CHECK)

    def flush(self, now: int) -> None:
        """Send as much as possible without waiting, at shutdown before `disconnect_all`."""
        if self.active is not None:
            self._export(self.active, now, MAX_MESSAGES_AT_SHUTDOWN)

    def reconfigure(self, peers: list[CollectorPeer], layout: Layout, now: int) -> None:
        """Replace the collectors and the layout; records stay pending."""
        if self.active is not None and not self.active.is_datagram:
            # On a stream, templates must be withdrawn before their ids are reused (RFC 7011, 8.1).
            session = self.active.current_session()
            self.transports.send(self.active, session.make_withdrawal_message(now // TICKS_PER_MS))
        self.disconnect_all(now)
        self.peers = peers
        self.layout = layout

    def disconnect_all(self, now: int) -> None:
        """Disconnect from all collectors; records that were not written are pending again."""
        for peer in self.peers:
            self._stop_export_to(peer, now)
            if peer.state is not CollectorState.DOWN:
                peer.state = CollectorState.DOWN
                self.transports.close(peer)
        self.active = None

    # Messages in flight.

    def _requeue_lost(self, peer: CollectorPeer, unacknowledged_bytes: int) -> None:
        for message in peer.in_flight:
            if peer.is_datagram:
                # Possibly only the last datagram was refused. All are sent again, because a
                # repetition is counted whereas a loss would not be noticed.
                self.totals.repeated_octets += message.octets
            self.pending.requeue(message.deltas)
        # Bytes that were written to the operating system may be lost with the connection or may
        # have arrived. Sent again, they could be counted twice, so these octets stay exported and
        # are reported as uncertain.
        #
        # Under TLS, `unacknowledged_bytes` counts encrypted bytes and `written_bytes` counts bytes
        # before encryption, so more messages than necessary are reported as uncertain.
        acknowledged_bytes = peer.written_bytes - unacknowledged_bytes
        self.totals.uncertain_octets += sum(
            message.octets
            for message in peer.written_messages
            if message.end_offset > acknowledged_bytes
        )
        peer.written_messages.clear()
        peer.clear_in_flight()

    def _stop_export_to(self, peer: CollectorPeer, now: int) -> None:
        """Stop sending to a collector: confirm the written messages and requeue the others.

        All datagrams in flight are confirmed, although it is not known whether they arrived.
        """
        confirm_time = now
        if peer.is_datagram:
            confirm_time += DATAGRAM_CONFIRM_TICKS
        self._confirm_delivered(peer, confirm_time)
        # A closing stream still writes its ring buffer for a limited time, so these messages may
        # arrive although their records are sent again.
        self.totals.repeated_octets += peer.in_flight_octets
        self.pending.requeue([delta for message in peer.in_flight for delta in message.deltas])
        peer.clear_in_flight()

    def _confirm_delivered(self, peer: CollectorPeer, now: int) -> None:
        """Count the messages as exported that have arrived, as far as this is known."""
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

    # Selection of a collector.

    def _update_peer(self, peer: CollectorPeer, now: int) -> None:
        if peer.is_retry_due(now) and should_connect(peer, self.peers):
            peer.state = CollectorState.OPENING
            peer.state_since = now
            self.transports.open(peer)
        elif self._is_opening_overdue(peer, now):
            self.on_lost(peer, "connection not established before the timeout", now)
        elif peer.state is CollectorState.TRIAL and now >= peer.state_since + TRIAL_TICKS:
            peer.state = CollectorState.UP
            peer.state_since = now
            self.transports.log(f"collector {peer.name} up")
        elif peer.is_stalled(now):
            self.on_lost(peer, "collector accepts no data", now)
        if peer.has_session:
            self._confirm_delivered(peer, now)

    def _is_opening_overdue(self, peer: CollectorPeer, now: int) -> bool:
        deadline = peer.state_since + peer.timeout_factor * OPEN_TIMEOUT_TICKS
        return peer.state is CollectorState.OPENING and now > deadline

    def _select_active(self, now: int) -> None:
        """Select the first collector that is up.

        A collector that fails and recovers repeatedly is selected after each recovery. Up to half
        of the records of an outage could then be sent to this collector; its growing backoff makes
        these selections rarer.
        """
        preferred = next((peer for peer in self.peers if peer.state is CollectorState.UP), None)
        if preferred is self.active:
            return
        # The active collector is one of the peers: if it is up, `preferred` precedes it.
        if preferred and self.active and self.active.state is CollectorState.UP:
            self.transports.log(f"collector {preferred.name} takes over from {self.active.name}")
            self._stop_export_to(self.active, now)
            self.active.state = CollectorState.DOWN
            self.transports.close(self.active)
        self.active = preferred

    # Sending.

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
        """Send a message; returns False, with its records pending again, if there is no room.

        A transport accepts a whole message or nothing.
        """
        if not self.transports.send(peer, data):
            self.pending.requeue(deltas)
            peer.current_session().revert_sequence()
            return False
        if peer.sent_bytes == peer.written_bytes:
            peer.last_progress_at = now  # the collector had no bytes to accept until now
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
        """Number of octets pending or in flight."""
        return self.pending.octets + sum(peer.in_flight_octets for peer in self.peers)

    def statistics(self) -> dict[str, int]:
        """Return the totals of export by element name."""
        return self.totals.statistics(self.pending, self.held_octets)

    def unaccounted_octets(self) -> int:
        """Return the octets measured and not exported, held or dropped; 0 if the totals agree."""
        accounted = self.totals.exported_octets + self.held_octets + self.pending.dropped_octets
        return self.pending.measured_octets - accounted

    def recounted_octets(self) -> int:
        """Return the sum of octets over all held records, for comparison with `held_octets`."""
        in_flight = sum(message.octets for peer in self.peers for message in peer.in_flight)
        return self.pending.recounted_octets() + in_flight
