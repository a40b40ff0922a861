"""Information elements: the few of IANA's registry that are exported, and our own.

Owns their numbers, names and types. IANA's are those of RFC 7012 and its registry; ours stand under
enterprise number 32473, kept for documentation (RFC 5612), and their types are exported with them
(RFC 5610).
"""

from typing import NamedTuple

OWN = 32473  # the enterprise number for documentation
REVERSE = 29305  # of the reverse direction of a biflow (RFC 5103)
VARIABLE = 65535  # the length of a field that tells its own

UNSIGNED, STRING, ADDRESS, MILLISECONDS = "unsigned", "string", "address", "milliseconds"
# Abstract types and semantics by their numbers in RFC 5610.
DATA_TYPES = {
    1: UNSIGNED,
    2: UNSIGNED,
    3: UNSIGNED,
    4: UNSIGNED,
    13: STRING,
    16: MILLISECONDS,
    18: ADDRESS,
    19: ADDRESS,
}
NO_SEMANTICS, DELTA, TOTAL, IDENTIFIER = 0, 3, 2, 4
NO_UNITS, OCTETS, FLOWS = 0, 2, 4


class Element(NamedTuple):
    """One information element. `data_type`, `semantics` and `units` are told of our own only."""

    name: str
    number: int
    kind: str
    enterprise: int = 0
    data_type: int = 0
    semantics: int = NO_SEMANTICS
    units: int = NO_UNITS


IANA = [
    Element(name, number, kind)
    for name, number, kind in (
        ("octetDeltaCount", 1, UNSIGNED),
        ("packetDeltaCount", 2, UNSIGNED),
        ("deltaFlowCount", 3, UNSIGNED),
        ("protocolIdentifier", 4, UNSIGNED),
        ("sourceTransportPort", 7, UNSIGNED),
        ("sourceIPv4Address", 8, ADDRESS),
        ("destinationTransportPort", 11, UNSIGNED),
        ("destinationIPv4Address", 12, ADDRESS),
        ("ipNextHopIPv4Address", 15, ADDRESS),
        ("lineCardId", 141, UNSIGNED),
        ("flowEndSysUpTime", 21, UNSIGNED),
        ("flowStartSysUpTime", 22, UNSIGNED),
        ("postOctetDeltaCount", 23, UNSIGNED),
        ("sourceIPv6Address", 27, ADDRESS),
        ("destinationIPv6Address", 28, ADDRESS),
        ("exportedOctetTotalCount", 40, UNSIGNED),
        ("exportedMessageTotalCount", 41, UNSIGNED),
        ("exportedFlowRecordTotalCount", 42, UNSIGNED),
        ("flowDirection", 61, UNSIGNED),
        ("flowEndReason", 136, UNSIGNED),
        ("observationDomainId", 149, UNSIGNED),
        ("flowStartMilliseconds", 152, MILLISECONDS),
        ("flowEndMilliseconds", 153, MILLISECONDS),
        ("notSentFlowTotalCount", 166, UNSIGNED),
        ("notSentOctetTotalCount", 168, UNSIGNED),
        ("informationElementId", 303, UNSIGNED),
        ("informationElementDataType", 339, UNSIGNED),
        ("informationElementName", 341, STRING),
        ("informationElementSemantics", 344, UNSIGNED),
        ("informationElementUnits", 345, UNSIGNED),
        ("privateEnterpriseNumber", 346, UNSIGNED),
    )
]
REVERSED = Element("reverseOctetDeltaCount", 1, UNSIGNED, REVERSE)
OURS = [
    Element("gatewayName", 1, STRING, OWN, 13, IDENTIFIER),
    Element("engineId", 2, STRING, OWN, 13, IDENTIFIER),
    Element("hallName", 3, STRING, OWN, 13, IDENTIFIER),
    Element("measuredOctetTotalCount", 4, UNSIGNED, OWN, 4, TOTAL, OCTETS),
    Element("heldOctetCount", 5, UNSIGNED, OWN, 4, NO_SEMANTICS, OCTETS),
    Element("mergedFlowTotalCount", 6, UNSIGNED, OWN, 4, TOTAL, FLOWS),
    Element("unsureOctetTotalCount", 7, UNSIGNED, OWN, 4, TOTAL, OCTETS),
    Element("repeatedOctetTotalCount", 8, UNSIGNED, OWN, 4, TOTAL, OCTETS),
]
NAMED = {element.name: element for element in (*IANA, REVERSED, *OURS)}
KNOWN = {(element.enterprise, element.number): element for element in (*IANA, REVERSED)}

# Why a flow record was made (flowEndReason).
IDLE, ACTIVE, ENDED, FORCED, LACK = range(1, 6)
INGRESS, EGRESS = 0, 1  # flowDirection: from clients; to engines
TCP = 6
