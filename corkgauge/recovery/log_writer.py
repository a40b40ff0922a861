"""Log writer process of a gateway: `python log_writer.py FOLDER NAME DURABILITY SNAPSHOTS_KEPT`.

Owns the recovery files of one gateway while the gateway runs, and waits for the disk so that the
gateway never has to. The process exits at the end of its standard input, thus when its parent exits
or is killed; frames that are still in the pipe are written first.

Standard input contains frames: type (1 byte), length (4 bytes), body. An `S` frame contains a
snapshot, an `E` frame records of the attempt log, and an `F` frame two serials (8 bytes each): of
the oldest attempt in the gateway's memory and of the newest attempt. Numbers are little-endian. The
process reports a failed write as a line on standard output, at most one line a second.

The file is run by its path, so it imports the standard library only.
"""

import contextlib
import os
import struct
import sys
import time
from typing import Any

FRAME_HEADER = struct.Struct("<cI")
SNAPSHOT_FRAME, RECORDS_FRAME, SERIALS_FRAME = b"S", b"E", b"F"  # frame types
SERIALS_BODY = struct.Struct("<QQ")  # oldest and newest serial
MAX_SEGMENT_BYTES = 2**20  # of one log segment
MAX_SEGMENT_COUNT = 64  # on disk; a start reads at most as many
MAX_FRAME_BYTES = 32 * 2**20
ERROR_INTERVAL_SECONDS = 1
STANDARD_OUTPUT_DESCRIPTOR = 1


class Disk:
    """File operations of `RecoveryFiles`; tests replace this class by a disk with faults."""

    def create(self, path: str) -> Any:
        """Open a new, empty file."""
        return open(path, "wb", buffering=0)

    def write(self, file: Any, data: bytes) -> None:
        """Write all data; a raw file may accept only a part in one call."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[file.write(remaining) :]

    def sync(self, file: Any) -> None:
        """Wait until the written data survives a loss of power."""
        os.fsync(file.fileno())

    def close(self, file: Any) -> None:
        """Close a file."""
        file.close()

    def rename(self, old: str, new: str) -> None:
        """Rename a file; replaces an existing file of the new name."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def list_names(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        return os.listdir(folder)

    def sync_folder(self, folder: str) -> None:
        """Wait until created, renamed and removed names in a folder survive a loss of power."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class RecoveryFiles:
    """Snapshots and log segments of one gateway.

    With `durable`, log records and folder entries are synced so that they survive a loss of power.
    Without it, they survive only a kill of the process.
    """

    def __init__(
        self, folder: str, name: str, durable: bool, snapshots_kept: int, disk: Any = None
    ) -> None:
        self.folder = folder
        self.name = name
        self.durable = durable
        self.snapshots_kept = snapshots_kept
        self.disk = disk or Disk()
        self.segment: Any = None  # the open segment
        self.segment_bytes = 0
        # Upper bound of the serials in each closed segment, by path; 0 until a bound is known.
        self.highest_serials: dict[str, int] = {}

    def path_for(self, suffix: str) -> str:
        """Return the path of this gateway's file with a suffix."""
        return os.path.join(self.folder, f"{self.name}.{suffix}")

    def write_snapshot(self, data: bytes) -> None:
        """Write a snapshot atomically: write a temporary file, sync, rename, and sync the folder.

        A reader therefore finds either an older snapshot or the complete new one, never a part. The
        folder is synced only if durable.
        """
        disk = self.disk
        temporary = self.path_for("recall.new")
        file = disk.create(temporary)
        try:
            disk.write(file, data)
            disk.sync(file)
        finally:
            disk.close(file)
        self._rotate_snapshots()
        disk.rename(temporary, self.path_for("recall"))
        if self.durable:
            disk.sync_folder(self.folder)

    def _rotate_snapshots(self) -> None:
        """Rename each kept snapshot to the next higher number, beginning with the oldest."""
        names = set(self.disk.list_names(self.folder))
        for number in range(self.snapshots_kept - 1, 0, -1):
            newer_name = f"{self.name}.recall"
            if number > 1:
                newer_name += f".{number - 1}"
            if newer_name in names:
                self.disk.rename(
                    os.path.join(self.folder, newer_name), self.path_for(f"recall.{number}")
                )

    def append_records(self, data: bytes) -> None:
        """Append records to the log; opens a new segment if the open segment is full."""
        if self.segment is None or self.segment_bytes + len(data) > MAX_SEGMENT_BYTES:
            self._open_segment()
        self.disk.write(self.segment, data)
        self.segment_bytes += len(data)
        if self.durable:
            self.disk.sync(self.segment)

    def remove_settled_segments(self, oldest: int, newest: int) -> None:
        """Truncate the log: remove closed segments whose attempts are all forgotten.

        Args:
            oldest: Serial of the oldest attempt that the gateway still has in memory.
            newest: Serial of the newest attempt; segments that are already closed contain no
                higher serial.

        Keeping a fixed number of segments instead would lose attempts whose keys engines remember
        for longer than it takes to fill these segments.
        """
        for path, highest in list(self.highest_serials.items()):
            if not highest:
                self.highest_serials[path] = newest
            elif highest < oldest:
                self.disk.remove(path)
                del self.highest_serials[path]

    def _open_segment(self) -> None:
        disk = self.disk
        if self.segment is not None:
            disk.close(self.segment)
        closed_segments = list_segments(self.folder, self.name, disk.list_names(self.folder))
        number = closed_segments[-1][0] + 1 if closed_segments else 1
        self.segment = disk.create(self.path_for(f"effects.{number:08}"))
        self.segment_bytes = 0
        for _, path in closed_segments:
            self.highest_serials.setdefault(path, 0)
        # Without this limit, a log that grows forever would fill the disk.
        for _, path in closed_segments[: 1 - MAX_SEGMENT_COUNT]:
            disk.remove(path)
            self.highest_serials.pop(path, None)
        if self.durable:
            disk.sync_folder(self.folder)


def list_segments(folder: str, name: str, names: list[str]) -> list[tuple[int, str]]:
    """Return number and path of each log segment among the names in a folder, oldest first."""
    numbered_paths = []
    prefix = f"{name}.effects."
    for file_name in names:
        number = file_name.removeprefix(prefix)
        if file_name.startswith(prefix) and number.isdigit():
            numbered_paths.append((int(number), os.path.join(folder, file_name)))
    return sorted(numbered_paths)


def _read_frame(source: Any) -> tuple[bytes, bytes] | None:
    """Return type and body of the next frame, or None at the end of the input.

    An incomplete frame is discarded: the parent was killed while writing the frame. A frame of more
    than MAX_FRAME_BYTES also ends the input.
    """
    header = source.read(FRAME_HEADER.size)
    if len(header) < FRAME_HEADER.size:
        return None
    frame_type, length = FRAME_HEADER.unpack(header)
    body = source.read(length) if length <= MAX_FRAME_BYTES else b""
    return (frame_type, body) if len(body) == length else None


def _write_frame(files: RecoveryFiles, frame_type: bytes, body: bytes) -> None:
    """Write a frame; frames of any other type than SERIALS and SNAPSHOT are appended as records."""
    if frame_type == SERIALS_FRAME:
        files.remove_settled_segments(*SERIALS_BODY.unpack(body))
    elif frame_type == SNAPSHOT_FRAME:
        files.write_snapshot(body)
    else:
        files.append_records(body)


def main() -> int:
    """Write the frames of standard input until its end; report failed writes and continue."""
    folder, name, durability, snapshots_kept = sys.argv[1:5]
    files = RecoveryFiles(folder, name, durability == "machine", int(snapshots_kept))
    reported_at = 0.0
    while True:
        frame = _read_frame(sys.stdin.buffer)
        if frame is None:
            return 0
        try:
            _write_frame(files, *frame)
        except OSError as problem:
            # The next records go to a new segment, as the segment may end with a torn record. This
            # also happens after a failed snapshot. The file is not closed here.
            files.segment = None
            if time.monotonic() > reported_at + ERROR_INTERVAL_SECONDS:
                reported_at = time.monotonic()
                with contextlib.suppress(OSError):
                    os.write(STANDARD_OUTPUT_DESCRIPTOR, f"{problem.strerror}\n".encode())


if __name__ == "__main__":
    sys.exit(main())
