"""Strict decoder of IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages.

Keeps the templates that exporters sent, by observation domain, and the sequence numbers. Decodes
whole messages and performs no I/O. On arbitrary input the decoder raises only
`MalformedMessageError`, reads no record beyond its set, and uses bounded memory.
"""

from typing import NamedTuple

from corkgauge.flow_export.codec import IPFIX_VERSION, UINT32_MODULUS, V9_VERSION
from corkgauge.flow_export.decoded_message import (
    DecodedMessage,
    FieldSpecifier,
    LearnedTemplate,
    MalformedMessageError,
    Record,
)
from corkgauge.flow_export.elements import (
    STANDARD_ELEMENTS,
    VALUE_TYPE_BY_DATA_TYPE,
    VARIABLE_LENGTH,
    Element,
    ElementKey,
    ValueType,
)
from corkgauge.flow_export.message_parsing import (
    MessageStream,
    check_padding,
    decode_value,
    parse_field_specifiers,
    parse_header,
    parse_sets,
    parse_variable_length,
)
from corkgauge.flow_export.templates import (
    ELEMENT_NUMBER_MASK,
    FIRST_DATA_SET,
    IPFIX_OPTIONS_TEMPLATE_SET,
    IPFIX_TEMPLATE_SET,
    OPTIONS_TEMPLATE_HEADER,
    SET_HEADER,
    V9_OPTIONS_TEMPLATE_SET,
    V9_TEMPLATE_SET,
)

__all__ = ["DecodedMessage", "Decoder", "MalformedMessageError", "MessageStream"]

MAX_TEMPLATES = 1000  # of all observation domains together; also limits the number of domains
MAX_ELEMENTS = 1000
MAX_RECORDS_IN_SET = 65_535
OBSERVATION_DOMAIN_ID = ElementKey(0, 149)


class TemplateKey(NamedTuple):
    """Identifies a template in a transport session."""

    domain: int
    number: int


class OptionsHeader(NamedTuple):
    """The number of fields of an options template, and of those that are its scope."""

    field_count: int
    scope_count: int


class Decoder:
    """Decoder of one transport session, or of all datagrams of one exporter."""

    def __init__(self) -> None:
        self.templates: dict[TemplateKey, LearnedTemplate] = {}
        self.elements: dict[ElementKey, Element] = dict(STANDARD_ELEMENTS)
        self.expected_sequence: dict[int, int] = {}  # by domain

    def decode(self, data: bytes) -> DecodedMessage:
        """Decode one whole message, and store its templates and elements.

        Raises:
            MalformedMessageError: the bytes are not a valid message of either protocol.
        """
        header = parse_header(data)
        message = header.message
        self._count_missed(message)
        record_count = 0
        for message_set in parse_sets(data, header.size):
            record_count += self._decode_set(message, message_set.set_id, message_set.body)
        declared = header.record_count
        if declared is not None and not message.unknown_set_count and record_count != declared:
            raise MalformedMessageError(
                f"found {record_count} records, expected {declared} as declared in the header"
            )
        self._update_expected_sequence(message)
        return message

    # Sequence.

    def _count_missed(self, message: DecodedMessage) -> None:
        expected = self.expected_sequence.get(message.domain, message.sequence)
        gap = (message.sequence - expected) % UINT32_MODULUS
        # A much lower sequence number means a restarted exporter or a message out of order.
        message.missed_count = gap if gap < UINT32_MODULUS // 2 else 0

    def _update_expected_sequence(self, message: DecodedMessage) -> None:
        """Store the expected sequence: IPFIX counts data records, NetFlow v9 counts messages."""
        if message.unknown_set_count and message.version == IPFIX_VERSION:
            # The number of records in sets without a known template is unknown.
            self.expected_sequence.pop(message.domain, None)
            return
        step = 1
        if message.version == IPFIX_VERSION:
            step = len(message.records) + len(message.options)
        self.expected_sequence[message.domain] = (message.sequence + step) % UINT32_MODULUS
        # The domain that was added first is removed, even if it is active: otherwise an exporter
        # that invents domains would fill the memory.
        if len(self.expected_sequence) > MAX_TEMPLATES:
            del self.expected_sequence[next(iter(self.expected_sequence))]

    # Sets.

    def _decode_set(self, message: DecodedMessage, set_id: int, body: bytes) -> int:
        """Decode a set and return its number of records."""
        is_v9 = message.version == V9_VERSION
        if set_id == (V9_TEMPLATE_SET if is_v9 else IPFIX_TEMPLATE_SET):
            return self._decode_template_set(message, body, is_v9)
        if set_id == (V9_OPTIONS_TEMPLATE_SET if is_v9 else IPFIX_OPTIONS_TEMPLATE_SET):
            return self._decode_options_template_set(message, body, is_v9)
        if set_id < FIRST_DATA_SET:
            raise MalformedMessageError(
                f"found set {set_id}, expected a template set or a data set (256 or above)"
            )
        template = self.templates.get(TemplateKey(message.domain, set_id))
        if template is None or template.is_v9 != is_v9:
            message.unknown_set_count += 1
            return 0
        return self._decode_data_set(message, template, body)

    # Templates.

    def _decode_template_set(self, message: DecodedMessage, body: bytes, is_v9: bool) -> int:
        position = 0
        count = 0
        while len(body) - position >= SET_HEADER.size:
            number, field_count = SET_HEADER.unpack_from(body, position)
            if _is_padding(number, body, position):
                break
            position += SET_HEADER.size
            if not field_count:
                self._withdraw(message.domain, number, IPFIX_TEMPLATE_SET, is_v9)
                continue
            fields, position = parse_field_specifiers(body, position, field_count, is_v9)
            self._learn_template(message, number, LearnedTemplate(fields, 0, is_v9))
            count += 1
        check_padding(body, position)
        return count

    def _decode_options_template_set(
        self, message: DecodedMessage, body: bytes, is_v9: bool
    ) -> int:
        position = 0
        count = 0
        while len(body) - position >= OPTIONS_TEMPLATE_HEADER.size:
            number, first, second = OPTIONS_TEMPLATE_HEADER.unpack_from(body, position)
            if _is_padding(number, body, position):
                break
            if not is_v9 and not first:
                self._withdraw(message.domain, number, IPFIX_OPTIONS_TEMPLATE_SET, is_v9)
                position += SET_HEADER.size
                continue
            position += OPTIONS_TEMPLATE_HEADER.size
            header = _options_header(number, first, second, is_v9)
            fields, position = parse_field_specifiers(body, position, header.field_count, is_v9)
            if is_v9:
                fields = _replace_v9_scope(fields, header.scope_count)
            template = LearnedTemplate(fields, header.scope_count, is_v9)
            self._learn_template(message, number, template)
            count += 1
        if len(body) - position == SET_HEADER.size and not is_v9:
            # A withdrawal is shorter than the header of an options template, so the loop above
            # leaves out a withdrawal at the end of the set.
            number, field_count = SET_HEADER.unpack_from(body, position)
            if field_count == 0:
                self._withdraw(message.domain, number, IPFIX_OPTIONS_TEMPLATE_SET, is_v9)
                position += SET_HEADER.size
        check_padding(body, position)
        return count

    def _learn_template(
        self, message: DecodedMessage, number: int, template: LearnedTemplate
    ) -> None:
        if number < FIRST_DATA_SET:
            raise MalformedMessageError(f"found template {number}, expected an id of 256 or above")
        self.templates[TemplateKey(message.domain, number)] = template
        message.template_count += 1
        # The oldest templates are removed: an exporter that invents domains would fill the memory.
        while len(self.templates) > MAX_TEMPLATES:
            del self.templates[next(iter(self.templates))]

    def _withdraw(self, domain: int, number: int, set_id: int, is_v9: bool) -> None:
        """Remove a template, or all of a kind if `number` is their set's id (RFC 7011, 8.1)."""
        if is_v9:
            raise MalformedMessageError(f"expected fields in template {number}, found none")
        if number == set_id:
            is_options = set_id == IPFIX_OPTIONS_TEMPLATE_SET
            withdrawn = [
                key
                for key, template in self.templates.items()
                if key.domain == domain and bool(template.scope_count) == is_options
            ]
        elif number < FIRST_DATA_SET:
            raise MalformedMessageError(f"found template {number}, expected an id of 256 or above")
        else:
            withdrawn = [TemplateKey(domain, number)]
        for key in withdrawn:
            self.templates.pop(key, None)

    # Records.

    def _decode_data_set(
        self, message: DecodedMessage, template: LearnedTemplate, body: bytes
    ) -> int:
        position = 0
        count = 0
        min_bytes = template.min_record_bytes
        records = message.options if template.scope_count else message.records
        while len(body) - position >= min_bytes:
            if count >= MAX_RECORDS_IN_SET:
                raise MalformedMessageError("expected at most 65535 records in a set, found more")
            record, position = self._decode_record(template, body, position)
            records.append(record)
            count += 1
            if template.scope_count:
                self._learn_element(record)
        check_padding(body, position)
        return count

    def _decode_record(
        self, template: LearnedTemplate, body: bytes, position: int
    ) -> tuple[Record, int]:
        """Decode the record at a position; returns the record and its end position."""
        record: Record = {}
        for key, field_length in template.fields:
            length = field_length
            if length == VARIABLE_LENGTH:
                length, position = parse_variable_length(body, position)
            value = body[position : position + length]
            if len(value) != length:
                raise MalformedMessageError(
                    f"record cut short: the set ends before the end of the value at octet "
                    f"{position} after the set header"
                )
            position += length
            element = self.elements.get(key)
            if element is None:
                record[f"{key.enterprise}/{key.number}"] = value
            else:
                record[element.name] = decode_value(element.value_type, value)
        return record, position

    def _learn_element(self, record: Record) -> None:
        """Store an enterprise element that an options record describes (RFC 5610)."""
        try:
            number = record["informationElementId"] & ELEMENT_NUMBER_MASK
            key = ElementKey(record["privateEnterpriseNumber"], number)
            data_type = record["informationElementDataType"]
            value_type = VALUE_TYPE_BY_DATA_TYPE.get(data_type, ValueType.UNKNOWN)
            name = record["informationElementName"]
        except (KeyError, TypeError):
            return
        if not key.enterprise or key in STANDARD_ELEMENTS:
            return
        if not isinstance(name, str) or not name.isalnum():
            return
        # Without the limit, an exporter that invents elements would fill the memory.
        if key in self.elements or len(self.elements) < MAX_ELEMENTS:
            self.elements[key] = Element(name, key.number, value_type, key.enterprise)


def _is_padding(number: int, body: bytes, position: int) -> bool:
    return not number and not any(body[position:])


def _options_header(number: int, first: int, second: int, is_v9: bool) -> OptionsHeader:
    """Read the two numbers of an options template header.

    They are counts in IPFIX (RFC 7011, 3.4.2.2) and lengths in NetFlow v9 (RFC 3954, 6.1).
    """
    header = OptionsHeader(field_count=first, scope_count=second)
    if is_v9:
        if first % 4 or second % 4:
            raise MalformedMessageError(
                f"options template {number}: found lengths of {first} and {second} octets, "
                "expected multiples of 4"
            )
        header = OptionsHeader(field_count=(first + second) // 4, scope_count=first // 4)
    if not 0 < header.scope_count <= header.field_count:
        raise MalformedMessageError(
            f"options template {number}: found {header.scope_count} of {header.field_count} "
            "fields as scope, expected at least one and at most all"
        )
    return header


def _replace_v9_scope(fields: list[FieldSpecifier], scope_count: int) -> list[FieldSpecifier]:
    """Replace the scope fields of NetFlow v9 by the observation domain.

    NetFlow v9 numbers scopes separately from elements; only the scope of the exporter is supported.
    """
    scope = [FieldSpecifier(OBSERVATION_DOMAIN_ID, field.length) for field in fields[:scope_count]]
    return scope + fields[scope_count:]
