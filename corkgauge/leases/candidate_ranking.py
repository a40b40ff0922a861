"""Who should try for a lease first, as one instance sees the fleet."""

from typing import TYPE_CHECKING

from corkgauge.leases import placement
from corkgauge.membership.member_list import ALIVE, SUSPECTED

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

VACANCY_NOTICE_COUNT = 2  # to the next in order


class CandidateRanking:
    """The order of candidates, by who is there and who is known to hold what."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service

    def rank_of(self, lease: str) -> int:
        """Return how many others should try first.

        Where all are overloaded at once, as on a machine that stood still for a moment, nobody
        would hold the lease for as long as each stays away: an overloaded instance tries last, and
        still tries.
        """
        service = self.service
        rank = placement.rank_of(lease, service.name, self._present(), self._known_holders())
        if service.is_overloaded:
            rank += service.timing.lease_ticks // (2 * service.timing.stagger_ticks)
        return rank

    def successors(self, lease: str) -> list[str]:
        """Return the instances that are told first of a lease that is given back."""
        others = [each for each in self._present() if each[0] != self.service.name]
        names = placement.preferred_order(lease, others, self._known_holders())
        return names[:VACANCY_NOTICE_COUNT]

    def _present(self) -> list[tuple[str, str]]:
        """Name and zone of the instances that are there, ourselves last."""
        member_list = self.service.member_list
        present = [
            (member.name, member.zone)
            for member in member_list.members.values()
            if member.state in (ALIVE, SUSPECTED)
        ]
        return [*present, (self.service.name, member_list.zone)]

    def _known_holders(self) -> dict[str, str]:
        return {
            name: candidate.known_holder
            for name, candidate in self.service.candidates.items()
            if candidate.known_holder
        }
