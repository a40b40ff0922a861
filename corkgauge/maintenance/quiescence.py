"""Who may still be sending to a machine: what proves that a gateway does not.

Owns the rule, in one function. Free of I/O. Must never take silence alone for proof.

    what is known                                   what it proves
    its own word, under the order to drain          nothing of its is open there, and nothing new goes
    its process has ended, and it is out for work   it sends no more, and is not started before that is over
    a later start of it was heard                   the earlier process sends no more; the new one answers
                                                      for itself
    it knew of the work, its last grant to send     it sends nothing new since its grant ran out, and what
      there ran out, and its longest expiry passed    was out has ended
    the same, and the engine reports nothing in     the same, without waiting for the expiry
      flight after the grant ran out
    an operator overruled, by name                  nothing; it is his word, and it is logged
    it was not heard                                nothing
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Heard:
    """What is known of one gateway, at the planner. Times are tenths of a millisecond since the planner's boot."""

    start: int = 0  # of its process
    stamp: tuple[int, int] = (0, 0)  # of the last orders that it told it holds
    closed: frozenset[str] = frozenset()  # where nothing of its is open, under those orders
    at: int = -1  # when it was last heard: the last word that its grant may count from
    many: int = 0  # how many engines it holds closed; `closed` may not name them all yet
    blank: bool = True  # it has forgotten what it was told
    serial: int = 0  # of its last word
    free: bool = False  # it holds no duty, and stands for none
    unwell: frozenset[str] = frozenset()  # engines that do badly by it
    loads: dict[str, float] = field(default_factory=dict)


def standing(
    heard: Heard | None,
    ended: bool,
    members: list[str],
    ordered: tuple[int, int],
    known: tuple[int, int],
    since: int,
    now: int,
    grant: int,
    expiry: int,
    idle_since: int,
) -> str:
    """Why a gateway may still be sending to these engines; empty: it is proven that it is not.

    `ended`: its process has ended, for work on its machine. `ordered` and `known` are the stamps of
    the orders to drain and of those that announced it. `since` is when we began to hold the duty: a grant of an
    earlier holder's is no younger. `grant` and `expiry` are its span of a grant, with drift, and the longest expiry.
    `idle_since` is when the engines last reported nothing in flight; -1: never.

    >>> word = Heard(5, (7, 4), frozenset({"e1"}), 100, 1, False)
    >>> standing(word, False, ["e1"], (7, 4), (7, 3), 0, 130, 50, 300, -1)
    ''
    >>> standing(word, False, ["e2"], (7, 4), (7, 3), 0, 130, 50, 300, -1)
    'has not confirmed; its grant runs for 20 more'
    >>> standing(word, False, ["e2"], (7, 5), (7, 3), 0, 200, 50, 300, -1)
    'not heard; what it sent may run for 250 more'
    >>> standing(word, False, ["e2"], (7, 5), (7, 3), 0, 200, 50, 300, 160)
    ''
    >>> standing(word, False, ["e2"], (7, 5), (7, 5), 0, 9000, 50, 300, -1)
    'not heard, and does not know of the work'
    >>> standing(None, True, ["e2"], (7, 5), (7, 5), 0, 9000, 50, 300, -1)
    ''
    """
    if ended:
        return ""
    if heard is None or heard.at < 0:
        return "never heard"
    if heard.stamp >= ordered and not heard.blank and all(tag in heard.closed for tag in members):
        return ""
    if heard.blank or heard.stamp < known:
        return "not heard, and does not know of the work"
    over = max(heard.at, since) + grant  # by then it sends nothing new there
    if now < over:
        return f"has not confirmed; its grant runs for {over - now} more"
    if idle_since > over or now >= over + expiry:
        return ""
    return f"not heard; what it sent may run for {over + expiry - now} more"
