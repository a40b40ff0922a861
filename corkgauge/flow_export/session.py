"""One session with a collector: what it has been told, and the messages that it gets next.

Owns the sequence number, when templates went out last, and the order of things: templates first.
Free of I/O, the clock is handed in as milliseconds. Must never make a message above its limit.
"""

from collections.abc import Callable

from corkgauge.flow_export.codec import STATISTICS, TYPES, Layout, Message, template_set, withdrawal
from corkgauge.flow_export.counter_deltas import Delta


class Session:
    """From a connection's start to its end. `domain` names the observation domain, `limit` the octets of one
    message, `up_since` the millisecond at which the exporter began."""

    def __init__(self, layout: Layout, domain: int, limit: int, up_since: int) -> None:
        self.layout, self.domain, self.limit, self.up_since = layout, domain, limit, up_since
        self.sequence = self.before = 0  # of the next message; of the last one made
        self.introduced = -1  # when the templates went out last
        self.since_then = 0  # messages since

    def introduction(self, now: int, statistics: dict[str, int]) -> list[bytes]:
        """Templates, what our elements are, and how export goes: first of all, and again on UDP."""
        layout, message, made = self.layout, Message(self.layout.v9, self.limit), list[Message]()
        pieces = [
            (template_set(template, layout.v9), template.definition(layout.v9))
            for template in layout.templates.values()
        ]
        pieces += [(TYPES, record) for record in layout.types()]
        pieces.append((STATISTICS, layout.statistics(self.domain, statistics)))
        for number, piece in pieces:
            if not message.add(number, piece):
                made.append(message)
                message = Message(layout.v9, self.limit)
                message.add(number, piece)
        self.introduced, self.since_then = now, 0
        return [self._finished(each, now) for each in (*made, message)]

    def report(self, now: int, statistics: dict[str, int]) -> bytes:
        """How export goes, without templates: a stream is told those once (RFC 7011, 8.1)."""
        message = Message(self.layout.v9, self.limit)
        message.add(STATISTICS, self.layout.statistics(self.domain, statistics))
        return self._finished(message, now)

    def data(
        self, now: int, next_: Callable[[], Delta | None]
    ) -> tuple[bytes, list[Delta], Delta | None]:
        """One message of as many deltas as fit, those, and the one that did not; `next_` gives the next one,
        or None. Any one fits an empty message."""
        message, told = Message(self.layout.v9, self.limit), list[Delta]()
        while (delta := next_()) is not None:
            records = self.layout.records(delta, self.up_since)
            # Both ways of one connection go in one message, so a message that is lost loses no
            # half.
            if message.size + sum(len(record) + 7 for _, record in records) > self.limit:
                break
            for number, record in records:
                message.add(number, record)
            told.append(delta)
        if not told:
            return b"", [], delta
        self.since_then += 1
        return self._finished(message, now), told, delta

    def unsent(self) -> None:
        """The last message did not go: its numbers are the next one's."""
        self.sequence = self.before

    def farewell(self, now: int) -> bytes:
        """All templates withdrawn; for streams, before others take their place."""
        self.introduced = -1
        return withdrawal(now, self.sequence, self.domain)

    def _finished(self, message: Message, now: int) -> bytes:
        # IPFIX counts data records before this message, NetFlow v9 messages.
        self.before = self.sequence
        data = message.data(now, self.up_since, self.sequence, self.domain)
        self.sequence += 1 if self.layout.v9 else message.count
        return data
