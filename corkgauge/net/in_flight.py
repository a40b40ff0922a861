"""Tracks an attempt in flight: its progress on the connection, and the pages of its result."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Any

from corkgauge.policy.records import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from corkgauge.net.engine_connection import EngineConnection
    from corkgauge.net.engine_pool import EnginePool


class Stage(IntEnum):
    """Progress of an attempt when the attempt failed.

    Only `NOT_BEGUN` proves that the engine never ran the attempt.
    """

    NOT_BEGUN = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    ANSWERED = 3


def outcome_of(stage: Stage, why: str) -> AttemptOutcome:
    """Return the outcome of an attempt that failed at a stage, by the reason of the failure.

    The reason `why` is one of:
        "unreached": no connection to the engine was opened, or had room, within the dial timeout.
        "broken": the connection closed, or a page or progress report of the attempt is missing.
        "late": the attempt's time limit has passed.
        "withdrawn": the attempt must not be sent any more: its client has left, the engine drains
            or is gone, this process had no descriptor for a connection, or the gateway does not
            permit the start.

    >>> outcome_of(Stage.NOT_BEGUN, "unreached").name, outcome_of(Stage.NOT_BEGUN, "withdrawn").name
    ('UNREACHABLE', 'ABANDONED')

    An attempt whose time limit passed before the attempt was sent is not the engine's fault:

    >>> outcome_of(Stage.NOT_BEGUN, "late").name
    'ABANDONED'
    >>> outcome_of(Stage.PARTLY_WRITTEN, "broken").name, outcome_of(Stage.WRITTEN, "late").name
    ('CONNECTION_RESET', 'TIMED_OUT')

    An attempt with a first page did run, and its result is lost with the connection:

    >>> outcome_of(Stage.ANSWERED, "broken").name
    'CONNECTION_RESET'
    """
    if stage == Stage.NOT_BEGUN:
        return AttemptOutcome.UNREACHABLE if why == "unreached" else AttemptOutcome.ABANDONED
    return AttemptOutcome.TIMED_OUT if why == "late" else AttemptOutcome.CONNECTION_RESET


class InFlightAttempt:
    """The host's record of an attempt: its progress, its result, and the engine's reports."""

    __slots__ = (
        "attempt",
        "attempt_log_serial",
        "client_request",
        "command_begin",
        "command_end",
        "deadline",
        "engine_pool",
        "engine_row",
        "held_until",
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
        self.client_request: Any = attempt.request.host_reference  # a `ClientRequest`
        self.deadline = deadline  # tick at which the attempt times out
        self.engine_pool = engine_pool
        self.link: EngineConnection | None = None
        # Tick until which it is not sent, as its client may have left unseen; 0: never held back.
        self.held_until = 0
        # Bytes that the connection had queued before the command of this attempt, and after it.
        self.command_begin = 0
        self.command_end = 0
        # The result: its pages by number (None: not received), and the memory reserved for them.
        self.is_answered = False
        self.pages: list[bytes | None] = []
        self.reserved_page_bytes = 0
        # The engine's reports: work (thread ticks), memory needed, load of the engine (attempts;
        # below 0: none reported), and the tick of the last report.
        self.work_ticks = 0
        self.memory_needed_mb = 0.0
        self.reported_load = -1.0
        self.last_report_at = 0
        # Ledger row of the engine, and the attempt's serial number in the ledger, negated once the
        # end of the attempt is recorded.
        self.engine_row = engine_pool.row
        self.serial = 0
        self.attempt_log_serial = 0  # serial number in the attempt log; 0: not logged

    def stage(self) -> Stage:
        """Return how far the attempt has progressed."""
        if self.is_answered:
            return Stage.ANSWERED
        if self.link is None or self.link.link.bytes_sent <= self.command_begin:
            return Stage.NOT_BEGUN
        return (
            Stage.WRITTEN if self.link.link.bytes_sent >= self.command_end else Stage.PARTLY_WRITTEN
        )
