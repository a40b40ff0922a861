"""The voters' answers in one round of a candidate."""

from corkgauge.leases.voter_configuration import VoterConfiguration


class Tally:
    """Who accepted, who refused, and how long each is still bound by a grant to another.

    The voter configuration is handed in each time, as it may change within a round.

    >>> tally, configuration = Tally(), VoterConfiguration(1, "abc")
    >>> tally.record("a", is_accepted=False, blocked_ticks=400)
    >>> tally.record("b", is_accepted=True)
    >>> tally.has_majority(configuration), tally.is_majority_impossible(configuration)
    (False, False)
    >>> tally.record("c", is_accepted=False, blocked_ticks=100)
    >>> tally.is_majority_impossible(configuration), tally.earliest_retry_ticks(configuration, 50)
    (True, 100)
    """

    def __init__(self) -> None:
        self.accepted: dict[str, bool] = {}
        self.blocked_ticks: dict[str, int] = {}

    def record(self, voter: str, is_accepted: bool, blocked_ticks: int | None = None) -> None:
        """Count a voter's answer; its last one counts.

        `blocked_ticks` is in tenths of a millisecond; None: as it was last reported.
        """
        self.accepted[voter] = is_accepted
        if blocked_ticks is not None:
            self.blocked_ticks[voter] = blocked_ticks

    def clear_acceptances(self) -> None:
        """Forget who accepted. How long each voter is bound stays known."""
        self.accepted = {}

    def has_majority(self, configuration: VoterConfiguration) -> bool:
        """Return whether enough voters have accepted."""
        return sum(self.accepted.values()) >= configuration.majority

    def is_majority_impossible(self, configuration: VoterConfiguration) -> bool:
        """Return whether so many have refused that no majority is left."""
        refusals = len(self.accepted) - sum(self.accepted.values())
        return refusals > len(configuration.names) - configuration.majority

    def earliest_retry_ticks(self, configuration: VoterConfiguration, unanswered_ticks: int) -> int:
        """Return how long until so many voters are free that they may be a majority.

        Voters that have not answered are counted after all others, as bound for
        `unanswered_ticks`.
        """
        waits = [
            0 if is_accepted else self.blocked_ticks[voter]
            for voter, is_accepted in self.accepted.items()
        ]
        waits.sort()
        waits += [unanswered_ticks] * (len(configuration.names) - len(waits))
        return waits[configuration.majority - 1]

    def copy(self) -> "Tally":
        """Return another tally with the same answers."""
        other = Tally()
        other.accepted = {**self.accepted}
        other.blocked_ticks = {**self.blocked_ticks}
        return other
