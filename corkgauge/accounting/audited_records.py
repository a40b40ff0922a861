"""Defines the protocol by which the auditor reads the live records."""

from collections.abc import Sequence
from typing import Any, Protocol


class AuditedRecords(Protocol):
    """The live records; their owner must not be called in the middle of a change to them."""

    def list_open_entries(self) -> list[Any]:
        """Return a copy of the open requests, each a `RequestEntry`."""

    def list_answering_entries(self) -> list[Any]:
        """Return a copy of the ended requests whose answer is not completely sent."""

    def list_attempts_in_flight(self) -> list[Any]:
        """Return a copy of the attempts in flight, each an `AttemptEntry`."""

    def find_attempt_mismatch(self, attempt: Any) -> str:
        """Return how an attempt in flight differs from the gateway's record, or an empty string."""

    def list_engines(self) -> list[Any]:
        """Return a copy of the engines."""

    def find_engine_mismatch(self, engine: Any) -> tuple[str, str]:
        """Return the name of an engine, and how the gateway's counts for the engine differ."""

    def get_engine_name(self, engine: Any) -> str:
        """Return the name of an engine."""

    def count_connections(self) -> Sequence[tuple[int, int]]:
        """Return, by side, the number of open connections and the pages received on them."""

    def find_other_reference(self, serial: int) -> str:
        """Return which other table still refers to a request, or an empty string."""
