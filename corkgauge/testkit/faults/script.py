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
from corkgauge.testkit.emulators.engines import TROUBLES

PROGRAM = "kill", "restart", "reload"
LIST = "drain", "vanish"
WITH_PART = "full", "error", "garble", "twice", "midway", "lost"  # their figure is a part of 1


class Unplayable(ValueError):
    """One line: which line of the script, and what it should say."""


@dataclass(frozen=True, slots=True)
class Scene:
    """Times are tenths of a millisecond from the start."""

    at: int
    span: int
    who: str
    trouble: str
    figure: float = 0.0
    whom: str = ""


def read(text: str, engines: list[str]) -> list[Scene]:
    """A script's scenes, in the order of their time.

    >>> read("at 2 for 3: e1 slow 4  # a comment", ["e1"])
    [Scene(at=20000, span=30000, who='e1', trouble='slow', figure=4.0, whom='')]
    >>> read("at 1: list drain e9", ["e1"])
    Traceback (most recent call last):
    corkgauge.testkit.faults.script.Unplayable: line 1: no engine 'e9'
    """
    scenes = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if line:
            try:
                scenes.append(_scene(line, engines))
            except ValueError as problem:
                raise Unplayable(f"line {number}: {problem}") from None
    return sorted(scenes, key=lambda scene: scene.at)


def _scene(line: str, engines: list[str]) -> Scene:
    head, colon, what = line.partition(":")
    times, words = head.split(), what.split()
    if not colon or len(times) not in (2, 4) or times[0] != "at" or times[2:3] not in ([], ["for"]):
        raise ValueError("expected 'at SECOND [for SECONDS]: WHO TROUBLE'")
    at, span = _seconds(times[1]), _seconds(times[3]) if len(times) == 4 else 0
    if len(words) < 2:
        raise ValueError("expected WHO and TROUBLE")
    who, trouble, *rest = words
    if who == "program" and trouble in PROGRAM and not rest:
        return Scene(at, span, who, trouble)
    if who == "list" and trouble in LIST and len(rest) == 1:
        if rest[0] not in engines:
            raise ValueError(f"no engine {rest[0]!r}")
        return Scene(at, span, who, trouble, whom=rest[0])
    if who not in (*engines, "all"):
        raise ValueError(f"no engine {who!r}")
    if trouble not in TROUBLES or len(rest) > 1:
        raise ValueError(f"expected one of {', '.join(TROUBLES)}, found {trouble!r}")
    figure = float(rest[0]) if rest else 1.0
    if not 0 < figure <= (1 if trouble in WITH_PART else 1000):
        raise ValueError(f"{trouble}: {figure} makes no sense")
    return Scene(at, span, who, trouble, figure)


def _seconds(text: str) -> int:
    value = float(text)
    if not 0 <= value < 1e6:
        raise ValueError(f"a time of {text}")
    return int(value * SECOND)
