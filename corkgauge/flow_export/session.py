"""Creates the messages of one transport session with a collector.

Keeps the sequence number and the time at which templates were last sent; each session starts with
templates. Performs no I/O and receives the current time in milliseconds. No message exceeds the
maximum message size of the session.
"""

from collections.abc import Callable
from typing import NamedTuple

from corkgauge.flow_export.codec import Layout, Message, encode_withdrawal
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.templates import TemplateId, template_set_id

# Octets that a record may need in addition to its data: the header and padding of a new set.
SET_OVERHEAD_BYTES = 7


class DataMessage(NamedTuple):
    """A message (empty without records), its deltas, and the first delta that did not fit."""

    data: bytes
    deltas: list[Delta]
    rejected_delta: Delta | None


class Session:
    """A transport session, from the start to the end of a connection.

    Args:
        layout: the protocol and its templates.
        domain: the observation domain.
        max_message_bytes: size limit of one message.
        started_ms: start of the exporter, on the system clock.
    """

    def __init__(
        self, layout: Layout, domain: int, max_message_bytes: int, started_ms: int
    ) -> None:
        self.layout = layout
        self.domain = domain
        self.max_message_bytes = max_message_bytes
        self.started_ms = started_ms
        self.sequence = 0  # of the next message
        self.previous_sequence = 0  # of the last message created
        self.templates_sent_ms = -1
        self.messages_since_templates = 0

    def make_template_messages(self, now_ms: int, statistics: dict[str, int]) -> list[bytes]:
        """Create messages with templates, types of enterprise elements and totals of export.

        These messages start each session and are repeated on UDP.
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
        """Create a message with the totals of export and without templates.

        On a stream, templates are sent once (RFC 7011, 8.1).
        """
        message = self._new_message()
        message.add(TemplateId.STATISTICS, self.layout.encode_statistics(self.domain, statistics))
        return self._finish(message, now_ms)

    def make_data_message(self, now_ms: int, next_delta: Callable[[], Delta | None]) -> DataMessage:
        """Create a message of as many deltas as fit; any single delta fits into an empty message.

        `next_delta` returns the next delta, or None if there is none.
        """
        message = self._new_message()
        deltas: list[Delta] = []
        delta = next_delta()
        while delta is not None:
            records = self.layout.encode_delta(delta, self.started_ms)
            # Both directions of a connection are sent in one message; otherwise the loss of a
            # message could lose one direction only.
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
        """Reuse the sequence number of the last message created, which was not sent.

        If several template messages were created at once, a failure to send an earlier one also
        restores only the number of the last one.
        """
        self.sequence = self.previous_sequence

    def make_withdrawal_message(self, now_ms: int) -> bytes:
        """Create a message that withdraws all templates; on streams, before ids are reused."""
        self.templates_sent_ms = -1
        return encode_withdrawal(now_ms, self.sequence, self.domain)

    def _new_message(self) -> Message:
        return Message(self.layout.is_v9, self.max_message_bytes)

    def _finish(self, message: Message, now_ms: int) -> bytes:
        """Encode a message and advance the sequence by its data records, in NetFlow v9 by 1."""
        self.previous_sequence = self.sequence
        data = message.encode(now_ms, self.started_ms, self.sequence, self.domain)
        self.sequence += 1 if self.layout.is_v9 else message.data_record_count
        return data
