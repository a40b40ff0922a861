"""Where figures are asked for: HTTP on a Unix socket or on loopback, by h11.

Owns one listener and its few readers. Must never hold up the loop, nor hold memory for a reader that does not
read: a cut is made in one step and rendered a piece at a time, as the reader takes it.

    GET /metrics    Prometheus text        GET /figures    the cut as JSON
    GET /findings   what does not add up   POST /clear     an operator has seen that
    and what other subsystems answer here: see their pages
"""

import json
import os
import socket
import stat
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import h11

from corkgauge.accounting.snapshot import Cut
from corkgauge.eventloop.loop import READ, SECOND, WRITE, EventLoop

PATIENCE = 5 * SECOND  # that a reader has for its request, and for each piece of the answer
IDLE = 60 * SECOND  # that it may keep a connection without asking
MOST_HEAD = MOST_BODY = 16_384
PIECE = 32_768


class HttpListener:
    """The listener and its readers. `cut` makes a whole cut, `clear` forgets the findings."""

    def __init__(
        self,
        event_loop: EventLoop,
        where: str | tuple[str, int],
        most: int,
        cut: Callable[[], Cut],
        clear: Callable[[], int],
        log: Callable[[str], None],
        routes: Mapping[tuple[bytes, bytes], Callable[[bytes], Any]],
    ) -> None:
        self.event_loop, self.where, self.most, self.cut, self.clear, self.log = (
            event_loop,
            where,
            most,
            cut,
            clear,
            log,
        )
        self.routes = (
            routes  # of other subsystems: by method and path, what they make of the body, as JSON
        )
        self.here = 0
        self.sock = opened(where)
        self.fd = self.sock.fileno()
        event_loop.spawn(self._accept)

    def close(self) -> None:
        """No more readers; those that are here finish."""
        sock, self.sock = self.sock, None
        if sock is not None:
            self.event_loop.wake(self.fd)
            sock.close()
            if isinstance(self.where, str):
                try:
                    os.unlink(self.where)
                except OSError:
                    pass

    def _accept(self) -> None:
        while self.sock is not None:
            self.event_loop.wait(self.fd, READ)
            while self.sock is not None:
                try:
                    sock, _ = self.sock.accept()
                except OSError:
                    break
                # Danger: readers without end would take the descriptors of clients and engines.
                if self.here >= self.most:
                    sock.close()
                    continue
                sock.setblocking(False)
                self.here += 1
                self.event_loop.spawn(self._serve, sock)

    # One reader's task.

    def _serve(self, sock: socket.socket) -> None:
        try:
            reader = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
            patience = PATIENCE
            while self._one(sock, reader, patience):
                reader.start_next_cycle()
                patience = IDLE
        except (OSError, h11.ProtocolError):
            pass  # whatever a reader does wrong ends its own connection
        finally:
            self.here -= 1
            sock.close()

    def _one(self, sock: socket.socket, reader: h11.Connection, patience: int) -> bool:
        """One request and its answer; may there be another?"""
        asked, body, until = None, b"", self.event_loop.now + patience
        while True:
            event = reader.next_event()
            if event is h11.NEED_DATA:
                if not self.event_loop.wait(sock.fileno(), READ, until):
                    return False
                reader.receive_data(sock.recv(4096))
            elif isinstance(event, h11.Request):
                asked = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif not isinstance(event, h11.Data) or len(body) > MOST_BODY:
                return False
            else:
                body += event.data
        status, kind, body = self._answer(asked.method, asked.target.partition(b"?")[0], body)
        head = h11.Response(
            status_code=status, headers=[("Content-Type", kind), ("Transfer-Encoding", "chunked")]
        )
        self._write(sock, reader.send(head) or b"")
        for piece in gathered(body):
            self._write(sock, reader.send(h11.Data(data=piece)) or b"")
            # Danger: pieces in a row would hold up all that is served; they have their turn
            self.event_loop.sleep(1)
        self._write(sock, reader.send(h11.EndOfMessage()) or b"")
        return reader.our_state is h11.DONE and reader.their_state is h11.DONE

    def _answer(
        self, method: bytes, target: bytes, asked: bytes
    ) -> tuple[int, str, Iterable[bytes]]:
        if (method, target) == (b"GET", b"/metrics"):
            from corkgauge.accounting import exposition

            return 200, exposition.CONTENT_TYPE, exposition.pieces(self.cut())
        if (method, target) == (b"GET", b"/figures"):
            return 200, "application/json", json_pieces(self.cut())
        if (method, target) == (b"GET", b"/findings"):
            return 200, "application/json", [json.dumps(self.cut()["audit"]).encode()]
        if (method, target) == (b"POST", b"/clear"):
            return 200, "application/json", [json.dumps({"cleared": self.clear()}).encode()]
        if route := self.routes.get((method, target)):
            try:
                return 200, "application/json", [json.dumps(route(asked)).encode()]
            except (ValueError, KeyError, TypeError) as problem:
                return 400, "application/json", [json.dumps({"wrong": str(problem)[:200]}).encode()]
        return 404, "text/plain", [b"GET /metrics, /figures, /findings; POST /clear\n"]

    def _write(self, sock: socket.socket, data: bytes) -> None:
        """Danger: a reader that does not read would hold its cut for ever; it has a while for each piece."""
        view, until = memoryview(data), self.event_loop.now + PATIENCE
        while view:
            try:
                view = view[sock.send(view) :]
            except BlockingIOError:
                if not self.event_loop.wait(sock.fileno(), WRITE, until):
                    raise OSError("a reader that does not read") from None


def gathered(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Small pieces together, none of them empty.

    >>> [*gathered([b"a", b"", b"b"])]
    [b'ab']
    """
    held = b""
    for piece in pieces:
        held += piece
        if len(held) >= PIECE:
            yield held
            held = b""
    if held:
        yield held


def json_pieces(cut: Cut) -> Iterator[bytes]:
    """The cut as JSON, row by row.

    >>> b"".join(json_pieces({"a": 1, "rows": {"x": {"n": 2}, "y": [3]}, "none": {}}))
    b'{"a":1,"rows":{"x":{"n":2},"y":[3]},"none":{}}'
    """
    mark = b"{"
    for key, value in cut.items():
        yield mark + json.dumps(key).encode() + b":"
        mark = b","
        if isinstance(value, Mapping) and value:
            inner = b"{"
            for name, row in value.items():
                yield inner + json.dumps(name).encode() + b":" + _compact(row)
                inner = b","
            yield b"}"
        else:
            yield _compact(value)
    yield b"}"


def _compact(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def opened(where: str | tuple[str, int]) -> socket.socket:
    """A listening socket. Danger: a path may hold the socket of a program that was killed; it is replaced,
    and nothing but a socket ever is."""
    if isinstance(where, tuple):
        sock: Any = socket.socket(socket.AF_INET6 if ":" in where[0] else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    else:
        sock = socket.socket(socket.AF_UNIX)
        try:
            if stat.S_ISSOCK(os.lstat(where).st_mode) and not answers(where):
                os.unlink(where)
        except FileNotFoundError:
            pass
    try:
        sock.bind(where)
        if isinstance(where, str):
            os.chmod(where, 0o660)
        sock.listen(16)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def answers(path: str) -> bool:
    """Does somebody listen at this path?"""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)  # a Unix socket connects at once, or not
        return probe.connect_ex(path) in (0, 11)
