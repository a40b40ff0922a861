"""The gateway's host on sockets.

Owns the open submissions, the hand-offs under way with their pages, the engines' links and the clients'
connections, and the ids of all of them. Must never decide: it tells the gateway what happened and does what
that says. Must never call the gateway from within one of the gateway's own calls.
"""

import json
import re
import sys
from collections import deque
from collections.abc import Callable
from fcntl import ioctl
from termios import FIONREAD
from typing import Any

from corkgauge.interface import (CALLED_OFF, DRAINING, ERROR, FULL, GONE, HONOURED, LABELLED, MOOT, READY,
                                 RESET, TIMED_OUT, UNREACHED, Engine, HandOff, Submission)
from corkgauge.net import client_wire, feed_wire
from corkgauge.net.client_wire import ANSWER, FAILED, REFUSED, SERVED, ClientWire, frame_head
from corkgauge.net.configuration import Faulty, Post, address
from corkgauge.net.counters import Counters
from corkgauge.net.engine_wire import MOST_PAGE, EngineWire, command, page
from corkgauge.net.hub import Hub
from corkgauge.net.link import Link, dial
from corkgauge.net.ring import Allowance
from corkgauge.net.statement import tables_of
from corkgauge.stated import Stated

SECOND = 10_000
MOST_OPEN = 32          # submissions on one client connection
MOST_RESULT = 48_000    # bytes of one result
MOST_PAGES = 64
MID_ANSWER = 3_000      # that an engine may take over one answer, once it has begun
PAGE_TIME = 2_500       # and for the next page of a result
SIGN, NO_SIGN = 5_000, 5_000    # quiet of a link with hand-offs out until it is asked for a sign; its time
UNTOLD = 2.25           # times that an engine should have told of a hand-off, until that counts as lost
SPREAD = 6              # links to an engine at most, while that keeps hand-offs apart
PAST = 500              # ids of hand-offs that a link has done with, remembered against copies
NEVER = 2 ** 62
LEAST_PAUSE, MOST_PAUSE = SECOND // 20, SECOND // 2     # between two dials of a feed that does not come up
FEED_SILENT = 15_000
STUCK = 15_000          # that a client may take over one frame, and before its first is whole
SETTLED = 500           # that a connection must have been quiet before it gives way to others
ROOM = 16               # connections that give way at once
BURST = 300             # that submissions wait at most while more of their connection lies unread
MOST_FAULTS = 32        # of one client, before its connection ends
HEAVIEST = 3.6e6        # milliseconds of work that any submission may claim
# After the signal to end: the longest expiry counts for so much at most; the rest is the page's 0.7 s, less
# what it takes to write the last answers. Until then submissions still come.
MOST_EXPIRY, TO_WRITE, STILL_COMING = 3 * SECOND, 4_000, 9_000
LAST_MOMENT = 500       # before its expiry a client that withdraws is taken to have met it
# Clients write submissions of one key so far apart, and so long after one that came on a new connection.
APART, APART_NEW, ARRIVAL = 600, 2_500, 100
LEAST_ROOM = 4 * 2 ** 20
OVERHEAD = 3_000        # bytes of memory that a submission takes beside its statement
PLAIN = re.compile(r"[!-+\-.-<>-~]{1,128}").fullmatch
NAME = re.compile(r"[0-9a-f]{16}").fullmatch
KEY = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch
BLANK = re.compile(rb"\s*+").fullmatch
STATES = {"SERVING": READY, "DRAINING": DRAINING, "DELETED": GONE}
NOTES = {"advance": 1, "disk": 2, "stall": 3}
ENDS = {"WAIT": FULL, "BROKE": ERROR, "PAST": MOOT}
WORDS = {"DONE", "MORE", "TELL", "FIT", *ENDS}
COUNTED = {SERVED: "answered served", REFUSED: "answered refused", FAILED: "answered failed"}

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


class Order:
    """A submission's side towards its client: where the answer goes, and what goes on unchanged."""

    __slots__ = "caller", "stream", "name", "label", "statement", "size", "memory", "priority"

    def __init__(self, caller: "Caller", stream: int, name: str, label: str, statement: bytes) -> None:
        self.caller, self.stream, self.name, self.label = caller, stream, name, label
        self.statement, self.size = statement, len(statement) + OVERHEAD
        self.memory, self.priority = 0.0, 1


class Errand:
    """A hand-off under way: how far it has come, and its pages."""

    __slots__ = ("handoff", "order", "until", "station", "link", "begin", "end", "answered", "pages", "asked",
                 "spent", "need", "load", "told")

    def __init__(self, handoff: HandOff, until: int, station: "Station") -> None:
        self.handoff, self.order, self.until, self.station = handoff, handoff.submission.tag, until, station
        self.link: EngineLink | None = None
        self.begin = self.end = self.spent = self.asked = self.told = 0
        self.need, self.load, self.answered = 0.0, -1.0, False
        self.pages: list[bytes | None] = []

    def stage(self) -> int:
        if self.answered:
            return ANSWERED
        if self.link is None or self.link.link.sent <= self.begin:
            return NOT_BEGUN
        return WRITTEN if self.link.link.sent >= self.end else PART_WRITTEN


class Caller:
    """One client connection."""

    def __init__(self, house: "House", sock: Any) -> None:
        self.house = house
        self.open: dict[int, Submission | None] = {}
        self.waiting: deque[tuple[int, int, list[bytes], int]] = deque()    # without room, and until when
        self.faults, self.answered, self.gave_up = 0, 0, 0
        self.fresh: list[Submission] = []       # the gateway has not been told yet
        self.link = Link(house.hub, sock, ClientWire(self, house.rings), self, STUCK, True)

    def requested(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        if len(self.waiting) > 2 * MOST_OPEN:   # Danger: answers for one that does not read fill the memory
            return "answers are not read"
        return self.house.requested(self, stream, fields, body)

    def withdrawn(self, stream: int) -> str:
        self.house.counters["withdrawn"] += 1
        self.gave_up += 1
        sub, house = self.open.get(stream), self.house
        if sub is not None and house.now >= sub.taken + sub.life - LAST_MOMENT:
            # Danger: it is its expiry that has come, a little before ours; an answer is still owed.
            self.admit(0)
            house.gateway.expiry_near(sub)
        else:
            house.left(self.open.pop(stream, None))
        # Danger: what is asked for by hundreds and taken back at once is work for nobody.
        return "withdrawn too often" if self.gave_up > max(MOST_FAULTS, 2 * self.answered) else ""

    def ready_asked(self, stream: int) -> str:
        self.house.counters["asked ready"] += 1
        code = 1 if self.house.end == NEVER else 2
        sent = self.link.send(frame_head(client_wire.READY, stream, code, 0))
        return "" if sent else "answers are not read"

    def unreadable(self, stream: int, why: str) -> str:
        """Nobody can use it: told on its stream. Danger: one that sends nothing else costs all the others."""
        self.house.counters["unreadable"] += 1
        self.faults += 1
        self.answer(stream, FAILED, [why.encode()])
        return "" if self.faults <= MOST_FAULTS else "too much that cannot be used"

    def parting(self, why: str) -> None:
        """It is turned out. What it has open is given up, so it is answered now; then comes the reason."""
        self.house.counters["turned out"] += 1
        for sub in self.fresh:
            sub.over = True
            self.house.final(sub, REFUSED, [])
        for sub in [*self.open.values()]:
            self.house.gateway.expiry_near(sub)
        self.answer(0, FAILED, [why.encode()])

    def admit(self, patience: int = BURST) -> None:
        """Tell the gateway what has come. Danger: of hundreds that come at once, many are taken back by what
        lies unread behind them, or make no sense; handed off, they would be work for nobody. So while more
        lies there, all of it has a moment."""
        if not self.fresh:
            return
        now, link = self.house.now, self.link
        if now < self.fresh[0].taken + patience and not link.why and unread(link.sock):
            return self.house.hub.later(BURST // 10, self.admit)
        subs, self.fresh = self.fresh, []
        for sub in subs:
            if not sub.over:
                sub.taken, sub.life = now, max(sub.life - (now - sub.taken), 1)
                self.house.gateway.submission_taken(sub)

    def idle(self) -> bool:
        """Nothing is owed, nothing has come for a while, nothing lies unread."""
        link = self.link
        if self.open or self.waiting or self.house.now < link.heard + SETTLED:
            return False
        return link.parting or not (link.why or len(link.machine.outward) or unread(link.sock))

    def answer(self, stream: int, code: int, body: list[bytes], until: int = NEVER) -> None:
        house = self.house
        house.counters[COUNTED[code]] += 1
        self.answered += 1
        if self.link.why or (not self.waiting and self._put(stream, code, body)):
            return
        # Danger: clients that do not read would fill the memory with results; they get a short answer.
        if not house.results.take(sum(map(len, body))):
            house.counters["results dropped"] += 1
            code, body = FAILED, []
        self.waiting.append((stream, code, body, until))

    def _put(self, stream: int, code: int, body: list[bytes]) -> bool:
        return self.link.send(frame_head(ANSWER, stream, code, sum(map(len, body))), *body)

    def drained(self) -> None:
        """Room again. Danger: what waited past its expiry must not leave as served."""
        while self.waiting:
            stream, code, body, until = self.waiting[0]
            late = self.house.now >= until
            if not self._put(stream, FAILED if late else code, [] if late else body):
                return
            self._drop()

    def _drop(self) -> None:
        self.house.results.give(sum(map(len, self.waiting.popleft()[2])))

    def ended(self, why: str) -> None:
        self.house.counters["connections ended"] += 1
        self.house.callers.pop(self, None)
        while self.waiting:
            self._drop()
        for sub in [*self.open.values()]:
            self.house.left(sub)
        self.open.clear()


class EngineLink:
    """One connection to an engine."""

    def __init__(self, station: "Station", sock: Any) -> None:
        self.station, self.house = station, station.house
        self.open: dict[str, Errand] = {}
        self.past: dict[str, None] = {}     # done with, an answer or a copy of one may still come
        self.retired = False
        self.alive, self.asked = 0, NEVER   # signs asked for; when, while none has come
        self.link = Link(self.house.hub, sock, EngineWire(self, self.house.lines), self, MID_ANSWER)

    def room_for(self, order: Order) -> bool:
        # Danger: both hand-offs of a submission carry its id; a late answer to one would pass for the other.
        return not (self.retired or self.link.why or self.link.blocked or
                    len(self.open) >= self.house.stated.streams or
                    order.name in self.open or order.name in self.past)

    def take(self, errand: Errand) -> bool:
        """Write a hand-off, unless there is no room."""
        house, order, handoff = self.house, errand.order, errand.handoff
        sub, stated = handoff.submission, house.stated
        fields = [f"sort={sub.offering.name}", f"patience={max((errand.until - house.now) // 10, 1)}"]
        if order.label:
            fields.append(f"op={order.label}")
        if stated.grants and order.memory >= 1:
            fields.append(f"reserve={int(order.memory)}")
        if stated.priorities:
            fields.append(f"level={order.priority}")
        begin = self.link.put
        if not self.link.send(command("fetch", order.name, ",".join(fields), order.statement)):
            return False
        errand.link, errand.begin, errand.end = self, begin, self.link.put
        self.open[order.name] = errand
        house.counters["handed off"] += 1
        errand.told = house.now
        if house.patience:
            house.hub.later(house.patience, house.untold, errand, self)
        return True

    def say(self, *parts: str) -> None:
        if not self.link.send(command(*parts)):
            self.link.end("no room for a command")

    def answered(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        errand = self.open.get(name)
        self.asked = NEVER
        if word not in WORDS:
            return f"an answer {word[:8]!r}"
        self.house.counters["answers " + word] += 1
        if errand is None:
            # Danger: a copy, a late answer or one to an id of nobody's is no fault of what else is open here.
            self.house.counters["answers dropped"] += word != "FIT"
            return "" if word == "FIT" or NAME(name) else "an answer to an id that makes no sense"
        return self.house.answered(errand, word, fields, body)

    def forget(self, errand: Errand) -> None:
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
        """Danger: the engine closes what is idle, and a hand-off would meet that. So none is ever idle."""
        if self.link.why:
            return
        # Danger: a machine that vanished or was cut off says nothing, and its connections stay open. All that
        # is out there would wait for its expiry.
        quiet, now = self.house.now - self.link.heard, self.house.now
        if now >= self.asked + NO_SIGN:
            return self.link.end("no sign")
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
        errands, self.open = [*self.open.values()], {}
        if errands:
            self.house.log(f"link {station.engine.tag} ended: {why}; {len(errands)} out")
        for errand in errands:
            if errand.stage() == NOT_BEGUN and station.engine.state == READY:
                errand.link = None
                station.waiting.append(errand)
                self.house.hub.later(self.house.stated.dial_time, self.house.waited, errand)
            else:
                self.house.failed(errand, "broken")
        self.house.close(station)
        station.fill()


class Station:
    """An engine, its address, its links, and the hand-offs that wait for one."""

    def __init__(self, house: "House", engine: Engine) -> None:
        self.house, self.engine, self.address = house, engine, ("", 0)
        self.links: list[EngineLink] = []
        self.waiting: deque[Errand] = deque()
        self.dialling, self.spare_from = False, 0

    def fill(self) -> None:
        """Write what waits to links that have room; dial where there are none."""
        if self.engine.state != READY:
            return
        while self.waiting:
            order = self.waiting[0].order
            # Danger: what spoils one answer takes all with it that is open on its link. So they keep apart.
            link = min((each for each in self.links if each.room_for(order)),
                       key=lambda each: len(each.open), default=None)
            if link is None or not link.take(self.waiting[0]):
                break
            self.waiting.popleft()
        most = self.house.links_each()
        spare = len(self.links) < min(most, SPREAD) and all(each.open for each in self.links) and (
            self.house.now >= self.spare_from)
        if (self.waiting or spare) and not self.dialling and len(self.links) < most:
            self.dialling = True
            self.house.hub.spawn(self.dial, self.address)

    def dial(self, where: tuple[str, int]) -> None:
        sock, why = dial(self.house.hub, where, self.house.stated.dial_time)
        self.dialling = False
        self.house.counters["dialled"] += 1
        if sock is None:
            self.house.counters["unreached"] += 1
            self.spare_from = self.house.now + SECOND   # Danger: dials without end where none is taken
            if where == self.address:
                errands, self.waiting = self.waiting, deque()
                for errand in errands:
                    self.house.failed(errand, "unreached")
            return
        if where != self.address or self.engine.state != READY:
            sock.close()
        else:
            link = EngineLink(self, sock)
            self.links.append(link)
            self.house.hub.spawn(link.link.run)
            link.watch()
        self.fill()

    def told(self, where: tuple[str, int], renewed: bool) -> None:
        """The list names it: a link to what it was before is for nothing new."""
        if where != self.address or renewed:
            self.address = where
            self.retire()

    def retire(self) -> None:
        for link in self.links:
            link.retired = True
            if not link.open:
                link.link.end("no longer needed")

    def withdraw(self) -> None:
        """It drains or is gone. Danger: a hand-off that waits for room would begin after that."""
        self.retire()
        errands, self.waiting = self.waiting, deque()
        for errand in errands:
            self.house.failed(errand, "withdrawn")
        for link in self.links:     # nor may what a socket that takes no more has kept back
            if any(errand.stage() == NOT_BEGUN for errand in link.open.values()):
                link.link.end("unsent at a drain")


class Aside:
    """Stands in for the host where settings are only checked."""

    now = lag = 0

    def wake(self, *_: Any) -> None:
        pass


def stated_of(post: Post, host: Any) -> Stated:
    """What a configuration states, or the fault in it."""
    try:
        return Stated(post.settings, host, post.seed)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise Faulty(f"settings: {problem}") from None


class House:
    """The host protocol on sockets."""

    def __init__(self, hub: Hub, post: Post, log: Callable[[str], None], held: int = 0) -> None:
        self.hub, self.log, self.counters = hub, log, Counters()
        # Danger: with little memory the program itself holds most of it. Half of what it had left at its
        # start may be held for others: the clients' rings, the engines', and so on. The rest is for records.
        room = max(post.memory - held, LEAST_ROOM) // 2
        self.rings, self.lines, self.results, self.statements = (Allowance(room // 4) for _ in range(4))
        self.links_most = post.sockets // 3     # a third is the clients', a third stays free
        self.end = NEVER        # when the last answer goes, once the program is told to end
        self.callers: dict[Caller, None] = {}
        self.most_callers = post.sockets // 2   # a third is the usual ones'
        self.names: dict[str, Submission] = {}  # of what is open
        self.stations: dict[str, Station] = {}
        self.errands: dict[HandOff, Errand] = {}
        self.page_line: deque[Errand] = deque()
        self.ended: deque[Submission] = deque()
        self.keys: dict[int, tuple[int, int, bool]] = {}    # when one came, kept back how long, on a new link
        self.stated = stated_of(post, self)
        self.gateway = self.stated.gateway
        self.most_memory = max(self.stated.sizes, default=1e6)
        self.patience = int(UNTOLD * self.stated.tells)
        self.offerings = {each.name: each for each in self.stated.offerings}
        self.tenants = {name: n for n, name in enumerate(self.stated.tenants)}
        self.last_event = post.known
        for event in post.events:
            if wrong := self.listed(event):
                self.log(f"known: {wrong}")

    def close(self, station: "Station") -> None:
        """Forget an engine that is gone, once nothing is left of it; its id may by then be another's."""
        tag = station.engine.tag
        if station.engine.state == GONE and not station.links and self.stations.get(tag) is station:
            del self.stations[tag]

    def links_each(self) -> int:
        """Danger: with fewer links than hand-offs fill, an engine that is well would count as unreached."""
        return max(2, self.links_most // max(len(self.stations), 1))

    # What the gateway may do.

    @property
    def now(self) -> int:
        return self.hub.now

    @property
    def lag(self) -> int:
        return self.hub.lag

    def hand_off(self, handoff: HandOff, allow: int) -> None:
        station = self.stations[handoff.engine.tag]
        errand = self.errands[handoff] = Errand(handoff, self.now + allow, station)
        self.hub.later(allow, self.too_late, errand)
        station.waiting.append(errand)
        station.fill()
        if errand.link is None and self.stated.dial_time < allow:
            self.hub.later(self.stated.dial_time, self.waited, errand)

    def set_terms(self, submission: Submission, memory: float, priority: int) -> None:
        order = submission.tag
        if priority != order.priority and self.stated.priorities:
            for handoff in submission.handoffs:
                errand = self.errands.get(handoff)
                if errand and errand.link and not errand.answered:
                    errand.link.say("renice", order.name, str(priority))
        order.memory, order.priority = memory, priority

    def dismiss(self, submission: Submission, come_back: int) -> None:
        self.final(submission, REFUSED, [])

    def scrap(self, submission: Submission) -> None:
        self.final(submission, FAILED, [])

    def call_off(self, handoff: HandOff) -> None:
        errand = self.errands.get(handoff)
        if errand is None:
            return
        if errand.link is None:
            errand.station.waiting.remove(errand)
        else:
            errand.link.say("abort", errand.order.name)
            errand.link.forget(errand)
        del self.errands[handoff]
        self.hub.later(0, self.over, errand, CALLED_OFF if errand.link else MOOT)

    def wake(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.hub.later(delay, method, *what)

    # Clients.

    def make_room(self) -> bool:
        """Danger: connections that say nothing, or nothing more, would keep others at the door. Those that
        never asked for anything give way first, then those that have been quiet longest."""
        quiet = sorted((caller for caller in self.callers if caller.idle()),
                       key=lambda each: (not each.link.parting, each.link.machine.whole > 0, each.link.heard))
        for caller in quiet[:ROOM]:
            self.counters["gave way"] += 1
            caller.link.parting = False
            caller.link.end("room for others")
        return bool(quiet)

    def accepted(self, sock: Any) -> None:
        caller = Caller(self, sock)
        self.callers[caller] = None
        self.counters["connections"] += 1
        self.hub.spawn(caller.link.run)
        if self.end != NEVER:
            caller.link.send(client_wire.leaving())

    def leave(self) -> None:
        """The program is to end: no new submissions are asked for, and all that is open ends in time."""
        if self.end != NEVER:
            return
        longest = max(offering.expiry for offering in self.stated.offerings)
        self.end = self.now + min(longest, MOST_EXPIRY) + TO_WRITE
        subs = [sub for caller in self.callers for sub in caller.open.values()]
        self.log(f"leaving by {self.end}, {len(subs)} open")
        for caller in [*self.callers]:
            caller.link.send(client_wire.leaving())
        for sub in subs:
            self.hub.later(self.end - self.now, self.gateway.expiry_near, sub)
        self.hub.later(STILL_COMING, self.gone)

    def gone(self) -> None:
        """End as soon as nothing is owed and all is written, or when it must be."""
        # Danger: what has come and lies unread is taken all the same.
        owed = any(each.open or each.waiting or len(each.link.machine.outward) or unread(each.link.sock)
                   for each in self.callers if each.link.fd >= 0)
        if owed and self.now < self.end + TO_WRITE // 4:
            self.hub.later(100, self.gone)
        else:
            self.hub.stopped = True

    def requested(self, caller: Caller, stream: int, fields: dict[str, str], body: bytes) -> str:
        # Danger: what it says is a stranger's; nothing of it may raise.
        self.counters["taken"] += 1
        self.forget()
        offering = self.offerings.get(fields.get("route", ""))
        tenant = self.tenants.get(fields.get("customer", ""))
        life, work, memory = (amount(fields.get(name) or "0") for name in ("patience", "weight", "est_mb"))
        name, key, nonce = fields.get("trace", ""), fields.get("entity") or "0", fields.get("nonce", "")
        # Danger: an engine closes on what it cannot use, with all that others have open there. A figure that
        # is named must be one; an id names one submission; nobody waits much longer than its offering lets it
        # (a little longer is no fault: a good client's clock and ours differ, and it adds its own way to us).
        wrong = ("route" if offering is None else "customer" if tenant is None and self.tenants else
                 "patience" if not life or life * 10 > 2 * offering.expiry else
                 "weight" if work is None or work > HEAVIEST or fields.get("weight") and not work else
                 "est_mb" if memory is None or memory > self.most_memory else
                 "entity" if not KEY(key) else "trace" if not NAME(name) or name in self.names else
                 "nonce" if not plain(nonce or ("" if offering.repeat == LABELLED else "-")) else
                 "statement" if not text(body) else "")
        if wrong:
            return caller.unreadable(stream, f"{wrong}: unusable")
        key, label = int(key, 16), nonce if offering.repeat == LABELLED else ""
        order = Order(caller, stream, name, label, body)
        if (len(caller.open) >= MOST_OPEN or len(self.names) >= self.stated.open_cap or
                not self.statements.take(order.size)):
            self.counters["overfull"] += 1
            caller.faults += len(caller.open) >= MOST_OPEN
            caller.answer(stream, REFUSED, [])
            return "" if caller.faults <= MOST_FAULTS else "too many open at once"
        life = min(int(life * 10), self.end - self.now)
        # Danger: with a full processor it has waited unread, and its client counts that.
        life = max(life - self.held_back(key, stream == 1) - self.lag, 1)
        sub = Submission(order, offering, tenant or 0, tables_of(body), self.now, life, int(work * 10),
                         float(memory), key)
        caller.open[stream] = self.names[name] = sub
        caller.fresh.append(sub)
        if len(caller.fresh) == 1:
            self.hub.unsent.append(caller.admit)
        return ""

    def held_back(self, key: int, new: bool) -> int:
        """How long a client may have kept back a submission after its stamp, to keep those of a key apart.

        Danger: its patience counts from the stamp, so the last moment would come after its expiry.
        """
        if not key:
            return 0
        came, held, was_new = self.keys.pop(key, (-SECOND, 0, False))
        gap = self.now - came
        held = held + APART if gap < APART + ARRIVAL else 0
        if was_new and gap < APART_NEW + ARRIVAL:
            held = max(held, APART_NEW)
        self.keys[key] = self.now, held, new
        while self.now - next(iter(self.keys.values()))[0] > APART_NEW + ARRIVAL:
            del self.keys[next(iter(self.keys))]
        return held

    def final(self, submission: Submission, code: int, body: list[bytes]) -> None:
        order = submission.tag
        if order.caller.open.pop(order.stream, None) is not None:
            self.statements.give(order.size)
            self.names.pop(order.name, None)
            self.ended.append(submission)
            order.caller.answer(order.stream, code, body, submission.taken + submission.life)

    def forget(self) -> None:
        """Danger: a full collection of garbage stops all for over 100 ms. So there is none: what points to
        each other is taken apart by hand, here, where no call of the gateway's is under way."""
        while self.ended:
            sub = self.ended.popleft()
            if not any(handoff.out for handoff in sub.handoffs):
                for handoff in sub.handoffs:
                    handoff.submission = None
                sub.tag.statement = b""

    def left(self, submission: Submission | None) -> None:
        """Its client waits no longer."""
        if submission is not None:
            self.statements.give(submission.tag.size)
            self.names.pop(submission.tag.name, None)
            if submission in submission.tag.caller.fresh:
                submission.over = True      # the gateway never hears of it
            else:
                self.gateway.submission_left(submission)
            self.ended.append(submission)

    # Hand-offs.

    def answered(self, errand: Errand, word: str, fields: dict[str, str], body: bytes) -> str:
        """An engine's answer; what is wrong with it."""
        handoff = errand.handoff
        errand.told = self.now
        if word == "TELL":
            sort, value = NOTES.get(fields.get("n", ""), 0), amount(fields.get("amount", "0"))
            self.gateway.handoff_progress(handoff, sort, float(value or 0))
            return ""
        errand.load = inflight_of(fields.get("l", ""), errand.load)
        if word == "DONE":
            pages, spent, need = (amount(fields.get(name, "0")) for name in ("chunks", "spent", "wanted"))
            if not pages or pages != int(pages) or pages > MOST_PAGES or spent is None or need is None:
                return f"a result of {fields.get('chunks')!r} pages"
            if errand.answered:
                return "" if [body, int(pages)] == [errand.pages[0], len(errand.pages)] else "two results"
            # Danger: the request ran, but what came is spoilt: nothing of it may pass for an answer.
            if not page(body):
                return "a page that is spoilt"
            errand.answered = True
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
            if not errand.answered or not 0 < n < len(errand.pages) or not page(body) or (
                    errand.pages[n] not in (None, body)):
                return f"a page {at[:8]!r} out of turn or spoilt"
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
                self.hub.later(PAGE_TIME, self.pages_late, errand, 1)
            self.page_line.popleft()

    def untold(self, errand: Errand, link: EngineLink) -> None:
        """Danger: an answer that never comes, or after its time, holds its submission and its slot until the
        expiry. An engine tells regularly of all that runs there; what it tells no more of is over."""
        if errand.handoff in self.errands and errand.link is link and not errand.answered:
            since = self.now - errand.told
            if since < self.patience:
                return self.hub.later(self.patience - since, self.untold, errand, link)
            self.counters["untold"] += 1
            link.say("abort", errand.order.name)
            link.forget(errand)
            self.failed(errand, "broken")

    def pages_late(self, errand: Errand, had: int) -> None:
        """Danger: a page that never comes would hold its submission until the expiry. What else is open on
        that link may be well, so only this hand-off is given up."""
        if errand.handoff in self.errands:
            have = len(errand.pages) - errand.pages.count(None)
            if have > had:
                return self.hub.later(PAGE_TIME, self.pages_late, errand, have)
            self.counters["pages late"] += 1
            errand.link.say("done", errand.order.name)
            errand.link.forget(errand)
            self.failed(errand, "broken")

    def whole(self, errand: Errand) -> str:
        """All pages are here, or nobody wants them."""
        sub = errand.handoff.submission
        if sum(len(each or b"") for each in errand.pages) > MOST_RESULT:
            return "a result that is too long"
        errand.link.say("done", errand.order.name)
        errand.link.forget(errand)
        if not sub.over:
            self.final(sub, SERVED, errand.pages)
        self.done(errand, HONOURED)
        return ""

    def done(self, errand: Errand, outcome: int) -> None:
        self.errands.pop(errand.handoff, None)
        self.over(errand, outcome)

    def over(self, errand: Errand, outcome: int) -> None:
        handoff = errand.handoff
        if errand.asked:
            self.results.give(errand.asked)
            errand.asked = 0
        errand.pages = []
        bills = self.stated.bills and outcome == HONOURED
        self.counters[f"outcome {outcome}"] += 1
        self.gateway.handoff_over(handoff, outcome, self.now - handoff.sent, handoff.submission.over or
                                  outcome == HONOURED, errand.spent if bills else 0,
                                  errand.need if bills else 0.0, errand.load)
        if handoff.submission.over:
            self.ended.append(handoff.submission)
        self.forget()
        self.ask_pages()

    def failed(self, errand: Errand, why: str) -> None:
        """The attempt ends for its connection's sake."""
        if errand.handoff in self.errands:
            self.done(errand, outcome_of(errand.stage(), why))

    def waited(self, errand: Errand) -> None:
        """No connection, or no room on one, in the time that settings give for it."""
        if errand.handoff in self.errands and errand.link is None:
            errand.station.waiting.remove(errand)
            self.failed(errand, "unreached")

    def too_late(self, errand: Errand) -> None:
        if errand.handoff not in self.errands:
            return
        if errand.link is None:
            errand.station.waiting.remove(errand)
        else:
            # Danger: the engine works on past the time that it was told, and holds it until it hears.
            errand.link.say("done" if errand.answered else "abort", errand.order.name)
            errand.link.forget(errand)
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
            return ""       # told before
        if count > self.last_event + 1 and not (isinstance(members, dict) and members.get("full")):
            return f"event {count} after {self.last_event}"
        wrong = self.listed(said) if members is not None else ""    # other news is none of ours
        if not wrong:
            self.last_event = count
            self.counters["events"] += 1
        return wrong

    def listed(self, said: Any) -> str:
        """Engines as told: checked in full before anything of it holds."""
        try:
            members, entries = said["members"], []
            for each in members["servers"]:
                entries.append((str(each["id"]), address(each["addr"], "addr"), STATES[each["state"]],
                                self.stated.halls.index(each["zone"]), self.stated.kinds.index(each["kind"]),
                                int(each.get("cell", 0)), int(each.get("started_ms", 0)) * 10))
        except (Faulty, ValueError, TypeError, KeyError, AttributeError, OverflowError) as problem:
            return f"an event that makes no sense ({type(problem).__name__} {problem})"
        if members.get("full"):
            named = {entry[0] for entry in entries}
            for station in self.stations.values():
                if station.engine.tag not in named and station.engine.state != GONE:
                    self.gateway.engine_told(station.engine, GONE, station.engine.started)
        for tag, where, state, hall, kind, cell, started in entries:
            station = self.stations.get(tag)
            if station is None:
                engine = Engine(tag, tag.encode(), hall, kind, cell, name=tag)
                station = self.stations[tag] = Station(self, engine)
            engine = station.engine
            renewed = started > engine.started
            self.stated.place(engine, hall, kind, cell)
            self.gateway.engine_told(engine, state, started)
            station.told(where, renewed)
        self.gateway.list_told()
        for station in [*self.stations.values()]:
            if station.engine.state != READY:
                station.withdraw()
                self.close(station)
            else:
                station.fill()
        return ""


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


def text(statement: bytes) -> bool:
    """May it go on to an engine?

    >>> text(b"select 1"), text(b""), text(b" "), text(b"a" + bytes(1)), text(bytes([255]))
    (True, False, False, False, False)
    """
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return b"\0" not in statement and BLANK(statement) is None


def unread(sock: Any) -> int:
    """Bytes that have come and were not read."""
    return int.from_bytes(ioctl(sock.fileno(), FIONREAD, b"\0" * 4), sys.byteorder)


def plain(text: str) -> bool:
    """May it stand in a command's fields unchanged?

    >>> plain("9b1f03aa"), plain(""), plain("a,b"), plain("a=b"), plain("a b"), plain("x" * 129)
    (True, False, False, False, False, False)
    """
    return PLAIN(text) is not None


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


class Feed:
    """Keeps the control feed at one address connected, until it is left for another."""

    def __init__(self, house: House, where: tuple[str, int]) -> None:
        self.house, self.where, self.link = house, where, None
        self.pause, self.lost, self.left = 0, False, False

    def run(self) -> None:
        hub = self.house.hub
        while not (hub.stopped or self.left):
            begun = hub.now
            sock, why = dial(hub, self.where, SECOND)
            if self.left:
                if sock is not None:
                    sock.close()
                return
            if sock is not None:
                machine = feed_wire.FeedWire(self, self.house.lines)
                self.link = Link(hub, sock, machine, self)
                self.link.send(feed_wire.request("%s:%d" % self.where, self.house.last_event))
                self.watch(self.link)
                self.link.run()
                why = self.link.why
            if not (self.lost or self.left):
                self.lost = True
                self.house.log(f"feed lost: {why}")
            # Danger: what it tells holds soon after a break, heard or not. So the first try is at once, and
            # only those that end at once again wait, each longer.
            if hub.now - begun > SECOND:
                self.pause = 0
            if self.pause and not self.left:
                hub.sleep(self.pause)
            self.pause = min(max(2 * self.pause, LEAST_PAUSE), MOST_PAUSE)

    def leave(self) -> None:
        """Another address holds from now on."""
        self.left = True
        if self.link is not None:
            self.link.end("left for another")

    def event(self, number: str, data: str) -> str:
        self.pause = 0
        if self.lost:
            self.lost = False
            self.house.log(f"feed back at {self.house.last_event}")
        return self.house.event(number, data)

    def watch(self, link: Link) -> None:
        """Danger: a feed that stops keeps its connection open. A comment comes each second; without any sign
        for half a second more it is dead."""
        if link is self.link and not link.why:
            if self.house.now - link.heard > FEED_SILENT:
                return link.end("silent")
            self.house.hub.later(FEED_SILENT // 8, self.watch, link)

    def drained(self) -> None:
        pass

    def ended(self, why: str) -> None:
        pass
