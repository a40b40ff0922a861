"""An attempt that is in flight at an engine: how far it has come, and the pages of its result."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corkgauge.policy.records import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from corkgauge.net.engine_connection import EngineConnection
    from corkgauge.net.engine_pool import EnginePool

# How far an attempt had come when it failed. "Never ran" takes the first, or the engine's own word.
NOT_BEGUN, PART_WRITTEN, WRITTEN, ANSWERED = range(4)


def outcome_of(stage: int, why: str) -> int:
    """The outcome of a hand-off that failed for its connection: unreached, broken, late or withdrawn.

    >>> outcome_of(NOT_BEGUN, "unreached") == AttemptOutcome.UNREACHABLE, outcome_of(NOT_BEGUN, "withdrawn") == AttemptOutcome.ABANDONED
    (True, True)
    >>> outcome_of(NOT_BEGUN, "late") == AttemptOutcome.ABANDONED    # its own time was too short: no fault of the engine's
    True
    >>> outcome_of(PART_WRITTEN, "broken") == AttemptOutcome.CONNECTION_RESET, outcome_of(WRITTEN, "late") == AttemptOutcome.TIMED_OUT
    (True, True)
    >>> outcome_of(ANSWERED, "broken") == AttemptOutcome.CONNECTION_RESET      # it ran, and what it made is lost with the connection
    True
    """
    if stage == NOT_BEGUN:
        return AttemptOutcome.UNREACHABLE if why == "unreached" else AttemptOutcome.ABANDONED
    return AttemptOutcome.TIMED_OUT if why == "late" else AttemptOutcome.CONNECTION_RESET


class InFlightAttempt:
    """A hand-off under way: how far it has come, and its pages."""

    __slots__ = (
        "attempt",
        "order",
        "until",
        "engine_pool",
        "link",
        "begin",
        "end",
        "answered",
        "pages",
        "asked",
        "spent",
        "need",
        "load",
        "told",
        "engine_row",
        "serial",
        "effect",
    )

    def __init__(self, attempt: Attempt, until: int, engine_pool: EnginePool) -> None:
        self.attempt, self.order, self.until, self.engine_pool = (
            attempt,
            attempt.request.host_reference,
            until,
            engine_pool,
        )
        self.link: EngineConnection | None = None
        self.begin = self.end = self.spent = self.asked = self.told = 0
        self.need, self.load, self.answered = 0.0, -1.0, False
        self.effect = 0  # its serial among what outlives a restart, where it has one
        self.engine_row, self.serial = (
            engine_pool.row,
            0,
        )  # its engine's account; there, below 0 once it is over
        self.pages: list[bytes | None] = []

    def stage(self) -> int:
        if self.answered:
            return ANSWERED
        if self.link is None or self.link.link.sent <= self.begin:
            return NOT_BEGUN
        return WRITTEN if self.link.link.sent >= self.end else PART_WRITTEN
