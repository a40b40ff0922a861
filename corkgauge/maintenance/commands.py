"""Accepts operators' commands at any gateway and executes them at the leader.

The gateway that accepts a command forwards it to the leader until the leader answers. The
operator's program chooses a key for every command and polls for the result by sending the command
again with the same key. Free of I/O: the service sends datagrams, runs timers and serves HTTP.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance.plan_proposer import PlanProposer
from corkgauge.maintenance.planner import Planner

RESEND_INTERVAL_TICKS = 2_500
COMMAND_LIFETIME_TICKS = 30 * SECOND  # an unanswered command expires after this time
MAX_PENDING_COMMANDS = 64
MAX_COMMAND_BYTES = 1_000
MAX_KEY_CHARACTERS = 64
MAX_ERROR_CHARACTERS = 400
COMMAND_NAMES = "ask", "cancel", "done", "hold", "overrule", "known"  # in the HTTP interface


class Host(Protocol):
    """The operations of the maintenance service that commands use."""

    @property
    def loop_time(self) -> int:
        """Return the event loop's time in ticks."""

    def leader_name(self) -> str:
        """Return the name of the gateway known to hold the lease; empty if none is known."""

    def may_act(self, fence: int) -> bool:
        """Return whether this gateway holds the lease under this fence now."""

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method with the arguments after `delay` ticks."""

    def forward_command(self, leader: str, key: str, text: str) -> None:
        """Send an operator's command to the leader."""

    def send_answer(self, to: str, key: str, answer: str, error: str) -> None:
        """Send the answer to a command to the gateway that forwarded it."""


@dataclass(slots=True)
class PendingCommand:
    """A command accepted here.

    `answer` is None until the leader answers. `error` is None until the leader answers or the
    command expires; an empty `error` means success.
    """

    command: dict[str, Any]
    deadline_ticks: int
    answer: str | None = None
    error: str | None = None


@dataclass(frozen=True, slots=True)
class UnconfirmedCommand:
    """An executed command, answered once a majority of replicas accepts its last change."""

    change_number: int
    sender: str
    key: str
    answer: str


class PendingCommands:
    """Keeps the commands that this gateway accepted over HTTP and forwards them to the leader."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.by_key: dict[str, PendingCommand] = {}

    def handle_http(self, body: bytes) -> dict[str, Any]:
        """Accept the command `{"do": ..., "key": ..., ...}`, or return its result so far.

        Raises ValueError, with a reason for the operator, if the command cannot be accepted, and
        AttributeError if the JSON text is not an object.
        """
        command = json.loads(body)
        if len(body) > MAX_COMMAND_BYTES:
            raise ValueError(
                f"a command has at most {MAX_COMMAND_BYTES} bytes; split it into several"
            )
        key = str(command.get("key", ""))[:MAX_KEY_CHARACTERS]
        if not key or command.get("do") not in COMMAND_NAMES:
            raise ValueError(f"expected a key, and as `do` one of {', '.join(COMMAND_NAMES)}")
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
            raise ValueError(
                f"{MAX_PENDING_COMMANDS} commands are pending at this gateway, try again"
            )
        pending = PendingCommand(command, now + COMMAND_LIFETIME_TICKS)
        self.by_key[key] = pending
        self._forward(key)
        return pending

    def _forward(self, key: str) -> None:
        """Send the command to the leader repeatedly, until it is answered or expires."""
        pending = self.by_key.get(key)
        if pending is None or pending.error is not None:
            return
        if self.host.loop_time >= pending.deadline_ticks:
            pending.error = (
                "no answer from a leader of maintenance before the command expired; "
                "send the command again with a new key and the same request id"
            )
            return
        leader = self.host.leader_name()
        if leader:
            self.host.forward_command(leader, key, json.dumps(pending.command))
        self.host.call_later(RESEND_INTERVAL_TICKS, self._forward, key)

    def on_answer(self, key: str, answer: str, error: str) -> None:
        """Store the leader's answer; ignore it if the command is no longer kept."""
        pending = self.by_key.get(key)
        if pending is not None:
            pending.answer = answer
            pending.error = error


class CommandExecutor:
    """Executes commands at the leader; answers each once a majority accepts its changes."""

    def __init__(self, host: Host, planner: Planner, proposer: PlanProposer) -> None:
        self.host = host
        self.planner = planner
        self.proposer = proposer
        self.unconfirmed: list[UnconfirmedCommand] = []

    def clear(self) -> None:
        """Drop unconfirmed commands after the lease is lost.

        The gateways that forwarded them send them again to the next leader.
        """
        self.unconfirmed.clear()

    def on_command(self, sender: str, key: str, text: str) -> None:
        """Execute a command that a gateway forwarded.

        Raises ValueError if the text is not JSON.
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
            # A command refused with "try again" is not answered: its gateway sends it again.
            if "try again" not in str(problem):
                self._answer(sender, key, "", str(problem))
            return
        except (KeyError, TypeError) as problem:
            kind = type(problem).__name__
            self._answer(sender, key, "", f"a field is missing or malformed ({kind} {problem})")
            return
        if self.proposer.agreed_count >= self.proposer.proposed_count:
            self._answer(sender, key, answer, "")
            return
        self.unconfirmed.append(
            UnconfirmedCommand(self.proposer.proposed_count, sender, key, answer)
        )

    def on_changes_agreed(self) -> None:
        """Answer every command whose changes a majority has accepted."""
        settled = self.proposer.agreed_count
        confirmed = [each for each in self.unconfirmed if each.change_number <= settled]
        self.unconfirmed = [each for each in self.unconfirmed if each.change_number > settled]
        for each in confirmed:
            self._answer(each.sender, each.key, each.answer, "")

    def _execute(self, command: dict[str, Any], owner: str) -> str:
        # Names missing in _ACTIONS, which are "known" and the names of other versions, run
        # `_declare_out`.
        if not owner:
            raise ValueError("expected an owner")
        action = _ACTIONS.get(str(command["do"]), _declare_out)
        return action(self.planner, command, owner)

    def _answer(self, to: str, key: str, answer: str, error: str) -> None:
        self.host.send_answer(to, key, answer, error[:MAX_ERROR_CHARACTERS])


# One function per command; each takes the planner, the decoded command and its owner.


def _request_maintenance(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.request_maintenance(
        str(command["id"]),
        command["kind"],
        command["names"],
        owner,
        str(command.get("reason", "")),
        int(command.get("within", 0)),
        int(command["lasting"]),
    )


def _cancel_request(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.cancel_request(str(command["id"]), owner)


def _finish_work(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.finish_work(command["names"], owner)


def _set_hold(planner: Planner, command: dict[str, Any], owner: str) -> str:
    held_by = owner if command.get("on", True) else ""
    return planner.requests.set_hold(held_by)


def _overrule_gateway(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.overrule_gateway(str(command["unit"]), str(command["gateway"]), owner)


def _declare_out(planner: Planner, command: dict[str, Any], owner: str) -> str:
    return planner.requests.declare_out_units(command["out"], owner)


_ACTIONS: dict[str, Callable[[Planner, dict[str, Any], str], str]] = {
    "ask": _request_maintenance,
    "cancel": _cancel_request,
    "done": _finish_work,
    "hold": _set_hold,
    "overrule": _overrule_gateway,
}
