"""What the auditor needs of the live records: the protocol that their owner implements."""

from collections.abc import Sequence
from typing import Any, Protocol


class AuditedRecords(Protocol):
    """The live records, as their owner shows them; no call interrupts a change to them."""

    def open_entries(self) -> list[Any]:
        """Return a copy of the open requests, each a `RequestEntry`."""

    def answering_entries(self) -> list[Any]:
        """Return a copy of the requests that ended and whose answer is not sent completely."""

    def attempts_in_flight(self) -> list[Any]:
        """Return a copy of the attempts in flight, each an `AttemptEntry`."""

    def find_attempt_mismatch(self, attempt: Any) -> str:
        """Return how an attempt in flight differs from the gateway's record; empty: it does not."""

    def engines(self) -> list[Any]:
        """Return a copy of the engines."""

    def find_engine_mismatch(self, engine: Any) -> tuple[str, str]:
        """Return an engine's name, and what the gateway alone holds in flight there."""

    def engine_name(self, engine: Any) -> str:
        """Return an engine's name."""

    def connections(self) -> Sequence[tuple[int, int]]:
        """Return, by side, the connections that are up, and the pages received on them."""

    def find_other_reference(self, serial: int) -> str:
        """Return where else a request is still found, or an empty string."""
