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
        "answered",
        "asked",
        "attempt",
        "begin",
        "effect",
        "end",
        "engine_pool",
        "engine_row",
        "link",
        "load",
        "need",
        "order",
        "pages",
        "serial",
        "spent",
        "told",
        "until",
    )

    def __init__(self, attempt: Attempt, until: int, engine_pool: EnginePool) -> None:
        self.attempt = attempt
        self.order: Any = attempt.request.host_reference  # the client's request
        self.until = until  # ticks; when its time is over
        self.engine_pool = engine_pool
        self.link: EngineConnection | None = None
        # Where its command begins and ends among the bytes put to the connection.
        self.begin = 0
        self.end = 0
        # Its answer: pages by number, None while one has not come; how many were asked for.
        self.answered = False
        self.pages: list[bytes | None] = []
        self.asked = 0
        # What the engine reported: work in thread ticks, memory in MB, its load, when last.
        self.spent = 0
        self.need = 0.0
        self.load = -1.0
        self.told = 0
        # Its engine's row in the ledger; its serial there, below 0 once it is over.
        self.engine_row = engine_pool.row
        self.serial = 0
        self.effect = 0  # its serial in the attempt log, where it has one

    def stage(self) -> Stage:
        """Return how far it has come."""
        if self.answered:
            return Stage.ANSWERED
        if self.link is None or self.link.link.bytes_sent <= self.begin:
            return Stage.NOT_BEGUN
        return Stage.WRITTEN if self.link.link.bytes_sent >= self.end else Stage.PARTLY_WRITTEN
