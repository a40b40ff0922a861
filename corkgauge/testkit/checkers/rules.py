"""The seven rules, checked from what the stand-ins saw themselves.

Owns the comparison of the clients', engines' and feed's books. Free of I/O. Must never ask the
gateway what it did, nor its log. A rule broken is a line that names what broke it.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_protocol import SERVED
from corkgauge.testkit.emulators.clients import SubmittedRequest
from corkgauge.testkit.emulators.engines import KEY_MEMORY_TICKS, ReceivedAttempt

SIGNAL_DELAY_TICKS = 500  # between a signal and its effect
TIMING_SLACK_TICKS = (
    500  # that each time limit is longer on sockets; tests add what their machine needs
)


@dataclass
class RuleParameters:
    """What the rules need to know of a deployment: `extra` is floor, share and window of the budget; `kinds`
    which kinds of engine an offering is bound to; `cold` share, span, multiple and time to fall.
    """

    repeatability: dict[str, str]  # offering: pure, token, side_effect
    ordered_classes: set[str]
    engine_kinds: dict[str, set[str]]
    retry_budget: tuple[float, float, int]
    drain_grace_ticks: int = SECOND // 2
    slow_start: tuple[float, int, float, int] = (0.33, 15 * SECOND, 3.0, 15_000)


def find_rule_violations(
    asks: list[SubmittedRequest],
    runs: list[ReceivedAttempt],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    parameters: RuleParameters,
    slack: int = TIMING_SLACK_TICKS,
    killed: list[int] = (),
) -> list[str]:
    """Every breach found; nothing where all rules are kept. `killed` holds when the gateway was killed
    outright: what it held then is no longer owed.
    """
    return [
        *find_answer_violations(asks, runs, slack, killed),
        *find_repeat_violations(runs, parameters),
        *find_drain_violations(runs, changes, parameters.drain_grace_ticks + slack),
        *find_slow_start_violations(runs, changes, cores, parameters, slack),
        *find_order_violations(asks, runs, parameters),
        *find_placement_violations(runs, parameters),
        *find_retry_budget_violations(asks, runs, parameters),
    ]


def find_answer_violations(
    asks: list[SubmittedRequest], runs: list[ReceivedAttempt], slack: int, killed: list[int]
) -> list[str]:
    """Exactly one answer, in time, and 'served' only with what an engine made for it."""
    found, made = [], {run.trace for run in runs}
    for ask in asks:
        until = ask.sent_at + 10 * ask.profile.patience_ms + slack
        if not ask.answers:
            if not ask.excuse and not was_open_at_kill(ask, killed, slack):
                found.append(f"lost: {ask.trace} of {ask.profile.request_class} has no answer")
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


def was_open_at_kill(
    ask: SubmittedRequest, killed: list[int], slack: int = TIMING_SLACK_TICKS
) -> bool:
    """Was the gateway killed outright while this was open, as far as its client can tell?"""
    until = ask.sent_at + 10 * ask.profile.patience_ms + slack
    return any(ask.sent_at - SIGNAL_DELAY_TICKS <= moment <= until for moment in killed)


def find_repeat_violations(runs: list[ReceivedAttempt], parameters: RuleParameters) -> list[str]:
    """A labelled one only where its label is known, an irreversible one once."""
    found, by_trace = [], defaultdict[str, list[ReceivedAttempt]](list)
    for run in runs:
        by_trace[run.trace].append(run)
    for trace, several in by_trace.items():
        ran, sort = (
            [run for run in several if run.was_executed],
            parameters.repeatability.get(several[0].request_class, "pure"),
        )
        if (sort == "side_effect" and len(ran) > 1) or (sort == "token" and len(ran) > 1):
            found.append(f"effect: {trace} of {several[0].request_class} ran {len(ran)} times")
        if sort == "token" and several[-1].received_at > several[0].received_at + KEY_MEMORY_TICKS:
            found.append(f"effect: {trace} was sent again after its label was forgotten")
    # Engines of one group drop a repeat by its label; what ran in two ran twice, whoever asked
    # again.
    by_label = defaultdict[str, list[ReceivedAttempt]](list)
    for run in runs:
        if run.idempotency_key and run.was_executed:
            by_label[run.idempotency_key].append(run)
    return found + [
        f"effect: label {label[:16]} ran at {', '.join(run.engine for run in several)}"
        for label, several in by_label.items()
        if len(several) > 1 and len({run.trace for run in several}) > 1
    ]


def find_drain_violations(
    runs: list[ReceivedAttempt], changes: list[tuple[int, str, str, int]], grace: int
) -> list[str]:
    """Nothing new to an engine later than the grace after its drain or departure was told."""
    found = []
    for run in runs:
        last = max(
            (
                change
                for change in changes
                if change[1] == run.engine and change[0] <= run.received_at
            ),
            default=None,
            key=lambda change: change[0],
        )
        if last and last[2] != "SERVING" and run.received_at > last[0] + grace:
            found.append(
                f"drain: {run.trace} came to {run.engine} {run.received_at - last[0]} after it was told"
            )
    return found


def find_slow_start_violations(
    runs: list[ReceivedAttempt],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    parameters: RuleParameters,
    slack: int,
) -> list[str]:
    """No more work, in any time that makes it fall, than a multiple of what it can do while cold."""
    found, (share, span, multiple, fall) = [], parameters.slow_start
    for _, engine, state, started_ms in changes:
        if state != "SERVING" or not started_ms:
            continue
        begin = 10 * started_ms
        sent = [
            (run.received_at, run.work)
            for run in runs
            if run.engine == engine and begin <= run.received_at < begin + span
        ]
        for came, _ in sent:
            work = sum(each for when, each in sent if came <= when < came + fall)
            if work > multiple * share * cores[engine] * fall / 10:
                found.append(f"cold: {engine} was sent {work:.0f} ms of work within {fall}")
                break
    return found


def find_order_violations(
    asks: list[SubmittedRequest], runs: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Of one key, one at a time, in the order taken."""
    found, by_trace = [], defaultdict[str, list[ReceivedAttempt]](list)
    for run in runs:
        by_trace[run.trace].append(run)
    lines = defaultdict[str, list[SubmittedRequest]](list)
    for ask in asks:
        if ask.profile.request_class in parameters.ordered_classes and ask.order_key:
            lines[ask.order_key].append(ask)
    for key, line in lines.items():
        before: ReceivedAttempt | None = None
        for ask in line:
            for run in by_trace[ask.trace]:
                if (
                    before is not None
                    and run.trace != before.trace
                    and (
                        run.received_at < before.received_at
                        or 0 <= run.received_at < before.ended_at
                    )
                ):
                    found.append(
                        f"order: {ask.trace} of key {key} began before {before.trace} was over"
                    )
            before = max(by_trace[ask.trace], key=lambda run: run.received_at, default=before)
    return found


def find_placement_violations(runs: list[ReceivedAttempt], parameters: RuleParameters) -> list[str]:
    return [
        f"placement: {run.trace} of {run.request_class} came to {run.engine} of kind {run.kind}"
        for run in runs
        if run.kind not in parameters.engine_kinds.get(run.request_class, {run.kind})
    ]


def find_retry_budget_violations(
    asks: list[SubmittedRequest], runs: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Hand-offs beyond each first, in any window that ends with one; 15 in 100 and one are the platform's."""
    floor, share, window = parameters.retry_budget
    if not window:
        return []
    seen, extras = set[str](), list[int]()
    for run in sorted(runs, key=lambda run: run.received_at):
        if run.trace in seen:
            extras.append(run.received_at)
        seen.add(run.trace)
    taken, found = sorted(ask.sent_at for ask in asks), []
    for n, moment in enumerate(extras):
        many = sum(moment - window < each <= moment for each in extras[: n + 1])
        room = floor + share * sum(
            moment - window - TIMING_SLACK_TICKS < each <= moment for each in taken
        )
        if many > 1.15 * room + 1:
            found.append(f"budget: {many} further hand-offs in a window that allows {room:.1f}")
    return found


def summarize_violations(found: list[str], most: int = 10) -> list[Any]:
    """The first few of each rule.

    >>> summarize_violations(["a: 1", "a: 2", "b: 1"], 1)
    ['a: 1', 'b: 1', '... and 1 more']
    """
    kept, counts = [], defaultdict[str, int](int)
    for line in found:
        rule = line.partition(":")[0]
        counts[rule] += 1
        if counts[rule] <= most:
            kept.append(line)
    return kept + ([f"... and {len(found) - len(kept)} more"] if len(found) > len(kept) else [])
