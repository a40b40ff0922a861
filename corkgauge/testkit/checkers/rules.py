"""The seven rules, checked from what the stand-ins saw themselves.

Owns the comparison of the clients', engines' and feed's books. Free of I/O. Must never ask the
gateway what it did, nor its log. A rule broken is a line that names what broke it.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_protocol import SERVED
from corkgauge.testkit.emulators.clients import Ask
from corkgauge.testkit.emulators.engines import REMEMBERED, Run

MOMENT = 500  # between a signal and its effect
SLACK = 500  # that each time limit is longer on sockets; tests add what their machine needs


@dataclass
class Stakes:
    """What the rules need to know of a deployment: `extra` is floor, share and window of the budget; `kinds`
    which kinds of engine an offering is bound to; `cold` share, span, multiple and time to fall.
    """

    repeats: dict[str, str]  # offering: pure, token, side_effect
    ordered: set[str]
    kinds: dict[str, set[str]]
    extra: tuple[float, float, int]
    grace: int = SECOND // 2
    cold: tuple[float, int, float, int] = (0.33, 15 * SECOND, 3.0, 15_000)


def broken(
    asks: list[Ask],
    runs: list[Run],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    stakes: Stakes,
    slack: int = SLACK,
    killed: list[int] = (),
) -> list[str]:
    """Every breach found; nothing where all rules are kept. `killed` holds when the gateway was killed
    outright: what it held then is no longer owed.
    """
    return [
        *lost(asks, runs, slack, killed),
        *twice(runs, stakes),
        *drained(runs, changes, stakes.grace + slack),
        *cold(runs, changes, cores, stakes, slack),
        *disordered(asks, runs, stakes),
        *misplaced(runs, stakes),
        *rationed(asks, runs, stakes),
    ]


def lost(asks: list[Ask], runs: list[Run], slack: int, killed: list[int]) -> list[str]:
    """Exactly one answer, in time, and 'served' only with what an engine made for it."""
    found, made = [], {run.trace for run in runs}
    for ask in asks:
        until = ask.sent + 10 * ask.want.patience + slack
        if not ask.answers:
            if not ask.excused and not at_a_kill(ask, killed, slack):
                found.append(f"lost: {ask.trace} of {ask.want.request_class} has no answer")
            continue
        when, code, body = ask.answers[0]
        if len(ask.answers) > 1:
            found.append(f"lost: {ask.trace} was answered {len(ask.answers)} times")
        if when > until:
            found.append(f"lost: {ask.trace} was answered {when - until + slack} after its expiry")
        rows = body.decode(errors="replace").splitlines()
        if code == SERVED and (
            ask.trace not in made
            or not rows
            or any(row.split("\t")[:2] != [ask.trace, str(n)] for n, row in enumerate(rows))
        ):
            found.append(f"lost: {ask.trace} was served what no engine made for it")
    return found


def at_a_kill(ask: Ask, killed: list[int], slack: int = SLACK) -> bool:
    """Was the gateway killed outright while this was open, as far as its client can tell?"""
    until = ask.sent + 10 * ask.want.patience + slack
    return any(ask.sent - MOMENT <= moment <= until for moment in killed)


def twice(runs: list[Run], stakes: Stakes) -> list[str]:
    """A labelled one only where its label is known, an irreversible one once."""
    found, by_trace = [], defaultdict[str, list[Run]](list)
    for run in runs:
        by_trace[run.trace].append(run)
    for trace, several in by_trace.items():
        ran, sort = (
            [run for run in several if run.ran],
            stakes.repeats.get(several[0].request_class, "pure"),
        )
        if (sort == "side_effect" and len(ran) > 1) or (sort == "token" and len(ran) > 1):
            found.append(f"effect: {trace} of {several[0].request_class} ran {len(ran)} times")
        if sort == "token" and several[-1].came > several[0].came + REMEMBERED:
            found.append(f"effect: {trace} was sent again after its label was forgotten")
    # Engines of one group drop a repeat by its label; what ran in two ran twice, whoever asked
    # again.
    by_label = defaultdict[str, list[Run]](list)
    for run in runs:
        if run.label and run.ran:
            by_label[run.label].append(run)
    return found + [
        f"effect: label {label[:16]} ran at {', '.join(run.engine for run in several)}"
        for label, several in by_label.items()
        if len(several) > 1 and len({run.trace for run in several}) > 1
    ]


def drained(runs: list[Run], changes: list[tuple[int, str, str, int]], grace: int) -> list[str]:
    """Nothing new to an engine later than the grace after its drain or departure was told."""
    found = []
    for run in runs:
        last = max(
            (change for change in changes if change[1] == run.engine and change[0] <= run.came),
            default=None,
            key=lambda change: change[0],
        )
        if last and last[2] != "SERVING" and run.came > last[0] + grace:
            found.append(
                f"drain: {run.trace} came to {run.engine} {run.came - last[0]} after it was told"
            )
    return found


def cold(
    runs: list[Run],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    stakes: Stakes,
    slack: int,
) -> list[str]:
    """No more work, in any time that makes it fall, than a multiple of what it can do while cold."""
    found, (share, span, multiple, fall) = [], stakes.cold
    for _, engine, state, started_ms in changes:
        if state != "SERVING" or not started_ms:
            continue
        begin = 10 * started_ms
        sent = [
            (run.came, run.work)
            for run in runs
            if run.engine == engine and begin <= run.came < begin + span
        ]
        for came, _ in sent:
            work = sum(each for when, each in sent if came <= when < came + fall)
            if work > multiple * share * cores[engine] * fall / 10:
                found.append(f"cold: {engine} was sent {work:.0f} ms of work within {fall}")
                break
    return found


def disordered(asks: list[Ask], runs: list[Run], stakes: Stakes) -> list[str]:
    """Of one key, one at a time, in the order taken."""
    found, by_trace = [], defaultdict[str, list[Run]](list)
    for run in runs:
        by_trace[run.trace].append(run)
    lines = defaultdict[str, list[Ask]](list)
    for ask in asks:
        if ask.want.request_class in stakes.ordered and ask.key:
            lines[ask.key].append(ask)
    for key, line in lines.items():
        before: Run | None = None
        for ask in line:
            for run in by_trace[ask.trace]:
                if (
                    before is not None
                    and run.trace != before.trace
                    and (run.came < before.came or 0 <= run.came < before.ended)
                ):
                    found.append(
                        f"order: {ask.trace} of key {key} began before {before.trace} was over"
                    )
            before = max(by_trace[ask.trace], key=lambda run: run.came, default=before)
    return found


def misplaced(runs: list[Run], stakes: Stakes) -> list[str]:
    return [
        f"placement: {run.trace} of {run.request_class} came to {run.engine} of kind {run.kind}"
        for run in runs
        if run.kind not in stakes.kinds.get(run.request_class, {run.kind})
    ]


def rationed(asks: list[Ask], runs: list[Run], stakes: Stakes) -> list[str]:
    """Hand-offs beyond each first, in any window that ends with one; 15 in 100 and one are the platform's."""
    floor, share, window = stakes.extra
    if not window:
        return []
    seen, extras = set[str](), list[int]()
    for run in sorted(runs, key=lambda run: run.came):
        if run.trace in seen:
            extras.append(run.came)
        seen.add(run.trace)
    taken, found = sorted(ask.sent for ask in asks), []
    for n, moment in enumerate(extras):
        many = sum(moment - window < each <= moment for each in extras[: n + 1])
        room = floor + share * sum(moment - window - SLACK < each <= moment for each in taken)
        if many > 1.15 * room + 1:
            found.append(f"budget: {many} further hand-offs in a window that allows {room:.1f}")
    return found


def worth_saying(found: list[str], most: int = 10) -> list[Any]:
    """The first few of each rule.

    >>> worth_saying(["a: 1", "a: 2", "b: 1"], 1)
    ['a: 1', 'b: 1', '... and 1 more']
    """
    kept, counts = [], defaultdict[str, int](int)
    for line in found:
        rule = line.partition(":")[0]
        counts[rule] += 1
        if counts[rule] <= most:
            kept.append(line)
    return kept + ([f"... and {len(found) - len(kept)} more"] if len(found) > len(kept) else [])
