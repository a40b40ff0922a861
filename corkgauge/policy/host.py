"""The host protocol: what the policy calls to answer requests and to send attempts."""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.policy.records import Attempt, Request


class Host(Protocol):
    """Operations that the gateway calls; the host passes itself to the gateway at start.

    A host must not call the gateway while the gateway is calling the host.
    """

    now: int  # ticks
    lag: int  # ticks that the events of the host currently wait

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send an attempt to its engine; fail the attempt without an answer in `timeout` ticks."""

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Set memory (MB; 0: the engine decides) and priority of the request's next attempts."""

    def reject(self, request: Request, retry_after: int) -> None:
        """Answer that the request was rejected unrun; `retry_after` in ticks, 0: unspecified."""

    def fail(self, request: Request) -> None:
        """Answer that the request failed and may have been executed."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight; the host reports its outcome later."""

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` after `delay` ticks, never before this method returns."""

    def log(self, line: str) -> None:
        """Write one line to the log."""
