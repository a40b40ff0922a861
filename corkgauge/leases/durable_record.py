"""Makes records durable on disk through a helper process, and then calls back.

Owns the helper process (`record_writer.py`) and the callbacks that wait for a record. A callback
runs only after the helper has confirmed the callback's own record. The confirmation of a later
record drops all callbacks that still wait for earlier records. The event loop must never block.
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

# An unconfirmed record is written again after this time, if `write` is called with the same record.
REWRITE_TICKS = SECOND
READ_BYTES = 4096  # read size for the helper's answers


class Waiter(NamedTuple):
    """A callback that waits for a record to become durable."""

    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class DurableRecord:
    """Stores a record in the file `name` in `folder`.

    With an empty `folder` nothing is stored, and callbacks run immediately. `corrupted_message` and
    `write_failed_message` are the log lines for a corrupted file and for a failed helper. Raises
    ConfigurationError if the folder cannot be created or the file cannot be read.
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
        self.stored: Any = None  # the file's content; None if there is no file or it is corrupted
        # The last record: number, packed body, and time of sending.
        self.last_number = 0
        self.last_body = b""
        self.last_sent_at = 0
        # Waiters of records that are not durable yet, by record number.
        self.waiting: dict[int, list[Waiter]] = {}
        self.unsent = b""  # rest of a frame that the helper's pipe has not accepted yet
        self.next_frame: bytes | None = None  # latest frame to send after `unsent`
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
            raise ConfigurationError(
                f"duties: cannot create the folder {self.folder} or read the votes in it: "
                f"{error.strerror}; check owner and mode"
            ) from None
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
        """Call `callback` once the record is durable on disk.

        A promise must survive a power cut, so the record is written before the callback may send
        any reply. The helper process waits for the disk. The callback of a record that the helper
        never confirms never runs; after a failure of the helper, no callback runs.
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
            # An incomplete frame would corrupt all later frames, so the new frame waits. It
            # replaces an earlier waiting frame, because each record includes the content of the
            # records before it.
            self.next_frame = frame
        else:
            self._send(frame)

    def _join_last_record(self, waiter: Waiter) -> bool:
        """Wait for the identical last record; return False if the record must be written again.

        Senders repeat requests that have no reply yet, and writing the same record for each
        repetition would make a slow disk slower. The helper never confirms a record whose write
        failed, so that record is written again after `REWRITE_TICKS`.
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
        """Send the rest of a frame that the helper's pipe did not accept.

        The pipe is full if the disk is slow or the record is large.
        """
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
        """Close the pipes to the helper, which writes all received records and exits."""
        helper = self.helper
        self.helper = None
        if helper is not None and helper.stdin is not None and helper.stdout is not None:
            helper.stdin.close()
            helper.stdout.close()

    def _read_answers(self, helper: subprocess.Popen[bytes]) -> None:
        """Read the numbers of durable records until the helper exits."""
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
                self._on_record_confirmed(number)

    def _on_record_confirmed(self, number: int) -> None:
        # Earlier records without a confirmation either failed to be written, or were replaced in
        # `next_frame` before they were sent. The confirmed record includes their content, but their
        # waiters are dropped: the requests behind these waiters are repeated.
        for older in [each for each in self.waiting if each < number]:
            del self.waiting[older]
        for waiter in self.waiting.pop(number, ()):
            waiter.callback(*waiter.arguments)


def _input_descriptor(helper: subprocess.Popen[bytes]) -> int:
    """Return the descriptor of the helper's input; raises ValueError if there is no pipe."""
    if helper.stdin is None:
        raise ValueError("helper process has no input pipe")
    return helper.stdin.fileno()


def _output_descriptor(helper: subprocess.Popen[bytes]) -> int:
    """Return the descriptor of the helper's output; raises ValueError if there is no pipe."""
    if helper.stdout is None:
        raise ValueError("helper process has no output pipe")
    return helper.stdout.fileno()
