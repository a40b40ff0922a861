"""The gateway's host on sockets.

Owns the open requests, the attempts in flight, the engine pools, and the bounds on memory and
descriptors. It decides nothing: it notifies the gateway of what happened and does what that says.
It never calls the gateway from within one of the gateway's own calls.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.counter_names import DEPARTED_ROW, reason_of_end, sort_of_attempt
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget
from corkgauge.net.amounts import parse_amount, parse_load
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.client_protocol import FAILED, REFUSED, SERVED
from corkgauge.net.edge_counters import EdgeCounters
from corkgauge.net.endpoint_list import EndpointList
from corkgauge.net.engine_connection import ENDS, EngineConnection
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.in_flight import InFlightAttempt, outcome_of
from corkgauge.net.live_records import LiveRecords
from corkgauge.net.results import MAX_RESULT_BYTES, ResultPager
from corkgauge.policy.records import (
    Attempt,
    AttemptOutcome,
    EngineState,
    Repeatability,
    Request,
)

MISSED_REPORTS = 3  # reports on an attempt that an engine may omit, until it counts as lost
MIN_HELD_BYTES = 4 * 2**20
AUDIT_TICKS = SECOND  # between two passes over the ledger
AUDIT_SLICE_TICKS = 20  # between two slices of a pass
NOTES = {"advance": 1, "disk": 2, "stall": 3}


class UnstartedHost:
    """Stands in for the host where settings are only checked."""

    now = lag = 0

    def call_later(self, *_: Any) -> None:
        """Nothing is ever called back."""


def stated_of(platform_config: PlatformConfig, host: Any) -> Settings:
    """Return what a configuration states; raises `ConfigurationError` where it makes no sense."""
    try:
        return Settings(platform_config.settings, host, platform_config.seed, platform_config.name)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise ConfigurationError(f"settings: {problem}") from None


class SocketHost:
    """The host protocol on sockets.

    `held` is the memory in bytes that the program holds at its start.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        platform_config: PlatformConfig,
        log: Callable[[str], None],
        held: int = 0,
    ) -> None:
        self.event_loop = event_loop
        self.log = log
        self.counters = EdgeCounters()
        # With little memory the program itself holds most of it. Half of what it had left at its
        # start may be held for others, in four equal parts. The rest is for records.
        part_bytes = max(platform_config.memory_bytes - held, MIN_HELD_BYTES) // 2 // 4
        self.rings = MemoryBudget(part_bytes)  # of client connections
        self.lines = MemoryBudget(part_bytes)  # of connections to engines and to discovery
        self.results = MemoryBudget(part_bytes)
        self.statements = MemoryBudget(part_bytes)
        # A half is the clients' at most, a third goes to engines, and the rest stays free for
        # discovery and what is new.
        self.links_most = platform_config.max_sockets // 3
        self.dials = 0  # under way
        self.names: dict[str, Request] = {}  # open requests
        self.engine_pools: dict[str, EnginePool] = {}
        # Kept so that no request, timer or change of the list costs what the whole list does.
        self.links: dict[EngineConnection, None] = {}  # that are up
        self.closing: dict[EnginePool, None] = {}  # engines that drain or are gone
        self.awaited: dict[EnginePool, None] = {}  # where something waits for a connection
        self.short: dict[EnginePool, None] = {}  # that lack a connection ahead of need
        self.in_flight_attempts: dict[Attempt, InFlightAttempt] = {}
        self.pager = ResultPager(self)
        self.ended: deque[Request] = deque()
        self.settings = stated_of(platform_config, self)
        if (
            platform_config.settings.get("myNumber") is None
            and self.settings.gateway.options.gateway_count > 1
        ):
            number = self.settings.gateway.options.gateway_number
            log(f"myNumber is not told: {number}, from the name; sets of engines are less even")
        self.gateway = self.settings.gateway
        self.most_memory = max(self.settings.memory_mb_by_kind, default=1e6)
        self.patience = MISSED_REPORTS * self.settings.progress_interval_ticks
        self.request_classes = {each.name: each for each in self.settings.request_classes}
        self.discrepancies = Discrepancies(lambda: event_loop.now, log)
        self.ledger = RequestLedger(
            self.request_classes,
            lambda: event_loop.now,
            self.settings.retry_budget,
            self.miscounted,
        )
        self.rows = {
            each: self.ledger.request_classes[each.name] for each in self.settings.request_classes
        }
        # Requests that have their end, and whose answer has not left whole.
        self.answering: dict[ClientRequest, None] = {}
        # Subsystems, where an operator file switches them on.
        self.recovery: Any = None  # recovery
        self.flows: Any = None  # flow export
        self.works: Any = None  # maintenance
        self.latency_sketches: Any = None  # of accounting
        # What the accounting listener answers for other subsystems, by method and path.
        self.routes: dict[tuple[bytes, bytes], Callable[[bytes], Any]] = {}
        # Attempts that were cancelled, of which the gateway has yet to be notified.
        self.called: dict[Attempt, InFlightAttempt] = {}
        self.records = LiveRecords(self)
        self.auditor = LedgerAuditor(self.ledger, self.records, self.discrepancies)
        self.tenants = {name: n for n, name in enumerate(self.settings.tenants)}
        self.endpoint_list = EndpointList(self, platform_config.known_event_number)
        for event in platform_config.known_events:
            if wrong := self.endpoint_list.apply(event):
                self.log(f"known: {wrong}")

    def close(self, engine_pool: "EnginePool") -> None:
        """Forget an engine that is gone, once nothing is left of it.

        Its id may be another's by then.
        """
        tag = engine_pool.engine.host_reference
        if (
            engine_pool.engine.state == EngineState.GONE
            and not engine_pool.links
            and self.engine_pools.get(tag) is engine_pool
        ):
            del self.engine_pools[tag]
            for kept in self.closing, self.awaited, self.short:
                kept.pop(engine_pool, None)
            self.ledger.record_engine_removed(engine_pool.row)
            if self.latency_sketches is not None:
                self.latency_sketches.merge_engine(tag, DEPARTED_ROW)

    def links_each(self) -> int:
        """Return the connections that each engine of the subset may have, and each that closes.

        With fewer connections than attempts fill, an engine that is well would count as
        unreachable. So connections are shared by those that use them, not by all that a long list
        names.
        """
        return max(2, self.links_most // max(len(self.gateway.engines) + len(self.closing), 1))

    def descriptor_left(self, needed: bool) -> bool:
        """Tell whether there may be another connection to an engine.

        Two to each of many engines would take what discovery and the clients need. Where one is
        needed, the connection that has been idle longest gives way.
        """
        if len(self.links) + self.dials < self.links_most:
            return True
        idle = (
            [link for link in self.links if not (link.open or link.link.close_reason)]
            if needed
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
            longest_idle.link.close("room for others")
        return False

    def make_room(self) -> bool:
        """Close what holds a descriptor for nothing; whether there was any."""
        return False

    # The host protocol; `policy.host.Host` says what each method is for.

    @property
    def now(self) -> int:
        """Ticks of the event loop's clock."""
        return self.event_loop.now

    @property
    def lag(self) -> int:
        """Ticks that events have to wait at present."""
        return self.event_loop.lag

    def send_attempt(self, attempt: Attempt, allow: int) -> None:
        """Let an attempt wait for a connection, for `allow` ticks until its answer at most."""
        engine_pool = self.engine_pools[attempt.engine.host_reference]
        in_flight_attempt = self.in_flight_attempts[attempt] = InFlightAttempt(
            attempt, self.now + allow, engine_pool
        )
        others = any(each.is_in_flight for each in attempt.request.attempts[:-1])
        self.ledger.record_attempt_sent(in_flight_attempt, sort_of_attempt(attempt.number, others))
        request_class = attempt.request.request_class
        if self.recovery is not None and (
            request_class.repeatability == Repeatability.KEYED or request_class.ordered
        ):
            in_flight_attempt.effect = self.recovery.on_attempt_sending(
                attempt, in_flight_attempt.order.label
            )
        if self.latency_sketches is not None and not attempt.number:
            self.latency_sketches.record_first_attempt(
                attempt.request.request_class.name, self.now - attempt.request.accepted_at
            )
        self.event_loop.call_later(allow, self.too_late, in_flight_attempt)
        engine_pool.line_up(in_flight_attempt)
        if self.settings.dial_timeout_ticks < allow:
            self.event_loop.call_later(
                self.settings.dial_timeout_ticks, self.waited, in_flight_attempt
            )

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Set memory and priority; engines are told of a priority that changes in flight."""
        order = request.host_reference
        if priority != order.priority and self.settings.accepts_priorities:
            for attempt in request.attempts:
                in_flight_attempt = self.in_flight_attempts.get(attempt)
                if in_flight_attempt and in_flight_attempt.link and not in_flight_attempt.answered:
                    in_flight_attempt.link.say("renice", order.name, str(priority))
        order.memory = memory
        order.priority = priority

    def reject(self, request: Request, retry_after: int) -> None:
        """Answer that the request was not run; the frames have no field for `retry_after`."""
        self.final(request, REFUSED, [])

    def fail(self, request: Request) -> None:
        """Answer that the request failed."""
        self.final(request, FAILED, [])

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; the gateway is notified of its outcome in a later turn."""
        in_flight_attempt = self.in_flight_attempts.get(attempt)
        if in_flight_attempt is None:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.say("abort", in_flight_attempt.order.name)
            in_flight_attempt.link.forget(in_flight_attempt)
        self.called[attempt] = self.in_flight_attempts.pop(attempt)
        outcome = AttemptOutcome.CANCELLED if in_flight_attempt.link else AttemptOutcome.ABANDONED
        self.event_loop.call_later(0, self.over, in_flight_attempt, outcome)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call back once `delay` ticks have passed, never at once."""
        self.event_loop.call_later(delay, method, *what)

    def barred(self, in_flight_attempt: InFlightAttempt) -> str:
        """Check an attempt directly before its first byte; why it must not begin, or an empty string.

        Between its decision and its writing there may be a dial, or a long turn: its client may
        have gone or cancelled, its engine drain or have restarted, its time or the time for repeats
        be over.
        """
        self.event_loop.update_now()
        if not in_flight_attempt.attempt.request.is_finished:
            in_flight_attempt.order.client_connection.there()
        if (
            in_flight_attempt.attempt not in self.in_flight_attempts
            or self.now >= in_flight_attempt.until
        ):
            return "late"
        return "" if self.gateway.may_start_attempt(in_flight_attempt.attempt) else "withdrawn"

    # Clients.

    def final(self, request: Request, code: int, body: list[bytes], reason: int = -1) -> None:
        """Give a request its one final answer; a reason below 0 is found from the code."""
        order = request.host_reference
        if order.client_connection.open.pop(order.stream, None) is None:
            return
        self.statements.release(order.size)
        self.names.pop(order.name, None)
        self.ended.append(request)
        if reason < 0:
            reason = reason_of_end(
                code, request, self.now, self.gateway.options.deadline_margin_ticks
            )
        order.reason = reason
        if self.latency_sketches is not None:
            self.latency_sketches.record_answered(
                request.request_class.name, self.now - request.accepted_at
            )
        self.answering[order] = None
        deadline = request.accepted_at + request.time_to_deadline
        order.client_connection.answer(order.stream, code, body, deadline, order)

    def answer_over(self, order: ClientRequest) -> None:
        """Close its record: the last byte of its answer has left, or never will."""
        self.answering.pop(order, None)
        self.ledger.record_closed(order, order.reason)

    def forget(self) -> None:
        """Take apart by hand what points to each other, where no call of the gateway's is under way.

        A full collection of garbage would stop everything for over 100 ms, so there is none.
        """
        while self.ended:
            request = self.ended.popleft()
            if not any(attempt.is_in_flight for attempt in request.attempts):
                for attempt in request.attempts:
                    attempt.request = None
                request.host_reference.statement = b""

    def left(self, request: Request | None, reason: int) -> None:
        """End a request whose client waits no longer."""
        if request is not None:
            self.ledger.record_closed(request.host_reference, reason)
            self.statements.release(request.host_reference.size)
            self.names.pop(request.host_reference.name, None)
            if request in request.host_reference.client_connection.fresh:
                request.is_finished = True  # the gateway never hears of it
            else:
                self.gateway.on_client_left(request)
                for attempt in request.attempts:  # what waits for a link never begins
                    in_flight_attempt = self.in_flight_attempts.get(attempt)
                    if in_flight_attempt is not None and in_flight_attempt.link is None:
                        in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
                        self.failed(in_flight_attempt, "withdrawn")
            self.ended.append(request)

    # Accounting.

    def audit(self) -> None:
        """Check the next slice of the ledger; a new pass begins each second."""
        is_whole = self.auditor.step()
        pause = AUDIT_TICKS if is_whole else AUDIT_SLICE_TICKS
        self.event_loop.call_later(pause, self.audit)

    def miscounted(self, kind: str, row: Any, serial: int) -> None:
        """Record a count that was wrong as it was entered."""
        self.discrepancies.record_mistake(
            kind, row.name, f"serial {serial}", self.ledger.last_events(row, serial)
        )

    # Attempts.

    def answered(
        self, in_flight_attempt: InFlightAttempt, word: str, fields: dict[str, str], body: bytes
    ) -> str:
        """Take an engine's answer; what is wrong with it, or an empty string."""
        attempt = in_flight_attempt.attempt
        in_flight_attempt.told = self.now
        if word == "TELL":
            kind = NOTES.get(fields.get("n", ""), 0)
            value = parse_amount(fields.get("amount", "0"))
            self.gateway.on_attempt_progress(attempt, kind, float(value or 0))
            return ""
        in_flight_attempt.load = parse_load(fields.get("l", ""), in_flight_attempt.load)
        if word == "DONE":
            return self.pager.on_first_page(in_flight_attempt, fields, body)
        if word == "MORE":
            return self.pager.on_further_page(in_flight_attempt, fields, body)
        outcome = ENDS.get(word)
        if outcome is None or (in_flight_attempt.answered and word != "BROKE"):
            return f"an answer {word[:8]!r}"
        in_flight_attempt.link.forget(in_flight_attempt)
        self.done(in_flight_attempt, outcome)
        return ""

    def untold(self, in_flight_attempt: InFlightAttempt, link: EngineConnection) -> None:
        """Give up an attempt that its engine reports on no more; called again by timer.

        An answer that never comes would hold its request, its slot and its ordering key until the
        deadline. An engine reports regularly on all that runs; what it omits, while its connection
        is lively, is over.
        """
        is_in_flight = in_flight_attempt.attempt in self.in_flight_attempts
        if not is_in_flight or in_flight_attempt.link is not link or in_flight_attempt.answered:
            return
        since = self.now - max(in_flight_attempt.told, link.lively)
        if since < self.patience or link.spoke < self.now - SECOND // 2:
            pause = max(self.patience - since, SECOND // 10)
            self.event_loop.call_later(pause, self.untold, in_flight_attempt, link)
            return
        self.counters["untold"] += 1
        link.let_go(in_flight_attempt)
        self.failed(in_flight_attempt, "broken")

    def whole(self, in_flight_attempt: InFlightAttempt) -> str:
        """Answer with a result that is whole, or drop one that nobody wants."""
        request = in_flight_attempt.attempt.request
        if sum(len(each or b"") for each in in_flight_attempt.pages) > MAX_RESULT_BYTES:
            return "a result that is too long"
        in_flight_attempt.link.let_go(in_flight_attempt)
        if not request.is_finished:
            self.final(request, SERVED, in_flight_attempt.pages)
        self.done(in_flight_attempt, AttemptOutcome.SUCCEEDED)
        return ""

    def done(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        """End an attempt that is in flight."""
        self.in_flight_attempts.pop(in_flight_attempt.attempt, None)
        self.over(in_flight_attempt, outcome)

    def over(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        """Notify everybody of an attempt's end, the gateway last."""
        attempt = in_flight_attempt.attempt
        if in_flight_attempt.asked:
            self.results.release(in_flight_attempt.asked)
            in_flight_attempt.asked = 0
        in_flight_attempt.pages = []
        bills = self.settings.reports_usage and outcome == AttemptOutcome.SUCCEEDED
        self.called.pop(attempt, None)
        if self.latency_sketches is not None and outcome == AttemptOutcome.SUCCEEDED:
            self.latency_sketches.record_succeeded(
                in_flight_attempt.engine_row.name, self.now - attempt.sent_at
            )
        self.ledger.on_attempt_finished(in_flight_attempt, outcome)
        if in_flight_attempt.effect:
            self.recovery.on_attempt_finished(in_flight_attempt.effect, outcome)
        if self.works is not None:
            self.works.on_attempt_finished(in_flight_attempt.engine_row.name, outcome)
        self.gateway.on_attempt_finished(
            attempt,
            outcome,
            self.now - attempt.sent_at,
            attempt.request.is_finished or outcome == AttemptOutcome.SUCCEEDED,
            in_flight_attempt.spent if bills else 0,
            in_flight_attempt.need if bills else 0.0,
            in_flight_attempt.load,
        )
        if attempt.request.is_finished:
            self.ended.append(attempt.request)
        self.forget()
        self.pager.ask_pages()

    def failed(self, in_flight_attempt: InFlightAttempt, why: str) -> None:
        """End an attempt for its connection's sake: "unreached", "broken", "late", "withdrawn"."""
        if in_flight_attempt.attempt in self.in_flight_attempts:
            self.done(in_flight_attempt, outcome_of(in_flight_attempt.stage(), why))

    def waited(self, in_flight_attempt: InFlightAttempt) -> None:
        """End an attempt without a connection, or room on one, in the time that settings give."""
        is_in_flight = in_flight_attempt.attempt in self.in_flight_attempts
        if not is_in_flight or in_flight_attempt.link is not None:
            return
        engine_pool = in_flight_attempt.engine_pool
        engine_pool.waiting.remove(in_flight_attempt)
        self.failed(in_flight_attempt, "withdrawn" if engine_pool.wanting else "unreached")

    def too_late(self, in_flight_attempt: InFlightAttempt) -> None:
        """End an attempt whose time is over."""
        if in_flight_attempt.attempt not in self.in_flight_attempts:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.let_go(in_flight_attempt)
        self.failed(in_flight_attempt, "late")

    # The list of engines.

    @property
    def last_event(self) -> int:
        """The number of the last event of discovery that was applied."""
        return self.endpoint_list.last_event

    def event(self, number: str, data: str) -> str:
        """Apply an event of discovery; what is wrong with it, or an empty string."""
        return self.endpoint_list.on_event(data)
