"""When the grant requests were written that voters have granted: how long a lease is held."""

MAX_SENT_REQUESTS = 64  # whose time of writing is remembered


class GrantTimes:
    """A candidate's grant requests, and what each voter has granted; times as the caller has them.

    A lease is held from when a majority's last granted requests were all written, as voters count
    from later: whatever the replies take is lost, and never held too long.

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
        self.sent_at: dict[int, int] = {}  # by serial of a request
        self.granted_at: dict[str, int] = {}  # by voter: when its last granted request was written

    def record_request(self, serial: int, now: int) -> None:
        """Remember a request that is about to be written."""
        self.sent_at[serial] = now

    def forget_oldest_requests(self) -> None:
        """Keep the last requests only: replies to older ones count for nothing."""
        while len(self.sent_at) > MAX_SENT_REQUESTS:
            del self.sent_at[next(iter(self.sent_at))]

    def is_request_known(self, serial: int) -> bool:
        """Return whether a reply under this serial counts."""
        return serial in self.sent_at

    def record_grant(self, voter: str, serial: int) -> None:
        """Count a voter's grant; replies may come out of order."""
        self.granted_at[voter] = max(self.sent_at[serial], self.granted_at.get(voter, 0))

    def majority_since(self, majority: int) -> int | None:
        """Return since when a majority's last grants all run, or None if there is no majority."""
        if len(self.granted_at) < majority:
            return None
        return sorted(self.granted_at.values(), reverse=True)[majority - 1]

    def forget_grants(self) -> None:
        """Forget what voters granted, but not what was requested."""
        self.granted_at.clear()

    def copy(self) -> "GrantTimes":
        """Return another one with the same requests and grants."""
        other = GrantTimes()
        other.sent_at = {**self.sent_at}
        other.granted_at = {**self.granted_at}
        return other
