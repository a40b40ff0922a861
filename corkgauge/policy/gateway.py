"""All decisions of the gateway.

A host builds one `Gateway` and calls one method for each thing that happens: those without an underscore;
the gateway calls it back (`interface.py` holds the protocol). Times are whole tenths of a millisecond. The
ordinary path is in docs/design.md; what follows "Danger" is an exception for the symptom named there alone.
"""

from bisect import bisect_right, insort
from collections import deque
from itertools import accumulate
from statistics import fmean, median
from struct import pack
from zlib import crc32

from corkgauge.policy.records import (
    CALLED_OFF,
    ERROR,
    FULL,
    HONOURED,
    LABELLED,
    NEVER_RAN,
    PROGRESS,
    READY,
)
from corkgauge.policy.records import (
    REDOABLE,
    RESET,
    TIMED_OUT,
    UNREACHED,
    Engine,
    Attempt,
    Host,
    RequestClass,
)
from corkgauge.policy.records import RequestQueue, Request, EngineStats

SECOND, MOMENT = 10_000, 200  # a figure of many samples stands for a moment
PERIOD, INTERVALS = 2 * SECOND, 5  # of the feedback; that the linear model sees
SIGMA, FLOOR = 0.05, 0.1  # most that a share moves in a period; least share, of an equal share
THREADS_PER_CORE = 0.9  # of all gateways together, where the bound starts
LIGHT, CROWDED = (
    2.0,
    1.5,
)  # bound for light offerings, over the heavy ones'; threads a core, at the most
TIERS = 0.25, 1.0, 2.0  # of the usual work, beyond which a draw's priority is one lower each
STEP, LEAST_TOLD, LEAST_BOUND = (
    0.1,
    0.4,
    0.25,
)  # of the bound; of a price's step, if light; of its start
UNSEEN, PRESSED = (
    1.5,
    2.0,
)  # latency over the work's time, before any answer; over its best: pressure
WAIT_PART = 0.06  # of a submission's life that it waits in its queue at most
HOME = 0.25  # threads a core by which the next in order must be emptier, as its tables are cold
NEAR, EVEN = (
    3,
    1.25,
)  # engines of the order looked at first; of a part of the last work, before others are
LAST, LAST_ANSWERS, FEW = (
    8,
    48,
    3,
)  # samples kept for an engine; for an offering; that a figure needs
SILENT, OVERDUE = (
    3.0,
    3.0,
)  # usual lifetimes: of all out together without a sign; of one passed by FEW
REST, ALIKE = (
    SECOND,
    10 * SECOND,
)  # of an engine that did badly, doubled each time; that faults compare
COLD_SAFETY, HEDGE = (
    0.9,
    0.5,
)  # of its part of the cold budget that a gateway uses; of that for further ones
GOLDEN, TURNING = 0.618034, 0.25  # spreads gateways evenly; part of a turn that passes on in a span
OWN_EXTRA = 10, 0.5, 5 * SECOND  # budget for further hand-offs where none is stated
WHOLE = 128  # engines in a list that is asked whole; of longer ones a gateway has a working set
BASE, COVER, AT_HAND = (
    48,
    16,
    8,
)  # engines of it; sets that each is in; engines of it for any offering
WIDER, WIDEST = 0.2, 2.0  # a set's growth in a period; in all, for failures
SEVERAL, BUSIEST = 1.5, 4.0  # times its part of the traffic, where a set begins to grow; in all


class Gateway:
    """One workload manager's decisions."""

    def __init__(
        self,
        host: Host,
        *,
        seed: int,
        number: int,
        gateways: int,
        tick: int,
        offerings: list[RequestClass],
        cancels: bool,
        copies: bool,
        most_handoffs: int,
        come_back: int,
        cold_share: float,
        cold_span: int,
        fall_multiple: float,
        fall_span: int,
        extra_floor: float,
        extra_share: float,
        extra_span: int,
        settle: int,
    ) -> None:
        self.host, self.seed, self.drawn, self.born, self.all_warm = host, seed, 0, host.now, 0
        self.cancels, self.copies, self.settle, self.come_back = cancels, copies, settle, come_back
        self.most_handoffs, self.margin = (
            most_handoffs,
            2 * tick + 10,
        )  # ending this early is in time
        self.slots = THREADS_PER_CORE / gateways  # threads a core, where the bound starts
        # A core's worth of work that this gateway may send in a span to an engine that has just started.
        self.cold_part = COLD_SAFETY * 0.85 * fall_multiple * cold_share * fall_span / gateways
        self.cold_share, self.cold_span, self.fall_span = cold_share, cold_span, fall_span
        self.number, self.gateways, self.mean_work = number, gateways, 0.0  # of what is asked for
        self.extra = (extra_floor, extra_share, extra_span) if extra_span else OWN_EXTRA
        self.strict = 1.0  # part of that budget, where the fleet's further hand-offs are a storm
        self.offerings, self.part, self.wider, self.busy = (
            offerings,
            0.0,
            1.0,
            1.0,
        )  # of the working set
        self.engines: list[Engine] = []  # the working set: all, or the first by rank of each place
        self.places: dict[
            tuple[int, int], list[Engine]
        ] = {}  # all ready ones, by hall and kind, by rank
        self.placed: dict[Engine, tuple[int, int]] = {}
        self.last: deque[tuple[EngineStats, float, float]] = (
            deque()
        )  # hand-offs: where, usual work, table group
        self.groups: dict[float, float] = {}  # usual work among them, by table group
        self.orders: dict[object, list[Engine]] = {}
        self.queues: dict[tuple[int, RequestClass], RequestQueue] = {}
        self.lost: dict[
            int, dict[Engine, int]
        ] = {}  # by hall: engines lost since any there gave a sign
        self.lines: dict[int, deque[Request]] = {}  # by key, in the order taken
        self.rests: dict[int, int] = {}  # by key: a hand-off may still run until then
        self.honoured, self.extras = (
            list[int](),
            list[int](),
        )  # when taken, when sent, in the budget's span
        self.best, self.usual_work, self.usual = UNSEEN, 0.0, (-1, UNSEEN)
        self.price = self.least_price = self.most_price = (
            0.0  # earnings for work that a release must bring
        )
        for offering in offerings:
            offering.samples = deque(
                maxlen=LAST_ANSWERS
            )  # work, memory: true over estimate; true work
            offering.usual = self._usual_work(offering)
        host.wake(PERIOD, self.interval_over)

    # What can happen.

    def engine_told(self, engine: Engine, state: int, started: int) -> None:
        """The list names an engine; a drain or departure holds from this moment."""
        if engine.view is None or started > engine.started:
            engine.view, engine.threads = (
                EngineStats(
                    engine.view.spent if engine.view else deque(),
                    *(deque(maxlen=LAST) for _ in "sft"),
                ),
                0,
            )
        engine.state, engine.started = state, started
        if before := self.placed.pop(engine, None):
            self.places[before].remove(engine)
        if state == READY:
            place = self.placed[engine] = engine.hall, engine.kind
            engine.rank = self._rank(engine.mark)
            insort(self.places.setdefault(place, []), engine, key=lambda each: each.rank)

    def list_told(self) -> None:
        # Danger: as a hall goes, all gateways would call at others at once; so it moves when `set_due`.
        if (wanted := self._wanted()) >= 1.0 or not 0.5 <= self.part / wanted <= 2.0:
            self.part = wanted
        self._gather()
        self._pump()

    def engine_aside(self, engine: Engine, how: int) -> None:
        """It is taken out for work (1: nothing new goes there, 2: nothing at all), or given back (0)."""
        engine.aside = how
        self.orders.clear()
        self._pump()

    def heard_of(self, engine: Engine, slowness: float, doubt: int) -> None:
        """Others' findings: how slow it is (0: unknown); 1: one hand-off at a time tells, 2: none now."""
        engine.view.hint, engine.view.doubt = slowness, doubt

    def turn_passed(self, engine: Engine, work: float, when: int) -> None:
        """A turn at a cold engine was passed on (work above 0), or came (below), as if it were sent then."""
        engine.view.spent.append((when, work))

    def submission_taken(self, sub: Request) -> None:
        """A client's submission; from now on one final answer is owed."""
        offering = sub.offering
        if (sub.tenant, offering) not in self.queues:
            self.queues[sub.tenant, offering] = RequestQueue(offering, deque(maxlen=INTERVALS))
            for each in self.queues.values():
                each.share = 1 / len(self.queues)
        sub.queue = self.queues[sub.tenant, offering]
        sub.work = self._expected_work(sub)
        sub.aim = offering.aim + offering.stretch * sub.work / offering.threads
        # Danger: a gateway whose own processor is full answers all late; so then it dismisses what comes.
        if sub.life <= self.margin or self.host.lag > 2 * MOMENT:
            return self._end(sub)
        self.host.wake(sub.life - self.margin, self.expiry_near, sub)
        if offering.ordered and sub.key:
            line = self.lines.setdefault(sub.key, deque())
            line.append(sub)
            # Danger: in a line longer than its promise all start too late. The heaviest go, so most do not.
            while len(
                ahead := [each for each in line if not (each.over or each.handoffs)]
            ) > 1 and (sum(map(self._time_of, ahead)) > sub.aim):
                self._end(max(ahead, key=lambda each: each.work))
            patience = max(sub.aim - self._time_of(sub), sub.life * WAIT_PART)
            self.host.wake(int(patience), self.wait_over, sub, 0)
            self.turn(sub.key)
        else:
            self._join(sub)

    def submission_left(self, sub: Request) -> None:
        if not sub.over:
            self._close(sub, sub.life)  # the client has gone; nothing more is owed

    def expiry_near(self, sub: Request) -> None:
        if not sub.over:
            self._end(sub)

    def wait_over(self, sub: Request, joined: int) -> None:
        """A submission has waited its part in vain: it is dismissed."""
        if not sub.over and joined == len(
            sub.handoffs
        ):  # the pump would have sent it, had it found a slot
            # A second copy that found no place is forgotten: the first still runs.
            (self._unqueue if any(h.out for h in sub.handoffs) else self._end)(sub)

    def handoff_over(
        self,
        handoff: Attempt,
        outcome: int,
        took: int,
        finished: bool,
        work: int,
        need: float,
        inflight: float,
    ) -> None:
        """A hand-off has its outcome; the first answer has gone to the client by itself."""
        sub, engine = handoff.submission, handoff.engine
        handoff.out, handoff.outcome = False, outcome
        if handoff in engine.view.out:
            engine.view.out.remove(handoff)
            engine.threads -= sub.offering.threads
        self._learn(handoff, took, work, need, inflight)
        if not sub.over:
            if finished or outcome == HONOURED:
                # Danger: what strangers send that no engine can use must not buy further hand-offs.
                insort(self.honoured, sub.taken)
                self._close(sub, took + handoff.sent - sub.taken)
            elif not any(h.out for h in sub.handoffs) and not sub.queued:
                (self._join if self._may_again(sub) else self._end)(sub)
        passed = [h for h in engine.view.out if h.sent < handoff.sent and h.due <= handoff.due]
        for late in passed if outcome == HONOURED else ():
            # Danger: an answer that was lost, or comes late, though its engine is well: later ones of no less
            # work came first, and it is long overdue. Under pressure (a price) copies would crowd out others.
            late.passed += not self.price
            if late.passed >= FEW and self.host.now - late.sent > OVERDUE * self._time_of(
                late.submission
            ):
                self._rescue(late, HEDGE)
        self.turn(sub.key)
        self._pump()

    def handoff_progress(self, handoff: Attempt, sort: int, value: float) -> None:
        """A note from the engine on a hand-off that is out."""
        sub, now = handoff.submission, self.host.now
        self._heard(handoff.engine)
        handoff.passed = 0
        if sort != PROGRESS or value <= 0 or sub.over or not handoff.out:
            return
        # Danger: a bad plan, or a slow engine, holds threads for many times the work; 3, as estimates err.
        left = (now - handoff.sent) * (1 - value) / value
        if self.cancels and left > 3 * self._time_of(sub):
            self._rescue(handoff)

    def may_begin(self, handoff: Attempt) -> bool:
        """Directly before its first byte, for which it may have waited: does what it rests on still hold?"""
        sub, engine, now = handoff.submission, handoff.engine, self.host.now
        ran = [h for h in self._ran(sub) if h is not handoff]
        # Danger: an engine that was started anew meanwhile is a cold one, and was given no part of this.
        if (
            sub.over
            or engine.state != READY
            or handoff not in engine.view.out
            or (self._set_aside(sub, engine, ran) or not self._repeatable(sub, ran))
        ):
            return False
        if handoff.number and handoff.sent + MOMENT < now and handoff.sent in self.extras:
            self.extras.remove(handoff.sent)  # it counts in the budget's span from now
            if not self._extra_left():
                return False
            insort(self.extras, now)
        return True

    def patience_over(self, handoff: Attempt) -> None:
        view, now, usual = handoff.engine.view, self.host.now, self._usual_slowness()
        # Danger: an engine that takes work and answers nothing. Any sign clears it; one long or light draw is
        # no proof: all that is out there must have lasted several times the usual since that sign.
        if handoff.out and not handoff.submission.over and view.heard < handoff.sent:
            if (
                sum((now - max(h.sent, view.heard)) / max(h.due, h.usual) for h in view.out)
                > SILENT * usual
            ):
                self._fault(handoff.engine, "silent")
                self._rescue(handoff)
            else:
                self.host.wake(max((now - handoff.sent) // 2, 1), self.patience_over, handoff)

    def interval_over(self) -> None:
        """Feedback: shares move a bounded step towards equal weighted badness."""
        self.host.wake(PERIOD, self.interval_over)
        self._extra_left()  # Danger: what only a need trims grows while there is none
        self.orders.clear()  # Danger: strangers name table groups without end
        offerings = [queue.offering for queue in self.queues.values()]
        self.usual_work = fmean([offering.usual for offering in offerings] or [0.0])
        worths = [each.worth / each.usual for each in offerings] or [0.0]
        self.least_price, self.most_price = min(worths) / LAST, max(worths)
        # Danger: a price that holds all back meets no answer that could lower it. Hundreds of late answers at
        # once would raise it out of reach for minutes; so it also stays where the usual best draw still goes.
        self.price *= 1 - 2 * STEP
        for queue in self.queues.values():
            queue.asked += len(queue.badness) - queue.asked / LAST
        asked = [
            (queue.asked, queue.asked * queue.offering.usual) for queue in self.queues.values()
        ]
        self.mean_work = sum(work for _, work in asked) / (sum(count for count, _ in asked) or 1.0)
        if self._wanted() < 1.0:
            # Danger: gateways that started at one moment would all change their sets at one moment.
            self.host.wake(crc32(pack("<qQ", self.number, self.host.now)) % PERIOD, self.set_due)
        moving = [queue for queue in self.queues.values() if queue.badness]
        for queue in moving:
            late, queue.badness = sorted(queue.badness), []
            queue.model.append((queue.share, 1 / max(late[int(0.99 * len(late))], 1e-3)))
        self._equalise(moving)

    def set_due(self) -> None:
        """The set is wider while engines of it do badly, or this gateway has several times its part."""
        many, bad, was = (
            len(self.engines),
            sum(not self._trusted(e.view) for e in self.engines),
            self.wider,
        )
        self.wider = min(many / max(many - bad, 1), WIDEST)
        usual = (
            self.slots
            * fmean([e.cores for e in self.engines] or [1.0])
            * len(self.placed)
            * SEVERAL
        )
        asked = sum(queue.asked * queue.offering.usual for queue in self.queues.values()) / (
            LAST * PERIOD
        )
        if not 0.7 < (busy := min(max(asked / usual, 1.0), BUSIEST)) / self.busy < 1.4:
            self.busy = busy  # Danger: a set that follows each swing of traffic is never warm
        # Danger: with a hall lost, all gateways would call at all others at once; so by bounded steps.
        self.part += min(max(self._wanted() - self.part, -WIDER / 2 * self.part), WIDER * self.part)
        self._gather()
        if (self.wider > 1 + WIDER) != (was > 1 + WIDER):
            self.host.log(
                f"set {'wider' if self.wider > was else 'as before'}: {len(self.engines)} engines"
            )

    # Shares and the lottery.

    def _equalise(self, moving: list[RequestQueue]) -> None:
        """Find the level of weighted badness that all can meet, each within one step."""
        lines = []
        for queue in moving:
            share, p = queue.model[-1]
            mean_a, mean_p = fmean(a for a, _ in queue.model), fmean(q for _, q in queue.model)
            spread = sum((a - mean_a) ** 2 for a, _ in queue.model)
            rise = sum((a - mean_a) * (q - mean_p) for a, q in queue.model)
            slope = max(rise / spread if spread > 1e-9 else 0.0, 1.0)
            # Earnings for the time that a slot is held: per offering alone, heavy ones would take them all.
            weight = queue.offering.worth * SECOND / queue.offering.usual
            lines.append((queue, share, p, slope, weight))
        total = sum(queue.share for queue in moving)

        def at(level: float) -> list[float]:
            return [
                min(max(a + (1 - level / w - p) / s, a - SIGMA), a + SIGMA)
                for _, a, p, s, w in lines
            ]

        low, high = -1e4, 1e4
        for _ in range(60):
            middle = (low + high) / 2
            low, high = (middle, high) if sum(at(middle)) > total else (low, middle)
        for (queue, *_), share in zip(lines, at(high)):
            queue.share = max(share, FLOOR / len(self.queues))
        whole = sum(queue.share for queue in self.queues.values())
        for queue in self.queues.values():
            queue.share /= whole

    def _draw(self, queues: list[RequestQueue]) -> RequestQueue:
        self.drawn, tops = self.drawn + 1, [*accumulate(queue.share for queue in queues)]
        ticket = crc32(pack("<QQ", self.seed, self.drawn)) / 2**32 * tops[-1]
        return queues[min(bisect_right(tops, ticket), len(queues) - 1)]

    def _pump(self, *queues: RequestQueue) -> None:
        """Fill free slots by lottery among the queues that can use one: these, or all."""
        able = [q for q in queues or self.queues.values() if q.waiting]
        while able:
            queue = self._draw(able)
            # Danger: heavy draws take slots like light ones. Where a queue waits, its lightest go first.
            for sub in queue.waiting[:LAST]:
                if engine := self._choose(sub):
                    self._release(sub, engine)
                if engine or not sub.handoffs:  # the others have no more choice than this one
                    break
            if not engine or not queue.waiting:
                able.remove(queue)

    def _join(self, sub: Request) -> None:
        sub.queued = True
        insort(sub.queue.waiting, sub, key=lambda each: each.work)
        self.host.wake(int(sub.life * WAIT_PART), self.wait_over, sub, len(sub.handoffs))
        # Danger: under overload a walk of all queues for each that joins takes the whole processor.
        self._pump(sub.queue)

    def _unqueue(self, sub: Request) -> None:
        if sub.queued:
            sub.queued = False
            sub.queue.waiting.remove(sub)

    # Engines.

    def _rank(self, mark: bytes) -> float:
        """Where this gateway comes among all for an engine, in (0, 1): a knock-out by blocks of 2^i."""
        number, hashed, level = self.number % 2**20, crc32(mark) + 1, 0
        # Danger: checksums are linear; without the product many gateways would hold the very same set.
        while level < 20 and number >> level & 1 == 1 & crc32(
            pack("<Q", hashed * (64 * (number >> level + 1) + 2 * level + 1))
        ):
            level += 1
        return (1 + ((number >> level + 1) * GOLDEN + hashed / 2**32) % 1) / 2 ** (level + 1)

    def _wanted(self) -> float:
        """How large a part of all engines the working set should be."""
        many = max(len(self.placed), 1)
        return (
            max(BASE, WHOLE**2 / many, COVER * many / self.gateways) * self.wider * self.busy / many
        )

    def _gather(self) -> None:
        """The working set: of each place the first by rank, up to the highest bar of those it is for."""
        bars, held = dict.fromkeys(self.places, self.part), self.engines
        for offering in self.offerings:
            able = [place for place in self.places if self._open_to(offering, *place)]
            many = sum(len(self.places[place]) for place in able)
            # Danger: of a kind that few engines are of, or that fail, a set may hold none.
            offering.bar = min(max(self.part, AT_HAND * self.wider / max(many, 1)), 1.0)
            if (
                sum(
                    self._trusted(e.view)
                    for place in able
                    for e in self._first(place, offering.bar)
                )
                < FEW
            ):
                offering.bar = (
                    sorted(
                        e.rank
                        for place in able
                        for e in self.places[place]
                        if self._trusted(e.view)
                    )
                    + FEW * [1.0]
                )[FEW - 1]
            bars.update((place, max(bars[place], offering.bar)) for place in able)
        self.engines = [engine for place, bar in bars.items() for engine in self._first(place, bar)]
        for near, engines in (False, held), (True, self.engines):
            for engine in engines:
                engine.near = near
        self.all_warm = max((e.started for e in self.engines), default=0) + self.cold_span
        self.orders.clear()

    def _first(self, place: tuple[int, int], bar: float) -> list[Engine]:
        return self.places[place][
            : bisect_right(self.places[place], bar, key=lambda each: each.rank)
        ]

    def _beyond(self, sub: Request, tried: list[Engine]) -> Engine | None:
        """Danger: those that know the label of what may have run may all lie outside the working set."""
        offering, ran = sub.offering, self._ran(sub)
        what = (
            {"zone": "hall", "cell": "cell"}.get(offering.group)
            if offering.repeat == LABELLED
            else ""
        )
        if len(self.engines) == len(self.placed) or not (ran and what):
            return None
        usual, key = self._usual_slowness(), (what, getattr(ran[-1].engine, what))
        if key not in self.orders:
            self.orders[key] = [e for e in self.placed if getattr(e, what) == key[1]]
        able = [e for e in self.orders[key] if e not in tried and self._may(sub, e)]
        able = [
            e
            for e in [e for e in able if self._well(e)] or able
            if not self._full(e, offering, usual)
        ]
        return min(
            able, key=lambda each: (self._crowd(each, offering, usual), each.rank), default=None
        )

    def _open_to(self, offering: RequestClass, hall: int, kind: int) -> bool:
        return hall in (offering.halls or (hall,)) and kind in (offering.kinds or (kind,))

    def _order(self, tables: float, bar: float = 1.0) -> list[Engine]:
        """The working set, in the order hashed from the table group: alike at every gateway."""
        if (tables, bar) not in self.orders:
            mark = b"%d:" % int(tables)
            # Danger: what a narrow offering needs is in many sets, and would draw all others' work from each.
            self.orders[tables, bar] = sorted(
                (e for e in self.engines if e.aside < 2 and e.rank <= bar),
                key=lambda e: (crc32(mark + e.mark), e.mark),
            )
        return self.orders[tables, bar]

    def _choose(self, sub: Request) -> Engine | None:
        """The engine for the next hand-off; None while all that it may use are full."""
        # Danger: hundreds of gateways, each below its bound, overrun the engines together: hence the price.
        if sub.work * self.price > sub.offering.worth or (
            sub.handoffs and not (self._may_again(sub) and self._extra_left())
        ):
            return None
        usual, tried = self._usual_slowness(), [h.engine for h in sub.handoffs]
        order = self._order(sub.tables, sub.offering.bar)
        drawn, work = sum(e.view.drawn for e in order), sub.offering.usual
        even = EVEN * drawn / max(sum(e.cores for e in order), 1)
        wide = home = 0
        # Danger: under a price the warm engines are overrun, while turns at cold ones further on lapse.
        all_of_them = self.price > 0 and self.host.now < self.all_warm
        if thin := self.slots * max((e.cores for e in order), default=0) < 1.0:
            # Danger: hundreds of gateways with a few submissions each all send a group's first to the same
            # engine. A group needs as many homes as its part of the work is engines; each begins at its own.
            wide = EVEN * len(order) * (self.groups.get(sub.tables, 0.0) + work) / (drawn + work)
            wide = min(max(int(wide), 1), len(order))
            home = crc32(pack("<Qd", self.number, sub.tables)) * wide >> 32
        # Danger: engines that fail, are silent or refuse. Never all of them at once: when none does well,
        # the trouble is likely not theirs, and all are used.
        for well, fresh in (True, True), (True, False), (False, True), (False, False):
            if not (well and fresh) and (beyond := self._beyond(sub, tried)):
                return beyond
            near, spare, seen = [], [], 0
            for n, engine in enumerate(order):
                if (
                    (engine not in tried or not fresh)
                    and self._may(sub, engine)
                    and (not well or self._well(engine))
                ):
                    seen += 1
                    if not self._full(engine, sub.offering, usual):
                        # Danger: a gateway that holds one hand-off at a time sees no crowd at a home that all
                        # gateways share; so its last work is spread by cores, whatever is out.
                        # A cold engine's part is small and lapses, so it counts as the nearest.
                        far = (
                            0.0
                            if self._cold(engine)
                            else HOME * ((seen - 1 - home) % wide if seen <= wide else seen)
                        )
                        (
                            spare if engine.view.drawn > even * engine.cores + thin * work else near
                        ).append((self._crowd(engine, sub.offering, usual) + far, n))
                    if near and seen >= max(NEAR, wide) and not all_of_them:
                        break
            if seen:
                return order[min(near or spare)[1]] if near or spare else None

    def _may(self, sub: Request, engine: Engine) -> bool:
        """The rules on where a submission may go."""
        offering = sub.offering
        if not self._open_to(offering, engine.hall, engine.kind) or (
            offering.repeat == LABELLED
            and any(
                (offering.group == "zone" and engine.hall != h.engine.hall)
                or (offering.group == "cell" and engine.cell != h.engine.cell)
                for h in self._ran(sub)
            )
        ):
            return False
        return not self._set_aside(sub, engine, self._ran(sub)) and (
            not self._cold(engine) or self._cold_room(engine, offering.usual)
        )

    def _set_aside(self, sub: Request, engine: Engine, ran: list[Attempt]) -> bool:
        # Danger: what may have run is tried again only where its mark is known, even where that drains.
        return (
            engine.aside > 1
            or bool(engine.aside)
            and (sub.offering.repeat != LABELLED or sub.offering.group == "all" or not ran)
        )

    def _cold(self, engine: Engine) -> bool:
        return bool(engine.started) and self.host.now < engine.started + self.cold_span

    def _cold_room(self, engine: Engine, work: float) -> bool:
        """May this gateway send so much work to a cold engine now?"""
        since, part = self.host.now - self.fall_span, self.cold_part * engine.cores
        spent = sum(w for when, w in engine.view.spent if when > since)
        # Danger: with hundreds of gateways a part is below one submission; those in turn by number send one,
        # of whatever weight: turns for each weight would add up to the budget once for each.
        usual = self.mean_work or work
        work, thin = (usual, True) if part < usual else (work, False)
        # Danger: if all turns passed on at one moment, two sets of gateways would send within one span.
        moved = TURNING * min(part / usual, 1) * (self.host.now - engine.started) / self.fall_span
        turn = (self.number * GOLDEN + crc32(engine.mark) / 2**32 + moved) % 1
        # Danger: a gateway that restarts does not know what it sent before.
        return since >= self.born and work * turn <= part - spent and not (thin and spent > 0)

    def _heard(self, engine: Engine) -> None:
        engine.view.heard = self.host.now
        self.lost.pop(engine.hall, None)

    def _well(self, engine: Engine) -> bool:
        """Not at rest; after a rest one hand-off tells, whatever long ones are still out from before."""
        view, lost = engine.view, self.lost.get(engine.hall, {})
        # Danger: each engine of a hall that is cut off would be found by losses of its own. Once two are lost
        # without a sign from any there between, one hand-off a rest tells of the hall.
        dark = len(lost) > 1 and self.host.now < max(lost.values()) + REST
        if dark or view.doubt > 1 or view.doubt and view.out:
            return False
        return self.host.now >= view.rests_until and (
            self._trusted(view) or all(h.sent < view.rests_until for h in view.out)
        )

    def _full(self, engine: Engine, offering: RequestClass, usual: float) -> bool:
        """The bound acts under pressure only: latency well above its best, or a submission a core told."""
        # Danger: with hundreds of gateways a part is less than one submission, and the busy ones starve.
        slots = engine.view.bound * max(self.slots * engine.cores, offering.threads)
        slots *= LIGHT if offering.usual < self.usual_work else 1
        view, now = engine.view, self.host.now
        pressed = (view.load >= engine.cores and now < view.heard + PERIOD) or (
            self._slow(view, usual) > PRESSED * self.best
        )
        # Danger: between two bad samples the bound would not act, and a whole queue goes out at once.
        slots = slots if pressed else max(slots, CROWDED * engine.cores)
        return 0 < engine.threads > slots - offering.threads or now < view.refused_until

    def _crowd(self, engine: Engine, offering: RequestClass, usual: float) -> float:
        """This gateway's threads a core, were it sent there; a slower engine has fewer cores in effect."""
        pace = max(
            1.0,
            self._slow(engine.view, usual) / usual,
            1 / self.cold_share if self._cold(engine) and not self.price else 1,
        )
        return (engine.threads + offering.threads) / engine.cores * pace

    def _slow(self, view: EngineStats, otherwise: float) -> float:
        """The median slowness of an engine's last answers, and of what is out longer than those took."""
        now = self.host.now
        if now >= view.slow_until:
            usual = median(view.slowness) if len(view.slowness) >= FEW else 0.0
            # Danger: an engine that stalls or slows sends no bad samples; its silence must count as one.
            ages = [(now - h.sent) / h.due for h in view.out]
            seen = [*view.slowness, *(age for age in ages if age > max(usual, UNSEEN))]
            view.slow_until, view.slow = now + MOMENT, median(seen) if len(seen) >= FEW else 0.0
        return view.slow or view.hint or otherwise

    def _trusted(self, view: EngineStats) -> bool:
        """After a lost connection or silence one good answer is enough; errors may come between good ones."""
        return view.faults.count("error") < 2 and not (view.faults and view.faults[-1])

    def _usual_slowness(self) -> float:
        """The median of all engines; worked out once in a while, since every event asks for it."""
        if self.host.now >= self.usual[0]:
            seen = [slow for e in self.engines if (slow := self._slow(e.view, 0.0))]
            self.usual = self.host.now + MOMENT, median(seen) if seen else UNSEEN
        return self.usual[1]

    def _fault(self, engine: Engine, why: str) -> None:
        """An engine did badly: it rests, twice as long each time among its last few."""
        view, now = engine.view, self.host.now
        if why != "error":
            self.lost.setdefault(engine.hall, {})[engine] = now
        if (why, now) not in view.troubles:
            view.troubles.append((why, now))
        # Danger: what befalls all alike, as spoilt answers, broken links or what clients send, is no engine's
        # fault, and rests would leave none. It is its own where most of the others had far less of it lately.
        own, *had = [
            sum(w == why and t > now - ALIKE for w, t in each.troubles)
            for each in (view, *(e.view for e in self.engines if e.view is not view))
        ]
        if (
            why in ("error", "reset")
            and had
            and (few := sorted(had)[len(had) // 2])
            and own <= 2 * few + 2
        ):
            return
        view.faults.append(why)
        bad = sum(map(bool, view.faults))
        if now >= view.rests_until:
            rest = REST * 2 ** min(bad - 1, 4)
            view.rests_until = now + rest
            self.host.wake(rest, self._pump)
            self.host.log(f"rest {engine.name} {why} faults={bad} for={rest}")

    # Hand-offs.

    def _release(self, sub: Request, engine: Engine) -> None:
        """Hand a submission off, with its memory and its priority."""
        now, offering = self.host.now, sub.offering
        self._unqueue(sub)
        self.extras += [now] if sub.handoffs else []
        priority = 3 if sub.queue.share * len(self.queues) >= 0.999 else 2
        # Danger: heavy draws crowd light ones out on the engine's cores too; one in order holds its line.
        if not offering.ordered:
            priority -= sum(sub.work > part * self.usual_work > 0 for part in TIERS)
        self.host.set_terms(sub, self._grant(sub, engine), max(priority, 0))
        handoff = Attempt(
            sub,
            engine,
            len(sub.handoffs),
            now,
            max(sub.work / offering.threads, 1),
            offering.usual / offering.threads,
        )
        sub.handoffs.append(handoff)
        engine.threads += offering.threads
        engine.view.out.append(handoff)
        if len(lost := self.lost.get(engine.hall, ())) > 1:
            lost[engine] = now
        engine.view.spent.append((now, offering.usual))
        while engine.view.spent and engine.view.spent[0][0] <= now - self.fall_span:
            engine.view.spent.popleft()
        engine.view.drawn += offering.usual
        self.last.append((engine.view, offering.usual, sub.tables))
        self.groups[sub.tables] = self.groups.get(sub.tables, 0.0) + offering.usual
        if len(self.last) > LAST * len(self.engines):
            view, work, tables = self.last.popleft()
            view.drawn -= work
            self.groups[tables] -= work
            if self.groups[tables] < 1:
                del self.groups[tables]
        self.host.hand_off(handoff, max(1, sub.taken + sub.life - now - self.margin // 2))
        self.host.wake(int(max(0.5 * sub.aim, 2 * self._time_of(sub))), self.patience_over, handoff)

    def _grant(self, sub: Request, engine: Engine) -> float:
        """Memory as estimated, corrected by what answers told; 0 leaves it to the engine."""
        ratios = sorted(need for _, need, _ in sub.offering.samples if need)
        known = sub.memory and len(ratios) >= FEW
        return (
            min(sub.memory * ratios[int(0.85 * len(ratios))], engine.most_memory) if known else 0.0
        )

    def _rescue(self, handoff: Attempt, share: float = 1.0) -> None:
        """Try a hand-off that does badly elsewhere: called off first, or a second copy."""
        sub = (
            handoff.submission
        )  # Danger: copies on suspicion must leave budget for what is lost for sure
        if not (sub.over or handoff.called_off or sub.queued) and (
            self._may_again(sub) and self._extra_left(share)
        ):
            if self.cancels:
                self._call_off(handoff)
            elif self.copies and sum(h.out for h in sub.handoffs) < 2:
                self._join(sub)

    def _may_again(self, sub: Request) -> bool:
        """The rule on effects: may there be another hand-off, whatever the budget says?"""
        ran = self._ran(sub)
        # Danger: what two engines cannot use speaks against the submission; more would spend others' budget.
        return (
            len(sub.handoffs) < self.most_handoffs
            and sum(h.outcome == ERROR for h in ran) < 2
            and (self._repeatable(sub, ran))
        )

    def _repeatable(self, sub: Request, ran: list[Attempt]) -> bool:
        return (
            not ran
            or sub.offering.repeat == REDOABLE
            or (
                sub.offering.repeat == LABELLED
                and (self.host.now < ran[0].sent + sub.offering.remembered - self.margin)
            )
        )

    def _ran(self, sub: Request) -> list[Attempt]:
        return [*sub.before, *(h for h in sub.handoffs if h.outcome not in NEVER_RAN)]

    def _extra_left(self, share: float = 1.0) -> bool:
        """The budget of further hand-offs; where none is stated, one of our own against retry storms."""
        floor, part, span = self.extra
        for whens in self.honoured, self.extras:
            del whens[: bisect_right(whens, self.host.now - span)]
        return len(self.extras) + 1 <= share * self.strict * (floor + part * len(self.honoured))

    def _end(self, sub: Request) -> None:
        """The gateway gives a submission up: the answer goes at once."""
        harmless = (
            sub.offering.repeat == REDOABLE
            or not self._ran(sub)
            or (sub.offering.repeat == LABELLED and sub.offering.group == "all")
        )
        # Danger: closing lets the next of its key go, so the answer comes first.
        self.host.dismiss(sub, self.come_back) if harmless else self.host.scrap(sub)
        self._close(sub, sub.life)

    def _close(self, sub: Request, latency: int) -> None:
        """A submission is over, however it ended; the starved ones count as badness too."""
        self._unqueue(sub)
        sub.over = True
        sub.queue.badness.append(latency / max(sub.aim, 1))
        for handoff in sub.handoffs:
            self._call_off(handoff)
        self.turn(sub.key)

    def _call_off(self, handoff: Attempt) -> None:
        if self.cancels and handoff.out and not handoff.called_off:
            handoff.called_off = True
            self.host.call_off(handoff)

    def turn(self, key: int) -> None:
        """Let the next of a key go, once all before it are over and their hand-offs have outcomes."""
        line, now = self.lines.get(key), self.host.now
        while line and line[0].over and not any(h.out for h in line[0].handoffs):
            if any(h.outcome in (TIMED_OUT, RESET, CALLED_OFF) for h in line.popleft().handoffs):
                self.rests[key] = now + self.settle
                self.host.wake(
                    self.settle, self.turn, key
                )  # Danger: a key that never comes again stays
        if (
            line
            and self.rests.get(key, now) <= now
            and not (line[0].over or line[0].queued or line[0].handoffs)
        ):
            self._join(line[0])
        elif line is not None and not line:
            del self.lines[key]
        if self.rests.get(key, now + 1) <= now:
            del self.rests[key]

    # Memory over a restart: bare figures, gathered and aged elsewhere.

    def recall(self, said: dict) -> None:
        """Before the first submission. Cold and drain rules know nothing of it."""
        self.price, self.best = said["price"], said["best"]
        self.extras, self.honoured = sorted(said["extras"]), sorted(said["honoured"])
        for engine, slowness, bound, rests_until, faults in said["engines"]:
            view = engine.view
            view.slowness.extend(slowness)
            view.faults.extend(faults)
            view.bound, view.rests_until = min(2.0, max(LEAST_BOUND, bound)), rests_until
            if rests_until > self.host.now:
                self.host.wake(rests_until - self.host.now, self._pump)
        for offering, samples in said["offerings"]:
            offering.samples.extend(samples)
            offering.usual = self._usual_work(offering)
        for tenant, offering, share in said["queues"]:
            self.queues[tenant, offering] = RequestQueue(offering, deque(maxlen=INTERVALS), share)

    def key_rests(self, key: int, until: int) -> None:
        """A hand-off of this key may still run, for an earlier start of this gateway."""
        self.rests[key] = max(until, self.rests.get(key, until))
        self.host.wake(until - self.host.now, self.turn, key)

    # Measurements.

    def _learn(self, handoff: Attempt, took: int, work: int, need: float, inflight: float) -> None:
        sub, engine, now, outcome = (
            handoff.submission,
            handoff.engine,
            self.host.now,
            handoff.outcome,
        )
        view, offering = engine.view, sub.offering
        view.load = inflight if inflight >= 0 else view.load
        if handoff.sent < engine.started:
            return  # it speaks of the engine before its restart
        if outcome == HONOURED:
            doubted = not self._trusted(view)
            self._heard(engine)
            view.faults.append("")
            if doubted and self._trusted(view):
                self.host.log(f"back {engine.name} faults={sum(map(bool, view.faults))}")
            alone = max((work or sub.work) / offering.threads, 1)
            offering.samples.append(
                (work / (sub.estimate or 1), need / (sub.memory or 1), work or sub.work)
            )
            offering.usual = self._usual_work(offering)
            view.slowness.append(max(took, 1) / alone)
            if len(view.slowness) >= FEW:
                self.best = min(self.best, max(1.0, median(view.slowness)))
            # Danger: an engine that answers all, but late, is as overrun as one that refuses or times out.
            aim = offering.aim + offering.stretch * alone
            return self._step(view, offering, STEP / 4 if took <= aim else -STEP)
        if outcome == FULL:
            self._heard(engine)
            view.refused_until = now + SECOND
        elif outcome in (ERROR, UNREACHED, RESET):
            self._fault(engine, ("error", "", "", "", "unreached", "reset")[outcome])
        if outcome in (FULL, TIMED_OUT):
            self._step(view, offering, -STEP)

    def _step(self, view: EngineStats, offering: RequestClass, step: float) -> None:
        view.bound = min(2.0, max(LEAST_BOUND, view.bound + step))
        told = min(max(offering.usual / max(self.usual_work, 1.0), LEAST_TOLD), 2.0)
        price = max(self.price, self.least_price) * (1 - step * told)
        self.price = min(price, self.most_price) if price > self.least_price else 0.0

    def _expected_work(self, sub: Request) -> float:
        """The work of a submission: its estimate, corrected by what this offering's answers told."""
        if not sub.estimate:
            return sub.offering.usual
        ratios = [
            ratio for ratio, _, _ in sub.offering.samples if ratio
        ]  # none where answers do not tell
        return sub.estimate * (median(ratios) if len(ratios) >= FEW else 1.0)

    def _usual_work(self, offering: RequestClass) -> float:
        """The usual work of an offering, on the high side while little is known."""
        works = [work for _, _, work in offering.samples]
        return (
            fmean(works)
            if len(works) >= FEW
            else max([2.0 * offering.aim * offering.threads, *works])
        )

    def _time_of(self, sub: Request) -> float:
        return sub.work / sub.offering.threads * self._usual_slowness()
