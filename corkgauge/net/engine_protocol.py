"""The protocol of engines: RESP, both ways, as a machine fed with bytes.

Owns framing and field decoding of one engine connection. Knows no socket and no clock, never raises
on bad bytes, and keeps nothing but a part of an answer.
"""

import re
from typing import Protocol

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

MAX_ANSWER_BYTES = 16_384  # an answer, with a page of 6,000 bytes, in any framing
MAX_COMMAND_BYTES = 262_144 + 4_096  # a command, with a statement as large as a client's frame
MAX_NUMBER_BYTES = 12  # a count with its mark, before the end of its line
MAX_ARRAY_PARTS = 8
MIN_ANSWER_PARTS = 2  # identifier and word
MAX_ANSWER_PARTS = 4  # and fields, and a page
MAX_PAGE_BYTES = 6_000
NO_FIELDS = "-"

# Rows of three columns, each row ended; no sign below the space stands in them.
PAGE_ROWS = re.compile(
    rb"(?:[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\n)*+"
).fullmatch


class AnswerOwner(Protocol):
    """Who the answers are for."""

    def answered(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        """Take an answer to the attempt of this name; what is wrong with it, or an empty string."""


class EngineProtocol:
    """Reads answers and passes each on to its owner.

    What does not parse is the end of the connection, with all that is open there.
    `complete_frame_count` counts the answers that have come whole.
    """

    def __init__(self, owner: AnswerOwner, memory_budget: MemoryBudget) -> None:
        self.owner = owner
        self.complete_frame_count = 0
        # Clients that stall hold the memory that rings may grow by. Answers must come in all the
        # same, so this ring starts at its largest size.
        self.inward = RingBuffer(MAX_ANSWER_BYTES, memory_budget, MAX_ANSWER_BYTES)
        self.outward = RingBuffer(MAX_COMMAND_BYTES, memory_budget)

    def parse_input(self) -> str:
        """Take what is whole; what is wrong, or an empty string."""
        ring = self.inward
        data = ring.peek(len(ring))
        at = 0
        while at < len(data):
            end, parts, wrong = read_array(data, at)
            if wrong:
                return wrong
            if not end:
                return "" if ring.free_bytes else "an answer that is too long"
            ring.drop(end - at)
            self.complete_frame_count += 1
            at = end
            if wrong := self._on_answer(parts):
                return wrong
        return ""

    def _on_answer(self, parts: list[bytes]) -> str:
        if not MIN_ANSWER_PARTS <= len(parts) <= MAX_ANSWER_PARTS:
            return f"an answer of {len(parts)} parts"
        try:
            texts = [part.decode() for part in parts[:3]]
        except UnicodeDecodeError:
            return "an answer that is not text"
        fields = parse_fields(texts[2] if len(texts) > 2 else NO_FIELDS)
        if fields is None:
            return "fields that make no sense"
        body = parts[3] if len(parts) > 3 else b""
        return self.owner.answered(texts[0], texts[1], fields, body)


def read_number(data: bytes, at: int, mark: bytes) -> tuple[int, int, str]:
    """Return the number after a mark, where its line ends (0: not yet whole), and what is wrong."""
    if data[at : at + 1] != mark:
        wrong = f"{data[at : at + 1]!r} instead of {mark!r}" if at < len(data) else ""
        return 0, 0, wrong
    end = data.find(b"\r\n", at, at + MAX_NUMBER_BYTES)
    if end < 0:
        is_too_long = len(data) - at >= MAX_NUMBER_BYTES
        return 0, 0, "a number without an end" if is_too_long else ""
    digits = data[at + 1 : end]
    if not digits.isdigit() or int(digits) > MAX_ANSWER_BYTES:
        return 0, 0, f"a count of {digits!r}"
    return int(digits), end + 2, ""


def read_array(data: bytes, at: int) -> tuple[int, list[bytes], str]:
    r"""Return the end of an array of bulk strings (0: not yet whole), its parts, what is wrong.

    >>> read_array(b"*2\r\n$1\r\na\r\n$0\r\n\r\n", 0)
    (17, [b'a', b''], '')
    >>> read_array(b"*2\r\n$1\r\na", 0)[0], read_array(b"+OK\r\n", 0)[2]
    (0, "b'+' instead of b'*'")
    >>> read_array(b"*1\r\n$9999999\r\n", 0)[2]
    "a count of b'9999999'"
    """
    count, at, wrong = read_number(data, at, b"*")
    if not at:
        return 0, [], wrong
    parts: list[bytes] = []
    if count > MAX_ARRAY_PARTS:
        return 0, [], f"an answer of {count} parts"
    for _ in range(count):
        size, at, wrong = read_number(data, at, b"$")
        if not at:
            return 0, [], wrong
        if at + size + 2 > len(data):
            return 0, [], ""
        if data[at + size : at + size + 2] != b"\r\n":
            return 0, [], "a string longer than it says"
        parts.append(data[at : at + size])
        at += size + 2
    return at, parts, ""


def parse_fields(text: str) -> dict[str, str] | None:
    """Return the fields of an answer; None where they make no sense.

    >>> parse_fields("at=3,l=inflight:7;util:0.61"), parse_fields("-")
    ({'at': '3', 'l': 'inflight:7;util:0.61'}, {})
    >>> parse_fields("at=3,chu"), parse_fields("a=1,a=1")
    (None, None)
    """
    if text == NO_FIELDS or not text:
        return {}
    pairs = [pair.partition("=") for pair in text.split(",")]
    fields = {name: value for name, _, value in pairs}
    is_sensible = len(fields) == len(pairs) and all(sign for _, sign, _ in pairs)
    return fields if is_sensible else None


def is_valid_page(body: bytes) -> bool:
    r"""Tell whether it is a page as engines write them: whole rows, legal text, not too long.

    >>> is_valid_page(b"a\tb\tc\n"), is_valid_page(b""), is_valid_page(b"a\tb\tc")
    (True, True, False)
    >>> is_valid_page(b"a\tb\n"), is_valid_page(b"\xff\t\t\n")
    (False, False)
    """
    if len(body) > MAX_PAGE_BYTES or not PAGE_ROWS(body):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def command(*parts: str | bytes) -> bytes:
    r"""Return a command as an array of bulk strings.

    >>> command("done", "id")
    b'*2\r\n$4\r\ndone\r\n$2\r\nid\r\n'
    """
    raw = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in raw)
