"""Parses and writes the engine protocol: RESP arrays of bulk strings in both directions.

Owns the framing and the field decoding of one engine connection. Works on bytes alone, without a
socket or a clock, never raises an exception on malformed input, and keeps no state but an
incomplete answer.
"""

import re
from typing import Protocol

from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer

MAX_ANSWER_BYTES = 16_384  # holds a page of 6,000 bytes in any framing
MAX_COMMAND_BYTES = 262_144 + 4_096  # holds a statement as large as a client's frame
MAX_NUMBER_BYTES = 12  # a count: type mark, up to 9 digits, and CRLF
MAX_ARRAY_PARTS = 8  # an array with more parts is refused before its parts are read
MIN_ANSWER_PARTS = 2  # request id and answer word
MAX_ANSWER_PARTS = 4  # request id, answer word, fields and page; checked in complete arrays
MAX_PAGE_BYTES = 6_000
NO_FIELDS = "-"

# Complete rows of three columns without control characters.
PAGE_ROWS = re.compile(
    rb"(?:[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\t[^\x00-\x1f\x7f]*+\n)*+"
).fullmatch


class AnswerOwner(Protocol):
    """Interface of the object that handles the answers of one connection."""

    def on_answer(self, name: str, word: str, fields: dict[str, str], body: bytes) -> str:
        """Handle an answer; return why the answer is invalid, or an empty string.

        Args:
            name: Id of the request, or name of the keepalive, that the engine answers.
            word: Kind of the answer.
            fields: Fields of the answer by name.
            body: Page of a result; empty if there is none.
        """


class EngineProtocol:
    """Parses answers and passes each of them to its owner.

    A malformed answer ends the connection, which fails all attempts open on it.
    `complete_frame_count` counts the complete answers.
    """

    def __init__(self, owner: AnswerOwner, memory_budget: MemoryBudget) -> None:
        self.owner = owner
        self.complete_frame_count = 0
        # Clients that do not read may use up the memory budget from which ring buffers grow. The
        # engine's answers still have to be read, so this ring buffer starts at its full size.
        self.inward = RingBuffer(MAX_ANSWER_BYTES, memory_budget, MAX_ANSWER_BYTES)
        self.outward = RingBuffer(MAX_COMMAND_BYTES, memory_budget)

    def parse_input(self) -> str:
        """Handle all complete answers; return what is wrong with the input, or an empty string."""
        ring = self.inward
        data = ring.peek(len(ring))
        position = 0
        while position < len(data):
            end, parts, wrong = read_array(data, position)
            if wrong:
                return wrong
            if not end:
                return "" if ring.free_bytes else "answer exceeds the input buffer of 16,384 bytes"
            ring.drop(end - position)
            self.complete_frame_count += 1
            position = end
            if wrong := self._on_answer(parts):
                return wrong
        return ""

    def _on_answer(self, parts: list[bytes]) -> str:
        if not MIN_ANSWER_PARTS <= len(parts) <= MAX_ANSWER_PARTS:
            return f"answer of {len(parts)} parts, expected 2 to 4"
        try:
            texts = [part.decode() for part in parts[:3]]
        except UnicodeDecodeError:
            return "answer is not UTF-8 text"
        fields = parse_fields(texts[2] if len(texts) > 2 else NO_FIELDS)
        if fields is None:
            return "answer with malformed fields, expected name=value pairs without repetition"
        body = parts[3] if len(parts) > 3 else b""
        return self.owner.on_answer(texts[0], texts[1], fields, body)


def read_number(data: bytes, position: int, mark: bytes) -> tuple[int, int, str]:
    """Return the number after a type mark, the end of its line (0: incomplete), and any error.

    Args:
        data: Input.
        position: Index of the type mark.
        mark: Expected type mark.
    """
    if data[position : position + 1] != mark:
        wrong = (
            f"{data[position : position + 1]!r} instead of {mark!r}" if position < len(data) else ""
        )
        return 0, 0, wrong
    end = data.find(b"\r\n", position, position + MAX_NUMBER_BYTES)
    if end < 0:
        is_too_long = len(data) - position >= MAX_NUMBER_BYTES
        return 0, 0, "expected a number of up to 9 digits and CRLF" if is_too_long else ""
    digits = data[position + 1 : end]
    if not digits.isdigit() or int(digits) > MAX_ANSWER_BYTES:
        return 0, 0, f"a count of {digits!r}"
    return int(digits), end + 2, ""


def read_array(data: bytes, position: int) -> tuple[int, list[bytes], str]:
    r"""Return the end of an array of bulk strings (0: incomplete), its parts, and any error.

    >>> read_array(b"*2\r\n$1\r\na\r\n$0\r\n\r\n", 0)
    (17, [b'a', b''], '')
    >>> read_array(b"*2\r\n$1\r\na", 0)[0], read_array(b"+OK\r\n", 0)[2]
    (0, "b'+' instead of b'*'")
    >>> read_array(b"*1\r\n$9999999\r\n", 0)[2]
    "a count of b'9999999'"
    """
    count, position, wrong = read_number(data, position, b"*")
    if not position:
        return 0, [], wrong
    parts: list[bytes] = []
    if count > MAX_ARRAY_PARTS:
        return 0, [], f"answer of {count} parts, expected no more than 8"
    for _ in range(count):
        size, position, wrong = read_number(data, position, b"$")
        if not position:
            return 0, [], wrong
        if position + size + 2 > len(data):
            return 0, [], ""
        if data[position + size : position + size + 2] != b"\r\n":
            return 0, [], "bulk string is longer than its length field"
        parts.append(data[position : position + size])
        position += size + 2
    return position, parts, ""


def parse_fields(text: str) -> dict[str, str] | None:
    """Return the fields of an answer; None where they are malformed or repeated.

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
    r"""Return whether this is a valid page: complete rows, UTF-8 text, not too long.

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
