"""Reads and validates the platform's configuration, the JSON file that EDGE_CONFIG names.

Opens no other file and no socket. Every error message names the faulty key.
"""

import json
from collections.abc import Mapping
from typing import Any
from zlib import crc32

from corkgauge.errors import ConfigurationError

__all__ = ["ConfigurationError", "PlatformConfig", "parse_address", "read"]

MIN_MEMORY_BYTES = 32 * 2**20
MIN_SOCKET_COUNT = 32
MAX_NUMBER = 1e15  # exclusive limit; integers below it are exact as floats

# Attributes whose change needs a restart, with their keys in the file. A change of the discovery
# address takes effect at once; `seed` and `known` are read only at the start, and their
# changes are not logged.
RESTART_KEYS = {
    "name": "name",
    "listen": "listen",
    "memory_bytes": "limits.memory_mb",
    "max_sockets": "limits.sockets",
    "settings_checksum": "settings",
}


class PlatformConfig:
    """Addresses, limits, first endpoint events and operators' settings of one gateway.

    `document` is the JSON object in the file. `listen` is an address that replaces the one in the
    file unless it is empty. Raises ConfigurationError.
    """

    def __init__(self, document: dict[str, Any], listen: str) -> None:
        self.name = _text(document, "name", "?")
        self.listen = parse_address(listen or _text(document, "listen"), "listen")
        self.discovery_address = parse_address(_text(document, "feed"), "feed")
        self.seed = _seed(document)
        limits = _object(document, "limits", {})
        self.memory_bytes = int(_number(limits, "memory_mb", 192, "limits.") * 2**20)
        self.max_sockets = int(_number(limits, "sockets", 1024, "limits."))
        if self.memory_bytes < MIN_MEMORY_BYTES:
            raise ConfigurationError(
                f"limits.memory_mb: expected 32 or more, found {limits['memory_mb']!r}"
            )
        if self.max_sockets < MIN_SOCKET_COUNT:
            raise ConfigurationError(
                f"limits.sockets: expected 32 or more, found {limits['sockets']!r}"
            )
        known = _object(document, "known", {"n": 0, "events": []})
        self.known_event_number = int(_number(known, "n", 0, "known.", 0))
        self.known_events: list[Any] = _list(known, "events", "known.")
        self.settings = _object(document, "settings")
        self.settings_checksum = crc32(json.dumps(self.settings, sort_keys=True).encode())

    def keys_needing_restart(self, new: "PlatformConfig") -> list[str]:
        """Return the keys that differ in the new configuration and take effect after a restart."""
        return [
            key
            for attribute, key in RESTART_KEYS.items()
            if getattr(self, attribute) != getattr(new, attribute)
        ]


def read(environment: Mapping[str, str]) -> PlatformConfig:
    """Return the configuration in the file that EDGE_CONFIG names.

    EDGE_LISTEN, if set, replaces the address to listen at. Raises ConfigurationError if the file is
    missing, unreadable or faulty.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG: expected the path of a JSON file, found no value")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as problem:
        raise ConfigurationError(
            f"EDGE_CONFIG: expected a readable JSON file at {path}, found: {problem}"
        ) from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"EDGE_CONFIG: expected a JSON object in {path}")
    return PlatformConfig(document, environment.get("EDGE_LISTEN", ""))


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Return host and port of ADDRESS:PORT; an error names the `key`.

    >>> parse_address("127.0.0.4:9090", "listen")
    ('127.0.0.4', 9090)
    >>> parse_address("9090", "listen")
    Traceback (most recent call last):
    corkgauge.errors.ConfigurationError: listen: expected ADDRESS:PORT, found '9090'
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{key}: expected ADDRESS:PORT, found {text!r}")
    return host, int(port)


def _seed(document: dict[str, Any]) -> int:
    try:
        return int(_text(document, "seed", "0"), 16) % 2**64
    except ValueError:
        raise ConfigurationError(
            f"seed: expected hexadecimal digits, found {document['seed']!r}"
        ) from None


def _text(document: dict[str, Any], key: str, default: str | None = None) -> str:
    value = document.get(key, default)
    if not isinstance(value, str) or not value:
        raise ConfigurationError(f"{key}: expected a string that is not empty, found {value!r}")
    return value


def _object(
    document: dict[str, Any], key: str, default: dict[str, Any] | None = None
) -> dict[str, Any]:
    value = document.get(key, default)
    if not isinstance(value, dict):
        raise ConfigurationError(f"{key}: expected a JSON object, found {value!r}"[:200])
    return value


def _list(document: dict[str, Any], key: str, prefix: str) -> list[Any]:
    value = document.get(key, [])
    if not isinstance(value, list):
        raise ConfigurationError(f"{prefix}{key}: expected a list, found {value!r}"[:200])
    return value


def _number(
    document: dict[str, Any], key: str, default: float, prefix: str, minimum: float = 1
) -> Any:
    value: Any = document.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not minimum <= value < MAX_NUMBER:
        raise ConfigurationError(
            f"{prefix}{key}: expected a number from {minimum} to below 1e15, found {value!r}"
        )
    return value
