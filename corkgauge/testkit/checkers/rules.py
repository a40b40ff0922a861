"""Checks the seven rules of the gateway from the records of the emulators.

Owns the comparison of the records of clients, engines and discovery. Free of I/O. Must never use
the gateway's own statements or its log. A violation is a line with the rule and the object.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_protocol import SERVED
from corkgauge.testkit.emulators.clients import SubmittedRequest
from corkgauge.testkit.emulators.engines import KEY_MEMORY_TICKS, ReceivedAttempt

SIGNAL_DELAY_TICKS = 500  # between a signal and its effect
# Added to each time limit because of delays on sockets; tests on slow machines add more.
TIMING_SLACK_TICKS = 500


@dataclass
class RuleParameters:
    """Describes the deployment to the rules.

    `engine_kinds` holds the kinds of engines that a request class may use. `retry_budget` holds the
    floor, the share of the requests, and the window in ticks; a window of 0 disables the check.
    `slow_start` holds the share of the cores that an engine has during slow start, the duration in
    ticks, the multiple of this share that may be sent, and the window in ticks for this multiple.
    """

    repeatability: dict[str, str]  # by request class: pure, token or side_effect
    ordered_classes: set[str]
    engine_kinds: dict[str, set[str]]
    retry_budget: tuple[float, float, int]
    drain_grace_ticks: int = SECOND // 2
    slow_start: tuple[float, int, float, int] = (0.33, 15 * SECOND, 3.0, 15_000)


def find_rule_violations(
    requests: list[SubmittedRequest],
    attempts: list[ReceivedAttempt],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    parameters: RuleParameters,
    slack: int = TIMING_SLACK_TICKS,
    killed: list[int] = (),
) -> list[str]:
    """Return all violations of the rules.

    `killed` holds the times at which the gateway was killed. Requests that were open then need no
    answer.
    """
    return [
        *find_answer_violations(requests, attempts, slack, killed),
        *find_repeat_violations(attempts, parameters),
        *find_drain_violations(attempts, changes, parameters.drain_grace_ticks + slack),
        *find_slow_start_violations(attempts, changes, cores, parameters, slack),
        *find_order_violations(requests, attempts, parameters),
        *find_placement_violations(attempts, parameters),
        *find_retry_budget_violations(requests, attempts, parameters),
    ]


def find_answer_violations(
    requests: list[SubmittedRequest], attempts: list[ReceivedAttempt], slack: int, killed: list[int]
) -> list[str]:
    """Check that each request got one answer in time, and a result only from its own attempt."""
    found, executed = [], {attempt.trace for attempt in attempts}
    for request in requests:
        until = request.sent_at + 10 * request.profile.patience_ms + slack
        if not request.answers:
            if not request.excuse and not was_open_at_kill(request, killed, slack):
                found.append(
                    f"lost: {request.trace} of {request.profile.request_class} has no answer"
                )
            continue
        when, code, body = request.answers[0]
        if len(request.answers) > 1:
            found.append(f"lost: {request.trace} was answered {len(request.answers)} times")
        if when > until:
            found.append(
                f"lost: {request.trace} was answered "
                f"{when - until + slack} ticks after its deadline"
            )
        rows = body.decode(errors="replace").splitlines()
        if code == SERVED and (
            request.trace not in executed
            or not rows
            or any(row.split("\t")[:2] != [request.trace, str(n)] for n, row in enumerate(rows))
        ):
            found.append(
                f"lost: {request.trace} was answered with a result "
                "that no engine returned for the request"
            )
    return found


def was_open_at_kill(
    request: SubmittedRequest, killed: list[int], slack: int = TIMING_SLACK_TICKS
) -> bool:
    """Return whether the gateway may have been killed while this request was open."""
    until = request.sent_at + 10 * request.profile.patience_ms + slack
    return any(request.sent_at - SIGNAL_DELAY_TICKS <= moment <= until for moment in killed)


def find_repeat_violations(
    attempts: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Check that keyed requests were executed once per key, and non-idempotent requests once."""
    found, by_trace = [], defaultdict[str, list[ReceivedAttempt]](list)
    for attempt in attempts:
        by_trace[attempt.trace].append(attempt)
    for trace, several in by_trace.items():
        executed, repeatability = (
            [attempt for attempt in several if attempt.was_executed],
            parameters.repeatability.get(several[0].request_class, "pure"),
        )
        if (repeatability == "side_effect" and len(executed) > 1) or (
            repeatability == "token" and len(executed) > 1
        ):
            found.append(
                f"effect: {trace} of {several[0].request_class} was executed {len(executed)} times"
            )
        if (
            repeatability == "token"
            and several[-1].received_at > several[0].received_at + KEY_MEMORY_TICKS
        ):
            found.append(
                f"effect: {trace} was sent again "
                "after the engines had forgotten its idempotency key"
            )
    # Engines that share their keys skip a repetition of a key. A request that was executed by
    # engines that do not share keys was executed twice, also if the client submitted it again.
    by_key = defaultdict[str, list[ReceivedAttempt]](list)
    for attempt in attempts:
        if attempt.idempotency_key and attempt.was_executed:
            by_key[attempt.idempotency_key].append(attempt)
    return found + [
        f"effect: idempotency key {key[:16]} was executed by "
        f"{', '.join(attempt.engine for attempt in several)}"
        for key, several in by_key.items()
        if len(several) > 1 and len({attempt.trace for attempt in several}) > 1
    ]


def find_drain_violations(
    attempts: list[ReceivedAttempt], changes: list[tuple[int, str, str, int]], grace: int
) -> list[str]:
    """Check that an engine got no attempt more than `grace` ticks after its drain or removal."""
    found = []
    for attempt in attempts:
        last = max(
            (
                change
                for change in changes
                if change[1] == attempt.engine and change[0] <= attempt.received_at
            ),
            default=None,
            key=lambda change: change[0],
        )
        if last and last[2] != "SERVING" and attempt.received_at > last[0] + grace:
            found.append(
                f"drain: {attempt.trace} reached {attempt.engine} "
                f"{attempt.received_at - last[0]} ticks after its drain or removal was published"
            )
    return found


def find_slow_start_violations(
    attempts: list[ReceivedAttempt],
    changes: list[tuple[int, str, str, int]],
    cores: dict[str, float],
    parameters: RuleParameters,
    slack: int,
) -> list[str]:
    """Check that no window in slow start holds more work than a multiple of the cold capacity."""
    found, (share, span_ticks, multiple, window_ticks) = [], parameters.slow_start
    for _, engine, state, started_ms in changes:
        if state != "SERVING" or not started_ms:
            continue
        begin = 10 * started_ms
        sent = [
            (attempt.received_at, attempt.work)
            for attempt in attempts
            if attempt.engine == engine and begin <= attempt.received_at < begin + span_ticks
        ]
        for received_at, _ in sent:
            work = sum(
                each for when, each in sent if received_at <= when < received_at + window_ticks
            )
            if work > multiple * share * cores[engine] * window_ticks / 10:
                found.append(
                    f"cold: {engine} received {work:.0f} ms of work "
                    f"within {window_ticks} ticks of slow start"
                )
                break
    return found


def find_order_violations(
    requests: list[SubmittedRequest], attempts: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Check that requests with the same order key were executed one at a time and in order."""
    found, by_trace = [], defaultdict[str, list[ReceivedAttempt]](list)
    for attempt in attempts:
        by_trace[attempt.trace].append(attempt)
    by_order_key = defaultdict[str, list[SubmittedRequest]](list)
    for request in requests:
        if request.profile.request_class in parameters.ordered_classes and request.order_key:
            by_order_key[request.order_key].append(request)
    for key, key_requests in by_order_key.items():
        previous: ReceivedAttempt | None = None
        for request in key_requests:
            for attempt in by_trace[request.trace]:
                if (
                    previous is not None
                    and attempt.trace != previous.trace
                    and (
                        attempt.received_at < previous.received_at
                        or 0 <= attempt.received_at < previous.ended_at
                    )
                ):
                    found.append(
                        f"order: {request.trace} of order key {key} "
                        f"started before {previous.trace} ended"
                    )
            previous = max(
                by_trace[request.trace], key=lambda attempt: attempt.received_at, default=previous
            )
    return found


def find_placement_violations(
    attempts: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Check that each attempt went to an engine of a kind that its request class may use."""
    return [
        f"placement: {attempt.trace} of {attempt.request_class} "
        f"was sent to {attempt.engine} of kind {attempt.kind}"
        for attempt in attempts
        if attempt.kind not in parameters.engine_kinds.get(attempt.request_class, {attempt.kind})
    ]


def find_retry_budget_violations(
    requests: list[SubmittedRequest], attempts: list[ReceivedAttempt], parameters: RuleParameters
) -> list[str]:
    """Check that the retries in each window that ends with a retry fit the retry budget.

    The platform tolerates 15 % above the budget, and one more retry.
    """
    floor, share, window = parameters.retry_budget
    if not window:
        return []
    seen, retry_times = set[str](), list[int]()
    for attempt in sorted(attempts, key=lambda attempt: attempt.received_at):
        if attempt.trace in seen:
            retry_times.append(attempt.received_at)
        seen.add(attempt.trace)
    sent_times, found = sorted(request.sent_at for request in requests), []
    for n, moment in enumerate(retry_times):
        count = sum(moment - window < each <= moment for each in retry_times[: n + 1])
        allowed = floor + share * sum(
            moment - window - TIMING_SLACK_TICKS < each <= moment for each in sent_times
        )
        if count > 1.15 * allowed + 1:
            found.append(f"budget: {count} retries in a window that allows {allowed:.1f}")
    return found


def summarize_violations(found: list[str], max_per_rule: int = 10) -> list[Any]:
    """Return the first violations of each rule, and the number of the omitted ones.

    >>> summarize_violations(["a: 1", "a: 2", "b: 1"], 1)
    ['a: 1', 'b: 1', '... and 1 more']
    """
    kept, counts = [], defaultdict[str, int](int)
    for line in found:
        rule = line.partition(":")[0]
        counts[rule] += 1
        if counts[rule] <= max_per_rule:
            kept.append(line)
    return kept + ([f"... and {len(found) - len(kept)} more"] if len(found) > len(kept) else [])
