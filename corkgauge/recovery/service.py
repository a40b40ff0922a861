"""Recovery of one program: what the host notifies it of, snapshots, and the lock on the folder.

It never waits for a disk once the program serves.
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

KEY_SCOPE_ALL_ZONES = "all"  # the key scope of classes whose idempotency keys all engines share


class RecoveryHost(Protocol):
    """What recovery needs of its host."""

    event_loop: EventLoop
    gateway: Any
    settings: Any
    request_classes: dict[str, Any]
    recovery: Any

    def log(self, line: str) -> None:
        """Write a line to the program's log."""


class RecoveryService:
    """Restores at the start, then logs attempts and keeps snapshots.

    `writer` is None where the folder cannot be had, and recovery is off.
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
        """Lock the folder, or log why recovery is off.

        Two programs in one folder would each take the other's attempts for its own.
        """
        folder = self.config.folder
        try:
            os.makedirs(folder, exist_ok=True)
            path = os.path.join(folder, f"{self.name}.lock")
            self.lock_descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            in_use = isinstance(problem, BlockingIOError)
            reason = "in use by another" if in_use else problem.strerror
            self.socket_host.log(f"recall off: {folder}: {reason}")
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
        # Without these records each later start would take the attempts for in doubt again.
        for attempt in in_doubt:
            self.writer.send_frame(RECORDS_FRAME, encode_finished(attempt.serial, True))
        self.socket_host.recovery = self
        self.event_loop.call_later(self.config.snapshot_interval_ticks, self.on_snapshot_timer)

    def _restore(self) -> list[LoggedAttempt]:
        """Restore what is stored; return the attempts that were in doubt, settled here by now."""
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

    # What the host notifies it of.

    def on_attempt_sending(self, attempt: Attempt, idempotency_key: str) -> int:
        """Log an attempt of a keyed or ordered request, before it is sent; return its serial."""
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
        """Bind a keyed request that may have run to where its key is known, and as long."""
        request_class = request.request_class
        now = self.event_loop.now
        known = self.attempts.find_deduplicated_attempts(request_class.name, idempotency_key, now)
        if not known or request_class.key_scope == KEY_SCOPE_ALL_ZONES:
            return
        request.earlier_attempts = [_as_earlier_attempt(each) for each in known]
        remembered_for = min(each.deduplicated_until for each in known) - now
        request.time_to_deadline = max(min(request.time_to_deadline, remembered_for), 1)

    # Snapshots.

    def on_snapshot_timer(self) -> None:
        """Keep a snapshot, and forget attempts that are settled and remembered by no engine.

        The state of a large fleet takes some milliseconds to gather; so it is copied in one turn of
        the loop, named in the next and packed in a third.
        """
        self.attempts.expire_attempts(self.event_loop.now)
        if self.socket_host.recovery is self:
            oldest = self.attempts.find_oldest_serial(self.last_serial + 1)
            self._send_frame(SERIALS_FRAME, SERIALS_BODY.pack(oldest, self.last_serial))
        state = copy_learned_state(self.socket_host.gateway)
        self.event_loop.call_later(1, self._encode_snapshot, self._build_header(), state)
        self.event_loop.call_later(self.config.snapshot_interval_ticks, self.on_snapshot_timer)

    def _build_header(self) -> dict[str, Any]:
        """Return the fields of a snapshot's body that say whose it is, and of when."""
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
        assert self.writer is not None  # the host is given a service that is on only
        self.writer.send_frame(frame_type, body)

    # The program's.

    def reload(self, config: RecoveryConfig) -> None:
        """Log a changed configuration as waiting for a restart.

        A folder that changes under an open log would leave attempts that nobody finds again.
        """
        if config != self.config:
            self.socket_host.log("operator file: recall changed, in force after a restart")

    def end(self) -> None:
        """Keep a last snapshot, and end the writer."""
        if self.writer is None:
            return
        self.writer.is_ending = True
        if self.writer.process is not None:
            state = copy_learned_state(self.socket_host.gateway)
            self._send_snapshot({**self._build_header(), **encode_learned_state(state)})
        self.writer.end()


def _as_earlier_attempt(logged: LoggedAttempt) -> Attempt:
    """Return a logged attempt as one of the gateway's; its request died with the program before."""
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
