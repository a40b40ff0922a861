"""What one record says of a flow: the octets since the record before.

Holds the record and how two of one flow become one. Times are whole milliseconds of the system's
clock.
"""

from dataclasses import dataclass

from corkgauge.flow_export.elements import FlowEndReason


@dataclass(slots=True, eq=False)
class Delta:
    """Octets from the initiator (`forward_octets`) and back, between `start_ms` and `end_ms`.

    `family` is 4, 6, or 0 for an aggregate: several flows in one record, without addresses; then
    `flow_count` counts them. Mutable, since what waits for a collector merges in place.
    """

    flow_id: int
    direction: int  # FlowDirection
    family: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    engine: str
    zone: str
    start_ms: int
    end_ms: int
    forward_octets: int
    reverse_octets: int
    end_reason: int  # FlowEndReason
    flow_count: int = 1

    @property
    def octets(self) -> int:
        """Octets of both directions."""
        return self.forward_octets + self.reverse_octets

    @property
    def has_ended(self) -> bool:
        """Whether the flow is over; after an active timeout it goes on."""
        return self.end_reason != FlowEndReason.ACTIVE

    def merge(self, later: "Delta") -> None:
        """Take a later record of the same flow into this one; no octet is lost."""
        self.start_ms = min(self.start_ms, later.start_ms)
        self.end_ms = max(self.end_ms, later.end_ms)
        self.forward_octets += later.forward_octets
        self.reverse_octets += later.reverse_octets
        self.end_reason = later.end_reason

    def to_aggregate(self) -> "Delta":
        """Return the same octets without what tells this flow from others of its engine."""
        return Delta(
            flow_id=0,
            direction=self.direction,
            family=0,
            source=b"",
            source_port=0,
            destination=b"",
            destination_port=0,
            engine=self.engine,
            zone=self.zone,
            start_ms=self.start_ms,
            end_ms=self.end_ms,
            forward_octets=self.forward_octets,
            reverse_octets=self.reverse_octets,
            end_reason=FlowEndReason.LACK_OF_RESOURCES,
            flow_count=self.flow_count,
        )
