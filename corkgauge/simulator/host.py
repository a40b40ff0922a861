"""One instance's door: decoded fields become calls of its gateway, its gateway's calls become actions."""

import json
from collections.abc import Callable
from struct import Struct, pack
from typing import Any

from corkgauge.config.settings import Settings
from corkgauge.policy.gateway import Gateway
from corkgauge.policy.records import Attempt, Engine, EngineState, Request

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
        self.settings: Any = None

    # What the gateway may do.

    def send_attempt(self, attempt: Attempt, allow: int) -> None:
        self.actions.append(
            ROUTE.pack(
                90,
                self.number,
                attempt.request.host_reference,
                attempt.engine.host_reference,
                min(allow * 100, U32),
            )
        )

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        self.actions.append(TERMS.pack(110, self.number, request.host_reference, memory, priority))

    def reject(self, request: Request, retry_after: int) -> None:
        self.actions.append(
            COOL.pack(40, self.number, request.host_reference, min(retry_after * 100, U32))
        )

    def fail(self, request: Request) -> None:
        self.actions.append(REQUEST.pack(100, self.number, request.host_reference))

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.actions.append(
            TRY.pack(120, self.number, attempt.request.host_reference, attempt.number)
        )

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.nonce += 1
        self.wakes[self.nonce] = method, what
        self.actions.append(TIMER.pack(60, self.number, self.nonce, min(max(delay, 0) * 100, U32)))

    def log(self, line: str) -> None:
        text = line.encode()[:200]
        self.actions.append(pack("<BIH", 80, self.number, len(text)) + text)

    # What the wire tells.

    def born(self, seed: int, text: bytes) -> None:
        """Read what is stated at start; the gateway keeps only what it derives from it."""
        self.settings = Settings(json.loads(text), self, seed)
        self.gateway = self.settings.gateway

    def update(self, form: int, entries: list[tuple]) -> None:
        """Changes, or the whole list: what a whole list leaves out is gone."""
        if form == 4:
            return
        if form != 1:
            named = {entry[0] for entry in entries}
            for tag, engine in self.engines.items():
                if tag not in named:
                    self.gateway.on_engine_update(engine, EngineState.GONE, engine.incarnation)
        for tag, zone, kind, cell, state, _, since in entries:
            engine = self.engines.get(tag)
            if engine is None:
                engine = self.engines[tag] = Engine(tag, tag, zone, kind, cell, name=tag.hex())
            self.settings.place(engine, zone, kind, cell)
            self.gateway.on_engine_update(engine, state, since // 100)
        self.gateway.on_engine_list_complete()

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
        request = Request(
            tag,
            self.settings.request_classes[kind],
            tenant,
            tables,
            self.now,
            budget // 100,
            estimate // 100 if marks & 1 else 0,
            memory,
            key,
        )
        self.submissions[tag] = request
        self.gateway.on_request(request)
        self.forget(request)

    def dropped(self, tag: int) -> None:
        request = self.submissions.get(tag)
        if request is not None:
            self.gateway.on_client_left(request)
            self.forget(request)

    def verdict(
        self, tag: int, number: int, reason: int, took: int, terminal: bool, stats: int, load: tuple
    ) -> None:
        request = self.submissions[tag]
        attempt = request.attempts[number]
        told = dict(zip(self.settings.fields, load))
        work, need = ((stats >> 12) * 10, (stats & 4095) * 4.0) if self.settings.bills else (0, 0.0)
        self.gateway.on_attempt_finished(
            attempt, reason, took // 100, terminal, work, need, told.get("inflight", -1.0)
        )
        self.forget(request)

    def update_of(self, tag: int, number: int, sort: int, value: float) -> None:
        request = self.submissions.get(tag)
        if request is not None and number < len(request.attempts):
            self.gateway.on_attempt_progress(request.attempts[number], sort, value)

    def deadline_hit(self, nonce: int) -> None:
        method, what = self.wakes.pop(nonce, (None, ()))
        if method is not None:
            method(*what)
            if what and isinstance(what[0], Request):
                self.forget(what[0])

    def forget(self, request: Request) -> None:
        """An id is kept while its submission lives or one of its hand-offs is out."""
        if request.is_finished and not any(h.is_in_flight for h in request.attempts):
            self.submissions.pop(request.host_reference, None)
