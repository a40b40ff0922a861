"""Encodes snapshots as JSON in chunks, because a fleet's text takes too long for one step."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from corkgauge.accounting.snapshot import Snapshot

CHUNK_BYTES = 16_384  # a few milliseconds of rendering


def join_chunks(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Join small chunks into chunks of at least CHUNK_BYTES; the last one may be smaller.

    >>> [*join_chunks([b"a", b"", b"b"])]
    [b'ab']
    """
    joined = b""
    for chunk in chunks:
        joined += chunk
        if len(joined) >= CHUNK_BYTES:
            yield joined
            joined = b""
    if joined:
        yield joined


def encode_json_chunks(snapshot: Snapshot) -> Iterator[bytes]:
    """Yield a snapshot as JSON, row by row.

    >>> b"".join(encode_json_chunks({"a": 1, "rows": {"x": {"n": 2}, "y": [3]}, "none": {}}))
    b'{"a":1,"rows":{"x":{"n":2},"y":[3]},"none":{}}'
    """
    separator = b"{"
    for key, value in snapshot.items():
        yield separator + json.dumps(key).encode() + b":"
        separator = b","
        if isinstance(value, Mapping) and value:
            yield from _json_rows(value)
        else:
            yield _encode_compact(value)
    yield b"}"


def _json_rows(rows: Mapping[str, Any]) -> Iterator[bytes]:
    separator = b"{"
    for name, row in rows.items():
        yield separator + json.dumps(name).encode() + b":" + _encode_compact(row)
        separator = b","
    yield b"}"


def _encode_compact(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
