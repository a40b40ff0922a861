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
    """An engine, its address, its links, and the hand-offs that wait for one."""

    __slots__ = (
        "socket_host",
        "engine",
        "address",
        "number",
        "row",
        "links",
        "waiting",
        "dialling",
        "spare_from",
        "started",
        "era",
        "filling",
        "due",
        "wanting",
    )

    def __init__(self, socket_host: Any, engine: Engine, number: int = 0) -> None:
        self.socket_host, self.engine, self.address = socket_host, engine, ("", 0)
        self.number = number  # in the order in which the list named them
        self.row = socket_host.ledger.engine(engine.name)  # its account
        self.links: list[EngineConnection] = []
        self.waiting: list[
            InFlightAttempt
        ] = []  # a deque takes 760 bytes, also where nothing is ever sent
        self.dialling, self.spare_from = False, 0
        self.started = 0  # the engine, in ms, as the list told it
        self.era = (
            0  # of its process and address; what a dial of an earlier one brings is for nothing
        )
        self.filling = self.due = False  # a fill is under way; one is due at the end of this turn
        self.wanting = False  # the last dial failed for want of descriptors of our own

    def line_up(self, in_flight_attempt: InFlightAttempt) -> None:
        """A hand-off waits for a link; it is written at the end of this turn, when the gateway has said all."""
        self.waiting.append(in_flight_attempt)
        self.socket_host.awaited[self] = None
        if not self.due:
            self.due = True
            self.socket_host.event_loop.unsent.append(self.fill)

    def fill(self) -> None:
        """Write what waits to links that have room; dial where there are none. Never called from within the gateway's
        own calls, as the last look at a client may tell the gateway that it has gone."""
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
        """The emptiest with room, whose engine has not closed it. Danger: what spoils one answer takes all with it that
        is open on its link, so they keep apart; and what is written to a link whose end has come by
        now may have run or not, nobody knows."""
        able = sorted(
            (each for each in self.links if each.room_for(order)), key=lambda each: len(each.open)
        )
        for link in able:
            if not self.socket_host.event_loop.look(link.link.fd)[0] & (GONE | BROKEN):
                return link
        return None

    def _dial_more(self) -> None:
        most = self.socket_host.links_each()
        # Danger: hundreds of gateways that dial each engine ahead, most of which they send nothing,
        # cost the engines more than they ask. So where a gateway's part of an engine is below one
        # hand-off, the first link waits for one, and a further one until two had to share. An
        # engine outside the working set is used by exception, and has links for what waits alone.
        ahead = (
            len(self.links) < SPREAD
            and self.engine.in_subset
            and not self.dialling
            and (all(each.open for each in self.links))
            and (
                self.socket_host.gateway.slots * self.engine.cores >= 1.0
                or any(len(each.open) > 1 for each in self.links)
            )
        )
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
        """Danger: descriptors that we lack are no fault of the engine's."""
        self.wanting, self.spare_from = True, self.socket_host.now + SECOND
        self.socket_host.counters["no descriptor"] += 1
        self.socket_host.event_loop.call_later(SECOND // 100, self.fill)

    def dial(self, where: tuple[str, int]) -> None:
        era = self.era
        sock, why = dial(self.socket_host.event_loop, where, self.socket_host.settings.dial_time)
        self.dialling = False
        self.socket_host.dials -= 1
        self.socket_host.counters["dialled"] += 1
        if why in WANTING:
            self.socket_host.make_room()
            return self._want()
        self.wanting = False
        if sock is None:
            self.socket_host.counters["unreached"] += 1
            self.spare_from = (
                self.socket_host.now + SECOND
            )  # Danger: dials without end where none is taken
            if era == self.era:
                in_flight_attempts, self.waiting = self.waiting, []
                for in_flight_attempt in in_flight_attempts:
                    self.socket_host.failed(in_flight_attempt, "unreached")
        # Danger: a dial that began before its engine moved, or was started anew, tells nothing of
        # the one that waits now, whether it came up or not.
        elif era != self.era or self.engine.state != EngineState.READY:
            sock.close()
        else:
            link = EngineConnection(self, sock)
            self.links.append(link)
            self.socket_host.event_loop.spawn(link.link.run)
            link.watch()
        self.fill()

    def told(self, where: tuple[str, int], renewed: bool) -> None:
        """The list names it: a link to what it was before is for nothing new."""
        if where != self.address or renewed:
            self.address, self.era = where, self.era + 1
            self.retire()

    def retire(self) -> None:
        for link in self.links:
            link.retired = True
            if not link.open:
                link.link.end("no longer needed")

    def withdraw(self) -> None:
        """It drains or is gone. Danger: a hand-off that waits for room would begin after that."""
        self.retire()
        in_flight_attempts, self.waiting = self.waiting, []
        for in_flight_attempt in in_flight_attempts:
            self.socket_host.failed(in_flight_attempt, "withdrawn")
