"""A client's connection: its open requests, and the answers to them.

Owns the answers that wait for room, the time and the faults that a client is allowed, and how its
connection is closed. It passes nothing on while more bytes of the same connection may at once
cancel it, and closes none that is owed an answer without giving it.
"""

import sys
from collections import deque
from fcntl import ioctl
from termios import FIONREAD
from typing import Any

from corkgauge.accounting.counter_names import EndReason, Side
from corkgauge.eventloop.connection import NEVER, StreamConnection
from corkgauge.net import client_protocol as client_wire
from corkgauge.net.client_protocol import ANSWER, FAILED, REFUSED, ClientProtocol, frame_head
from corkgauge.policy.records import Request

MAX_OPEN_REQUEST_COUNT = 32  # submissions on one client connection
FRAME_TIMEOUT_TICKS = 15_000  # that a client may take over one frame, and before its first is whole
MIN_QUIET_TICKS = 500  # that a connection must have been quiet before it gives way to others
MAX_BATCH_WAIT_TICKS = (
    300  # that submissions wait at most while more of their connection lies unread
)
MAX_FAULT_COUNT = 32  # of one client, before its connection ends
DEADLINE_TOLERANCE_TICKS = 500  # before its expiry a client that withdraws is taken to have met it
REQUEST_OVERHEAD_BYTES = 3_000  # bytes of memory that a submission takes beside its statement


class ClientRequest:
    """A submission's side towards its client: where the answer goes, and what goes on unchanged."""

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
        self.row = row  # its offering's account
        self.serial = self.end_reason = 0  # there, below 0 once its end is counted; why it ended


class ClientConnection:
    """One client connection."""

    def __init__(self, socket_host: Any, sock: Any) -> None:
        self.socket_host = socket_host
        self.open: dict[int, Request | None] = {}
        self.waiting_answers = deque[
            tuple[int, int, list[bytes], int, ClientRequest | None]
        ]()  # without room, until when
        self.unwritten_answers = deque[
            tuple[int, ClientRequest]
        ]()  # answers put, each with where it ends among what was
        self.fault_count, self.answer_count, self.cancel_count = 0, 0, 0
        self.unsubmitted: list[Request] = []  # the gateway has not been told yet
        self.link = StreamConnection(
            socket_host.event_loop,
            sock,
            ClientProtocol(self, socket_host.client_ring_memory),
            self,
            FRAME_TIMEOUT_TICKS,
            True,
        )

    def on_request_frame(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        if (
            len(self.waiting_answers) > 2 * MAX_OPEN_REQUEST_COUNT
        ):  # Danger: answers for one that does not read fill the memory
            return "answers are not read"
        return self.socket_host.on_request(self, stream, fields, body)

    def on_cancel_frame(self, stream: int) -> str:
        self.socket_host.counters["withdrawn"] += 1
        self.cancel_count += 1
        request, socket_host = self.open.get(stream), self.socket_host
        if (
            request is not None
            and socket_host.now
            >= request.accepted_at + request.time_to_deadline - DEADLINE_TOLERANCE_TICKS
        ):
            # Danger: it is its expiry that has come, a little before ours; an answer is still owed.
            # What the gateway has not heard of it never hears of.
            if request in self.unsubmitted:
                request.is_finished = True
                socket_host.send_final_answer(request, REFUSED, [])
            else:
                socket_host.gateway.on_deadline_near(request)
        else:
            socket_host.on_client_left(self.open.pop(stream, None), EndReason.CANCELLED)
        # Danger: what is asked for by hundreds and taken back at once is work for nobody.
        return (
            "withdrawn too often"
            if self.cancel_count > max(MAX_FAULT_COUNT, 2 * self.answer_count)
            else ""
        )

    def on_ready_check(self, stream: int) -> str:
        self.socket_host.counters["asked ready"] += 1
        code = 1 if self.socket_host.shutdown_deadline == NEVER else 2
        sent = self.link.send(frame_head(client_wire.READY, stream, code, 0))
        return "" if sent else "answers are not read"

    def on_unusable_frame(self, stream: int, why: str) -> str:
        """Nobody can use it: told on its stream. Danger: one that sends nothing else costs all the others."""
        self.socket_host.counters["unreadable"] += 1
        if stream:
            self.socket_host.ledger.record_unusable()
        self.fault_count += 1
        self.send_answer(stream, FAILED, [why.encode()])
        return "" if self.fault_count <= MAX_FAULT_COUNT else "too much that cannot be used"

    def parting(self, why: str) -> None:
        """It is turned out. What it has open is given up, so it is answered now; then comes the reason."""
        self.socket_host.counters["turned out"] += 1
        for request in self.unsubmitted:
            request.is_finished = True
            self.socket_host.send_final_answer(request, REFUSED, [], EndReason.CONNECTION_EVICTED)
        for request in [*self.open.values()]:
            self.socket_host.gateway.on_deadline_near(request)
        self.send_answer(0, FAILED, [why.encode()])

    def submit_requests(self, max_wait_ticks: int = MAX_BATCH_WAIT_TICKS) -> None:
        """Tell the gateway what has come. Danger: of hundreds that come at once, many are taken back by what
        lies unread behind them, or make no sense; handed off, they would be work for nobody. So
        while more lies there, all of it has a moment.
        """
        if not self.unsubmitted:
            return None
        now, link = self.socket_host.now, self.link
        if (
            now < self.unsubmitted[0].accepted_at + max_wait_ticks
            and not link.why
            and unread_byte_count(link.sock)
        ):
            return self.socket_host.event_loop.call_later(
                MAX_BATCH_WAIT_TICKS // 10, self.submit_requests
            )
        while self.unsubmitted:
            request = self.unsubmitted[0]
            self.socket_host.submit_earlier_requests(request)
            if (
                self.unsubmitted and self.unsubmitted[0] is request
            ):  # else it was told meanwhile, in its turn
                del self.unsubmitted[0]
                if not request.is_finished:
                    request.accepted_at, request.time_to_deadline = (
                        now,
                        max(request.time_to_deadline - (now - request.accepted_at), 1),
                    )
                    self.socket_host.gateway.on_request(request)

    def is_client_connected(self) -> bool:
        """Is the client there still, as of this moment? What it has taken back by now is over after this."""
        if self.link.look():
            return True
        self.on_client_gone()
        return False

    def on_client_gone(self) -> None:
        """The client has gone, with all that it waited for; found once, by whoever looks first."""
        for request in [*self.open.values()]:
            self.socket_host.on_client_left(request, EndReason.CLIENT_GONE)
        self.open.clear()

    def is_idle(self) -> bool:
        """Nothing is owed, nothing has come or left for a while, nothing lies unread."""
        link = self.link
        if (
            self.open
            or self.waiting_answers
            or self.socket_host.now < max(link.heard, link.wrote) + MIN_QUIET_TICKS
        ):
            return False
        return link.parting or not (
            link.why or len(link.machine.outward) or unread_byte_count(link.sock)
        )

    def has_partial_frame(self) -> bool:
        """Part of a frame has come, and the rest may be on its way."""
        link = self.link
        return (
            not link.why
            and len(link.machine.inward) > 0
            and self.socket_host.now < link.heard + MIN_QUIET_TICKS
        )

    def send_answer(
        self,
        stream: int,
        code: int,
        body: list[bytes],
        expires_at: int = NEVER,
        client_request: ClientRequest | None = None,
    ) -> None:
        """`client_request` is the one whose end this is, until the last byte of it has left."""
        socket_host = self.socket_host
        self.answer_count += 1
        if self.link.why:
            self._close_unsent_answer(client_request)
        elif self.waiting_answers or not self._write_answer(stream, code, body, client_request):
            # Danger: clients that do not read would fill the memory with results; they get a short
            # answer.
            if not socket_host.result_memory.take(sum(map(len, body))):
                socket_host.counters["results dropped"] += 1
                code, body = self._mark_answer_not_read(client_request)
            self.waiting_answers.append((stream, code, body, expires_at, client_request))

    def _write_answer(
        self, stream: int, code: int, body: list[bytes], client_request: ClientRequest | None
    ) -> bool:
        if not self.link.send(frame_head(ANSWER, stream, code, sum(map(len, body))), *body):
            return False
        if client_request is not None:
            self.unwritten_answers.append((self.link.put, client_request))
        return True

    def _mark_answer_not_read(
        self, client_request: ClientRequest | None
    ) -> tuple[int, list[bytes]]:
        if client_request is not None:
            client_request.end_reason = EndReason.ANSWER_NOT_READ
        return FAILED, []

    def _close_unsent_answer(
        self, client_request: ClientRequest | None, reason: int = EndReason.CLIENT_GONE
    ) -> None:
        """Its answer goes nowhere any more."""
        if client_request is not None:
            client_request.end_reason = reason
            self.socket_host.on_answer_finished(client_request)

    def drained(self) -> None:
        """Room again. Danger: what waited past its expiry must not leave as served."""
        self._close_written_answers()
        while self.waiting_answers:
            stream, code, body, expires_at, client_request = self.waiting_answers[0]
            if self.socket_host.now >= expires_at:
                code, body = self._mark_answer_not_read(client_request)
            if not self._write_answer(stream, code, body, client_request):
                return
            self._drop_first_waiting()

    def _close_written_answers(self) -> None:
        while self.unwritten_answers and self.unwritten_answers[0][0] <= self.link.sent:
            self.socket_host.on_answer_finished(self.unwritten_answers.popleft()[1])

    def _drop_first_waiting(self) -> None:
        self.socket_host.result_memory.give(sum(map(len, self.waiting_answers.popleft()[2])))

    def ended(self, why: str) -> None:
        self.socket_host.client_connections.pop(self, None)
        self.socket_host.ledger.record_connection_closed(Side.CLIENT, self.link.got, self.link.sent)
        if self.socket_host.flows is not None:
            self.socket_host.flows.over(self.link)
        self._close_written_answers()
        while self.unwritten_answers:
            self._close_unsent_answer(self.unwritten_answers.popleft()[1], EndReason.ANSWER_CUT_OFF)
        while self.waiting_answers:
            self._close_unsent_answer(self.waiting_answers[0][4])
            self._drop_first_waiting()
        self.on_client_gone()


def unread_byte_count(sock: Any) -> int:
    """Bytes that have come and were not read."""
    return int.from_bytes(ioctl(sock.fileno(), FIONREAD, b"\0" * 4), sys.byteorder)
