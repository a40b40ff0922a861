"""Splits the leader's orders, the unit states that every gateway must obey, into datagrams."""

from collections.abc import Mapping
from typing import Any

from corkgauge.maintenance.quiescence import Stamp

MAX_PART_BYTES = 800  # names and states in one datagram
ENTRY_OVERHEAD_BYTES = 3  # msgpack's bytes for an entry, beside the name


def encode_orders(states: Mapping[str, int], stamp: Stamp, echo: int) -> list[list[Any]]:
    """Encode all states as bodies of the form [fence, number, echo, part, parts, states].

    `echo` is the serial number of the gateway's last report. The gateway's grant is counted from
    the time at which it wrote that report.

    >>> states = {f"engine-{n:03}": 2 for n in range(100)}
    >>> [len(body[5]) for body in encode_orders(states, (7, 1), 3)]
    [61, 39]
    >>> encode_orders({}, (7, 1), 3)
    [[7, 1, 3, 0, 1, {}]]
    """
    parts: list[dict[str, int]] = [{}]
    part_bytes = 0
    for tag, state in sorted(states.items()):
        entry_bytes = len(tag.encode()) + ENTRY_OVERHEAD_BYTES
        part_bytes += entry_bytes
        if part_bytes > MAX_PART_BYTES:
            parts.append({})
            part_bytes = entry_bytes
        parts[-1][tag] = state
    return [[*stamp, echo, index, len(parts), part] for index, part in enumerate(parts)]
