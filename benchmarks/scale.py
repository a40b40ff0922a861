"""The size that is coming: what each role costs, by slopes; one command a role.

    python benchmarks/scale.py alone --help         one workload manager
    python benchmarks/scale.py fleet --help         several, hollow
    python benchmarks/scale.py settings --help      a change of configuration
    python benchmarks/scale.py subset --help        working sets of engines: options side by side
    python benchmarks/scale.py page                 docs/CAPACITY.md anew from docs/capacity/*.json

Each writes docs/capacity/ROLE.json. A size that would pass half of the machine's memory or 300
processes is refused beforehand, with exit 2. Must never be run beside other work: it measures time.
"""

import importlib
import os
import sys

import click

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

ROLES = {
    "alone": "One workload manager, alone.",
    "fleet": "Several, hollow: membership, leases, books, maintenance.",
    "settings": "A change of configuration, in force everywhere.",
    "subset": "Working sets of engines: the options side by side.",
    "page": "docs/CAPACITY.md from the JSON.",
}


class Roles(click.Group):
    """Each role is a file of its own, benchmarks/scale_ROLE.py, loaded when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*ROLES]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in ROLES:
            return None
        return importlib.import_module(f"benchmarks.scale_{name}").command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Roles"):  # without loading them
            formatter.write_dl([*ROLES.items()])


@click.command(cls=Roles, epilog="Example: python benchmarks/scale.py alone --json")
def main() -> None:
    """Slopes of cost for each role, and the page made of them."""


if __name__ == "__main__":
    from benchmarks.scaling import TrialTooLargeError

    try:
        main()
    except TrialTooLargeError as problem:
        print(f"scale: {problem}", file=sys.stderr)
        sys.exit(2)
