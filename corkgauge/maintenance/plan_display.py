"""What operators see of the plan at any gateway: the leader's own, or a copy of it.

Answers other gateways' fetches of the copy too. Decides nothing about maintenance.
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
    """What the display needs of the service."""

    name: str

    def leader_name(self) -> str:
        """Name who is known to hold the lease; empty: nobody."""

    def may_act(self, fence: int) -> bool:
        """Whether the lease is held under this fence, now."""


class PlanDisplay:
    """Shows the plan. `replica_counts` are the plan replica's counters."""

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
        """Answer a fetch of the plan's copy, or take a chunk of one."""
        match decode(body):
            case Chunk() as chunk:
                self.copier.on_chunk(sender, chunk)
            case FetchChunks() as fetch if self._may_be_copied():
                self.copier.send_chunks(sender, self._own_plan(), fetch.indexes)

    def _may_be_copied(self) -> bool:
        """Whether the plan here is the agreed one: it is led, and the lease is held now."""
        is_led = self.proposer.state == ProposerState.LEADING and self.proposer.is_taken_over
        return is_led and self.host.may_act(self.proposer.fence)

    def _own_plan(self) -> PlanCopy:
        return PlanCopy(self.proposer.stamp, self.proposer.plan, self.planner.wait_reasons)

    def report(self, participant: Participant) -> dict[str, Any]:
        """Show the plan as the leader has agreed it; elsewhere a copy, and fetch a newer one.

        `fresh` tells whether the plan shown is the one that the orders here are of.
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
            self._counters(participant),
        )
        return status_report(status, shown, participant)

    def _counters(self, participant: Participant) -> dict[str, int]:
        return {
            **{f"keeper {name}": count for name, count in self.replica_counts.items()},
            **self.planner.counts,
            "orders refused": participant.preempted_orders,
        }
