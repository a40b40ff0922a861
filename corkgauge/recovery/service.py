"""Recovery service of a gateway: restores state at start, logs attempts and takes snapshots.

Holds a lock on the gateway's files in the recovery folder. Once the gateway serves requests, the
service never waits for a disk: a separate process writes the files.
"""

import fcntl
import os
from typing import Any, Protocol

from corkgauge.accounting.checkpoint_file import safe_file_name
from corkgauge.config.operator_records import RecoveryConfig
from corkgauge.eventloop.clock import read_boot
from corkgauge.eventloop.loop import EventLoop
from corkgauge.policy.records import NEVER_RAN, Attempt, AttemptOutcome, Engine, Request
from corkgauge.recovery import snapshot
from corkgauge.recovery.attempt_log import AttemptLog
from corkgauge.recovery.attempt_records import LoggedAttempt, encode_finished, encode_sent
from corkgauge.recovery.learned_state import (
    LearnedStateCopy,
    copy_learned_state,
    encode_learned_state,
)
from corkgauge.recovery.log_writer import RECORDS_FRAME, SERIALS_BODY, SERIALS_FRAME, SNAPSHOT_FRAME
from corkgauge.recovery.restart import RestartRecovery
from corkgauge.recovery.writer_process import LogWriterProcess

KEY_SCOPE_ALL_ZONES = "all"  # the key scope of a request class whose keys all engines share


class RecoveryHost(Protocol):
    """Interface of the host of the recovery service."""

    event_loop: EventLoop
    gateway: Any
    settings: Any
    request_classes: dict[str, Any]
    recovery: Any

    def log(self, line: str) -> None:
        """Write a line to the log of the process."""


class RecoveryService:
    """Restores the stored state at start, then logs attempts and takes snapshots.

    `writer` is None if the folder cannot be used or locked; recovery is then off.
    """

    def __init__(
        self, socket_host: Any, gateway: str, settings_checksum: int, config: RecoveryConfig
    ) -> None:
        self.socket_host: RecoveryHost = socket_host
        self.event_loop = self.socket_host.event_loop
        self.config = config
        self.gateway = gateway
        self.settings_checksum = settings_checksum
        self.name = safe_file_name(gateway)
        self.attempts = AttemptLog()
        self.last_serial = 0
        self.writer: LogWriterProcess | None = None
        self.lock_descriptor = -1  # descriptor of the lock file
        if self._lock_folder():
            self._restore_and_start_writer()

    def _lock_folder(self) -> bool:
        """Lock this gateway's files in the folder, or log why recovery is off.

        Without the lock, two processes with the same gateway name and folder would each replay the
        other's attempts as their own.
        """
        folder = self.config.folder
        try:
            os.makedirs(folder, exist_ok=True)
            path = os.path.join(folder, f"{self.name}.lock")
            self.lock_descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            in_use = isinstance(problem, BlockingIOError)
            reason = (
                "in use by another process of this gateway name" if in_use else problem.strerror
            )
            self.socket_host.log(
                f"recall off: {folder}: {reason}; correct the folder, then restart"
            )
            if self.lock_descriptor >= 0:
                os.close(self.lock_descriptor)
                self.lock_descriptor = -1
            return False
        return True

    def _restore_and_start_writer(self) -> None:
        in_doubt = self._restore()
        self.writer = LogWriterProcess(
            self.event_loop, self.socket_host.log, self.config, self.name
        )
        self.writer.start()
        # Logs an outcome for each in-doubt attempt. Without these records each later start would
        # treat the attempts as in doubt again.
        for attempt in in_doubt:
            self.writer.send_frame(RECORDS_FRAME, encode_finished(attempt.serial, True))
        self.socket_host.recovery = self
        self.event_loop.call_later(self.config.snapshot_interval_ticks, self.on_snapshot_timer)

    def _restore(self) -> list[LoggedAttempt]:
        """Replay the attempt log and restore the newest usable snapshot.

        Returns the attempts that were in doubt. They are settled in memory, but not yet in the log.
        """
        boot_id, ticks_since_boot = read_boot()
        restart = RestartRecovery(
            socket_host=self.socket_host,
            config=self.config,
            gateway=self.gateway,
            name=self.name,
            settings_checksum=self.settings_checksum,
            now=self.event_loop.now,
            boot_id=boot_id,
            ticks_since_boot=ticks_since_boot,
        )
        in_doubt = restart.read_attempt_log(self.attempts)
        self.last_serial = max(self.attempts.by_serial, default=0)
        for attempt in in_doubt:
            attempt.is_in_doubt = False
        self.attempts.expire_attempts(restart.now, len(self.attempts))
        restart.restore_snapshot()
        return in_doubt

    # Notifications of the host.

    def on_attempt_sending(self, attempt: Attempt, idempotency_key: str) -> int:
        """Log an attempt of a keyed or ordered request before sending; return its log serial."""
        request, engine = attempt.request, attempt.engine
        self.last_serial += 1
        logged = LoggedAttempt(
            serial=self.last_serial,
            idempotency_key=idempotency_key,
            request_class=request.request_class.name,
            order_key=request.order_key,
            engine=engine.name,
            zone=engine.zone,
            cell=engine.cell,
            sent_at=attempt.sent_at,
            deduplicated_until=attempt.sent_at + request.request_class.key_ttl,
        )
        self.attempts.add_sent_attempt(logged)
        self._send_frame(RECORDS_FRAME, encode_sent(logged))
        return self.last_serial

    def on_attempt_finished(self, serial: int, outcome: int) -> None:
        """Log the outcome of an attempt."""
        may_have_run = outcome not in NEVER_RAN
        self.attempts.record_outcome(serial, may_have_run)
        self._send_frame(RECORDS_FRAME, encode_finished(serial, may_have_run))

    def restrict_retry(self, request: Request, idempotency_key: str) -> None:
        """Restrict a keyed request that may have run before to engines that know its key.

        The deadline of the request is brought forward to the time at which the first of these
        engines forgets the key. A key that all engines share needs no restriction.
        """
        request_class = request.request_class
        now = self.event_loop.now
        logged_attempts = self.attempts.find_deduplicated_attempts(
            request_class.name, idempotency_key, now
        )
        if not logged_attempts or request_class.key_scope == KEY_SCOPE_ALL_ZONES:
            return
        request.earlier_attempts = [_to_earlier_attempt(each) for each in logged_attempts]
        remembered_for = min(each.deduplicated_until for each in logged_attempts) - now
        request.time_to_deadline = max(min(request.time_to_deadline, remembered_for), 1)

    # Snapshots.

    def on_snapshot_timer(self) -> None:
        """Take a snapshot, and forget settled attempts whose key no engine remembers any more.

        Collecting the state of a large fleet takes some milliseconds. To keep each turn of the
        event loop short, the state is copied in one turn, converted to the snapshot's fields in the
        next and packed in a third.
        """
        self.attempts.expire_attempts(self.event_loop.now)
        # Skipped if the host refers to another recovery service or to none.
        if self.socket_host.recovery is self:
            oldest = self.attempts.find_oldest_serial(self.last_serial + 1)
            self._send_frame(SERIALS_FRAME, SERIALS_BODY.pack(oldest, self.last_serial))
        state = copy_learned_state(self.socket_host.gateway)
        self.event_loop.call_later(1, self._encode_snapshot, self._build_header(), state)
        self.event_loop.call_later(self.config.snapshot_interval_ticks, self.on_snapshot_timer)

    def _build_header(self) -> dict[str, Any]:
        """Return the snapshot fields that identify the gateway, the settings and the time."""
        boot_id, ticks_since_boot = read_boot()
        return {
            "gateway": self.gateway,
            "mark": self.settings_checksum,
            "at": self.event_loop.now,
            "boot": boot_id,
            "since_boot": ticks_since_boot,
        }

    def _encode_snapshot(self, header: dict[str, Any], state: LearnedStateCopy) -> None:
        body = {**header, **encode_learned_state(state)}
        self.event_loop.call_later(1, self._send_snapshot, body)

    def _send_snapshot(self, body: dict[str, Any]) -> None:
        self._send_frame(SNAPSHOT_FRAME, snapshot.encode(body))

    def _send_frame(self, frame_type: bytes, body: bytes) -> None:
        assert self.writer is not None  # the host gets a reference to an active service only
        self.writer.send_frame(frame_type, body)

    # Lifecycle of the process.

    def reload(self, config: RecoveryConfig) -> None:
        """Log that a changed configuration takes effect after a restart.

        Changing the folder of an open log would leave logged attempts in the old folder, where no
        later start would find them.
        """
        if config != self.config:
            self.socket_host.log("operator file: recall changed, in force after a restart")

    def end(self) -> None:
        """Take a last snapshot, and stop the log writer."""
        if self.writer is None:
            return
        self.writer.is_ending = True
        if self.writer.process is not None:
            state = copy_learned_state(self.socket_host.gateway)
            self._send_snapshot({**self._build_header(), **encode_learned_state(state)})
        self.writer.end()


def _to_earlier_attempt(logged: LoggedAttempt) -> Attempt:
    """Convert a logged attempt to an attempt of the gateway that ended in a connection reset.

    The attempt has no request, because the request was lost with the previous process. Its number
    and durations are unknown and hold placeholder values.
    """
    engine = Engine(logged.engine, b"", logged.zone, 0, logged.cell)
    return Attempt(
        None,  # type: ignore[arg-type]
        engine,
        -1,
        logged.sent_at,
        1.0,
        1.0,
        False,
        outcome=AttemptOutcome.CONNECTION_RESET,
    )
