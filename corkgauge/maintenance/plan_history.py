"""Checks a maintenance history that was read with `GET /works`."""

from collections.abc import Iterable, Sequence
from typing import Any

from corkgauge.maintenance.plan_records import NEXT_STATES, STATE_WORDS, TAKEN_STATES, HistoryEntry


def find_history_errors(entries: Iterable[Sequence[Any]], max_taken: int = 0) -> list[str]:
    """Return the errors of a history: repeated or skipped states, too many units taken at once.

    `max_taken` is the number of units that may be taken at once (0: no limit).

    >>> rows = [[1, 0, "e1", 0, "a", ""], [2, 5, "e1", 1, "a", ""], [3, 6, "e1", 1, "a", ""]]
    >>> find_history_errors(rows)
    ['entry 3: e1 of a is granted after granted']
    >>> find_history_errors([[n, 0, e, s, "a", ""] for n, (e, s) in enumerate(
    ...     [(e, s) for s in (0, 1, 2) for e in ("e1", "e2")], 1)], 1)
    ['entry 4: 2 taken at once, 1 allowed']
    """
    found: list[str] = []
    last_states: dict[tuple[str, str], int] = {}
    taken: set[tuple[str, str]] = set()
    last_serial = 0
    for entry in map(HistoryEntry.from_wire, entries):
        if entry.serial <= last_serial:
            found.append(f"entry {entry.serial}: after entry {last_serial}")
        last_serial = entry.serial
        if entry.why.endswith("overruled") or " overruled by " in entry.why:
            continue
        key = entry.unit, entry.request_id
        if key in last_states:
            found += _check_transition(entry, last_states[key])
        last_states[key] = entry.state
        taken_before = len(taken)
        if entry.state in TAKEN_STATES:
            taken.add(key)
        else:
            taken.discard(key)
        if max_taken and len(taken) > max(max_taken, taken_before):
            found.append(f"entry {entry.serial}: {len(taken)} taken at once, {max_taken} allowed")
    return found


def _check_transition(entry: HistoryEntry, last_state: int) -> list[str]:
    if entry.state in NEXT_STATES.get(last_state, ()):
        return []
    state = STATE_WORDS[entry.state]
    before = STATE_WORDS[last_state]
    return [f"entry {entry.serial}: {entry.unit} of {entry.request_id} is {state} after {before}"]
