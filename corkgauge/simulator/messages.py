"""Records of the simulator protocol: decodes events to messages, packs actions to bytes.

Times on the wire are microseconds. Message fields that hold them have names that end in
`_microseconds`. The functions that pack actions take ticks, tenths of a millisecond.
"""

from collections.abc import Callable
from enum import IntEnum
from struct import Struct
from typing import Any, NamedTuple

from corkgauge.simulator.protocol import Cursor, ProtocolError

MICROSECONDS_PER_TICK = 100
MAX_U32 = (1 << 32) - 1
MAX_LOG_LINE_BYTES = 200
MAX_FAULT_BYTES = 500
HAS_ESTIMATE = 1  # bit of a request's marks: the client has estimated the work


class EventCode(IntEnum):
    """Codes of the records that the simulator sends."""

    BORN = 10  # `Born`
    UPDATE = 20  # `ListUpdate`
    DEMAND = 30  # `NewRequest`
    OPENED = 40  # skipped
    VERDICT = 50  # `AttemptVerdict`
    DROPPED = 60  # `ClientLeft`
    DEADLINE_HIT = 70  # `TimerDue`
    PROBED = 80  # an engine's load report; skipped
    WHISPER = 90  # skipped
    DESTROY = 100  # the instance ends
    UPDATE_OF = 110  # `AttemptNote`
    CENSUS = 120  # a numbered list of `EngineEntry`, common to all instances


class ActionCode(IntEnum):
    """Codes of the records that this program sends."""

    DECLINE = 40  # reject a request
    REMIND = 60  # schedule a timer
    FAULT = 70  # report an exception, which ends the simulated day
    TRACE = 80  # log a line
    ROUTE = 90  # send an attempt
    LOSE = 100  # fail a request
    ASSIGN_TERMS = 110  # set memory and priority of a request's attempts
    STOP_ATTEMPT = 120  # cancel an attempt


class ListForm(IntEnum):
    """How an `UPDATE` record changes the engine list; any other form is a complete list."""

    CHANGES = 1
    UNCHANGED = 4


class EngineEntry(NamedTuple):
    """One engine of a numbered list."""

    engine: bytes
    zone: int
    kind: int
    cell: int
    state: int
    weight: float  # not used
    started_microseconds: int  # start time of the engine's process; 0: unknown


class Born(NamedTuple):
    """An instance has started."""

    seed: int
    settings: bytes  # JSON


class ListUpdate(NamedTuple):
    """The engine list of an instance has changed."""

    form: int  # `ListForm`, or another number for a complete list
    list_number: int  # of an earlier `CENSUS` record


class NewRequest(NamedTuple):
    """A client has sent a request."""

    request: int
    table_group: float
    request_class: int
    memory: float  # estimate in MB; 0: none
    marks: int  # bits, such as HAS_ESTIMATE
    estimate_microseconds: int  # estimated work, if the marks contain HAS_ESTIMATE
    tenant: int
    order_key: int
    time_to_deadline_microseconds: int  # from now


class AttemptVerdict(NamedTuple):
    """An attempt has ended."""

    request: int
    attempt: int  # index among the request's attempts
    outcome: int  # `AttemptOutcome`
    took_microseconds: int
    is_answered: bool  # as in `Gateway.on_attempt_finished`
    statistics: int  # work (20 bits, milliseconds) and memory (12 bits, units of 4 MB)
    load_report: tuple[float, ...]


class AttemptNote(NamedTuple):
    """An engine has reported the progress of an attempt in flight."""

    request: int
    attempt: int
    kind: int  # `NoteKind`
    value: float  # of PROGRESS: completed fraction


class ClientLeft(NamedTuple):
    """A client has given up its request."""

    request: int


class TimerDue(NamedTuple):
    """A scheduled timer is due."""

    timer: int


_CODE = Struct("<B")
_INSTANCE = Struct("<I")
_COUNT8 = Struct("<B")
_COUNT16 = Struct("<H")
_COUNT32 = Struct("<I")
_SEED = Struct("<Q")
_UPDATE = Struct("<BIH")
_DEMAND = Struct("<QfHfHIIQI")
_VERDICT = Struct("<QH6sBIBI")
_IDENTIFIER = Struct("<Q")
_PROBED = Struct("<6sBI")
_OPENED = Struct("<QH6sI")
_NOTE = Struct("<QH6sBf")
_ENTRY = Struct("<6sHHHBfQ")

_ROUTE = Struct("<BIQ6sI")
_DECLINE = Struct("<BIQI")
_ASSIGN_TERMS = Struct("<BIQfB")
_LOSE = Struct("<BIQ")
_STOP_ATTEMPT = Struct("<BIQH")
_REMIND = Struct("<BIQI")
_TEXT = Struct("<BIH")


def read_event_code(cursor: Cursor) -> EventCode:
    """Read the code of the next record; raise ProtocolError for an unknown code."""
    (code,) = cursor.take(_CODE)
    try:
        return EventCode(code)
    except ValueError:
        raise ProtocolError(f"expected a known record code, found {code}") from None


def read_instance(cursor: Cursor) -> int:
    """Read the number of the instance that the record is for."""
    instance: int = cursor.take(_INSTANCE)[0]
    return instance


def read_census(cursor: Cursor) -> tuple[int, list[EngineEntry]]:
    """Read a list of engines and its number, by which later updates refer to it."""
    (number,) = cursor.take(_COUNT16)
    (count,) = cursor.take(_COUNT32)
    entries = cursor.take_bytes(count * _ENTRY.size)
    return number, [EngineEntry(*fields) for fields in _ENTRY.iter_unpack(entries)]


def _read_load_report(cursor: Cursor) -> tuple[float, ...]:
    (count,) = cursor.take(_COUNT8)
    return cursor.take(Struct(f"<{count}f"))


def _read_born(cursor: Cursor) -> Born:
    (seed,) = cursor.take(_SEED)
    (size,) = cursor.take(_COUNT32)
    return Born(seed, cursor.take_bytes(size))


def _read_update(cursor: Cursor) -> ListUpdate:
    form, _, list_number = cursor.take(_UPDATE)
    return ListUpdate(form, list_number)


def _read_demand(cursor: Cursor) -> NewRequest:
    return NewRequest(*cursor.take(_DEMAND))


def _read_verdict(cursor: Cursor) -> AttemptVerdict:
    request, attempt, _, outcome, took, is_answered, statistics = cursor.take(_VERDICT)
    load_report = _read_load_report(cursor)
    return AttemptVerdict(
        request, attempt, outcome, took, bool(is_answered), statistics, load_report
    )


def _read_note(cursor: Cursor) -> AttemptNote:
    request, attempt, _, kind, value = cursor.take(_NOTE)
    return AttemptNote(request, attempt, kind, value)


def _read_dropped(cursor: Cursor) -> ClientLeft:
    return ClientLeft(*cursor.take(_IDENTIFIER))


def _read_deadline_hit(cursor: Cursor) -> TimerDue:
    return TimerDue(*cursor.take(_IDENTIFIER))


def _skip_probed(cursor: Cursor) -> None:
    cursor.take(_PROBED)
    _read_load_report(cursor)


def _skip_whisper(cursor: Cursor) -> None:
    cursor.take(_COUNT16)
    (size,) = cursor.take(_COUNT16)
    cursor.take_bytes(size)


def _skip_opened(cursor: Cursor) -> None:
    cursor.take(_OPENED)


def _skip_nothing(cursor: Cursor) -> None:
    """Read nothing, as the record has no fields."""


# Reader of each record's fields; it returns None for a record that needs no reaction.
READERS: dict[EventCode, Callable[[Cursor], Any]] = {
    EventCode.BORN: _read_born,
    EventCode.UPDATE: _read_update,
    EventCode.DEMAND: _read_demand,
    EventCode.OPENED: _skip_opened,
    EventCode.VERDICT: _read_verdict,
    EventCode.DROPPED: _read_dropped,
    EventCode.DEADLINE_HIT: _read_deadline_hit,
    EventCode.PROBED: _skip_probed,
    EventCode.WHISPER: _skip_whisper,
    EventCode.DESTROY: _skip_nothing,
    EventCode.UPDATE_OF: _read_note,
}


def _wire_time(ticks: int) -> int:
    return min(ticks * MICROSECONDS_PER_TICK, MAX_U32)


def pack_route(instance: int, request: int, engine: bytes, timeout: int) -> bytes:
    """Pack the action that sends an attempt; `timeout` is in ticks."""
    return _ROUTE.pack(ActionCode.ROUTE, instance, request, engine, _wire_time(timeout))


def pack_decline(instance: int, request: int, retry_after: int) -> bytes:
    """Pack the action that rejects a request; `retry_after` is in ticks."""
    return _DECLINE.pack(ActionCode.DECLINE, instance, request, _wire_time(retry_after))


def pack_lose(instance: int, request: int) -> bytes:
    """Pack the action that fails a request."""
    return _LOSE.pack(ActionCode.LOSE, instance, request)


def pack_terms(instance: int, request: int, memory: float, priority: int) -> bytes:
    """Pack the action that sets memory (MB) and priority of a request's attempts."""
    return _ASSIGN_TERMS.pack(ActionCode.ASSIGN_TERMS, instance, request, memory, priority)


def pack_stop_attempt(instance: int, request: int, attempt: int) -> bytes:
    """Pack the action that cancels an attempt."""
    return _STOP_ATTEMPT.pack(ActionCode.STOP_ATTEMPT, instance, request, attempt)


def pack_remind(instance: int, timer: int, delay: int) -> bytes:
    """Pack the action that schedules a timer; `delay` is in ticks."""
    return _REMIND.pack(ActionCode.REMIND, instance, timer, _wire_time(max(delay, 0)))


def pack_trace(instance: int, line: str) -> bytes:
    """Pack one line for the simulator's log, truncated to MAX_LOG_LINE_BYTES."""
    text = line.encode()[:MAX_LOG_LINE_BYTES]
    return _TEXT.pack(ActionCode.TRACE, instance, len(text)) + text


def pack_fault(instance: int, line: str) -> bytes:
    """Pack a fault of the instance, truncated to MAX_FAULT_BYTES; it ends the simulated day."""
    text = line.encode()[:MAX_FAULT_BYTES]
    return _TEXT.pack(ActionCode.FAULT, instance, len(text)) + text
