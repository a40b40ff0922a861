"""An engine, its address, its connections, and the attempts that wait for one.

Owns which attempt goes on which connection and when there is another one. It decides nothing about
where a request goes.
"""

from typing import Any

from corkgauge.eventloop.connection import dial
from corkgauge.eventloop.loop import BROKEN, GONE, SECOND
from corkgauge.net.client_connection import ClientRequest
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.in_flight import InFlightAttempt
from corkgauge.policy.records import Engine, EngineState

SPREAD = 6  # connections to an engine at most, while that keeps attempts apart
WANTING = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}  # of ours, not the engine's


class EnginePool:
    """An engine, its address, its connections, and the attempts that wait for one."""

    __slots__ = (
        "address",
        "dialling",
        "due",
        "engine",
        "era",
        "filling",
        "links",
        "number",
        "row",
        "socket_host",
        "spare_from",
        "started",
        "waiting",
        "wanting",
    )

    def __init__(self, socket_host: Any, engine: Engine, number: int = 0) -> None:
        self.socket_host = socket_host
        self.engine = engine
        self.address = ("", 0)
        self.number = number  # in the order in which the list named them
        self.row = socket_host.ledger.engine_row(engine.name)  # its row in the ledger
        self.links: list[EngineConnection] = []
        # A list: a deque takes 760 bytes, also where nothing is ever sent.
        self.waiting: list[InFlightAttempt] = []
        self.dialling = False
        self.spare_from = 0  # when a connection ahead of need may be dialled again
        self.started = 0  # the engine, in ms, as the list reports it
        # Counts its processes and addresses; what a dial of an earlier one brings is for nothing.
        self.era = 0
        self.filling = False  # a fill is under way
        self.due = False  # one is due at the end of this turn
        self.wanting = False  # the last dial failed for want of descriptors of our own

    def line_up(self, in_flight_attempt: InFlightAttempt) -> None:
        """Let an attempt wait for a connection.

        It is written at the end of this turn, when the gateway has made all its calls.
        """
        self.waiting.append(in_flight_attempt)
        self.socket_host.awaited[self] = None
        if not self.due:
            self.due = True
            self.socket_host.event_loop.end_of_turn_callbacks.append(self.fill)

    def fill(self) -> None:
        """Write what waits to connections that have room; dial where there are none.

        Never called from within the gateway's own calls, as the last look at a client may notify
        the gateway that it has gone.
        """
        self.due = False
        if self.engine.state != EngineState.READY or self.filling:
            return
        self.filling = True
        try:
            self._write()
        finally:
            self.filling = False
        if not self.waiting:
            self.socket_host.awaited.pop(self, None)
        if self.engine.state == EngineState.READY:
            self._dial_more()

    def _write(self) -> None:
        while self.waiting:
            in_flight_attempt = self.waiting[0]
            link = self._link_for(in_flight_attempt.order)
            if link is None:
                return
            if why := self.socket_host.barred(in_flight_attempt):
                if self.waiting and self.waiting[0] is in_flight_attempt:
                    del self.waiting[0]
                    self.socket_host.failed(in_flight_attempt, why)
            elif (
                self.waiting
                and self.waiting[0] is in_flight_attempt
                and link.room_for(in_flight_attempt.order)
            ):
                if not link.take(in_flight_attempt):
                    return
                del self.waiting[0]

    def _link_for(self, order: ClientRequest) -> EngineConnection | None:
        """Return the emptiest connection with room, whose engine has not closed it.

        What spoils one answer takes all with it that is open on its connection, so attempts keep
        apart. Of what is written to a connection whose end has come by now nobody knows whether it
        ran.
        """
        able = sorted(
            (each for each in self.links if each.room_for(order)), key=lambda each: len(each.open)
        )
        for link in able:
            if not self.socket_host.event_loop.poll_now(link.link.fd)[0] & (GONE | BROKEN):
                return link
        return None

    def _lacks_spare(self) -> bool:
        """Tell whether another connection is wanted ahead of need.

        Hundreds of gateways that dial each engine ahead, most of which they send nothing, cost the
        engines more than their requests do. So where a gateway's part of an engine is below one
        attempt, the first connection waits for one, and a further one until two attempts had to
        share. An engine outside the subset is used by exception, and has connections for what waits
        alone.
        """
        if len(self.links) >= SPREAD or not self.engine.in_subset or self.dialling:
            return False
        if not all(each.open for each in self.links):
            return False
        has_large_part = self.socket_host.gateway.limit.threads_per_core * self.engine.cores >= 1.0
        return has_large_part or any(len(each.open) > 1 for each in self.links)

    def _dial_more(self) -> None:
        most = self.socket_host.links_each()
        ahead = self._lacks_spare()
        if ahead:
            self.socket_host.short[self] = None  # looked at again with the next change of the list
        else:
            self.socket_host.short.pop(self, None)
        spare = ahead and self.socket_host.now >= self.spare_from
        if not (self.waiting or spare) or self.dialling or len(self.links) >= most:
            return
        if self.socket_host.descriptor_left(bool(self.waiting)):
            self.dialling = True
            self.socket_host.short.pop(self, None)
            self.socket_host.dials += 1
            self.socket_host.event_loop.spawn(self.dial, self.address)
        elif self.waiting:
            self._want()

    def _want(self) -> None:
        """Wait for descriptors: those that we lack are no fault of the engine's."""
        self.wanting = True
        self.spare_from = self.socket_host.now + SECOND
        self.socket_host.counters["no descriptor"] += 1
        self.socket_host.event_loop.call_later(SECOND // 100, self.fill)

    def dial(self, where: tuple[str, int]) -> None:
        """Dial the engine and take the connection up; the task of one dial."""
        era = self.era
        sock, why = dial(
            self.socket_host.event_loop, where, self.socket_host.settings.dial_timeout_ticks
        )
        self.dialling = False
        self.socket_host.dials -= 1
        self.socket_host.counters["dialled"] += 1
        if why in WANTING:
            self.socket_host.make_room()
            self._want()
            return
        self.wanting = False
        if sock is None:
            self.socket_host.counters["unreached"] += 1
            # Without a pause there would be dials without end where none is accepted.
            self.spare_from = self.socket_host.now + SECOND
            if era == self.era:
                self._fail_waiting("unreached")
        # A dial that began before its engine moved, or was started anew, says nothing of the one
        # that attempts wait for now, whether it came up or not.
        elif era != self.era or self.engine.state != EngineState.READY:
            sock.close()
        else:
            link = EngineConnection(self, sock)
            self.links.append(link)
            self.socket_host.event_loop.spawn(link.link.run)
            link.watch()
        self.fill()

    def on_listed(self, where: tuple[str, int], renewed: bool) -> None:
        """Take its address from the list; a connection to what it was before is for nothing new."""
        if where != self.address or renewed:
            self.address = where
            self.era += 1
            self.retire()

    def retire(self) -> None:
        """Let the connections that there are take nothing new."""
        for link in self.links:
            link.retired = True
            if not link.open:
                link.link.close("no longer needed")

    def withdraw(self) -> None:
        """Send nothing more to an engine that drains or is gone.

        An attempt that waits for room would begin after that, so it fails now.
        """
        self.retire()
        self._fail_waiting("withdrawn")

    def _fail_waiting(self, why: str) -> None:
        waiting = self.waiting
        self.waiting = []
        for in_flight_attempt in waiting:
            self.socket_host.failed(in_flight_attempt, why)
