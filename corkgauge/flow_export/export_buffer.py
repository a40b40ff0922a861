"""The keeper: which collector is told, when one counts as down, what it is told first.

Owns the collectors' states, what is under way to each, and the totals of export. Free of I/O, the
clock is handed in (tenths of a millisecond). It acts through a small host: `open(peer)`,
`send(peer, data) -> bool`, `close(peer)`.

Must never send data before templates in a session, never hold more than its bound, and never let an
octet go uncounted: measured = told + held (with what is under way) + dropped.

A peer goes down -> opening -> trial -> up. In the trial the templates are out and nothing is known
against it yet: a UDP collector that is not there says so by ICMP only once something was sent. What
is under way is confirmed when a stream has written it, or a while after a datagram went. What comes
back unwritten is held again; where nobody can know (a stream broke with octets in the system's
hands, a datagram was refused), it is told: `unsure` is counted as told and may be lost, `repeated`
is told again and may have arrived.
"""

from collections import deque
from struct import pack
from typing import Any, Protocol
from zlib import crc32

from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.pending_records import PendingRecords
from corkgauge.flow_export.session import Session

SECOND = 10_000
DOWN, OPENING, TRIAL, UP = range(4)
STATES = "down", "opening", "trial", "up"
TRIAL_TIME = 2_000  # between templates and first data
SETTLED = 1_000  # that a datagram is under way: within it ICMP would have told
OPEN_TIME = 3 * SECOND  # for a stream and its TLS to come up
STALL = 5 * SECOND  # that a stream may take no octet
LEAST_REST, MOST_REST = SECOND // 2, 60 * SECOND  # after a failure, doubled each time
STEADY = 30 * SECOND  # up for so long, and its failures are forgotten
LAST_TICK = 500  # of the last one
PER_TICK = 6  # messages of one tick, so that a queue of minutes does not hold up the loop
RECENT = 1024  # messages of a stream, remembered for what the system still holds of them
TELL_EACH = 30 * SECOND  # statistics of export


class Peer:
    """One collector, and what is under way to it."""

    def __init__(
        self, name: str, datagrams: bool, limit: int, refresh: int, refresh_after: int
    ) -> None:
        self.name, self.datagrams, self.limit = name, datagrams, limit
        # templates again: each time, each so many messages
        self.refresh, self.refresh_after = refresh, refresh_after
        self.state, self.since, self.rests_until, self.failures = DOWN, 0, 0, 0
        self.session: Session | None = None
        # Under way: when, where it ends in the stream, what it told of.
        self.window = deque[tuple[int, int, list[Delta]]]()
        self.put = self.written = self.moved = 0  # octets of the stream; when it last took one
        self.recent = deque[tuple[int, int]](
            maxlen=RECENT
        )  # of a stream: messages told, where each ended
        self.octets = 0  # of flows, under way
        self.why = ""


class Host(Protocol):
    """What the keeper may do."""

    def open(self, peer: Peer) -> None: ...
    def send(self, peer: Peer, data: bytes) -> bool: ...
    def close(self, peer: Peer) -> None: ...
    def log(self, line: str) -> None: ...


class ExportBuffer:
    """Keeps one queue of deltas told to the first of its peers that is well."""

    def __init__(
        self,
        host: Host,
        layout: Layout,
        domain: int,
        peers: list[Peer],
        held: PendingRecords,
        seed: int,
        now: int,
    ) -> None:
        self.host, self.layout, self.domain, self.peers, self.held = (
            host,
            layout,
            domain,
            peers,
            held,
        )
        self.seed, self.drawn, self.began, self.active = seed, 0, now, None
        self.told = self.told_records = self.messages = self.bytes = 0
        self.unsure = self.repeated = 0
        self.told_at = now  # statistics, the last time

    # What can happen.

    def add(self, delta: Delta) -> None:
        self.held.add(delta)

    def opened(self, peer: Peer, now: int) -> None:
        """Its connection is up: templates first."""
        peer.state, peer.since, peer.moved = TRIAL, now, now
        peer.put = peer.written = 0
        peer.session = Session(self.layout, self.domain, peer.limit, self.began // 10)
        self._introduce(peer, now)

    def lost(self, peer: Peer, why: str, now: int, in_system: int = 0) -> None:
        """It is gone, or refuses. `in_system` is how many octets of a stream the system had taken and nobody
        has acknowledged."""
        if peer.state == DOWN:
            return
        if peer.state == UP:
            self.host.log(f"collector {peer.name} lost: {why}")
        elif not peer.failures:
            self.host.log(f"collector {peer.name} not reached: {why}")
        self._settle(peer, now)
        for _, end, deltas in peer.window:
            octets = sum(delta.octets for delta in deltas)
            if peer.datagrams:
                # Danger: refused, and perhaps only the last one; a loss would be nobody's, a repeat
                # is told.
                self.repeated += octets
            self.held.give_back(deltas)
        # Danger: what the system had taken may have gone with the connection; told again it would
        # count twice.
        self.unsure += sum(octets for end, octets in peer.recent if end > peer.written - in_system)
        peer.recent.clear()
        peer.window.clear()
        peer.octets = 0
        peer.failures = 1 if peer.state == UP and now > peer.since + STEADY else peer.failures + 1
        peer.state, peer.session, peer.why, peer.since = DOWN, None, why, now
        peer.rests_until = now + self._rest(peer.failures)
        if self.active is peer:
            self.active = None
        self.host.close(peer)

    def wrote(self, peer: Peer, written: int, now: int) -> None:
        """So many octets of its stream are in the system's hands."""
        if written > peer.written:
            peer.written, peer.moved = written, now
            self._settle(peer, now)

    def tick(self, now: int) -> None:
        """Several times a second: open what should be, settle, tell what is held."""
        for peer in self.peers:
            self._look_at(peer, now)
        self._choose(now)
        if self.active is not None:
            self._tell(self.active, now)

    def last(self, now: int) -> None:
        """The program ends: as much as goes at once goes, and `part` follows."""
        if self.active is not None:
            self._tell(self.active, now, LAST_TICK)

    def renew(self, peers: list[Peer], layout: Layout, now: int) -> None:
        """The operator file names others, or another layout. What is held stays held."""
        if self.active is not None and not self.active.datagrams:
            # Templates of a stream are withdrawn before others may take their numbers (RFC 7011,
            # 8.1).
            self.host.send(self.active, self.active.session.farewell(now // 10))
        self.part(now)
        self.peers, self.layout = peers, layout

    def part(self, now: int) -> None:
        """From all collectors; what is not on its way stays held."""
        for peer in self.peers:
            self._release(peer, now)
            if peer.state != DOWN:
                peer.state = DOWN
                self.host.close(peer)
        self.active = None

    def _release(self, peer: Peer, now: int) -> None:
        """Nothing more goes to it: what is on its way counts as told, what is not goes elsewhere."""
        self._settle(peer, now + SETTLED if peer.datagrams else now)
        # Danger: a stream's ring still has a while to leave, so these may arrive, and are told
        # again.
        self.repeated += peer.octets
        self.held.give_back([delta for _, _, deltas in peer.window for delta in deltas])
        peer.window.clear()
        peer.octets = 0

    # Whom to tell.

    def _look_at(self, peer: Peer, now: int) -> None:
        if peer.state == DOWN and now >= peer.rests_until and self._wanted(peer):
            peer.state, peer.since = OPENING, now
            self.host.open(peer)
        elif peer.state == OPENING and now > peer.since + OPEN_TIME:
            self.lost(peer, "no connection in time", now)
        elif peer.state == TRIAL and now >= peer.since + TRIAL_TIME:
            peer.state, peer.since = UP, now
            self.host.log(f"collector {peer.name} up")
        elif not peer.datagrams and peer.put > peer.written and now > peer.moved + STALL:
            self.lost(peer, "it takes nothing", now)
        if peer.state in (TRIAL, UP):
            self._settle(peer, now)

    def _wanted(self, peer: Peer) -> bool:
        """The first one is always sought; a later one where none before it does well."""
        for before in self.peers:
            if before is peer:
                return True
            if before.state in (TRIAL, UP) or (before.state == OPENING and not before.failures):
                return False
        return False

    def _choose(self, now: int) -> None:
        """The first that is up. Danger: one that flaps would be told half of each outage; its rest grows."""
        first = next((peer for peer in self.peers if peer.state == UP), None)
        if first is not self.active:
            if self.active is not None and self.active.state == UP:
                self.host.log(f"collector {first.name} takes over from {self.active.name}")
                self._release(self.active, now)
                self.active.state = DOWN
                self.host.close(self.active)
            self.active = first

    def _rest(self, failures: int) -> int:
        """Doubled each time, a quarter more or less, by the seed. Danger: gateways that lost one collector at
        the same moment would come back to it at the same moment."""
        self.drawn += 1
        part = crc32(pack("<QQ", self.seed, self.drawn)) / 2**32
        return int(min(LEAST_REST * 2 ** min(failures - 1, 16), MOST_REST) * (0.75 + part / 2))

    # What it is told.

    def _tell(self, peer: Peer, now: int, most: int = PER_TICK) -> None:
        session = peer.session
        if peer.datagrams and (
            now >= 10 * session.introduced + peer.refresh
            or session.since_then >= peer.refresh_after
        ):
            self._introduce(peer, now)
        elif now >= self.told_at + TELL_EACH:
            self.told_at = now
            self._send(peer, session.report(now // 10, self.statistics()), [], now)
        for _ in range(most):
            if not len(self.held):
                return
            data, told, left = session.data(now // 10, self.held.next)
            if left is not None:
                self.held.give_back([left])
            if not self._send(peer, data, told, now):
                return

    def _introduce(self, peer: Peer, now: int) -> None:
        self.told_at = now
        for data in peer.session.introduction(now // 10, self.statistics()):
            self._send(peer, data, [], now)

    def _send(self, peer: Peer, data: bytes, told: list[Delta], now: int) -> bool:
        if not self.host.send(peer, data):
            # Danger: a stream that is full takes no part of a message; its records wait on.
            self.held.give_back(told)
            peer.session.unsent()
            return False
        if peer.put == peer.written:
            peer.moved = now  # it had nothing to take until now
        peer.put += len(data)
        peer.octets += sum(delta.octets for delta in told)
        peer.window.append((now, peer.put, told))
        self.messages += 1
        self.bytes += len(data)
        return True

    def _settle(self, peer: Peer, now: int) -> None:
        """What has arrived, as far as can be known, is told."""
        while peer.window:
            when, end, deltas = peer.window[0]
            if now < when + SETTLED if peer.datagrams else end > peer.written:
                return
            peer.window.popleft()
            octets = sum(delta.octets for delta in deltas)
            peer.octets -= octets
            self.told += octets
            self.told_records += len(deltas)
            if not peer.datagrams:
                peer.recent.append((end, octets))

    # Figures.

    @property
    def holding(self) -> int:
        """Octets held, with what is under way."""
        return self.held.octets + sum(peer.octets for peer in self.peers)

    def statistics(self) -> dict[str, int]:
        held = self.held
        return {
            "exportedOctetTotalCount": self.bytes,
            "exportedMessageTotalCount": self.messages,
            "exportedFlowRecordTotalCount": self.told_records,
            "notSentFlowTotalCount": held.dropped_flows,
            "notSentOctetTotalCount": held.dropped,
            "measuredOctetTotalCount": held.measured,
            "heldOctetCount": self.holding,
            "mergedFlowTotalCount": held.merged,
            "unsureOctetTotalCount": self.unsure,
            "repeatedOctetTotalCount": self.repeated,
        }

    def difference(self) -> int:
        """Octets measured that are neither told, held nor dropped; nothing else is right but 0."""
        return self.held.measured - self.told - self.holding - self.held.dropped

    def recount(self) -> int:
        """Octets held, from the records themselves: the second book."""
        held = self.held
        tables: list[Any] = [held.ended.values(), held.live.values(), held.gathered.values()]
        tables += [deltas for peer in self.peers for _, _, deltas in peer.window]
        return sum(delta.octets for table in tables for delta in table)
