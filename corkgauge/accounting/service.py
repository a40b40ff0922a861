"""Runs the accounting that the `figures` element of the operator file configures.

Owns the HTTP listener, the checkpoint file, the latency sketches, and the epoch that the counts
belong to. The ledger counts, not this service. The module is imported only if the operator file has
the element.
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

# These need h11, msgpack and ddsketch, which are imported only if the element configures them.
if TYPE_CHECKING:
    from corkgauge.accounting.checkpoint_file import CheckpointFile
    from corkgauge.accounting.http_listener import HttpListener
    from corkgauge.accounting.latency_sketches import LatencySketches


class LiveConnections(Protocol):
    """The live records, as far as the service uses them."""

    def live_bytes(self) -> Sequence[tuple[int, int, int]]:
        """Return, by side, bytes received, bytes sent and result pages of open connections."""


class FlowReport(Protocol):
    """Flow export, as far as the service uses it."""

    def status_report(self) -> dict[str, Any]:
        """Return the state of flow export in the form that a snapshot contains."""


class AccountedHost(Protocol):
    """The host, as far as the service uses it."""

    event_loop: EventLoop
    ledger: RequestLedger
    discrepancies: Discrepancies
    auditor: LedgerAuditor
    latency_sketches: "LatencySketches | None"
    flow_export: FlowReport | None

    @property
    def records(self) -> LiveConnections:
        """Live records of open requests, attempts and connections."""

    @property
    def routes(self) -> Mapping[tuple[bytes, bytes], Callable[[bytes], Any]]:
        """HTTP handlers of other subsystems, by method and path."""

    def log(self, line: str) -> None:
        """Write a log line."""


class AccountingService:
    """Serves snapshots over HTTP and writes checkpoints; a program has one instance.

    `seed` is the seed of the platform configuration. Raises ConfigurationError if the service
    cannot listen on the configured address.
    """

    def __init__(
        self, host: AccountedHost, gateway: str, seed: int, config: AccountingConfig
    ) -> None:
        self.host = host
        self.gateway = gateway
        self.config = config
        now = host.event_loop.now
        # The epoch id is the start in milliseconds (hexadecimal) and a CRC of seed, start in ticks
        # and gateway.
        suffix = crc32(f"{seed} {now} {gateway}".encode())
        self.epoch = {"id": f"{now // 10:x}-{suffix:08x}", "started": now}
        if config.latency_relative_error:
            from corkgauge.accounting.latency_sketches import LatencySketches

            host.latency_sketches = LatencySketches(config.latency_relative_error)
        self.checkpoint_file = self._open_checkpoint_file(config)
        if self.checkpoint_file is not None:
            self._write_checkpoints_periodically(self.checkpoint_file)
        self.http_listener = self._open_listener(config)

    def reload(self, config: AccountingConfig) -> None:
        """Apply a changed element.

        A changed listener address takes effect at once. A changed checkpoint folder or sketch error
        takes effect after a restart. A changed checkpoint interval takes effect after the next
        checkpoint, although the log line lists `keep_each` among the settings that need a restart.

        Raises ConfigurationError, and changes nothing, if the service cannot listen on the new
        address. A change of `readers` alone also raises ConfigurationError, because the new
        listener cannot be opened on the address while the old listener is open.
        """
        before = self.config
        if (config.listen, config.readers) != (before.listen, before.readers):
            # The old listener is closed only after the new one is open, so that operators do not
            # lose the working listener if the new address is not available.
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
        """Return a consistent snapshot, in the form that readers receive."""
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
        """Write the last counts and close the listener, in an orderly shutdown."""
        if self.checkpoint_file is not None:
            self.checkpoint_file.write(self._take_counts())
            self.checkpoint_file.close()
        if self.http_listener is not None:
            self.http_listener.close()
            self.http_listener = None

    def _write_checkpoints_periodically(self, checkpoint_file: "CheckpointFile") -> None:
        """Write a checkpoint, which survives a kill, and schedule the next one."""
        checkpoint_file.write(self._take_counts())
        self.host.event_loop.call_later(
            self.config.checkpoint_interval_ticks,
            self._write_checkpoints_periodically,
            checkpoint_file,
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
