"""A gateway on a host that writes down what it is told; the one helper of all tests."""

import socket
import traceback

from corkgauge.config.platform import PlatformConfig
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import HONOURED, READY, Engine, RequestClass, Request
from corkgauge.eventloop.loop import EventLoop
from corkgauge.net.engine_protocol import command
from corkgauge.net.engine_connection import EngineConnection, EnginePool
from corkgauge.net.platform_frontend import PlatformFrontEnd

SECOND = 10_000
QUICK = dict(name="quick", aim=SECOND, stretch=1.0, expiry=5 * SECOND, worth=1.0)
STATED = dict(
    seed=7,
    number=1,
    gateways=2,
    tick=10,
    cancels=False,
    copies=False,
    most_handoffs=4,
    come_back=0,
    cold_share=0.3,
    cold_span=15 * SECOND,
    fall_multiple=2.0,
    fall_span=SECOND,
    extra_floor=0.0,
    extra_share=0.0,
    extra_span=0,
    settle=0,
)


class GatewayHarness:
    """Keeps every call in `done` as (what, submission or engine tag, detail)."""

    def __init__(self, offerings=(QUICK,), engines=3, **stated):
        self.now, self.lag, self.done, self.wakes, self.serial = 100 * SECOND, 0, [], [], 0
        self.offerings = [RequestClass(**o) for o in offerings]
        self.gateway = Gateway(self, offerings=self.offerings, **{**STATED, **stated})
        self.engines = [
            Engine(f"e{n}", b"e%d" % n, n % 2, n % 2, n, cores=8.0) for n in range(engines)
        ]
        self.tell(*self.engines)

    def tell(self, *engines, state=READY, started=0):
        for engine in engines:
            self.gateway.engine_told(engine, state, started)
        self.gateway.list_told()

    def take(self, offering=0, **said):
        self.serial += 1
        said = {
            "tenant": 0,
            "tables": 1.0,
            "taken": self.now,
            "life": 5 * SECOND,
            "estimate": 2000,
            **said,
        }
        sub = Request(f"s{self.serial}", self.offerings[offering], **said)
        self.gateway.submission_taken(sub)
        return sub

    def over(self, handoff, outcome=HONOURED, took=None, finished=None, work=2000):
        took = self.now - handoff.sent if took is None else took
        finished = outcome == HONOURED if finished is None else finished
        self.gateway.handoff_over(
            handoff, outcome, took, finished, work if finished else 0, 0.0, -1.0
        )

    def pass_time(self, span):
        """Let time go by, waking the gateway in order."""
        until = self.now + span
        while due := min(
            (w for w in self.wakes if w[0] <= until), key=lambda w: w[:2], default=None
        ):
            self.wakes.remove(due)
            self.now = max(self.now, due[0])
            due[2](*due[3])
        self.now = until

    def said(self, what):
        return [entry[1:] for entry in self.done if entry[0] == what]

    # The host protocol.

    def hand_off(self, handoff, allow):
        self.done.append(("hand_off", handoff.submission.tag, handoff.engine.tag))

    def set_terms(self, submission, memory, priority):
        self.done.append(("terms", submission.tag, priority))

    def dismiss(self, submission, come_back):
        self.done.append(("dismiss", submission.tag, come_back))

    def scrap(self, submission):
        self.done.append(("scrap", submission.tag, None))

    def call_off(self, handoff):
        self.done.append(("call_off", handoff.submission.tag, handoff.number))

    def wake(self, delay, method, *what):
        self.serial += 1
        self.wakes.append((self.now + max(delay, 1), self.serial, method, what))

    def log(self, line):
        self.done.append(("log", line, None))


STATED_ON_SOCKETS = {
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
ENGINE = {"id": "e1", "addr": "127.0.0.9:1", "zone": "east", "kind": "std", "state": "SERVING"}


def listing(n, *servers, full=True):
    return {"n": n, "members": {"full": full, "servers": [{**ENGINE, **each} for each in servers]}}


def name(number):
    return f"{number:016x}"


def request(stream=1, body=b"select * from s_3.t", **fields):
    fields = {
        "route": "quick",
        "trace": name(stream),
        "patience": "3000",
        "customer": "acme",
        "weight": "200",
        **fields,
    }
    said = bytes([len(fields)]) + b"".join(
        bytes([len(k)]) + k.encode() + len(v.encode()).to_bytes(2, "little") + v.encode()
        for k, v in fields.items()
        if v is not None
    )
    length = 5 + len(said) + len(body)
    return length.to_bytes(4, "little") + b"\2" + stream.to_bytes(4, "little") + said + body


class HostHarness:
    """A house on a fake clock; clients and engines are the other ends of socket pairs."""

    def __init__(self, events=(listing(1, {}),), sockets=1024, **settings):
        said = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "seed": "7",
            "limits": {"sockets": sockets},
            "known": {"n": 1, "events": list(events)},
            "settings": {**STATED_ON_SOCKETS, **settings},
        }
        self.time, self.logged = 10**9, []
        self.hub = EventLoop(
            clock=lambda: self.time, troubled=lambda: self.logged.append(traceback.format_exc())
        )
        EnginePool.dial = (
            lambda station, where: None
        )  # no engine listens here: `engine` joins them by hand
        self.house = PlatformFrontEnd(self.hub, PlatformConfig(said, ""), self.logged.append)
        self.turn()

    def turn(self, rounds=6):
        for _ in range(rounds):
            self.hub.turn(0)

    def pass_time(self, span, step=50):
        for _ in range(span // step):
            self.time += step
            self.turn(2)

    def client(self):
        mine, its = socket.socketpair()
        self.house.accepted(its)
        self.turn()
        mine.setblocking(False)
        return mine

    def engine(self, tag="e1"):
        mine, its = socket.socketpair()
        station = self.house.stations[tag]
        link = EngineConnection(station, its)
        station.links.append(link)
        self.hub.spawn(link.link.run)
        link.watch()
        station.fill()
        self.turn()
        mine.setblocking(False)
        return mine

    def ask(self, sock, data):
        sock.sendall(data)
        self.turn()

    def heard(self, sock):
        self.turn()
        try:
            return sock.recv(1 << 20)
        except BlockingIOError:
            return b""

    def answers(self, sock):
        """Frames as (type, stream, code, body)."""
        data, found = self.heard(sock), []
        while data:
            size = int.from_bytes(data[:4], "little")
            frame, data = data[: 4 + size], data[4 + size :]
            found.append((frame[4], int.from_bytes(frame[5:9], "little"), frame[9:10], frame[11:]))
        return found

    def engine_says(self, sock, *parts):
        self.ask(sock, command(*parts))
