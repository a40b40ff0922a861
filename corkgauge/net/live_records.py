"""Gives the auditor access to the live records of the host on sockets.

Owns no state. Must never change a record, and never derive a record's data from the ledger.
"""

from collections.abc import Sequence
from typing import Any


class LiveRecords:
    """Implements `AuditedRecords`, which documents each method, for the host on sockets."""

    def __init__(self, socket_host: Any) -> None:
        self.socket_host = socket_host

    def list_open_entries(self) -> list[Any]:
        """Return a copy of the open requests."""
        return [request.host_reference for request in self.socket_host.open_requests.values()]

    def list_answering_entries(self) -> list[Any]:
        """Return a copy of the finished requests whose answer is not completely written."""
        return [*self.socket_host.answering]

    def list_attempts_in_flight(self) -> list[Any]:
        """Return a copy of the attempts in flight, including cancelled ones without an outcome."""
        return [
            *self.socket_host.in_flight_attempts.values(),
            *self.socket_host.cancelled_attempts.values(),
        ]

    def find_attempt_mismatch(self, in_flight_attempt: Any) -> str:
        """Return how an attempt in flight differs from the gateway's record, or an empty string."""
        socket_host, attempt = self.socket_host, in_flight_attempt.attempt
        if attempt in socket_host.in_flight_attempts or attempt in socket_host.cancelled_attempts:
            if not attempt.is_in_flight or attempt.outcome >= 0:
                return (
                    f"attempt {abs(in_flight_attempt.serial)} has finished for the gateway, and is "
                    "in flight for the host"
                )
        return ""

    def list_engines(self) -> list[Any]:
        """Return a copy of the engine pools."""
        return [*self.socket_host.engine_pools.values()]

    def find_engine_mismatch(self, engine_pool: Any) -> tuple[str, str]:
        """Return an engine's name, and how the gateway's records of the engine are inconsistent.

        That is: attempts that only the gateway counts as in flight there, or a count of threads in
        flight that differs from the sum over these attempts. A slot that is never returned to the
        gateway is lost for good, and only this check shows the loss.
        """
        socket_host, engine = self.socket_host, engine_pool.engine
        lost = threads = 0
        for attempt in engine.stats.in_flight:
            lost += (
                attempt not in socket_host.in_flight_attempts
                and attempt not in socket_host.cancelled_attempts
            )
            threads += attempt.request.request_class.threads if attempt.request else 0
        if lost:
            return (
                engine.name,
                f"gateway counts {lost} attempts in flight that the host does not have",
            )
        if threads != engine.threads_in_flight:
            return (
                engine.name,
                f"gateway counts {engine.threads_in_flight} threads in flight, "
                f"the attempts add up to {threads}",
            )
        return engine.name, ""

    def get_engine_name(self, engine_pool: Any) -> str:
        """Return an engine's name."""
        return engine_pool.engine.name

    def count_connections(self) -> Sequence[tuple[int, int]]:
        """Return, by side, the number of open connections and the pages received on them."""
        links = [
            link
            for engine_pool in self.socket_host.engine_pools.values()
            for link in engine_pool.links
        ]
        return (len(self.socket_host.client_connections), 0), (
            len(links),
            sum(link.pages for link in links),
        )

    def live_bytes(self) -> Sequence[tuple[int, int, int]]:
        """Return, by side, the bytes received, bytes sent and pages of open connections."""
        sides = [[0, 0, 0], [0, 0, 0]]
        for client_connection in self.socket_host.client_connections:
            _add(sides[0], client_connection.link, 0)
        for engine_pool in self.socket_host.engine_pools.values():
            for link in engine_pool.links:
                _add(sides[1], link.link, link.pages)
        return [(got, sent, pages) for got, sent, pages in sides]

    def find_other_reference(self, serial: int) -> str:
        """Return the stream of the request with this serial number, or an empty string.

        A request that is missing from the host's table of open requests still needs an answer, and
        can be found through the stream.
        """
        for client_connection in self.socket_host.client_connections:
            for stream, request in client_connection.open.items():
                if request is not None and abs(request.host_reference.serial) == serial:
                    return f"stream {stream}"
        return ""


def _add(sums: list[int], link: Any, pages: int) -> None:
    sums[0] += link.bytes_received
    sums[1] += link.bytes_sent
    sums[2] += pages
