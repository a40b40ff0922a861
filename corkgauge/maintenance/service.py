"""The works of one program: letters, timers, the file, what operators ask, and what the host is told.

Owns the way between the machines of this package (keeper, scribe, planner, party) and the fellows, the duty, the disk
and the host. Must never decide: it carries. Must never let what a fellow or an operator sends raise out of it.
"""

import json
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import msgpack

from corkgauge.accounting.counter_names import Term
from corkgauge.config.operator_file import MaintenanceConfig
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.clock import boot_time
from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.durable_record import DurableRecord
from corkgauge.maintenance.chunk_transfer import Fetch, piece_of
from corkgauge.maintenance.participant import Participant
from corkgauge.maintenance.plan import NEXT, STATES, Plan
from corkgauge.maintenance.plan_proposer import FETCHING, IDLE, LEADING, PlanProposer
from corkgauge.maintenance.plan_proposer import STATES as SCRIBE_STATES
from corkgauge.maintenance.plan_replica import PIECE, WANT, PlanReplica
from corkgauge.maintenance.planner import Planner
from corkgauge.maintenance.schedule import DEAD, PASSING, WELL, Bounds, EngineFact, OfferingFact
from corkgauge.membership.member_list import ALIVE, LEFT, SUSPECTED
from corkgauge.net.host import SocketHost
from corkgauge.policy.records import AttemptOutcome, EngineState, Repeatability

DUTY = "works"
LOADS = 5  # seconds over which demand is counted
MOST_UNWELL = 24  # engines named in one word
WISH_AGAIN, WISH_TIME = 2_500, 30 * SECOND  # an operator's wish is told again; given up
MOST_WISHES, MOST_WISH = 64, 1_000
COPY_PAUSE = 1_000
MISSED = 600 * SECOND  # that an engine which the list names no more counts as dead


class MaintenanceService:
    """`society` are the fellows, `office` the duties."""

    def __init__(
        self,
        socket_host: SocketHost,
        platform_config: PlatformConfig,
        said: MaintenanceConfig,
        membership: Any,
        office: Any,
    ) -> None:
        self.socket_host, self.event_loop, self.name, self.said = (
            socket_host,
            socket_host.event_loop,
            platform_config.name,
            said,
        )
        self.member_list, self.office = membership.member_list, office
        self.doubts: dict[
            str, int
        ] = {}  # by engine: until when something that we sent may still run
        self.idle: dict[str, int] = {}  # by engine: when it last reported nothing in flight
        self.listed: dict[str, EngineFact] = {}  # as they were when last looked at
        self.missed: dict[str, tuple[EngineFact, int]] = {}  # listed no more, since when
        self.counted: deque[tuple[int, dict[str, int]]] = deque(maxlen=LOADS + 1)
        self.wishes: dict[str, dict[str, Any]] = {}  # of operators here, by their keys
        self.pending: list[tuple[int, str, str, str]] = []  # changes to go, who asked, key, answer
        self.copy: tuple[tuple[int, int], Plan, dict[str, str]] = (0, 0), Plan(), {}
        self.fetch: Fetch | None = None
        self.party: Participant | None = None  # it looks at us as it begins
        drift = 1 + 2 * office.timing.drift
        expiry = max(each.time_to_deadline for each in socket_host.settings.request_classes)
        self.safe = DurableRecord(
            self.event_loop,
            socket_host.log,
            office.settings.folder,
            f"{self.name}.works",
            "works: what was kept is torn, blank at first",
            "works: nothing is written, nothing is confirmed until a restart",
        )
        kept = self.safe.stored or [None, None]
        self.keeper = PlanReplica(
            self, kept[0], 0 if office.settings.folder else office.timing.silence_ticks
        )
        self.scribe = PlanProposer(self)
        self.planner = Planner(
            self,
            self.scribe,
            Bounds(*said.bounds),
            said.each,
            int(said.grant * drift) + 1,
            int(expiry * drift) + socket_host.settings.gateway.options.settle_ticks,
            socket_host.settings.gateway.slow_start.warm_up_ticks,
        )
        socket_host.works = self
        for subject, method in (
            ("plan", self._letter),
            ("works", self._told),
            ("copy", self._copied),
        ):
            self.member_list.calls[subject] = method
        socket_host.routes[b"GET", b"/works"] = self.told
        socket_host.routes[b"POST", b"/works"] = self.asked
        office.add_candidate(DUTY, self)
        self.party = Participant(self, self.name, said.grant, kept[1])
        self.refresh()  # what it remembers holds from the first submission on
        self._count()

    def reload(self, said: MaintenanceConfig) -> None:
        self.said = said
        self.planner.bounds, self.planner.each = Bounds(*said.bounds), said.each
        if said.grant != self.party.grant:
            self.socket_host.log("operator file: works grant changed, in force after a restart")

    def end(self) -> None:
        self.safe.close()
        self.socket_host.works = None

    def waiting(self) -> bool:
        """Is nobody let in yet?"""
        planner = self._holder()
        return self.party.waits(
            self.said.patience, self.member_list.has_joined, planner if planner != self.name else ""
        )

    # The duty.

    def on_lease_gained(self) -> None:
        self.planner.gained(self.office.candidates[DUTY].fencing_token)

    def on_lease_lost(self) -> None:
        self.pending.clear()
        self.planner.lost()

    def may(self, fence: int) -> bool:
        holder = self.office.candidates[DUTY]
        return holder.may_act() and holder.fencing_token == fence

    def hand_on(self, why: str) -> None:
        self.office.hand_over(DUTY, why)

    def outbid(self, fence: int) -> None:
        self.office.candidates[DUTY].on_preempted(fence)

    # What the machines may do.

    @property
    def now(self) -> int:
        return boot_time()

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.event_loop.call_later(max(int(delay), 1), method, *what)

    def log(self, line: str) -> None:
        self.socket_host.log(line)

    def send(self, name: str, body: list[Any]) -> None:
        if name == self.name:
            self.event_loop.call_later(1, self._letter, name, body)
        else:
            self.member_list.call(name, "plan", body)

    def keep(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Both records are one file: what is safe of one is safe of the other."""
        self.safe.write(
            [self.keeper.record(), None if self.party.blank else self.party.record()], then, *what
        )

    def voters(self) -> Sequence[str]:
        return self.office.configuration.names

    def led(self) -> None:
        self.planner.led()

    def agreed(self, changes: Sequence[Any]) -> None:
        self.planner.agreed(changes)
        done = [each for each in self.pending if each[0] <= self.scribe.settled]
        self.pending = [each for each in self.pending if each[0] > self.scribe.settled]
        for _, sender, key, answer in done:
            self._answer(sender, key, answer, "")

    def forgot(self) -> None:
        self.planner.forgot()

    # What the planner may know and do.

    def gateways(self) -> Mapping[str, tuple[str, bool, bool]]:
        members = {
            each.name: (each.zone, each.state in (ALIVE, SUSPECTED), each.state == LEFT)
            for each in self.member_list.members.values()
        }
        return {**members, self.name: (self.member_list.zone, True, False)}

    def engines(self) -> Mapping[str, EngineFact]:
        settings, gateway, now, found = (
            self.socket_host.settings,
            self.socket_host.gateway,
            self.event_loop.now,
            {},
        )
        marks = {
            each.key_scope
            for each in settings.request_classes
            if each.repeatability == Repeatability.KEYED
        }
        for tag, engine_pool in self.socket_host.engine_pools.items():
            engine = engine_pool.engine
            well = engine.state == EngineState.READY
            passing = well and (
                gateway.slow_start.is_warming_up(engine) or engine.stats.ejected_until > now
            )
            zone = str(settings.zones[engine.zone])
            found[tag] = EngineFact(
                tag,
                zone,
                str(settings.kinds[engine.kind]),
                str(engine.cell) if "cell" in marks else zone if "zone" in marks else None,
                engine.cores,
                PASSING if passing else WELL if well else DEAD,
            )
        # Danger: an engine that died is soon listed no more, and its cores would count for nothing that is missing.
        self.missed = {
            tag: (fact, since)
            for tag, (fact, since) in self.missed.items()
            if tag not in found and boot_time() < since + MISSED
        }
        for tag in [tag for tag in self.listed if tag not in found]:
            fact = self.listed[tag]
            self.missed[tag] = replace(fact, state=DEAD), boot_time()
        self.listed = {**found}
        return {**{tag: fact for tag, (fact, _) in self.missed.items()}, **found}

    def request_classes(self, cores: Mapping[str, float]) -> Sequence[OfferingFact]:
        settings = self.socket_host.settings
        return [
            OfferingFact(
                each.name,
                frozenset(str(settings.zones[n]) for n in each.zones),
                frozenset(str(settings.kinds[n]) for n in each.engine_kinds),
                cores.get(each.name, 0.0),
            )
            for each in settings.request_classes
        ]

    def machines(self) -> Mapping[str, Sequence[str]]:
        return dict(self.said.machines)

    def idle_since(self, tags: Sequence[str]) -> int:
        return min((self.idle.get(tag, -1) for tag in tags), default=-1)

    def order(self, name: str, body: list[Any]) -> None:
        self._say(name, ["orders", *body])

    def ask(self, name: str) -> None:
        self._say(name, ["tell", self.scribe.fence])

    def _say(self, name: str, body: list[Any]) -> None:
        if name == self.name:
            self.event_loop.call_later(1, self._told, name, body)
        else:
            self.member_list.call(name, "works", body)

    # What the party may do.

    def refresh(self) -> None:
        for engine_pool in [*self.socket_host.engine_pools.values()]:
            how = self.how(engine_pool.engine.host_reference, engine_pool.address)
            if engine_pool.engine.cordon != how:
                self.socket_host.gateway.on_engine_cordon(engine_pool.engine, how)
        self.office.set_cordoned(self.how(self.name) > 0)

    def quiet(self, tag: str) -> bool:
        """Is nothing of ours open there, in doubt there, or bound to it by its label?"""
        if tag == self.name:
            return self.office.is_idle
        engine_pool = self.socket_host.engine_pools.get(tag)
        if self.event_loop.now < self.doubts.get(tag, 0):
            return False
        if engine_pool is None:
            return True
        engine = engine_pool.engine
        if (
            engine_pool.waiting
            or engine.stats.in_flight
            or any(link.open for link in engine_pool.links)
        ):
            return False
        # Danger: a submission that may have run there, or in its group, may be tried again only there.
        return not any(
            request.request_class.repeatability == Repeatability.KEYED
            and any(
                each.engine is engine for each in (*request.earlier_attempts, *request.attempts)
            )
            for request in self.socket_host.names.values()
        )

    def address(self, tag: str) -> str:
        engine_pool = self.socket_host.engine_pools.get(tag)
        return "" if engine_pool is None else _place(engine_pool)

    def confirmed(self) -> None:
        holder = self.office.candidates[DUTY].known_holder
        if holder:
            self._word(holder)

    # What the host tells and asks.

    def how(self, tag: str, where: tuple[str, int] = ("", 0)) -> int:
        """Of an engine that the list names, perhaps anew."""
        return self.party.how(tag, "%s:%d" % where) if self.party is not None else 0

    def over(self, name: str, outcome: int) -> None:
        """A hand-off there has ended; one that ended in doubt may still run for a while."""
        if outcome in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        ):
            self.doubts[name] = self.event_loop.now + self.socket_host.gateway.options.settle_ticks
            if len(self.doubts) > 4 * len(self.socket_host.engine_pools) + 64:
                self.doubts = {
                    each: until
                    for each, until in self.doubts.items()
                    if until > self.event_loop.now
                }
        engine_pool = self.socket_host.engine_pools.get(name)
        if engine_pool is not None and engine_pool.engine.stats.reported_load == 0:
            self.idle[name] = boot_time()

    # Letters.

    def _letter(self, sender: str, body: Any) -> None:
        """Of the plan: to our keeper, or to our scribe."""
        sort, fence = body[:2]
        leading = self.scribe.state == LEADING and fence == self.scribe.fence
        fetching = (
            self.scribe.state == FETCHING
            and self.scribe.fetch is not None
            and (sender == self.scribe.fetch.whom)
        )
        if sort == PIECE and fetching:
            self.scribe.piece(sender, body)
        elif sort in _TO_SCRIBE or (sort == WANT and leading):
            self.scribe.heard(sender, body)
        else:
            self.keeper.heard(sender, body)

    def _told(self, sender: str, body: Any) -> None:
        """Orders, words, wishes and their answers."""
        what, *rest = body
        if what == "orders":
            fence, number, echo, part, parts, levels = rest
            if self.party.ordered(fence, number, echo, part, parts, levels):
                self._word(sender)
            else:
                self._say(sender, ["no", self.party.stamp[0]])
        elif what == "tell":
            self.party.asked = True
            self._word(sender)
        elif what == "word":
            serial, fence, number, blank, closed, many, loads, unwell, free = rest
            if self.scribe.state != IDLE:
                codec = self.member_list.codec
                start = (
                    codec.incarnation if sender == self.name else codec.peers[sender].incarnation
                )
                self.planner.told(
                    sender,
                    start,
                    serial,
                    fence,
                    number,
                    blank,
                    closed,
                    many,
                    {name: cores / 100 for name, cores in loads.items()},
                    unwell,
                    free,
                )
        elif what == "no":
            self.outbid(int(rest[0]))
        elif what == "wish":
            self._wished(sender, *rest)
        elif what == "answer":
            key, answer, wrong = rest
            if key in self.wishes:
                self.wishes[key].update(answer=answer, wrong=wrong)

    def _word(self, to: str) -> None:
        gateway, now = self.socket_host.gateway, self.event_loop.now
        unwell = [
            each.host_reference for each in gateway.engines if each.stats.ejected_until > now
        ][:MOST_UNWELL]
        loads = {name: int(100 * cores) + 1 for name, cores in self._loads().items()}
        self._say(to, ["word", *self.party.word(), loads, unwell, self.office.is_idle])

    # Measured load.

    def _count(self) -> None:
        rows = self.socket_host.ledger.request_classes
        self.counted.append(
            (self.event_loop.now, {name: row.terms[Term.ACCEPTED] for name, row in rows.items()})
        )
        self.engines()
        self.event_loop.call_later(SECOND, self._count)

    def _loads(self) -> dict[str, float]:
        """Cores that what is asked here needs, by offering: what comes, times its usual work."""
        (begun, before), (now, after) = self.counted[0], self.counted[-1]
        if now <= begun:
            return {}
        return {
            name: (after[name] - before.get(name, 0))
            * self.socket_host.request_classes[name].typical_work
            / (now - begun)
            for name in after
            if name in self.socket_host.request_classes and after[name] > before.get(name, 0)
        }

    # What operators ask.

    def asked(self, body: bytes) -> dict[str, Any]:
        """`{"do": ..., "key", ...}`: told to whoever holds the duty, until it answers. The same key again gives what
        has come of it."""
        said = json.loads(body)
        if len(body) > MOST_WISH:
            raise ValueError(f"{MOST_WISH} octets at most, ask in two")
        key = str(said.get("key", ""))[:64]
        if not key or said.get("do") not in _WISHES:
            raise ValueError(f"expected a key, and one of {', '.join(_WISHES)}")
        wish = self.wishes.get(key)
        if wish is None:
            if len(self.wishes) >= MOST_WISHES:
                self.wishes = {
                    each: one
                    for each, one in self.wishes.items()
                    if one["wrong"] is None and self.event_loop.now < one["until"]
                }
            if len(self.wishes) >= MOST_WISHES:
                raise ValueError(f"{MOST_WISHES} wishes wait, try again")
            wish = self.wishes[key] = {
                "said": said,
                "answer": None,
                "wrong": None,
                "until": self.event_loop.now + WISH_TIME,
            }
            self._wish(key)
        return {"answer": wish["answer"], "wrong": wish["wrong"], "holder": self._holder()}

    def _holder(self) -> str:
        holder = self.office.candidates[DUTY]
        return self.name if holder.may_act() else holder.known_holder

    def _wish(self, key: str) -> None:
        wish = self.wishes.get(key)
        if wish is None or wish["wrong"] is not None:
            return
        if self.event_loop.now >= wish["until"]:
            wish.update(
                wrong="nobody plans now, or its answer did not come; the same id may be asked again"
            )
            return
        holder = self._holder()
        if holder:
            self._say(holder, ["wish", key, json.dumps(wish["said"])])
        self.event_loop.call_later(WISH_AGAIN, self._wish, key)

    def _wished(self, sender: str, key: str, text: str) -> None:
        """At the holder: done, and answered once it is agreed."""
        if not self.may(self.scribe.fence):
            return
        if any(each[1:3] == (sender, key) for each in self.pending):
            return
        said, planner = json.loads(text), self.planner
        by = str(said.get("owner", ""))
        try:
            if not by:
                raise ValueError("expected an owner")
            do = said["do"]
            if do == "ask":
                answer = planner.ask(
                    str(said["id"]),
                    said["kind"],
                    said["names"],
                    by,
                    str(said.get("reason", "")),
                    int(said.get("within", 0)),
                    int(said["lasting"]),
                )
            elif do == "cancel":
                answer = planner.cancel(str(said["id"]), by)
            elif do == "done":
                answer = planner.done(said["names"], by)
            elif do == "hold":
                answer = planner.hold(by if said.get("on", True) else "")
            elif do == "overrule":
                answer = planner.overrule(str(said["unit"]), str(said["gateway"]), by)
            else:
                answer = planner.tell_known(said["out"], by)
        except ValueError as problem:
            if "try again" in str(problem):
                return  # it is told again
            return self._answer(sender, key, "", str(problem))
        except (KeyError, TypeError) as problem:
            return self._answer(
                sender, key, "", f"makes no sense ({type(problem).__name__} {problem})"
            )
        if self.scribe.settled >= self.scribe.proposed:
            return self._answer(sender, key, answer, "")
        self.pending.append((self.scribe.proposed, sender, key, answer))

    def _answer(self, to: str, key: str, answer: str, wrong: str) -> None:
        self._say(to, ["answer", key, answer, wrong[:400]])

    def told(self, asked: bytes = b"") -> dict[str, Any]:
        """The plan as its holder has agreed it; spans are seconds of works time. Elsewhere a copy is fetched, and
        `fresh` tells whether it is the one that our orders are of."""
        holder = self._holder()
        if holder == self.name and self.scribe.state == LEADING:
            stamp, plan, against = self.scribe.stamp, self.scribe.plan, self.planner.against
        else:
            stamp, plan, against = self.copy
            if holder and holder != self.name and (self.fetch is None or self.fetch.over):
                self.fetch = Fetch(_Copying(self), WANT, holder, 0, COPY_PAUSE, self._has_copy)
        return {
            "name": self.name,
            "holder": holder,
            "state": SCRIBE_STATES[self.scribe.state],
            "stamp": [*stamp],
            "fresh": holder == self.name
            or (bool(holder) and stamp >= self.party.stamp and stamp != (0, 0)),
            "forgotten": self.planner.forgotten,
            "time": plan.time / SECOND,
            "known": plan.known,
            "held": plan.held,
            "asks": [
                {
                    "id": each.id,
                    "kind": each.kind,
                    "names": each.names,
                    "owner": each.owner,
                    "reason": each.reason,
                    "count": each.count,
                    "cancelled": each.cancelled,
                    "lasting": each.lasting / SECOND,
                }
                for each in plan.asks.values()
            ],
            "units": [
                {
                    "unit": each.name,
                    "ask": each.ask,
                    "sort": each.sort,
                    "members": each.members,
                    "state": STATES[each.state],
                    "for": (plan.time - each.since) / SECOND,
                    "why": each.why,
                    "against": against.get(each.name, ""),
                    "next": [STATES[n] for n in NEXT.get(each.state, ())],
                }
                for each in plan.units.values()
            ],
            "history": [[*entry] for entry in plan.history],
            "here": {
                "stamp": [*self.party.stamp],
                "blank": self.party.blank,
                "closed": sorted(self.party.closed),
                "levels": {tag: STATES[state] for tag, (state, _) in self.party.levels.items()},
            },
            "counters": {
                **{f"keeper {why}": count for why, count in self.keeper.counts.items()},
                **self.planner.counts,
                "orders refused": self.party.refused,
            },
        }

    # Copies of the plan, for show at gateways that do not plan.

    def _copied(self, sender: str, body: Any) -> None:
        sort = body[0]
        if sort == WANT:
            if self.scribe.state == LEADING and self.scribe.led and self.may(self.scribe.fence):
                stamp = self.scribe.stamp
                data = msgpack.packb([self.scribe.plan.packed(), self.planner.against])
                for index in body[3][:16]:
                    count, piece = piece_of(data, index)
                    if 0 <= index < count:
                        self.member_list.call(
                            sender, "copy", [PIECE, 0, *stamp, index, count, piece]
                        )
        elif sort == PIECE and self.fetch is not None:
            self.fetch.heard(sender, (body[2], body[3]), body[4], body[5], body[6])

    def _has_copy(self, stamp: tuple[int, int], data: bytes) -> None:
        packed, against = msgpack.unpackb(data)
        if stamp >= self.copy[0]:
            self.copy = stamp, Plan.unpacked(packed), against


class _Copying:
    """A fetch of a copy: its letters go under a subject of their own, and not for ever."""

    def __init__(self, yard: MaintenanceService) -> None:
        self.yard, self.left = yard, 40

    def send(self, name: str, body: list[Any]) -> None:
        self.left -= 1
        if self.left < 0 and self.yard.fetch is not None:
            self.yard.fetch.end()
        else:
            self.yard.member_list.call(name, "copy", body)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.yard.event_loop.call_later(delay, method, *what)


_TO_SCRIBE = (1, 3, 4)  # PROMISED, TAKEN, LOW
_WISHES = "ask", "cancel", "done", "hold", "overrule", "known"


def _place(engine_pool: Any) -> str:
    return "%s:%d" % engine_pool.address
