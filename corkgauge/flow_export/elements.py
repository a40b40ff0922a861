"""Defines the exported information elements: some of the IANA registry, and enterprise elements.

Lists their numbers, names and types. IANA elements follow RFC 7012 and its registry. Enterprise
elements have the enterprise number 32473, which is reserved for documentation (RFC 5612); their
types are exported as well (RFC 5610).
"""

from enum import Enum, IntEnum
from typing import NamedTuple

DOCUMENTATION_ENTERPRISE = 32473  # enterprise number reserved for documentation (RFC 5612)
REVERSE_ENTERPRISE = 29305  # elements of the reverse direction of a biflow (RFC 5103)
VARIABLE_LENGTH = 65535  # marks a field whose length is part of each record (RFC 7011, 7)
TCP = 6  # protocolIdentifier


class ValueType(Enum):
    """How the decoder interprets the value of an element."""

    UNKNOWN = "unknown"
    UNSIGNED = "unsigned"
    STRING = "string"
    ADDRESS = "address"
    MILLISECONDS = "milliseconds"


class DataType(IntEnum):
    """Abstract data types of the enterprise elements (RFC 5610, 3.1)."""

    NONE = 0
    UNSIGNED64 = 4
    STRING = 13


class Semantics(IntEnum):
    """Semantics of an element (RFC 5610, 3.2)."""

    DEFAULT = 0
    TOTAL_COUNTER = 2
    IDENTIFIER = 4


class Units(IntEnum):
    """Units of an element (RFC 5610, 3.3)."""

    NONE = 0
    OCTETS = 2
    FLOWS = 4


class FlowEndReason(IntEnum):
    """Why a flow record was created (element 136, flowEndReason)."""

    IDLE = 1
    ACTIVE = 2
    ENDED = 3
    FORCED = 4
    LACK_OF_RESOURCES = 5


class FlowDirection(IntEnum):
    """Element 61, flowDirection: connections from clients are ingress, those to engines egress."""

    INGRESS = 0
    EGRESS = 1


# By the number of the abstract data type in RFC 5610.
VALUE_TYPE_BY_DATA_TYPE = {
    1: ValueType.UNSIGNED,
    2: ValueType.UNSIGNED,
    3: ValueType.UNSIGNED,
    4: ValueType.UNSIGNED,
    13: ValueType.STRING,
    16: ValueType.MILLISECONDS,
    18: ValueType.ADDRESS,
    19: ValueType.ADDRESS,
}


class ElementKey(NamedTuple):
    """Identifies an element in messages."""

    enterprise: int
    number: int


class Element(NamedTuple):
    """An information element.

    `data_type`, `semantics` and `units` are exported for enterprise elements only (RFC 5610).
    """

    name: str
    number: int
    value_type: ValueType
    enterprise: int = 0
    data_type: int = DataType.NONE
    semantics: int = Semantics.DEFAULT
    units: int = Units.NONE


IANA_ELEMENTS = [
    Element("octetDeltaCount", 1, ValueType.UNSIGNED),
    Element("packetDeltaCount", 2, ValueType.UNSIGNED),
    Element("deltaFlowCount", 3, ValueType.UNSIGNED),
    Element("protocolIdentifier", 4, ValueType.UNSIGNED),
    Element("sourceTransportPort", 7, ValueType.UNSIGNED),
    Element("sourceIPv4Address", 8, ValueType.ADDRESS),
    Element("destinationTransportPort", 11, ValueType.UNSIGNED),
    Element("destinationIPv4Address", 12, ValueType.ADDRESS),
    Element("ipNextHopIPv4Address", 15, ValueType.ADDRESS),
    Element("lineCardId", 141, ValueType.UNSIGNED),
    Element("flowEndSysUpTime", 21, ValueType.UNSIGNED),
    Element("flowStartSysUpTime", 22, ValueType.UNSIGNED),
    Element("postOctetDeltaCount", 23, ValueType.UNSIGNED),
    Element("sourceIPv6Address", 27, ValueType.ADDRESS),
    Element("destinationIPv6Address", 28, ValueType.ADDRESS),
    Element("exportedOctetTotalCount", 40, ValueType.UNSIGNED),
    Element("exportedMessageTotalCount", 41, ValueType.UNSIGNED),
    Element("exportedFlowRecordTotalCount", 42, ValueType.UNSIGNED),
    Element("flowDirection", 61, ValueType.UNSIGNED),
    Element("flowEndReason", 136, ValueType.UNSIGNED),
    Element("observationDomainId", 149, ValueType.UNSIGNED),
    Element("flowStartMilliseconds", 152, ValueType.MILLISECONDS),
    Element("flowEndMilliseconds", 153, ValueType.MILLISECONDS),
    Element("notSentFlowTotalCount", 166, ValueType.UNSIGNED),
    Element("notSentOctetTotalCount", 168, ValueType.UNSIGNED),
    Element("informationElementId", 303, ValueType.UNSIGNED),
    Element("informationElementDataType", 339, ValueType.UNSIGNED),
    Element("informationElementName", 341, ValueType.STRING),
    Element("informationElementSemantics", 344, ValueType.UNSIGNED),
    Element("informationElementUnits", 345, ValueType.UNSIGNED),
    Element("privateEnterpriseNumber", 346, ValueType.UNSIGNED),
]
REVERSE_OCTETS = Element("reverseOctetDeltaCount", 1, ValueType.UNSIGNED, REVERSE_ENTERPRISE)


def _enterprise_string(name: str, number: int) -> Element:
    return Element(
        name,
        number,
        ValueType.STRING,
        DOCUMENTATION_ENTERPRISE,
        DataType.STRING,
        Semantics.IDENTIFIER,
    )


def _enterprise_counter(name: str, number: int, semantics: Semantics, units: Units) -> Element:
    return Element(
        name,
        number,
        ValueType.UNSIGNED,
        DOCUMENTATION_ENTERPRISE,
        DataType.UNSIGNED64,
        semantics,
        units,
    )


ENTERPRISE_ELEMENTS = [
    _enterprise_string("gatewayName", 1),
    _enterprise_string("engineId", 2),
    _enterprise_string("hallName", 3),
    _enterprise_counter("measuredOctetTotalCount", 4, Semantics.TOTAL_COUNTER, Units.OCTETS),
    _enterprise_counter("heldOctetCount", 5, Semantics.DEFAULT, Units.OCTETS),
    _enterprise_counter("mergedFlowTotalCount", 6, Semantics.TOTAL_COUNTER, Units.FLOWS),
    _enterprise_counter("unsureOctetTotalCount", 7, Semantics.TOTAL_COUNTER, Units.OCTETS),
    _enterprise_counter("repeatedOctetTotalCount", 8, Semantics.TOTAL_COUNTER, Units.OCTETS),
]
ELEMENT_BY_NAME = {
    element.name: element for element in (*IANA_ELEMENTS, REVERSE_OCTETS, *ENTERPRISE_ELEMENTS)
}
# Elements that a decoder knows initially; options records describe the enterprise elements.
STANDARD_ELEMENTS = {
    ElementKey(element.enterprise, element.number): element
    for element in (*IANA_ELEMENTS, REVERSE_OCTETS)
}
