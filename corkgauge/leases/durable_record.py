"""A record that is written before anything is said of it: our end of the helper in `store.py`.

Owns the helper process and what waits for it. Must never call what waits before the record, or a later one that holds
more, is safe on the disk; and never hold up the loop.
"""

import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import msgpack

from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.loop import READ, SECOND, WRITE, EventLoop
from corkgauge.leases import record_writer as store

AGAIN = SECOND  # until a record that is not safe yet is written once more, where it is asked for


class DurableRecord:
    """The file `name` in `folder`; no folder: nothing is kept, and what waits is called at once. `torn` and
    `unwritten` are the lines that say so. Raises Faulty where the folder cannot be used."""

    def __init__(
        self,
        event_loop: EventLoop,
        log: Callable[[str], None],
        folder: str,
        name: str,
        torn: str,
        unwritten: str,
    ) -> None:
        self.event_loop, self.log, self.folder, self.unwritten = event_loop, log, folder, unwritten
        self.helper: subprocess.Popen | None = None
        self.waiting: dict[
            int, list[tuple[Callable[..., None], tuple]]
        ] = {}  # records that are not safe yet
        self.written, self.body, self.sent = (
            0,
            b"",
            0,
        )  # the last one: its number, what it is, when it went
        self.rest = b""  # of the frame that the helper's pipe did not take yet
        self.after: bytes | None = None  # the last frame that waits for that
        self.kept: Any = None  # what a folder told; None: nothing, or it was torn
        if folder:
            self._open(os.path.join(folder, name), torn)

    def _open(self, path: str, torn: str) -> None:
        try:
            os.makedirs(self.folder, exist_ok=True)
            with open(path, "rb") as file:
                data = file.read(store.LARGEST)
        except FileNotFoundError:
            data = b""
        except OSError as problem:
            raise ConfigurationError(f"duties: {self.folder}: {problem.strerror}") from None
        body = store.unpacked(data)
        self.helper = subprocess.Popen(
            [sys.executable, store.__file__, path], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for pipe in self.helper.stdin, self.helper.stdout:
            os.set_blocking(pipe.fileno(), False)
        self.event_loop.spawn(self._listen, self.helper)
        if body is not None:
            self.kept = msgpack.unpackb(body)
        elif data:
            self.log(torn)

    def keep(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Danger: a promise that a power cut takes back is none; so it is written before it is said. The
        helper waits for the disk, and what it does not answer is never said."""
        if self.helper is None:
            return None if self.folder else then(*what)
        body = msgpack.packb(record)
        if body == self.body:
            # Danger: whoever is not answered yet asks again, and would make a slow disk slower by the same record.
            if self.written not in self.waiting:
                return then(*what)
            if (
                self.event_loop.now < self.sent + AGAIN
            ):  # one that failed is never answered: written again after a while
                return self.waiting[self.written].append((then, what))
        self.written += 1
        self.body, self.sent = body, self.event_loop.now
        self.waiting[self.written] = [(then, what)]
        frame = store.FRAME.pack(self.written, len(body)) + body
        if self.rest:
            # Danger: half a frame would spoil all later ones. The last one that waits holds what those before it did.
            self.after = frame
        else:
            self._write(frame)

    def _write(self, frame: bytes) -> None:
        try:
            self.rest = frame[os.write(self.helper.stdin.fileno(), frame) :]
        except BlockingIOError:
            self.rest = frame
        except OSError:
            self._failed()
        if self.rest:
            self.event_loop.spawn(self._go_on, self.helper)

    def _go_on(self, helper: subprocess.Popen) -> None:
        """The helper's pipe was full: its disk is slow, or the record is large."""
        while self.helper is helper and self.rest:
            self.event_loop.wait(helper.stdin.fileno(), WRITE)
            try:
                self.rest = self.rest[os.write(helper.stdin.fileno(), self.rest) :]
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                return self._failed()
            if not self.rest and self.after is not None:
                self.rest, self.after = self.after, None

    def _failed(self) -> None:
        self.rest, self.after = b"", None
        if self.helper is not None:
            self.log(self.unwritten)
            self.helper.kill()
            self.helper = None

    def close(self) -> None:
        helper, self.helper = self.helper, None
        if helper is not None:
            helper.stdin.close()
            helper.stdout.close()

    def _listen(self, helper: subprocess.Popen) -> None:
        """Numbers of records that are safe."""
        rest, fd = b"", helper.stdout.fileno()
        while self.helper is helper:
            self.event_loop.wait(fd, READ)
            try:
                data = os.read(fd, 4096)
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                data = b""
            if not data:
                break
            rest += data
            while len(rest) >= 4:
                number, rest = int.from_bytes(rest[:4], "little"), rest[4:]
                # One that failed is never answered; a later one that is safe holds more than it did.
                for older in [each for each in self.waiting if each < number]:
                    del self.waiting[older]
                for then, what in self.waiting.pop(number, ()):
                    then(*what)
