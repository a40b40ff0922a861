"""The engines' side: hand-offs under way, the links that carry them, and the engines that links lead to.

Owns the links' life, which hand-off goes on which, how far each had come when it failed, and what still comes
under the id of one that is over. Must never decide where a submission goes, and never take what is spoilt, a
copy or a late answer for an answer.
"""

import re
from typing import Any

from corkgauge.accounting.counter_names import ENGINE
from corkgauge.policy.records import (
    ERROR,
    FULL,
    MOOT,
    READY,
    RESET,
    TIMED_OUT,
    UNREACHED,
    Engine,
    Attempt,
)
from corkgauge.eventloop.loop import BROKEN, GONE, SECOND
from corkgauge.eventloop.connection import NEVER, StreamConnection, dial
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.engine_protocol import EngineProtocol, command

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
ENDS = {"WAIT": FULL, "BROKE": ERROR, "PAST": MOOT}
WANTING = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}  # of ours, not the engine's
WORDS = {"DONE", "MORE", "TELL", "FIT", *ENDS}

# How far an attempt had come when it failed. "Never ran" takes the first, or the engine's own word.
NOT_BEGUN, PART_WRITTEN, WRITTEN, ANSWERED = range(4)


def outcome_of(stage: int, why: str) -> int:
    """The outcome of a hand-off that failed for its connection: unreached, broken, late or withdrawn.

    >>> outcome_of(NOT_BEGUN, "unreached") == UNREACHED, outcome_of(NOT_BEGUN, "withdrawn") == MOOT
    (True, True)
    >>> outcome_of(NOT_BEGUN, "late") == MOOT    # its own time was too short: no fault of the engine's
    True
    >>> outcome_of(PART_WRITTEN, "broken") == RESET, outcome_of(WRITTEN, "late") == TIMED_OUT
    (True, True)
    >>> outcome_of(ANSWERED, "broken") == RESET      # it ran, and what it made is lost with the connection
    True
    """
    if stage == NOT_BEGUN:
        return UNREACHED if why == "unreached" else MOOT
    return TIMED_OUT if why == "late" else RESET


class InFlightAttempt:
    """A hand-off under way: how far it has come, and its pages."""

    __slots__ = (
        "handoff",
        "order",
        "until",
        "station",
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

    def __init__(self, handoff: Attempt, until: int, station: "EnginePool") -> None:
        self.handoff, self.order, self.until, self.station = (
            handoff,
            handoff.submission.tag,
            until,
            station,
        )
        self.link: EngineConnection | None = None
        self.begin = self.end = self.spent = self.asked = self.told = 0
        self.need, self.load, self.answered = 0.0, -1.0, False
        self.effect = 0  # its serial among what outlives a restart, where it has one
        self.engine_row, self.serial = (
            station.row,
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

    def __init__(self, station: "EnginePool", sock: Any) -> None:
        self.station, self.house = station, station.house
        self.open: dict[str, InFlightAttempt] = {}
        self.past: dict[str, None] = {}  # done with, an answer or a copy of one may still come
        self.retired, self.pages = False, 0
        self.house.links[self] = None
        self.house.ledger.connection_up(ENGINE)
        self.alive, self.asked = 0, NEVER  # signs asked for; when, while none has come
        self.spoke = self.lively = (
            self.house.now
        )  # its last answer; since when none was long in coming
        self.link = StreamConnection(
            self.house.hub, sock, EngineProtocol(self, self.house.lines), self, MID_ANSWER
        )
        if self.house.flows is not None:
            halls, hall = self.house.stated.halls, station.engine.hall
            self.house.flows.up(self.link, ENGINE, station.engine.name, str(halls[hall]))

    def room_for(self, order: ClientRequest) -> bool:
        # Danger: both hand-offs of a submission carry its id; a late answer to one would pass for the other.
        return not (
            self.retired
            or self.link.why
            or self.link.blocked
            or len(self.open) >= self.house.stated.streams
            or order.name in self.open
            or order.name in self.past
        )

    def take(self, errand: InFlightAttempt) -> bool:
        """Write a hand-off at once, unless there is no room. Danger: one that is put and not written begins when its
        engine reads again, whoever has gone by then; so none is ever kept back here."""
        house, order, handoff = self.house, errand.order, errand.handoff
        sub, stated = handoff.submission, house.stated
        fields = [
            f"sort={sub.offering.name}",
            f"patience={max((errand.until - house.now) // 10, 1)}",
        ]
        if order.label:
            fields.append(f"op={order.label}")
        if stated.grants and order.memory >= 1:
            fields.append(f"reserve={int(order.memory)}")
        if stated.priorities:
            fields.append(f"level={order.priority}")
        said = command("fetch", order.name, ",".join(fields), order.statement)
        if not self.link.send_now(said):
            return False
        errand.link, errand.begin, errand.end = self, self.link.put - len(said), self.link.put
        self.open[order.name] = errand
        house.counters["handed off"] += 1
        errand.told = house.now
        if house.patience:
            house.hub.later(house.patience, house.untold, errand, self)
        return True

    def page(self) -> None:
        """A page of a result has come, for the first time."""
        self.pages += 1
        self.station.row.pages += 1

    def say(self, *parts: str) -> None:
        if not self.link.send(command(*parts)):
            self.link.end("no room for a command")

    def answered(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        errand = self.open.get(name)
        self.asked, now = NEVER, self.house.now
        # Danger: an engine that stood still goes on where it was; what was due meanwhile is not lost.
        self.lively = now if now > self.spoke + LIVELY else self.lively
        self.spoke = now
        if word not in WORDS:
            return f"an answer {word[:8]!r}"
        self.house.counters["answers " + word] += 1
        if errand is None:
            # Danger: a copy, a late answer or one to an id of nobody's is no fault of what else is open here.
            self.house.counters["answers dropped"] += word != "FIT"
            return "" if word == "FIT" or NAME(name) else "an answer to an id that makes no sense"
        return self.house.answered(errand, word, fields, body)

    def let_go(self, errand: InFlightAttempt) -> None:
        """Nothing more is wanted of it. Danger: the engine works on past the time that it was told, and holds
        it until it hears."""
        self.say("done" if errand.answered else "abort", errand.order.name)
        self.forget(errand)

    def forget(self, errand: InFlightAttempt) -> None:
        """Danger: what still comes under its id, a copy or a late answer, must not pass for a later one's."""
        if self.open.pop(errand.order.name, None) is not None:
            self.past[errand.order.name] = None
            if len(self.past) > PAST:
                del self.past[next(iter(self.past))]
        if self.retired and not self.open:
            self.link.end("no longer needed")

    def drained(self) -> None:
        self.station.fill()

    def watch(self) -> None:
        """Danger: the engine closes what is idle, and a hand-off would meet that. So none is ever idle; one to an
        engine outside the working set ends before. Danger: in time all pairs of a large fleet would have a link."""
        if self.link.why:
            return
        # Danger: a machine that vanished or was cut off says nothing, and its connections stay open. All that
        # is out there would wait for its expiry.
        quiet, now = self.house.now - self.link.heard, self.house.now
        if now >= self.asked + NO_SIGN:
            return self.link.end("no sign")
        if (
            quiet > self.idle
            and not (self.open or self.station.engine.near)
            and self.asked == NEVER
        ):
            return self.link.end("idle, and outside the working set")
        if quiet > (min(SIGN, self.idle) if self.open else self.idle) and self.asked == NEVER:
            self.alive, self.asked = self.alive + 1, now
            self.say("alive", f"alive-{self.alive}")
        self.house.hub.later(min(self.idle // 2, SIGN // 2), self.watch)

    @property
    def idle(self) -> int:
        return self.house.stated.idle_time // 3

    def ended(self, why: str) -> None:
        station = self.station
        station.links.remove(self)
        self.house.links.pop(self, None)
        self.house.ledger.connection_over(ENGINE, self.link.got, self.link.sent, self.pages)
        if self.house.flows is not None:
            self.house.flows.over(self.link)
        errands, self.open = [*self.open.values()], {}
        if errands:
            self.house.log(f"link {station.engine.tag} ended: {why}; {len(errands)} out")
        for errand in errands:
            self.house.failed(errand, "broken")
        self.house.close(station)
        station.fill()


class EnginePool:
    """An engine, its address, its links, and the hand-offs that wait for one."""

    __slots__ = (
        "house",
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

    def __init__(self, house: Any, engine: Engine, number: int = 0) -> None:
        self.house, self.engine, self.address = house, engine, ("", 0)
        self.number = number  # in the order in which the list named them
        self.row = house.ledger.engine(engine.name)  # its account
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

    def line_up(self, errand: InFlightAttempt) -> None:
        """A hand-off waits for a link; it is written at the end of this turn, when the gateway has said all."""
        self.waiting.append(errand)
        self.house.awaited[self] = None
        if not self.due:
            self.due = True
            self.house.hub.unsent.append(self.fill)

    def fill(self) -> None:
        """Write what waits to links that have room; dial where there are none. Never called from within the gateway's
        own calls, as the last look at a client may tell the gateway that it has gone."""
        self.due = False
        if self.engine.state != READY or self.filling:
            return
        self.filling = True
        try:
            self._write()
        finally:
            self.filling = False
        if not self.waiting:
            self.house.awaited.pop(self, None)
        if self.engine.state == READY:
            self._dial_more()

    def _write(self) -> None:
        while self.waiting:
            errand = self.waiting[0]
            link = self._link_for(errand.order)
            if link is None:
                return
            if why := self.house.barred(errand):
                if self.waiting and self.waiting[0] is errand:
                    del self.waiting[0]
                    self.house.failed(errand, why)
            elif self.waiting and self.waiting[0] is errand and link.room_for(errand.order):
                if not link.take(errand):
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
            if not self.house.hub.look(link.link.fd)[0] & (GONE | BROKEN):
                return link
        return None

    def _dial_more(self) -> None:
        most = self.house.links_each()
        # Danger: hundreds of gateways that dial each engine ahead, most of which they send nothing, cost the
        # engines more than they ask. So where a gateway's part of an engine is below one hand-off, the first
        # link waits for one, and a further one until two had to share.
        # An engine outside the working set is used by exception, and has links for what waits alone.
        ahead = (
            len(self.links) < SPREAD
            and self.engine.near
            and not self.dialling
            and (all(each.open for each in self.links))
            and (
                self.house.gateway.slots * self.engine.cores >= 1.0
                or any(len(each.open) > 1 for each in self.links)
            )
        )
        if ahead:
            self.house.short[self] = None  # looked at again with the next change of the list
        else:
            self.house.short.pop(self, None)
        spare = ahead and self.house.now >= self.spare_from
        if not (self.waiting or spare) or self.dialling or len(self.links) >= most:
            return
        if self.house.descriptor_left(bool(self.waiting)):
            self.dialling = True
            self.house.short.pop(self, None)
            self.house.dials += 1
            self.house.hub.spawn(self.dial, self.address)
        elif self.waiting:
            self._want()

    def _want(self) -> None:
        """Danger: descriptors that we lack are no fault of the engine's."""
        self.wanting, self.spare_from = True, self.house.now + SECOND
        self.house.counters["no descriptor"] += 1
        self.house.hub.later(SECOND // 100, self.fill)

    def dial(self, where: tuple[str, int]) -> None:
        era = self.era
        sock, why = dial(self.house.hub, where, self.house.stated.dial_time)
        self.dialling = False
        self.house.dials -= 1
        self.house.counters["dialled"] += 1
        if why in WANTING:
            self.house.make_room()
            return self._want()
        self.wanting = False
        if sock is None:
            self.house.counters["unreached"] += 1
            self.spare_from = (
                self.house.now + SECOND
            )  # Danger: dials without end where none is taken
            if era == self.era:
                errands, self.waiting = self.waiting, []
                for errand in errands:
                    self.house.failed(errand, "unreached")
        # Danger: a dial that began before its engine moved, or was started anew, tells nothing of the one that
        # waits now, whether it came up or not.
        elif era != self.era or self.engine.state != READY:
            sock.close()
        else:
            link = EngineConnection(self, sock)
            self.links.append(link)
            self.house.hub.spawn(link.link.run)
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
        errands, self.waiting = self.waiting, []
        for errand in errands:
            self.house.failed(errand, "withdrawn")
