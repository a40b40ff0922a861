"""Keeps the records of the other members and selects members to probe or to send messages to.

Owns the records and the order of the current probe round. All random numbers come from the host,
so that a run can be repeated with the same seed.
"""

from collections.abc import Callable, Sequence

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.members import Member
from corkgauge.membership.messages import ALIVE, GONE, LEFT, SUSPECTED, UNKNOWN, MemberState

# A member that is gone or has left is probed in one of this many rounds on average.
ROUNDS_PER_GONE_PROBE = 4


class MemberTable:
    """The other members by name. `random_below(n)` returns a number from 0 to n - 1."""

    def __init__(
        self, local_name: str, codec: DatagramCodec, random_below: Callable[[int], int]
    ) -> None:
        self.members: dict[str, Member] = {}
        self.unknown_count = 0  # members in the state UNKNOWN
        self._local_name = local_name
        self._codec = codec
        self._random_below = random_below
        self._round: list[str] = []  # not yet probed in this round, the next one last

    def set_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Replace the set of members by (name, zone) of every member.

        The records of members that remain in the set are kept.
        """
        previous = self.members
        self.members = {}
        for name, zone in members:
            if name != self._local_name:
                member = previous.get(name) or Member(name, zone)
                member.zone = zone
                self.members[name] = member
        self.unknown_count = sum(member.state == UNKNOWN for member in self.members.values())
        self._round = [name for name in self._round if name in self.members]

    def list_present_members(self) -> list[Member]:
        """Return the other members in the state ALIVE or SUSPECTED, sorted by name."""
        present_states = (ALIVE, SUSPECTED)
        return sorted(
            (member for member in self.members.values() if member.state in present_states),
            key=lambda member: member.name,
        )

    def state_of(self, name: str) -> MemberState:
        """Return a member's state: ALIVE for the local member, GONE for an unknown name."""
        if name == self._local_name:
            return ALIVE
        member = self.members.get(name)
        return GONE if member is None else member.state

    def next_probe_target(self) -> Member | None:
        """Return the next member to probe, or None if there is no other member.

        Each round visits every member once, in random order. Members in the state GONE or LEFT are
        skipped in most rounds.
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
        """Return up to `count` random members in the state ALIVE with a known incarnation."""
        names = [
            member.name
            for member in self.members.values()
            if member is not excluded
            and member.state == ALIVE
            and self._codec.has_incarnation(member.name)
        ]
        return self._sample(names, count)

    def sample_members(self, count: int) -> list[Member]:
        """Return up to `count` random members in any state."""
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
