"""Applies discovery events to the engines and their connection pools.

Checks each event completely before applying any part of the event, and owns the number of the last
event. Makes no policy decision: the gateway is notified of each listed engine, and each connection
pool opens connections, or retires the connections to an engine that drains or is gone.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from corkgauge.config.platform import ConfigurationError, parse_address
from corkgauge.net.engine_pool import EnginePool
from corkgauge.policy.records import Engine, EngineState

if TYPE_CHECKING:
    from corkgauge.net.host import SocketHost

STATES = {
    "SERVING": EngineState.READY,
    "DRAINING": EngineState.DRAINING,
    "DELETED": EngineState.GONE,
}
TICKS_PER_MS = 10


class EndpointEntry(NamedTuple):
    """One engine as listed in an event; `started_ms` is the start date of its process."""

    name: str
    address: tuple[str, int]
    state: EngineState
    zone: int
    kind: int
    cell: int
    started_ms: int


class EndpointList:
    """Applies discovery events to the engines of a host."""

    def __init__(self, host: SocketHost, last_event: int) -> None:
        self.host = host
        self.last_event = last_event
        self.listed_count = 0  # engines ever listed

    def on_event(self, data: str) -> str:
        """Apply one event, as JSON; return why the event is invalid, or an empty string."""
        try:
            event = json.loads(data)
            number = int(event["n"])
        except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
            return "invalid event: expected a JSON object with a number n"
        members = event.get("members")
        if number <= self.last_event:
            return ""  # already applied
        is_full_list = isinstance(members, dict) and members.get("full")
        if number > self.last_event + 1 and not is_full_list:
            return f"event {number} follows event {self.last_event}: events are missing"
        # An event without members does not concern engines.
        wrong = self.apply(event) if members is not None else ""
        if not wrong:
            self.last_event = number
            self.host.counters["events"] += 1
        return wrong

    def apply(self, event: Any) -> str:
        """Check an event completely, then apply its engines.

        Returns why the event is invalid, or an empty string.
        """
        try:
            members = event["members"]
            entries = [self._read_entry(server) for server in members["servers"]]
            is_full_list = bool(members.get("full"))
        except (
            ConfigurationError,
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            OverflowError,
        ) as problem:
            return (
                f"invalid event ({type(problem).__name__}: {problem}): expected servers with id, "
                "addr, state SERVING, DRAINING or DELETED, and a zone and kind of the settings"
            )
        if is_full_list:
            self._remove_unlisted({entry.name for entry in entries})
        changed: dict[EnginePool, None] = {}
        for entry in entries:
            changed[self._update_engine(entry)] = None
        self.host.gateway.on_engine_list_complete()
        self._update_pools(changed, is_full_list)
        return ""

    def _read_entry(self, server: Any) -> EndpointEntry:
        settings = self.host.settings
        return EndpointEntry(
            str(server["id"]),
            parse_address(server["addr"], "addr"),
            STATES[server["state"]],
            settings.zones.index(server["zone"]),
            settings.engine_kinds.index(server["kind"]),
            int(server.get("cell", 0)),
            int(server.get("started_ms", 0)),
        )

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Mark as gone all engines that a complete list omits."""
        for engine_pool in self.host.engine_pools.values():
            engine = engine_pool.engine
            if engine.host_reference not in listed and engine.state != EngineState.GONE:
                self.host.gateway.on_engine_update(engine, EngineState.GONE, engine.incarnation)

    def _update_engine(self, entry: EndpointEntry) -> EnginePool:
        engine_pool = self.host.engine_pools.get(entry.name)
        if engine_pool is None:
            engine_pool = self._add_engine(entry)
        engine = engine_pool.engine
        has_restarted = entry.started_ms > engine_pool.started_ms
        incarnation = engine.incarnation
        if entry.started_ms != engine_pool.started_ms:
            engine_pool.started_ms = entry.started_ms
            incarnation = self.start_ticks(entry.started_ms)
        self.host.settings.place_engine(engine, entry.zone, entry.kind, entry.cell)
        self.host.gateway.on_engine_update(engine, entry.state, incarnation)
        engine_pool.update_address(entry.address, has_restarted)
        return engine_pool

    def _add_engine(self, entry: EndpointEntry) -> EnginePool:
        name = entry.name
        engine = Engine(name, name.encode(), entry.zone, entry.kind, entry.cell, name=name)
        if self.host.maintenance is not None:
            # An engine that is listed again during the maintenance of its machine stays cordoned.
            engine.cordon = self.host.maintenance.cordon_for(name, entry.address)
        engine_pool = EnginePool(self.host, engine, self.listed_count)
        self.host.engine_pools[name] = engine_pool
        self.listed_count += 1
        return engine_pool

    def _update_pools(self, changed: dict[EnginePool, None], is_full_list: bool) -> None:
        """Update the connection pools that a change of the list may affect.

        After a complete list, all pools are updated. After a partial list, the updated pools are
        those of the listed engines, those where attempts wait for a connection, and those that
        should dial ahead of need. For any other pool, `fill` would do nothing, as none of the
        conditions that `fill` checks has changed since the last call.
        """
        host = self.host
        affected = {**changed, **host.pools_with_waiting, **host.pools_lacking_spare}
        engine_pools = sorted(
            host.engine_pools.values() if is_full_list else affected,
            key=lambda engine_pool: engine_pool.number,
        )
        for engine_pool in engine_pools:
            if engine_pool.engine.state == EngineState.READY:
                host.closing_pools.pop(engine_pool, None)
            else:
                host.closing_pools[engine_pool] = None
                host.pools_lacking_spare.pop(engine_pool, None)
        for engine_pool in engine_pools:
            if engine_pool.engine.state == EngineState.READY:
                engine_pool.fill()
            else:
                engine_pool.withdraw()
                host.remove_gone_engine(engine_pool)

    def start_ticks(self, started_ms: int) -> int:
        """Return when an engine started, in ticks of the event loop's clock, from a date in ms.

        While the clock agrees with the system date to within a second, the start date is converted
        as sent, even a date in the future. The two differ after the system date was set, and then
        the sender's date may agree with either. An engine that is taken for warm too early is
        overloaded, so the later reading counts: the date as sent, or, if the clock is ahead of the
        system date, the date plus the difference. In this case the result is at most the current
        tick.
        """
        started = started_ms * TICKS_PER_MS
        ahead_ticks = self.host.event_loop.clock_offset()
        if not ahead_ticks or not started_ms:
            return started
        return min(started + max(ahead_ticks, 0), self.host.now)
