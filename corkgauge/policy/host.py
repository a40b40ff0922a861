"""The host protocol: what the policy asks of whoever carries requests and attempts."""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.policy.records import Attempt, Request


class Host(Protocol):
    """What the gateway may do. It is handed over at start.

    A host must never call the gateway from within one of the gateway's own calls.
    """

    now: int  # ticks
    lag: int  # ticks that its events have to wait at present

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send an attempt to its engine; it fails if it has no answer within `timeout` ticks."""

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Memory (MB, 0: the engine decides) and priority of the request's attempts from now on."""

    def reject(self, request: Request, retry_after: int) -> None:
        """Answer that the request was not run; `retry_after` in ticks, 0: unspecified."""

    def fail(self, request: Request) -> None:
        """Answer that the request failed and may have run."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight; its outcome follows."""

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call back once `delay` ticks have passed, never at once."""

    def log(self, line: str) -> None:
        """Write one line to the log."""
