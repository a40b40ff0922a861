"""An operators' crew on loopback: it asks for machines at gateways' doors, works on what it is told is out, and says
when that is done.

Owns what was asked and the book of work. Must never touch a machine before a door has told that it
is out; while it works the engine's stand-in stays up, so that whatever reaches it is seen.
"""

from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import Work
from corkgauge.testkit.fleet.http_client import query_endpoint
from corkgauge.testkit.fleet.processes import Fault
from corkgauge.testkit.seeded_random import SeededRandom

POLL_TICKS, RETRY_TICKS = (
    1_500,
    3_000,
)  # tenths of a millisecond between two looks at a door; until a wish is told again


class MaintenanceCrew:
    """`fleet` is the rig; `work_seconds` seconds that one unit's work takes by the crew's own clock, `announced_seconds` what it says it
    takes. Its doors are those of all gateways, one after the other by chance.
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
        self.book: list[Work] = []
        self.begun: set[tuple[str, str]] = set()
        self.command_count = 0
        self.answers: dict[
            str, tuple[str, str]
        ] = {}  # by wish: what it was told, and what was wrong
        self.last_plan: dict[str, Any] = {}  # the last that a door told
        self.stopped = False
        self.requested_at: dict[str, int] = {}  # by ask: when
        self.event_loop.call_later(POLL_TICKS, self.poll_plan)

    # Wishes.

    def request_maintenance(
        self, kind: str, *names: str, id_: str = "", within: float = 0.0, at: str = ""
    ) -> str:
        """Its id. `at` names the gateway that is asked, and only that."""
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
        self, said: dict[str, Any], at: str = "", heard: Callable[[str, str], None] | None = None
    ) -> str:
        """Told at a door, with a key of its own, and at another one where no answer comes."""
        self.command_count += 1
        key = f"{self.owner}-{said['do']}-{self.command_count}"
        self._send_until_answered(key, {**said, "owner": self.owner}, at, at, 0, heard)
        return key

    def _send_until_answered(
        self, key: str, said: dict[str, Any], at: str, door: str, tries: int, heard: Any
    ) -> None:
        if self.stopped or key in self.answers:
            return
        # The same wish at another door has another key there; asks have ids, and the rest may come
        # twice.
        door = at or (door if door and tries % 8 else self._random_gateway())
        query_endpoint(
            self.event_loop,
            f"{self.fleet.gateways[door].folder}/figures.sock",
            "/works",
            {**said, "key": f"{key}@{door}@{tries // 8}"},
            lambda told: self._on_command_answer(key, told, heard),
        )
        self.event_loop.call_later(
            RETRY_TICKS, self._send_until_answered, key, said, at, door, tries + 1, heard
        )

    def _on_command_answer(self, key: str, told: Any, heard: Any) -> None:
        if told is None or key in self.answers:
            return
        answer, wrong = told.get("answer"), told.get("wrong")
        if (answer is None and wrong is None) or (wrong and "may be asked again" in wrong):
            return
        self.answers[key] = str(answer), str(wrong or "")
        if heard is not None:
            heard(str(answer), str(wrong or ""))

    def _random_gateway(self) -> str:
        names = [*self.fleet.gateways]
        return names[self.chance.below(len(names))]

    # Looking, and working.

    def poll_plan(self) -> None:
        if not self.stopped:
            self.event_loop.call_later(POLL_TICKS, self.poll_plan)
            query_endpoint(
                self.event_loop,
                f"{self.fleet.gateways[self._random_gateway()].folder}/figures.sock",
                "/works",
                None,
                self._on_plan,
            )

    def _on_plan(self, told: Any) -> None:
        if not isinstance(told, dict) or "units" not in told:
            return
        if told["fresh"]:
            self.last_plan = told
        for unit in told["units"]:
            key = unit["unit"], unit["ask"]
            if (
                unit["state"] == "out"
                and key not in self.begun
                and unit["ask"] in self.requested_at
            ):
                self.begun.add(key)
                self.work(
                    Work(unit["unit"], unit["ask"], tuple(unit["members"]), self.event_loop.now)
                )

    def work(self, work: Work) -> None:
        """A gateway is ended in order, and started again by the rig; an engine is seen to by hand."""
        self.book.append(work)
        if work.members[0] in self.fleet.gateways:
            self.fleet.apply_fault(Fault(0, self.work_ticks, "end", work.members))
        self.event_loop.call_later(self.work_ticks, self.end, work)

    def end(self, work: Work) -> None:
        """The machine runs again, cold; then the crew says so, until somebody has heard. Once, however often."""
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

    # What became of it.

    def has_finished(self, many: int) -> bool:
        """Have so many units been worked on, and is nothing left in the plan?"""
        return len(
            [work for work in self.book if work.ended >= 0]
        ) >= many and not self.last_plan.get("units", [1])
