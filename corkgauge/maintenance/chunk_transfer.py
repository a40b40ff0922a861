"""A plan that is too large for one datagram, fetched from one that has it, a few pieces at a time.

Owns which pieces are here. Free of I/O. Must never put pieces of two states together: each names the stamp of the
state that it is of, and another stamp begins anew.
"""

from collections.abc import Callable
from typing import Any, Protocol

SIZE = 900  # octets of a piece
AT_ONCE = 6  # asked for in one letter
MOST = 2_000  # pieces of one state

Stamp = tuple[int, int]  # fence, and number under it: the later state is the greater stamp


class Host(Protocol):
    def send(self, name: str, body: list[Any]) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...


def piece_of(packed: bytes, index: int) -> tuple[int, bytes]:
    """How many there are, and one of them.

    >>> piece_of(b"x" * 1000, 1)[0], len(piece_of(b"x" * 1000, 1)[1]), piece_of(b"", 0)
    (2, 100, (1, b''))
    """
    return max(-(-len(packed) // SIZE), 1), packed[index * SIZE : (index + 1) * SIZE]


class Fetch:
    """Asks `whom` for its state, letter by letter, until all is here; then `done(stamp, octets)`.

    Letters are `[ask, fence, stamp or [], [indexes]]`, answers `[tell, fence, stamp, index, count, octets]`. An
    answer of another stamp than the one begun with starts over with that: its teller has gone on. Nothing of a stamp
    below `least` counts."""

    def __init__(
        self,
        host: Host,
        ask: int,
        whom: str,
        fence: int,
        pause: int,
        done: Callable[[Stamp, bytes], None],
        least: Stamp = (0, 0),
    ) -> None:
        self.host, self.ask, self.whom, self.fence, self.pause, self.done = (
            host,
            ask,
            whom,
            fence,
            pause,
            done,
        )
        self.least = least
        self.stamp: Stamp | None = None
        self.count, self.pieces = 1, dict[int, bytes]()
        self.over, self.serial = False, 0
        self._more()

    def heard(self, sender: str, stamp: Stamp, index: int, count: int, data: bytes) -> None:
        # Danger: a piece that was asked for in an earlier time in office comes late, and tells of a state that has been
        # changed since by agreement.
        if self.over or sender != self.whom or stamp < self.least or not 0 <= index < count <= MOST:
            return
        if stamp != self.stamp:
            if self.stamp is not None and stamp < self.stamp:
                return  # a late letter of the state before
            self.stamp, self.count, self.pieces = stamp, count, {}
        self.pieces[index] = data
        if len(self.pieces) == self.count:
            self.over = True
            return self.done(stamp, b"".join(self.pieces[n] for n in range(self.count)))
        if index >= max(self.pieces) or not index % AT_ONCE:
            self._more()

    def end(self) -> None:
        self.over = True

    def _more(self) -> None:
        """Ask for the next few that are not here, and again where none of them comes."""
        if self.over:
            return
        wanted = [n for n in range(self.count) if n not in self.pieces][:AT_ONCE]
        self.serial += 1
        self.host.send(self.whom, [self.ask, self.fence, [*(self.stamp or ())], wanted])
        self.host.call_later(self.pause, self._again, self.serial)

    def _again(self, serial: int) -> None:
        if serial == self.serial:
            self._more()
