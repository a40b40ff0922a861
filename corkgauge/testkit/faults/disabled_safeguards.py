"""Runs the program with disabled safeguards or a wrong clock, to show that the checkers object.

`python -m corkgauge.testkit.faults.disabled_safeguards OFF RATE serve ...`: RATE is the rate of the
clock since boot, where 1.0 is correct. OFF is `none`, or one or more of these, joined by commas.

Disabled safeguards of leases:
    check         act under a lease without checking that the lease is still valid
    silence       voters grant at once after a restart, without a period of silence
    margin        leases without a safety margin and without an allowance for clock drift
    busy          voters grant a lease although another candidate still holds a grant

Disabled safeguards of maintenance plans:
    agreement     one replica is a majority
    confirmation  units become available for work without quiescence proofs of all gateways
    orders        participants and replicas do not check the fence

Disabled safeguards of engine selection:
    cold          no slow start for engines that have just started
    groups        retries ignore which engines know an idempotency key
    beyond        no engine outside of the subset is used
    few           the subset ignores which engine kinds the request classes need

Disabled safeguards of peer health:
    witnesses     a report of a single gateway is enough, of any weight
    leases        the granter keeps a transferred permit, and a received one stays usable too long

Faults that disable no safeguard:
    midact        the process stops itself once, after a clock reading and before an act
    midorder      the process stops itself once, after a clock reading and before a plan datagram
    slowdisk      each write of a vote or plan takes a tenth of a second
    hour          the system clock is set back by an hour, some seconds after the start
    day           the system clock is a day ahead from the start
    liar          the gateway reports each engine as silent and a hundred times as slow

Must never be used outside of tests and benchmarks.
"""

import os
import signal
import sys

CLOCK_STEP_AFTER_SECONDS = 4.0  # from the start to the step of the system clock
ORDERS_BEFORE_STOP_COUNT = 60  # plan datagrams that name no engine before the stop of `midorder`
ACTS_BEFORE_STOP_COUNT = 40  # acts before the stop of `midact`


def change_clock_rate(rate: float) -> None:
    """Change the rate of the clock since boot.

    Must run before other modules import `ticks_since_boot`, because they would keep the true clock.
    """
    from corkgauge.eventloop import clock

    original, started_at = clock.ticks_since_boot, clock.ticks_since_boot()
    clock.ticks_since_boot = lambda: started_at + int((original() - started_at) * rate)


def disable_safeguard(off: str) -> None:
    """Disable the safeguard with this name, or inject the fault; the module describes each name."""
    from corkgauge.leases.candidate import CandidateState, LeaseCandidate
    from corkgauge.leases.voter import Voter
    from corkgauge.leases.voter_configuration import LeaseTiming

    if off == "check":
        # Validity is checked neither before an act nor by a timer: a lease that was granted once
        # counts as valid until a voter refuses to renew it.
        LeaseCandidate.may_act = lambda self: self.state == CandidateState.HOLDING
        LeaseCandidate._expire_lease = lambda self: self._set_timer(
            self.timing.renewal_ticks, self._request_grant
        )
    elif off == "busy":
        Voter._blocked_ticks = lambda self, vote, candidate: 0
    elif off == "midact":
        from corkgauge.membership.member_list import MemberList

        original_call, act_count = MemberList.call, [0]

        def call_and_stop_at_act(self: MemberList, name: str, subject: str, body: list) -> bool:
            act_count[0] += subject == "books" and body[0] == "ask"
            if act_count[0] == ACTS_BEFORE_STOP_COUNT:
                act_count[0] += 1
                os.kill(os.getpid(), signal.SIGSTOP)
            return original_call(self, name, subject, body)

        MemberList.call = call_and_stop_at_act
    elif off == "hour":
        # The system clock is set back by an hour, some seconds after the start. The safeguard
        # against this step stays in place.
        import time

        from corkgauge.eventloop import loop as event_loop

        original_time, started_at = time.time_ns, time.monotonic()
        event_loop.unix_time = lambda: original_time() // 100_000 - (
            36_000_000 if time.monotonic() > started_at + CLOCK_STEP_AFTER_SECONDS else 0
        )
    elif off == "slowdisk":
        # No safeguard is disabled; the helper process that writes the records is replaced.
        from corkgauge.leases import record_writer
        from corkgauge.testkit.faults import slow_disk

        record_writer.__file__ = slow_disk.__file__
    elif off == "midorder":
        # No safeguard is disabled; the process stops itself once, between its reading of the clock
        # and the sending of a plan datagram.
        from corkgauge.membership.member_list import MemberList

        original_call, order_count = MemberList.call, [0]

        def call_and_stop_at_order(self: MemberList, name: str, subject: str, body: list) -> bool:
            order_count[0] += subject == "works" and body[0] == "orders" and not body[-1]
            if (
                order_count[0] >= ORDERS_BEFORE_STOP_COUNT
                and subject == "works"
                and not name.startswith("judge")
            ):
                order_count[0] = -(10**6)
                os.kill(os.getpid(), signal.SIGSTOP)
            return original_call(self, name, subject, body)

        MemberList.call = call_and_stop_at_order
    elif off == "liar":
        # Reports every engine as silent and a hundred times as slow.
        from corkgauge.peer_health.health_report import Fault
        from corkgauge.peer_health.service import PeerHealthService

        def record_false_observations(self: PeerHealthService, now: int) -> None:
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

        PeerHealthService._record_own_observations = record_false_observations
    elif off == "witnesses":
        # One report is enough for a suspicion, from any gateway and zone.
        from corkgauge.peer_health import aggregation

        aggregation.MIN_SUSPICION_WEIGHT, aggregation.MIN_REPORTERS = 0.1, 1
        aggregation.OWN_OBSERVATION_TICKS = 0
        aggregation.OTHER_ZONE_WEIGHT = 1.0
        original_assess = aggregation.assess

        def assess_trustfully(reports, now, incarnation, own_name, zones, observed_at):
            return original_assess(
                reports, now, incarnation, own_name, dict.fromkeys(zones, ""), -1
            )

        from corkgauge.peer_health import service

        service.assess = assess_trustfully
    elif off == "leases":
        # A permit that was transferred is not spent by the granter, and the receiver may use it
        # at any time.
        from corkgauge.peer_health.permit_transfer import PermitTransfer
        from corkgauge.policy.gateway import Gateway

        original_handler = Gateway.on_permit_moved
        Gateway.on_permit_moved = lambda self, engine, work, when: work > 0 or [
            original_handler(self, engine, work, when + 20 * self.slow_start.window_ticks)
        ]
        PermitTransfer.accept_permit = (
            lambda self, now, serial, known_ticks, remaining_ticks: now + remaining_ticks
        )
    elif off == "cold":
        # An engine that has just started gets as much work as any other.
        from corkgauge.policy.slow_start import SlowStart

        SlowStart.is_warming_up = lambda self, engine: False
    elif off == "groups":
        # Attempts that may have been executed are retried on any engine, also on engines that do
        # not know the idempotency key.
        from corkgauge.policy.gateway import Gateway

        original_gateway_init = Gateway.__init__

        def init_without_key_scopes(
            self: Gateway, host: object, options: object, request_classes: list
        ) -> None:
            for each in request_classes:
                each.key_scope = "all"
            original_gateway_init(self, host, options, request_classes)

        Gateway.__init__ = init_without_key_scopes
    elif off == "beyond":
        # No engine outside of the subset is selected.
        from corkgauge.policy.engine_selection import EngineSelector

        EngineSelector.select_in_key_scope = lambda self, request, tried: None
    elif off == "few":
        # The subset consists of the first engines by rank, whatever kinds the request classes need.
        from corkgauge.policy.subsetting import EngineSubset

        original_rebuild = EngineSubset.rebuild

        def rebuild_without_kinds(self: EngineSubset) -> None:
            request_classes, self.request_classes = self.request_classes, []
            original_rebuild(self)
            self.request_classes = request_classes

        EngineSubset.rebuild = rebuild_without_kinds
    elif off == "day":
        # The system clock is a day ahead, from the start.
        from corkgauge.eventloop import loop as event_loop

        original_time = event_loop.unix_time
        event_loop.unix_time = lambda: original_time() + 24 * 36_000_000
    elif off == "agreement":
        # One replica is enough to take the plan over and to change it.
        from corkgauge.maintenance.plan_proposer import PlanProposer

        PlanProposer._majority = lambda self: 1
    elif off == "confirmation":
        from corkgauge.maintenance.unit_progress import UnitProgress

        UnitProgress.confirmations_required = False
    elif off == "orders":
        # Neither participants nor replicas check the fence.
        from corkgauge.maintenance.participant import Participant
        from corkgauge.maintenance.plan_replica import PlanReplica

        PlanReplica.checks_fence = Participant.checks_fence = False
    elif off in ("silence", "margin"):
        original_timing_init = LeaseTiming.__init__

        def init_without_safeguard(
            self: LeaseTiming, lease_ticks: int, drift: float, margin_ticks: int, longest: int = 0
        ) -> None:
            original_timing_init(
                self,
                lease_ticks,
                0.0 if off == "margin" else drift,
                0 if off == "margin" else margin_ticks,
                longest,
            )
            if off == "silence":
                self.silence_ticks = 0

        LeaseTiming.__init__ = init_without_safeguard
    else:
        raise SystemExit(f"no safeguard {off!r}; the module's docstring lists all names")


if __name__ == "__main__":
    names, rate = sys.argv[1:3]
    del sys.argv[1:3]
    change_clock_rate(float(rate))
    for name in names.split(","):
        if name != "none":
            disable_safeguard(name)
    from corkgauge.commands import main

    sys.exit(main())
