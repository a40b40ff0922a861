"""Requests snapshots from a gateway's operator socket, many times a second.

Owns one connection. Waits only in the event loop.
"""

import json
import socket
from collections.abc import Callable
from typing import Any

import h11

from corkgauge.eventloop.loop import EventLoop
from corkgauge.testkit.fleet.http_client import send_request


class Scraper:
    """Requests a snapshot every `interval` ticks, and calls `on_snapshot` with each.

    All requests use one connection; after a failed request, counted in `missed`, a new one is made.
    """

    def __init__(
        self, event_loop: EventLoop, path: str, interval: int, on_snapshot: Callable[[Any], None]
    ) -> None:
        self.event_loop, self.path, self.interval, self.on_snapshot = (
            event_loop,
            path,
            interval,
            on_snapshot,
        )
        self.stopped, self.missed = False, 0
        event_loop.spawn(self.run)

    def run(self) -> None:
        """Request snapshots until `stopped` is set."""
        while not self.stopped:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            try:
                if not sock.connect_ex(self.path):
                    client = h11.Connection(h11.CLIENT)
                    while not self.stopped:
                        started_at = self.event_loop.now
                        self.on_snapshot(
                            json.loads(
                                send_request(self.event_loop, sock, client, "GET", "/figures")[1]
                            )
                        )
                        client.start_next_cycle()
                        self.event_loop.sleep(
                            max(self.interval - (self.event_loop.now - started_at), 1)
                        )
            except (OSError, ValueError, h11.ProtocolError):
                self.missed += 1
            finally:
                sock.close()
            if not self.stopped:
                self.event_loop.sleep(self.interval)
