"""Emulates an operators' crew that requests maintenance and works on the units that are out.

Sends commands to the operator sockets of gateways, and reads the maintenance plan there. Owns the
requests and the records of work. Never works on a unit before a gateway reports that unit as out.
An emulated engine keeps running during the work, so that attempts that reach it are recorded.
"""

from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import MaintenanceRecord
from corkgauge.testkit.fleet.http_client import query_endpoint
from corkgauge.testkit.fleet.processes import Fault
from corkgauge.testkit.seeded_random import SeededRandom

POLL_TICKS, RETRY_TICKS = (
    1_500,
    3_000,
)  # between two requests for the plan; until an unanswered command is sent again


class MaintenanceCrew:
    """Requests maintenance and works on units; sends to gateways drawn at random.

    Args:
        fleet: The fleet of gateways and engines.
        work_seconds: The duration of the work on a unit, by the crew's clock.
        announced_seconds: The duration that the crew states in its requests.
        seed: The seed of the random numbers.
        owner: The name of the crew in its commands.
    """

    def __init__(
        self,
        fleet: Any,
        work_seconds: float = 0.5,
        announced_seconds: float = 60.0,
        seed: int = 5,
        owner: str = "crew",
    ) -> None:
        self.fleet, self.event_loop, self.chance, self.owner = (
            fleet,
            fleet.event_loop,
            SeededRandom(seed),
            owner,
        )
        self.work_ticks, self.announced_seconds = int(work_seconds * SECOND), announced_seconds
        self.book: list[MaintenanceRecord] = []
        self.started_units: set[tuple[str, str]] = set()
        self.command_count = 0
        self.answers: dict[str, tuple[str, str]] = {}  # by command key: the answer, and the error
        self.last_plan: dict[str, Any] = {}  # the latest plan that a gateway reported
        self.stopped = False
        self.requested_at: dict[str, int] = {}  # by request id: when the request was sent
        self.event_loop.call_later(POLL_TICKS, self.poll_plan)

    # Commands.

    def request_maintenance(
        self, kind: str, *names: str, id_: str = "", within: float = 0.0, at: str = ""
    ) -> str:
        """Request maintenance of units, and return the id of the request.

        `at` names a gateway that alone gets the command; by default gateways are drawn at random.
        `within` is the time, in seconds, by which the maintenance is wanted; 0 for none.
        """
        id_ = id_ or f"{self.owner}{len(self.requested_at) + 1}"
        self.requested_at.setdefault(id_, self.event_loop.now)
        self.send_command(
            {
                "do": "ask",
                "id": id_,
                "kind": kind,
                "names": [*names],
                "reason": "drill",
                "within": int(within * SECOND),
                "lasting": int(self.announced_seconds * SECOND),
            },
            at,
        )
        return id_

    def send_command(
        self,
        command: dict[str, Any],
        at: str = "",
        on_answer: Callable[[str, str], None] | None = None,
    ) -> str:
        """Send a command under a new key to a gateway, and to others until one answers.

        Returns the key, under which the answer is stored in `answers`.
        """
        self.command_count += 1
        key = f"{self.owner}-{command['do']}-{self.command_count}"
        self._send_until_answered(key, {**command, "owner": self.owner}, at, at, 0, on_answer)
        return key

    def _send_until_answered(
        self,
        key: str,
        command: dict[str, Any],
        at: str,
        gateway: str,
        attempt_count: int,
        on_answer: Any,
    ) -> None:
        if self.stopped or key in self.answers:
            return
        # The key differs by gateway. A repeated request is recognized by its id, and executing any
        # other command twice does no harm.
        gateway = at or (gateway if gateway and attempt_count % 8 else self._random_gateway())
        query_endpoint(
            self.event_loop,
            f"{self.fleet.gateways[gateway].folder}/figures.sock",
            "/works",
            {**command, "key": f"{key}@{gateway}@{attempt_count // 8}"},
            lambda answer: self._on_command_answer(key, answer, on_answer),
        )
        self.event_loop.call_later(
            RETRY_TICKS,
            self._send_until_answered,
            key,
            command,
            at,
            gateway,
            attempt_count + 1,
            on_answer,
        )

    def _on_command_answer(self, key: str, response: Any, on_answer: Any) -> None:
        if response is None or key in self.answers:
            return
        answer, error = response.get("answer"), response.get("wrong")
        if (answer is None and error is None) or (error and "may be asked again" in error):
            return
        self.answers[key] = str(answer), str(error or "")
        if on_answer is not None:
            on_answer(str(answer), str(error or ""))

    def _random_gateway(self) -> str:
        names = [*self.fleet.gateways]
        return names[self.chance.below(len(names))]

    # Reading the plan, and working.

    def poll_plan(self) -> None:
        """Request the maintenance plan from a gateway, until `stopped` is set."""
        if not self.stopped:
            self.event_loop.call_later(POLL_TICKS, self.poll_plan)
            query_endpoint(
                self.event_loop,
                f"{self.fleet.gateways[self._random_gateway()].folder}/figures.sock",
                "/works",
                None,
                self._on_plan,
            )

    def _on_plan(self, plan: Any) -> None:
        if not isinstance(plan, dict) or "units" not in plan:
            return
        if plan["fresh"]:
            self.last_plan = plan
        for unit in plan["units"]:
            key = unit["unit"], unit["ask"]
            if (
                unit["state"] == "out"
                and key not in self.started_units
                and unit["ask"] in self.requested_at
            ):
                self.started_units.add(key)
                self.work(
                    MaintenanceRecord(
                        unit["unit"], unit["ask"], tuple(unit["members"]), self.event_loop.now
                    )
                )

    def work(self, work: MaintenanceRecord) -> None:
        """Begin the work on a unit: a gateway is ended and restarted; an engine keeps running."""
        self.book.append(work)
        if work.members[0] in self.fleet.gateways:
            self.fleet.apply_fault(Fault(0, self.work_ticks, "end", work.members))
        self.event_loop.call_later(self.work_ticks, self.end, work)

    def end(self, work: MaintenanceRecord) -> None:
        """Restart a unit after its work, and report the work as done.

        Does nothing for work that has ended already.
        """
        if work.ended >= 0:
            return None
        if (
            work.members[0] in self.fleet.gateways
            and not self.fleet.gateways[work.members[0]].program.is_running()
        ):
            return self.event_loop.call_later(POLL_TICKS, self.end, work)
        if work.members[0] in self.fleet.engines:
            self.fleet.restart_engines(work.members)
        work.ended = self.event_loop.now
        self.send_command({"do": "done", "names": [work.unit]})

    # Results.

    def has_finished(self, unit_count: int) -> bool:
        """Return whether the work on `unit_count` units has ended and the plan holds no unit."""
        return len(
            [work for work in self.book if work.ended >= 0]
        ) >= unit_count and not self.last_plan.get("units", [1])
