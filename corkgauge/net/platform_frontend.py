"""The platform's frames as a front: who calls, what a frame asks for, the way out.

Owns the clients' connections, the reading of what they say into submissions, and the time at which
the last answer goes. Must never decide, and never let what a stranger says raise.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.counter_names import Side
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.connection import IN_TRANSIT_TICKS, NEVER
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net import client_protocol as client_wire
from corkgauge.net.client_connection import (
    MOST_FAULTS,
    MOST_OPEN,
    ClientConnection,
    ClientRequest,
    unread,
)
from corkgauge.net.client_protocol import REFUSED
from corkgauge.net.host import SocketHost
from corkgauge.net.request_fields import (
    TICKS_PER_MS,
    RequestFieldReader,
    RequestFields,
    UnusableField,
)
from corkgauge.net.table_group import tables_of
from corkgauge.policy.records import Request

ROOM = 16  # connections that give way at once
# After the signal to end: the longest expiry counts for so much at most; the rest is the page's 0.7
# s, less what it takes to write the last answers. Until then submissions still come.
MOST_EXPIRY, TO_WRITE, STILL_COMING = 3 * SECOND, 4_000, 9_000
# Clients write submissions of one key so far apart, and so long after one that came on a new
# connection.
APART, APART_NEW, ARRIVAL = 600, 2_500, 100


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
            self.request_classes, self.tenants, self.most_memory, self.names
        )
        self.end = NEVER  # when the last answer goes, once the program is told to end
        self.door: Any = None  # where clients come in, in a program that serves
        self.last_call = NEVER  # when the clients were shown the end
        self.client_connections: dict[ClientConnection, None] = {}
        self.most_callers = platform_config.max_sockets // 2  # a third is the usual ones'
        self.keys: dict[
            int, tuple[int, int, bool]
        ] = {}  # when one came, kept back how long, on a new link
        self.unadmitted: dict[
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
                if client_connection.idle()
            ),
            key=lambda each: (
                not each.link.is_lingering,
                len(each.link.machine.inward) > 0,
                each.link.machine.complete_frame_count > 0,
                each.link.last_read_at,
            ),
        )
        for client_connection in quiet[:ROOM]:
            if client_connection.link.is_lingering:
                # A connection that lingers for less ends by itself in a moment.
                if client_connection.link.linger_ticks > IN_TRANSIT_TICKS:
                    client_connection.link.stop_lingering()
            elif client_connection.link.close_if_input_read("room for others"):
                self.counters["gave way"] += 1
        return bool(quiet)

    def accepted(self, sock: Any) -> None:
        client_connection = ClientConnection(self, sock)
        self.client_connections[client_connection] = None
        self.ledger.record_connection_opened(Side.CLIENT)
        if self.flows is not None:
            self.flows.up(client_connection.link, Side.CLIENT)
        self.event_loop.spawn(client_connection.link.run)
        if self.end != NEVER:
            client_connection.link.send(client_wire.leaving())

    def leave(self) -> None:
        """The program is to end: no new submissions are asked for, and all that is open ends in time."""
        if self.end != NEVER:
            return
        longest = max(
            request_class.time_to_deadline for request_class in self.settings.request_classes
        )
        self.end = self.now + min(longest, MOST_EXPIRY) + TO_WRITE
        requests = [
            request
            for client_connection in self.client_connections
            for request in client_connection.open.values()
        ]
        self.log(f"leaving by {self.end}, {len(requests)} open")
        for client_connection in [*self.client_connections]:
            client_connection.link.send(client_wire.leaving())
        for request in requests:
            self.event_loop.call_later(self.end - self.now, self.gateway.on_deadline_near, request)
        self.event_loop.call_later(STILL_COMING, self.gone)

    def gone(self) -> None:
        """End as soon as nothing is owed and all is written, or when it must be."""
        must, step = self.now >= self.end + TO_WRITE // 4, 100
        if self.last_call != NEVER:
            if not self.client_connections or self.now >= self.last_call + IN_TRANSIT_TICKS:
                self.event_loop.stopped = True
                return
            step = 20
        # Danger: what has come and lies unread is taken all the same, be it at the door.
        elif must or not any(self.owed(each) for each in self.client_connections):
            if self.door is None or not self.door.shut() or must:
                # Danger: a process that ends over unread bytes resets its connections, and takes
                # the last answers along. So each client is shown the end, and what had crossed it
                # is read and dropped for a moment.
                self.last_call = self.now
                for each in [*self.client_connections]:
                    if not (
                        each.link.close_if_input_read("the program ends")
                        or must
                        or each.link.close_reason
                    ):
                        self.last_call = NEVER  # something came just now
        self.event_loop.call_later(step, self.gone)

    def owed(self, client_connection: ClientConnection) -> bool:
        """Is anything still due to this client, or on its way from it?"""
        link = client_connection.link
        return (
            link.fd >= 0
            and not link.is_lingering
            and bool(
                client_connection.open
                or client_connection.waiting
                or len(link.machine.outward)
                or unread(link.sock)
                or client_connection.half_told()
            )
        )

    def requested(
        self, client_connection: ClientConnection, stream: int, fields: dict[str, str], body: bytes
    ) -> str:
        """Take a request; what is wrong with the connection as a whole, or an empty string."""
        self.forget()
        said = self.field_reader.read(fields, body)
        if isinstance(said, UnusableField):
            return client_connection.unreadable(stream, f"{said.name}: unusable")
        order = ClientRequest(
            client_connection, stream, said.name, said.label, body, self.rows[said.request_class]
        )
        if not self._has_room_for(client_connection, order):
            return self._turn_away(client_connection, order)
        request = Request(
            order,
            said.request_class,
            said.tenant,
            tables_of(body),
            self.now,
            self._time_left(said, stream),
            int(said.work_ms * TICKS_PER_MS),
            float(said.memory_mb),
            said.order_key,
        )
        self._open(client_connection, request)
        return ""

    def _has_room_for(self, client_connection: ClientConnection, order: ClientRequest) -> bool:
        return (
            len(client_connection.open) < MOST_OPEN
            and len(self.names) < self.settings.max_open_requests
            and self.statements.reserve(order.size)
        )

    def _turn_away(self, client_connection: ClientConnection, order: ClientRequest) -> str:
        """Reject what there is no room for; too much of it on one connection ends that."""
        self.counters["overfull"] += 1
        client_connection.faults += len(client_connection.open) >= MOST_OPEN
        self.ledger.record_rejected(order.row)
        client_connection.answer(order.stream, REFUSED, [])
        return "" if client_connection.faults <= MOST_FAULTS else "too many open at once"

    def _time_left(self, said: RequestFields, stream: int) -> int:
        """Return the ticks until the client gives up, by its own clock.

        With a full processor the request has waited unread, and its client counts that.
        """
        time_left = min(int(said.time_to_deadline_ms * TICKS_PER_MS), self.end - self.now)
        return max(time_left - self.held_back(said.order_key, stream == 1) - self.lag, 1)

    def _open(self, client_connection: ClientConnection, request: Request) -> None:
        """Enter a request where it is looked for, and tell the gateway at the end of this turn."""
        order = request.host_reference
        if self.recovery is not None and order.label:
            self.recovery.restrict_retry(request, order.label)
        client_connection.open[order.stream] = self.names[order.name] = request
        self.ledger.record_accepted(order)
        if request.request_class.ordered and request.order_key:
            self.unadmitted.setdefault(request.order_key, deque()).append(request)
        client_connection.fresh.append(request)
        if len(client_connection.fresh) == 1:
            self.event_loop.end_of_turn_callbacks.append(client_connection.admit)

    def let_before(self, request: Request) -> None:
        """Those of its key that were read before, on other connections, are told first. Danger: one that waits for what
        lies behind it on its connection would be overtaken by a later one of its key on another.
        """
        line = self.unadmitted.get(request.order_key)
        while line and request in line:
            first = line[0]
            if first is not request:
                first.host_reference.client_connection.admit(0)
            if line and line[0] is first:
                line.popleft()
        if line is not None and not line:
            self.unadmitted.pop(request.order_key, None)

    def held_back(self, key: int, new: bool) -> int:
        """How long a client may have kept back a submission after its stamp, to keep those of a key apart.

        Danger: its patience counts from the stamp, so the last moment would come after its expiry.
        """
        if not key:
            return 0
        came, held, was_new = self.keys.pop(key, (-SECOND, 0, False))
        gap = self.now - came
        held = held + APART if gap < APART + ARRIVAL else 0
        if was_new and gap < APART_NEW + ARRIVAL:
            held = max(held, APART_NEW)
        self.keys[key] = self.now, held, new
        while self.now - next(iter(self.keys.values()))[0] > APART_NEW + ARRIVAL:
            del self.keys[next(iter(self.keys))]
        return held
