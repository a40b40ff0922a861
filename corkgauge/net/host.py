"""Implements the gateway's host protocol on sockets.

Owns the open requests, the attempts in flight, the engine pools, and the limits on memory and
descriptors. The host makes no policy decision: it notifies the gateway of events and carries out
the gateway's calls. The host never calls the gateway from within one of the gateway's own calls.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.counter_names import (
    REMOVED_ENGINES_ROW,
    classify_attempt,
    find_end_reason,
)
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.net.amounts import parse_amount, parse_load
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.client_protocol import FAILED, REFUSED, SERVED
from corkgauge.net.edge_counters import EdgeCounters
from corkgauge.net.endpoint_list import EndpointList
from corkgauge.net.engine_connection import OUTCOME_BY_ANSWER, EngineConnection
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.in_flight import InFlightAttempt, outcome_of
from corkgauge.net.live_records import LiveRecords
from corkgauge.net.recent_names import RecentNames
from corkgauge.net.results import MAX_RESULT_BYTES, ResultPager
from corkgauge.policy.records import (
    Attempt,
    AttemptOutcome,
    EngineState,
    Repeatability,
    Request,
)
from corkgauge.policy.retries import possibly_executed_attempts

# Progress reports on an attempt that an engine may omit before the attempt counts as lost.
MAX_MISSED_REPORT_COUNT = 3
CLIENT_OUTPUT_DIVISOR = 4  # one part in so many of the memory for client buffers is for output
MIN_HELD_BYTES = 4 * 2**20  # least memory for buffers and records together
AUDIT_PAUSE_TICKS = SECOND  # pause between two passes over the ledger
AUDIT_SLICE_PAUSE_TICKS = 20  # pause between two slices of a pass
PROGRESS_KINDS = {"advance": 1, "disk": 2, "stall": 3}


class UnstartedHost:
    """Stands in for the host where a configuration is checked and not used."""

    now = lag = 0

    def call_later(self, *_: Any) -> None:
        """Ignore the request for a callback."""


def build_settings(platform_config: PlatformConfig, host: Any) -> Settings:
    """Return a configuration's settings; raise `ConfigurationError` if a value is invalid."""
    try:
        return Settings(platform_config.settings, host, platform_config.seed, platform_config.name)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise ConfigurationError(f"settings: {problem}") from None


class SocketHost:
    """Implements the host protocol on sockets.

    `used_bytes` is the memory that the process uses at its start.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        platform_config: PlatformConfig,
        log: Callable[[str], None],
        used_bytes: int = 0,
    ) -> None:
        self.event_loop = event_loop
        self.log = log
        self.counters = EdgeCounters()
        # Half of the memory that the process leaves unused at its start is for buffers, in four
        # equal parts; the rest is for records. With a small limit the process itself uses most of
        # the memory, so the size at the start has to be subtracted first.
        part_bytes = max(platform_config.memory_bytes - used_bytes, MIN_HELD_BYTES) // 2 // 4
        # Buffers of client connections. Clients that do not read their answers must not take the
        # memory for requests. An answer is sent without this memory too, in more system calls.
        client_output_bytes = part_bytes // CLIENT_OUTPUT_DIVISOR
        self.client_input_memory = MemoryBudget(part_bytes - client_output_bytes)
        self.client_output_memory = MemoryBudget(client_output_bytes)
        # Ring buffers of connections to engines and to discovery.
        self.server_ring_memory = MemoryBudget(part_bytes)
        self.result_memory = MemoryBudget(part_bytes)
        self.statement_memory = MemoryBudget(part_bytes)
        # Clients get half of the descriptors at most and engines a third; the rest stays free for
        # discovery and for new connections.
        self.max_engine_links = platform_config.max_sockets // 3
        self.dials_in_progress = 0  # connections to engines that are being opened
        self.extended_dial_count = 0  # of these, those that may take longer than the dial timeout
        self.open_requests: dict[str, Request] = {}  # by name
        self.recent_names = RecentNames()
        self.engine_pools: dict[str, EnginePool] = {}  # by the engine's name
        # The next four are indexes, so that no request, timer or partial endpoint list has to
        # iterate over all engines.
        self.links: dict[EngineConnection, None] = {}  # open connections to engines
        self.closing_pools: dict[EnginePool, None] = {}  # of engines that drain or are gone
        # Pools with attempts that wait for a connection, and pools that should dial ahead of need.
        self.pools_with_waiting: dict[EnginePool, None] = {}
        self.pools_lacking_spare: dict[EnginePool, None] = {}
        self.in_flight_attempts: dict[Attempt, InFlightAttempt] = {}
        self.pager = ResultPager(self)
        self.finished_requests: deque[Request] = deque()
        self.settings = build_settings(platform_config, self)
        if (
            platform_config.settings.get("myNumber") is None
            and self.settings.gateway.options.gateway_count > 1
        ):
            number = self.settings.gateway.options.gateway_number
            log(
                f"settings: myNumber is missing; using gateway number {number}, derived from the "
                "gateway's name, so engines are spread less evenly over the gateways' subsets; "
                "set a different myNumber for each gateway"
            )
        self.gateway = self.settings.gateway
        self.max_request_memory_mb = max(self.settings.memory_mb_by_kind, default=1e6)
        self.report_timeout_ticks = MAX_MISSED_REPORT_COUNT * self.settings.progress_interval_ticks
        self.request_classes = {each.name: each for each in self.settings.request_classes}
        self.discrepancies = Discrepancies(lambda: event_loop.now, log)
        self.ledger = RequestLedger(
            self.request_classes,
            lambda: event_loop.now,
            self.settings.retry_budget,
            self.on_ledger_mistake,
        )
        self.rows = {
            each: self.ledger.request_classes[each.name] for each in self.settings.request_classes
        }
        # Finished requests whose answer is not completely written yet.
        self.answering: dict[ClientRequest, None] = {}
        # Subsystems, None unless the operator file enables them.
        self.recovery: Any = None
        self.flow_export: Any = None
        self.maintenance: Any = None
        self.latency_sketches: Any = None  # part of the accounting subsystem
        # HTTP handlers of other subsystems on the accounting listener, by method and path.
        self.routes: dict[tuple[bytes, bytes], Callable[[bytes], Any]] = {}
        # Cancelled attempts whose outcome the gateway has not been notified of yet.
        self.cancelled_attempts: dict[Attempt, InFlightAttempt] = {}
        self.records = LiveRecords(self)
        self.auditor = LedgerAuditor(self.ledger, self.records, self.discrepancies)
        self.tenants = {name: n for n, name in enumerate(self.settings.tenants)}
        self.endpoint_list = EndpointList(self, platform_config.known_event_number)
        for event in platform_config.known_events:
            if wrong := self.endpoint_list.apply(event):
                self.log(f"known: {wrong}")

    def remove_gone_engine(self, engine_pool: "EnginePool") -> None:
        """Remove the pool of an engine that is gone, once all its connections are closed.

        Does nothing if another pool has been registered under the same engine id meanwhile.
        """
        engine_id = engine_pool.engine.host_reference
        if (
            engine_pool.engine.state == EngineState.GONE
            and not engine_pool.links
            and self.engine_pools.get(engine_id) is engine_pool
        ):
            del self.engine_pools[engine_id]
            for pools in self.closing_pools, self.pools_with_waiting, self.pools_lacking_spare:
                pools.pop(engine_pool, None)
            self.ledger.record_engine_removed(engine_pool.row)
            if self.latency_sketches is not None:
                self.latency_sketches.merge_engine(engine_id, REMOVED_ENGINES_ROW)

    def max_links_per_engine(self) -> int:
        """Return how many connections the pool of each engine may have.

        The limit of the process is divided among the engines in the subset and those that drain or
        are gone, not among all engines of a long endpoint list. With fewer connections than its
        attempts need, a healthy engine would count as unreachable.
        """
        return max(
            2, self.max_engine_links // max(len(self.gateway.engines) + len(self.closing_pools), 1)
        )

    def make_room_for_link(self, is_needed: bool) -> bool:
        """Return whether another connection to an engine may be opened now.

        Two connections to each of many engines would use up the descriptors that discovery and the
        clients need. At the limit the method returns False and, if a connection `is_needed`, closes
        the connection that has been idle longest, those to engines outside the subset first. A
        later call succeeds once the closed connection has released its descriptor.
        """
        if len(self.links) + self.dials_in_progress < self.max_engine_links:
            return True
        idle = (
            [link for link in self.links if not (link.open or link.link.close_reason)]
            if is_needed
            else []
        )
        if idle:
            self.counters["links gave way"] += 1
            longest_idle = min(
                idle,
                key=lambda each: (
                    each.engine_pool.engine.in_subset,
                    each.link.last_written_at,
                    each.engine_pool.number,
                ),
            )
            longest_idle.link.close("idle, closed to free a descriptor for another engine")
        return False

    def make_room(self) -> bool:
        """Close idle client connections; return whether there were any.

        This class has no client connections; a front end overrides the method.
        """
        return False

    # The host protocol; `policy.host.Host` documents each method.

    @property
    def now(self) -> int:
        """Ticks of the event loop's clock."""
        return self.event_loop.now

    @property
    def lag(self) -> int:
        """Ticks by which events are currently handled late."""
        return self.event_loop.lag

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Queue an attempt for a connection; its answer is due within `timeout` ticks."""
        engine_pool = self.engine_pools[attempt.engine.host_reference]
        in_flight_attempt = self.in_flight_attempts[attempt] = InFlightAttempt(
            attempt, self.now + timeout, engine_pool
        )
        has_other_in_flight = any(each.is_in_flight for each in attempt.request.attempts[:-1])
        self.ledger.record_attempt_sent(
            in_flight_attempt, classify_attempt(attempt.number, has_other_in_flight)
        )
        request_class = attempt.request.request_class
        if self.recovery is not None and (
            request_class.repeatability == Repeatability.KEYED or request_class.ordered
        ):
            in_flight_attempt.attempt_log_serial = self.recovery.on_attempt_sending(
                attempt, in_flight_attempt.client_request.idempotency_key
            )
        if self.latency_sketches is not None and not attempt.number:
            self.latency_sketches.record_first_attempt(
                attempt.request.request_class.name, self.now - attempt.request.accepted_at
            )
        self.event_loop.call_later(timeout, self.on_attempt_timeout, in_flight_attempt)
        engine_pool.enqueue(in_flight_attempt)
        if self.settings.dial_timeout_ticks < timeout:
            self.event_loop.call_later(
                self.settings.dial_timeout_ticks, self.on_connection_wait_timeout, in_flight_attempt
            )

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Set memory and priority; a new priority is sent to engines that run an attempt."""
        client_request = request.host_reference
        if priority != client_request.priority and self.settings.accepts_priorities:
            for attempt in request.attempts:
                in_flight_attempt = self.in_flight_attempts.get(attempt)
                if (
                    in_flight_attempt
                    and in_flight_attempt.link
                    and not in_flight_attempt.is_answered
                ):
                    in_flight_attempt.link.send_command(
                        "renice", client_request.name, str(priority)
                    )
        client_request.memory_mb = memory
        client_request.priority = priority

    def reject(self, request: Request, retry_after: int) -> None:
        """Answer that a retry would do no harm; client frames have no field for `retry_after`."""
        self.send_final_answer(request, REFUSED, [])

    def fail(self, request: Request) -> None:
        """Answer that the request failed."""
        self.send_final_answer(request, FAILED, [])

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; the gateway is notified of its outcome in a later turn."""
        in_flight_attempt = self.in_flight_attempts.get(attempt)
        if in_flight_attempt is None:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.send_command("abort", in_flight_attempt.client_request.name)
            in_flight_attempt.link.forget_attempt(in_flight_attempt)
        self.cancelled_attempts[attempt] = self.in_flight_attempts.pop(attempt)
        outcome = AttemptOutcome.CANCELLED if in_flight_attempt.link else AttemptOutcome.ABANDONED
        self.event_loop.call_later(0, self.notify_attempt_finished, in_flight_attempt, outcome)

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call back once `delay` ticks have passed, never at once."""
        self.event_loop.call_later(delay, callback, *arguments)

    def reason_not_to_start(self, in_flight_attempt: InFlightAttempt) -> str:
        """Return why an attempt must not be sent now, or an empty string.

        The reason is a `why` of `fail_attempt`; that method does nothing if the attempt is no
        longer in flight.

        Called directly before the first byte is written. Between the gateway's decision and the
        write there may be a dial or a long turn of the event loop. Meanwhile the client may have
        disconnected or cancelled, the engine may have begun to drain or restarted, and the time
        limit of the attempt or of retries may have passed.
        """
        self.event_loop.update_now()
        if not in_flight_attempt.attempt.request.is_finished:
            in_flight_attempt.client_request.client_connection.is_client_connected()
        if (
            in_flight_attempt.attempt not in self.in_flight_attempts
            or self.now >= in_flight_attempt.deadline
        ):
            return "late"
        return "" if self.gateway.can_start_attempt(in_flight_attempt.attempt) else "withdrawn"

    # Clients.

    def send_final_answer(
        self, request: Request, code: int, body: list[bytes], reason: int = -1
    ) -> None:
        """Send a request's one final answer.

        A negative `reason` means that the reason for the ledger is derived from `code`.
        """
        client_request = request.host_reference
        if client_request.client_connection.open.pop(client_request.stream, None) is None:
            return
        self.statement_memory.release(client_request.budgeted_bytes)
        self.open_requests.pop(client_request.name, None)
        if request.request_class.repeatability == Repeatability.NON_IDEMPOTENT:
            self._remember_if_executed(request)
        self.finished_requests.append(request)
        if reason < 0:
            reason = find_end_reason(
                code, request, self.now, self.gateway.options.deadline_margin_ticks
            )
        client_request.end_reason = reason
        if self.latency_sketches is not None:
            self.latency_sketches.record_answered(
                request.request_class.name, self.now - request.accepted_at
            )
        self.answering[client_request] = None
        deadline = request.accepted_at + request.time_to_deadline
        client_request.client_connection.send_answer(
            client_request.stream, code, body, deadline, client_request
        )

    def on_answer_finished(self, client_request: ClientRequest) -> None:
        """Close the ledger record of a request whose answer has been written or dropped."""
        self.answering.pop(client_request, None)
        self.ledger.record_closed(client_request, client_request.end_reason)

    def release_finished_requests(self) -> None:
        """Break the reference cycles of finished requests that have no attempt in flight.

        A full garbage collection stops the process for over 100 ms, so automatic collection is off,
        and cycles have to be broken here. Must be called outside the gateway's own calls.
        """
        while self.finished_requests:
            request = self.finished_requests.popleft()
            if not any(attempt.is_in_flight for attempt in request.attempts):
                for attempt in request.attempts:
                    attempt.request = None
                request.host_reference.statement = b""

    def on_client_left(self, request: Request | None, reason: int) -> None:
        """End a request whose client has cancelled or disconnected."""
        if request is not None:
            self.ledger.record_closed(request.host_reference, reason)
            self.statement_memory.release(request.host_reference.budgeted_bytes)
            self.open_requests.pop(request.host_reference.name, None)
            if request in request.host_reference.client_connection.unsubmitted:
                request.is_finished = True  # never passed to the gateway
            else:
                self.gateway.on_client_left(request)
                for attempt in request.attempts:  # attempts without a connection are never sent
                    in_flight_attempt = self.in_flight_attempts.get(attempt)
                    if in_flight_attempt is not None and in_flight_attempt.link is None:
                        in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
                        self.fail_attempt(in_flight_attempt, "withdrawn")
            self._remember_if_executed(request)
            self.finished_requests.append(request)

    def _remember_if_executed(self, request: Request) -> None:
        """Accept no further request of this name, if an engine may have run the request."""
        if possibly_executed_attempts(request):
            self.recent_names.remember(request.host_reference.name, self.now)

    # Accounting.

    def audit(self) -> None:
        """Check the next slice of the ledger; a new pass begins a second after the last one."""
        is_pass_complete = self.auditor.step()
        pause_ticks = AUDIT_PAUSE_TICKS if is_pass_complete else AUDIT_SLICE_PAUSE_TICKS
        self.event_loop.call_later(pause_ticks, self.audit)

    def on_ledger_mistake(self, kind: str, row: Any, serial: int) -> None:
        """Record a discrepancy that the ledger noticed while recording an event."""
        self.discrepancies.record_mistake(
            kind, row.name, f"serial {serial}", self.ledger.find_last_events(row, serial)
        )

    # Attempts.

    def on_engine_answer(
        self, in_flight_attempt: InFlightAttempt, word: str, fields: dict[str, str], body: bytes
    ) -> str:
        """Handle an engine's answer; return why the answer is invalid, or an empty string."""
        attempt = in_flight_attempt.attempt
        in_flight_attempt.last_report_at = self.now
        if word == "TELL":
            kind = PROGRESS_KINDS.get(fields.get("n", ""), 0)
            value = parse_amount(fields.get("amount", "0"))
            self.gateway.on_attempt_progress(attempt, kind, float(value or 0))
            return ""
        in_flight_attempt.reported_load = parse_load(
            fields.get("l", ""), in_flight_attempt.reported_load
        )
        if word == "DONE":
            return self.pager.on_first_page(in_flight_attempt, fields, body)
        if word == "MORE":
            return self.pager.on_further_page(in_flight_attempt, fields, body)
        outcome = OUTCOME_BY_ANSWER.get(word)
        if outcome is None or (in_flight_attempt.is_answered and word != "BROKE"):
            return f"unexpected answer {word[:8]!r} to an attempt"
        in_flight_attempt.link.forget_attempt(in_flight_attempt)
        self.finish_attempt(in_flight_attempt, outcome)
        return ""

    def check_attempt_reports(
        self, in_flight_attempt: InFlightAttempt, link: EngineConnection
    ) -> None:
        """Fail an attempt that its engine no longer reports on; called again by timer.

        A lost answer would block the request, its slot and its order key until the deadline. An
        engine reports regularly on everything that runs. An attempt that the reports omit, while
        the engine still answers on the connection, has ended.
        """
        is_in_flight = in_flight_attempt.attempt in self.in_flight_attempts
        if not is_in_flight or in_flight_attempt.link is not link or in_flight_attempt.is_answered:
            return
        silence_ticks = self.now - max(in_flight_attempt.last_report_at, link.responsive_since)
        if (
            silence_ticks < self.report_timeout_ticks
            or link.last_answer_at < self.now - SECOND // 2
        ):
            pause_ticks = max(self.report_timeout_ticks - silence_ticks, SECOND // 10)
            self.event_loop.call_later(
                pause_ticks, self.check_attempt_reports, in_flight_attempt, link
            )
            return
        self.counters["untold"] += 1
        link.release_attempt(in_flight_attempt)
        self.fail_attempt(in_flight_attempt, "broken")

    def on_result_complete(self, in_flight_attempt: InFlightAttempt) -> str:
        """Send a complete result to the client, or drop the result of a finished request.

        Returns why the result is invalid, or an empty string.
        """
        request = in_flight_attempt.attempt.request
        if sum(len(each or b"") for each in in_flight_attempt.pages) > MAX_RESULT_BYTES:
            return "result is longer than the limit of 48,000 bytes"
        in_flight_attempt.link.release_attempt(in_flight_attempt)
        # The answer reserves memory for what its client does not read at once.
        self.pager.release_memory(in_flight_attempt)
        if not request.is_finished:
            self.send_final_answer(request, SERVED, in_flight_attempt.pages)
        self.finish_attempt(in_flight_attempt, AttemptOutcome.SUCCEEDED)
        return ""

    def finish_attempt(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        """Remove an attempt from those in flight and report its outcome."""
        self.in_flight_attempts.pop(in_flight_attempt.attempt, None)
        self.notify_attempt_finished(in_flight_attempt, outcome)

    def notify_attempt_finished(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        """Report an attempt's outcome to all subsystems, and to the gateway last."""
        attempt = in_flight_attempt.attempt
        self.pager.release_memory(in_flight_attempt)
        in_flight_attempt.pages = []
        reports_resources = self.settings.reports_usage and outcome == AttemptOutcome.SUCCEEDED
        self.cancelled_attempts.pop(attempt, None)
        if self.latency_sketches is not None and outcome == AttemptOutcome.SUCCEEDED:
            self.latency_sketches.record_succeeded(
                in_flight_attempt.engine_row.name, self.now - attempt.sent_at
            )
        self.ledger.record_attempt_finished(in_flight_attempt, outcome)
        if in_flight_attempt.attempt_log_serial:
            self.recovery.on_attempt_finished(in_flight_attempt.attempt_log_serial, outcome)
        if self.maintenance is not None:
            self.maintenance.on_attempt_finished(in_flight_attempt.engine_row.name, outcome)
        self.gateway.on_attempt_finished(
            attempt,
            outcome,
            self.now - attempt.sent_at,
            attempt.request.is_finished or outcome == AttemptOutcome.SUCCEEDED,
            in_flight_attempt.work_ticks if reports_resources else 0,
            in_flight_attempt.memory_needed_mb if reports_resources else 0.0,
            in_flight_attempt.reported_load,
        )
        if attempt.request.is_finished:
            self.finished_requests.append(attempt.request)
        self.release_finished_requests()
        self.pager.request_pages()

    def fail_attempt(self, in_flight_attempt: InFlightAttempt, why: str) -> None:
        """Fail an attempt that is in flight; `outcome_of` documents the values of `why`."""
        if in_flight_attempt.attempt in self.in_flight_attempts:
            self.finish_attempt(in_flight_attempt, outcome_of(in_flight_attempt.stage(), why))

    def on_connection_wait_timeout(self, in_flight_attempt: InFlightAttempt) -> None:
        """Fail an attempt that no connection had room for within the dial timeout.

        An attempt that waited for a resource of this process, or for the input of its client, says
        nothing about the engine.
        """
        is_in_flight = in_flight_attempt.attempt in self.in_flight_attempts
        if not is_in_flight or in_flight_attempt.link is not None:
            return
        engine_pool = in_flight_attempt.engine_pool
        engine_pool.waiting.remove(in_flight_attempt)
        is_our_delay = engine_pool.lacks_resource or in_flight_attempt.held_until > 0
        self.fail_attempt(in_flight_attempt, "withdrawn" if is_our_delay else "unreached")

    def on_attempt_timeout(self, in_flight_attempt: InFlightAttempt) -> None:
        """Fail an attempt whose time limit has passed."""
        if in_flight_attempt.attempt not in self.in_flight_attempts:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.release_attempt(in_flight_attempt)
        self.fail_attempt(in_flight_attempt, "late")

    # The endpoint list.

    @property
    def last_event(self) -> int:
        """The number of the last discovery event that was applied."""
        return self.endpoint_list.last_event

    def on_discovery_event(self, number: str, data: str) -> str:
        """Apply a discovery event; return why the event is invalid, or an empty string.

        `number`, the id of the server-sent event, is ignored: the JSON object `data` contains the
        number that counts.
        """
        return self.endpoint_list.on_event(data)
