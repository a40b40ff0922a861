"""The figures that an operator file asks for: who listens, what is kept, what is timed.

Owns the door, the shelf and the sketches, and the epoch that the counts belong to. Must never count anything
itself, and is imported only where an operator file has the element.
"""

from typing import Any
from zlib import crc32

from corkgauge.accounting.snapshot import Cut, cut_of, with_audit, with_live
from corkgauge.config.operator_file import Figures
from corkgauge.config.platform import ConfigurationError


class AccountingService:
    """Made once for a program; `reload` takes a new element. `house` has `hub`, `ledger`, `findings`,
    `auditor`, `records` and `log`."""

    def __init__(self, socket_host: Any, gateway: str, seed: int, said: Figures) -> None:
        self.socket_host, self.gateway, self.said = socket_host, gateway, said
        now = socket_host.event_loop.now
        mark = crc32(f"{seed} {now} {gateway}".encode())
        self.epoch = {"id": f"{now // 10:x}-{mark:08x}", "started": now}
        self.door: Any = None
        self.shelf: Any = None
        if said.error:
            from corkgauge.accounting.latency_sketches import LatencySketches

            socket_host.waits = LatencySketches(said.error)
        if said.keep:
            from corkgauge.accounting.checkpoint_file import CheckpointFile

            self.shelf = CheckpointFile(said.keep, gateway, socket_host.log)
            self.keep()
        self._open(said)

    def reload(self, said: Figures) -> None:
        """A new element. The listener moves at once; folder and sketches wait for a restart."""
        if (said.listen, said.readers) != (self.said.listen, self.said.readers):
            old, self.door = self.door, None
            try:
                self._open(said)
            except ConfigurationError:
                self.door = (
                    old  # Danger: a new address that cannot be had must not cost the old one
                )
                raise
            if old is not None:
                old.close()
        if waits := [
            name
            for name in ("keep", "keep_each", "error")
            if getattr(said, name) != getattr(self.said, name)
        ]:
            self.socket_host.log(
                f"operator file: figures {', '.join(waits)} changed, in force after a restart"
            )
        self.said = said

    def cut(self) -> Cut:
        """One consistent cut, as readers get it."""
        socket_host = self.socket_host
        cut = with_audit(self._counts(), socket_host.findings, socket_host.auditor.passes)
        if socket_host.waits is not None:
            cut["waits"] = socket_host.waits.told()
        if socket_host.flows is not None:
            cut["flows"] = socket_host.flows.status_report()
        if self.shelf is not None:
            cut["earlier"] = self.shelf.earlier
        return cut

    def keep(self) -> None:
        """Put the counts where a kill leaves them."""
        self.shelf.put(self._counts())
        self.socket_host.event_loop.call_later(self.said.keep_each, self.keep)

    def end(self) -> None:
        """The program ends in order: the last counts are kept, and the door is shut."""
        if self.shelf is not None:
            self.shelf.put(self._counts())
            self.shelf.close()
        self._close()

    def _counts(self) -> Cut:
        counts = cut_of(
            self.socket_host.ledger, self.socket_host.event_loop.now, self.gateway, self.epoch
        )
        return with_live(counts, self.socket_host.records.live_bytes())

    def _open(self, said: Figures) -> None:
        if said.listen is None:
            return
        from corkgauge.accounting.http_listener import HttpListener

        socket_host = self.socket_host
        try:
            self.door = HttpListener(
                socket_host.event_loop,
                said.listen,
                said.readers,
                self.cut,
                socket_host.findings.clear,
                socket_host.log,
                socket_host.routes,
            )
        except OSError as problem:
            raise ConfigurationError(
                f"figures listen: {said.listen}: {problem.strerror or problem}"
            ) from None

    def _close(self) -> None:
        if self.door is not None:
            self.door.close()
            self.door = None
