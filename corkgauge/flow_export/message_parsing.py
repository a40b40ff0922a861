"""Reads the parts of a flow message: header, sets, field specifiers, records, streams.

Functions without state; every one raises `MalformedMessageError` and nothing else on any bytes.
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
LONG_LENGTH_MARKER = 255  # two octets of length follow (RFC 7011, 7)


class Header(NamedTuple):
    """The header of a message."""

    message: DecodedMessage
    size: int  # octets of the header
    record_count: int | None  # that the message declares; NetFlow v9 only


class MessageSet(NamedTuple):
    """One set of a message, without its header."""

    set_id: int
    body: bytes


class ParsedFields(NamedTuple):
    """The field specifiers of a template, and where they end in the set."""

    fields: list[FieldSpecifier]
    end: int


class FieldLength(NamedTuple):
    """The length that a value of variable length states, and where the value begins."""

    length: int
    start: int


def parse_header(data: bytes) -> Header:
    """Read the header of an IPFIX (RFC 7011, 3.1) or NetFlow v9 message (RFC 3954, 5.1)."""
    if len(data) < 2:
        raise MalformedMessageError("a message of less than two octets")
    version = int.from_bytes(data[:2], "big")
    if version == IPFIX_VERSION and len(data) >= IPFIX_HEADER.size:
        _, length, export_seconds, sequence, domain = IPFIX_HEADER.unpack_from(data)
        if length != len(data):
            raise MalformedMessageError(f"a message of {len(data)} octets that says {length}")
        message = DecodedMessage(version, domain, sequence, export_seconds, uptime_ms=0)
        return Header(message, IPFIX_HEADER.size, None)
    if version == V9_VERSION and len(data) >= V9_HEADER.size:
        _, count, uptime_ms, export_seconds, sequence, domain = V9_HEADER.unpack_from(data)
        message = DecodedMessage(version, domain, sequence, export_seconds, uptime_ms)
        return Header(message, V9_HEADER.size, count)
    raise MalformedMessageError(f"version {version} in {len(data)} octets")


def parse_sets(data: bytes, start: int) -> Iterator[MessageSet]:
    """Yield the sets of a message, which begin at `start`."""
    while start < len(data):
        if start + SET_HEADER.size > len(data):
            raise MalformedMessageError(f"{len(data) - start} octets after the last set")
        set_id, length = SET_HEADER.unpack_from(data, start)
        if length < SET_HEADER.size or start + length > len(data):
            raise MalformedMessageError(f"a set of {length} octets at {start}")
        yield MessageSet(set_id, data[start + SET_HEADER.size : start + length])
        start += length


def parse_field_specifiers(body: bytes, start: int, count: int, is_v9: bool) -> ParsedFields:
    """Read so many field specifiers (RFC 7011, 3.2)."""
    fields = []
    for _ in range(count):
        if start + FIELD_SPECIFIER.size > len(body):
            raise MalformedMessageError("a template cut short")
        number, length = FIELD_SPECIFIER.unpack_from(body, start)
        start += FIELD_SPECIFIER.size
        enterprise = 0
        if number & ENTERPRISE_BIT and not is_v9:
            if start + ENTERPRISE_NUMBER_FIELD.size > len(body):
                raise MalformedMessageError("a template cut short")
            (enterprise,) = ENTERPRISE_NUMBER_FIELD.unpack_from(body, start)
            number &= ELEMENT_NUMBER_MASK
            start += ENTERPRISE_NUMBER_FIELD.size
        if not length or (length == VARIABLE_LENGTH and is_v9):
            raise MalformedMessageError(f"element {enterprise}/{number} of length {length}")
        fields.append(FieldSpecifier(ElementKey(enterprise, number), length))
    return ParsedFields(fields, start)


def parse_variable_length(body: bytes, start: int) -> FieldLength:
    """Read the length of a value that states its own (RFC 7011, 7)."""
    if start >= len(body):
        raise MalformedMessageError(f"a record cut short at {start}")
    if body[start] < LONG_LENGTH_MARKER:
        return FieldLength(body[start], start + 1)
    if start + 3 > len(body):
        raise MalformedMessageError(f"a record cut short at {start}")
    return FieldLength(int.from_bytes(body[start + 1 : start + 3], "big"), start + 3)


def check_padding(body: bytes, start: int) -> None:
    """Refuse a set that ends in anything but zeros."""
    if any(body[start:]):
        raise MalformedMessageError(f"{len(body) - start} octets of padding that are not zero")


def decode_value(value_type: ValueType, value: bytes) -> Any:
    r"""Decode a field's value; one of unknown type stays bytes.

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
    """Cuts a stream of bytes into IPFIX messages."""

    def __init__(self) -> None:
        self.buffered = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes of the stream; return the messages that are complete with them."""
        self.buffered += data
        messages = []
        while len(self.buffered) >= SET_HEADER.size:  # version and length
            version, length = SET_HEADER.unpack_from(self.buffered)
            if version != IPFIX_VERSION or length < IPFIX_HEADER.size:
                raise MalformedMessageError(f"version {version}, {length} octets, in a stream")
            if len(self.buffered) < length:
                break
            messages.append(bytes(self.buffered[:length]))
            del self.buffered[:length]
        return messages
