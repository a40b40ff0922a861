"""Collects results of attempts: takes the first page, requests the others, completes the result.

Owns the queue of results whose further pages are not requested yet. A result with an invalid page
is never sent to a client.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING

from corkgauge.eventloop.memory_budget import MemoryWaiter
from corkgauge.net.amounts import parse_amount
from corkgauge.net.engine_protocol import MAX_PAGE_BYTES, is_valid_page
from corkgauge.net.in_flight import InFlightAttempt

if TYPE_CHECKING:
    from corkgauge.net.host import SocketHost

MAX_RESULT_BYTES = 48_000
MAX_PAGES = 64  # of one result
MAX_PAGE_NUMBER_DIGITS = 3
PAGE_TIMEOUT_TICKS = 2_500  # for the next page of a result
TICKS_PER_MS = 10


class ResultPager:
    """Collects the pages of results, within the memory budget for results."""

    def __init__(self, host: SocketHost) -> None:
        self.host = host
        # Attempts whose further pages are requested once the memory budget has room for them.
        self.awaiting_memory: deque[InFlightAttempt] = deque()
        self._waiter: MemoryWaiter | None = None

    def on_first_page(
        self, in_flight: InFlightAttempt, fields: Mapping[str, str], body: bytes
    ) -> str:
        """Handle the first page of a result; return why it is invalid, or an empty string."""
        pages = parse_amount(fields.get("chunks", "0"))
        spent = parse_amount(fields.get("spent", "0"))
        need = parse_amount(fields.get("wanted", "0"))
        if not pages or pages != int(pages) or pages > MAX_PAGES or spent is None or need is None:
            return (
                f"result with chunks={fields.get('chunks')!r}: expected chunks from 1 to 64, and "
                "numbers for spent and wanted"
            )
        if in_flight.is_answered:
            is_copy = body == in_flight.pages[0] and int(pages) == len(in_flight.pages)
            return "" if is_copy else "second, different result of an attempt"
        # The engine ran the request, but the result is corrupted and must not reach the client.
        if not is_valid_page(body):
            return "invalid first page of a result"
        in_flight.is_answered = True
        in_flight.link.count_page()
        in_flight.work_ticks = int(spent * TICKS_PER_MS)
        in_flight.memory_needed_mb = need
        in_flight.pages = [body, *[None] * (int(pages) - 1)]
        if in_flight.attempt.request.is_finished or len(in_flight.pages) == 1:
            return self.host.on_result_complete(in_flight)
        self.awaiting_memory.append(in_flight)
        self.request_pages()
        return ""

    def on_further_page(
        self, in_flight: InFlightAttempt, fields: Mapping[str, str], body: bytes
    ) -> str:
        """Handle a further page of a result; return why it is invalid, or an empty string."""
        page_number_text = fields.get("at", "")
        is_number = page_number_text.isdecimal() and len(page_number_text) <= MAX_PAGE_NUMBER_DIGITS
        number = int(page_number_text) if is_number else 0
        is_awaited = in_flight.is_answered and 0 < number < len(in_flight.pages)
        if not is_awaited or not is_valid_page(body) or in_flight.pages[number] not in (None, body):
            return f"page {page_number_text[:8]!r} of a result is unexpected or invalid"
        if in_flight.pages[number] is None:
            in_flight.link.count_page()
        in_flight.pages[number] = body
        return "" if None in in_flight.pages else self.host.on_result_complete(in_flight)

    def request_pages(self) -> None:
        """Request all further pages of queued results, as far as the memory budget allows."""
        while self.awaiting_memory:
            in_flight = self.awaiting_memory[0]
            if in_flight.attempt in self.host.in_flight_attempts:
                size = MAX_PAGE_BYTES * len(in_flight.pages)
                if not self.host.result_memory.reserve(size):
                    self._wait_for_memory(size)
                    return
                in_flight.reserved_page_bytes = size
                for number in range(1, len(in_flight.pages)):
                    in_flight.link.send_command("more", in_flight.client_request.name, str(number))
                self.host.event_loop.call_later(
                    PAGE_TIMEOUT_TICKS, self.on_pages_late, in_flight, 1, self.host.now
                )
            self.awaiting_memory.popleft()

    def _wait_for_memory(self, size: int) -> None:
        """Request pages once `size` bytes are free, whoever releases them.

        Answers that clients read late hold memory too, so the end of an attempt is not enough.
        """
        if self._waiter is not None:
            self.host.result_memory.stop_waiting(self._waiter)
        self._waiter = MemoryWaiter(size, self._defer_page_requests)
        self.host.result_memory.wait(self._waiter)

    def _defer_page_requests(self) -> None:
        self.host.event_loop.deferred_callbacks.append(self.request_pages)

    def release_memory(self, in_flight: InFlightAttempt) -> None:
        """Release the memory that was reserved for the pages of an attempt, if any."""
        if in_flight.reserved_page_bytes:
            self.host.result_memory.release(in_flight.reserved_page_bytes)
            in_flight.reserved_page_bytes = 0

    def on_pages_late(self, in_flight: InFlightAttempt, earlier_count: int, since: int) -> None:
        """Fail an attempt whose next page is overdue; called again by timer.

        A missing page would block the request until its deadline. Other attempts on the connection
        may be fine, so only this attempt fails. The attempt fails only if the engine still answers:
        if any answer has arrived on the connection since half of the time limit after `since`.
        Otherwise another time limit begins, with the same `since`.

        Args:
            in_flight: The attempt.
            earlier_count: Number of pages received at the last check.
            since: Tick of the last check that found a new page; at first, of the page requests.
        """
        if in_flight.attempt not in self.host.in_flight_attempts:
            return
        page_count = len(in_flight.pages) - in_flight.pages.count(None)
        if (
            page_count > earlier_count
            or in_flight.link.last_answer_at < since + PAGE_TIMEOUT_TICKS // 2
        ):
            if page_count > earlier_count:
                since = self.host.now
            self.host.event_loop.call_later(
                PAGE_TIMEOUT_TICKS, self.on_pages_late, in_flight, page_count, since
            )
            return
        self.host.counters["pages late"] += 1
        in_flight.link.release_attempt(in_flight)
        self.host.fail_attempt(in_flight, "broken")
