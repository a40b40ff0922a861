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

from corkgauge.policy.host import Host
from corkgauge.policy.records import (
    NEVER_RAN,
    Attempt,
    AttemptOutcome,
    Engine,
    EngineState,
    EngineStats,
    NoteKind,
    Repeatability,
    Request,
    RequestClass,
    RequestQueue,
)

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
        request_classes: list[RequestClass],
        cancels: bool,
        copies: bool,
        max_attempts: int,
        retry_after: int,
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
        self.cancels, self.copies, self.settle, self.retry_after = (
            cancels,
            copies,
            settle,
            retry_after,
        )
        self.max_attempts, self.margin = (
            max_attempts,
            2 * tick + 10,
        )  # ending this early is in time
        self.slots = THREADS_PER_CORE / gateways  # threads a core, where the bound starts
        # A core's worth of work that this gateway may send in a span to an engine that has just started.
        self.cold_part = COLD_SAFETY * 0.85 * fall_multiple * cold_share * fall_span / gateways
        self.cold_share, self.cold_span, self.fall_span = cold_share, cold_span, fall_span
        self.number, self.gateways, self.mean_work = number, gateways, 0.0  # of what is asked for
        self.extra = (extra_floor, extra_share, extra_span) if extra_span else OWN_EXTRA
        self.strict = 1.0  # part of that budget, where the fleet's further hand-offs are a storm
        self.request_classes, self.part, self.wider, self.busy = (
            request_classes,
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
        for request_class in request_classes:
            request_class.answer_samples = deque(
                maxlen=LAST_ANSWERS
            )  # work, memory: true over estimate; true work
            request_class.typical_work = self._usual_work(request_class)
        host.call_later(PERIOD, self.on_feedback_interval)

    # What can happen.

    def on_engine_update(self, engine: Engine, state: int, started: int) -> None:
        """The list names an engine; a drain or departure holds from this moment."""
        if engine.stats is None or started > engine.incarnation:
            engine.stats, engine.threads_in_flight = (
                EngineStats(
                    engine.stats.slow_start_usage if engine.stats else deque(),
                    *(deque(maxlen=LAST) for _ in "sft"),
                ),
                0,
            )
        engine.state, engine.incarnation = state, started
        if before := self.placed.pop(engine, None):
            self.places[before].remove(engine)
        if state == EngineState.READY:
            place = self.placed[engine] = engine.zone, engine.kind
            engine.subset_rank = self._rank(engine.hash_key)
            insort(self.places.setdefault(place, []), engine, key=lambda each: each.subset_rank)

    def on_engine_list_complete(self) -> None:
        # Danger: as a hall goes, all gateways would call at others at once; so it moves when `set_due`.
        if (wanted := self._wanted()) >= 1.0 or not 0.5 <= self.part / wanted <= 2.0:
            self.part = wanted
        self._gather()
        self._pump()

    def on_engine_cordon(self, engine: Engine, how: int) -> None:
        """It is taken out for work (1: nothing new goes there, 2: nothing at all), or given back (0)."""
        engine.cordon = how
        self.orders.clear()
        self._pump()

    def on_peer_health(self, engine: Engine, slowness: float, doubt: int) -> None:
        """Others' findings: how slow it is (0: unknown); 1: one hand-off at a time tells, 2: none now."""
        engine.stats.peer_slowness, engine.stats.peer_suspicion = slowness, doubt

    def on_permit_moved(self, engine: Engine, work: float, when: int) -> None:
        """A turn at a cold engine was passed on (work above 0), or came (below), as if it were sent then."""
        engine.stats.slow_start_usage.append((when, work))

    def on_request(self, request: Request) -> None:
        """A client's submission; from now on one final answer is owed."""
        request_class = request.request_class
        if (request.tenant, request_class) not in self.queues:
            self.queues[request.tenant, request_class] = RequestQueue(
                request_class, deque(maxlen=INTERVALS)
            )
            for each in self.queues.values():
                each.share = 1 / len(self.queues)
        request.queue = self.queues[request.tenant, request_class]
        request.expected_work = self._expected_work(request)
        request.latency_objective = (
            request_class.latency_objective
            + request_class.objective_stretch * request.expected_work / request_class.threads
        )
        # Danger: a gateway whose own processor is full answers all late; so then it dismisses what comes.
        if request.time_to_deadline <= self.margin or self.host.lag > 2 * MOMENT:
            return self._end(request)
        self.host.call_later(request.time_to_deadline - self.margin, self.on_deadline_near, request)
        if request_class.ordered and request.order_key:
            line = self.lines.setdefault(request.order_key, deque())
            line.append(request)
            # Danger: in a line longer than its promise all start too late. The heaviest go, so most do not.
            while len(
                ahead := [each for each in line if not (each.is_finished or each.attempts)]
            ) > 1 and (sum(map(self._time_of, ahead)) > request.latency_objective):
                self._end(max(ahead, key=lambda each: each.expected_work))
            patience = max(
                request.latency_objective - self._time_of(request),
                request.time_to_deadline * WAIT_PART,
            )
            self.host.call_later(int(patience), self.on_queue_wait_over, request, 0)
            self.turn(request.order_key)
        else:
            self._join(request)

    def on_client_left(self, request: Request) -> None:
        if not request.is_finished:
            self._close(
                request, request.time_to_deadline
            )  # the client has gone; nothing more is owed

    def on_deadline_near(self, request: Request) -> None:
        if not request.is_finished:
            self._end(request)

    def on_queue_wait_over(self, request: Request, joined: int) -> None:
        """A submission has waited its part in vain: it is dismissed."""
        if not request.is_finished and joined == len(
            request.attempts
        ):  # the pump would have sent it, had it found a slot
            # A second copy that found no place is forgotten: the first still runs.
            (self._unqueue if any(h.is_in_flight for h in request.attempts) else self._end)(request)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: int,
        took: int,
        finished: bool,
        work: int,
        need: float,
        inflight: float,
    ) -> None:
        """A hand-off has its outcome; the first answer has gone to the client by itself."""
        request, engine = attempt.request, attempt.engine
        attempt.is_in_flight, attempt.outcome = False, outcome
        if attempt in engine.stats.in_flight:
            engine.stats.in_flight.remove(attempt)
            engine.threads_in_flight -= request.request_class.threads
        self._learn(attempt, took, work, need, inflight)
        if not request.is_finished:
            if finished or outcome == AttemptOutcome.SUCCEEDED:
                # Danger: what strangers send that no engine can use must not buy further hand-offs.
                insort(self.honoured, request.accepted_at)
                self._close(request, took + attempt.sent_at - request.accepted_at)
            elif not any(h.is_in_flight for h in request.attempts) and not request.is_queued:
                (self._join if self._may_again(request) else self._end)(request)
        passed = [
            h
            for h in engine.stats.in_flight
            if h.sent_at < attempt.sent_at and h.expected_duration <= attempt.expected_duration
        ]
        for late in passed if outcome == AttemptOutcome.SUCCEEDED else ():
            # Danger: an answer that was lost, or comes late, though its engine is well: later ones of no less
            # work came first, and it is long overdue. Under pressure (a price) copies would crowd out others.
            late.overtaken_count += not self.price
            if (
                late.overtaken_count >= FEW
                and self.host.now - late.sent_at > OVERDUE * self._time_of(late.request)
            ):
                self._rescue(late, HEDGE)
        self.turn(request.order_key)
        self._pump()

    def on_attempt_progress(self, attempt: Attempt, sort: int, value: float) -> None:
        """A note from the engine on a hand-off that is out."""
        request, now = attempt.request, self.host.now
        self._heard(attempt.engine)
        attempt.overtaken_count = 0
        if (
            sort != NoteKind.PROGRESS
            or value <= 0
            or request.is_finished
            or not attempt.is_in_flight
        ):
            return
        # Danger: a bad plan, or a slow engine, holds threads for many times the work; 3, as estimates err.
        left = (now - attempt.sent_at) * (1 - value) / value
        if self.cancels and left > 3 * self._time_of(request):
            self._rescue(attempt)

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Directly before its first byte, for which it may have waited: does what it rests on still hold?"""
        request, engine, now = attempt.request, attempt.engine, self.host.now
        ran = [h for h in self._ran(request) if h is not attempt]
        # Danger: an engine that was started anew meanwhile is a cold one, and was given no part of this.
        if (
            request.is_finished
            or engine.state != EngineState.READY
            or attempt not in engine.stats.in_flight
            or (self._set_aside(request, engine, ran) or not self._repeatable(request, ran))
        ):
            return False
        if attempt.number and attempt.sent_at + MOMENT < now and attempt.sent_at in self.extras:
            self.extras.remove(attempt.sent_at)  # it counts in the budget's span from now
            if not self._extra_left():
                return False
            insort(self.extras, now)
        return True

    def on_answer_overdue(self, attempt: Attempt) -> None:
        view, now, usual = attempt.engine.stats, self.host.now, self._usual_slowness()
        # Danger: an engine that takes work and answers nothing. Any sign clears it; one long or light draw is
        # no proof: all that is out there must have lasted several times the usual since that sign.
        if (
            attempt.is_in_flight
            and not attempt.request.is_finished
            and view.last_heard_at < attempt.sent_at
        ):
            if (
                sum(
                    (now - max(h.sent_at, view.last_heard_at))
                    / max(h.expected_duration, h.typical_duration)
                    for h in view.in_flight
                )
                > SILENT * usual
            ):
                self._fault(attempt.engine, "silent")
                self._rescue(attempt)
            else:
                self.host.call_later(
                    max((now - attempt.sent_at) // 2, 1), self.on_answer_overdue, attempt
                )

    def on_feedback_interval(self) -> None:
        """Feedback: shares move a bounded step towards equal weighted badness."""
        self.host.call_later(PERIOD, self.on_feedback_interval)
        self._extra_left()  # Danger: what only a need trims grows while there is none
        self.orders.clear()  # Danger: strangers name table groups without end
        request_classes = [queue.request_class for queue in self.queues.values()]
        self.usual_work = fmean(
            [request_class.typical_work for request_class in request_classes] or [0.0]
        )
        worths = [each.priority_weight / each.typical_work for each in request_classes] or [0.0]
        self.least_price, self.most_price = min(worths) / LAST, max(worths)
        # Danger: a price that holds all back meets no answer that could lower it. Hundreds of late answers at
        # once would raise it out of reach for minutes; so it also stays where the usual best draw still goes.
        self.price *= 1 - 2 * STEP
        for queue in self.queues.values():
            queue.recent_arrivals += len(queue.shortfalls) - queue.recent_arrivals / LAST
        asked = [
            (queue.recent_arrivals, queue.recent_arrivals * queue.request_class.typical_work)
            for queue in self.queues.values()
        ]
        self.mean_work = sum(work for _, work in asked) / (sum(count for count, _ in asked) or 1.0)
        if self._wanted() < 1.0:
            # Danger: gateways that started at one moment would all change their sets at one moment.
            self.host.call_later(
                crc32(pack("<qQ", self.number, self.host.now)) % PERIOD, self.on_subset_update_due
            )
        moving = [queue for queue in self.queues.values() if queue.shortfalls]
        for queue in moving:
            late, queue.shortfalls = sorted(queue.shortfalls), []
            queue.share_history.append((queue.share, 1 / max(late[int(0.99 * len(late))], 1e-3)))
        self._equalise(moving)

    def on_subset_update_due(self) -> None:
        """The set is wider while engines of it do badly, or this gateway has several times its part."""
        many, bad, was = (
            len(self.engines),
            sum(not self._trusted(e.stats) for e in self.engines),
            self.wider,
        )
        self.wider = min(many / max(many - bad, 1), WIDEST)
        usual = (
            self.slots
            * fmean([e.cores for e in self.engines] or [1.0])
            * len(self.placed)
            * SEVERAL
        )
        asked = sum(
            queue.recent_arrivals * queue.request_class.typical_work
            for queue in self.queues.values()
        ) / (LAST * PERIOD)
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
            share, p = queue.share_history[-1]
            mean_a, mean_p = (
                fmean(a for a, _ in queue.share_history),
                fmean(q for _, q in queue.share_history),
            )
            spread = sum((a - mean_a) ** 2 for a, _ in queue.share_history)
            rise = sum((a - mean_a) * (q - mean_p) for a, q in queue.share_history)
            slope = max(rise / spread if spread > 1e-9 else 0.0, 1.0)
            # Earnings for the time that a slot is held: per offering alone, heavy ones would take them all.
            weight = queue.request_class.priority_weight * SECOND / queue.request_class.typical_work
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
            for request in queue.waiting[:LAST]:
                if engine := self._choose(request):
                    self._release(request, engine)
                if engine or not request.attempts:  # the others have no more choice than this one
                    break
            if not engine or not queue.waiting:
                able.remove(queue)

    def _join(self, request: Request) -> None:
        request.is_queued = True
        insort(request.queue.waiting, request, key=lambda each: each.expected_work)
        self.host.call_later(
            int(request.time_to_deadline * WAIT_PART),
            self.on_queue_wait_over,
            request,
            len(request.attempts),
        )
        # Danger: under overload a walk of all queues for each that joins takes the whole processor.
        self._pump(request.queue)

    def _unqueue(self, request: Request) -> None:
        if request.is_queued:
            request.is_queued = False
            request.queue.waiting.remove(request)

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
        for request_class in self.request_classes:
            able = [place for place in self.places if self._open_to(request_class, *place)]
            many = sum(len(self.places[place]) for place in able)
            # Danger: of a kind that few engines are of, or that fail, a set may hold none.
            request_class.subset_rank_limit = min(
                max(self.part, AT_HAND * self.wider / max(many, 1)), 1.0
            )
            if (
                sum(
                    self._trusted(e.stats)
                    for place in able
                    for e in self._first(place, request_class.subset_rank_limit)
                )
                < FEW
            ):
                request_class.subset_rank_limit = (
                    sorted(
                        e.subset_rank
                        for place in able
                        for e in self.places[place]
                        if self._trusted(e.stats)
                    )
                    + FEW * [1.0]
                )[FEW - 1]
            bars.update(
                (place, max(bars[place], request_class.subset_rank_limit)) for place in able
            )
        self.engines = [engine for place, bar in bars.items() for engine in self._first(place, bar)]
        for near, engines in (False, held), (True, self.engines):
            for engine in engines:
                engine.in_subset = near
        self.all_warm = max((e.incarnation for e in self.engines), default=0) + self.cold_span
        self.orders.clear()

    def _first(self, place: tuple[int, int], bar: float) -> list[Engine]:
        return self.places[place][
            : bisect_right(self.places[place], bar, key=lambda each: each.subset_rank)
        ]

    def _beyond(self, request: Request, tried: list[Engine]) -> Engine | None:
        """Danger: those that know the label of what may have run may all lie outside the working set."""
        request_class, ran = request.request_class, self._ran(request)
        what = (
            {"zone": "zone", "cell": "cell"}.get(request_class.key_scope)
            if request_class.repeatability == Repeatability.KEYED
            else ""
        )
        if len(self.engines) == len(self.placed) or not (ran and what):
            return None
        usual, key = self._usual_slowness(), (what, getattr(ran[-1].engine, what))
        if key not in self.orders:
            self.orders[key] = [e for e in self.placed if getattr(e, what) == key[1]]
        able = [e for e in self.orders[key] if e not in tried and self._may(request, e)]
        able = [
            e
            for e in [e for e in able if self._well(e)] or able
            if not self._full(e, request_class, usual)
        ]
        return min(
            able,
            key=lambda each: (self._crowd(each, request_class, usual), each.subset_rank),
            default=None,
        )

    def _open_to(self, request_class: RequestClass, zone: int, kind: int) -> bool:
        return zone in (request_class.zones or (zone,)) and kind in (
            request_class.engine_kinds or (kind,)
        )

    def _order(self, tables: float, bar: float = 1.0) -> list[Engine]:
        """The working set, in the order hashed from the table group: alike at every gateway."""
        if (tables, bar) not in self.orders:
            mark = b"%d:" % int(tables)
            # Danger: what a narrow offering needs is in many sets, and would draw all others' work from each.
            self.orders[tables, bar] = sorted(
                (e for e in self.engines if e.cordon < 2 and e.subset_rank <= bar),
                key=lambda e: (crc32(mark + e.hash_key), e.hash_key),
            )
        return self.orders[tables, bar]

    def _choose(self, request: Request) -> Engine | None:
        """The engine for the next hand-off; None while all that it may use are full."""
        # Danger: hundreds of gateways, each below its bound, overrun the engines together: hence the price.
        if request.expected_work * self.price > request.request_class.priority_weight or (
            request.attempts and not (self._may_again(request) and self._extra_left())
        ):
            return None
        usual, tried = self._usual_slowness(), [h.engine for h in request.attempts]
        order = self._order(request.table_group, request.request_class.subset_rank_limit)
        drawn, work = sum(e.stats.recent_work for e in order), request.request_class.typical_work
        even = EVEN * drawn / max(sum(e.cores for e in order), 1)
        wide = home = 0
        # Danger: under a price the warm engines are overrun, while turns at cold ones further on lapse.
        all_of_them = self.price > 0 and self.host.now < self.all_warm
        if thin := self.slots * max((e.cores for e in order), default=0) < 1.0:
            # Danger: hundreds of gateways with a few submissions each all send a group's first to the same
            # engine. A group needs as many homes as its part of the work is engines; each begins at its own.
            wide = (
                EVEN
                * len(order)
                * (self.groups.get(request.table_group, 0.0) + work)
                / (drawn + work)
            )
            wide = min(max(int(wide), 1), len(order))
            home = crc32(pack("<Qd", self.number, request.table_group)) * wide >> 32
        # Danger: engines that fail, are silent or refuse. Never all of them at once: when none does well,
        # the trouble is likely not theirs, and all are used.
        for well, fresh in (True, True), (True, False), (False, True), (False, False):
            if not (well and fresh) and (beyond := self._beyond(request, tried)):
                return beyond
            near, spare, seen = [], [], 0
            for n, engine in enumerate(order):
                if (
                    (engine not in tried or not fresh)
                    and self._may(request, engine)
                    and (not well or self._well(engine))
                ):
                    seen += 1
                    if not self._full(engine, request.request_class, usual):
                        # Danger: a gateway that holds one hand-off at a time sees no crowd at a home that all
                        # gateways share; so its last work is spread by cores, whatever is out.
                        # A cold engine's part is small and lapses, so it counts as the nearest.
                        far = (
                            0.0
                            if self._cold(engine)
                            else HOME * ((seen - 1 - home) % wide if seen <= wide else seen)
                        )
                        (
                            spare
                            if engine.stats.recent_work > even * engine.cores + thin * work
                            else near
                        ).append((self._crowd(engine, request.request_class, usual) + far, n))
                    if near and seen >= max(NEAR, wide) and not all_of_them:
                        break
            if seen:
                return order[min(near or spare)[1]] if near or spare else None

    def _may(self, request: Request, engine: Engine) -> bool:
        """The rules on where a submission may go."""
        request_class = request.request_class
        if not self._open_to(request_class, engine.zone, engine.kind) or (
            request_class.repeatability == Repeatability.KEYED
            and any(
                (request_class.key_scope == "zone" and engine.zone != h.engine.zone)
                or (request_class.key_scope == "cell" and engine.cell != h.engine.cell)
                for h in self._ran(request)
            )
        ):
            return False
        return not self._set_aside(request, engine, self._ran(request)) and (
            not self._cold(engine) or self._cold_room(engine, request_class.typical_work)
        )

    def _set_aside(self, request: Request, engine: Engine, ran: list[Attempt]) -> bool:
        # Danger: what may have run is tried again only where its mark is known, even where that drains.
        return (
            engine.cordon > 1
            or bool(engine.cordon)
            and (
                request.request_class.repeatability != Repeatability.KEYED
                or request.request_class.key_scope == "all"
                or not ran
            )
        )

    def _cold(self, engine: Engine) -> bool:
        return bool(engine.incarnation) and self.host.now < engine.incarnation + self.cold_span

    def _cold_room(self, engine: Engine, work: float) -> bool:
        """May this gateway send so much work to a cold engine now?"""
        since, part = self.host.now - self.fall_span, self.cold_part * engine.cores
        spent = sum(w for when, w in engine.stats.slow_start_usage if when > since)
        # Danger: with hundreds of gateways a part is below one submission; those in turn by number send one,
        # of whatever weight: turns for each weight would add up to the budget once for each.
        usual = self.mean_work or work
        work, thin = (usual, True) if part < usual else (work, False)
        # Danger: if all turns passed on at one moment, two sets of gateways would send within one span.
        moved = (
            TURNING * min(part / usual, 1) * (self.host.now - engine.incarnation) / self.fall_span
        )
        turn = (self.number * GOLDEN + crc32(engine.hash_key) / 2**32 + moved) % 1
        # Danger: a gateway that restarts does not know what it sent before.
        return since >= self.born and work * turn <= part - spent and not (thin and spent > 0)

    def _heard(self, engine: Engine) -> None:
        engine.stats.last_heard_at = self.host.now
        self.lost.pop(engine.zone, None)

    def _well(self, engine: Engine) -> bool:
        """Not at rest; after a rest one hand-off tells, whatever long ones are still out from before."""
        view, lost = engine.stats, self.lost.get(engine.zone, {})
        # Danger: each engine of a hall that is cut off would be found by losses of its own. Once two are lost
        # without a sign from any there between, one hand-off a rest tells of the hall.
        dark = len(lost) > 1 and self.host.now < max(lost.values()) + REST
        if dark or view.peer_suspicion > 1 or view.peer_suspicion and view.in_flight:
            return False
        return self.host.now >= view.ejected_until and (
            self._trusted(view) or all(h.sent_at < view.ejected_until for h in view.in_flight)
        )

    def _full(self, engine: Engine, request_class: RequestClass, usual: float) -> bool:
        """The bound acts under pressure only: latency well above its best, or a submission a core told."""
        # Danger: with hundreds of gateways a part is less than one submission, and the busy ones starve.
        slots = engine.stats.limit_factor * max(self.slots * engine.cores, request_class.threads)
        slots *= LIGHT if request_class.typical_work < self.usual_work else 1
        view, now = engine.stats, self.host.now
        pressed = (view.reported_load >= engine.cores and now < view.last_heard_at + PERIOD) or (
            self._slow(view, usual) > PRESSED * self.best
        )
        # Danger: between two bad samples the bound would not act, and a whole queue goes out at once.
        slots = slots if pressed else max(slots, CROWDED * engine.cores)
        return (
            0 < engine.threads_in_flight > slots - request_class.threads or now < view.refused_until
        )

    def _crowd(self, engine: Engine, request_class: RequestClass, usual: float) -> float:
        """This gateway's threads a core, were it sent there; a slower engine has fewer cores in effect."""
        pace = max(
            1.0,
            self._slow(engine.stats, usual) / usual,
            1 / self.cold_share if self._cold(engine) and not self.price else 1,
        )
        return (engine.threads_in_flight + request_class.threads) / engine.cores * pace

    def _slow(self, view: EngineStats, otherwise: float) -> float:
        """The median slowness of an engine's last answers, and of what is out longer than those took."""
        now = self.host.now
        if now >= view.slowness_valid_until:
            usual = median(view.slowness_samples) if len(view.slowness_samples) >= FEW else 0.0
            # Danger: an engine that stalls or slows sends no bad samples; its silence must count as one.
            ages = [(now - h.sent_at) / h.expected_duration for h in view.in_flight]
            seen = [*view.slowness_samples, *(age for age in ages if age > max(usual, UNSEEN))]
            view.slowness_valid_until, view.slowness = (
                now + MOMENT,
                median(seen) if len(seen) >= FEW else 0.0,
            )
        return view.slowness or view.peer_slowness or otherwise

    def _trusted(self, view: EngineStats) -> bool:
        """After a lost connection or silence one good answer is enough; errors may come between good ones."""
        return view.fault_history.count("error") < 2 and not (
            view.fault_history and view.fault_history[-1]
        )

    def _usual_slowness(self) -> float:
        """The median of all engines; worked out once in a while, since every event asks for it."""
        if self.host.now >= self.usual[0]:
            seen = [slow for e in self.engines if (slow := self._slow(e.stats, 0.0))]
            self.usual = self.host.now + MOMENT, median(seen) if seen else UNSEEN
        return self.usual[1]

    def _fault(self, engine: Engine, why: str) -> None:
        """An engine did badly: it rests, twice as long each time among its last few."""
        view, now = engine.stats, self.host.now
        if why != "error":
            self.lost.setdefault(engine.zone, {})[engine] = now
        if (why, now) not in view.trouble_history:
            view.trouble_history.append((why, now))
        # Danger: what befalls all alike, as spoilt answers, broken links or what clients send, is no engine's
        # fault, and rests would leave none. It is its own where most of the others had far less of it lately.
        own, *had = [
            sum(w == why and t > now - ALIKE for w, t in each.trouble_history)
            for each in (view, *(e.stats for e in self.engines if e.stats is not view))
        ]
        if (
            why in ("error", "reset")
            and had
            and (few := sorted(had)[len(had) // 2])
            and own <= 2 * few + 2
        ):
            return
        view.fault_history.append(why)
        bad = sum(map(bool, view.fault_history))
        if now >= view.ejected_until:
            rest = REST * 2 ** min(bad - 1, 4)
            view.ejected_until = now + rest
            self.host.call_later(rest, self._pump)
            self.host.log(f"rest {engine.name} {why} faults={bad} for={rest}")

    # Hand-offs.

    def _release(self, request: Request, engine: Engine) -> None:
        """Hand a submission off, with its memory and its priority."""
        now, request_class = self.host.now, request.request_class
        self._unqueue(request)
        self.extras += [now] if request.attempts else []
        priority = 3 if request.queue.share * len(self.queues) >= 0.999 else 2
        # Danger: heavy draws crowd light ones out on the engine's cores too; one in order holds its line.
        if not request_class.ordered:
            priority -= sum(request.expected_work > part * self.usual_work > 0 for part in TIERS)
        self.host.set_resources(request, self._grant(request, engine), max(priority, 0))
        attempt = Attempt(
            request,
            engine,
            len(request.attempts),
            now,
            max(request.expected_work / request_class.threads, 1),
            request_class.typical_work / request_class.threads,
        )
        request.attempts.append(attempt)
        engine.threads_in_flight += request_class.threads
        engine.stats.in_flight.append(attempt)
        if len(lost := self.lost.get(engine.zone, ())) > 1:
            lost[engine] = now
        engine.stats.slow_start_usage.append((now, request_class.typical_work))
        while (
            engine.stats.slow_start_usage
            and engine.stats.slow_start_usage[0][0] <= now - self.fall_span
        ):
            engine.stats.slow_start_usage.popleft()
        engine.stats.recent_work += request_class.typical_work
        self.last.append((engine.stats, request_class.typical_work, request.table_group))
        self.groups[request.table_group] = (
            self.groups.get(request.table_group, 0.0) + request_class.typical_work
        )
        if len(self.last) > LAST * len(self.engines):
            view, work, tables = self.last.popleft()
            view.recent_work -= work
            self.groups[tables] -= work
            if self.groups[tables] < 1:
                del self.groups[tables]
        self.host.send_attempt(
            attempt, max(1, request.accepted_at + request.time_to_deadline - now - self.margin // 2)
        )
        self.host.call_later(
            int(max(0.5 * request.latency_objective, 2 * self._time_of(request))),
            self.on_answer_overdue,
            attempt,
        )

    def _grant(self, request: Request, engine: Engine) -> float:
        """Memory as estimated, corrected by what answers told; 0 leaves it to the engine."""
        ratios = sorted(need for _, need, _ in request.request_class.answer_samples if need)
        known = request.estimated_memory and len(ratios) >= FEW
        return (
            min(request.estimated_memory * ratios[int(0.85 * len(ratios))], engine.max_memory)
            if known
            else 0.0
        )

    def _rescue(self, attempt: Attempt, share: float = 1.0) -> None:
        """Try a hand-off that does badly elsewhere: called off first, or a second copy."""
        request = (
            attempt.request
        )  # Danger: copies on suspicion must leave budget for what is lost for sure
        if not (request.is_finished or attempt.is_cancelled or request.is_queued) and (
            self._may_again(request) and self._extra_left(share)
        ):
            if self.cancels:
                self._call_off(attempt)
            elif self.copies and sum(h.is_in_flight for h in request.attempts) < 2:
                self._join(request)

    def _may_again(self, request: Request) -> bool:
        """The rule on effects: may there be another hand-off, whatever the budget says?"""
        ran = self._ran(request)
        # Danger: what two engines cannot use speaks against the submission; more would spend others' budget.
        return (
            len(request.attempts) < self.max_attempts
            and sum(h.outcome == AttemptOutcome.ERROR for h in ran) < 2
            and (self._repeatable(request, ran))
        )

    def _repeatable(self, request: Request, ran: list[Attempt]) -> bool:
        return (
            not ran
            or request.request_class.repeatability == Repeatability.IDEMPOTENT
            or (
                request.request_class.repeatability == Repeatability.KEYED
                and (self.host.now < ran[0].sent_at + request.request_class.key_ttl - self.margin)
            )
        )

    def _ran(self, request: Request) -> list[Attempt]:
        return [
            *request.earlier_attempts,
            *(h for h in request.attempts if h.outcome not in NEVER_RAN),
        ]

    def _extra_left(self, share: float = 1.0) -> bool:
        """The budget of further hand-offs; where none is stated, one of our own against retry storms."""
        floor, part, span = self.extra
        for whens in self.honoured, self.extras:
            del whens[: bisect_right(whens, self.host.now - span)]
        return len(self.extras) + 1 <= share * self.strict * (floor + part * len(self.honoured))

    def _end(self, request: Request) -> None:
        """The gateway gives a submission up: the answer goes at once."""
        harmless = (
            request.request_class.repeatability == Repeatability.IDEMPOTENT
            or not self._ran(request)
            or (
                request.request_class.repeatability == Repeatability.KEYED
                and request.request_class.key_scope == "all"
            )
        )
        # Danger: closing lets the next of its key go, so the answer comes first.
        self.host.reject(request, self.retry_after) if harmless else self.host.fail(request)
        self._close(request, request.time_to_deadline)

    def _close(self, request: Request, latency: int) -> None:
        """A submission is over, however it ended; the starved ones count as badness too."""
        self._unqueue(request)
        request.is_finished = True
        request.queue.shortfalls.append(latency / max(request.latency_objective, 1))
        for attempt in request.attempts:
            self._call_off(attempt)
        self.turn(request.order_key)

    def _call_off(self, attempt: Attempt) -> None:
        if self.cancels and attempt.is_in_flight and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self.host.cancel_attempt(attempt)

    def turn(self, key: int) -> None:
        """Let the next of a key go, once all before it are over and their hand-offs have outcomes."""
        line, now = self.lines.get(key), self.host.now
        while line and line[0].is_finished and not any(h.is_in_flight for h in line[0].attempts):
            if any(
                h.outcome
                in (
                    AttemptOutcome.TIMED_OUT,
                    AttemptOutcome.CONNECTION_RESET,
                    AttemptOutcome.CANCELLED,
                )
                for h in line.popleft().attempts
            ):
                self.rests[key] = now + self.settle
                self.host.call_later(
                    self.settle, self.turn, key
                )  # Danger: a key that never comes again stays
        if (
            line
            and self.rests.get(key, now) <= now
            and not (line[0].is_finished or line[0].is_queued or line[0].attempts)
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
            view = engine.stats
            view.slowness_samples.extend(slowness)
            view.fault_history.extend(faults)
            view.limit_factor, view.ejected_until = min(2.0, max(LEAST_BOUND, bound)), rests_until
            if rests_until > self.host.now:
                self.host.call_later(rests_until - self.host.now, self._pump)
        for request_class, samples in said["offerings"]:
            request_class.answer_samples.extend(samples)
            request_class.typical_work = self._usual_work(request_class)
        for tenant, request_class, share in said["queues"]:
            self.queues[tenant, request_class] = RequestQueue(
                request_class, deque(maxlen=INTERVALS), share
            )

    def hold_order_key(self, key: int, until: int) -> None:
        """A hand-off of this key may still run, for an earlier start of this gateway."""
        self.rests[key] = max(until, self.rests.get(key, until))
        self.host.call_later(until - self.host.now, self.turn, key)

    # Measurements.

    def _learn(self, attempt: Attempt, took: int, work: int, need: float, inflight: float) -> None:
        request, engine, now, outcome = (
            attempt.request,
            attempt.engine,
            self.host.now,
            attempt.outcome,
        )
        view, request_class = engine.stats, request.request_class
        view.reported_load = inflight if inflight >= 0 else view.reported_load
        if attempt.sent_at < engine.incarnation:
            return  # it speaks of the engine before its restart
        if outcome == AttemptOutcome.SUCCEEDED:
            doubted = not self._trusted(view)
            self._heard(engine)
            view.fault_history.append("")
            if doubted and self._trusted(view):
                self.host.log(f"back {engine.name} faults={sum(map(bool, view.fault_history))}")
            alone = max((work or request.expected_work) / request_class.threads, 1)
            request_class.answer_samples.append(
                (
                    work / (request.estimated_work or 1),
                    need / (request.estimated_memory or 1),
                    work or request.expected_work,
                )
            )
            request_class.typical_work = self._usual_work(request_class)
            view.slowness_samples.append(max(took, 1) / alone)
            if len(view.slowness_samples) >= FEW:
                self.best = min(self.best, max(1.0, median(view.slowness_samples)))
            # Danger: an engine that answers all, but late, is as overrun as one that refuses or times out.
            aim = request_class.latency_objective + request_class.objective_stretch * alone
            return self._step(view, request_class, STEP / 4 if took <= aim else -STEP)
        if outcome == AttemptOutcome.ENGINE_FULL:
            self._heard(engine)
            view.refused_until = now + SECOND
        elif outcome in (
            AttemptOutcome.ERROR,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.CONNECTION_RESET,
        ):
            self._fault(engine, ("error", "", "", "", "unreached", "reset")[outcome])
        if outcome in (AttemptOutcome.ENGINE_FULL, AttemptOutcome.TIMED_OUT):
            self._step(view, request_class, -STEP)

    def _step(self, view: EngineStats, request_class: RequestClass, step: float) -> None:
        view.limit_factor = min(2.0, max(LEAST_BOUND, view.limit_factor + step))
        told = min(max(request_class.typical_work / max(self.usual_work, 1.0), LEAST_TOLD), 2.0)
        price = max(self.price, self.least_price) * (1 - step * told)
        self.price = min(price, self.most_price) if price > self.least_price else 0.0

    def _expected_work(self, request: Request) -> float:
        """The work of a submission: its estimate, corrected by what this offering's answers told."""
        if not request.estimated_work:
            return request.request_class.typical_work
        ratios = [
            ratio for ratio, _, _ in request.request_class.answer_samples if ratio
        ]  # none where answers do not tell
        return request.estimated_work * (median(ratios) if len(ratios) >= FEW else 1.0)

    def _usual_work(self, request_class: RequestClass) -> float:
        """The usual work of an offering, on the high side while little is known."""
        works = [work for _, _, work in request_class.answer_samples]
        return (
            fmean(works)
            if len(works) >= FEW
            else max([2.0 * request_class.latency_objective * request_class.threads, *works])
        )

    def _time_of(self, request: Request) -> float:
        return request.expected_work / request.request_class.threads * self._usual_slowness()
