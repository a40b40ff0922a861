"""The helper process that writes: `python writer.py FOLDER NAME DURABILITY KEPT`.

Owns the files of one gateway while it runs, fed over its standard input. It waits for disks so that the
gateway never does. It ends with its parent: the pipe's end is its own, also when the parent is killed; what
the pipe still held by then is written first.

Fed frames: sort (1), length (4), body. `S` a snapshot, `E` records of effects, `F` two serials (8 each): of the
oldest effect that still counts, and of the newest. It answers a line a trouble on its standard output, at most one
a second.
"""

import os
import struct
import sys
import time
from typing import Any

FRAME = struct.Struct("<cI")
SNAPSHOT, EFFECT, FLOOR = b"S", b"E", b"F"
SERIALS = struct.Struct("<QQ")
SEGMENT = 2**20  # octets of one
SEGMENTS = 64  # kept at most, as many as are read at a start
LARGEST = 32 * 2**20


class Disk:
    """What the files need of a disk; the tests have one that fails."""

    def create(self, path: str) -> Any:
        return open(path, "wb", buffering=0)

    def write(self, file: Any, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[file.write(view) :]

    def sync(self, file: Any) -> None:
        os.fsync(file.fileno())

    def close(self, file: Any) -> None:
        file.close()

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def names(self, folder: str) -> list[str]:
        return os.listdir(folder)

    def sync_folder(self, folder: str) -> None:
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Files:
    """`durable` syncs what must survive power; else what survives a kill of the gateway is enough."""

    def __init__(self, folder: str, name: str, durable: bool, kept: int, disk: Any = None) -> None:
        self.folder, self.name, self.durable, self.kept = folder, name, durable, kept
        self.disk = disk or Disk()
        self.file, self.size = None, 0
        self.bounds: dict[
            str, int
        ] = {}  # by closed segment: no effect in it has a higher serial; 0: not told yet

    def path(self, end: str) -> str:
        return os.path.join(self.folder, f"{self.name}.{end}")

    def snapshot(self, data: bytes) -> None:
        """Aside, synced, renamed, the folder synced: a reader finds an older one or this, never a part."""
        disk, aside = self.disk, self.path("recall.new")
        file = disk.create(aside)
        try:
            disk.write(file, data)
            disk.sync(file)
        finally:
            disk.close(file)
        names = set(disk.names(self.folder))
        for number in range(self.kept - 1, 0, -1):
            before = f"{self.name}.recall" + (f".{number - 1}" if number > 1 else "")
            if before in names:
                disk.rename(os.path.join(self.folder, before), self.path(f"recall.{number}"))
        disk.rename(aside, self.path("recall"))
        if self.durable:
            disk.sync_folder(self.folder)

    def effects(self, data: bytes) -> None:
        if self.file is None or self.size + len(data) > SEGMENT:
            self._next()
        self.disk.write(self.file, data)
        self.size += len(data)
        if self.durable:
            self.disk.sync(self.file)

    def floor(self, oldest: int, newest: int) -> None:
        """Segments go when all in them is over. Danger: kept by number, marks that outlive so many hand-offs would be
        lost; a segment that was closed before this was told holds no effect above the newest."""
        for path, bound in [*self.bounds.items()]:
            if not bound:
                self.bounds[path] = newest
            elif bound < oldest:
                self.disk.remove(path)
                del self.bounds[path]

    def _next(self) -> None:
        disk = self.disk
        if self.file is not None:
            disk.close(self.file)
        there = segments(self.folder, self.name, disk.names(self.folder))
        number = there[-1][0] + 1 if there else 1
        self.file, self.size = disk.create(self.path(f"effects.{number:08}")), 0
        for _, path in there:
            self.bounds.setdefault(path, 0)
        for _, path in there[: 1 - SEGMENTS]:  # Danger: a log without end would fill the disk
            disk.remove(path)
            self.bounds.pop(path, None)
        if self.durable:
            disk.sync_folder(self.folder)


def segments(folder: str, name: str, names: list[str]) -> list[tuple[int, str]]:
    """Segments of a log among the names of its folder, the oldest first."""
    found, begin = [], f"{name}.effects."
    for each in names:
        number = each.removeprefix(begin)
        if each.startswith(begin) and number.isdigit():
            found.append((int(number), os.path.join(folder, each)))
    return sorted(found)


def main() -> int:
    folder, name, durability, kept = sys.argv[1:5]
    files, told = Files(folder, name, durability == "machine", int(kept)), 0.0
    source = sys.stdin.buffer
    while True:
        head = source.read(FRAME.size)
        if len(head) < FRAME.size:
            return 0
        sort, length = FRAME.unpack(head)
        body = source.read(length) if length <= LARGEST else b""
        if len(body) < length:
            return 0  # the parent was killed within a frame: what is not whole never was
        try:
            if sort == FLOOR:
                files.floor(*SERIALS.unpack(body))
            else:
                (files.snapshot if sort == SNAPSHOT else files.effects)(body)
        except OSError as problem:
            files.file = None
            if time.monotonic() > told + 1:
                told = time.monotonic()
                try:
                    os.write(1, f"{problem.strerror}\n".encode())
                except OSError:
                    pass


if __name__ == "__main__":
    sys.exit(main())
