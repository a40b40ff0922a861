"""TLS towards a collector, as a machine fed with bytes.

Owns one TLS session over two rings, by the standard library's ssl. Knows no socket. Must never take
a collector whose certificate is not for its name, nor use a key that others may read.
"""

import os
import ssl
from typing import Any

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

ROOM = 262_144
RECORD = 17_408  # a TLS record and what its framing may add


class Untrusted(ValueError):
    """One line: the file, and what is wrong with it."""


def context_of(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """For collectors that `ca` vouches for; with a certificate of our own where one is named. Read at a start
    and at SIGHUP: a renewed one counts from the next connection on."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # names and certificates are checked
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(ca)
    except (OSError, ssl.SSLError) as problem:
        raise Untrusted(f"{ca}: {_why(problem)}") from None
    if certificate:
        try:
            mode = os.stat(key).st_mode
        except OSError as problem:
            raise Untrusted(f"{key}: {_why(problem)}") from None
        # Danger: whoever reads the key can pass for this gateway.
        if mode & 0o077:
            raise Untrusted(
                f"{key}: expected a key that its owner alone may read, found {mode & 0o777:o}"
            )
        try:
            context.load_cert_chain(certificate, key)
        except (OSError, ssl.SSLError) as problem:
            raise Untrusted(f"{certificate}: {_why(problem)}") from None
    return context


def _why(problem: Exception) -> str:
    return getattr(problem, "reason", None) or getattr(problem, "strerror", None) or str(problem)


class TlsWire:
    """Calls its owner: `up()` once the other side is who it should be, `put(bytes)` for what goes out."""

    def __init__(
        self, owner: Any, context: ssl.SSLContext, name: str, allowance: MemoryBudget
    ) -> None:
        self.owner, self.whole, self.shaken = owner, 0, False
        self.inward, self.outward = RingBuffer(32_768, allowance), RingBuffer(ROOM, allowance)
        self.came, self.goes = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.session = context.wrap_bio(self.came, self.goes, server_hostname=name)

    def advance(self) -> str:
        """Take what has come; what is wrong, if anything."""
        if len(self.inward):
            self.came.write(self.inward.take(len(self.inward)))
        why = self._step()
        if data := self.goes.read():
            self.owner.put(data)
        if not why and self.shaken and not self.whole:
            self.whole = 1
            self.owner.up()
        return why

    def _step(self) -> str:
        try:
            if not self.shaken:
                self.session.do_handshake()
                self.shaken = True
            while self.session.read(4096):  # a collector has nothing to say; its end is what counts
                pass
            return "closed"
        except ssl.SSLWantReadError:
            return ""
        except ssl.SSLZeroReturnError:
            return "closed"
        except ssl.SSLCertVerificationError as problem:
            return f"tls: {problem.verify_message}"
        except (ssl.SSLError, OSError) as problem:
            return f"tls: {_why(problem)}"

    def write(self, data: bytes) -> bool:
        """Encrypt a whole message and put it; False, with nothing of it gone, where there is no room."""
        if not self.outward.reserve(len(self.outward) + len(data) + RECORD):
            return False
        try:
            self.session.write(data)
        except (ssl.SSLError, OSError):
            return False
        self.owner.put(self.goes.read())
        return True
