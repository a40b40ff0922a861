"""The quiescence proof: shows that a gateway sends nothing to an engine any more.

The proof is a single rule, free of I/O. A missing report is no proof.

    evidence                                  what the evidence proves
    the gateway's report under the orders     the gateway has no open attempt at the engine and
      to drain                                  sends no new attempt
    the gateway's process has ended, and the  the gateway sends nothing, and is not started before
      gateway is out for maintenance            its own maintenance is over
    a report of a later incarnation           the earlier process sends nothing any more; the new
                                                process has to confirm for itself
    the gateway knew of the maintenance, its  the gateway has sent no new attempt since its grant
      last grant expired, and the longest       expired, and the attempts in flight have ended
      deadline has passed since
    the same without the deadline, and the    the same
      engine reported no attempt in flight
      after the grant had expired
    an operator overruled the gateway by      nothing; the operator is responsible, and the
      name                                      overruling is logged
    no report                                 nothing
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

Stamp = tuple[int, int]


@dataclass(slots=True)
class GatewayReport:
    """The reported state of one gateway, at the planner.

    Times are ticks (tenths of a millisecond) since the boot of the planner's machine.
    """

    incarnation: int = 0  # of the gateway's process
    stamp: Stamp = (0, 0)  # of the last orders that the gateway reported as stored
    closed: frozenset[str] = frozenset()  # engines reported as closed under those orders
    # Time of the last report, which is the latest time that the gateway's grant can count from.
    at_ticks: int = -1
    closed_count: int = 0  # engines closed at the gateway; `closed` may not name all of them yet
    is_blank: bool = True  # the gateway has no orders stored
    serial: int = 0  # serial number of the last report
    holds_no_lease: bool = False  # the gateway holds no lease and is no candidate
    ejected: frozenset[str] = frozenset()  # engines that the gateway has ejected
    loads: Mapping[str, float] = field(default_factory=dict)  # cores by request class


@dataclass(frozen=True, slots=True)
class DrainingEngines:
    """Engines that are being drained together.

    `drained_under` is the stamp of the orders to drain, `announced_under` the stamp of the orders
    that announced the maintenance. `idle_since_ticks` is when the engines reported that they have
    no attempt in flight; -1 if some engine has not reported that.
    """

    members: Sequence[str]
    drained_under: Stamp
    announced_under: Stamp
    idle_since_ticks: int = -1


@dataclass(frozen=True, slots=True)
class LeaderClock:
    """Times on the leader's clock, in ticks (tenths of a millisecond).

    `leading_since_ticks` is when the leader gained the lease; no grant of an earlier leader counts
    from a later time. `grant_ticks` is the duration of a grant and `longest_deadline_ticks` the
    longest time to deadline, both extended by the clock drift.
    """

    now_ticks: int
    leading_since_ticks: int
    grant_ticks: int
    longest_deadline_ticks: int


def find_missing_proof(
    report: GatewayReport | None, has_ended: bool, engines: DrainingEngines, clock: LeaderClock
) -> str:
    """Return why a gateway may still send to these engines; empty if quiescence is proven.

    `has_ended` says that the gateway's process has ended for maintenance of its machine.

    >>> report = GatewayReport(5, (7, 4), frozenset({"e1"}), 100, 1, False)
    >>> def doubt(report, tag, drained, announced, now, has_ended=False, idle_since=-1):
    ...     engines = DrainingEngines([tag], drained, announced, idle_since)
    ...     return find_missing_proof(report, has_ended, engines, LeaderClock(now, 0, 50, 300))
    >>> doubt(report, "e1", (7, 4), (7, 3), 130)
    ''
    >>> doubt(report, "e2", (7, 4), (7, 3), 130)
    'has not confirmed; its grant runs for 20 ticks more'
    >>> doubt(report, "e2", (7, 5), (7, 3), 200)
    'has not confirmed; sent attempts may run for 250 ticks more'
    >>> doubt(report, "e2", (7, 5), (7, 3), 200, idle_since=160)
    ''
    >>> doubt(report, "e2", (7, 5), (7, 5), 9000)
    'no report under the orders that announced the maintenance: does not know of the work'
    >>> doubt(None, "e2", (7, 5), (7, 5), 9000, has_ended=True)
    ''
    """
    if has_ended:
        return ""
    if report is None or report.at_ticks < 0:
        return "never heard from since this leader began"
    if _has_confirmed(report, engines):
        return ""
    if report.is_blank or report.stamp < engines.announced_under:
        return (
            "no report under the orders that announced the maintenance: does not know of the work"
        )
    last_grant_ticks = max(report.at_ticks, clock.leading_since_ticks)
    # After this time the gateway sends no new attempts to the engines.
    grant_end_ticks = last_grant_ticks + clock.grant_ticks
    now_ticks = clock.now_ticks
    if now_ticks < grant_end_ticks:
        return f"has not confirmed; its grant runs for {grant_end_ticks - now_ticks} ticks more"
    all_ended_ticks = grant_end_ticks + clock.longest_deadline_ticks
    if engines.idle_since_ticks > grant_end_ticks or now_ticks >= all_ended_ticks:
        return ""
    return f"has not confirmed; sent attempts may run for {all_ended_ticks - now_ticks} ticks more"


def _has_confirmed(report: GatewayReport, engines: DrainingEngines) -> bool:
    return (
        report.stamp >= engines.drained_under
        and not report.is_blank
        and all(tag in report.closed for tag in engines.members)
    )
