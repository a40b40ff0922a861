"""Emulates clients on loopback that send requests over one connection and record all answers.

Owns the record of the requests and of every answer, with the times that the client measured. Must
never submit a request again that was answered, because the checkers judge what the gateway does
with a single submission.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.client_protocol import FAILED, REFUSED, SERVED
from corkgauge.testkit.emulators.listener import make_connection
from corkgauge.testkit.emulators.protocols import (
    EmulatedClientProtocol,
    cancellation_frame,
    readiness_query_frame,
    request_frame,
)
from corkgauge.testkit.seeded_random import SeededRandom

RECONNECT_PAUSE_TICKS = 500
OUTCOME_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
ORDER_KEY_PAUSE_TICKS = 3_000  # between two requests with the same order key
MAX_OPEN_REQUESTS = 30


@dataclass(frozen=True)
class RequestProfile:
    """Describes the requests of one class that clients send.

    `share` is the fraction of all requests, `patience_ms` the time to the deadline, and `work_ms`
    the estimate of the work that the request states.
    """

    request_class: str
    share: float
    patience_ms: int
    work_ms: float
    has_idempotency_key: bool = False
    has_order_key: bool = False


@dataclass(slots=True, eq=False)
class SubmittedRequest:
    """Records one request as its client saw it; times are in ticks."""

    trace: str
    profile: RequestProfile
    order_key: str
    sent_at: int
    end_offset: int  # position of the last byte of the request in the output of the connection
    stream: int
    answers: list[tuple[int, int, bytes]] = field(default_factory=list)  # time, code, body
    excuse: str = ""  # reason why the gateway need not answer; empty if an answer is required
    idempotency_key: str = ""


class EmulatedClient:
    """Sends requests at random intervals over one connection.

    `rate` is the number of requests per second. `cancel_share` is the fraction of the requests that
    the client cancels, and `disconnect_share` the fraction after which it closes the connection.
    With `retries`, the client submits a request with an idempotency key again if the connection
    closed before the answer.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        address: tuple[str, int],
        profiles: list[RequestProfile],
        tenant: str,
        rate: float,
        seed: int,
        cancel_share: float = 0.0,
        disconnect_share: float = 0.0,
        retries: bool = False,
    ) -> None:
        self.event_loop, self.address, self.profiles, self.tenant, self.rate = (
            event_loop,
            address,
            profiles,
            tenant,
            rate,
        )
        self.cancel_share, self.disconnect_share, self.chance = (
            cancel_share,
            disconnect_share,
            SeededRandom(seed),
        )
        self.requests = list[SubmittedRequest]()
        # Pending: requests with an idempotency key whose connection closed before the answer.
        self.retries, self.pending_retries = (
            retries,
            deque[SubmittedRequest](),
        )
        self.open_requests: dict[int, SubmittedRequest] = {}
        self.connection: Any = None
        self.stream, self.is_ready, self.stopped = 0, False, False
        self.order_key_times = {f"{seed & 0xFFFF:04x}{n:02x}": 0 for n in range(1, 5)}
        event_loop.spawn(self.run)
        event_loop.call_later(int(self.chance.exponential(SECOND / rate)), self.submit_request)

    def run(self) -> None:
        """Keep the client connected; the body of a task."""
        while not self.stopped:
            sock, _ = dial(self.event_loop, self.address, SECOND)
            if sock is not None:
                self.stream, self.is_ready = 0, False
                self.connection = make_connection(
                    self.event_loop, sock, EmulatedClientProtocol(self), self
                )
                self.connection.send(readiness_query_frame())
                self.connection.run()
            if not self.stopped:
                self.event_loop.sleep(RECONNECT_PAUSE_TICKS)

    def submit_request(self) -> None:
        """Submit a request of a random profile, unless too many are open, and schedule the next."""
        if self.stopped:
            return
        self.event_loop.call_later(
            max(int(self.chance.exponential(SECOND / self.rate)), 1), self.submit_request
        )
        connection, now = self.connection, self.event_loop.now
        draw, profile = self.chance.uniform(), self.profiles[-1]
        for profile in self.profiles:
            if draw < profile.share:
                break
            draw -= profile.share
        if (
            connection is None
            or connection.close_reason
            or not self.is_ready
            or len(self.open_requests) >= MAX_OPEN_REQUESTS
        ):
            return
        available_keys = [
            order_key
            for order_key, last in self.order_key_times.items()
            if now > last + ORDER_KEY_PAUSE_TICKS
        ]
        if profile.has_order_key and not available_keys:
            return
        order_key, idempotency_key = (
            available_keys[0] if profile.has_order_key else "",
            self.chance.hex_word() * 2 if profile.has_idempotency_key else "",
        )
        if self.pending_retries:
            previous = self.pending_retries.popleft()
            profile, order_key, idempotency_key = (
                previous.profile,
                previous.order_key,
                previous.idempotency_key,
            )
        self.stream += 1
        fields = {
            "route": profile.request_class,
            "trace": self.chance.hex_word(),
            "patience": str(profile.patience_ms),
            "customer": self.tenant,
            "weight": f"{profile.work_ms:.1f}",
            "est_mb": "8",
        }
        if idempotency_key:
            fields["nonce"] = idempotency_key
        if order_key:
            fields["entity"], self.order_key_times[order_key] = order_key, now
        body = b"select * from mart_%d.facts" % self.chance.below(40)
        if connection.send(request_frame(self.stream, fields, body)):
            request = SubmittedRequest(
                fields["trace"],
                profile,
                order_key,
                now,
                connection.bytes_queued,
                self.stream,
                idempotency_key=idempotency_key,
            )
            self.requests.append(request)
            self.open_requests[self.stream] = request
            if self.chance.happens(self.cancel_share):
                self.event_loop.call_later(
                    int(self.chance.exponential(200)), self.cancel_request, request
                )
            elif self.chance.happens(self.disconnect_share):
                self.event_loop.call_later(
                    int(self.chance.exponential(300)), self.disconnect, connection
                )

    def cancel_request(self, request: SubmittedRequest) -> None:
        """Cancel a request that is still open and has no answer."""
        if not request.answers and self.open_requests.get(request.stream) is request:
            request.excuse = "withdrawn"
            self.connection.send(cancellation_frame(request.stream))

    def disconnect(self, connection: Any) -> None:
        """Close the connection at a random moment, also in the middle of an answer.

        The gateway has to handle a client that leaves between the first and the last byte of an
        answer, or before any byte.
        """
        for request in self.open_requests.values():
            request.excuse = request.excuse or "hung up"
        connection.close("hangs up")

    # Callbacks of the protocol and the connection.

    def on_answer(self, stream: int, code: int, body: bytes) -> None:
        """Record an answer, also a repeated one of a request that is already answered."""
        request = self.open_requests.get(stream)
        if request is None:
            request = next(
                (each for each in reversed(self.requests) if each.stream == stream), None
            )
        if request is not None:
            request.answers.append((self.event_loop.now, code, body))
            self.open_requests.pop(stream, None)

    def on_ready(self, code: int) -> None:
        """Note whether the gateway accepts requests."""
        self.is_ready = code == 1

    def on_leaving(self) -> None:
        """Stop sending requests to a gateway that is shutting down."""
        self.is_ready = False

    def on_output_drained(self) -> None:
        """Do nothing: the client never waits for its output."""

    def on_closed(self, why: str) -> None:
        """Excuse requests that were not written completely, and queue retries of the others.

        The gateway never accepted a request that it received only in part.
        """
        for request in self.open_requests.values():
            if request.end_offset > self.connection.bytes_sent:
                request.excuse = request.excuse or "not written"
            elif self.retries and request.idempotency_key and not request.excuse:
                self.pending_retries.append(request)
        self.open_requests.clear()

    def stop(self) -> None:
        """Close the connection and send no more requests."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close("done")

    def count_outcomes(self) -> dict[str, int]:
        """Count the requests by outcome: code of the first answer, excused, or unanswered."""
        counts = {
            "asked": len(self.requests),
            "served": 0,
            "refused": 0,
            "failed": 0,
            "excused": 0,
            "none": 0,
        }
        for request in self.requests:
            code = request.answers[0][1] if request.answers else 0
            counts[OUTCOME_NAMES.get(code) or ("excused" if request.excuse else "none")] += 1
        return counts
