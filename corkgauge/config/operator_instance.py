"""Readers of the operator file's elements on one instance: `figures`, `flows`, `recall`."""

from corkgauge.config.operator_element import OperatorElement
from corkgauge.config.operator_records import (
    AccountingConfig,
    CollectorConfig,
    FlowExportConfig,
    RecoveryConfig,
    TlsConfig,
)
from corkgauge.policy.units import TICKS_PER_SECOND

MAX_DATAGRAM_BYTES = 65_507  # largest UDP payload on IPv4
MAX_UNIX_PATH_BYTES = 107  # longest socket path that Linux accepts
# Defaults of attributes, as text like the attribute values.
CHECKPOINT_SECONDS = "0.25"
LATENCY_ERROR_FRACTION = "0.02"
MAX_READER_COUNT = "4"


def read_accounting(element: OperatorElement | None) -> AccountingConfig | None:
    """Return the accounting configuration of the element `figures`."""
    if element is None:
        return None
    listener, keep, latencies = (element.child(name) for name in ("listen", "keep", "waits"))
    readers, folder = MAX_READER_COUNT, ""
    checkpoint_ticks = int(float(CHECKPOINT_SECONDS) * TICKS_PER_SECOND)
    relative_error = 0.0
    listen = _read_listen_address(listener)
    if listener is not None:
        readers = listener.text("readers", MAX_READER_COUNT)
    if keep is not None:
        folder = keep.text("folder")
        checkpoint_ticks = keep.ticks("each", CHECKPOINT_SECONDS)
    if latencies is not None:
        relative_error = latencies.number("error", LATENCY_ERROR_FRACTION)
    return AccountingConfig(listen, int(readers), folder, checkpoint_ticks, relative_error)


def _read_listen_address(element: OperatorElement | None) -> str | tuple[str, int] | None:
    if element is None:
        return None
    if element.has("unix") == element.has("address"):
        raise element.error("one of unix or address")
    if element.has("unix"):
        path = element.text("unix")
        if len(path.encode()) > MAX_UNIX_PATH_BYTES:
            raise element.error(f"a socket path of {MAX_UNIX_PATH_BYTES} bytes at most")
        return path
    host, _, port = element.text("address").rpartition(":")
    has_bad_octet = any(int(part) > 255 for part in host.split(".") if part.isdigit())
    if not 0 <= int(port) < 65536 or has_bad_octet:
        raise element.error("a loopback address and a port from 0 to 65535")
    return host.strip("[]"), int(port)


def read_flow_export(element: OperatorElement | None) -> FlowExportConfig | None:
    """Return the flow export configuration of the element `flows`."""
    if element is None:
        return None
    layout = element.text("layout", "own")
    collectors = tuple(_read_collector(each, layout) for each in element.children("collector"))
    if len({each.address for each in collectors}) < len(collectors):
        raise element.error("collectors with different addresses, found an address twice")
    return FlowExportConfig(
        layout=layout,
        mode=element.text("mode", "failover"),
        active_timeout_ticks=element.ticks("active", "60"),
        idle_timeout_ticks=element.ticks("idle", "15"),
        memory_bytes=element.integer("memory", "1048576"),
        collectors=collectors,
    )


def _read_collector(element: OperatorElement, layout: str) -> CollectorConfig:
    transport, tls = element.text("transport"), element.child("tls")
    if layout == "netflow9" and transport != "udp":
        raise element.error("transport udp, the only transport of layout netflow9")
    if (transport == "tls") != (tls is not None):
        raise element.error("an element tls with transport tls, and none with another transport")
    address = element.address(element.text("address"))
    tls_config = None if tls is None else _read_tls(tls)
    default_bytes = "1400" if transport == "udp" else "16384"
    max_message_bytes = element.integer("payload", default_bytes)
    if transport == "udp" and max_message_bytes > MAX_DATAGRAM_BYTES:
        raise element.error(f"a payload of {MAX_DATAGRAM_BYTES} octets at most on udp")
    return CollectorConfig(
        address=address,
        transport=transport,
        max_message_bytes=max_message_bytes,
        template_refresh_ticks=element.ticks("templates", "300"),
        template_refresh_messages=element.integer("messages", "1000"),
        tls=tls_config,
    )


def _read_tls(element: OperatorElement) -> TlsConfig:
    if element.has("certificate") != element.has("key"):
        raise element.error("both certificate and key, or neither")
    return TlsConfig(
        element.text("ca"), element.text("name"), element.text("certificate"), element.text("key")
    )


def read_recovery(element: OperatorElement | None) -> RecoveryConfig | None:
    """Return the recovery configuration of the element `recall`."""
    if element is None:
        return None
    return RecoveryConfig(
        folder=element.text("folder"),
        snapshot_interval_ticks=element.ticks("each", "1"),
        durability=element.text("durability", "process"),
        snapshots_kept=element.integer("kept", "3"),
    )
