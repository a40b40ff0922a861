"""TLS towards a collector, as a machine fed with bytes.

Holds one TLS session over two rings, by the standard library's ssl; knows no socket. Takes no
collector whose certificate is not for its name, and uses no key that others may read.
"""

import os
import ssl
from typing import NamedTuple, Protocol

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

INWARD_BUFFER_BYTES = 32_768
OUTWARD_BUFFER_BYTES = 262_144
MAX_RECORD_BYTES = 17_408  # a TLS record and what its framing may add
READ_BYTES = 4096
FORBIDDEN_KEY_MODE = 0o077  # any access by group or others


class TlsConfigurationError(ValueError):
    """One line: the file, and what is wrong with it."""


class TlsTarget(NamedTuple):
    """By what a collector under TLS is known."""

    context: ssl.SSLContext
    server_name: str


class TlsOwner(Protocol):
    """Whoever has the connection under the TLS session."""

    def on_established(self) -> None:
        """Take note that the other side is who it should be."""

    def send_encrypted(self, data: bytes) -> None:
        """Send bytes to the other side."""


def client_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """Make a context for collectors that the file `ca` vouches for.

    With a certificate of our own where one is named. Read at a start and at SIGHUP: a renewed one
    counts from the next connection on.

    Raises:
        TlsConfigurationError: a file cannot be read, or others may read the key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # names and certificates are checked
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(ca)
    except (OSError, ssl.SSLError) as problem:
        raise TlsConfigurationError(f"{ca}: {_describe_error(problem)}") from None
    if certificate:
        _check_key_mode(key)
        try:
            context.load_cert_chain(certificate, key)
        except (OSError, ssl.SSLError) as problem:
            raise TlsConfigurationError(f"{certificate}: {_describe_error(problem)}") from None
    return context


def _check_key_mode(key: str) -> None:
    """Refuse a key that others may read: whoever reads it can pass for this gateway."""
    try:
        mode = os.stat(key).st_mode
    except OSError as problem:
        raise TlsConfigurationError(f"{key}: {_describe_error(problem)}") from None
    if mode & FORBIDDEN_KEY_MODE:
        raise TlsConfigurationError(
            f"{key}: expected a key that its owner alone may read, found {mode & 0o777:o}"
        )


def _describe_error(problem: Exception) -> str:
    return getattr(problem, "reason", None) or getattr(problem, "strerror", None) or str(problem)


class TlsMachine:
    """The protocol machine of a stream connection under TLS (`eventloop.connection`)."""

    def __init__(
        self, owner: TlsOwner, context: ssl.SSLContext, server_name: str, budget: MemoryBudget
    ) -> None:
        self.owner = owner
        self.complete_frame_count = 0  # 1 once the handshake is done
        self.is_handshake_done = False
        self.inward = RingBuffer(INWARD_BUFFER_BYTES, budget)
        self.outward = RingBuffer(OUTWARD_BUFFER_BYTES, budget)
        self.received = ssl.MemoryBIO()
        self.to_send = ssl.MemoryBIO()
        self.session = context.wrap_bio(self.received, self.to_send, server_hostname=server_name)

    def parse_input(self) -> str:
        """Take what came; why the connection must end, or an empty string."""
        if len(self.inward):
            self.received.write(self.inward.take(len(self.inward)))
        reason = self._step()
        data = self.to_send.read()
        if data:
            self.owner.send_encrypted(data)
        if not reason and self.is_handshake_done and not self.complete_frame_count:
            self.complete_frame_count = 1
            self.owner.on_established()
        return reason

    def _step(self) -> str:
        try:
            if not self.is_handshake_done:
                self.session.do_handshake()
                self.is_handshake_done = True
            # A collector has nothing to say: only the end of its stream counts.
            while self.session.read(READ_BYTES):
                pass
            return "closed"
        except ssl.SSLWantReadError:
            return ""
        except ssl.SSLZeroReturnError:
            return "closed"
        except ssl.SSLCertVerificationError as problem:
            return f"tls: {problem.verify_message}"
        except (ssl.SSLError, OSError) as problem:
            return f"tls: {_describe_error(problem)}"

    def write(self, data: bytes) -> bool:
        """Encrypt a whole message and send it; False, with nothing of it gone, without room."""
        if not self.outward.reserve(len(self.outward) + len(data) + MAX_RECORD_BYTES):
            return False
        try:
            self.session.write(data)
        except (ssl.SSLError, OSError):
            return False
        self.owner.send_encrypted(self.to_send.read())
        return True
