"""Slow start: engines that have just started are sent little, summed over all gateways."""

from zlib import crc32

from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine
from corkgauge.policy.work_estimates import WorkEstimates

BUDGET_SAFETY_FRACTION = 0.9  # of its part of the budget that a gateway uses
OVERLOAD_WORK_FRACTION = 0.85  # of the work from which an engine is overloaded, that is the budget
GOLDEN_RATIO = 0.618034  # spreads the gateways' turns evenly
TURN_ADVANCE_FRACTION = 0.25  # part of a turn that passes on in a window


class SlowStart:
    """Owns this gateway's part of the budget; what was sent stands in each engine's stats."""

    def __init__(self, host: Host, options: GatewayOptions, estimates: WorkEstimates) -> None:
        self._host = host
        self._estimates = estimates
        self._gateway_number = options.gateway_number
        self.started_at = host.now  # when this gateway began; settable, as a restart is tried
        self.warm_up_ticks = options.slow_start_ticks
        self.window_ticks = options.overload_window_ticks
        self.warming_speed = options.slow_start_speed
        # A core's worth of work that this gateway may send in a window to an engine warming up.
        self.budget_per_core = (
            BUDGET_SAFETY_FRACTION
            * OVERLOAD_WORK_FRACTION
            * options.overload_factor
            * options.slow_start_speed
            * options.overload_window_ticks
            / options.gateway_count
        )

    def is_warming_up(self, engine: Engine) -> bool:
        """Whether the engine has just started; one that does not say when never is."""
        return bool(engine.incarnation) and (
            self._host.now < engine.incarnation + self.warm_up_ticks
        )

    def can_use(self, engine: Engine, work: float) -> bool:
        """Whether so much work may go to the engine now."""
        return not self.is_warming_up(engine) or self.has_budget(engine, work)

    def has_budget(self, engine: Engine, work: float) -> bool:
        """Whether this gateway may send so much work (thread ticks) to an engine warming up now."""
        now = self._host.now
        window_start = now - self.window_ticks
        part = self.budget_per_core * engine.cores
        spent = sum(sent for when, sent in engine.stats.slow_start_usage if when > window_start)
        usual = self._estimates.mean_requested_work or work
        # With hundreds of gateways a part is below one request: those in turn by number send one,
        # of whatever weight. Turns for each weight would add up to the budget once for each.
        is_one_at_a_time = part < usual
        if is_one_at_a_time:
            work = usual
        # If all turns passed on at one moment, two sets of gateways would send within one window.
        age = now - engine.incarnation
        passed_on = TURN_ADVANCE_FRACTION * min(part / usual, 1) * age / self.window_ticks
        start = self._gateway_number * GOLDEN_RATIO + crc32(engine.hash_key) / 2**32
        turn = (start + passed_on) % 1
        if is_one_at_a_time and spent > 0:
            return False
        # A gateway that has restarted does not know what it sent before: it waits for a window.
        return window_start >= self.started_at and work * turn <= part - spent

    def record_attempt(self, engine: Engine, work: float) -> None:
        """Count work that is sent to the engine, and forget what has left the window."""
        now = self._host.now
        usage = engine.stats.slow_start_usage
        usage.append((now, work))
        while usage and usage[0][0] <= now - self.window_ticks:
            usage.popleft()

    @staticmethod
    def record_moved_permit(engine: Engine, work: float, when: int) -> None:
        """Count a permit passed on to another gateway (work above 0) or taken over (below)."""
        engine.stats.slow_start_usage.append((when, work))
