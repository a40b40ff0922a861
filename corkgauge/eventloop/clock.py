"""Reads the time since boot, which no change of the system date affects.

Other machines have other boot times. So only differences between times of this clock may be sent to
them.
"""

import time

BOOT_ID_FILE = "/proc/sys/kernel/random/boot_id"
NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


def ticks_since_boot() -> int:
    """Return the ticks since the boot of this machine.

    The clock also advances while the machine is suspended or the process is stopped.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK


def read_boot() -> tuple[str, int]:
    """Return the id of this boot, or "" if it cannot be read, and the ticks since the boot."""
    try:
        with open(BOOT_ID_FILE, encoding="ascii") as file:
            boot_id = file.read().strip()
    except OSError:
        boot_id = ""
    return boot_id, ticks_since_boot()
