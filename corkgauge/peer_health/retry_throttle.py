"""Further hand-offs of the whole fleet as one figure: they fall together in a storm, and come back by steps.

Owns what each gateway last told of its further hand-offs, and how strict ours is. Free of I/O. Must never allow more
than the gateway's own rule does: strictness is a part of that, 1 at most.

Why: what is wrong with an engine or a hall is wrong for all, and every gateway's further hand-offs are within its own
budget while their sum, on what is left, keeps it from recovering (failures that sustain themselves: Bronson, Aghayev,
Charapko and Zhu, 2021). Each gateway works out the same factor from the same sums, as far as it has heard; a gateway
alone is as strict as today.
"""

from collections.abc import Iterable

AGE = 40_000  # tenths of a millisecond, from which a telling counts for nothing
USUAL = 0.25  # of what the rule allows the fleet in all: below it nothing falls
LEAST = 0.1  # never stricter: some have to find out when it is over
STEP = 0.05  # back, a look
FEWEST = 3  # gateways that have to be heard, ourselves among them


class RetryThrottle:
    """`allowed` is the further hand-offs for each honoured submission that the rule gives, `floor` those beside.

    >>> storm = RetryThrottle("n1")
    >>> storm.tells("n2", 0, 10, 10), storm.tells("n3", 0, 10, 9)
    (None, None)
    >>> round(storm.looked(0, 10, 11, 0.0, 1.0), 2)     # all of what is allowed is spent
    0.25
    >>> storm.tells("n2", 100, 40, 0), storm.tells("n3", 100, 40, 0)
    (None, None)
    >>> round(storm.looked(100, 40, 0, 0.0, 1.0), 2)
    0.3
    """

    def __init__(self, name: str) -> None:
        self.name, self.strict = name, 1.0
        self.tellings: dict[
            str, tuple[int, int, int]
        ] = {}  # by gateway: when, honoured, further, in its span

    def tells(self, gateway: str, now: int, honoured: int, further: int) -> None:
        if gateway != self.name:
            self.tellings[gateway] = now, max(honoured, 0), max(further, 0)

    def looked(self, now: int, honoured: int, further: int, floor: float, allowed: float) -> float:
        """How strict we are from now on: a part of our own rule."""
        self.tellings = {
            name: telling for name, telling in self.tellings.items() if now < telling[0] + AGE
        }
        fresh = [(honoured, further), *(telling[1:] for telling in self.tellings.values())]
        room = sum(floor + allowed * one for one, _ in fresh)
        spent = sum(other for _, other in fresh) / room if room > 0 else 0.0
        if len(fresh) < FEWEST or spent <= USUAL:
            self.strict = min(1.0, self.strict + STEP)
        else:
            # The more of what all may do is done, the less each does of it; never more than a moment ago plus a step.
            self.strict = max(LEAST, min(self.strict + STEP, USUAL / spent))
        return self.strict

    def forget(self, named: Iterable[str]) -> None:
        keep = {*named}
        self.tellings = {name: telling for name, telling in self.tellings.items() if name in keep}
