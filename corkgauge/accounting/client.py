"""Asking a gateway's HTTP listener, from a program that may wait.

Owns one blocking request. Never used by a serving program: it waits.
"""

import http.client
import json
import socket
from http import HTTPStatus
from typing import Any


class UnixConnection(http.client.HTTPConnection):
    """HTTP over a Unix socket."""

    def __init__(self, path: str, timeout_seconds: float) -> None:
        super().__init__("localhost", timeout=timeout_seconds)
        self.path = path

    def connect(self) -> None:
        """Connect to the path."""
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)


def request_json(
    address: str,
    target: str = "/figures",
    method: str = "GET",
    timeout_seconds: float = 5.0,
    body: Any = None,
) -> Any:
    """Send a request, with `body` as JSON, and return the JSON of the answer.

    `address` is the path of a Unix socket, or ADDRESS:PORT. Raises OSError or ValueError where
    nothing sensible comes within the timeout; the ValueError of a refused request says why.
    """
    connection = _connection_to(address, timeout_seconds)
    encoded = None if body is None else json.dumps(body).encode()
    try:
        connection.request(method, target, encoded)
        response = connection.getresponse()
        content = response.read()
        if response.status == HTTPStatus.BAD_REQUEST:
            raise ValueError(f"{address}: {json.loads(content).get('wrong')}")
        if response.status != HTTPStatus.OK:
            raise ValueError(f"{address}: status {response.status}")
        return json.loads(content)
    except http.client.HTTPException as problem:
        raise ValueError(f"{address}: {type(problem).__name__}") from None
    finally:
        connection.close()


def _connection_to(address: str, timeout_seconds: float) -> http.client.HTTPConnection:
    host, colon, port = address.rpartition(":")
    if address.startswith("/") or not colon or not port.isdigit():
        return UnixConnection(address, timeout_seconds)
    return http.client.HTTPConnection(host.strip("[]"), int(port), timeout=timeout_seconds)
