"""What others' findings are worth here: a hint on how slow an engine is, and whether it is doubted.

Owns the rule on witnesses. Free of I/O. Must never let what is heard command: our own experience goes first, one
witness counts for nothing, and a doubted engine is still tried.

The rule: a finding counts by its age, from 1 down to 0 at the end of its life, and by half where its witness sits in
another hall than we. It is of the engine as it runs now, or it counts for nothing. An engine is *doubted* where
witnesses of at least two halls found a fault (where there is only one hall, three of it), they weigh as much as one
that is fresh and near, and more than those that found it well. So a liar, or a majority of liars in one hall, casts no
doubt; what doubt does is that one hand-off at a time goes there, and the first good answer of our own ends it. A hint
on slowness is the weighted median of three witnesses or more, of two halls where there are two.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corkgauge.peer_health.reports import LIFE, WELL, HealthReport

FAR = 0.5  # weight of a witness in another hall
ENOUGH = 1.0  # weight of the doubts together
ALONE = 3  # witnesses of one hall, where the fleet has no other; and for a hint
OWN = 20_000  # tenths of a millisecond: a sign of our own this young speaks against any doubt
MOST_SLOW, LEAST_SLOW = 50.0, 0.5  # what a witness may say: wild figures count as these


@dataclass(frozen=True, slots=True)
class Opinion:
    """What is made of it. `slowness` 0: no hint. `why` names the witnesses."""

    slowness: float
    doubted: bool
    why: str


NONE = Opinion(0.0, False, "")


def opinion(
    findings: Iterable[HealthReport],
    now: int,
    started: int,
    us: str,
    zones: Mapping[str, str],
    own_sign: int,
) -> Opinion:
    """`halls` by gateway, ours among them; `started` is the engine's start, in ms, as the list tells it here;
    `own_sign` when it last gave us a sign of its own, by the same clock as `now`.

    >>> def said(witness, fault, at, slow=0):
    ...     return HealthReport(witness, 1, 1, at, "e1", 7, fault, slow, 3)
    >>> zones = {"me": "a", "n2": "a", "n3": "a", "n4": "b"}
    >>> opinion([said("n2", 4, 0), said("n3", 4, 0)], 0, 7, "me", zones, -1).doubted     # one zone may be lying
    False
    >>> opinion([said("n2", 4, 0), said("n4", 4, 0)], 0, 7, "me", zones, -1).doubted
    True
    >>> opinion([said("n2", 4, 0), said("n4", 4, 0)], 0, 7, "me", zones, 0).doubted      # we know better
    False
    >>> opinion([said("n2", 4, 0), said("n4", 4, 0)], 0, 8, "me", zones, -1).doubted     # it has restarted since
    False
    >>> opinion([said("n2", 0, 0, 300), said("n3", 0, 0, 200), said("n4", 0, 0, 9900)], 0, 7, "me", zones, -1).slowness
    3.0
    """
    home, many_halls = zones.get(us, ""), len({*zones.values()}) > 1
    against, well, accusers, samples, seen = 0.0, 0.0, [], [], set[str]()
    for finding in findings:
        if finding.witness == us or finding.started != started or finding.witness not in zones:
            continue
        weight = max(1 - (now - finding.at) / LIFE, 0.0)
        weight *= 1.0 if zones[finding.witness] == home else FAR
        if weight <= 0:
            continue
        if finding.fault != WELL:
            against += weight
            accusers.append(finding.witness)
        else:
            well += weight
        if finding.slowness and finding.samples:
            samples.append((min(max(finding.slowness / 100, LEAST_SLOW), MOST_SLOW), weight))
            seen.add(zones[finding.witness])
    enough = len({zones[each] for each in accusers}) > 1 if many_halls else len(accusers) >= ALONE
    doubted = (
        enough
        and against >= ENOUGH
        and against > well
        and not (0 <= own_sign and now < own_sign + OWN)
    )
    hint = _median(samples) if len(samples) >= ALONE and (len(seen) > 1 or not many_halls) else 0.0
    return Opinion(hint, doubted, " ".join(sorted(accusers)[:6]) if doubted else "")


def _median(samples: list[tuple[float, float]]) -> float:
    """
    >>> _median([(1.0, 1.0), (9.0, 0.2), (2.0, 1.0)])
    2.0
    """
    half, so_far = sum(weight for _, weight in samples) / 2, 0.0
    for value, weight in sorted(samples):
        so_far += weight
        if so_far >= half:
            return value
    return 0.0
