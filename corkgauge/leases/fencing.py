"""Guards acts under leases by remembering the highest fencing token seen for each lease.

Owns these tokens. Free of I/O. The guard must never admit an act under a lower token than one
already seen. This check alone stops a holder that was paused between its clock reading and its act.
"""

MAX_LEASES = 64  # leases that a token is remembered for; acts under further leases are refused


class FencingGuard:
    """Refuses acts under a fencing token below the highest one seen for the lease.

    >>> guard = FencingGuard()
    >>> [guard.admits("books", token) for token in (5, 5, 4, 7, 5)]
    [True, True, False, True, False]
    """

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.refused = 0

    def admits(self, lease: str, fencing_token: int) -> bool:
        """Return whether an act may be performed, and remember the token of an admitted act."""
        is_full = lease not in self.highest and len(self.highest) >= MAX_LEASES
        if is_full or fencing_token < self.highest.get(lease, 0):
            self.refused += 1
            return False
        self.highest[lease] = fencing_token
        return True
