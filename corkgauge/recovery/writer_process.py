"""Gateway side of the log writer: starts and restarts the process, writes frames to its pipe.

Writing never blocks while the gateway serves requests. Frames that the pipe did not accept are
counted as lost; the first loss and the next success are logged.
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

PIPE_BYTES = 2**20  # requested capacity of the pipe
RESTART_DELAY_TICKS = 5 * SECOND  # between the end of a writer and its restart
STOP_TIMEOUT_SECONDS = 2  # for the writer to write the rest of the pipe
MAX_ERROR_CHARS = 200  # of an error of the writer, in the log


class LogWriterProcess:
    """Log writer process of one gateway; `name` is the gateway's name, made safe for file names."""

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
        self.unwritten = bytearray()  # rest of a frame that the pipe accepted in part
        self.frames_lost = 0  # frames lost since the pipe last accepted a frame
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
        """Start the writer process, or log why the process could not be started."""
        try:
            process = subprocess.Popen(
                self._command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                bufsize=0,
                start_new_session=True,
            )
        except OSError as problem:
            self.log(
                "recall: log writer not started, nothing is stored until the gateway is restarted: "
                f"{problem.strerror}"
            )
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
        """Log failed writes until the writer ends, then schedule its restart.

        Runs as a task of the event loop.
        """
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
            self.log(f"recall: not written: {error}; check the folder and its disk")
        process.stdout.close()
        process.wait()
        if not self.event_loop.stopped and not self.is_ending:
            self.process = None
            self.log("recall: the log writer ended, nothing is stored until its automatic restart")
            self.event_loop.call_later(RESTART_DELAY_TICKS, self.start)

    def send_frame(self, frame_type: bytes, body: bytes) -> None:
        """Write a frame to the pipe without blocking, or count the frame as lost.

        While the writer waits for a disk, the pipe fills up. Waiting for the writer would stop the
        gateway.
        """
        if self.process is None or not self.flush_frame():
            self._count_lost_frame()
            return
        frame = FRAME_HEADER.pack(frame_type, len(body)) + body
        self.unwritten += frame
        self.flush_frame()
        if len(self.unwritten) == len(frame):
            self.unwritten.clear()  # the pipe accepted no part of the frame
            self._count_lost_frame()
            return
        if self.frames_lost and self.process is not None:
            self.log(f"recall: written again, {self.frames_lost} frames were lost")
            self.frames_lost = 0

    def _count_lost_frame(self) -> None:
        self.frames_lost += 1
        if self.frames_lost == 1:
            self.log(
                "recall: the log writer does not keep up or does not run, frames are lost; "
                "check the disk"
            )

    def flush_frame(self) -> bool:
        """Write the rest of the last frame; return whether the pipe accepted all of the rest.

        No other frame is started until the last frame is complete, so that the writer gets whole
        frames.
        """
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
        """Write the rest of the last frame, close the pipe and wait for the end of the writer.

        The wait for the end is limited to STOP_TIMEOUT_SECONDS; writing the rest is not limited.
        """
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
