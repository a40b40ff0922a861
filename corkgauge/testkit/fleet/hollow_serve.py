"""The real program before many databases that are one process: a list of any length, a few listeners behind it.

Owns one child process and the cast around it: stand-in databases that share their listeners, a
feed, clients. Must never send to any address but loopback ones; its child ends with it.
"""

import shutil
import socket
import tempfile
import time
from typing import Any

from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.testkit.emulators.clients import EmulatedClient, Want
from corkgauge.testkit.emulators.discovery import EmulatedDiscovery
from corkgauge.testkit.emulators.engines import EmulatedEngine
from corkgauge.testkit.emulators.protocols import ready_question
from corkgauge.testkit.fleet import hollow_gateway
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.ports import free_port

LISTENER_COUNT, CLIENT_COUNT = 8, 8
CORES_PER_LISTENER = (
    10_000  # of a listener, which stands for many databases: its pace stays that of the work alone
)
REQUEST_TYPES = [
    Want("lookup", 0.66, 3_000, 2.0),
    Want("report", 0.12, 6_000, 60.0),
    Want("load", 0.12, 3_000, 10.0, labelled=True, ordered=True),
    Want("once", 0.10, 3_000, 5.0),
]


class MeasuredGatewayProcess(GatewayProcess):
    """`serve`, and how much of a processor it has had."""

    def cpu_seconds(self) -> float:
        """Seconds of processor time so far, to the nanosecond; the program has one thread."""
        with open(f"/proc/{self.process.pid}/schedstat", "rb") as file:
            return int(file.read().split()[0]) / 1e9


class HollowServeProcess:
    """The program with `engines` in the list that it starts from."""

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
        """Start it: wall and processor seconds until it tells a client that it is ready."""
        begun = time.monotonic()
        self.program.start()
        while time.monotonic() < begun + patience and self.program.is_running():
            try:
                with socket.create_connection(self.address, 0.5) as sock:
                    sock.settimeout(patience)
                    sock.sendall(ready_question())
                    answer = sock.recv(64)
                    if len(answer) >= 10 and answer[9] == 1:
                        return time.monotonic() - begun, self.program.cpu_seconds()
            except OSError:
                pass
            time.sleep(0.002)
        raise RuntimeError("never ready: " + " | ".join(self.program.log()[-3:]))

    def until(self, seconds: float) -> None:
        """Play the cast's part for so long."""
        until = self.event_loop.now + int(seconds * SECOND)
        while self.event_loop.now < until:
            self.event_loop.turn(min((until - self.event_loop.now) / 10, 20))

    def start_clients(self, rate: float) -> None:
        """Clients come and ask, so many statements a second in all."""
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
        return sum(len(client.book) for client in self.clients)

    def tally(self) -> dict[str, int]:
        said: dict[str, Any] = {}
        for client in self.clients:
            for name, count in client.tally().items():
                said[name] = said.get(name, 0) + count
        return said

    def close(self) -> None:
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
