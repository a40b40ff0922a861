"""The gateway's end of the log writer: starts and restarts it, feeds its pipe without waiting.

Nothing is claimed to be kept that the pipe did not take.
"""

import contextlib
import fcntl
import os
import subprocess
import sys
from collections.abc import Callable

from corkgauge.config.operator_records import RecoveryConfig
from corkgauge.eventloop.loop import READ, SECOND, EventLoop
from corkgauge.recovery import log_writer
from corkgauge.recovery.log_writer import FRAME_HEADER

PIPE_BYTES = 2**20  # that the pipe is asked to hold
RESTART_DELAY_TICKS = 5 * SECOND  # until a writer that ended is started again
STOP_TIMEOUT_SECONDS = 2  # that the writer may take for what is in the pipe at the end
MAX_ERROR_CHARS = 200


class LogWriterProcess:
    """The running writer of one gateway's files; `name` is the gateway's as part of a file name."""

    def __init__(
        self,
        event_loop: EventLoop,
        log: Callable[[str], None],
        config: RecoveryConfig,
        name: str,
    ) -> None:
        self.event_loop = event_loop
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None
        self.pipe = -1
        self.unwritten = bytearray()  # the rest of a frame that the pipe took a part of
        self.frames_lost = 0  # that the pipe did not take, since it last took one
        self.is_ending = False
        self._command = [
            sys.executable,
            log_writer.__file__,
            config.folder,
            name,
            config.durability,
            str(config.snapshots_kept),
        ]

    def start(self) -> None:
        """Start the writer, or log why there is none."""
        try:
            process = subprocess.Popen(
                self._command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                bufsize=0,
                start_new_session=True,
            )
        except OSError as problem:
            self.log(f"recall: no helper: {problem.strerror}")
            return
        assert process.stdin is not None
        assert process.stdout is not None
        self.process = process
        self.pipe = process.stdin.fileno()
        os.set_blocking(self.pipe, False)
        os.set_blocking(process.stdout.fileno(), False)
        with contextlib.suppress(OSError):
            fcntl.fcntl(self.pipe, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.unwritten.clear()
        self.event_loop.spawn(self._read_errors, process)

    def _read_errors(self, process: subprocess.Popen[bytes]) -> None:
        """Log the writer's failed writes until it ends, then start another; a task of the loop."""
        assert process.stdout is not None
        descriptor = process.stdout.fileno()
        while True:
            self.event_loop.wait(descriptor, READ)
            try:
                data = os.read(descriptor, 1024)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                break
            error = data.decode(errors="replace").splitlines()[0][:MAX_ERROR_CHARS]
            self.log(f"recall: not written: {error}")
        process.stdout.close()
        process.wait()
        if not self.event_loop.stopped and not self.is_ending:
            self.process = None
            self.log("recall: the helper ended, nothing is kept until another one runs")
            self.event_loop.call_later(RESTART_DELAY_TICKS, self.start)

    def send_frame(self, frame_type: bytes, body: bytes) -> None:
        """Hand a frame to the writer, or count it as lost.

        A writer that waits for a disk fills the pipe; waiting for it would stop the gateway.
        """
        if self.process is None or not self.flush_frame():
            self._count_lost_frame()
            return
        frame = FRAME_HEADER.pack(frame_type, len(body)) + body
        self.unwritten += frame
        self.flush_frame()
        if len(self.unwritten) == len(frame):
            self.unwritten.clear()  # nothing of it went: it never was
            self._count_lost_frame()
            return
        if self.frames_lost and self.process is not None:
            self.log(f"recall: written again, {self.frames_lost} entries were not kept")
            self.frames_lost = 0

    def _count_lost_frame(self) -> None:
        self.frames_lost += 1
        if self.frames_lost == 1:
            self.log("recall: the helper does not keep up, entries are not kept")

    def flush_frame(self) -> bool:
        """Write the rest of the last frame, so that each goes whole; tell if the pipe is free."""
        try:
            while self.unwritten:
                written = os.write(self.pipe, self.unwritten)
                del self.unwritten[:written]
        except BlockingIOError:
            return False
        except OSError:  # the writer has ended; `_read_errors` starts another
            self.process = None
            return False
        return True

    def end(self) -> None:
        """Let the writer finish what it was given, for a while, and end it by closing its pipe."""
        if self.process is None:
            return
        os.set_blocking(self.pipe, True)
        try:
            self.flush_frame()
            assert self.process.stdin is not None
            self.process.stdin.close()
            self.process.wait(STOP_TIMEOUT_SECONDS)
        except (OSError, subprocess.TimeoutExpired):
            pass
