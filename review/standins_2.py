"""Small stand-ins for the second review: engines, control feed, clients, and one gateway process.

All of them listen on loopback, on free ports, and write down what they see in one record. An engine
is sound unless a case tells it otherwise: it runs what it is sent, tells progress, drops a repeat
of a key for as long as the settings say, and answers the repeat like the first one.
"""

import asyncio
import copy
import json
import os
import pathlib
import secrets
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, PASSED, FAILED, COULD_NOT_RUN = "held", "broken", 0, 1, 2
REQUEST, ANSWER, WITHDRAWN, READY_ASKED, READY, LEAVING = 2, 4, 8, 16, 32, 64
WORDS = {1: "served", 2: "refused", 3: "failed"}
SERVED = 1

# The settings of the users' wire page, which are those of the site hq-main, for few gateways.
HQ_MAIN = {
    "azs": ["hall-a", "hall-b"],
    "clients": {"marksRetry": False},
    "customers": [
        {"name": "rychly-okruh", "quotaPerS": 42.0, "share": 0.64},
        {"name": "pitstop-arena", "quotaPerS": 24.0, "share": 0.36},
    ],
    "discovery": "pushed",
    "domainType": "queries",
    "extra": {
        "bills": True,
        "coresByKind": [12, 8],
        "holdsTables": [False, False, True],
        "mostGrant": 0.4,
        "sizeMb": [24576.0, 16384.0],
        "takesGrants": True,
        "takesPriority": True,
        "tellsEveryUs": 2_000_000,
        "whenShort": "line_up",
        "widthByClass": [1, 3, 2],
        "yieldsToLoads": [False, False, False],
    },
    "instances": 1,
    "kinds": ["c12", "c8"],
    "limits": {
        "cancel": False,
        "connIdleUs": 30_000_000,
        "dialTimeoutUs": 250_000,
        "mostTries": 6,
        "openCap": 20_096,
        "probes": False,
        "retryAfter": False,
        "secondCopies": True,
        "streamsPerConn": 32,
    },
    "myNumber": 0,
    "overShareWorth": 0.05,
    "periodUs": 5000,
    "profiles": [
        {
            "name": "rating-lookup",
            "effect": "pure",
            "group": "all",
            "objectiveUs": 1_200_000,
            "aimStretch": 2.0,
            "deadlineUs": 6_000_000,
            "keyTtlUs": 5_000_000,
            "lateValue": 0.0,
            "worth": 1.0,
        },
        {
            "name": "league-report",
            "effect": "pure",
            "group": "all",
            "objectiveUs": 1_500_000,
            "aimStretch": 2.5,
            "deadlineUs": 25_000_000,
            "keyTtlUs": 5_000_000,
            "lateValue": 0.4,
            "servedOn": [0],
            "worth": 6.0,
        },
        {
            "name": "result-load",
            "effect": "token",
            "group": "all",
            "fifoByKey": True,
            "objectiveUs": 3_000_000,
            "aimStretch": 3.0,
            "deadlineUs": 20_000_000,
            "keyTtlUs": 20_000_000,
            "lateValue": 0.6,
            "worth": 2.5,
        },
    ],
    "report": {"fields": ["util", "inflight", "x1"], "how": "inline"},
    "rules": {
        "answerSlackUs": 20_000,
        "askWithinUs": 10_000_000,
        "budgetSpanUs": 5_000_000,
        "coldShare": 0.33,
        "coldUs": 15_000_000,
        "drainGraceUs": 500_000,
        "extraFloor": 3.0,
        "extraPerRequest": 0.1,
        "fallMultiple": 3.0,
        "fallUs": 1_500_000,
        "settleAfterDoubtUs": 0,
    },
    "stages": ["query-engines"],
    "tier": 0,
    "weights": "off",
    "worthBy": "request",
    "zone": 0,
}


def hq_main():
    """Return a copy of the settings of hq-main, to be changed by a case."""
    return copy.deepcopy(HQ_MAIN)


class Record:
    """The lines of `record.txt`: seconds since the start of the case, and what happened."""

    def __init__(self, path):
        self.path = path
        self.started = time.time()
        self.lines = []

    def __call__(self, text):
        """Write down one event."""
        self.lines.append(f"{time.time() - self.started:9.4f} {text}")

    def save(self):
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Run:
    """One query that an engine got: what it was, when it came whole, and whether it was run."""

    def __init__(self, engine, trace, fields):
        self.engine = engine.name
        self.trace = trace
        self.sort = fields.get("sort", "")
        self.key = fields.get("op", "")
        self.received_at = time.time()
        self.was_run = True
        self.is_open = True


class Engine:
    """A sound engine; `keys` is the memory of keys that the engines of one group share.

    `work_ms(run)` is the time that a query takes. `treat(run)` may return a word for a fault of
    this one answer: `lost` (it never comes) or "" (none).
    """

    def __init__(self, record, name, keys, key_ttl, tells_every=2.0, kind="c12"):
        self.record, self.name, self.keys, self.key_ttl = record, name, keys, key_ttl
        self.tells_every, self.kind = tells_every, kind
        self.zone, self.state, self.cell = "hall-a", "SERVING", 1
        self.runs, self.connections = [], set()
        self.work_ms, self.treat = (lambda run: 100.0), (lambda run: "")
        self.server, self.address, self.tasks = None, "", set()

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self):
        """Return this engine as the control feed lists it."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": self.state,
            "weight": 1,
            "started_ms": 0,
        }

    def reset_connections(self):
        """Reset all connections, as the network does."""
        for writer in [*self.connections]:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        open_runs = {}
        try:
            while True:
                count = int((await reader.readline())[1:])
                parts = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2].decode())
                self._on_command(writer, open_runs, parts)
        except (ValueError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for run in open_runs.values():
                run.is_open = False
            self.connections.discard(writer)
            writer.close()

    def _on_command(self, writer, open_runs, parts):
        verb, trace = parts[0], parts[1]
        if verb == "alive":
            _send(writer, trace, "FIT", "-", "")
        elif verb == "fetch":
            fields = dict(pair.split("=", 1) for pair in parts[2].split(",") if "=" in pair)
            run = open_runs[trace] = Run(self, trace, fields)
            self._begin(run)
            task = asyncio.ensure_future(self._play(writer, run))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif verb in ("abort", "done"):
            run = open_runs.pop(trace, None)
            if run is not None:
                run.is_open = False
                self.record(f"{self.name} {verb} {trace}")

    def _begin(self, run):
        now = run.received_at
        self.runs.append(run)
        if run.key:
            first_run_at = self.keys.get(run.key)
            if first_run_at is not None and now < first_run_at + self.key_ttl:
                run.was_run = False
            else:
                self.keys[run.key] = now
        what = "runs" if run.was_run else "drops the repeat"
        self.record(f"{self.name} {what} {run.trace} {run.sort} op={run.key or '-'}")

    async def _play(self, writer, run):
        fate = self.treat(run)
        ends_at = time.time() + self.work_ms(run) / 1000
        while run.is_open and time.time() < ends_at:
            pause = min(self.tells_every or 3600, ends_at - time.time())
            await asyncio.sleep(max(pause, 0.001))
            if run.is_open and time.time() < ends_at and self.tells_every:
                _send(writer, run.trace, "TELL", "n=advance,amount=0.5", "")
        if not run.is_open:
            return
        if fate == "lost":
            self.record(f"{self.name} answer lost {run.trace}")
            return
        held = sum(each.is_open for each in self.runs)
        fields = f"chunks=1,spent={self.work_ms(run):.1f},wanted=8"
        fields += f",l=util:0.2;inflight:{held};x1:0.1"
        self.record(f"{self.name} answers {run.trace}")
        _send(writer, run.trace, "DONE", fields, f"{run.trace}\t0\t{self.name}\n")


def _send(writer, *parts):
    raw = [part.encode() for part in parts]
    data = b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in raw)
    if not writer.is_closing():
        writer.write(data)


class Feed:
    """The control feed: numbered events of the list of engines, as server-sent events."""

    def __init__(self, record):
        self.record, self.events, self.server, self.address = record, [], None, ""
        self.changed = asyncio.Condition()
        self.answers_after = 0.0  # seconds from a request to the first byte of its answer

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def tell(self, engines, full=False):
        """Add an event that lists these engines."""
        number = len(self.events) + 1
        members = {"version": number, "full": full, "servers": [each.entry() for each in engines]}
        self.events.append({"n": number, "members": members})
        states = " ".join(f"{each.name}={each.state}" for each in engines)
        self.record(f"feed tells {number}: {states}")
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            told = int(headers.get("last-event-id", "0"))
            self.record(f"feed is asked for what follows {told}")
            await asyncio.sleep(self.answers_after)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                for event in self.events[told:]:
                    writer.write(b"id: %d\ndata: %b\n\n" % (event["n"], json.dumps(event).encode()))
                told = len(self.events)
                writer.write(b": comment\n\n")
                await writer.drain()
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), 1.0)
                    except TimeoutError:
                        continue
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Try:
    """One request as a client sent it, and the answers that came for it."""

    def __init__(self, stream, trace, key):
        self.stream, self.trace, self.key = stream, trace, key
        self.sent_at, self.withdrawn_at = time.time(), 0.0
        self.answers = []


class Client:
    """A client on one connection."""

    def __init__(self, record, name):
        self.record, self.name, self.stream = record, name, 0
        self.tries, self.closed_at, self.errors, self.is_ready = {}, 0.0, [], False
        self.reader = self.writer = self.task = None
        self.tenant = "rychly-okruh"

    async def connect(self, address):
        """Connect and wait until the gateway is ready, for 10 s at most."""
        host, port = address.split(":")
        for _ in range(100):
            try:
                self.reader, self.writer = await asyncio.open_connection(host, int(port))
                break
            except OSError:
                await asyncio.sleep(0.1)
        self.task = asyncio.ensure_future(self._read())
        self.writer.write(struct.pack("<IBI", 5, READY_ASKED, 0) + b"")
        for _ in range(100):
            if self.is_ready:
                return
            await asyncio.sleep(0.1)
        raise OSError("the gateway is not ready")

    def frame(self, route, patience_ms, key="", entity="", weight=100.0, group=17):
        """Return the frame of a new request, and what is known of it."""
        self.stream += 1
        one = self.tries[self.stream] = Try(self.stream, secrets.token_hex(8), key)
        fields = {
            "route": route,
            "trace": one.trace,
            "patience": str(int(patience_ms)),
            "customer": self.tenant,
            "weight": f"{weight:.1f}",
            "est_mb": "8",
        }
        fields.update({"nonce": key} if key else {})
        fields.update({"entity": entity} if entity else {})
        payload = bytearray([len(fields)])
        for name, value in fields.items():
            payload += struct.pack("<B", len(name)) + name.encode()
            payload += struct.pack("<H", len(value)) + value.encode()
        payload += b"select * from sales_%d.orders" % group
        self.record(f"{self.name} sends stream {one.stream} {one.trace} {route} {key}")
        return struct.pack("<IBI", 5 + len(payload), REQUEST, one.stream) + bytes(payload), one

    def withdrawal(self, one):
        """Return the frame that takes a request back."""
        one.withdrawn_at = time.time()
        self.record(f"{self.name} takes back stream {one.stream} {one.trace}")
        return struct.pack("<IBI", 5, WITHDRAWN, one.stream)

    def write(self, *frames):
        """Write frames with one call."""
        if not self.writer.is_closing():
            self.writer.write(b"".join(frames))

    def close(self):
        """Close the connection."""
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None:
            self.writer.close()

    async def _read(self):
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                self._on_frame(kind, stream, payload)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed_at = time.time()
            self.record(f"{self.name} connection ended by the gateway")

    def _on_frame(self, kind, stream, payload):
        if kind == READY:
            self.is_ready = payload[0] == 1
        elif kind == ANSWER and not stream:
            self.errors.append(payload[2:].decode())
            self.record(f"{self.name} error on the connection: {self.errors[-1]}")
        elif kind == ANSWER and stream in self.tries:
            self.tries[stream].answers.append((time.time(), payload[0], payload[2:]))
            self.record(f"{self.name} answer stream {stream} {WORDS.get(payload[0])}")
        elif kind == LEAVING:
            self.record(f"{self.name} is asked to send no more")


class Gateway:
    """One gateway, started by the command of the deploy file."""

    def __init__(self, record, settings, feed, engines, name="n1", memory_mb=192, sockets=1024):
        self.record, self.name, self.process = record, name, None
        self.folder = tempfile.mkdtemp(prefix="review-")
        known = {"n": len(feed.events), "events": feed.events}
        self.address = f"127.0.0.1:{free_port()}"
        self.document = {
            "name": name,
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "feed": feed.address,
            "known": known,
            "settings": settings,
        }

    async def start(self, arguments=""):
        """Write the configuration and start the process."""
        path = os.path.join(self.folder, "config.json")
        with open(path, "w") as file:
            json.dump(self.document, file)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {**os.environ, "EDGE_CONFIG": path, "EDGE_NAME": self.name}
        environment["EDGE_LISTEN"] = self.address
        environment["TMPDIR"] = self.folder
        log = open(os.path.join(self.folder, "log"), "ab")  # noqa: SIM115 the child writes to it
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run + arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def log_lines(self):
        """Return the lines of its log."""
        with open(os.path.join(self.folder, "log"), errors="replace") as file:
            return file.read().splitlines()

    async def end(self):
        """Kill the process and remove its folder; its log goes to the record."""
        if self.process is not None:
            self.record(f"{self.name} exit status before its end: {self.process.returncode}")
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
            for line in self.log_lines():
                self.record(f"log {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def ask_operator_socket(path, target, body=None, timeout=1.0):
    """Return the JSON that a gateway answers on its operators' socket, None for no answer."""
    import http.client
    import socket

    connection = http.client.HTTPConnection("localhost", timeout=timeout)
    connection.sock = socket.socket(socket.AF_UNIX)
    connection.sock.settimeout(timeout)
    try:
        connection.sock.connect(path)
        text = None if body is None else json.dumps(body).encode()
        connection.request("GET" if body is None else "POST", target, text)
        return json.loads(connection.getresponse().read())
    except (OSError, ValueError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def free_port():
    """Return a free port of loopback below those that the kernel gives to outgoing connections."""
    import socket

    for _ in range(1000):
        port = 10_240 + secrets.randbelow(20_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play):
    """Run a case: `play(record, cleanup)` returns the breaks; end with 0, 1 or 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {'yes' if has_trouble() else 'no'}")
    status = COULD_NOT_RUN
    try:
        breaks = asyncio.run(_play(record, play))
        for line in breaks:
            record(f"BROKEN: {line}")
            print(line)
        status = FAILED if breaks else PASSED
        record(f"rule {BROKEN if breaks else HELD}")
    # Whatever it is, the case says nothing of the rule.
    except (Exception, asyncio.CancelledError) as problem:
        record(f"could not run: {type(problem).__name__}: {problem}")
        print(f"could not run: {problem}")
    record.save()
    sys.exit(status)


async def _play(record, play):
    cleanup = []
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await asyncio.wait_for(play(record, cleanup), 110)
    finally:
        for end in reversed(cleanup):
            result = end()
            if asyncio.iscoroutine(result):
                await result
