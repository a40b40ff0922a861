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

ANSWER_TIMEOUT_TICKS = 3_000  # ticks that an engine may take over one answer, once it has begun
KEEPALIVE_AFTER_TICKS = (
    5_000  # ticks that a link with attempts out may be quiet until it is asked for a sign
)
KEEPALIVE_TIMEOUT_TICKS = 5_000  # ticks that the sign may take
MAX_ANSWER_GAP_TICKS = (
    KEEPALIVE_AFTER_TICKS + 4_000
)  # longest between two answers of a link that is asked for signs when quiet
MAX_FINISHED_NAME_COUNT = (
    500  # ids of attempts that a link has done with, remembered against copies
)
REQUEST_NAME = re.compile(r"[0-9a-f]{16}").fullmatch
OUTCOME_BY_ANSWER = {
    "WAIT": AttemptOutcome.ENGINE_FULL,
    "BROKE": AttemptOutcome.ERROR,
    "PAST": AttemptOutcome.ABANDONED,
}
ANSWER_WORDS = {"DONE", "MORE", "TELL", "FIT", *OUTCOME_BY_ANSWER}


class EngineConnection:
    """One connection to an engine."""

    def __init__(self, engine_pool: EnginePool, sock: Any) -> None:
        self.engine_pool = engine_pool
        self.socket_host = engine_pool.socket_host
        self.open: dict[str, InFlightAttempt] = {}
        self.finished_names: dict[
            str, None
        ] = {}  # done with; an answer or a copy of one may still come
        self.is_retired = False  # takes nothing new, and ends with the last that is open
        self.pages = 0
        self.socket_host.links[self] = None
        self.socket_host.ledger.record_connection_opened(Side.ENGINE)
        self.keepalive_count = 0  # signs of life asked for
        self.keepalive_sent_at = NEVER  # when, while none has come
        self.last_answer_at = self.socket_host.now  # its last answer
        self.responsive_since = self.socket_host.now  # since when none was long in coming
        self.link = StreamConnection(
            self.socket_host.event_loop,
            sock,
            EngineProtocol(self, self.socket_host.server_ring_memory),
            self,
            ANSWER_TIMEOUT_TICKS,
        )
        if self.socket_host.flows is not None:
            engine = engine_pool.engine
            zone = str(self.socket_host.settings.zones[engine.zone])
            self.socket_host.flows.up(self.link, Side.ENGINE, engine.name, zone)

    def has_room_for(self, client_request: ClientRequest) -> bool:
        """Tell whether an attempt of this request may go here.

        Both attempts of a request carry its id. On one connection a late answer to the one would
        pass for an answer to the other.
        """
        return not (
            self.is_retired
            or self.link.why
            or self.link.blocked
            or len(self.open) >= self.socket_host.settings.streams
            or client_request.name in self.open
            or client_request.name in self.finished_names
        )

    def send_attempt(self, in_flight_attempt: InFlightAttempt) -> bool:
        """Write an attempt at once; False, with nothing written, where there is no room.

        One that is put and not written would begin when its engine reads again, whoever has gone by
        then; so none is ever kept back here.
        """
        socket_host = self.socket_host
        settings = socket_host.settings
        client_request = in_flight_attempt.client_request
        request = in_flight_attempt.attempt.request
        fields = [
            f"sort={request.request_class.name}",
            f"patience={max((in_flight_attempt.deadline - socket_host.now) // 10, 1)}",
        ]
        if client_request.idempotency_key:
            fields.append(f"op={client_request.idempotency_key}")
        if settings.grants and client_request.memory_mb >= 1:
            fields.append(f"reserve={int(client_request.memory_mb)}")
        if settings.priorities:
            fields.append(f"level={client_request.priority}")
        fetch_command = command(
            "fetch", client_request.name, ",".join(fields), client_request.statement
        )
        if not self.link.send_now(fetch_command):
            return False
        in_flight_attempt.link = self
        in_flight_attempt.command_begin = self.link.put - len(fetch_command)
        in_flight_attempt.command_end = self.link.put
        self.open[client_request.name] = in_flight_attempt
        socket_host.counters["handed off"] += 1
        in_flight_attempt.last_report_at = socket_host.now
        if socket_host.report_timeout_ticks:
            socket_host.event_loop.call_later(
                socket_host.report_timeout_ticks,
                socket_host.check_attempt_reports,
                in_flight_attempt,
                self,
            )
        return True

    def count_page(self) -> None:
        """Count a page of a result, which has come for the first time."""
        self.pages += 1
        self.engine_pool.row.pages += 1

    def send_command(self, *parts: str) -> None:
        """Send a command; the connection ends where there is no room for it."""
        if not self.link.send(command(*parts)):
            self.link.end("no room for a command")

    def on_answer(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        """Take an answer of the engine; what is wrong with it, or an empty string."""
        in_flight_attempt = self.open.get(name)
        now = self.socket_host.now
        self.keepalive_sent_at = NEVER
        # An engine that stood still goes on where it was; what was due meanwhile is not lost.
        if now > self.last_answer_at + MAX_ANSWER_GAP_TICKS:
            self.responsive_since = now
        self.last_answer_at = now
        if word not in ANSWER_WORDS:
            return f"an answer {word[:8]!r}"
        self.socket_host.counters["answers " + word] += 1
        if in_flight_attempt is None:
            # A copy, a late answer or one to an id of nobody's is no fault of what else is open
            # here: it is dropped, and the connection lives on.
            self.socket_host.counters["answers dropped"] += word != "FIT"
            return (
                ""
                if word == "FIT" or REQUEST_NAME(name)
                else "an answer to an id that makes no sense"
            )
        wrong: str = self.socket_host.on_engine_answer(in_flight_attempt, word, fields, body)
        return wrong

    def release_attempt(self, in_flight_attempt: InFlightAttempt) -> None:
        """Tell the engine that nothing more is wanted of an attempt.

        It would work on past the time that it was given, and hold the result until it hears.
        """
        self.send_command(
            "done" if in_flight_attempt.is_answered else "abort",
            in_flight_attempt.client_request.name,
        )
        self.forget_attempt(in_flight_attempt)

    def forget_attempt(self, in_flight_attempt: InFlightAttempt) -> None:
        """Drop an attempt, but remember its id.

        What still comes under it, a copy or a late answer, would pass for a later attempt's.
        """
        if self.open.pop(in_flight_attempt.client_request.name, None) is not None:
            self.finished_names[in_flight_attempt.client_request.name] = None
            if len(self.finished_names) > MAX_FINISHED_NAME_COUNT:
                del self.finished_names[next(iter(self.finished_names))]
        if self.is_retired and not self.open:
            self.link.end("no longer needed")

    def drained(self) -> None:
        """All that was put has left: there is room for more."""
        self.engine_pool.fill()

    def check_idle(self) -> None:
        """Ask a quiet connection for a sign of life, and end one that gives none.

        The engine closes what is idle, and an attempt would meet that: so none is ever idle. One to
        an engine outside the subset ends before that, as in time all pairs of a large fleet would
        be connected.
        """
        if self.link.why:
            return
        # A machine that vanished or was cut off says nothing, and its connections stay open. All
        # that is in flight there would wait for its deadline.
        now = self.socket_host.now
        quiet = now - self.link.heard
        if now >= self.keepalive_sent_at + KEEPALIVE_TIMEOUT_TICKS:
            self.link.end("no sign")
            return
        is_asked = self.keepalive_sent_at != NEVER
        is_needed = self.open or self.engine_pool.engine.in_subset
        if quiet > self.max_idle_ticks and not is_needed and not is_asked:
            self.link.end("idle, and outside the working set")
            return
        quiet_limit = (
            min(KEEPALIVE_AFTER_TICKS, self.max_idle_ticks) if self.open else self.max_idle_ticks
        )
        if quiet > quiet_limit and not is_asked:
            self.keepalive_count += 1
            self.keepalive_sent_at = now
            self.send_command("alive", f"alive-{self.keepalive_count}")
        self.socket_host.event_loop.call_later(
            min(self.max_idle_ticks // 2, KEEPALIVE_AFTER_TICKS // 2), self.check_idle
        )

    @property
    def max_idle_ticks(self) -> int:
        """Ticks of quiet after which it is asked for a sign; a third of what engines allow."""
        idle_ticks: int = self.socket_host.settings.idle_time // 3
        return idle_ticks

    def ended(self, why: str) -> None:
        """The connection has ended: all that was open on it failed."""
        engine_pool = self.engine_pool
        engine_pool.links.remove(self)
        self.socket_host.links.pop(self, None)
        self.socket_host.ledger.record_connection_closed(
            Side.ENGINE, self.link.got, self.link.sent, self.pages
        )
        if self.socket_host.flows is not None:
            self.socket_host.flows.over(self.link)
        in_flight_attempts, self.open = [*self.open.values()], {}
        if in_flight_attempts:
            self.socket_host.log(
                f"link {engine_pool.engine.host_reference} ended: {why}; {len(in_flight_attempts)} out"
            )
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.fail_attempt(in_flight_attempt, "broken")
        self.socket_host.remove_gone_engine(engine_pool)
        engine_pool.fill()
