"""The guard of acts under leases: the highest fencing token seen for each.

Owns these numbers. Free of I/O. Must never admit an act under a lower token than one it has seen: a
holder that stood still between its look at the clock and its act is stopped here, and nowhere else.
"""

MAX_LEASES = 64  # that tokens are remembered of


class FencingGuard:
    """Refuses acts under a fencing token below the highest one seen.

    >>> guard = FencingGuard()
    >>> [guard.admits("books", token) for token in (5, 5, 4, 7, 5)]
    [True, True, False, True, False]
    """

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.refused = 0

    def admits(self, lease: str, fencing_token: int) -> bool:
        """May this act be taken? Its token is known from now on."""
        is_full = lease not in self.highest and len(self.highest) >= MAX_LEASES
        if is_full or fencing_token < self.highest.get(lease, 0):
            self.refused += 1
            return False
        self.highest[lease] = fencing_token
        return True
