"""Recovery at start: replays the attempt log and restores the newest usable snapshot."""

import os
from dataclasses import dataclass
from typing import Any

from corkgauge.config.operator_records import RecoveryConfig
from corkgauge.eventloop.loop import SECOND
from corkgauge.recovery import snapshot
from corkgauge.recovery.attempt_log import AttemptLog
from corkgauge.recovery.attempt_records import LoggedAttempt, read_records
from corkgauge.recovery.decay import UNKNOWN_AGE, snapshot_age
from corkgauge.recovery.learned_state import RestoredCounts, restore_learned_state
from corkgauge.recovery.log_writer import MAX_SEGMENT_BYTES, MAX_SEGMENT_COUNT, list_segments

MAX_LOG_BYTES = MAX_SEGMENT_COUNT * MAX_SEGMENT_BYTES  # read at a start, newest segments first

# Errors that a snapshot with a valid checksum but a malformed body raises during restore.
MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, IndexError)


@dataclass(frozen=True, slots=True)
class RestartRecovery:
    """Recovery of one gateway start; `name` is the gateway's name, made safe for file names."""

    socket_host: Any
    config: RecoveryConfig
    gateway: str
    name: str
    settings_checksum: int
    now: int  # ticks since 1970
    boot_id: str
    ticks_since_boot: int

    def read_attempt_log(self, attempts: AttemptLog) -> list[LoggedAttempt]:
        """Replay the log and hold the order keys of in-doubt attempts; return these attempts."""
        for path, size in self._segments_to_read():
            self._replay_segment(attempts, path, size)
        in_doubt = attempts.find_in_doubt_attempts()
        self._hold_order_keys(in_doubt)
        if len(attempts):
            self.socket_host.log(f"recall: effects={len(attempts)} unsettled={len(in_doubt)}")
        return in_doubt

    def _segments_to_read(self) -> list[tuple[str, int]]:
        """Return path and size of the newest segments up to MAX_LOG_BYTES, oldest first."""
        bytes_left = MAX_LOG_BYTES
        chosen: list[tuple[str, int]] = []
        folder = self.config.folder
        for _, path in reversed(list_segments(folder, self.name, os.listdir(folder))):
            size = os.path.getsize(path)
            if size > bytes_left:
                self.socket_host.log(
                    f"recall: {path} has {size} bytes, more than are read beside the newer "
                    "segments; this and all older segments are passed over, the attempts in them "
                    "are not known"
                )
                break
            bytes_left -= size
            chosen.append((path, size))
        return chosen[::-1]

    def _replay_segment(self, attempts: AttemptLog, path: str, size: int) -> None:
        """Replay one segment.

        Segments are read one at a time, because all segments together may not fit into memory.
        """
        with open(path, "rb") as file:
            data = file.read(size)
        for body, end, damage in read_records(data):
            if body is not None:
                attempts.replay_record(body)
            elif damage:
                self.socket_host.log(
                    f"recall: {path} has {damage} at {end}, no record after this byte is replayed"
                )

    def _hold_order_keys(self, in_doubt: list[LoggedAttempt]) -> None:
        """Hold the order key of each in-doubt attempt, as after a connection reset.

        The attempt may still run, and the next request with the same order key would run
        concurrently. The attempt lost its connection at the latest when the previous process ended,
        so holding the key for the settle time from now is enough.
        """
        gateway = self.socket_host.gateway
        ordered = {each.name for each in self.socket_host.settings.request_classes if each.ordered}
        for attempt in in_doubt:
            if attempt.order_key and attempt.request_class in ordered:
                gateway.hold_order_key(attempt.order_key, self.now + gateway.options.settle_ticks)

    def restore_snapshot(self) -> None:
        """Restore the decayed learned state of the newest usable snapshot, if there is one."""
        paths = [os.path.join(self.config.folder, f"{self.name}.recall")]
        paths += [f"{paths[0]}.{number}" for number in range(1, self.config.snapshots_kept)]
        for path in paths:
            if self._restore_file(path):
                return

    def _restore_file(self, path: str) -> bool:
        """Restore one snapshot file; log the reason and return False if the file is unusable.

        A missing file is not logged.
        """
        try:
            with open(path, "rb") as file:
                data = file.read(snapshot.MAX_SNAPSHOT_BYTES + 1)
            body = snapshot.decode(data, self.gateway, self.settings_checksum)
            age = snapshot_age(body, self.now, self.boot_id, self.ticks_since_boot)
            counts = restore_learned_state(
                body, self.socket_host.gateway, self.socket_host.request_classes, self.now, age
            )
        except FileNotFoundError:
            return False
        except (OSError, snapshot.UnusableSnapshotError) as problem:
            reason = getattr(problem, "strerror", None) or problem
            self.socket_host.log(f"recall: {path}: snapshot passed over: {reason}")
            return False
        except MALFORMED_BODY_ERRORS as problem:
            self.socket_host.log(
                f"recall: {path}: snapshot passed over: malformed body ({type(problem).__name__})"
            )
            return False
        self._log_restored(counts, age)
        return True

    def _log_restored(self, counts: RestoredCounts, age: float) -> None:
        seconds = "unknown" if age == UNKNOWN_AGE else f"{age / SECOND:.1f}"
        self.socket_host.log(
            f"recall: engines={counts.engines} offerings={counts.request_classes} "
            f"queues={counts.queues} age={seconds}"
        )
