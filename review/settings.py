"""Settings of small deployments, with the figures of the users' site files, in the form of WIRE."""

from typing import Any

from standins import GATEWAY_COUNT, profile


def common(kinds: list[str], cores: list[int], zones: list[str], widths: list[int]) -> Any:
    """Return what the settings of all sites share."""
    return {
        "azs": zones,
        "blend": {"whole": 0.55, "worstClass": 0.2, "worstWindow": 0.25},
        "clients": {"marksRetry": False},
        "customers": [],
        "discovery": "pushed",
        "domainType": "queries",
        "extra": {
            "bills": True,
            "coresByKind": cores,
            "holdsTables": [False, False, True],
            "mostGrant": 0.4,
            "notes": "",
            "sizeMb": [2048.0 * each for each in cores],
            "takesGrants": True,
            "takesPriority": True,
            "tellsEveryUs": 0,
            "whenShort": "overcommit",
            "widthByClass": widths,
            "yieldsToLoads": [False, False, False],
        },
        "instances": GATEWAY_COUNT,
        "kinds": kinds,
        "overShareWorth": 0.05,
        "periodUs": 5000,
        "prices": {},
        "report": {"fields": ["inflight", "util", "x1", "x0"], "how": "inline"},
        "stages": ["query-engines"],
        "tier": 0,
        "weights": "off",
        "worthBy": "request",
        "zone": 0,
    }


def hq_main() -> Any:
    """Return the settings of `hq-main`, without tenants."""
    settings = common(["c12", "c8"], [12, 8], ["hall-a", "hall-b"], [1, 3, 2])
    settings["extra"] |= {"tellsEveryUs": 2_000_000, "whenShort": "line_up"}
    return {
        **settings,
        "limits": {
            "cancel": False,
            "connIdleUs": 30_000_000,
            "dialTimeoutUs": 250_000,
            "maxRetryAfterUs": 500_000,
            "mayTell": False,
            "mostTries": 6,
            "openCap": 20096,
            "probes": False,
            "retryAfter": False,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "profiles": [
            profile("rating-lookup", 1.2, 6.0, 1.0),
            profile("league-report", 1.5, 25.0, 6.0, servedOn=[0], aimStretch=2.5),
            profile(
                "result-load",
                3.0,
                20.0,
                2.5,
                effect="token",
                fifoByKey=True,
                keyTtlUs=20_000_000,
                aimStretch=3.0,
            ),
        ],
        "rules": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "budgetSpanUs": 5_000_000,
            "coldShare": 0.33,
            "coldUs": 15_000_000,
            "drainGraceUs": 500_000,
            "extraFloor": 3.0,
            "extraPerRequest": 0.1,
            "fallMultiple": 3.0,
            "fallUs": 1_500_000,
            "settleAfterDoubtUs": 0,
        },
    }
