"""The timer that looks at our own load, several times a lease, and at what commands were lent.

An instance whose loop is late loses its leases by the clock, in the middle of what it does: it
gives them up by itself, and stands last for as long as it is overloaded.
"""

from typing import TYPE_CHECKING

from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.placement import LoadSampler

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

CHECKS_PER_LEASE = 10
MIN_LATE_TICKS = SECOND // 10  # a check is late from here on, however short the lease


class LoadMonitor:
    """Whether one instance is overloaded; hands its leases over when it becomes so."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service
        self.is_overloaded = False
        self.sampler = LoadSampler(max(service.timing.renewal_ticks, MIN_LATE_TICKS))

    def check(self, due_at: int) -> None:
        """Look at the load, take back loans that are over, and set the next check.

        `due_at` is when this one was due, in tenths of a millisecond since boot.
        """
        service = self.service
        now = service.now
        was_overloaded = self.is_overloaded
        self.is_overloaded = self.sampler.record_check(now, now - due_at)
        if was_overloaded != self.is_overloaded:
            self._on_load_changed()
        service.command_loans.expire(now)
        pause_ticks = service.timing.lease_ticks // CHECKS_PER_LEASE
        service.call_later(pause_ticks, self.check, now + pause_ticks)

    def _on_load_changed(self) -> None:
        service = self.service
        state = "overloaded, standing last" if self.is_overloaded else "standing again"
        service.log(f"duties: {state}")
        for name, candidate in service.candidates.items():
            candidate.set_wanted(service.is_wanted(name))
            if self.is_overloaded:  # once: whoever takes it next may be no better off
                service.hand_over(name, "overloaded")
