"""Sends requests to the HTTP listener of a gateway.

The requests block, so a program that serves clients must not use this module.
"""

import http.client
import json
import socket
from http import HTTPStatus
from typing import Any


class UnixConnection(http.client.HTTPConnection):
    """An HTTP connection over a Unix socket."""

    def __init__(self, path: str, timeout_seconds: float) -> None:
        super().__init__("localhost", timeout=timeout_seconds)
        self.path = path

    def connect(self) -> None:
        """Connect to the socket at the path."""
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

    `address` is the path of a Unix socket, or ADDRESS:PORT. Raises OSError if there is no answer
    within the timeout, and ValueError for an invalid answer. For a rejected request, the ValueError
    contains the reason.
    """
    connection = _create_connection(address, timeout_seconds)
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


def _create_connection(address: str, timeout_seconds: float) -> http.client.HTTPConnection:
    host, colon, port = address.rpartition(":")
    if address.startswith("/") or not colon or not port.isdigit():
        return UnixConnection(address, timeout_seconds)
    return http.client.HTTPConnection(host.strip("[]"), int(port), timeout=timeout_seconds)
