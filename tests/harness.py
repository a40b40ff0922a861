"""Test harnesses for the gateway policy and for the platform front end, shared by all tests.

`GatewayHarness` runs a gateway on a host that records the calls of the gateway. `HostHarness` runs
a platform front end over socket pairs and a simulated clock.
"""

import socket
import traceback

from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.loop import EventLoop
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.engine_protocol import command
from corkgauge.net.platform_frontend import PlatformFrontEnd
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import AttemptOutcome, Engine, EngineState, Request, RequestClass

SECOND = 10_000  # ticks
QUICK_CLASS = dict(
    name="quick",
    latency_objective=SECOND,
    objective_stretch=1.0,
    time_to_deadline=5 * SECOND,
    priority_weight=1.0,
)
DEFAULT_OPTIONS = dict(
    seed=7,
    gateway_number=1,
    gateway_count=2,
    host_period_ticks=10,
    can_cancel=False,
    can_hedge=False,
    max_attempts=4,
    retry_after_ticks=0,
    slow_start_speed=0.3,
    slow_start_ticks=15 * SECOND,
    overload_factor=2.0,
    overload_window_ticks=SECOND,
    retry_floor=0.0,
    retry_share=0.0,
    retry_window_ticks=0,
    settle_ticks=0,
)


class GatewayHarness:
    """Hosts a gateway on a simulated clock and records the gateway's calls except `call_later`.

    `calls` holds each call as (method, reference of the request, detail); a log line is held as
    ("log", line, None).
    """

    def __init__(self, request_classes=(QUICK_CLASS,), engines=3, **settings):
        self.now, self.lag, self.calls, self.timers, self.serial = 100 * SECOND, 0, [], [], 0
        self.request_classes = [RequestClass(**fields) for fields in request_classes]
        options = GatewayOptions(**{**DEFAULT_OPTIONS, **settings})
        self.gateway = Gateway(self, options, self.request_classes)
        self.engines = [
            Engine(f"e{index}", b"e%d" % index, index % 2, index % 2, index, cores=8.0)
            for index in range(engines)
        ]
        self.update_engines(*self.engines)

    def update_engines(self, *engines, state=EngineState.READY, started=0):
        for engine in engines:
            self.gateway.on_engine_update(engine, state, started)
        self.gateway.on_engine_list_complete()

    def submit_request(self, request_class=0, **fields):
        self.serial += 1
        fields = {
            "tenant": 0,
            "table_group": 1.0,
            "accepted_at": self.now,
            "time_to_deadline": 5 * SECOND,
            "estimated_work": 2000,
            **fields,
        }
        request = Request(f"s{self.serial}", self.request_classes[request_class], **fields)
        self.gateway.on_request(request)
        return request

    def finish_attempt(
        self, attempt, outcome=AttemptOutcome.SUCCEEDED, took=None, finished=None, work=2000
    ):
        """Report the end of an attempt; `took` is its duration in ticks.

        `finished` says whether the client has the final answer of the request.
        """
        took = self.now - attempt.sent_at if took is None else took
        finished = outcome == AttemptOutcome.SUCCEEDED if finished is None else finished
        self.gateway.on_attempt_finished(
            attempt, outcome, took, finished, work if finished else 0, 0.0, -1.0
        )

    def pass_time(self, duration):
        """Advance the clock by `duration` ticks and run the due timers in order."""
        until = self.now + duration
        while due := min(
            (timer for timer in self.timers if timer[0] <= until),
            key=lambda timer: timer[:2],
            default=None,
        ):
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            due[2](*due[3])
        self.now = until

    def recorded_calls(self, method):
        return [entry[1:] for entry in self.calls if entry[0] == method]

    # Methods of the host protocol.

    def send_attempt(self, attempt, allow):
        self.calls.append(
            ("send_attempt", attempt.request.host_reference, attempt.engine.host_reference)
        )

    def set_resources(self, request, memory, priority):
        self.calls.append(("set_resources", request.host_reference, priority))

    def reject(self, request, retry_after):
        self.calls.append(("reject", request.host_reference, retry_after))

    def fail(self, request):
        self.calls.append(("fail", request.host_reference, None))

    def cancel_attempt(self, attempt):
        self.calls.append(("cancel_attempt", attempt.request.host_reference, attempt.number))

    def call_later(self, delay, method, *arguments):
        self.serial += 1
        self.timers.append((self.now + max(delay, 1), self.serial, method, arguments))

    def log(self, line):
        self.calls.append(("log", line, None))


PLATFORM_SETTINGS = {
    "profiles": [
        {"name": "quick", "objectiveUs": 1_000_000, "deadlineUs": 5_000_000, "worth": 1.0},
        {
            "name": "load",
            "objectiveUs": 1_000_000,
            "deadlineUs": 5_000_000,
            "effect": "token",
            "fifoByKey": True,
            "keyTtlUs": 5_000_000,
        },
        {
            "name": "once",
            "objectiveUs": 1_000_000,
            "deadlineUs": 5_000_000,
            "effect": "side_effect",
        },
    ],
    "customers": [{"name": "acme"}],
    "azs": ["east", "west"],
    "kinds": ["std"],
    "extra": {
        "coresByKind": [8],
        "sizeMb": [1000],
        "mostGrant": 0.5,
        "takesGrants": True,
        "takesPriority": True,
        "bills": True,
    },
    "limits": {"mostTries": 3, "streamsPerConn": 4},
    "rules": {"coldShare": 0.3, "fallUs": 1_000_000},
}
ENGINE_ENTRY = {
    "id": "e1",
    "addr": "127.0.0.9:1",
    "zone": "east",
    "kind": "std",
    "state": "SERVING",
}


def endpoint_list_event(number, *servers, full=True):
    """Build watch event `number`; each server lists the fields that differ from ENGINE_ENTRY."""
    return {
        "n": number,
        "members": {"full": full, "servers": [{**ENGINE_ENTRY, **server} for server in servers]},
    }


def request_id(number):
    """Return a request id as the `trace` field has it: 16 hexadecimal digits."""
    return f"{number:016x}"


def request_frame(stream=1, body=b"select * from s_3.t", **fields):
    """Encode a request as a client sends it; a field that is None is left out."""
    fields = {
        "route": "quick",
        "trace": request_id(stream),
        "patience": "3000",
        "customer": "acme",
        "weight": "200",
        **fields,
    }
    header = bytes([len(fields)]) + b"".join(
        bytes([len(key)])
        + key.encode()
        + len(value.encode()).to_bytes(2, "little")
        + value.encode()
        for key, value in fields.items()
        if value is not None
    )
    length = 5 + len(header) + len(body)
    return length.to_bytes(4, "little") + b"\2" + stream.to_bytes(4, "little") + header + body


class HostHarness:
    """Runs a platform front end on a simulated clock, with socket pairs for its connections.

    Methods return the socket at the client's or engine's end of a pair; the front end has the other
    end.
    """

    def __init__(self, events=(endpoint_list_event(1, {}),), sockets=1024, **settings):
        configuration = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "seed": "7",
            "limits": {"sockets": sockets},
            "known": {"n": 1, "events": list(events)},
            "settings": {**PLATFORM_SETTINGS, **settings},
        }
        self.time, self.logged = 10**9, []
        self.event_loop = EventLoop(
            clock=lambda: self.time, on_exception=lambda: self.logged.append(traceback.format_exc())
        )
        # No engine listens: `connect_engine` adds connections directly.
        EnginePool.dial = lambda engine_pool, address: None
        self.socket_host = PlatformFrontEnd(
            self.event_loop, PlatformConfig(configuration, ""), self.logged.append
        )
        self.turn()

    def turn(self, rounds=6):
        for _ in range(rounds):
            self.event_loop.turn(0)

    def pass_time(self, duration, step=50):
        """Advance the clock by `duration` ticks, with two turns of the event loop per `step`."""
        for _ in range(duration // step):
            self.time += step
            self.turn(2)

    def connect_client(self):
        peer_socket, host_socket = socket.socketpair()
        self.socket_host.add_client(host_socket)
        self.turn()
        peer_socket.setblocking(False)
        return peer_socket

    def connect_engine(self, tag="e1"):
        peer_socket, host_socket = socket.socketpair()
        engine_pool = self.socket_host.engine_pools[tag]
        link = EngineConnection(engine_pool, host_socket)
        engine_pool.links.append(link)
        self.event_loop.spawn(link.link.run)
        link.check_idle()
        engine_pool.fill()
        self.turn()
        peer_socket.setblocking(False)
        return peer_socket

    def send(self, sock, data):
        sock.sendall(data)
        self.turn()

    def receive(self, sock):
        self.turn()
        try:
            return sock.recv(1 << 20)
        except BlockingIOError:
            return b""

    def receive_answers(self, sock):
        """Return the frames received as (type, stream, code, body)."""
        data, frames = self.receive(sock), []
        while data:
            size = int.from_bytes(data[:4], "little")
            frame, data = data[: 4 + size], data[4 + size :]
            frames.append((frame[4], int.from_bytes(frame[5:9], "little"), frame[9:10], frame[11:]))
        return frames

    def send_engine_command(self, sock, *parts):
        self.send(sock, command(*parts))


class SlowPoller:
    """A poll object during whose next poll the process stands still."""

    def __init__(self, harness, standstill_ticks):
        self._harness, self._poller = harness, harness.event_loop._poller
        self._standstill_ticks = standstill_ticks
        harness.event_loop._poller = self

    def poll(self, timeout):
        self._harness.time += self._standstill_ticks
        self._standstill_ticks = 0
        return self._poller.poll(timeout)

    def __getattr__(self, name):
        return getattr(self._poller, name)
