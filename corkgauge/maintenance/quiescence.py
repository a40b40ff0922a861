"""The quiescence proof: what shows that a gateway sends nothing to a machine any more.

One rule, free of I/O. Silence alone is no proof.

    what is known                           what it proves
    its own report, under the order         nothing of its is open there, and nothing new goes
      to drain
    its process has ended, and it is out    it sends no more, and is not started before that is over
      for maintenance
    a later incarnation of it was heard     the earlier process sends no more; the new one answers
                                              for itself
    it knew of the work, its last grant to  it sends nothing new since its grant ran out, and what
      send there ran out, and its longest     was in flight has ended
      deadline passed
    the same, and the engine reports        the same, without waiting for the deadline
      nothing in flight after the grant
      ran out
    an operator overruled, by name          nothing; it is his word, and it is logged
    it was not heard                        nothing
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

Stamp = tuple[int, int]


@dataclass(slots=True)
class GatewayReport:
    """What is known of one gateway, at the planner.

    Times are tenths of a millisecond since the planner's boot.
    """

    incarnation: int = 0  # of its process
    stamp: Stamp = (0, 0)  # of the last orders that it said it holds
    closed: frozenset[str] = frozenset()  # where nothing of its is open, under those orders
    at_ticks: int = -1  # of the last report: the latest moment that its grant may count from
    closed_count: int = 0  # how many engines it holds closed; `closed` may not name them all yet
    is_blank: bool = True  # it has forgotten what it was told
    serial: int = 0  # of its last report
    holds_no_lease: bool = False  # and is no candidate for one
    ejected: frozenset[str] = frozenset()  # engines that it has ejected
    loads: Mapping[str, float] = field(default_factory=dict)  # cores by request class


@dataclass(frozen=True, slots=True)
class DrainingEngines:
    """Engines that are being drained together.

    `drained_under` and `announced_under` are the stamps of the orders to drain and of those that
    announced it. `idle_since_ticks` is when the engines last reported nothing in flight; -1: never.
    """

    members: Sequence[str]
    drained_under: Stamp
    announced_under: Stamp
    idle_since_ticks: int = -1


@dataclass(frozen=True, slots=True)
class LeaderClock:
    """Time as the leader counts it, in tenths of a millisecond.

    `leading_since_ticks` is when it began to hold the lease: a grant of an earlier leader's is no
    younger. `grant_ticks` and `longest_deadline_ticks` are the span of a grant and the longest time
    to deadline, both with clock drift.
    """

    now_ticks: int
    leading_since_ticks: int
    grant_ticks: int
    longest_deadline_ticks: int


def find_missing_proof(
    report: GatewayReport | None, has_ended: bool, engines: DrainingEngines, clock: LeaderClock
) -> str:
    """Why a gateway may still be sending to these engines; empty: it is proven that it is not.

    `has_ended`: its process has ended, for work on its machine.

    >>> report = GatewayReport(5, (7, 4), frozenset({"e1"}), 100, 1, False)
    >>> def doubt(report, tag, drained, announced, now, has_ended=False, idle_since=-1):
    ...     engines = DrainingEngines([tag], drained, announced, idle_since)
    ...     return find_missing_proof(report, has_ended, engines, LeaderClock(now, 0, 50, 300))
    >>> doubt(report, "e1", (7, 4), (7, 3), 130)
    ''
    >>> doubt(report, "e2", (7, 4), (7, 3), 130)
    'has not confirmed; its grant runs for 20 more'
    >>> doubt(report, "e2", (7, 5), (7, 3), 200)
    'not heard; what it sent may run for 250 more'
    >>> doubt(report, "e2", (7, 5), (7, 3), 200, idle_since=160)
    ''
    >>> doubt(report, "e2", (7, 5), (7, 5), 9000)
    'not heard, and does not know of the work'
    >>> doubt(None, "e2", (7, 5), (7, 5), 9000, has_ended=True)
    ''
    """
    if has_ended:
        return ""
    if report is None or report.at_ticks < 0:
        return "never heard"
    if _has_confirmed(report, engines):
        return ""
    if report.is_blank or report.stamp < engines.announced_under:
        return "not heard, and does not know of the work"
    last_grant_ticks = max(report.at_ticks, clock.leading_since_ticks)
    grant_end_ticks = (
        last_grant_ticks + clock.grant_ticks
    )  # from then on it sends nothing new there
    now_ticks = clock.now_ticks
    if now_ticks < grant_end_ticks:
        return f"has not confirmed; its grant runs for {grant_end_ticks - now_ticks} more"
    all_ended_ticks = grant_end_ticks + clock.longest_deadline_ticks
    if engines.idle_since_ticks > grant_end_ticks or now_ticks >= all_ended_ticks:
        return ""
    return f"not heard; what it sent may run for {all_ended_ticks - now_ticks} more"


def _has_confirmed(report: GatewayReport, engines: DrainingEngines) -> bool:
    return (
        report.stamp >= engines.drained_under
        and not report.is_blank
        and all(tag in report.closed for tag in engines.members)
    )
