"""The fleet accounts: the counters of all instances, summed, and whether the sums balance.

Owns the last account of each instance and incarnation, and the history of sums. Free of I/O. Must
never take an instance that did not answer for one that has nothing, and never add to the history
under a lower fencing token than it holds.

An account is `{"epoch", "taken", "served", "refused", "failed", "open", "handed", "engines",
"out", "ended"}`, all counts of one epoch, that is one incarnation, of one instance: `handed` as its
request classes count attempts, `engines`, `ended` and `out` as its engines do. Accounts go over the
wire, and sums to operators, under these keys.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

REQUEST_COUNTS = "taken", "served", "refused", "failed", "open"
ATTEMPT_COUNTS = "handed", "engines", "ended", "out"
ALL_COUNTS = *REQUEST_COUNTS, *ATTEMPT_COUNTS
GROWING_COUNTS = "taken", "served", "refused", "failed", "handed", "engines", "ended"
COUNT_LIMIT = 2**53  # counts are below this: whole numbers in every JSON reader
MAX_ENTRIES = 500  # of the history
MAX_EPOCHS = 16  # of one instance that are kept apart; older ones are summed
MAX_SHOWN_MISSING = 8  # names of instances that did not answer, in an entry
MAX_SHOWN_DISCREPANCIES = 4  # lines, in an entry

Account = dict[str, Any]


def build_account(
    epoch: str, request_classes: Iterable[Mapping[str, Any]], engines: Iterable[Sequence[Any]]
) -> Account:
    """Build an instance's own account.

    Rows by request class are as a snapshot of the ledger has them, rows by engine are (attempts by
    kind, attempts by outcome, attempts in flight, ...).

    >>> rows = [{"taken": 3, "served": 1, "refused": 1, "failed": 0, "open": 1, "firsts": 2,
    ...          "further": 0, "copies": 0}]
    >>> account = build_account("x", rows, [([2, 0, 0], [0, 1], 1)])
    >>> find_discrepancies(account), account["taken"], account["handed"], account["ended"]
    ([], 3, 2, 1)
    """
    account: Account = {"epoch": epoch, **dict.fromkeys(ALL_COUNTS, 0)}
    for row in request_classes:
        for key in REQUEST_COUNTS:
            account[key] += row[key]
        account["handed"] += row["firsts"] + row["further"] + row["copies"]
    for by_kind, by_outcome, in_flight, *_ in engines:
        account["engines"] += sum(by_kind)
        account["ended"] += sum(by_outcome)
        account["out"] += in_flight
    return account


def find_discrepancies(account: Mapping[str, Any]) -> list[str]:
    """Return the equations that do not hold in an account, or in a sum of some.

    >>> find_discrepancies({"taken": 3, "served": 1, "refused": 0, "failed": 0, "open": 1,
    ...        "handed": 2, "engines": 3, "ended": 3, "out": 0})
    ['taken 3, ends and open 2', 'handed off 2, engines were handed 3']
    """
    found = []
    taken = account["taken"]
    handed = account["handed"]
    engines = account["engines"]
    accounted_for = account["served"] + account["refused"] + account["failed"] + account["open"]
    ended_or_out = account["ended"] + account["out"]
    if taken != accounted_for:
        found.append(f"taken {taken}, ends and open {accounted_for}")
    if handed != engines:
        found.append(f"handed off {handed}, engines were handed {engines}")
    if engines != ended_or_out:
        found.append(f"engines were handed {engines}, outcomes and out {ended_or_out}")
    return found


def sum_accounts(accounts: Sequence[Mapping[str, Any]]) -> Account:
    """Add up the counts of some accounts."""
    return {key: sum(account[key] for account in accounts) for key in ALL_COUNTS}


class FleetAccounts:
    """The lease holder's side: what each instance last answered."""

    def __init__(self) -> None:
        self.accounts: dict[str, dict[str, Account]] = {}  # by instance, by epoch
        self.closed: dict[str, Account] = {}  # by instance, the sum of older epochs
        self.answered_round: dict[str, int] = {}  # by instance: in which round it last answered
        self.round = 0
        self.decreased_counts: list[str] = []  # in this round

    def begin_round(self) -> None:
        """Begin another round of asking."""
        self.round += 1
        self.decreased_counts = []

    def record_account(self, instance: str, account: Any) -> None:
        """Take an instance's answer. A malformed one raises ValueError, and changes nothing."""
        _check_account(account)
        epochs = self.accounts.setdefault(instance, {})
        before = epochs.get(account["epoch"])
        if before is not None:
            self.decreased_counts += [
                f"{instance}: {key} was {before[key]}, is {account[key]}"
                for key in GROWING_COUNTS
                if account[key] < before[key]
            ]
        epochs[account["epoch"]] = account
        while len(epochs) > MAX_EPOCHS:
            self._close_oldest(instance, epochs)
        self.answered_round[instance] = self.round

    def _close_oldest(self, instance: str, epochs: dict[str, Account]) -> None:
        parts = [epochs.pop(next(iter(epochs)))]
        if instance in self.closed:
            parts.append(self.closed[instance])
        self.closed[instance] = sum_accounts(parts)

    def build_entry(
        self, fencing_token: int, number: int, at: int, members: Sequence[str]
    ) -> dict[str, Any]:
        """Return the sum over all instances and epochs, as it goes into the history.

        `at` is milliseconds of the system's date. What an instance that did not answer reported
        before stays in the sum; an epoch that is over keeps what was open as cut off.
        """
        accounts = [account for epochs in self.accounts.values() for account in epochs.values()]
        accounts += self.closed.values()
        cut_off = sum(
            account["open"]
            for epochs in self.accounts.values()
            for account in [*epochs.values()][:-1]
        )
        missing = sorted(name for name in members if self.answered_round.get(name) != self.round)
        discrepancies = self._find_discrepancies() + self.decreased_counts
        return {
            "fence": fencing_token,
            "number": number,
            "at": at,
            **sum_accounts(accounts),
            "cut_off": cut_off,
            "missing": missing[:MAX_SHOWN_MISSING],
            "missing_count": len(missing),
            "gateways": len(self.accounts),
            "wrong": discrepancies[:MAX_SHOWN_DISCREPANCIES],
        }

    def _find_discrepancies(self) -> list[str]:
        return [
            f"{name}: {line}"
            for name, epochs in sorted(self.accounts.items())
            for account in epochs.values()
            for line in find_discrepancies(account)
        ]


def _check_account(account: Any) -> None:
    """Raise ValueError for what is no account."""
    if (
        not isinstance(account, dict)
        or not isinstance(account.get("epoch"), str)
        or not all(_is_count(account.get(key)) for key in ALL_COUNTS)
    ):
        raise ValueError("an account that makes no sense")


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value < COUNT_LIMIT


class AccountsHistory:
    """One history, at every instance: entries in the order of fencing token and number.

    >>> history = AccountsHistory()
    >>> places = (5, 1), (5, 2), (4, 3), (5, 2), (7, 1)
    >>> [history.append({"fence": token, "number": number}) for token, number in places]
    [True, True, False, False, True]
    >>> [entry["fence"] for entry in history.entries]
    [5, 5, 7]
    """

    def __init__(self) -> None:
        self.entries: deque[dict[str, Any]] = deque(maxlen=MAX_ENTRIES)
        self.refused = 0

    def append(self, entry: dict[str, Any]) -> bool:
        """Add an entry, unless it is out of order.

        One of a holder that was long replaced would otherwise stand after its successor's.
        """
        place = entry["fence"], entry["number"]
        if self.entries and place <= (self.entries[-1]["fence"], self.entries[-1]["number"]):
            self.refused += 1
            return False
        self.entries.append(entry)
        return True
