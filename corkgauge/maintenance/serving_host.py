"""Declares the interface of the serving host that maintenance uses."""

from collections.abc import Callable, Mapping, MutableMapping
from typing import Any, Protocol

from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import EventLoop
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import Request, RequestClass


class ServingHost(Protocol):
    """The serving host's requests, engines and HTTP routes."""

    event_loop: EventLoop
    gateway: Gateway
    settings: Settings
    ledger: Any  # maintenance reads its rows of request classes
    maintenance: Any  # set by the maintenance service to itself

    @property
    def engine_pools(self) -> Mapping[str, Any]:
        """Return the connection pools by the engine's host reference."""

    @property
    def open_requests(self) -> Mapping[str, Request]:
        """Return the open requests by name."""

    @property
    def request_classes(self) -> Mapping[str, RequestClass]:
        """Return the request classes by name."""

    @property
    def routes(self) -> MutableMapping[tuple[bytes, bytes], Callable[[bytes], Any]]:
        """Return the HTTP handlers that subsystems add to the listener, by method and path."""

    @property
    def log(self) -> Callable[[str], None]:
        """Return the function that writes one line to the log."""
