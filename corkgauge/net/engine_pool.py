"""Manages one engine's address, its connections, and the attempts that wait for a connection.

Decides which connection carries an attempt and when another connection is opened. Does not decide
which engine gets a request.
"""

from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import BROKEN, GONE, SECOND
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.in_flight import InFlightAttempt
from corkgauge.policy.records import Engine, EngineState

# Limit for the connections to one engine that are opened ahead of need, so that attempts need not
# share a connection.
MAX_SPREAD_CONNECTION_COUNT = 6
HOLD_TICKS = 100  # until an attempt that was held back is looked at again
# Longest time for which a dial goes on once the attempts that waited for it have failed. An engine
# that takes longer than the dial timeout to accept each connection would never be connected to.
MAX_DIAL_TICKS = 2 * SECOND
# Such dials of all engines take one part in so many of the connections to engines.
EXTENDED_DIALS_DIVISOR = 8
# Errors of a dial that are due to a lack of resources on this machine, not to the engine.
OWN_SHORTAGE_ERRORS = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}


@dataclass(slots=True)
class PendingDial:
    """A dial in progress to the engine's process of one `address_generation`.

    An extended dial may go on after the dial timeout, and is late from then on.
    """

    address_generation: int
    is_extended: bool
    is_late: bool = False
    is_finished: bool = False


class EnginePool:
    """One engine's address, its connections, and the attempts that wait for a connection."""

    __slots__ = (
        "address",
        "address_generation",
        "engine",
        "has_extended_dial",
        "is_dialling",
        "is_fill_due",
        "is_filling",
        "lacks_resource",
        "links",
        "next_spare_dial_at",
        "number",
        "row",
        "socket_host",
        "started_ms",
        "waiting",
    )

    def __init__(self, socket_host: Any, engine: Engine, number: int = 0) -> None:
        self.socket_host = socket_host
        self.engine = engine
        self.address = ("", 0)
        self.number = number  # position in the order in which engines were first listed
        self.row = socket_host.ledger.get_engine_row(engine.name)  # ledger row of the engine
        self.links: list[EngineConnection] = []
        # A list, as a deque takes 760 bytes even for an engine that never gets an attempt.
        self.waiting: list[InFlightAttempt] = []
        self.is_dialling = False  # a dial that is not late is in progress, at most one at a time
        self.has_extended_dial = False
        self.next_spare_dial_at = 0  # earliest tick of the next dial ahead of need
        self.started_ms = 0  # start date of the engine's process, from the endpoint list
        # Incremented with each new process or address of the engine; a dial that began under an
        # earlier generation is discarded.
        self.address_generation = 0
        self.is_filling = False  # `fill` is running
        self.is_fill_due = False  # `fill` is scheduled to run after the current task
        self.lacks_resource = False  # no descriptor or buffer memory of this process was free

    def enqueue(self, in_flight_attempt: InFlightAttempt) -> None:
        """Queue an attempt for a connection.

        The attempt is written after the current task, outside the gateway's own calls, if a
        connection has room then. Otherwise the attempt waits for a connection.
        """
        self.waiting.append(in_flight_attempt)
        self.socket_host.pools_with_waiting[self] = None
        self._schedule_fill()

    def fill(self) -> None:
        """Write waiting attempts to connections with room, and dial if another one is needed.

        Dials for attempts that still wait, and ahead of need for later attempts. Must not be called
        from within the gateway's own calls: the check whether a client is still connected may
        notify the gateway of a disconnect.
        """
        self.is_fill_due = False
        if self.engine.state != EngineState.READY or self.is_filling:
            return
        self.is_filling = True
        try:
            self._write_waiting()
        finally:
            self.is_filling = False
        if not self.waiting:
            self.socket_host.pools_with_waiting.pop(self, None)
        if self.engine.state == EngineState.READY:
            self._dial_more()

    def _write_waiting(self) -> None:
        while (in_flight_attempt := self._next_waiting()) is not None:
            link = self._link_for(in_flight_attempt.client_request)
            if link is None:
                return
            why = self.socket_host.reason_not_to_start(in_flight_attempt)
            if in_flight_attempt not in self.waiting:
                continue
            if why:
                self.waiting.remove(in_flight_attempt)
                self.socket_host.fail_attempt(in_flight_attempt, why)
            elif in_flight_attempt.client_request.client_connection.link.may_hide_end():
                self._hold_back(in_flight_attempt)
            elif link.has_room_for(in_flight_attempt.client_request):
                if not link.send_attempt(in_flight_attempt):
                    self._wait_for_memory(link)
                    return
                self.lacks_resource = False
                self.waiting.remove(in_flight_attempt)

    def _next_waiting(self) -> InFlightAttempt | None:
        """Return the first waiting attempt that is not held back."""
        now = self.socket_host.now
        return next((each for each in self.waiting if each.held_until <= now), None)

    def _hold_back(self, in_flight_attempt: InFlightAttempt) -> None:
        """Do not send an attempt before more of its client's input has been read.

        The client may have left: the end of its connection is not seen before the input ahead of
        it. Attempts of other clients are not delayed.
        """
        self.socket_host.counters["held back"] += 1
        in_flight_attempt.held_until = self.socket_host.now + HOLD_TICKS
        self.socket_host.event_loop.call_later(HOLD_TICKS, self.fill)

    def _wait_for_memory(self, link: EngineConnection) -> None:
        """Write waiting attempts again when buffer memory is released, if none was free.

        Connections to engines that do not read may use up the memory for all engines. That is not
        the fault of the engine of this pool.
        """
        send_buffer = link.link.machine.outward
        if link.link.is_write_blocked or link.link.close_reason or not send_buffer.lacks_memory:
            return
        self.lacks_resource = True
        self.socket_host.counters["no send memory"] += 1
        send_buffer.notify_when_free(self._schedule_fill)

    def _schedule_fill(self) -> None:
        if not self.is_fill_due:
            self.is_fill_due = True
            self.socket_host.event_loop.deferred_callbacks.append(self.fill)

    def _link_for(self, client_request: ClientRequest) -> EngineConnection | None:
        """Return the connection with the fewest open attempts that has room and is not closed.

        A corrupted answer ends the connection and fails all attempts open on it, so attempts are
        spread over connections. Each socket is polled before use: if the engine had already closed
        the connection, the gateway could not tell whether the engine ran an attempt that was
        written to the connection.
        """
        usable_links = sorted(
            (each for each in self.links if each.has_room_for(client_request)),
            key=lambda each: len(each.open),
        )
        for link in usable_links:
            if not self.socket_host.event_loop.poll_now(link.link.fd)[0] & (GONE | BROKEN):
                return link
        return None

    def _lacks_spare(self) -> bool:
        """Return whether another connection should be opened ahead of need.

        If hundreds of gateways dialled each engine ahead of need, most of them to send nothing, the
        connections would cost the engines more than the requests. So where this gateway's share of
        an engine is below one attempt, the first connection is opened for the first attempt, and a
        further one only after two attempts had to share a connection. Engines outside the subset
        are used by exception and get connections for waiting attempts only.
        """
        if (
            len(self.links) >= MAX_SPREAD_CONNECTION_COUNT
            or not self.engine.in_subset
            or self.is_dialling
        ):
            return False
        if not all(each.open for each in self.links):
            return False
        has_whole_share = self.socket_host.gateway.limit.threads_per_core * self.engine.cores >= 1.0
        return has_whole_share or any(len(each.open) > 1 for each in self.links)

    def _dial_more(self) -> None:
        max_links = self.socket_host.max_links_per_engine()
        lacks_spare = self._lacks_spare()
        if lacks_spare:
            # Checked again by each `fill`, which the next change of the endpoint list calls.
            self.socket_host.pools_lacking_spare[self] = None
        else:
            self.socket_host.pools_lacking_spare.pop(self, None)
        may_dial_spare = lacks_spare and self.socket_host.now >= self.next_spare_dial_at
        if not (self.waiting or may_dial_spare) or self.is_dialling or len(self.links) >= max_links:
            return
        if self.socket_host.make_room_for_link(bool(self.waiting)):
            self.is_dialling = True
            self.socket_host.pools_lacking_spare.pop(self, None)
            self.socket_host.dials_in_progress += 1
            self.socket_host.event_loop.spawn(self.dial, self.address)
        elif self.waiting:
            self._wait_for_descriptor()

    def _wait_for_descriptor(self) -> None:
        """Retry the dial in 10 ms: a lack of descriptors here is not the engine's fault."""
        self.lacks_resource = True
        self.next_spare_dial_at = self.socket_host.now + SECOND
        self.socket_host.counters["no descriptor"] += 1
        self.socket_host.event_loop.call_later(SECOND // 100, self.fill)

    def dial(self, address: tuple[str, int]) -> None:
        """Connect to the engine and add the connection to the pool; runs as a task."""
        socket_host = self.socket_host
        pending = self._begin_dial()
        timeout_ticks = socket_host.settings.dial_timeout_ticks
        if pending.is_extended:
            socket_host.event_loop.call_later(timeout_ticks, self._on_dial_overdue, pending)
            timeout_ticks = max(timeout_ticks, MAX_DIAL_TICKS)
        sock, why = dial(socket_host.event_loop, address, timeout_ticks)
        self._end_dial(pending)
        if sock is not None:
            self._on_dialled(pending, sock)
        elif why in OWN_SHORTAGE_ERRORS:
            socket_host.make_room()
            self._wait_for_descriptor()
            return
        elif not pending.is_late:
            self._on_unreached(pending)
        self.fill()

    def _begin_dial(self) -> PendingDial:
        socket_host = self.socket_host
        max_extended_dials = socket_host.max_engine_links // EXTENDED_DIALS_DIVISOR
        is_extended = (
            not self.has_extended_dial and socket_host.extended_dial_count < max_extended_dials
        )
        if is_extended:
            self.has_extended_dial = True
            socket_host.extended_dial_count += 1
        return PendingDial(self.address_generation, is_extended)

    def _end_dial(self, pending: PendingDial) -> None:
        pending.is_finished = True
        if pending.is_extended:
            self.has_extended_dial = False
            self.socket_host.extended_dial_count -= 1
        if not pending.is_late:
            self.is_dialling = False
        self.socket_host.dials_in_progress -= 1
        self.socket_host.counters["dialled"] += 1

    def _on_dial_overdue(self, pending: PendingDial) -> None:
        """Fail the attempts that wait for a dial, which goes on for later ones."""
        if pending.is_finished:
            return
        pending.is_late = True
        self.is_dialling = False
        self._on_unreached(pending)
        self.fill()

    def _on_unreached(self, pending: PendingDial) -> None:
        self.lacks_resource = False
        self.socket_host.counters["unreached"] += 1
        # Without this pause an engine that accepts no connection would be dialled in a loop.
        self.next_spare_dial_at = self.socket_host.now + SECOND
        # A dial that began before the engine changed its address or restarted says nothing about
        # the engine's current process, whether the dial succeeded or not.
        if pending.address_generation == self.address_generation:
            self._fail_waiting("unreached")

    def _on_dialled(self, pending: PendingDial, sock: Any) -> None:
        self.lacks_resource = False
        is_usable = (
            pending.address_generation == self.address_generation
            and self.engine.state == EngineState.READY
        )
        if pending.is_late:
            self.socket_host.counters["dialled late"] += 1
            max_links = self.socket_host.max_links_per_engine()
            is_usable = is_usable and len(self.links) < max_links
        if not is_usable:
            sock.close()
            return
        link = EngineConnection(self, sock)
        self.links.append(link)
        self.socket_host.event_loop.spawn(link.link.run)
        link.check_idle()

    def update_address(self, address: tuple[str, int], has_restarted: bool) -> None:
        """Set the address from the endpoint list; `has_restarted` means a new engine process.

        Connections to an earlier address or process get no new attempts.
        """
        if address != self.address or has_restarted:
            self.address = address
            self.address_generation += 1
            self.retire_links()

    def retire_links(self) -> None:
        """Send no new attempts on the current connections, and close the unused ones."""
        for link in self.links:
            link.is_retired = True
            if not link.open:
                link.link.close("no longer needed")

    def withdraw(self) -> None:
        """Send no more attempts to an engine that drains or is gone.

        Waiting attempts fail now: they would otherwise start on an engine that drains or is gone.
        """
        self.retire_links()
        self._fail_waiting("withdrawn")

    def _fail_waiting(self, why: str) -> None:
        waiting = self.waiting
        self.waiting = []
        for in_flight_attempt in waiting:
            self.socket_host.fail_attempt(in_flight_attempt, why)
