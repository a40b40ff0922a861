"""The checkpoint file on a disk: the driver of `checkpoint`.

Owns one file, its lock and its mapping. A disk never stops the program: what cannot be had is told
in one log line, and accounting goes on without it.
"""

import fcntl
import mmap
import os
from collections.abc import Callable
from typing import Any, NamedTuple

from corkgauge.accounting import checkpoint
from corkgauge.accounting.checkpoint import SlotProblem
from corkgauge.accounting.snapshot import Snapshot, close_epoch

MAX_NAME_CHARACTERS = 100


class MappedFile(NamedTuple):
    """A file of two slots, locked and mapped, and what it held when it was opened."""

    descriptor: int  # held for its lock
    mapping: mmap.mmap
    data: bytes


class CheckpointFile:
    """Writes snapshots into the two slots in turn.

    It writes to memory that the system writes out. So a kill of the process loses nothing that was
    written, and no call waits for the disk; a power cut may lose it.
    """

    def __init__(self, folder: str, gateway: str, log: Callable[[str], None]) -> None:
        self.log = log
        self.path = os.path.join(folder, f"{safe_file_name(gateway)}.figures")
        self.generation = 0
        self.earlier_epochs = list[dict[str, Any]]()
        self.is_too_large = False
        self.mapping: mmap.mmap | None = None
        try:
            os.makedirs(folder, exist_ok=True)
            opened = _open_mapped(self.path)
        except (OSError, ValueError) as problem:
            self.log(f"figures not kept: {self.path}: {_reason_of(problem)}")
            return
        self.descriptor = opened.descriptor
        self.mapping = opened.mapping
        self._take_over(opened.data)

    def _take_over(self, data: bytes) -> None:
        """Close the epoch that the file holds; what cannot be read is told, and left behind."""
        slot = checkpoint.Slot(0, None, SlotProblem.EMPTY)
        if data:
            slot = checkpoint.latest_slot(data)
        self.generation = slot.generation
        if slot.problem is not None and slot.problem != SlotProblem.EMPTY:
            self.log(f"figures: {self.path} is {slot.problem}, a fresh epoch")
            return
        if slot.body is None:
            return
        try:
            closed = close_epoch(slot.body["cut"])
            epochs = [closed, *slot.body["earlier"]]
            self.earlier_epochs = epochs[: checkpoint.MAX_EARLIER_EPOCHS]
            rows = closed["offerings"].values()
            taken = sum(row["taken"] for row in rows)
            cut_off = sum(row["cut_off"] for row in rows)
            epoch = closed["epoch"]["id"]
            self.log(f"figures: epoch {epoch} closed, taken={taken} cut_off={cut_off}")
        except (KeyError, TypeError, AttributeError) as problem:
            # The checksum fits, so the body is what somebody wrote: with another meaning.
            self.earlier_epochs = []
            reason = type(problem).__name__
            self.log(f"figures: {self.path} is foreign ({reason}), a fresh epoch")

    def write(self, snapshot: Snapshot) -> None:
        """Write a snapshot into the older slot; without a file, do nothing."""
        if self.mapping is None:
            return
        self.generation += 1
        try:
            data = self._encode(snapshot)
        except ValueError as problem:
            self.close()
            self.log(f"figures not kept: {problem}")
            return
        at = self.generation % 2 * checkpoint.SLOT_BYTES
        body_at = at + checkpoint.OVERHEAD_BYTES
        # The header goes last: until it is there its checksum does not fit, so a kill between the
        # two leaves a slot that does not count, and the other one counts.
        self.mapping[body_at : at + len(data)] = data[checkpoint.OVERHEAD_BYTES :]
        self.mapping[at:body_at] = data[: checkpoint.OVERHEAD_BYTES]

    def _encode(self, snapshot: Snapshot) -> bytes:
        try:
            return checkpoint.encode_checkpoint(self.generation, snapshot, self.earlier_epochs)
        except ValueError as problem:
            if not self.is_too_large:
                self.is_too_large = True
                self.log(f"figures: {problem} are too many to keep, engines are kept in one row")
        return checkpoint.encode_folded_checkpoint(self.generation, snapshot, self.earlier_epochs)

    def close(self) -> None:
        """Give up the file and its lock; what was written stays."""
        if self.mapping is not None:
            self.mapping.close()
            self.mapping = None
            os.close(self.descriptor)


def safe_file_name(gateway: str) -> str:
    """Return a gateway's name as part of a file's.

    >>> safe_file_name("n1"), safe_file_name("../../etc/x")
    ('n1', '.._.._etc_x')
    """
    safe = (each if each.isalnum() or each in "-_." else "_" for each in gateway)
    return "".join(safe)[:MAX_NAME_CHARACTERS]


def read_checkpoint_file(path: str) -> dict[str, Any]:
    """Return what a checkpoint file holds: `{"cut", "earlier"}`, the first a snapshot.

    Any process may read it at any time. Raises OSError, or ValueError that says why it holds
    nothing.
    """
    with open(path, "rb") as file:
        return checkpoint.decode_checkpoint(file.read(checkpoint.FILE_BYTES))


def _open_mapped(path: str) -> MappedFile:
    """Open, lock and map a file, made if there is none; OSError or ValueError if that fails."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
    try:
        # Two programs that write one file would each take the other's accounts for its own.
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        data = os.pread(descriptor, checkpoint.FILE_BYTES, 0)
        # A write to a mapping that the disk has no room for ends the process (SIGBUS), so the room
        # is allocated first.
        os.posix_fallocate(descriptor, 0, checkpoint.FILE_BYTES)
        mapping = mmap.mmap(descriptor, checkpoint.FILE_BYTES)
    except (OSError, ValueError):
        os.close(descriptor)
        raise
    return MappedFile(descriptor, mapping, data)


def _reason_of(problem: OSError | ValueError) -> str:
    if isinstance(problem, BlockingIOError):
        return "in use by another"
    return getattr(problem, "strerror", None) or str(problem)
