"""Encodes and decodes the datagrams of the subject `works`.

A body is a msgpack list whose first element is the message kind. The kinds on the wire keep the
words of the first version, because a fleet is upgraded one instance at a time and its instances
have to understand each other meanwhile.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

# Message kinds.
ORDERS, REPORT_REQUEST, REPORT, PREEMPTED, COMMAND, ANSWER = (
    "orders",
    "tell",
    "word",
    "no",
    "wish",
    "answer",
)
LOAD_UNITS_PER_CORE = 100  # loads are sent as whole hundredths of a core


@dataclass(frozen=True, slots=True)
class Orders:
    """One part of the leader's orders: unit states by engine or gateway name.

    `fence` and `number` form the stamp of the plan. `echo` is the serial number of the gateway's
    last report that the leader received (0: none). `part` is the index of this part, from 0 to
    `parts` - 1.
    """

    fence: int
    number: int
    echo: int
    part: int
    parts: int
    levels: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Requests an immediate report from a gateway."""

    fence: int


@dataclass(frozen=True, slots=True)
class Report:
    """A gateway's report to the leader.

    Attributes:
        serial: Serial number of the report, which the leader returns as `Orders.echo`.
        fence: Fence of the orders that the gateway has stored on disk.
        number: Number, under that fence, of the same orders.
        is_blank: Whether the gateway holds no orders, for example after losing its disk.
        closed: Some of the engines that the gateway has closed: it has nothing open there. Can
            contain the name of the gateway, which then has no lease and is no candidate.
        closed_count: Number of all engines that it has closed.
        loads: Cores needed by request class.
        ejected: Engines that the gateway has ejected.
        holds_no_lease: Whether the gateway neither holds a lease nor is a candidate for one.
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
    """Rejects orders: the sender of this message already holds orders under this higher fence."""

    fence: int


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's command, forwarded to the leader as JSON text."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class Answer:
    """The leader's answer to a forwarded command; `error` is empty if it was carried out."""

    key: str
    answer: str
    error: str


Message = Orders | ReportRequest | Report | Preempted | Command | Answer


def encode_report(
    participant_fields: Sequence[Any],
    loads: Mapping[str, float],
    ejected: Sequence[str],
    holds_no_lease: bool,
) -> list[Any]:
    """Encode the body of a report.

    `participant_fields` are the fields from `serial` to `closed_count`. Each load is truncated to
    hundredths of a core, plus one hundredth, so that a small load is not reported as none.

    >>> encode_report([1, 7, 4, False, ["e1"], 1], {"lookup": 2.5}, [], True)
    ['word', 1, 7, 4, False, ['e1'], 1, {'lookup': 251}, [], True]
    """
    scaled = {name: int(LOAD_UNITS_PER_CORE * cores) + 1 for name, cores in loads.items()}
    return [REPORT, *participant_fields, scaled, ejected, holds_no_lease]


def decode(body: Any) -> Message | None:
    """Decode the body of a datagram; return None for an unknown kind, sent by a later version.

    Raises TypeError or ValueError if the body is not a list or lacks fields of its kind, IndexError
    if a rejection of orders has no fence, AttributeError if the loads of a report are not a map.
    """
    kind, *fields = body
    decoder = _DECODERS.get(kind)
    return None if decoder is None else decoder(fields)


def _decode_orders(fields: list[Any]) -> Orders:
    fence, number, echo, part, parts, levels = fields
    return Orders(fence, number, echo, part, parts, levels)


def _decode_report_request(fields: list[Any]) -> ReportRequest:
    # The receiver ignores the fence, which is sent only for readers of packet traces.
    fence = fields[0] if fields else 0
    return ReportRequest(fence)


def _decode_report(fields: list[Any]) -> Report:
    serial, fence, number, is_blank, closed, closed_count, scaled, ejected, holds_no_lease = fields
    loads = {name: units / LOAD_UNITS_PER_CORE for name, units in scaled.items()}
    return Report(
        serial, fence, number, is_blank, closed, closed_count, loads, ejected, holds_no_lease
    )


def _decode_preempted(fields: list[Any]) -> Preempted:
    return Preempted(int(fields[0]))


def _decode_command(fields: list[Any]) -> Command:
    key, text = fields
    return Command(key, text)


def _decode_answer(fields: list[Any]) -> Answer:
    key, answer, error = fields
    return Answer(key, answer, error)


_DECODERS: dict[str, Callable[[list[Any]], Message]] = {
    ORDERS: _decode_orders,
    REPORT_REQUEST: _decode_report_request,
    REPORT: _decode_report,
    PREEMPTED: _decode_preempted,
    COMMAND: _decode_command,
    ANSWER: _decode_answer,
}
