"""Defines and encodes templates of flow records, and lists the templates of each layout.

Template records follow RFC 7011, 3.4 (IPFIX) and RFC 3954, 5.2 and 6.1 (NetFlow v9).
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum, StrEnum
from struct import Struct
from typing import Any, NamedTuple

from corkgauge.flow_export.elements import ELEMENT_BY_NAME, VARIABLE_LENGTH

SET_HEADER = Struct("!HH")
FIELD_SPECIFIER = Struct("!HH")
ENTERPRISE_FIELD_SPECIFIER = Struct("!HHI")
OPTIONS_TEMPLATE_HEADER = Struct("!HHH")
ENTERPRISE_BIT = 0x8000  # in the number of an element: an enterprise number follows
ELEMENT_NUMBER_MASK = 0x7FFF  # the element number without that bit
SHORT_LENGTH_LIMIT = 255  # shorter lengths take one octet, others three (RFC 7011, 7)
FORMAT_BY_LENGTH = {1: "B", 2: "H", 4: "I", 8: "Q", 16: "16s"}
V9_SCOPE_SYSTEM = 1  # NetFlow v9 scope type of the whole exporter

IPFIX_TEMPLATE_SET = 2
IPFIX_OPTIONS_TEMPLATE_SET = 3
V9_TEMPLATE_SET = 0
V9_OPTIONS_TEMPLATE_SET = 1
FIRST_DATA_SET = 256  # sets with lower ids contain templates


class LayoutKind(StrEnum):
    """Protocol and set of elements; the values are names in the operator file."""

    OWN = "own"
    STANDARD = "standard"
    NETFLOW9 = "netflow9"


class TemplateId(IntEnum):
    """Ids of the exported templates.

    Flow templates differ by address family and by narrow or wide octet counters. Layout `netflow9`
    has no wide flow templates: FLOW_IPV4 and FLOW_IPV6 have counters of 8 octets there.
    """

    FLOW_IPV4 = 256
    FLOW_IPV4_WIDE = 257
    FLOW_IPV6 = 258
    FLOW_IPV6_WIDE = 259
    AGGREGATE = 260
    STATISTICS = 261
    ELEMENT_TYPES = 262


class Field(NamedTuple):
    """A field of a template: an element name, and a length in octets or `VARIABLE_LENGTH`."""

    name: str
    length: int


class Template:
    """A template, with fields of variable length last.

    The first `scope_count` fields are the scope of an options template; 0 for a template of data
    records.
    """

    def __init__(self, number: int, fields: list[Field], scope_count: int = 0) -> None:
        self.number = number
        self.fields = fields
        self.scope_count = scope_count
        self.fixed_part = Struct(
            "!"
            + "".join(_struct_format(field) for field in fields if field.length != VARIABLE_LENGTH)
        )

    def encode_record(self, values: Iterable[Any], strings: Iterable[bytes] = ()) -> bytes:
        """Encode a record from the values of fixed length and the strings of variable length."""
        data = self.fixed_part.pack(*values)
        for text in strings:
            data += _length_prefix(text) + text
        return data

    def encode_definition(self, is_v9: bool) -> bytes:
        """Encode the template record."""
        fields = b"".join(
            _field_specifier(field, is_v9, index < self.scope_count)
            for index, field in enumerate(self.fields)
        )
        if not self.scope_count:
            return SET_HEADER.pack(self.number, len(self.fields)) + fields
        first = len(self.fields)
        second = self.scope_count
        if is_v9:  # lengths in octets instead of counts (RFC 3954, 6.1)
            first = 4 * self.scope_count
            second = 4 * (len(self.fields) - self.scope_count)
        return OPTIONS_TEMPLATE_HEADER.pack(self.number, first, second) + fields


def template_set_id(template: Template, is_v9: bool) -> int:
    """Return the id of the set that contains a template record."""
    if template.scope_count:
        return V9_OPTIONS_TEMPLATE_SET if is_v9 else IPFIX_OPTIONS_TEMPLATE_SET
    return V9_TEMPLATE_SET if is_v9 else IPFIX_TEMPLATE_SET


def templates_of_layout(kind: LayoutKind) -> Iterator[Template]:
    """Yield all templates of a layout in the order of export."""
    yield from _flow_templates(kind)
    flow_count = Field("deltaFlowCount", 4 if kind == LayoutKind.NETFLOW9 else 8)
    yield Template(
        TemplateId.AGGREGATE,
        [
            Field("flowDirection", 1),
            *_time_fields(kind),
            *_octet_fields(kind, 8),
            flow_count,
            *_name_fields(kind),
        ],
    )
    if kind == LayoutKind.OWN:
        yield _element_types_template()
    yield _statistics_template(kind)


def _struct_format(field: Field) -> str:
    if field.length == 4 and "IPv4" in field.name:
        return "4s"
    return FORMAT_BY_LENGTH[field.length]


def _length_prefix(text: bytes) -> bytes:
    if len(text) < SHORT_LENGTH_LIMIT:
        return bytes([len(text)])
    return b"\xff" + len(text).to_bytes(2, "big")


def _field_specifier(field: Field, is_v9: bool, is_scope: bool) -> bytes:
    element = ELEMENT_BY_NAME[field.name]
    if is_v9:
        number = V9_SCOPE_SYSTEM if is_scope else element.number
        return FIELD_SPECIFIER.pack(number, field.length)
    if element.enterprise:
        return ENTERPRISE_FIELD_SPECIFIER.pack(
            element.number | ENTERPRISE_BIT, field.length, element.enterprise
        )
    return FIELD_SPECIFIER.pack(element.number, field.length)


def _time_fields(kind: LayoutKind) -> list[Field]:
    if kind == LayoutKind.NETFLOW9:
        return [Field("flowStartSysUpTime", 4), Field("flowEndSysUpTime", 4)]
    return [Field("flowStartMilliseconds", 8), Field("flowEndMilliseconds", 8)]


def _octet_fields(kind: LayoutKind, length: int) -> list[Field]:
    fields = [Field("octetDeltaCount", length)]
    if kind == LayoutKind.OWN:
        fields.append(Field("reverseOctetDeltaCount", length))
    elif kind == LayoutKind.NETFLOW9:
        fields.append(Field("postOctetDeltaCount", length))
    return fields


def _name_fields(kind: LayoutKind) -> list[Field]:
    if kind != LayoutKind.OWN:
        return []
    return [Field(name, VARIABLE_LENGTH) for name in ("gatewayName", "engineId", "hallName")]


def _flow_templates(kind: LayoutKind) -> Iterator[Template]:
    families = (
        ("IPv4", 4, TemplateId.FLOW_IPV4, TemplateId.FLOW_IPV4_WIDE),
        ("IPv6", 16, TemplateId.FLOW_IPV6, TemplateId.FLOW_IPV6_WIDE),
    )
    for family, length, narrow, wide in families:
        common = [
            Field(f"source{family}Address", length),
            Field(f"destination{family}Address", length),
            Field("sourceTransportPort", 2),
            Field("destinationTransportPort", 2),
            Field("protocolIdentifier", 1),
            Field("flowDirection", 1),
            Field("flowEndReason", 1),
            *_time_fields(kind),
        ]
        if kind == LayoutKind.NETFLOW9:
            yield Template(narrow, common + _octet_fields(kind, 8))
        else:
            names = _name_fields(kind)
            yield Template(narrow, common + _octet_fields(kind, 4) + names)
            yield Template(wide, common + _octet_fields(kind, 8) + names)


def _element_types_template() -> Template:
    """Return the options template that describes the enterprise elements (RFC 5610, 3.9)."""
    return Template(
        TemplateId.ELEMENT_TYPES,
        [
            Field("privateEnterpriseNumber", 4),
            Field("informationElementId", 2),
            Field("informationElementDataType", 1),
            Field("informationElementSemantics", 1),
            Field("informationElementUnits", 2),
            Field("informationElementName", VARIABLE_LENGTH),
        ],
        scope_count=2,
    )


def _statistics_template(kind: LayoutKind) -> Template:
    names = [
        "exportedOctetTotalCount",
        "exportedMessageTotalCount",
        "exportedFlowRecordTotalCount",
        "notSentFlowTotalCount",
        "notSentOctetTotalCount",
    ]
    if kind == LayoutKind.OWN:
        names += [
            "measuredOctetTotalCount",
            "heldOctetCount",
            "mergedFlowTotalCount",
            "unsureOctetTotalCount",
            "repeatedOctetTotalCount",
        ]
    length = 4 if kind == LayoutKind.NETFLOW9 else 8
    fields = [Field("observationDomainId", 4), *(Field(name, length) for name in names)]
    return Template(TemplateId.STATISTICS, fields, scope_count=1)
