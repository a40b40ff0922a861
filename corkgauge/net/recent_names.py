"""Remembers names of requests that may have run, so that none of them runs a second time.

Clients give each request a new name, a retry too. A name that comes again after its client has left
is a request that an engine may still be running, or has run. Owns these names, and their limits.
"""

from corkgauge.eventloop.loop import SECOND

REMEMBERED_TICKS = 60 * SECOND
MAX_NAME_COUNT = 16_384  # beyond it, the names that were remembered first are forgotten


class RecentNames:
    """A bounded set of names, each remembered for `REMEMBERED_TICKS`.

    >>> names = RecentNames()
    >>> names.remember("a", 0), names.contains("a", 599_999), names.contains("a", 600_000)
    (None, True, False)
    """

    def __init__(self) -> None:
        self._expires_at: dict[str, int] = {}  # by name, in the order of expiry

    def __len__(self) -> int:
        return len(self._expires_at)

    def remember(self, name: str, now: int) -> None:
        """Remember a name from `now` on, in ticks."""
        self._expires_at.pop(name, None)
        self._expires_at[name] = now + REMEMBERED_TICKS
        self._forget_expired(now)
        if len(self._expires_at) > MAX_NAME_COUNT:
            del self._expires_at[next(iter(self._expires_at))]

    def contains(self, name: str, now: int) -> bool:
        """Return whether a name is remembered at `now`, in ticks."""
        return self._expires_at.get(name, 0) > now

    def _forget_expired(self, now: int) -> None:
        while self._expires_at:
            name = next(iter(self._expires_at))
            if self._expires_at[name] > now:
                return
            del self._expires_at[name]
