"""The meter: which flows there are, and when a record of one is due.

Owns a flow a connection: what was told of it, and its timeouts on a wheel. Free of I/O, the clock
is handed in (tenths of a millisecond). Must never count an octet twice, nor leave one out: a record
tells what came since the last one, whatever made it due.
"""

from collections.abc import Callable, Iterator
from typing import Any

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import ACTIVE, IDLE, INGRESS
from corkgauge.flow_export.timer_wheel import TimerWheel

AT_ONCE = 500  # flows of one call
SLOTS, SLOT = 512, 1_250  # 64 s in slots of an eighth of a second


class Flow:
    """One connection; `link` has `got` and `sent`, which only grow."""

    __slots__ = (
        "link",
        "side",
        "ends",
        "engine",
        "hall",
        "number",
        "begun",
        "told_got",
        "told_sent",
        "seen",
        "due",
    )

    def __init__(
        self,
        link: Any,
        side: int,
        ends: tuple[int, bytes, int, bytes, int],
        engine: str,
        hall: str,
        number: int,
        now: int,
    ) -> None:
        self.link, self.side, self.ends, self.engine, self.hall = link, side, ends, engine, hall
        self.number, self.begun = number, now
        self.told_got = self.told_sent = self.seen = self.due = 0


class Meter:
    """`told` takes each delta. `active` is how long a flow goes on without a record, `idle` how long without
    an octet before it counts as ended."""

    def __init__(self, told: Callable[[Delta], None], active: int, idle: int, now: int) -> None:
        self.told, self.active, self.idle = told, active, idle
        self.wheel = TimerWheel(SLOTS, SLOT, now)
        self.walk: Iterator[Flow] = iter(())
        self.flows: dict[Flow, None] = {}
        self.serial = 0
        self.records = self.octets = 0  # measured: made records, and what they tell

    def up(
        self,
        link: Any,
        side: int,
        ends: tuple[int, bytes, int, bytes, int],
        engine: str,
        hall: str,
        now: int,
    ) -> Flow:
        """A connection. `ends` are family, the initiator's address and port, the other's address and port."""
        self.serial += 1
        flow = Flow(link, side, ends, engine, hall, self.serial, now)
        self.flows[flow] = None
        self.wheel.put(flow, now + min(self.active, self.idle))
        return flow

    def over(self, flow: Flow, reason: int, now: int) -> None:
        """It has ended; what came since the last record is told now."""
        if flow in self.flows:
            del self.flows[flow]
            self.wheel.take(flow)
            self._tell(flow, reason, now)

    def advance(self, now: int) -> None:
        """Look at what is due. Danger: ten thousand that came up together are due together; each call looks
        at so many, the next one goes on."""
        count = 0
        for flow in self.walk:
            self._look_at(flow, now)
            count += 1
            if count >= AT_ONCE:
                return
        self.walk = self.wheel.advance(now)

    def _look_at(self, flow: Flow, now: int) -> None:
        moved = flow.link.got + flow.link.sent
        if now >= flow.begun + self.active:
            self._tell(flow, ACTIVE, now)
        elif moved == flow.seen and moved > flow.told_got + flow.told_sent:
            self._tell(flow, IDLE, now)
            self.serial += 1
            flow.number = self.serial  # what comes later is another flow
        flow.seen = moved
        self.wheel.put(flow, min(now + self.idle, max(flow.begun + self.active, now + 1)))

    def untold(self) -> int:
        """Octets that no record tells yet."""
        return sum(
            flow.link.got + flow.link.sent - flow.told_got - flow.told_sent for flow in self.flows
        )

    def _tell(self, flow: Flow, reason: int, now: int) -> None:
        got, sent = flow.link.got - flow.told_got, flow.link.sent - flow.told_sent
        first, flow.begun = flow.begun, now
        flow.told_got, flow.told_sent = flow.link.got, flow.link.sent
        if not got + sent:
            return
        self.records += 1
        self.octets += got + sent
        family, source, source_port, target, target_port = flow.ends
        # Initiators of connections to us are clients; to engines we are.
        forward, reverse = (got, sent) if flow.side == INGRESS else (sent, got)
        self.told(
            Delta(
                flow.number,
                flow.side,
                family,
                source,
                source_port,
                target,
                target_port,
                flow.engine,
                flow.hall,
                first // 10,
                now // 10,
                forward,
                reverse,
                reason,
            )
        )
