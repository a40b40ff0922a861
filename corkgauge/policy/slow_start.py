"""Slow start: limits the work that all gateways together send to a newly started engine.

All gateways have a common budget of work for each window. It is divided evenly among the gateways.
A permit is the right to send some work; gateways may give permits to each other.
"""

from zlib import crc32

from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine
from corkgauge.policy.work_estimates import WorkEstimates

BUDGET_SAFETY_FRACTION = 0.9  # each gateway uses this fraction of its part of the common budget
OVERLOAD_WORK_FRACTION = 0.85  # the common budget, over the work that overloads an engine
GOLDEN_RATIO = 0.618034  # its multiples modulo 1 spread the turns of gateways evenly
# Advance of turns in one window, as a fraction of the share of gateways that may send at once.
TURN_ADVANCE_FRACTION = 0.25


class SlowStart:
    """Holds this gateway's part of the common budget; each engine's stats record the work sent."""

    def __init__(self, host: Host, options: GatewayOptions, estimates: WorkEstimates) -> None:
        self._host = host
        self._estimates = estimates
        self._gateway_number = options.gateway_number
        self.started_at = host.now  # start of this gateway; tests set it to simulate a restart
        self.warm_up_ticks = options.slow_start_ticks
        self.window_ticks = options.overload_window_ticks
        self.warming_speed = options.slow_start_speed
        # Thread ticks per core that this gateway may send in a window to an engine in slow start.
        self.budget_per_core = (
            BUDGET_SAFETY_FRACTION
            * OVERLOAD_WORK_FRACTION
            * options.overload_factor
            * options.slow_start_speed
            * options.overload_window_ticks
            / options.gateway_count
        )

    def is_warming_up(self, engine: Engine) -> bool:
        """Whether the engine is in slow start; False if its start time is unknown."""
        return bool(engine.incarnation) and (
            self._host.now < engine.incarnation + self.warm_up_ticks
        )

    def can_use(self, engine: Engine, work: float) -> bool:
        """Whether slow start allows sending this much work (thread ticks) to the engine now."""
        return not self.is_warming_up(engine) or self.has_budget(engine, work)

    def has_budget(self, engine: Engine, work: float) -> bool:
        """Whether the budget allows this much work (thread ticks) for an engine in slow start."""
        now = self._host.now
        window_start = now - self.window_ticks
        gateway_budget = self.budget_per_core * engine.cores
        spent_work = sum(
            sent for when, sent in engine.stats.slow_start_usage if when > window_start
        )
        mean_work = self._estimates.mean_requested_work or work
        # With hundreds of gateways, the part of one is below one request. In its turn, a gateway
        # then sends one request of any amount of work, counted as the mean work. With separate
        # turns for each amount, the fleet would spend the whole budget once per amount.
        is_one_at_a_time = gateway_budget < mean_work
        if is_one_at_a_time:
            work = mean_work
        # The turn of a gateway is a number from 0 to 1, by its gateway number. A request is allowed
        # if its work times the turn fits into the budget. So a fraction gateway_budget / work of
        # the gateways may send it at once. Turns advance gradually. If all changed at the same
        # time, two sets of gateways would send within one window.
        age = now - engine.incarnation
        advance = (
            TURN_ADVANCE_FRACTION * min(gateway_budget / mean_work, 1) * age / self.window_ticks
        )
        first_turn = self._gateway_number * GOLDEN_RATIO + crc32(engine.hash_key) / 2**32
        turn = (first_turn + advance) % 1
        if is_one_at_a_time and spent_work > 0:
            return False
        # A restarted gateway does not know what it sent before the restart. So it waits one window.
        return window_start >= self.started_at and work * turn <= gateway_budget - spent_work

    def record_attempt(self, engine: Engine, work: float) -> None:
        """Record work sent to the engine, and drop records that have left the window."""
        now = self._host.now
        usage = engine.stats.slow_start_usage
        usage.append((now, work))
        while usage and usage[0][0] <= now - self.window_ticks:
            usage.popleft()

    @staticmethod
    def record_moved_permit(engine: Engine, work: float, when: int) -> None:
        """Record a permit given to another gateway (work above 0) or received (below 0)."""
        engine.stats.slow_start_usage.append((when, work))
