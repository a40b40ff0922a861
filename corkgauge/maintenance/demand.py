"""Estimates the fleet's demand, in cores by request class, from the gateways' load reports.

A gateway without a recent report is not assumed to be idle: for each request class, the gateway
counts as the gateway with the highest known load of that class. Free of I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

MAX_REPORT_AGE_TICKS = 50_000  # older reports are ignored
PEAK_DECAY_FRACTION = 0.93  # of a peak, kept per report that names the class


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Cores by request class that a gateway needed at `at_ticks`, with decayed earlier peaks."""

    at_ticks: int
    cores: Mapping[str, float]


class FleetDemand(NamedTuple):
    """Cores by request class for the whole fleet, and the gateways whose load is not known."""

    cores: dict[str, float]
    unknown_gateways: list[str]


class Demand:
    """Keeps the last load report of each gateway and estimates the fleet's demand from them.

    >>> demand = Demand()
    >>> demand.record("n1", 0, {"lookup": 3.0})
    >>> tuple(demand.estimate(10, ["n1"]))
    ({'lookup': 3.0}, [])
    >>> tuple(demand.estimate(10, ["n1", "n2"]))  # n2 counts like n1
    ({'lookup': 6.0}, ['n2'])
    >>> demand.record("n1", 20, {"lookup": 1.0})
    >>> round(demand.estimate(20, ["n1"]).cores["lookup"], 2)
    2.79
    """

    def __init__(self) -> None:
        self.reports: dict[str, LoadReport] = {}

    def record(self, gateway: str, now_ticks: int, cores: Mapping[str, float]) -> None:
        """Store a gateway's report; peaks of its earlier reports decay with each report.

        Peaks are kept because load that just fell may soon return. The peak of a request class that
        the report does not name is dropped.
        """
        last = self.reports.get(gateway)
        before = {} if last is None else last.cores
        with_peaks = {
            name: max(value, PEAK_DECAY_FRACTION * before.get(name, 0.0))
            for name, value in cores.items()
        }
        self.reports[gateway] = LoadReport(now_ticks, with_peaks)

    def estimate(self, now_ticks: int, gateways: Iterable[str]) -> FleetDemand:
        """Sum the demand; per class, unknown load counts as the highest known load of a gateway."""
        fresh: list[Mapping[str, float]] = []
        unknown: list[str] = []
        for name in gateways:
            report = self.reports.get(name)
            if report is not None and now_ticks < report.at_ticks + MAX_REPORT_AGE_TICKS:
                fresh.append(report.cores)
            else:
                unknown.append(name)
        request_classes = {name for report in self.reports.values() for name in report.cores}
        total = {}
        for request_class in sorted(request_classes):
            known = [cores.get(request_class, 0.0) for cores in fresh]
            total[request_class] = sum(known) + len(unknown) * max(known, default=0.0)
        return FleetDemand(total, unknown)
