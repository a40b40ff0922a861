"""Asking a gateway's door from a hub: one exchange at a time, over a Unix socket.

Owns the exchange. Must never wait but in the hub.
"""

import json
import socket
from collections.abc import Callable
from typing import Any

import h11

from corkgauge.eventloop.loop import READ, SECOND, WRITE, EventLoop

TIMEOUT_TICKS = 2 * SECOND


def send_request(
    event_loop: EventLoop,
    sock: socket.socket,
    client: h11.Connection,
    method: str,
    target: str,
    said: bytes = b"",
) -> tuple[int, bytes]:
    """Status and body of one answer. OSError where none comes. To be called from a task of the hub."""
    headers = [("Host", "figures"), ("Content-Length", str(len(said)))]
    data = client.send(h11.Request(method=method, target=target, headers=headers)) or b""
    data += (client.send(h11.Data(data=said)) or b"") if said else b""
    view = memoryview(data + (client.send(h11.EndOfMessage()) or b""))
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            event_loop.wait(sock.fileno(), WRITE, event_loop.now + TIMEOUT_TICKS)
    body, status, until = b"", 0, event_loop.now + TIMEOUT_TICKS
    while True:
        event = client.next_event()
        if event is h11.NEED_DATA:
            if not event_loop.wait(sock.fileno(), READ, until):
                raise OSError("no answer")
            client.receive_data(sock.recv(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("closed")


def query_endpoint(
    event_loop: EventLoop, path: str, target: str, body: Any, on_answer: Callable[[Any], None]
) -> None:
    """In a task of its own: `on_answer` gets what the door answers, or None where nothing sensible comes."""
    event_loop.spawn(_run_query, event_loop, path, target, body, on_answer)


def _run_query(
    event_loop: EventLoop, path: str, target: str, body: Any, on_answer: Callable[[Any], None]
) -> None:
    sock = socket.socket(socket.AF_UNIX)
    sock.setblocking(False)
    said = None
    try:
        if not sock.connect_ex(path):
            status, data = send_request(
                event_loop,
                sock,
                h11.Connection(h11.CLIENT),
                "GET" if body is None else "POST",
                target,
                b"" if body is None else json.dumps(body).encode(),
            )
            said = json.loads(data) if status in (200, 400) else None
    except (OSError, ValueError, h11.ProtocolError):
        pass
    finally:
        sock.close()
    on_answer(said)
