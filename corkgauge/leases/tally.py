"""Counts the voters' replies in one round of a candidate."""

from corkgauge.leases.voter_configuration import VoterConfiguration


class Tally:
    """Records which voters accepted or rejected, and how long each is blocked by another grant.

    Callers pass the voter configuration to each method, because the configuration may change during
    a round.

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
        """Record a voter's reply, which replaces the voter's earlier reply.

        `blocked_ticks` is in ticks (tenths of a millisecond); None keeps the voter's last reported
        value.
        """
        self.accepted[voter] = is_accepted
        if blocked_ticks is not None:
            self.blocked_ticks[voter] = blocked_ticks

    def clear_acceptances(self) -> None:
        """Forget which voters accepted, but keep how long each voter is blocked."""
        self.accepted = {}

    def has_majority(self, configuration: VoterConfiguration) -> bool:
        """Return whether a majority of the voters has accepted."""
        return sum(self.accepted.values()) >= configuration.majority

    def is_majority_impossible(self, configuration: VoterConfiguration) -> bool:
        """Return whether so many voters have rejected that no majority can be reached."""
        rejection_count = len(self.accepted) - sum(self.accepted.values())
        return rejection_count > len(configuration.names) - configuration.majority

    def earliest_retry_ticks(self, configuration: VoterConfiguration, unanswered_ticks: int) -> int:
        """Return the ticks until enough voters may be free to form a majority.

        Voters without a reply are ordered after all others and count as blocked for
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
        """Return an independent copy with the same replies."""
        other = Tally()
        other.accepted = {**self.accepted}
        other.blocked_ticks = {**self.blocked_ticks}
        return other
