"""The fleet's books: the figures of all gateways, summed, and whether the fleet's own double entry holds.

Owns the last figures of each gateway and epoch, and the history of sums. Free of I/O. Must never take a
gateway that did not answer for one that has nothing, and never add to the history under a lower fence than it
holds.

An account is `{"epoch", "taken", "served", "refused", "failed", "open", "handed", "engines", "out",
"ended"}`, all counts of one epoch of one gateway: `handed` by its offerings, `engines`, `ended` and `out` by
its engines.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

TERMS = "taken", "served", "refused", "failed", "open"
HANDS = "handed", "engines", "ended", "out"
GROWS = "taken", "served", "refused", "failed", "handed", "engines", "ended"
MOST_ENTRIES = 500  # of the history
MOST_EPOCHS = 16  # of one gateway that are kept apart; older ones are summed

Account = dict[str, Any]


def account_of(
    epoch: str, request_classes: Iterable[Mapping[str, Any]], engines: Iterable[Sequence[Any]]
) -> Account:
    """A gateway's own account: rows by offering as a cut has them, by engine as (sorts, outcomes, out, ...).

    >>> rows = [{"taken": 3, "served": 1, "refused": 1, "failed": 0, "open": 1, "firsts": 2,
    ...          "further": 0, "copies": 0}]
    >>> said = account_of("x", rows, [([2, 0, 0], [0, 1], 1)])
    >>> wrong(said), said["taken"], said["handed"], said["ended"]
    ([], 3, 2, 1)
    """
    said: Account = {"epoch": epoch, **dict.fromkeys((*TERMS, *HANDS), 0)}
    for row in request_classes:
        for term in TERMS:
            said[term] += row[term]
        said["handed"] += row["firsts"] + row["further"] + row["copies"]
    for sorts, outcomes, out, *_ in engines:
        said["engines"] += sum(sorts)
        said["ended"] += sum(outcomes)
        said["out"] += out
    return said


def wrong(said: Mapping[str, Any]) -> list[str]:
    """The equations that do not hold in an account, or in a sum of some.

    >>> wrong({"taken": 3, "served": 1, "refused": 0, "failed": 0, "open": 1, "handed": 2,
    ...        "engines": 3, "ended": 3, "out": 0})
    ['taken 3, ends and open 2', 'handed off 2, engines were handed 3']
    """
    found = []
    ends = said["served"] + said["refused"] + said["failed"] + said["open"]
    if said["taken"] != ends:
        found.append(f"taken {said['taken']}, ends and open {ends}")
    if said["handed"] != said["engines"]:
        found.append(f"handed off {said['handed']}, engines were handed {said['engines']}")
    if said["engines"] != said["ended"] + said["out"]:
        found.append(
            f"engines were handed {said['engines']}, outcomes and out {said['ended'] + said['out']}"
        )
    return found


class FleetAccounts:
    """The holder's side: what each gateway last told."""

    def __init__(self) -> None:
        self.accounts: dict[str, dict[str, Account]] = {}  # by gateway, by epoch
        self.closed: dict[str, Account] = {}  # by gateway, the sum of older epochs
        self.told: dict[str, int] = {}  # by gateway: in which round
        self.round = 0
        self.shrunk: list[str] = []

    def begin(self) -> None:
        """Another round of asking."""
        self.round += 1
        self.shrunk = []

    def tells(self, gateway: str, said: Any) -> None:
        """A gateway's account. ValueError where it makes no sense, and nothing is changed."""
        if (
            not isinstance(said, dict)
            or not isinstance(said.get("epoch"), str)
            or not all(
                type(said.get(key)) is int and 0 <= said[key] < 2**53 for key in (*TERMS, *HANDS)
            )
        ):
            raise ValueError("an account that makes no sense")
        epochs = self.accounts.setdefault(gateway, {})
        before = epochs.get(said["epoch"])
        if before is not None:
            self.shrunk += [
                f"{gateway}: {key} was {before[key]}, is {said[key]}"
                for key in GROWS
                if said[key] < before[key]
            ]
        epochs[said["epoch"]] = said
        while len(epochs) > MOST_EPOCHS:
            first = epochs.pop(next(iter(epochs)))
            self.closed[gateway] = added(
                [self.closed[gateway], first] if gateway in self.closed else [first]
            )
        self.told[gateway] = self.round

    def entry(self, fence: int, number: int, at: int, members: Sequence[str]) -> dict[str, Any]:
        """The sum over all gateways and epochs, as it goes into the history. What a gateway that did not
        answer told before stays in it; an epoch that is over keeps what was open as cut off."""
        every = [account for epochs in self.accounts.values() for account in epochs.values()]
        every += self.closed.values()
        said = added(every)
        found = [
            f"{name}: {line}"
            for name, epochs in sorted(self.accounts.items())
            for account in epochs.values()
            for line in wrong(account)
        ]
        cut_off = sum(
            account["open"]
            for epochs in self.accounts.values()
            for account in [*epochs.values()][:-1]
        )
        missing = sorted(name for name in members if self.told.get(name) != self.round)
        return {
            "fence": fence,
            "number": number,
            "at": at,
            **said,
            "cut_off": cut_off,
            "missing": missing[:8],
            "missing_count": len(missing),
            "gateways": len(self.accounts),
            "wrong": (found + self.shrunk)[:4],
        }


def added(accounts: Sequence[Mapping[str, Any]]) -> Account:
    """Counts, summed."""
    return {key: sum(account[key] for account in accounts) for key in (*TERMS, *HANDS)}


class History:
    """One history, at every fellow: entries in the order of fence and number.

    >>> history = History()
    >>> [history.add({"fence": f, "number": n}) for f, n in ((5, 1), (5, 2), (4, 3), (5, 2), (7, 1))]
    [True, True, False, False, True]
    >>> [entry["fence"] for entry in history.entries]
    [5, 5, 7]
    """

    def __init__(self) -> None:
        self.entries: deque[dict[str, Any]] = deque(maxlen=MOST_ENTRIES)
        self.refused = 0

    def add(self, entry: Any) -> bool:
        """Danger: an entry of a holder that was long replaced would stand after its successor's."""
        place = entry["fence"], entry["number"]
        if self.entries and place <= (self.entries[-1]["fence"], self.entries[-1]["number"]):
            self.refused += 1
            return False
        self.entries.append(entry)
        return True
