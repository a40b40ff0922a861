"""One instance's door: decoded fields become calls of its gateway, its gateway's calls become actions."""

import json
from collections.abc import Callable
from struct import Struct, pack
from typing import Any

from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import GONE, Engine, Attempt, Request
from corkgauge.config.settings import Settings

U32 = (1 << 32) - 1
ROUTE, COOL = Struct("<BIQ6sI"), Struct("<BIQI")
TERMS, REQUEST, TRY, TIMER = Struct("<BIQfB"), Struct("<BIQ"), Struct("<BIQH"), Struct("<BIQI")


class SimulatedHost:
    """Holds the ids of one instance and the host side of its gateway."""

    lag = 0  # simulated events never wait

    def __init__(self, number: int, actions: list[bytes]) -> None:
        self.number, self.actions = number, actions
        self.now = 0
        self.gateway: Gateway | None = None
        self.engines: dict[bytes, Engine] = {}
        self.submissions: dict[int, Request] = {}
        self.wakes: dict[int, tuple[Callable[..., None], tuple]] = {}
        self.nonce = 0
        self.stated: Any = None

    # What the gateway may do.

    def hand_off(self, handoff: Attempt, allow: int) -> None:
        self.actions.append(
            ROUTE.pack(
                90, self.number, handoff.submission.tag, handoff.engine.tag, min(allow * 100, U32)
            )
        )

    def set_terms(self, submission: Request, memory: float, priority: int) -> None:
        self.actions.append(TERMS.pack(110, self.number, submission.tag, memory, priority))

    def dismiss(self, submission: Request, come_back: int) -> None:
        self.actions.append(COOL.pack(40, self.number, submission.tag, min(come_back * 100, U32)))

    def scrap(self, submission: Request) -> None:
        self.actions.append(REQUEST.pack(100, self.number, submission.tag))

    def call_off(self, handoff: Attempt) -> None:
        self.actions.append(TRY.pack(120, self.number, handoff.submission.tag, handoff.number))

    def wake(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.nonce += 1
        self.wakes[self.nonce] = method, what
        self.actions.append(TIMER.pack(60, self.number, self.nonce, min(max(delay, 0) * 100, U32)))

    def log(self, line: str) -> None:
        text = line.encode()[:200]
        self.actions.append(pack("<BIH", 80, self.number, len(text)) + text)

    # What the wire tells.

    def born(self, seed: int, text: bytes) -> None:
        """Read what is stated at start; the gateway keeps only what it derives from it."""
        self.stated = Settings(json.loads(text), self, seed)
        self.gateway = self.stated.gateway

    def update(self, form: int, entries: list[tuple]) -> None:
        """Changes, or the whole list: what a whole list leaves out is gone."""
        if form == 4:
            return
        if form != 1:
            named = {entry[0] for entry in entries}
            for tag, engine in self.engines.items():
                if tag not in named:
                    self.gateway.engine_told(engine, GONE, engine.started)
        for tag, hall, kind, cell, state, _, since in entries:
            engine = self.engines.get(tag)
            if engine is None:
                engine = self.engines[tag] = Engine(tag, tag, hall, kind, cell, name=tag.hex())
            self.stated.place(engine, hall, kind, cell)
            self.gateway.engine_told(engine, state, since // 100)
        self.gateway.list_told()

    def demand(
        self,
        tag: int,
        tables: float,
        kind: int,
        memory: float,
        marks: int,
        estimate: int,
        tenant: int,
        key: int,
        budget: int,
    ) -> None:
        submission = Request(
            tag,
            self.stated.offerings[kind],
            tenant,
            tables,
            self.now,
            budget // 100,
            estimate // 100 if marks & 1 else 0,
            memory,
            key,
        )
        self.submissions[tag] = submission
        self.gateway.submission_taken(submission)
        self.forget(submission)

    def dropped(self, tag: int) -> None:
        submission = self.submissions.get(tag)
        if submission is not None:
            self.gateway.submission_left(submission)
            self.forget(submission)

    def verdict(
        self, tag: int, number: int, reason: int, took: int, terminal: bool, stats: int, load: tuple
    ) -> None:
        submission = self.submissions[tag]
        handoff = submission.handoffs[number]
        told = dict(zip(self.stated.fields, load))
        work, need = ((stats >> 12) * 10, (stats & 4095) * 4.0) if self.stated.bills else (0, 0.0)
        self.gateway.handoff_over(
            handoff, reason, took // 100, terminal, work, need, told.get("inflight", -1.0)
        )
        self.forget(submission)

    def update_of(self, tag: int, number: int, sort: int, value: float) -> None:
        submission = self.submissions.get(tag)
        if submission is not None and number < len(submission.handoffs):
            self.gateway.handoff_progress(submission.handoffs[number], sort, value)

    def deadline_hit(self, nonce: int) -> None:
        method, what = self.wakes.pop(nonce, (None, ()))
        if method is not None:
            method(*what)
            if what and isinstance(what[0], Request):
                self.forget(what[0])

    def forget(self, submission: Request) -> None:
        """An id is kept while its submission lives or one of its hand-offs is out."""
        if submission.over and not any(h.out for h in submission.handoffs):
            self.submissions.pop(submission.tag, None)
