"""The live records of the host on sockets, as the auditor asks for them.

Owns nothing. Must never change a record, and never ask the ledger for what a record should tell.
"""

from collections.abc import Sequence
from typing import Any


class LiveRecords:
    """The figures' second book; see `figures.auditor.Live` for what each method tells."""

    def __init__(self, house: Any) -> None:
        self.house = house

    def open_entries(self) -> list[Any]:
        return [sub.tag for sub in self.house.names.values()]

    def answering_entries(self) -> list[Any]:
        return [*self.house.answering]

    def hands_out(self) -> list[Any]:
        return [*self.house.errands.values(), *self.house.called.values()]

    def out_of_step(self, hand: Any) -> str:
        house, handoff = self.house, hand.handoff
        if handoff in house.errands or handoff in house.called:
            if not handoff.out or handoff.outcome >= 0:
                return f"the gateway holds hand-off {abs(hand.serial)} over, the host out"
        return ""

    def engines(self) -> list[Any]:
        return [*self.house.stations.values()]

    def engine_out_of_step(self, station: Any) -> tuple[str, str]:
        """Danger: a slot that the gateway never gets back is lost for good, and nothing else shows it."""
        house, engine = self.house, station.engine
        lost = threads = 0
        for handoff in engine.view.out:
            lost += handoff not in house.errands and handoff not in house.called
            threads += handoff.submission.offering.threads if handoff.submission else 0
        if lost:
            return engine.name, f"the gateway holds {lost} hand-offs out that the host does not"
        if threads != engine.threads:
            return engine.name, f"{engine.threads} threads counted, {threads} out"
        return engine.name, ""

    def name_of(self, station: Any) -> str:
        return station.engine.name

    def connections(self) -> Sequence[tuple[int, int]]:
        links = [link for station in self.house.stations.values() for link in station.links]
        return (len(self.house.callers), 0), (len(links), sum(link.pages for link in links))

    def live_bytes(self) -> Sequence[tuple[int, int, int]]:
        """By side: bytes received and sent, and pages, of connections that are up."""
        sides = [[0, 0, 0], [0, 0, 0]]
        for caller in self.house.callers:
            _add(sides[0], caller.link, 0)
        for station in self.house.stations.values():
            for link in station.links:
                _add(sides[1], link.link, link.pages)
        return [(got, sent, pages) for got, sent, pages in sides]

    def traces(self, serial: int) -> str:
        """Danger: a submission that its table lost is still owed its answer, and its stream knows it."""
        for caller in self.house.callers:
            for stream, sub in caller.open.items():
                if sub is not None and abs(sub.tag.serial) == serial:
                    return f"stream {stream}"
        return ""


def _add(sums: list[int], link: Any, pages: int) -> None:
    sums[0] += link.got
    sums[1] += link.sent
    sums[2] += pages
