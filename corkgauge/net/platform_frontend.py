"""The platform's frames as a front: who calls, what a frame asks for, the way out.

Owns the clients' connections, the reading of what they say into submissions, and the time at which the last
answer goes. Must never decide, and never let what a stranger says raise.
"""

import re
from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.counter_names import CLIENT
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.connection import CROSSING, NEVER
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
from corkgauge.net.engine_connection import NAME
from corkgauge.net.host import SocketHost, amount
from corkgauge.net.table_group import tables_of
from corkgauge.policy.records import Repeatability, Request

ROOM = 16  # connections that give way at once
HEAVIEST = 3.6e6  # milliseconds of work that any submission may claim
# After the signal to end: the longest expiry counts for so much at most; the rest is the page's 0.7 s, less
# what it takes to write the last answers. Until then submissions still come.
MOST_EXPIRY, TO_WRITE, STILL_COMING = 3 * SECOND, 4_000, 9_000
# Clients write submissions of one key so far apart, and so long after one that came on a new connection.
APART, APART_NEW, ARRIVAL = 600, 2_500, 100
PLAIN = re.compile(r"[!-+\-.-<>-~]{1,128}").fullmatch
KEY = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch
BLANK = re.compile(rb"\s*+").fullmatch


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
        never asked for anything give way first, then those that have been quiet longest, and last those that have told
        a half of something."""
        quiet = sorted(
            (
                client_connection
                for client_connection in self.client_connections
                if client_connection.idle()
            ),
            key=lambda each: (
                not each.link.parting,
                len(each.link.machine.inward) > 0,
                each.link.machine.whole > 0,
                each.link.heard,
            ),
        )
        for client_connection in quiet[:ROOM]:
            if client_connection.link.parting:
                if client_connection.link.farewell > CROSSING:  # else it ends by itself in a moment
                    client_connection.link.cut()
            elif client_connection.link.give_way("room for others"):
                self.counters["gave way"] += 1
        return bool(quiet)

    def accepted(self, sock: Any) -> None:
        client_connection = ClientConnection(self, sock)
        self.client_connections[client_connection] = None
        self.ledger.connection_up(CLIENT)
        if self.flows is not None:
            self.flows.up(client_connection.link, CLIENT)
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
            if not self.client_connections or self.now >= self.last_call + CROSSING:
                self.event_loop.stopped = True
                return
            step = 20
        # Danger: what has come and lies unread is taken all the same, be it at the door.
        elif must or not any(self.owed(each) for each in self.client_connections):
            if self.door is None or not self.door.shut() or must:
                # Danger: a process that ends over unread bytes resets its connections, and takes the last answers
                # along. So each client is shown the end, and what had crossed it is read and dropped for a moment.
                self.last_call = self.now
                for each in [*self.client_connections]:
                    if not (each.link.give_way("the program ends") or must or each.link.why):
                        self.last_call = NEVER  # something came just now
        self.event_loop.call_later(step, self.gone)

    def owed(self, client_connection: ClientConnection) -> bool:
        """Is anything still due to this client, or on its way from it?"""
        link = client_connection.link
        return (
            link.fd >= 0
            and not link.parting
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
        # Danger: what it says is a stranger's; nothing of it may raise.
        self.forget()
        request_class = self.request_classes.get(fields.get("route", ""))
        tenant = self.tenants.get(fields.get("customer", ""))
        life, work, memory = (
            amount(fields.get(name) or "0") for name in ("patience", "weight", "est_mb")
        )
        name, key, nonce = (
            fields.get("trace", ""),
            fields.get("entity") or "0",
            fields.get("nonce", ""),
        )
        # Danger: an engine closes on what it cannot use, with all that others have open there. A figure that
        # is named must be one; an id names one submission; nobody waits much longer than its offering lets it
        # (a little longer is no fault: a good client's clock and ours differ, and it adds its own way to us).
        wrong = (
            "route"
            if request_class is None
            else "customer"
            if tenant is None and self.tenants
            else "patience"
            if not life or life * 10 > 2 * request_class.time_to_deadline
            else "weight"
            if work is None or work > HEAVIEST or fields.get("weight") and not work
            else "est_mb"
            if memory is None or memory > self.most_memory
            else "entity"
            if not KEY(key)
            else "trace"
            if not NAME(name) or name in self.names
            else "nonce"
            if not plain(
                nonce or ("" if request_class.repeatability == Repeatability.KEYED else "-")
            )
            else "statement"
            if not text(body)
            else ""
        )
        if wrong:
            return client_connection.unreadable(stream, f"{wrong}: unusable")
        key, label = (
            int(key, 16),
            nonce if request_class.repeatability == Repeatability.KEYED else "",
        )
        order = ClientRequest(
            client_connection, stream, name, label, body, self.rows[request_class]
        )
        if (
            len(client_connection.open) >= MOST_OPEN
            or len(self.names) >= self.settings.open_cap
            or not self.statements.take(order.size)
        ):
            self.counters["overfull"] += 1
            client_connection.faults += len(client_connection.open) >= MOST_OPEN
            self.ledger.turned_away(self.rows[request_class])
            client_connection.answer(stream, REFUSED, [])
            return "" if client_connection.faults <= MOST_FAULTS else "too many open at once"
        life = min(int(life * 10), self.end - self.now)
        # Danger: with a full processor it has waited unread, and its client counts that.
        life = max(life - self.held_back(key, stream == 1) - self.lag, 1)
        request = Request(
            order,
            request_class,
            tenant or 0,
            tables_of(body),
            self.now,
            life,
            int(work * 10),
            float(memory),
            key,
        )
        if self.recovery is not None and label:
            self.recovery.restrict_retry(request, label)
        client_connection.open[stream] = self.names[name] = request
        self.ledger.taken(order)
        if request_class.ordered and key:
            self.unadmitted.setdefault(key, deque()).append(request)
        client_connection.fresh.append(request)
        if len(client_connection.fresh) == 1:
            self.event_loop.unsent.append(client_connection.admit)
        return ""

    def let_before(self, request: Request) -> None:
        """Those of its key that were read before, on other connections, are told first. Danger: one that waits for what
        lies behind it on its connection would be overtaken by a later one of its key on another."""
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


def text(statement: bytes) -> bool:
    """May it go on to an engine?

    >>> text(b"select 1"), text(b""), text(b" "), text(b"a" + bytes(1)), text(bytes([255]))
    (True, False, False, False, False)
    """
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return b"\0" not in statement and BLANK(statement) is None


def plain(text: str) -> bool:
    """May it stand in a command's fields unchanged?

    >>> plain("9b1f03aa"), plain(""), plain("a,b"), plain("a=b"), plain("a b"), plain("x" * 129)
    (True, False, False, False, False, False)
    """
    return PLAIN(text) is not None
