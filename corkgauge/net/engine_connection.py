"""The engines' side: hand-offs under way, the links that carry them, and the engines that links lead to.

Owns the links' life, which hand-off goes on which, how far each had come when it failed, and what still comes
under the id of one that is over. Must never decide where a submission goes, and never take what is spoilt, a
copy or a late answer for an answer.
"""

import re
from typing import Any

from corkgauge.accounting.counter_names import ENGINE
from corkgauge.eventloop.connection import NEVER, StreamConnection, dial
from corkgauge.eventloop.loop import BROKEN, GONE, SECOND
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.engine_protocol import EngineProtocol, command
from corkgauge.policy.records import Attempt, AttemptOutcome, Engine, EngineState

MID_ANSWER = 3_000  # that an engine may take over one answer, once it has begun
SIGN, NO_SIGN = (
    5_000,
    5_000,
)  # quiet of a link with hand-offs out until it is asked for a sign; its time
LIVELY = (
    SIGN + 4_000
)  # longest between two answers of a link that is asked for signs when it is quiet
SPREAD = 6  # links to an engine at most, while that keeps hand-offs apart
PAST = 500  # ids of hand-offs that a link has done with, remembered against copies
NAME = re.compile(r"[0-9a-f]{16}").fullmatch
ENDS = {
    "WAIT": AttemptOutcome.ENGINE_FULL,
    "BROKE": AttemptOutcome.ERROR,
    "PAST": AttemptOutcome.ABANDONED,
}
WANTING = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}  # of ours, not the engine's
WORDS = {"DONE", "MORE", "TELL", "FIT", *ENDS}

# How far an attempt had come when it failed. "Never ran" takes the first, or the engine's own word.
NOT_BEGUN, PART_WRITTEN, WRITTEN, ANSWERED = range(4)


def outcome_of(stage: int, why: str) -> int:
    """The outcome of a hand-off that failed for its connection: unreached, broken, late or withdrawn.

    >>> outcome_of(NOT_BEGUN, "unreached") == AttemptOutcome.UNREACHABLE, outcome_of(NOT_BEGUN, "withdrawn") == AttemptOutcome.ABANDONED
    (True, True)
    >>> outcome_of(NOT_BEGUN, "late") == AttemptOutcome.ABANDONED    # its own time was too short: no fault of the engine's
    True
    >>> outcome_of(PART_WRITTEN, "broken") == AttemptOutcome.CONNECTION_RESET, outcome_of(WRITTEN, "late") == AttemptOutcome.TIMED_OUT
    (True, True)
    >>> outcome_of(ANSWERED, "broken") == AttemptOutcome.CONNECTION_RESET      # it ran, and what it made is lost with the connection
    True
    """
    if stage == NOT_BEGUN:
        return AttemptOutcome.UNREACHABLE if why == "unreached" else AttemptOutcome.ABANDONED
    return AttemptOutcome.TIMED_OUT if why == "late" else AttemptOutcome.CONNECTION_RESET


class InFlightAttempt:
    """A hand-off under way: how far it has come, and its pages."""

    __slots__ = (
        "attempt",
        "order",
        "until",
        "engine_pool",
        "link",
        "begin",
        "end",
        "answered",
        "pages",
        "asked",
        "spent",
        "need",
        "load",
        "told",
        "engine_row",
        "serial",
        "effect",
    )

    def __init__(self, attempt: Attempt, until: int, engine_pool: "EnginePool") -> None:
        self.attempt, self.order, self.until, self.engine_pool = (
            attempt,
            attempt.request.host_reference,
            until,
            engine_pool,
        )
        self.link: EngineConnection | None = None
        self.begin = self.end = self.spent = self.asked = self.told = 0
        self.need, self.load, self.answered = 0.0, -1.0, False
        self.effect = 0  # its serial among what outlives a restart, where it has one
        self.engine_row, self.serial = (
            engine_pool.row,
            0,
        )  # its engine's account; there, below 0 once it is over
        self.pages: list[bytes | None] = []

    def stage(self) -> int:
        if self.answered:
            return ANSWERED
        if self.link is None or self.link.link.sent <= self.begin:
            return NOT_BEGUN
        return WRITTEN if self.link.link.sent >= self.end else PART_WRITTEN


class EngineConnection:
    """One connection to an engine."""

    def __init__(self, engine_pool: "EnginePool", sock: Any) -> None:
        self.engine_pool, self.socket_host = engine_pool, engine_pool.socket_host
        self.open: dict[str, InFlightAttempt] = {}
        self.past: dict[str, None] = {}  # done with, an answer or a copy of one may still come
        self.retired, self.pages = False, 0
        self.socket_host.links[self] = None
        self.socket_host.ledger.connection_up(ENGINE)
        self.alive, self.asked = 0, NEVER  # signs asked for; when, while none has come
        self.spoke = self.lively = (
            self.socket_host.now
        )  # its last answer; since when none was long in coming
        self.link = StreamConnection(
            self.socket_host.event_loop,
            sock,
            EngineProtocol(self, self.socket_host.lines),
            self,
            MID_ANSWER,
        )
        if self.socket_host.flows is not None:
            zones, zone = self.socket_host.settings.zones, engine_pool.engine.zone
            self.socket_host.flows.up(self.link, ENGINE, engine_pool.engine.name, str(zones[zone]))

    def room_for(self, order: ClientRequest) -> bool:
        # Danger: both hand-offs of a submission carry its id; a late answer to one would pass for the other.
        return not (
            self.retired
            or self.link.why
            or self.link.blocked
            or len(self.open) >= self.socket_host.settings.streams
            or order.name in self.open
            or order.name in self.past
        )

    def take(self, in_flight_attempt: InFlightAttempt) -> bool:
        """Write a hand-off at once, unless there is no room. Danger: one that is put and not written begins when its
        engine reads again, whoever has gone by then; so none is ever kept back here."""
        socket_host, order, attempt = (
            self.socket_host,
            in_flight_attempt.order,
            in_flight_attempt.attempt,
        )
        request, settings = attempt.request, socket_host.settings
        fields = [
            f"sort={request.request_class.name}",
            f"patience={max((in_flight_attempt.until - socket_host.now) // 10, 1)}",
        ]
        if order.label:
            fields.append(f"op={order.label}")
        if settings.grants and order.memory >= 1:
            fields.append(f"reserve={int(order.memory)}")
        if settings.priorities:
            fields.append(f"level={order.priority}")
        said = command("fetch", order.name, ",".join(fields), order.statement)
        if not self.link.send_now(said):
            return False
        in_flight_attempt.link, in_flight_attempt.begin, in_flight_attempt.end = (
            self,
            self.link.put - len(said),
            self.link.put,
        )
        self.open[order.name] = in_flight_attempt
        socket_host.counters["handed off"] += 1
        in_flight_attempt.told = socket_host.now
        if socket_host.patience:
            socket_host.event_loop.call_later(
                socket_host.patience, socket_host.untold, in_flight_attempt, self
            )
        return True

    def page(self) -> None:
        """A page of a result has come, for the first time."""
        self.pages += 1
        self.engine_pool.row.pages += 1

    def say(self, *parts: str) -> None:
        if not self.link.send(command(*parts)):
            self.link.end("no room for a command")

    def answered(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        in_flight_attempt = self.open.get(name)
        self.asked, now = NEVER, self.socket_host.now
        # Danger: an engine that stood still goes on where it was; what was due meanwhile is not lost.
        self.lively = now if now > self.spoke + LIVELY else self.lively
        self.spoke = now
        if word not in WORDS:
            return f"an answer {word[:8]!r}"
        self.socket_host.counters["answers " + word] += 1
        if in_flight_attempt is None:
            # Danger: a copy, a late answer or one to an id of nobody's is no fault of what else is open here.
            self.socket_host.counters["answers dropped"] += word != "FIT"
            return "" if word == "FIT" or NAME(name) else "an answer to an id that makes no sense"
        return self.socket_host.answered(in_flight_attempt, word, fields, body)

    def let_go(self, in_flight_attempt: InFlightAttempt) -> None:
        """Nothing more is wanted of it. Danger: the engine works on past the time that it was told, and holds
        it until it hears."""
        self.say("done" if in_flight_attempt.answered else "abort", in_flight_attempt.order.name)
        self.forget(in_flight_attempt)

    def forget(self, in_flight_attempt: InFlightAttempt) -> None:
        """Danger: what still comes under its id, a copy or a late answer, must not pass for a later one's."""
        if self.open.pop(in_flight_attempt.order.name, None) is not None:
            self.past[in_flight_attempt.order.name] = None
            if len(self.past) > PAST:
                del self.past[next(iter(self.past))]
        if self.retired and not self.open:
            self.link.end("no longer needed")

    def drained(self) -> None:
        self.engine_pool.fill()

    def watch(self) -> None:
        """Danger: the engine closes what is idle, and a hand-off would meet that. So none is ever idle; one to an
        engine outside the working set ends before. Danger: in time all pairs of a large fleet would have a link."""
        if self.link.why:
            return
        # Danger: a machine that vanished or was cut off says nothing, and its connections stay open. All that
        # is out there would wait for its expiry.
        quiet, now = self.socket_host.now - self.link.heard, self.socket_host.now
        if now >= self.asked + NO_SIGN:
            return self.link.end("no sign")
        if (
            quiet > self.idle
            and not (self.open or self.engine_pool.engine.in_subset)
            and self.asked == NEVER
        ):
            return self.link.end("idle, and outside the working set")
        if quiet > (min(SIGN, self.idle) if self.open else self.idle) and self.asked == NEVER:
            self.alive, self.asked = self.alive + 1, now
            self.say("alive", f"alive-{self.alive}")
        self.socket_host.event_loop.call_later(min(self.idle // 2, SIGN // 2), self.watch)

    @property
    def idle(self) -> int:
        return self.socket_host.settings.idle_time // 3

    def ended(self, why: str) -> None:
        engine_pool = self.engine_pool
        engine_pool.links.remove(self)
        self.socket_host.links.pop(self, None)
        self.socket_host.ledger.connection_over(ENGINE, self.link.got, self.link.sent, self.pages)
        if self.socket_host.flows is not None:
            self.socket_host.flows.over(self.link)
        in_flight_attempts, self.open = [*self.open.values()], {}
        if in_flight_attempts:
            self.socket_host.log(
                f"link {engine_pool.engine.host_reference} ended: {why}; {len(in_flight_attempts)} out"
            )
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.failed(in_flight_attempt, "broken")
        self.socket_host.close(engine_pool)
        engine_pool.fill()


class EnginePool:
    """An engine, its address, its links, and the hand-offs that wait for one."""

    __slots__ = (
        "socket_host",
        "engine",
        "address",
        "number",
        "row",
        "links",
        "waiting",
        "dialling",
        "spare_from",
        "started",
        "era",
        "filling",
        "due",
        "wanting",
    )

    def __init__(self, socket_host: Any, engine: Engine, number: int = 0) -> None:
        self.socket_host, self.engine, self.address = socket_host, engine, ("", 0)
        self.number = number  # in the order in which the list named them
        self.row = socket_host.ledger.engine(engine.name)  # its account
        self.links: list[EngineConnection] = []
        self.waiting: list[
            InFlightAttempt
        ] = []  # a deque takes 760 bytes, also where nothing is ever sent
        self.dialling, self.spare_from = False, 0
        self.started = 0  # the engine, in ms, as the list told it
        self.era = (
            0  # of its process and address; what a dial of an earlier one brings is for nothing
        )
        self.filling = self.due = False  # a fill is under way; one is due at the end of this turn
        self.wanting = False  # the last dial failed for want of descriptors of our own

    def line_up(self, in_flight_attempt: InFlightAttempt) -> None:
        """A hand-off waits for a link; it is written at the end of this turn, when the gateway has said all."""
        self.waiting.append(in_flight_attempt)
        self.socket_host.awaited[self] = None
        if not self.due:
            self.due = True
            self.socket_host.event_loop.unsent.append(self.fill)

    def fill(self) -> None:
        """Write what waits to links that have room; dial where there are none. Never called from within the gateway's
        own calls, as the last look at a client may tell the gateway that it has gone."""
        self.due = False
        if self.engine.state != EngineState.READY or self.filling:
            return
        self.filling = True
        try:
            self._write()
        finally:
            self.filling = False
        if not self.waiting:
            self.socket_host.awaited.pop(self, None)
        if self.engine.state == EngineState.READY:
            self._dial_more()

    def _write(self) -> None:
        while self.waiting:
            in_flight_attempt = self.waiting[0]
            link = self._link_for(in_flight_attempt.order)
            if link is None:
                return
            if why := self.socket_host.barred(in_flight_attempt):
                if self.waiting and self.waiting[0] is in_flight_attempt:
                    del self.waiting[0]
                    self.socket_host.failed(in_flight_attempt, why)
            elif (
                self.waiting
                and self.waiting[0] is in_flight_attempt
                and link.room_for(in_flight_attempt.order)
            ):
                if not link.take(in_flight_attempt):
                    return
                del self.waiting[0]

    def _link_for(self, order: ClientRequest) -> EngineConnection | None:
        """The emptiest with room, whose engine has not closed it. Danger: what spoils one answer takes all with it that
        is open on its link, so they keep apart; and what is written to a link whose end has come by now may have run
        or not, nobody knows."""
        able = sorted(
            (each for each in self.links if each.room_for(order)), key=lambda each: len(each.open)
        )
        for link in able:
            if not self.socket_host.event_loop.look(link.link.fd)[0] & (GONE | BROKEN):
                return link
        return None

    def _dial_more(self) -> None:
        most = self.socket_host.links_each()
        # Danger: hundreds of gateways that dial each engine ahead, most of which they send nothing, cost the
        # engines more than they ask. So where a gateway's part of an engine is below one hand-off, the first
        # link waits for one, and a further one until two had to share.
        # An engine outside the working set is used by exception, and has links for what waits alone.
        ahead = (
            len(self.links) < SPREAD
            and self.engine.in_subset
            and not self.dialling
            and (all(each.open for each in self.links))
            and (
                self.socket_host.gateway.limit.threads_per_core * self.engine.cores >= 1.0
                or any(len(each.open) > 1 for each in self.links)
            )
        )
        if ahead:
            self.socket_host.short[self] = None  # looked at again with the next change of the list
        else:
            self.socket_host.short.pop(self, None)
        spare = ahead and self.socket_host.now >= self.spare_from
        if not (self.waiting or spare) or self.dialling or len(self.links) >= most:
            return
        if self.socket_host.descriptor_left(bool(self.waiting)):
            self.dialling = True
            self.socket_host.short.pop(self, None)
            self.socket_host.dials += 1
            self.socket_host.event_loop.spawn(self.dial, self.address)
        elif self.waiting:
            self._want()

    def _want(self) -> None:
        """Danger: descriptors that we lack are no fault of the engine's."""
        self.wanting, self.spare_from = True, self.socket_host.now + SECOND
        self.socket_host.counters["no descriptor"] += 1
        self.socket_host.event_loop.call_later(SECOND // 100, self.fill)

    def dial(self, where: tuple[str, int]) -> None:
        era = self.era
        sock, why = dial(self.socket_host.event_loop, where, self.socket_host.settings.dial_time)
        self.dialling = False
        self.socket_host.dials -= 1
        self.socket_host.counters["dialled"] += 1
        if why in WANTING:
            self.socket_host.make_room()
            return self._want()
        self.wanting = False
        if sock is None:
            self.socket_host.counters["unreached"] += 1
            self.spare_from = (
                self.socket_host.now + SECOND
            )  # Danger: dials without end where none is taken
            if era == self.era:
                in_flight_attempts, self.waiting = self.waiting, []
                for in_flight_attempt in in_flight_attempts:
                    self.socket_host.failed(in_flight_attempt, "unreached")
        # Danger: a dial that began before its engine moved, or was started anew, tells nothing of the one that
        # waits now, whether it came up or not.
        elif era != self.era or self.engine.state != EngineState.READY:
            sock.close()
        else:
            link = EngineConnection(self, sock)
            self.links.append(link)
            self.socket_host.event_loop.spawn(link.link.run)
            link.watch()
        self.fill()

    def told(self, where: tuple[str, int], renewed: bool) -> None:
        """The list names it: a link to what it was before is for nothing new."""
        if where != self.address or renewed:
            self.address, self.era = where, self.era + 1
            self.retire()

    def retire(self) -> None:
        for link in self.links:
            link.retired = True
            if not link.open:
                link.link.end("no longer needed")

    def withdraw(self) -> None:
        """It drains or is gone. Danger: a hand-off that waits for room would begin after that."""
        self.retire()
        in_flight_attempts, self.waiting = self.waiting, []
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.failed(in_flight_attempt, "withdrawn")
