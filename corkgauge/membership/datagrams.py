"""Datagrams between fellows: sealed with a shared key, bound to one start of sender and receiver, never taken
twice.

Owns keys, counters and the windows against replay. Fed with bytes; knows no socket and no clock. Must never
let anything of a datagram count before its seal, its receiver and its counter have been looked at.

A datagram: a mark (1 octet), the key's number (1), a msgpack list, the seal (16, HMAC-SHA256 cut short as RFC
2104 section 5 lets it). The list: sort, sender, its start, receiver, the receiver's start as the sender knows
it, counter, body. A start is a number that is new with each start of a program.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import msgpack
from cryptography.hazmat.primitives import constant_time, hashes, hmac

MARK = 0xC9
SEAL = 16  # octets
LARGEST = 1_400  # octets of a datagram: none is ever parted on its way
WINDOW = 256  # counters below the highest that are told apart
LEAST_KEY = 32  # octets
MOST_START = 2**62  # above it no start is believed: the next one would not fit

# Sorts. HELLO asks who is there; BACK answers it, and proves by the asker's start that it is no old one.
HELLO, BACK, ASK, ANSWER, ASK_FOR, DEAF, ASK_ALL, TELL, CALL = range(9)


RATE, BURST = 400.0, 800.0  # letters of one fellow that are opened: a second; at once


class Key:
    """A shared secret of 32 octets or more; its number is public, and tells it from another one."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < LEAST_KEY:
            raise ValueError(f"expected {LEAST_KEY} octets or more, found {len(secret)}")
        self.fresh = hmac.HMAC(secret, hashes.SHA256())
        number = hashes.Hash(hashes.SHA256())
        number.update(b"corkgauge key" + secret)
        self.number = number.finalize()[0]

    def seal(self, data: bytes) -> bytes:
        one = self.fresh.copy()
        one.update(data)
        return one.finalize()[:SEAL]

    def sealed(self, data: bytes, seal: bytes) -> bool:
        """Danger: a comparison that stops at the first difference tells a stranger how far it was right."""
        return constant_time.bytes_eq(self.seal(data), seal)


class Window:
    """Which counters of one sender have come (RFC 4303, section 3.4.3, with a wider mask).

    >>> window = Window()
    >>> [window.first(each) for each in (5, 3, 5, 3, 4, 300, 44, 45, 300)]
    [True, True, False, False, True, True, False, True, False]
    """

    __slots__ = ("highest", "mask")

    def __init__(self) -> None:
        self.highest, self.mask = 0, 0

    def first(self, counter: int) -> bool:
        """Is it new? From now on it is not."""
        if counter > self.highest:
            self.mask = (self.mask << min(counter - self.highest, WINDOW) | 1) & (1 << WINDOW) - 1
            self.highest = counter
            return True
        bit = 1 << (self.highest - counter)
        # Danger: what is older than the window cannot be told from a replay.
        if self.highest - counter >= WINDOW or self.mask & bit:
            return False
        self.mask |= bit
        return True


class Pen:
    """What one gateway needs for its letters with one other."""

    __slots__ = ("name", "start", "written", "window", "allowance", "filled")

    def __init__(self, name: str) -> None:
        self.name, self.start, self.written, self.window = name, 0, 0, Window()
        self.allowance, self.filled = BURST, 0


class DatagramCodec:
    """One gateway's side. `starts(name, start)` is called when another's start becomes known or changes,
    `outgrown(start)` when somebody knows our name under a later start than ours."""

    def __init__(
        self,
        name: str,
        start: int,
        keys: Sequence[Key],
        starts: Callable[[str, int], None],
        outgrown: Callable[[int], None],
    ) -> None:
        self.name, self.start, self.starts, self.outgrown = name, start, starts, outgrown
        self.keys = [*keys]
        self.pens: dict[str, Pen] = {}
        self.counts = Counter[str]()  # by why it was not taken

    def named(self, names: Sequence[str]) -> None:
        """Who the others are; what is known of those that stay is kept."""
        self.pens = {name: self.pens.get(name) or Pen(name) for name in names if name != self.name}

    def write(self, to: str, sort: int, body: Any, known_as: int = 0) -> bytes:
        """A datagram; KeyError for a stranger, ValueError where the body is too large. `known_as` is for
        BACK, which repeats the start that it answers."""
        pen, key = self.pens[to], self.keys[0]
        pen.written += 1
        data = bytes((MARK, key.number)) + msgpack.packb(
            [sort, self.name, self.start, to, max(known_as, pen.start), pen.written, body]
        )
        if len(data) + SEAL > LARGEST:
            raise ValueError(f"{len(data)} octets for one datagram")
        return data + key.seal(data)

    def known(self, name: str) -> bool:
        """May anything but HELLO and BACK be written to it?"""
        return self.pens[name].start > 0

    def open(self, data: bytes, now: int) -> tuple[str, int, Any] | None:
        """Sender, sort and body; None for what must not be taken, which costs its reading and one count.
        `now` in tenths of a millisecond, for the allowance of each sender."""
        said = self._unsealed(data)
        if isinstance(said, str):
            self.counts[said] += 1
            return None
        sort, sender, start, to, known_as, counter, body = said
        pen = self.pens.get(sender)
        wrong = (
            "stranger"
            if pen is None
            else "not to us"
            if to != self.name
            else "flood"
            if not self._allowed(pen, now)
            else ""
        )
        if not wrong and known_as > self.start:
            # Danger: after a clock that was set back our start is below the one they knew; they would take
            # all of ours for old for ever.
            self.outgrown(known_as)
            wrong = "to a later start"
        elif not wrong and sort != HELLO and known_as != self.start:
            # Danger: what was written to an earlier start of ours may be hours old, and our windows are
            # empty.
            wrong = "to an earlier start"
        elif not wrong and sort != HELLO and start < pen.start:
            wrong = "of an earlier start"
        if wrong:
            self.counts[wrong] += 1
            # One that does not know us, or our present start, is told by a BACK, which the caller writes.
            return (
                (sender, HELLO, start)
                if wrong in ("to an earlier start", "of an earlier start")
                else None
            )
        if sort == HELLO:  # anybody's old one may come again: it changes nothing, and is answered
            return sender, HELLO, start
        if start > pen.start:
            pen.start, pen.window = start, Window()
            self.starts(sender, start)
        if not pen.window.first(counter):
            self.counts["replay"] += 1
            return None
        self.counts["taken"] += 1
        return sender, sort, body

    def on_peer_health(self, name: str, start: int) -> None:
        """A fellow tells of another's start. It counts only until the other's own letters say more."""
        pen = self.pens.get(name)
        if pen is not None and start > pen.start:
            pen.start, pen.window = start, Window()
            self.starts(name, start)

    def _allowed(self, pen: Pen, now: int) -> bool:
        """Danger: a fellow that floods would take the time of all that is served."""
        pen.allowance = min(BURST, pen.allowance + (now - pen.filled) * RATE / 10_000)
        pen.filled = now
        if pen.allowance < 1:
            return False
        pen.allowance -= 1
        return True

    def _unsealed(self, data: bytes) -> list[Any] | str:
        """What it says, or why nobody should look at it."""
        if len(data) < 2 + SEAL or len(data) > LARGEST or data[0] != MARK:
            return "not a letter"
        key = next((each for each in self.keys if each.number == data[1]), None)
        if key is None or not key.sealed(data[:-SEAL], data[-SEAL:]):
            return "seal"
        try:
            said = msgpack.unpackb(data[2:-SEAL], strict_map_key=True)
        except (ValueError, msgpack.UnpackException, msgpack.StackError):
            return "unreadable"
        if not isinstance(said, list) or len(said) != 7:
            return "unreadable"
        figures, names = (said[0], said[2], said[4], said[5]), (said[1], said[3])
        if not all(type(each) is int and 0 <= each < MOST_START for each in figures) or not (
            all(isinstance(each, str) for each in names)
        ):
            return "unreadable"
        return said
