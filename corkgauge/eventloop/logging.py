"""Log formats: plain lines, which on-call.md quotes, and one JSON object per line.

`EVENTS` maps log lines of known forms to stable event names and to the fields of the events. A line
that no form matches is written as the event `line` with its text.
"""

import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple

MAX_TRACE_CHARS = 2000  # of a traceback, from its end
PLAIN_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"

NUMBER = re.compile(r"[-+]?\d{1,18}")


class EventForm(NamedTuple):
    """An event and the pattern of its whole line, whose named groups are the event's fields."""

    name: str
    form: re.Pattern[str]


# The first matching form determines the event.
EVENTS = [
    EventForm(name, re.compile(form))
    for name, form in (
        ("rest", r"rest (?P<engine>\S+) (?P<why>\w+) faults=(?P<faults>\d+) for=(?P<for>\d+)"),
        ("back", r"back (?P<engine>\S+) faults=(?P<faults>\d+)"),
        ("serving", r"serving as (?P<gateway>.+), (?P<engines>\d+) engines, list (?P<list>\d+)"),
        ("link_ended", r"link (?P<engine>\S+) ended: (?P<why>.*); (?P<out>\d+) out"),
        ("feed_lost", r"feed lost: (?P<why>.*)"),
        ("feed_back", r"feed back at (?P<list>\d+)"),
        ("feed_moves", r"feed moves to (?P<address>\S+) at (?P<list>\d+)"),
        ("configuration_waits", r"configuration: (?P<keys>.+) changed, in force after a restart"),
        ("configuration_not_taken", r"configuration not taken: (?P<why>.*)"),
        ("operator_file_waits", r"operator file: (?P<keys>.+), in force after a restart"),
        ("operator_file_not_taken", r"operator file not taken: (?P<why>.*)"),
        ("known_faulty", r"known: (?P<why>.*)"),
        (
            "memory_short",
            r"memory short, (?P<megabytes>\d+) MB; collected (?P<objects>\d+) objects",
        ),
        ("exceptions", r"(?P<count>\d+) exceptions stopped, the last"),
        ("leaving", r"leaving by (?P<by>\d+), (?P<open>\d+) open"),
        ("counters", r"counters (?P<pairs>.*)"),
        ("ended", r"ended; counters (?P<pairs>.*)"),
        (
            "figures_finding",
            r"figures out of balance: (?P<row>.+?) (?P<kind>(?:hand-off )?(?:entered twice|"
            r"never entered|never closed|closed twice)|lost from the table|count altered|"
            r"terms differ|engine out of step|books differ|over budget) "
            r"(?P<difference>[-+]\d+) since=(?P<since>\d+)(?: (?P<detail>.*))?",
        ),
        ("recall_off", r"recall off: (?P<why>.*)"),
        (
            "recall_learned",
            r"recall: engines=(?P<engines>\d+) offerings=(?P<offerings>\d+) "
            r"queues=(?P<queues>\d+) age=(?P<age>\S+)",
        ),
        ("recall_effects", r"recall: effects=(?P<effects>\d+) unsettled=(?P<unsettled>\d+)"),
        ("recall_trouble", r"recall: (?P<why>.*)"),
        ("collector_lost", r"collector (?P<collector>\S+) lost: (?P<why>.*)"),
        ("collector_not_reached", r"collector (?P<collector>\S+) not reached: (?P<why>.*)"),
        ("collector_up", r"collector (?P<collector>\S+) up"),
        ("collector_takes_over", r"collector (?P<collector>\S+) takes over from (?P<from>\S+)"),
        (
            "collector_end",
            r"collector (?P<collector>\S+): (?P<octets>\d+) octets were held at the end",
        ),
        (
            "collector_left",
            r"collector (?P<collector>\S+) left, (?P<octets>\d+) octets were held for it",
        ),
        ("fellow", r"fellow (?P<fellow>\S+) (?P<state>\w+), was (?P<was>\w+): (?P<why>.*)"),
        ("fellows_start", r"fellows: known under a later start, taking (?P<start>\d+)"),
        ("duty_held", r"duty (?P<duty>\S+) held under fence (?P<fence>\d+)"),
        ("duty_given_up", r"duty (?P<duty>\S+) given up under fence (?P<fence>\d+): (?P<why>.*)"),
        ("duties_list", r"duties: list (?P<version>\d+) of voters in force, (?P<voters>.*)"),
        ("duties_no_vote", r"duties: no vote, (?P<why>.*)"),
        ("duties_load", r"duties: (?P<what>overloaded, standing last|standing again)"),
        ("duties_store", r"duties: (?P<why>votes are not written.*|kept votes are torn.*)"),
        (
            "works_taken_over",
            r"works: plan taken over, (?P<units>\d+) units, (?P<taken>\d+) of them taken",
        ),
        (
            "works_late",
            r"works: (?P<unit>\S+) of (?P<ask>\S+) LATE, (?P<why>.*); out for (?P<seconds>\d+) s",
        ),
        ("works_overruled", r"works: (?P<unit>\S+): (?P<gateway>\S+) overruled by (?P<owner>.*)"),
        (
            "works_step",
            r"works: (?P<unit>\S+) (?P<state>asked|granted|draining|out|late|returning|back)"
            r"(?:: (?P<why>.*))?",
        ),
        ("works_forgotten", r"works: the plan is forgotten.*"),
        ("works_store", r"works: (?P<why>nothing is written.*|what was kept is torn.*)"),
        ("fleet_out_of_balance", r"fleet out of balance: (?P<what>.*)"),
        ("figures_cleared", r"figures: (?P<count>\d+) findings cleared"),
        ("figures_not_kept", r"figures not kept: (?P<why>.*)"),
        (
            "figures_epoch_closed",
            r"figures: epoch (?P<epoch>\S+) closed, taken=(?P<taken>\d+) cut_off=(?P<cut_off>\d+)",
        ),
        ("figures_fresh", r"figures: (?P<path>\S+) is (?P<why>.+), a fresh epoch"),
        (
            "figures_folded",
            r"figures: (?P<bytes>\d+) bytes are too many to keep, engines are kept in one row",
        ),
    )
]


def event_of(line: str) -> tuple[str, dict[str, Any]]:
    """Return the event name and the fields of a log line; integers are converted to int.

    >>> event_of("rest e1 error faults=2 for=10000")
    ('rest', {'engine': 'e1', 'why': 'error', 'faults': 2, 'for': 10000})
    >>> event_of("ended; counters taken=3 worst_lag=1"), event_of("what?")
    (('ended', {'taken': 3, 'worst_lag': 1}), ('line', {}))
    """
    for name, form in EVENTS:
        match = form.fullmatch(line)
        if match is not None:
            return name, _fields_of(match)
    return "line", {}


def _fields_of(match: re.Match[str]) -> dict[str, Any]:
    groups = match.groupdict()
    fields = {key: _number_or_text(text) for key, text in groups.items() if text is not None}
    if "pairs" in fields:
        pairs = (pair.partition("=") for pair in str(fields.pop("pairs")).split())
        fields |= {key: _number_or_text(text) for key, _, text in pairs}
    return fields


def _number_or_text(text: str) -> int | str:
    return int(text) if NUMBER.fullmatch(text) else text


def as_json(write: Callable[[str], None]) -> Callable[[Any], None]:
    """Return a loguru sink that writes each record as a line with one JSON object."""

    def sink(message: Any) -> None:
        record = message.record
        event, fields = event_of(record["message"])
        entry = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "event": event,
            **fields,
            "text": record["message"],
        }
        if record["exception"] is not None:
            entry["trace"] = str(message)[-MAX_TRACE_CHARS:]
        write(json.dumps(entry) + "\n")

    return sink
