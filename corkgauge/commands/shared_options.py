"""Options, arguments and the gateway request that several commands use."""

from collections.abc import Callable
from typing import Any

import click

from corkgauge.commands import InputError

RESULT_HELP = "Print the result as JSON, for programs."
ANSWERS_HELP = "Print the unchanged answers of the gateways as a JSON list, for programs."

Decorator = Callable[[Any], Any]

several_gateways: Decorator = click.argument("where", nargs=-1, required=True)
one_gateway: Decorator = click.argument("where")
seed_option: Decorator = click.option("--seed", type=int, default=1, show_default=True)


def json_option(help_text: str = RESULT_HELP) -> Decorator:
    """Return the option `--json`, which the command receives as `as_json`."""
    return click.option("--json", "as_json", is_flag=True, help=help_text)


def ask_gateway(where: str, path: str, body: object = None) -> dict[str, Any]:
    """Send GET, or POST with `body` as JSON, to a gateway's HTTP listener; return its JSON answer.

    `where` is the path of a Unix socket, or ADDRESS:PORT. Raises `InputError` if the gateway cannot
    be reached, rejects the request, or sends an invalid answer.
    """
    from corkgauge.accounting.client import request_json

    try:
        return request_json(where, path, "GET" if body is None else "POST", body=body)
    except (OSError, ValueError) as problem:
        raise InputError(f"{where}: {getattr(problem, 'strerror', None) or problem}") from None
