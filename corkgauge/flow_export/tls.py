"""TLS client sessions with collectors, as a protocol machine without a socket.

Runs one TLS session of the standard library's `ssl` over two ring buffers. Rejects a collector
whose certificate is not valid for its name, and a key file that other users may access.
"""

import os
import ssl
from typing import NamedTuple, Protocol

from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer

INWARD_BUFFER_BYTES = 32_768
OUTWARD_BUFFER_BYTES = 262_144
MAX_RECORD_BYTES = 17_408  # a TLS record with the overhead of its framing
READ_BYTES = 4096
FORBIDDEN_KEY_MODE = 0o077  # any access by group or others


class TlsConfigurationError(ValueError):
    """Raised for an invalid TLS file, with one line that names the file and the reason."""


class TlsTarget(NamedTuple):
    """The TLS context for a collector, and the name that its certificate must have."""

    context: ssl.SSLContext
    server_name: str


class TlsOwner(Protocol):
    """Interface of the owner of the connection under a TLS session."""

    def on_established(self) -> None:
        """Handle the end of a successful handshake, which authenticated the collector."""

    def send_encrypted(self, data: bytes) -> None:
        """Send encrypted bytes to the collector."""


def client_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """Create a context for collectors with certificates of the authorities in the file `ca`.

    The context has a client certificate if `certificate` is not empty. The files are read at
    startup and on SIGHUP, so a renewed certificate is used from the next connection on.

    Raises:
        TlsConfigurationError: a file cannot be read, or other users may access the key file.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies names and certificates
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
    """Raise an error if other users have any access to the key file.

    Users who can read the key could impersonate this gateway.
    """
    try:
        mode = os.stat(key).st_mode
    except OSError as problem:
        raise TlsConfigurationError(f"{key}: {_describe_error(problem)}") from None
    if mode & FORBIDDEN_KEY_MODE:
        raise TlsConfigurationError(
            f"{key}: found mode {mode & 0o777:o}, expected no access by group or others (chmod 600)"
        )


def _describe_error(problem: Exception) -> str:
    return getattr(problem, "reason", None) or getattr(problem, "strerror", None) or str(problem)


class TlsMachine:
    """Protocol machine of a stream connection with TLS (see `eventloop.connection`)."""

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
        """Process the received bytes; returns a reason to close the connection, or ''."""
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
            # Collectors send no messages: all input but the end of the stream is discarded.
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
        """Encrypt and send a whole message.

        Returns False, with nothing sent, if there is no room or if TLS failed. A failure of TLS
        does not close the connection here.
        """
        if not self.outward.reserve(len(self.outward) + len(data) + MAX_RECORD_BYTES):
            return False
        try:
            self.session.write(data)
        except (ssl.SSLError, OSError):
            return False
        self.owner.send_encrypted(self.to_send.read())
        return True
