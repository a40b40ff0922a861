"""Handles one client connection: its open requests and the answers sent to the client.

Owns the limits on the time for a frame, on unusable frames and on cancellations, and the close of
the connection.
Holds a new request back for up to 30 ms while the connection has unread bytes, which may cancel the
request. Before the connection of a client is closed for a fault of the client, all open requests
are answered.
"""

from itertools import count
from typing import Any

from corkgauge.accounting.counter_names import EndReason, Side
from corkgauge.eventloop.arrival import unread_byte_count
from corkgauge.eventloop.connection import NEVER, StreamConnection
from corkgauge.eventloop.token_bucket import TokenBucket
from corkgauge.net import client_protocol as client_wire
from corkgauge.net.answer_queue import Answer, AnswerQueue
from corkgauge.net.client_protocol import FAILED, REFUSED, ClientProtocol, frame_head
from corkgauge.policy.records import Request

MAX_OPEN_REQUEST_COUNT = 32  # per client connection
MAX_UNREAD_ANSWER_COUNT = 2 * MAX_OPEN_REQUEST_COUNT  # that wait for room, per client connection
# Time limit for one frame, from its first byte; for the first frame, from the connection's start.
FRAME_TIMEOUT_TICKS = 15_000
MIN_QUIET_TICKS = 500  # without traffic, before a connection may be closed to make room for others
# Longest time that new requests are held back while their connection has unread bytes.
MAX_BATCH_WAIT_TICKS = 300
# Unusable frames and requests above `MAX_OPEN_REQUEST_COUNT` that a client may send at once on a
# connection, and as many cancellations: it may give up all its open requests at the same time.
MAX_FAULT_COUNT = MAX_OPEN_REQUEST_COUNT
FAULTS_PER_SECOND = MAX_FAULT_COUNT
CANCELLATIONS_PER_ANSWER = 2  # that a client may send at once beyond the rate, up to the burst
# A cancellation this close before the request's deadline counts as an expired request.
DEADLINE_TOLERANCE_TICKS = 500
# One part in so many of the memory for input is kept for clients that have sent a usable request:
# clients that never complete one would otherwise use up all of it.
KNOWN_CLIENTS_MEMORY_DIVISOR = 4
REQUEST_OVERHEAD_BYTES = 3_000  # memory of a request in addition to its statement

connection_numbers = count(1)  # of all client connections of the process


class ClientRequest:
    """Client-side data of a request: where the answer goes, and what is forwarded unchanged."""

    __slots__ = (
        "budgeted_bytes",
        "client_connection",
        "end_reason",
        "idempotency_key",
        "memory_mb",
        "name",
        "priority",
        "row",
        "serial",
        "statement",
        "stream",
    )

    def __init__(
        self,
        client_connection: "ClientConnection",
        stream: int,
        name: str,
        idempotency_key: str,
        statement: bytes,
        row: Any,
    ) -> None:
        self.client_connection, self.stream, self.name, self.idempotency_key = (
            client_connection,
            stream,
            name,
            idempotency_key,
        )
        self.statement, self.budgeted_bytes = statement, len(statement) + REQUEST_OVERHEAD_BYTES
        self.memory_mb, self.priority = 0.0, 1
        self.row = row  # ledger row of the request class
        # `serial`: serial number in the ledger, negated once the end of the request is recorded.
        # `end_reason`: an `EndReason`, set with the final answer.
        self.serial = self.end_reason = 0


class ClientConnection:
    """One client connection; owner of its stream connection and of its protocol machine."""

    def __init__(self, socket_host: Any, sock: Any) -> None:
        self.socket_host = socket_host
        self.number = next(connection_numbers)
        self.open: dict[int, Request | None] = {}  # open requests by stream number
        self.fault_allowance = TokenBucket(MAX_FAULT_COUNT, FAULTS_PER_SECOND, socket_host.now)
        self.cancel_allowance = TokenBucket(MAX_FAULT_COUNT, FAULTS_PER_SECOND, socket_host.now)
        self.credited_answer_count = 0  # answers that cancellations were allowed for
        self.unsubmitted: list[Request] = []  # requests not yet passed to the gateway
        self.link = StreamConnection(
            socket_host.event_loop,
            sock,
            ClientProtocol(self, socket_host.client_input_memory, socket_host.client_output_memory),
            self,
            FRAME_TIMEOUT_TICKS,
            True,
        )
        self.answers = AnswerQueue(socket_host, self.link)
        self.link.machine.inward.kept_free_bytes = (
            socket_host.client_input_memory.limit_bytes // KNOWN_CLIENTS_MEMORY_DIVISOR
        )

    def on_request_frame(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        """Accept a request; return why the connection must be closed, or an empty string."""
        if self.link.dismissal is not None:
            return self._refuse_unread(stream)
        wrong = self._reason_if_answers_unread()
        return wrong or self.socket_host.on_request(self, stream, fields, body)

    def on_request_discarded(self, stream: int) -> str:
        """Refuse a request that was discarded for lack of memory.

        Returns why the connection must be closed, or an empty string.
        """
        self.socket_host.counters["no memory"] += 1
        return self._refuse_unread(stream)

    def _refuse_unread(self, stream: int) -> str:
        """Refuse a request whatever it holds; return a reason to close the connection, if any."""
        self.socket_host.ledger.record_rejected(self.socket_host.ledger.unusable_row)
        self.send_answer(stream, REFUSED, [])
        return self._reason_if_answers_unread()

    def on_request_accepted(self) -> None:
        """Let the client use all memory for input, as it has sent a usable request."""
        self.link.machine.inward.kept_free_bytes = 0

    def _reason_if_answers_unread(self) -> str:
        """Return a reason to close the connection of a client that does not read its answers.

        Without this limit, the answers to such a client would fill the memory.
        """
        return "answers are not read" if len(self.answers) > MAX_UNREAD_ANSWER_COUNT else ""

    def on_cancel_frame(self, stream: int) -> str:
        """Cancel a request; the connection is never closed at once for it.

        A client may cancel `MAX_FAULT_COUNT` requests at once, and go on at `FAULTS_PER_SECOND` and
        `CANCELLATIONS_PER_ANSWER`; one that exceeds this is dismissed.
        """
        self.socket_host.counters["withdrawn"] += 1
        request, socket_host = self.open.get(stream), self.socket_host
        if (
            request is not None
            and socket_host.now
            >= request.accepted_at + request.time_to_deadline - DEADLINE_TOLERANCE_TICKS
        ):
            # The client cancels because the request expired by the client's clock, slightly before
            # the gateway's deadline for the request. Such a request still gets an answer. If the
            # request was not yet passed to the gateway, the answer is sent here, and the request is
            # never passed to the gateway.
            if request in self.unsubmitted:
                request.is_finished = True
                socket_host.send_final_answer(request, REFUSED, [])
            else:
                socket_host.gateway.on_deadline_near(request)
        else:
            socket_host.on_client_left(self.open.pop(stream, None), EndReason.CANCELLED)
        # A client that sends hundreds of requests and cancels them at once would cost work whose
        # results nobody reads.
        if not self._may_cancel():
            self.link.dismiss("withdrawn too often")
        return ""

    def _may_cancel(self) -> bool:
        new_answer_count = self.answers.answer_count - self.credited_answer_count
        self.credited_answer_count = self.answers.answer_count
        self.cancel_allowance.add(CANCELLATIONS_PER_ANSWER * new_answer_count)
        return self.cancel_allowance.take(self.socket_host.now)

    def on_fault(self, reason: str) -> None:
        """Count a faulty frame, which has been answered; dismiss a client that sends too many.

        A client that sends nothing else would take processing time from all other clients.
        """
        if not self.fault_allowance.take(self.socket_host.now):
            self.link.dismiss(reason)

    def on_ready_check(self, stream: int) -> str:
        """Answer a readiness check: code 1 while serving, 2 during shutdown."""
        self.socket_host.counters["asked ready"] += 1
        code = 1 if self.socket_host.shutdown_deadline == NEVER else 2
        self.answers.send_control_frame(frame_head(client_wire.READY, stream, code, 0))
        return self._reason_if_answers_unread()

    def on_unusable_frame(self, stream: int, reason: str) -> str:
        """Answer an unusable frame on its stream; a client that sends too many is dismissed."""
        self.socket_host.counters["unreadable"] += 1
        if stream:
            self.socket_host.ledger.record_unusable()
        self.send_answer(stream, FAILED, [reason.encode()])
        self.on_fault("too much that cannot be used")
        return self._reason_if_answers_unread()

    def is_answered(self) -> bool:
        """Return whether no request is open and no answer waits for room."""
        return not self.open and not len(self.answers)

    def on_dismissed(self) -> None:
        """Answer all open requests, as the client exceeds a limit; later ones are refused."""
        for request in self.unsubmitted:
            request.is_finished = True
            self.socket_host.send_final_answer(request, REFUSED, [], EndReason.CONNECTION_EVICTED)
        for request in [*self.open.values()]:
            self.socket_host.gateway.on_deadline_near(request)

    def on_connection_rejected(self, reason: str) -> None:
        """Answer all open requests, then send the reason for closing the connection."""
        self.socket_host.counters["turned out"] += 1
        self.on_dismissed()
        self.send_answer(0, FAILED, [reason.encode()])

    def submit_requests(self, max_wait_ticks: int = MAX_BATCH_WAIT_TICKS) -> None:
        """Pass new requests to the gateway, once the connection has no unread bytes.

        Of hundreds of requests that arrive together, many may be cancelled by frames further back
        in the unread input. Sending those to engines would be wasted work. So while bytes are
        unread, new requests wait for up to `max_wait_ticks`.
        """
        if not self.unsubmitted:
            return None
        now, link = self.socket_host.now, self.link
        if (
            now < self.unsubmitted[0].accepted_at + max_wait_ticks
            and not link.close_reason
            and unread_byte_count(link.sock)
        ):
            return self.socket_host.event_loop.call_later(
                MAX_BATCH_WAIT_TICKS // 10, self.submit_requests
            )
        while self.unsubmitted:
            request = self.unsubmitted[0]
            self.socket_host.submit_earlier_requests(request)
            # Otherwise the call above has already passed this request to the gateway.
            if self.unsubmitted and self.unsubmitted[0] is request:
                del self.unsubmitted[0]
                if not request.is_finished:
                    # Acceptance counts from now, so that the hold-back does not count as queueing
                    # time in the gateway. The deadline stays the same.
                    request.accepted_at, request.time_to_deadline = (
                        now,
                        max(request.time_to_deadline - (now - request.accepted_at), 1),
                    )
                    self.socket_host.gateway.on_request(request)

    def is_client_connected(self) -> bool:
        """Check the socket now; return whether the client is still connected.

        Frames that can be read now, such as cancellations, are processed before the method returns.
        """
        if self.link.is_peer_connected():
            return True
        self.on_client_gone()
        return False

    def on_client_gone(self) -> None:
        """End all open requests of a client that has disconnected, without an answer.

        Several checks may notice the same disconnect; a further call finds no open request.
        """
        for request in [*self.open.values()]:
            self.socket_host.on_client_left(request, EndReason.CLIENT_GONE)
        self.open.clear()

    def is_idle(self) -> bool:
        """Return whether the connection may be closed to make room for others.

        An idle connection has no open request, no waiting answer, no recent traffic, and neither
        unread nor unsent bytes. The last condition does not apply to a lingering connection. Any
        other connection that is closing does not count as idle.
        """
        link = self.link
        if (
            self.open
            or len(self.answers)
            or self.socket_host.now < max(link.last_read_at, link.last_written_at) + MIN_QUIET_TICKS
        ):
            return False
        return link.is_lingering or not (
            link.close_reason or len(link.machine.outward) or unread_byte_count(link.sock)
        )

    def has_partial_frame(self) -> bool:
        """Return whether part of a frame was received recently, so that the rest may follow."""
        link = self.link
        return (
            not link.close_reason
            and len(link.machine.inward) > 0
            and self.socket_host.now < link.last_read_at + MIN_QUIET_TICKS
        )

    def send_answer(
        self,
        stream: int,
        code: int,
        body: list[bytes],
        expires_at: int = NEVER,
        client_request: ClientRequest | None = None,
    ) -> None:
        """Send an answer, or queue it until the send buffer has room; see `Answer`."""
        self.answers.send(Answer(stream, code, body, expires_at, client_request))

    def on_output_drained(self) -> None:
        """Send queued answers after the send buffer has become empty."""
        self.answers.on_output_drained()

    def on_closed(self, reason: str) -> None:
        """Close the connection's ledger records, release its memory and end its requests."""
        self.socket_host.client_connections.pop(self, None)
        self.socket_host.ledger.record_connection_closed(
            Side.CLIENT, self.link.bytes_received, self.link.bytes_sent
        )
        if self.socket_host.flow_export is not None:
            self.socket_host.flow_export.on_connection_closed(self.link)
        self.answers.close()
        self.on_client_gone()
