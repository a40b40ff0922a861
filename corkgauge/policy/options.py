"""What the platform and its operators state about one gateway."""

from dataclasses import dataclass

ANSWER_TICKS = 10  # for an answer to leave the host


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """The stated figures. Times are ticks (tenths of a millisecond)."""

    seed: int  # of the lottery
    gateway_number: int  # of this gateway among all
    gateway_count: int
    host_period_ticks: int  # how late the host may act on a timer
    can_cancel: bool  # engines take cancellations
    can_hedge: bool  # a request may have two attempts in flight
    max_attempts: int
    retry_after_ticks: int  # told with a rejection; 0: unspecified
    slow_start_speed: float  # speed of an engine that is warming up, of its full one
    slow_start_ticks: int  # how long an engine is warming up
    overload_factor: float  # times its speed in the window, from which an engine is overloaded
    overload_window_ticks: int
    retry_floor: float  # retries in the window that are always in the budget
    retry_share: float  # retries for each success in the window
    retry_window_ticks: int  # 0: no budget is stated
    settle_ticks: int  # how long an attempt without a known end may still run

    @property
    def deadline_margin_ticks(self) -> int:
        """An answer that is given this long before the deadline is in time."""
        return 2 * self.host_period_ticks + ANSWER_TICKS
