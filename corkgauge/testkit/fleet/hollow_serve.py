"""Runs the program with an endpoint list of any length, whose engines share a few listeners.

Owns one child process, the emulated engines, which share their listeners, the endpoint list and the
clients. Sends to loopback addresses only; the child process ends with this one.
"""

import shutil
import socket
import tempfile
import time
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.testkit.emulators.clients import EmulatedClient, RequestProfile
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.emulators.protocols import readiness_query_frame
from corkgauge.testkit.fleet import hollow_gateway
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.ports import free_port

LISTENER_COUNT, CLIENT_COUNT = 8, 8
# A listener stands for many engines: with this many cores an attempt never waits for a core.
CORES_PER_LISTENER = 10_000
REQUEST_TYPES = [
    RequestProfile("lookup", 0.66, 3_000, 2.0),
    RequestProfile("report", 0.12, 6_000, 60.0),
    RequestProfile("load", 0.12, 3_000, 10.0, has_idempotency_key=True, has_order_key=True),
    RequestProfile("once", 0.10, 3_000, 5.0),
]


class MeasuredGatewayProcess(GatewayProcess):
    """A gateway process whose processor time is read with nanosecond resolution."""

    def cpu_seconds(self) -> float:
        """Return the seconds of processor time used so far, to the nanosecond.

        The file counts the main thread only, and the program has one thread.
        """
        with open(f"/proc/{self.process.pid}/schedstat", "rb") as file:
            return int(file.read().split()[0]) / 1e9


class HollowServeProcess:
    """Runs the program with `engines` engines on its initial endpoint list."""

    def __init__(
        self, engines: int, seed: int = 7, start: tuple[str, ...] = ("-m", "corkgauge")
    ) -> None:
        self.event_loop, self.folder = EventLoop(), tempfile.mkdtemp(prefix="corkgauge-")
        means = {each.name: each.work_ticks / 10 for each in hollow_gateway.CLASSES}
        known: dict[str, int] = {}
        self.engines = [
            EmulatedEngine(
                self.event_loop,
                f"listener{n}",
                "k0",
                "zone-0",
                CORES_PER_LISTENER,
                means,
                seed * 100 + n,
                known,
            )
            for n in range(min(LISTENER_COUNT, engines))
        ]
        self.feed = EmulatedDiscovery(self.event_loop)
        self.address = "127.0.0.1", free_port()
        first = hollow_gateway.engine_list_event(
            1, engines, address=lambda n: self.engines[n % len(self.engines)].address
        )
        self.feed.version, self.feed.events = 1, [first]
        self.program = MeasuredGatewayProcess(
            self.folder,
            hollow_gateway.configuration(engines, "%s:%d" % self.address, self.feed.address, first),
            start=start,
        )
        self.clients: list[EmulatedClient] = []

    def start_and_wait(self, patience: float = 60.0) -> tuple[float, float]:
        """Start the program; return the wall and processor seconds until it reports ready.

        Raises:
            RuntimeError: The program ended or was not ready in time.
        """
        started_at = time.monotonic()
        self.program.start()
        while time.monotonic() < started_at + patience and self.program.is_running():
            try:
                with socket.create_connection(self.address, 0.5) as sock:
                    sock.settimeout(patience)
                    sock.sendall(readiness_query_frame())
                    answer = sock.recv(64)
                    if len(answer) >= 10 and answer[9] == 1:
                        return time.monotonic() - started_at, self.program.cpu_seconds()
            except OSError:
                pass
            time.sleep(0.002)
        raise RuntimeError(
            "the gateway did not report ready; last log lines: "
            + " | ".join(self.program.log()[-3:])
        )

    def until(self, seconds: float) -> None:
        """Run the event loop of the emulated engines and clients for a time."""
        deadline = self.event_loop.now + int(seconds * SECOND)
        while self.event_loop.now < deadline:
            self.event_loop.turn(min((deadline - self.event_loop.now) / 10, 20))

    def start_clients(self, rate: float) -> None:
        """Start the clients, which together send `rate` requests per second."""
        self.clients = [
            EmulatedClient(
                self.event_loop,
                self.address,
                REQUEST_TYPES,
                f"t{n % hollow_gateway.TENANT_COUNT}",
                rate / CLIENT_COUNT,
                70_000 + n,
            )
            for n in range(CLIENT_COUNT)
        ]

    def sent_request_count(self) -> int:
        """Return the number of requests that the clients sent."""
        return sum(len(client.requests) for client in self.clients)

    def tally(self) -> dict[str, int]:
        """Count the requests of all clients by how they ended."""
        counts: dict[str, Any] = {}
        for client in self.clients:
            for name, count in client.count_outcomes().items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def close(self) -> None:
        """End the program and the emulators, and delete the folder."""
        for client in self.clients:
            client.stop()
        self.until(0.05)
        if self.program.is_running():
            self.program.end(2.0)
        for engine in self.engines:
            engine.listener.close()
        self.feed.listener.close()
        self.until(0.02)
        shutil.rmtree(self.folder, ignore_errors=True)
