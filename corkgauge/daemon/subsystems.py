"""Starts, reloads and ends the subsystems that the operator file enables.

Without an operator file no subsystem is imported.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.net.host import SocketHost


class RunningSubsystem(Protocol):
    """Interface of a started subsystem.

    Two further methods are optional: `leave()` is called when the shutdown begins, while open
    requests are still answered. `waiting()` returns True as long as no client may be accepted.
    """

    def reload(self, config: Any, /) -> None:
        """Apply a new configuration, or raise ConfigurationError and change nothing."""

    def end(self) -> None:
        """Release all resources, after the event loop has stopped."""


RunningSubsystems = dict[str, Any]  # by the attribute of their configuration
StartFunction = Callable[[SocketHost, PlatformConfig, Any, RunningSubsystems], RunningSubsystem]


@dataclass(frozen=True, slots=True)
class Subsystem:
    """A subsystem's configuration attribute, element of the operator file, and start function.

    `start` receives the subsystems that are running already, as some depend on others.
    """

    name: str
    element: str
    start: StartFunction


def _start_accounting(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.accounting.service import AccountingService

    return AccountingService(host, platform.name, platform.seed, config)


def _start_recovery(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.recovery.service import RecoveryService

    return RecoveryService(host, platform.name, platform.settings_checksum, config)


def _start_flow_export(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.flow_export.exporter import Exporter

    return Exporter(host, platform.name, platform.seed, config)


def _start_membership(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.membership.service import MembershipService

    return MembershipService(host, platform, config)


def _start_leases(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.leases.service import LeaseService

    return LeaseService(host, platform, config, running["membership"])


def _start_maintenance(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.maintenance.service import MaintenanceService

    return MaintenanceService(host, platform, config, running["membership"], running["leases"])


def _start_peer_health(
    host: SocketHost, platform: PlatformConfig, config: Any, running: RunningSubsystems
) -> RunningSubsystem:
    from corkgauge.peer_health.service import PeerHealthService

    return PeerHealthService(host, platform, config, running["membership"])


# In the order of their start; each subsystem depends only on earlier ones.
SUBSYSTEMS = (
    Subsystem("accounting", "figures", _start_accounting),
    Subsystem("recovery", "recall", _start_recovery),
    Subsystem("flow_export", "flows", _start_flow_export),
    Subsystem("membership", "fellows", _start_membership),
    Subsystem("leases", "duties", _start_leases),
    Subsystem("maintenance", "works", _start_maintenance),
    Subsystem("peer_health", "shared", _start_peer_health),
)


class Subsystems:
    """All subsystems of one operator file."""

    def __init__(self, socket_host: SocketHost, platform_config: PlatformConfig, path: str) -> None:
        """Read the file and start the subsystems that it enables.

        Raises ConfigurationError if the file is faulty.
        """
        from corkgauge.config import operator_file

        self.socket_host = socket_host
        self.path = path
        self.config = operator_file.read(path)
        self.running: RunningSubsystems = {}
        for subsystem in SUBSYSTEMS:
            config = getattr(self.config, subsystem.name)
            if config is not None:
                self.running[subsystem.name] = subsystem.start(
                    socket_host, platform_config, config, self.running
                )

    def reload(self) -> None:
        """Read the file again and apply it to the running subsystems.

        After an error, logs it and changes nothing. An element that was added or removed is logged
        and takes effect after a restart; the other elements are applied.
        """
        from corkgauge.config import operator_file

        try:
            config = operator_file.read(self.path)
        except ConfigurationError as problem:
            self.socket_host.log(f"operator file not taken: {problem}")
            return
        if self._apply(config):
            self.config = config

    def _apply(self, config: Any) -> bool:
        """Pass the new configuration to the running subsystems; after an error, restore the old."""
        reloaded: list[str] = []
        for subsystem in SUBSYSTEMS:
            name = subsystem.name
            new, running = getattr(config, name), self.running.get(name)
            if (new is None) != (running is None):
                self.socket_host.log(
                    f"operator file: {subsystem.element} switched, in force after a restart"
                )
                continue
            if running is None:
                continue
            try:
                running.reload(new)
            except ConfigurationError as problem:
                # A partly applied file would be neither the old nor the new configuration.
                for earlier in reloaded:
                    self.running[earlier].reload(getattr(self.config, earlier))
                self.socket_host.log(f"operator file not taken: {problem}")
                return False
            reloaded.append(name)
        return True

    def must_hold_clients(self) -> bool:
        """Return whether a subsystem is not ready yet for clients to be accepted."""
        return any(
            running.waiting() for running in self.running.values() if hasattr(running, "waiting")
        )

    def leave(self) -> None:
        """Notify the subsystems that the shutdown begins; open requests are still answered."""
        for running in self.running.values():
            if hasattr(running, "leave"):
                running.leave()

    def end(self) -> None:
        """End all subsystems in reverse order, so that each ends before those it depends on."""
        for running in reversed(self.running.values()):
            running.end()
