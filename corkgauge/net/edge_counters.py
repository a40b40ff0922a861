"""What happens at the program's edges that is no part of its accounts, by kind.

Owns the counts and one line of text of them; must never cost more than an addition.
"""

from collections import Counter
from collections.abc import Mapping


class EdgeCounters(Counter):
    """Counts by name.

    >>> counts = EdgeCounters(); counts["taken"] += 2; counts["answered served"] += 1; print(counts.line())
    answered_served=1 taken=2
    >>> print(counts.line({"open": 1}))
    answered_served=1 open=1 taken=2
    """

    def line(self, more: Mapping[str, int] | None = None) -> str:
        """These, and more of the same kind that others count."""
        said = {**self, **(more or {})}
        return " ".join(f"{name.replace(' ', '_')}={said[name]}" for name in sorted(said))
