"""The gateway's host on sockets.

Owns the open submissions, the hand-offs under way with their pages, the lists of engines and of clients, and
the ids of all of them. Must never decide: it tells the gateway what happened and does what that says. Must
never call the gateway from within one of the gateway's own calls.
"""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from corkgauge.config.platform import ConfigurationError, PlatformConfig, address
from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.counter_names import DEPARTED_ROW, reason_of, sort_of
from corkgauge.policy.records import (
    CALLED_OFF,
    DRAINING,
    GONE,
    HONOURED,
    LABELLED,
    MOOT,
    READY,
    Engine,
    Attempt,
    Request,
)
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget
from corkgauge.net.client_protocol import FAILED, REFUSED, SERVED
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.edge_counters import EdgeCounters
from corkgauge.net.engine_protocol import MOST_PAGE, page
from corkgauge.net.engine_connection import (
    ENDS,
    EngineConnection,
    InFlightAttempt,
    EnginePool,
    outcome_of,
)
from corkgauge.net.live_records import LiveRecords
from corkgauge.config.settings import Settings

MOST_RESULT = 48_000  # bytes of one result
MOST_PAGES = 64
PAGE_TIME = 2_500  # that an engine may take over the next page of a result
UNTOLD = 3  # times that an engine should have told of a hand-off, until that counts as lost
LEAST_ROOM = 4 * 2**20
AUDIT_EACH, AUDIT_PAUSE = SECOND, 20  # between two passes over the books; between two slices of one
STATES = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}
NOTES = {"advance": 1, "disk": 2, "stall": 3}


class UnstartedHost:
    """Stands in for the host where settings are only checked."""

    now = lag = 0

    def wake(self, *_: Any) -> None:
        pass


def stated_of(post: PlatformConfig, host: Any) -> Settings:
    """What a configuration states, or the fault in it."""
    try:
        return Settings(post.settings, host, post.seed, post.name)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise ConfigurationError(f"settings: {problem}") from None


class SocketHost:
    """The host protocol on sockets."""

    def __init__(
        self, hub: EventLoop, post: PlatformConfig, log: Callable[[str], None], held: int = 0
    ) -> None:
        self.hub, self.log, self.counters = hub, log, EdgeCounters()
        # Danger: with little memory the program itself holds most of it. Half of what it had left at its
        # start may be held for others: the clients' rings, the engines', and so on. The rest is for records.
        room = max(post.memory - held, LEAST_ROOM) // 2
        self.rings, self.lines, self.results, self.statements = (
            MemoryBudget(room // 4) for _ in range(4)
        )
        # A half is the clients' at most, a third goes to engines, and the rest stays free for the feed and what is new.
        self.links_most, self.dials = post.sockets // 3, 0  # dials under way
        self.names: dict[str, Request] = {}  # of what is open
        self.stations: dict[str, EnginePool] = {}
        # So that no request, timer or change of the list costs what the whole list does: links that are up; stations
        # that drain or are gone; those where something waits for a link; those that lack a link ahead.
        self.links: dict[EngineConnection, None] = {}
        self.closing, self.awaited, self.short = (
            dict[EnginePool, None](),
            dict[EnginePool, None](),
            dict[EnginePool, None](),
        )
        self.named = 0  # stations, so far
        self.errands: dict[Attempt, InFlightAttempt] = {}
        self.page_line: deque[InFlightAttempt] = deque()
        self.ended: deque[Request] = deque()
        self.stated = stated_of(post, self)
        if post.settings.get("myNumber") is None and self.stated.gateway.gateways > 1:
            log(
                f"myNumber is not told: {self.stated.gateway.number}, from the name; sets of engines are less even"
            )
        self.gateway = self.stated.gateway
        self.most_memory = max(self.stated.sizes, default=1e6)
        self.patience = UNTOLD * self.stated.tells
        self.offerings = {each.name: each for each in self.stated.offerings}
        self.findings = Discrepancies(lambda: hub.now, log)
        self.ledger = RequestLedger(
            self.offerings, lambda: hub.now, self.stated.budget, self.miscounted
        )
        self.rows = {each: self.ledger.offerings[each.name] for each in self.stated.offerings}
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
        self.tenants = {name: n for n, name in enumerate(self.stated.tenants)}
        self.last_event = post.known
        for event in post.events:
            if wrong := self.listed(event):
                self.log(f"known: {wrong}")

    def close(self, station: "EnginePool") -> None:
        """Forget an engine that is gone, once nothing is left of it; its id may by then be another's."""
        tag = station.engine.tag
        if station.engine.state == GONE and not station.links and self.stations.get(tag) is station:
            del self.stations[tag]
            for kept in self.closing, self.awaited, self.short:
                kept.pop(station, None)
            self.ledger.engine_gone(station.row)
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
                key=lambda each: (each.station.engine.near, each.link.wrote, each.station.number),
            ).link.end("room for others")
        return False

    def make_room(self) -> bool:
        """Let go of what holds a descriptor for nothing; was there any?"""
        return False

    # What the gateway may do.

    @property
    def now(self) -> int:
        return self.hub.now

    @property
    def lag(self) -> int:
        return self.hub.lag

    def hand_off(self, handoff: Attempt, allow: int) -> None:
        station = self.stations[handoff.engine.tag]
        errand = self.errands[handoff] = InFlightAttempt(handoff, self.now + allow, station)
        others = any(each.out for each in handoff.submission.handoffs[:-1])
        self.ledger.handed_off(errand, sort_of(handoff.number, others))
        offering = handoff.submission.offering
        if self.recall is not None and (offering.repeat == LABELLED or offering.ordered):
            errand.effect = self.recall.sending(handoff, errand.order.label)
        if self.waits is not None and not handoff.number:
            self.waits.handed_off(
                handoff.submission.offering.name, self.now - handoff.submission.taken
            )
        self.hub.later(allow, self.too_late, errand)
        station.line_up(errand)
        if self.stated.dial_time < allow:
            self.hub.later(self.stated.dial_time, self.waited, errand)

    def set_terms(self, submission: Request, memory: float, priority: int) -> None:
        order = submission.tag
        if priority != order.priority and self.stated.priorities:
            for handoff in submission.handoffs:
                errand = self.errands.get(handoff)
                if errand and errand.link and not errand.answered:
                    errand.link.say("renice", order.name, str(priority))
        order.memory, order.priority = memory, priority

    def dismiss(self, submission: Request, come_back: int) -> None:
        self.final(submission, REFUSED, [])

    def scrap(self, submission: Request) -> None:
        self.final(submission, FAILED, [])

    def call_off(self, handoff: Attempt) -> None:
        errand = self.errands.get(handoff)
        if errand is None:
            return
        if errand.link is None:
            errand.station.waiting.remove(errand)
        else:
            errand.link.say("abort", errand.order.name)
            errand.link.forget(errand)
        self.called[handoff] = self.errands.pop(handoff)
        self.hub.later(0, self.over, errand, CALLED_OFF if errand.link else MOOT)

    def wake(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.hub.later(delay, method, *what)

    def barred(self, errand: InFlightAttempt) -> str:
        """The one last look directly before an attempt's first byte: why it must not begin, if so. Danger: between its
        decision and its writing there may be a dial, or a long turn; its client may have gone or taken it back, its
        engine be told to drain or have started anew, its time or its window for repeats be over."""
        self.hub.tick()
        if not errand.handoff.submission.over:
            errand.order.caller.there()
        if errand.handoff not in self.errands or self.now >= errand.until:
            return "late"
        return "" if self.gateway.may_begin(errand.handoff) else "withdrawn"

    # Clients.

    def final(self, submission: Request, code: int, body: list[bytes], reason: int = -1) -> None:
        order = submission.tag
        if order.caller.open.pop(order.stream, None) is not None:
            self.statements.give(order.size)
            self.names.pop(order.name, None)
            self.ended.append(submission)
            if reason < 0:
                reason = reason_of(code, submission, self.now, self.gateway.margin)
            order.reason = reason
            if self.waits is not None:
                self.waits.answered(submission.offering.name, self.now - submission.taken)
            self.answering[order] = None
            order.caller.answer(order.stream, code, body, submission.taken + submission.life, order)

    def answer_over(self, order: ClientRequest) -> None:
        """The last byte of its answer has left, or never will."""
        self.answering.pop(order, None)
        self.ledger.closed(order, order.reason)

    def forget(self) -> None:
        """Danger: a full collection of garbage stops all for over 100 ms. So there is none: what points to
        each other is taken apart by hand, here, where no call of the gateway's is under way."""
        while self.ended:
            sub = self.ended.popleft()
            if not any(handoff.out for handoff in sub.handoffs):
                for handoff in sub.handoffs:
                    handoff.submission = None
                sub.tag.statement = b""

    def left(self, submission: Request | None, reason: int) -> None:
        """Its client waits no longer."""
        if submission is not None:
            self.ledger.closed(submission.tag, reason)
            self.statements.give(submission.tag.size)
            self.names.pop(submission.tag.name, None)
            if submission in submission.tag.caller.fresh:
                submission.over = True  # the gateway never hears of it
            else:
                self.gateway.submission_left(submission)
                for handoff in submission.handoffs:  # what waits for a link never begins
                    errand = self.errands.get(handoff)
                    if errand is not None and errand.link is None:
                        errand.station.waiting.remove(errand)
                        self.failed(errand, "withdrawn")
            self.ended.append(submission)

    # Figures.

    def audit(self) -> None:
        """The next slice of a pass; a new pass each second."""
        self.hub.later(AUDIT_EACH if self.auditor.step() else AUDIT_PAUSE, self.audit)

    def miscounted(self, kind: str, row: Any, serial: int) -> None:
        """A count that was wrong as it was entered."""
        self.findings.count(
            kind, row.name, f"serial {serial}", self.ledger.last_events(row, serial)
        )

    # Hand-offs.

    def answered(
        self, errand: InFlightAttempt, word: str, fields: dict[str, str], body: bytes
    ) -> str:
        """An engine's answer; what is wrong with it."""
        handoff = errand.handoff
        errand.told = self.now
        if word == "TELL":
            sort, value = NOTES.get(fields.get("n", ""), 0), amount(fields.get("amount", "0"))
            self.gateway.handoff_progress(handoff, sort, float(value or 0))
            return ""
        errand.load = inflight_of(fields.get("l", ""), errand.load)
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
            if errand.answered:
                return (
                    ""
                    if [body, int(pages)] == [errand.pages[0], len(errand.pages)]
                    else "two results"
                )
            # Danger: the request ran, but what came is spoilt: nothing of it may pass for an answer.
            if not page(body):
                return "a page that is spoilt"
            errand.answered = True
            errand.link.page()
            errand.spent, errand.need = int(spent * 10), need
            errand.pages = [body, *[None] * (int(pages) - 1)]
            if handoff.submission.over or len(errand.pages) == 1:
                return self.whole(errand)
            self.page_line.append(errand)
            self.ask_pages()
            return ""
        if word == "MORE":
            at = fields.get("at", "")
            n = int(at) if at.isdecimal() and len(at) < 4 else 0
            if (
                not errand.answered
                or not 0 < n < len(errand.pages)
                or not page(body)
                or (errand.pages[n] not in (None, body))
            ):
                return f"a page {at[:8]!r} out of turn or spoilt"
            if errand.pages[n] is None:
                errand.link.page()
            errand.pages[n] = body
            return "" if None in errand.pages else self.whole(errand)
        outcome = ENDS.get(word)
        if outcome is None or (errand.answered and word != "BROKE"):
            return f"an answer {word[:8]!r}"
        errand.link.forget(errand)
        self.done(errand, outcome)
        return ""

    def ask_pages(self) -> None:
        """All pages of a result at once, as far as memory for results lets them come."""
        while self.page_line:
            errand = self.page_line[0]
            if errand.handoff in self.errands:
                size = MOST_PAGE * len(errand.pages)
                if not self.results.take(size):
                    return
                errand.asked = size
                for n in range(1, len(errand.pages)):
                    errand.link.say("more", errand.order.name, str(n))
                self.hub.later(PAGE_TIME, self.pages_late, errand, 1, self.now)
            self.page_line.popleft()

    def untold(self, errand: InFlightAttempt, link: EngineConnection) -> None:
        """Danger: an answer that never comes holds its submission, its slot and a line until the expiry. An
        engine tells regularly of all that runs; what it tells no more of, while its link is lively, is over.
        """
        if errand.handoff in self.errands and errand.link is link and not errand.answered:
            since = self.now - max(errand.told, link.lively)
            if since < self.patience or link.spoke < self.now - SECOND // 2:
                return self.hub.later(
                    max(self.patience - since, SECOND // 10), self.untold, errand, link
                )
            self.counters["untold"] += 1
            link.let_go(errand)
            self.failed(errand, "broken")

    def pages_late(self, errand: InFlightAttempt, had: int, since: int) -> None:
        """Danger: a page that never comes would hold its submission until the expiry. What else is open on
        that link may be well, so only this hand-off is given up, and only where its engine spoke since."""
        if errand.handoff in self.errands:
            have = len(errand.pages) - errand.pages.count(None)
            if have > had or errand.link.spoke < since + PAGE_TIME // 2:
                since = self.now if have > had else since
                return self.hub.later(PAGE_TIME, self.pages_late, errand, have, since)
            self.counters["pages late"] += 1
            errand.link.let_go(errand)
            self.failed(errand, "broken")

    def whole(self, errand: InFlightAttempt) -> str:
        """All pages are here, or nobody wants them."""
        sub = errand.handoff.submission
        if sum(len(each or b"") for each in errand.pages) > MOST_RESULT:
            return "a result that is too long"
        errand.link.let_go(errand)
        if not sub.over:
            self.final(sub, SERVED, errand.pages)
        self.done(errand, HONOURED)
        return ""

    def done(self, errand: InFlightAttempt, outcome: int) -> None:
        self.errands.pop(errand.handoff, None)
        self.over(errand, outcome)

    def over(self, errand: InFlightAttempt, outcome: int) -> None:
        handoff = errand.handoff
        if errand.asked:
            self.results.give(errand.asked)
            errand.asked = 0
        errand.pages = []
        bills = self.stated.bills and outcome == HONOURED
        self.called.pop(handoff, None)
        if self.waits is not None and outcome == HONOURED:
            self.waits.honoured(errand.engine_row.name, self.now - handoff.sent)
        self.ledger.handoff_over(errand, outcome)
        if errand.effect:
            self.recall.over(errand.effect, outcome)
        if self.works is not None:
            self.works.over(errand.engine_row.name, outcome)
        self.gateway.handoff_over(
            handoff,
            outcome,
            self.now - handoff.sent,
            handoff.submission.over or outcome == HONOURED,
            errand.spent if bills else 0,
            errand.need if bills else 0.0,
            errand.load,
        )
        if handoff.submission.over:
            self.ended.append(handoff.submission)
        self.forget()
        self.ask_pages()

    def failed(self, errand: InFlightAttempt, why: str) -> None:
        """The attempt ends for its connection's sake."""
        if errand.handoff in self.errands:
            self.done(errand, outcome_of(errand.stage(), why))

    def waited(self, errand: InFlightAttempt) -> None:
        """No connection, or no room on one, in the time that settings give for it."""
        if errand.handoff in self.errands and errand.link is None:
            errand.station.waiting.remove(errand)
            self.failed(errand, "withdrawn" if errand.station.wanting else "unreached")

    def too_late(self, errand: InFlightAttempt) -> None:
        if errand.handoff not in self.errands:
            return
        if errand.link is None:
            errand.station.waiting.remove(errand)
        else:
            errand.link.let_go(errand)
        self.failed(errand, "late")

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
                        self.stated.halls.index(each["zone"]),
                        self.stated.kinds.index(each["kind"]),
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
            for station in self.stations.values():
                if station.engine.tag not in named and station.engine.state != GONE:
                    self.gateway.engine_told(station.engine, GONE, station.engine.started)
        for tag, where, state, hall, kind, cell, started in entries:
            station = self.stations.get(tag)
            if station is None:
                engine = Engine(tag, tag.encode(), hall, kind, cell, name=tag)
                if self.works is not None:
                    # Danger: a machine that is out for work may be listed anew; it is the same machine.
                    engine.aside = self.works.how(tag, where)
                station = self.stations[tag] = EnginePool(self, engine, self.named)
                self.named += 1
            engine = station.engine
            renewed = started > station.started
            if started != station.started:
                station.started, moment = started, self.moment(started)
            else:
                moment = engine.started
            self.stated.place(engine, hall, kind, cell)
            self.gateway.engine_told(engine, state, moment)
            station.told(where, renewed)
            changed[station] = None
        self.gateway.list_told()
        # A change may let these go on: what it names, what waits for a link, what lacks one ahead. For all others
        # a fill does nothing, as nothing that it looks at has changed since their last.
        told = (
            self.stations.values()
            if members.get("full")
            else {**changed, **self.awaited, **self.short}
        )
        told = sorted(told, key=lambda each: each.number)
        for station in told:
            if station.engine.state == READY:
                self.closing.pop(station, None)
            else:
                self.closing[station] = None
                self.short.pop(station, None)
        for station in told:
            if station.engine.state == READY:
                station.fill()
            else:
                station.withdraw()
                self.close(station)
        return ""

    def moment(self, started: int) -> int:
        """When an engine started, by our clock, from the date in ms. Danger: where a date was set, ours may be the
        wrong one, and an engine that counts as warm too early falls. So the later moment counts, but none to come."""
        ahead = self.hub.ahead()
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
