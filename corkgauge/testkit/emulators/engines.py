"""Engines on loopback: they run what they are sent, at a pace, with the troubles that a script gives them.

Owns each engine's book of what came and what became of it. The book is the stand-in's own: nothing
in it comes from what the gateway says of itself.
"""

from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.engine_protocol import command
from corkgauge.testkit.emulators.listener import Listener, make_connection
from corkgauge.testkit.emulators.protocols import EmulatedEngineProtocol
from corkgauge.testkit.seeded_random import SeededRandom

KEY_MEMORY_TICKS = 20 * SECOND  # that a label is known, against repeats
# Troubles that an engine may be given, each with what its figure means.
FAULT_KINDS = {
    "slow": "times as long",
    "silent": "nothing is answered until it ends, then all that waited",
    "full": "part refused as full",
    "error": "part answered with an error",
    "garble": "part spoilt",
    "twice": "part answered twice",
    "midway": "part broken off after the first page, with the connection",
    "lost": "part never answered",
    "reset": "connections reset, once",
    "refuse": "connections refused",
    "restart": "goes, and comes back cold when it ends",
}


@dataclass(slots=True, eq=False)
class ReceivedAttempt:
    """One hand-off that came whole to an engine. Times are tenths of a millisecond, of the system's clock."""

    engine: str
    kind: str
    trace: str
    request_class: str
    idempotency_key: str
    received_at: int
    work: float  # of one core
    ended_at: int = -1  # when its answer was written, or it was given up
    was_executed: bool = True  # False: refused as full, or a repeat that was dropped
    gateway_connection: Any = None
    page_count: int = 1


class GatewayConnection:
    """A gateway's connection."""

    def __init__(self, engine: "EmulatedEngine", sock: Any) -> None:
        self.engine, self.open_attempts = engine, dict[str, ReceivedAttempt]()
        self.connection = make_connection(
            engine.event_loop, sock, EmulatedEngineProtocol(self), self
        )

    def on_command(self, parts: list[str]) -> None:
        self.engine.on_command(self, parts)

    def on_output_drained(self) -> None:
        pass

    def on_closed(self, why: str) -> None:
        self.engine.listener.remove_connection(self)
        for run in self.open_attempts.values():
            run.ended_at = self.engine.event_loop.now if run.ended_at < 0 else run.ended_at
        self.engine.running_count -= sum(
            run.was_executed
            for run in self.open_attempts.values()
            if run.gateway_connection is self
        )
        self.open_attempts.clear()


class EmulatedEngine:
    """One engine. `mean` holds the mean work of each offering in ms of one core, `cores` how many it has."""

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
        self.held_attempts: list[ReceivedAttempt] = []  # silent: what waits
        self.executed_keys = (
            executed_keys  # labels, and when they ran: of the group of engines that drops repeats
        )
        self.listener = Listener(event_loop, lambda sock: GatewayConnection(self, sock))

    @property
    def address(self) -> str:
        return "%s:%d" % self.listener.address

    def begin_fault(self, fault: str, level: float) -> None:
        """A trouble of the script begins."""
        self.fault, self.fault_level = fault, level
        if fault == "reset":
            self.listener.close_connections(abort=True)
        elif fault in ("refuse", "restart"):
            self.listener.close(abort=True)

    def end_fault(self) -> None:
        """The trouble ends; an engine that was silent says all that it kept."""
        was, self.fault = self.fault, ""
        if was in ("refuse", "restart"):
            if was == "restart":
                self.started_ms = self.event_loop.now // 10
            self.listener.open()
        held_attempts, self.held_attempts = self.held_attempts, []
        for run in held_attempts:
            self.finish_attempt(run)

    def on_command(self, gateway_connection: GatewayConnection, parts: list[str]) -> None:
        word, trace = parts[0], parts[1] if len(parts) > 1 else ""
        if word == "alive":
            if self.fault != "silent":
                gateway_connection.connection.send(command(trace, "FIT", "-", ""))
        elif word == "fetch":
            self.start_attempt(
                gateway_connection, trace, dict(pair.split("=", 1) for pair in parts[2].split(","))
            )
        elif word == "more" and trace in gateway_connection.open_attempts:
            if self.fault != "silent":
                self.send_answer(
                    gateway_connection,
                    trace,
                    "MORE",
                    f"at={parts[2]}",
                    self.page_rows(gateway_connection.open_attempts[trace], int(parts[2])),
                )
        elif word in ("abort", "done"):
            self.close_attempt(gateway_connection.open_attempts.pop(trace, None))

    def start_attempt(
        self, gateway_connection: GatewayConnection, trace: str, fields: dict[str, str]
    ) -> None:
        now, request_class = self.event_loop.now, fields["sort"]
        run = ReceivedAttempt(
            self.name,
            self.kind,
            trace,
            request_class,
            fields.get("op", ""),
            now,
            self.chance.lognormal(self.mean_work_ms[request_class]),
            gateway_connection=gateway_connection,
        )
        self.attempts.append(run)
        if (
            run.idempotency_key
            and now
            < self.executed_keys.get(run.idempotency_key, -KEY_MEMORY_TICKS) + KEY_MEMORY_TICKS
        ):
            run.was_executed = False  # a repeat: dropped, and answered as the first was
        elif self.is_hit_by("full"):
            run.was_executed, run.ended_at = False, now
            return self.send_answer(gateway_connection, trace, "WAIT", "-", "")
        elif run.idempotency_key:
            self.executed_keys[run.idempotency_key] = now
        gateway_connection.open_attempts[trace] = run
        self.running_count += run.was_executed
        pace = max(1.0, self.running_count / self.cores) * (
            self.fault_level if self.fault == "slow" else 1.0
        )
        self.event_loop.call_later(int(10 * run.work * pace) + 5, self.finish_attempt, run)

    def is_hit_by(self, fault: str) -> bool:
        return self.fault == fault and self.chance.happens(self.fault_level)

    def finish_attempt(self, run: ReceivedAttempt) -> None:
        """Its work is done: the answer goes, as far as its trouble lets it."""
        gateway_connection = run.gateway_connection
        if gateway_connection.open_attempts.get(run.trace) is not run or run.ended_at >= 0:
            return None
        if self.fault == "silent":
            return self.held_attempts.append(run)
        run.ended_at = self.event_loop.now
        if self.is_hit_by("lost"):
            return None
        if self.is_hit_by("error"):
            self.close_attempt(gateway_connection.open_attempts.pop(run.trace, None))
            return self.send_answer(gateway_connection, run.trace, "BROKE", "-", "")
        run.page_count = 1 + self.chance.below(3)
        if self.is_hit_by("midway"):
            self.send_answer(
                gateway_connection,
                run.trace,
                "DONE",
                self.answer_fields(run, 3),
                self.page_rows(run, 0),
            )
            return self.event_loop.call_later(
                20, gateway_connection.connection.close, "broken off by the script"
            )
        body = "\x00spoilt" if self.is_hit_by("garble") else self.page_rows(run, 0)
        for _ in range(2 if self.is_hit_by("twice") else 1):
            self.send_answer(
                gateway_connection, run.trace, "DONE", self.answer_fields(run, run.page_count), body
            )

    def answer_fields(self, run: ReceivedAttempt, pages: int) -> str:
        return (
            f"chunks={pages},spent={run.work:.1f},wanted=8,"
            f"l=inflight:{self.running_count};util:{min(self.running_count / self.cores, 1):.2f}"
        )

    def page_rows(self, run: ReceivedAttempt, number: int) -> str:
        return f"{run.trace}\t{number}\t{self.name}\n"

    def send_answer(self, gateway_connection: GatewayConnection, *parts: str) -> None:
        gateway_connection.connection.send(command(*parts))

    def close_attempt(self, run: ReceivedAttempt | None) -> None:
        if run is not None:
            run.ended_at = self.event_loop.now if run.ended_at < 0 else run.ended_at
            self.running_count -= run.was_executed
