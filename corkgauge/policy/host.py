"""The host protocol: what the policy calls to answer requests and to send attempts."""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.policy.records import Attempt, Request


class Host(Protocol):
    """Operations that the gateway calls; the host passes itself to the gateway at start.

    A host must not call the gateway while the gateway is calling the host.
    """

    now: int  # ticks
    lag: int  # ticks that events currently wait before the host handles them

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send an attempt to its engine; end it if no answer arrives within `timeout` ticks.

        The outcome is then TIMED_OUT, or ABANDONED if no byte of the attempt was sent.
        """

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        """Set memory (MB; 0: the engine decides) and priority of the request's next attempts.

        Priorities are 0 to 3; engines serve 3 first.
        """

    def reject(self, request: Request, retry_after: int) -> None:
        """Answer that the request was rejected and the client may safely send it again.

        `retry_after` is the time in ticks after which to send it again; 0: unspecified.
        """

    def fail(self, request: Request) -> None:
        """Answer that the request failed; an engine may have executed it."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight; the host reports its outcome later."""

    def call_later(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` after `delay` ticks, never before this method returns."""

    def log(self, line: str) -> None:
        """Write one line to the log."""
