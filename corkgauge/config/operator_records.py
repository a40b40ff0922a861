"""Typed records of the operator file, one for each of its elements.

A tick is a tenth of a millisecond. Records of members, leases and machines are named tuples because
they are compared with plain tuples and unpacked like them.
"""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class AccountingConfig:
    """Element `figures`: metrics listener and checkpoints.

    `listen` is a path, an address and port, or None; `checkpoint_folder` is "" for no checkpoints.
    """

    listen: str | tuple[str, int] | None
    readers: int  # metrics connections served at once
    checkpoint_folder: str
    checkpoint_interval_ticks: int
    latency_relative_error: float  # of the latency sketches; 0: no sketches


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """Element `tls`: how a collector is verified, and the client certificate, if any."""

    ca_file: str
    server_name: str  # expected in the certificate of the collector
    certificate_file: str
    key_file: str


@dataclass(frozen=True, slots=True)
class CollectorConfig:
    """Element `collector`: a receiver of flow records, over udp, tcp or tls."""

    address: tuple[str, int]
    transport: str  # "udp", "tcp" or "tls"
    max_message_bytes: int  # largest message with flow records
    # On UDP, templates are sent again after this time or this number of messages.
    template_refresh_ticks: int
    template_refresh_messages: int
    tls: TlsConfig | None


@dataclass(frozen=True, slots=True)
class FlowExportConfig:
    """Element `flows`: layout, timeouts and collectors of flow records."""

    layout: str  # "own", "standard" or "netflow9"
    mode: str  # "failover" (to one collector at a time) or "all"
    active_timeout_ticks: int
    idle_timeout_ticks: int
    memory_bytes: int  # limit of the records that no collector has accepted yet
    collectors: tuple[CollectorConfig, ...]


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """Element `recall`: snapshots and the attempt log, which a restart restores.

    `durability` is the failure that the attempt log survives: "process" (the process is killed) or
    "machine" (the machine loses power).
    """

    folder: str  # of snapshots and attempt log
    snapshot_interval_ticks: int
    durability: str
    snapshots_kept: int  # number of the latest snapshots that are kept


class MemberAddress(NamedTuple):
    """Element `fellow`: an instance, the address it listens at, and its zone ("" if not given)."""

    name: str
    address: tuple[str, int]
    zone: str


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Element `fellows`: all instances of the fleet, this one included.

    If `listen` is None, this instance listens at its address among the members. Each key has
    MIN_KEY_BYTES bytes or more.
    """

    keys: tuple[bytes, ...]
    members: tuple[MemberAddress, ...]
    listen: tuple[str, int] | None
    period_ticks: int  # protocol period of the membership probes


class LeaseEntry(NamedTuple):
    """Element `duty`: a lease that at most one instance holds at a time.

    `kind` is "run" or "books" (fleet accounts); `accounts_period_ticks` is the time between two
    rounds of fleet accounts.
    """

    name: str
    kind: str
    accounts_period_ticks: int


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Element `duties`: the voters and the leases that they grant.

    `max_lease_ticks` is the longest lease that any gateway of the fleet may have been granted since
    its voters started.
    """

    version: int  # of the list of voters
    voters: tuple[str, ...]
    leases: tuple[LeaseEntry, ...]
    lease_ticks: int
    max_lease_ticks: int
    margin_ticks: int
    max_clock_drift: float  # largest relative difference between the rates of two clocks
    folder: str  # of the stored votes


class MaintenanceBounds(NamedTuple):
    """Limits of what may be out for maintenance at once, in the order of the capacity check."""

    engines: int
    cores_fraction: float  # of all cores
    zone_fraction: float  # of a zone's cores
    kind_fraction: float  # of an engine kind's cores
    demand_fraction: float  # of the remaining cores that the demand may use
    engines_left: int  # fewest engines that remain for each request class
    gateways: int  # of one zone


class Machine(NamedTuple):
    """Element `machine`: engines that stop together because they share a machine."""

    name: str
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MaintenanceConfig:
    """Element `works`: maintenance of engines and machines.

    `period_ticks` is the time between two announcements of the plan, `grant_ticks` how long a
    gateway that receives none keeps sending to an engine whose maintenance was announced, and
    `startup_wait_ticks` how long a gateway without a stored plan waits for one before it serves.
    """

    bounds: MaintenanceBounds
    machines: tuple[Machine, ...]
    period_ticks: int
    grant_ticks: int
    startup_wait_ticks: int


@dataclass(frozen=True, slots=True)
class PeerHealthConfig:
    """Element `shared`: peer health reports between instances."""

    report_interval_ticks: int
    max_bytes_per_second: int  # limit of all reports that this instance sends


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The content of one operator file; a subsystem without an element is None."""

    path: str
    accounting: AccountingConfig | None
    flow_export: FlowExportConfig | None
    recovery: RecoveryConfig | None
    membership: MembershipConfig | None
    leases: LeaseConfig | None
    maintenance: MaintenanceConfig | None
    peer_health: PeerHealthConfig | None
