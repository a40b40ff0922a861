"""Defines the results of decoding: message headers, records and the templates of exporters."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from corkgauge.flow_export.elements import VARIABLE_LENGTH, ElementKey

Record = dict[str, Any]  # values by element name, or by "enterprise/number" if it is unknown


class MalformedMessageError(ValueError):
    """Raised for invalid messages, with one line that says what was found or expected."""


class FieldSpecifier(NamedTuple):
    """A field of a template as encoded; `length` is in octets, or `VARIABLE_LENGTH`."""

    key: ElementKey
    length: int


@dataclass(slots=True)
class LearnedTemplate:
    """A template of an exporter.

    The first `scope_count` fields of an options template are its scope.
    """

    fields: list[FieldSpecifier]
    scope_count: int = 0  # 0 for a template of data records
    is_v9: bool = False

    @property
    def min_record_bytes(self) -> int:
        """Length of the shortest possible record."""
        return sum(1 if field.length == VARIABLE_LENGTH else field.length for field in self.fields)


@dataclass(slots=True)
class DecodedMessage:
    """A decoded message."""

    version: int
    domain: int
    sequence: int
    export_time_seconds: int
    uptime_ms: int  # NetFlow v9: time since the start of the exporter; 0 in IPFIX
    records: list[Record] = field(default_factory=list)  # flow records
    options: list[Record] = field(default_factory=list)  # options records
    template_count: int = 0
    unknown_set_count: int = 0  # sets whose template is unknown
    missed_count: int = 0  # data records (IPFIX) or messages (NetFlow v9) missing in the sequence
