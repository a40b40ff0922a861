"""Placement rules: which engines a request may use, by class, idempotency key and cordon."""

from collections.abc import Sequence

from corkgauge.policy.records import Attempt, Engine, Repeatability, Request, RequestClass

KEYED = Repeatability.KEYED  # a constant here, as enum access is slow on the hot path


def is_open_to(request_class: RequestClass, zone: int, kind: int) -> bool:
    """Whether the class may use engines of this zone and kind; an empty list allows all."""
    return (not request_class.zones or zone in request_class.zones) and (
        not request_class.engine_kinds or kind in request_class.engine_kinds
    )


def is_key_known_at(
    request_class: RequestClass, engine: Engine, possibly_executed: Sequence[Attempt]
) -> bool:
    """Whether the engine is in the key scope of every attempt that may have run.

    True for a class without idempotency keys.
    """
    if request_class.repeatability != KEYED:
        return True
    if request_class.key_scope == "zone":
        return all(engine.zone == attempt.engine.zone for attempt in possibly_executed)
    if request_class.key_scope == "cell":
        return all(engine.cell == attempt.engine.cell for attempt in possibly_executed)
    return True


def is_cordoned_for(request: Request, engine: Engine, possibly_executed: Sequence[Attempt]) -> bool:
    """Whether a cordon excludes the request from this engine.

    Cordon.NO_NEW_WORK still allows retries of a keyed request that may have run and whose key not
    all engines know: on engines that do not know the key, the request could run twice.
    """
    if not engine.cordon:
        return False
    if engine.cordon > 1:  # Cordon.NO_ATTEMPTS
        return True
    request_class = request.request_class
    return (
        request_class.repeatability != KEYED
        or request_class.key_scope == "all"
        or not possibly_executed
    )
