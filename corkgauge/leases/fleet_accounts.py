"""Sums the counters of all instances into the fleet accounts, and finds discrepancies.

Owns the latest account of each instance and incarnation, and the history of sums. Free of I/O. A
missing reply must never count as an account of zeros, and the history must never accept an entry
under a lower fencing token than its last entry.

An account is `{"epoch", "taken", "served", "refused", "failed", "open", "handed", "engines", "out",
"ended"}`, with the counts of one epoch of one instance, where an epoch is one incarnation. `handed`
is counted by the instance's request classes; `engines`, `ended` and `out` are counted by its
engines. These keys are used on the wire and in the sums shown to operators.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

REQUEST_COUNTS = "taken", "served", "refused", "failed", "open"
ATTEMPT_COUNTS = "handed", "engines", "ended", "out"
ALL_COUNTS = *REQUEST_COUNTS, *ATTEMPT_COUNTS
GROWING_COUNTS = "taken", "served", "refused", "failed", "handed", "engines", "ended"
COUNT_LIMIT = 2**53  # exclusive limit: every JSON reader represents smaller integers exactly
MAX_ENTRIES = 500  # entries kept in the history
MAX_EPOCHS = 16  # epochs kept separately per instance; older epochs are summed
MAX_SHOWN_MISSING = 8  # names of instances without a reply, in one entry
MAX_SHOWN_DISCREPANCIES = 4  # discrepancies listed in one entry

Account = dict[str, Any]


def build_account(
    epoch: str, request_classes: Iterable[Mapping[str, Any]], engines: Iterable[Sequence[Any]]
) -> Account:
    """Build the account of this instance.

    Rows by request class have the form of a ledger snapshot. Rows by engine are (attempts by kind,
    attempts by outcome, attempts in flight, ...).

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
    """Return the equations that are violated in an account or in a sum of accounts.

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
    """Return the sums of the counts of several accounts."""
    return {key: sum(account[key] for account in accounts) for key in ALL_COUNTS}


class FleetAccounts:
    """The accounts that the lease holder has collected from the instances."""

    def __init__(self) -> None:
        self.accounts: dict[str, dict[str, Account]] = {}  # by instance and epoch
        self.closed: dict[str, Account] = {}  # sum of the epochs before those, by instance
        self.answered_round: dict[str, int] = {}  # round of the last reply, by instance
        self.round = 0
        # Discrepancies of this round: counts of an account that decreased since the previous one.
        self.decreased_counts: list[str] = []

    def begin_round(self) -> None:
        """Begin another round of requests."""
        self.round += 1
        self.decreased_counts = []

    def record_account(self, instance: str, account: Any) -> None:
        """Record an instance's account; raises ValueError, and changes nothing, if malformed."""
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
        """Return the history entry with the sum over all instances and epochs.

        `at` is the system time in milliseconds. The sum includes earlier accounts of instances
        without a reply in this round. `cut_off` counts the requests that were open when an epoch
        ended, but only for the epochs kept separately (MAX_EPOCHS): open requests of older epochs
        remain in `open` and are no longer counted in `cut_off`.
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
    """Raise ValueError for a malformed account."""
    if (
        not isinstance(account, dict)
        or not isinstance(account.get("epoch"), str)
        or not all(_is_count(account.get(key)) for key in ALL_COUNTS)
    ):
        raise ValueError("expected an account with an epoch and a non-negative count for each key")


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value < COUNT_LIMIT


class AccountsHistory:
    """The history of one instance, with entries in the order of fencing token and number.

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
        """Add an entry unless it is out of order.

        Without this check, a late entry of a replaced holder would follow the entries of its
        successor.
        """
        place = entry["fence"], entry["number"]
        if self.entries and place <= (self.entries[-1]["fence"], self.entries[-1]["number"]):
            self.refused += 1
            return False
        self.entries.append(entry)
        return True
