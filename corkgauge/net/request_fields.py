"""Parses and checks the fields of a client's request.

Client input is not trusted: no value may raise an exception, and the first unusable field is
reported by name. All fields are checked here because an engine closes the connection when it gets
an unusable one, which also fails the other clients' requests on that connection.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from corkgauge.net.amounts import parse_amount
from corkgauge.net.engine_connection import REQUEST_NAME
from corkgauge.policy.records import Repeatability, RequestClass

MAX_WORK_MS = 3.6e6  # largest work estimate of a request
TICKS_PER_MS = 10
# Largest time to the deadline that a client may send, as a multiple of the request class's time.
# More than the class's time is valid, as the client's clock differs from the gateway's, and the
# client adds the network delay to the gateway.
MAX_DEADLINE_RATIO = 2
PLAIN_TEXT = re.compile(r"[!-+\-.-<>-~]{1,128}").fullmatch
ORDER_KEY = re.compile(r"[0-9a-fA-F]{1,16}").fullmatch
BLANK = re.compile(rb"\s*+").fullmatch


@dataclass(frozen=True, slots=True)
class RequestFields:
    """The fields of a request, all of them valid."""

    request_class: RequestClass
    tenant: int
    time_to_deadline_ms: float
    work_ms: float
    memory_mb: float
    name: str
    order_key: int
    idempotency_key: str  # empty: none


@dataclass(frozen=True, slots=True)
class UnusableField:
    """The first unusable field of a request, by name."""

    name: str


class RequestFieldReader:
    """Parses the fields of requests and checks them against the settings."""

    def __init__(
        self,
        request_classes: Mapping[str, RequestClass],
        tenants: Mapping[str, int],
        max_memory_mb: float,
        is_name_used: Callable[[str], bool],
    ) -> None:
        self.request_classes = request_classes
        self.tenants = tenants
        self.max_memory_mb = max_memory_mb
        self.is_name_used = is_name_used

    def read(self, fields: Mapping[str, str], statement: bytes) -> RequestFields | UnusableField:
        """Return the fields of a request, or the first unusable one."""
        request_class = self.request_classes.get(fields.get("route", ""))
        if request_class is None:
            return UnusableField("route")
        tenant = self.tenants.get(fields.get("customer", ""))
        if tenant is None and self.tenants:
            return UnusableField("customer")
        time_to_deadline = parse_amount(fields.get("patience") or "0")
        if not time_to_deadline or not _is_deadline_allowed(time_to_deadline, request_class):
            return UnusableField("patience")
        work = parse_amount(fields.get("weight") or "0")
        # A weight that is given must be a positive number.
        if work is None or work > MAX_WORK_MS or (fields.get("weight") and not work):
            return UnusableField("weight")
        memory = parse_amount(fields.get("est_mb") or "0")
        if memory is None or memory > self.max_memory_mb:
            return UnusableField("est_mb")
        if wrong := self._wrong_identity(fields, request_class):
            return UnusableField(wrong)
        if not is_sendable(statement):
            return UnusableField("statement")
        is_keyed = request_class.repeatability == Repeatability.KEYED
        return RequestFields(
            request_class,
            tenant or 0,
            time_to_deadline,
            work,
            memory,
            fields.get("trace", ""),
            int(fields.get("entity") or "0", 16),
            fields.get("nonce", "") if is_keyed else "",
        )

    def _wrong_identity(self, fields: Mapping[str, str], request_class: RequestClass) -> str:
        """Return the name of the first unusable identifying field, or an empty string."""
        if not ORDER_KEY(fields.get("entity") or "0"):
            return "entity"
        name = fields.get("trace", "")
        # With two open requests of one name, answers could reach the wrong request. A request that
        # comes again under its name may have run already.
        if not REQUEST_NAME(name) or self.is_name_used(name):
            return "trace"
        nonce = fields.get("nonce", "")
        is_keyed = request_class.repeatability == Repeatability.KEYED
        is_absent_and_optional = not nonce and not is_keyed
        if not is_absent_and_optional and not is_plain(nonce):
            return "nonce"
        return ""


def _is_deadline_allowed(time_to_deadline_ms: float, request_class: RequestClass) -> bool:
    """Return whether the time to the deadline is within the limit of the request class."""
    ticks = time_to_deadline_ms * TICKS_PER_MS
    return ticks <= MAX_DEADLINE_RATIO * request_class.time_to_deadline


def is_sendable(statement: bytes) -> bool:
    """Return whether a statement may be sent to an engine.

    >>> is_sendable(b"select 1"), is_sendable(b""), is_sendable(b" ")
    (True, False, False)
    >>> is_sendable(b"a" + bytes(1)), is_sendable(bytes([255]))
    (False, False)
    """
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return b"\0" not in statement and BLANK(statement) is None


def is_plain(text: str) -> bool:
    """Return whether a text may be part of a command's fields without escaping.

    >>> is_plain("9b1f03aa"), is_plain(""), is_plain("a,b"), is_plain("a=b"), is_plain("a b")
    (True, False, False, False, False)
    >>> is_plain("x" * 129)
    False
    """
    return PLAIN_TEXT(text) is not None
