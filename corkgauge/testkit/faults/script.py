"""Scripts: which trouble befalls whom, when and for how long.

Owns the language of a script. A line is `at SECOND [for SECONDS]: WHO TROUBLE [FIGURE]`, `#` begins
a comment. WHO is an engine, `all`, `program` or `list`:

    at 2 for 3: e1 silent           the engine answers nothing, then all that waited
    at 4 for 2: e2 slow 8           eight times as long
    at 5: program kill              and start again; also `restart` (SIGTERM) and `reload` (SIGHUP)
    at 6 for 4: list drain e3       drains, then serves again; also `vanish`
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
)  # their figure is a part of 1


class ScriptError(ValueError):
    """One line: which line of the script, and what it should say."""


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """Times are tenths of a millisecond from the start."""

    at_ticks: int
    span_ticks: int
    target: str
    fault: str
    level: float = 0.0
    engine: str = ""


def parse_script(text: str, engines: list[str]) -> list[FaultEvent]:
    """A script's scenes, in the order of their time.

    >>> parse_script("at 2 for 3: e1 slow 4  # a comment", ["e1"])
    [FaultEvent(at_ticks=20000, span_ticks=30000, target='e1', fault='slow', level=4.0, engine='')]
    >>> parse_script("at 1: list drain e9", ["e1"])
    Traceback (most recent call last):
    corkgauge.testkit.faults.script.ScriptError: line 1: no engine 'e9'
    """
    scenes = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if line:
            try:
                scenes.append(_parse_line(line, engines))
            except ValueError as problem:
                raise ScriptError(f"line {number}: {problem}") from None
    return sorted(scenes, key=lambda scene: scene.at_ticks)


def _parse_line(line: str, engines: list[str]) -> FaultEvent:
    head, colon, what = line.partition(":")
    times, words = head.split(), what.split()
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
        raise ValueError(f"{fault}: {level} makes no sense")
    return FaultEvent(at_ticks, span_ticks, target, fault, level)


def _seconds(text: str) -> int:
    value = float(text)
    if not 0 <= value < 1e6:
        raise ValueError(f"a time of {text}")
    return int(value * SECOND)
