"""Prepares the collectors of the operator file: reads TLS files and creates their state."""

from typing import NamedTuple

from corkgauge.config.operator_file import CollectorConfig, FlowExportConfig
from corkgauge.config.platform import ConfigurationError
from corkgauge.flow_export.collector_peer import CollectorPeer
from corkgauge.flow_export.tls import TlsConfigurationError, TlsTarget, client_context


class ConfiguredCollector(NamedTuple):
    """The settings of a collector in the operator file, and its TLS context."""

    settings: CollectorConfig
    tls: TlsTarget | None


def read_collectors(settings: FlowExportConfig) -> list[ConfiguredCollector]:
    """Read the TLS files of all collectors.

    Raises:
        ConfigurationError: a file cannot be read, or a key file is accessible to other users.
    """
    try:
        return [ConfiguredCollector(each, _make_tls_target(each)) for each in settings.collectors]
    except TlsConfigurationError as problem:
        raise ConfigurationError(f"flows: {problem}") from None


def _make_tls_target(collector: CollectorConfig) -> TlsTarget | None:
    tls = collector.tls
    if not tls:
        return None
    return TlsTarget(
        client_context(tls.ca_file, tls.certificate_file, tls.key_file), tls.server_name
    )


def make_peer(collector: CollectorConfig) -> CollectorPeer:
    """Create the state of a collector, which is initially down."""
    host, port = collector.address
    return CollectorPeer(
        name=f"{host}:{port}",
        is_datagram=collector.transport == "udp",
        max_message_bytes=collector.max_message_bytes,
        refresh_ticks=collector.template_refresh_ticks,
        refresh_messages=collector.template_refresh_messages,
    )
