"""Reads the operator file: validates it by the schema and passes each element to its reader.

Imported only if `--operator` names a file, so that a process without one loads no XML parser. Opens
only that file and the files that it names; starts no subsystem and opens no socket.
"""

from importlib.resources import files
from typing import Any

from lxml import etree

from corkgauge.config.operator_element import MAX_FILE_BYTES, OperatorElement
from corkgauge.config.operator_fleet import (
    read_leases,
    read_maintenance,
    read_membership,
    read_peer_health,
)
from corkgauge.config.operator_instance import read_accounting, read_flow_export, read_recovery
from corkgauge.config.operator_records import (
    AccountingConfig,
    CollectorConfig,
    FlowExportConfig,
    LeaseConfig,
    MaintenanceConfig,
    MembershipConfig,
    OperatorConfig,
    PeerHealthConfig,
    RecoveryConfig,
    TlsConfig,
)
from corkgauge.errors import ConfigurationError

__all__ = [
    "AccountingConfig",
    "CollectorConfig",
    "FlowExportConfig",
    "LeaseConfig",
    "MaintenanceConfig",
    "MembershipConfig",
    "OperatorConfig",
    "PeerHealthConfig",
    "RecoveryConfig",
    "TlsConfig",
    "read",
]


def read(path: str) -> OperatorConfig:
    """Return the configuration in an operator file.

    Raises:
        ConfigurationError: The file is unreadable or faulty; the message names file, line and
            element.
    """
    root = OperatorElement(path, _parse(path, _read_bytes(path)))
    return OperatorConfig(
        path=path,
        accounting=read_accounting(root.child("figures")),
        flow_export=read_flow_export(root.child("flows")),
        recovery=read_recovery(root.child("recall")),
        membership=read_membership(root.child("fellows")),
        leases=read_leases(root),
        maintenance=read_maintenance(root),
        peer_health=read_peer_health(root),
    )


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as problem:
        raise ConfigurationError(
            f"{path}: expected a readable file, found: {problem.strerror}"
        ) from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationError(f"{path}: expected {MAX_FILE_BYTES} bytes at most, found more")
    return data


def _parse(path: str, data: bytes) -> Any:
    """Return the root element of a document that the schema accepts."""
    # Entities could read other files or expand without limit. They are therefore not resolved, and
    # a document type declaration, which could define them, is an error.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False)
    try:
        tree = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as problem:
        raise ConfigurationError(f"{path}:{problem.lineno or 1}: {problem.msg}") from None
    if tree.getroottree().docinfo.doctype:
        raise ConfigurationError(
            f"{path}:1: expected no document type declaration (DOCTYPE), found one"
        )
    schema = etree.XMLSchema(
        etree.fromstring(files("corkgauge.config").joinpath("operator.xsd").read_bytes())
    )
    if not schema.validate(tree):
        first = schema.error_log[0]
        raise ConfigurationError(f"{path}:{first.line}: {first.message}")
    return tree
