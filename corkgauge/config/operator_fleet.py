"""Readers of the operator file's elements on the fleet: `fellows`, `duties`, `works`, `shared`."""

import os
from typing import NamedTuple

from corkgauge.config.operator_element import OperatorElement
from corkgauge.config.operator_records import (
    LeaseConfig,
    LeaseEntry,
    Machine,
    MaintenanceBounds,
    MaintenanceConfig,
    MemberAddress,
    MembershipConfig,
    PeerHealthConfig,
)
from corkgauge.errors import ConfigurationError

MIN_KEY_BYTES = 32  # least length of a key that all members share
MAX_VOTER_COUNT = 7


class _MemberLine(NamedTuple):
    """A member before validation, from an element `fellow` or a line of the roster file.

    `element` is named in errors; for a roster line it is the element that names the roster.
    """

    element: OperatorElement
    name: str
    address: str
    zone: str = ""


def read_membership(element: OperatorElement | None) -> MembershipConfig | None:
    """Return the membership configuration of `fellows`; reads its roster and key files."""
    if element is None:
        return None
    members: dict[str, MemberAddress] = {}
    for line in _member_lines(element):
        if line.name in members:
            raise line.element.error(f"each fellow only once, found {line.name!r} again")
        address = line.element.address(line.address)
        members[line.name] = MemberAddress(line.name, address, line.zone)
    keys = tuple(_read_key(each) for each in element.children("key"))
    listen = element.address(element.text("listen")) if element.has("listen") else None
    return MembershipConfig(keys, tuple(members.values()), listen, element.ticks("period", "0.5"))


def _member_lines(element: OperatorElement) -> list[_MemberLine]:
    lines = [
        _MemberLine(each, each.text("name"), each.text("address"), each.text("hall"))
        for each in element.children("fellow")
    ]
    roster = element.text("roster")
    if not roster:
        return lines
    for number, line in enumerate(element.read_file(roster).splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        if len(words) not in (2, 3):
            raise ConfigurationError(
                f"{roster}:{number}: expected NAME ADDRESS:PORT [HALL], found {line[:80]!r}"
            )
        lines.append(_MemberLine(element, *words))
    return lines


def _read_key(element: OperatorElement) -> bytes:
    """Return the key in the file that the element names.

    Raises ConfigurationError for a file that every user of the machine may open, as any of them
    could then forge datagrams.
    """
    name = element.text("file")
    text = element.read_file(name)
    try:
        secret = bytes.fromhex(text.strip())
    except ValueError:
        secret = b""
    if len(secret) < MIN_KEY_BYTES:
        raise element.error(
            f"{2 * MIN_KEY_BYTES} hexadecimal digits or more in the key file {name}"
        )
    if os.stat(name).st_mode & 0o007:
        raise element.error(
            f"a key file without permissions for other users; run chmod o-rwx on {name}"
        )
    return secret


def read_leases(root: OperatorElement) -> LeaseConfig | None:
    """Return the lease configuration of `duties`, an element that requires `fellows`."""
    element = root.child("duties")
    if element is None:
        return None
    if root.child("fellows") is None:
        raise element.error("an element fellows in the same file")
    version, voters = _read_voters(element)
    leases = tuple(
        LeaseEntry(each.text("name"), each.text("kind", "run"), each.ticks("each", "5"))
        for each in element.children("duty")
    )
    if len({each.name for each in leases}) < len(leases):
        raise element.error("duties with different names, found a name twice")
    lease_ticks, margin_ticks = element.ticks("lease", "5"), element.ticks("margin", "0.25")
    max_clock_drift = element.number("drift", "0.01")
    max_lease_ticks = element.ticks("longest", element.text("lease", "5"))
    if lease_ticks * (1 - max_clock_drift) - margin_ticks < lease_ticks / 2:
        raise element.error(
            "a lease of which at least half remains after subtracting drift and margin"
        )
    if max_lease_ticks < lease_ticks:
        raise element.error("longest to be at least as long as lease")
    return LeaseConfig(
        version,
        voters,
        leases,
        lease_ticks,
        max_lease_ticks,
        margin_ticks,
        max_clock_drift,
        element.text("folder"),
    )


def _read_voters(element: OperatorElement) -> tuple[int, tuple[str, ...]]:
    """Return the version of the voter configuration, and the voters' names."""
    voters = element.child("voters")
    assert voters is not None  # required by the schema
    names = voters.words()
    if not 1 <= len(names) <= MAX_VOTER_COUNT or len({*names}) < len(names):
        raise voters.error(f"1 to {MAX_VOTER_COUNT} names, each only once")
    return voters.integer("version", "1"), names


def read_maintenance(root: OperatorElement) -> MaintenanceConfig | None:
    """Return the maintenance configuration of `works`, an element that requires `duties`."""
    element = root.child("works")
    if element is None:
        return None
    if root.child("duties") is None:
        raise element.error("an element duties in the same file")
    machines = _read_machines(element)
    bounds = MaintenanceBounds(
        engines=element.integer("most", "4"),
        cores_fraction=element.number("share", "0.25"),
        zone_fraction=element.number("hall", "0.5"),
        kind_fraction=element.number("kind", "0.5"),
        demand_fraction=element.number("room", "0.7"),
        engines_left=element.integer("least", "1"),
        gateways=element.integer("gateways", "1"),
    )
    period_ticks, grant_ticks = element.ticks("each", "0.5"), element.ticks("grant", "5")
    if grant_ticks < 2 * period_ticks:
        raise element.error("grant to be at least twice as long as each")
    return MaintenanceConfig(
        bounds, machines, period_ticks, grant_ticks, element.ticks("patience", "1")
    )


def _read_machines(element: OperatorElement) -> tuple[Machine, ...]:
    machines: list[Machine] = []
    seen: set[str] = set()
    for each in element.children("machine"):
        engines = each.words()
        if not engines or len({*engines}) < len(engines) or seen & {*engines}:
            raise each.error("one engine or more, each on one machine only")
        seen.update(engines)
        machines.append(Machine(each.text("name"), engines))
    if len({machine.name for machine in machines}) < len(machines):
        raise element.error("machines with different names, found a name twice")
    return tuple(machines)


def read_peer_health(root: OperatorElement) -> PeerHealthConfig | None:
    """Return the peer health configuration of `shared`, an element that requires `fellows`."""
    element = root.child("shared")
    if element is None:
        return None
    if root.child("fellows") is None:
        raise element.error("an element fellows in the same file")
    return PeerHealthConfig(element.ticks("each", "0.25"), element.integer("octets", "8000"))
