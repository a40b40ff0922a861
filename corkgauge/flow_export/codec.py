"""Flow records to bytes: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954).

Owns templates, the layout of messages and each protocol's own sequence rule. Given records, gives
bytes; knows no socket. Must never put a data record before its template in a session, nor exceed
the message's limit.

Three layouts. `own` (IPFIX): a biflow a connection (RFC 5103), with hall, engine and gateway as
elements of variable length. `standard` (IPFIX): a record each way, with IANA's elements of fixed
length alone, for collectors that know no others. `netflow9`: its two octet counters for the two
ways.
"""

from collections.abc import Iterable, Iterator
from struct import Struct
from typing import Any, NamedTuple

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import NAMED, OURS, OWN, TCP, VARIABLE

OWN_LAYOUT, STANDARD, NETFLOW9 = "own", "standard", "netflow9"
IPFIX_VERSION, V9_VERSION = 10, 9
IPFIX_HEADER, V9_HEADER, SET_HEADER = Struct("!HHIII"), Struct("!HHIIII"), Struct("!HH")
TEMPLATE_SET, OPTIONS_SET = (2, 0), (3, 1)  # by protocol: IPFIX, NetFlow v9
LEAST_LIMIT, MOST_LIMIT = 512, 65_535
MOST_NAME = 64  # octets of a name
NARROW = 2**32  # octets beyond which a counter of reduced size does not do (RFC 7011, 6.2)
WRAP = 2**32
SIZES = {1: "B", 2: "H", 4: "I", 8: "Q", 16: "16s"}
V9_SYSTEM = 1  # NetFlow v9's scope of the whole exporter

# Template ids. Data records of a flow: by family, and narrow or wide octets.
FLOW_4, FLOW_4_WIDE, FLOW_6, FLOW_6_WIDE, GATHERED, STATISTICS, TYPES = range(256, 263)


class Field(NamedTuple):
    name: str
    length: int


class Template:
    """Fields, those of variable length last; of an options template the first `scope` are its scope."""

    def __init__(self, number: int, fields: list[Field], scope: int = 0) -> None:
        self.number, self.fields, self.scope = number, fields, scope
        fixed = [field.length for field in fields if field.length != VARIABLE]
        self.strings = len(fields) - len(fixed)
        self.fixed = Struct(
            "!"
            + "".join(
                "4s" if length == 4 and "IPv4" in field.name else SIZES[length]
                for field, length in zip(fields, fixed)
            )
        )

    def record(self, values: Iterable[Any], strings: Iterable[bytes] = ()) -> bytes:
        data = self.fixed.pack(*values)
        for text in strings:
            # Up to 254 octets have a length of one octet, longer ones of three (RFC 7011, 7).
            size = bytes([len(text)]) if len(text) < 255 else b"\xff" + len(text).to_bytes(2, "big")
            data += size + text
        return data

    def definition(self, v9: bool) -> bytes:
        """The template record itself."""
        fields = b"".join(
            _specifier(field, v9, n < self.scope) for n, field in enumerate(self.fields)
        )
        if not self.scope:
            return SET_HEADER.pack(self.number, len(self.fields)) + fields
        if v9:  # lengths in octets, not counts
            return (
                Struct("!HHH").pack(
                    self.number, 4 * self.scope, 4 * (len(self.fields) - self.scope)
                )
                + fields
            )
        return Struct("!HHH").pack(self.number, len(self.fields), self.scope) + fields


def _specifier(field: Field, v9: bool, scope: bool) -> bytes:
    element = NAMED[field.name]
    if v9:
        return SET_HEADER.pack(V9_SYSTEM if scope else element.number, field.length)
    if element.enterprise:
        return Struct("!HHI").pack(element.number | 0x8000, field.length, element.enterprise)
    return SET_HEADER.pack(element.number, field.length)


class Layout:
    """The templates of one layout, and how a delta becomes records of them."""

    def __init__(self, kind: str, gateway: str) -> None:
        self.kind, self.v9, self.gateway = kind, kind == NETFLOW9, _name(gateway)
        self.templates = {template.number: template for template in _templates(kind)}

    def records(self, delta: Delta, up_since: int) -> list[tuple[int, bytes]]:
        """Template numbers and records; `up_since` is the millisecond at which NetFlow v9's clock began."""
        if self.v9:
            return [self._v9(delta, up_since)]
        if self.kind == OWN_LAYOUT:
            return [self._biflow(delta)]
        ways = [self._one_way(delta, False)]
        if delta.reverse:
            ways.append(self._one_way(delta, True))
        return ways

    def _v9(self, delta: Delta, up_since: int) -> tuple[int, bytes]:
        times = max(delta.first - up_since, 0) % WRAP, max(delta.last - up_since, 0) % WRAP
        if not delta.family:
            return GATHERED, self.templates[GATHERED].record(
                (delta.side, *times, delta.forward, delta.reverse, min(delta.flows, WRAP - 1))
            )
        number = FLOW_4 if delta.family == 4 else FLOW_6
        return number, self.templates[number].record(
            (
                delta.source,
                delta.target,
                delta.source_port,
                delta.target_port,
                TCP,
                delta.side,
                delta.reason,
                *times,
                delta.forward,
                delta.reverse,
            )
        )

    def _biflow(self, delta: Delta) -> tuple[int, bytes]:
        names = self.gateway, _name(delta.engine), _name(delta.hall)
        if not delta.family:
            return GATHERED, self.templates[GATHERED].record(
                (delta.side, delta.first, delta.last, delta.forward, delta.reverse, delta.flows),
                names,
            )
        number = _flow_number(delta.family, delta.forward, delta.reverse)
        return number, self.templates[number].record(
            (
                delta.source,
                delta.target,
                delta.source_port,
                delta.target_port,
                TCP,
                delta.side,
                delta.reason,
                delta.first,
                delta.last,
                delta.forward,
                delta.reverse,
            ),
            names,
        )

    def _one_way(self, delta: Delta, back: bool) -> tuple[int, bytes]:
        octets, side = (delta.reverse, 1 - delta.side) if back else (delta.forward, delta.side)
        if not delta.family:
            return GATHERED, self.templates[GATHERED].record(
                (side, delta.first, delta.last, octets, 0 if back else delta.flows)
            )
        ends = delta.source, delta.target, delta.source_port, delta.target_port
        if back:
            ends = delta.target, delta.source, delta.target_port, delta.source_port
        number = _flow_number(delta.family, octets)
        return number, self.templates[number].record(
            (*ends, TCP, side, delta.reason, delta.first, delta.last, octets)
        )

    def statistics(self, domain: int, said: dict[str, int]) -> bytes:
        template = self.templates[STATISTICS]
        return template.record(
            [domain]
            + [min(said[field.name], 2 ** (8 * field.length) - 1) for field in template.fields[1:]]
        )

    def types(self) -> list[bytes]:
        """What our own elements are (RFC 5610)."""
        template = self.templates.get(TYPES)
        return (
            []
            if template is None
            else [
                template.record(
                    (OWN, element.number, element.data_type, element.semantics, element.units),
                    [element.name.encode()],
                )
                for element in OURS
            ]
        )


def _name(text: str) -> bytes:
    """Danger: a name without end would fill a message; the first of it tells enough."""
    return text.encode()[:MOST_NAME]


def _flow_number(family: int, *octets: int) -> int:
    wide = max(octets) >= NARROW
    return (FLOW_4 if family == 4 else FLOW_6) + wide


def _templates(kind: str) -> Iterator[Template]:
    names = (
        [Field(name, VARIABLE) for name in ("gatewayName", "engineId", "hallName")]
        if kind == OWN_LAYOUT
        else []
    )
    times = [Field("flowStartMilliseconds", 8), Field("flowEndMilliseconds", 8)]
    if kind == NETFLOW9:
        times = [Field("flowStartSysUpTime", 4), Field("flowEndSysUpTime", 4)]

    def octets(size: int) -> list[Field]:
        back = {OWN_LAYOUT: "reverseOctetDeltaCount", NETFLOW9: "postOctetDeltaCount"}.get(kind)
        return [Field("octetDeltaCount", size)] + ([Field(back, size)] if back else [])

    for family, length, numbers in (
        ("IPv4", 4, (FLOW_4, FLOW_4_WIDE)),
        ("IPv6", 16, (FLOW_6, FLOW_6_WIDE)),
    ):
        ends = [
            Field(f"source{family}Address", length),
            Field(f"destination{family}Address", length),
            Field("sourceTransportPort", 2),
            Field("destinationTransportPort", 2),
            Field("protocolIdentifier", 1),
            Field("flowDirection", 1),
            Field("flowEndReason", 1),
        ]
        if kind == NETFLOW9:
            yield Template(numbers[0], ends + times + octets(8))
        else:
            for number, size in zip(numbers, (4, 8)):
                yield Template(number, ends + times + octets(size) + names)
    flows = Field("deltaFlowCount", 4 if kind == NETFLOW9 else 8)
    yield Template(GATHERED, [Field("flowDirection", 1), *times, *octets(8), flows, *names])
    told = [
        "exportedOctetTotalCount",
        "exportedMessageTotalCount",
        "exportedFlowRecordTotalCount",
        "notSentFlowTotalCount",
        "notSentOctetTotalCount",
    ]
    if kind == OWN_LAYOUT:
        told += [
            "measuredOctetTotalCount",
            "heldOctetCount",
            "mergedFlowTotalCount",
            "unsureOctetTotalCount",
            "repeatedOctetTotalCount",
        ]
        yield Template(
            TYPES,
            [
                Field("privateEnterpriseNumber", 4),
                Field("informationElementId", 2),
                Field("informationElementDataType", 1),
                Field("informationElementSemantics", 1),
                Field("informationElementUnits", 2),
                Field("informationElementName", VARIABLE),
            ],
            2,
        )
    size = 4 if kind == NETFLOW9 else 8
    yield Template(
        STATISTICS, [Field("observationDomainId", 4), *(Field(name, size) for name in told)], 1
    )


class Message:
    """One message while it is written."""

    def __init__(self, v9: bool, limit: int) -> None:
        self.v9, self.limit = v9, limit
        self.size = (V9_HEADER if v9 else IPFIX_HEADER).size
        self.sets: dict[int, list[bytes]] = {}
        self.count = 0  # data records in it

    def add(self, number: int, record: bytes) -> bool:
        """Put a record of a template (or a template, into its set); False where the limit does not let it."""
        fresh = number not in self.sets
        if self.size + len(record) + fresh * (SET_HEADER.size + 3) > self.limit:
            return False
        if fresh:
            self.sets[number] = []
            self.size += SET_HEADER.size + 3  # of padding at most
        self.sets[number].append(record)
        self.size += len(record)
        self.count += number >= 256
        return True

    def data(self, now: int, up_since: int, sequence: int, domain: int) -> bytes:
        """The message; `now` in milliseconds."""
        body = bytearray()
        for number, records in self.sets.items():
            joined = b"".join(records)
            padding = -len(joined) % 4
            body += (
                SET_HEADER.pack(number, SET_HEADER.size + len(joined) + padding)
                + joined
                + bytes(padding)
            )
        if self.v9:
            count = sum(map(len, self.sets.values()))
            return (
                V9_HEADER.pack(
                    V9_VERSION,
                    count,
                    max(now - up_since, 0) % WRAP,
                    now // 1000 % WRAP,
                    sequence % WRAP,
                    domain,
                )
                + body
            )
        return (
            IPFIX_HEADER.pack(
                IPFIX_VERSION,
                IPFIX_HEADER.size + len(body),
                now // 1000 % WRAP,
                sequence % WRAP,
                domain,
            )
            + body
        )


def template_set(template: Template, v9: bool) -> int:
    return (OPTIONS_SET if template.scope else TEMPLATE_SET)[v9]


def withdrawal(now: int, sequence: int, domain: int) -> bytes:
    """An IPFIX message that withdraws all templates of both sorts (RFC 7011, 8.1); for streams only."""
    message = Message(False, LEAST_LIMIT)
    for number in TEMPLATE_SET[0], OPTIONS_SET[0]:
        message.add(number, SET_HEADER.pack(number, 0))
    return message.data(now, 0, sequence, domain)
