"""Who refuses an act: the highest fence seen for each duty.

Owns these numbers. Free of I/O. Must never admit an act under a lower fence than one it has seen: a holder
that stood still between its look at the clock and its act is stopped here, and nowhere else.
"""

MOST = 64


class FencingGuard:
    """
    >>> guard = FencingGuard()
    >>> [guard.admits("books", fence) for fence in (5, 5, 4, 7, 5)]
    [True, True, False, True, False]
    """

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.refused = 0

    def admits(self, duty: str, fence: int) -> bool:
        """May this act be taken? Its fence is known from now on."""
        known = self.highest.get(duty, 0)
        if fence < known or (duty not in self.highest and len(self.highest) >= MOST):
            self.refused += 1
            return False
        self.highest[duty] = fence
        return True
