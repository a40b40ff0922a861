"""Shows operators the maintenance plan at any gateway: the leader's plan, or a copy of it.

Also sends copies of the leader's plan to gateways that fetch it. Decides nothing about maintenance.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from corkgauge.maintenance.participant import Participant
from corkgauge.maintenance.plan_copy import Host as CopyHost
from corkgauge.maintenance.plan_copy import PlanCopier, PlanCopy
from corkgauge.maintenance.plan_messages import Chunk, FetchChunks, decode
from corkgauge.maintenance.plan_proposer import STATE_WORDS, PlanProposer, ProposerState
from corkgauge.maintenance.planner import Planner
from corkgauge.maintenance.status import ServiceStatus, status_report


class Host(CopyHost, Protocol):
    """The operations of the maintenance service that the display uses."""

    name: str

    def leader_name(self) -> str:
        """Return the name of the gateway known to hold the lease; empty if none is known."""

    def may_act(self, fence: int) -> bool:
        """Return whether this gateway holds the lease under this fence now."""


class PlanDisplay:
    """Builds status reports of the plan. `replica_counts` are the plan replica's counters."""

    def __init__(
        self,
        host: Host,
        proposer: PlanProposer,
        planner: Planner,
        replica_counts: Mapping[str, int],
    ) -> None:
        self.host = host
        self.proposer = proposer
        self.planner = planner
        self.replica_counts = replica_counts
        self.copier = PlanCopier(host)

    def on_datagram(self, sender: str, body: Any) -> None:
        """Answer a fetch of the leader's plan, or store a chunk of the copy fetched here."""
        match decode(body):
            case Chunk() as chunk:
                self.copier.on_chunk(sender, chunk)
            case FetchChunks() as fetch if self._can_serve_copy():
                self.copier.send_chunks(sender, self._own_plan(), fetch.indexes)

    def _can_serve_copy(self) -> bool:
        """Return whether the plan here is the agreed one: taken over, and the lease is held now."""
        is_led = self.proposer.state == ProposerState.LEADING and self.proposer.is_taken_over
        return is_led and self.host.may_act(self.proposer.fence)

    def _own_plan(self) -> PlanCopy:
        return PlanCopy(self.proposer.stamp, self.proposer.plan, self.planner.wait_reasons)

    def report(self, participant: Participant) -> dict[str, Any]:
        """Return the status with the leader's plan, or, elsewhere, with the last fetched copy.

        `fresh` in the result is always True at the leader, also before the takeover of the plan is
        complete: then the plan shown may be an old copy, or a plan that is not agreed yet.

        At other gateways each call also begins to fetch a newer copy. There, `fresh` in the result
        is False if no leader is known, no copy was fetched yet, or the copy is older than the plan
        that this gateway's orders come from.
        """
        leader = self.host.leader_name()
        is_leader = leader == self.host.name
        if is_leader and self.proposer.state == ProposerState.LEADING:
            shown = self._own_plan()
        else:
            shown = self.copier.copy
            if leader and not is_leader:
                self.copier.fetch_from(leader)
        has_newest = shown.stamp >= participant.stamp and shown.stamp != (0, 0)
        status = ServiceStatus(
            self.host.name,
            leader,
            STATE_WORDS[self.proposer.state],
            is_leader or (bool(leader) and has_newest),
            self.planner.is_plan_lost,
            self._counter_values(participant),
        )
        return status_report(status, shown, participant)

    def _counter_values(self, participant: Participant) -> dict[str, int]:
        return {
            **{f"keeper {name}": count for name, count in self.replica_counts.items()},
            **self.planner.counts,
            "orders refused": participant.preempted_orders,
        }
