"""Serves the counts over HTTP on a Unix socket or a loopback address, using h11.

    GET /metrics    Prometheus text        GET /figures    the snapshot as JSON
    GET /findings   the discrepancies      POST /clear     clear all findings
    and the routes of other subsystems, described in their own documentation

Owns one listening socket and its few readers. The listener must not block the event loop and must
not hold memory for a reader that does not read. Therefore a snapshot is taken in one step and then
rendered in chunks, as fast as the reader receives them, with pauses that leave most of the
processor to requests. Where all readers' places are taken, a place is freed for the next reader: by
the end of a response, or by ending the reader that has kept its place waiting longest.
"""

import contextlib
import errno
import json
import os
import socket
import stat
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import h11

from corkgauge.accounting import exposition
from corkgauge.accounting.json_text import encode_json_chunks, join_chunks
from corkgauge.accounting.snapshot import Snapshot
from corkgauge.eventloop.loop import READ, SECOND, WRITE, EventLoop

REQUEST_TIMEOUT_TICKS = 5 * SECOND  # to send a request, and to receive each chunk
IDLE_TIMEOUT_TICKS = 60 * SECOND  # until the next request on a connection
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 16_384
RECEIVE_BYTES = 4096
BACKLOG = 16
# Time for which a reader may keep its place waiting, for its request or for room to send a chunk,
# while others wait for a place.
MAX_WAIT_IN_PLACE_TICKS = SECOND // 4
PLACE_CHECK_TICKS = 100
PAUSE_FACTOR = 3  # pause after a step, as a multiple of its time, for each reader
MAX_PAUSE_TICKS = SECOND // 4  # after a standstill of the process a step seems long
MAX_PROBLEM_CHARACTERS = 200
SOCKET_MODE = 0o660
JSON_TYPE = "application/json"

Address = str | tuple[str, int]
"""The path of a Unix socket, or an IP address and a port."""

Route = Callable[[bytes], Any]
"""Takes the body of a request and returns a value that JSON can encode.

Raises ValueError, KeyError or TypeError for an invalid body.
"""


class HttpRequest(NamedTuple):
    """A completely received request."""

    method: bytes
    path: bytes
    body: bytes


class HttpResponse(NamedTuple):
    """A response; the chunks of the body are produced while the response is sent."""

    status: int
    content_type: str
    body: Iterable[bytes]


class HttpListener:
    """Accepts readers and answers each reader in a separate task.

    `address` is the address to listen on, `max_readers` the maximum number of connections, `routes`
    the routes of other subsystems, by method and path. Raises OSError if the listener cannot listen
    on the address.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        max_readers: int,
        take_snapshot: Callable[[], Snapshot],
        clear_discrepancies: Callable[[], int],
        log: Callable[[str], None],
        routes: Mapping[tuple[bytes, bytes], Route],
    ) -> None:
        self.event_loop = event_loop
        self.address = address
        self.max_readers = max_readers
        self.take_snapshot = take_snapshot
        self.clear_discrepancies = clear_discrepancies
        self.log = log
        self.routes = routes
        self.reader_count = 0
        self.is_crowded = False  # a reader waits for a place
        # Tick since which a reader keeps its place waiting, by descriptor.
        self._waiting_since: dict[int, int] = {}
        self.sock: socket.socket | None = open_listening_socket(address)
        self.descriptor = self.sock.fileno()
        event_loop.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting readers; connected readers still receive their answers."""
        sock = self.sock
        if sock is None:
            return
        self.sock = None
        self.event_loop.wake(self.descriptor)
        sock.close()
        if isinstance(self.address, str):
            with contextlib.suppress(OSError):
                os.unlink(self.address)

    def _accept(self) -> None:
        while self.sock is not None:
            self.event_loop.wait(self.descriptor, READ)
            while self.sock is not None:
                # Without this limit, readers would use up the descriptors that clients and engines
                # need.
                self._wait_for_place()
                if self.sock is None:
                    return
                try:
                    sock, _ = self.sock.accept()
                except OSError:
                    break
                sock.setblocking(False)
                self.reader_count += 1
                self.event_loop.spawn(self._serve, sock)

    def _wait_for_place(self) -> None:
        """Wait while all places are taken and somebody waits for one."""
        while (
            self.sock is not None
            and self.reader_count >= self.max_readers
            and self.event_loop.poll_now(self.descriptor)[0] & READ
        ):
            self.is_crowded = True
            self._end_longest_waiting()
            self.event_loop.sleep(PLACE_CHECK_TICKS)
        self.is_crowded = False

    def _end_longest_waiting(self) -> None:
        """End the reader that keeps its place waiting longest, if it is too long."""
        if not self._waiting_since:
            return
        descriptor = min(self._waiting_since, key=self._waiting_since.__getitem__)
        since = self._waiting_since[descriptor]
        if self.event_loop.now >= since + MAX_WAIT_IN_PLACE_TICKS:
            self.event_loop.wake(descriptor)  # without an event, as after the deadline

    # The task that serves one reader.

    def _serve(self, sock: socket.socket) -> None:
        try:
            connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            timeout_ticks = REQUEST_TIMEOUT_TICKS
            while self._serve_request(sock, connection, timeout_ticks) and not self.is_crowded:
                connection.start_next_cycle()
                timeout_ticks = IDLE_TIMEOUT_TICKS
        except (OSError, h11.ProtocolError):
            pass  # an error of a reader only ends the connection of that reader
        finally:
            self.reader_count -= 1
            sock.close()

    def _serve_request(
        self, sock: socket.socket, connection: h11.Connection, timeout_ticks: int
    ) -> bool:
        """Answer one request; return whether the connection can serve another request."""
        request = self._read_request(sock, connection, timeout_ticks)
        if request is None:
            return False
        step_began_at = self.event_loop.clock()
        response = self._build_response(request)
        chunks = iter(join_chunks(response.body))
        chunk = next(chunks, None)
        headers = [("Content-Type", response.content_type), ("Transfer-Encoding", "chunked")]
        step_ticks = self.event_loop.clock() - step_began_at
        self._send(sock, connection, h11.Response(status_code=response.status, headers=headers))
        while chunk is not None:
            self._send(sock, connection, h11.Data(data=chunk))
            self._pause(step_ticks)
            step_began_at = self.event_loop.clock()
            chunk = next(chunks, None)
            step_ticks = self.event_loop.clock() - step_began_at
        self._send(sock, connection, h11.EndOfMessage())
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    def _pause(self, step_ticks: int) -> None:
        """Let other tasks run after a step of this length, for longer the more readers there are.

        Readers that ask again and again would otherwise take the processor from requests. The time
        for which a reader kept the step waiting is no part of it.
        """
        pause_ticks = PAUSE_FACTOR * self.reader_count * step_ticks
        self.event_loop.sleep(min(max(pause_ticks, 1), MAX_PAUSE_TICKS))

    def _wait(self, sock: socket.socket, mask: int, since: int, deadline: int) -> int:
        """Wait for a reader, which keeps its place waiting since a tick; return 0 to end it."""
        descriptor = sock.fileno()
        self._waiting_since[descriptor] = since
        try:
            return self.event_loop.wait(descriptor, mask, deadline)
        finally:
            del self._waiting_since[descriptor]

    def _read_request(
        self, sock: socket.socket, connection: h11.Connection, timeout_ticks: int
    ) -> HttpRequest | None:
        """Return the next request, or None if no complete request can be received.

        None is returned after the timeout, if the place is needed for another reader, if the reader
        closes the connection, and if more data follows once the body exceeds MAX_BODY_BYTES. The
        last chunk of a body may exceed that limit, because the size is checked before the chunk is
        added.
        """
        head: h11.Request | None = None
        body = b""
        began_at = self.event_loop.now
        deadline = began_at + timeout_ticks
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if not self._wait(sock, READ, began_at, deadline):
                    return None
                connection.receive_data(sock.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data) and len(body) <= MAX_BODY_BYTES:
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return HttpRequest(head.method, head.target.partition(b"?")[0], body)
            else:
                return None

    def _build_response(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case b"GET", b"/metrics":
                chunks = exposition.render_text_chunks(self.take_snapshot())
                return HttpResponse(200, exposition.CONTENT_TYPE, chunks)
            case b"GET", b"/figures":
                return HttpResponse(200, JSON_TYPE, encode_json_chunks(self.take_snapshot()))
            case b"GET", b"/findings":
                return _json_response(200, self.take_snapshot()["audit"])
            case b"POST", b"/clear":
                return _json_response(200, {"cleared": self.clear_discrepancies()})
        route = self.routes.get((request.method, request.path))
        if route is not None:
            return _call_route(route, request.body)
        return HttpResponse(
            404, "text/plain", [b"GET /metrics, /figures, /findings; POST /clear\n"]
        )

    def _send(
        self,
        sock: socket.socket,
        connection: h11.Connection,
        event: h11.Response | h11.Data | h11.EndOfMessage,
    ) -> None:
        """Write an event; raise OSError if the reader does not receive it in time.

        Without the timeout, a reader that does not read would keep its snapshot in memory forever.
        """
        unsent = memoryview(connection.send(event) or b"")
        began_at = self.event_loop.now
        deadline = began_at + REQUEST_TIMEOUT_TICKS
        while unsent:
            try:
                unsent = unsent[sock.send(unsent) :]
            except BlockingIOError:
                if not self._wait(sock, WRITE, began_at, deadline):
                    raise TimeoutError("the reader did not receive the response in time") from None


def _call_route(route: Route, body: bytes) -> HttpResponse:
    try:
        return _json_response(200, route(body))
    except (ValueError, KeyError, TypeError) as problem:
        return _json_response(400, {"wrong": str(problem)[:MAX_PROBLEM_CHARACTERS]})


def _json_response(status: int, value: Any) -> HttpResponse:
    return HttpResponse(status, JSON_TYPE, [json.dumps(value).encode()])


def open_listening_socket(address: Address) -> socket.socket:
    """Return a non-blocking listening socket; raise OSError if the address is not available."""
    if isinstance(address, tuple):
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    else:
        sock = socket.socket(socket.AF_UNIX)
        remove_dead_socket(address)
    try:
        sock.bind(address)
        if isinstance(address, str):
            os.chmod(address, SOCKET_MODE)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def remove_dead_socket(path: str) -> None:
    """Remove the socket that a killed program left at a path.

    Without this, no program could listen at the path again. A regular file, or the socket of a
    running program, is not removed, because it is still in use.
    """
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.lstat(path).st_mode) and not has_listener(path):
            os.unlink(path)


def has_listener(path: str) -> bool:
    """Return whether a program listens at the path of a Unix socket."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)  # a Unix socket connects, or fails, immediately
        return probe.connect_ex(path) in (0, errno.EAGAIN)  # EAGAIN: the listener's backlog is full
