"""Operators' commands: kept where they were asked, and carried out by the leader.

Every command has a key chosen by the operator's program; the same key asked again gives what has
come of it. Free of I/O: the service sends, keeps time and answers over HTTP.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance.plan_proposer import PlanProposer
from corkgauge.maintenance.planner import Planner

RESEND_TICKS = 2_500  # between two tellings of a command that is not answered
COMMAND_LIFETIME_TICKS = 30 * SECOND  # after which it is given up
MAX_PENDING_COMMANDS = 64
MAX_COMMAND_BYTES = 1_000
MAX_KEY_CHARACTERS = 64
MAX_ERROR_CHARACTERS = 400
COMMANDS = "ask", "cancel", "done", "hold", "overrule", "known"  # words of the HTTP interface


class Host(Protocol):
    """What the commands need of the service. `loop_time` is tenths of a millisecond."""

    @property
    def loop_time(self) -> int:
        """Return the event loop's time, tenths of a millisecond."""

    def leader_name(self) -> str:
        """Name who is known to hold the lease; empty: nobody."""

    def may_act(self, fence: int) -> bool:
        """Whether the lease is held under this fence, now."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def forward_command(self, leader: str, key: str, text: str) -> None:
        """Send an operator's command to the leader."""

    def send_answer(self, to: str, key: str, answer: str, error: str) -> None:
        """Answer a command that a gateway forwarded."""


@dataclass(slots=True)
class PendingCommand:
    """A command asked here. `answer` and `error` are None until the leader has answered."""

    command: dict[str, Any]
    deadline_ticks: int
    answer: str | None = None
    error: str | None = None


@dataclass(frozen=True, slots=True)
class UnconfirmedCommand:
    """A command carried out by the leader, answered once the change of that number is agreed."""

    change_number: int
    sender: str
    key: str
    answer: str


class PendingCommands:
    """The commands that operators asked at this gateway, by key."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.by_key: dict[str, PendingCommand] = {}

    def handle_http(self, body: bytes) -> dict[str, Any]:
        """Take `{"do": ..., "key": ..., ...}` and give what has come of it so far.

        Raises ValueError, with the reason for the operator, for a command that cannot be taken.
        """
        command = json.loads(body)
        if len(body) > MAX_COMMAND_BYTES:
            raise ValueError(f"{MAX_COMMAND_BYTES} octets at most, ask in two")
        key = str(command.get("key", ""))[:MAX_KEY_CHARACTERS]
        if not key or command.get("do") not in COMMANDS:
            raise ValueError(f"expected a key, and one of {', '.join(COMMANDS)}")
        pending = self.by_key.get(key)
        if pending is None:
            pending = self._add(key, command)
        return {
            "answer": pending.answer,
            "wrong": pending.error,
            "holder": self.host.leader_name(),
        }

    def _add(self, key: str, command: dict[str, Any]) -> PendingCommand:
        now = self.host.loop_time
        if len(self.by_key) >= MAX_PENDING_COMMANDS:
            self.by_key = {
                each: pending
                for each, pending in self.by_key.items()
                if pending.error is None and now < pending.deadline_ticks
            }
        if len(self.by_key) >= MAX_PENDING_COMMANDS:
            raise ValueError(f"{MAX_PENDING_COMMANDS} wishes wait, try again")
        pending = PendingCommand(command, now + COMMAND_LIFETIME_TICKS)
        self.by_key[key] = pending
        self._forward(key)
        return pending

    def _forward(self, key: str) -> None:
        """Send the command to the leader until it answers or the command expires."""
        pending = self.by_key.get(key)
        if pending is None or pending.error is not None:
            return
        if self.host.loop_time >= pending.deadline_ticks:
            pending.error = (
                "nobody plans now, or its answer did not come; the same id may be asked again"
            )
            return
        leader = self.host.leader_name()
        if leader:
            self.host.forward_command(leader, key, json.dumps(pending.command))
        self.host.call_later(RESEND_TICKS, self._forward, key)

    def on_answer(self, key: str, answer: str, error: str) -> None:
        """Take the leader's answer; one to a command that was given up is ignored."""
        pending = self.by_key.get(key)
        if pending is not None:
            pending.answer = answer
            pending.error = error


class CommandExecutor:
    """Carries out commands at the leader, and answers each once a majority has agreed to it."""

    def __init__(self, host: Host, planner: Planner, proposer: PlanProposer) -> None:
        self.host = host
        self.planner = planner
        self.proposer = proposer
        self.unconfirmed: list[UnconfirmedCommand] = []

    def clear(self) -> None:
        """Forget what is not confirmed: the lease is lost, and the next leader is asked again."""
        self.unconfirmed.clear()

    def on_command(self, sender: str, key: str, text: str) -> None:
        """Carry out a command that a gateway forwards.

        Raises ValueError for text that is no JSON.
        """
        if not self.host.may_act(self.proposer.fence):
            return
        if any((each.sender, each.key) == (sender, key) for each in self.unconfirmed):
            return
        command = json.loads(text)
        owner = str(command.get("owner", ""))
        try:
            answer = self._execute(command, owner)
        except ValueError as problem:
            if "try again" not in str(problem):  # else the gateway sends it again by itself
                self._answer(sender, key, "", str(problem))
            return
        except (KeyError, TypeError) as problem:
            kind = type(problem).__name__
            self._answer(sender, key, "", f"makes no sense ({kind} {problem})")
            return
        if self.proposer.agreed_count >= self.proposer.proposed_count:
            self._answer(sender, key, answer, "")
            return
        self.unconfirmed.append(
            UnconfirmedCommand(self.proposer.proposed_count, sender, key, answer)
        )

    def on_changes_agreed(self) -> None:
        """Answer every command whose changes are agreed now."""
        settled = self.proposer.agreed_count
        confirmed = [each for each in self.unconfirmed if each.change_number <= settled]
        self.unconfirmed = [each for each in self.unconfirmed if each.change_number > settled]
        for each in confirmed:
            self._answer(each.sender, each.key, each.answer, "")

    def _execute(self, command: dict[str, Any], owner: str) -> str:
        if not owner:
            raise ValueError("expected an owner")
        action = _ACTIONS.get(str(command["do"]), _declare_known)
        return action(self.planner, command, owner)

    def _answer(self, to: str, key: str, answer: str, error: str) -> None:
        self.host.send_answer(to, key, answer, error[:MAX_ERROR_CHARACTERS])


# One function a command: the planner, the command as decoded JSON, its owner.


def _request(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.ask(
        str(command["id"]),
        command["kind"],
        command["names"],
        owner,
        str(command.get("reason", "")),
        int(command.get("within", 0)),
        int(command["lasting"]),
    )


def _cancel(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.cancel(str(command["id"]), owner)


def _finish(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.done(command["names"], owner)


def _hold(planner: Planner, command: dict[str, Any], owner: str) -> str:
    held_by = owner if command.get("on", True) else ""
    return planner.requests.hold(held_by)


def _overrule(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.overrule(str(command["unit"]), str(command["gateway"]), owner)


def _declare_known(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.tell_known(command["out"], owner)


_ACTIONS: dict[str, Callable[[Planner, dict[str, Any], str], str]] = {
    "ask": _request,
    "cancel": _cancel,
    "done": _finish,
    "hold": _hold,
    "overrule": _overrule,
}
