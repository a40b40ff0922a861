"""Handles HTTP requests of operators and commands on leases, at `/duties`.

Owns the form of requests and replies. Operators and old versions of the command line read these
keys, so the names of the keys never change.
"""

import json
from typing import TYPE_CHECKING, Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.messages import YIELD_SUBJECT

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

MAX_COMMAND_NAME_CHARS = 100  # longer names are truncated


class OperatorCommands:
    """The HTTP handlers for one instance's leases."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service

    def report_status(self, _body: bytes = b"") -> dict[str, Any]:
        """Handle GET `/duties`; durations are seconds, and points in time are Unix milliseconds."""
        service = self.service
        now = service.now
        return {
            "name": service.name,
            "voters": [*service.configuration.names],
            "version": service.configuration.version,
            "voting": service.voter.is_voting,
            "silent_for": max(service.voter.silent_until - now, 0) / SECOND,
            "overloaded": service.is_overloaded,
            "duties": {
                name: self._report_lease(candidate, now)
                for name, candidate in service.candidates.items()
            },
            "books": {
                name: collector.report_status() for name, collector in service.collectors.items()
            },
            "changes": service.changes,
            "fences": {**service.fencing_guard.highest},
            "counters": {
                **service.voter.counts,
                "acts refused": service.fencing_guard.refused,
            },
        }

    def _report_lease(self, candidate: LeaseCandidate, now: int) -> dict[str, Any]:
        holder = candidate.known_holder
        if candidate.may_act():
            holder = self.service.name
        held_seconds = None
        if candidate.may_act():
            held_seconds = (now - candidate.held_since) / SECOND
        return {
            "state": candidate.state.value,
            "holder": holder,
            "fence": candidate.fencing_token,
            "left": max(candidate.held_until - now, 0) / SECOND,
            "for": held_seconds,
            "why": candidate.last_reason,
            "wanted": candidate.is_wanted,
            "lent": self.service.command_loans.get_command(candidate.lease),
        }

    def handle_request(self, body: bytes) -> dict[str, Any]:
        """Handle POST `/duties`.

        Requests are `{"do": "hold", "duty", "by"}`, `{"do": "done", "duty", "by"}` and
        `{"do": "yield", "duty"}`. Raises ValueError or KeyError for any other request.
        """
        request = json.loads(body)
        lease = request["duty"]
        action = request["do"]
        command = str(request.get("by", ""))[:MAX_COMMAND_NAME_CHARS]
        candidate = self.service.candidates.get(lease)
        if candidate is None:
            raise ValueError(f"no duty {lease!r} here; check the duties in the operator file")
        if action == "hold":
            return self.service.command_loans.lend(candidate, command)
        if action == "done":
            return self.service.command_loans.finish(candidate, command)
        if action == "yield":
            return self._yield_lease(candidate)
        raise ValueError("do: expected hold, done or yield")

    def _yield_lease(self, candidate: LeaseCandidate) -> dict[str, Any]:
        """Hand a lease over, or request the hand-over from its known holder.

        Raises ValueError if no holder is known or the holder cannot be reached yet.
        """
        service = self.service
        lease = candidate.lease
        holder = candidate.known_holder
        if candidate.state is CandidateState.HOLDING:
            service.hand_over(lease, "told")
            return {"told": service.name, "waits_for": service.command_loans.get_command(lease)}
        is_held_elsewhere = holder and holder != service.name
        if is_held_elsewhere and service.member_list.call(holder, YIELD_SUBJECT, lease):
            return {"told": holder, "waits_for": ""}
        raise ValueError(f"nobody is known to hold {lease!r}; retry after one lease duration")
