"""What is told of a flow in one record: octets since the last one.

Owns the record and how two of one flow become one. Times are whole milliseconds of the system's
clock.
"""

from dataclasses import dataclass

from corkgauge.flow_export.elements import LACK


@dataclass(slots=True, eq=False)
class Delta:
    """Octets from the initiator (`forward`) and back (`reverse`), between `first` and `last`. `family` is 4,
    6, or 0 where several flows are told of in one record, without addresses; then `flows` counts
    them."""

    flow: int
    side: int  # INGRESS: a client's connection; EGRESS: one to an engine
    family: int
    source: bytes
    source_port: int
    target: bytes
    target_port: int
    engine: str
    hall: str
    first: int
    last: int
    forward: int
    reverse: int
    reason: int
    flows: int = 1

    @property
    def octets(self) -> int:
        return self.forward + self.reverse

    @property
    def ended(self) -> bool:
        return self.reason != 2  # active timeout: it goes on

    def merge(self, later: "Delta") -> None:
        """One record for both; nothing of the octets is lost."""
        self.first, self.last = min(self.first, later.first), max(self.last, later.last)
        self.forward += later.forward
        self.reverse += later.reverse
        self.reason = later.reason

    def gathered(self) -> "Delta":
        """Of the same octets, without what tells it from others of its hall and engine."""
        return Delta(
            0,
            self.side,
            0,
            b"",
            0,
            b"",
            0,
            self.engine,
            self.hall,
            self.first,
            self.last,
            self.forward,
            self.reverse,
            LACK,
            self.flows,
        )
