"""The process that writes the files: `python log_writer.py FOLDER NAME DURABILITY KEPT`.

It owns the files of one gateway while that runs, and waits for disks so that the gateway never
does. It ends with its parent, also when that is killed, as the end of its standard input is the
end of its work; what the pipe still holds by then is written first.

Frames on standard input: type (1 byte), length (4), body. `S` is a snapshot, `E` records of the
attempt log, `F` two serials (8 bytes each): of the oldest attempt that still counts, and of the
newest. On standard output goes a line for a failed write, at most one a second.

Run by its path: it imports the standard library only.
"""

import contextlib
import os
import struct
import sys
import time
from typing import Any

FRAME_HEADER = struct.Struct("<cI")
SNAPSHOT_FRAME, RECORDS_FRAME, SERIALS_FRAME = b"S", b"E", b"F"  # types of a frame
SERIALS_BODY = struct.Struct("<QQ")
MAX_SEGMENT_BYTES = 2**20  # of one segment of the log
MAX_SEGMENT_COUNT = 64  # kept, as many as are read at a start
MAX_FRAME_BYTES = 32 * 2**20
ERROR_INTERVAL_SECONDS = 1
STANDARD_OUTPUT_DESCRIPTOR = 1


class Disk:
    """What the files need of a disk; the tests have one that fails."""

    def create(self, path: str) -> Any:
        """Open a new, empty file."""
        return open(path, "wb", buffering=0)

    def write(self, file: Any, data: bytes) -> None:
        """Write all of it; a raw file may take less at a time."""
        rest = memoryview(data)
        while rest:
            rest = rest[file.write(rest) :]

    def sync(self, file: Any) -> None:
        """Wait until what was written survives loss of power."""
        os.fsync(file.fileno())

    def close(self, file: Any) -> None:
        """Close a file."""
        file.close()

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in place of one that has the new name."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def list_names(self, folder: str) -> list[str]:
        """Return the names in a folder."""
        return os.listdir(folder)

    def sync_folder(self, folder: str) -> None:
        """Wait until the folder's names survive loss of power."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class RecoveryFiles:
    """Snapshots and log segments of one gateway.

    `durable` syncs what must survive loss of power; otherwise surviving a kill is enough.
    """

    def __init__(
        self, folder: str, name: str, durable: bool, snapshots_kept: int, disk: Any = None
    ) -> None:
        self.folder = folder
        self.name = name
        self.durable = durable
        self.snapshots_kept = snapshots_kept
        self.disk = disk or Disk()
        self.segment: Any = None  # the one that is written to
        self.segment_bytes = 0
        # By closed segment: no attempt in it has a higher serial; 0 until that is known.
        self.highest_serials: dict[str, int] = {}

    def path_for(self, suffix: str) -> str:
        """Return the path of this gateway's file with that suffix."""
        return os.path.join(self.folder, f"{self.name}.{suffix}")

    def write_snapshot(self, data: bytes) -> None:
        """Write a snapshot under another name, sync, rename, sync the folder.

        So a reader finds an older one or this one, never a part.
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
        """Move each snapshot that is kept one number up, the oldest first."""
        names = set(self.disk.list_names(self.folder))
        for number in range(self.snapshots_kept - 1, 0, -1):
            earlier = f"{self.name}.recall"
            if number > 1:
                earlier += f".{number - 1}"
            if earlier in names:
                self.disk.rename(
                    os.path.join(self.folder, earlier), self.path_for(f"recall.{number}")
                )

    def append_records(self, data: bytes) -> None:
        """Append records to the log, to a new segment if the present one is full."""
        if self.segment is None or self.segment_bytes + len(data) > MAX_SEGMENT_BYTES:
            self._open_segment()
        self.disk.write(self.segment, data)
        self.segment_bytes += len(data)
        if self.durable:
            self.disk.sync(self.segment)

    def remove_settled_segments(self, oldest: int, newest: int) -> None:
        """Remove closed segments in which no attempt counts any more.

        Serials: of the oldest attempt that still counts, and of the newest. A segment that was
        closed before this is called holds none above the newest. Were segments kept by number
        instead, keys remembered for longer than so many attempts take would be lost.
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
        earlier = list_segments(self.folder, self.name, disk.list_names(self.folder))
        number = earlier[-1][0] + 1 if earlier else 1
        self.segment = disk.create(self.path_for(f"effects.{number:08}"))
        self.segment_bytes = 0
        for _, path in earlier:
            self.highest_serials.setdefault(path, 0)
        # A log without end would fill the disk.
        for _, path in earlier[: 1 - MAX_SEGMENT_COUNT]:
            disk.remove(path)
            self.highest_serials.pop(path, None)
        if self.durable:
            disk.sync_folder(self.folder)


def list_segments(folder: str, name: str, names: list[str]) -> list[tuple[int, str]]:
    """Return number and path of a log's segments among a folder's names, the oldest first."""
    found = []
    prefix = f"{name}.effects."
    for each in names:
        number = each.removeprefix(prefix)
        if each.startswith(prefix) and number.isdigit():
            found.append((int(number), os.path.join(folder, each)))
    return sorted(found)


def _read_frame(source: Any) -> tuple[bytes, bytes] | None:
    """Return type and body of the next frame, or None at the end.

    A frame that is not whole never was: the parent was killed while it wrote.
    """
    head = source.read(FRAME_HEADER.size)
    if len(head) < FRAME_HEADER.size:
        return None
    frame_type, length = FRAME_HEADER.unpack(head)
    body = source.read(length) if length <= MAX_FRAME_BYTES else b""
    return (frame_type, body) if len(body) == length else None


def _write_frame(files: RecoveryFiles, frame_type: bytes, body: bytes) -> None:
    if frame_type == SERIALS_FRAME:
        files.remove_settled_segments(*SERIALS_BODY.unpack(body))
    elif frame_type == SNAPSHOT_FRAME:
        files.write_snapshot(body)
    else:
        files.append_records(body)


def main() -> int:
    """Write what standard input brings until its end; a failed write is reported, and no end."""
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
            files.segment = None  # the next records go to a new one
            if time.monotonic() > reported_at + ERROR_INTERVAL_SECONDS:
                reported_at = time.monotonic()
                with contextlib.suppress(OSError):
                    os.write(STANDARD_OUTPUT_DESCRIPTOR, f"{problem.strerror}\n".encode())


if __name__ == "__main__":
    sys.exit(main())
