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

MOST_OPEN = 32  # submissions on one client connection
STUCK = 15_000  # that a client may take over one frame, and before its first is whole
SETTLED = 500  # that a connection must have been quiet before it gives way to others
BURST = 300  # that submissions wait at most while more of their connection lies unread
MOST_FAULTS = 32  # of one client, before its connection ends
LAST_MOMENT = 500  # before its expiry a client that withdraws is taken to have met it
OVERHEAD = 3_000  # bytes of memory that a submission takes beside its statement


class ClientRequest:
    """A submission's side towards its client: where the answer goes, and what goes on unchanged."""

    __slots__ = (
        "client_connection",
        "label",
        "memory",
        "name",
        "priority",
        "reason",
        "row",
        "serial",
        "size",
        "statement",
        "stream",
    )

    def __init__(
        self,
        client_connection: "ClientConnection",
        stream: int,
        name: str,
        label: str,
        statement: bytes,
        row: Any,
    ) -> None:
        self.client_connection, self.stream, self.name, self.label = (
            client_connection,
            stream,
            name,
            label,
        )
        self.statement, self.size = statement, len(statement) + OVERHEAD
        self.memory, self.priority = 0.0, 1
        self.row = row  # its offering's account
        self.serial = self.reason = 0  # there, below 0 once its end is counted; why it ended


class ClientConnection:
    """One client connection."""

    def __init__(self, socket_host: Any, sock: Any) -> None:
        self.socket_host = socket_host
        self.open: dict[int, Request | None] = {}
        self.waiting = deque[
            tuple[int, int, list[bytes], int, ClientRequest | None]
        ]()  # without room, until when
        self.unwritten = deque[
            tuple[int, ClientRequest]
        ]()  # answers put, each with where it ends among what was
        self.faults, self.answered, self.gave_up = 0, 0, 0
        self.fresh: list[Request] = []  # the gateway has not been told yet
        self.link = StreamConnection(
            socket_host.event_loop, sock, ClientProtocol(self, socket_host.rings), self, STUCK, True
        )

    def requested(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        if (
            len(self.waiting) > 2 * MOST_OPEN
        ):  # Danger: answers for one that does not read fill the memory
            return "answers are not read"
        return self.socket_host.requested(self, stream, fields, body)

    def withdrawn(self, stream: int) -> str:
        self.socket_host.counters["withdrawn"] += 1
        self.gave_up += 1
        request, socket_host = self.open.get(stream), self.socket_host
        if (
            request is not None
            and socket_host.now >= request.accepted_at + request.time_to_deadline - LAST_MOMENT
        ):
            # Danger: it is its expiry that has come, a little before ours; an answer is still owed.
            # What the gateway has not heard of it never hears of.
            if request in self.fresh:
                request.is_finished = True
                socket_host.final(request, REFUSED, [])
            else:
                socket_host.gateway.on_deadline_near(request)
        else:
            socket_host.left(self.open.pop(stream, None), EndReason.CANCELLED)
        # Danger: what is asked for by hundreds and taken back at once is work for nobody.
        return "withdrawn too often" if self.gave_up > max(MOST_FAULTS, 2 * self.answered) else ""

    def ready_asked(self, stream: int) -> str:
        self.socket_host.counters["asked ready"] += 1
        code = 1 if self.socket_host.end == NEVER else 2
        sent = self.link.send(frame_head(client_wire.READY, stream, code, 0))
        return "" if sent else "answers are not read"

    def unreadable(self, stream: int, why: str) -> str:
        """Nobody can use it: told on its stream. Danger: one that sends nothing else costs all the others."""
        self.socket_host.counters["unreadable"] += 1
        if stream:
            self.socket_host.ledger.record_unusable()
        self.faults += 1
        self.answer(stream, FAILED, [why.encode()])
        return "" if self.faults <= MOST_FAULTS else "too much that cannot be used"

    def on_rejected(self, why: str) -> None:
        """It is turned out. What it has open is given up, so it is answered now; then comes the reason."""
        self.socket_host.counters["turned out"] += 1
        for request in self.fresh:
            request.is_finished = True
            self.socket_host.final(request, REFUSED, [], EndReason.CONNECTION_EVICTED)
        for request in [*self.open.values()]:
            self.socket_host.gateway.on_deadline_near(request)
        self.answer(0, FAILED, [why.encode()])

    def admit(self, patience: int = BURST) -> None:
        """Tell the gateway what has come. Danger: of hundreds that come at once, many are taken back by what
        lies unread behind them, or make no sense; handed off, they would be work for nobody. So
        while more lies there, all of it has a moment.
        """
        if not self.fresh:
            return None
        now, link = self.socket_host.now, self.link
        if (
            now < self.fresh[0].accepted_at + patience
            and not link.close_reason
            and unread(link.sock)
        ):
            return self.socket_host.event_loop.call_later(BURST // 10, self.admit)
        while self.fresh:
            request = self.fresh[0]
            self.socket_host.let_before(request)
            if self.fresh and self.fresh[0] is request:  # else it was told meanwhile, in its turn
                del self.fresh[0]
                if not request.is_finished:
                    request.accepted_at, request.time_to_deadline = (
                        now,
                        max(request.time_to_deadline - (now - request.accepted_at), 1),
                    )
                    self.socket_host.gateway.on_request(request)

    def there(self) -> bool:
        """Is the client there still, as of this moment? What it has taken back by now is over after this."""
        if self.link.is_peer_connected():
            return True
        self.depart()
        return False

    def depart(self) -> None:
        """The client has gone, with all that it waited for; found once, by whoever looks first."""
        for request in [*self.open.values()]:
            self.socket_host.left(request, EndReason.CLIENT_GONE)
        self.open.clear()

    def idle(self) -> bool:
        """Nothing is owed, nothing has come or left for a while, nothing lies unread."""
        link = self.link
        if (
            self.open
            or self.waiting
            or self.socket_host.now < max(link.last_read_at, link.last_written_at) + SETTLED
        ):
            return False
        return link.is_lingering or not (
            link.close_reason or len(link.machine.outward) or unread(link.sock)
        )

    def half_told(self) -> bool:
        """Part of a frame has come, and the rest may be on its way."""
        link = self.link
        return (
            not link.close_reason
            and len(link.machine.inward) > 0
            and self.socket_host.now < link.last_read_at + SETTLED
        )

    def answer(
        self,
        stream: int,
        code: int,
        body: list[bytes],
        until: int = NEVER,
        order: ClientRequest | None = None,
    ) -> None:
        """`order` is the one whose end this is, until the last byte of it has left."""
        socket_host = self.socket_host
        self.answered += 1
        if self.link.close_reason:
            self._gone(order)
        elif self.waiting or not self._put(stream, code, body, order):
            # Danger: clients that do not read would fill the memory with results; they get a short
            # answer.
            if not socket_host.results.reserve(sum(map(len, body))):
                socket_host.counters["results dropped"] += 1
                code, body = self._not_read(order)
            self.waiting.append((stream, code, body, until, order))

    def _put(self, stream: int, code: int, body: list[bytes], order: ClientRequest | None) -> bool:
        if not self.link.send(frame_head(ANSWER, stream, code, sum(map(len, body))), *body):
            return False
        if order is not None:
            self.unwritten.append((self.link.bytes_queued, order))
        return True

    def _not_read(self, order: ClientRequest | None) -> tuple[int, list[bytes]]:
        if order is not None:
            order.reason = EndReason.ANSWER_NOT_READ
        return FAILED, []

    def _gone(self, order: ClientRequest | None, reason: int = EndReason.CLIENT_GONE) -> None:
        """Its answer goes nowhere any more."""
        if order is not None:
            order.reason = reason
            self.socket_host.answer_over(order)

    def on_output_drained(self) -> None:
        """Room again. Danger: what waited past its expiry must not leave as served."""
        self._written()
        while self.waiting:
            stream, code, body, until, order = self.waiting[0]
            if self.socket_host.now >= until:
                code, body = self._not_read(order)
            if not self._put(stream, code, body, order):
                return
            self._drop()

    def _written(self) -> None:
        while self.unwritten and self.unwritten[0][0] <= self.link.bytes_sent:
            self.socket_host.answer_over(self.unwritten.popleft()[1])

    def _drop(self) -> None:
        self.socket_host.results.release(sum(map(len, self.waiting.popleft()[2])))

    def on_closed(self, why: str) -> None:
        self.socket_host.client_connections.pop(self, None)
        self.socket_host.ledger.record_connection_closed(
            Side.CLIENT, self.link.bytes_received, self.link.bytes_sent
        )
        if self.socket_host.flows is not None:
            self.socket_host.flows.over(self.link)
        self._written()
        while self.unwritten:
            self._gone(self.unwritten.popleft()[1], EndReason.ANSWER_CUT_OFF)
        while self.waiting:
            self._gone(self.waiting[0][4])
            self._drop()
        self.depart()


def unread(sock: Any) -> int:
    """Bytes that have come and were not read."""
    return int.from_bytes(ioctl(sock.fileno(), FIONREAD, b"\0" * 4), sys.byteorder)
