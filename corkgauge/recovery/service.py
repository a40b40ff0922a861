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
from corkgauge.policy.records import NEVER_RAN, RESET, Engine, Attempt
from corkgauge.eventloop.clock import boot_of
from corkgauge.eventloop.loop import READ, SECOND
from corkgauge.config.operator_file import Recall
from corkgauge.recovery import (
    attempt_log as effects,
    learned_state as learned,
    snapshot,
    log_writer as writer,
)
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

    def __init__(self, house: Any, gateway: str, mark: int, said: Recall) -> None:
        self.house, self.hub, self.said, self.gateway, self.mark = (
            house,
            house.hub,
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
            house.log(f"recall off: {said.folder}: {why}")
            if self.lock >= 0:
                os.close(self.lock)
                self.lock = -1
            return
        closed = self._recall()
        self._start()
        for effect in closed:  # else each later start would take them for unsettled again
            self._put(EFFECT, effects.over(effect.serial, True))
        house.recall = self
        self.hub.later(said.each, self.keep)

    def _path(self, end: str) -> str:
        return os.path.join(self.said.folder, f"{self.name}.{end}")

    # At a start.

    def _recall(self) -> list[effects.LoggedAttempt]:
        """The effects that were unsettled."""
        now, (boot, since_boot) = self.hub.now, boot_of()
        unsettled = self._read_effects(now)
        for path in (
            self._path("recall"),
            *(self._path(f"recall.{n}") for n in range(1, self.said.kept)),
        ):
            try:
                with open(path, "rb") as file:
                    said = snapshot.read(file.read(snapshot.LARGEST + 1), self.gateway, self.mark)
                age = age_of(said, now, boot, since_boot)
                counts = learned.recalled(said, self.house.gateway, self.house.offerings, now, age)
            except FileNotFoundError:
                continue
            except (OSError, snapshot.UnusableSnapshotError) as problem:
                why = getattr(problem, "strerror", None) or problem
                self.house.log(f"recall: {path} is {why}, passed over")
                continue
            except (KeyError, TypeError, ValueError, AttributeError, IndexError) as problem:
                self.house.log(
                    f"recall: {path} makes no sense ({type(problem).__name__}), passed over"
                )
                continue
            old = "unknown" if age == inf else f"{age / SECOND:.1f}"
            self.house.log(
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
                self.house.log(f"recall: {path} has {size} octets, more than are read; passed over")
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
                    self.house.log(f"recall: {path} has {wrong} at {at}")
        unsettled = self.effects.unsettled()
        gateway, ordered = (
            self.house.gateway,
            {each.name for each in self.house.stated.offerings if each.ordered},
        )
        for effect in unsettled:
            # Danger: it may run on, and the next of its key would run beside it. It was given up with its
            # connection, at the latest when the program before ended; so its key rests as after a reset.
            if effect.key and effect.offering in ordered:
                gateway.key_rests(effect.key, now + gateway.settle)
        self.serial = max(self.effects.by_serial, default=0)
        if len(self.effects):
            self.house.log(f"recall: effects={len(self.effects)} unsettled={len(unsettled)}")
        for effect in unsettled:
            effect.open = False
        self.effects.expire(now, len(self.effects))
        return unsettled

    # What the host tells.

    def sending(self, handoff: Attempt, label: str) -> int:
        """A hand-off of a labelled or ordered submission goes out; its entry goes first. Its serial here."""
        sub, engine = handoff.submission, handoff.engine
        self.serial += 1
        effect = effects.LoggedAttempt(
            self.serial,
            label,
            sub.offering.name,
            sub.key,
            engine.name,
            engine.hall,
            engine.cell,
            handoff.sent,
            handoff.sent + sub.offering.remembered,
        )
        self.effects.sent(effect)
        self._put(EFFECT, effects.sent(effect))
        return self.serial

    def over(self, serial: int, outcome: int) -> None:
        ran = outcome not in NEVER_RAN
        self.effects.over(serial, ran)
        self._put(EFFECT, effects.over(serial, ran))

    def mark_known(self, sub: Any, label: str) -> None:
        """A labelled submission that may have run goes only where its label is known, and only as long."""
        known = self.effects.of(sub.offering.name, label, self.hub.now)
        if known and sub.offering.group != ALL_HALLS:
            sub.before = [
                Attempt(
                    None,
                    Engine(each.engine, b"", each.hall, 0, each.cell),
                    -1,
                    each.sent,
                    1.0,
                    1.0,
                    False,
                    outcome=RESET,
                )
                for each in known
            ]
            sub.life = max(min(sub.life, min(each.until for each in known) - self.hub.now), 1)

    def keep(self) -> None:
        """A snapshot, in its time; and what is over and forgotten goes. Danger: a fleet's figures take some
        milliseconds to gather; so they are copied in one turn, named in the next, packed in a third."""
        self.effects.expire(self.hub.now)
        if self.house.recall is self:
            self._put(FLOOR, SERIALS.pack(self.effects.oldest(self.serial + 1), self.serial))
        self.hub.later(1, self._name, self._moment(), learned.copied(self.house.gateway))
        self.hub.later(self.said.each, self.keep)

    def _moment(self) -> dict[str, Any]:
        boot, since_boot = boot_of()
        return {
            "gateway": self.gateway,
            "mark": self.mark,
            "at": self.hub.now,
            "boot": boot,
            "since_boot": since_boot,
        }

    def _name(self, moment: dict[str, Any], said: dict[str, Any]) -> None:
        self.hub.later(1, self._pack, {**moment, **learned.named(said)})

    def _pack(self, body: dict[str, Any]) -> None:
        self._put(SNAPSHOT, snapshot.packed(body))

    def reload(self, said: Recall) -> None:
        """Danger: a folder that changes under an open log would leave effects that nobody finds again."""
        if said != self.said:
            self.house.log("operator file: recall changed, in force after a restart")

    def end(self) -> None:
        """The program ends in order."""
        self.ending = True
        if self.helper is not None:
            self._pack({**self._moment(), **learned.gathered(self.house.gateway)})
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
                    str(self.said.kept),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                bufsize=0,
                start_new_session=True,
            )
        except OSError as problem:
            self.house.log(f"recall: no helper: {problem.strerror}")
            return
        self.pipe = self.helper.stdin.fileno()
        os.set_blocking(self.pipe, False)
        os.set_blocking(self.helper.stdout.fileno(), False)
        try:
            fcntl.fcntl(self.pipe, fcntl.F_SETPIPE_SZ, PIPE)
        except OSError:
            pass
        self.unwritten.clear()
        self.hub.spawn(self._listen, self.helper)

    def _listen(self, helper: subprocess.Popen) -> None:
        """What it says; and its end, after which another is started."""
        fd = helper.stdout.fileno()
        while True:
            self.hub.wait(fd, READ)
            try:
                said = os.read(fd, 1024)
            except BlockingIOError:
                continue
            except OSError:
                said = b""
            if not said:
                break
            self.house.log(
                f"recall: not written: {said.decode(errors='replace').splitlines()[0][:200]}"
            )
        helper.stdout.close()
        helper.wait()
        if not self.hub.stopped and not self.ending:
            self.helper = None
            self.house.log("recall: the helper ended, nothing is kept until another one runs")
            self.hub.later(AGAIN, self._start)

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
            self.house.log(f"recall: written again, {self.gap} entries were not kept")
            self.gap = 0

    def _missed(self) -> None:
        self.gap += 1
        if self.gap == 1:
            self.house.log("recall: the helper does not keep up, entries are not kept")

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
