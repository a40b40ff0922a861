"""Clients on loopback: each asks at its own pace over one connection, and keeps a book of what it was told.

Owns what was asked and every answer to it, in the client's own times. Must never ask again for what
was answered: what the gateway does with one submission is what is looked at.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from corkgauge.eventloop.connection import dial
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

RECONNECT_PAUSE_TICKS = 500  # between two dials
OUTCOME_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
ORDER_KEY_PAUSE_TICKS = 3_000  # between two submissions of one key
MAX_OPEN_REQUESTS = 30


@dataclass(frozen=True)
class RequestProfile:
    """What clients request for: an offering's name, its share of all, patience in ms, estimate of work in ms."""

    request_class: str
    share: float
    patience_ms: int
    work_ms: float
    has_idempotency_key: bool = False
    has_order_key: bool = False


@dataclass(slots=True, eq=False)
class SubmittedRequest:
    """One submission, as its client saw it. Times are tenths of a millisecond."""

    trace: str
    profile: RequestProfile
    order_key: str
    sent_at: int
    end_offset: int  # where its last byte is among what the connection wrote
    stream: int
    answers: list[tuple[int, int, bytes]] = field(default_factory=list)
    excuse: str = ""  # why no answer is owed
    idempotency_key: str = ""


class EmulatedClient:
    """One client. `rate` is submissions a second; `cancel_share` the share it takes back, `disconnect_share` the share at
    which it closes its connection instead.
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
        self.retries, self.pending_retries = (
            retries,
            deque[SubmittedRequest](),
        )  # labelled ones whose connection went
        self.open_requests: dict[int, SubmittedRequest] = {}
        self.connection: Any = None
        self.stream, self.is_ready, self.stopped = 0, False, False
        self.order_key_times = {f"{seed & 0xFFFF:04x}{n:02x}": 0 for n in range(1, 5)}
        event_loop.spawn(self.run)
        event_loop.call_later(int(self.chance.exponential(SECOND / rate)), self.submit_request)

    def run(self) -> None:
        """The task that keeps it connected."""
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
        rested = [
            key for key, last in self.order_key_times.items() if now > last + ORDER_KEY_PAUSE_TICKS
        ]
        if profile.has_order_key and not rested:
            return
        key, label = (
            rested[0] if profile.has_order_key else "",
            self.chance.hex_word() * 2 if profile.has_idempotency_key else "",
        )
        if self.pending_retries:
            before = self.pending_retries.popleft()
            profile, key, label = before.profile, before.order_key, before.idempotency_key
        self.stream += 1
        fields = {
            "route": profile.request_class,
            "trace": self.chance.hex_word(),
            "patience": str(profile.patience_ms),
            "customer": self.tenant,
            "weight": f"{profile.work_ms:.1f}",
            "est_mb": "8",
        }
        if label:
            fields["nonce"] = label
        if key:
            fields["entity"], self.order_key_times[key] = key, now
        body = b"select * from mart_%d.facts" % self.chance.below(40)
        if connection.send(request_frame(self.stream, fields, body)):
            request = SubmittedRequest(
                fields["trace"],
                profile,
                key,
                now,
                connection.bytes_queued,
                self.stream,
                idempotency_key=label,
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
        if not request.answers and self.open_requests.get(request.stream) is request:
            request.excuse = "withdrawn"
            self.connection.send(cancellation_frame(request.stream))

    def disconnect(self, connection: Any) -> None:
        """Danger to be caused: it goes between an answer's first byte and its last, or before any."""
        for request in self.open_requests.values():
            request.excuse = request.excuse or "hung up"
        connection.close("hangs up")

    # What the machine hears.

    def on_answer(self, stream: int, code: int, body: bytes) -> None:
        request = self.open_requests.get(stream)
        if request is None:
            request = next(
                (each for each in reversed(self.requests) if each.stream == stream), None
            )
        if request is not None:
            request.answers.append((self.event_loop.now, code, body))
            self.open_requests.pop(stream, None)

    def on_ready(self, code: int) -> None:
        self.is_ready = code == 1

    def on_leaving(self) -> None:
        self.is_ready = False

    def on_output_drained(self) -> None:
        pass

    def on_closed(self, why: str) -> None:
        """What was not written whole was never taken."""
        for request in self.open_requests.values():
            if request.end_offset > self.connection.bytes_sent:
                request.excuse = request.excuse or "not written"
            elif self.retries and request.idempotency_key and not request.excuse:
                self.pending_retries.append(request)
        self.open_requests.clear()

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.close("done")

    def count_outcomes(self) -> dict[str, int]:
        """How its submissions ended: by code of the first answer, excused, unanswered."""
        said = {
            "asked": len(self.requests),
            "served": 0,
            "refused": 0,
            "failed": 0,
            "excused": 0,
            "none": 0,
        }
        for request in self.requests:
            code = request.answers[0][1] if request.answers else 0
            said[OUTCOME_NAMES.get(code) or ("excused" if request.excuse else "none")] += 1
        return said
