"""Builds the answer to `GET /works`: the plan and this gateway's orders, as JSON for operators.

Operators' programs read the keys, so the keys stay those of the first version. `time`, `for` and
`lasting` are seconds, `time` of maintenance time. The rows of `history` contain maintenance times
in ticks (tenths of a millisecond).
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance.participant import Participant
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_copy import PlanCopy
from corkgauge.maintenance.plan_records import NEXT_STATES, STATE_WORDS, MaintenanceRequest, Unit


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """The maintenance service's part of the answer; `state` is its proposer's state, in words."""

    name: str
    leader: str
    state: str
    is_fresh: bool
    is_plan_lost: bool
    counters: Mapping[str, int]


def status_report(
    service: ServiceStatus, shown: PlanCopy, participant: Participant
) -> dict[str, Any]:
    """Return the data that `corkgauge maintenance show` prints."""
    plan = shown.plan
    return {
        "name": service.name,
        "holder": service.leader,
        "state": service.state,
        "stamp": [*shown.stamp],
        "fresh": service.is_fresh,
        "forgotten": service.is_plan_lost,
        "time": plan.time_ticks / SECOND,
        "known": plan.confirmed_by,
        "held": plan.held_by,
        "asks": [_request_row(request) for request in plan.requests.values()],
        "units": [
            _unit_row(unit, plan, shown.wait_reasons.get(unit.name, ""))
            for unit in plan.units.values()
        ],
        "history": [[*entry] for entry in plan.history],
        "here": _participant_part(participant),
        "counters": dict(service.counters),
    }


def _request_row(request: MaintenanceRequest) -> dict[str, Any]:
    return {
        "id": request.id,
        "kind": request.kind,
        "names": request.names,
        "owner": request.owner,
        "reason": request.reason,
        "count": request.count,
        "cancelled": request.cancelled,
        "lasting": request.duration_ticks / SECOND,
    }


def _unit_row(unit: Unit, plan: Plan, objection: str) -> dict[str, Any]:
    return {
        "unit": unit.name,
        "ask": unit.request_id,
        "sort": unit.kind,
        "members": unit.members,
        "state": STATE_WORDS[unit.state],
        "for": (plan.time_ticks - unit.since_ticks) / SECOND,
        "why": unit.why,
        "against": objection,
        "next": [STATE_WORDS[state] for state in NEXT_STATES.get(unit.state, ())],
    }


def _participant_part(participant: Participant) -> dict[str, Any]:
    return {
        "stamp": [*participant.stamp],
        "blank": participant.is_blank,
        "closed": sorted(participant.closed),
        "levels": {
            tag: STATE_WORDS[level.state] for tag, level in participant.states_by_member.items()
        },
    }
