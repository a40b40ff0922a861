"""Checks the load of this instance several times per lease, and expires loans to commands.

An instance whose event loop is late would lose its leases by expiry in the middle of its work. The
instance therefore hands its leases over, and ranks last while it is overloaded.
"""

from typing import TYPE_CHECKING

from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.placement import LoadSampler

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

CHECKS_PER_LEASE = 10
MIN_LATE_TICKS = SECOND // 10  # a shorter delay is never late, however short the lease


class LoadMonitor:
    """Detects overload of this instance, and hands its leases over when overload begins."""

    def __init__(self, service: "LeaseService") -> None:
        self.service = service
        self.is_overloaded = False
        self.sampler = LoadSampler(max(service.timing.renewal_ticks, MIN_LATE_TICKS))

    def check(self, due_at: int) -> None:
        """Sample the load, expire loans to commands, and schedule the next check.

        `due_at` is the time that this check was due, in ticks (tenths of a millisecond) since boot.
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
            # The load does not change whether a lease is wanted. The call restarts the timer of a
            # waiting candidate with its new rank, which also ends a pause after a release.
            candidate.set_wanted(service.is_wanted(name))
            # Leases are handed over only when overload begins, not repeatedly during overload: the
            # next holder may be just as overloaded.
            if self.is_overloaded:
                service.hand_over(name, "overloaded")
