"""The program under a sampler: `python -m corkgauge.testkit.fleet.profile_sampler OUT serve ...` is `python -m corkgauge serve ...`.

Owns one timer, which after each 2 ms of processor time appends to OUT where the program is, as the
interpreter's own dump of a stack; `read_samples` counts them. Must never be a part of a program that
serves. What hooks calls is led astray by greenlets and costs most where functions are small; a
second thread finds the program mostly where it gives way to it.
"""

import faulthandler
import os
import re
import signal
import sys
from collections import Counter

SAMPLE_SECONDS = 0.002  # s of processor time; the system may make it longer
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRAME = re.compile(r'  File "(.*)", line \d+ in (.*)')


def describe_frame(file: str, name: str) -> str:
    """`package/file.py:function`, or `library:file.py`."""
    return (
        f"{os.path.relpath(file, ROOT)}:{name}"
        if file.startswith(ROOT)
        else f"library:{os.path.basename(file)}"
    )


def read_samples(path: str) -> tuple[int, Counter, Counter]:
    """How many samples there are; how often each describe_frame was on top of the stack, and how often anywhere in it."""
    looks, own, within, seen = 0, Counter(), Counter(), set[str]()
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            if match := FRAME.match(line):
                found = describe_frame(*match.groups())
                if not seen:
                    looks += 1
                    own[found] += 1
                if found not in seen:
                    seen.add(found)
                    within[found] += 1
            else:
                seen.clear()
    return looks, own, within


def main() -> None:
    """Run the program's own command line, watched from when it serves."""
    out = open(sys.argv.pop(1), "w", encoding="utf-8")
    faulthandler.register(signal.SIGPROF, out, all_threads=False)
    from corkgauge.commands import main as program
    from corkgauge.eventloop.loop import EventLoop

    run = EventLoop.run

    def watched(event_loop: EventLoop) -> None:
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_SECONDS, SAMPLE_SECONDS)
        run(event_loop)
        signal.setitimer(signal.ITIMER_PROF, 0)

    EventLoop.run = watched
    sys.exit(program())


if __name__ == "__main__":
    main()
