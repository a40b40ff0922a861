"""Converts the operators' settings document to the records and options that the gateway uses.

No other module reads the document. The simulator's first message and the `settings` object of the
platform's configuration have the same form. Times in the document are microseconds, of which 100
are a tick.
"""

from typing import Any
from zlib import crc32

from corkgauge.policy.gateway import Gateway
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine, Repeatability, RequestClass

REPEATABILITY_BY_EFFECT = {
    "pure": Repeatability.IDEMPOTENT,
    "token": Repeatability.KEYED,
    "side_effect": Repeatability.NON_IDEMPOTENT,
}


class Settings:
    """Values that the host of a gateway derives from the settings document.

    The document itself is not kept.
    """

    def __init__(self, document: Any, host: Host, seed: int, name: str = "") -> None:
        """Read the settings document and create the gateway.

        A document without `myNumber` gets a gateway number derived from the seed and the gateway's
        `name`. With one common number all gateways would grant slow-start permits at the same time
        and select the same subset of engines. The seed alone is not enough, as gateways may share
        it.

        Raises:
            ValueError: The document is no object, has no request class, or a number or effect in it
                is not allowed; the message names the key. Missing numbers get defaults that are
                not checked. Most other values of a wrong form raise KeyError, TypeError or
                AttributeError, or a ValueError that names no key.
        """
        if not isinstance(document, dict):
            raise ValueError("settings: expected a JSON object")
        rules, limits = document.get("rules", {}), document.get("limits", {})
        extra, report = document.get("extra", {}), document.get("report", {})
        self.load_report_fields = list(report.get("fields", []))
        self.cores_by_kind = dict(enumerate(map(float, extra.get("coresByKind", []))))
        max_grant_factor = (
            read_number(extra, "mostGrant", 1.0, 0) if extra.get("takesGrants") else 0.0
        )
        self.memory_mb_by_kind = [float(size) for size in extra.get("sizeMb", [])]
        self.max_memory_mb_by_kind = {
            kind: max_grant_factor * size for kind, size in enumerate(self.memory_mb_by_kind)
        }
        self.reports_usage, self.accepts_memory_grants = (
            bool(extra.get("bills")),
            bool(extra.get("takesGrants")),
        )
        self.accepts_priorities = bool(extra.get("takesPriority"))
        # Time between two progress reports on an attempt in flight; 0: engines send none.
        self.progress_interval_ticks = read_number(extra, "tellsEveryUs", 0) // 100
        widths = extra.get("widthByClass", [])
        self.request_classes = [
            read_request_class(profile, number, widths)
            for number, profile in enumerate(document.get("profiles", []))
        ]
        if not self.request_classes:
            raise ValueError("profiles: expected one request class or more, found none")
        self.zones, self.engine_kinds = (
            list(document.get("azs", [])),
            list(document.get("kinds", [])),
        )
        self.tenants = [each["name"] for each in document.get("customers", [])]
        self.max_streams_per_connection = read_number(limits, "streamsPerConn", 32, 1)
        self.dial_timeout_ticks = read_number(limits, "dialTimeoutUs", 250_000, 1) // 100
        self.idle_timeout_ticks = read_number(limits, "connIdleUs", 30_000_000, 1) // 100
        self.max_open_requests = read_number(limits, "openCap", 20_000, 1)
        window_ticks = read_number(rules, "budgetSpanUs", 0) // 100
        # Floor, retries per accepted request, and window in ticks, for the check of the ledger;
        # None without a retry budget. The gateway's own budget counts answered requests instead.
        self.retry_budget = (
            (
                read_number(rules, "extraFloor", 0.0),
                read_number(rules, "extraPerRequest", 0.0),
                window_ticks,
            )
            if window_ticks
            else None
        )
        options = read_gateway_options(document, seed, name)
        self.gateway = Gateway(host, options, self.request_classes)

    def place_engine(self, engine: Engine, zone: int, kind: int, cell: int) -> None:
        """Set zone, kind and cell of an engine, and the capacity of its kind."""
        engine.zone, engine.kind, engine.cell = zone, kind, cell
        engine.cores = self.cores_by_kind.get(kind, 1.0)
        engine.max_memory = self.max_memory_mb_by_kind.get(kind, 0.0)


def read_gateway_options(document: dict[str, Any], seed: int, name: str) -> GatewayOptions:
    """Read the options of the gateway's decisions from the settings document."""
    rules, limits = document.get("rules", {}), document.get("limits", {})
    number_from_name = crc32(b"%d %s" % (seed, name.encode())) % 2**20
    return GatewayOptions(
        seed=seed,
        gateway_number=read_number(document, "myNumber", number_from_name),
        gateway_count=read_number(document, "instances", 1, 1),
        host_period_ticks=-(-read_number(document, "periodUs", 1000) // 100),
        can_cancel=bool(limits.get("cancel")),
        can_hedge=bool(limits.get("secondCopies")),
        max_attempts=read_number(limits, "mostTries", 1, 1),
        retry_after_ticks=read_number(limits, "maxRetryAfterUs", 0) // 100
        if limits.get("retryAfter")
        else 0,
        slow_start_speed=read_number(rules, "coldShare", 1.0, 0),
        slow_start_ticks=read_number(rules, "coldUs", 0) // 100,
        overload_factor=read_number(rules, "fallMultiple", 1.0, 0),
        overload_window_ticks=read_number(rules, "fallUs", 0) // 100,
        retry_floor=read_number(rules, "extraFloor", 0.0),
        retry_share=read_number(rules, "extraPerRequest", 0.0),
        retry_window_ticks=read_number(rules, "budgetSpanUs", 0) // 100,
        settle_ticks=-(-read_number(rules, "settleAfterDoubtUs", 0) // 100),
    )


def read_number(document: dict[str, Any], key: str, default: float, minimum: float = 0) -> Any:
    """Return the number of a key in the type of the default; without one, the default unchecked.

    Raises ValueError for a value that is not a number, is below `minimum`, or is 1e15 or more.

    >>> read_number({"a": 3}, "a", 0), read_number({}, "a", 7)
    (3, 7)
    >>> read_number({"a": -3}, "a", 0)
    Traceback (most recent call last):
    ValueError: a: expected a number in the allowed range, found -3
    """
    value = document.get(key)
    if value is None:
        return default
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not minimum <= value < 1e15
    ):
        raise ValueError(f"{key}: expected a number in the allowed range, found {value!r}")
    return int(value) if isinstance(default, int) else float(value)


def read_request_class(document: dict[str, Any], number: int, widths: list[Any]) -> RequestClass:
    """Read a request class from its profile; `number` is its position in the document."""
    if document.get("effect", "pure") not in REPEATABILITY_BY_EFFECT:
        raise ValueError(
            f"effect: expected pure, token or side_effect, found {document['effect']!r}"
        )
    return RequestClass(
        str(document.get("name", number)),
        read_number(document, "objectiveUs", 0) // 100,
        read_number(document, "aimStretch", 0.0),
        read_number(document, "deadlineUs", 0, 1) // 100,
        read_number(document, "worth", 1.0),
        REPEATABILITY_BY_EFFECT[document.get("effect", "pure")],
        document.get("group", "all"),
        read_number(document, "keyTtlUs", 0) // 100,
        bool(document.get("fifoByKey")),
        tuple(document.get("azsOpen", ())),
        tuple(document.get("servedOn", ())),
        max(1, int(widths[number])) if number < len(widths) else 1,
    )
