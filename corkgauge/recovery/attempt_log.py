"""In-memory state of the attempt log: attempts that may have run, by serial and idempotency key.

Does no I/O. Callers pass the current time in ticks (tenths of a millisecond) since 1970. The number
of attempts in memory is bounded, whatever the log contains.

As in any write-ahead log, the record of an attempt comes first: the gateway passes the record to
the log writer before it sends the attempt. If the process is killed between the two, the log
contains an attempt that was never sent, which only makes later decisions stricter. In the reverse
order, an attempt that ran could be missing from the log. An attempt that ran can still be missing
if its record was lost, for example because the pipe to the log writer was full, or in a power
failure.
"""

from itertools import islice
from typing import Any

from corkgauge.errors import CorruptedFileError
from corkgauge.recovery.attempt_records import LoggedAttempt, decode_body

MAX_ATTEMPT_COUNT = 100_000  # in memory; the oldest attempts beyond this number are forgotten
MAX_EXAMINED_COUNT = 1000  # attempts examined in one call


class AttemptLog:
    """Attempts that may have run; the attempts without a known outcome are in doubt."""

    def __init__(self) -> None:
        self.by_serial: dict[int, LoggedAttempt] = {}
        # Attempts by serial, by (request class, idempotency key).
        self.by_idempotency_key: dict[tuple[str, str], dict[int, LoggedAttempt]] = {}

    def __len__(self) -> int:
        return len(self.by_serial)

    def add_sent_attempt(self, attempt: LoggedAttempt) -> None:
        """Add an attempt that is about to be sent; it is in doubt until an outcome is recorded."""
        self.by_serial[attempt.serial] = attempt
        key = (attempt.request_class, attempt.idempotency_key)
        self.by_idempotency_key.setdefault(key, {})[attempt.serial] = attempt
        # Without this limit, a log that grows forever or a corrupted log would fill the memory.
        while len(self.by_serial) > MAX_ATTEMPT_COUNT:
            self._forget_attempt(next(iter(self.by_serial.values())))

    def record_outcome(self, serial: int, may_have_run: bool) -> None:
        """Settle an attempt; forget an attempt that never ran, which frees its idempotency key."""
        attempt = self.by_serial.get(serial)
        if attempt is None:
            return
        attempt.is_in_doubt = False
        if not may_have_run:
            self._forget_attempt(attempt)

    def replay_record(self, body: list[Any]) -> bool:
        """Replay the body of a record; return False and change nothing if the body is invalid."""
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
        """Return the attempts whose key engines still remember, the oldest first."""
        attempts = self.by_idempotency_key.get((request_class, idempotency_key), {})
        return [each for each in attempts.values() if now < each.deduplicated_until]

    def expire_attempts(self, now: int, max_attempts: int = MAX_EXAMINED_COUNT) -> None:
        """Forget settled attempts that no engine remembers, among the oldest `max_attempts`."""
        for attempt in list(islice(self.by_serial.values(), max_attempts)):
            if now >= attempt.deduplicated_until and not attempt.is_in_doubt:
                self._forget_attempt(attempt)

    def find_oldest_serial(self, default: int) -> int:
        """Return the serial of the oldest attempt in memory, or `default` if there is none."""
        return next(iter(self.by_serial), default)

    def find_in_doubt_attempts(self) -> list[LoggedAttempt]:
        """Return the attempts without a known outcome.

        After a restart the gateway holds the order keys of these attempts.
        """
        return [attempt for attempt in self.by_serial.values() if attempt.is_in_doubt]

    def _forget_attempt(self, attempt: LoggedAttempt) -> None:
        del self.by_serial[attempt.serial]
        key = (attempt.request_class, attempt.idempotency_key)
        attempts = self.by_idempotency_key[key]
        del attempts[attempt.serial]
        if not attempts:
            del self.by_idempotency_key[key]
