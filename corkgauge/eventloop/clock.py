"""The clock since boot, which no change of the date moves.

Only spans of it mean anything on another machine: an instant of it must not be sent as one.
"""

import time

BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id"
NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


def ticks_since_boot() -> int:
    """Read the ticks since this machine's boot; they go on while it or the program stands still."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK


def read_boot() -> tuple[str, int]:
    """Read the id of this boot and the ticks since it; the id is empty where none can be read."""
    try:
        with open(BOOT_ID_FILE, encoding="ascii") as file:
            boot_id = file.read().strip()
    except OSError:
        boot_id = ""
    return boot_id, ticks_since_boot()
