"""Ranks the candidates for a lease, from one instance's view of the fleet."""

from typing import TYPE_CHECKING

from corkgauge.leases import placement
from corkgauge.membership.member_list import ALIVE, SUSPECTED

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

VACANCY_NOTICE_COUNT = 2  # instances notified of a vacancy, in order of preference


class CandidateRanking:
    """Ranks candidates by the members that are alive or suspected and by the known holders."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service

    def rank_of(self, lease: str) -> int:
        """Return the rank of this instance: 0 for the candidate that should try first.

        The rank is the number of better candidates, at most `placement.MAX_RANK`. An overloaded
        instance adds the staggers of half a lease, so it tries after all others but still competes.
        If all instances are overloaded at once, for example after the machine was paused for a
        moment, and each stopped competing, nobody would hold the lease until they recovered.
        """
        service = self.service
        rank = placement.rank_of(
            lease, service.name, self._list_present_members(), self._get_known_holders()
        )
        if service.is_overloaded:
            rank += service.timing.lease_ticks // (2 * service.timing.stagger_ticks)
        return rank

    def list_successors(self, lease: str) -> list[str]:
        """Return the instances to notify first when this instance releases the lease."""
        others = [each for each in self._list_present_members() if each[0] != self.service.name]
        names = placement.preferred_order(lease, others, self._get_known_holders())
        return names[:VACANCY_NOTICE_COUNT]

    def _list_present_members(self) -> list[tuple[str, str]]:
        """Return name and zone of the instances that are alive or suspected, this instance last."""
        member_list = self.service.member_list
        present = [
            (member.name, member.zone)
            for member in member_list.members.values()
            if member.state in (ALIVE, SUSPECTED)
        ]
        return [*present, (self.service.name, member_list.zone)]

    def _get_known_holders(self) -> dict[str, str]:
        return {
            name: candidate.known_holder
            for name, candidate in self.service.candidates.items()
            if candidate.known_holder
        }
