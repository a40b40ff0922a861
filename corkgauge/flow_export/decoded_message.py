"""What the decoder makes of a message: its header, its records, and the templates it learns."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from corkgauge.flow_export.elements import VARIABLE_LENGTH, ElementKey

Record = dict[str, Any]  # values by element names, or "enterprise/number" of unknown elements


class MalformedMessageError(ValueError):
    """One line: what was expected, and where in the message."""


class FieldSpecifier(NamedTuple):
    """One field of a template as it is on the wire; `length` in octets, or `VARIABLE_LENGTH`."""

    key: ElementKey
    length: int


@dataclass(slots=True)
class LearnedTemplate:
    """A template of an exporter; of an options template the first `scope_count` are its scope."""

    fields: list[FieldSpecifier]
    scope_count: int = 0  # 0: of data records
    is_v9: bool = False

    @property
    def min_record_bytes(self) -> int:
        """Length of the shortest record."""
        return sum(1 if field.length == VARIABLE_LENGTH else field.length for field in self.fields)


@dataclass(slots=True)
class DecodedMessage:
    """One message."""

    version: int
    domain: int
    sequence: int
    export_time_seconds: int
    uptime_ms: int  # NetFlow v9: since the exporter began
    records: list[Record] = field(default_factory=list)  # of flows
    options: list[Record] = field(default_factory=list)
    template_count: int = 0  # how many it had
    unknown_set_count: int = 0  # sets whose template the exporter never sent
    missed_count: int = 0  # by the sequence: data records (IPFIX) or messages (NetFlow v9)
