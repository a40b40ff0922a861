"""The operator file: read, checked and given defaults here and nowhere else.

Owns the messages that name file, line and element. Must never start, open or listen to anything but that
file, and is imported only where `--operator` names one.
"""

import os
from dataclasses import dataclass
from importlib.resources import files
from ipaddress import ip_address
from typing import Any

from lxml import etree

from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.loop import SECOND

LARGEST = 2**20  # bytes of a file
MOST_DATAGRAM = 65_507  # octets of a datagram, on IPv4
LEAST_KEY = 32  # octets of a key that fellows share
MOST_VOTERS = 7
MOST_UNIX = 107  # bytes of a Unix socket's path, by the system's own limit


@dataclass(frozen=True, slots=True)
class Figures:
    """What is told of the figures. `listen`: a path, an address and port, or None; `keep`: a folder or ""."""

    listen: str | tuple[str, int] | None
    readers: int
    keep: str
    keep_each: int  # tenths of a millisecond
    error: float  # of the sketches; 0: none are kept


@dataclass(frozen=True, slots=True)
class Tls:
    """Files by which a collector is known, its name, and, where there are any, ours."""

    ca: str
    name: str
    certificate: str
    key: str


@dataclass(frozen=True, slots=True)
class Collector:
    """Where flow records go: udp, tcp or tls. `payload` is octets of a message, `refresh` tenths of a
    millisecond, `refresh_after` messages between two sendings of templates on UDP."""

    address: tuple[str, int]
    transport: str
    payload: int
    refresh: int
    refresh_after: int
    tls: Tls | None


@dataclass(frozen=True, slots=True)
class Flows:
    """What is told of flow export. Spans are tenths of a millisecond, `memory` octets."""

    layout: str
    mode: str
    active: int
    idle: int
    memory: int
    collectors: tuple[Collector, ...]


@dataclass(frozen=True, slots=True)
class Recall:
    """What outlives a restart: where, how often a snapshot (tenths of a millisecond), what the log survives
    (process: a kill; machine: power), and how many snapshots are kept."""

    folder: str
    each: int
    durability: str
    kept: int


@dataclass(frozen=True, slots=True)
class Fellows:
    """The other gateways, ourselves among them: (name, address, hall); secrets of 32 octets or more; where we
    listen, None for our own address among them; `period` in tenths of a millisecond."""

    keys: tuple[bytes, ...]
    members: tuple[tuple[str, tuple[str, int], str], ...]
    listen: tuple[str, int] | None
    period: int


@dataclass(frozen=True, slots=True)
class Duties:
    """Leases: spans are tenths of a millisecond. `duties` are (name, kind, each)."""

    version: int
    voters: tuple[str, ...]
    duties: tuple[tuple[str, str, int], ...]
    lease: int
    longest: int
    margin: int
    drift: float
    folder: str


@dataclass(frozen=True, slots=True)
class Works:
    """Machines taken out for work. `bounds` are (engines at once, parts of all cores, of a hall's, of a kind's, of what
    is left for demand, engines left for an offering, gateways of a hall); `machines` (name, engines); spans are tenths
    of a millisecond."""

    bounds: tuple[int, float, float, float, float, int, int]
    machines: tuple[tuple[str, tuple[str, ...]], ...]
    each: int
    grant: int
    patience: int


@dataclass(frozen=True, slots=True)
class Shared:
    """Findings and turns among fellows: `each` tenths of a millisecond between two tellings, `octets` a second that
    they may take."""

    each: int
    octets: int


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """One operator file, whole. What has no element is None."""

    path: str
    figures: Figures | None
    flows: Flows | None
    recall: Recall | None
    fellows: Fellows | None
    duties: Duties | None
    works: Works | None
    shared: Shared | None


def read(path: str) -> OperatorConfig:
    """The file, or `Faulty` with the file, the line and the element in its message."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
    except OSError as problem:
        raise ConfigurationError(f"{path}: {problem.strerror}") from None
    if len(data) > LARGEST:
        raise ConfigurationError(f"{path}: expected {LARGEST} bytes at most")
    # Danger: entities that name other files, or themselves without end.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False)
    try:
        tree = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as problem:
        raise ConfigurationError(f"{path}:{problem.lineno or 1}: {problem.msg}") from None
    if tree.getroottree().docinfo.doctype:
        raise ConfigurationError(f"{path}:1: expected no document type")
    schema = etree.XMLSchema(
        etree.fromstring(files("corkgauge.config").joinpath("operator.xsd").read_bytes())
    )
    if not schema.validate(tree):
        first = schema.error_log[0]
        raise ConfigurationError(f"{path}:{first.line}: {first.message}")
    return OperatorConfig(
        path,
        _figures(path, tree.find("figures")),
        _flows(path, tree.find("flows")),
        _recall(tree.find("recall")),
        _fellows(path, tree.find("fellows")),
        _duties(path, tree),
        _works(path, tree),
        _shared(path, tree),
    )


def _figures(path: str, said: Any) -> Figures | None:
    if said is None:
        return None
    listen, keep, waits = said.find("listen"), said.find("keep"), said.find("waits")
    return Figures(
        _listen(path, listen),
        int(_of(listen, "readers", "4")),
        _of(keep, "folder", ""),
        int(float(_of(keep, "each", "0.25")) * SECOND),
        float(_of(waits, "error", "0.02")) if waits is not None else 0.0,
    )


def _flows(path: str, said: Any) -> Flows | None:
    if said is None:
        return None
    layout = said.get("layout", "own")
    collectors = tuple(_collector(path, each, layout) for each in said.findall("collector"))
    if len({each.address for each in collectors}) < len(collectors):
        raise _wrong(path, said, "collectors of different addresses")
    return Flows(
        layout,
        said.get("mode", "failover"),
        _span(said, "active", "60"),
        _span(said, "idle", "15"),
        int(said.get("memory", "1048576")),
        collectors,
    )


def _recall(said: Any) -> Recall | None:
    if said is None:
        return None
    return Recall(
        said.get("folder"),
        _span(said, "each", "1"),
        said.get("durability", "process"),
        int(said.get("kept", "3")),
    )


def _fellows(path: str, said: Any) -> Fellows | None:
    if said is None:
        return None
    lines = [
        (each, each.get("name"), each.get("address"), each.get("hall", ""))
        for each in said.findall("fellow")
    ]
    roster = said.get("roster")
    for number, line in enumerate(_read(path, said, roster).splitlines() if roster else (), 1):
        words = line.partition("#")[0].split()
        if words:
            if len(words) not in (2, 3):
                raise ConfigurationError(
                    f"{roster}:{number}: expected NAME ADDRESS:PORT HALL, found {line[:80]!r}"
                )
            lines.append((said, *words, *[""] * (3 - len(words))))
    found: dict[str, tuple[str, tuple[str, int], str]] = {}
    for element, name, address, hall in lines:
        if name in found:
            raise _wrong(path, element, f"each fellow once, found {name!r} again")
        found[name] = name, _address(path, element, address), hall
    listen = said.get("listen")
    return Fellows(
        tuple(_key(path, each) for each in said.findall("key")),
        tuple(found.values()),
        None if listen is None else _address(path, said, listen),
        _span(said, "period", "0.5"),
    )


def _key(path: str, said: Any) -> bytes:
    """Danger: a key that others may read is none."""
    name = said.get("file")
    text = _read(path, said, name)
    try:
        secret = bytes.fromhex(text.strip())
    except ValueError:
        secret = b""
    if len(secret) < LEAST_KEY:
        raise _wrong(path, said, f"{2 * LEAST_KEY} hexadecimal digits or more in {name}")
    if os.stat(name).st_mode & 0o007:
        raise _wrong(path, said, f"a file that others may not read, {name} is open to all")
    return secret


def _read(path: str, said: Any, name: str) -> str:
    try:
        with open(name, encoding="utf-8") as file:
            return file.read(LARGEST)
    except (OSError, UnicodeDecodeError) as problem:
        raise _wrong(
            path, said, f"a readable {name}: {getattr(problem, 'strerror', 'no text')}"
        ) from None


def _duties(path: str, tree: Any) -> Duties | None:
    said = tree.find("duties")
    if said is None:
        return None
    if tree.find("fellows") is None:
        raise _wrong(path, said, "an element fellows beside it")
    voters = said.find("voters")
    names = tuple((voters.text or "").split())
    if not 1 <= len(names) <= MOST_VOTERS or len({*names}) < len(names):
        raise _wrong(path, voters, f"1 to {MOST_VOTERS} names, each once")
    duties = tuple(
        (each.get("name"), each.get("kind", "run"), _span(each, "each", "5"))
        for each in said.findall("duty")
    )
    if len({name for name, *_ in duties}) < len(duties):
        raise _wrong(path, said, "duties of different names")
    lease, margin = _span(said, "lease", "5"), _span(said, "margin", "0.25")
    drift = float(said.get("drift", "0.01"))
    longest = _span(said, "longest", said.get("lease", "5"))
    if lease * (1 - drift) - margin < lease / 2:
        raise _wrong(path, said, "a margin and a drift that leave half of the lease")
    if longest < lease:
        raise _wrong(path, said, "a longest lease no shorter than the lease")
    return Duties(
        int(voters.get("version", "1")),
        names,
        duties,
        lease,
        longest,
        margin,
        drift,
        said.get("folder", ""),
    )


def _works(path: str, tree: Any) -> Works | None:
    said = tree.find("works")
    if said is None:
        return None
    if tree.find("duties") is None:
        raise _wrong(path, said, "an element duties beside it")
    machines, seen = [], set[str]()
    for each in said.findall("machine"):
        engines = tuple((each.text or "").split())
        if not engines or len({*engines}) < len(engines) or seen & {*engines}:
            raise _wrong(path, each, "engines, each on one machine")
        seen.update(engines)
        machines.append((each.get("name"), engines))
    if len({name for name, _ in machines}) < len(machines):
        raise _wrong(path, said, "machines of different names")
    parts = [
        float(said.get(name, otherwise))
        for name, otherwise in (
            ("share", "0.25"),
            ("hall", "0.5"),
            ("kind", "0.5"),
            ("room", "0.7"),
        )
    ]
    if _span(said, "grant", "5") < 2 * _span(said, "each", "0.5"):
        raise _wrong(path, said, "a grant of two times `each` or more")
    return Works(
        (
            int(said.get("most", "4")),
            *parts,
            int(said.get("least", "1")),
            int(said.get("gateways", "1")),
        ),
        tuple(machines),
        _span(said, "each", "0.5"),
        _span(said, "grant", "5"),
        _span(said, "patience", "1"),
    )


def _shared(path: str, tree: Any) -> Shared | None:
    said = tree.find("shared")
    if said is None:
        return None
    if tree.find("fellows") is None:
        raise _wrong(path, said, "an element fellows beside it")
    return Shared(_span(said, "each", "0.25"), int(said.get("octets", "8000")))


def _address(path: str, said: Any, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        host = str(ip_address(host.strip("[]")))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise _wrong(path, said, f"ADDRESS:PORT, found {text!r}") from None
    return host, int(port)


def _collector(path: str, said: Any, layout: str) -> Collector:
    transport, tls = said.get("transport"), said.find("tls")
    if layout == "netflow9" and transport != "udp":
        raise _wrong(path, said, "transport udp, the only one of netflow9")
    if (transport == "tls") != (tls is not None):
        raise _wrong(path, said, "an element tls with transport tls, and with no other")
    address = _address(path, said, said.get("address"))
    if tls is not None and (tls.get("certificate") is None) != (tls.get("key") is None):
        raise _wrong(path, tls, "certificate and key together")
    payload = int(said.get("payload", "1400" if transport == "udp" else "16384"))
    if transport == "udp" and payload > MOST_DATAGRAM:
        raise _wrong(path, said, f"a payload of {MOST_DATAGRAM} octets at most on udp")
    return Collector(
        address,
        transport,
        payload,
        _span(said, "templates", "300"),
        int(said.get("messages", "1000")),
        None
        if tls is None
        else Tls(tls.get("ca"), tls.get("name"), tls.get("certificate", ""), tls.get("key", "")),
    )


def _span(said: Any, name: str, otherwise: str) -> int:
    return int(float(said.get(name, otherwise)) * SECOND)


def _of(said: Any, name: str, otherwise: str) -> str:
    return otherwise if said is None else said.get(name, otherwise)


def _listen(path: str, said: Any) -> str | tuple[str, int] | None:
    if said is None:
        return None
    unix, address = said.get("unix"), said.get("address")
    if (unix is None) == (address is None):
        raise _wrong(path, said, "one of unix or address")
    if unix is not None:
        if len(unix.encode()) > MOST_UNIX:
            raise _wrong(path, said, f"a path of {MOST_UNIX} bytes at most")
        return unix
    host, _, port = address.rpartition(":")
    if not 0 <= int(port) < 65536 or any(
        int(part) > 255 for part in host.split(".") if part.isdigit()
    ):
        raise _wrong(path, said, "an address on loopback with a port")
    return host.strip("[]"), int(port)


def _wrong(path: str, said: Any, expected: str) -> ConfigurationError:
    return ConfigurationError(
        f"{path}:{said.sourceline}: element '{said.tag}': expected {expected}"
    )
