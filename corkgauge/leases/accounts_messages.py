"""The datagram bodies of fleet accounts: typed on one side, the lists of the wire on the other.

A holder asks with `["ask", lease, fencing token, round]` and sends each sum with `["entry", lease,
fencing token, entry]`. An instance answers with `["account", lease, round, account]`, or refuses
with `["no", lease, highest fencing token]`. Instances of several versions talk to each other, so
words and places never change.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from corkgauge.leases.messages import ProtocolError


class AccountsKind(StrEnum):
    """The first element of a body."""

    ASK = "ask"
    ACCOUNT = "account"
    ENTRY = "entry"
    REFUSED = "no"


@dataclass(frozen=True, slots=True)
class AskAccount:
    """A holder's question, to each instance."""

    lease: str
    fencing_token: int
    round_number: int

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [AccountsKind.ASK.value, self.lease, self.fencing_token, self.round_number]


@dataclass(frozen=True, slots=True)
class AccountReply:
    """An instance's account, in the round that it was asked in."""

    lease: str
    round_number: int
    account: Any

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [AccountsKind.ACCOUNT.value, self.lease, self.round_number, self.account]


@dataclass(frozen=True, slots=True)
class EntryNotice:
    """A sum, for every instance's history."""

    lease: str
    fencing_token: int
    entry: dict[str, Any]

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [AccountsKind.ENTRY.value, self.lease, self.fencing_token, self.entry]


@dataclass(frozen=True, slots=True)
class TokenRefused:
    """The answer to an act under a fencing token below the highest one seen."""

    lease: str
    highest_token: int

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [AccountsKind.REFUSED.value, self.lease, self.highest_token]


@dataclass(frozen=True, slots=True)
class AccountsDatagram:
    """A body that came in.

    What follows its kind and its lease is decoded where it is needed, as an instance ignores what
    is of a lease that it does not know. A malformed part raises ProtocolError.

    >>> datagram = AccountsDatagram.decode(["ask", "books", 700, 3])
    >>> datagram.kind, datagram.fencing_token, datagram.round_number
    ('ask', 700, 3)
    """

    kind: Any
    lease: Any
    fields: list[Any]

    @classmethod
    def decode(cls, body: Any) -> "AccountsDatagram":
        """Part a body into kind, lease and what follows."""
        if not isinstance(body, list) or len(body) < 2:
            raise ProtocolError("expected a list of at least 2 elements")
        return cls(body[0], body[1], body[2:])

    @property
    def fencing_token(self) -> int:
        """The token of a question or a sum; the highest one seen, of a refusal."""
        return self._decode_integer(0)

    @property
    def round_number(self) -> int:
        """The round of a question."""
        return self._decode_integer(1)

    @property
    def entry(self) -> dict[str, Any]:
        """The entry of a sum."""
        try:
            return dict(self.fields[1])
        except (IndexError, TypeError, ValueError) as error:
            raise ProtocolError("expected an entry of the history") from error

    @property
    def reply(self) -> AccountReply:
        """An instance's answer."""
        if len(self.fields) != 2:
            raise ProtocolError("expected a round and an account")
        return AccountReply(self.lease, *self.fields)

    def _decode_integer(self, index: int) -> int:
        try:
            return int(self.fields[index])
        except (IndexError, TypeError, ValueError) as error:
            raise ProtocolError("expected a number") from error
