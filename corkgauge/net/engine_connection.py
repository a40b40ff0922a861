"""One connection to an engine: the attempts that it carries, and the signs of life that it gives.

Owns the connection's life, how far each of its attempts has come, and what may still come under the
id of one that is over. It decides nothing about where a request goes, and takes nothing that is
spoilt, a copy or late for an answer.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from corkgauge.accounting.counter_names import Side
from corkgauge.eventloop.connection import NEVER, StreamConnection
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.engine_protocol import EngineProtocol, command
from corkgauge.net.in_flight import InFlightAttempt
from corkgauge.policy.records import AttemptOutcome

if TYPE_CHECKING:
    from corkgauge.net.engine_pool import EnginePool

MID_ANSWER = 3_000  # ticks that an engine may take over one answer, once it has begun
SIGN = 5_000  # ticks that a link with attempts out may be quiet until it is asked for a sign
NO_SIGN = 5_000  # ticks that the sign may take
LIVELY = SIGN + 4_000  # longest between two answers of a link that is asked for signs when quiet
PAST = 500  # ids of attempts that a link has done with, remembered against copies
NAME = re.compile(r"[0-9a-f]{16}").fullmatch
ENDS = {
    "WAIT": AttemptOutcome.ENGINE_FULL,
    "BROKE": AttemptOutcome.ERROR,
    "PAST": AttemptOutcome.ABANDONED,
}
WORDS = {"DONE", "MORE", "TELL", "FIT", *ENDS}


class EngineConnection:
    """One connection to an engine."""

    def __init__(self, engine_pool: EnginePool, sock: Any) -> None:
        self.engine_pool = engine_pool
        self.socket_host = engine_pool.socket_host
        self.open: dict[str, InFlightAttempt] = {}
        self.past: dict[str, None] = {}  # done with; an answer or a copy of one may still come
        self.retired = False  # takes nothing new, and ends with the last that is open
        self.pages = 0
        self.socket_host.links[self] = None
        self.socket_host.ledger.record_connection_opened(Side.ENGINE)
        self.alive = 0  # signs of life asked for
        self.asked = NEVER  # when, while none has come
        self.spoke = self.socket_host.now  # its last answer
        self.lively = self.socket_host.now  # since when none was long in coming
        self.link = StreamConnection(
            self.socket_host.event_loop,
            sock,
            EngineProtocol(self, self.socket_host.lines),
            self,
            MID_ANSWER,
        )
        if self.socket_host.flows is not None:
            engine = engine_pool.engine
            zone = str(self.socket_host.settings.zones[engine.zone])
            self.socket_host.flows.up(self.link, Side.ENGINE, engine.name, zone)

    def room_for(self, order: ClientRequest) -> bool:
        """Tell whether an attempt of this request may go here.

        Both attempts of a request carry its id. On one connection a late answer to the one would
        pass for an answer to the other.
        """
        return not (
            self.retired
            or self.link.close_reason
            or self.link.is_write_blocked
            or len(self.open) >= self.socket_host.settings.max_streams_per_connection
            or order.name in self.open
            or order.name in self.past
        )

    def take(self, in_flight_attempt: InFlightAttempt) -> bool:
        """Write an attempt at once; False, with nothing written, where there is no room.

        One that is put and not written would begin when its engine reads again, whoever has gone by
        then; so none is ever kept back here.
        """
        socket_host = self.socket_host
        settings = socket_host.settings
        order = in_flight_attempt.order
        request = in_flight_attempt.attempt.request
        fields = [
            f"sort={request.request_class.name}",
            f"patience={max((in_flight_attempt.until - socket_host.now) // 10, 1)}",
        ]
        if order.label:
            fields.append(f"op={order.label}")
        if settings.accepts_memory_grants and order.memory >= 1:
            fields.append(f"reserve={int(order.memory)}")
        if settings.accepts_priorities:
            fields.append(f"level={order.priority}")
        said = command("fetch", order.name, ",".join(fields), order.statement)
        if not self.link.send_now(said):
            return False
        in_flight_attempt.link = self
        in_flight_attempt.begin = self.link.bytes_queued - len(said)
        in_flight_attempt.end = self.link.bytes_queued
        self.open[order.name] = in_flight_attempt
        socket_host.counters["handed off"] += 1
        in_flight_attempt.told = socket_host.now
        if socket_host.patience:
            socket_host.event_loop.call_later(
                socket_host.patience, socket_host.untold, in_flight_attempt, self
            )
        return True

    def page(self) -> None:
        """Count a page of a result, which has come for the first time."""
        self.pages += 1
        self.engine_pool.row.pages += 1

    def say(self, *parts: str) -> None:
        """Send a command; the connection ends where there is no room for it."""
        if not self.link.send(command(*parts)):
            self.link.close("no room for a command")

    def answered(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        """Take an answer of the engine; what is wrong with it, or an empty string."""
        in_flight_attempt = self.open.get(name)
        now = self.socket_host.now
        self.asked = NEVER
        # An engine that stood still goes on where it was; what was due meanwhile is not lost.
        if now > self.spoke + LIVELY:
            self.lively = now
        self.spoke = now
        if word not in WORDS:
            return f"an answer {word[:8]!r}"
        self.socket_host.counters["answers " + word] += 1
        if in_flight_attempt is None:
            # A copy, a late answer or one to an id of nobody's is no fault of what else is open
            # here: it is dropped, and the connection lives on.
            self.socket_host.counters["answers dropped"] += word != "FIT"
            return "" if word == "FIT" or NAME(name) else "an answer to an id that makes no sense"
        wrong: str = self.socket_host.answered(in_flight_attempt, word, fields, body)
        return wrong

    def let_go(self, in_flight_attempt: InFlightAttempt) -> None:
        """Tell the engine that nothing more is wanted of an attempt.

        It would work on past the time that it was given, and hold the result until it hears.
        """
        self.say("done" if in_flight_attempt.answered else "abort", in_flight_attempt.order.name)
        self.forget(in_flight_attempt)

    def forget(self, in_flight_attempt: InFlightAttempt) -> None:
        """Drop an attempt, but remember its id.

        What still comes under it, a copy or a late answer, would pass for a later attempt's.
        """
        if self.open.pop(in_flight_attempt.order.name, None) is not None:
            self.past[in_flight_attempt.order.name] = None
            if len(self.past) > PAST:
                del self.past[next(iter(self.past))]
        if self.retired and not self.open:
            self.link.close("no longer needed")

    def on_output_drained(self) -> None:
        """All that was put has left: there is room for more."""
        self.engine_pool.fill()

    def watch(self) -> None:
        """Ask a quiet connection for a sign of life, and end one that gives none.

        The engine closes what is idle, and an attempt would meet that: so none is ever idle. One to
        an engine outside the subset ends before that, as in time all pairs of a large fleet would
        be connected.
        """
        if self.link.close_reason:
            return
        # A machine that vanished or was cut off says nothing, and its connections stay open. All
        # that is in flight there would wait for its deadline.
        now = self.socket_host.now
        quiet = now - self.link.last_read_at
        if now >= self.asked + NO_SIGN:
            self.link.close("no sign")
            return
        is_asked = self.asked != NEVER
        is_needed = self.open or self.engine_pool.engine.in_subset
        if quiet > self.idle and not is_needed and not is_asked:
            self.link.close("idle, and outside the working set")
            return
        patience = min(SIGN, self.idle) if self.open else self.idle
        if quiet > patience and not is_asked:
            self.alive += 1
            self.asked = now
            self.say("alive", f"alive-{self.alive}")
        self.socket_host.event_loop.call_later(min(self.idle // 2, SIGN // 2), self.watch)

    @property
    def idle(self) -> int:
        """Ticks of quiet after which it is asked for a sign; a third of what engines allow."""
        idle_ticks: int = self.socket_host.settings.idle_timeout_ticks // 3
        return idle_ticks

    def on_closed(self, why: str) -> None:
        """The connection has ended: all that was open on it failed."""
        engine_pool = self.engine_pool
        engine_pool.links.remove(self)
        self.socket_host.links.pop(self, None)
        self.socket_host.ledger.record_connection_closed(
            Side.ENGINE, self.link.bytes_received, self.link.bytes_sent, self.pages
        )
        if self.socket_host.flows is not None:
            self.socket_host.flows.over(self.link)
        in_flight_attempts, self.open = [*self.open.values()], {}
        if in_flight_attempts:
            self.socket_host.log(
                f"link {engine_pool.engine.host_reference} ended: {why}; {len(in_flight_attempts)} out"
            )
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.failed(in_flight_attempt, "broken")
        self.socket_host.close(engine_pool)
        engine_pool.fill()
