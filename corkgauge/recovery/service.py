"""Recall of one program: the helper that writes, what is read at a start, and what the host tells.

Owns the pipe to the helper and the lock on the folder. Must never wait for a disk once the program serves,
and never claim that anything is kept which the pipe did not take.
"""

import fcntl
import os
import subprocess
import sys
from typing import Any

from corkgauge.accounting.checkpoint_file import safe
from corkgauge.config.operator_file import RecoveryConfig
from corkgauge.eventloop.clock import boot_of
from corkgauge.eventloop.loop import READ, SECOND
from corkgauge.policy.records import NEVER_RAN, Attempt, AttemptOutcome, Engine
from corkgauge.recovery import attempt_log as effects
from corkgauge.recovery import learned_state as learned
from corkgauge.recovery import log_writer as writer
from corkgauge.recovery import snapshot
from corkgauge.recovery.decay import age_of, inf
from corkgauge.recovery.log_writer import (
    EFFECT,
    FLOOR,
    FRAME,
    SEGMENT,
    SEGMENTS,
    SERIALS,
    SNAPSHOT,
    segments,
)

PIPE = 2**20  # octets that the pipe is asked to hold
MOST_LOG = SEGMENTS * SEGMENT  # octets of the log that are read at a start, a segment at a time
AGAIN = 5 * SECOND  # until a helper that ended is started again
ALL_HALLS = "all"


class RecoveryService:
    """`house` has `hub`, `gateway`, `stated`, `ledger` and `log`."""

    def __init__(self, socket_host: Any, gateway: str, mark: int, said: RecoveryConfig) -> None:
        self.socket_host, self.event_loop, self.said, self.gateway, self.mark = (
            socket_host,
            socket_host.event_loop,
            said,
            gateway,
            mark,
        )
        self.name = safe(gateway)
        self.effects = effects.AttemptLog()
        self.serial = 0
        self.helper: subprocess.Popen | None = None
        self.ending = False
        self.gap = 0  # frames that the pipe did not take
        self.lock = -1
        self.unwritten = bytearray()  # the rest of a frame that the pipe took a part of
        try:
            os.makedirs(said.folder, exist_ok=True)
            self.lock = os.open(self._path("lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
            # Danger: two programs in one folder would each take the other's effects for its own.
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            why = "in use by another" if isinstance(problem, BlockingIOError) else problem.strerror
            socket_host.log(f"recall off: {said.folder}: {why}")
            if self.lock >= 0:
                os.close(self.lock)
                self.lock = -1
            return
        closed = self._recall()
        self._start()
        for effect in closed:  # else each later start would take them for unsettled again
            self._put(EFFECT, effects.over(effect.serial, True))
        socket_host.recall = self
        self.event_loop.call_later(said.snapshot_interval_ticks, self.keep)

    def _path(self, end: str) -> str:
        return os.path.join(self.said.folder, f"{self.name}.{end}")

    # At a start.

    def _recall(self) -> list[effects.LoggedAttempt]:
        """The effects that were unsettled."""
        now, (boot, since_boot) = self.event_loop.now, boot_of()
        unsettled = self._read_effects(now)
        for path in (
            self._path("recall"),
            *(self._path(f"recall.{n}") for n in range(1, self.said.snapshots_kept)),
        ):
            try:
                with open(path, "rb") as file:
                    said = snapshot.read(file.read(snapshot.LARGEST + 1), self.gateway, self.mark)
                age = age_of(said, now, boot, since_boot)
                counts = learned.recalled(
                    said, self.socket_host.gateway, self.socket_host.request_classes, now, age
                )
            except FileNotFoundError:
                continue
            except (OSError, snapshot.UnusableSnapshotError) as problem:
                why = getattr(problem, "strerror", None) or problem
                self.socket_host.log(f"recall: {path} is {why}, passed over")
                continue
            except (KeyError, TypeError, ValueError, AttributeError, IndexError) as problem:
                self.socket_host.log(
                    f"recall: {path} makes no sense ({type(problem).__name__}), passed over"
                )
                continue
            old = "unknown" if age == inf else f"{age / SECOND:.1f}"
            self.socket_host.log(
                f"recall: engines={counts['engines']} offerings={counts['offerings']} "
                f"queues={counts['queues']} age={old}"
            )
            break
        return unsettled

    def _read_effects(self, now: int) -> list[effects.LoggedAttempt]:
        """The last of the log, as far as its bound; keys with a hand-off of unknown outcome rest."""
        left, paths = MOST_LOG, []
        for _, path in reversed(
            segments(self.said.folder, self.name, os.listdir(self.said.folder))
        ):
            size = os.path.getsize(path)
            if size > left:
                self.socket_host.log(
                    f"recall: {path} has {size} octets, more than are read; passed over"
                )
                break
            left -= size
            paths.append((path, size))
        for path, size in reversed(
            paths
        ):  # one at a time: together they may be more than our memory
            with open(path, "rb") as file:
                data = file.read(size)
            for body, at, wrong in effects.records(data):
                if body is not None:
                    self.effects.take(body)
                elif wrong:
                    self.socket_host.log(f"recall: {path} has {wrong} at {at}")
        unsettled = self.effects.unsettled()
        gateway, ordered = (
            self.socket_host.gateway,
            {each.name for each in self.socket_host.settings.request_classes if each.ordered},
        )
        for effect in unsettled:
            # Danger: it may run on, and the next of its key would run beside it. It was given up with its
            # connection, at the latest when the program before ended; so its key rests as after a reset.
            if effect.key and effect.request_class in ordered:
                gateway.hold_order_key(effect.key, now + gateway.settle)
        self.serial = max(self.effects.by_serial, default=0)
        if len(self.effects):
            self.socket_host.log(f"recall: effects={len(self.effects)} unsettled={len(unsettled)}")
        for effect in unsettled:
            effect.open = False
        self.effects.expire(now, len(self.effects))
        return unsettled

    # What the host tells.

    def sending(self, attempt: Attempt, label: str) -> int:
        """A hand-off of a labelled or ordered submission goes out; its entry goes first. Its serial here."""
        request, engine = attempt.request, attempt.engine
        self.serial += 1
        effect = effects.LoggedAttempt(
            self.serial,
            label,
            request.request_class.name,
            request.order_key,
            engine.name,
            engine.zone,
            engine.cell,
            attempt.sent_at,
            attempt.sent_at + request.request_class.key_ttl,
        )
        self.effects.sent(effect)
        self._put(EFFECT, effects.sent(effect))
        return self.serial

    def over(self, serial: int, outcome: int) -> None:
        ran = outcome not in NEVER_RAN
        self.effects.over(serial, ran)
        self._put(EFFECT, effects.over(serial, ran))

    def mark_known(self, request: Any, label: str) -> None:
        """A labelled submission that may have run goes only where its label is known, and only as long."""
        known = self.effects.of(request.request_class.name, label, self.event_loop.now)
        if known and request.request_class.key_scope != ALL_HALLS:
            request.earlier_attempts = [
                Attempt(
                    None,
                    Engine(each.engine, b"", each.zone, 0, each.cell),
                    -1,
                    each.sent,
                    1.0,
                    1.0,
                    False,
                    outcome=AttemptOutcome.CONNECTION_RESET,
                )
                for each in known
            ]
            request.time_to_deadline = max(
                min(
                    request.time_to_deadline,
                    min(each.until for each in known) - self.event_loop.now,
                ),
                1,
            )

    def keep(self) -> None:
        """A snapshot, in its time; and what is over and forgotten goes. Danger: a fleet's figures take some
        milliseconds to gather; so they are copied in one turn, named in the next, packed in a third."""
        self.effects.expire(self.event_loop.now)
        if self.socket_host.recall is self:
            self._put(FLOOR, SERIALS.pack(self.effects.oldest(self.serial + 1), self.serial))
        self.event_loop.call_later(
            1, self._name, self._moment(), learned.copied(self.socket_host.gateway)
        )
        self.event_loop.call_later(self.said.snapshot_interval_ticks, self.keep)

    def _moment(self) -> dict[str, Any]:
        boot, since_boot = boot_of()
        return {
            "gateway": self.gateway,
            "mark": self.mark,
            "at": self.event_loop.now,
            "boot": boot,
            "since_boot": since_boot,
        }

    def _name(self, moment: dict[str, Any], said: dict[str, Any]) -> None:
        self.event_loop.call_later(1, self._pack, {**moment, **learned.named(said)})

    def _pack(self, body: dict[str, Any]) -> None:
        self._put(SNAPSHOT, snapshot.packed(body))

    def reload(self, said: RecoveryConfig) -> None:
        """Danger: a folder that changes under an open log would leave effects that nobody finds again."""
        if said != self.said:
            self.socket_host.log("operator file: recall changed, in force after a restart")

    def end(self) -> None:
        """The program ends in order."""
        self.ending = True
        if self.helper is not None:
            self._pack({**self._moment(), **learned.gathered(self.socket_host.gateway)})
        if self.helper is not None:
            os.set_blocking(self.pipe, True)
            try:
                self._flush()
                self.helper.stdin.close()
                self.helper.wait(2)
            except (OSError, subprocess.TimeoutExpired):
                pass

    # The helper.

    def _start(self) -> None:
        try:
            self.helper = subprocess.Popen(
                [
                    sys.executable,
                    writer.__file__,
                    self.said.folder,
                    self.name,
                    self.said.durability,
                    str(self.said.snapshots_kept),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                bufsize=0,
                start_new_session=True,
            )
        except OSError as problem:
            self.socket_host.log(f"recall: no helper: {problem.strerror}")
            return
        self.pipe = self.helper.stdin.fileno()
        os.set_blocking(self.pipe, False)
        os.set_blocking(self.helper.stdout.fileno(), False)
        try:
            fcntl.fcntl(self.pipe, fcntl.F_SETPIPE_SZ, PIPE)
        except OSError:
            pass
        self.unwritten.clear()
        self.event_loop.spawn(self._listen, self.helper)

    def _listen(self, helper: subprocess.Popen) -> None:
        """What it says; and its end, after which another is started."""
        fd = helper.stdout.fileno()
        while True:
            self.event_loop.wait(fd, READ)
            try:
                said = os.read(fd, 1024)
            except BlockingIOError:
                continue
            except OSError:
                said = b""
            if not said:
                break
            self.socket_host.log(
                f"recall: not written: {said.decode(errors='replace').splitlines()[0][:200]}"
            )
        helper.stdout.close()
        helper.wait()
        if not self.event_loop.stopped and not self.ending:
            self.helper = None
            self.socket_host.log("recall: the helper ended, nothing is kept until another one runs")
            self.event_loop.call_later(AGAIN, self._start)

    def _put(self, sort: bytes, body: bytes) -> None:
        """Danger: a helper that waits for a disk fills the pipe. What does not go in is told as not kept."""
        if self.helper is None or not self._flush():
            return self._missed()
        frame = FRAME.pack(sort, len(body)) + body
        self.unwritten += frame
        self._flush()
        if len(self.unwritten) == len(frame):
            self.unwritten.clear()  # nothing of it went: it never was
            return self._missed()
        if self.gap and self.helper is not None:
            self.socket_host.log(f"recall: written again, {self.gap} entries were not kept")
            self.gap = 0

    def _missed(self) -> None:
        self.gap += 1
        if self.gap == 1:
            self.socket_host.log("recall: the helper does not keep up, entries are not kept")

    def _flush(self) -> bool:
        """Is the pipe free? What is left of a frame goes before the next one, so each goes whole."""
        try:
            while self.unwritten:
                del self.unwritten[: os.write(self.pipe, self.unwritten)]
        except BlockingIOError:
            return False
        except OSError:  # it has ended; `_listen` hears of that
            self.helper = None
            return False
        return True
