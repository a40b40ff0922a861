"""A record that is on disk before anything is said of it: our end of the helper process.

Owns the helper process (`record_writer.py`) and what waits for it. Must never call what waits
before the record, or a later one that holds more, is safe on the disk; and never hold up the loop.
"""

import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack

from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.loop import READ, SECOND, WRITE, EventLoop
from corkgauge.leases import record_writer

REWRITE_TICKS = SECOND  # until a record that is not safe yet is written again, if asked for
READ_BYTES = 4096  # of the helper's answers at a time


class Waiter(NamedTuple):
    """What is called once a record is safe."""

    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class DurableRecord:
    """The file `name` in `folder`; no folder: nothing is kept, and what waits is called at once.

    `corrupted_message` and `write_failed_message` are the log lines. Raises ConfigurationError
    where the folder cannot be used.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        log: Callable[[str], None],
        folder: str,
        name: str,
        corrupted_message: str,
        write_failed_message: str,
    ) -> None:
        self.event_loop = event_loop
        self.log = log
        self.folder = folder
        self.write_failed_message = write_failed_message
        self.helper: subprocess.Popen[bytes] | None = None
        self.stored: Any = None  # what the file held; None: nothing, or it was torn
        # The last record: its number, its packed body, when it was sent.
        self.last_number = 0
        self.last_body = b""
        self.last_sent_at = 0
        self.waiting: dict[int, list[Waiter]] = {}  # by number of records that are not safe yet
        self.unsent = b""  # of the frame that the helper's pipe did not take yet
        self.next_frame: bytes | None = None  # the last frame that waits for that
        if folder:
            self._open(os.path.join(folder, name), corrupted_message)

    def _open(self, path: str, corrupted_message: str) -> None:
        try:
            os.makedirs(self.folder, exist_ok=True)
            with open(path, "rb") as file:
                data = file.read(record_writer.MAX_RECORD_BYTES)
        except FileNotFoundError:
            data = b""
        except OSError as error:
            raise ConfigurationError(f"duties: {self.folder}: {error.strerror}") from None
        body = record_writer.unpack_record(data)
        self._start_helper(path)
        if body is not None:
            self.stored = msgpack.unpackb(body)
        elif data:
            self.log(corrupted_message)

    def _start_helper(self, path: str) -> None:
        helper = subprocess.Popen(
            [sys.executable, record_writer.__file__, path],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.helper = helper
        os.set_blocking(_input_descriptor(helper), False)
        os.set_blocking(_output_descriptor(helper), False)
        self.event_loop.spawn(self._read_answers, helper)

    def write(self, record: Any, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `then` once the record is safe on disk.

        A promise that a power cut takes back is none, so it is written before it is said. The
        helper waits for the disk, and what it does not answer is never said.
        """
        waiter = Waiter(callback, arguments)
        if self.helper is None:
            if not self.folder:
                callback(*arguments)
            return
        body = msgpack.packb(record)
        if body == self.last_body and self._join_last_record(waiter):
            return
        self.last_number += 1
        self.last_body = body
        self.last_sent_at = self.event_loop.now
        self.waiting[self.last_number] = [waiter]
        frame = record_writer.FRAME_HEADER.pack(self.last_number, len(body)) + body
        if self.unsent:
            # Half a frame would spoil all later ones. The last one that waits holds what those
            # before it did.
            self.next_frame = frame
        else:
            self._send(frame)

    def _join_last_record(self, waiter: Waiter) -> bool:
        """Wait for the last record, which is the same; False: it must be written again.

        Whoever is not answered yet asks again, and would make a slow disk slower by the same
        record. One that failed is never answered, so it is written again after a while.
        """
        if self.last_number not in self.waiting:
            waiter.callback(*waiter.arguments)
            return True
        if self.event_loop.now < self.last_sent_at + REWRITE_TICKS:
            self.waiting[self.last_number].append(waiter)
            return True
        return False

    def _send(self, frame: bytes) -> None:
        helper = self.helper
        if helper is None:
            return
        try:
            self.unsent = frame[os.write(_input_descriptor(helper), frame) :]
        except BlockingIOError:
            self.unsent = frame
        except OSError:
            self._on_helper_failed()
        if self.unsent:
            self.event_loop.spawn(self._send_rest, self.helper)

    def _send_rest(self, helper: subprocess.Popen[bytes]) -> None:
        """Send what the helper's pipe did not take: its disk is slow, or the record large."""
        while self.helper is helper and self.unsent:
            self.event_loop.wait(_input_descriptor(helper), WRITE)
            try:
                self.unsent = self.unsent[os.write(_input_descriptor(helper), self.unsent) :]
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                self._on_helper_failed()
                return
            if not self.unsent and self.next_frame is not None:
                self.unsent = self.next_frame
                self.next_frame = None

    def _on_helper_failed(self) -> None:
        self.unsent = b""
        self.next_frame = None
        if self.helper is not None:
            self.log(self.write_failed_message)
            self.helper.kill()
            self.helper = None

    def close(self) -> None:
        """Close the helper's pipes: it writes what it has, and ends."""
        helper = self.helper
        self.helper = None
        if helper is not None and helper.stdin is not None and helper.stdout is not None:
            helper.stdin.close()
            helper.stdout.close()

    def _read_answers(self, helper: subprocess.Popen[bytes]) -> None:
        """Read the numbers of records that are safe, until the helper ends."""
        remainder = b""
        descriptor = _output_descriptor(helper)
        while self.helper is helper:
            self.event_loop.wait(descriptor, READ)
            try:
                data = os.read(descriptor, READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                data = b""
            if not data:
                break
            remainder += data
            while len(remainder) >= record_writer.FRAME_NUMBER.size:
                (number,) = record_writer.FRAME_NUMBER.unpack_from(remainder)
                remainder = remainder[record_writer.FRAME_NUMBER.size :]
                self._on_record_safe(number)

    def _on_record_safe(self, number: int) -> None:
        # One that failed is never answered; a later one that is safe holds more than it did.
        for older in [each for each in self.waiting if each < number]:
            del self.waiting[older]
        for waiter in self.waiting.pop(number, ()):
            waiter.callback(*waiter.arguments)


def _input_descriptor(helper: subprocess.Popen[bytes]) -> int:
    """Return the descriptor of the helper's input. Raises ValueError once it is closed."""
    if helper.stdin is None:
        raise ValueError("the helper has no input")
    return helper.stdin.fileno()


def _output_descriptor(helper: subprocess.Popen[bytes]) -> int:
    """Return the descriptor of the helper's answers. Raises ValueError once it is closed."""
    if helper.stdout is None:
        raise ValueError("the helper has no output")
    return helper.stdout.fileno()
