"""The rows of docs/CAPACITY.md that are worked out: role by role, with budget and mechanism.

Owns the formulas. Must never hold a measured figure: what a run gave is asked for by its key (see
capacity.py).
"""

from math import sqrt

from benchmarks.capacity import PEAKS, SIZE, Ask, Missing, Size, Worked
from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance import plan
from corkgauge.net import discovery_protocol as feed_wire
from corkgauge.net import platform_frontend as frames
from corkgauge.peer_health import reports as findings

TENTH = 0.1  # of all, restarted at a time by a release
RATE, DAY = SIZE["statements"], SIZE["day"]
CORE, MEMORY, OCTETS = (SIZE[name] for name in ("core_percent", "memory_mb", "octets"))
SERVING, CONTROL, VOTER, HOLDER = (
    "workload manager, serving",
    "workload manager, control",
    "voter",
    "holder of a duty",
)
PLANNER, FEED, DATABASE, TOOLS = "planner", "list feed", "database", "operator's tools"
CHOICE = "working set of engines, `corkgauge/policy/gateway.py`"
HUB, CODEC = "the hub's poll, `corkgauge/eventloop/loop.py`", "frames by hand, `corkgauge/net/`"
RINGS = "rings that lie empty between requests, `corkgauge/eventloop/ring_buffer.py`"
RESTART = (
    "restart by hand, `corkgauge/daemon/configuration_reload.py` "
    "(`ConfigurationReloader.reload` names what waits)"
)
SWIM = "asking one a period, `corkgauge/membership/member_list.py`"
FINDINGS = "findings of a witness, the last of each, `corkgauge/peer_health/reports.py`"
LEASES = "leases by votes, `corkgauge/leases/`"
BOOKS = "the fleet's books, `corkgauge/leases/fleet_accounts.py`"


def serving(ask: Ask, n: Size, times: float) -> float:
    """Percent of a core that the decisions take."""
    return ask("alone.decision.engines", n.engines) * n.statements * times / 10


def busiest(mean: float) -> float:
    """Of Poisson's counts with this mean, about the largest among the 864,000 windows of 100 ms of a day."""
    return mean + 4.9 * sqrt(mean)


def event(ask: Ask) -> float:
    """Octets of one engine in an event of the list."""
    return ask("settings.list.octets", slope=True)


def changes_a_day(n: Size) -> float:
    """Restarts and failures, each told twice (gone, there again)."""
    return 2 * (n.restarts + n.machine_failures)


WORKED: dict[str, Worked] = {
    # A workload manager, serving.
    "serving.decision": Worked(
        SERVING,
        "processor of a decision before all engines, against one core for all statements",
        "ms",
        lambda ask, n: ask("alone.decision.engines", n.engines),
        1000 / RATE,
        "day",
        CHOICE,
    ),
    "serving.decisions": Worked(
        SERVING,
        "decisions, mean traffic",
        "% of a core",
        lambda ask, n: serving(ask, n, 1),
        100,
        "day",
        CHOICE,
    ),
    "serving.decisions.three": Worked(
        SERVING,
        "decisions, three times the mean",
        "% of a core",
        lambda ask, n: serving(ask, n, PEAKS["three"]),
        100,
        "worst",
        CHOICE,
    ),
    "serving.decisions.five": Worked(
        SERVING,
        "decisions, five times the mean",
        "% of a core",
        lambda ask, n: serving(ask, n, PEAKS["five"]),
        100,
        "worst",
        CHOICE,
    ),
    "serving.statement": Worked(
        SERVING,
        "a whole statement on sockets, frames read and written, before all engines",
        "ms",
        lambda ask, n: ask("alone.statement.sockets", n.engines),
        1000 / RATE,
        "day",
        f"{CODEC}; {CHOICE}",
    ),
    "serving.cores": Worked(
        SERVING,
        "whole statements, mean traffic",
        "% of a core",
        lambda ask, n: ask("alone.statement.sockets", n.engines) * n.statements / 10,
        100,
        "day",
        f"{CODEC}; {CHOICE}",
    ),
    "serving.cores.three": Worked(
        SERVING,
        "whole statements, three times the mean",
        "% of a core",
        lambda ask, n: ask("alone.statement.sockets", n.engines)
        * n.statements
        * PEAKS["three"]
        / 10,
        100,
        "worst",
        f"{CODEC}; {CHOICE}",
    ),
    "serving.cores.zone": Worked(
        SERVING,
        "whole statements, a zone lost during a release of a tenth, spread over all others",
        "% of a core",
        lambda ask, n: ask("alone.statement.sockets", n.engines)
        * n.statements
        / 10
        / (1 - 1 / n.zones - TENTH),
        100,
        "worst",
        f"{CODEC}; {CHOICE}",
    ),
    "serving.burst": Worked(
        SERVING,
        "decisions of the busiest 100 ms of a day, were statements independent: the mean and 4.9 roots of it",
        "ms",
        lambda ask, n: ask("alone.decision.engines", n.engines) * busiest(n.statements / 10),
        100,
        "worst",
        CHOICE,
    ),
    "serving.turn": Worked(
        SERVING,
        "one turn of the hub over all client connections and one link to each engine",
        "ms",
        lambda ask, n: ask("alone.turn.descriptors", n.connections + n.engines),
        1000 / RATE,
        "day",
        HUB,
    ),
    "serving.memory.clients": Worked(
        SERVING,
        "client connections, quiet",
        "MB",
        lambda ask, n: ask("alone.memory.clients", n.connections) / 1024,
        MEMORY,
        "rest",
        RINGS,
    ),
    "serving.memory.links": Worked(
        SERVING,
        "one link to each engine of the list, quiet",
        "MB",
        lambda ask, n: ask("alone.memory.links", n.engines) / 1024,
        MEMORY,
        "rest",
        RINGS,
    ),
    "serving.memory.links.set": Worked(
        SERVING,
        "one link to each engine of the largest working set, quiet",
        "MB",
        lambda ask, n: ask("alone.memory.links", ask("subset.ours.size_most")) / 1024,
        MEMORY,
        "rest",
        RINGS,
    ),
    "serving.memory.open": Worked(
        SERVING,
        "requests open for two seconds at three times the mean",
        "MB",
        lambda ask, n: ask("alone.memory.open", 2 * n.statements * PEAKS["three"]) / 1024,
        MEMORY,
        "worst",
        RINGS,
    ),
    "serving.descriptors": Worked(
        SERVING,
        "descriptors: clients and a link to each engine; clients get half of `sockets`, links a third",
        "descriptors",
        lambda ask, n: max(2 * n.connections, 3 * n.engines),
        None,
        "rest",
        "`limits.sockets`, `corkgauge/net/host.py`",
    ),
    "serving.change": Worked(
        SERVING,
        "changes of the list by restarts and failures, decisions anew with them",
        "% of a core",
        lambda ask, n: ask("alone.decision.change", n.engines) * changes_a_day(n) / DAY / 10,
        CORE,
        "day",
        CHOICE,
    ),
    "serving.ready": Worked(
        SERVING,
        "start to ready with the whole list, processor",
        "s",
        lambda ask, n: ask("alone.ready.engines", n.engines),
        SIZE["change_s"],
        "day",
        "`corkgauge/daemon/process.py`",
    ),
    "serving.ready.tenth": Worked(
        SERVING,
        "start to ready with the whole list, with a tenth of a core",
        "s",
        lambda ask, n: ask("alone.ready.engines.tenth", n.engines),
        SIZE["primary_s"],
        "worst",
        "`corkgauge/daemon/process.py`",
    ),
    # Control of a workload manager, apart from serving.
    "control.list.memory": Worked(
        CONTROL,
        "the list of engines with what is known of each",
        "MB",
        lambda ask, n: ask("alone.memory.engines", n.engines) / 1024,
        MEMORY,
        "rest",
        "`corkgauge/policy/records.py` (`View`)",
    ),
    "control.list.start": Worked(
        CONTROL,
        "the whole list, taken in at a start",
        "ms",
        lambda ask, n: ask("alone.list.start", n.engines),
        SIZE["change_s"] * 1000,
        "day",
        "`corkgauge/net/host.py`",
    ),
    "control.list.day": Worked(
        CONTROL,
        "changes of the list by restarts and failures, read and taken in",
        "% of a core",
        lambda ask, n: ask("alone.list.change", n.engines) * changes_a_day(n) / DAY / 10,
        CORE,
        "day",
        "events of what changed, `corkgauge/net/discovery.py`",
    ),
    "control.list.octets": Worked(
        CONTROL,
        "events of the list by restarts and failures",
        "octets a second",
        lambda ask, n: event(ask) * changes_a_day(n) / DAY,
        OCTETS,
        "day",
        "`corkgauge/net/discovery.py`",
    ),
    "control.list.zone": Worked(
        CONTROL,
        "the list as a zone of all engines is lost and told within ten seconds",
        "octets a second",
        lambda ask, n: event(ask) * n.engines / n.zones / 10,
        OCTETS,
        "worst",
        "`corkgauge/net/discovery.py`",
    ),
    "control.restart.processor": Worked(
        CONTROL,
        "configuration by restart, all changes of a day: processor",
        "% of a core",
        lambda ask, n: ask("settings.restart.processor", n.engines) * n.changes / DAY * 100,
        CORE,
        "day",
        RESTART,
    ),
    "control.restart.unready": Worked(
        CONTROL,
        "configuration by restart: serves nobody, part of the day",
        "%",
        lambda ask, n: ask("settings.restart.unready", n.engines) * n.changes / DAY * 100,
        None,
        "day",
        RESTART,
    ),
    "control.restart.octets": Worked(
        CONTROL,
        "configuration by restart: what the restarts of all the others cost each in datagrams, mean",
        "octets a second",
        lambda ask, n: ask("fleet.restart.octets", n.gateways) * n.changes / DAY,
        OCTETS,
        "day",
        RESTART,
    ),
    "control.restart.drain": Worked(
        CONTROL,
        "configuration by restart: serves nobody new, while what is open may take its time",
        "s",
        lambda ask, n: ask("settings.restart.unready", n.engines)
        + frames.MAX_SHUTDOWN_WAIT_TICKS / SECOND,
        SIZE["change_s"],
        "day",
        RESTART,
    ),
    "control.restart.connections": Worked(
        CONTROL,
        "configuration by restart: client connections made anew at all, mean",
        "a second",
        lambda ask, n: n.fleet_connections * n.changes / DAY,
        None,
        "day",
        RESTART,
    ),
    "control.change": Worked(
        CONTROL,
        "a change in force everywhere by restarts of a tenth at a time, ten after each other",
        "s",
        lambda ask, n: 10 * ask("settings.restart.unready", n.engines),
        SIZE["change_s"],
        "day",
        RESTART,
    ),
    "control.change.octets": Worked(
        CONTROL,
        "configuration as a whole to each at each change, 20 classes, 1,000 tenants",
        "octets a second",
        lambda ask, n: ask("settings.octets.whole") * n.changes / DAY,
        OCTETS,
        "day",
        "none",
    ),
    "control.change.burst": Worked(
        CONTROL,
        "configuration as a whole to each within the five seconds",
        "octets a second",
        lambda ask, n: ask("settings.octets.whole") / n.change_s,
        OCTETS,
        "worst",
        "none",
    ),
    "control.change.gossip": Worked(
        CONTROL,
        "a change as a delta by gossip, fan-out three, a tenth of all datagrams lost: until all have it",
        "s",
        lambda ask, n: ask("settings.gossip.delta.time.f3.loss10", n.gateways),
        SIZE["change_s"],
        "ways",
        "none (simulated)",
    ),
    "control.change.gossip.octets": Worked(
        CONTROL,
        "a change as a delta by gossip, fan-out three, a tenth lost: busiest second of one member",
        "octets a second",
        lambda ask, n: ask("settings.gossip.delta.peak.f3.loss10", n.gateways),
        OCTETS,
        "ways",
        "none (simulated)",
    ),
    # A member of the fleet: the datagrams of membership, duties, maintenance and findings.
    "control.rest.octets": Worked(
        CONTROL,
        "datagrams at rest, sent and received, mean",
        "octets a second",
        lambda ask, n: ask("fleet.rest.octets", n.gateways),
        OCTETS,
        "rest",
        SWIM,
    ),
    "control.rest.octets.worst": Worked(
        CONTROL,
        "datagrams at rest, sent and received, the worst member",
        "octets a second",
        lambda ask, n: ask("fleet.rest.octets.worst", n.gateways),
        OCTETS,
        "rest",
        SWIM,
    ),
    "control.rest.datagrams": Worked(
        CONTROL,
        "datagrams at rest, sent and received, mean",
        "a second",
        lambda ask, n: ask("fleet.rest.datagrams", n.gateways),
        None,
        "rest",
        SWIM,
    ),
    "control.rest.sum": Worked(
        CONTROL,
        "octets sent at rest, by all",
        "octets a second",
        lambda ask, n: ask("fleet.rest.octets.sum", n.gateways),
        SIZE["fleet_octets"],
        "rest",
        SWIM,
    ),
    "control.rest.processor": Worked(
        CONTROL,
        "processor at rest, with the kernel's part, mean",
        "% of a core",
        lambda ask, n: ask("fleet.rest.processor", n.gateways),
        CORE,
        "rest",
        SWIM,
    ),
    "control.rest.processor.worst": Worked(
        CONTROL,
        "processor at rest, the worst member without a duty",
        "% of a core",
        lambda ask, n: ask("fleet.rest.processor.worst", n.gateways),
        CORE,
        "rest",
        SWIM,
    ),
    "control.rest.memory": Worked(
        CONTROL,
        "memory of a member, over an empty process",
        "MB",
        lambda ask, n: ask("fleet.rest.memory", n.gateways),
        MEMORY,
        "rest",
        SWIM,
    ),
    "control.restarts.octets": Worked(
        CONTROL,
        "restarts of a day: what they cost each of the others, mean",
        "octets a second",
        lambda ask, n: ask("fleet.restart.octets", n.gateways) * n.restarts / DAY / n.gateways,
        OCTETS,
        "day",
        SWIM,
    ),
    "control.release.octets": Worked(
        CONTROL,
        "a release: a tenth restarted within ten seconds, mean of thirty seconds",
        "octets a second",
        lambda ask, n: ask("fleet.release.octets", n.gateways),
        OCTETS,
        "day",
        SWIM,
    ),
    "control.release.octets.worst": Worked(
        CONTROL,
        "a release: a tenth restarted within ten seconds, the worst member",
        "octets a second",
        lambda ask, n: ask("fleet.release.octets.worst", n.gateways),
        OCTETS,
        "worst",
        SWIM,
    ),
    "control.start.octets": Worked(
        CONTROL,
        "all start within a second: first ten seconds, mean",
        "octets a second",
        lambda ask, n: ask("fleet.start.octets", n.gateways),
        OCTETS,
        "worst",
        SWIM,
    ),
    "control.start.time": Worked(
        CONTROL,
        "all start within a second: until all know all",
        "s",
        lambda ask, n: ask("fleet.start.time", n.gateways),
        None,
        "worst",
        SWIM,
    ),
    "control.machine.known": Worked(
        CONTROL,
        "a machine lost: until all hold it gone",
        "s",
        lambda ask, n: ask("fleet.known.time", n.gateways),
        None,
        "day",
        SWIM,
    ),
    "control.rack.known": Worked(
        CONTROL,
        "a rack lost: until all hold it gone",
        "s",
        lambda ask, n: ask("fleet.rack.known", n.gateways),
        None,
        "worst",
        SWIM,
    ),
    "control.zone.octets": Worked(
        CONTROL,
        "a zone lost: while it becomes known, mean",
        "octets a second",
        lambda ask, n: ask("fleet.zone.octets", n.gateways),
        OCTETS,
        "worst",
        SWIM,
    ),
    "control.zone.known": Worked(
        CONTROL,
        "a zone lost: until all hold it gone",
        "s",
        lambda ask, n: ask("fleet.zone.known", n.gateways),
        None,
        "worst",
        SWIM,
    ),
    "control.zone.release": Worked(
        CONTROL,
        "a zone lost during a release: octets of both at once, mean",
        "octets a second",
        lambda ask, n: ask("fleet.zone.octets", n.gateways)
        + ask("fleet.release.octets", n.gateways)
        - ask("fleet.rest.octets", n.gateways),
        OCTETS,
        "worst",
        SWIM,
    ),
    "control.region.octets": Worked(
        CONTROL,
        "a region healed after a cut: first ten seconds, mean",
        "octets a second",
        lambda ask, n: ask("fleet.region.octets", n.gateways),
        OCTETS,
        "worst",
        SWIM,
    ),
    "control.region.healed": Worked(
        CONTROL,
        "a region healed after a cut: until all know all",
        "s",
        lambda ask, n: ask("fleet.region.healed", n.gateways),
        None,
        "worst",
        SWIM,
    ),
    "control.findings.memory": Worked(
        CONTROL,
        "findings of twenty others on every engine",
        "MB",
        lambda ask, n: ask("fleet.findings.engines", n.engines),
        MEMORY,
        "worst",
        FINDINGS,
    ),
    "control.findings.forget": Worked(
        CONTROL,
        "findings of twenty others on every engine: looks for old ones, four a second",
        "% of a core",
        lambda ask, n: ask("fleet.findings.forget", n.engines) * 4 / 10,
        CORE,
        "worst",
        FINDINGS,
    ),
    "control.findings.digest": Worked(
        CONTROL,
        "findings of twenty others on every engine: comparisons, one in 1.5 s",
        "% of a core",
        lambda ask, n: ask("fleet.findings.digest", n.engines) / 1.5 / 10,
        CORE,
        "worst",
        FINDINGS,
    ),
    "control.findings.merge": Worked(
        CONTROL,
        "findings of twenty others on every engine: heard a first time, all",
        "ms of processor",
        lambda ask, n: ask("fleet.findings.merge", n.engines),
        None,
        "worst",
        FINDINGS,
    ),
    # Voters, holders, planner.
    "voter.rest.octets": Worked(
        VOTER,
        "datagrams at rest, sent and received",
        "octets a second",
        lambda ask, n: ask("fleet.rest.octets.voter", n.gateways),
        SIZE["fleet_octets"] / SIZE["machines"],
        "rest",
        LEASES,
    ),
    "voter.rest.datagrams": Worked(
        VOTER,
        "datagrams at rest, sent and received",
        "a second",
        lambda ask, n: ask("fleet.rest.datagrams.voter", n.gateways),
        None,
        "rest",
        LEASES,
    ),
    "voter.rest.processor": Worked(
        VOTER,
        "processor at rest, against one core of a machine set aside",
        "% of a core",
        lambda ask, n: ask("fleet.rest.processor.voter", n.gateways),
        100,
        "rest",
        LEASES,
    ),
    "voter.rest.memory": Worked(
        VOTER,
        "memory, over an empty process",
        "MB",
        lambda ask, n: ask("fleet.rest.memory.voter", n.gateways),
        MEMORY,
        "rest",
        LEASES,
    ),
    "voter.handover.burst": Worked(
        VOTER,
        "datagrams in the worst 100 ms as the holder's machine is lost",
        "datagrams",
        lambda ask, n: ask("fleet.handover.lost.burst", n.gateways),
        None,
        "worst",
        LEASES,
    ),
    "voter.handover.planned.burst": Worked(
        VOTER,
        "datagrams in the worst 100 ms of a planned hand-over",
        "datagrams",
        lambda ask, n: ask("fleet.handover.planned.burst", n.gateways),
        None,
        "day",
        LEASES,
    ),
    "holder.handover.lost": Worked(
        HOLDER,
        "its machine lost: nobody holds the duty",
        "s",
        lambda ask, n: ask("fleet.handover.lost", n.gateways),
        SIZE["primary_s"],
        "worst",
        LEASES,
    ),
    "holder.handover.planned": Worked(
        HOLDER,
        "it ends in order: nobody holds the duty",
        "s",
        lambda ask, n: ask("fleet.handover.planned", n.gateways),
        SIZE["primary_s"],
        "day",
        LEASES,
    ),
    "holder.rest.octets": Worked(
        HOLDER,
        "datagrams at rest, of the holder that has more",
        "octets a second",
        lambda ask, n: ask("fleet.rest.octets.holder", n.gateways),
        OCTETS,
        "rest",
        BOOKS,
    ),
    "holder.rest.processor": Worked(
        HOLDER,
        "processor at rest, of the holder that has more",
        "% of a core",
        lambda ask, n: ask("fleet.rest.processor.holder", n.gateways),
        CORE,
        "rest",
        BOOKS,
    ),
    "holder.books.missing": Worked(
        HOLDER,
        "members missing in an entry of the fleet's books",
        "members",
        lambda ask, n: ask("fleet.books.missing", n.gateways),
        None,
        "day",
        BOOKS,
    ),
    "planner.order": Worked(
        PLANNER,
        "an order of maintenance over all engines, against a second",
        "ms of processor",
        lambda ask, n: ask("fleet.order.engines", n.engines),
        1000,
        "day",
        "Hall's condition, `corkgauge/maintenance/schedule.py`",
    ),
    "planner.units": Worked(
        PLANNER,
        "engines and workload managers in one plan, against `MAX_UNITS`",
        "units",
        lambda ask, n: n.engines + n.gateways,
        plan.MAX_UNITS,
        "day",
        "none; `corkgauge/maintenance/plan.py` refuses more",
    ),
    # What the list feed and the databases see.
    **{
        f"feed.whole{name}": Worked(
            FEED,
            f"the whole list as one event, {said}, against the longest line that is taken",
            "octets",
            lambda ask, n, key="settings.list.octets" + name: ask(key, n.engines),
            feed_wire.MAX_LINE_BYTES,
            "day",
            "one event up to a bound (`corkgauge/net/discovery_protocol.py`); a longer one ends the connection, the list stays",
        )
        for name, said in (
            ("", "ids of 8 characters"),
            (".long", "ids of 36 characters, as a cloud gives them"),
            (".compact", "ids of 8 characters, JSON without spaces"),
        )
    },
    "feed.all": Worked(
        FEED,
        "the whole list to all workload managers after a restart of all",
        "octets",
        lambda ask, n: ask("settings.list.octets", n.engines) * n.gateways,
        None,
        "worst",
        "none",
    ),
    "database.links.all": Worked(
        DATABASE,
        "links at each, all pairs, one link each",
        "links",
        lambda ask, n: n.gateways,
        None,
        "rest",
        "none",
    ),
    "database.links.set": Worked(
        DATABASE,
        "links at the busiest, with the working set",
        "links",
        lambda ask, n: ask("subset.ours.links_engine"),
        None,
        "rest",
        CHOICE,
    ),
    "database.links.fleet": Worked(
        DATABASE,
        "warm pairs in the fleet, with the working set",
        "pairs",
        lambda ask, n: ask("subset.ours.links"),
        None,
        "rest",
        CHOICE,
    ),
    "database.even": Worked(
        DATABASE,
        "sets that hold an engine, worst over mean of its zone and kind, with the working set",
        "times",
        lambda ask, n: ask("subset.ours.evenness"),
        1.25,
        "rest",
        CHOICE,
    ),
    "findings.held": Worked(
        TOOLS,
        "findings that one witness may have, one an engine, against `MOST_EACH`",
        "findings",
        lambda ask, n: n.engines,
        findings.MAX_REPORTS_PER_REPORTER,
        "worst",
        "`corkgauge/peer_health/reports.py`",
    ),
    # Ways in which a change of configuration could reach all.
    "ways.one.whole": Worked(
        CONTROL,
        "one holder sends the whole to each within the five seconds",
        "octets a second",
        lambda ask, n: ask("settings.octets.whole") * n.gateways / n.change_s,
        OCTETS,
        "ways",
    ),
    "ways.one.whole.time": Worked(
        CONTROL,
        "one holder sends the whole to each at the rate that control may take",
        "s",
        lambda ask, n: ask("settings.octets.whole") * n.gateways / n.octets,
        SIZE["change_s"],
        "ways",
    ),
    "ways.one.delta": Worked(
        CONTROL,
        "one holder sends what changed to each within the five seconds",
        "octets a second",
        lambda ask, n: ask("settings.octets.delta") * n.gateways / n.change_s,
        OCTETS,
        "ways",
    ),
    "ways.three.whole": Worked(
        VOTER,
        "the three machines send the whole to a third of all each, within the five seconds",
        "octets a second",
        lambda ask, n: ask("settings.octets.whole") * n.gateways / n.machines / n.change_s,
        SIZE["fleet_octets"] / SIZE["machines"],
        "ways",
    ),
    "ways.three.delta": Worked(
        VOTER,
        "the three machines send what changed to a third of all each, within the five seconds",
        "octets a second",
        lambda ask, n: ask("settings.octets.delta") * n.gateways / n.machines / n.change_s,
        SIZE["fleet_octets"] / SIZE["machines"],
        "ways",
    ),
    "ways.each.whole": Worked(
        CONTROL,
        "each takes in one whole a change, within the five seconds, whoever sends",
        "octets a second",
        lambda ask, n: ask("settings.octets.whole") / n.change_s,
        OCTETS,
        "ways",
    ),
    # Open words, both readings.
    "open.zones.all.gateways": Worked(
        SERVING,
        "a zone, where five are meant in all: workload managers lost with it",
        "workload managers",
        lambda ask, n: n.gateways / n.zones,
        None,
        "open",
    ),
    "open.zones.each.gateways": Worked(
        SERVING,
        "a zone, where five are meant in each region: workload managers lost with it",
        "workload managers",
        lambda ask, n: n.gateways / n.zones / n.regions,
        None,
        "open",
    ),
    "open.zones.all.load": Worked(
        SERVING,
        "load of the others after a zone is lost, five in all, shared by all",
        "times",
        lambda ask, n: 1 / (1 - 1 / n.zones),
        None,
        "open",
    ),
    "open.zones.each.load": Worked(
        SERVING,
        "load of the others after a zone is lost, five in each region, shared by all",
        "times",
        lambda ask, n: 1 / (1 - 1 / n.zones / n.regions),
        None,
        "open",
    ),
    "open.zones.all.region": Worked(
        SERVING,
        "load of the others within the smaller region alone, five in all (two there), regions cut",
        "times",
        lambda ask, n: 1 / (1 - 1 / (n.zones // n.regions)),
        None,
        "open",
    ),
    "open.zones.each.region": Worked(
        SERVING,
        "load of the others within a region alone, five in each, regions cut",
        "times",
        lambda ask, n: 1 / (1 - 1 / n.zones),
        None,
        "open",
    ),
    "open.primary.holder": Worked(
        HOLDER,
        "primary = who holds a duty of ours: hand-over with all candidates",
        "s",
        lambda ask, n: ask("fleet.handover.lost", n.gateways),
        SIZE["primary_s"],
        "open",
        "`corkgauge/leases/`",
    ),
    "open.primary.database": Worked(
        FEED,
        "primary = which database of a group takes writes, as the list tells it: octets to all at each change",
        "octets",
        lambda ask, n: 2 * event(ask) * n.gateways,
        None,
        "open",
        "`corkgauge/net/discovery.py`",
    ),
    "open.memory.control": Worked(
        CONTROL,
        "128 MB for control alone: the list",
        "MB",
        lambda ask, n: ask("alone.memory.engines", n.engines) / 1024,
        MEMORY,
        "open",
    ),
    "open.memory.clients": Worked(
        CONTROL,
        "128 MB with clients' buffers, all quiet: the list, links of the largest set, clients",
        "MB",
        lambda ask, n: (
            ask("alone.memory.engines", n.engines)
            + ask("alone.memory.links", ask("subset.ours.size_most"))
            + ask("alone.memory.clients", n.connections)
        )
        / 1024,
        MEMORY,
        "open",
    ),
    "open.memory.resident": Worked(
        CONTROL,
        "128 MB for the whole process: resident as it is ready, nobody there yet",
        "MB",
        lambda ask, n: ask("alone.memory.serve", n.engines),
        MEMORY,
        "open",
    ),
}

# What is not there. The page ranks them: what stands before serving first, then what is wholly
# absent, then by factor.
MISSING = [
    Missing(
        "A change of configuration in force everywhere without a restart",
        ("control.change", "control.restart.drain"),
        "settings that a running program takes: classes and limits exchanged between two statements, what "
        "holds state kept ({{settings.taken.tenants@2000}} to read and check one of 2,000 tenants); versions "
        "with a digest; deltas (JSON merge patch, RFC 7396: {{settings.octets.delta}} against "
        "{{settings.octets.whole}} whole); gossip among the members that there are "
        "({{worked.control.change.gossip}} until all have it, {{worked.control.change.gossip.octets}} in the "
        "busiest second of one); a fetch of what was missed, at a start and after a cut; a refusal that is "
        "told everywhere. Wholes by gossip do not fit the octets.",
        absent=True,
    ),
    Missing(
        "A list of engines that comes in pieces, or a bound that follows its size",
        ("feed.whole", "feed.whole.long", "feed.whole.compact"),
        "the reader of the feed took a whole list of {{settings.list.most}}, {{settings.list.most.long:bare}} "
        "with ids of 36 characters, as it was measured; at a longer one it ends the connection, again at each "
        "try, and a workload manager goes on with the list that it knew. A bound that follows what is stated, "
        "or a list in several events with its end told.",
        serving=True,
    ),
    Missing(
        "A statement that costs less, or several processes before one port",
        (
            "serving.cores",
            "serving.cores.three",
            "serving.statement",
            "serving.decision",
            "serving.decisions.three",
            "serving.decisions.five",
        ),
        "at the rate that it was measured at (200 a second) turns of the hub and what the module works out "
        "each 20 ms are shared by few statements; at 1,000 a second one costs {{alone.statement.rate@1000}} "
        "before 40 engines, which is still over the budget. What it goes to is under 'what remains of a "
        "statement'. Less of it first: frames, links, the walk of the order. Beyond that several processes on a "
        "machine that share the port (SO_REUSEPORT), each a workload manager of its own, which multiplies "
        "members, links and cold parts; the platform asks for one process.",
        serving=True,
    ),
    Missing(
        "Books of the fleet that are summed on the way, orders that go out on a change",
        ("holder.rest.octets", "holder.rest.processor"),
        "a holder asks all members in one turn of its loop: that of `works` twice a second, also with an empty "
        "plan (`corkgauge/maintenance/planner.py`, `orders`), that of the books each five seconds "
        "(`corkgauge/leases/fleet_accounts_collector.py`, `begin`). The answers come together, and beyond some 250 a socket's "
        "buffer drops them: {{fleet.books.missing.without-shared}} were missing in an entry. Orders on a change "
        "alone, asking spread over the period; sums by zone or by a tree of members, each with what is missing "
        "and how old it is.",
    ),
    Missing(
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
        "a bound of octets a period on words that ride along, what is new first; rolls by digests, not whole; "
        "news of many at once (a zone, a region) as one word.",
    ),
    Missing(
        "Hand-over within the limit with all as candidates",
        ("holder.handover.lost", "holder.handover.planned"),
        "a shorter lease, or a few standing by in order where now all stand for it.",
    ),
    Missing(
        "A plan of maintenance over engines and workload managers together",
        ("planner.units",),
        "the bound of units raised with its pieces and the voters' memory measured, or a plan for each "
        "region.",
    ),
    Missing(
        "Client connections that cost less memory",
        ("open.memory.clients", "serving.memory.clients"),
        "no ring for a connection that lies idle, one made when it is readable; records without an object a "
        "field.",
    ),
]
