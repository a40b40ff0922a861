"""Sends HTTP requests to a gateway's operator socket from a task of an event loop.

Waits only in the event loop.
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
    request_body: bytes = b"",
) -> tuple[int, bytes]:
    """Send a request and return the status and body of the answer; call this from a task.

    Raises:
        OSError: The connection was closed, or the answer did not arrive in time.
    """
    headers = [("Host", "figures"), ("Content-Length", str(len(request_body)))]
    data = client.send(h11.Request(method=method, target=target, headers=headers)) or b""
    data += (client.send(h11.Data(data=request_body)) or b"") if request_body else b""
    view = memoryview(data + (client.send(h11.EndOfMessage()) or b""))
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            event_loop.wait(sock.fileno(), WRITE, event_loop.now + TIMEOUT_TICKS)
    body, status, deadline = b"", 0, event_loop.now + TIMEOUT_TICKS
    while True:
        event = client.next_event()
        if event is h11.NEED_DATA:
            if not event_loop.wait(sock.fileno(), READ, deadline):
                raise OSError("the gateway's operator socket sent no answer within 2 s")
            client.receive_data(sock.recv(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("the gateway closed the connection before the end of its answer")


def query_endpoint(
    event_loop: EventLoop, path: str, target: str, body: Any, on_answer: Callable[[Any], None]
) -> None:
    """Start a task that sends a request, and calls `on_answer` with the decoded JSON answer.

    `on_answer` gets None if no answer with the status 200 or 400 and valid JSON arrives.
    """
    event_loop.spawn(_run_query, event_loop, path, target, body, on_answer)


def _run_query(
    event_loop: EventLoop, path: str, target: str, body: Any, on_answer: Callable[[Any], None]
) -> None:
    sock = socket.socket(socket.AF_UNIX)
    sock.setblocking(False)
    answer = None
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
            answer = json.loads(data) if status in (200, 400) else None
    except (OSError, ValueError, h11.ProtocolError):
        pass
    finally:
        sock.close()
    on_answer(answer)
