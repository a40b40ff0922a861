"""Tracks when granted requests were sent, which determines how long a lease is held."""

MAX_SENT_REQUESTS = 64  # requests whose send time is kept


class GrantTimes:
    """The send times of a candidate's grant requests, and the latest request granted by each voter.

    Times are in the caller's unit. A holding period counts from the latest time for which a
    majority of voters has granted a request that was sent then or later. Voters count a grant from
    a later time, so a slow reply shortens the holding period and never extends it beyond the grant.

    >>> grants = GrantTimes()
    >>> grants.record_request(1, 100)
    >>> grants.record_request(2, 150)
    >>> grants.record_grant("a", 1)
    >>> grants.majority_since(2) is None
    True
    >>> grants.record_grant("b", 2)
    >>> grants.majority_since(2)
    100
    >>> grants.record_grant("a", 2)
    >>> grants.majority_since(2)
    150
    """

    def __init__(self) -> None:
        self.sent_at: dict[int, int] = {}  # send time by serial of the request
        self.granted_at: dict[str, int] = {}  # send time of the latest granted request, by voter

    def record_request(self, serial: int, now: int) -> None:
        """Record the send time of a request, before the request is sent."""
        self.sent_at[serial] = now

    def forget_oldest_requests(self) -> None:
        """Keep only the latest requests; replies to older requests are ignored."""
        while len(self.sent_at) > MAX_SENT_REQUESTS:
            del self.sent_at[next(iter(self.sent_at))]

    def is_request_known(self, serial: int) -> bool:
        """Return whether a reply with this serial counts."""
        return serial in self.sent_at

    def record_grant(self, voter: str, serial: int) -> None:
        """Record a voter's grant; replies may arrive out of order."""
        self.granted_at[voter] = max(self.sent_at[serial], self.granted_at.get(voter, 0))

    def majority_since(self, majority: int) -> int | None:
        """Return the time from which a holding period counts, or None without a majority."""
        if len(self.granted_at) < majority:
            return None
        return sorted(self.granted_at.values(), reverse=True)[majority - 1]

    def forget_grants(self) -> None:
        """Forget all grants, but keep the send times of requests."""
        self.granted_at.clear()

    def copy(self) -> "GrantTimes":
        """Return an independent copy with the same requests and grants."""
        other = GrantTimes()
        other.sent_at = {**self.sent_at}
        other.granted_at = {**self.granted_at}
        return other
