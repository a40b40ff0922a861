"""An attempt that is in flight at an engine: how far it has come, and the pages of its result."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Any

from corkgauge.policy.records import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from corkgauge.net.engine_connection import EngineConnection
    from corkgauge.net.engine_pool import EnginePool


class Stage(IntEnum):
    """How far an attempt had come when it failed. Only the first is proof that it never ran."""

    NOT_BEGUN = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    ANSWERED = 3


def outcome_of(stage: Stage, why: str) -> AttemptOutcome:
    """Return the outcome of an attempt that failed: "unreached", "broken", "late" or "withdrawn".

    >>> outcome_of(Stage.NOT_BEGUN, "unreached").name, outcome_of(Stage.NOT_BEGUN, "withdrawn").name
    ('UNREACHABLE', 'ABANDONED')

    An attempt whose own time was too short is no fault of the engine's:

    >>> outcome_of(Stage.NOT_BEGUN, "late").name
    'ABANDONED'
    >>> outcome_of(Stage.PARTLY_WRITTEN, "broken").name, outcome_of(Stage.WRITTEN, "late").name
    ('CONNECTION_RESET', 'TIMED_OUT')

    One that was answered ran, and what it made is lost with the connection:

    >>> outcome_of(Stage.ANSWERED, "broken").name
    'CONNECTION_RESET'
    """
    if stage == Stage.NOT_BEGUN:
        return AttemptOutcome.UNREACHABLE if why == "unreached" else AttemptOutcome.ABANDONED
    return AttemptOutcome.TIMED_OUT if why == "late" else AttemptOutcome.CONNECTION_RESET


class InFlightAttempt:
    """The host's record of an attempt: how far it has come, and the pages of its result."""

    __slots__ = (
        "attempt",
        "attempt_log_serial",
        "client_request",
        "command_begin",
        "command_end",
        "deadline",
        "engine_pool",
        "engine_row",
        "is_answered",
        "last_report_at",
        "link",
        "memory_needed_mb",
        "pages",
        "reported_load",
        "reserved_page_bytes",
        "serial",
        "work_ticks",
    )

    def __init__(self, attempt: Attempt, deadline: int, engine_pool: EnginePool) -> None:
        self.attempt = attempt
        self.client_request: Any = attempt.request.host_reference  # the client's request
        self.deadline = deadline  # ticks; when its time is over
        self.engine_pool = engine_pool
        self.link: EngineConnection | None = None
        # Where its command begins and ends among the bytes put to the connection.
        self.command_begin = 0
        self.command_end = 0
        # Its answer: pages by number, None while one has not come; how many were asked for.
        self.is_answered = False
        self.pages: list[bytes | None] = []
        self.reserved_page_bytes = 0
        # What the engine reported: work in thread ticks, memory in MB, its load, when last.
        self.work_ticks = 0
        self.memory_needed_mb = 0.0
        self.reported_load = -1.0
        self.last_report_at = 0
        # Its engine's row in the ledger; its serial there, below 0 once it is over.
        self.engine_row = engine_pool.row
        self.serial = 0
        self.attempt_log_serial = 0  # its serial in the attempt log, where it has one

    def stage(self) -> Stage:
        """Return how far it has come."""
        if self.is_answered:
            return Stage.ANSWERED
        if self.link is None or self.link.link.sent <= self.command_begin:
            return Stage.NOT_BEGUN
        return Stage.WRITTEN if self.link.link.sent >= self.command_end else Stage.PARTLY_WRITTEN
