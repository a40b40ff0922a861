"""What the attempt log says: the attempts that may have run, by serial and by idempotency key.

Free of I/O; the clock is handed in, in ticks (tenths of a millisecond) since 1970. Bounded,
whatever the log claims.

The record of an attempt is written before the attempt is sent. After a kill between the two the
log names one that never left, which is only stricter; the other way round, one that ran would be
unknown.
"""

from itertools import islice
from typing import Any

from corkgauge.errors import CorruptedFileError
from corkgauge.recovery.attempt_records import LoggedAttempt, decode_body

MAX_ATTEMPT_COUNT = 100_000  # held; beyond it the oldest are forgotten
MAX_EXPIRED_COUNT = 1000


class AttemptLog:
    """The attempts that may have run, and those among them in doubt: without a known outcome."""

    def __init__(self) -> None:
        self.by_serial: dict[int, LoggedAttempt] = {}
        # By request class and idempotency key.
        self.by_idempotency_key: dict[tuple[str, str], dict[int, LoggedAttempt]] = {}

    def __len__(self) -> int:
        return len(self.by_serial)

    def add_sent_attempt(self, attempt: LoggedAttempt) -> None:
        """Add an attempt that is about to be sent."""
        self.by_serial[attempt.serial] = attempt
        key = (attempt.request_class, attempt.idempotency_key)
        self.by_idempotency_key.setdefault(key, {})[attempt.serial] = attempt
        # A log without end, or one that claims to be, would fill the memory.
        while len(self.by_serial) > MAX_ATTEMPT_COUNT:
            self._forget(next(iter(self.by_serial.values())))

    def record_outcome(self, serial: int, may_have_run: bool) -> None:
        """Settle an attempt; one that never ran is forgotten, and its idempotency key free."""
        attempt = self.by_serial.get(serial)
        if attempt is None:
            return
        attempt.is_in_doubt = False
        if not may_have_run:
            self._forget(attempt)

    def replay_record(self, body: list[Any]) -> bool:
        """Replay a record's body; return False, and change nothing, if it makes no sense."""
        try:
            entry = decode_body(body)
        except CorruptedFileError:
            return False
        if isinstance(entry, LoggedAttempt):
            self.add_sent_attempt(entry)
        else:
            self.record_outcome(entry.serial, entry.may_have_run)
        return True

    def find_deduplicated_attempts(
        self, request_class: str, idempotency_key: str, now: int
    ) -> list[LoggedAttempt]:
        """Return the attempts under a key that engines still remember, the oldest first."""
        attempts = self.by_idempotency_key.get((request_class, idempotency_key), {})
        return [each for each in attempts.values() if now < each.deduplicated_until]

    def expire_attempts(self, now: int, max_attempts: int = MAX_EXPIRED_COUNT) -> None:
        """Forget settled attempts that no engine remembers; looks at so many of the oldest."""
        for attempt in list(islice(self.by_serial.values(), max_attempts)):
            if now >= attempt.deduplicated_until and not attempt.is_in_doubt:
                self._forget(attempt)

    def find_oldest_serial(self, default: int) -> int:
        """Return the lowest serial that still counts, or the default if none does."""
        return next(iter(self.by_serial), default)

    def find_in_doubt_attempts(self) -> list[LoggedAttempt]:
        """Return the attempts without an outcome; after a restart their order keys are held."""
        return [attempt for attempt in self.by_serial.values() if attempt.is_in_doubt]

    def _forget(self, attempt: LoggedAttempt) -> None:
        del self.by_serial[attempt.serial]
        key = (attempt.request_class, attempt.idempotency_key)
        attempts = self.by_idempotency_key[key]
        del attempts[attempt.serial]
        if not attempts:
            del self.by_idempotency_key[key]
