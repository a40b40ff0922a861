"""Defines the derived rows of docs/CAPACITY.md: formula, budget and mechanism by role.

Measured figures are never written here: a formula looks them up by key (see capacity.py).
"""

from math import sqrt

from benchmarks.capacity import (
    PEAK_FACTORS,
    STATED_SIZE,
    DerivedRow,
    FleetSize,
    Lookup,
    MissingMechanism,
)
from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance import plan
from corkgauge.net import discovery_protocol, platform_frontend
from corkgauge.peer_health import reports as peer_health_reports

RELEASE_BATCH_FRACTION = 0.1  # of the fleet, restarted at once by a release
STATEMENTS_PER_SECOND, DAY_SECONDS = STATED_SIZE["statements"], STATED_SIZE["day"]
CONTROL_CORE_PERCENT, CONTROL_MEMORY_MB, CONTROL_OCTETS_PER_SECOND = (
    STATED_SIZE[name] for name in ("core_percent", "memory_mb", "octets")
)
SERVING, CONTROL, VOTER, HOLDER = (
    "workload manager, serving",
    "workload manager, control",
    "voter",
    "holder of a duty",
)
PLANNER, FEED, DATABASE, TOOLS = "planner", "list feed", "database", "operator's tools"
WORKING_SET_MECHANISM = "working set of engines, `corkgauge/policy/gateway.py`"
POLL_MECHANISM, FRAME_MECHANISM = (
    "the hub's poll, `corkgauge/eventloop/loop.py`",
    "frames by hand, `corkgauge/net/`",
)
RING_BUFFER_MECHANISM = (
    "rings that lie empty between requests, `corkgauge/eventloop/ring_buffer.py`"
)
RESTART_MECHANISM = (
    "restart by hand, `corkgauge/daemon/configuration_reload.py` "
    "(`ConfigurationReloader.reload` names what waits)"
)
MEMBERSHIP_MECHANISM = "asking one a period, `corkgauge/membership/member_list.py`"
PEER_HEALTH_MECHANISM = (
    "findings of a witness, the last of each, `corkgauge/peer_health/reports.py`"
)
LEASE_MECHANISM = "leases by votes, `corkgauge/leases/`"
FLEET_ACCOUNTS_MECHANISM = "the fleet's books, `corkgauge/leases/fleet_accounts.py`"


def serving_core_percent(lookup: Lookup, size: FleetSize, load_factor: float) -> float:
    """Returns the percentage of a core that scheduling decisions take."""
    return lookup("alone.decision.engines", size.engines) * size.statements * load_factor / 10


def busiest_window_count(mean: float) -> float:
    """Estimates the largest Poisson count among the 864,000 windows of 100 ms of a day.

    Args:
        mean: Mean count of a window.
    """
    return mean + 4.9 * sqrt(mean)


def octets_per_engine_event(lookup: Lookup) -> float:
    """Returns the octets that one engine takes in an event of the engine list."""
    return lookup("settings.list.octets", slope=True)


def list_changes_per_day(size: FleetSize) -> float:
    """Counts list changes of a day: each restart or failure causes two, removal and return."""
    return 2 * (size.restarts + size.machine_failures)


DERIVED_ROWS: dict[str, DerivedRow] = {
    # A workload manager: requests.
    "serving.decision": DerivedRow(
        SERVING,
        "processor of a decision before all engines, against one core for all statements",
        "ms",
        lambda lookup, size: lookup("alone.decision.engines", size.engines),
        1000 / STATEMENTS_PER_SECOND,
        "day",
        WORKING_SET_MECHANISM,
    ),
    "serving.decisions": DerivedRow(
        SERVING,
        "decisions, mean traffic",
        "% of a core",
        lambda lookup, size: serving_core_percent(lookup, size, 1),
        100,
        "day",
        WORKING_SET_MECHANISM,
    ),
    "serving.decisions.three": DerivedRow(
        SERVING,
        "decisions, three times the mean",
        "% of a core",
        lambda lookup, size: serving_core_percent(lookup, size, PEAK_FACTORS["three"]),
        100,
        "worst",
        WORKING_SET_MECHANISM,
    ),
    "serving.decisions.five": DerivedRow(
        SERVING,
        "decisions, five times the mean",
        "% of a core",
        lambda lookup, size: serving_core_percent(lookup, size, PEAK_FACTORS["five"]),
        100,
        "worst",
        WORKING_SET_MECHANISM,
    ),
    "serving.statement": DerivedRow(
        SERVING,
        "a whole statement on sockets, frames read and written, before all engines",
        "ms",
        lambda lookup, size: lookup("alone.statement.sockets", size.engines),
        1000 / STATEMENTS_PER_SECOND,
        "day",
        f"{FRAME_MECHANISM}; {WORKING_SET_MECHANISM}",
    ),
    "serving.cores": DerivedRow(
        SERVING,
        "whole statements, mean traffic",
        "% of a core",
        lambda lookup, size: lookup("alone.statement.sockets", size.engines) * size.statements / 10,
        100,
        "day",
        f"{FRAME_MECHANISM}; {WORKING_SET_MECHANISM}",
    ),
    "serving.cores.three": DerivedRow(
        SERVING,
        "whole statements, three times the mean",
        "% of a core",
        lambda lookup, size: lookup("alone.statement.sockets", size.engines)
        * size.statements
        * PEAK_FACTORS["three"]
        / 10,
        100,
        "worst",
        f"{FRAME_MECHANISM}; {WORKING_SET_MECHANISM}",
    ),
    "serving.cores.zone": DerivedRow(
        SERVING,
        "whole statements, a zone lost during a release of a tenth, spread over all others",
        "% of a core",
        lambda lookup, size: lookup("alone.statement.sockets", size.engines)
        * size.statements
        / 10
        / (1 - 1 / size.zones - RELEASE_BATCH_FRACTION),
        100,
        "worst",
        f"{FRAME_MECHANISM}; {WORKING_SET_MECHANISM}",
    ),
    "serving.burst": DerivedRow(
        SERVING,
        "decisions of the busiest 100 ms of a day, were statements independent: the mean and 4.9 "
        "roots of it",
        "ms",
        lambda lookup, size: lookup("alone.decision.engines", size.engines)
        * busiest_window_count(size.statements / 10),
        100,
        "worst",
        WORKING_SET_MECHANISM,
    ),
    "serving.turn": DerivedRow(
        SERVING,
        "one turn of the hub over all client connections and one link to each engine",
        "ms",
        lambda lookup, size: lookup("alone.turn.descriptors", size.connections + size.engines),
        1000 / STATEMENTS_PER_SECOND,
        "day",
        POLL_MECHANISM,
    ),
    "serving.memory.clients": DerivedRow(
        SERVING,
        "client connections, quiet",
        "MB",
        lambda lookup, size: lookup("alone.memory.clients", size.connections) / 1024,
        CONTROL_MEMORY_MB,
        "rest",
        RING_BUFFER_MECHANISM,
    ),
    "serving.memory.links": DerivedRow(
        SERVING,
        "one link to each engine of the list, quiet",
        "MB",
        lambda lookup, size: lookup("alone.memory.links", size.engines) / 1024,
        CONTROL_MEMORY_MB,
        "rest",
        RING_BUFFER_MECHANISM,
    ),
    "serving.memory.links.set": DerivedRow(
        SERVING,
        "one link to each engine of the largest working set, quiet",
        "MB",
        lambda lookup, size: lookup("alone.memory.links", lookup("subset.ours.size_most")) / 1024,
        CONTROL_MEMORY_MB,
        "rest",
        RING_BUFFER_MECHANISM,
    ),
    "serving.memory.open": DerivedRow(
        SERVING,
        "requests open for two seconds at three times the mean",
        "MB",
        lambda lookup, size: lookup(
            "alone.memory.open", 2 * size.statements * PEAK_FACTORS["three"]
        )
        / 1024,
        CONTROL_MEMORY_MB,
        "worst",
        RING_BUFFER_MECHANISM,
    ),
    "serving.descriptors": DerivedRow(
        SERVING,
        "descriptors: clients and a link to each engine; clients get half of `sockets`, links a "
        "third",
        "descriptors",
        lambda lookup, size: max(2 * size.connections, 3 * size.engines),
        None,
        "rest",
        "`limits.sockets`, `corkgauge/net/host.py`",
    ),
    "serving.change": DerivedRow(
        SERVING,
        "changes of the list by restarts and failures, decisions anew with them",
        "% of a core",
        lambda lookup, size: lookup("alone.decision.change", size.engines)
        * list_changes_per_day(size)
        / DAY_SECONDS
        / 10,
        CONTROL_CORE_PERCENT,
        "day",
        WORKING_SET_MECHANISM,
    ),
    "serving.ready": DerivedRow(
        SERVING,
        "start to ready with the whole list, processor",
        "s",
        lambda lookup, size: lookup("alone.ready.engines", size.engines),
        STATED_SIZE["change_s"],
        "day",
        "`corkgauge/daemon/process.py`",
    ),
    "serving.ready.tenth": DerivedRow(
        SERVING,
        "start to ready with the whole list, with a tenth of a core",
        "s",
        lambda lookup, size: lookup("alone.ready.engines.tenth", size.engines),
        STATED_SIZE["primary_s"],
        "worst",
        "`corkgauge/daemon/process.py`",
    ),
    # A workload manager: control, apart from requests.
    "control.list.memory": DerivedRow(
        CONTROL,
        "the list of engines with what is known of each",
        "MB",
        lambda lookup, size: lookup("alone.memory.engines", size.engines) / 1024,
        CONTROL_MEMORY_MB,
        "rest",
        "`corkgauge/policy/records.py` (`View`)",
    ),
    "control.list.start": DerivedRow(
        CONTROL,
        "the whole list, taken in at a start",
        "ms",
        lambda lookup, size: lookup("alone.list.start", size.engines),
        STATED_SIZE["change_s"] * 1000,
        "day",
        "`corkgauge/net/host.py`",
    ),
    "control.list.day": DerivedRow(
        CONTROL,
        "changes of the list by restarts and failures, read and taken in",
        "% of a core",
        lambda lookup, size: lookup("alone.list.change", size.engines)
        * list_changes_per_day(size)
        / DAY_SECONDS
        / 10,
        CONTROL_CORE_PERCENT,
        "day",
        "events of what changed, `corkgauge/net/discovery.py`",
    ),
    "control.list.octets": DerivedRow(
        CONTROL,
        "events of the list by restarts and failures",
        "octets a second",
        lambda lookup, size: octets_per_engine_event(lookup)
        * list_changes_per_day(size)
        / DAY_SECONDS,
        CONTROL_OCTETS_PER_SECOND,
        "day",
        "`corkgauge/net/discovery.py`",
    ),
    "control.list.zone": DerivedRow(
        CONTROL,
        "the list as a zone of all engines is lost and told within ten seconds",
        "octets a second",
        lambda lookup, size: octets_per_engine_event(lookup) * size.engines / size.zones / 10,
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        "`corkgauge/net/discovery.py`",
    ),
    "control.restart.processor": DerivedRow(
        CONTROL,
        "configuration by restart, all changes of a day: processor",
        "% of a core",
        lambda lookup, size: lookup("settings.restart.processor", size.engines)
        * size.changes
        / DAY_SECONDS
        * 100,
        CONTROL_CORE_PERCENT,
        "day",
        RESTART_MECHANISM,
    ),
    "control.restart.unready": DerivedRow(
        CONTROL,
        "configuration by restart: serves nobody, part of the day",
        "%",
        lambda lookup, size: lookup("settings.restart.unready", size.engines)
        * size.changes
        / DAY_SECONDS
        * 100,
        None,
        "day",
        RESTART_MECHANISM,
    ),
    "control.restart.octets": DerivedRow(
        CONTROL,
        "configuration by restart: what the restarts of all the others cost each in datagrams, "
        "mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.restart.octets", size.gateways)
        * size.changes
        / DAY_SECONDS,
        CONTROL_OCTETS_PER_SECOND,
        "day",
        RESTART_MECHANISM,
    ),
    "control.restart.drain": DerivedRow(
        CONTROL,
        "configuration by restart: serves nobody new, while what is open may take its time",
        "s",
        lambda lookup, size: lookup("settings.restart.unready", size.engines)
        + platform_frontend.MAX_SHUTDOWN_WAIT_TICKS / SECOND,
        STATED_SIZE["change_s"],
        "day",
        RESTART_MECHANISM,
    ),
    "control.restart.connections": DerivedRow(
        CONTROL,
        "configuration by restart: client connections made anew at all, mean",
        "a second",
        lambda lookup, size: size.fleet_connections * size.changes / DAY_SECONDS,
        None,
        "day",
        RESTART_MECHANISM,
    ),
    "control.change": DerivedRow(
        CONTROL,
        "a change in force everywhere by restarts of a tenth at a time, ten after each other",
        "s",
        lambda lookup, size: 10 * lookup("settings.restart.unready", size.engines),
        STATED_SIZE["change_s"],
        "day",
        RESTART_MECHANISM,
    ),
    "control.change.octets": DerivedRow(
        CONTROL,
        "configuration as a whole to each at each change, 20 classes, 1,000 tenants",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.whole") * size.changes / DAY_SECONDS,
        CONTROL_OCTETS_PER_SECOND,
        "day",
        "none",
    ),
    "control.change.burst": DerivedRow(
        CONTROL,
        "configuration as a whole to each within the five seconds",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.whole") / size.change_s,
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        "none",
    ),
    "control.change.gossip": DerivedRow(
        CONTROL,
        "a change as a delta by gossip, fan-out three, a tenth of all datagrams lost: until all "
        "have it",
        "s",
        lambda lookup, size: lookup("settings.gossip.delta.time.f3.loss10", size.gateways),
        STATED_SIZE["change_s"],
        "ways",
        "none (simulated)",
    ),
    "control.change.gossip.octets": DerivedRow(
        CONTROL,
        "a change as a delta by gossip, fan-out three, a tenth lost: busiest second of one member",
        "octets a second",
        lambda lookup, size: lookup("settings.gossip.delta.peak.f3.loss10", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "ways",
        "none (simulated)",
    ),
    # A member of the fleet: datagrams of membership, leases, maintenance and peer health reports.
    "control.rest.octets": DerivedRow(
        CONTROL,
        "datagrams at rest, sent and received, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.rest.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.octets.worst": DerivedRow(
        CONTROL,
        "datagrams at rest, sent and received, the worst member",
        "octets a second",
        lambda lookup, size: lookup("fleet.rest.octets.worst", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.datagrams": DerivedRow(
        CONTROL,
        "datagrams at rest, sent and received, mean",
        "a second",
        lambda lookup, size: lookup("fleet.rest.datagrams", size.gateways),
        None,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.sum": DerivedRow(
        CONTROL,
        "octets sent at rest, by all",
        "octets a second",
        lambda lookup, size: lookup("fleet.rest.octets.sum", size.gateways),
        STATED_SIZE["fleet_octets"],
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.processor": DerivedRow(
        CONTROL,
        "processor at rest, with the kernel's part, mean",
        "% of a core",
        lambda lookup, size: lookup("fleet.rest.processor", size.gateways),
        CONTROL_CORE_PERCENT,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.processor.worst": DerivedRow(
        CONTROL,
        "processor at rest, the worst member without a duty",
        "% of a core",
        lambda lookup, size: lookup("fleet.rest.processor.worst", size.gateways),
        CONTROL_CORE_PERCENT,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rest.memory": DerivedRow(
        CONTROL,
        "memory of a member, over an empty process",
        "MB",
        lambda lookup, size: lookup("fleet.rest.memory", size.gateways),
        CONTROL_MEMORY_MB,
        "rest",
        MEMBERSHIP_MECHANISM,
    ),
    "control.restarts.octets": DerivedRow(
        CONTROL,
        "restarts of a day: what they cost each of the others, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.restart.octets", size.gateways)
        * size.restarts
        / DAY_SECONDS
        / size.gateways,
        CONTROL_OCTETS_PER_SECOND,
        "day",
        MEMBERSHIP_MECHANISM,
    ),
    "control.release.octets": DerivedRow(
        CONTROL,
        "a release: a tenth restarted within ten seconds, mean of thirty seconds",
        "octets a second",
        lambda lookup, size: lookup("fleet.release.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "day",
        MEMBERSHIP_MECHANISM,
    ),
    "control.release.octets.worst": DerivedRow(
        CONTROL,
        "a release: a tenth restarted within ten seconds, the worst member",
        "octets a second",
        lambda lookup, size: lookup("fleet.release.octets.worst", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.start.octets": DerivedRow(
        CONTROL,
        "all start within a second: first ten seconds, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.start.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.start.time": DerivedRow(
        CONTROL,
        "all start within a second: until all know all",
        "s",
        lambda lookup, size: lookup("fleet.start.time", size.gateways),
        None,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.machine.known": DerivedRow(
        CONTROL,
        "a machine lost: until all hold it gone",
        "s",
        lambda lookup, size: lookup("fleet.known.time", size.gateways),
        None,
        "day",
        MEMBERSHIP_MECHANISM,
    ),
    "control.rack.known": DerivedRow(
        CONTROL,
        "a rack lost: until all hold it gone",
        "s",
        lambda lookup, size: lookup("fleet.rack.known", size.gateways),
        None,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.zone.octets": DerivedRow(
        CONTROL,
        "a zone lost: while it becomes known, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.zone.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.zone.known": DerivedRow(
        CONTROL,
        "a zone lost: until all hold it gone",
        "s",
        lambda lookup, size: lookup("fleet.zone.known", size.gateways),
        None,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.zone.release": DerivedRow(
        CONTROL,
        "a zone lost during a release: octets of both at once, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.zone.octets", size.gateways)
        + lookup("fleet.release.octets", size.gateways)
        - lookup("fleet.rest.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.region.octets": DerivedRow(
        CONTROL,
        "a region healed after a cut: first ten seconds, mean",
        "octets a second",
        lambda lookup, size: lookup("fleet.region.octets", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.region.healed": DerivedRow(
        CONTROL,
        "a region healed after a cut: until all know all",
        "s",
        lambda lookup, size: lookup("fleet.region.healed", size.gateways),
        None,
        "worst",
        MEMBERSHIP_MECHANISM,
    ),
    "control.findings.memory": DerivedRow(
        CONTROL,
        "findings of twenty others on every engine",
        "MB",
        lambda lookup, size: lookup("fleet.findings.engines", size.engines),
        CONTROL_MEMORY_MB,
        "worst",
        PEER_HEALTH_MECHANISM,
    ),
    "control.findings.forget": DerivedRow(
        CONTROL,
        "findings of twenty others on every engine: looks for old ones, four a second",
        "% of a core",
        lambda lookup, size: lookup("fleet.findings.forget", size.engines) * 4 / 10,
        CONTROL_CORE_PERCENT,
        "worst",
        PEER_HEALTH_MECHANISM,
    ),
    "control.findings.digest": DerivedRow(
        CONTROL,
        "findings of twenty others on every engine: comparisons, one in 1.5 s",
        "% of a core",
        lambda lookup, size: lookup("fleet.findings.digest", size.engines) / 1.5 / 10,
        CONTROL_CORE_PERCENT,
        "worst",
        PEER_HEALTH_MECHANISM,
    ),
    "control.findings.merge": DerivedRow(
        CONTROL,
        "findings of twenty others on every engine: heard a first time, all",
        "ms of processor",
        lambda lookup, size: lookup("fleet.findings.merge", size.engines),
        None,
        "worst",
        PEER_HEALTH_MECHANISM,
    ),
    # Voters, holders, planner.
    "voter.rest.octets": DerivedRow(
        VOTER,
        "datagrams at rest, sent and received",
        "octets a second",
        lambda lookup, size: lookup("fleet.rest.octets.voter", size.gateways),
        STATED_SIZE["fleet_octets"] / STATED_SIZE["machines"],
        "rest",
        LEASE_MECHANISM,
    ),
    "voter.rest.datagrams": DerivedRow(
        VOTER,
        "datagrams at rest, sent and received",
        "a second",
        lambda lookup, size: lookup("fleet.rest.datagrams.voter", size.gateways),
        None,
        "rest",
        LEASE_MECHANISM,
    ),
    "voter.rest.processor": DerivedRow(
        VOTER,
        "processor at rest, against one core of a machine set aside",
        "% of a core",
        lambda lookup, size: lookup("fleet.rest.processor.voter", size.gateways),
        100,
        "rest",
        LEASE_MECHANISM,
    ),
    "voter.rest.memory": DerivedRow(
        VOTER,
        "memory, over an empty process",
        "MB",
        lambda lookup, size: lookup("fleet.rest.memory.voter", size.gateways),
        CONTROL_MEMORY_MB,
        "rest",
        LEASE_MECHANISM,
    ),
    "voter.handover.burst": DerivedRow(
        VOTER,
        "datagrams in the worst 100 ms as the holder's machine is lost",
        "datagrams",
        lambda lookup, size: lookup("fleet.handover.lost.burst", size.gateways),
        None,
        "worst",
        LEASE_MECHANISM,
    ),
    "voter.handover.planned.burst": DerivedRow(
        VOTER,
        "datagrams in the worst 100 ms of a planned hand-over",
        "datagrams",
        lambda lookup, size: lookup("fleet.handover.planned.burst", size.gateways),
        None,
        "day",
        LEASE_MECHANISM,
    ),
    "holder.handover.lost": DerivedRow(
        HOLDER,
        "its machine lost: nobody holds the duty",
        "s",
        lambda lookup, size: lookup("fleet.handover.lost", size.gateways),
        STATED_SIZE["primary_s"],
        "worst",
        LEASE_MECHANISM,
    ),
    "holder.handover.planned": DerivedRow(
        HOLDER,
        "it ends in order: nobody holds the duty",
        "s",
        lambda lookup, size: lookup("fleet.handover.planned", size.gateways),
        STATED_SIZE["primary_s"],
        "day",
        LEASE_MECHANISM,
    ),
    "holder.rest.octets": DerivedRow(
        HOLDER,
        "datagrams at rest, of the holder that has more",
        "octets a second",
        lambda lookup, size: lookup("fleet.rest.octets.holder", size.gateways),
        CONTROL_OCTETS_PER_SECOND,
        "rest",
        FLEET_ACCOUNTS_MECHANISM,
    ),
    "holder.rest.processor": DerivedRow(
        HOLDER,
        "processor at rest, of the holder that has more",
        "% of a core",
        lambda lookup, size: lookup("fleet.rest.processor.holder", size.gateways),
        CONTROL_CORE_PERCENT,
        "rest",
        FLEET_ACCOUNTS_MECHANISM,
    ),
    "holder.books.missing": DerivedRow(
        HOLDER,
        "members missing in an entry of the fleet's books",
        "members",
        lambda lookup, size: lookup("fleet.books.missing", size.gateways),
        None,
        "day",
        FLEET_ACCOUNTS_MECHANISM,
    ),
    "planner.order": DerivedRow(
        PLANNER,
        "an order of maintenance over all engines, against a second",
        "ms of processor",
        lambda lookup, size: lookup("fleet.order.engines", size.engines),
        1000,
        "day",
        "Hall's condition, `corkgauge/maintenance/schedule.py`",
    ),
    "planner.units": DerivedRow(
        PLANNER,
        "engines and workload managers in one plan, against `MAX_UNITS`",
        "units",
        lambda lookup, size: size.engines + size.gateways,
        plan.MAX_UNITS,
        "day",
        "none; `corkgauge/maintenance/plan.py` refuses more",
    ),
    # The engine list feed and the databases.
    **{
        f"feed.whole{name}": DerivedRow(
            FEED,
            f"the whole list as one event, {said}, against the longest line that is taken",
            "octets",
            lambda lookup, size, key="settings.list.octets" + name: lookup(key, size.engines),
            discovery_protocol.MAX_LINE_BYTES,
            "day",
            "one event up to a bound (`corkgauge/net/discovery_protocol.py`); a longer one ends "
            "the connection, the list stays",
        )
        for name, said in (
            ("", "ids of 8 characters"),
            (".long", "ids of 36 characters, as a cloud gives them"),
            (".compact", "ids of 8 characters, JSON without spaces"),
        )
    },
    "feed.all": DerivedRow(
        FEED,
        "the whole list to all workload managers after a restart of all",
        "octets",
        lambda lookup, size: lookup("settings.list.octets", size.engines) * size.gateways,
        None,
        "worst",
        "none",
    ),
    "database.links.all": DerivedRow(
        DATABASE,
        "links at each, all pairs, one link each",
        "links",
        lambda lookup, size: size.gateways,
        None,
        "rest",
        "none",
    ),
    "database.links.set": DerivedRow(
        DATABASE,
        "links at the busiest, with the working set",
        "links",
        lambda lookup, size: lookup("subset.ours.links_engine"),
        None,
        "rest",
        WORKING_SET_MECHANISM,
    ),
    "database.links.fleet": DerivedRow(
        DATABASE,
        "warm pairs in the fleet, with the working set",
        "pairs",
        lambda lookup, size: lookup("subset.ours.links"),
        None,
        "rest",
        WORKING_SET_MECHANISM,
    ),
    "database.even": DerivedRow(
        DATABASE,
        "sets that hold an engine, worst over mean of its zone and kind, with the working set",
        "times",
        lambda lookup, size: lookup("subset.ours.evenness"),
        1.25,
        "rest",
        WORKING_SET_MECHANISM,
    ),
    "findings.held": DerivedRow(
        TOOLS,
        "findings that one witness may have, one an engine, against `MOST_EACH`",
        "findings",
        lambda lookup, size: size.engines,
        peer_health_reports.MAX_REPORTS_PER_REPORTER,
        "worst",
        "`corkgauge/peer_health/reports.py`",
    ),
    # Alternatives for sending a configuration change to all workload managers.
    "ways.one.whole": DerivedRow(
        CONTROL,
        "one holder sends the whole to each within the five seconds",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.whole") * size.gateways / size.change_s,
        CONTROL_OCTETS_PER_SECOND,
        "ways",
    ),
    "ways.one.whole.time": DerivedRow(
        CONTROL,
        "one holder sends the whole to each at the rate that control may take",
        "s",
        lambda lookup, size: lookup("settings.octets.whole") * size.gateways / size.octets,
        STATED_SIZE["change_s"],
        "ways",
    ),
    "ways.one.delta": DerivedRow(
        CONTROL,
        "one holder sends what changed to each within the five seconds",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.delta") * size.gateways / size.change_s,
        CONTROL_OCTETS_PER_SECOND,
        "ways",
    ),
    "ways.three.whole": DerivedRow(
        VOTER,
        "the three machines send the whole to a third of all each, within the five seconds",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.whole")
        * size.gateways
        / size.machines
        / size.change_s,
        STATED_SIZE["fleet_octets"] / STATED_SIZE["machines"],
        "ways",
    ),
    "ways.three.delta": DerivedRow(
        VOTER,
        "the three machines send what changed to a third of all each, within the five seconds",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.delta")
        * size.gateways
        / size.machines
        / size.change_s,
        STATED_SIZE["fleet_octets"] / STATED_SIZE["machines"],
        "ways",
    ),
    "ways.each.whole": DerivedRow(
        CONTROL,
        "each takes in one whole a change, within the five seconds, whoever sends",
        "octets a second",
        lambda lookup, size: lookup("settings.octets.whole") / size.change_s,
        CONTROL_OCTETS_PER_SECOND,
        "ways",
    ),
    # Ambiguous requirements: both readings.
    "open.zones.all.gateways": DerivedRow(
        SERVING,
        "a zone, where five are meant in all: workload managers lost with it",
        "workload managers",
        lambda lookup, size: size.gateways / size.zones,
        None,
        "open",
    ),
    "open.zones.each.gateways": DerivedRow(
        SERVING,
        "a zone, where five are meant in each region: workload managers lost with it",
        "workload managers",
        lambda lookup, size: size.gateways / size.zones / size.regions,
        None,
        "open",
    ),
    "open.zones.all.load": DerivedRow(
        SERVING,
        "load of the others after a zone is lost, five in all, shared by all",
        "times",
        lambda lookup, size: 1 / (1 - 1 / size.zones),
        None,
        "open",
    ),
    "open.zones.each.load": DerivedRow(
        SERVING,
        "load of the others after a zone is lost, five in each region, shared by all",
        "times",
        lambda lookup, size: 1 / (1 - 1 / size.zones / size.regions),
        None,
        "open",
    ),
    "open.zones.all.region": DerivedRow(
        SERVING,
        "load of the others within the smaller region alone, five in all (two there), regions cut",
        "times",
        lambda lookup, size: 1 / (1 - 1 / (size.zones // size.regions)),
        None,
        "open",
    ),
    "open.zones.each.region": DerivedRow(
        SERVING,
        "load of the others within a region alone, five in each, regions cut",
        "times",
        lambda lookup, size: 1 / (1 - 1 / size.zones),
        None,
        "open",
    ),
    "open.primary.holder": DerivedRow(
        HOLDER,
        "primary = who holds a duty of ours: hand-over with all candidates",
        "s",
        lambda lookup, size: lookup("fleet.handover.lost", size.gateways),
        STATED_SIZE["primary_s"],
        "open",
        "`corkgauge/leases/`",
    ),
    "open.primary.database": DerivedRow(
        FEED,
        "primary = which database of a group takes writes, as the list tells it: octets to all "
        "at each change",
        "octets",
        lambda lookup, size: 2 * octets_per_engine_event(lookup) * size.gateways,
        None,
        "open",
        "`corkgauge/net/discovery.py`",
    ),
    "open.memory.control": DerivedRow(
        CONTROL,
        "128 MB for control alone: the list",
        "MB",
        lambda lookup, size: lookup("alone.memory.engines", size.engines) / 1024,
        CONTROL_MEMORY_MB,
        "open",
    ),
    "open.memory.clients": DerivedRow(
        CONTROL,
        "128 MB with clients' buffers, all quiet: the list, links of the largest set, clients",
        "MB",
        lambda lookup, size: (
            lookup("alone.memory.engines", size.engines)
            + lookup("alone.memory.links", lookup("subset.ours.size_most"))
            + lookup("alone.memory.clients", size.connections)
        )
        / 1024,
        CONTROL_MEMORY_MB,
        "open",
    ),
    "open.memory.resident": DerivedRow(
        CONTROL,
        "128 MB for the whole process: resident as it is ready, nobody there yet",
        "MB",
        lambda lookup, size: lookup("alone.memory.serve", size.engines),
        CONTROL_MEMORY_MB,
        "open",
    ),
}

# Mechanisms that the program lacks. The page ranks first those without which requests cannot be
# served, then those of which no part exists, then by factor over budget.
MISSING_MECHANISMS = [
    MissingMechanism(
        "A change of configuration in force everywhere without a restart",
        ("control.change", "control.restart.drain"),
        "settings that a running program takes: classes and limits exchanged between two "
        "statements, what "
        "holds state kept ({{settings.taken.tenants@2000}} to read and check one of 2,000 "
        "tenants); versions "
        "with a digest; deltas (JSON merge patch, RFC 7396: {{settings.octets.delta}} against "
        "{{settings.octets.whole}} whole); gossip among the members that there are "
        "({{worked.control.change.gossip}} until all have it, "
        "{{worked.control.change.gossip.octets}} in the "
        "busiest second of one); a fetch of what was missed, at a start and after a cut; a "
        "refusal that is "
        "told everywhere. Wholes by gossip do not fit the octets.",
        absent=True,
    ),
    MissingMechanism(
        "A list of engines that comes in pieces, or a bound that follows its size",
        ("feed.whole", "feed.whole.long", "feed.whole.compact"),
        "the reader of the feed took a whole list of {{settings.list.most}}, "
        "{{settings.list.most.long:bare}} "
        "with ids of 36 characters, as it was measured; at a longer one it ends the connection, "
        "again at each "
        "try, and a workload manager goes on with the list that it knew. A bound that follows "
        "what is stated, "
        "or a list in several events with its end told.",
        serving=True,
    ),
    MissingMechanism(
        "A statement that costs less, or several processes before one port",
        (
            "serving.cores",
            "serving.cores.three",
            "serving.statement",
            "serving.decision",
            "serving.decisions.three",
            "serving.decisions.five",
        ),
        "at the rate that it was measured at (200 a second) turns of the hub and what the module "
        "works out "
        "each 20 ms are shared by few statements; at 1,000 a second one costs "
        "{{alone.statement.rate@1000}} "
        "before 40 engines, which is still over the budget. What it goes to is under 'what "
        "remains of a "
        "statement'. Less of it first: frames, links, the walk of the order. Beyond that several "
        "processes on a "
        "machine that share the port (SO_REUSEPORT), each a workload manager of its own, which "
        "multiplies "
        "members, links and cold parts; the platform asks for one process.",
        serving=True,
    ),
    MissingMechanism(
        "Books of the fleet that are summed on the way, orders that go out on a change",
        ("holder.rest.octets", "holder.rest.processor"),
        "a holder asks all members in one turn of its loop: that of `works` twice a second, also "
        "with an empty "
        "plan (`corkgauge/maintenance/planner.py`, `orders`), that of the books each five seconds "
        "(`corkgauge/leases/fleet_accounts_collector.py`, `begin`). The answers come together, "
        "and beyond some 250 a socket's "
        "buffer drops them: {{fleet.books.missing.without-shared}} were missing in an entry. "
        "Orders on a change "
        "alone, asking spread over the period; sums by zone or by a tree of members, each with "
        "what is missing "
        "and how old it is.",
    ),
    MissingMechanism(
        "Membership that tells less",
        (
            "control.rest.octets",
            "control.rest.octets.worst",
            "control.start.octets",
            "control.zone.octets",
            "control.zone.release",
            "control.release.octets",
            "control.release.octets.worst",
            "control.region.octets",
        ),
        "a bound of octets a period on words that ride along, what is new first; rolls by "
        "digests, not whole; "
        "news of many at once (a zone, a region) as one word.",
    ),
    MissingMechanism(
        "Hand-over within the limit with all as candidates",
        ("holder.handover.lost", "holder.handover.planned"),
        "a shorter lease, or a few standing by in order where now all stand for it.",
    ),
    MissingMechanism(
        "A plan of maintenance over engines and workload managers together",
        ("planner.units",),
        "the bound of units raised with its pieces and the voters' memory measured, or a plan "
        "for each "
        "region.",
    ),
    MissingMechanism(
        "Client connections that cost less memory",
        ("open.memory.clients", "serving.memory.clients"),
        "no ring for a connection that lies idle, one made when it is readable; records without "
        "an object a "
        "field.",
    ),
]
