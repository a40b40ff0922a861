"""The gateway's host on sockets.

Owns the open submissions, the hand-offs under way with their pages, the lists of engines and of clients, and
the ids of all of them. Must never decide: it tells the gateway what happened and does what that says. Must
never call the gateway from within one of the gateway's own calls.
"""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.counter_names import DEPARTED_ROW, reason_of, sort_of
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.config.platform import ConfigurationError, PlatformConfig, address
from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.client_protocol import FAILED, REFUSED, SERVED
from corkgauge.net.edge_counters import EdgeCounters
from corkgauge.net.engine_connection import (
    ENDS,
    EngineConnection,
    EnginePool,
    InFlightAttempt,
    outcome_of,
)
from corkgauge.net.engine_protocol import MOST_PAGE, page
from corkgauge.net.live_records import LiveRecords
from corkgauge.policy.records import (
    Attempt,
    AttemptOutcome,
    Engine,
    EngineState,
    Repeatability,
    Request,
)

MOST_RESULT = 48_000  # bytes of one result
MOST_PAGES = 64
PAGE_TIME = 2_500  # that an engine may take over the next page of a result
UNTOLD = 3  # times that an engine should have told of a hand-off, until that counts as lost
LEAST_ROOM = 4 * 2**20
AUDIT_EACH, AUDIT_PAUSE = SECOND, 20  # between two passes over the books; between two slices of one
STATES = {
    "SERVING": EngineState.READY,
    "DRAINING": EngineState.DRAINING,
    "DELETED": EngineState.GONE,
}
NOTES = {"advance": 1, "disk": 2, "stall": 3}


class UnstartedHost:
    """Stands in for the host where settings are only checked."""

    now = lag = 0

    def call_later(self, *_: Any) -> None:
        pass


def stated_of(platform_config: PlatformConfig, host: Any) -> Settings:
    """What a configuration states, or the fault in it."""
    try:
        return Settings(platform_config.settings, host, platform_config.seed, platform_config.name)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise ConfigurationError(f"settings: {problem}") from None


class SocketHost:
    """The host protocol on sockets."""

    def __init__(
        self,
        event_loop: EventLoop,
        platform_config: PlatformConfig,
        log: Callable[[str], None],
        held: int = 0,
    ) -> None:
        self.event_loop, self.log, self.counters = event_loop, log, EdgeCounters()
        # Danger: with little memory the program itself holds most of it. Half of what it had left at its
        # start may be held for others: the clients' rings, the engines', and so on. The rest is for records.
        room = max(platform_config.memory - held, LEAST_ROOM) // 2
        self.rings, self.lines, self.results, self.statements = (
            MemoryBudget(room // 4) for _ in range(4)
        )
        # A half is the clients' at most, a third goes to engines, and the rest stays free for the feed and what is new.
        self.links_most, self.dials = platform_config.sockets // 3, 0  # dials under way
        self.names: dict[str, Request] = {}  # of what is open
        self.engine_pools: dict[str, EnginePool] = {}
        # So that no request, timer or change of the list costs what the whole list does: links that are up; stations
        # that drain or are gone; those where something waits for a link; those that lack a link ahead.
        self.links: dict[EngineConnection, None] = {}
        self.closing, self.awaited, self.short = (
            dict[EnginePool, None](),
            dict[EnginePool, None](),
            dict[EnginePool, None](),
        )
        self.named = 0  # stations, so far
        self.in_flight_attempts: dict[Attempt, InFlightAttempt] = {}
        self.page_line: deque[InFlightAttempt] = deque()
        self.ended: deque[Request] = deque()
        self.settings = stated_of(platform_config, self)
        if platform_config.settings.get("myNumber") is None and self.settings.gateway.gateways > 1:
            log(
                f"myNumber is not told: {self.settings.gateway.number}, from the name; sets of engines are less even"
            )
        self.gateway = self.settings.gateway
        self.most_memory = max(self.settings.sizes, default=1e6)
        self.patience = UNTOLD * self.settings.tells
        self.request_classes = {each.name: each for each in self.settings.request_classes}
        self.findings = Discrepancies(lambda: event_loop.now, log)
        self.ledger = RequestLedger(
            self.request_classes, lambda: event_loop.now, self.settings.budget, self.miscounted
        )
        self.rows = {
            each: self.ledger.request_classes[each.name] for each in self.settings.request_classes
        }
        self.answering: dict[
            ClientRequest, None
        ] = {}  # have their end, and their answer has not left whole
        self.recall: Any = None  # what outlives a restart, likewise
        self.flows: Any = None  # what every connection carries, told to collectors, likewise
        self.works: Any = None  # which engines are set aside for work, likewise
        # What the figures' door answers for other subsystems, by method and path.
        self.routes: dict[tuple[bytes, bytes], Callable[[bytes], Any]] = {}
        self.waits: Any = None  # sketches of what took how long, where an operator file wants them
        self.called: dict[
            Attempt, InFlightAttempt
        ] = {}  # called off, and the gateway has yet to hear of it
        self.records = LiveRecords(self)
        self.auditor = LedgerAuditor(self.ledger, self.records, self.findings)
        self.tenants = {name: n for n, name in enumerate(self.settings.tenants)}
        self.last_event = platform_config.known
        for event in platform_config.events:
            if wrong := self.listed(event):
                self.log(f"known: {wrong}")

    def close(self, engine_pool: "EnginePool") -> None:
        """Forget an engine that is gone, once nothing is left of it; its id may by then be another's."""
        tag = engine_pool.engine.host_reference
        if (
            engine_pool.engine.state == EngineState.GONE
            and not engine_pool.links
            and self.engine_pools.get(tag) is engine_pool
        ):
            del self.engine_pools[tag]
            for kept in self.closing, self.awaited, self.short:
                kept.pop(engine_pool, None)
            self.ledger.engine_gone(engine_pool.row)
            if self.waits is not None:
                self.waits.engine_gone(tag, DEPARTED_ROW)

    def links_each(self) -> int:
        """What each engine of the working set may have, and each that closes.

        Danger: with fewer links than hand-offs fill, an engine that is well would count as unreached. So the links are
        shared by those that use them, not by all that a long list names."""
        return max(2, self.links_most // max(len(self.gateway.engines) + len(self.closing), 1))

    def descriptor_left(self, needed: bool) -> bool:
        """May there be another link? Danger: two to each of many engines would take what the feed and the clients need.
        Where one is needed, the link that has been idle longest gives way."""
        if len(self.links) + self.dials < self.links_most:
            return True
        if needed and (idle := [link for link in self.links if not (link.open or link.link.why)]):
            self.counters["links gave way"] += 1
            min(
                idle,
                key=lambda each: (
                    each.engine_pool.engine.in_subset,
                    each.link.wrote,
                    each.engine_pool.number,
                ),
            ).link.end("room for others")
        return False

    def make_room(self) -> bool:
        """Let go of what holds a descriptor for nothing; was there any?"""
        return False

    # What the gateway may do.

    @property
    def now(self) -> int:
        return self.event_loop.now

    @property
    def lag(self) -> int:
        return self.event_loop.lag

    def send_attempt(self, attempt: Attempt, allow: int) -> None:
        engine_pool = self.engine_pools[attempt.engine.host_reference]
        in_flight_attempt = self.in_flight_attempts[attempt] = InFlightAttempt(
            attempt, self.now + allow, engine_pool
        )
        others = any(each.is_in_flight for each in attempt.request.attempts[:-1])
        self.ledger.handed_off(in_flight_attempt, sort_of(attempt.number, others))
        request_class = attempt.request.request_class
        if self.recall is not None and (
            request_class.repeatability == Repeatability.KEYED or request_class.ordered
        ):
            in_flight_attempt.effect = self.recall.sending(attempt, in_flight_attempt.order.label)
        if self.waits is not None and not attempt.number:
            self.waits.handed_off(
                attempt.request.request_class.name, self.now - attempt.request.accepted_at
            )
        self.event_loop.call_later(allow, self.too_late, in_flight_attempt)
        engine_pool.line_up(in_flight_attempt)
        if self.settings.dial_time < allow:
            self.event_loop.call_later(self.settings.dial_time, self.waited, in_flight_attempt)

    def set_resources(self, request: Request, memory: float, priority: int) -> None:
        order = request.host_reference
        if priority != order.priority and self.settings.priorities:
            for attempt in request.attempts:
                in_flight_attempt = self.in_flight_attempts.get(attempt)
                if in_flight_attempt and in_flight_attempt.link and not in_flight_attempt.answered:
                    in_flight_attempt.link.say("renice", order.name, str(priority))
        order.memory, order.priority = memory, priority

    def reject(self, request: Request, retry_after: int) -> None:
        self.final(request, REFUSED, [])

    def fail(self, request: Request) -> None:
        self.final(request, FAILED, [])

    def cancel_attempt(self, attempt: Attempt) -> None:
        in_flight_attempt = self.in_flight_attempts.get(attempt)
        if in_flight_attempt is None:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.say("abort", in_flight_attempt.order.name)
            in_flight_attempt.link.forget(in_flight_attempt)
        self.called[attempt] = self.in_flight_attempts.pop(attempt)
        self.event_loop.call_later(
            0,
            self.over,
            in_flight_attempt,
            AttemptOutcome.CANCELLED if in_flight_attempt.link else AttemptOutcome.ABANDONED,
        )

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.event_loop.call_later(delay, method, *what)

    def barred(self, in_flight_attempt: InFlightAttempt) -> str:
        """The one last look directly before an attempt's first byte: why it must not begin, if so. Danger: between its
        decision and its writing there may be a dial, or a long turn; its client may have gone or taken it back, its
        engine be told to drain or have started anew, its time or its window for repeats be over."""
        self.event_loop.tick()
        if not in_flight_attempt.attempt.request.is_finished:
            in_flight_attempt.order.client_connection.there()
        if (
            in_flight_attempt.attempt not in self.in_flight_attempts
            or self.now >= in_flight_attempt.until
        ):
            return "late"
        return "" if self.gateway.may_start_attempt(in_flight_attempt.attempt) else "withdrawn"

    # Clients.

    def final(self, request: Request, code: int, body: list[bytes], reason: int = -1) -> None:
        order = request.host_reference
        if order.client_connection.open.pop(order.stream, None) is not None:
            self.statements.give(order.size)
            self.names.pop(order.name, None)
            self.ended.append(request)
            if reason < 0:
                reason = reason_of(code, request, self.now, self.gateway.margin)
            order.reason = reason
            if self.waits is not None:
                self.waits.answered(request.request_class.name, self.now - request.accepted_at)
            self.answering[order] = None
            order.client_connection.answer(
                order.stream, code, body, request.accepted_at + request.time_to_deadline, order
            )

    def answer_over(self, order: ClientRequest) -> None:
        """The last byte of its answer has left, or never will."""
        self.answering.pop(order, None)
        self.ledger.closed(order, order.reason)

    def forget(self) -> None:
        """Danger: a full collection of garbage stops all for over 100 ms. So there is none: what points to
        each other is taken apart by hand, here, where no call of the gateway's is under way."""
        while self.ended:
            request = self.ended.popleft()
            if not any(attempt.is_in_flight for attempt in request.attempts):
                for attempt in request.attempts:
                    attempt.request = None
                request.host_reference.statement = b""

    def left(self, request: Request | None, reason: int) -> None:
        """Its client waits no longer."""
        if request is not None:
            self.ledger.closed(request.host_reference, reason)
            self.statements.give(request.host_reference.size)
            self.names.pop(request.host_reference.name, None)
            if request in request.host_reference.client_connection.fresh:
                request.is_finished = True  # the gateway never hears of it
            else:
                self.gateway.on_client_left(request)
                for attempt in request.attempts:  # what waits for a link never begins
                    in_flight_attempt = self.in_flight_attempts.get(attempt)
                    if in_flight_attempt is not None and in_flight_attempt.link is None:
                        in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
                        self.failed(in_flight_attempt, "withdrawn")
            self.ended.append(request)

    # Figures.

    def audit(self) -> None:
        """The next slice of a pass; a new pass each second."""
        self.event_loop.call_later(AUDIT_EACH if self.auditor.step() else AUDIT_PAUSE, self.audit)

    def miscounted(self, kind: str, row: Any, serial: int) -> None:
        """A count that was wrong as it was entered."""
        self.findings.count(
            kind, row.name, f"serial {serial}", self.ledger.last_events(row, serial)
        )

    # Hand-offs.

    def answered(
        self, in_flight_attempt: InFlightAttempt, word: str, fields: dict[str, str], body: bytes
    ) -> str:
        """An engine's answer; what is wrong with it."""
        attempt = in_flight_attempt.attempt
        in_flight_attempt.told = self.now
        if word == "TELL":
            sort, value = NOTES.get(fields.get("n", ""), 0), amount(fields.get("amount", "0"))
            self.gateway.on_attempt_progress(attempt, sort, float(value or 0))
            return ""
        in_flight_attempt.load = inflight_of(fields.get("l", ""), in_flight_attempt.load)
        if word == "DONE":
            pages, spent, need = (
                amount(fields.get(name, "0")) for name in ("chunks", "spent", "wanted")
            )
            if (
                not pages
                or pages != int(pages)
                or pages > MOST_PAGES
                or spent is None
                or need is None
            ):
                return f"a result of {fields.get('chunks')!r} pages"
            if in_flight_attempt.answered:
                return (
                    ""
                    if [body, int(pages)]
                    == [in_flight_attempt.pages[0], len(in_flight_attempt.pages)]
                    else "two results"
                )
            # Danger: the request ran, but what came is spoilt: nothing of it may pass for an answer.
            if not page(body):
                return "a page that is spoilt"
            in_flight_attempt.answered = True
            in_flight_attempt.link.page()
            in_flight_attempt.spent, in_flight_attempt.need = int(spent * 10), need
            in_flight_attempt.pages = [body, *[None] * (int(pages) - 1)]
            if attempt.request.is_finished or len(in_flight_attempt.pages) == 1:
                return self.whole(in_flight_attempt)
            self.page_line.append(in_flight_attempt)
            self.ask_pages()
            return ""
        if word == "MORE":
            at = fields.get("at", "")
            n = int(at) if at.isdecimal() and len(at) < 4 else 0
            if (
                not in_flight_attempt.answered
                or not 0 < n < len(in_flight_attempt.pages)
                or not page(body)
                or (in_flight_attempt.pages[n] not in (None, body))
            ):
                return f"a page {at[:8]!r} out of turn or spoilt"
            if in_flight_attempt.pages[n] is None:
                in_flight_attempt.link.page()
            in_flight_attempt.pages[n] = body
            return "" if None in in_flight_attempt.pages else self.whole(in_flight_attempt)
        outcome = ENDS.get(word)
        if outcome is None or (in_flight_attempt.answered and word != "BROKE"):
            return f"an answer {word[:8]!r}"
        in_flight_attempt.link.forget(in_flight_attempt)
        self.done(in_flight_attempt, outcome)
        return ""

    def ask_pages(self) -> None:
        """All pages of a result at once, as far as memory for results lets them come."""
        while self.page_line:
            in_flight_attempt = self.page_line[0]
            if in_flight_attempt.attempt in self.in_flight_attempts:
                size = MOST_PAGE * len(in_flight_attempt.pages)
                if not self.results.take(size):
                    return
                in_flight_attempt.asked = size
                for n in range(1, len(in_flight_attempt.pages)):
                    in_flight_attempt.link.say("more", in_flight_attempt.order.name, str(n))
                self.event_loop.call_later(
                    PAGE_TIME, self.pages_late, in_flight_attempt, 1, self.now
                )
            self.page_line.popleft()

    def untold(self, in_flight_attempt: InFlightAttempt, link: EngineConnection) -> None:
        """Danger: an answer that never comes holds its submission, its slot and a line until the expiry. An
        engine tells regularly of all that runs; what it tells no more of, while its link is lively, is over.
        """
        if (
            in_flight_attempt.attempt in self.in_flight_attempts
            and in_flight_attempt.link is link
            and not in_flight_attempt.answered
        ):
            since = self.now - max(in_flight_attempt.told, link.lively)
            if since < self.patience or link.spoke < self.now - SECOND // 2:
                return self.event_loop.call_later(
                    max(self.patience - since, SECOND // 10), self.untold, in_flight_attempt, link
                )
            self.counters["untold"] += 1
            link.let_go(in_flight_attempt)
            self.failed(in_flight_attempt, "broken")

    def pages_late(self, in_flight_attempt: InFlightAttempt, had: int, since: int) -> None:
        """Danger: a page that never comes would hold its submission until the expiry. What else is open on
        that link may be well, so only this hand-off is given up, and only where its engine spoke since."""
        if in_flight_attempt.attempt in self.in_flight_attempts:
            have = len(in_flight_attempt.pages) - in_flight_attempt.pages.count(None)
            if have > had or in_flight_attempt.link.spoke < since + PAGE_TIME // 2:
                since = self.now if have > had else since
                return self.event_loop.call_later(
                    PAGE_TIME, self.pages_late, in_flight_attempt, have, since
                )
            self.counters["pages late"] += 1
            in_flight_attempt.link.let_go(in_flight_attempt)
            self.failed(in_flight_attempt, "broken")

    def whole(self, in_flight_attempt: InFlightAttempt) -> str:
        """All pages are here, or nobody wants them."""
        request = in_flight_attempt.attempt.request
        if sum(len(each or b"") for each in in_flight_attempt.pages) > MOST_RESULT:
            return "a result that is too long"
        in_flight_attempt.link.let_go(in_flight_attempt)
        if not request.is_finished:
            self.final(request, SERVED, in_flight_attempt.pages)
        self.done(in_flight_attempt, AttemptOutcome.SUCCEEDED)
        return ""

    def done(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        self.in_flight_attempts.pop(in_flight_attempt.attempt, None)
        self.over(in_flight_attempt, outcome)

    def over(self, in_flight_attempt: InFlightAttempt, outcome: int) -> None:
        attempt = in_flight_attempt.attempt
        if in_flight_attempt.asked:
            self.results.give(in_flight_attempt.asked)
            in_flight_attempt.asked = 0
        in_flight_attempt.pages = []
        bills = self.settings.bills and outcome == AttemptOutcome.SUCCEEDED
        self.called.pop(attempt, None)
        if self.waits is not None and outcome == AttemptOutcome.SUCCEEDED:
            self.waits.honoured(in_flight_attempt.engine_row.name, self.now - attempt.sent_at)
        self.ledger.on_attempt_finished(in_flight_attempt, outcome)
        if in_flight_attempt.effect:
            self.recall.over(in_flight_attempt.effect, outcome)
        if self.works is not None:
            self.works.on_attempt_finished(in_flight_attempt.engine_row.name, outcome)
        self.gateway.on_attempt_finished(
            attempt,
            outcome,
            self.now - attempt.sent_at,
            attempt.request.is_finished or outcome == AttemptOutcome.SUCCEEDED,
            in_flight_attempt.spent if bills else 0,
            in_flight_attempt.need if bills else 0.0,
            in_flight_attempt.load,
        )
        if attempt.request.is_finished:
            self.ended.append(attempt.request)
        self.forget()
        self.ask_pages()

    def failed(self, in_flight_attempt: InFlightAttempt, why: str) -> None:
        """The attempt ends for its connection's sake."""
        if in_flight_attempt.attempt in self.in_flight_attempts:
            self.done(in_flight_attempt, outcome_of(in_flight_attempt.stage(), why))

    def waited(self, in_flight_attempt: InFlightAttempt) -> None:
        """No connection, or no room on one, in the time that settings give for it."""
        if in_flight_attempt.attempt in self.in_flight_attempts and in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
            self.failed(
                in_flight_attempt,
                "withdrawn" if in_flight_attempt.engine_pool.wanting else "unreached",
            )

    def too_late(self, in_flight_attempt: InFlightAttempt) -> None:
        if in_flight_attempt.attempt not in self.in_flight_attempts:
            return
        if in_flight_attempt.link is None:
            in_flight_attempt.engine_pool.waiting.remove(in_flight_attempt)
        else:
            in_flight_attempt.link.let_go(in_flight_attempt)
        self.failed(in_flight_attempt, "late")

    # The list of engines.

    def event(self, number: str, data: str) -> str:
        """An event of the feed; what is wrong with it."""
        try:
            said = json.loads(data)
            count = int(said["n"])
        except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
            return "an event that makes no sense"
        members = said.get("members")
        if count <= self.last_event:
            return ""  # told before
        if count > self.last_event + 1 and not (isinstance(members, dict) and members.get("full")):
            return f"event {count} after {self.last_event}"
        wrong = self.listed(said) if members is not None else ""  # other news is none of ours
        if not wrong:
            self.last_event = count
            self.counters["events"] += 1
        return wrong

    def listed(self, said: Any) -> str:
        """Engines as told: checked in full before anything of it holds."""
        try:
            members, entries = said["members"], []
            for each in members["servers"]:
                entries.append(
                    (
                        str(each["id"]),
                        address(each["addr"], "addr"),
                        STATES[each["state"]],
                        self.settings.zones.index(each["zone"]),
                        self.settings.kinds.index(each["kind"]),
                        int(each.get("cell", 0)),
                        int(each.get("started_ms", 0)),
                    )
                )
        except (
            ConfigurationError,
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            OverflowError,
        ) as problem:
            return f"an event that makes no sense ({type(problem).__name__} {problem})"
        changed: dict[EnginePool, None] = {}
        if members.get("full"):
            named = {entry[0] for entry in entries}
            for engine_pool in self.engine_pools.values():
                if (
                    engine_pool.engine.host_reference not in named
                    and engine_pool.engine.state != EngineState.GONE
                ):
                    self.gateway.on_engine_update(
                        engine_pool.engine, EngineState.GONE, engine_pool.engine.incarnation
                    )
        for tag, where, state, zone, kind, cell, started in entries:
            engine_pool = self.engine_pools.get(tag)
            if engine_pool is None:
                engine = Engine(tag, tag.encode(), zone, kind, cell, name=tag)
                if self.works is not None:
                    # Danger: a machine that is out for work may be listed anew; it is the same machine.
                    engine.cordon = self.works.cordon_for(tag, where)
                engine_pool = self.engine_pools[tag] = EnginePool(self, engine, self.named)
                self.named += 1
            engine = engine_pool.engine
            renewed = started > engine_pool.started
            if started != engine_pool.started:
                engine_pool.started, moment = started, self.moment(started)
            else:
                moment = engine.incarnation
            self.settings.place(engine, zone, kind, cell)
            self.gateway.on_engine_update(engine, state, moment)
            engine_pool.told(where, renewed)
            changed[engine_pool] = None
        self.gateway.on_engine_list_complete()
        # A change may let these go on: what it names, what waits for a link, what lacks one ahead. For all others
        # a fill does nothing, as nothing that it looks at has changed since their last.
        told = (
            self.engine_pools.values()
            if members.get("full")
            else {**changed, **self.awaited, **self.short}
        )
        told = sorted(told, key=lambda each: each.number)
        for engine_pool in told:
            if engine_pool.engine.state == EngineState.READY:
                self.closing.pop(engine_pool, None)
            else:
                self.closing[engine_pool] = None
                self.short.pop(engine_pool, None)
        for engine_pool in told:
            if engine_pool.engine.state == EngineState.READY:
                engine_pool.fill()
            else:
                engine_pool.withdraw()
                self.close(engine_pool)
        return ""

    def moment(self, started: int) -> int:
        """When an engine started, by our clock, from the date in ms. Danger: where a date was set, ours may be the
        wrong one, and an engine that counts as warm too early falls. So the later moment counts, but none to come."""
        ahead = self.event_loop.ahead()
        return min(started * 10 + max(ahead, 0), self.now) if ahead and started else started * 10


def amount(text: str) -> float | None:
    """A number that makes sense, or None.

    >>> amount("820.0"), amount("-3"), amount("nan"), amount("x"), amount("1e99")
    (820.0, None, None, None, None)
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def inflight_of(report: str, otherwise: float) -> float:
    """
    >>> inflight_of("inflight:7;util:0.61", -1.0), inflight_of("", 3.0), inflight_of("inflight:x", -1.0)
    (7.0, 3.0, -1.0)
    """
    for pair in report.split(";"):
        name, _, value = pair.partition(":")
        if name == "inflight":
            found = amount(value)
            return otherwise if found is None else float(found)
    return otherwise
