"""Elements of the operator file that concern the fleet: `fellows`, `duties`, `works`, `shared`."""

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

MIN_KEY_BYTES = 32  # of a key that members share
MAX_VOTERS = 7


class _MemberLine(NamedTuple):
    """A member as it is written, by an element or a line of the roster."""

    element: OperatorElement
    name: str
    address: str
    zone: str = ""


def read_membership(element: OperatorElement | None) -> MembershipConfig | None:
    """Return the membership configuration of `fellows`, with its roster and keys read."""
    if element is None:
        return None
    members: dict[str, MemberAddress] = {}
    for line in _member_lines(element):
        if line.name in members:
            raise line.element.error(f"each fellow once, found {line.name!r} again")
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
                f"{roster}:{number}: expected NAME ADDRESS:PORT HALL, found {line[:80]!r}"
            )
        lines.append(_MemberLine(element, *words))
    return lines


def _read_key(element: OperatorElement) -> bytes:
    """Return a shared key; one that others may read is refused, as they could forge datagrams."""
    name = element.text("file")
    text = element.read_file(name)
    try:
        secret = bytes.fromhex(text.strip())
    except ValueError:
        secret = b""
    if len(secret) < MIN_KEY_BYTES:
        raise element.error(f"{2 * MIN_KEY_BYTES} hexadecimal digits or more in {name}")
    if os.stat(name).st_mode & 0o007:
        raise element.error(f"a file that others may not read, {name} is open to all")
    return secret


def read_leases(root: OperatorElement) -> LeaseConfig | None:
    """Return the lease configuration of `duties`, which needs `fellows`."""
    element = root.child("duties")
    if element is None:
        return None
    if root.child("fellows") is None:
        raise element.error("an element fellows beside it")
    version, voters = _read_voters(element)
    leases = tuple(
        LeaseEntry(each.text("name"), each.text("kind", "run"), each.ticks("each", "5"))
        for each in element.children("duty")
    )
    if len({each.name for each in leases}) < len(leases):
        raise element.error("duties of different names")
    lease, margin = element.ticks("lease", "5"), element.ticks("margin", "0.25")
    drift = element.number("drift", "0.01")
    longest = element.ticks("longest", element.text("lease", "5"))
    if lease * (1 - drift) - margin < lease / 2:
        raise element.error("a margin and a drift that leave half of the lease")
    if longest < lease:
        raise element.error("a longest lease no shorter than the lease")
    return LeaseConfig(
        version, voters, leases, lease, longest, margin, drift, element.text("folder")
    )


def _read_voters(element: OperatorElement) -> tuple[int, tuple[str, ...]]:
    """Return the version of the voter configuration, and the voters' names."""
    voters = element.child("voters")
    assert voters is not None  # the schema asks for it
    names = voters.words()
    if not 1 <= len(names) <= MAX_VOTERS or len({*names}) < len(names):
        raise voters.error(f"1 to {MAX_VOTERS} names, each once")
    return voters.integer("version", "1"), names


def read_maintenance(root: OperatorElement) -> MaintenanceConfig | None:
    """Return the maintenance configuration of `works`, which needs `duties`."""
    element = root.child("works")
    if element is None:
        return None
    if root.child("duties") is None:
        raise element.error("an element duties beside it")
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
    each, grant = element.ticks("each", "0.5"), element.ticks("grant", "5")
    if grant < 2 * each:
        raise element.error("a grant of two times `each` or more")
    return MaintenanceConfig(bounds, machines, each, grant, element.ticks("patience", "1"))


def _read_machines(element: OperatorElement) -> tuple[Machine, ...]:
    machines: list[Machine] = []
    seen: set[str] = set()
    for each in element.children("machine"):
        engines = each.words()
        if not engines or len({*engines}) < len(engines) or seen & {*engines}:
            raise each.error("engines, each on one machine")
        seen.update(engines)
        machines.append(Machine(each.text("name"), engines))
    if len({machine.name for machine in machines}) < len(machines):
        raise element.error("machines of different names")
    return tuple(machines)


def read_peer_health(root: OperatorElement) -> PeerHealthConfig | None:
    """Return the peer health configuration of `shared`, which needs `fellows`."""
    element = root.child("shared")
    if element is None:
        return None
    if root.child("fellows") is None:
        raise element.error("an element fellows beside it")
    return PeerHealthConfig(element.ticks("each", "0.25"), element.integer("octets", "8000"))
