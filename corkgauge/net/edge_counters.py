"""Counters of what happens at the program's edges and is no part of its accounts.

Owns the counts and the line that logs them. To count is one addition.
"""

from collections import Counter
from collections.abc import Mapping


class EdgeCounters(Counter[str]):
    """Counts by name.

    >>> counts = EdgeCounters(taken=2)
    >>> counts["answered served"] += 1
    >>> print(counts.line())
    answered_served=1 taken=2
    >>> print(counts.line({"open": 1}))
    answered_served=1 open=1 taken=2
    """

    def line(self, more: Mapping[str, int] | None = None) -> str:
        """Return all counts in one line, with `more` that others count."""
        counts = {**self, **(more or {})}
        return " ".join(f"{name.replace(' ', '_')}={counts[name]}" for name in sorted(counts))
