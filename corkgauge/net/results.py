"""Results of attempts: the first page, the asking for more, and the whole.

Owns the line of results whose pages have yet to be asked for. Nothing that is spoilt passes for an
answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING

from corkgauge.net.amounts import parse_amount
from corkgauge.net.engine_protocol import MAX_PAGE_BYTES, is_valid_page
from corkgauge.net.in_flight import InFlightAttempt

if TYPE_CHECKING:
    from corkgauge.net.host import SocketHost

MAX_RESULT_BYTES = 48_000
MAX_PAGES = 64
MAX_PAGE_NUMBER_DIGITS = 3
PAGE_TICKS = 2_500  # that an engine may take over the next page of a result
TICKS_PER_MS = 10


class ResultPager:
    """Collects the pages of results, as far as memory for results lets them come."""

    def __init__(self, host: SocketHost) -> None:
        self.host = host
        self.unasked: deque[InFlightAttempt] = deque()

    def on_first_page(
        self, in_flight: InFlightAttempt, fields: Mapping[str, str], body: bytes
    ) -> str:
        """Take the first page of a result; what is wrong with it, or an empty string."""
        pages = parse_amount(fields.get("chunks", "0"))
        spent = parse_amount(fields.get("spent", "0"))
        need = parse_amount(fields.get("wanted", "0"))
        if not pages or pages != int(pages) or pages > MAX_PAGES or spent is None or need is None:
            return f"a result of {fields.get('chunks')!r} pages"
        if in_flight.answered:
            is_copy = body == in_flight.pages[0] and int(pages) == len(in_flight.pages)
            return "" if is_copy else "two results"
        # The request ran, but what came is spoilt: nothing of it may pass for an answer.
        if not is_valid_page(body):
            return "a page that is spoilt"
        in_flight.answered = True
        in_flight.link.page()
        in_flight.spent = int(spent * TICKS_PER_MS)
        in_flight.need = need
        in_flight.pages = [body, *[None] * (int(pages) - 1)]
        if in_flight.attempt.request.is_finished or len(in_flight.pages) == 1:
            return self.host.whole(in_flight)
        self.unasked.append(in_flight)
        self.ask_pages()
        return ""

    def on_further_page(
        self, in_flight: InFlightAttempt, fields: Mapping[str, str], body: bytes
    ) -> str:
        """Take another page of a result; what is wrong with it, or an empty string."""
        at = fields.get("at", "")
        is_number = at.isdecimal() and len(at) <= MAX_PAGE_NUMBER_DIGITS
        number = int(at) if is_number else 0
        is_awaited = in_flight.answered and 0 < number < len(in_flight.pages)
        if not is_awaited or not is_valid_page(body) or in_flight.pages[number] not in (None, body):
            return f"a page {at[:8]!r} out of turn or spoilt"
        if in_flight.pages[number] is None:
            in_flight.link.page()
        in_flight.pages[number] = body
        return "" if None in in_flight.pages else self.host.whole(in_flight)

    def ask_pages(self) -> None:
        """Ask for all pages of a result at once, as far as memory for results lets them come."""
        while self.unasked:
            in_flight = self.unasked[0]
            if in_flight.attempt in self.host.in_flight_attempts:
                size = MAX_PAGE_BYTES * len(in_flight.pages)
                if not self.host.results.reserve(size):
                    return
                in_flight.asked = size
                for number in range(1, len(in_flight.pages)):
                    in_flight.link.say("more", in_flight.order.name, str(number))
                self.host.event_loop.call_later(
                    PAGE_TICKS, self.on_pages_late, in_flight, 1, self.host.now
                )
            self.unasked.popleft()

    def on_pages_late(self, in_flight: InFlightAttempt, had: int, since: int) -> None:
        """Give a result up whose next page does not come.

        It would hold its request until the deadline. What else is open on that connection may be
        well, so only this attempt is given up, and only where its engine has answered something
        since.
        """
        if in_flight.attempt not in self.host.in_flight_attempts:
            return
        have = len(in_flight.pages) - in_flight.pages.count(None)
        if have > had or in_flight.link.spoke < since + PAGE_TICKS // 2:
            if have > had:
                since = self.host.now
            self.host.event_loop.call_later(PAGE_TICKS, self.on_pages_late, in_flight, have, since)
            return
        self.host.counters["pages late"] += 1
        in_flight.link.let_go(in_flight)
        self.host.failed(in_flight, "broken")
