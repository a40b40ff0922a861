"""Open effects: hand-offs of labelled and ordered submissions that may have run, as a log and what it says.

Owns the form of a log's records, and the state that they make. Free of I/O, the clock is handed in (tenths of
a millisecond, Unix). Must never raise on any bytes, take a record whose sum is wrong, or hold more than its
bound.

The entry of a hand-off is put before the hand-off itself. Killed between the two, the log tells of one that
never went: that is only stricter. The other way round, one that ran would be unknown.

A record: length (4), xxHash32 of the body (4), the body in msgpack. Little-endian.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from typing import Any

import msgpack
import xxhash

HEAD = Struct("<II")
LARGEST = 4096  # octets of one record
MOST = 100_000  # effects held; beyond it the oldest go
SENT, OVER = 1, 2
WHOLE, TORN, DAMAGED = "", "a torn end", "damage in the middle"


@dataclass(slots=True)
class LoggedAttempt:
    """A hand-off that may have run: of which label and key, where and when; engines know it `until`."""

    serial: int
    label: str
    request_class: str
    key: int
    engine: str
    zone: int
    cell: int
    sent: int
    until: int
    open: bool = True  # no outcome yet, as far as was told


def record(body: list[Any]) -> bytes:
    packed = msgpack.packb(body)
    return HEAD.pack(len(packed), xxhash.xxh32_intdigest(packed)) + packed


def sent(effect: LoggedAttempt) -> bytes:
    return record(
        [
            SENT,
            effect.serial,
            effect.label,
            effect.request_class,
            effect.key,
            effect.engine,
            effect.zone,
            effect.cell,
            effect.sent,
            effect.until,
        ]
    )


def over(serial: int, ran: bool) -> bytes:
    """Its outcome has come; `ran`: it ran, or may have."""
    return record([OVER, serial, ran])


def records(data: bytes) -> Iterator[tuple[list[Any] | None, int, str]]:
    """Each body with where it ends; last (None, end of what is good, what is wrong).

    >>> [body for body, _, _ in records(over(7, True) + over(8, False))]
    [[2, 7, True], [2, 8, False], None]
    >>> [*records(over(7, True)[:-1])]
    [(None, 0, 'a torn end')]
    """
    at = 0
    while at < len(data):
        if len(data) - at < HEAD.size:
            yield None, at, TORN
            return
        length, mark = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + length]
        if length > LARGEST or len(body) < length or xxhash.xxh32_intdigest(body) != mark:
            # Danger: an end that a kill tore is cut; damage with good records behind it is another matter.
            yield None, at, DAMAGED if _goes_on(data, at + 1) else TORN
            return
        try:
            said = msgpack.unpackb(body)
        except (ValueError, msgpack.UnpackException):
            said = None
        if not isinstance(said, list) or len(said) < 3 or said[0] not in (SENT, OVER):
            yield None, at, DAMAGED
            return
        at += HEAD.size + length
        yield said, at, WHOLE
    yield None, at, WHOLE


def _goes_on(data: bytes, at: int) -> bool:
    """Is there a good record anywhere behind? Looked for in a bounded stretch."""
    for begin in range(at, min(len(data) - HEAD.size, at + 2 * LARGEST)):
        length, mark = HEAD.unpack_from(data, begin)
        if (
            0 < length <= LARGEST
            and begin + HEAD.size + length <= len(data)
            and (
                xxhash.xxh32_intdigest(data[begin + HEAD.size : begin + HEAD.size + length]) == mark
            )
        ):
            return True
    return False


class AttemptLog:
    """What may have run, by label; and the keys whose last hand-off has no outcome."""

    def __init__(self) -> None:
        self.by_serial: dict[int, LoggedAttempt] = {}
        self.by_label: dict[tuple[str, str], dict[int, LoggedAttempt]] = {}

    def __len__(self) -> int:
        return len(self.by_serial)

    def sent(self, effect: LoggedAttempt) -> None:
        self.by_serial[effect.serial] = effect
        self.by_label.setdefault((effect.request_class, effect.label), {})[effect.serial] = effect
        # Danger: a log without end, or one that claims to be, would fill the memory.
        while len(self.by_serial) > MOST:
            self._drop(next(iter(self.by_serial.values())))

    def over(self, serial: int, ran: bool) -> None:
        effect = self.by_serial.get(serial)
        if effect is not None:
            effect.open = False
            if not ran:
                self._drop(effect)

    def take(self, body: list[Any]) -> bool:
        """A record of a log; False where it makes no sense."""
        try:
            if body[0] == SENT:
                _, serial, label, request_class, key, engine, zone, cell, when, until = body
                if not (
                    isinstance(label, str)
                    and isinstance(request_class, str)
                    and isinstance(engine, str)
                    and all(
                        isinstance(each, int) for each in (serial, key, zone, cell, when, until)
                    )
                ):
                    return False
                self.sent(
                    LoggedAttempt(
                        serial, label, request_class, key, engine, zone, cell, when, until
                    )
                )
            else:
                self.over(body[1], bool(body[2]))
        except (ValueError, TypeError, IndexError):
            return False
        return True

    def of(self, request_class: str, label: str, now: int) -> list[LoggedAttempt]:
        """Those of a label that engines still remember, the oldest first."""
        found = self.by_label.get((request_class, label), {})
        return [effect for effect in found.values() if now < effect.until]

    def expire(self, now: int, most: int = 1000) -> None:
        """Forget what no engine remembers any more; so many of the oldest are looked at."""
        for effect in [*zip(range(most), self.by_serial.values())]:
            if now >= effect[1].until and not effect[1].open:
                self._drop(effect[1])

    def oldest(self, otherwise: int) -> int:
        """The lowest serial that still counts."""
        return next(iter(self.by_serial), otherwise)

    def unsettled(self) -> list[LoggedAttempt]:
        """Without an outcome; after a restart their keys must rest."""
        return [effect for effect in self.by_serial.values() if effect.open]

    def _drop(self, effect: LoggedAttempt) -> None:
        del self.by_serial[effect.serial]
        several = self.by_label[effect.request_class, effect.label]
        del several[effect.serial]
        if not several:
            del self.by_label[effect.request_class, effect.label]
