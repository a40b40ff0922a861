"""Stated settings to records: the one place where what operators state becomes our own figures.

The simulator's first message and the configuration of a real workload manager hold the same object.
"""

from typing import Any
from zlib import crc32

from corkgauge.policy.gateway import Gateway
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine, Repeatability, RequestClass

REPEATS = {
    "pure": Repeatability.IDEMPOTENT,
    "token": Repeatability.KEYED,
    "side_effect": Repeatability.NON_IDEMPOTENT,
}


class Settings:
    """What the door of a gateway derives from the settings; the raw ones are not kept."""

    def __init__(self, said: Any, host: Host, seed: int, name: str = "") -> None:
        """Read the settings; `name` is the gateway's own.

        Gateways that are told no number would all have their slow-start permits at once, and one
        subset; also seeds may be alike. So names stand in for numbers.
        """
        if not isinstance(said, dict):
            raise ValueError("settings: not an object")
        rules, limits = said.get("rules", {}), said.get("limits", {})
        extra, report = said.get("extra", {}), said.get("report", {})
        self.fields = list(report.get("fields", []))
        self.cores = dict(enumerate(map(float, extra.get("coresByKind", []))))
        most = figure(extra, "mostGrant", 1.0, 0) if extra.get("takesGrants") else 0.0
        self.sizes = [float(size) for size in extra.get("sizeMb", [])]
        self.most_memory = {kind: most * size for kind, size in enumerate(self.sizes)}
        self.bills, self.grants = bool(extra.get("bills")), bool(extra.get("takesGrants"))
        self.priorities = bool(extra.get("takesPriority"))
        self.tells = (
            figure(extra, "tellsEveryUs", 0) // 100
        )  # of every attempt in flight; 0: not at all
        widths = extra.get("widthByClass", [])
        self.request_classes = [
            request_class(p, n, widths) for n, p in enumerate(said.get("profiles", []))
        ]
        if not self.request_classes:
            raise ValueError("profiles: no class")
        self.zones, self.kinds = list(said.get("azs", [])), list(said.get("kinds", []))
        self.tenants = [each["name"] for each in said.get("customers", [])]
        self.streams = figure(limits, "streamsPerConn", 32, 1)
        self.dial_time = figure(limits, "dialTimeoutUs", 250_000, 1) // 100
        self.idle_time = figure(limits, "connIdleUs", 30_000_000, 1) // 100
        self.open_cap = figure(limits, "openCap", 20_000, 1)
        span = figure(rules, "budgetSpanUs", 0) // 100
        # The retry budget, where one is stated: floor, share of what was taken, window.
        self.budget = (
            (figure(rules, "extraFloor", 0.0), figure(rules, "extraPerRequest", 0.0), span)
            if span
            else None
        )
        options = gateway_options(said, seed, name)
        self.gateway = Gateway(host, options, self.request_classes)

    def place(self, engine: Engine, zone: int, kind: int, cell: int) -> None:
        """Where an engine stands, and what one of its kind holds."""
        engine.zone, engine.kind, engine.cell = zone, kind, cell
        engine.cores = self.cores.get(kind, 1.0)
        engine.max_memory = self.most_memory.get(kind, 0.0)


def gateway_options(said: dict, seed: int, name: str) -> GatewayOptions:
    """Turn the settings that the decisions need into their options; `name` is the gateway's own."""
    rules, limits = said.get("rules", {}), said.get("limits", {})
    number_from_name = crc32(b"%d %s" % (seed, name.encode())) % 2**20
    return GatewayOptions(
        seed=seed,
        gateway_number=figure(said, "myNumber", number_from_name),
        gateway_count=figure(said, "instances", 1, 1),
        host_period_ticks=-(-figure(said, "periodUs", 1000) // 100),
        can_cancel=bool(limits.get("cancel")),
        can_hedge=bool(limits.get("secondCopies")),
        max_attempts=figure(limits, "mostTries", 1, 1),
        retry_after_ticks=figure(limits, "maxRetryAfterUs", 0) // 100
        if limits.get("retryAfter")
        else 0,
        slow_start_speed=figure(rules, "coldShare", 1.0, 0),
        slow_start_ticks=figure(rules, "coldUs", 0) // 100,
        overload_factor=figure(rules, "fallMultiple", 1.0, 0),
        overload_window_ticks=figure(rules, "fallUs", 0) // 100,
        retry_floor=figure(rules, "extraFloor", 0.0),
        retry_share=figure(rules, "extraPerRequest", 0.0),
        retry_window_ticks=figure(rules, "budgetSpanUs", 0) // 100,
        settle_ticks=-(-figure(rules, "settleAfterDoubtUs", 0) // 100),
    )


def figure(said: dict, key: str, otherwise: float, least: float = 0) -> Any:
    """A number that makes sense, or an error that names its key.

    >>> figure({"a": 3}, "a", 0), figure({}, "a", 7)
    (3, 7)
    >>> figure({"a": -3}, "a", 0)
    Traceback (most recent call last):
    ValueError: a: -3 makes no sense
    """
    value = said.get(key)
    if value is None:
        return otherwise
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < 1e15:
        raise ValueError(f"{key}: {value!r} makes no sense")
    return int(value) if isinstance(otherwise, int) else float(value)


def request_class(said: dict, number: int, widths: list) -> RequestClass:
    """One of the profiles, in the project's own words."""
    if said.get("effect", "pure") not in REPEATS:
        raise ValueError(f"effect: {said['effect']!r} makes no sense")
    return RequestClass(
        str(said.get("name", number)),
        figure(said, "objectiveUs", 0) // 100,
        figure(said, "aimStretch", 0.0),
        figure(said, "deadlineUs", 0, 1) // 100,
        figure(said, "worth", 1.0),
        REPEATS[said.get("effect", "pure")],
        said.get("group", "all"),
        figure(said, "keyTtlUs", 0) // 100,
        bool(said.get("fifoByKey")),
        tuple(said.get("azsOpen", ())),
        tuple(said.get("servedOn", ())),
        max(1, int(widths[number])) if number < len(widths) else 1,
    )
