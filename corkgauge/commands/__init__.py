"""The command line of the program: one module per command, imported when the command is called."""

import sys
from importlib import import_module

import click

# Command names and the modules that define them as `command`, in the order of `--help`.
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
# Old command names and their replacements. This version accepts them, and `--help` omits them.
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
# Exit codes: the command found the problem that it checks for; wrong usage or invalid input.
EXIT_FOUND, EXIT_MISUSE = 1, 2


class InputError(click.ClickException):
    """Wrong usage or invalid input; the message is one line that names the file, key or element."""

    exit_code = EXIT_MISUSE

    def show(self, file: object = None) -> None:
        """Print the message on standard error, without a traceback."""
        print(f"corkgauge: {self.message}", file=sys.stderr)


class LazyGroup(click.Group):
    """Imports only the module of the command that is called.

    Otherwise `serve` would keep the imports of all commands in memory as long as it runs.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the command names in the order of `--help`."""
        return [*COMMANDS]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import a command's module and return the command, or None for an unknown name."""
        if name not in COMMANDS:
            return None
        return import_module(f"corkgauge.commands.{COMMANDS[name]}").command

    def resolve_command(
        self, context: click.Context, arguments: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Resolve a command, also by its old name; then print the new name on standard error."""
        old_name = arguments[0]
        if old_name in ALIASES:
            name = ALIASES[old_name]
            print(
                f"corkgauge: '{old_name}' is now '{name}'; the next version removes the old name",
                file=sys.stderr,
            )
            arguments = [name, *arguments[1:]]
        return super().resolve_command(context, arguments)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A workload manager (gateway) in front of analytic engines.

    \b
    First steps:       corkgauge demo
    Help on a command: corkgauge leases run --help
    Exit codes:        0 success; 1 the command found a problem that it checks for;
                       2 wrong usage or invalid input
    """


# Modules that each extra of the package installs. If an import fails, `main` names the extra.
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
    """Run the command line and return its exit code.

    A missing optional module is reported as one line with the package extra to install; a traceback
    would not tell the operator which one.
    """
    try:
        return group.main(prog_name="corkgauge", standalone_mode=True) or 0
    except ModuleNotFoundError as problem:
        name = (problem.name or "").partition(".")[0]
        extra = next((extra for extra, modules in EXTRAS.items() if name in modules), None)
        if extra is None:
            raise
        print(
            f"corkgauge: {name} is not installed; run: pip install 'corkgauge[{extra}]'",
            file=sys.stderr,
        )
        return EXIT_MISUSE
