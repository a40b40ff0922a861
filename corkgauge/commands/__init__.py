"""The command line: one file a command, loaded when it is called."""

import sys
from importlib import import_module

import click

# Name, and the module that holds it as `command`.
COMMANDS = {
    "serve": "serve",
    "check": "check",
    "version": "version",
    "figures": "figures",
    "audit": "audit",
    "flows": "flows",
    "recall": "recall",
    "fellows": "fellows",
    "duties": "duties",
    "works": "works",
    "shared": "shared",
    "drills": "drills",
    "try": "try_",
    "soak": "soak",
}
FOUND, MISUSE = 1, 2  # exit codes: found what it looks for; misuse or bad input


class Faulted(click.ClickException):
    """Bad input: one line that names the file, key or element."""

    exit_code = MISUSE

    def show(self, file: object = None) -> None:
        print(f"corkgauge: {self.message}", file=sys.stderr)


class Loaded(click.Group):
    """Danger: what every command imports, `serve` would hold in memory for its life."""

    def list_commands(self, context: click.Context) -> list[str]:
        return [*COMMANDS]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        return (
            import_module(f"corkgauge.commands.{COMMANDS[name]}").command
            if name in COMMANDS
            else None
        )


@click.group(cls=Loaded, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A workload manager before analytic engines.

    \b
    Start here:  corkgauge try
    Exit codes:  0 done; 1 found what it looks for; 2 misuse or bad input
    """


# What an extra brings: a module that is missing names it.
EXTRAS = {
    "operator": {
        "ddsketch",
        "cryptography",
        "h11",
        "lxml",
        "msgpack",
        "prometheus_client",
        "rich",
        "xxhash",
    },
    "reports": {"matplotlib", "numpy", "pyarrow"},
}


def main() -> int:
    """Danger: a traceback tells an operator nothing of what to install."""
    try:
        return group.main(prog_name="corkgauge", standalone_mode=True) or 0
    except ModuleNotFoundError as problem:
        name = (problem.name or "").partition(".")[0]
        extra = next((extra for extra, modules in EXTRAS.items() if name in modules), None)
        if extra is None:
            raise
        print(
            f"corkgauge: {name} is not installed; the remedy: pip install 'corkgauge[{extra}]'",
            file=sys.stderr,
        )
        return MISUSE
