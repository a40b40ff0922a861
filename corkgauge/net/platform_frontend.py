"""The platform's frames as a front: who calls, what a frame asks for, the way out.

Owns the clients' connections, the reading of what they say into submissions, and the time at which
the last answer goes. Must never decide, and never let what a stranger says raise.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.counter_names import Side
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.connection import CROSSING, NEVER
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net import client_protocol as client_wire
from corkgauge.net.client_connection import (
    MAX_FAULT_COUNT,
    MAX_OPEN_REQUEST_COUNT,
    ClientConnection,
    ClientRequest,
    unread_byte_count,
)
from corkgauge.net.client_protocol import REFUSED
from corkgauge.net.host import SocketHost
from corkgauge.net.request_fields import (
    TICKS_PER_MS,
    RequestFieldReader,
    RequestFields,
    UnusableField,
)
from corkgauge.net.table_group import group_number
from corkgauge.policy.records import Request

MAX_CLOSED_AT_ONCE_COUNT = 16  # connections that give way at once
# After the signal to end: the longest expiry counts for so much at most; the rest is the page's 0.7
# s, less what it takes to write the last answers. Until then submissions still come.
MAX_SHUTDOWN_WAIT_TICKS, FINAL_WRITE_TICKS, SHUTDOWN_ACCEPT_TICKS = 3 * SECOND, 4_000, 9_000
# Clients write submissions of one key so far apart, and so long after one that came on a new
# connection.
KEY_SPACING_TICKS, NEW_CONNECTION_KEY_SPACING_TICKS, ARRIVAL_JITTER_TICKS = 600, 2_500, 100


class PlatformFrontEnd(SocketHost):
    """The host on sockets, with the platform's frames before it."""

    def __init__(
        self,
        event_loop: EventLoop,
        platform_config: PlatformConfig,
        log: Callable[[str], None],
        held: int = 0,
    ) -> None:
        super().__init__(event_loop, platform_config, log, held)
        self.field_reader = RequestFieldReader(
            self.request_classes, self.tenants, self.max_request_memory_mb, self.open_requests
        )
        self.shutdown_deadline = NEVER  # when the last answer goes, once the program is told to end
        self.acceptor: Any = None  # where clients come in, in a program that serves
        self.farewell_started_at = NEVER  # when the clients were shown the end
        self.client_connections: dict[ClientConnection, None] = {}
        self.max_client_connections = platform_config.max_sockets // 2  # a third is the usual ones'
        self.arrivals_by_order_key: dict[
            int, tuple[int, int, bool]
        ] = {}  # when one came, kept back how long, on a new link
        self.unsubmitted_by_order_key: dict[
            int, deque[Request]
        ] = {}  # by key: read, in this order, and not told yet

    def make_room(self) -> bool:
        """Danger: connections that say nothing, or nothing more, would keep others at the door. Those that
        never asked for anything give way first, then those that have been quiet longest, and last
        those that have told a half of something.
        """
        quiet = sorted(
            (
                client_connection
                for client_connection in self.client_connections
                if client_connection.is_idle()
            ),
            key=lambda each: (
                not each.link.parting,
                len(each.link.machine.inward) > 0,
                each.link.machine.whole > 0,
                each.link.heard,
            ),
        )
        for client_connection in quiet[:MAX_CLOSED_AT_ONCE_COUNT]:
            if client_connection.link.parting:
                if client_connection.link.farewell > CROSSING:  # else it ends by itself in a moment
                    client_connection.link.cut()
            elif client_connection.link.give_way("room for others"):
                self.counters["gave way"] += 1
        return bool(quiet)

    def add_client(self, sock: Any) -> None:
        client_connection = ClientConnection(self, sock)
        self.client_connections[client_connection] = None
        self.ledger.record_connection_opened(Side.CLIENT)
        if self.flows is not None:
            self.flows.up(client_connection.link, Side.CLIENT)
        self.event_loop.spawn(client_connection.link.run)
        if self.shutdown_deadline != NEVER:
            client_connection.link.send(client_wire.leaving_frame())

    def start_shutdown(self) -> None:
        """The program is to end: no new submissions are asked for, and all that is open ends in time."""
        if self.shutdown_deadline != NEVER:
            return
        longest = max(
            request_class.time_to_deadline for request_class in self.settings.request_classes
        )
        self.shutdown_deadline = (
            self.now + min(longest, MAX_SHUTDOWN_WAIT_TICKS) + FINAL_WRITE_TICKS
        )
        requests = [
            request
            for client_connection in self.client_connections
            for request in client_connection.open.values()
        ]
        self.log(f"leaving by {self.shutdown_deadline}, {len(requests)} open")
        for client_connection in [*self.client_connections]:
            client_connection.link.send(client_wire.leaving_frame())
        for request in requests:
            self.event_loop.call_later(
                self.shutdown_deadline - self.now, self.gateway.on_deadline_near, request
            )
        self.event_loop.call_later(SHUTDOWN_ACCEPT_TICKS, self.continue_shutdown)

    def continue_shutdown(self) -> None:
        """End as soon as nothing is owed and all is written, or when it must be."""
        is_overdue, pause = self.now >= self.shutdown_deadline + FINAL_WRITE_TICKS // 4, 100
        if self.farewell_started_at != NEVER:
            if not self.client_connections or self.now >= self.farewell_started_at + CROSSING:
                self.event_loop.stopped = True
                return
            pause = 20
        # Danger: what has come and lies unread is taken all the same, be it at the door.
        elif is_overdue or not any(self.has_pending_work(each) for each in self.client_connections):
            if self.acceptor is None or not self.acceptor.shut() or is_overdue:
                # Danger: a process that ends over unread bytes resets its connections, and takes
                # the last answers along. So each client is shown the end, and what had crossed it
                # is read and dropped for a moment.
                self.farewell_started_at = self.now
                for each in [*self.client_connections]:
                    if not (each.link.give_way("the program ends") or is_overdue or each.link.why):
                        self.farewell_started_at = NEVER  # something came just now
        self.event_loop.call_later(pause, self.continue_shutdown)

    def has_pending_work(self, client_connection: ClientConnection) -> bool:
        """Is anything still due to this client, or on its way from it?"""
        link = client_connection.link
        return (
            link.fd >= 0
            and not link.parting
            and bool(
                client_connection.open
                or client_connection.waiting_answers
                or len(link.machine.outward)
                or unread_byte_count(link.sock)
                or client_connection.has_partial_frame()
            )
        )

    def on_request(
        self, client_connection: ClientConnection, stream: int, fields: dict[str, str], body: bytes
    ) -> str:
        """Take a request; what is wrong with the connection as a whole, or an empty string."""
        self.release_finished_requests()
        request_fields = self.field_reader.read(fields, body)
        if isinstance(request_fields, UnusableField):
            return client_connection.on_unusable_frame(stream, f"{request_fields.name}: unusable")
        client_request = ClientRequest(
            client_connection,
            stream,
            request_fields.name,
            request_fields.idempotency_key,
            body,
            self.rows[request_fields.request_class],
        )
        if not self._has_room_for(client_connection, client_request):
            return self._reject_for_lack_of_room(client_connection, client_request)
        request = Request(
            client_request,
            request_fields.request_class,
            request_fields.tenant,
            group_number(body),
            self.now,
            self._time_left(request_fields, stream),
            int(request_fields.work_ms * TICKS_PER_MS),
            float(request_fields.memory_mb),
            request_fields.order_key,
        )
        self._register_request(client_connection, request)
        return ""

    def _has_room_for(
        self, client_connection: ClientConnection, client_request: ClientRequest
    ) -> bool:
        return (
            len(client_connection.open) < MAX_OPEN_REQUEST_COUNT
            and len(self.open_requests) < self.settings.open_cap
            and self.statement_memory.take(client_request.budgeted_bytes)
        )

    def _reject_for_lack_of_room(
        self, client_connection: ClientConnection, client_request: ClientRequest
    ) -> str:
        """Reject what there is no room for; too much of it on one connection ends that."""
        self.counters["overfull"] += 1
        client_connection.fault_count += len(client_connection.open) >= MAX_OPEN_REQUEST_COUNT
        self.ledger.record_rejected(client_request.row)
        client_connection.send_answer(client_request.stream, REFUSED, [])
        return "" if client_connection.fault_count <= MAX_FAULT_COUNT else "too many open at once"

    def _time_left(self, request_fields: RequestFields, stream: int) -> int:
        """Return the ticks until the client gives up, by its own clock.

        With a full processor the request has waited unread, and its client counts that.
        """
        time_left = min(
            int(request_fields.time_to_deadline_ms * TICKS_PER_MS),
            self.shutdown_deadline - self.now,
        )
        return max(
            time_left
            - self.estimate_client_delay(request_fields.order_key, stream == 1)
            - self.lag,
            1,
        )

    def _register_request(self, client_connection: ClientConnection, request: Request) -> None:
        """Enter a request where it is looked for, and tell the gateway at the end of this turn."""
        client_request = request.host_reference
        if self.recovery is not None and client_request.idempotency_key:
            self.recovery.restrict_retry(request, client_request.idempotency_key)
        client_connection.open[client_request.stream] = self.open_requests[client_request.name] = (
            request
        )
        self.ledger.record_accepted(client_request)
        if request.request_class.ordered and request.order_key:
            self.unsubmitted_by_order_key.setdefault(request.order_key, deque()).append(request)
        client_connection.unsubmitted.append(request)
        if len(client_connection.unsubmitted) == 1:
            self.event_loop.unsent.append(client_connection.submit_requests)

    def submit_earlier_requests(self, request: Request) -> None:
        """Those of its key that were read before, on other connections, are told first. Danger: one that waits for what
        lies behind it on its connection would be overtaken by a later one of its key on another.
        """
        queue = self.unsubmitted_by_order_key.get(request.order_key)
        while queue and request in queue:
            first = queue[0]
            if first is not request:
                first.host_reference.client_connection.submit_requests(0)
            if queue and queue[0] is first:
                queue.popleft()
        if queue is not None and not queue:
            self.unsubmitted_by_order_key.pop(request.order_key, None)

    def estimate_client_delay(self, key: int, new: bool) -> int:
        """How long a client may have kept back a submission after its stamp, to keep those of a key apart.

        Danger: its patience counts from the stamp, so the last moment would come after its expiry.
        """
        if not key:
            return 0
        arrived_at, held, was_new = self.arrivals_by_order_key.pop(key, (-SECOND, 0, False))
        gap = self.now - arrived_at
        held = held + KEY_SPACING_TICKS if gap < KEY_SPACING_TICKS + ARRIVAL_JITTER_TICKS else 0
        if was_new and gap < NEW_CONNECTION_KEY_SPACING_TICKS + ARRIVAL_JITTER_TICKS:
            held = max(held, NEW_CONNECTION_KEY_SPACING_TICKS)
        self.arrivals_by_order_key[key] = self.now, held, new
        while (
            self.now - next(iter(self.arrivals_by_order_key.values()))[0]
            > NEW_CONNECTION_KEY_SPACING_TICKS + ARRIVAL_JITTER_TICKS
        ):
            del self.arrivals_by_order_key[next(iter(self.arrivals_by_order_key))]
        return held
