"""`corkgauge leases show | yield | run`."""

import json
import os
import signal
import subprocess
import time

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import (
    ANSWERS,
    ask_gateway,
    json_option,
    one_gateway,
    several_gateways,
)

ASK_EACH = 0.25  # seconds, at most, between two questions of a command that runs under a duty


@click.group("leases")
def command() -> None:
    """Leases: who holds each, giving one back, running a command under one.

    \b
    corkgauge leases show /run/corkgauge/n1.sock
    """


@command.command()
@several_gateways
@json_option(ANSWERS)
def show(where: tuple[str, ...], as_json: bool) -> None:
    """Who holds each lease, its fencing token, since when, and why it changed.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge leases show /run/corkgauge/n1.sock
    Ends with 1 if a lease that a gateway is a candidate for has no holder that it knows of, or the
    fleet's accounts do not balance.
    """
    said = [ask_gateway(each, "/duties") for each in where]
    if as_json:
        print(json.dumps(said))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        for each in said:
            table = plain_table(
                f"{each['name']}: voters {' '.join(each['voters'])}, list {each['version']}, "
                f"{'votes' if each['voting'] else 'does not vote now'}",
                "duty",
                ("held by", "fence", "for s", "left s", "last change here", "runs"),
            )
            for name, duty in each["duties"].items():
                table.add_row(
                    name,
                    duty["holder"] or "nobody",
                    str(duty["fence"] or ""),
                    "" if duty["for"] is None else f"{duty['for']:.0f}",
                    f"{duty['left']:.1f}" if duty["left"] else "",
                    duty["why"],
                    duty["lent"],
                )
            Console().print(table)
            for name, books in each["books"].items():
                if books["entries"]:
                    last = books["entries"][-1]
                    print(
                        f"{name}: {last['gateways']} gateways, taken {last['taken']}, "
                        f"served {last['served']}, "
                        f"refused {last['refused']}, failed {last['failed']}, open {last['open']}, "
                        f"handed off {last['handed']}; {'; '.join(last['wrong']) or 'in balance'}"
                    )
    vacant = any(
        duty["wanted"] and not duty["holder"] for each in said for duty in each["duties"].values()
    )
    wrong = any(
        books["entries"] and books["entries"][-1]["wrong"]
        for each in said
        for books in each["books"].values()
    )
    raise SystemExit(EXIT_FOUND if vacant or wrong else 0)


@command.command("yield")
@one_gateway
@click.argument("duty")
def yield_(where: str, duty: str) -> None:
    """Give a lease back now. Any gateway takes this, and forwards it to the holder.

    \b
    corkgauge leases yield /run/corkgauge/n1.sock books
    """
    said = ask_gateway(where, "/duties", {"do": "yield", "duty": duty})
    waits = f", once {said['waits_for']} has ended" if said["waits_for"] else ""
    print(f"{said['told']} gives {duty} up{waits}")


@command.command(context_settings={"ignore_unknown_options": True})
@one_gateway
@click.argument("duty")
@click.argument("what", nargs=-1, required=True, type=click.UNPROCESSED)
@click.option(
    "--grace",
    type=click.FloatRange(0.05, 600),
    default=1.0,
    show_default=True,
    help="Seconds that the command has between SIGTERM and SIGKILL.",
)
@click.option(
    "--margin",
    type=click.FloatRange(0.02, 10),
    default=0.1,
    show_default=True,
    help="Seconds before the lease's end by which it is dead.",
)
@click.option(
    "--patience",
    type=float,
    default=0.0,
    help="Give up if not started after so many seconds; 0: never.",
)
def run(
    where: str, duty: str, what: tuple[str, ...], grace: float, margin: float, patience: float
) -> None:
    """Run a command under a lease: on one gateway's machine at a time.

    WHERE is the local gateway's HTTP listener. The command starts once the local gateway holds the
    lease, with CORKGAUGE_DUTY (the lease's name) and CORKGAUGE_FENCE (its fencing token) in its
    environment; whatever it changes should refuse a lower token. It is ended when the lease cannot
    be renewed: SIGTERM, then SIGKILL before the lease is over.

    \b
    corkgauge leases run /run/corkgauge/n1.sock nightly -- /usr/local/bin/nightly-export
    Ends with the command's own exit code; with 1 if it had to be ended or was never begun.
    """
    raise SystemExit(Wrapped(where, duty, what, grace, margin, patience).play())


class Wrapped:
    """The command's process, and what its gateway says.

    Its clock is the machine's since boot, as the gateway's.
    """

    def __init__(
        self,
        where: str,
        duty: str,
        what: tuple[str, ...],
        grace: float,
        margin: float,
        patience: float,
    ) -> None:
        from corkgauge.leases.leased_command import LeasedCommand

        self.where, self.duty, self.what, self.patience = where, duty, what, patience
        self.by = f"{os.uname().nodename}:{os.getpid()}"
        self.child: subprocess.Popen | None = None
        self.told = False  # to end, by an operator
        self.running = LeasedCommand(self, grace, margin)

    @staticmethod
    def now() -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def play(self) -> int:
        from corkgauge.leases.leased_command import CommandState

        for sign in signal.SIGTERM, signal.SIGINT:
            signal.signal(sign, self._told)
        begun = self.now()
        while self.running.state != CommandState.OVER:
            self._ask()
            if self.running.state == CommandState.WAITING and (
                self.told or (self.patience and self.now() > begun + self.patience)
            ):
                return EXIT_FOUND
            until = self.now() + ASK_EACH
            while self.running.state != CommandState.OVER and self.now() < until:
                self.running.check_deadlines(self.now())
                if self.child is not None and self.child.poll() is not None:
                    self.running.on_exited()
                elif self.running.state in (CommandState.RUNNING, CommandState.ENDING):
                    time.sleep(min(self.running.seconds_to_next_check(self.now()), 0.01) + 0.001)
                else:
                    time.sleep(0.01)
        code = self.child.wait()
        self._post("done")
        if self.running.end_reason and not self.told:
            print(
                f"corkgauge: {self.duty}: the command was ended, {self.running.end_reason}",
                flush=True,
            )
            return EXIT_FOUND
        return code if code >= 0 else 128 - code

    def _told(self, *_: object) -> None:
        self.told = True
        self.running.request_end(self.now())

    def _ask(self) -> None:
        asked = self.now()
        said = self._post("hold")
        if said is not None:  # a gateway that does not answer leaves what it granted
            self.running.on_answer(asked, said["held"], said.get("fence", 0), said.get("left", 0.0))

    def _post(self, what: str) -> dict | None:
        from corkgauge.accounting.client import request_json

        try:
            # Danger: a gateway that stands still would hold us here past the command's time.
            return request_json(
                self.where, "/duties", "POST", 0.2, {"do": what, "duty": self.duty, "by": self.by}
            )
        except ValueError as problem:
            if "no duty" in str(problem) or "own" in str(problem):
                raise InputError(str(problem)) from None
            return None
        except OSError:
            return None

    # What Running may do.

    def begin(self, fence: int) -> None:
        self.child = subprocess.Popen(
            self.what,
            env={**os.environ, "CORKGAUGE_DUTY": self.duty, "CORKGAUGE_FENCE": str(fence)},
            start_new_session=True,
            preexec_fn=with_parent,
        )

    def terminate(self) -> None:
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Danger: what the command began itself would go on under the old fence."""
        self._signal(signal.SIGKILL)

    def _signal(self, sign: int) -> None:
        try:
            os.killpg(self.child.pid, sign)
        except ProcessLookupError:
            pass


def with_parent() -> None:
    """Have the process end with its parent (prctl, Linux).

    Danger: a command whose keeper was killed outright would go on for ever.
    """
    import ctypes

    ctypes.CDLL(None).prctl(1, signal.SIGKILL)
