"""The list of engines: events of discovery, checked whole, and what they change.

Owns the number of the last event. It decides nothing: the gateway is notified of each engine, and
each pool is told to fill or to withdraw.
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
    """One engine as an event names it."""

    name: str
    address: tuple[str, int]
    state: EngineState
    zone: int
    kind: int
    cell: int
    started_ms: int


class EndpointList:
    """Applies discovery's events to the engines of a host."""

    def __init__(self, host: SocketHost, last_event: int) -> None:
        self.host = host
        self.last_event = last_event
        self.listed_count = 0  # engines that were ever listed, so far

    def on_event(self, data: str) -> str:
        """Apply one event, as JSON; what is wrong with it, or an empty string."""
        try:
            event = json.loads(data)
            number = int(event["n"])
        except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
            return "an event that makes no sense"
        members = event.get("members")
        if number <= self.last_event:
            return ""  # applied before
        is_whole = isinstance(members, dict) and members.get("full")
        if number > self.last_event + 1 and not is_whole:
            return f"event {number} after {self.last_event}"
        wrong = self.apply(event) if members is not None else ""  # other news is none of ours
        if not wrong:
            self.last_event = number
            self.host.counters["events"] += 1
        return wrong

    def apply(self, event: Any) -> str:
        """Apply an event's engines, once all of it was checked; what is wrong, or an empty string."""
        try:
            members = event["members"]
            entries = [self._read_entry(server) for server in members["servers"]]
            is_whole = bool(members.get("full"))
        except (
            ConfigurationError,
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            OverflowError,
        ) as problem:
            return f"an event that makes no sense ({type(problem).__name__} {problem})"
        if is_whole:
            self._remove_unlisted({entry.name for entry in entries})
        changed: dict[EnginePool, None] = {}
        for entry in entries:
            changed[self._update_engine(entry)] = None
        self.host.gateway.on_engine_list_complete()
        self._settle(changed, is_whole)
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
        """What a whole list leaves out is gone."""
        for engine_pool in self.host.engine_pools.values():
            engine = engine_pool.engine
            if engine.host_reference not in listed and engine.state != EngineState.GONE:
                self.host.gateway.on_engine_update(engine, EngineState.GONE, engine.incarnation)

    def _update_engine(self, entry: EndpointEntry) -> EnginePool:
        engine_pool = self.host.engine_pools.get(entry.name)
        if engine_pool is None:
            engine_pool = self._add_engine(entry)
        engine = engine_pool.engine
        is_renewed = entry.started_ms > engine_pool.started
        incarnation = engine.incarnation
        if entry.started_ms != engine_pool.started:
            engine_pool.started = entry.started_ms
            incarnation = self.started_at(entry.started_ms)
        self.host.settings.place_engine(engine, entry.zone, entry.kind, entry.cell)
        self.host.gateway.on_engine_update(engine, entry.state, incarnation)
        engine_pool.on_listed(entry.address, is_renewed)
        return engine_pool

    def _add_engine(self, entry: EndpointEntry) -> EnginePool:
        name = entry.name
        engine = Engine(name, name.encode(), entry.zone, entry.kind, entry.cell, name=name)
        if self.host.works is not None:
            # A machine that is out for maintenance may be listed anew; it is the same machine.
            engine.cordon = self.host.works.cordon_for(name, entry.address)
        engine_pool = EnginePool(self.host, engine, self.listed_count)
        self.host.engine_pools[name] = engine_pool
        self.listed_count += 1
        return engine_pool

    def _settle(self, changed: dict[EnginePool, None], is_whole: bool) -> None:
        """Let pools fill or withdraw that a change may concern.

        These are the ones that it names, those where something waits for a connection, and those
        that lack one ahead of need. For all others a fill does nothing, as nothing that it looks at
        has changed since their last.
        """
        host = self.host
        concerned = {**changed, **host.awaited, **host.short}
        engine_pools = sorted(
            host.engine_pools.values() if is_whole else concerned,
            key=lambda engine_pool: engine_pool.number,
        )
        for engine_pool in engine_pools:
            if engine_pool.engine.state == EngineState.READY:
                host.closing.pop(engine_pool, None)
            else:
                host.closing[engine_pool] = None
                host.short.pop(engine_pool, None)
        for engine_pool in engine_pools:
            if engine_pool.engine.state == EngineState.READY:
                engine_pool.fill()
            else:
                engine_pool.withdraw()
                host.close(engine_pool)

    def started_at(self, started_ms: int) -> int:
        """Return when an engine started, in ticks of our clock, from the date in ms.

        Where a date was set, ours may be the wrong one, and an engine that counts as warm too early
        collapses. So the later moment counts, but none to come.
        """
        started = started_ms * TICKS_PER_MS
        ahead = self.host.event_loop.clock_offset()
        if not ahead or not started_ms:
            return started
        return min(started + max(ahead, 0), self.host.now)
