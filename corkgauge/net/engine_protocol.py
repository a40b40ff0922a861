"""The engines' RESP, both ways.

Owns framing and field decoding of one engine connection. Fed from a ring; must know no socket and no clock,
must never raise on bad bytes, and keeps nothing but a part of an answer.
"""

import re
from typing import Any

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

LARGEST = 16_384  # an answer, with a page of 6,000 bytes, in any framing
COMMAND = 262_144 + 4_096  # a command, with a statement as large as a client's frame


class EngineProtocol:
    """Reads answers and calls its owner: `answered(id, word, fields, body)`, which says what is wrong. What
    does not parse is the end of the connection, with all that is open there."""

    def __init__(self, owner: Any, allowance: MemoryBudget) -> None:
        self.owner, self.whole = owner, 0
        # Danger: clients that stall hold what memory rings may grow by; answers must come in all the same.
        self.inward, self.outward = (
            RingBuffer(LARGEST, allowance, LARGEST),
            RingBuffer(COMMAND, allowance),
        )

    def advance(self) -> str:
        """Take what is whole; what is wrong, if anything."""
        ring = self.inward
        data, at = ring.peek(len(ring)), 0
        while at < len(data):
            end, parts, wrong = array(data, at)
            if wrong:
                return wrong
            if not end:
                if not ring.free:  # it starts at its largest
                    return "an answer that is too long"
                break
            ring.drop(end - at)
            self.whole += 1
            at = end
            if not 2 <= len(parts) <= 4:
                return f"an answer of {len(parts)} parts"
            try:
                texts = [part.decode() for part in parts[:3]]
            except UnicodeDecodeError:
                return "an answer that is not text"
            fields = fields_of(texts[2] if len(texts) > 2 else "-")
            if fields is None:
                return "fields that make no sense"
            if wrong := self.owner.answered(
                texts[0], texts[1], fields, parts[3] if len(parts) > 3 else b""
            ):
                return wrong
        return ""


def number(data: bytes, at: int, mark: bytes) -> tuple[int, int, str]:
    """The number after a mark, and where its line ends; 0 while it has not come whole."""
    if data[at : at + 1] != mark:
        return 0, 0, f"{data[at : at + 1]!r} instead of {mark!r}" if at < len(data) else ""
    end = data.find(b"\r\n", at, at + 12)
    if end < 0:
        return 0, 0, "a number without an end" if len(data) - at >= 12 else ""
    digits = data[at + 1 : end]
    if not digits.isdigit() or int(digits) > LARGEST:
        return 0, 0, f"a count of {digits!r}"
    return int(digits), end + 2, ""


def array(data: bytes, at: int) -> tuple[int, list[bytes], str]:
    """One array of bulk strings: its end (0: not yet whole), its parts, what is wrong.

    >>> array(b"*2\\r\\n$1\\r\\na\\r\\n$0\\r\\n\\r\\n", 0)
    (17, [b'a', b''], '')
    >>> array(b"*2\\r\\n$1\\r\\na", 0)[0], array(b"+OK\\r\\n", 0)[2], array(b"*1\\r\\n$9999999\\r\\n", 0)[2]
    (0, "b'+' instead of b'*'", "a count of b'9999999'")
    """
    count, at, wrong = number(data, at, b"*")
    if not at:
        return 0, [], wrong
    parts: list[bytes] = []
    if count > 8:
        return 0, [], f"an answer of {count} parts"
    for _ in range(count):
        size, at, wrong = number(data, at, b"$")
        if not at:
            return 0, [], wrong
        if at + size + 2 > len(data):
            return 0, [], ""
        if data[at + size : at + size + 2] != b"\r\n":
            return 0, [], "a string longer than it says"
        parts.append(data[at : at + size])
        at += size + 2
    return at, parts, ""


def fields_of(text: str) -> dict[str, str] | None:
    """
    >>> fields_of("at=3,l=inflight:7;util:0.61"), fields_of("-"), fields_of("at=3,chu"), fields_of("a=1,a=1")
    ({'at': '3', 'l': 'inflight:7;util:0.61'}, {}, None, None)
    """
    if text == "-" or not text:
        return {}
    pairs = [pair.partition("=") for pair in text.split(",")]
    said = {name: value for name, _, value in pairs}
    return said if len(said) == len(pairs) and all(sign for _, sign, _ in pairs) else None


# Rows of three columns, each row ended; no sign below the space stands in them.
ROWS = re.compile(rb"(?:[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\n)*+").fullmatch
MOST_PAGE = 6_000


def page(body: bytes) -> bool:
    r"""Is it a page as engines write them: whole rows, legal text, not too long?

    >>> page(b"a\tb\tc\n"), page(b""), page(b"a\tb\tc"), page(b"a\tb\n"), page(b"\xff\t\t\n")
    (True, True, False, False, False)
    """
    if len(body) > MOST_PAGE or not ROWS(body):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def command(*parts: str | bytes) -> bytes:
    """
    >>> command("done", "id")
    b'*2\\r\\n$4\\r\\ndone\\r\\n$2\\r\\nid\\r\\n'
    """
    raw = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in raw)
