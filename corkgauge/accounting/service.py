"""The accounting service: what an operator file asks for in `figures`.

Owns the HTTP listener, the checkpoint file and the latency sketches, and the epoch that the counts
belong to. Counts nothing itself, and is imported only where an operator file has the element.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol
from zlib import crc32

from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.snapshot import (
    Snapshot,
    add_audit,
    add_live_connections,
    take_snapshot,
)
from corkgauge.config.operator_file import AccountingConfig
from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.loop import EventLoop

# What these need (h11, msgpack, ddsketch) is imported only where the element asks for it.
if TYPE_CHECKING:
    from corkgauge.accounting.checkpoint_file import CheckpointFile
    from corkgauge.accounting.http_listener import HttpListener
    from corkgauge.accounting.latency_sketches import LatencySketches


class LiveConnections(Protocol):
    """What the service needs of the live records."""

    def live_bytes(self) -> Sequence[tuple[int, int, int]]:
        """Return, by side, bytes received, bytes sent and pages of connections that are up."""


class FlowReport(Protocol):
    """What the service needs of flow export."""

    def status_report(self) -> dict[str, Any]:
        """Return the state of flow export, as a snapshot has it."""


class AccountedHost(Protocol):
    """What the service needs of the host."""

    event_loop: EventLoop
    ledger: RequestLedger
    discrepancies: Discrepancies
    auditor: LedgerAuditor
    latency_sketches: "LatencySketches | None"
    flow_export: FlowReport | None

    @property
    def records(self) -> LiveConnections:
        """Live records of what is open."""

    @property
    def routes(self) -> Mapping[tuple[bytes, bytes], Callable[[bytes], Any]]:
        """What the listener answers for other subsystems, by method and path."""

    def log(self, line: str) -> None:
        """Write a log line."""


class AccountingService:
    """Answers for the accounts and keeps them; made once for a program.

    `seed` is that of the platform configuration. Raises ConfigurationError if the address to listen
    on is not to be had.
    """

    def __init__(
        self, host: AccountedHost, gateway: str, seed: int, config: AccountingConfig
    ) -> None:
        self.host = host
        self.gateway = gateway
        self.config = config
        now = host.event_loop.now
        mark = crc32(f"{seed} {now} {gateway}".encode())
        self.epoch = {"id": f"{now // 10:x}-{mark:08x}", "started": now}
        if config.latency_relative_error:
            from corkgauge.accounting.latency_sketches import LatencySketches

            host.latency_sketches = LatencySketches(config.latency_relative_error)
        self.checkpoint_file = self._open_checkpoint_file(config)
        if self.checkpoint_file is not None:
            self._write_checkpoint(self.checkpoint_file)
        self.http_listener = self._open_listener(config)

    def reload(self, config: AccountingConfig) -> None:
        """Take a new element: the listener moves at once, folder and sketches wait for a restart.

        Raises ConfigurationError if the new address is not to be had; nothing is changed then.
        """
        before = self.config
        if (config.listen, config.readers) != (before.listen, before.readers):
            # The old listener stays until the new one is there: an address that is not to be had
            # must not cost operators the one that they have.
            listener = self._open_listener(config)
            if self.http_listener is not None:
                self.http_listener.close()
            self.http_listener = listener
        settings = (
            ("keep", before.checkpoint_folder, config.checkpoint_folder),
            ("keep_each", before.checkpoint_interval_ticks, config.checkpoint_interval_ticks),
            ("error", before.latency_relative_error, config.latency_relative_error),
        )
        changed = [name for name, old, new in settings if old != new]
        if changed:
            names = ", ".join(changed)
            self.host.log(f"operator file: figures {names} changed, in force after a restart")
        self.config = config

    def take_snapshot(self) -> Snapshot:
        """Return a consistent snapshot, as readers get it."""
        host = self.host
        snapshot = add_audit(self._take_counts(), host.discrepancies, host.auditor.passes)
        if host.latency_sketches is not None:
            snapshot["waits"] = host.latency_sketches.fields()
        if host.flow_export is not None:
            snapshot["flows"] = host.flow_export.status_report()
        if self.checkpoint_file is not None:
            snapshot["earlier"] = self.checkpoint_file.earlier_epochs
        return snapshot

    def end(self) -> None:
        """Write the last counts and close the listener: the program ends in order."""
        if self.checkpoint_file is not None:
            self.checkpoint_file.write(self._take_counts())
            self.checkpoint_file.close()
        if self.http_listener is not None:
            self.http_listener.close()
            self.http_listener = None

    def _write_checkpoint(self, checkpoint_file: "CheckpointFile") -> None:
        """Put the counts where a kill leaves them, now and again each period."""
        checkpoint_file.write(self._take_counts())
        self.host.event_loop.call_later(
            self.config.checkpoint_interval_ticks, self._write_checkpoint, checkpoint_file
        )

    def _take_counts(self) -> Snapshot:
        host = self.host
        counts = take_snapshot(host.ledger, host.event_loop.now, self.gateway, self.epoch)
        return add_live_connections(counts, host.records.live_bytes())

    def _open_checkpoint_file(self, config: AccountingConfig) -> "CheckpointFile | None":
        if not config.checkpoint_folder:
            return None
        from corkgauge.accounting.checkpoint_file import CheckpointFile

        return CheckpointFile(config.checkpoint_folder, self.gateway, self.host.log)

    def _open_listener(self, config: AccountingConfig) -> "HttpListener | None":
        if config.listen is None:
            return None
        from corkgauge.accounting.http_listener import HttpListener

        try:
            return HttpListener(
                self.host.event_loop,
                config.listen,
                config.readers,
                self.take_snapshot,
                self.host.discrepancies.clear,
                self.host.log,
                self.host.routes,
            )
        except OSError as problem:
            reason = problem.strerror or problem
            raise ConfigurationError(f"figures listen: {config.listen}: {reason}") from None
