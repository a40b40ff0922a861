"""The table of the other members, and the draws from it: whom to probe next, whom to ask for help.

Owns the records and the order of the present round of probes. All draws are the host's, so that a
seed repeats a run.
"""

from collections.abc import Callable, Sequence

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.members import Member
from corkgauge.membership.messages import ALIVE, GONE, LEFT, SUSPECTED, UNKNOWN, MemberState

ROUNDS_PER_GONE_PROBE = 4  # one in so many turns of a member that is gone is used to probe it


class MemberTable:
    """The others by name. `random_below(n)` gives a number from 0 to below n."""

    def __init__(
        self, local_name: str, codec: DatagramCodec, random_below: Callable[[int], int]
    ) -> None:
        self.members: dict[str, Member] = {}
        self.unknown_count = 0  # members whose incarnation nobody has told yet
        self._local_name = local_name
        self._codec = codec
        self._random_below = random_below
        self._round: list[str] = []  # those still to be probed in this round, the next one last

    def set_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Take (name, zone) of all; what is known of those that stay is kept."""
        previous = self.members
        self.members = {}
        for name, zone in members:
            if name != self._local_name:
                member = previous.get(name) or Member(name, zone)
                member.zone = zone
                self.members[name] = member
        self.unknown_count = sum(member.state == UNKNOWN for member in self.members.values())
        self._round = [name for name in self._round if name in self.members]

    def alive(self) -> list[Member]:
        """Return those that are alive or only suspected, by name."""
        living = (ALIVE, SUSPECTED)
        return sorted(
            (member for member in self.members.values() if member.state in living),
            key=lambda member: member.name,
        )

    def state_of(self, name: str) -> MemberState:
        """Return the state of a member; this one is alive, one that is no member is gone."""
        if name == self._local_name:
            return ALIVE
        member = self.members.get(name)
        return GONE if member is None else member.state

    def next_probe_target(self) -> Member | None:
        """Return each member once a round, in an order by chance, those that are gone more seldom.

        None where there is no other member.
        """
        member = None
        for _ in range(2 * ROUNDS_PER_GONE_PROBE):
            if not self._round:
                self._round = self._shuffled([*self.members])
                if not self._round:
                    return None
            member = self.members[self._round.pop()]
            has_ended = member.state in (GONE, LEFT)
            if not has_ended or not self._random_below(ROUNDS_PER_GONE_PROBE):
                return member
        return member

    def sample_alive_members(self, count: int, excluded: Member | None = None) -> list[Member]:
        """Return up to so many that are alive and may be written to, by chance."""
        names = [
            member.name
            for member in self.members.values()
            if member is not excluded
            and member.state == ALIVE
            and self._codec.has_incarnation(member.name)
        ]
        return self._sample(names, count)

    def sample_members(self, count: int) -> list[Member]:
        """Return up to so many, by chance, in whatever state."""
        return self._sample([*self.members], count)

    def _sample(self, names: list[str], count: int) -> list[Member]:
        drawn: list[Member] = []
        while names and len(drawn) < count:
            index = self._random_below(len(names))
            drawn.append(self.members[names[index]])
            names[index] = names[-1]
            names.pop()
        return drawn

    def _shuffled(self, names: list[str]) -> list[str]:
        for index in range(len(names) - 1, 0, -1):
            other = self._random_below(index + 1)
            names[index], names[other] = names[other], names[index]
        return names
