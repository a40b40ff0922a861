"""The stated rules on where a request may go; each asks about one engine or place."""

from collections.abc import Sequence

from corkgauge.policy.records import Attempt, Engine, Repeatability, Request, RequestClass

KEYED = Repeatability.KEYED  # bound here, as reading an enum's member costs on the hot path


def is_open_to(request_class: RequestClass, zone: int, kind: int) -> bool:
    """Whether the class may use engines of this zone and kind; no list of them allows all."""
    return (not request_class.zones or zone in request_class.zones) and (
        not request_class.engine_kinds or kind in request_class.engine_kinds
    )


def is_key_known_at(request_class: RequestClass, engine: Engine, ran: Sequence[Attempt]) -> bool:
    """Whether the engine knows the idempotency key of every attempt that may have run."""
    if request_class.repeatability != KEYED:
        return True
    if request_class.key_scope == "zone":
        return all(engine.zone == attempt.engine.zone for attempt in ran)
    if request_class.key_scope == "cell":
        return all(engine.cell == attempt.engine.cell for attempt in ran)
    return True


def is_cordoned_for(request: Request, engine: Engine, ran: Sequence[Attempt]) -> bool:
    """Whether maintenance keeps the request from this engine.

    What may have run is tried again only where its key is known, even where that engine drains:
    elsewhere it could run twice.
    """
    if not engine.cordon:
        return False
    if engine.cordon > 1:
        return True
    request_class = request.request_class
    return request_class.repeatability != KEYED or request_class.key_scope == "all" or not ran
