"""Options of one gateway, from the settings of the platform and its operators."""

from dataclasses import dataclass

ANSWER_TICKS = 10  # time in which the host sends an answer


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """Options of one gateway. Times are in ticks (tenths of a millisecond)."""

    seed: int  # seed of the lottery
    gateway_number: int  # number of this gateway among all
    gateway_count: int
    host_period_ticks: int  # largest delay of the host's timers
    can_cancel: bool  # engines support cancellation
    can_hedge: bool  # one request may have two attempts in flight
    max_attempts: int
    retry_after_ticks: int  # sent with a rejection; 0: unspecified
    slow_start_speed: float  # speed of an engine in slow start, as a fraction of its full speed
    slow_start_ticks: int  # duration of slow start
    # An engine is overloaded by this times speed * window * cores of work in one window.
    overload_factor: float
    overload_window_ticks: int
    retry_floor: float  # retries in one window that the budget always allows
    retry_share: float  # further retries per answered request in the window
    retry_window_ticks: int  # 0: no budget configured, use the default
    settle_ticks: int  # time for which an attempt with unknown outcome may still run

    @property
    def deadline_margin_ticks(self) -> int:
        """The time before the deadline at which an answer must be sent to arrive in time."""
        return 2 * self.host_period_ticks + ANSWER_TICKS
