"""The live records of the host on sockets, as the auditor asks for them.

Owns nothing. Must never change a record, and never ask the ledger for what a record should tell.
"""

from collections.abc import Sequence
from typing import Any


class LiveRecords:
    """What the auditor compares; see `AuditedRecords` for what each method returns."""

    def __init__(self, socket_host: Any) -> None:
        self.socket_host = socket_host

    def open_entries(self) -> list[Any]:
        return [request.host_reference for request in self.socket_host.names.values()]

    def answering_entries(self) -> list[Any]:
        return [*self.socket_host.answering]

    def attempts_in_flight(self) -> list[Any]:
        return [*self.socket_host.in_flight_attempts.values(), *self.socket_host.called.values()]

    def attempt_mismatch(self, hand: Any) -> str:
        socket_host, attempt = self.socket_host, hand.attempt
        if attempt in socket_host.in_flight_attempts or attempt in socket_host.called:
            if not attempt.is_in_flight or attempt.outcome >= 0:
                return f"the gateway holds hand-off {abs(hand.serial)} over, the host out"
        return ""

    def engines(self) -> list[Any]:
        return [*self.socket_host.engine_pools.values()]

    def engine_mismatch(self, engine_pool: Any) -> tuple[str, str]:
        """Danger: a slot that the gateway never gets back is lost for good, and nothing else shows it."""
        socket_host, engine = self.socket_host, engine_pool.engine
        lost = threads = 0
        for attempt in engine.stats.in_flight:
            lost += (
                attempt not in socket_host.in_flight_attempts and attempt not in socket_host.called
            )
            threads += attempt.request.request_class.threads if attempt.request else 0
        if lost:
            return engine.name, f"the gateway holds {lost} hand-offs out that the host does not"
        if threads != engine.threads_in_flight:
            return engine.name, f"{engine.threads_in_flight} threads counted, {threads} out"
        return engine.name, ""

    def engine_name(self, engine_pool: Any) -> str:
        return engine_pool.engine.name

    def connections(self) -> Sequence[tuple[int, int]]:
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
        """By side: bytes received and sent, and pages, of connections that are up."""
        sides = [[0, 0, 0], [0, 0, 0]]
        for client_connection in self.socket_host.client_connections:
            _add(sides[0], client_connection.link, 0)
        for engine_pool in self.socket_host.engine_pools.values():
            for link in engine_pool.links:
                _add(sides[1], link.link, link.pages)
        return [(got, sent, pages) for got, sent, pages in sides]

    def find_trace(self, serial: int) -> str:
        """Danger: a submission that its table lost is still owed its answer, and its stream knows it."""
        for client_connection in self.socket_host.client_connections:
            for stream, request in client_connection.open.items():
                if request is not None and abs(request.host_reference.serial) == serial:
                    return f"stream {stream}"
        return ""


def _add(sums: list[int], link: Any, pages: int) -> None:
    sums[0] += link.bytes_received
    sums[1] += link.bytes_sent
    sums[2] += pages
