"""Sends the answers of one client connection in order, however little buffer memory there is.

Owns the frames that did not fit into the send buffer, and the answers in the send buffer that are
not yet written. A frame for which the send buffer cannot grow is passed on in parts of the buffer's
initial size: that memory belongs to the connection, so an answer depends on nobody but its client.

The memory for results is shared by dynamic thresholds (Choudhury and Hahne, 1998): a connection's
queue may not hold more than is left free for all queues. So few clients that do not read cannot
take the memory of others, while one alone may use a good part of it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from corkgauge.accounting.counter_names import EndReason
from corkgauge.eventloop.connection import NEVER, StreamConnection
from corkgauge.net.client_protocol import ANSWER, FAILED, frame_head

if TYPE_CHECKING:
    from corkgauge.net.client_connection import ClientRequest

# One part in so many of the memory for results is for pages that are requested from engines.
REQUESTED_PAGES_DIVISOR = 2


@dataclass(slots=True)
class Answer:
    """An answer to a request of a client, or to the connection as a whole (stream 0).

    `code` is a result code of the client protocol, `body` holds the parts of the body. From the
    tick `expires_at` on, an answer of which nothing is written yet is replaced by a short failure.
    `client_request` is the request that the answer ends, if any; its ledger record is closed when
    the last byte of the answer has been written.
    """

    stream: int
    code: int
    body: list[bytes]
    expires_at: int = NEVER
    client_request: ClientRequest | None = None

    def body_bytes(self) -> int:
        """Return the size of the body in bytes."""
        return sum(map(len, self.body))

    def parts(self) -> list[bytes]:
        """Return the frame of this answer in parts."""
        return [frame_head(ANSWER, self.stream, self.code, self.body_bytes()), *self.body]


@dataclass(slots=True)
class _WaitingFrame:
    """A frame that waits for room in the send buffer; a control frame has no `answer`."""

    data: bytes
    answer: Answer | None
    reserved_bytes: int  # in the memory budget for results
    queued_bytes: int = 0  # bytes at the front of `data` that are in the send buffer or written

    def has_begun(self) -> bool:
        """Return whether part of the frame was passed on, so that it cannot be replaced."""
        return self.queued_bytes > 0


class AnswerQueue:
    """The frames to one client, in order, from a final answer to its last byte."""

    def __init__(self, socket_host: Any, link: StreamConnection) -> None:
        self.socket_host = socket_host
        self.link = link
        self.answer_count = 0  # answers of the connection so far
        self._reserved_bytes = 0  # of the queued frames, in the memory budget for results
        self._waiting: deque[_WaitingFrame] = deque()
        # Answers in the send buffer: the count of buffered bytes at which each one ends, request.
        self._unwritten: deque[tuple[int, ClientRequest]] = deque()

    def __len__(self) -> int:
        """Return the number of frames that are not completely in the send buffer."""
        return len(self._waiting)

    def send(self, answer: Answer) -> None:
        """Send an answer, or queue it until the send buffer has room."""
        self.answer_count += 1
        if self.link.close_reason:
            self._close_unsent(answer, EndReason.CLIENT_GONE)
        elif self._waiting or not self.link.send(*answer.parts()):
            self._enqueue(answer)
        else:
            self._on_queued_whole(answer)

    def send_control_frame(self, frame: bytes) -> None:
        """Send a frame that is no answer, behind all earlier frames."""
        if self.link.close_reason:
            return
        if self._waiting or not self.link.send(frame):
            self._waiting.append(_WaitingFrame(frame, None, 0))
            self._fill_send_buffer()

    def _enqueue(self, answer: Answer) -> None:
        # Queued results for clients that do not read would fill the memory. Where there is no room
        # for a result, a short failure is queued instead of it.
        reserved_bytes = answer.body_bytes()
        if not self._reserve(reserved_bytes):
            self.socket_host.counters["results dropped"] += 1
            answer = self._failure_instead_of(answer)
            reserved_bytes = 0
        self._waiting.append(_WaitingFrame(b"".join(answer.parts()), answer, reserved_bytes))
        if answer.expires_at != NEVER:
            delay_ticks = answer.expires_at - self.socket_host.now
            self.socket_host.event_loop.call_later(delay_ticks, self._replace_expired)
        self._fill_send_buffer()

    def _reserve(self, size: int) -> bool:
        """Reserve `size` bytes for a queued result, unless this queue holds too much already."""
        budget = self.socket_host.result_memory
        kept_for_pages = budget.limit_bytes // REQUESTED_PAGES_DIVISOR
        if not budget.reserve(size, kept_for_pages + self._reserved_bytes):
            return False
        self._reserved_bytes += size
        return True

    def _release(self, frame: _WaitingFrame) -> None:
        self.socket_host.result_memory.release(frame.reserved_bytes)
        self._reserved_bytes -= frame.reserved_bytes
        frame.reserved_bytes = 0

    def _replace_expired(self) -> None:
        """Replace expired answers by failures; called by timer at the end of each request's time.

        Otherwise a client that does not read would hold the memory for results of all clients.
        """
        for frame in self._waiting:
            self._replace_if_expired(frame)

    def _failure_instead_of(self, answer: Answer) -> Answer:
        """Record that an answer was not read in time; return the failure that replaces it."""
        if answer.client_request is not None:
            answer.client_request.end_reason = EndReason.ANSWER_NOT_READ
        return Answer(answer.stream, FAILED, [], NEVER, answer.client_request)

    def on_output_drained(self) -> None:
        """Continue with the queued frames after the send buffer has become empty."""
        self._close_written()
        self._fill_send_buffer()

    def _fill_send_buffer(self) -> None:
        """Move queued frames to the send buffer, the last one in part if it does not fit whole.

        A queued result whose request has expired is replaced by a failure, as a late result must
        not count as served. Parts are sent only into an empty send buffer: it is then drained by
        this connection alone, which calls this method again.
        """
        while self._waiting:
            frame = self._waiting[0]
            self._replace_if_expired(frame)
            if self.link.send(frame.data[frame.queued_bytes :]):
                self._drop_first_waiting()
                if frame.answer is not None:
                    self._on_queued_whole(frame.answer)
                continue
            send_buffer = self.link.machine.outward
            part = frame.data[frame.queued_bytes : frame.queued_bytes + send_buffer.free_bytes]
            if not len(send_buffer) and self.link.send(part):
                frame.queued_bytes += len(part)
            return

    def _replace_if_expired(self, frame: _WaitingFrame) -> None:
        answer = frame.answer
        if answer is None or frame.has_begun() or self.socket_host.now < answer.expires_at:
            return
        self._release(frame)
        frame.answer = self._failure_instead_of(answer)
        frame.data = b"".join(frame.answer.parts())

    def _drop_first_waiting(self) -> None:
        self._release(self._waiting.popleft())

    def _on_queued_whole(self, answer: Answer) -> None:
        if answer.client_request is not None:
            self._unwritten.append((self.link.bytes_queued, answer.client_request))

    def _close_written(self) -> None:
        while self._unwritten and self._unwritten[0][0] <= self.link.bytes_sent:
            self.socket_host.on_answer_finished(self._unwritten.popleft()[1])

    def _close_unsent(self, answer: Answer | None, reason: int) -> None:
        """Close the ledger record of a request whose answer cannot be delivered any more."""
        if answer is not None and answer.client_request is not None:
            answer.client_request.end_reason = reason
            self.socket_host.on_answer_finished(answer.client_request)

    def close(self) -> None:
        """Close the ledger records of all answers after the connection has closed."""
        self._close_written()
        while self._unwritten:
            client_request = self._unwritten.popleft()[1]
            client_request.end_reason = EndReason.ANSWER_CUT_OFF
            self.socket_host.on_answer_finished(client_request)
        while self._waiting:
            frame = self._waiting[0]
            reason = EndReason.ANSWER_CUT_OFF if frame.has_begun() else EndReason.CLIENT_GONE
            self._close_unsent(frame.answer, reason)
            self._drop_first_waiting()
