"""Asking a gateway's door for its figures, from a program that may wait.

Owns one blocking request. Must never be used by a serving program: it waits.
"""

import http.client
import json
import socket
from typing import Any


class UnixConnection(http.client.HTTPConnection):
    """HTTP over a Unix socket."""

    def __init__(self, path: str, timeout: float) -> None:
        super().__init__("localhost", timeout=timeout)
        self.path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)


def ask(
    where: str,
    target: str = "/figures",
    method: str = "GET",
    timeout: float = 5.0,
    body: Any = None,
) -> Any:
    """The JSON that a door tells, asked with `body` as JSON. `where` is the path of a Unix socket, or
    ADDRESS:PORT. OSError or ValueError where nothing sensible comes within `timeout` seconds."""
    host, colon, port = where.rpartition(":")
    if where.startswith("/") or not colon or not port.isdigit():
        connection: http.client.HTTPConnection = UnixConnection(where, timeout)
    else:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
    try:
        connection.request(method, target, None if body is None else json.dumps(body).encode())
        answer = connection.getresponse()
        said = answer.read()
        if answer.status == 400:
            raise ValueError(f"{where}: {json.loads(said).get('wrong')}")
        if answer.status != 200:
            raise ValueError(f"{where}: status {answer.status}")
        return json.loads(said)
    except http.client.HTTPException as problem:
        raise ValueError(f"{where}: {type(problem).__name__}") from None
    finally:
        connection.close()
