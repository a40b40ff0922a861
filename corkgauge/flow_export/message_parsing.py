"""Parses the parts of a flow message: header, sets, field specifiers, values, streams.

On arbitrary input, each function raises only `MalformedMessageError`.
"""

import ipaddress
from collections.abc import Iterator
from struct import Struct
from typing import Any, NamedTuple

from corkgauge.flow_export.codec import IPFIX_HEADER, IPFIX_VERSION, V9_HEADER, V9_VERSION
from corkgauge.flow_export.decoded_message import (
    DecodedMessage,
    FieldSpecifier,
    MalformedMessageError,
)
from corkgauge.flow_export.elements import VARIABLE_LENGTH, ElementKey, ValueType
from corkgauge.flow_export.templates import (
    ELEMENT_NUMBER_MASK,
    ENTERPRISE_BIT,
    FIELD_SPECIFIER,
    SET_HEADER,
)

ENTERPRISE_NUMBER_FIELD = Struct("!I")
LONG_LENGTH_MARKER = 255  # the length follows in two octets (RFC 7011, 7)


class Header(NamedTuple):
    """A parsed message header."""

    message: DecodedMessage
    size: int  # octets of the header
    record_count: int | None  # declared number of records, in NetFlow v9 only


class MessageSet(NamedTuple):
    """A set of a message, without the set header."""

    set_id: int
    body: bytes


class ParsedFields(NamedTuple):
    """The field specifiers of a template, and their end position in the set."""

    fields: list[FieldSpecifier]
    end: int


class FieldLength(NamedTuple):
    """The length of a value of variable length, and the start position of the value."""

    length: int
    start: int


def parse_header(data: bytes) -> Header:
    """Parse the header of an IPFIX (RFC 7011, 3.1) or NetFlow v9 message (RFC 3954, 5.1)."""
    if len(data) < 2:
        raise MalformedMessageError(
            "found less than 2 octets, "
            "expected the header of an IPFIX (16 octets) or NetFlow v9 message (20 octets)"
        )
    version = int.from_bytes(data[:2], "big")
    if version == IPFIX_VERSION and len(data) >= IPFIX_HEADER.size:
        _, length, export_seconds, sequence, domain = IPFIX_HEADER.unpack_from(data)
        if length != len(data):
            raise MalformedMessageError(
                f"found {len(data)} octets, expected {length} as declared in the header"
            )
        message = DecodedMessage(version, domain, sequence, export_seconds, uptime_ms=0)
        return Header(message, IPFIX_HEADER.size, None)
    if version == V9_VERSION and len(data) >= V9_HEADER.size:
        _, count, uptime_ms, export_seconds, sequence, domain = V9_HEADER.unpack_from(data)
        message = DecodedMessage(version, domain, sequence, export_seconds, uptime_ms)
        return Header(message, V9_HEADER.size, count)
    raise MalformedMessageError(
        f"found version {version} in a message of {len(data)} octets, "
        "expected version 10 with a header of 16 octets, or version 9 with a header of 20 octets"
    )


def parse_sets(data: bytes, start: int) -> Iterator[MessageSet]:
    """Yield the sets of a message, the first of which starts at `start`."""
    while start < len(data):
        if start + SET_HEADER.size > len(data):
            raise MalformedMessageError(
                f"found {len(data) - start} octets after the last set, expected none"
            )
        set_id, length = SET_HEADER.unpack_from(data, start)
        if length < SET_HEADER.size or start + length > len(data):
            raise MalformedMessageError(
                f"found a set of {length} octets at octet {start}, "
                "expected at least its header and no more than the message"
            )
        yield MessageSet(set_id, data[start + SET_HEADER.size : start + length])
        start += length


def parse_field_specifiers(body: bytes, start: int, count: int, is_v9: bool) -> ParsedFields:
    """Parse `count` field specifiers (RFC 7011, 3.2)."""
    fields = []
    for _ in range(count):
        if start + FIELD_SPECIFIER.size > len(body):
            raise MalformedMessageError(
                "template cut short: the set ends before the end of a field specifier (4 octets)"
            )
        number, length = FIELD_SPECIFIER.unpack_from(body, start)
        start += FIELD_SPECIFIER.size
        enterprise = 0
        if number & ENTERPRISE_BIT and not is_v9:
            if start + ENTERPRISE_NUMBER_FIELD.size > len(body):
                raise MalformedMessageError(
                    "template cut short: the set ends before the end of an enterprise number "
                    "(4 octets)"
                )
            (enterprise,) = ENTERPRISE_NUMBER_FIELD.unpack_from(body, start)
            number &= ELEMENT_NUMBER_MASK
            start += ENTERPRISE_NUMBER_FIELD.size
        if not length or (length == VARIABLE_LENGTH and is_v9):
            raise MalformedMessageError(
                f"found element {enterprise}/{number} of length {length}, "
                "expected 1 or more, and no variable length in NetFlow v9"
            )
        fields.append(FieldSpecifier(ElementKey(enterprise, number), length))
    return ParsedFields(fields, start)


def parse_variable_length(body: bytes, start: int) -> FieldLength:
    """Parse the length of a value of variable length (RFC 7011, 7)."""
    if start >= len(body):
        raise MalformedMessageError(
            f"record cut short: the set ends before the end of the length at octet {start} "
            "after the set header"
        )
    if body[start] < LONG_LENGTH_MARKER:
        return FieldLength(body[start], start + 1)
    if start + 3 > len(body):
        raise MalformedMessageError(
            f"record cut short: the set ends before the end of the length at octet {start} "
            "after the set header"
        )
    return FieldLength(int.from_bytes(body[start + 1 : start + 3], "big"), start + 3)


def check_padding(body: bytes, start: int) -> None:
    """Raise an error if the padding of a set contains an octet other than zero."""
    if any(body[start:]):
        raise MalformedMessageError(
            f"found {len(body) - start} octets of padding, expected only zeros"
        )


def decode_value(value_type: ValueType, value: bytes) -> Any:
    r"""Decode the value of a field.

    A value of unknown type, and an address that has neither 4 nor 16 octets, is returned as bytes.


    >>> decode_value(ValueType.UNSIGNED, b"\1\0")
    256
    >>> decode_value(ValueType.ADDRESS, bytes([127, 0, 0, 1]))
    '127.0.0.1'
    >>> decode_value(ValueType.STRING, b"hall-a")
    'hall-a'
    """
    if value_type in (ValueType.UNSIGNED, ValueType.MILLISECONDS):
        return int.from_bytes(value, "big")
    if value_type is ValueType.ADDRESS and len(value) in (4, 16):
        return str(ipaddress.ip_address(value))
    if value_type is ValueType.STRING:
        return value.decode(errors="replace")
    return value


class MessageStream:
    """Splits a stream of bytes into IPFIX messages."""

    def __init__(self) -> None:
        self.buffered = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes of the stream; return the messages that are now complete."""
        self.buffered += data
        messages = []
        while len(self.buffered) >= SET_HEADER.size:  # version and length
            version, length = SET_HEADER.unpack_from(self.buffered)
            if version != IPFIX_VERSION or length < IPFIX_HEADER.size:
                raise MalformedMessageError(
                    f"found version {version} and a length of {length} octets in a stream, "
                    "expected version 10 and at least 16 octets"
                )
            if len(self.buffered) < length:
                break
            messages.append(bytes(self.buffered[:length]))
            del self.buffered[:length]
        return messages
