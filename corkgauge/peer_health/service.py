"""Sharing, in one program: letters, timers, what the module is told, what operators see.

Owns the way between this package's decisions, the fellows and the host. Must never decide, never tell the module more
than a hint, a doubt and a part of its own rule, and never cost more letters the more fellows there are.
"""

import os
from statistics import median
from typing import Any

from corkgauge.config.operator_file import PeerHealthConfig
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.clock import boot_time
from corkgauge.eventloop.loop import SECOND
from corkgauge.peer_health.aggregation import NONE, OWN, Opinion, opinion
from corkgauge.peer_health.permit_transfer import PermitTransfer
from corkgauge.peer_health.reports import (
    ERROR,
    FAULTS,
    RESET,
    SILENT,
    UNREACHED,
    WELL,
    HealthReports,
)
from corkgauge.peer_health.retry_throttle import RetryThrottle
from corkgauge.policy.records import EngineState

CODES = {"error": ERROR, "reset": RESET, "unreached": UNREACHED, "silent": SILENT}
NOTABLE = 2.0  # times the usual slowness, from which it is worth telling
ROOM = 1_000  # octets of findings in one letter
TOLD_AT_ONCE = 2  # fellows, each period
REPAIR_EACH = 6  # periods between two comparisons with a fellow
MOST_TURNS = 40  # cold engines that are looked at for turns to pass on, a look
TURN_LOOK = 1_000  # tenths of a millisecond between two such looks
TRIALS = 8  # gateways at a time that try an engine which many doubt


class PeerHealthService:
    """`house` has `hub`, `log`, `gateway`, `stations`, `ledger` and `routes`; `society` are the fellows."""

    def __init__(
        self,
        socket_host: Any,
        platform_config: PlatformConfig,
        said: PeerHealthConfig,
        membership: Any,
    ) -> None:
        self.socket_host, self.event_loop, self.name, self.said = (
            socket_host,
            socket_host.event_loop,
            platform_config.name,
            said,
        )
        self.membership, self.member_list = membership, membership.member_list
        self.findings = HealthReports(self.name, self.member_list.letters.start)
        self.storm = RetryThrottle(self.name)
        self.turns = PermitTransfer(socket_host.gateway.fall_span)
        self.opinions: dict[str, Opinion] = {}
        self.changed: set[str] = set()  # engines on which something new was heard
        self.serial = self.rounds = 0
        self.refused_before = 0
        self.want = 0.0  # submissions a second that found no place here
        self.octets = self.allowance = 0
        self.member_list.calls["findings"] = self.heard
        self.member_list.calls["repair"] = self.compared
        self.member_list.calls["turn"] = self.turn_came
        socket_host.routes[b"GET", b"/shared"] = self.told
        self.event_loop.call_later(said.each, self.period)
        if socket_host.gateway.cold_span:
            self.event_loop.call_later(TURN_LOOK, self.look_at_turns)

    def reload(self, said: PeerHealthConfig) -> None:
        self.said = said

    def end(self) -> None:
        pass

    # Periods.

    def period(self) -> None:
        """Our own findings, some of what we know to a few, what all of it comes to here."""
        said, now = self.said, self.event_loop.now
        self.event_loop.call_later(said.each, self.period)
        self.rounds += 1
        self._own(now)
        self._storm(now)
        members = self.member_list.alive()
        self.findings.forget(now, [each.name for each in self.member_list.members.values()])
        self.storm.forget(self.member_list.members)
        self.turns.forget(self.member_list.members)
        # Danger: what one has to tell in a bad second would fill every link; so there is a bound a second.
        self.allowance = min(self.allowance + said.octets * said.each // SECOND, 2 * said.octets)
        for member in self._few(members, TOLD_AT_ONCE):
            if self.allowance > 0:
                self._tell(member.name, now, len(members))
        if not self.rounds % REPAIR_EACH and members and self.allowance > 0:
            for member in self._few(members, 1):
                self._say(member.name, "repair", [0, self.findings.digest(ROOM, self.rounds), []])
        self._weigh(now)

    def _few(self, members: list[Any], many: int) -> list[Any]:
        left, found = [*members], []
        while left and len(found) < many:
            found.append(left.pop(self.membership.chance(len(left))))
        return found

    def _own(self, now: int) -> None:
        """What we found out ourselves, engine by engine."""
        notable = NOTABLE * 100 * self.socket_host.gateway._usual_slowness()
        for engine_pool in self.socket_host.engine_pools.values():
            engine = engine_pool.engine
            view = engine.stats
            if engine.state != EngineState.READY or view is None:
                continue
            fault = WELL
            if view.ejected_until > now:
                fault = next((CODES[why] for why in reversed(view.fault_history) if why), WELL)
            elif view.last_heard_at < now - OWN or not self.socket_host.gateway._trusted(view):
                continue  # nothing fresh is known of it here; what we said before grows old
            samples = len(view.slowness_samples)
            slow = int(100 * median(view.slowness_samples)) if samples >= 3 else 0
            # Danger: what is as usual, told by hundreds on hundreds of engines, leaves no room for what is not. It is
            # told where others say otherwise, or where we did.
            if (
                fault != WELL
                or slow > notable
                or self.findings.disputed(engine.host_reference, notable)
            ):
                self.findings.found(
                    now, engine.host_reference, engine_pool.started, fault, slow, samples
                )

    def _storm(self, now: int) -> None:
        gateway = self.socket_host.gateway
        floor, part, _ = gateway.extra
        gateway.strict = self.storm.looked(
            now, len(gateway.honoured), len(gateway.extras), floor, part
        )
        ledger = self.socket_host.ledger
        refused = sum(
            row.reasons[3] for row in ledger.request_classes.values()
        )  # unsent: found no place
        self.want = max((refused - self.refused_before) * SECOND / max(self.said.each, 1), 0.0)
        self.refused_before = refused

    def _tell(self, name: str, now: int, members: int) -> None:
        gateway = self.socket_host.gateway
        self.serial += 1
        self.turns.telling(boot_time(), self.serial)
        rows = self.findings.some(now, members, ROOM)
        self._say(
            name,
            "findings",
            [self.serial, len(gateway.honoured), len(gateway.extras), int(self.want * 10), rows],
        )

    def _say(self, name: str, subject: str, body: list[Any]) -> None:
        size = 60 + 70 * len(body[-1]) if isinstance(body[-1], list) else 60
        self.allowance -= size
        self.octets += size
        self.member_list.call(name, subject, body)

    # Letters.

    def heard(self, sender: str, body: Any) -> None:
        serial, honoured, further, want, rows = body
        now = self.event_loop.now
        self._merge(now, rows)
        self.storm.tells(sender, now, int(honoured), int(further))
        self.turns.needs(
            sender, boot_time(), self.member_list.letters.pens[sender].start, int(serial), want / 10
        )

    def compared(self, sender: str, body: Any) -> None:
        """What a fellow holds, by marks; it gets what it misses, and we tell what we hold, once."""
        stage, digest, rows = body
        now = self.event_loop.now
        self._merge(now, rows)
        if stage < 2 and self.allowance > 0:
            missing = self.findings.missing(now, digest, ROOM, True, self.rounds)
            answer = (
                self.findings.digest(ROOM - 90 * len(missing), self.rounds) if stage == 0 else {}
            )
            if missing or stage == 0:
                self._say(sender, "repair", [stage + 1, answer, missing])

    def _merge(self, now: int, rows: Any) -> None:
        before = {tuple(row[4:5]) for row in rows if isinstance(row, list) and len(row) == 9}
        if self.findings.merge(now, rows):
            self.changed.update(tag for (tag,) in before)

    # What the module is told.

    def _weigh(self, now: int) -> None:
        """A hint and a doubt for each engine on which anything was heard, or was doubted."""
        zones = {each.name: each.zone for each in self.member_list.members.values()}
        zones[self.name] = self.member_list.zone
        gateway = self.socket_host.gateway
        for tag in [*{**dict.fromkeys(self.opinions), **dict.fromkeys(sorted(self.changed))}]:
            engine_pool = self.socket_host.engine_pools.get(tag)
            said = (
                NONE
                if engine_pool is None
                else opinion(
                    self.findings.of(tag),
                    now,
                    engine_pool.started,
                    self.name,
                    zones,
                    engine_pool.engine.stats.last_heard_at,
                )
            )
            before = self.opinions.get(tag, NONE)
            if said == NONE:
                self.opinions.pop(tag, None)
            else:
                self.opinions[tag] = said
            if said.doubted != before.doubted:
                self.socket_host.log(
                    f"shared: {tag} {'doubted, ' + said.why if said.doubted else 'doubted no more'}"
                )
            if engine_pool is not None:
                gateway.on_peer_health(
                    engine_pool.engine, said.slowness, self._doubt(said, tag, len(zones))
                )
        self.changed.clear()

    def _doubt(self, said: Opinion, tag: str, gateways: int) -> int:
        """1: one hand-off at a time; 2: none now, as others are in turn to try it. Danger: what comes back would be
        tried by all at once."""
        if not said.doubted:
            return 0
        gateway = self.socket_host.gateway
        gateways = max(gateway.gateways, 1)
        turn = (gateway.number + self.rounds * max(1, int(gateways * 0.618))) % gateways
        return (
            1
            if gateways <= TRIALS or turn * TRIALS < TRIALS * TRIALS * gateway.gateways // gateways
            else 2
        )

    # Turns at cold engines.

    def look_at_turns(self) -> None:
        """What we are in turn for, and do not need, goes to a fellow that does."""
        self.event_loop.call_later(TURN_LOOK, self.look_at_turns)
        gateway, now = self.socket_host.gateway, self.event_loop.now
        if gateway.price or self.want or any(queue.waiting for queue in gateway.queues.values()):
            return  # we need them ourselves
        for engine in [each for each in gateway.engines if gateway._cold(each)][:MOST_TURNS]:
            work = max(
                (
                    request_class.typical_work
                    for request_class in self.socket_host.settings.request_classes
                ),
                default=0.0,
            )
            left = self.turns.window - (now - engine.incarnation) % self.turns.window
            if not work or not gateway._cold_room(engine, work):
                continue
            given = self.turns.pass_on(
                boot_time(), engine.host_reference, left, self.membership.chance(2**32)
            )
            if given is not None:
                to, serial, known_for, left = given
                gateway.on_permit_moved(engine, work, now)  # spent here before it is written
                self.member_list.call(
                    to,
                    "turn",
                    [engine.host_reference, engine.incarnation, serial, known_for, left, work],
                )

    def turn_came(self, sender: str, body: Any) -> None:
        tag, started, serial, known_for, left, work = body
        engine_pool = self.socket_host.engine_pools.get(tag)
        now, boot = self.event_loop.now, boot_time()
        until = self.turns.received(boot, int(serial), int(known_for), int(left))
        if (
            until
            and engine_pool is not None
            and engine_pool.engine.incarnation == started
            and 0 < work < 1e9
        ):
            gateway = self.socket_host.gateway
            gateway.on_permit_moved(
                engine_pool.engine, -float(work), now + (until - boot) - gateway.fall_span
            )

    # Figures.

    def told(self, asked: bytes = b"") -> dict[str, Any]:
        """What was heard, from whom, how old, and what it changed. Spans are seconds."""
        now = self.event_loop.now
        return {
            "name": self.name,
            "strict": round(self.storm.strict, 3),
            "wants": round(self.want, 1),
            "findings": len(self.findings),
            "octets": self.octets,
            "engines": {
                tag: {
                    "doubted": said.doubted,
                    "slowness": round(said.slowness, 2),
                    "why": said.why,
                    "heard": [
                        {
                            "from": each.witness,
                            "age": (now - each.at) / SECOND,
                            "fault": FAULTS[each.fault],
                            "slowness": each.slowness / 100,
                            "samples": each.samples,
                        }
                        for each in self.findings.of(tag)
                    ][:40],
                }
                for tag, said in sorted(self.opinions.items())
            },
            "counters": {**self.turns.counts, "findings refused": self.findings.refused},
            "process": os.getpid(),
        }
