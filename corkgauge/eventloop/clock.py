"""The clock that no setting of the date changes, and the boot that it counts from.

Owns nothing. Must never be used for what another machine is told: only spans of it mean anything there.
"""

import time


def boot_time() -> int:
    """Tenths of a millisecond since this machine's boot; it goes on while the machine or the program stands
    still."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


def boot_of() -> tuple[str, int]:
    """This boot's id, and the time since it."""
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            boot = file.read().strip()
    except OSError:
        boot = ""
    return boot, boot_time()
