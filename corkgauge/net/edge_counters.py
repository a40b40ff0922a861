"""Counts network events that are not part of the ledger.

Owns the counts and the format of their log line. Counting an event is one addition.
"""

from collections import Counter
from collections.abc import Mapping


class EdgeCounters(Counter[str]):
    """Event counts by name.

    >>> counts = EdgeCounters(taken=2)
    >>> counts["answered served"] += 1
    >>> print(counts.line())
    answered_served=1 taken=2
    >>> print(counts.line({"open": 1}))
    answered_served=1 open=1 taken=2
    """

    def line(self, more: Mapping[str, int] | None = None) -> str:
        """Return these counts, and `more` counts from elsewhere, as one line sorted by name."""
        counts = {**self, **(more or {})}
        return " ".join(f"{name.replace(' ', '_')}={counts[name]}" for name in sorted(counts))
