"""Datagrams of the subject `works`: typed records, and the lists they are on the wire.

A body is a msgpack list whose first element is the kind of message. The words of the wire are those
of the first version, as a fleet is upgraded one instance at a time.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

ORDERS, REPORT_REQUEST, REPORT, PREEMPTED, COMMAND, ANSWER = (
    "orders",
    "tell",
    "word",
    "no",
    "wish",
    "answer",
)
LOAD_SCALE = 100  # loads travel as whole hundredths of a core


@dataclass(frozen=True, slots=True)
class Orders:
    """One part of the leader's orders: the unit state of each engine or gateway that is named.

    `fence` and `number` are the stamp of the plan, `echo` the serial number of the report that is
    answered (0: none), `part` counts from 0 to `parts` - 1.
    """

    fence: int
    number: int
    echo: int
    part: int
    parts: int
    levels: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Asks a gateway to report at once."""

    fence: int


@dataclass(frozen=True, slots=True)
class Report:
    """What a gateway answers for.

    `fence` and `number` are the stamp of the orders it holds on disk, `closed` some of the engines
    where nothing of its is open, `closed_count` how many those are in all. `loads` are cores by
    request class, `ejected` engines that it has ejected; `holds_no_lease` is True where it holds no
    lease and is no candidate.
    """

    serial: int
    fence: int
    number: int
    is_blank: bool
    closed: Sequence[str]
    closed_count: int
    loads: Mapping[str, float]
    ejected: Sequence[str]
    holds_no_lease: bool


@dataclass(frozen=True, slots=True)
class Preempted:
    """Tells a sender of orders that orders under this higher fence are in force."""

    fence: int


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's command on its way to the leader, as JSON text."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of a command; `error` is empty where it was carried out."""

    key: str
    answer: str
    error: str


Message = Orders | ReportRequest | Report | Preempted | Command | Answer


def encode_report(
    participant_part: Sequence[Any],
    loads: Mapping[str, float],
    ejected: Sequence[str],
    holds_no_lease: bool,
) -> list[Any]:
    """Encode the body of a report.

    Loads go up to the next hundredth of a core, so that no load counts as none.

    >>> encode_report([1, 7, 4, False, ["e1"], 1], {"lookup": 2.5}, [], True)
    ['word', 1, 7, 4, False, ['e1'], 1, {'lookup': 251}, [], True]
    """
    scaled = {name: int(LOAD_SCALE * cores) + 1 for name, cores in loads.items()}
    return [REPORT, *participant_part, scaled, ejected, holds_no_lease]


def decode(body: Any) -> Message | None:
    """Decode a datagram's body; None for a kind that this version does not know.

    Raises TypeError or ValueError where the body is no list, or has not the fields of its kind.
    """
    kind, *fields = body
    decoder = _DECODERS.get(kind)
    return None if decoder is None else decoder(fields)


def _orders(fields: list[Any]) -> Orders:
    fence, number, echo, part, parts, levels = fields
    return Orders(fence, number, echo, part, parts, levels)


def _report_request(fields: list[Any]) -> ReportRequest:
    fence = (
        fields[0] if fields else 0
    )  # nobody looks at it; it is on the wire for those who read traces
    return ReportRequest(fence)


def _report(fields: list[Any]) -> Report:
    serial, fence, number, is_blank, closed, closed_count, scaled, ejected, holds_no_lease = fields
    loads = {name: cores / LOAD_SCALE for name, cores in scaled.items()}
    return Report(
        serial, fence, number, is_blank, closed, closed_count, loads, ejected, holds_no_lease
    )


def _preempted(fields: list[Any]) -> Preempted:
    return Preempted(int(fields[0]))


def _command(fields: list[Any]) -> Command:
    key, text = fields
    return Command(key, text)


def _answer(fields: list[Any]) -> Answer:
    key, answer, error = fields
    return Answer(key, answer, error)


_DECODERS: dict[str, Callable[[list[Any]], Message]] = {
    ORDERS: _orders,
    REPORT_REQUEST: _report_request,
    REPORT: _report,
    PREEMPTED: _preempted,
    COMMAND: _command,
    ANSWER: _answer,
}
