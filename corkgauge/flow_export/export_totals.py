"""Counts the totals of one export buffer, which are exported as statistics."""

from dataclasses import dataclass

from corkgauge.flow_export.pending_records import PendingRecords


@dataclass(slots=True)
class ExportTotals:
    """Totals of exported records and sent messages since the buffer was created."""

    exported_octets: int = 0  # of flows
    exported_records: int = 0
    sent_messages: int = 0
    sent_bytes: int = 0  # of messages
    uncertain_octets: int = 0  # counted as exported, may be lost
    repeated_octets: int = 0  # sent again, may have arrived before

    def statistics(self, pending: PendingRecords, held_octets: int) -> dict[str, int]:
        """Return the totals by element name; `held_octets` are pending or in flight."""
        return {
            "exportedOctetTotalCount": self.sent_bytes,
            "exportedMessageTotalCount": self.sent_messages,
            "exportedFlowRecordTotalCount": self.exported_records,
            "notSentFlowTotalCount": pending.dropped_flows,
            "notSentOctetTotalCount": pending.dropped_octets,
            "measuredOctetTotalCount": pending.measured_octets,
            "heldOctetCount": held_octets,
            "mergedFlowTotalCount": pending.merged_record_count,
            "unsureOctetTotalCount": self.uncertain_octets,
            "repeatedOctetTotalCount": self.repeated_octets,
        }
