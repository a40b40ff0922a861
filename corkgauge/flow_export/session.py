"""One transport session with a collector: what it has been sent, and its next messages.

Holds the sequence number and when templates went out last; templates come first in each session.
Free of I/O, the clock is handed in as milliseconds. No message is above the session's limit.
"""

from collections.abc import Callable
from typing import NamedTuple

from corkgauge.flow_export.codec import Layout, Message, encode_withdrawal
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.templates import TemplateId, template_set_id

# Octets that a record may cost besides its own: a new set's header and padding.
SET_OVERHEAD_BYTES = 7


class DataMessage(NamedTuple):
    """A message of data records (empty if none fitted), its deltas, and one that did not fit."""

    data: bytes
    deltas: list[Delta]
    rejected_delta: Delta | None


class Session:
    """From a connection's start to its end.

    Args:
        layout: the protocol and its templates.
        domain: the observation domain.
        max_message_bytes: octets of one message.
        started_ms: when the exporter began, on the system's clock.
    """

    def __init__(
        self, layout: Layout, domain: int, max_message_bytes: int, started_ms: int
    ) -> None:
        self.layout = layout
        self.domain = domain
        self.max_message_bytes = max_message_bytes
        self.started_ms = started_ms
        self.sequence = 0  # of the next message
        self.previous_sequence = 0  # of the last one made
        self.templates_sent_ms = -1
        self.messages_since_templates = 0

    def make_template_messages(self, now_ms: int, statistics: dict[str, int]) -> list[bytes]:
        """Messages with templates, our elements' types and the totals of export.

        They come first in each session, and again on UDP.
        """
        messages = [self._new_message()]
        for set_id, record in self._template_message_records(statistics):
            if not messages[-1].add(set_id, record):
                messages.append(self._new_message())
                messages[-1].add(set_id, record)
        self.templates_sent_ms = now_ms
        self.messages_since_templates = 0
        return [self._finish(message, now_ms) for message in messages]

    def _template_message_records(self, statistics: dict[str, int]) -> list[tuple[int, bytes]]:
        layout = self.layout
        records = [
            (template_set_id(template, layout.is_v9), template.encode_definition(layout.is_v9))
            for template in layout.templates.values()
        ]
        records += [
            (int(TemplateId.ELEMENT_TYPES), record) for record in layout.encode_element_types()
        ]
        records.append((TemplateId.STATISTICS, layout.encode_statistics(self.domain, statistics)))
        return records

    def make_statistics_message(self, now_ms: int, statistics: dict[str, int]) -> bytes:
        """The totals of export without templates: a stream gets those once (RFC 7011, 8.1)."""
        message = self._new_message()
        message.add(TemplateId.STATISTICS, self.layout.encode_statistics(self.domain, statistics))
        return self._finish(message, now_ms)

    def make_data_message(self, now_ms: int, next_delta: Callable[[], Delta | None]) -> DataMessage:
        """Make one message of as many deltas as fit; any one fits an empty message.

        `next_delta` returns the next one, or None.
        """
        message = self._new_message()
        deltas: list[Delta] = []
        delta = next_delta()
        while delta is not None:
            records = self.layout.encode_delta(delta, self.started_ms)
            # Both ways of one connection go in one message, or its loss would lose one half.
            size = sum(len(record.data) + SET_OVERHEAD_BYTES for record in records)
            if message.size + size > self.max_message_bytes:
                break
            for record in records:
                message.add(record.template_id, record.data)
            deltas.append(delta)
            delta = next_delta()
        if not deltas:
            return DataMessage(b"", [], delta)
        self.messages_since_templates += 1
        return DataMessage(self._finish(message, now_ms), deltas, delta)

    def revert_sequence(self) -> None:
        """The last message was not sent: its sequence number is the next one's."""
        self.sequence = self.previous_sequence

    def make_withdrawal_message(self, now_ms: int) -> bytes:
        """A message that withdraws all templates; for streams, before others take their ids."""
        self.templates_sent_ms = -1
        return encode_withdrawal(now_ms, self.sequence, self.domain)

    def _new_message(self) -> Message:
        return Message(self.layout.is_v9, self.max_message_bytes)

    def _finish(self, message: Message, now_ms: int) -> bytes:
        """Encode a message, and count it: IPFIX counts data records, NetFlow v9 messages."""
        self.previous_sequence = self.sequence
        data = message.encode(now_ms, self.started_ms, self.sequence, self.domain)
        self.sequence += 1 if self.layout.is_v9 else message.data_record_count
        return data
