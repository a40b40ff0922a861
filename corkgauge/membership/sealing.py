"""Keys that authenticate datagrams, and windows that detect replayed datagrams."""

from cryptography.hazmat.primitives import constant_time, hashes, hmac

SEAL_BYTES = 16
MIN_KEY_BYTES = 32
REPLAY_WINDOW = 256  # counters, up to the highest one, whose arrival is tracked


class Key:
    """A shared secret of at least MIN_KEY_BYTES, with a public key number.

    The key number, a hash octet of the secret, selects the key that verifies a datagram.

    Raises:
        ValueError: The secret is shorter than MIN_KEY_BYTES.
    """

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MIN_KEY_BYTES:
            raise ValueError(f"key: expected {MIN_KEY_BYTES} octets or more, found {len(secret)}")
        self._unused_hmac = hmac.HMAC(secret, hashes.SHA256())
        digest = hashes.Hash(hashes.SHA256())
        digest.update(b"corkgauge key" + secret)
        self.number = digest.finalize()[0]

    def seal(self, data: bytes) -> bytes:
        """Return the truncated HMAC of the data."""
        authenticator = self._unused_hmac.copy()
        authenticator.update(data)
        return authenticator.finalize()[:SEAL_BYTES]

    def is_valid_seal(self, data: bytes, seal: bytes) -> bool:
        """Return whether the seal was made with this key for the data."""
        # Constant time: a comparison that stops at the first difference reveals by its duration how
        # many octets of a forged seal are correct.
        return constant_time.bytes_eq(self.seal(data), seal)


class ReplayWindow:
    """Anti-replay window over the counters of one sender.

    The algorithm is that of RFC 4303, section 3.4.3, with a wider mask.

    >>> window = ReplayWindow()
    >>> [window.accept(each) for each in (5, 3, 5, 3, 4, 300, 44, 45, 300)]
    [True, True, False, False, True, True, False, True, False]
    """

    __slots__ = ("highest", "mask")

    def __init__(self) -> None:
        self.highest = 0
        self.mask = 0

    def accept(self, counter: int) -> bool:
        """Record the counter; return False if it was recorded before or is below the window."""
        if counter > self.highest:
            shift = min(counter - self.highest, REPLAY_WINDOW)
            self.mask = (self.mask << shift | 1) & (1 << REPLAY_WINDOW) - 1
            self.highest = counter
            return True
        age = self.highest - counter
        bit = 1 << age
        # A counter below the window cannot be distinguished from a replay.
        if age >= REPLAY_WINDOW or self.mask & bit:
            return False
        self.mask |= bit
        return True
