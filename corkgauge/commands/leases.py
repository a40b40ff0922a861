"""Defines `corkgauge leases show | yield | run`, which show and use leases."""

import json
import os
import signal
import subprocess
import time

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import (
    ANSWERS_HELP,
    ask_gateway,
    json_option,
    one_gateway,
    several_gateways,
)

ASK_INTERVAL_SECONDS = 0.25  # at most, between two requests of `leases run` to its gateway


@click.group("leases")
def command() -> None:
    """Show leases, release a lease, or run a command under a lease.

    \b
    corkgauge leases show /run/corkgauge/n1.sock
    """


@command.command()
@several_gateways
@json_option(ANSWERS_HELP)
def show(where: tuple[str, ...], as_json: bool) -> None:
    """Show the holder of each lease, its fencing token, its age and its last change.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge leases show /run/corkgauge/n1.sock
    Exit code: 1 if a gateway is a candidate for a lease and knows no holder of it, or if the
    accounts of the fleet do not balance.
    """
    statuses = [ask_gateway(address, "/duties") for address in where]
    if as_json:
        print(json.dumps(statuses))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        for status in statuses:
            table = plain_table(
                f"{status['name']}: voters {' '.join(status['voters'])}, list {status['version']}, "
                f"{'votes' if status['voting'] else 'does not vote now'}",
                "duty",
                ("held by", "fence", "for s", "left s", "last change at this gateway", "runs"),
            )
            for name, lease in status["duties"].items():
                table.add_row(
                    name,
                    lease["holder"] or "nobody",
                    str(lease["fence"] or ""),
                    "" if lease["for"] is None else f"{lease['for']:.0f}",
                    f"{lease['left']:.1f}" if lease["left"] else "",
                    lease["why"],
                    lease["lent"],
                )
            Console().print(table)
            for name, accounts in status["books"].items():
                if accounts["entries"]:
                    entry = accounts["entries"][-1]
                    print(
                        f"{name}: {entry['gateways']} gateways, taken {entry['taken']}, "
                        f"served {entry['served']}, "
                        f"refused {entry['refused']}, failed {entry['failed']}, "
                        f"open {entry['open']}, handed off {entry['handed']}; "
                        f"{'; '.join(entry['wrong']) or 'in balance'}"
                    )
    is_vacant = any(
        lease["wanted"] and not lease["holder"]
        for status in statuses
        for lease in status["duties"].values()
    )
    is_unbalanced = any(
        accounts["entries"] and accounts["entries"][-1]["wrong"]
        for status in statuses
        for accounts in status["books"].values()
    )
    raise SystemExit(EXIT_FOUND if is_vacant or is_unbalanced else 0)


@command.command("yield")
@one_gateway
@click.argument("duty")
def yield_(where: str, duty: str) -> None:
    """Release a lease now. WHERE can be any gateway; it forwards the request to the holder.

    \b
    corkgauge leases yield /run/corkgauge/n1.sock books
    """
    answer = ask_gateway(where, "/duties", {"do": "yield", "duty": duty})
    condition = f" after the command {answer['waits_for']} ends" if answer["waits_for"] else ""
    print(f"{answer['told']} releases {duty}{condition}")


@command.command(context_settings={"ignore_unknown_options": True})
@one_gateway
@click.argument("duty")
@click.argument("what", nargs=-1, required=True, type=click.UNPROCESSED)
@click.option(
    "--grace",
    type=click.FloatRange(0.05, 600),
    default=1.0,
    show_default=True,
    help="Seconds from SIGTERM to SIGKILL.",
)
@click.option(
    "--margin",
    type=click.FloatRange(0.02, 10),
    default=0.1,
    show_default=True,
    help="Seconds from SIGKILL to the end of the lease.",
)
@click.option(
    "--patience",
    type=float,
    default=0.0,
    help="Give up if the command has not started after this many seconds; 0 waits forever.",
)
def run(
    where: str, duty: str, what: tuple[str, ...], grace: float, margin: float, patience: float
) -> None:
    """Run a command under a lease, on at most one gateway's machine at a time.

    WHERE is the local gateway's HTTP listener. The command starts when the local gateway holds the
    lease. Its environment contains CORKGAUGE_DUTY (the name of the lease) and CORKGAUGE_FENCE (the
    fencing token); every system that the command changes should reject a lower token. If the lease
    cannot be renewed, the command gets SIGTERM, and SIGKILL before the lease ends.

    \b
    corkgauge leases run /run/corkgauge/n1.sock nightly -- /usr/local/bin/nightly-export
    Exit code: that of the command; 1 if the command was terminated early or did not start.
    """
    raise SystemExit(LeasedProcess(where, duty, what, grace, margin, patience).run())


class LeasedProcess:
    """Runs the process of a command and requests its lease from the local gateway.

    Points in time are seconds since the machine booted, on the same clock as the gateway's.
    """

    def __init__(
        self,
        address: str,
        lease: str,
        arguments: tuple[str, ...],
        grace_seconds: float,
        margin_seconds: float,
        patience_seconds: float,
    ) -> None:
        from corkgauge.leases.leased_command import LeasedCommand

        self.address, self.lease, self.arguments, self.patience_seconds = (
            address,
            lease,
            arguments,
            patience_seconds,
        )
        self.command_name = f"{os.uname().nodename}:{os.getpid()}"
        self.process: subprocess.Popen | None = None
        self.is_end_requested = False  # by SIGTERM or SIGINT
        self.leased_command = LeasedCommand(self, grace_seconds, margin_seconds)

    @staticmethod
    def now() -> float:
        """Return the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def run(self) -> int:
        """Wait for the lease, run the command under it, and return the exit code."""
        from corkgauge.leases.leased_command import CommandState

        for signal_number in signal.SIGTERM, signal.SIGINT:
            signal.signal(signal_number, self._on_signal)
        started_at = self.now()
        while self.leased_command.state != CommandState.OVER:
            self._request_lease()
            if self.leased_command.state == CommandState.WAITING and (
                self.is_end_requested
                or (self.patience_seconds and self.now() > started_at + self.patience_seconds)
            ):
                return EXIT_FOUND
            next_request_at = self.now() + ASK_INTERVAL_SECONDS
            while self.leased_command.state != CommandState.OVER and self.now() < next_request_at:
                self.leased_command.check_deadlines(self.now())
                if self.process is not None and self.process.poll() is not None:
                    self.leased_command.on_exited()
                elif self.leased_command.state in (CommandState.RUNNING, CommandState.ENDING):
                    time.sleep(
                        min(self.leased_command.seconds_to_next_check(self.now()), 0.01) + 0.001
                    )
                else:
                    time.sleep(0.01)
        exit_code = self.process.wait()
        self._post("done")
        if self.leased_command.end_reason and not self.is_end_requested:
            print(
                f"corkgauge: {self.lease}: the command was ended: {self.leased_command.end_reason}",
                flush=True,
            )
            return EXIT_FOUND
        return exit_code if exit_code >= 0 else 128 - exit_code

    def _on_signal(self, *_: object) -> None:
        self.is_end_requested = True
        self.leased_command.request_end(self.now())

    def _request_lease(self) -> None:
        asked_at = self.now()
        answer = self._post("hold")
        if answer is not None:  # without an answer, the time granted before stays valid
            self.leased_command.on_answer(
                asked_at, answer["held"], answer.get("fence", 0), answer.get("left", 0.0)
            )

    def _post(self, action: str) -> dict | None:
        from corkgauge.accounting.client import request_json

        try:
            # The timeout of 0.2 s limits how long a stalled gateway can block this program. With a
            # longer one, the command could run past the end of its lease.
            return request_json(
                self.address,
                "/duties",
                "POST",
                0.2,
                {"do": action, "duty": self.lease, "by": self.command_name},
            )
        except ValueError as problem:
            if "no duty" in str(problem) or "own" in str(problem):
                raise InputError(str(problem)) from None
            return None
        except OSError:
            return None

    # Methods that `LeasedCommand` calls (leases/leased_command.py).

    def begin(self, fencing_token: int) -> None:
        """Start the process in a session and process group separate from this program's."""
        self.process = subprocess.Popen(
            self.arguments,
            env={
                **os.environ,
                "CORKGAUGE_DUTY": self.lease,
                "CORKGAUGE_FENCE": str(fencing_token),
            },
            start_new_session=True,
            preexec_fn=kill_when_parent_dies,
        )

    def terminate(self) -> None:
        """Send SIGTERM to the process group."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL to the process group.

        Otherwise child processes of the command would continue under the old fencing token.
        """
        self._signal(signal.SIGKILL)

    def _signal(self, signal_number: int) -> None:
        try:
            os.killpg(self.process.pid, signal_number)
        except ProcessLookupError:
            pass


def kill_when_parent_dies() -> None:
    """Let the kernel kill this process when its parent dies (prctl PR_SET_PDEATHSIG, Linux).

    Otherwise, if `leases run` were killed by SIGKILL, its command would continue without a lease.
    """
    import ctypes

    ctypes.CDLL(None).prctl(1, signal.SIGKILL)
