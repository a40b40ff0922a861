"""The command line: one file a command, loaded when it is called."""

import sys
from importlib import import_module

import click

# Name, and the module that holds it as `command`, in the order of `--help`.
COMMANDS = {
    "demo": "demo",
    "serve": "serve",
    "check": "check",
    "version": "version",
    "accounts": "accounts",
    "audit": "audit",
    "flows": "flows",
    "recovery": "recovery",
    "members": "members",
    "leases": "leases",
    "maintenance": "maintenance",
    "peer-health": "peer_health",
    "chaos": "chaos",
    "soak": "soak",
}
# Earlier names, taken for this version and left out of `--help`.
ALIASES = {
    "figures": "accounts",
    "recall": "recovery",
    "fellows": "members",
    "duties": "leases",
    "works": "maintenance",
    "shared": "peer-health",
    "drills": "chaos",
    "try": "demo",
}
EXIT_FOUND, EXIT_MISUSE = 1, 2  # exit codes: found what it looks for; misuse or bad input


class InputError(click.ClickException):
    """Misuse or bad input: one line that names the file, key or element at fault."""

    exit_code = EXIT_MISUSE

    def show(self, file: object = None) -> None:
        print(f"corkgauge: {self.message}", file=sys.stderr)


class LazyGroup(click.Group):
    """Imports the module of the command that is called, and no other.

    Danger: what every command imports, `serve` would hold in memory for its life.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        return [*COMMANDS]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        return import_module(f"corkgauge.commands.{COMMANDS[name]}").command

    def resolve_command(
        self, context: click.Context, arguments: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Also by its earlier name, with a line on standard error that says the present one."""
        earlier = arguments[0]
        if earlier in ALIASES:
            name = ALIASES[earlier]
            print(
                f"corkgauge: '{earlier}' is now '{name}'; the old name goes with the next version",
                file=sys.stderr,
            )
            arguments = [name, *arguments[1:]]
        return super().resolve_command(context, arguments)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A workload manager (gateway) before analytic engines.

    \b
    Start here:  corkgauge demo
    Help on one: corkgauge leases run --help
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
    """Run the command line; the exit code.

    Danger: a traceback tells an operator nothing of what to install.
    """
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
        return EXIT_MISUSE
