"""One XML element of the operator file, whose errors name its line."""

from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from corkgauge.errors import ConfigurationError
from corkgauge.policy.units import TICKS_PER_SECOND

MAX_FILE_BYTES = 2**20  # of the operator file, and of each file that it names


@dataclass(frozen=True, slots=True)
class OperatorElement:
    """An element that the schema has accepted; `xml` is lxml's own object."""

    path: str
    xml: Any

    def child(self, name: str) -> "OperatorElement | None":
        """Return the first child of this name, or None."""
        found = self.xml.find(name)
        return None if found is None else OperatorElement(self.path, found)

    def children(self, name: str) -> Iterator["OperatorElement"]:
        """Yield all children of this name, in the file's order."""
        for found in self.xml.findall(name):
            yield OperatorElement(self.path, found)

    def has(self, name: str) -> bool:
        """Tell whether the attribute is written."""
        return self.xml.get(name) is not None

    def text(self, name: str, default: str = "") -> str:
        """Return an attribute as text."""
        return str(self.xml.get(name, default))

    def integer(self, name: str, default: str) -> int:
        """Return an attribute as a whole number."""
        return int(self.xml.get(name, default))

    def number(self, name: str, default: str) -> float:
        """Return an attribute as a number."""
        return float(self.xml.get(name, default))

    def ticks(self, name: str, default: str) -> int:
        """Return an attribute, written in seconds, in ticks."""
        return int(self.number(name, default) * TICKS_PER_SECOND)

    def words(self) -> tuple[str, ...]:
        """Return the words of the element's text."""
        return tuple((self.xml.text or "").split())

    def address(self, text: str) -> tuple[str, int]:
        """Parse ADDRESS:PORT; raise ConfigurationError where it is none."""
        host, _, port = text.rpartition(":")
        try:
            host = str(ip_address(host.strip("[]")))
            if not 0 < int(port) < 65536:
                raise ValueError
        except ValueError:
            raise self.error(f"ADDRESS:PORT, found {text!r}") from None
        return host, int(port)

    def read_file(self, name: str) -> str:
        """Return the text of a file that the element names, or raise ConfigurationError."""
        try:
            with open(name, encoding="utf-8") as file:
                return file.read(MAX_FILE_BYTES)
        except (OSError, UnicodeDecodeError) as problem:
            reason = getattr(problem, "strerror", "no text")
            raise self.error(f"a readable {name}: {reason}") from None

    def error(self, expected: str) -> ConfigurationError:
        """Return the error that names file, line and element."""
        return ConfigurationError(
            f"{self.path}:{self.xml.sourceline}: element '{self.xml.tag}': expected {expected}"
        )
