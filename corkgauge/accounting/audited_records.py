"""Defines the protocol by which the auditor reads the live records."""

from collections.abc import Sequence
from typing import Any, Protocol


class AuditedRecords(Protocol):
    """The live records; no method may be called while the owner of the records changes them."""

    def list_open_entries(self) -> list[Any]:
        """Return a copy of the open requests, each a `RequestEntry`."""

    def list_answering_entries(self) -> list[Any]:
        """Return a copy of the requests with a determined result and an answer not completely sent.

        The ledger still counts these requests as open.
        """

    def list_attempts_in_flight(self) -> list[Any]:
        """Return a copy of the attempts without an outcome, each an `AttemptEntry`."""

    def find_attempt_mismatch(self, attempt: Any) -> str:
        """Return how an attempt in flight differs from the record of `policy.gateway.Gateway`.

        Returns an empty string if both agree.
        """

    def list_engines(self) -> list[Any]:
        """Return a copy of the engines."""

    def find_engine_mismatch(self, engine: Any) -> tuple[str, str]:
        """Return the name of an engine, and how its records are inconsistent.

        The records are those of `policy.gateway.Gateway` and of the socket host; the second text is
        empty if they agree.
        """

    def get_engine_name(self, engine: Any) -> str:
        """Return the name of an engine."""

    def count_connections(self) -> Sequence[tuple[int, int]]:
        """Return, by side, the number of open connections and the pages received on them."""

    def find_other_reference(self, serial: int) -> str:
        """Return which other table still refers to a request, or an empty string."""
