"""Asks a gateway's door for cuts, many times a second, from a hub.

Owns one connection and the cuts it got. Must never wait but in the hub.
"""

import json
import socket
from collections.abc import Callable
from typing import Any

import h11

from corkgauge.loop.hub import READ, SECOND, WRITE, Hub

PATIENCE = 2 * SECOND


class Scraper:
    """Calls `heard(cut)` for each cut; asks every `each` tenths of a millisecond, over one connection."""

    def __init__(self, hub: Hub, path: str, each: int, heard: Callable[[Any], None]) -> None:
        self.hub, self.path, self.each, self.heard = hub, path, each, heard
        self.stopped, self.missed = False, 0
        hub.spawn(self.run)

    def run(self) -> None:
        while not self.stopped:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            try:
                if not sock.connect_ex(self.path):
                    client = h11.Connection(h11.CLIENT)
                    while not self.stopped:
                        begun = self.hub.now
                        self.heard(json.loads(self._one(sock, client)))
                        client.start_next_cycle()
                        self.hub.sleep(max(self.each - (self.hub.now - begun), 1))
            except (OSError, ValueError, h11.ProtocolError):
                self.missed += 1
            finally:
                sock.close()
            if not self.stopped:
                self.hub.sleep(self.each)

    def _one(self, sock: socket.socket, client: h11.Connection) -> bytes:
        asked = h11.Request(method="GET", target="/figures", headers=[("Host", "figures")])
        self._write(sock, (client.send(asked) or b"") + (client.send(h11.EndOfMessage()) or b""))
        body, until = b"", self.hub.now + PATIENCE
        while True:
            event = client.next_event()
            if event is h11.NEED_DATA:
                if not self.hub.wait(sock.fileno(), READ, until):
                    raise OSError("no answer")
                client.receive_data(sock.recv(65_536))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return body
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("closed")

    def _write(self, sock: socket.socket, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                view = view[sock.send(view):]
            except BlockingIOError:
                self.hub.wait(sock.fileno(), WRITE, self.hub.now + PATIENCE)
