"""Reloads the platform's configuration and the operator file at SIGHUP."""

from collections.abc import Mapping

from corkgauge.config import platform
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.daemon.subsystems import Subsystems
from corkgauge.net.discovery import DiscoveryWatch
from corkgauge.net.host import SocketHost, UnstartedHost, build_settings


class ConfigurationReloader:
    """Owns the active configuration and the discovery watch, which a reload may replace."""

    def __init__(
        self,
        socket_host: SocketHost,
        platform_config: PlatformConfig,
        subsystems: Subsystems | None = None,
    ) -> None:
        self.socket_host = socket_host
        self.platform_config = platform_config
        self.subsystems = subsystems
        self.discovery = self._watch()

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration again and apply the changes that need no restart.

        A faulty platform configuration changes nothing, and the operator file is then not read.
        With a valid one, the operator file is reloaded too. Open requests and connections remain.
        Of the platform configuration, only a new discovery address takes effect; other changed keys
        are logged as waiting for a restart.
        """
        try:
            new = platform.read(environment)
            build_settings(new, UnstartedHost())
        except ConfigurationError as problem:
            self.socket_host.log(f"configuration not taken: {problem}")
            return
        if self.subsystems is not None:
            self.subsystems.reload()
        waiting_keys = self.platform_config.keys_needing_restart(new)
        if waiting_keys:
            self.socket_host.log(
                f"configuration: {', '.join(waiting_keys)} changed, in force after a restart"
            )
        if new.discovery_address != self.platform_config.discovery_address:
            self._move_discovery(new.discovery_address)

    def _move_discovery(self, address: tuple[str, int]) -> None:
        host, port = address
        self.socket_host.log(f"feed moves to {host}:{port} at {self.socket_host.last_event}")
        self.platform_config.discovery_address = address
        self.discovery.leave()
        self.discovery = self._watch()

    def _watch(self) -> DiscoveryWatch:
        discovery = DiscoveryWatch(self.socket_host, self.platform_config.discovery_address)
        self.socket_host.event_loop.spawn(discovery.run)
        return discovery
