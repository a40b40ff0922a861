"""Stateful test with random actions of clients, engines, the endpoint list and the clock.

Each request gets exactly one final answer, and no attempt starts after its client has left.
"""

import json
import socket

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corkgauge.net import engine_pool as engine_pool_module
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.engine_protocol import command
from tests.harness import (
    PLATFORM_SETTINGS,
    HostHarness,
    endpoint_list_event,
    request_frame,
    request_id,
)

REAL_DIAL = EnginePool.dial
RESULT_ROW = "a\t\t\n"
LONGEST_WAIT_TICKS = 52_000
NEVER_RAN_STATUSES = "WAIT", "PAST"  # statuses by which an engine states that an attempt never ran


def send_if_open(sock, data):
    """Send data to a peer that may have closed the connection."""
    try:
        sock.sendall(data)
    except (BrokenPipeError, ConnectionResetError):
        pass


class TrackedRequest:
    """Tracks one request from its client's side."""

    def __init__(self, client, stream, trace, route):
        self.client, self.stream, self.trace, self.route = client, stream, trace, route
        self.is_abandoned, self.answer_count = False, 0
        self.attempts = []  # state of each: "in flight", "never ran" or "ended"


class TrackedClient:
    def __init__(self, sock):
        self.sock, self.last_stream, self.requests, self.unparsed = sock, 0, {}, b""


class Sequences(RuleBasedStateMachine):
    """Plays clients and engines, and checks what passes on the connections alone.

    Keeps records of requests and attempts that do not depend on those of the front end.
    """

    def __init__(self):
        super().__init__()
        self.harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2"})])
        EnginePool.dial = REAL_DIAL
        self.original_dial, engine_pool_module.dial = engine_pool_module.dial, self.dial
        self.harness.socket_host.dials_in_progress = 0
        for engine_pool in self.harness.socket_host.engine_pools.values():
            engine_pool.is_dialling = False
        self.event_number, self.request_count, self.refuse_dials = 1, 0, False
        self.clients, self.requests, self.engine_connections = [], {}, []

    def teardown(self):
        try:
            for _ in range(LONGEST_WAIT_TICKS // 2_000):
                self.harness.pass_time(2_000, 500)
                self.check_output()
            for request in self.requests.values():
                assert request.answer_count == 1 or request.is_abandoned, (
                    f"request {request.trace}: expected 1 answer, got {request.answer_count}"
                )
            assert (
                not self.harness.socket_host.in_flight_attempts
                and not self.harness.socket_host.open_requests
            )
            assert not [line for line in self.harness.logged if "Traceback" in line], (
                self.harness.logged
            )
        finally:
            engine_pool_module.dial = self.original_dial

    def dial(self, event_loop, address, timeout):
        if self.refuse_dials:
            return None, "ECONNREFUSED"
        engine_socket, host_socket = socket.socketpair()
        engine_socket.setblocking(False)
        self.engine_connections.append([engine_socket, {}, b""])
        return host_socket, ""

    # Actions of clients, engines, the endpoint list and the clock.

    @rule(
        route=st.sampled_from(["quick", "load", "once"]),
        on_new_client=st.booleans(),
        patience=st.sampled_from(["80", "900", "5000"]),
        turns=st.integers(0, 3),
    )
    def send_request(self, route, on_new_client, patience, turns):
        if on_new_client or not self.clients:
            self.clients.append(TrackedClient(self.harness.connect_client()))
        client = self.clients[-1]
        client.last_stream += 1
        self.request_count += 1
        request = TrackedRequest(client, client.last_stream, request_id(self.request_count), route)
        key_fields = {"nonce": f"n{self.request_count}", "entity": "5"} if route == "load" else {}
        send_if_open(
            client.sock,
            request_frame(
                request.stream, trace=request.trace, route=route, patience=patience, **key_fields
            ),
        )
        client.requests[request.stream] = self.requests[request.trace] = request
        self.harness.turn(turns)

    @precondition(
        lambda self: any(
            not request.is_abandoned and not request.answer_count
            for request in self.requests.values()
        )
    )
    @rule(pick=st.integers(0, 9), turns=st.integers(0, 1))
    def cancel_request(self, pick, turns):
        candidates = [
            request
            for request in self.requests.values()
            if not request.is_abandoned and not request.answer_count
        ]
        request = candidates[pick % len(candidates)]
        send_if_open(
            request.client.sock, bytes.fromhex("0500000008") + request.stream.to_bytes(4, "little")
        )
        request.is_abandoned = True
        self.harness.turn(turns)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 9), turns=st.integers(0, 1))
    def close_client(self, pick, turns):
        client = self.clients.pop(pick % len(self.clients))
        client.sock.close()
        for request in client.requests.values():
            request.is_abandoned = True
        self.harness.turn(turns)

    @precondition(lambda self: any(connection[1] for connection in self.engine_connections))
    @rule(pick=st.integers(0, 9), status=st.sampled_from(["DONE", "WAIT", "BROKE", "PAST", "TELL"]))
    def send_answer(self, pick, status):
        candidates = [connection for connection in self.engine_connections if connection[1]]
        sock, in_flight, _ = candidates[pick % len(candidates)]
        trace = next(iter(in_flight))
        send_if_open(
            sock,
            command(
                trace,
                status,
                "chunks=1" if status == "DONE" else "-",
                RESULT_ROW if status == "DONE" else "",
            ),
        )
        if status != "TELL":
            request, number = in_flight.pop(trace)
            request.attempts[number] = "never ran" if status in NEVER_RAN_STATUSES else "ended"

    @precondition(lambda self: any(connection[1] for connection in self.engine_connections))
    @rule(
        pick=st.integers(0, 9),
        status=st.sampled_from(["WAIT", "BROKE", "PAST"]),
        closes=st.booleans(),
    )
    def send_answer_while_client_leaves(self, pick, status, closes):
        """Leave both the answer and the client's departure unread for the next turn."""
        self.check_output()
        candidates = [connection for connection in self.engine_connections if connection[1]]
        if not candidates:
            return
        sock, in_flight, _ = candidates[pick % len(candidates)]
        request, number = in_flight.pop(trace := next(iter(in_flight)))
        send_if_open(sock, command(trace, status, "-", ""))
        request.attempts[number] = "never ran" if status in NEVER_RAN_STATUSES else "ended"
        if closes and request.client in self.clients:
            self.clients.remove(request.client)
            request.client.sock.close()
            for other in request.client.requests.values():
                other.is_abandoned = True
        elif request.client in self.clients and not request.is_abandoned:
            send_if_open(
                request.client.sock,
                bytes.fromhex("0500000008") + request.stream.to_bytes(4, "little"),
            )
            request.is_abandoned = True
        self.harness.turn(1)

    @precondition(lambda self: self.engine_connections)
    @rule(pick=st.integers(0, 9))
    def close_engine_connection(self, pick):
        sock, in_flight, _ = self.engine_connections[pick % len(self.engine_connections)]
        self.read_commands(sock, in_flight, pick % len(self.engine_connections))
        sock.close()
        for request, number in in_flight.values():
            request.attempts[number] = "ended"
        del self.engine_connections[pick % len(self.engine_connections)]

    @rule(
        tag=st.sampled_from(["e1", "e2"]),
        state=st.sampled_from(["SERVING", "DRAINING", "DELETED"]),
        started=st.sampled_from([0, 50_000, 60_000]),
    )
    def update_endpoint_list(self, tag, state, started):
        self.event_number += 1
        event = endpoint_list_event(
            self.event_number, {"id": tag, "state": state, "started_ms": started}, full=False
        )
        assert not self.harness.socket_host.on_discovery_event("", json.dumps(event))

    @rule(refuse=st.booleans())
    def set_dial_failure(self, refuse):
        self.refuse_dials = refuse

    @rule(duration=st.sampled_from([50, 300, 2_000, 10_000]))
    def advance_clock(self, duration):
        self.harness.pass_time(duration, min(duration, 250))

    # Checks.

    def read_commands(self, sock, in_flight, index):
        try:
            data = self.engine_connections[index][2] + sock.recv(1 << 20)
        except BlockingIOError:
            return
        except ConnectionResetError:
            data = self.engine_connections[index][2]
        while data:
            head, _, rest = data.partition(b"\r\n")
            parts = []
            for _ in range(int(head[1:])):
                size, _, rest = rest.partition(b"\r\n")
                parts.append(rest[: int(size[1:])])
                rest = rest[int(size[1:]) + 2 :]
            data = rest
            if parts[0] == b"fetch":
                self.record_attempt(self.requests[parts[1].decode()], in_flight)
            elif parts[0] in (b"abort", b"done"):
                ended = in_flight.pop(parts[1].decode(), None)
                if ended:
                    ended[0].attempts[ended[1]] = "ended"
        self.engine_connections[index][2] = b""

    def record_attempt(self, request, in_flight):
        assert not request.is_abandoned, (
            f"request {request.trace}: an attempt started after its client had left"
        )
        assert not request.answer_count, (
            f"request {request.trace}: an attempt started after its answer"
        )
        if request.route == "once":  # non-idempotent: an earlier attempt may have run
            assert all(state == "never ran" for state in request.attempts), (
                f"request {request.trace}: retried after attempts {request.attempts}"
            )
        in_flight[request.trace] = (request, len(request.attempts))
        request.attempts.append("in flight")

    @invariant()
    def check_output(self):
        """Read and check everything that the front end has sent so far."""
        for index, (sock, in_flight, _) in enumerate(self.engine_connections):
            self.read_commands(sock, in_flight, index)
        for client in self.clients:
            try:
                client.unparsed += client.sock.recv(1 << 20)
            except (BlockingIOError, ConnectionResetError):
                pass
            while len(client.unparsed) >= 4 and len(client.unparsed) >= 4 + (
                size := int.from_bytes(client.unparsed[:4], "little")
            ):
                frame, client.unparsed = client.unparsed[4 : 4 + size], client.unparsed[4 + size :]
                stream = int.from_bytes(frame[1:5], "little")
                if frame[0] == 4 and stream:
                    client.requests[stream].answer_count += 1
                    assert client.requests[stream].answer_count == 1, (
                        "expected one answer to a request, got a second one"
                    )


assert "once" in {each["name"] for each in PLATFORM_SETTINGS["profiles"]}
TestSequences = Sequences.TestCase
# Draws the same sequences in each run. A failing sequence is reported as drawn, because shrinking
# takes minutes.
TestSequences.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
