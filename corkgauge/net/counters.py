"""What the program takes in, sends and answers, by kind.

Owns the counts and one line of text of them; must never cost more than an addition.
"""

from collections import Counter


class Counters(Counter):
    """Counts by name.

    >>> counts = Counters(); counts["taken"] += 2; counts["answered served"] += 1; print(counts.line())
    answered_served=1 taken=2
    """

    def line(self) -> str:
        return " ".join(f"{name.replace(' ', '_')}={self[name]}" for name in sorted(self))
