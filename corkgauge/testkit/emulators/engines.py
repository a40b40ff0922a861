"""Emulates engines on loopback, which execute attempts at a given speed and with scripted faults.

Owns the record of the attempts that each engine received, and of their outcomes. The record is
independent of the gateway: it contains nothing that the gateway states about its own work.
"""

from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.engine_protocol import command
from corkgauge.testkit.emulators.listener import Listener, make_connection
from corkgauge.testkit.emulators.protocols import EmulatedEngineProtocol
from corkgauge.testkit.seeded_random import SeededRandom

KEY_MEMORY_TICKS = 20 * SECOND  # how long an engine remembers an idempotency key
# Kinds of faults of an engine, each with the meaning of its level.
FAULT_KINDS = {
    "slow": "factor on the execution time",
    "silent": "no level; answers are held back until the fault ends",
    "full": "fraction of attempts refused as full",
    "error": "fraction of attempts answered with an error",
    "garble": "fraction of answers with corrupted rows",
    "twice": "fraction of answers sent twice",
    "midway": "fraction of answers whose connection closes after the first page",
    "lost": "fraction of attempts never answered",
    "reset": "no level; resets the connections once",
    "refuse": "no level; refuses connections",
    "restart": "no level; stops, and restarts cold when the fault ends",
}


@dataclass(slots=True, eq=False)
class ReceivedAttempt:
    """Records one attempt that an engine received; times are in ticks of the system clock."""

    engine: str
    kind: str
    trace: str
    request_class: str
    idempotency_key: str
    received_at: int
    work: float  # ms of one core
    ended_at: int = -1  # when the answer was written or the attempt cancelled; -1: still open
    was_executed: bool = True  # False if refused as full, or skipped as a repetition of a key
    gateway_connection: Any = None
    page_count: int = 1


class GatewayConnection:
    """Receives commands on one connection of a gateway."""

    def __init__(self, engine: "EmulatedEngine", sock: Any) -> None:
        self.engine, self.open_attempts = engine, dict[str, ReceivedAttempt]()
        self.connection = make_connection(
            engine.event_loop, sock, EmulatedEngineProtocol(self), self
        )

    def on_command(self, parts: list[str]) -> None:
        """Pass a command to the engine."""
        self.engine.on_command(self, parts)

    def on_output_drained(self) -> None:
        """Do nothing: the engine never waits for its output."""

    def on_closed(self, why: str) -> None:
        """End all attempts of the connection, because their results can no longer be sent."""
        self.engine.listener.remove_connection(self)
        for attempt in self.open_attempts.values():
            attempt.ended_at = (
                self.engine.event_loop.now if attempt.ended_at < 0 else attempt.ended_at
            )
        self.engine.running_count -= sum(
            attempt.was_executed
            for attempt in self.open_attempts.values()
            if attempt.gateway_connection is self
        )
        self.open_attempts.clear()


class EmulatedEngine:
    """Executes attempts at a speed that depends on the number of cores and of attempts in progress.

    `mean_work_ms` holds the mean work of each request class in ms of one core. `executed_keys`
    holds each idempotency key with the time of its execution; engines that recognize each other's
    keys share this dict.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        kind: str,
        zone: str,
        cores: float,
        mean_work_ms: dict[str, float],
        seed: int,
        executed_keys: dict[str, int],
    ) -> None:
        self.event_loop, self.name, self.kind, self.zone, self.cores, self.mean_work_ms = (
            event_loop,
            name,
            kind,
            zone,
            cores,
            mean_work_ms,
        )
        self.chance, self.attempts = SeededRandom(seed), list[ReceivedAttempt]()
        self.fault, self.fault_level = "", 0.0
        self.started_ms, self.running_count = 0, 0
        # Finished attempts whose answers wait for the end of the fault `silent`.
        self.held_attempts: list[ReceivedAttempt] = []
        self.executed_keys = executed_keys
        self.listener = Listener(event_loop, lambda sock: GatewayConnection(self, sock))

    @property
    def address(self) -> str:
        """Host and port, as the endpoint list has them."""
        return "%s:%d" % self.listener.address

    def begin_fault(self, fault: str, level: float) -> None:
        """Start a fault of a script; `FAULT_KINDS` explains the level."""
        self.fault, self.fault_level = fault, level
        if fault == "reset":
            self.listener.close_connections(abort=True)
        elif fault in ("refuse", "restart"):
            self.listener.close(abort=True)

    def end_fault(self) -> None:
        """End the current fault; after `silent`, send the answers that were held back."""
        ended_fault, self.fault = self.fault, ""
        if ended_fault in ("refuse", "restart"):
            if ended_fault == "restart":
                self.started_ms = self.event_loop.now // 10
            self.listener.open()
        held_attempts, self.held_attempts = self.held_attempts, []
        for attempt in held_attempts:
            self.finish_attempt(attempt)

    def on_command(self, gateway_connection: GatewayConnection, parts: list[str]) -> None:
        """Execute a command of a gateway."""
        verb, trace = parts[0], parts[1] if len(parts) > 1 else ""
        if verb == "alive":
            if self.fault != "silent":
                gateway_connection.connection.send(command(trace, "FIT", "-", ""))
        elif verb == "fetch":
            self.start_attempt(
                gateway_connection, trace, dict(pair.split("=", 1) for pair in parts[2].split(","))
            )
        elif verb == "more" and trace in gateway_connection.open_attempts:
            if self.fault != "silent":
                self.send_answer(
                    gateway_connection,
                    trace,
                    "MORE",
                    f"at={parts[2]}",
                    self.page_rows(gateway_connection.open_attempts[trace], int(parts[2])),
                )
        elif verb in ("abort", "done"):
            self.close_attempt(gateway_connection.open_attempts.pop(trace, None))

    def start_attempt(
        self, gateway_connection: GatewayConnection, trace: str, fields: dict[str, str]
    ) -> None:
        """Record an attempt, and schedule the end of the execution unless the engine refuses."""
        now, request_class = self.event_loop.now, fields["sort"]
        attempt = ReceivedAttempt(
            self.name,
            self.kind,
            trace,
            request_class,
            fields.get("op", ""),
            now,
            self.chance.lognormal(self.mean_work_ms[request_class]),
            gateway_connection=gateway_connection,
        )
        self.attempts.append(attempt)
        if (
            attempt.idempotency_key
            and now
            < self.executed_keys.get(attempt.idempotency_key, -KEY_MEMORY_TICKS) + KEY_MEMORY_TICKS
        ):
            # The key was executed before: do not execute again, but answer like the first time.
            attempt.was_executed = False
        elif self.is_hit_by("full"):
            attempt.was_executed, attempt.ended_at = False, now
            return self.send_answer(gateway_connection, trace, "WAIT", "-", "")
        elif attempt.idempotency_key:
            self.executed_keys[attempt.idempotency_key] = now
        gateway_connection.open_attempts[trace] = attempt
        self.running_count += attempt.was_executed
        duration_factor = max(1.0, self.running_count / self.cores) * (
            self.fault_level if self.fault == "slow" else 1.0
        )
        self.event_loop.call_later(
            int(10 * attempt.work * duration_factor) + 5, self.finish_attempt, attempt
        )

    def is_hit_by(self, fault: str) -> bool:
        """Decide at random whether the current fault, if it is this one, affects an attempt."""
        return self.fault == fault and self.chance.happens(self.fault_level)

    def finish_attempt(self, attempt: ReceivedAttempt) -> None:
        """Answer an executed attempt, as far as the current fault permits."""
        gateway_connection = attempt.gateway_connection
        if (
            gateway_connection.open_attempts.get(attempt.trace) is not attempt
            or attempt.ended_at >= 0
        ):
            return None
        if self.fault == "silent":
            return self.held_attempts.append(attempt)
        attempt.ended_at = self.event_loop.now
        if self.is_hit_by("lost"):
            return None
        if self.is_hit_by("error"):
            self.close_attempt(gateway_connection.open_attempts.pop(attempt.trace, None))
            return self.send_answer(gateway_connection, attempt.trace, "BROKE", "-", "")
        attempt.page_count = 1 + self.chance.below(3)
        if self.is_hit_by("midway"):
            self.send_answer(
                gateway_connection,
                attempt.trace,
                "DONE",
                self.answer_fields(attempt, 3),
                self.page_rows(attempt, 0),
            )
            return self.event_loop.call_later(
                20, gateway_connection.connection.close, "broken off by the script"
            )
        body = "\x00spoilt" if self.is_hit_by("garble") else self.page_rows(attempt, 0)
        for _ in range(2 if self.is_hit_by("twice") else 1):
            self.send_answer(
                gateway_connection,
                attempt.trace,
                "DONE",
                self.answer_fields(attempt, attempt.page_count),
                body,
            )

    def answer_fields(self, attempt: ReceivedAttempt, pages: int) -> str:
        """Return the fields of an answer: number of pages, work, memory and load report."""
        return (
            f"chunks={pages},spent={attempt.work:.1f},wanted=8,"
            f"l=inflight:{self.running_count};util:{min(self.running_count / self.cores, 1):.2f}"
        )

    def page_rows(self, attempt: ReceivedAttempt, number: int) -> str:
        """Return the row of one page; it names the request, the page and the engine."""
        return f"{attempt.trace}\t{number}\t{self.name}\n"

    def send_answer(self, gateway_connection: GatewayConnection, *parts: str) -> None:
        """Send an answer to the gateway."""
        gateway_connection.connection.send(command(*parts))

    def close_attempt(self, attempt: ReceivedAttempt | None) -> None:
        """End an attempt that was cancelled or whose result was read completely."""
        if attempt is not None:
            attempt.ended_at = self.event_loop.now if attempt.ended_at < 0 else attempt.ended_at
            self.running_count -= attempt.was_executed
