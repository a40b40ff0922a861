"""The operator file: read, checked and given defaults here and nowhere else.

Owns the messages that name file, line and element. Must never start, open or listen to anything but that
file, and is imported only where `--operator` names one.
"""

from dataclasses import dataclass
from importlib.resources import files
from typing import Any

from lxml import etree

from corkgauge.net.configuration import Faulty
from corkgauge.net.hub import SECOND

LARGEST = 2 ** 20       # bytes of a file
MOST_UNIX = 107         # bytes of a Unix socket's path, by the system's own limit


@dataclass(frozen=True, slots=True)
class Figures:
    """What is told of the figures. `listen`: a path, an address and port, or None; `keep`: a folder or ""."""

    listen: str | tuple[str, int] | None
    readers: int
    keep: str
    keep_each: int          # tenths of a millisecond
    error: float            # of the sketches; 0: none are kept


@dataclass(frozen=True, slots=True)
class Operated:
    """One operator file, whole. What has no element is None."""

    path: str
    figures: Figures | None


def read(path: str) -> Operated:
    """The file, or `Faulty` with the file, the line and the element in its message."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
    except OSError as problem:
        raise Faulty(f"{path}: {problem.strerror}") from None
    if len(data) > LARGEST:
        raise Faulty(f"{path}: expected {LARGEST} bytes at most")
    # Danger: entities that name other files, or themselves without end.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, huge_tree=False)
    try:
        tree = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as problem:
        raise Faulty(f"{path}:{problem.lineno or 1}: {problem.msg}") from None
    if tree.getroottree().docinfo.doctype:
        raise Faulty(f"{path}:1: expected no document type")
    schema = etree.XMLSchema(etree.fromstring(files("corkgauge").joinpath("operator.xsd").read_bytes()))
    if not schema.validate(tree):
        first = schema.error_log[0]
        raise Faulty(f"{path}:{first.line}: {first.message}")
    return Operated(path, _figures(path, tree.find("figures")))


def _figures(path: str, said: Any) -> Figures | None:
    if said is None:
        return None
    listen, keep, waits = said.find("listen"), said.find("keep"), said.find("waits")
    return Figures(
        _listen(path, listen), int(_of(listen, "readers", "4")), _of(keep, "folder", ""),
        int(float(_of(keep, "each", "0.25")) * SECOND),
        float(_of(waits, "error", "0.02")) if waits is not None else 0.0)


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
    if not 0 <= int(port) < 65536 or any(int(part) > 255 for part in host.split(".") if part.isdigit()):
        raise _wrong(path, said, "an address on loopback with a port")
    return host.strip("[]"), int(port)


def _wrong(path: str, said: Any, expected: str) -> Faulty:
    return Faulty(f"{path}:{said.sourceline}: element '{said.tag}': expected {expected}")
