"""Parses scripts that list the faults of a test with their times, durations and targets.

Owns the language of the scripts. A line is `at SECOND [for SECONDS]: WHO TROUBLE [FIGURE]`, and `#`
starts a comment. TROUBLE is the fault, and FIGURE its level. WHO is the target: an engine, `all`
engines, `program` (the gateway) or `list` (the endpoint list):

    at 2 for 3: e1 silent           e1 holds its answers back for 3 s, and then sends them
    at 4 for 2: e2 slow 8           executions take eight times as long
    at 5: program kill              kill and start the gateway again; also `restart` (SIGTERM) and
                                    `reload` (SIGHUP, without a new start)
    at 6 for 4: list drain e3       e3 drains, and serves again after 4 s; `vanish` removes e3

`FAULT_KINDS` in `emulators/engines.py` lists the faults of engines with the meaning of the level.
"""

from dataclasses import dataclass

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.emulators.engines import FAULT_KINDS

PROGRAM_FAULTS = "kill", "restart", "reload"
LIST_FAULTS = "drain", "vanish"
FRACTION_FAULTS = (
    "full",
    "error",
    "garble",
    "twice",
    "midway",
    "lost",
)  # their level is a fraction of 1


class ScriptError(ValueError):
    """Reports a malformed line of a script; the message has the line's number and what is wrong."""


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """Describes one fault of a script; times are in ticks from the start.

    `engine` is the engine whose entry in the endpoint list changes, if the target is `list`.
    """

    at_ticks: int
    span_ticks: int
    target: str
    fault: str
    level: float = 0.0
    engine: str = ""


def parse_script(text: str, engines: list[str]) -> list[FaultEvent]:
    """Return the faults of a script in the order of their times.

    >>> parse_script("at 2 for 3: e1 slow 4  # a comment", ["e1"])
    [FaultEvent(at_ticks=20000, span_ticks=30000, target='e1', fault='slow', level=4.0, engine='')]
    >>> parse_script("at 1: list drain e9", ["e1"])
    Traceback (most recent call last):
    corkgauge.testkit.faults.script.ScriptError: line 1: no engine 'e9'
    """
    events = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if line:
            try:
                events.append(_parse_line(line, engines))
            except ValueError as problem:
                raise ScriptError(f"line {number}: {problem}") from None
    return sorted(events, key=lambda event: event.at_ticks)


def _parse_line(line: str, engines: list[str]) -> FaultEvent:
    """Parse one line without its comment."""
    times_text, colon, fault_text = line.partition(":")
    times, words = times_text.split(), fault_text.split()
    if not colon or len(times) not in (2, 4) or times[0] != "at" or times[2:3] not in ([], ["for"]):
        raise ValueError("expected 'at SECOND [for SECONDS]: WHO TROUBLE'")
    at_ticks, span_ticks = _seconds(times[1]), _seconds(times[3]) if len(times) == 4 else 0
    if len(words) < 2:
        raise ValueError("expected WHO and TROUBLE")
    target, fault, *rest = words
    if target == "program" and fault in PROGRAM_FAULTS and not rest:
        return FaultEvent(at_ticks, span_ticks, target, fault)
    if target == "list" and fault in LIST_FAULTS and len(rest) == 1:
        if rest[0] not in engines:
            raise ValueError(f"no engine {rest[0]!r}")
        return FaultEvent(at_ticks, span_ticks, target, fault, engine=rest[0])
    if target not in (*engines, "all"):
        raise ValueError(f"no engine {target!r}")
    if fault not in FAULT_KINDS or len(rest) > 1:
        raise ValueError(f"expected one of {', '.join(FAULT_KINDS)}, found {fault!r}")
    level = float(rest[0]) if rest else 1.0
    if not 0 < level <= (1 if fault in FRACTION_FAULTS else 1000):
        raise ValueError(
            f"{fault}: {level} makes no sense as a level, "
            "expected above 0 and at most 1 for a fraction, or 1000 for a factor"
        )
    return FaultEvent(at_ticks, span_ticks, target, fault, level)


def _seconds(text: str) -> int:
    """Return the ticks of a time in seconds."""
    value = float(text)
    if not 0 <= value < 1e6:
        raise ValueError(
            f"a time of {text} is out of range, expected from 0 to below 1000000 seconds"
        )
    return int(value * SECOND)
