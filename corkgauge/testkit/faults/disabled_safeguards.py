"""The program with one defence left out, or with a clock that runs fast or slow: for showing that the judge
objects.

`python -m corkgauge.testkit.faults.disabled_safeguards OFF RATE serve ...`: OFF is any of check,
silence, margin, busy, and of works agreement, confirmation, orders, of the working set cold,
groups, beyond, few, joined by commas, or none; RATE how fast the clock since boot runs. `midact`
leaves nothing out: the process stops itself once, between its look at the clock and the act. Nor
does `slowdisk`: what is kept takes a tenth of a second to be safe. Must never be used for anything
but that.
"""

import os
import signal
import sys

CLOCK_STEP_AFTER_SECONDS = 4.0  # seconds from the start to the step of the date
ORDERS_BEFORE_STOP_COUNT = 60  # orders that name nothing before the one that it stops in
ACTS_BEFORE_STOP_COUNT = 40  # acts before the one that it stops in


def change_clock_rate(rate: float) -> None:
    """Before anybody has taken the clock by its name."""
    from corkgauge.eventloop import clock as boot

    true, begun = boot.ticks_since_boot, boot.ticks_since_boot()
    boot.ticks_since_boot = lambda: begun + int((true() - begun) * rate)


def disable_safeguard(off: str) -> None:
    from corkgauge.leases.candidate import CandidateState, LeaseCandidate
    from corkgauge.leases.voter import Voter
    from corkgauge.leases.voter_configuration import LeaseTiming

    if off == "check":
        # Neither before an act nor at a timer: what was granted once is believed in until a voter
        # says no.
        LeaseCandidate.may_act = lambda self: self.state == CandidateState.HOLDING
        LeaseCandidate._expire_lease = lambda self: self._set_timer(
            self.timing.renewal_ticks, self._request_grant
        )
    elif off == "busy":
        Voter._blocked_ticks = lambda self, vote, candidate: 0
    elif off == "midact":
        from corkgauge.membership.member_list import MemberList

        call, acts = MemberList.call, [0]

        def stopped(self: MemberList, name: str, subject: str, body: list) -> bool:
            acts[0] += subject == "books" and body[0] == "ask"
            if acts[0] == ACTS_BEFORE_STOP_COUNT:
                acts[0] += 1
                os.kill(os.getpid(), signal.SIGSTOP)
            return call(self, name, subject, body)

        MemberList.call = stopped
    elif off == "hour":
        # The date is set back by an hour, some seconds after the start; a defence that is in place.
        import time

        from corkgauge.eventloop import loop as event_loop

        true, begun = time.time_ns, time.monotonic()
        event_loop.unix_time = lambda: true() // 100_000 - (
            36_000_000 if time.monotonic() > begun + CLOCK_STEP_AFTER_SECONDS else 0
        )
    elif off == "slowdisk":
        # Nothing is left out: what is kept takes a while until it is safe.
        from corkgauge.leases import record_writer as store
        from corkgauge.testkit.faults import slow_disk as slow_store

        store.__file__ = slow_store.__file__
    elif off == "midorder":
        # Nothing is left out: the process stops itself once, between its look at the clock and an
        # order's writing.
        from corkgauge.membership.member_list import MemberList

        call, orders = MemberList.call, [0]

        def halted(self: MemberList, name: str, subject: str, body: list) -> bool:
            orders[0] += subject == "works" and body[0] == "orders" and not body[-1]
            if (
                orders[0] >= ORDERS_BEFORE_STOP_COUNT
                and subject == "works"
                and not name.startswith("judge")
            ):
                orders[0] = -(10**6)
                os.kill(os.getpid(), signal.SIGSTOP)
            return call(self, name, subject, body)

        MemberList.call = halted
    elif off == "liar":
        # It tells of every engine that it is silent and a hundred times as slow.
        from corkgauge.peer_health.health_report import Fault
        from corkgauge.peer_health.service import PeerHealthService

        def lies(self: PeerHealthService, now: int) -> None:
            for engine_pool in self.socket_host.engine_pools.values():
                self.reports.serial += 1
                self.reports.record_own(
                    now,
                    engine_pool.engine.host_reference,
                    engine_pool.started_ms,
                    Fault.SILENT,
                    10_000,
                    8,
                )

        PeerHealthService._record_own_observations = lies
    elif off == "witnesses":
        # One word is believed, of whoever it is.
        from corkgauge.peer_health import aggregation as weighing

        weighing.MIN_SUSPICION_WEIGHT, weighing.MIN_REPORTERS = 0.1, 1
        weighing.OWN_OBSERVATION_TICKS = 0
        weighing.OTHER_ZONE_WEIGHT = 1.0
        made = weighing.assess

        def believed(findings, now, started, us, zones, own_sign):
            return made(findings, now, started, us, dict.fromkeys(zones, ""), -1)

        from corkgauge.peer_health import service as exchange

        exchange.assess = believed
    elif off == "leases":
        # A turn that was passed on is not spent here, and one that came is used whenever it is
        # wanted.
        from corkgauge.peer_health.permit_transfer import PermitTransfer
        from corkgauge.policy.gateway import Gateway

        passed = Gateway.on_permit_moved
        Gateway.on_permit_moved = lambda self, engine, work, when: work > 0 or [
            passed(self, engine, work, when + 20 * self.slow_start.window_ticks)
        ]
        PermitTransfer.accept_permit = lambda self, now, serial, known_for, left: now + left
    elif off == "cold":
        # An engine that has just started is sent what any other is.
        from corkgauge.policy.slow_start import SlowStart

        SlowStart.is_warming_up = lambda self, engine: False
    elif off == "groups":
        # What may have run is tried again anywhere, whoever knows its label.
        from corkgauge.policy.gateway import Gateway

        settings = Gateway.__init__

        def careless(self: Gateway, host: object, options: object, request_classes: list) -> None:
            for each in request_classes:
                each.key_scope = "all"
            settings(self, host, options, request_classes)

        Gateway.__init__ = careless
    elif off == "beyond":
        # Nothing is sought outside the working set.
        from corkgauge.policy.engine_selection import EngineSelector

        EngineSelector.select_outside_subset = lambda self, request, tried: None
    elif off == "few":
        # The working set is what is first by rank, whatever kinds the offerings need.
        from corkgauge.policy.subsetting import EngineSubset

        gathered = EngineSubset.rebuild

        def bare(self: EngineSubset) -> None:
            needed, self.request_classes = self.request_classes, []
            gathered(self)
            self.request_classes = needed

        EngineSubset.rebuild = bare
    elif off == "day":
        # Its date is a day ahead, from its start.
        from corkgauge.eventloop import loop as event_loop

        true = event_loop.unix_time
        event_loop.unix_time = lambda: true() + 24 * 36_000_000
    elif off == "agreement":
        # One keeper's word is enough, to take the plan over and to change it.
        from corkgauge.maintenance.plan_proposer import PlanProposer

        PlanProposer._majority = lambda self: 1
    elif off == "confirmation":
        from corkgauge.maintenance.unit_progress import UnitProgress

        UnitProgress.confirmations_required = False
    elif off == "orders":
        # Neither gateways nor keepers look at the fence.
        from corkgauge.maintenance.participant import Participant
        from corkgauge.maintenance.plan_replica import PlanReplica

        PlanReplica.checks_fence = Participant.checks_fence = False
    elif off in ("silence", "margin"):
        made = LeaseTiming.__init__

        def spoilt(
            self: LeaseTiming, lease: int, drift: float, margin: int, longest: int = 0
        ) -> None:
            made(
                self,
                lease,
                0.0 if off == "margin" else drift,
                0 if off == "margin" else margin,
                longest,
            )
            if off == "silence":
                self.silence_ticks = 0

        LeaseTiming.__init__ = spoilt
    else:
        raise SystemExit(f"no defence {off!r}")


if __name__ == "__main__":
    offs, rate_said = sys.argv[1:3]
    del sys.argv[1:3]
    change_clock_rate(float(rate_said))
    for each in offs.split(","):
        if each != "none":
            disable_safeguard(each)
    from corkgauge.commands import main

    sys.exit(main())
