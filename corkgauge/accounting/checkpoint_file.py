"""Writes and reads the checkpoint file on a disk, in the format of `checkpoint`.

Owns one file, its lock and its mapping. A failing disk must never stop the program: a file that
cannot be opened is reported in one log line, and accounting continues without the file.
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
    """A locked and mapped file of two slots, and its content at the time of opening."""

    descriptor: int  # kept open to hold the lock
    mapping: mmap.mmap
    data: bytes


class CheckpointFile:
    """Writes snapshots into the two slots alternately.

    The file is mapped into memory, and the operating system writes that memory to the disk. Thus no
    call waits for the disk and a kill of the process loses no written snapshot, but a power failure
    may lose some.
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
            self.log(f"figures not kept: {self.path}: {_describe_error(problem)}")
            return
        self.descriptor = opened.descriptor
        self.mapping = opened.mapping
        self._close_previous_epoch(opened.data)

    def _close_previous_epoch(self, data: bytes) -> None:
        """Close the epoch that the file holds; log and ignore a file that cannot be read."""
        slot = checkpoint.Slot(0, None, SlotProblem.EMPTY)
        if data:
            slot = checkpoint.find_latest_slot(data)
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
            # The checksum matches, so the body is intact but was written with another structure.
            self.earlier_epochs = []
            reason = type(problem).__name__
            self.log(f"figures: {self.path} is foreign ({reason}), a fresh epoch")

    def write(self, snapshot: Snapshot) -> None:
        """Write a snapshot into the older slot; do nothing if there is no file.

        If the snapshot does not fit into a slot even with all engines in one row, the file is
        closed and no checkpoint is written until a restart.
        """
        if self.mapping is None:
            return
        self.generation += 1
        try:
            data = self._encode(snapshot)
        except ValueError as problem:
            self.close()
            self.log(
                f"figures not kept: the snapshot does not fit into a slot or cannot be encoded "
                f"({problem}); no checkpoints until a restart"
            )
            return
        slot_offset = self.generation % 2 * checkpoint.SLOT_BYTES
        body_offset = slot_offset + checkpoint.OVERHEAD_BYTES
        # The header is written last. A kill between the two writes leaves a slot whose checksum
        # does not match, so the other slot is used.
        self.mapping[body_offset : slot_offset + len(data)] = data[checkpoint.OVERHEAD_BYTES :]
        self.mapping[slot_offset:body_offset] = data[: checkpoint.OVERHEAD_BYTES]

    def _encode(self, snapshot: Snapshot) -> bytes:
        try:
            return checkpoint.encode_checkpoint(self.generation, snapshot, self.earlier_epochs)
        except ValueError as problem:
            if not self.is_too_large:
                self.is_too_large = True
                self.log(f"figures: {problem} are too many to keep, engines are kept in one row")
        return checkpoint.encode_folded_checkpoint(self.generation, snapshot, self.earlier_epochs)

    def close(self) -> None:
        """Close the file and release its lock; written snapshots remain in the file."""
        if self.mapping is not None:
            self.mapping.close()
            self.mapping = None
            os.close(self.descriptor)


def safe_file_name(gateway: str) -> str:
    """Return the name of a gateway in a form that is safe as part of a file name.

    >>> safe_file_name("n1"), safe_file_name("../../etc/x")
    ('n1', '.._.._etc_x')
    """
    safe = (each if each.isalnum() or each in "-_." else "_" for each in gateway)
    return "".join(safe)[:MAX_NAME_CHARACTERS]


def read_checkpoint_file(path: str) -> dict[str, Any]:
    """Return the content of a checkpoint file: `{"cut", "earlier"}`, where `cut` is a snapshot.

    Any process may read the file at any time. Raises OSError, or ValueError with the reason why
    there is no valid checkpoint; KeyError or TypeError is possible for a body with another
    structure.
    """
    with open(path, "rb") as file:
        return checkpoint.decode_checkpoint(file.read(checkpoint.FILE_BYTES))


def _open_mapped(path: str) -> MappedFile:
    """Open or create, lock and map a file; raise OSError or ValueError if that fails."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
    try:
        # Without the lock, two programs that write one file would take over each other's counts.
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        data = os.pread(descriptor, checkpoint.FILE_BYTES, 0)
        # Disk space is allocated first, because a write to a mapping that has no disk space ends
        # the process (SIGBUS).
        os.posix_fallocate(descriptor, 0, checkpoint.FILE_BYTES)
        mapping = mmap.mmap(descriptor, checkpoint.FILE_BYTES)
    except (OSError, ValueError):
        os.close(descriptor)
        raise
    return MappedFile(descriptor, mapping, data)


def _describe_error(problem: OSError | ValueError) -> str:
    if isinstance(problem, BlockingIOError):
        return "in use by another process; end that process or configure another folder"
    return getattr(problem, "strerror", None) or str(problem)
