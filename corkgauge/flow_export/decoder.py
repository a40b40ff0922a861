"""Flow messages to records: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954), strictly.

Owns the templates that it was told, by observation domain, and the sequence. Fed whole messages;
knows no socket. Must never raise anything but `Malformed` on any bytes, take a record beyond its
set, or grow without bound.
"""

import ipaddress
from dataclasses import dataclass, field
from struct import Struct
from typing import Any

from corkgauge.flow_export.codec import (
    IPFIX_HEADER,
    IPFIX_VERSION,
    SET_HEADER,
    V9_HEADER,
    V9_VERSION,
)
from corkgauge.flow_export.elements import (
    ADDRESS,
    DATA_TYPES,
    KNOWN,
    MILLISECONDS,
    STRING,
    UNSIGNED,
    VARIABLE,
    Element,
)

MOST_TEMPLATES = 1000  # of all domains
MOST_TYPES = 1000
MOST_RECORDS = 65_535
FIELD, ENTERPRISE, OPTIONS = Struct("!HH"), Struct("!I"), Struct("!HHH")


class MalformedMessageError(ValueError):
    """One line: what was expected, and where in the message."""


@dataclass(slots=True)
class Template:
    fields: list[tuple[int, int, int]]  # enterprise, number, length
    scope: int = 0  # so many are scope; 0: of data records
    v9: bool = False

    @property
    def least(self) -> int:
        """The shortest record."""
        return sum(1 if length == VARIABLE else length for _, _, length in self.fields)


@dataclass(slots=True)
class Heard:
    """One message."""

    version: int
    domain: int
    sequence: int
    exported: int  # seconds
    uptime: int  # NetFlow v9: milliseconds since the exporter began
    records: list[dict[str, Any]] = field(default_factory=list)  # of flows, by names
    options: list[dict[str, Any]] = field(default_factory=list)
    templates: int = 0
    unknown: int = 0  # sets whose template was never told
    missed: int = 0  # by the sequence: data records (IPFIX) or messages (NetFlow v9)


class Decoder:
    """One transport session, or all datagrams of one exporter."""

    def __init__(self) -> None:
        self.templates: dict[tuple[int, int], Template] = {}
        self.types: dict[tuple[int, int], Element] = dict(KNOWN)
        self.expected: dict[int, int] = {}

    def message(self, data: bytes) -> Heard:
        if len(data) < 2:
            raise MalformedMessageError("a message of less than two octets")
        version = int.from_bytes(data[:2], "big")
        if version == IPFIX_VERSION and len(data) >= IPFIX_HEADER.size:
            _, length, exported, sequence, domain = IPFIX_HEADER.unpack_from(data)
            if length != len(data):
                raise MalformedMessageError(f"a message of {len(data)} octets that says {length}")
            heard, at = Heard(version, domain, sequence, exported, 0), IPFIX_HEADER.size
        elif version == V9_VERSION and len(data) >= V9_HEADER.size:
            _, count, uptime, exported, sequence, domain = V9_HEADER.unpack_from(data)
            heard, at = Heard(version, domain, sequence, exported, uptime), V9_HEADER.size
        else:
            raise MalformedMessageError(f"version {version} in {len(data)} octets")
        self._sequence(heard)
        counted = 0
        while at < len(data):
            if at + SET_HEADER.size > len(data):
                raise MalformedMessageError(f"{len(data) - at} octets after the last set")
            number, length = SET_HEADER.unpack_from(data, at)
            if length < SET_HEADER.size or at + length > len(data):
                raise MalformedMessageError(f"a set of {length} octets at {at}")
            counted += self._set(heard, number, data[at + SET_HEADER.size : at + length])
            at += length
        if version == V9_VERSION and not heard.unknown and counted != count:
            raise MalformedMessageError(f"{counted} records in a message that says {count}")
        step = 1 if version == V9_VERSION else len(heard.records) + len(heard.options)
        if heard.unknown and version == IPFIX_VERSION:
            self.expected.pop(domain, None)  # how many records those sets held is not known
        else:
            self.expected[domain] = (sequence + step) % 2**32
            if len(self.expected) > MOST_TEMPLATES:
                del self.expected[next(iter(self.expected))]
        return heard

    def _sequence(self, heard: Heard) -> None:
        gap = (heard.sequence - self.expected.get(heard.domain, heard.sequence)) % 2**32
        heard.missed = gap if gap < 2**31 else 0  # far behind: a new start, or out of order

    def _set(self, heard: Heard, number: int, body: bytes) -> int:
        """How many records it holds."""
        v9 = heard.version == V9_VERSION
        if number == (0 if v9 else 2):
            return self._templates(heard, body, v9)
        if number == (1 if v9 else 3):
            return self._options_templates(heard, body, v9)
        if number < 256:
            raise MalformedMessageError(f"set {number}")
        template = self.templates.get((heard.domain, number))
        if template is None or template.v9 != v9:
            heard.unknown += 1
            return 0
        return self._records(heard, template, body)

    # Templates.

    def _templates(self, heard: Heard, body: bytes, v9: bool) -> int:
        at, count = 0, 0
        while len(body) - at >= 4:
            number, fields = SET_HEADER.unpack_from(body, at)
            if not number and not any(body[at:]):
                break  # padding
            at += 4
            if not fields:
                self._withdrawn(heard.domain, number, 2, v9)
                continue
            found, at = self._fields(body, at, fields, v9)
            self._learn(heard, number, Template(found, 0, v9))
            count += 1
        self._padding(body, at)
        return count

    def _options_templates(self, heard: Heard, body: bytes, v9: bool) -> int:
        at, count = 0, 0
        while len(body) - at >= 6:
            number, first, second = OPTIONS.unpack_from(body, at)
            if not number and not any(body[at:]):
                break
            if not v9 and not first:
                self._withdrawn(heard.domain, number, 3, v9)
                at += 4
                continue
            at += 6
            if v9:
                if first % 4 or second % 4:
                    raise MalformedMessageError(
                        f"options template {number} of {first} and {second} octets"
                    )
                scope, fields = first // 4, (first + second) // 4
            else:
                scope, fields = second, first
            if not 0 < scope <= fields:
                raise MalformedMessageError(
                    f"options template {number} with {scope} of {fields} fields as scope"
                )
            found, at = self._fields(body, at, fields, v9)
            if v9:  # scopes have numbers of their own; of those only the exporter's is used here
                found[:scope] = [(0, 149, length) for _, _, length in found[:scope]]
            self._learn(heard, number, Template(found, scope, v9))
            count += 1
        if len(body) - at == 4 and not v9 and SET_HEADER.unpack_from(body, at)[1] == 0:
            self._withdrawn(heard.domain, SET_HEADER.unpack_from(body, at)[0], 3, v9)
            at += 4
        self._padding(body, at)
        return count

    def _fields(
        self, body: bytes, at: int, count: int, v9: bool
    ) -> tuple[list[tuple[int, int, int]], int]:
        found = []
        for _ in range(count):
            if at + 4 > len(body):
                raise MalformedMessageError("a template cut short")
            number, length = FIELD.unpack_from(body, at)
            enterprise, at = 0, at + 4
            if number & 0x8000 and not v9:
                if at + 4 > len(body):
                    raise MalformedMessageError("a template cut short")
                enterprise, number = ENTERPRISE.unpack_from(body, at)[0], number & 0x7FFF
                at += 4
            if not length or (length == VARIABLE and v9):
                raise MalformedMessageError(f"element {enterprise}/{number} of length {length}")
            found.append((enterprise, number, length))
        return found, at

    def _learn(self, heard: Heard, number: int, template: Template) -> None:
        if number < 256:
            raise MalformedMessageError(f"template {number}")
        self.templates[heard.domain, number] = template
        heard.templates += 1
        # Danger: an exporter that makes up domains would fill the memory.
        while len(self.templates) > MOST_TEMPLATES:
            del self.templates[next(iter(self.templates))]

    def _withdrawn(self, domain: int, number: int, set_: int, v9: bool) -> None:
        if v9:
            raise MalformedMessageError(f"template {number} without fields")
        if number == set_:  # all of its sort
            gone = [
                key
                for key, each in self.templates.items()
                if key[0] == domain and bool(each.scope) == (set_ == 3)
            ]
        elif number < 256:
            raise MalformedMessageError(f"template {number}")
        else:
            gone = [(domain, number)]
        for key in gone:
            self.templates.pop(key, None)

    def _padding(self, body: bytes, at: int) -> None:
        if any(body[at:]):
            raise MalformedMessageError(f"{len(body) - at} octets of padding that are not zero")

    # Records.

    def _records(self, heard: Heard, template: Template, body: bytes) -> int:
        at, count, least = 0, 0, template.least
        while len(body) - at >= least:
            if count >= MOST_RECORDS:
                raise MalformedMessageError("records without end")
            record, at = self._record(template, body, at)
            (heard.options if template.scope else heard.records).append(record)
            count += 1
            if template.scope:
                self._type(record)
        self._padding(body, at)
        return count

    def _record(self, template: Template, body: bytes, at: int) -> tuple[dict[str, Any], int]:
        record: dict[str, Any] = {}
        for enterprise, number, length in template.fields:
            if length == VARIABLE:
                length, at = self._length(body, at)
            value = body[at : at + length]
            if len(value) != length:
                raise MalformedMessageError(f"a record cut short at {at}")
            at += length
            element = self.types.get((enterprise, number))
            name = element.name if element else f"{enterprise}/{number}"
            record[name] = value_of(element.kind if element else "", value)
        return record, at

    def _length(self, body: bytes, at: int) -> tuple[int, int]:
        if at >= len(body):
            raise MalformedMessageError(f"a record cut short at {at}")
        if body[at] < 255:
            return body[at], at + 1
        if at + 3 > len(body):
            raise MalformedMessageError(f"a record cut short at {at}")
        return int.from_bytes(body[at + 1 : at + 3], "big"), at + 3

    def _type(self, record: dict[str, Any]) -> None:
        """An element of an enterprise, as RFC 5610 tells it."""
        try:
            key = record["privateEnterpriseNumber"], record["informationElementId"] & 0x7FFF
            kind = DATA_TYPES.get(record["informationElementDataType"], "")
            name = record["informationElementName"]
        except (KeyError, TypeError):
            return
        if (
            key[0]
            and key not in KNOWN
            and isinstance(name, str)
            and name.isalnum()
            and (key in self.types or len(self.types) < MOST_TYPES)
        ):
            self.types[key] = Element(name, key[1], kind, key[0])


def value_of(kind: str, value: bytes) -> Any:
    """
    >>> value_of(UNSIGNED, b"\\1\\0"), value_of(ADDRESS, bytes([127, 0, 0, 1])), value_of(STRING, b"hall-a")
    (256, '127.0.0.1', 'hall-a')
    """
    if kind in (UNSIGNED, MILLISECONDS):
        return int.from_bytes(value, "big")
    if kind == ADDRESS and len(value) in (4, 16):
        return str(ipaddress.ip_address(value))
    if kind == STRING:
        return value.decode(errors="replace")
    return value


class Stream:
    """IPFIX messages in a stream of bytes, as they come whole."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.held += data
        found = []
        while len(self.held) >= 4:
            version, length = SET_HEADER.unpack_from(self.held)
            if version != IPFIX_VERSION or length < IPFIX_HEADER.size:
                raise MalformedMessageError(f"version {version}, {length} octets, in a stream")
            if len(self.held) < length:
                break
            found.append(bytes(self.held[:length]))
            del self.held[:length]
        return found
