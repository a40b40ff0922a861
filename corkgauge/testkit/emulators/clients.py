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
from corkgauge.testkit.emulators.listener import linked
from corkgauge.testkit.emulators.protocols import (
    EmulatedClientProtocol,
    ready_question,
    request_frame,
    withdrawal,
)
from corkgauge.testkit.seeded_random import SeededRandom

PAUSE = 500  # between two dials
TOLD = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
KEY_APART = 3_000  # between two submissions of one key
MOST_OPEN = 30


@dataclass(frozen=True)
class Want:
    """What clients ask for: an offering's name, its share of all, patience in ms, estimate of work in ms."""

    request_class: str
    share: float
    patience: int
    work: float
    labelled: bool = False
    ordered: bool = False


@dataclass(slots=True, eq=False)
class Ask:
    """One submission, as its client saw it. Times are tenths of a millisecond."""

    trace: str
    want: Want
    key: str
    sent: int
    end: int  # where its last byte is among what the connection wrote
    stream: int
    answers: list[tuple[int, int, bytes]] = field(default_factory=list)
    excused: str = ""  # why no answer is owed
    label: str = ""


class EmulatedClient:
    """One client. `rate` is submissions a second; `gives_up` the share it takes back, `hangs_up` the share at
    which it closes its connection instead.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        address: tuple[str, int],
        wants: list[Want],
        tenant: str,
        rate: float,
        seed: int,
        gives_up: float = 0.0,
        hangs_up: float = 0.0,
        retries: bool = False,
    ) -> None:
        self.event_loop, self.address, self.wants, self.tenant, self.rate = (
            event_loop,
            address,
            wants,
            tenant,
            rate,
        )
        self.gives_up, self.hangs_up, self.chance = gives_up, hangs_up, SeededRandom(seed)
        self.book = list[Ask]()
        self.retries, self.again = retries, deque[Ask]()  # labelled ones whose connection went
        self.open: dict[int, Ask] = {}
        self.link: Any = None
        self.stream, self.is_ready, self.stopped = 0, False, False
        self.keys = {f"{seed & 0xFFFF:04x}{n:02x}": 0 for n in range(1, 5)}
        event_loop.spawn(self.run)
        event_loop.call_later(int(self.chance.wait(SECOND / rate)), self.ask)

    def run(self) -> None:
        """The task that keeps it connected."""
        while not self.stopped:
            sock, _ = dial(self.event_loop, self.address, SECOND)
            if sock is not None:
                self.stream, self.is_ready = 0, False
                self.link = linked(self.event_loop, sock, EmulatedClientProtocol(self), self)
                self.link.send(ready_question())
                self.link.run()
            if not self.stopped:
                self.event_loop.sleep(PAUSE)

    def ask(self) -> None:
        if self.stopped:
            return
        self.event_loop.call_later(max(int(self.chance.wait(SECOND / self.rate)), 1), self.ask)
        link, now = self.link, self.event_loop.now
        draw, want = self.chance.part(), self.wants[-1]
        for want in self.wants:
            if draw < want.share:
                break
            draw -= want.share
        if link is None or link.close_reason or not self.is_ready or len(self.open) >= MOST_OPEN:
            return
        rested = [key for key, last in self.keys.items() if now > last + KEY_APART]
        if want.ordered and not rested:
            return
        key, label = (
            rested[0] if want.ordered else "",
            self.chance.word() * 2 if want.labelled else "",
        )
        if self.again:
            before = self.again.popleft()
            want, key, label = before.want, before.key, before.label
        self.stream += 1
        fields = {
            "route": want.request_class,
            "trace": self.chance.word(),
            "patience": str(want.patience),
            "customer": self.tenant,
            "weight": f"{want.work:.1f}",
            "est_mb": "8",
        }
        if label:
            fields["nonce"] = label
        if key:
            fields["entity"], self.keys[key] = key, now
        body = b"select * from mart_%d.facts" % self.chance.below(40)
        if link.send(request_frame(self.stream, fields, body)):
            ask = Ask(fields["trace"], want, key, now, link.bytes_queued, self.stream, label=label)
            self.book.append(ask)
            self.open[self.stream] = ask
            if self.chance.within(self.gives_up):
                self.event_loop.call_later(int(self.chance.wait(200)), self.give_up, ask)
            elif self.chance.within(self.hangs_up):
                self.event_loop.call_later(int(self.chance.wait(300)), self.hang_up, link)

    def give_up(self, ask: Ask) -> None:
        if not ask.answers and self.open.get(ask.stream) is ask:
            ask.excused = "withdrawn"
            self.link.send(withdrawal(ask.stream))

    def hang_up(self, link: Any) -> None:
        """Danger to be caused: it goes between an answer's first byte and its last, or before any."""
        for ask in self.open.values():
            ask.excused = ask.excused or "hung up"
        link.close("hangs up")

    # What the machine hears.

    def answered(self, stream: int, code: int, body: bytes) -> None:
        ask = self.open.get(stream)
        if ask is None:
            ask = next((each for each in reversed(self.book) if each.stream == stream), None)
        if ask is not None:
            ask.answers.append((self.event_loop.now, code, body))
            self.open.pop(stream, None)

    def ready(self, code: int) -> None:
        self.is_ready = code == 1

    def leaving(self) -> None:
        self.is_ready = False

    def on_output_drained(self) -> None:
        pass

    def on_closed(self, why: str) -> None:
        """What was not written whole was never taken."""
        for ask in self.open.values():
            if ask.end > self.link.bytes_sent:
                ask.excused = ask.excused or "not written"
            elif self.retries and ask.label and not ask.excused:
                self.again.append(ask)
        self.open.clear()

    def stop(self) -> None:
        self.stopped = True
        if self.link is not None:
            self.link.close("done")

    def tally(self) -> dict[str, int]:
        """How its submissions ended: by code of the first answer, excused, unanswered."""
        said = {
            "asked": len(self.book),
            "served": 0,
            "refused": 0,
            "failed": 0,
            "excused": 0,
            "none": 0,
        }
        for ask in self.book:
            code = ask.answers[0][1] if ask.answers else 0
            said[TOLD.get(code) or ("excused" if ask.excused else "none")] += 1
        return said
