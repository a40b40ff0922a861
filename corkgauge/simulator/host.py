"""Host of one simulated instance: converts messages to gateway calls, gateway calls to actions."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from corkgauge.config.settings import Settings
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import Attempt, Engine, EngineState, Request
from corkgauge.simulator.messages import (
    HAS_ESTIMATE,
    MICROSECONDS_PER_TICK,
    AttemptNote,
    AttemptVerdict,
    Born,
    ClientLeft,
    EngineEntry,
    ListForm,
    ListUpdate,
    NewRequest,
    TimerDue,
    pack_decline,
    pack_lose,
    pack_remind,
    pack_route,
    pack_stop_attempt,
    pack_terms,
    pack_trace,
)

# The statistics of a verdict hold work in milliseconds and memory in units of 4 MB.
TICKS_PER_WORK_UNIT = 10
MEMORY_UNIT_MB = 4.0
MEMORY_BITS = 12
MEMORY_MASK = (1 << MEMORY_BITS) - 1


class Timer(NamedTuple):
    """A callback that the gateway has scheduled."""

    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class SimulatedHost:
    """Implements the host protocol for one instance, and maps identifiers to its records."""

    lag = 0  # ticks; simulated events have no queueing delay

    # Set by the first message of each instance, which is always `Born`.
    settings: Settings
    gateway: Gateway

    def __init__(
        self,
        instance: int,
        actions: list[bytes],
        engine_lists: dict[int, list[EngineEntry]],
    ) -> None:
        self.instance = instance
        self.actions = actions
        self.engine_lists = engine_lists
        self.now = 0
        self.engines: dict[bytes, Engine] = {}
        self.requests: dict[int, Request] = {}
        self.timers: dict[int, Timer] = {}
        self.last_timer = 0

    # The host protocol.

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send an attempt, with a limit of `timeout` ticks for its answer."""
        request, engine = attempt.request.host_reference, attempt.engine.host_reference
        self.actions.append(pack_route(self.instance, request, engine, timeout))

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Set memory (MB) and priority of a request's attempts."""
        self.actions.append(pack_terms(self.instance, request.host_reference, memory, priority))

    def reject(self, request: Request, retry_after: int) -> None:
        """Reject a request; `retry_after` is in ticks."""
        self.actions.append(pack_decline(self.instance, request.host_reference, retry_after))

    def fail(self, request: Request) -> None:
        """Fail a request; an engine may have run it."""
        self.actions.append(pack_lose(self.instance, request.host_reference))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; the simulator sends its verdict later."""
        self.actions.append(
            pack_stop_attempt(self.instance, attempt.request.host_reference, attempt.number)
        )

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a callback after `delay` ticks."""
        self.last_timer += 1
        self.timers[self.last_timer] = Timer(callback, arguments)
        self.actions.append(pack_remind(self.instance, self.last_timer, delay))

    def log(self, line: str) -> None:
        """Write one line to the simulator's log."""
        self.actions.append(pack_trace(self.instance, line))

    # Messages.

    def handle(self, message: Any) -> None:
        """Handle one message that the simulator has sent to this instance."""
        HANDLERS[type(message)](self, message)

    def _on_born(self, message: Born) -> None:
        self.settings = Settings(json.loads(message.settings), self, message.seed)
        self.gateway = self.settings.gateway

    def _on_list_update(self, message: ListUpdate) -> None:
        if message.form == ListForm.UNCHANGED:
            return
        entries = self.engine_lists.get(message.list_number, [])
        if message.form != ListForm.CHANGES:
            self._remove_unlisted({entry.engine for entry in entries})
        for entry in entries:
            self._update_engine(entry)
        self.gateway.on_engine_list_complete()

    def _remove_unlisted(self, listed: set[bytes]) -> None:
        """Remove each engine that is missing from a complete list."""
        for reference, engine in self.engines.items():
            if reference not in listed:
                self.gateway.on_engine_update(engine, EngineState.GONE, engine.incarnation)

    def _update_engine(self, entry: EngineEntry) -> None:
        reference = entry.engine
        engine = self.engines.get(reference)
        if engine is None:
            engine = Engine(
                reference, reference, entry.zone, entry.kind, entry.cell, name=reference.hex()
            )
            self.engines[reference] = engine
        self.settings.place_engine(engine, entry.zone, entry.kind, entry.cell)
        incarnation = entry.started_microseconds // MICROSECONDS_PER_TICK
        self.gateway.on_engine_update(engine, entry.state, incarnation)

    def _on_new_request(self, message: NewRequest) -> None:
        estimated_work = 0
        if message.marks & HAS_ESTIMATE:
            estimated_work = message.estimate_microseconds // MICROSECONDS_PER_TICK
        request = Request(
            message.request,
            self.settings.request_classes[message.request_class],
            message.tenant,
            message.table_group,
            self.now,
            message.time_to_deadline_microseconds // MICROSECONDS_PER_TICK,
            estimated_work,
            message.memory,
            message.order_key,
        )
        self.requests[message.request] = request
        self.gateway.on_request(request)
        self._forget_if_over(request)

    def _on_client_left(self, message: ClientLeft) -> None:
        request = self.requests.get(message.request)
        if request is not None:
            self.gateway.on_client_left(request)
            self._forget_if_over(request)

    def _on_verdict(self, message: AttemptVerdict) -> None:
        request = self.requests[message.request]
        work, memory = 0, 0.0
        if self.settings.reports_usage:
            work = (message.statistics >> MEMORY_BITS) * TICKS_PER_WORK_UNIT
            memory = (message.statistics & MEMORY_MASK) * MEMORY_UNIT_MB
        # The report may have fewer values than the settings name fields.
        report = dict(zip(self.settings.load_report_fields, message.load_report, strict=False))
        self.gateway.on_attempt_finished(
            request.attempts[message.attempt],
            message.outcome,
            message.took_microseconds // MICROSECONDS_PER_TICK,
            message.is_answered,
            work,
            memory,
            report.get("inflight", -1.0),
        )
        self._forget_if_over(request)

    def _on_note(self, message: AttemptNote) -> None:
        request = self.requests.get(message.request)
        if request is not None and message.attempt < len(request.attempts):
            attempt = request.attempts[message.attempt]
            self.gateway.on_attempt_progress(attempt, message.kind, message.value)

    def _on_timer_due(self, message: TimerDue) -> None:
        timer = self.timers.pop(message.timer, None)
        if timer is None:
            return
        timer.callback(*timer.arguments)
        if timer.arguments and isinstance(timer.arguments[0], Request):
            self._forget_if_over(timer.arguments[0])

    def _forget_if_over(self, request: Request) -> None:
        """Drop a finished request's identifier once none of its attempts is in flight."""
        in_flight = any(attempt.is_in_flight for attempt in request.attempts)
        if request.is_finished and not in_flight:
            self.requests.pop(request.host_reference, None)


HANDLERS: dict[type, Callable[[SimulatedHost, Any], None]] = {
    Born: SimulatedHost._on_born,
    ListUpdate: SimulatedHost._on_list_update,
    NewRequest: SimulatedHost._on_new_request,
    ClientLeft: SimulatedHost._on_client_left,
    AttemptVerdict: SimulatedHost._on_verdict,
    AttemptNote: SimulatedHost._on_note,
    TimerDue: SimulatedHost._on_timer_due,
}
