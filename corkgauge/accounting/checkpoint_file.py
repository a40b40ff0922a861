"""The file of figures on a disk: the driver of `epoch`.

Owns one file, its lock and its mapping. Must never let a disk stop the program: what cannot be had is told in
one line, and figures go on without it.
"""

import fcntl
import mmap
import os
from collections.abc import Callable
from typing import Any

from corkgauge.accounting import checkpoint as epoch
from corkgauge.accounting.snapshot import Cut, EngineRows, closed_epoch


class CheckpointFile:
    """Writes cuts into the two slots in turn. It writes to memory that the system writes out, so a kill of
    the process loses nothing that was put, and no call waits for the disk; power is another matter."""

    def __init__(self, folder: str, gateway: str, log: Callable[[str], None]) -> None:
        self.log, self.path = log, os.path.join(folder, f"{safe(gateway)}.figures")
        self.generation, self.earlier = 0, list[Cut]()
        self.map: mmap.mmap | None = None
        self.too_large = False
        descriptor = -1
        try:
            os.makedirs(folder, exist_ok=True)
            descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
            # Danger: two programs that write one file would each read the other's figures as its own.
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            data = os.pread(descriptor, epoch.FILE, 0)
            # Danger: a write to a mapping that the disk has no room for ends the process; so room is had
            # first.
            os.posix_fallocate(descriptor, 0, epoch.FILE)
            self.map = mmap.mmap(descriptor, epoch.FILE)
        except (OSError, ValueError) as problem:
            why = (
                "in use by another"
                if isinstance(problem, BlockingIOError)
                else (getattr(problem, "strerror", None) or str(problem))
            )
            self.log(f"figures not kept: {self.path}: {why}")
            if descriptor >= 0:
                os.close(descriptor)
            return
        self.descriptor = descriptor  # held for its lock
        self._take_over(data)

    def _take_over(self, data: bytes) -> None:
        """Close the epoch that the file holds; what cannot be read is told, and left behind."""
        self.generation, body, why = epoch.latest(data) if data else (0, None, epoch.EMPTY)
        if why in (epoch.TORN, epoch.FOREIGN, epoch.NEWER):
            return self.log(f"figures: {self.path} is {why}, a fresh epoch")
        if body is None:
            return
        try:
            closed = closed_epoch(body["cut"])
            self.earlier = [closed, *body["earlier"]][: epoch.EARLIER]
            taken, cut_off = (
                sum(row[name] for row in closed["offerings"].values())
                for name in ("taken", "cut_off")
            )
            self.log(
                f"figures: epoch {closed['epoch']['id']} closed, taken={taken} cut_off={cut_off}"
            )
        except (KeyError, TypeError, AttributeError) as problem:  # a good sum, and another meaning
            self.earlier = []
            self.log(f"figures: {self.path} is foreign ({type(problem).__name__}), a fresh epoch")

    def put(self, cut: Cut) -> None:
        if self.map is None:
            return
        self.generation += 1
        try:
            data = epoch.slot(
                self.generation,
                {"cut": {**cut, "engines": cut["engines"].flat}, "earlier": self.earlier},
            )
        except ValueError as problem:
            if not self.too_large:
                self.too_large = True
                self.log(f"figures: {problem} are too many to keep, engines are kept in one row")
            try:
                data = epoch.slot(
                    self.generation, {"cut": epoch.folded(cut), "earlier": self.earlier}
                )
            except ValueError as still:
                self.close()
                return self.log(f"figures not kept: {still}")
        at = self.generation % 2 * epoch.SLOT
        # The head goes last: until it is there, its sum does not fit, and the other slot counts.
        self.map[at + epoch.OVERHEAD : at + len(data)] = data[epoch.OVERHEAD :]
        self.map[at : at + epoch.OVERHEAD] = data[: epoch.OVERHEAD]

    def close(self) -> None:
        if self.map is not None:
            self.map.close()
            self.map = None
            os.close(self.descriptor)


def safe(gateway: str) -> str:
    """A gateway's name as a file's.

    >>> safe("n1"), safe("../../etc/x")
    ('n1', '.._.._etc_x')
    """
    return "".join(each if each.isalnum() or each in "-_." else "_" for each in gateway)[:100]


def read_file(path: str) -> dict[str, Any]:
    """What a file of figures holds: `{"cut", "earlier"}`; ValueError says why not. Any process may read."""
    with open(path, "rb") as file:
        _, body, why = epoch.latest(file.read(epoch.FILE))
    if why:
        raise ValueError(why)
    cut = body["cut"]
    rows = cut["engines"] if epoch.FOLDED in cut["engines"] else dict(EngineRows(cut["engines"]))
    return {**body, "cut": {**cut, "engines": rows}}
