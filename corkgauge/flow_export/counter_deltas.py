"""Defines the content of a flow record: the octets of a flow since its previous record.

A `Delta` is the content of one flow record. Times are whole milliseconds of the system clock.
"""

from dataclasses import dataclass

from corkgauge.flow_export.elements import FlowEndReason


@dataclass(slots=True, eq=False)
class Delta:
    """Octets from the initiator (`forward_octets`) and back, between `start_ms` and `end_ms`.

    `family` is 4, 6, or 0 for an aggregate: a record of `flow_count` flows without addresses.
    Mutable, because records that wait for a collector are merged in place.
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
        """Octets in both directions."""
        return self.forward_octets + self.reverse_octets

    @property
    def has_ended(self) -> bool:
        """Whether the flow has ended; after an active timeout the flow continues."""
        return self.end_reason != FlowEndReason.ACTIVE

    def merge(self, later: "Delta") -> None:
        """Merge a later record of the same flow or aggregate into this record.

        No octets are lost. `flow_count` is not merged; for aggregates, the caller adds the counts.
        """
        self.start_ms = min(self.start_ms, later.start_ms)
        self.end_ms = max(self.end_ms, later.end_ms)
        self.forward_octets += later.forward_octets
        self.reverse_octets += later.reverse_octets
        self.end_reason = later.end_reason

    def to_aggregate(self) -> "Delta":
        """Return a record of the same octets that identifies the engine and not the flow."""
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
