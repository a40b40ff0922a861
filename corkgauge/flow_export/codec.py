"""Encodes flow records as IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages.

Performs no I/O. No message exceeds its size limit.

There are three layouts. `own` (IPFIX) has one biflow per connection (RFC 5103), with zone, engine
and gateway as elements of variable length. `standard` (IPFIX) has one record per direction, with
only IANA elements of fixed length, for collectors that support no others. `netflow9` uses the two
octet counters of NetFlow v9 for the two directions.
"""

from struct import Struct
from typing import NamedTuple

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import DOCUMENTATION_ENTERPRISE, ENTERPRISE_ELEMENTS, TCP
from corkgauge.flow_export.templates import (
    FIRST_DATA_SET,
    IPFIX_OPTIONS_TEMPLATE_SET,
    IPFIX_TEMPLATE_SET,
    SET_HEADER,
    LayoutKind,
    TemplateId,
    templates_of_layout,
)

IPFIX_VERSION = 10
V9_VERSION = 9
IPFIX_HEADER = Struct("!HHIII")
V9_HEADER = Struct("!HHIIII")
WITHDRAWAL_LIMIT_BYTES = 512  # always enough for a withdrawal message
MAX_PADDING_BYTES = 3  # sets are padded to a multiple of four octets
MAX_NAME_BYTES = 64
# Smallest number of octets that does not fit into a counter of 4 octets (RFC 7011, 6.2).
NARROW_COUNTER_LIMIT = 2**32
UINT32_MODULUS = 2**32  # sequence numbers, times and uptimes wrap around
# By address family. Plain ints save the lookup of an enum member for each record.
AGGREGATE_TEMPLATE = int(TemplateId.AGGREGATE)
NARROW_FLOW_TEMPLATES = {4: int(TemplateId.FLOW_IPV4), 6: int(TemplateId.FLOW_IPV6)}
WIDE_FLOW_TEMPLATES = {4: int(TemplateId.FLOW_IPV4_WIDE), 6: int(TemplateId.FLOW_IPV6_WIDE)}


class DataRecord(NamedTuple):
    """An encoded record and the id of its template."""

    template_id: int
    data: bytes


class Layout:
    """The templates of one layout, and the encoding of deltas as records of these templates."""

    def __init__(self, kind: str, gateway: str) -> None:
        self.kind = LayoutKind(kind)
        self.is_v9 = self.kind == LayoutKind.NETFLOW9
        self.is_biflow = self.kind == LayoutKind.OWN
        self.gateway = _encode_name(gateway)
        self.templates = {template.number: template for template in templates_of_layout(self.kind)}

    def encode_delta(self, delta: Delta, started_ms: int) -> list[DataRecord]:
        """Encode a delta; `started_ms` is the start of the uptime (NetFlow v9, system clock)."""
        if self.is_v9:
            return [self._encode_v9_record(delta, started_ms)]
        if self.is_biflow:
            return [self._encode_biflow_record(delta)]
        records = [self._encode_forward_record(delta)]
        if delta.reverse_octets:
            records.append(self._encode_reverse_record(delta))
        return records

    def _encode_v9_record(self, delta: Delta, started_ms: int) -> DataRecord:
        start_uptime = max(delta.start_ms - started_ms, 0) % UINT32_MODULUS
        end_uptime = max(delta.end_ms - started_ms, 0) % UINT32_MODULUS
        counters = start_uptime, end_uptime, delta.forward_octets, delta.reverse_octets
        if not delta.family:
            flow_count = min(delta.flow_count, UINT32_MODULUS - 1)
            return self._encode(AGGREGATE_TEMPLATE, (delta.direction, *counters, flow_count))
        return self._encode(
            NARROW_FLOW_TEMPLATES[delta.family],
            (
                delta.source,
                delta.destination,
                delta.source_port,
                delta.destination_port,
                TCP,
                delta.direction,
                delta.end_reason,
                *counters,
            ),
        )

    def _encode_biflow_record(self, delta: Delta) -> DataRecord:
        names = self.gateway, _encode_name(delta.engine), _encode_name(delta.zone)
        counters = delta.start_ms, delta.end_ms, delta.forward_octets, delta.reverse_octets
        if not delta.family:
            values = (delta.direction, *counters, delta.flow_count)
            return self._encode(AGGREGATE_TEMPLATE, values, names)
        return self._encode(
            _flow_template_id(delta.family, max(delta.forward_octets, delta.reverse_octets)),
            (
                delta.source,
                delta.destination,
                delta.source_port,
                delta.destination_port,
                TCP,
                delta.direction,
                delta.end_reason,
                *counters,
            ),
            names,
        )

    def _encode_forward_record(self, delta: Delta) -> DataRecord:
        counters = delta.start_ms, delta.end_ms, delta.forward_octets
        if not delta.family:
            values = (delta.direction, *counters, delta.flow_count)
            return self._encode(AGGREGATE_TEMPLATE, values)
        return self._encode(
            _flow_template_id(delta.family, delta.forward_octets),
            (
                delta.source,
                delta.destination,
                delta.source_port,
                delta.destination_port,
                TCP,
                delta.direction,
                delta.end_reason,
                *counters,
            ),
        )

    def _encode_reverse_record(self, delta: Delta) -> DataRecord:
        """Encode the reverse direction of a connection as a separate flow.

        The record of an aggregate counts 0 flows, as the forward record has counted them.
        """
        direction = 1 - delta.direction
        counters = delta.start_ms, delta.end_ms, delta.reverse_octets
        if not delta.family:
            return self._encode(AGGREGATE_TEMPLATE, (direction, *counters, 0))
        return self._encode(
            _flow_template_id(delta.family, delta.reverse_octets),
            (
                delta.destination,
                delta.source,
                delta.destination_port,
                delta.source_port,
                TCP,
                direction,
                delta.end_reason,
                *counters,
            ),
        )

    def _encode(
        self, number: int, values: tuple[int | bytes, ...], names: tuple[bytes, ...] = ()
    ) -> DataRecord:
        return DataRecord(number, self.templates[number].encode_record(values, names))

    def encode_statistics(self, domain: int, statistics: dict[str, int]) -> bytes:
        """Encode the totals of export (by element name) as an options record of the domain."""
        template = self.templates[TemplateId.STATISTICS]
        values = [domain]
        for field in template.fields[1:]:
            largest = 2 ** (8 * field.length) - 1
            values.append(min(statistics[field.name], largest))
        return template.encode_record(values)

    def encode_element_types(self) -> list[bytes]:
        """Encode the types of enterprise elements (RFC 5610), if the layout has such elements."""
        template = self.templates.get(TemplateId.ELEMENT_TYPES)
        if template is None:
            return []
        return [
            template.encode_record(
                (
                    DOCUMENTATION_ENTERPRISE,
                    element.number,
                    element.data_type,
                    element.semantics,
                    element.units,
                ),
                [element.name.encode()],
            )
            for element in ENTERPRISE_ELEMENTS
        ]


def _encode_name(text: str) -> bytes:
    """Encode and truncate a name; without a limit, a long name could fill a whole message."""
    return text.encode()[:MAX_NAME_BYTES]


def _flow_template_id(family: int, largest_octets: int) -> int:
    """Return the template id for an address family whose counters can hold this many octets."""
    if largest_octets >= NARROW_COUNTER_LIMIT:
        return WIDE_FLOW_TEMPLATES[family]
    return NARROW_FLOW_TEMPLATES[family]


class Message:
    """A message under construction, with a size limit."""

    def __init__(self, is_v9: bool, max_message_bytes: int) -> None:
        self.is_v9 = is_v9
        self.max_message_bytes = max_message_bytes
        self.size = (V9_HEADER if is_v9 else IPFIX_HEADER).size  # octets, with maximum padding
        self.sets: dict[int, list[bytes]] = {}
        self.data_record_count = 0

    def add(self, set_id: int, record: bytes) -> bool:
        """Add a record to a set; returns False, with nothing added, if there is no room."""
        size = self.size + len(record)
        is_new_set = set_id not in self.sets
        if is_new_set:
            size += SET_HEADER.size + MAX_PADDING_BYTES
        if size > self.max_message_bytes:
            return False
        if is_new_set:
            self.sets[set_id] = []
        self.sets[set_id].append(record)
        self.size = size
        if set_id >= FIRST_DATA_SET:
            self.data_record_count += 1
        return True

    def encode(self, now_ms: int, started_ms: int, sequence: int, domain: int) -> bytes:
        """Encode the message.

        Args:
            now_ms: the export time, on the system clock.
            started_ms: start of the uptime (NetFlow v9), on the same clock.
            sequence: the sequence number of the protocol; wraps around at 32 bits.
            domain: the observation domain (NetFlow v9: source id).
        """
        body = b"".join(self._encode_set(set_id) for set_id in self.sets)
        export_seconds = now_ms // 1000 % UINT32_MODULUS
        sequence %= UINT32_MODULUS
        if self.is_v9:
            count = sum(map(len, self.sets.values()))
            uptime = max(now_ms - started_ms, 0) % UINT32_MODULUS
            header = V9_HEADER.pack(V9_VERSION, count, uptime, export_seconds, sequence, domain)
        else:
            length = IPFIX_HEADER.size + len(body)
            header = IPFIX_HEADER.pack(IPFIX_VERSION, length, export_seconds, sequence, domain)
        return header + body

    def _encode_set(self, set_id: int) -> bytes:
        records = b"".join(self.sets[set_id])
        padding = -len(records) % 4
        header = SET_HEADER.pack(set_id, SET_HEADER.size + len(records) + padding)
        return header + records + bytes(padding)


def encode_withdrawal(now_ms: int, sequence: int, domain: int) -> bytes:
    """Encode an IPFIX message that withdraws all templates and options templates.

    For streams only (RFC 7011, 8.1).
    """
    message = Message(False, WITHDRAWAL_LIMIT_BYTES)
    for set_id in (IPFIX_TEMPLATE_SET, IPFIX_OPTIONS_TEMPLATE_SET):
        message.add(set_id, SET_HEADER.pack(set_id, 0))
    return message.encode(now_ms, 0, sequence, domain)
