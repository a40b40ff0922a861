"""Processes that end with the one that started them.

Owns one call of the system's. Must never be used by a serving program: it is for rigs, whose
processes would otherwise stay when a rig is killed, and disturb the next.
"""

import ctypes
import os
import signal
from collections.abc import Callable

LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent ends


def kill_with_parent(parent: int) -> Callable[[], None]:
    """What a child runs between fork and exec (`preexec_fn`), or as the first thing in a worker of a pool: it is
    killed when `parent`, the process id of its starter, ends in whichever way.
    """

    def request_parent_death_signal() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # Danger: the parent may have ended before the call
            os._exit(1)

    return request_parent_death_signal
