"""Any sequence of what clients, engines, list and time may do: one final answer each, nothing for who left."""

import json
import socket

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corkgauge.net import engine_pool as engines
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
ROW = "a\t\t\n"
EXPIRY = 52_000
PROOF = "WAIT", "PAST"  # an engine's word that it never ran


def say(sock, data):
    """A peer may have closed by now."""
    try:
        sock.sendall(data)
    except (BrokenPipeError, ConnectionResetError):
        pass


class Ask:
    """One request as its client knows it."""

    def __init__(self, client, stream, trace, route):
        self.client, self.stream, self.trace, self.route = client, stream, trace, route
        self.left, self.answers = False, 0
        self.attempts = []  # what became of each: "out", "proof", "ended"


class Client:
    def __init__(self, sock):
        self.sock, self.last, self.asks, self.read = sock, 0, {}, b""


class Sequences(RuleBasedStateMachine):
    """The outside's own book, beside the program's; only what passes on connections is looked at."""

    def __init__(self):
        super().__init__()
        self.harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2"})])
        EnginePool.dial = REAL_DIAL
        self.kept, engines.dial = engines.dial, self.dial
        self.harness.socket_host.dials_in_progress = 0
        for engine_pool in self.harness.socket_host.engine_pools.values():
            engine_pool.dialling = False
        self.event, self.traces, self.refuse = 1, 0, False
        self.clients, self.asks, self.guests = [], {}, []

    def teardown(self):
        try:
            for _ in range(EXPIRY // 2_000):
                self.harness.pass_time(2_000, 500)
                self.look()
            for ask in self.asks.values():
                assert ask.answers == 1 or ask.left, f"{ask.answers} answers to {ask.trace}"
            assert (
                not self.harness.socket_host.in_flight_attempts
                and not self.harness.socket_host.open_requests
            )
            assert not [line for line in self.harness.logged if "Traceback" in line], (
                self.harness.logged
            )
        finally:
            engines.dial = self.kept

    def dial(self, event_loop, where, span):
        if self.refuse:
            return None, "ECONNREFUSED"
        mine, its = socket.socketpair()
        mine.setblocking(False)
        self.guests.append([mine, {}, b""])
        return its, ""

    # What the outside does.

    @rule(
        route=st.sampled_from(["quick", "load", "once"]),
        new=st.booleans(),
        patience=st.sampled_from(["80", "900", "5000"]),
        turns=st.integers(0, 3),
    )
    def asks_for(self, route, new, patience, turns):
        if new or not self.clients:
            self.clients.append(Client(self.harness.connect_client()))
        client = self.clients[-1]
        client.last += 1
        self.traces += 1
        ask = Ask(client, client.last, request_id(self.traces), route)
        more = {"nonce": f"n{self.traces}", "entity": "5"} if route == "load" else {}
        say(
            client.sock,
            request_frame(ask.stream, trace=ask.trace, route=route, patience=patience, **more),
        )
        client.asks[ask.stream] = self.asks[ask.trace] = ask
        self.harness.turn(turns)

    @precondition(lambda self: any(not ask.left and not ask.answers for ask in self.asks.values()))
    @rule(pick=st.integers(0, 9), turns=st.integers(0, 1))
    def takes_back(self, pick, turns):
        able = [ask for ask in self.asks.values() if not ask.left and not ask.answers]
        ask = able[pick % len(able)]
        say(ask.client.sock, bytes.fromhex("0500000008") + ask.stream.to_bytes(4, "little"))
        ask.left = True
        self.harness.turn(turns)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 9), turns=st.integers(0, 1))
    def closes(self, pick, turns):
        client = self.clients.pop(pick % len(self.clients))
        client.sock.close()
        for ask in client.asks.values():
            ask.left = True
        self.harness.turn(turns)

    @precondition(lambda self: any(guest[1] for guest in self.guests))
    @rule(pick=st.integers(0, 9), word=st.sampled_from(["DONE", "WAIT", "BROKE", "PAST", "TELL"]))
    def answers(self, pick, word):
        able = [guest for guest in self.guests if guest[1]]
        sock, out, _ = able[pick % len(able)]
        trace = next(iter(out))
        say(
            sock,
            command(
                trace, word, "chunks=1" if word == "DONE" else "-", ROW if word == "DONE" else ""
            ),
        )
        if word != "TELL":
            ask, number = out.pop(trace)
            ask.attempts[number] = "proof" if word in PROOF else "ended"

    @precondition(lambda self: any(guest[1] for guest in self.guests))
    @rule(
        pick=st.integers(0, 9),
        word=st.sampled_from(["WAIT", "BROKE", "PAST"]),
        closes=st.booleans(),
    )
    def answers_as_its_client_leaves(self, pick, word, closes):
        """Both lie unread as the next turn begins."""
        self.look()
        able = [guest for guest in self.guests if guest[1]]
        if not able:
            return
        sock, out, _ = able[pick % len(able)]
        ask, number = out.pop(trace := next(iter(out)))
        say(sock, command(trace, word, "-", ""))
        ask.attempts[number] = "proof" if word in PROOF else "ended"
        if closes and ask.client in self.clients:
            self.clients.remove(ask.client)
            ask.client.sock.close()
            for each in ask.client.asks.values():
                each.left = True
        elif ask.client in self.clients and not ask.left:
            say(ask.client.sock, bytes.fromhex("0500000008") + ask.stream.to_bytes(4, "little"))
            ask.left = True
        self.harness.turn(1)

    @precondition(lambda self: self.guests)
    @rule(pick=st.integers(0, 9))
    def breaks(self, pick):
        sock, out, _ = self.guests[pick % len(self.guests)]
        self.read(sock, out, pick % len(self.guests))
        sock.close()
        for ask, number in out.values():
            ask.attempts[number] = "ended"
        del self.guests[pick % len(self.guests)]

    @rule(
        tag=st.sampled_from(["e1", "e2"]),
        state=st.sampled_from(["SERVING", "DRAINING", "DELETED"]),
        started=st.sampled_from([0, 50_000, 60_000]),
    )
    def tells(self, tag, state, started):
        self.event += 1
        said = endpoint_list_event(
            self.event, {"id": tag, "state": state, "started_ms": started}, full=False
        )
        assert not self.harness.socket_host.on_discovery_event("", json.dumps(said))

    @rule(refuse=st.booleans())
    def dials_fail(self, refuse):
        self.refuse = refuse

    @rule(span=st.sampled_from([50, 300, 2_000, 10_000]))
    def time_passes(self, span):
        self.harness.pass_time(span, min(span, 250))

    # What is looked at.

    def read(self, sock, out, at):
        try:
            data = self.guests[at][2] + sock.recv(1 << 20)
        except BlockingIOError:
            return
        except ConnectionResetError:
            data = self.guests[at][2]
        while data:
            head, _, rest = data.partition(b"\r\n")
            parts = []
            for _ in range(int(head[1:])):
                size, _, rest = rest.partition(b"\r\n")
                parts.append(rest[: int(size[1:])])
                rest = rest[int(size[1:]) + 2 :]
            data = rest
            if parts[0] == b"fetch":
                self.begun(self.asks[parts[1].decode()], out)
            elif parts[0] in (b"abort", b"done"):
                gone = out.pop(parts[1].decode(), None)
                if gone:
                    gone[0].attempts[gone[1]] = "ended"
        self.guests[at][2] = b""

    def begun(self, ask, out):
        assert not ask.left, f"an attempt of {ask.trace} began after its client had gone"
        assert not ask.answers, f"an attempt of {ask.trace} began after its answer"
        if ask.route == "once":  # Danger: it may have run
            assert all(each == "proof" for each in ask.attempts), (
                f"{ask.trace} again after {ask.attempts}"
            )
        out[ask.trace] = (ask, len(ask.attempts))
        ask.attempts.append("out")

    @invariant()
    def look(self):
        """What the program did with what it had by now."""
        for at, (sock, out, _) in enumerate(self.guests):
            self.read(sock, out, at)
        for client in self.clients:
            try:
                client.read += client.sock.recv(1 << 20)
            except (BlockingIOError, ConnectionResetError):
                pass
            while len(client.read) >= 4 and len(client.read) >= 4 + (
                size := int.from_bytes(client.read[:4], "little")
            ):
                frame, client.read = client.read[4 : 4 + size], client.read[4 + size :]
                stream = int.from_bytes(frame[1:5], "little")
                if frame[0] == 4 and stream:
                    client.asks[stream].answers += 1
                    assert client.asks[stream].answers == 1, "a second answer"


assert "once" in {each["name"] for each in PLATFORM_SETTINGS["profiles"]}
TestSequences = Sequences.TestCase
# Drawn alike every time; a failing sequence is told as drawn, as shortening it takes minutes.
TestSequences.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
