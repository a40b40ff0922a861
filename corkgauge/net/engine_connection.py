"""Handles one connection to an engine: the attempts on it, and its keepalives.

Owns the lifetime of the connection, the attempts that are open on the connection, and the names of
finished attempts that the engine may still answer. Does not choose the engine for a request. Drops
repeated and late answers, and closes the connection on a corrupted answer.
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

# For each part of an answer of so many bytes, and for the rest. An answer may be as long as a page.
ANSWER_TIMEOUT_TICKS = 3_000
MIN_ANSWER_PROGRESS_BYTES = 1_024
KEEPALIVE_AFTER_TICKS = 5_000  # without input on a connection with open attempts
KEEPALIVE_TIMEOUT_TICKS = 5_000  # from a keepalive to any answer
# An engine counts as paused if more time passes between two of its answers. With open attempts, a
# keepalive is sent KEEPALIVE_AFTER_TICKS after the last input, or up to 2,500 ticks later (one
# interval of `check_idle`); the other 1,500 ticks (150 ms) are for the answer to the keepalive.
MAX_ANSWER_GAP_TICKS = KEEPALIVE_AFTER_TICKS + 4_000
MAX_FINISHED_NAME_COUNT = 500  # remembered on a connection to recognize repeated answers
REQUEST_NAME = re.compile(r"[0-9a-f]{16}").fullmatch
OUTCOME_BY_ANSWER = {
    "WAIT": AttemptOutcome.ENGINE_FULL,
    "BROKE": AttemptOutcome.ERROR,
    "PAST": AttemptOutcome.ABANDONED,
}
ANSWER_WORDS = {"DONE", "MORE", "TELL", "FIT", *OUTCOME_BY_ANSWER}


class EngineConnection:
    """Carries attempts to an engine on one connection, and handles the engine's answers."""

    def __init__(self, engine_pool: EnginePool, sock: Any) -> None:
        self.engine_pool = engine_pool
        self.socket_host = engine_pool.socket_host
        self.open: dict[str, InFlightAttempt] = {}  # by name of the request
        # Names of finished attempts, which the engine may still answer, perhaps again.
        self.finished_names: dict[str, None] = {}
        # A retired connection gets no new attempts, and is closed after its last open attempt.
        self.is_retired = False
        self.pages = 0  # result pages received
        self.socket_host.links[self] = None
        self.socket_host.ledger.record_connection_opened(Side.ENGINE)
        self.keepalive_count = 0  # keepalives sent
        self.keepalive_sent_at = NEVER  # tick of a keepalive that is not answered yet
        self.last_answer_at = self.socket_host.now
        # Start of the current period in which no two successive answers are more than
        # MAX_ANSWER_GAP_TICKS apart.
        self.responsive_since = self.socket_host.now
        self.link = StreamConnection(
            self.socket_host.event_loop,
            sock,
            EngineProtocol(self, self.socket_host.server_ring_memory),
            self,
            ANSWER_TIMEOUT_TICKS,
            frame_progress_bytes=MIN_ANSWER_PROGRESS_BYTES,
        )
        if self.socket_host.flow_export is not None:
            engine = engine_pool.engine
            zone = str(self.socket_host.settings.zones[engine.zone])
            self.socket_host.flow_export.on_connection_opened(
                self.link, Side.ENGINE, engine.name, zone
            )

    def has_room_for(self, client_request: ClientRequest) -> bool:
        """Return whether an attempt of this request may be sent on this connection.

        All attempts of a request carry the request's name. If two of them used one connection, a
        late answer to the first would be taken for an answer to the second.
        """
        return not (
            self.is_retired
            or self.link.close_reason
            or self.link.is_write_blocked
            or len(self.open) >= self.socket_host.settings.max_streams_per_connection
            or client_request.name in self.open
            or client_request.name in self.finished_names
        )

    def send_attempt(self, in_flight_attempt: InFlightAttempt) -> bool:
        """Write an attempt at once; return False, with nothing sent, if the socket takes no byte.

        No attempt waits in the send buffer. A buffered attempt would start whenever the engine
        reads again, even if the client had disconnected meanwhile.
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
        if settings.accepts_memory_grants and client_request.memory_mb >= 1:
            fields.append(f"reserve={int(client_request.memory_mb)}")
        if settings.accepts_priorities:
            fields.append(f"level={client_request.priority}")
        fetch_command = command(
            "fetch", client_request.name, ",".join(fields), client_request.statement
        )
        if not self.link.send_now(fetch_command):
            return False
        in_flight_attempt.link = self
        in_flight_attempt.command_begin = self.link.bytes_queued - len(fetch_command)
        in_flight_attempt.command_end = self.link.bytes_queued
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
        """Count a page of a result that was received for the first time."""
        self.pages += 1
        self.engine_pool.row.pages += 1

    def send_command(self, *parts: str) -> None:
        """Send a command; close the connection if the send buffer has no room for it."""
        if not self.link.send(command(*parts)):
            self.link.close("send buffer has no room for a command")

    def on_answer(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        """Handle an answer of the engine; return why it is invalid, or an empty string."""
        in_flight_attempt = self.open.get(name)
        now = self.socket_host.now
        self.keepalive_sent_at = NEVER
        # An engine whose process was paused sends no reports during the pause, and afterwards
        # continues its attempts. The missing reports do not count as omitted, so the period for
        # which reports are required starts anew.
        if now > self.last_answer_at + MAX_ANSWER_GAP_TICKS:
            self.responsive_since = now
        self.last_answer_at = now
        if word not in ANSWER_WORDS:
            return f"unknown answer {word[:8]!r}"
        self.socket_host.counters["answers " + word] += 1
        if in_flight_attempt is None:
            # A repeated or late answer, or an answer with an unknown request id, says nothing about
            # the other attempts on this connection, so the answer is dropped and the connection
            # stays open. FIT answers a keepalive. An id that is not 16 hexadecimal digits is
            # invalid and closes the connection.
            self.socket_host.counters["answers dropped"] += word != "FIT"
            return (
                "" if word == "FIT" or REQUEST_NAME(name) else "answer with an invalid request id"
            )
        wrong: str = self.socket_host.on_engine_answer(in_flight_attempt, word, fields, body)
        return wrong

    def release_attempt(self, in_flight_attempt: InFlightAttempt) -> None:
        """Tell the engine to stop an attempt and to drop the result.

        Without this command the engine would keep working beyond the attempt's time limit, and keep
        the result.
        """
        self.send_command(
            "done" if in_flight_attempt.is_answered else "abort",
            in_flight_attempt.client_request.name,
        )
        self.forget_attempt(in_flight_attempt)

    def forget_attempt(self, in_flight_attempt: InFlightAttempt) -> None:
        """Drop an attempt, but remember its name.

        A repeated or late answer would otherwise be taken for an answer to a later attempt of the
        same request.
        """
        if self.open.pop(in_flight_attempt.client_request.name, None) is not None:
            self.finished_names[in_flight_attempt.client_request.name] = None
            if len(self.finished_names) > MAX_FINISHED_NAME_COUNT:
                del self.finished_names[next(iter(self.finished_names))]
        if self.is_retired and not self.open:
            self.link.close("no longer needed")

    def on_output_drained(self) -> None:
        """Send waiting attempts, as the send buffer is empty."""
        self.engine_pool.fill()

    def check_idle(self) -> None:
        """Send a keepalive if no input arrives, or close the connection; called again by timer.

        Engines close idle connections, and an attempt that is sent at that moment would be lost.
        Keepalives prevent that. An unused connection to an engine outside the subset is closed
        instead: otherwise all gateways of a large fleet would in time be connected to all engines.
        The connection is also closed if a keepalive is not answered.
        """
        if self.link.close_reason:
            return
        # The connections to a machine that crashed or lost its network stay open without input.
        # Without this check all attempts in flight on them would wait for their time limits.
        now = self.socket_host.now
        quiet_ticks = now - self.link.last_read_at
        is_overdue = now >= self.keepalive_sent_at + KEEPALIVE_TIMEOUT_TICKS
        if is_overdue and not self.link.has_unread_input():
            self.link.close("keepalive not answered")
            return
        awaits_keepalive = self.keepalive_sent_at != NEVER
        is_needed = self.open or self.engine_pool.engine.in_subset
        if quiet_ticks > self.max_idle_ticks and not is_needed and not awaits_keepalive:
            self.link.close("idle, and the engine is outside the subset")
            return
        quiet_limit = (
            min(KEEPALIVE_AFTER_TICKS, self.max_idle_ticks) if self.open else self.max_idle_ticks
        )
        if quiet_ticks > quiet_limit and not awaits_keepalive:
            self.keepalive_count += 1
            self.keepalive_sent_at = now
            self.send_command("alive", f"alive-{self.keepalive_count}")
        self.socket_host.event_loop.call_later(
            min(self.max_idle_ticks // 2, KEEPALIVE_AFTER_TICKS // 2), self.check_idle
        )

    @property
    def max_idle_ticks(self) -> int:
        """Ticks without input after which a connection is idle; a third of the engines' limit."""
        idle_ticks: int = self.socket_host.settings.idle_timeout_ticks // 3
        return idle_ticks

    def on_closed(self, reason: str) -> None:
        """Fail the attempts that were open on the connection when the connection closed."""
        engine_pool = self.engine_pool
        engine_pool.links.remove(self)
        self.socket_host.links.pop(self, None)
        self.socket_host.ledger.record_connection_closed(
            Side.ENGINE, self.link.bytes_received, self.link.bytes_sent, self.pages
        )
        if self.socket_host.flow_export is not None:
            self.socket_host.flow_export.on_connection_closed(self.link)
        in_flight_attempts, self.open = [*self.open.values()], {}
        if in_flight_attempts:
            self.socket_host.log(
                f"link {engine_pool.engine.host_reference} ended: {reason}; "
                f"{len(in_flight_attempts)} out"
            )
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.fail_attempt(in_flight_attempt, "broken")
        self.socket_host.remove_gone_engine(engine_pool)
        engine_pool.fill()
