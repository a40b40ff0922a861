"""Encodes and decodes fleet accounts datagram bodies, between typed messages and lists.

A holder requests accounts with `["ask", lease, fencing token, round]` and sends each sum with
`["entry", lease, fencing token, entry]`. An instance replies with `["account", lease, round,
account]`, or refuses with `["no", lease, highest fencing token]`. Instances of several versions
exchange these messages, so the words and the positions of fields never change.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from corkgauge.leases.messages import ProtocolError


class AccountsKind(StrEnum):
    """The kind of a message, which is the first element of a body."""

    ASK = "ask"
    ACCOUNT = "account"
    ENTRY = "entry"
    REFUSED = "no"


@dataclass(frozen=True, slots=True)
class AskAccount:
    """A holder's request for the account of an instance."""

    lease: str
    fencing_token: int
    round_number: int

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [AccountsKind.ASK.value, self.lease, self.fencing_token, self.round_number]


@dataclass(frozen=True, slots=True)
class AccountReply:
    """An instance's account, in reply to the request of a round."""

    lease: str
    round_number: int
    account: Any

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [AccountsKind.ACCOUNT.value, self.lease, self.round_number, self.account]


@dataclass(frozen=True, slots=True)
class EntryNotice:
    """A sum of all accounts, for the history of each instance."""

    lease: str
    fencing_token: int
    entry: dict[str, Any]

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [AccountsKind.ENTRY.value, self.lease, self.fencing_token, self.entry]


@dataclass(frozen=True, slots=True)
class TokenRefused:
    """The reply to an act under a fencing token below the highest one seen."""

    lease: str
    highest_token: int

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [AccountsKind.REFUSED.value, self.lease, self.highest_token]


@dataclass(frozen=True, slots=True)
class AccountsDatagram:
    """A received body.

    Only the kind and the lease are decoded at first. The other fields are decoded on access,
    because an instance ignores messages of an unknown lease. A malformed field raises
    ProtocolError.

    >>> datagram = AccountsDatagram.decode(["ask", "books", 700, 3])
    >>> datagram.kind, datagram.fencing_token, datagram.round_number
    ('ask', 700, 3)
    """

    kind: Any
    lease: Any
    fields: list[Any]

    @classmethod
    def decode(cls, body: Any) -> "AccountsDatagram":
        """Split a body into kind, lease and the other fields."""
        if not isinstance(body, list) or len(body) < 2:
            raise ProtocolError("expected a list of at least 2 elements")
        return cls(body[0], body[1], body[2:])

    @property
    def fencing_token(self) -> int:
        """The fencing token of a request or an entry, or the highest token seen, in a refusal."""
        return self._decode_integer(0)

    @property
    def round_number(self) -> int:
        """The round of a request."""
        return self._decode_integer(1)

    @property
    def entry(self) -> dict[str, Any]:
        """The entry with the sum of all accounts."""
        try:
            return dict(self.fields[1])
        except (IndexError, TypeError, ValueError) as error:
            raise ProtocolError("expected an account history entry as a mapping") from error

    @property
    def reply(self) -> AccountReply:
        """An instance's reply."""
        if len(self.fields) != 2:
            raise ProtocolError("expected a round and an account in a reply")
        return AccountReply(self.lease, *self.fields)

    def _decode_integer(self, index: int) -> int:
        try:
            return int(self.fields[index])
        except (IndexError, TypeError, ValueError) as error:
            raise ProtocolError("expected an integer as fencing token or round") from error
