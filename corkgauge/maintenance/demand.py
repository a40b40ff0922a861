"""What the fleet has to do now, in cores by offering, as each gateway tells it, with its age.

Owns the last reports. Free of I/O. Must never take a gateway that is silent for one that is idle: what is not known
counts as loaded.
"""

from collections.abc import Iterable, Mapping

AGE = 50_000  # tenths of a millisecond, from which a report is too old to go by
FADES = 0.93  # of a peak, a report: load that fell a moment ago may come back


class Demand:
    """
    >>> demand = Demand()
    >>> demand.tells("n1", 0, {"lookup": 3.0})
    >>> demand.needed(10, ["n1"])
    ({'lookup': 3.0}, [])
    >>> demand.needed(10, ["n1", "n2"])         # as much as the busiest that is known, and not known
    ({'lookup': 6.0}, ['n2'])
    >>> demand.tells("n1", 20, {"lookup": 1.0})
    >>> round(demand.needed(20, ["n1"])[0]["lookup"], 2)
    2.79
    """

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, dict[str, float]]] = {}

    def tells(self, gateway: str, now: int, cores: Mapping[str, float]) -> None:
        before = self.reports.get(gateway, (now, {}))[1]
        self.reports[gateway] = (
            now,
            {name: max(value, FADES * before.get(name, 0.0)) for name, value in cores.items()},
        )

    def needed(self, now: int, gateways: Iterable[str]) -> tuple[dict[str, float], list[str]]:
        """Cores by offering, and the gateways whose load is not known: each counts as the busiest that is."""
        fresh, unknown = [], []
        for name in gateways:
            report = self.reports.get(name)
            if report is not None and now < report[0] + AGE:
                fresh.append(report[1])
            else:
                unknown.append(name)
        request_classes = {name for _, cores in self.reports.values() for name in cores}
        said = {}
        for request_class in sorted(request_classes):
            told = [cores.get(request_class, 0.0) for cores in fresh]
            said[request_class] = sum(told) + len(unknown) * max(told, default=0.0)
        return said, unknown

    def forget(self, gateways: Iterable[str]) -> None:
        """Only these are gateways of the fleet."""
        named = {*gateways}
        self.reports = {name: report for name, report in self.reports.items() if name in named}
