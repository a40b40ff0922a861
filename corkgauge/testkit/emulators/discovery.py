"""Emulates the discovery server on loopback, which sends numbered events to its subscribers.

Owns the endpoint list, which a test's script changes, and the time of each change. Sends a comment
each second, as the platform's discovery server does. It may also answer late, or fall silent.
"""

import json
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.testkit.emulators.listener import Listener, make_connection
from corkgauge.testkit.emulators.protocols import EmulatedDiscoveryProtocol


class DiscoveryConnection:
    """Sends events to one gateway that subscribed to them."""

    def __init__(self, feed: "EmulatedDiscovery", sock: Any) -> None:
        self.feed, self.last_number = feed, -1
        self.is_silent = False
        self.connection = make_connection(
            feed.event_loop, sock, EmulatedDiscoveryProtocol(self), self
        )

    def on_events_requested(self, last: int) -> None:
        """Answer a request for all events after number `last`, after the delay of the server."""
        self.feed.event_loop.call_later(self.feed.answer_delay_ticks, self._answer, last)

    def _answer(self, last: int) -> None:
        if self.is_silent:
            return
        self.connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.last_number = last
        self.send_events()

    def send_events(self) -> None:
        """Send the events that this gateway does not have yet."""
        if self.last_number >= 0 and not self.is_silent:
            for event in self.feed.events:
                if event["n"] > self.last_number:
                    self.last_number = event["n"]
                    self.connection.send(
                        b"id: %d\ndata: %s\n\n" % (self.last_number, json.dumps(event).encode())
                    )

    def on_output_drained(self) -> None:
        """Do nothing: the server never waits for its output."""

    def on_closed(self, why: str) -> None:
        """Remove the connection from the listener."""
        self.feed.listener.remove_connection(self)


class EmulatedDiscovery:
    """Publishes the states of engines as events.

    `changes` holds each published state of an engine: time in ticks, name, state, and the engine's
    start in ms. `answer_delay_ticks` is the time from a request to the first byte of its answer.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.version = event_loop, 0
        self.events: list[dict[str, Any]] = []
        self.changes: list[tuple[int, str, str, int]] = []
        self.answer_delay_ticks = 0
        self.listener = Listener(event_loop, lambda sock: DiscoveryConnection(self, sock))
        event_loop.call_later(SECOND, self.send_comment)

    @property
    def address(self) -> str:
        """Host and port, as the gateway's configuration has them."""
        return "%s:%d" % self.listener.address

    def publish(
        self, engines: list[Any], state: str = "SERVING", full: bool = False
    ) -> dict[str, Any]:
        """Publish the state of engines to all subscribers; return the event."""
        self.version += 1
        servers = [
            {
                "id": each.name,
                "addr": each.address,
                "zone": each.zone,
                "kind": each.kind,
                "cell": 0,
                "state": state,
                "weight": 1,
                "started_ms": each.started_ms,
            }
            for each in engines
        ]
        event = {
            "n": self.version,
            "members": {"version": self.version, "full": full, "servers": servers},
        }
        self.events.append(event)
        for each in engines:
            self.changes.append((self.event_loop.now, each.name, state, each.started_ms))
        for connection in self.listener.connections:
            connection.send_events()
        return event

    def silence_connections(self) -> None:
        """Send nothing more on the connections that are open now."""
        for connection in self.listener.connections:
            connection.is_silent = True

    def send_comment(self) -> None:
        """Send a comment to all subscribers, and again each second."""
        for connection in self.listener.connections:
            if connection.last_number >= 0 and not connection.is_silent:
                connection.connection.send(b": \n\n")
        self.event_loop.call_later(SECOND, self.send_comment)
