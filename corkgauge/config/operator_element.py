"""Typed access to one XML element of the operator file."""

from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from corkgauge.errors import ConfigurationError
from corkgauge.policy.units import TICKS_PER_SECOND

# Size limit of the operator file. Of each text file that it names, as many characters are read.
MAX_FILE_BYTES = 2**20


@dataclass(frozen=True, slots=True)
class OperatorElement:
    """An element that the schema accepts; `path` is the file, `xml` the lxml element."""

    path: str
    xml: Any

    def child(self, name: str) -> "OperatorElement | None":
        """Return the first child of this name, or None."""
        found = self.xml.find(name)
        return None if found is None else OperatorElement(self.path, found)

    def children(self, name: str) -> Iterator["OperatorElement"]:
        """Yield all children of this name, in the order of the file."""
        for found in self.xml.findall(name):
            yield OperatorElement(self.path, found)

    def has(self, name: str) -> bool:
        """Return whether the file sets the attribute."""
        return self.xml.get(name) is not None

    def text(self, name: str, default: str = "") -> str:
        """Return an attribute as text, or the default without one."""
        return str(self.xml.get(name, default))

    def integer(self, name: str, default: str) -> int:
        """Return an attribute, or the `default` text without one, as an integer."""
        return int(self.xml.get(name, default))

    def number(self, name: str, default: str) -> float:
        """Return an attribute, or the `default` text without one, as a floating-point number."""
        return float(self.xml.get(name, default))

    def ticks(self, name: str, default: str) -> int:
        """Return an attribute in ticks; the file contains seconds."""
        return int(self.number(name, default) * TICKS_PER_SECOND)

    def words(self) -> tuple[str, ...]:
        """Return the words of the element's text."""
        return tuple((self.xml.text or "").split())

    def address(self, text: str) -> tuple[str, int]:
        """Parse ADDRESS:PORT; raise ConfigurationError for any other text."""
        host, _, port = text.rpartition(":")
        try:
            host = str(ip_address(host.strip("[]")))
            if not 0 < int(port) < 65536:
                raise ValueError
        except ValueError:
            raise self.error(f"ADDRESS:PORT with a port from 1 to 65535, found {text!r}") from None
        return host, int(port)

    def read_file(self, name: str) -> str:
        """Return the text of a file that the element names.

        Raises ConfigurationError for a file that is unreadable, not UTF-8, or longer than
        MAX_FILE_BYTES: half of a roster or of a key would be worse than none.
        """
        try:
            with open(name, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            if len(data) > MAX_FILE_BYTES:
                raise self.error(f"a file {name} of {MAX_FILE_BYTES} bytes at most, found more")
            return data.decode()
        except (OSError, UnicodeDecodeError) as problem:
            reason = getattr(problem, "strerror", "not UTF-8 text")
            raise self.error(f"a readable file {name}, found: {reason}") from None

    def error(self, expected: str) -> ConfigurationError:
        """Return an error with file, line and element; `expected` completes "expected ..."."""
        return ConfigurationError(
            f"{self.path}:{self.xml.sourceline}: element '{self.xml.tag}': expected {expected}"
        )
