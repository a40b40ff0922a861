"""What maintenance needs of the host that serves."""

from collections.abc import Callable, Mapping, MutableMapping
from typing import Any, Protocol

from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import EventLoop
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import Request, RequestClass


class ServingHost(Protocol):
    """The host's open requests, engines and listener, as maintenance uses them."""

    event_loop: EventLoop
    gateway: Gateway
    settings: Settings
    ledger: Any  # its rows of request classes are read
    maintenance: Any  # the maintenance service registers itself here

    @property
    def engine_pools(self) -> Mapping[str, Any]:
        """Connection pools by the engine's reference."""

    @property
    def open_requests(self) -> Mapping[str, Request]:
        """Open requests by name."""

    @property
    def request_classes(self) -> Mapping[str, RequestClass]:
        """Request classes by name."""

    @property
    def routes(self) -> MutableMapping[tuple[bytes, bytes], Callable[[bytes], Any]]:
        """What the accounting listener answers for subsystems, by method and path."""

    @property
    def log(self) -> Callable[[str], None]:
        """Writes one line to the log."""
