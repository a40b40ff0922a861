"""Runs the program under a sampling profiler.

`python -m corkgauge.testkit.fleet.profile_sampler OUT serve ...` runs the command
`python -m corkgauge serve ...`.

Owns one timer. After each 2 ms of processor time the interpreter appends a dump of the current
stack to the file OUT; `read_samples` counts the samples. Never part of a serving program.

A profiler that hooks calls gives wrong results with greenlets, and costs most in small functions.
A sampler in a second thread finds the program mostly where the program releases the interpreter
lock.
"""

import faulthandler
import os
import re
import signal
import sys
from collections import Counter

SAMPLE_SECONDS = 0.002  # of processor time; the kernel may lengthen the interval
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRAME = re.compile(r'  File "(.*)", line \d+ in (.*)')


def describe_frame(file: str, name: str) -> str:
    """Return a stack frame as `package/file.py:function`, or `library:file.py`."""
    return (
        f"{os.path.relpath(file, ROOT)}:{name}"
        if file.startswith(ROOT)
        else f"library:{os.path.basename(file)}"
    )


def read_samples(path: str) -> tuple[int, Counter, Counter]:
    """Count the samples in a file.

    Returns:
        The number of samples; how often each frame was on top of the stack; and in how many samples
        it was anywhere in the stack.
    """
    samples, own, within, seen = 0, Counter(), Counter(), set[str]()
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            if match := FRAME.match(line):
                frame = describe_frame(*match.groups())
                if not seen:
                    samples += 1
                    own[frame] += 1
                if frame not in seen:
                    seen.add(frame)
                    within[frame] += 1
            else:
                seen.clear()
    return samples, own, within


def main() -> None:
    """Run the program's command line, with sampling while its event loop runs."""
    output = open(sys.argv.pop(1), "w", encoding="utf-8")
    faulthandler.register(signal.SIGPROF, output, all_threads=False)
    from corkgauge.commands import main as program
    from corkgauge.eventloop.loop import EventLoop

    run = EventLoop.run

    def run_sampled(event_loop: EventLoop) -> None:
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_SECONDS, SAMPLE_SECONDS)
        run(event_loop)
        signal.setitimer(signal.ITIMER_PROF, 0)

    EventLoop.run = run_sampled
    sys.exit(program())


if __name__ == "__main__":
    main()
