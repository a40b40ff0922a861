"""Typed records of the operator file: one for each element that an operator may write.

Spans are in ticks (tenths of a millisecond) unless a field says otherwise. Records of members,
leases and machines are named tuples, as they are compared and iterated with plain ones.
"""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class AccountingConfig:
    """Element `figures`: metrics listener and checkpoints.

    `listen` is a path, an address and port, or None; `checkpoint_folder` is "" for no checkpoints.
    """

    listen: str | tuple[str, int] | None
    readers: int
    checkpoint_folder: str
    checkpoint_interval_ticks: int  # ticks between two checkpoints
    latency_relative_error: float  # relative error of the latency sketches; 0: none are kept


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """Element `tls`: what a collector is verified by, its name, and our own certificate, if any."""

    ca_file: str
    server_name: str
    certificate_file: str
    key_file: str


@dataclass(frozen=True, slots=True)
class CollectorConfig:
    """Element `collector`: where flow records go, over udp, tcp or tls."""

    address: tuple[str, int]
    transport: str
    max_message_bytes: int
    template_refresh_ticks: int  # between two sendings of templates on UDP
    template_refresh_messages: int  # between two sendings of templates on UDP
    tls: TlsConfig | None


@dataclass(frozen=True, slots=True)
class FlowExportConfig:
    """Element `flows`: layout and timeouts of flow records, and their collectors."""

    layout: str
    mode: str
    active_timeout_ticks: int
    idle_timeout_ticks: int
    memory_bytes: int  # for records that no collector has taken yet
    collectors: tuple[CollectorConfig, ...]


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """Element `recall`: what outlives a restart, and where it is stored.

    `durability` is what the log survives: "process" (a kill) or "machine" (loss of power).
    """

    folder: str
    snapshot_interval_ticks: int
    durability: str
    snapshots_kept: int


class MemberAddress(NamedTuple):
    """Element `fellow`: an instance, where it listens, and its zone ("" where none is named)."""

    name: str
    address: tuple[str, int]
    zone: str


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Element `fellows`: all instances of the fleet, ourselves among them.

    `listen` is None where our own address among the members is meant. Each key has
    MIN_KEY_BYTES or more.
    """

    keys: tuple[bytes, ...]
    members: tuple[MemberAddress, ...]
    listen: tuple[str, int] | None
    period_ticks: int  # of the membership protocol


class LeaseEntry(NamedTuple):
    """Element `duty`: a lease that one instance holds at a time.

    `accounts_period_ticks` is the time between two rounds of fleet accounts.
    """

    name: str
    kind: str
    accounts_period_ticks: int


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Element `duties`: the voters, and the leases that they grant. Spans are in ticks."""

    version: int
    voters: tuple[str, ...]
    leases: tuple[LeaseEntry, ...]
    lease_ticks: int
    max_lease_ticks: int
    margin_ticks: int
    max_clock_drift: float  # largest relative drift between two clocks
    folder: str


class MaintenanceBounds(NamedTuple):
    """How much may be out for maintenance at once, in the order of the capacity check."""

    engines: int
    cores_fraction: float  # of all cores
    zone_fraction: float  # of a zone's cores
    kind_fraction: float  # of an engine kind's cores
    demand_fraction: float  # of what is left, that demand may use
    engines_left: int  # for each request class, at least
    gateways: int  # of a zone


class Machine(NamedTuple):
    """Element `machine`: engines that go down together."""

    name: str
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MaintenanceConfig:
    """Element `works`: machines taken out for maintenance. Spans are in ticks."""

    bounds: MaintenanceBounds
    machines: tuple[Machine, ...]
    period_ticks: int
    grant_ticks: int
    startup_wait_ticks: int


@dataclass(frozen=True, slots=True)
class PeerHealthConfig:
    """Element `shared`: health reports among instances."""

    report_interval_ticks: int  # ticks between two reports
    max_bytes_per_second: int  # bytes a second that reports may take


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """One operator file, whole. What has no element is None."""

    path: str
    accounting: AccountingConfig | None
    flow_export: FlowExportConfig | None
    recovery: RecoveryConfig | None
    membership: MembershipConfig | None
    leases: LeaseConfig | None
    maintenance: MaintenanceConfig | None
    peer_health: PeerHealthConfig | None
