"""Aggregates the peer health reports on one engine into a suspicion and a slowness estimate.

Performs no I/O. Reports are hints: recent data from the engine to the local gateway takes
precedence over a suspicion, a single reporter has no effect, and a few gateways still send attempts
to a suspected engine.

The weight of a report falls linearly with its age, from 1 to 0 at the end of its lifetime, and is
halved if the reporter is in another zone. A report on another incarnation of the engine is ignored.
An engine is *suspected* if reporters from at least two zones reported a fault (at least three
reporters if the fleet has only one zone), if the weights of their reports add up to at least that
of one fresh report from the local zone, and if this sum exceeds the sum of the weights of the
reports without a fault. A single gateway with false reports therefore cannot make an engine
suspected; in a fleet with several zones, neither can all gateways of one zone. While an engine is
suspected, a few gateways per period send it one attempt at a time, and all others send none; in a
small fleet, all gateways send one at a time (see `trials.py`). A gateway ignores the suspicion for
OWN_OBSERVATION_TICKS after the engine last sent data to this gateway; with the same reports, the
suspicion then returns. The slowness estimate is the weighted median of at least three reporters,
from at least two zones if the fleet has several. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from corkgauge.peer_health.health_report import REPORT_LIFETIME_TICKS, Fault, HealthReport

OTHER_ZONE_WEIGHT = 0.5  # factor on the weight of a report from another zone
MIN_SUSPICION_WEIGHT = 1.0  # sum of the weights of all reports of a fault
MIN_REPORTERS = 3  # for a suspicion in a fleet with one zone, and for a slowness estimate
# No suspicion holds for this time after the engine last sent data to the local gateway.
OWN_OBSERVATION_TICKS = 20_000
# Multiples of the usual response time; a reported slowness is clamped to this range.
MAX_SLOWNESS = 50.0
MIN_SLOWNESS = 0.5
MAX_NAMED_REPORTERS = 6  # reporters named in an assessment


@dataclass(frozen=True, slots=True)
class Assessment:
    """The result of aggregating the reports on one engine.

    `slowness` is a multiple of the usual response time, 0 without an estimate. `reporters` holds
    the names of gateways that reported a fault, separated by spaces; it is empty if the engine is
    not suspected.
    """

    slowness: float
    is_suspected: bool
    reporters: str


NO_ASSESSMENT = Assessment(0.0, False, "")


class SlownessSample(NamedTuple):
    """The slowness that one reporter measured, with the weight of the report."""

    slowness: float
    weight: float


@dataclass(slots=True)
class Tally:
    """Sums over the reports with a positive weight."""

    fault_weight: float = 0.0
    healthy_weight: float = 0.0
    fault_reporters: list[str] = field(default_factory=list)
    samples: list[SlownessSample] = field(default_factory=list)
    sample_zones: set[str] = field(default_factory=set)

    def add(self, report: HealthReport, weight: float, zone: str) -> None:
        """Add a report with this weight; `zone` is the reporter's."""
        if report.fault != Fault.NONE:
            self.fault_weight += weight
            self.fault_reporters.append(report.reporter)
        else:
            self.healthy_weight += weight
        if report.slowness_percent and report.sample_count:
            slowness = min(max(report.slowness_percent / 100, MIN_SLOWNESS), MAX_SLOWNESS)
            self.samples.append(SlownessSample(slowness, weight))
            self.sample_zones.add(zone)


def assess(
    reports: Iterable[HealthReport],
    now: int,
    engine_incarnation: int,
    own_name: str,
    zones: Mapping[str, str],
    own_observation_at: int,
) -> Assessment:
    """Aggregate the reports on one engine by the rule in the module's docstring.

    Args:
        reports: Reports on the engine, in any order.
        now: Current time.
        engine_incarnation: The engine's incarnation as known to the local gateway.
        own_name: Name of the local gateway.
        zones: Zone by gateway, the local gateway included.
        own_observation_at: When the engine last sent data to the local gateway; below 0 for
            never.

    >>> def report(reporter, fault, slowness=0):
    ...     return HealthReport(reporter, 1, 1, 0, "e1", 7, fault, slowness, 3)
    >>> zones = {"me": "a", "n2": "a", "n3": "a", "n4": "b"}
    >>> one_zone = [report("n2", Fault.SILENT), report("n3", Fault.SILENT)]
    >>> assess(one_zone, 0, 7, "me", zones, -1).is_suspected     # false reports of one zone
    False
    >>> two_zones = [report("n2", Fault.SILENT), report("n4", Fault.SILENT)]
    >>> assess(two_zones, 0, 7, "me", zones, -1).is_suspected
    True
    >>> assess(two_zones, 0, 7, "me", zones, 0).is_suspected      # recent data from the engine
    False
    >>> assess(two_zones, 0, 8, "me", zones, -1).is_suspected     # on an earlier incarnation
    False
    >>> slow = [report("n2", Fault.NONE, 300), report("n3", Fault.NONE, 200)]
    >>> assess([*slow, report("n4", Fault.NONE, 9900)], 0, 7, "me", zones, -1).slowness
    3.0
    """
    has_several_zones = len({*zones.values()}) > 1
    tally = Tally()
    for report in reports:
        is_from_peer = report.reporter != own_name and report.reporter in zones
        if not is_from_peer or report.engine_incarnation != engine_incarnation:
            continue
        zone = zones[report.reporter]
        weight = max(1 - (now - report.found_at) / REPORT_LIFETIME_TICKS, 0.0)
        if zone != zones.get(own_name, ""):
            weight *= OTHER_ZONE_WEIGHT
        if weight > 0:
            tally.add(report, weight, zone)
    own_observation_ends = own_observation_at + OWN_OBSERVATION_TICKS
    has_own_observation = own_observation_at >= 0 and now < own_observation_ends
    is_suspected = not has_own_observation and _is_suspicion_justified(
        tally, zones, has_several_zones
    )
    slowness = 0.0
    if len(tally.samples) >= MIN_REPORTERS and (
        len(tally.sample_zones) > 1 or not has_several_zones
    ):
        slowness = _weighted_median(tally.samples)
    reporters = (
        " ".join(sorted(tally.fault_reporters)[:MAX_NAMED_REPORTERS]) if is_suspected else ""
    )
    return Assessment(slowness, is_suspected, reporters)


def _is_suspicion_justified(
    tally: Tally, zones: Mapping[str, str], has_several_zones: bool
) -> bool:
    """Return whether the reports of a fault suffice and outweigh those without a fault."""
    if has_several_zones:
        has_quorum = len({zones[name] for name in tally.fault_reporters}) > 1
    else:
        has_quorum = len(tally.fault_reporters) >= MIN_REPORTERS
    return (
        has_quorum
        and tally.fault_weight >= MIN_SUSPICION_WEIGHT
        and tally.fault_weight > tally.healthy_weight
    )


def _weighted_median(samples: list[SlownessSample]) -> float:
    """Return the lowest slowness at which the cumulated weight reaches half of the total weight.

    >>> _weighted_median([SlownessSample(*each) for each in ((1.0, 1.0), (9.0, 0.2), (2.0, 1.0))])
    2.0
    """
    half = sum(sample.weight for sample in samples) / 2
    cumulated_weight = 0.0
    for sample in sorted(samples):
        cumulated_weight += sample.weight
        if cumulated_weight >= half:
            return sample.slowness
    return 0.0
