"""Stand-ins for clients, engines and the control feed, and a starter of the program, for all cases.

The stand-ins follow the users' pages PROTOCOL and WIRE: client frames, RESP commands, server-sent
events. All addresses are loopback addresses with free ports. `Record` is the list of what was sent,
answered and run; every check of a case uses it alone.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ANSWER, SERVED, REFUSED, FAILED = 4, 1, 2, 3
CODES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
GATEWAY_COUNT = 3
BAD_FRAME_BYTES, BAD_SENT_BYTES = 262_144, 250_000  # the length told, and the bytes sent of it
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
SMALL_PAGE = b"a\tb\tc\n"
LARGE_PAGE = (b"a" * 33 + b"\t" + b"b" * 33 + b"\t" + b"c" * 31 + b"\n") * 60  # 6,000 bytes
# Work of each class in milliseconds on one core, as clients estimate it and engines report it.
WORK_MS = {
    "rating-lookup": 240,
    "league-report": 4100,
    "result-load": 2400,
}


class Record:
    """The lines of `record.txt`; times are seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.path, self.started = folder / "record.txt", time.time()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case, by the system's Unix clock."""
        return time.time() - self.started

    def add(self, text: str) -> float:
        """Add a line; return its time."""
        now = self.now()
        self.lines.append(f"{now:9.4f} {text}")
        return now

    def write(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Feed:
    """The control feed: numbered events over HTTP as server-sent events, a comment each second."""

    def __init__(self, record: Record, servers: list[dict[str, Any]]) -> None:
        self.record, self.events = record, [self._event(1, servers, True)]
        self.address = ""

    @staticmethod
    def _event(number: int, servers: list[dict[str, Any]], is_full: bool) -> dict[str, Any]:
        return {"n": number, "members": {"version": number, "full": is_full, "servers": servers}}

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            last = 0
            for line in head.decode().split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            self.record.add(f"feed: called for what follows event {last}")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Cache-Control: no-cache\r\nConnection: close\r\n\r\n: here\n\n"
            )
            while not (writer.is_closing() or reader.at_eof()):
                for event in self.events[last:]:
                    last = event["n"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record.add(f"feed: wrote event {last} to the open connection")
                await writer.drain()
                await asyncio.sleep(1.0)
                writer.write(b": alive\n\n")
        self.record.add("feed: a connection of the workload manager ended")
        with contextlib.suppress(OSError):
            writer.close()


class Engine:
    """An engine. It runs each attempt for `run_seconds(class)` and answers with its pages."""

    def __init__(self, record: Record, name: str, kind: str, zone: str) -> None:
        self.record, self.name, self.kind, self.zone = record, name, kind, zone
        self.state, self.started_ms, self.address, self.cell = "SERVING", 0, "", 0
        self.run_seconds: Callable[[str], float] = lambda _: 0.05
        self.page, self.page_count = SMALL_PAGE, 1  # of each result
        self.listener = socket.socket()
        self.connections: set[EngineSide] = set()
        # What the engine received: the time at which a command was whole, its id and class.
        self.received: list[tuple[float, str, str]] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.listener.bind(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: EngineSide(self), sock=self.listener, backlog=512)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def listed(self) -> dict[str, Any]:
        """Return the engine's entry in an event."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": self.state,
            "weight": 1,
            "started_ms": self.started_ms,
        }


class EngineSide(asyncio.Protocol):
    """One connection of a workload manager to an engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.data = engine, bytearray()
        self.open: dict[str, asyncio.TimerHandle] = {}
        self.work: dict[str, int] = {}
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        self.transport = transport
        self.engine.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up all that is open on the connection."""
        self.engine.connections.discard(self)
        for name, timer in self.open.items():
            timer.cancel()
            self.engine.record.add(f"engine {self.engine.name}: {name} given up, connection ended")
        self.open.clear()

    def data_received(self, data: bytes) -> None:
        """Handle all commands that are whole."""
        self.data += data
        while parts := self._take_command():
            self._on_command([part.decode() for part in parts])

    def _take_command(self) -> list[bytes]:
        data, position, parts = self.data, 0, []
        end = data.find(b"\r\n")
        if end < 0:
            return []
        count, position = int(data[1:end]), end + 2
        for _ in range(count):
            end = data.find(b"\r\n", position)
            if end < 0:
                return []
            size = int(data[position + 1 : end])
            if len(data) < end + 2 + size + 2:
                return []
            parts.append(bytes(data[end + 2 : end + 2 + size]))
            position = end + 2 + size + 2
        del data[:position]
        return parts

    def _on_command(self, parts: list[str]) -> None:
        engine, word, name = self.engine, parts[0], parts[1]
        if word == "alive":
            self._send(name, "FIT", "-", b"")
        elif word == "fetch":
            fields = dict(pair.split("=", 1) for pair in parts[2].split(","))
            kind = fields["sort"]
            at = engine.record.add(
                f"engine {engine.name}: attempt {name} ({kind}, {len(parts[3])} bytes) has come"
                " whole, begins"
            )
            engine.received.append((at, name, kind))
            self.work[name] = WORK_MS[kind]
            loop = asyncio.get_running_loop()
            self.open[name] = loop.call_later(engine.run_seconds(kind), self._finish, name)
        elif word == "more":
            engine.record.add(f"engine {engine.name}: page {parts[2]} of {name} asked for")
            self._send(name, "MORE", f"at={parts[2]}", engine.page)
        elif word in ("abort", "done"):
            if timer := self.open.pop(name, None):
                timer.cancel()
            engine.record.add(f"engine {engine.name}: {word} {name}")

    def _finish(self, name: str) -> None:
        if name not in self.open:
            return
        self.engine.record.add(f"engine {self.engine.name}: attempt {name} done")
        load = f"inflight:{len(self.open)};util:0.1;x0:0.1;x1:0.1"
        result = f"chunks={self.engine.page_count},spent={self.work[name]},wanted=64"
        self._send(name, "DONE", f"{result},l={load}", self.engine.page)

    def _send(self, name: str, word: str, fields: str, body: bytes) -> None:
        parts = [name.encode(), word.encode(), fields.encode(), body]
        self.transport.write(
            b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)
        )


class Client:
    """One client connection: sends requests, records the answers."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name, self.stream = record, name, 0
        self.reader: Any = None
        self.writer: Any = None
        self.traces: dict[int, str] = {}
        self.is_ready = asyncio.Event()
        # Final answers by request: the time and the code of each.
        self.answers: dict[str, list[tuple[float, int]]] = {}
        self.sent: dict[str, float] = {}
        # When the system had taken the last byte of a request, see `wait_until_written`.
        self.written: dict[str, float] = {}
        self.ended_at = 0.0  # when the workload manager ended the connection; 0: not yet
        self.task: asyncio.Task[None] | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read())

    async def is_front_ready(self) -> bool:
        """Ask whether the workload manager is ready; wait for the answer for a second."""
        self.is_ready.clear()
        self.writer.write(struct.pack("<IBI", 6, 16, 0) + b"\0")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.is_ready.wait(), 1.0)
        return self.is_ready.is_set()

    def send(self, route: str, statement: str, **fields: Any) -> str:
        """Send a request; return its id."""
        self.stream += 1
        trace = os.urandom(8).hex()
        fields = {
            "route": route,
            "trace": trace,
            "weight": f"{WORK_MS[route]}.0",
            "est_mb": "64",
            **fields,
        }
        pairs = b"".join(
            bytes((len(name),)) + name.encode() + struct.pack("<H", len(value)) + value.encode()
            for name, value in ((name, str(value)) for name, value in fields.items())
        )
        payload = bytes((len(fields),)) + pairs + statement.encode()
        self.traces[self.stream], self.answers[trace] = trace, []
        self.writer.write(struct.pack("<IBI", 5 + len(payload), 2, self.stream) + payload)
        key = f", key {fields['entity']}" if "entity" in fields else ""
        self.sent[trace] = self.record.add(f"client {self.name}: sent {trace} ({route}{key})")
        return trace

    async def wait_until_written(self, trace: str) -> None:
        """Wait until the system has taken all bytes sent so far, the last being of a request."""
        while self.writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.002)
        self.written[trace] = self.record.add(f"client {self.name}: {trace} written, last byte")

    async def wait_for_answer(self, trace: str, seconds: float) -> None:
        """Wait for the answer of a request, or for the end of the connection."""
        until = self.record.now() + seconds
        while not (self.answers[trace] or self.ended_at) and self.record.now() < until:
            await asyncio.sleep(0.005)

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await self._read_frames()
            except (OSError, asyncio.IncompleteReadError):
                if not self.writer.is_closing():
                    self.ended_at = self.record.add(f"client {self.name}: its connection was ended")
                    self.writer.close()

    async def _read_frames(self) -> None:
        while True:
            (length,) = struct.unpack("<I", await self.reader.readexactly(4))
            data = await self.reader.readexactly(length)
            kind, stream = struct.unpack("<BI", data[:5])
            if kind == 32 and data[5] == 1:
                self.is_ready.set()
            elif kind == ANSWER and stream in self.traces:
                trace = self.traces[stream]
                at = self.record.add(f"client {self.name}: {trace} {CODES[data[5]]}")
                self.answers[trace].append((at, data[5]))


@contextlib.asynccontextmanager
async def bad_clients(record: Record, address: tuple[str, int], count: int) -> AsyncIterator[None]:
    """Run bad clients, whose message does not end, beside what the caller does."""
    record.add(f"{count} bad clients begin")
    tasks = [
        asyncio.create_task(_send_without_end(address, number / count)) for number in range(count)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record.add(f"{count} bad clients have ended")


async def _send_without_end(address: tuple[str, int], wait_seconds: float) -> None:
    """Send the begin of a message, read what comes, and do the same again once turned away."""
    await asyncio.sleep(wait_seconds)
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(struct.pack("<IBI", BAD_FRAME_BYTES, 2, 1) + b"x" * BAD_SENT_BYTES)
            while await reader.read(65_536):
                pass
            writer.close()
        await asyncio.sleep(0.02)


class Gateway:
    """One real workload manager, started with `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        settings: dict[str, Any],
        feed: Feed,
        limits: dict[str, Any],
        number: int,
    ) -> None:
        self.record, self.feed, self.limits, self.name = record, feed, limits, f"n{number + 1}"
        self.settings = {**settings, "myNumber": number}
        self.process: asyncio.subprocess.Process | None = None
        self.folder = tempfile.TemporaryDirectory()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        listen = "{}:{}".format(*self.address)
        folder = Path(self.folder.name)
        config = {
            "name": self.name,
            "listen": listen,
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "feed": self.feed.address,
            "known": {"n": len(self.feed.events), "events": self.feed.events},
            "settings": self.settings,
        }
        (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": listen,
            "EDGE_CONFIG": str(folder / "config.json"),
            "TMPDIR": self.folder.name,
        }
        with open(folder / "log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(100):
            client = Client(self.record, "front")
            with contextlib.suppress(OSError):
                await client.connect(self.address)
                if await client.is_front_ready():
                    client.writer.close()
                    self.record.add(f"workload manager {self.name}: ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the workload manager was not ready in time")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.add(f"workload manager {self.name}: {signal.Signals(number).name}")
        assert self.process is not None
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, and append its log to the record."""
        if self.process is not None and self.process.returncode is None:
            for number in signal.SIGCONT, signal.SIGKILL:
                self.process.send_signal(number)
            await self.process.wait()
        log = (Path(self.folder.name) / "log").read_text(encoding="utf-8", errors="replace")
        self.record.lines += [f"log of {self.name}: {line}" for line in log.splitlines()]
        self.folder.cleanup()


@contextlib.asynccontextmanager
async def fleet(
    record: Record, settings: dict[str, Any], feed: Feed, limits: dict[str, Any] = LIMITS
) -> AsyncIterator[list[Gateway]]:
    """Run the three workload managers of a small deployment; end them at the end."""
    gateways = [Gateway(record, settings, feed, limits, number) for number in range(GATEWAY_COUNT)]
    try:
        for gateway in gateways:
            await gateway.start()
        yield gateways
    finally:
        for gateway in gateways:
            await gateway.end()


def profile(name: str, aim_s: float, deadline_s: float, worth: float, **other: Any) -> Any:
    """Return a request class of the settings."""
    return {
        "aimStretch": 2.0,
        "deadlineUs": int(deadline_s * 1e6),
        "effect": "pure",
        "group": "all",
        "keyTtlUs": 5_000_000,
        "lateValue": 0.1,
        "name": name,
        "objectiveUs": int(aim_s * 1e6),
        "stream": False,
        "worth": worth,
        **other,
    }


def run_case(folder: Path, play: Callable[[Record, bool], Any], seconds: float = 110.0) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `play(record, has_trouble)` returns the lines that show a break, and raises if the case can't
    run.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"case begins, {'with' if has_trouble else 'without'} the disruption")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends what was started, too
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, has_trouble), seconds))
        status = 1 if breaks else 0
        for line in breaks:
            record.add(f"BROKEN: {line}")
        record.add(f"result: {'broken' if breaks else 'held'}")
    except (Exception, KeyboardInterrupt) as problem:
        record.add(f"result: the case could not run: {type(problem).__name__}: {problem}")
        status = 2
    record.write()
    print("\n".join(line for line in record.lines if "BROKEN" in line or "result:" in line))
    return status
