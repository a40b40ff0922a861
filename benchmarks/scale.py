"""Measures what each role costs at several sizes and extrapolates to the users' size.

    python benchmarks/scale.py alone --help         one workload manager
    python benchmarks/scale.py fleet --help         several hollow workload managers
    python benchmarks/scale.py settings --help      a change of configuration
    python benchmarks/scale.py subset --help        comparison of working sets of engines
    python benchmarks/scale.py page                 docs/CAPACITY.md from docs/capacity/*.json

The first four subcommands write docs/capacity/ROLE.json. A size that needs more than half of the
machine's memory or more than 300 processes is rejected before the run, with exit code 2. Run no
other work on the machine at the same time: the benchmarks measure time.
"""

import importlib
import os
import sys

import click

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

ROLES = {
    "alone": "Measure one workload manager.",
    "fleet": "Measure several hollow workload managers: membership, leases, accounts, maintenance.",
    "settings": "Measure a change of configuration that reaches all workload managers.",
    "subset": "Compare algorithms for working sets of engines.",
    "page": "Render docs/CAPACITY.md from the JSON files.",
}


class RoleGroup(click.Group):
    """Command group that imports benchmarks/scale_ROLE.py when its role is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*ROLES]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in ROLES:
            return None
        return importlib.import_module(f"benchmarks.scale_{name}").command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Roles"):  # does not import the modules of the roles
            formatter.write_dl([*ROLES.items()])


@click.command(cls=RoleGroup, epilog="Example: python benchmarks/scale.py alone --json")
def main() -> None:
    """Measure the cost of each role by size, and render the capacity page."""


if __name__ == "__main__":
    from benchmarks.scaling import TrialTooLargeError

    try:
        main()
    except TrialTooLargeError as problem:
        print(f"scale: {problem}", file=sys.stderr)
        sys.exit(2)
