"""Lends leases to commands, and tracks which command runs under which lease until when.

Owns the loans and the times of the commands' last requests. A command never runs beyond the time
for which its lease was granted, so a loan is never revoked: the instance releases the lease after
the command has ended or the loan has expired.
"""

from typing import TYPE_CHECKING, Any, NamedTuple

from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.candidate import LeaseCandidate

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService


class Loan(NamedTuple):
    """A command under a lease; `until` is in ticks (tenths of a millisecond) since boot."""

    command: str
    until: int


class CommandLoans:
    """The loans of one instance, by lease."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service
        self.loans: dict[str, Loan] = {}
        self.last_requested_at: dict[str, int] = {}  # by lease, in ticks since boot
        # Reasons to release leases after their commands have ended, by lease.
        self.release_reasons: dict[str, str] = {}

    def is_lent(self, lease: str) -> bool:
        """Return whether a command runs under the lease."""
        return lease in self.loans

    def has_demand(self, lease: str) -> bool:
        """Return whether a command has recently requested the lease."""
        return lease in self.last_requested_at

    def get_command(self, lease: str) -> str:
        """Return the command that runs under the lease, or an empty string."""
        loan = self.loans.get(lease)
        return loan.command if loan is not None else ""

    def lend(self, candidate: LeaseCandidate, command: str) -> dict[str, Any]:
        """Handle a command's request for a lease or for more time; times in the reply are seconds.

        Raises ValueError for a lease that fleet accounts or another subsystem of the gateway uses.
        """
        service = self.service
        lease = candidate.lease
        if lease in service.collectors or lease in service.owners:
            # The command line recognizes this error by the word "own".
            raise ValueError(f"duty {lease!r} is the gateways' own; use a duty of kind run")
        loan = self.loans.get(lease)
        self.last_requested_at[lease] = service.now
        if not candidate.is_wanted and service.is_wanted(lease):
            candidate.set_wanted(True)
        is_ending = lease in self.release_reasons
        is_lent_to_other = loan is not None and loan.command != command
        if not candidate.may_act() or is_ending or is_lent_to_other:
            return {
                "held": False,
                "holder": candidate.known_holder,
                "in_use": self.get_command(lease),
            }
        self.loans[lease] = Loan(command, candidate.held_until)
        return {
            "held": True,
            "fence": candidate.fencing_token,
            "left": (candidate.held_until - service.now) / SECOND,
        }

    def finish(self, candidate: LeaseCandidate, command: str) -> dict[str, Any]:
        """End the loan of a command that has ended."""
        lease = candidate.lease
        if self.get_command(lease) == command:
            self.last_requested_at.pop(lease, None)
            candidate.set_wanted(False)
            self.release_reasons.setdefault(lease, "command has ended")
            self._on_loan_ended(lease)
        return {"held": False}

    def release_when_returned(self, lease: str, reason: str) -> None:
        """Release a lease after its command has ended; the command's next request is refused."""
        self.release_reasons[lease] = reason

    def forget(self, lease: str) -> None:
        """Drop the loan of a lease that is no longer held."""
        self.loans.pop(lease, None)
        self.release_reasons.pop(lease, None)

    def forget_lease(self, lease: str) -> None:
        """Drop all that is known of a lease that this instance no longer competes for."""
        self.forget(lease)
        self.last_requested_at.pop(lease, None)

    def expire(self, now: int) -> None:
        """End expired loans, and give up leases that no command requests any more."""
        for lease, loan in [*self.loans.items()]:
            if now >= loan.until:  # the command was killed or stopped requesting the lease
                self._on_loan_ended(lease)
        for lease, asked_at in [*self.last_requested_at.items()]:
            if now > asked_at + self.service.timing.lease_ticks and not self.is_lent(lease):
                del self.last_requested_at[lease]
                self.service.candidates[lease].set_wanted(False)
                self.service.hand_over(lease, "no command requests the lease")

    def _on_loan_ended(self, lease: str) -> None:
        """End the loan, and release the lease if a release was requested."""
        self.loans.pop(lease, None)
        if lease in self.release_reasons:
            self.service.release(lease, self.release_reasons.pop(lease))
