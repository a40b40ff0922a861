"""Makes child processes end with their parent.

For tests and benchmarks only, never for a serving program: without this, the child processes of a
test that is killed keep running and disturb the next test.
"""

import ctypes
import os
import signal
from collections.abc import Callable

LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent ends


def kill_with_parent(parent: int) -> Callable[[], None]:
    """Return a function after whose call the calling process is killed when `parent` ends.

    Use the function as the `preexec_fn` of a child, or as the initializer of a pool's workers.
    `parent` is the process id of the parent; however that process ends, the kernel sends SIGKILL.
    """

    def request_parent_death_signal() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        # No signal follows if the parent ended before the call of prctl.
        if os.getppid() != parent:
            os._exit(1)

    return request_parent_death_signal
