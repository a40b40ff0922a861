"""What the reports of other gateways on one engine come to: suspected or not, and how slow.

Free of I/O. Reports never command: what this gateway observed itself goes first, one reporter alone
counts for nothing, and a suspected engine is still tried.

The rule: the weight of a report falls with its age, from 1 to 0 at the end of its lifetime, and is
halved where the reporter sits in another zone. A report on another incarnation of the engine counts
for nothing. An engine is *suspected* where reporters of at least two zones found a fault (at least
three reporters where the fleet has one zone only), their weights add up to that of one fresh report
from our zone, and they outweigh those that found it well. So a liar, or a majority of liars in one
zone, makes no suspicion; and a suspicion lets one attempt at a time go there, until the first good
answer of our own ends it. The slowness estimate is the weighted median of at least three reporters,
of two zones where there are two. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from corkgauge.peer_health.health_report import REPORT_LIFETIME_TICKS, Fault, HealthReport

OTHER_ZONE_WEIGHT = 0.5  # of a report from another zone, against one from ours
MIN_SUSPICION_WEIGHT = 1.0  # of all reports of a fault together
MIN_REPORTERS = 3  # for a suspicion where the fleet has one zone; and for a slowness estimate
OWN_OBSERVATION_TICKS = 20_000  # a sign of our own this young overrides any suspicion
MAX_SLOWNESS = 50.0  # what a reporter may say: wild figures are taken as these
MIN_SLOWNESS = 0.5
MAX_NAMED_REPORTERS = 6  # that an assessment names


@dataclass(frozen=True, slots=True)
class Assessment:
    """What the reports on one engine come to.

    `slowness` is a multiple of the usual response time, 0 where no estimate can be made.
    `reporters` are names of those that found a fault, parted by spaces, empty where the engine is
    not suspected.
    """

    slowness: float
    is_suspected: bool
    reporters: str


NO_ASSESSMENT = Assessment(0.0, False, "")


class SlownessSample(NamedTuple):
    """A reporter's word on slowness, with its weight."""

    slowness: float
    weight: float


@dataclass(slots=True)
class Tally:
    """Sums over the reports that count."""

    fault_weight: float = 0.0
    healthy_weight: float = 0.0
    fault_reporters: list[str] = field(default_factory=list)
    samples: list[SlownessSample] = field(default_factory=list)
    sample_zones: set[str] = field(default_factory=set)

    def add(self, report: HealthReport, weight: float, zone: str) -> None:
        """Count one report, of a reporter in this zone."""
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
    """Weigh the reports on one engine by the rule above.

    `zones` is by gateway, ours among them; `engine_incarnation` is the engine's start as this
    gateway was told it; `own_observation_at` is when the engine last gave a sign to us, below 0
    for never.

    >>> def report(reporter, fault, slowness=0):
    ...     return HealthReport(reporter, 1, 1, 0, "e1", 7, fault, slowness, 3)
    >>> zones = {"me": "a", "n2": "a", "n3": "a", "n4": "b"}
    >>> one_zone = [report("n2", Fault.SILENT), report("n3", Fault.SILENT)]
    >>> assess(one_zone, 0, 7, "me", zones, -1).is_suspected     # one zone may be lying
    False
    >>> two_zones = [report("n2", Fault.SILENT), report("n4", Fault.SILENT)]
    >>> assess(two_zones, 0, 7, "me", zones, -1).is_suspected
    True
    >>> assess(two_zones, 0, 7, "me", zones, 0).is_suspected      # we know better
    False
    >>> assess(two_zones, 0, 8, "me", zones, -1).is_suspected     # it has restarted since
    False
    >>> slow = [report("n2", Fault.NONE, 300), report("n3", Fault.NONE, 200)]
    >>> assess([*slow, report("n4", Fault.NONE, 9900)], 0, 7, "me", zones, -1).slowness
    3.0
    """
    has_several_zones = len({*zones.values()}) > 1
    tally = Tally()
    for report in reports:
        is_of_a_member = report.reporter != own_name and report.reporter in zones
        if not is_of_a_member or report.engine_incarnation != engine_incarnation:
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
    """Whether the reports of a fault are enough, and outweigh the others."""
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
    """Find the least slowness that half of the weight does not exceed.

    >>> _weighted_median([SlownessSample(*each) for each in ((1.0, 1.0), (9.0, 0.2), (2.0, 1.0))])
    2.0
    """
    half = sum(sample.weight for sample in samples) / 2
    weight_so_far = 0.0
    for sample in sorted(samples):
        weight_so_far += sample.weight
        if weight_so_far >= half:
            return sample.slowness
    return 0.0
